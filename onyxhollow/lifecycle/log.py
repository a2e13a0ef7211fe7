"""The log: one JSON line an event on standard output, never waited for."""

from __future__ import annotations

import os
import time
from typing import Any

import orjson

RATE = 20.0  # lines a second of one event: bad clients can cause any number
BURST = 100.0  # lines of one event at once
MAX_UNWRITTEN = 256 * 1024  # bytes for a reader that is slow; past them lines are dropped and counted


class Log:
    """Writes events to a non-blocking descriptor, each kind at a bounded rate."""

    def __init__(self, fd: int, name: str) -> None:
        self.fd = fd
        self.name = name
        self.unwritten = bytearray()
        self.dropped = 0
        # By event: lines that may be written, as of a time, and lines dropped since the last one.
        self.rate_limits: dict[str, tuple[float, float, int]] = {}

    def event(self, event: str, **values: Any) -> None:
        """Logs an event, unless too many of its kind came just now or the reader is too slow."""
        now = time.monotonic()
        level, at, suppressed = self.rate_limits.get(event, (BURST, now, 0))
        level = min(BURST, level + (now - at) * RATE)
        if level < 1.0:
            self.rate_limits[event] = level, now, suppressed + 1
            self.dropped += 1
            return
        self.rate_limits[event] = level - 1.0, now, 0
        if suppressed:
            values["kept_back"] = suppressed  # of this kind, since the last that was written
        # For people the time of day, which may be stepped; spans are measured by the monotonic one.
        times = {"t": round(time.time(), 3), "monotonic": round(now, 3)}
        row = {**times, "proxy": self.name, "event": event, **values}
        line = orjson.dumps(row, default=str, option=orjson.OPT_APPEND_NEWLINE)
        # A pipe that nobody reads would stop the whole proxy: its log is given up before its sessions.
        if len(self.unwritten) + len(line) > MAX_UNWRITTEN:
            self.dropped += 1
            return
        self.unwritten += line
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        try:
            while self.unwritten:
                del self.unwritten[: os.write(self.fd, self.unwritten)]
        except BlockingIOError:
            return
        except OSError:
            self.unwritten.clear()
