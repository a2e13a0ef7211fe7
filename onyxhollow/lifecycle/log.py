"""The log: one JSON line an event on standard output, never waited for."""

from __future__ import annotations

import os
import time
from typing import Any

import orjson

RATE, BURST = 20.0, 100.0  # lines a second of one event, and at once: bad clients can cause any number
HELD = 256 * 1024  # bytes held back for a reader that is slow; past them lines are dropped and counted


class Log:
    def __init__(self, fd: int, name: str) -> None:
        self.fd, self.name, self.unwritten, self.dropped = fd, name, bytearray(), 0
        self.rate_limits: dict[
            str, tuple[float, float, int]
        ] = {}  # lines that may go, at a time; kept back since

    def event(self, event: str, **values: Any) -> None:
        now = time.monotonic()
        level, at, kept_back = self.rate_limits.get(event, (BURST, now, 0))
        level = min(BURST, level + (now - at) * RATE)
        if level < 1.0:
            self.rate_limits[event] = level, now, kept_back + 1
            self.dropped += 1
            return
        self.rate_limits[event] = level - 1.0, now, 0
        if kept_back:
            values["kept_back"] = kept_back  # of this kind, since the last that went
        # For people the time of day, which may be stepped; spans are told by the monotonic figure beside it.
        times = {"t": round(time.time(), 3), "monotonic": round(now, 3)}
        row = {**times, "proxy": self.name, "event": event, **values}
        line = orjson.dumps(row, default=str, option=orjson.OPT_APPEND_NEWLINE)
        # A pipe that nobody reads would stop the whole proxy: its log is given up before its sessions.
        if len(self.unwritten) + len(line) > HELD:
            self.dropped += 1
            return
        self.unwritten += line
        self.flush()

    def flush(self) -> None:
        try:
            while self.unwritten:
                del self.unwritten[: os.write(self.fd, self.unwritten)]
        except BlockingIOError:
            return
        except OSError:
            self.unwritten.clear()
