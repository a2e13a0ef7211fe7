"""The table that `topology show` prints: one row per zone, and all faults below it. Pure."""

from __future__ import annotations

from rich.table import Table

from onyxhollow.topology.faults import find_faults
from onyxhollow.topology.model import EndpointStatus, Snapshot
from onyxhollow.topology.scene import (
    MAX_DESCRIPTION_CHARS,
    describe_flows,
    list_zones,
    sanitize,
    unhealthy_members,
)

COLUMNS = ("zone", "members", "asked", "ill", "servers", "busiest", "connections", "goes to")


def zone_table(snapshot: Snapshot) -> Table:
    """Build the table of zones; every name is sanitized."""
    faults = find_faults(snapshot)
    caption = (
        "\n".join(sanitize(fault.description, MAX_DESCRIPTION_CHARS) for fault in faults) or "no trouble"
    )
    table = Table(box=None, caption=caption, caption_justify="left")
    for heading in COLUMNS:
        table.add_column(heading, overflow="fold")
    members = snapshot.members()
    endpoints = snapshot.endpoints()
    polled = snapshot.views_by_name()
    marks = unhealthy_members(snapshot, faults)
    flows = snapshot.connections_by_zone()
    for zone in list_zones(members, endpoints):
        names = [name for name, member in members.items() if member.zone == zone]
        zone_endpoints = [endpoint for endpoint in endpoints.values() if endpoint.zone == zone]
        table.add_row(
            sanitize(zone) or "no zone",
            str(len(names)),
            str(sum(name in polled for name in names)),
            ", ".join(f"{sanitize(name)} ({marks[name]})" for name in sorted(names) if name in marks),
            str(len(zone_endpoints)),
            _describe_busiest(zone_endpoints),
            str(sum(endpoint.connections for endpoint in zone_endpoints)),
            describe_flows(flows.get(zone, {})),
        )
    return table


def _describe_busiest(endpoints: list[EndpointStatus]) -> str:
    with_load = [endpoint for endpoint in endpoints if endpoint.load is not None]
    if not with_load:
        return ""
    busiest = max(with_load, key=lambda endpoint: endpoint.load or 0.0)
    return f"{sanitize(busiest.name)} {busiest.load:.2f}"
