"""A member process of a process cluster: `serve` unchanged, with faults injected into its disk and clocks.

    python -m onyxhollow.lab.fleet.member serve --config .. --fleet ..

$ONYX_TRIAL names a JSON file that the cluster writes: {"fsync": "fails"|"", "write": "full"|"", "wall":
offset of the wall clock in seconds, "rate": rate of the lease clock, "broken": a name of injected_bugs.py,
"version": the version that the process reports}. The file is checked for changes at each fsync, write and
reading of the wall clock. The keys rate, broken and version are read once, at the start.
"""

from __future__ import annotations

import errno
import os
import sys
import time
from typing import Any

import orjson

from onyxhollow.fleet import clock

PWRITE, FSYNC, TIME, TIME_NS = os.pwrite, os.fsync, time.time, time.time_ns


class FaultShim:
    """Replaces os.pwrite, os.fsync and the clocks by versions that apply the faults of a file."""

    def __init__(self, path: str) -> None:
        self.path, self.stamp = path, (0, 0)
        self.faults: dict[str, Any] = {}
        self.read_faults()

    def read_faults(self) -> dict[str, Any]:
        """Return the faults of the file, and those read last if it is missing or incomplete."""
        try:
            status = os.stat(self.path)
            if (stamp := (status.st_mtime_ns, status.st_ino)) != self.stamp:
                with open(self.path, "rb") as file:
                    self.faults = orjson.loads(file.read())
                self.stamp = stamp
        except (OSError, ValueError):
            pass
        return self.faults

    def pwrite(self, fd: int, data: bytes, offset: int) -> int:
        if self.read_faults().get("write") == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return PWRITE(fd, data, offset)

    def fsync(self, fd: int) -> None:
        if self.read_faults().get("fsync") == "fails":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        FSYNC(fd)

    def install(self) -> None:
        os.pwrite = self.pwrite  # type: ignore[assignment]
        os.fsync = self.fsync  # type: ignore[assignment]
        time.time = lambda: TIME() + float(self.read_faults().get("wall", 0.0))
        time.time_ns = lambda: TIME_NS() + int(1e9 * float(self.read_faults().get("wall", 0.0)))
        if (rate := float(self.faults.get("rate", 1.0))) != 1.0:
            real_now, start = clock.now, clock.now()
            clock.now = lambda: start + (real_now() - start) * rate
        if name := self.faults.get("broken"):
            from onyxhollow.lab.fleet.injected_bugs import inject

            inject(name)


def main() -> int:
    if path := os.environ.get("ONYX_TRIAL"):
        shim = FaultShim(path)
        shim.install()
        if version := shim.faults.get("version"):
            import onyxhollow

            onyxhollow.__version__ = str(version)
    from onyxhollow.__main__ import main as run_program

    return run_program(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
