"""Detection of the faults in a snapshot of a fleet. Pure.

Each fault kind has its own rule. One cause gives one fault: a member that is reported as gone, stalled or cut
off is not reported again for the consequences. `paths` evaluates the direct paths between members.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import networkx as nx

from onyxhollow.topology.fault_types import Fault, FaultKind, Views, is_stalled
from onyxhollow.topology.model import MemberState, MemberView, ServicePhase, Snapshot
from onyxhollow.topology.paths import find_path_faults

MAX_LISTED_NAMES = 6  # in a description; the others are counted
GONE_STATES = (MemberState.DEAD, MemberState.LEFT)
DRAINING_PHASES = (ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE)
WITHDRAWN = "withdrawn"  # a route's preference, as reported by the address controller
HOLDING = "holding"  # state of the candidate that holds a lease


def find_faults(snapshot: Snapshot) -> list[Fault]:
    """Return all faults of a snapshot, a partition first; empty for a snapshot without views."""
    views = snapshot.views_by_name()
    if not views:
        return []
    dead = {name: dead_members(view) for name, view in views.items()}
    partition = _find_partition(dead)
    cut_off = {name for fault in partition for name in fault.subjects}
    return [
        *partition,
        *_find_gone_members(dead, cut_off),
        *find_path_faults(views, cut_off),
        *_find_stalled(views),
        *_find_leases_without_holder(snapshot, views),
        *_find_address_faults(snapshot),
        *_find_draining(views),
        *_find_mixed_versions(views),
        *_find_unreachable(snapshot),
    ]


def dead_members(view: MemberView) -> set[str]:
    """Return the names of members that have only dead incarnations in the view."""
    present = {row.name for row in view.members if row.state not in GONE_STATES} | {view.name}
    return {row.name for row in view.members if row.state == MemberState.DEAD} - present


def _format_names(names: Iterable[str]) -> str:
    rows = sorted(names)
    more = f" and {len(rows) - MAX_LISTED_NAMES} more" if len(rows) > MAX_LISTED_NAMES else ""
    return ", ".join(rows[:MAX_LISTED_NAMES]) + more


def _find_partition(dead: Mapping[str, set[str]]) -> list[Fault]:
    """Find sides whose members answer polls but report each other as dead; return all but the largest."""
    separated = [(a, b) for a in dead for b in dead if a < b and b in dead[a] and a in dead[b]]
    if not separated:
        return []
    separated_pairs = set(separated)
    graph = nx.Graph()
    graph.add_nodes_from(dead)
    graph.add_edges_from((a, b) for a in dead for b in dead if a < b and (a, b) not in separated_pairs)
    sides = [set(side) for side in nx.connected_components(graph)]
    sides.sort(key=lambda side: (-len(side), sorted(side)))
    reported_by = tuple(sorted({name for pair in separated for name in pair}))
    return [
        Fault(
            FaultKind.CUT,
            tuple(sorted(side)),
            f"cut: {_format_names(side)} and {_format_names(sides[0])} hold each other for dead",
            reported_by,
        )
        for side in sides[1:]
    ]


def _find_gone_members(dead: Mapping[str, set[str]], cut_off: set[str]) -> list[Fault]:
    """Find members without a view that more members report as dead than not."""
    faults = []
    for name in sorted({name for rows in dead.values() for name in rows if name not in dead}):
        reported_by = tuple(sorted(reporter for reporter, rows in dead.items() if name in rows))
        others = [reporter for reporter in dead if name not in dead[reporter] and reporter not in cut_off]
        if len(reported_by) > len(others):
            description = f"gone: {name}, held for dead by {len(reported_by)}"
            faults.append(Fault(FaultKind.GONE, (name,), description, reported_by))
    return faults


def _find_stalled(views: Views) -> list[Fault]:
    return [
        Fault(
            FaultKind.STALLED,
            (name,),
            f"stalled: {name} stood still, {view.stalled_seconds:.1f} s in all,"
            f" last {view.stalled_ago:.0f} s ago",
            (name,),
        )
        for name, view in sorted(views.items())
        if is_stalled(view)
    ]


def _find_leases_without_holder(snapshot: Snapshot, views: Views) -> list[Fault]:
    """Find roles that have a candidate but no holder according to the polled members."""
    faults = []
    for role, lease in sorted(snapshot.leases().items()):
        states = [row.local_state for view in views.values() for row in view.leases if row.role == role]
        holder = lease.holder_name
        # A holder that was not polled and that others report as alive may still hold the lease.
        holder_is_lost = (
            not holder or holder in views or all(holder in dead_members(view) for view in views.values())
        )
        if HOLDING not in states and any(states) and holder_is_lost:
            description = f"no holder: {role}, last {holder or 'nobody'} under term {lease.term}"
            faults.append(Fault(FaultKind.NO_HOLDER, (role,), description, tuple(sorted(views))))
    return faults


def _find_address_faults(snapshot: Snapshot) -> list[Fault]:
    faults = []
    for (address, site), row in sorted(snapshot.addresses().items()):
        if row.preference == WITHDRAWN:
            cause = row.drain or row.exclude or row.cause or "not advertised yet"
            description = f"withdrawn: {address} at {site}, {cause}"
            faults.append(Fault(FaultKind.WITHDRAWN, (address, site), description))
        elif row.suppressed_by:
            description = f"{address} at {site} stays, {row.suppressed_by}"
            faults.append(Fault(FaultKind.SUPPRESSED, (address, site), description))
    return faults


def _find_draining(views: Views) -> list[Fault]:
    """Find draining members; report a zone instead if all its members drain and other zones serve."""
    draining = {name for name, view in views.items() if view.service_phase in DRAINING_PHASES}
    faults = []
    for zone in sorted({view.zone for view in views.values()}):
        names = {name for name, view in views.items() if view.zone == zone}
        if names and names <= draining and len(views) > len(names):
            description = f"zone {zone} drains: {_format_names(names)}"
            faults.append(Fault(FaultKind.ZONE_DRAINING, (zone,), description, tuple(sorted(names))))
            draining -= names
    faults += [Fault(FaultKind.DRAINING, (name,), f"{name} drains", (name,)) for name in sorted(draining)]
    return faults


def _find_mixed_versions(views: Views) -> list[Fault]:
    versions = sorted({view.version for view in views.values() if view.version})
    if len(versions) < 2:
        return []
    names = {
        version: [name for name, view in views.items() if view.version == version] for version in versions
    }
    listed = "; ".join(f"{version}: {_format_names(names[version])}" for version in versions)
    description = f"two versions at once: {listed}"
    return [Fault(FaultKind.VERSIONS, tuple(versions), description, tuple(sorted(views)))]


def _find_unreachable(snapshot: Snapshot) -> list[Fault]:
    return [
        Fault(FaultKind.UNREACHABLE, (row.target,), f"{row.target} did not answer: {row.reason}")
        for row in snapshot.unreachable
    ]
