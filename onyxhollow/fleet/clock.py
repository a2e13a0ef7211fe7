"""The clock that leases run on.

It counts while the machine sleeps too, and no step of the wall clock moves it.
"""

from __future__ import annotations

import time

EPOCH_SHIFT = 12  # bits of an epoch below its milliseconds
NANOSECONDS_A_MILLISECOND = 1_000_000


def now() -> float:
    """Seconds since the machine's start; only differences on one machine mean anything."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_epoch() -> int:
    """The incarnation of a process: Unix milliseconds, and bits that tell two starts in one of them apart.

    A later process of the same name has a higher one where the wall clock was not set back in between.
    """
    milliseconds = time.time_ns() // NANOSECONDS_A_MILLISECOND
    return (milliseconds << EPOCH_SHIFT) | (time.monotonic_ns() & ((1 << EPOCH_SHIFT) - 1))
