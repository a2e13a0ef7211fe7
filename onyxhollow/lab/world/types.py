"""What the parts of the world share: why a client earns nothing, requests, and rates that faults change."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Cause(Enum):
    """Why a client earns nothing, or not all."""

    LATE = "late"
    REFUSED = "refused"
    TORN_DOWN = "torn down"
    MOVED = "moved"
    UNREACHABLE = "unreachable"
    DROPPED = "dropped"  # by the client's own side
    SLOW = "slow"
    CROSSING = "crossing"


@dataclass(slots=True)
class Wish:
    """One client's wish for a connection, from due to end (seconds)."""

    number: int
    due: float
    end: float
    listener: int
    customer: int
    zone: int
    group: int  # -1: none
    load: float  # usual load, cores of work
    over: bool  # beyond its customer's share when it came
    stands: bool  # open before the start


@dataclass(slots=True)
class Rates:
    """Factors on the rate of arrivals and on loads that faults bring, known before the start."""

    arrivals: list[tuple[float, float, float]] = field(default_factory=list)  # from, to, factor
    costly: list[tuple[float, float, int, float, float]] = field(default_factory=list)
    # from, to, listener (-1: any), share, factor
