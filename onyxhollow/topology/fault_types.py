"""What a fault of a fleet is. Pure; the rules are in `faults` and `paths`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from onyxhollow.topology.model import MemberView

STALL_MEMORY = 20.0  # seconds after a stall for which it is named
MIN_STALL = 0.5  # seconds

Views = Mapping[str, MemberView]


class FaultKind(StrEnum):
    """Kinds of fault; docs/topology.md has the rule of each."""

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
    """One fault: what it concerns, in which words it is shown, and which members report it."""

    kind: FaultKind
    subjects: tuple[str, ...]  # members, zones, roles, versions, or an address and its site
    description: str
    reported_by: tuple[str, ...] = ()


def is_stalled(view: MemberView) -> bool:
    """Whether the member reports a stall of late, by which its timestamps can't be relied on."""
    recent = view.stalled_ago is not None and view.stalled_ago < STALL_MEMORY
    return recent and view.stalled_seconds > MIN_STALL
