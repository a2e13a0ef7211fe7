"""A snapshot for the topology tool from a run in virtual time: what each proxy's module holds at a moment."""

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
    from onyxhollow.lab.virtual import Instance, Virtual

OLD = 60.0  # seconds past which a load tells nothing


def view(instance: Instance, members: list[MemberStatus]) -> MemberView:
    now, balancer, zone = instance.now, instance.balancer, instance.world.zone_name(instance.zone)
    servers = [
        EndpointStatus(
            s.name,
            s.zone,
            s.state.value,
            len(s.connections),
            s.size,
            round(s.load, 3) if now - s.load_reported_at < OLD else None,
            round(now - s.load_reported_at, 1) if now - s.load_reported_at < OLD else None,
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


def taken(engine: Virtual) -> Snapshot:
    """As it stands now; a proxy that is down is told as silent. at: seconds since the run began."""
    number_of = engine.scenario.fleet.proxies
    up = {number for number, instance in engine.instances.items() if instance.alive}
    members = [
        MemberStatus(
            f"n{number}",
            0,
            "alive" if number in up else "dead",
            engine.world.zone_name(engine.world.proxies[number].zone),
        )
        for number in range(number_of)
    ]
    views = [view(engine.instances[number], members) for number in sorted(up)]
    silent = [UnreachableMember(f"n{number}", "down") for number in range(number_of) if number not in up]
    return Snapshot(engine.world.event_queue.now, views, silent)
