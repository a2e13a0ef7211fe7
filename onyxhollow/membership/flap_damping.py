"""Flap damping: members that fail repeatedly rank last for a while, similar to routes in RFC 2439."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

PENALTY_HALF_LIFE_SECONDS = 60.0
MAX_PENALTY = 6.0
SUPPRESS_THRESHOLD = 2.5  # a name is damped from this penalty on
REUSE_THRESHOLD = 1.0  # a damped name is released at this penalty
MAX_PENALIZED_NAMES = 4096  # beyond this, the name with the oldest failure is evicted


@dataclass(frozen=True, slots=True)
class Penalty:
    """Penalty of one name as of its last failure."""

    level: float
    updated_at: float
    is_damped: bool


class FlapDamping:
    """Decaying penalties by member name, so that a restart with a new epoch does not reset them."""

    def __init__(self) -> None:
        self.penalties: OrderedDict[str, Penalty] = OrderedDict()

    def level(self, name: str, now: float) -> float:
        """Return the penalty of a name after its decay until `now`."""
        penalty = self.penalties.get(name)
        if penalty is None:
            return 0.0
        return penalty.level * math.exp2(-max(0.0, now - penalty.updated_at) / PENALTY_HALF_LIFE_SECONDS)

    def record_failure(self, name: str, now: float) -> None:
        """Increase the penalty of a member that was declared dead by 1."""
        level = min(MAX_PENALTY, self.level(name, now) + 1.0)
        damped = level >= SUPPRESS_THRESHOLD or self.is_damped(name, now)
        self.penalties[name] = Penalty(level, now, damped)
        self.penalties.move_to_end(name)
        if len(self.penalties) > MAX_PENALIZED_NAMES:
            self.penalties.popitem(last=False)

    def is_damped(self, name: str, now: float) -> bool:
        """Return whether a name was suppressed and has not yet decayed to the reuse threshold."""
        penalty = self.penalties.get(name)
        return penalty is not None and penalty.is_damped and self.level(name, now) > REUSE_THRESHOLD
