"""Sharing on a proxy's loop: the core between the fleet's datagrams, the proxy's probes and its module."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from onyxhollow.fleet import clock
from onyxhollow.gossip.core import GossipConfig, LoadGossip
from onyxhollow.gossip.messages import MESSAGES, encode
from onyxhollow.interface import AttemptOutcome
from onyxhollow.membership.swim import Member

if TYPE_CHECKING:
    from onyxhollow.fleet.node import Node

SHARE = 3  # kind of what is carried
STANDING = 16  # connections for questions: a few servers are kept or looked at; alone all are asked


class Shares:
    def __init__(self, node: Node, terms: GossipConfig) -> None:
        self.node, self.decisions = node, node.proxy.decisions
        self.core = LoadGossip(node.name, node.epoch, node.zone, terms, node.rng, clock.now())
        self.there: dict[int, Member] = {}  # by epoch
        self.changed = True
        self.lives = False  # whether others' rows stand for own questions, as last logged
        self.probe_server: Callable[[str], None] = self.decisions.check_health
        self.decisions.check_health = self.probe
        self.decisions.dial_failed = lambda server: self.core.failed(server, clock.now())
        node.proxy.health_checker.on_result, node.proxy.health_checker.max_connections = self.probed, STANDING

    # what the module asks for, and what it is told

    def probe(self, server: str) -> None:
        """The module's question is answered by what members know; without that by the server itself."""
        known = self.core.report(server, clock.now())
        if known is None:
            self.probe_server(server)
            return
        self.node.counts["sharing: probes saved"] += 1
        self.node.loop.spawn(self.answer(server, *known))

    def answer(self, server: str, load: float, age: float) -> Any:
        """In a turn of its own: the module is in the middle of asking."""
        yield self.node.loop.now
        self.decisions.balancer.probed(server, AttemptOutcome.OK, 0.0, load, age)

    def probed(self, server: str, end: AttemptOutcome, took: float, load: float | None) -> None:
        self.node.proxy.on_health_check(server, end, took, load)
        now = clock.now()
        if end is AttemptOutcome.OK and load is None:
            return  # it answers, and reports nothing
        self.core.asked(server, load if end is AttemptOutcome.OK else None, now)
        self.deliver()

    def deliver(self) -> None:
        news, self.core.news = self.core.news, []
        for one in news:
            self.decisions.report_shared(one)

    # the fleet

    def on_message(self, member: Member, body: bytes, now: float) -> None:
        try:
            told = MESSAGES.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.node.counts["sharing: rubbish"] += 1
            return
        self.core.heard(member.epoch, told, now)
        self.deliver()

    def tick(self, now: float) -> None:
        core = self.core
        if now < core.due:
            return
        if self.changed:
            self.changed = False
            self.there = {member.epoch: member for member in self.node.membership.live_members()}
            core.meet([(member.epoch, member.name, member.zone) for member in self.there.values()])
        core.listed({server.name: server.zone for server in self.decisions.balancer.fleet})
        core.tick(self.decisions.own(), now)
        asks, core.ask = core.ask, []
        if self.node.proxy.config.settings.health_checks:
            for server in asks:
                self.node.counts["sharing: servers asked"] += 1
                self.probe_server(server)
        for epoch, message in core.out:
            if member := self.there.get(epoch):
                self.node.membership.send_payload(member, SHARE, encode(message))
        core.out = []
        self.deliver()
        lives = any(now - known.at < 4 * core.terms.renew for known in core.table.values())
        if lives != self.lives:
            self.lives = lives
            known_of = len(core.table)
            self.node.log_event("sharing", on=lives, servers=known_of, members=len(core.members) + 1)

    @property
    def next_due(self) -> float:
        return self.core.due

    def state(self, now: float) -> dict[str, Any]:
        names = {epoch: member.name for epoch, member in self.there.items()}
        names[self.core.epoch] = self.node.name
        rows = [
            {
                "server": name,
                "by": names.get(known.row.by, ""),
                "age": round(now - known.at, 2),
                "load": known.row.load / 1000 if known.row.load >= 0 else None,
                "load_age": round(now - known.load_at, 2),
                "held": known.row.held,
                "doubters": known.row.doubters,
            }
            for name, known in sorted(self.core.table.items())
        ]
        return {
            "rows": rows,
            "keeps": sorted(name for name, kept in self.core.kept.items() if not kept.rank),
            "deputy": sorted(name for name, kept in self.core.kept.items() if kept.rank),
            "counts": dict(self.core.counts),
        }
