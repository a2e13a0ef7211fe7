#!/bin/sh
# Build what the scripts of cases 6 to 10 start, after the build of deploy/balancer.toml. The stand-ins are Python
# files that use the standard library only, so they are just compiled in memory to show that they can run.
set -e
cd "$(dirname "$0")/.."
for file in review/common-2/standins.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    test -f "$file" || continue
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
