"""Statistics of the links to other members: last datagram received, loss rate and round-trip time.

Only direct answers count, because an indirect probe does not use the link.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

from onyxhollow.membership.member_table import MemberKey

EWMA_WEIGHT = 0.3  # of the newest sample


@dataclass(slots=True)
class Link:
    """Measurements of the link to one member and back."""

    received_at: float = -math.inf  # time of the last datagram from it, seconds
    probes: int = 0
    loss_rate: float = 0.0  # share of probes without a direct answer, EWMA
    round_trip_time: float = 0.0  # seconds, EWMA
    probed_at: float = 0.0  # start of the last direct probe, seconds


class LinkStatistics:
    """Collects the statistics of each link."""

    def __init__(self) -> None:
        self.links: dict[MemberKey, Link] = {}

    def record_datagram(self, key: MemberKey, now: float) -> None:
        """Record a datagram received from a member."""
        self._link(key).received_at = now

    def record_probe_sent(self, key: MemberKey, now: float) -> None:
        """Record the start of a direct probe."""
        self._link(key).probed_at = now

    def record_direct_answer(self, key: MemberKey, now: float) -> None:
        """Record the round-trip time of a probe that was answered directly."""
        link = self._link(key)
        elapsed = now - link.probed_at
        link.round_trip_time += (elapsed - link.round_trip_time) * (
            EWMA_WEIGHT if link.round_trip_time else 1.0
        )

    def record_probe_result(self, key: MemberKey, answered_directly: bool) -> None:
        """Record the result of a probe, unless the link was pruned in the meantime."""
        link = self.links.get(key)
        if link is None:
            return
        link.probes += 1
        link.loss_rate += ((0.0 if answered_directly else 1.0) - link.loss_rate) * EWMA_WEIGHT

    def prune(self, members: Container[MemberKey]) -> None:
        """Remove links to members that are no longer known."""
        self.links = {key: link for key, link in self.links.items() if key in members}

    def _link(self, key: MemberKey) -> Link:
        return self.links.setdefault(key, Link())
