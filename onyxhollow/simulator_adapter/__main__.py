"""Serve the simulator on standard input and output: `python -m onyxhollow.simulator_adapter`."""

import sys

from onyxhollow.simulator_adapter.adapter import main

sys.exit(main(sys.stdin.buffer, sys.stdout, sys.stderr))
