"""Detects surges: so many new connections at once that reports of one or two seconds' age are misleading.

Members that select by the same reports would all select the same endpoints, and the reports may still include
counts of members that have just died. During a surge each member uses its own measurements only, as without
gossip.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

# A surge adds more than this share of the own connections, plus this number, within the window.
MIN_SURGE_SHARE = 0.15
MIN_SURGE_CONNECTIONS = 2
WINDOW_SECONDS = 4.0


class SurgeDetector:
    """Detects when a large share of this process's connections is new."""

    def __init__(self) -> None:
        self.active = False
        self.previous_connections: Mapping[str, int] = {}  # by endpoint, at the last update
        self.additions: deque[tuple[float, int]] = deque()  # time and number of added connections per update

    def update(self, connections: Mapping[str, int], now: float) -> bool:
        """Update with the open connections by endpoint; return whether a surge has started or ended."""
        added = sum(
            max(0, count - self.previous_connections.get(endpoint, 0))
            for endpoint, count in connections.items()
        )
        self.additions.append((now, added if self.previous_connections else 0))
        while now - self.additions[0][0] > WINDOW_SECONDS:
            self.additions.popleft()
        self.previous_connections = dict(connections)
        added_in_window = sum(count for _, count in self.additions)
        is_active = added_in_window > MIN_SURGE_CONNECTIONS + MIN_SURGE_SHARE * sum(connections.values())
        has_changed = is_active is not self.active
        self.active = is_active
        return has_changed
