"""When endpoints started, on this process's own monotonic clock.

The list gives starts as wall time of other machines. A wall clock may be stepped, by seconds or by an hour,
also before this process began. Read by it an endpoint that has just started could count as long warmed up,
and more would be sent to it than it bears. So this machine's wall clock is not read at all, and theirs is
trusted only so far.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

LISTED_WITHIN = 2.5  # seconds from an endpoint's start to when the list usually names it
MAX_STARTS = 8192  # endpoints whose starts are cached; the list's own bound is lower


class RemoteClock:
    """Reads starts of endpoints.

    Nothing is reported before it has happened: the latest start reported is the least that their clock can
    show. In the first lists of a process an endpoint counts as started so long before the latest one. One
    first seen later, or with a new start, counts as a few seconds older at the most than the time up to which
    the list was known, whatever its clock says. What an endpoint has once counted as it goes on counting as.
    """

    def __init__(self) -> None:
        self.offset = -math.inf  # seconds by which their clock is ahead of the monotonic one, at least
        # The list is known up to here: what is new in it started later, or just before.
        self.known_until = -math.inf
        self.starts: dict[
            str, tuple[float, float]
        ] = {}  # by endpoint: as reported, and on the monotonic clock

    def observe(self, wall: float, now: float) -> None:
        """Learns from a time that has passed on their clock."""
        self.offset = max(self.offset, wall - now)

    def start_time(self, endpoint: str, wall: float, now: float) -> float:
        """When an endpoint started, on the monotonic clock, that reports this time of its start."""
        known = self.starts.pop(endpoint, None)
        if known is None or known[0] != wall:
            started_at = min(now, wall - self.offset)
            known = wall, max(started_at, self.known_until - LISTED_WITHIN)
        self.starts[endpoint] = known
        if len(self.starts) > MAX_STARTS:
            del self.starts[next(iter(self.starts))]
        return known[1]

    def restore(self, starts: Mapping[str, Any]) -> None:
        """Takes what another process of this machine has read; ValueError or TypeError if malformed."""
        read = {str(endpoint): (float(wall), float(at)) for endpoint, (wall, at) in starts.items()}
        self.starts |= dict(list(read.items())[:MAX_STARTS])
