"""The staged, latency-paced migration of the paper (section 3.2): how many connections move each second.

The rate depends on the share already moved and on the receiver's latency against the source's. It slows down
for a receiver that cannot serve more, and speeds up for a slow source, whose clients should leave sooner.
"""

from __future__ import annotations

import math

STAGE_RATES = (0.05, 0.10, 0.15, 0.20)  # share of the connections per second, by stage


class StagedMigration:
    """A migration in four stages, which end at 25, 50, 75 and 100 percent moved.

    Attributes:
        count: number of connections to move.
        moved: number moved so far, including connections that ended by themselves.
        carry: fraction of a connection carried over to the next second.
        credit: placements still allowed in this second (arrivals only).
        credited_at: when `credit` was last renewed.
        latency: the source's latency in seconds before its drain notice; None if unknown.
    """

    def __init__(self, count: int, latency: float | None = None) -> None:
        self.count = count
        self.moved = 0
        self.carry = 0.0
        self.credit = 0
        self.credited_at = -math.inf
        self.latency = latency

    def allowance(self, source_latency: float | None, receiver_latency: float | None) -> int:
        """Return how many connections may move this second.

        Args:
            source_latency: seconds; None if unknown.
            receiver_latency: seconds; None if unknown. Unless both are known, the stage's rate applies.
        """
        stage = min(3, 4 * self.moved // max(1, self.count))
        rate = float(math.ceil(STAGE_RATES[stage] * self.count))
        if source_latency is not None and receiver_latency is not None:
            if stage < 3 and receiver_latency >= 2 * source_latency:
                rate /= 4 if receiver_latency >= 3 * source_latency else 2
            if source_latency > receiver_latency:
                rate *= 2
        self.carry, whole = math.modf(rate + self.carry)
        return int(whole)
