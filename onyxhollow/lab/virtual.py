"""The virtual-time engine: hosts decision modules through interface.Host, one an instance, without a clock.

Same scenario, seed and policy: the same result to the byte, in any process, whatever PYTHONHASHSEED says.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Any

from onyxhollow.decision_adapter import NOT_FAILURES
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.interface import (
    AttemptOutcome,
    DeduplicationScope,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Idempotency,
    Listener,
    Settings,
    Tenant,
)
from onyxhollow.lab.decisions import PolicyFactory
from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.simulated_gossip import GossipFaults, SimulatedGossip
from onyxhollow.lab.world.listing import Row
from onyxhollow.lab.world.servers import Server, Session, State, Verdict
from onyxhollow.lab.world.types import Cause
from onyxhollow.lab.world.world import World

PROBE_TIME = 0.3  # seconds until a probe is given up
PROBE_WORK = 0.0002  # core seconds
STOP_STEP, STILL_COMING, STOP_MARGIN = 0.05, 0.5, 0.3  # of a planned stop, seconds
LOG_KEPT = 400  # lines of the modules' logs kept
READINESS = {row.value: row for row in EndpointState}


class SessionToken:
    """A session as its proxy holds it: the module's token."""

    __slots__ = (
        "sess",
        "handle",
        "attempt",
        "attempt_in_flight",
        "server",
        "sent_at",
        "established",
        "answered",
    )

    def __init__(self, sess: Session) -> None:
        self.sess = sess
        self.handle: Any = None
        self.attempt, self.attempt_in_flight, self.sent_at = 0, False, 0.0
        self.server: Server | None = None
        self.established = self.answered = False

    @property
    def came_back(self) -> bool:
        return self.sess.client.was_up


