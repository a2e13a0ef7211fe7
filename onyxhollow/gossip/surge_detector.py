"""Surges: many connections arrive at once, and reports a second or two old mislead.

Members that all choose by the same reports would all choose the same endpoints, and counts of members that
have just died are still among them. During a surge each member goes by its own measurements, as without
gossip.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

SURGE_SHARE = 0.15  # of the own connections that arrive within the window
MIN_SURGE = 2  # connections beyond that share
WINDOW = 4.0  # seconds


class SurgeDetector:
    """Whether a large part of this member's connections has arrived just now."""

    def __init__(self) -> None:
        self.active = False
        self.previous: Mapping[str, int] = {}  # connections by endpoint at the last update
        self.arrivals: deque[tuple[float, int]] = deque()  # time, connections more than at the update before

    def update(self, connections: Mapping[str, int], now: float) -> bool:
        """Take this member's open connections by endpoint; return whether a surge has begun or ended."""
        more = sum(max(0, count - self.previous.get(endpoint, 0)) for endpoint, count in connections.items())
        self.arrivals.append((now, more if self.previous else 0))
        while now - self.arrivals[0][0] > WINDOW:
            self.arrivals.popleft()
        self.previous = dict(connections)
        arrived = sum(count for _, count in self.arrivals)
        active = arrived > MIN_SURGE + SURGE_SHARE * sum(connections.values())
        changed = active is not self.active
        self.active = active
        return changed
