"""Gossip of load reports in virtual time, between the proxies of the virtual-time engine.

The members' gossip cores are the real ones. Membership changes reach them after a delay, as real membership
would. Messages take the network's one-way time, and a partition from servers of a zone also cuts the link to
the proxies of that zone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec

from onyxhollow.decision_adapter import report_shared
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.load_gossip import LoadGossip
from onyxhollow.gossip.messages import ConnectionCounts, ReportPage
from onyxhollow.gossip.ownership import GossipMember
from onyxhollow.lab.world.servers import Session
from onyxhollow.lab.world.world import World
from onyxhollow.policy import Balancer

MEMBER_LOSS_SECONDS = 2.0  # until all members have removed one that ended
MEMBER_JOIN_SECONDS = 0.5  # until all members have added a new one


class GossipingProxy(Protocol):
    """The parts of a simulated proxy that gossip uses."""

    number: int
    zone: int
    alive: bool
    stalled_until: float  # seconds

    @property
    def balancer(self) -> Balancer:
        """The decision module of the proxy."""

    def check_health(self, server: str, shared: bool = False) -> None:
        """Send a health check; with `shared` on behalf of all members."""


class GossipEngine(Protocol):
    """The parts of the virtual-time engine that gossip uses."""

    world: World

    @property
    def instances(self) -> Mapping[int, GossipingProxy]:
        """Proxies by number."""

    def one_way(self, zone: int, other: int, sess: Session | None) -> float:
        """Return the time in seconds that a message takes between two zones."""


@dataclass(frozen=True, slots=True)
class GossipFaults:
    """Faults that affect gossip only."""

    cut_from: float = 0.0
    cut_until: float = 0.0  # no messages pass between zones in this period
    liars: int = 0  # members that send false loads as new, and counts a thousand times too high


class SimulatedGossip:
    """The gossip cores of all running proxies, with the messages between them."""

    def __init__(self, engine: GossipEngine, gossip_config: GossipConfig, faults: GossipFaults) -> None:
        """Begin without members; the engine adds each proxy that it starts."""
        self.engine, self.gossip_config, self.faults = engine, gossip_config, faults
        self.world = engine.world
        self.cores: dict[int, LoadGossip] = {}  # by proxy
        self.proxy_by_epoch: dict[int, int] = {}  # by epoch
        self.rng = Random(engine.world.seed * 7 + 5)
        self.messages = self.rows = 0

    def add_member(self, instance: GossipingProxy, epoch: int) -> None:
        """Add the gossip core of a proxy that has started."""
        now, zone = self.world.event_queue.now, self.world.zone_name(instance.zone)
        core = LoadGossip(
            GossipMember(epoch, f"n{instance.number}", zone), self.gossip_config, Random(epoch * 31 + 7), now
        )
        self.cores[instance.number], self.proxy_by_epoch[epoch] = core, instance.number
        self.world.event_queue.schedule_after(MEMBER_JOIN_SECONDS if now else 0.0, self.update_membership)
        self.world.event_queue.schedule_at(core.next_due, self.tick, instance, core)

    def remove_member(self, number: int) -> None:
        """Remove the gossip core of a proxy that ended; the others learn it later."""
        if self.cores.pop(number, None):
            self.world.event_queue.schedule_after(MEMBER_LOSS_SECONDS, self.update_membership)

    def update_membership(self) -> None:
        """Pass the current members to every gossip core."""
        members = [core.local for core in self.cores.values()]
        for core in self.cores.values():
            core.set_members(members)

    def tick(self, instance: GossipingProxy, core: LoadGossip) -> None:
        """Run a period of a proxy's gossip core, or delay it while the proxy is stalled."""
        if not instance.alive or self.cores.get(instance.number) is not core:
            return
        now, balancer = self.world.event_queue.now, instance.balancer
        if now < instance.stalled_until:
            self.world.event_queue.schedule_at(instance.stalled_until, self.tick, instance, core)
            return
        core.set_endpoints({server.name: server.zone for server in balancer.endpoints})
        own = {s.name: len(s.connections) for s in balancer.tracked.values() if s.connections}
        if instance.number < self.faults.liars:
            own = {name: 1000 * count for name, count in own.items()}
        core.tick(own, now)
        self.dispatch(instance, core)
        self.world.event_queue.schedule_at(core.next_due, self.tick, instance, core)

    def dispatch(self, instance: GossipingProxy, core: LoadGossip) -> None:
        """Send the health checks and messages that a core has queued, and pass on its new estimates."""
        for server in core.take_polls():
            instance.check_health(server, shared=True)
        for outgoing in core.take_outbox():
            epoch, message = outgoing.receiver, outgoing.message
            other = self.proxy_by_epoch.get(epoch)
            if other is None or self.is_cut(instance.number, other):
                continue
            if instance.number < self.faults.liars and isinstance(message, ReportPage):
                message = self.falsify(message)
            target_zone = self.world.proxies[other].zone
            self.messages += 1
            delay = self.engine.one_way(instance.zone, target_zone, None)
            self.world.event_queue.schedule_after(
                delay, self.deliver, other, epoch, core.local.epoch, message
            )
        for estimate in core.take_estimates():
            report_shared(instance.balancer, estimate)

    def deliver(self, number: int, epoch: int, sender: int, message: ReportPage | ConnectionCounts) -> None:
        """Pass a message to its receiver, unless that has ended or restarted since."""
        core, instance = self.cores.get(number), self.engine.instances.get(number)
        if core is None or instance is None or core.local.epoch != epoch:
            return
        if self.world.event_queue.now < instance.stalled_until:
            self.world.event_queue.schedule_at(
                instance.stalled_until, self.deliver, number, epoch, sender, message
            )
            return
        core.on_message(sender, message, self.world.event_queue.now)
        self.dispatch(instance, core)

    def is_cut(self, proxy: int, other: int) -> bool:
        """Return whether messages between two proxies are lost."""
        proxies, faults = self.world.proxies, self.faults
        if proxies[proxy].zone != proxies[other].zone and (
            faults.cut_from <= self.world.event_queue.now < faults.cut_until
        ):
            return True
        for cut in self.world.blocked_links.values():
            for source, target in ((proxy, other), (other, proxy)):
                zone = proxies[target].zone
                if source in cut.proxies and any(
                    self.world.servers_by_name[s].zone == zone for s in cut.servers
                ):
                    return True
        return False

    def falsify(self, page: ReportPage) -> ReportPage:
        """Return the page with old reports marked as new and with inverted loads."""
        rows = [
            msgspec.structs.replace(
                row,
                age=0,
                sequence=row.sequence + 1,
                load_age=0,
                load=max(0, 1300 - row.load),
                connections=self.rng.randrange(2000),
            )
            for row in page.reports
        ]
        return ReportPage(rows)
