"""Layout of a snapshot's picture: every box, symbol and line with its position and its text. Pure.

No meaning depends on colour alone: an unhealthy symbol also has another shape, a thick dashed border and a
text mark. In a zone with more than MAX_LABELLED members, healthy ones are drawn small and counted, and
have no label unless they hold a lease.
"""

from __future__ import annotations

import unicodedata
from collections.abc import Iterable, Mapping

from onyxhollow.topology.fault_types import Fault, FaultKind
from onyxhollow.topology.faults import find_faults
from onyxhollow.topology.layout import (
    BOX_GAP,
    BOX_HEADER,
    BOX_WIDTH,
    Position,
    Positions,
    place,
)
from onyxhollow.topology.model import EndpointStatus, MemberState, MemberStatus, Snapshot
from onyxhollow.topology.symbols import (
    AddressRow,
    EndpointSymbol,
    LeaseRow,
    MemberSymbol,
    PathLine,
    Scene,
    ZoneBox,
)

MAX_LABELLED = 12  # members or endpoints of a zone; with more, the healthy ones have no labels
MAX_NAME_CHARS = 22
MAX_FULL_NAME_CHARS = 200  # in tooltips
MAX_ZONE_NAME_CHARS = 12  # in lists of connections
MAX_CAUSE_CHARS = 60
MAX_DESCRIPTION_CHARS = 150
MAX_REASON_CHARS = 120
MAX_FLOWS = 6  # zones listed as targets of connections
FULL_LOAD = 0.9  # fraction of capacity from which an endpoint is marked
HIGH_OUTLIER_SCORE = 2.0  # score from which an endpoint is marked
BOXES_PER_ROW = 4
PAGE_HEADER = 60.0  # pixels above the boxes; all lengths below are pixels
BOX_MARGIN = 8.0
ENDPOINT_HEADER = 26.0  # between the members of a box and its endpoints
BOX_FOOTER = 10.0
ZONE_ANCHOR = Position(BOX_WIDTH - 30, 16.0)  # end of lines between zones, relative to a box

MEMBER_FAULTS = frozenset(
    {
        FaultKind.CUT,
        FaultKind.GONE,
        FaultKind.ONE_WAY,
        FaultKind.LINK_CUT,
        FaultKind.STALLED,
        FaultKind.DRAINING,
    }
)
MEMBER_PATH_FAULTS = frozenset({FaultKind.ONE_WAY, FaultKind.LINK_CUT})
ZONE_PATH_FAULTS = frozenset({FaultKind.ZONE_ONE_WAY, FaultKind.ZONE_LINK_CUT})


def sanitize(text: str, limit: int = MAX_NAME_CHARS) -> str:
    """Replace control and direction characters, and truncate the text to `limit` characters."""
    safe = "".join(
        char if unicodedata.category(char)[0] != "C" else "\N{REPLACEMENT CHARACTER}" for char in text
    )
    return safe if len(safe) <= limit else safe[: limit - 1] + "\N{HORIZONTAL ELLIPSIS}"


def unhealthy_members(snapshot: Snapshot, faults: Iterable[Fault]) -> dict[str, str]:
    """Return the marks of unhealthy members by name: the first fault's kind, else a reported state."""
    marks: dict[str, str] = {}
    members = snapshot.members()
    for fault in faults:
        if fault.kind in MEMBER_FAULTS:
            for name in fault.subjects:
                marks.setdefault(name, fault.kind.value)
        elif fault.kind is FaultKind.ZONE_DRAINING:
            for name, member in members.items():
                if member.zone in fault.subjects:
                    marks.setdefault(name, FaultKind.DRAINING.value)
    for view in snapshot.views:
        for row in view.members:
            if row.state == MemberState.SUSPECT:
                marks.setdefault(row.name, MemberState.SUSPECT.value)
            if row.is_damped:
                marks.setdefault(row.name, "comes and goes")
    return marks


def describe_flows(counts: Mapping[str, int]) -> str:
    """Format connection counts by zone of the endpoint, largest first as in `counts`."""
    rows = list(counts.items())[:MAX_FLOWS]
    return ", ".join(f"{sanitize(zone, MAX_ZONE_NAME_CHARS) or 'no zone'} {count}" for zone, count in rows)


def list_zones(members: Mapping[str, MemberStatus], endpoints: Mapping[str, EndpointStatus]) -> list[str]:
    """Return the zones of members and endpoints, sorted by name."""
    zones = {member.zone for member in members.values()}
    return sorted(zones | {endpoint.zone for endpoint in endpoints.values()})


def build_scene(snapshot: Snapshot) -> Scene:
    """Lay out the picture of a snapshot."""
    faults = find_faults(snapshot)
    builder = _BoxBuilder(snapshot, faults)
    zones = list_zones(builder.members, builder.endpoints)
    boxes: list[ZoneBox] = []
    top = PAGE_HEADER
    row_height = 0.0
    for number, zone in enumerate(zones):
        column = number % BOXES_PER_ROW
        if number and column == 0:
            top = top + row_height + BOX_GAP
            row_height = 0.0
        box = builder.build(zone, BOX_GAP + column * (BOX_WIDTH + BOX_GAP), top)
        boxes.append(box)
        row_height = max(row_height, box.height)
    return Scene(
        width=BOX_GAP + min(BOXES_PER_ROW, max(1, len(zones))) * (BOX_WIDTH + BOX_GAP),
        height=top + row_height + BOX_GAP,
        boxes=boxes,
        lines=_path_lines(faults, builder.positions),
        faults=[sanitize(fault.description, MAX_DESCRIPTION_CHARS) for fault in faults],
        addresses=_address_rows(snapshot),
        leases=[
            LeaseRow(sanitize(role), sanitize(lease.holder_name) or "nobody", lease.term)
            for role, lease in sorted(snapshot.leases().items())
        ],
        unreachable=[
            sanitize(f"{row.target}: {row.reason}", MAX_REASON_CHARS) for row in snapshot.unreachable
        ],
        positions=builder.positions,
        polled=len(builder.views),
        members=len(builder.members),
        endpoints=len(builder.endpoints),
    )


