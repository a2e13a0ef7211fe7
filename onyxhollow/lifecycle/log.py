"""The log: one JSON line per event on standard output, written without blocking."""

from __future__ import annotations

import os
import time
from typing import Any

import orjson

# Rate limit of each event, since misbehaving clients can cause any number of lines.
MAX_LINES_PER_SECOND = 20.0
MAX_BURST_LINES = 100.0
MAX_UNWRITTEN_BYTES = 256 * 1024  # for a slow reader; above it, lines are dropped and counted


class Log:
    """Writes events to a non-blocking descriptor, with a rate limit for each event name."""

    def __init__(self, fd: int, name: str) -> None:
        self.fd = fd
        self.name = name
        self.unwritten = bytearray()
        self.dropped = 0
        # By event name: lines allowed, the time of that count, and lines suppressed since the last one.
        self.rate_limits: dict[str, tuple[float, float, int]] = {}

    def event(self, event: str, **values: Any) -> None:
        """Log an event, unless its rate limit is reached or the reader is too slow.

        Args:
            event: The name of the event.
            **values: The other keys of the line.
        """
        now = time.monotonic()
        allowed, updated_at, suppressed = self.rate_limits.get(event, (MAX_BURST_LINES, now, 0))
        allowed = min(MAX_BURST_LINES, allowed + (now - updated_at) * MAX_LINES_PER_SECOND)
        if allowed < 1.0:
            self.rate_limits[event] = allowed, now, suppressed + 1
            self.dropped += 1
            return
        self.rate_limits[event] = allowed - 1.0, now, 0
        if suppressed:
            values["kept_back"] = suppressed
        # Wall time is for people and may be stepped; durations are computed from monotonic time.
        times = {"t": round(time.time(), 3), "monotonic": round(now, 3)}
        row = {**times, "proxy": self.name, "event": event, **values}
        line = orjson.dumps(row, default=str, option=orjson.OPT_APPEND_NEWLINE)
        # Blocking on a pipe that nobody reads would stop all sessions, so lines are dropped instead.
        if len(self.unwritten) + len(line) > MAX_UNWRITTEN_BYTES:
            self.dropped += 1
            return
        self.unwritten += line
        self.flush()

    def flush(self) -> None:
        """Write as many pending bytes as the descriptor accepts."""
        try:
            while self.unwritten:
                del self.unwritten[: os.write(self.fd, self.unwritten)]
        except BlockingIOError:
            return
        except OSError:
            self.unwritten.clear()
