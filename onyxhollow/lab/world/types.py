"""Types shared by the parts of the world model: causes of lost utility, requests, and rate factors."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class LossCause(Enum):
    """Why a client earns no utility, or less than the full utility."""

    LATE = "late"
    REFUSED = "refused"
    TORN_DOWN = "torn down"
    MOVED = "moved"
    UNREACHABLE = "unreachable"
    DROPPED = "dropped"  # by the client's own side
    SLOW = "slow"
    CROSSING = "crossing"  # of a zone boundary


@dataclass(slots=True)
class Request:
    """One client's request for a connection, from due to end (seconds)."""

    number: int
    due: float
    end: float
    listener: int
    tenant: int
    zone: int
    group: int  # -1: none
    load: float  # average load, cores of work
    over_quota: bool  # its tenant's quota was used up when it was due
    preexisting: bool  # connected before the start


@dataclass(slots=True)
class RateFactors:
    """Factors that faults apply to the arrival rate and to loads, known before the start."""

    arrivals: list[tuple[float, float, float]] = field(default_factory=list)  # from, to, factor
    loads: list[tuple[float, float, int, float, float]] = field(default_factory=list)
    # from, to, listener (-1: any), share of the sessions, factor
