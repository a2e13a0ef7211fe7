"""What a picture is made of: symbols, lines and rows of tables, each with its place and its words. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhollow.topology.fault_types import FaultKind
from onyxhollow.topology.layout import Positions


@dataclass(frozen=True, slots=True)
class MemberSymbol:
    """A member in the picture."""

    name: str
    full_name: str
    x: float
    y: float
    mark: str  # what is wrong with it; empty if nothing is
    is_labelled: bool
    is_polled: bool
    is_voter: bool
    roles: str  # leases it holds, separated by commas


@dataclass(frozen=True, slots=True)
class EndpointSymbol:
    """An endpoint in the picture."""

    name: str
    full_name: str
    x: float
    y: float
    mark: str  # what is special about it; empty if nothing is
    is_labelled: bool
    connections: int
    fill: float  # share of the square that is filled, 0 to 1
    load: str
    age: str


@dataclass(frozen=True, slots=True)
class ZoneBox:
    """A zone in the picture."""

    zone: str
    x: float
    y: float
    width: float
    height: float
    members: list[MemberSymbol]
    endpoints: list[EndpointSymbol]
    summary: str
    flows: str  # where its members have connections
    endpoints_y: float  # of the line above the endpoints


@dataclass(frozen=True, slots=True)
class PathLine:
    """A faulty path between two members or two zones."""

    x1: float
    y1: float
    x2: float
    y2: float
    kind: FaultKind


@dataclass(frozen=True, slots=True)
class AddressRow:
    """A shared address at one site, in the table."""

    site: str
    preference: str
    cause: str


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A lease, in the table."""

    role: str
    holder: str
    term: int


@dataclass(frozen=True, slots=True)
class Scene:
    """Everything that is drawn of a snapshot; names are sanitized."""

    width: float
    height: float
    boxes: list[ZoneBox]
    lines: list[PathLine]
    faults: list[str]
    addresses: dict[str, list[AddressRow]]
    leases: list[LeaseRow]
    unreachable: list[str]
    positions: Positions  # by `m:`, `s:` or `z:` and the name of a member, an endpoint or a zone
    polled: int
    members: int
    endpoints: int
