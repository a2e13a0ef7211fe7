"""Clock of the leases.

It advances while the machine is suspended and is not affected by changes of the wall clock.
"""

from __future__ import annotations

import time

EPOCH_CLOCK_BITS = 12  # low bits of an epoch, taken from the monotonic clock
NANOSECONDS_PER_MILLISECOND = 1_000_000


def now() -> float:
    """Return seconds since the machine's boot; not comparable between machines."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_epoch() -> int:
    """Return the epoch of a new process: Unix milliseconds and 12 bits of the monotonic clock.

    The low bits distinguish two starts in the same millisecond. A later process of the same name has a higher
    epoch unless the wall clock was set back between the two starts.
    """
    milliseconds = time.time_ns() // NANOSECONDS_PER_MILLISECOND
    return (milliseconds << EPOCH_CLOCK_BITS) | (time.monotonic_ns() & ((1 << EPOCH_CLOCK_BITS) - 1))
