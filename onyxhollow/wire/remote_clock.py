"""Start times of endpoints, converted to this process's monotonic clock.

The list states start times as wall time of other machines. A wall clock may be stepped, by seconds or by an
hour, also before this process began. By a stepped clock an endpoint that has just started could count as
warmed up, and get more sessions than it can serve. So this machine's wall clock is never read, and wall times
of other machines are limited by the times up to which the list was known.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

MAX_LISTING_DELAY_SECONDS = 2.5  # usual time from an endpoint's start to its first appearance in the list
MAX_STARTS = 8192  # endpoints whose start times are cached; the list's own limit is lower


class RemoteClock:
    """Converts start times of endpoints from their wall clock to the monotonic clock.

    No start is reported before it has happened, so the latest reported start is a lower bound of the current
    time on their clock. In the first lists of a process, the age of an endpoint is the difference between its
    start and the latest one. An endpoint that appears later, or with a new start, started at most a few
    seconds before the time up to which the list was known, whatever its clock shows. A start time that was
    returned once is kept.
    """

    def __init__(self) -> None:
        self.offset = -math.inf  # seconds by which their clock is at least ahead of the monotonic clock
        # Time up to which the list is known: endpoints that are new in it started later, or just before.
        self.known_until = -math.inf
        # By endpoint: the reported wall time and the start on the monotonic clock.
        self.starts: dict[str, tuple[float, float]] = {}

    def observe(self, wall_time: float, now: float) -> None:
        """Update the offset from a wall time that has already passed on their clock."""
        self.offset = max(self.offset, wall_time - now)

    def start_time(self, endpoint: str, wall_time: float, now: float) -> float:
        """Return the monotonic start time of an endpoint that reports this wall time of its start."""
        cached = self.starts.pop(endpoint, None)
        if cached is None or cached[0] != wall_time:
            started_at = min(now, wall_time - self.offset)
            cached = wall_time, max(started_at, self.known_until - MAX_LISTING_DELAY_SECONDS)
        self.starts[endpoint] = cached
        if len(self.starts) > MAX_STARTS:
            del self.starts[next(iter(self.starts))]
        return cached[1]

    def restore(self, starts: Mapping[str, Any]) -> None:
        """Restore start times of another process here; raise ValueError or TypeError if malformed."""
        decoded = {
            str(endpoint): (float(wall_time), float(started_at))
            for endpoint, (wall_time, started_at) in starts.items()
        }
        self.starts |= dict(list(decoded.items())[:MAX_STARTS])
