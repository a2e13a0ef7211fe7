#!/bin/sh
# The stand-ins are Python and need only the standard library: nothing is installed, they are compiled as a check.
# Run it after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q -f review
