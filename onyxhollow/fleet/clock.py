"""The clock that leases run on: it counts while the machine sleeps too, and no step of the wall clock moves
it."""

from __future__ import annotations

import time


def now() -> float:
    """Seconds; only differences on one machine mean anything."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_epoch() -> int:
    """A process's own number: later ones are higher where the wall clock was not set back in between."""
    return (time.time_ns() // 1_000_000 << 12) | (time.monotonic_ns() & 0xFFF)