class _BoxBuilder:
    """Lays out the box of one zone per call and collects the positions of all symbols."""

    def __init__(self, snapshot: Snapshot, faults: list[Fault]) -> None:
        self.views = snapshot.views_by_name()
        self.members = snapshot.members()
        self.endpoints = snapshot.endpoints()
        self.marks = unhealthy_members(snapshot, faults)
        self.flows = snapshot.connections_by_zone()
        self.roles: dict[str, list[str]] = {}
        for role, lease in snapshot.leases().items():
            if lease.holder_name:
                self.roles.setdefault(lease.holder_name, []).append(role)
        self.positions: Positions = {}

    def build(self, zone: str, left: float, top: float) -> ZoneBox:
        member_names = sorted(name for name, row in self.members.items() if row.zone == zone)
        endpoint_names = sorted(name for name, row in self.endpoints.items() if row.zone == zone)
        grid_left = left + BOX_MARGIN
        grid_width = BOX_WIDTH - 2 * BOX_MARGIN
        member_places, members_height = place(member_names, grid_left, top + BOX_HEADER, grid_width)
        endpoints_top = top + BOX_HEADER + members_height + ENDPOINT_HEADER
        endpoint_places, endpoints_height = place(endpoint_names, grid_left, endpoints_top, grid_width)
        self.positions[f"z:{zone}"] = Position(left + ZONE_ANCHOR.x, top + ZONE_ANCHOR.y)
        self.positions |= {f"m:{name}": position for name, position in member_places.items()}
        self.positions |= {f"s:{name}": position for name, position in endpoint_places.items()}
        members = [
            self._build_member(self.members[name], member_places[name], len(member_names))
            for name in member_names
        ]
        endpoints = [
            _build_endpoint(self.endpoints[name], endpoint_places[name], len(endpoint_names))
            for name in endpoint_names
        ]
        return ZoneBox(
            zone=sanitize(zone) or "no zone",
            x=left,
            y=top,
            width=BOX_WIDTH,
            height=BOX_HEADER + members_height + ENDPOINT_HEADER + endpoints_height + BOX_FOOTER,
            members=members,
            endpoints=endpoints,
            summary=_summarize(members, endpoints),
            flows=describe_flows(self.flows.get(zone, {})),
            endpoints_y=endpoints_top - BOX_MARGIN,
        )

    def _build_member(self, row: MemberStatus, position: Position, neighbours: int) -> MemberSymbol:
        mark = self.marks.get(row.name, "")
        return MemberSymbol(
            name=sanitize(row.name),
            full_name=sanitize(row.name, MAX_FULL_NAME_CHARS),
            x=position.x,
            y=position.y,
            mark=mark,
            is_labelled=bool(mark) or row.name in self.roles or neighbours <= MAX_LABELLED,
            is_polled=row.name in self.views,
            is_voter=row.is_voter,
            roles=", ".join(sorted(self.roles.get(row.name, []))),
        )


def _build_endpoint(row: EndpointStatus, position: Position, neighbours: int) -> EndpointSymbol:
    mark = _endpoint_mark(row)
    return EndpointSymbol(
        name=sanitize(row.name),
        full_name=sanitize(row.name, MAX_FULL_NAME_CHARS),
        x=position.x,
        y=position.y,
        mark=mark,
        is_labelled=bool(mark) or neighbours <= MAX_LABELLED,
        connections=row.connections,
        fill=0.0 if row.load is None else min(1.0, max(0.0, row.load)),
        load="?" if row.load is None else f"{row.load:.2f}",
        age="" if row.load_age is None else f"{row.load_age:.0f} s old",
    )


def _endpoint_mark(row: EndpointStatus) -> str:
    if row.state != "in service":
        return row.state
    if row.load is not None and row.load >= FULL_LOAD:
        return "full"
    if row.outlier_score >= HIGH_OUTLIER_SCORE:
        return "distrusted"
    return "arrives" if row.is_warming_up else ""


def _summarize(members: list[MemberSymbol], endpoints: list[EndpointSymbol]) -> str:
    healthy_members = sum(not symbol.mark for symbol in members)
    healthy_endpoints = sum(not symbol.mark for symbol in endpoints)
    return (
        f"{len(members)} members, {healthy_members} well; {len(endpoints)} servers, {healthy_endpoints} well"
    )


def _path_lines(faults: Iterable[Fault], positions: Positions) -> list[PathLine]:
    """Return lines for faults between two members or zones; faults of one member are marks instead."""
    lines = []
    for fault in faults:
        if fault.kind in ZONE_PATH_FAULTS:
            prefix = "z"
        elif fault.kind in MEMBER_PATH_FAULTS and len(fault.subjects) == 2:
            prefix = "m"
        else:
            continue
        source, target = (positions.get(f"{prefix}:{name}") for name in fault.subjects)
        if source is not None and target is not None:
            lines.append(PathLine(source.x, source.y, target.x, target.y, fault.kind))
    return lines


def _address_rows(snapshot: Snapshot) -> dict[str, list[AddressRow]]:
    rows: dict[str, list[AddressRow]] = {}
    for (address, site), status in sorted(snapshot.addresses().items()):
        cause = status.suppressed_by or status.cause or status.drain
        row = AddressRow(sanitize(site), status.preference, sanitize(cause, MAX_CAUSE_CHARS))
        rows.setdefault(sanitize(address), []).append(row)
    return rows
