"""Sharing in virtual time: the members' cores as they are, between the instances of an engine.

Who is there is known a moment after it has changed, as membership would tell it; messages take the network's
time, and links that are cut for servers of a zone are cut for its proxies too.
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

NOTICED = 2.0  # seconds until all know that a member is gone
SEEN = 0.5  # ... that one has come


class GossipingProxy(Protocol):
    """What gossip needs of a simulated proxy."""

    number: int
    zone: int
    alive: bool
    stalled_until: float  # seconds

    @property
    def balancer(self) -> Balancer:
        """Its decisions."""

    def check_health(self, server: str, shared: bool = False) -> None:
        """Sends a health check; with `shared` on behalf of all members."""


class GossipEngine(Protocol):
    """What gossip needs of the engine in virtual time."""

    world: World

    @property
    def instances(self) -> Mapping[int, GossipingProxy]:
        """Proxies by number."""

    def one_way(self, zone: int, other: int, sess: Session | None) -> float:
        """Seconds that a message takes between two zones."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """What is done to sharing alone."""

    cut_from: float = 0.0
    cut_until: float = 0.0  # zones hear nothing of one another meanwhile
    liars: int = 0  # members that tell absurd loads as new, and counts a thousand times too high


class Talk:
    def __init__(self, engine: GossipEngine, terms: GossipConfig, trouble: Trouble) -> None:
        self.engine, self.terms, self.trouble = engine, terms, trouble
        self.world = engine.world
        self.cores: dict[int, LoadGossip] = {}  # by proxy
        self.where: dict[int, int] = {}  # by epoch: proxy
        self.rng = Random(engine.world.seed * 7 + 5)
        self.messages = self.rows = 0

    def joined(self, instance: GossipingProxy, epoch: int) -> None:
        """A proxy has started."""
        now, zone = self.world.event_queue.now, self.world.zone_name(instance.zone)
        core = LoadGossip(
            GossipMember(epoch, f"n{instance.number}", zone), self.terms, Random(epoch * 31 + 7), now
        )
        self.cores[instance.number], self.where[epoch] = core, instance.number
        self.world.event_queue.schedule_after(SEEN if now else 0.0, self.meet)
        self.world.event_queue.schedule_at(core.next_due, self.tick, instance, core)

    def left(self, number: int) -> None:
        if self.cores.pop(number, None):
            self.world.event_queue.schedule_after(NOTICED, self.meet)

    def meet(self) -> None:
        there = [core.local for core in self.cores.values()]
        for core in self.cores.values():
            core.set_members(there)

    def tick(self, instance: GossipingProxy, core: LoadGossip) -> None:
        if not instance.alive or self.cores.get(instance.number) is not core:
            return
        now, balancer = self.world.event_queue.now, instance.balancer
        if now < instance.stalled_until:
            self.world.event_queue.schedule_at(instance.stalled_until, self.tick, instance, core)
            return
        core.set_endpoints({server.name: server.zone for server in balancer.endpoints})
        own = {s.name: len(s.connections) for s in balancer.tracked.values() if s.connections}
        if instance.number < self.trouble.liars:
            own = {name: 1000 * count for name, count in own.items()}
        core.tick(own, now)
        self.pass_on(instance, core)
        self.world.event_queue.schedule_at(core.next_due, self.tick, instance, core)

    def pass_on(self, instance: GossipingProxy, core: LoadGossip) -> None:
        """What a core has left to be done."""
        for server in core.take_polls():
            instance.check_health(server, shared=True)
        for outgoing in core.take_outbox():
            epoch, message = outgoing.receiver, outgoing.message
            other = self.where.get(epoch)
            if other is None or self.cut(instance.number, other):
                continue
            if instance.number < self.trouble.liars and isinstance(message, ReportPage):
                message = self.lie(message)
            there = self.world.proxies[other].zone
            self.messages += 1
            takes = self.engine.one_way(instance.zone, there, None)
            self.world.event_queue.schedule_after(takes, self.arrive, other, epoch, core.local.epoch, message)
        for one in core.take_estimates():
            report_shared(instance.balancer, one)

    def arrive(self, number: int, epoch: int, sender: int, message: ReportPage | ConnectionCounts) -> None:
        core, instance = self.cores.get(number), self.engine.instances.get(number)
        if core is None or instance is None or core.local.epoch != epoch:
            return
        if self.world.event_queue.now < instance.stalled_until:
            self.world.event_queue.schedule_at(
                instance.stalled_until, self.arrive, number, epoch, sender, message
            )
            return
        core.on_message(sender, message, self.world.event_queue.now)
        self.pass_on(instance, core)

    def cut(self, one: int, other: int) -> bool:
        proxies, trouble = self.world.proxies, self.trouble
        if proxies[one].zone != proxies[other].zone and (
            trouble.cut_from <= self.world.event_queue.now < trouble.cut_until
        ):
            return True
        for cut in self.world.blocked_links.values():
            for here, there in ((one, other), (other, one)):
                zone = proxies[there].zone
                if here in cut.proxies and any(
                    self.world.servers_by_name[s].zone == zone for s in cut.servers
                ):
                    return True
        return False

    def lie(self, page: ReportPage) -> ReportPage:
        """Old news as new, loads turned round."""
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
