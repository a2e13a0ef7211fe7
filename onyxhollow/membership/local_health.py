"""Local health after Lifeguard (Dadgar, Phillips, Currey, 2018).

A member that is slow itself waits longer for others before it suspects them.
"""

from __future__ import annotations


class LocalHealth:
    """A score from 0, healthy, to a maximum; timeouts and periods are multiplied by one more than it."""

    def __init__(self, max_score: int) -> None:
        self.max_score = max_score
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor of timeouts and probe periods."""
        return self.score + 1

    def degrade(self) -> None:
        """Record a sign that this member is slow, or that its messages do not arrive."""
        self.score = min(self.max_score, self.score + 1)

    def recover(self) -> None:
        """Record a probe that was answered in time."""
        self.score = max(0, self.score - 1)
