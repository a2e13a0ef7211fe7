"""The staged, latency-paced migration of the paper (section 3.2): how many connections move each second.

Decides from the share already moved and from the latency of receiver against source. Guards against a target
that is filled faster than it can serve, and against a slow source that keeps its clients too long.
"""

from __future__ import annotations

import math

STAGE_RATES = (0.05, 0.10, 0.15, 0.20)  # of the connections a second, in stages of a quarter each


class StagedMigration:
    """One migration in four stages, which end at 25, 50, 75 and 100 percent moved.

    Attributes:
        count: connections to move.
        moved: those moved so far; natural ends count too.
        credit: placements still allowed in this second (arrivals only).
        credited_at: when credit was last given out.
        latency: the source's before its drain notice, seconds; None if unknown.
    """

    def __init__(self, count: int, latency: float | None = None) -> None:
        self.count = count
        self.moved = 0
        self.carry = 0.0  # fractions go over to the next second
        self.credit = 0
        self.credited_at = -math.inf
        self.latency = latency

    def allowance(self, source: float | None, receiver: float | None) -> int:
        """Return how many may move this second; latencies in seconds, without both the base rate holds."""
        stage = min(3, 4 * self.moved // max(1, self.count))
        rate = float(math.ceil(STAGE_RATES[stage] * self.count))
        if source is not None and receiver is not None:
            if stage < 3 and receiver >= 2 * source:
                rate /= 4 if receiver >= 3 * source else 2
            if source > receiver:
                rate *= 2
        self.carry, whole = math.modf(rate + self.carry)
        return int(whole)
