"""The earlier name of `onyxhollow.simulator_adapter`: `python -m onyxhollow.benchlink` works for one release.

Standard output carries the simulator's wire, so the warning goes to standard error.
"""

from __future__ import annotations

import sys

from onyxhollow.simulator_adapter.adapter import main

WARNING = "onyxhollow.benchlink is deprecated: run python -m onyxhollow.simulator_adapter\n"

if __name__ == "__main__":
    sys.stderr.write(WARNING)
    sys.exit(main(sys.stdin.buffer, sys.stdout, sys.stderr))
