"""When servers started, on this process's own monotonic clock.

The list tells starts as wall time of other machines. A wall clock may be stepped, by seconds or by an hour,
also before this process began. Told by it a server that has just started could count as long warm, and more
would be sent to it than it bears. So this machine's wall clock is not read at all, and theirs is trusted only
so far.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

LISTED_WITHIN = 2.5  # seconds from a server's start to when the list usually names it
MOST = 8192  # servers whose starts are kept; the list's own bound is lower


class RemoteClock:
    """Reads starts of servers.

    Nothing is heard of before it has happened: the latest start heard of is the least that their clock can
    show. In the first lists of a process a server counts as started so long before the latest one. One first
    seen later, or with a new start, counts as a few seconds older at the most than the time up to which the
    list was known, whatever its clock says. What a server has once counted as it goes on counting as.
    """

    def __init__(self) -> None:
        self.offset = -math.inf  # what their clock is ahead of the monotonic one, at least
        self.known_until = (
            -math.inf
        )  # the list is known up to here: what is new in it started later, or just before
        self.starts: dict[str, tuple[float, float]] = {}  # by server: as told, and on the monotonic clock

    def observe(self, wall: float, now: float) -> None:
        """A time that has passed on their clock."""
        self.offset = max(self.offset, wall - now)

    def start_time(self, server: str, wall: float, now: float) -> float:
        """When a server started that tells this time of its start."""
        known = self.starts.pop(server, None)
        if known is None or known[0] != wall:
            started = min(now, wall - self.offset)
            known = wall, max(started, self.known_until - LISTED_WITHIN)
        self.starts[server] = known
        if len(self.starts) > MOST:
            del self.starts[next(iter(self.starts))]
        return known[1]

    def restore(self, starts: Mapping[str, Any]) -> None:
        """What another process of this machine has read; ValueError or TypeError if it is none of that."""
        taken = {str(server): (float(wall), float(started)) for server, (wall, started) in starts.items()}
        self.starts |= dict(list(taken.items())[:MOST])
