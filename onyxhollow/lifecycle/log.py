"""The log: one JSON line an event on standard output, never waited for."""

from __future__ import annotations

import os
import time
from typing import Any

import orjson

HELD = 256 * 1024  # bytes held back for a reader that is slow; past them lines are dropped and counted


class Log:
    def __init__(self, fd: int, name: str) -> None:
        self.fd, self.name, self.held, self.dropped = fd, name, bytearray(), 0

    def event(self, event: str, **values: Any) -> None:
        row = {"t": round(time.time(), 3), "proxy": self.name, "event": event, **values}
        line = orjson.dumps(row, default=str, option=orjson.OPT_APPEND_NEWLINE)
        # A pipe that nobody reads would stop the whole proxy: its log is given up before its sessions.
        if len(self.held) + len(line) > HELD:
            self.dropped += 1
            return
        self.held += line
        self.flush()

    def flush(self) -> None:
        try:
            while self.held:
                del self.held[: os.write(self.fd, self.held)]
        except BlockingIOError:
            return
        except OSError:
            self.held.clear()
