"""Local health score of Lifeguard (Dadgar, Phillips, Currey, 2018).

A process that is slow itself uses longer timeouts before it suspects other members.
"""

from __future__ import annotations


class LocalHealth:
    """Score from 0 (healthy) to `max_score`. Timeouts and probe periods are multiplied by score + 1."""

    def __init__(self, max_score: int) -> None:
        self.max_score = max_score
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor for timeouts and probe periods."""
        return self.score + 1

    def degrade(self) -> None:
        """Record a sign that this process is slow or that its messages are lost."""
        self.score = min(self.max_score, self.score + 1)

    def recover(self) -> None:
        """Record that a probe of this process was answered in time."""
        self.score = max(0, self.score - 1)
