"""Statistics of the links to other members: when they were last received from, loss and round trip time.

Only direct answers count: an indirect probe does not use the link.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

from onyxhollow.membership.member_table import MemberKey

NEWEST_WEIGHT = 0.3  # of the newest probe in the moving averages


@dataclass(slots=True)
class Link:
    """What this process has measured on the way to one member and back."""

    received_at: float = -math.inf  # when a datagram came directly from it, seconds
    probes: int = 0
    loss_rate: float = 0.0  # share of probes without a direct answer, exponentially weighted
    round_trip_time: float = 0.0  # seconds, exponentially weighted
    probed_at: float = 0.0  # seconds


class LinkStatistics:
    """The links by member."""

    def __init__(self) -> None:
        self.links: dict[MemberKey, Link] = {}

    def received(self, key: MemberKey, now: float) -> None:
        """Record a datagram that came directly from a member."""
        self._link(key).received_at = now

    def probe_sent(self, key: MemberKey, now: float) -> None:
        """Record the start of a direct probe."""
        self._link(key).probed_at = now

    def direct_answer(self, key: MemberKey, now: float) -> None:
        """Record the round trip time of a probe that was answered directly."""
        link = self._link(key)
        elapsed = now - link.probed_at
        link.round_trip_time += (elapsed - link.round_trip_time) * (
            NEWEST_WEIGHT if link.round_trip_time else 1.0
        )

    def probe_finished(self, key: MemberKey, answered_directly: bool) -> None:
        """Record the outcome of a probe. A link that was pruned meanwhile is not created again."""
        link = self.links.get(key)
        if link is None:
            return
        link.probes += 1
        link.loss_rate += ((0.0 if answered_directly else 1.0) - link.loss_rate) * NEWEST_WEIGHT

    def prune(self, known: Container[MemberKey]) -> None:
        """Forget links to members that are no longer known."""
        self.links = {key: link for key, link in self.links.items() if key in known}

    def _link(self, key: MemberKey) -> Link:
        return self.links.setdefault(key, Link())
