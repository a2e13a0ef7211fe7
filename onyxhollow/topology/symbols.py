"""Elements of a picture: symbols, lines and table rows, each with its position and its text. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhollow.topology.fault_types import FaultKind
from onyxhollow.topology.layout import Positions


@dataclass(frozen=True, slots=True)
class MemberSymbol:
    """Symbol of a member."""

    name: str
    full_name: str
    x: float
    y: float
    mark: str  # fault or unhealthy state; empty for a healthy member
    is_labelled: bool
    is_polled: bool
    is_voter: bool
    roles: str  # leases it holds, separated by commas


@dataclass(frozen=True, slots=True)
class EndpointSymbol:
    """Symbol of an endpoint."""

    name: str
    full_name: str
    x: float
    y: float
    mark: str  # state other than normal service, e.g. `full`; empty without one
    is_labelled: bool
    connections: int
    fill: float  # filled fraction of the square, 0 to 1
    load: str
    age: str


@dataclass(frozen=True, slots=True)
class ZoneBox:
    """Box of a zone with the symbols of its members and endpoints."""

    zone: str
    x: float
    y: float
    width: float
    height: float
    members: list[MemberSymbol]
    endpoints: list[EndpointSymbol]
    summary: str
    flows: str  # connections of its members by zone of the endpoint
    endpoints_y: float  # position of the text line above the endpoints


@dataclass(frozen=True, slots=True)
class PathLine:
    """Line that marks a faulty path between two members or two zones."""

    x1: float
    y1: float
    x2: float
    y2: float
    kind: FaultKind


@dataclass(frozen=True, slots=True)
class AddressRow:
    """Table row of a shared address at one site."""

    site: str
    preference: str
    cause: str


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Table row of a lease."""

    role: str
    holder: str
    term: int


@dataclass(frozen=True, slots=True)
class Scene:
    """All elements of a snapshot's picture; names are sanitized."""

    width: float
    height: float
    boxes: list[ZoneBox]
    lines: list[PathLine]
    faults: list[str]
    addresses: dict[str, list[AddressRow]]
    leases: list[LeaseRow]
    unreachable: list[str]
    positions: Positions  # keys: `m:`MEMBER, `s:`ENDPOINT, `z:`ZONE
    polled: int
    members: int
    endpoints: int
