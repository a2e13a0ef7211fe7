"""Take a snapshot for the topology tool from a run in virtual time: the state of each proxy's decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxhollow.topology.model import (
    EndpointListStatus,
    EndpointStatus,
    MemberStatus,
    MemberView,
    Snapshot,
    UnreachableMember,
)

if TYPE_CHECKING:
    from onyxhollow.lab.virtual import Instance, VirtualEngine

MAX_LOAD_AGE_SECONDS = 60.0  # older load reports are left out


def view_of(instance: Instance, members: list[MemberStatus]) -> MemberView:
    """Return what a running proxy knows, as the topology tool shows it."""
    now, balancer, zone = instance.now, instance.balancer, instance.world.zone_name(instance.zone)
    servers = [
        EndpointStatus(
            s.name,
            s.zone,
            s.state.value,
            len(s.connections),
            s.size,
            round(s.load, 3) if now - s.load_reported_at < MAX_LOAD_AGE_SECONDS else None,
            round(now - s.load_reported_at, 1) if now - s.load_reported_at < MAX_LOAD_AGE_SECONDS else None,
            round(s.outlier_score(now), 2),
            s.arrival is not None,
        )
        for s in sorted(balancer.tracked.values(), key=lambda s: s.name)
    ]
    stalled = instance.stalled_until > now
    return MemberView(
        f"n{instance.number}",
        zone,
        "",
        "in service",
        stalled_seconds=instance.stalled_until - now if stalled else 0.0,
        stalled_ago=0.0 if stalled else None,
        members=members,
        endpoints=servers,
        endpoint_list=EndpointListStatus(instance.seen),
    )


def take_snapshot(engine: VirtualEngine) -> Snapshot:
    """Return a snapshot of the current state; proxies that are down are listed as unreachable."""
    proxy_count = engine.scenario.fleet.proxies
    running = {number for number, instance in engine.instances.items() if instance.alive}
    members = [
        MemberStatus(
            f"n{number}",
            0,
            "alive" if number in running else "dead",
            engine.world.zone_name(engine.world.proxies[number].zone),
        )
        for number in range(proxy_count)
    ]
    views = [view_of(engine.instances[number], members) for number in sorted(running)]
    unreachable = [
        UnreachableMember(f"n{number}", "down") for number in range(proxy_count) if number not in running
    ]
    return Snapshot(engine.world.event_queue.now, views, unreachable)
