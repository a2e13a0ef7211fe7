"""Flap damping: members that come and go often lose their rank for a while, as routes do under RFC 2439."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

PENALTY_HALF_LIFE = 60.0  # seconds
MAX_PENALTY = 6.0
SUPPRESS_THRESHOLD = 2.5  # penalty from which a name is damped
REUSE_THRESHOLD = 1.0  # penalty at which a damped name is free again
MAX_NAMES = 4096  # with a penalty; past them the one that failed longest ago is forgotten


@dataclass(frozen=True, slots=True)
class Penalty:
    """Penalty of one name at its last failure."""

    level: float
    since: float
    damped: bool


class FlapDamping:
    """Decaying penalties by member name: a restart gives a member a new epoch, not a new record."""

    def __init__(self) -> None:
        self.penalties: OrderedDict[str, Penalty] = OrderedDict()

    def level(self, name: str, now: float) -> float:
        """Return the penalty of a name, decayed to `now`."""
        penalty = self.penalties.get(name)
        if penalty is None:
            return 0.0
        return penalty.level * math.exp2(-max(0.0, now - penalty.since) / PENALTY_HALF_LIFE)

    def record_failure(self, name: str, now: float) -> None:
        """Add one to the penalty of a member that was declared dead."""
        level = min(MAX_PENALTY, self.level(name, now) + 1.0)
        damped = level >= SUPPRESS_THRESHOLD or self.is_damped(name, now)
        self.penalties[name] = Penalty(level, now, damped)
        self.penalties.move_to_end(name)
        if len(self.penalties) > MAX_NAMES:
            self.penalties.popitem(last=False)

    def is_damped(self, name: str, now: float) -> bool:
        """Return whether a name has crossed the suppress threshold and not yet decayed to reuse."""
        penalty = self.penalties.get(name)
        return penalty is not None and penalty.damped and self.level(name, now) > REUSE_THRESHOLD
