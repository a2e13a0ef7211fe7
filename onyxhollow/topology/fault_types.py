"""Types of the faults of a fleet. Pure; `faults` and `paths` have the detection rules."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from onyxhollow.topology.model import MemberView

RECENT_STALL_SECONDS = 20.0  # a stall is a fault for this long after its end
MIN_STALL_SECONDS = 0.5

Views = Mapping[str, MemberView]


class FaultKind(StrEnum):
    """Kinds of fault; docs/topology.md describes the detection rule of each."""

    CUT = "cut"
    GONE = "gone"
    ONE_WAY = "one-way"
    LINK_CUT = "link cut"
    ZONE_ONE_WAY = "zone one-way"
    ZONE_LINK_CUT = "zone link cut"
    STALLED = "stalled"
    NO_HOLDER = "no holder"
    WITHDRAWN = "withdrawn"
    SUPPRESSED = "stays"
    DRAINING = "draining"
    ZONE_DRAINING = "zone draining"
    VERSIONS = "versions"
    UNREACHABLE = "silent"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: what is affected, the description for the operator, and the members that report it."""

    kind: FaultKind
    subjects: tuple[str, ...]  # members, zones, roles, versions, or an address and its site
    description: str
    reported_by: tuple[str, ...] = ()


def is_stalled(view: MemberView) -> bool:
    """Return whether the member reports a recent stall, which makes its ages unreliable."""
    recent = view.stalled_ago is not None and view.stalled_ago < RECENT_STALL_SECONDS
    return recent and view.stalled_seconds > MIN_STALL_SECONDS
