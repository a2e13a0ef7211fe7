"""A process of the program in the rig: `serve` as it is, with a fault shim under its disk and its clocks.

    python -m onyxhollow.lab.fleet.member serve --config .. --fleet ..

$ONYX_TRIAL names a JSON file that the rig writes: {"fsync": "fails"|"", "write": "full"|"", "wall": seconds
that the wall clock is off, "rate": of the clock that leases run on, "broken": a name of broken.py}. It is
looked at again at each fsync, write and reading of the wall clock; rate and broken hold from the start.
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


class Trial:
    def __init__(self, path: str) -> None:
        self.path, self.stamp = path, (0, 0)
        self.told: dict[str, Any] = {}
        self.look()

    def look(self) -> dict[str, Any]:
        try:
            found = os.stat(self.path)
            if (stamp := (found.st_mtime_ns, found.st_ino)) != self.stamp:
                with open(self.path, "rb") as file:
                    self.told = orjson.loads(file.read())
                self.stamp = stamp
        except (OSError, ValueError):
            pass
        return self.told

    def pwrite(self, fd: int, data: bytes, at: int) -> int:
        if self.look().get("write") == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return PWRITE(fd, data, at)

    def fsync(self, fd: int) -> None:
        if self.look().get("fsync") == "fails":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        FSYNC(fd)

    def install(self) -> None:
        os.pwrite = self.pwrite  # type: ignore[assignment]
        os.fsync = self.fsync  # type: ignore[assignment]
        time.time = lambda: TIME() + float(self.look().get("wall", 0.0))
        time.time_ns = lambda: TIME_NS() + int(1e9 * float(self.look().get("wall", 0.0)))
        if (rate := float(self.told.get("rate", 1.0))) != 1.0:
            true, began = clock.now, clock.now()
            clock.now = lambda: began + (true() - began) * rate
        if name := self.told.get("broken"):
            from onyxhollow.lab.fleet.injected_bugs import inject

            inject(name)


def main() -> int:
    if path := os.environ.get("ONYX_TRIAL"):
        trial = Trial(path)
        trial.install()
        if version := trial.told.get("version"):
            import onyxhollow

            onyxhollow.__version__ = str(version)
    from onyxhollow.__main__ import main as program

    return program(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