class Instance:
    """One proxy's life: the module's Host."""

    def __init__(self, engine: VirtualEngine, number: int, rows: list[Row], seen: int, life: int) -> None:
        self.engine, self.number, self.world, self.agenda = engine, number, engine.world, engine.world.agenda
        self.alive, self.stalled_until = True, 0.0
        self.seen, self.rows = seen, {row.name: row for row in rows}
        self.tokens: dict[int, SessionToken] = {}
        self.zone = self.world.proxies[number].zone
        seed = (engine.world.seed * 1_000_003 + number * 7919 + life) & 0x7FFFFFFFFFFFFFFF
        self.settings = engine.settings(number)
        self.balancer = engine.policy_factory(self, self.settings, seed, engine.world)
        self.gossip = engine.gossip
        if self.gossip:
            self.gossip.joined(self, number * 1000 + life)
        self.told(EndpointListKind.CACHED, list(self.rows.values()))

    @property
    def now(self) -> float:
        return self.agenda.now

    def later(self, span: float, call: Any, *values: Any) -> None:
        self.agenda.after(span, self.when_able, call, values)

    def when_able(self, call: Any, values: tuple[Any, ...]) -> None:
        """A proxy that stands still finds it all when it goes on, in order."""
        if not self.alive:
            return
        if self.agenda.now < self.stalled_until:
            self.agenda.at(self.stalled_until, self.when_able, call, values)
        else:
            call(*values)

    # what the module asks

    def start_attempt(self, token: Hashable, server: str, timeout: float) -> None:
        assert isinstance(token, SessionToken)
        now, target, engine = self.now, self.world.by_name[server], self.engine
        token.attempt, token.attempt_in_flight, token.server, token.sent_at = (
            token.attempt + 1,
            True,
            target,
            now,
        )
        self.world.checker.record_attempt(now, self.number, token.sess.number, server)
        self.world.ledger.count("dials")
        if self.zone != target.zone:
            self.world.ledger.count("dials across zones")
        one_way = engine.one_way(self.zone, target.zone, token.sess)
        self.agenda.after(3 * one_way, self.reach, token, token.attempt, one_way)
        self.later(min(timeout, max(0.0, token.sess.deadline - now)), self.timed_out, token, token.attempt)

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:
        assert isinstance(token, SessionToken)
        self.later(0.0, self.dial_over, token, token.attempt, AttemptOutcome.CANCELLED)

    def reject(self, token: Hashable, retry_after: float) -> None:
        assert isinstance(token, SessionToken)
        self.answer(token, "refused")
        self.agenda.after(self.world.network.client, self.world.refused, token.sess, retry_after)

    def tear_down(self, token: Hashable) -> None:
        assert isinstance(token, SessionToken)
        self.answer(token, "failed")
        self.agenda.after(self.world.network.client, self.world.failed, token.sess)

    def migrate(self, token: Hashable) -> None:
        assert isinstance(token, SessionToken)
        if token.established and not token.sess.over:
            self.world.ledger.count("moves")
            self.world.cut(token.sess, Cause.MOVED)
            self.later(0.0, self.dial_over, token, token.attempt, AttemptOutcome.CANCELLED)

    def check_health(self, server: str, shared: bool = False) -> None:
        """shared: asked for all members, and not by the module."""
        target, now = self.world.by_name[server], self.now
        if (
            self.gossip
            and not shared
            and (known := self.gossip.cores[self.number].load_estimate(server, now))
        ):
            outcome = AttemptOutcome.OK
            self.later(0.0, self.balancer.on_health_check, server, outcome, 0.0, known.load, known.age)
            return
        self.world.ledger.count("probes")
        there = 3 * self.engine.one_way(self.zone, target.zone, None)
        reachable = not target.gone_silent and not self.world.blocked(self.number, target)
        if not reachable or target.hung:
            self.later(PROBE_TIME, self.probed, server, AttemptOutcome.TIMEOUT, PROBE_TIME, None)
        elif target.state is State.STOPPED:
            self.later(there, self.probed, server, AttemptOutcome.CONNECT_FAILED, there, None)
        else:
            target.pile += PROBE_WORK
            draw = int(now * 1000) + self.number
            load = target.told_load(now, self.world.tables.normal(target.number, draw))
            self.later(1.3 * there, self.probed, server, AttemptOutcome.OK, 1.3 * there, load)

    def probed(self, server: str, end: AttemptOutcome, took: float, load: float | None) -> None:
        self.balancer.on_health_check(server, end, took, load)
        if self.gossip and (core := self.gossip.cores.get(self.number)):
            core.on_poll_result(server, load, self.now)
            self.gossip.pass_on(self, core)

    def poll_endpoint_list(self) -> None:
        self.world.checker.record_poll(self.now, self.number)
        self.world.list.watch(self.number, self.seen, self.list_news, self.list_answer, self.list_ended)

    def set_timer(self, when: float) -> None:
        self.agenda.at(when, self.when_able, self.tick, ())

    def log(self, line: str) -> None:
        if len(self.engine.logs) < LOG_KEPT:
            self.engine.logs.append((round(self.now, 3), self.number, line))

    # what it is told

    def tick(self) -> None:
        self.balancer.tick()

    def told(self, kind: EndpointListKind, rows: list[Row]) -> None:
        entries = [
            Endpoint(row.name, READINESS[row.readiness], row.size, row.started, row.zone, row.cell)
            for row in rows
        ]
        for row in rows:
            self.world.checker.record_notification(
                self.now, self.number, row.name, row.readiness, row.started
            )
        self.balancer.on_endpoint_list(kind, entries)

    def note(self, rows: list[Row], whole: bool, version: int) -> None:
        self.seen = version
        if whole:
            for name in [name for name in self.rows if name not in {row.name for row in rows}]:
                self.world.checker.record_notification(self.now, self.number, name, "gone", None)
            self.rows = {}
        for row in rows:
            self.rows[row.name] = row
        self.told(EndpointListKind.SNAPSHOT if whole else EndpointListKind.DELTA, rows)

    def list_news(self, rows: list[Row], version: int) -> None:
        self.when_able(self.note, (rows, False, version))

    def list_answer(self, rows: list[Row] | None, whole: bool, version: int) -> None:
        if not self.alive:
            return
        if rows is None:
            self.when_able(self.told, (EndpointListKind.FAILED, []))
            return
        self.world.checker.set_watching(self.number, True)
        self.when_able(self.note, (rows, whole, version))

    def list_ended(self) -> None:
        if self.alive:
            self.world.checker.set_watching(self.number, False)
            self.world.checker.record_poll(self.now, self.number)
            self.when_able(self.told, (EndpointListKind.FAILED, []))

    def come(self, sess: Session) -> None:
        """A session has reached the proxy."""
        if sess.over:
            return
        spec = self.world.scenario.listeners[sess.client.wish.listener]
        self.world.checker.record_session(
            self.now, self.number, sess.number, sess.deadline, spec.repeat, spec.scope, spec.window
        )
        token = self.tokens[sess.number] = SessionToken(sess)
        listener, tenant, group = self.engine.describe(sess)
        token.handle = self.balancer.admit(
            token, listener, tenant, group, max(0.0, sess.deadline - self.now), None
        )

    def adopt(self, sess: Session) -> None:
        """A connection that stood before the start."""
        token = self.tokens[sess.number] = SessionToken(sess)
        token.attempt_in_flight = token.established = token.answered = True
        token.server = sess.server
        assert sess.server is not None
        listener, tenant, group = self.engine.describe(sess)
        token.handle = self.balancer.adopt(token, listener, tenant, group, None, sess.server.name)

    def answer(self, token: SessionToken, how: str) -> None:
        token.answered = True
        self.world.checker.record_answer(self.now, self.number, token.sess.number, how)
        self.tokens.pop(token.sess.number, None)

    def reach(self, token: SessionToken, attempt: int, one_way: float) -> None:
        """A dial's line has reached its server, if it can."""
        if not self.alive or not token.attempt_in_flight or token.attempt != attempt or token.server is None:
            return
        server = token.server
        if server.gone_silent or self.world.blocked(self.number, server):
            left = self.world.network.connect_time - (self.now - token.sent_at)
            self.later(max(0.0, left), self.dial_over, token, attempt, AttemptOutcome.CONNECT_FAILED)
            return
        verdict, wait = self.world.offer(token.sess, server)
        if verdict is Verdict.UP:
            self.agenda.after(wait + one_way, self.verdict, token, attempt, server, server.started)
        elif verdict is not Verdict.SILENT:
            end = {
                Verdict.FULL: AttemptOutcome.OVERLOADED,
                Verdict.ERROR: AttemptOutcome.ERROR,
                Verdict.REFUSED: AttemptOutcome.CONNECT_FAILED,
            }[verdict]
            self.later(wait + one_way, self.dial_over, token, attempt, end)

    def verdict(self, token: SessionToken, attempt: int, server: Server, started: float) -> None:
        """The server's UP has come, unless something stands between."""
        if not self.alive or self.world.blocked(self.number, server) or server.mute:
            return
        if not token.attempt_in_flight or token.attempt != attempt:
            self.world.ledger.count("set up in vain")
        elif server.state is State.STOPPED or server.started != started:
            self.when_able(self.dial_over, (token, attempt, AttemptOutcome.RESET))
        else:
            self.when_able(self.stands, (token, attempt, server))

    def stands(self, token: SessionToken, attempt: int, server: Server) -> None:
        if not token.attempt_in_flight or token.attempt != attempt or token.sess.over:
            return
        token.established = token.answered = True
        self.world.checker.record_answer(self.now, self.number, token.sess.number, "up")
        token.handle.on_established(self.now - token.sent_at)
        self.world.up(token.sess, server)

    def timed_out(self, token: SessionToken, attempt: int) -> None:
        if token.attempt_in_flight and token.attempt == attempt and not token.established:
            self.dial_over(token, attempt, AttemptOutcome.TIMEOUT)

    def dial_over(self, token: SessionToken, attempt: int, end: AttemptOutcome) -> None:
        if not token.attempt_in_flight or token.attempt != attempt:
            return
        token.attempt_in_flight = False
        if end is not AttemptOutcome.OK:
            self.world.ledger.count(f"dial: {end.value}")
        self.world.checker.record_attempt_end(self.now, token.sess.number, token.sent_at, end.never_ran)
        final = token.answered or token.established
        if self.gossip and not final and end not in NOT_FAILURES and token.server:
            self.gossip.cores[self.number].record_failure(token.server.name, self.now)
        if token.established:
            self.tokens.pop(token.sess.number, None)
        if token.handle is not None:
            token.handle.on_attempt_ended(end, final, self.now - token.sent_at, None)

    def left(self, sess: Session) -> None:
        """The client has gone."""
        token = self.tokens.get(sess.number)
        if token is None:
            return
        if token.established:
            self.gone(token)
            self.dial_over(token, token.attempt, AttemptOutcome.CANCELLED)
            return
        self.world.checker.record_client_gone(self.now, sess.number)
        self.tokens.pop(sess.number, None)
        if not token.answered:
            token.answered = True
            token.handle.on_client_gone()

    def gone(self, token: SessionToken) -> None:
        """Its end is no word of its server: the module would take it for one that sends its clients away."""
        if token.handle is not None:
            token.handle.on_client_gone()

    def ended(self, sess: Session, sent_away: bool) -> None:
        if token := self.tokens.get(sess.number):
            self.dial_over(
                token, token.attempt, AttemptOutcome.CANCELLED if sent_away else AttemptOutcome.RESET
            )

    def stop(self, span: float) -> None:
        self.later(STILL_COMING, self.stop_step, self.now + span - STOP_MARGIN)

    def stop_step(self, last: float) -> None:
        """Moves its clients evenly over the time it has; at the end what still waits is answered."""
        open_ones = [token for token in self.tokens.values() if token.established]
        share = STOP_STEP / max(STOP_STEP, last - self.now)
        for token in open_ones[: math.ceil(len(open_ones) * share)]:
            self.gone(token)
            self.migrate(token)
        if self.now < last:
            self.later(STOP_STEP, self.stop_step, last)
            return
        for token in [
            token for token in self.tokens.values() if not token.established and not token.answered
        ]:
            token.handle.deadline = -math.inf
            if token.attempt_in_flight:
                self.dial_over(token, token.attempt, AttemptOutcome.CANCELLED)
            else:
                self.balancer.attempt(token.handle)


