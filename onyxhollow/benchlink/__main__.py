import sys

from onyxhollow.benchlink.link import main

sys.exit(main(sys.stdin.buffer, sys.stdout, sys.stderr))
