"""Deprecated alias of `onyxhollow.simulator_adapter`, which will be removed in the next release.

Standard output carries the simulator's protocol, so the warning goes to standard error.
"""

from __future__ import annotations

import sys

from onyxhollow.simulator_adapter.adapter import main

WARNING = "onyxhollow.benchlink is deprecated: run python -m onyxhollow.simulator_adapter\n"

if __name__ == "__main__":
    sys.stderr.write(WARNING)
    sys.exit(main(sys.stdin.buffer, sys.stdout, sys.stderr))