class VirtualEngine:
    """The engine: one Instance a proxy that lives."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy_factory: PolicyFactory,
        gossip_config: GossipConfig | None = None,
        faults: GossipFaults | None = None,
    ) -> None:
        """gossip_config: the members tell one another of servers; faults: what is done to that."""
        self.scenario, self.policy_factory = scenario, policy_factory
        self.world = World(scenario, seed)
        self.gossip = (
            SimulatedGossip(self, gossip_config, faults or GossipFaults()) if gossip_config else None
        )
        self.instances: dict[int, Instance] = {}
        self.lives: dict[int, int] = {}
        self.lists: dict[int, tuple[list[Row], int]] = {}
        self.logs: list[tuple[float, int, str]] = []
        self.listeners = [
            Listener(
                row.name,
                row.target,
                row.timeout,
                row.utility,
                Idempotency(row.repeat),
                DeduplicationScope(row.scope),
                row.window,
                row.message_target,
            )
            for row in scenario.listeners
        ]
        self.customers = [
            Tenant(row.name, row.share, self.world.quotas[n]) for n, row in enumerate(scenario.customers)
        ]

    def settings(self, number: int) -> Settings:
        fleet, proxies = self.scenario.fleet, self.scenario.proxies
        return Settings(
            listeners={row.name: row for row in self.listeners},
            tenants={row.name: row for row in self.customers},
            instance_index=number,
            instance_count=fleet.proxies,
            zone=self.world.zone_name(self.world.proxies[number].zone),
            max_poll_interval=proxies.ask_within,
            slow_start_share=fleet.cold_share,
            slow_start_time=fleet.cold_time,
            overload_multiple=fleet.fall_multiple,
            overload_window=fleet.fall_time,
            max_attempts=proxies.most_dials,
            health_checks=proxies.probes,
            health_check_price=proxies.probe_price,
            cancellation=proxies.cancelling,
            max_retry_after=self.scenario.clients.most_retry_after,
            over_quota_utility=proxies.overage_utility,
            group_affinity=self.scenario.clients.group_size > 1,
            load_field="load" if proxies.probes else "",
        )

    def describe(self, sess: Session) -> tuple[Listener, Tenant, Hashable]:
        wish = sess.client.wish
        group = f"g{wish.group}" if wish.group >= 0 else f"k{wish.number}"
        return self.listeners[wish.listener], self.customers[wish.customer], group

    def one_way(self, zone: int, other: int, sess: Session | None) -> float:
        """Seconds, jitter included; a session's own draws, so that other sessions' delays move nothing
        here."""
        base = self.world.one_way(zone, other)
        if sess is None:
            return base
        draw = self.world.tables.uniform(sess.client.wish.number, sess.client.draw())
        return base * (1.0 + self.scenario.network.jitter * (2.0 * draw - 1.0))

    def run(self) -> World:
        self.begin()
        self.world.agenda.run(self.scenario.seconds)
        return self.end()

    def begin(self) -> None:
        """Everything up to the first instant: the agenda can be turned from here."""
        world = self.world
        world.start(self)
        rows = list(world.list.rows.values())
        for number in range(self.scenario.fleet.proxies):
            self.lists[number], self.lives[number] = (rows, world.list.version), 0
            self.instances[number] = Instance(self, number, rows, world.list.version, 0)
        for sess in world.standing():
            self.instances[sess.proxy].adopt(sess)

    def end(self) -> World:
        """Closes the accounts; the agenda must have come to the scenario's end."""
        self.world.finish()
        return self.world

    # called by the world

    def submit(self, sess: Session) -> None:
        self.world.agenda.after(self.world.network.client, self.arrives, sess)

    def arrives(self, sess: Session) -> None:
        instance = self.instances.get(sess.proxy)
        if instance is None:
            self.world.lost(sess)
        else:
            instance.when_able(instance.come, (sess,))

    def withdraw(self, sess: Session) -> None:
        if instance := self.instances.get(sess.proxy):
            instance.when_able(instance.left, (sess,))

    def ended(self, sess: Session, sent_away: bool) -> None:
        if instance := self.instances.get(sess.proxy):
            instance.when_able(instance.ended, (sess, sent_away))

    def load_changed(self, sess: Session) -> None:
        if (instance := self.instances.get(sess.proxy)) and (token := instance.tokens.get(sess.number)):
            if token.handle is not None and token.established:
                instance.when_able(token.handle.on_load, (sess.load,))

    def crash(self, number: int) -> None:
        if instance := self.instances.pop(number, None):
            instance.alive = False
            if self.gossip:
                self.gossip.left(number)
            self.lists[number] = list(instance.rows.values()), instance.seen

    def restart(self, number: int) -> None:
        self.lives[number] += 1
        rows, seen = self.lists[number]
        self.instances[number] = Instance(self, number, rows, seen, self.lives[number])

    def ready(self, number: int) -> bool:
        return True

    def stop(self, number: int, span: float) -> None:
        self.instances[number].stop(span)

    def stall(self, number: int, span: float) -> None:
        instance = self.instances[number]
        instance.stalled_until = max(instance.stalled_until, self.world.agenda.now + span)
        self.world.checker.record_stall(number, instance.stalled_until)
