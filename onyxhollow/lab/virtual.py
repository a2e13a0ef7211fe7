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
from onyxhollow.lab.decisions import Maker
from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.together import Talk, Trouble
from onyxhollow.lab.world.listing import ListedServer
from onyxhollow.lab.world.servers import OpenResult, Server, ServerState, Session
from onyxhollow.lab.world.types import LossCause
from onyxhollow.lab.world.world import World

PROBE_TIME = 0.3  # seconds until a probe is given up
PROBE_WORK = 0.0002  # core seconds
STOP_STEP, STILL_COMING, STOP_MARGIN = 0.05, 0.5, 0.3  # of a planned stop, seconds
LOG_KEPT = 400  # lines of the modules' logs kept
READINESS = {row.value: row for row in EndpointState}


class Held:
    """A session as its proxy holds it: the module's token."""

    __slots__ = ("sess", "handle", "dial", "out", "server", "sent_at", "standing", "answered")

    def __init__(self, sess: Session) -> None:
        self.sess = sess
        self.handle: Any = None
        self.dial, self.out, self.sent_at = 0, False, 0.0
        self.server: Server | None = None
        self.standing = self.answered = False

    @property
    def came_back(self) -> bool:
        return self.sess.client.was_connected


class Instance:
    """One proxy's life: the module's Host."""

    def __init__(self, engine: Virtual, number: int, rows: list[ListedServer], seen: int, life: int) -> None:
        self.engine, self.number, self.world, self.event_queue = (
            engine,
            number,
            engine.world,
            engine.world.event_queue,
        )
        self.alive, self.stalled_until = True, 0.0
        self.seen, self.rows = seen, {row.name: row for row in rows}
        self.held: dict[int, Held] = {}
        self.zone = self.world.proxies[number].zone
        seed = (engine.world.seed * 1_000_003 + number * 7919 + life) & 0x7FFFFFFFFFFFFFFF
        self.settings = engine.settings(number)
        self.balancer = engine.maker(self, self.settings, seed, engine.world)
        self.talk = engine.talk
        if self.talk:
            self.talk.joined(self, number * 1000 + life)
        self.told(EndpointListKind.CACHED, list(self.rows.values()))

    @property
    def now(self) -> float:
        return self.event_queue.now

    def later(self, span: float, call: Any, *values: Any) -> None:
        self.event_queue.schedule_after(span, self.when_able, call, values)

    def when_able(self, call: Any, values: tuple[Any, ...]) -> None:
        """A proxy that stands still finds it all when it goes on, in order."""
        if not self.alive:
            return
        if self.event_queue.now < self.stalled_until:
            self.event_queue.schedule_at(self.stalled_until, self.when_able, call, values)
        else:
            call(*values)

    # what the module asks

    def start_attempt(self, token: Hashable, server: str, timeout: float) -> None:
        assert isinstance(token, Held)
        now, target, engine = self.now, self.world.servers_by_name[server], self.engine
        token.dial, token.out, token.server, token.sent_at = token.dial + 1, True, target, now
        self.world.checker.record_attempt(now, self.number, token.sess.number, server)
        self.world.metrics.increment("dials")
        if self.zone != target.zone:
            self.world.metrics.increment("dials across zones")
        one_way = engine.one_way(self.zone, target.zone, token.sess)
        self.event_queue.schedule_after(3 * one_way, self.reach, token, token.dial, one_way)
        self.later(min(timeout, max(0.0, token.sess.deadline - now)), self.timed_out, token, token.dial)

    def cancel_attempt(self, token: Hashable, dial: int) -> None:
        assert isinstance(token, Held)
        self.later(0.0, self.dial_over, token, token.dial, AttemptOutcome.CANCELLED)

    def reject(self, token: Hashable, retry_after: float) -> None:
        assert isinstance(token, Held)
        self.answer(token, "refused")
        self.event_queue.schedule_after(
            self.world.network.client, self.world.on_rejected, token.sess, retry_after
        )

    def tear_down(self, token: Hashable) -> None:
        assert isinstance(token, Held)
        self.answer(token, "failed")
        self.event_queue.schedule_after(self.world.network.client, self.world.on_failed, token.sess)

    def migrate(self, token: Hashable) -> None:
        assert isinstance(token, Held)
        if token.standing and not token.sess.ended:
            self.world.metrics.increment("moves")
            self.world.end_connection(token.sess, LossCause.MOVED)
            self.later(0.0, self.dial_over, token, token.dial, AttemptOutcome.CANCELLED)

    def check_health(self, server: str, shared: bool = False) -> None:
        """shared: asked for all members, and not by the module."""
        target, now = self.world.servers_by_name[server], self.now
        if self.talk and not shared and (known := self.talk.cores[self.number].load_estimate(server, now)):
            outcome = AttemptOutcome.OK
            self.later(0.0, self.balancer.on_health_check, server, outcome, 0.0, known.load, known.age)
            return
        self.world.metrics.increment("probes")
        there = 3 * self.engine.one_way(self.zone, target.zone, None)
        reachable = not target.vanished_by and not self.world.blocked_direction(self.number, target)
        if not reachable or target.hung_by:
            self.later(PROBE_TIME, self.probed, server, AttemptOutcome.TIMEOUT, PROBE_TIME, None)
        elif target.state is ServerState.STOPPED:
            self.later(there, self.probed, server, AttemptOutcome.CONNECT_FAILED, there, None)
        else:
            target.backlog += PROBE_WORK
            draw = int(now * 1000) + self.number
            load = target.reported_load(now, self.world.random_tables.normal(target.number, draw))
            self.later(1.3 * there, self.probed, server, AttemptOutcome.OK, 1.3 * there, load)

    def probed(self, server: str, end: AttemptOutcome, took: float, load: float | None) -> None:
        self.balancer.on_health_check(server, end, took, load)
        if self.talk and (core := self.talk.cores.get(self.number)):
            core.on_poll_result(server, load, self.now)
            self.talk.pass_on(self, core)

    def poll_endpoint_list(self) -> None:
        self.world.checker.record_poll(self.now, self.number)
        self.world.list_service.watch(
            self.number, self.seen, self.list_news, self.list_answer, self.list_ended
        )

    def set_timer(self, when: float) -> None:
        self.event_queue.schedule_at(when, self.when_able, self.tick, ())

    def log(self, line: str) -> None:
        if len(self.engine.logs) < LOG_KEPT:
            self.engine.logs.append((round(self.now, 3), self.number, line))

    # what it is told

    def tick(self) -> None:
        self.balancer.tick()

    def told(self, kind: EndpointListKind, rows: list[ListedServer]) -> None:
        entries = [
            Endpoint(row.name, READINESS[row.state], row.weight, row.started, row.zone, row.cell)
            for row in rows
        ]
        for row in rows:
            self.world.checker.record_notification(self.now, self.number, row.name, row.state, row.started)
        self.balancer.on_endpoint_list(kind, entries)

    def note(self, rows: list[ListedServer], whole: bool, version: int) -> None:
        self.seen = version
        if whole:
            for name in [name for name in self.rows if name not in {row.name for row in rows}]:
                self.world.checker.record_notification(self.now, self.number, name, "gone", None)
            self.rows = {}
        for row in rows:
            self.rows[row.name] = row
        self.told(EndpointListKind.SNAPSHOT if whole else EndpointListKind.DELTA, rows)

    def list_news(self, rows: list[ListedServer], version: int) -> None:
        self.when_able(self.note, (rows, False, version))

    def list_answer(self, rows: list[ListedServer] | None, whole: bool, version: int) -> None:
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
        if sess.ended:
            return
        spec = self.world.scenario.listeners[sess.client.request.listener]
        self.world.checker.record_session(
            self.now, self.number, sess.number, sess.deadline, spec.repeat, spec.scope, spec.window
        )
        held = self.held[sess.number] = Held(sess)
        listener, tenant, group = self.engine.describe(sess)
        held.handle = self.balancer.admit(
            held, listener, tenant, group, max(0.0, sess.deadline - self.now), None
        )

    def adopt(self, sess: Session) -> None:
        """A connection that stood before the start."""
        held = self.held[sess.number] = Held(sess)
        held.out = held.standing = held.answered = True
        held.server = sess.server
        assert sess.server is not None
        listener, tenant, group = self.engine.describe(sess)
        held.handle = self.balancer.adopt(held, listener, tenant, group, None, sess.server.name)

    def answer(self, held: Held, how: str) -> None:
        held.answered = True
        self.world.checker.record_answer(self.now, self.number, held.sess.number, how)
        self.held.pop(held.sess.number, None)

    def reach(self, held: Held, dial: int, one_way: float) -> None:
        """A dial's line has reached its server, if it can."""
        if not self.alive or not held.out or held.dial != dial or held.server is None:
            return
        server = held.server
        if server.vanished_by or self.world.blocked_direction(self.number, server):
            left = self.world.network.connect_time - (self.now - held.sent_at)
            self.later(max(0.0, left), self.dial_over, held, dial, AttemptOutcome.CONNECT_FAILED)
            return
        verdict, wait = self.world.open_at_server(held.sess, server)
        if verdict is OpenResult.ACCEPTED:
            self.event_queue.schedule_after(wait + one_way, self.verdict, held, dial, server, server.started)
        elif verdict is not OpenResult.NO_ANSWER:
            end = {
                OpenResult.OVERLOADED: AttemptOutcome.OVERLOADED,
                OpenResult.ERROR: AttemptOutcome.ERROR,
                OpenResult.CONNECTION_REFUSED: AttemptOutcome.CONNECT_FAILED,
            }[verdict]
            self.later(wait + one_way, self.dial_over, held, dial, end)

    def verdict(self, held: Held, dial: int, server: Server, started: float) -> None:
        """The server's UP has come, unless something stands between."""
        if not self.alive or self.world.blocked_direction(self.number, server) or server.is_unresponsive:
            return
        if not held.out or held.dial != dial:
            self.world.metrics.increment("set up in vain")
        elif server.state is ServerState.STOPPED or server.started != started:
            self.when_able(self.dial_over, (held, dial, AttemptOutcome.RESET))
        else:
            self.when_able(self.stands, (held, dial, server))

    def stands(self, held: Held, dial: int, server: Server) -> None:
        if not held.out or held.dial != dial or held.sess.ended:
            return
        held.standing = held.answered = True
        self.world.checker.record_answer(self.now, self.number, held.sess.number, "up")
        held.handle.on_established(self.now - held.sent_at)
        self.world.on_established(held.sess, server)

    def timed_out(self, held: Held, dial: int) -> None:
        if held.out and held.dial == dial and not held.standing:
            self.dial_over(held, dial, AttemptOutcome.TIMEOUT)

    def dial_over(self, held: Held, dial: int, end: AttemptOutcome) -> None:
        if not held.out or held.dial != dial:
            return
        held.out = False
        if end is not AttemptOutcome.OK:
            self.world.metrics.increment(f"dial: {end.value}")
        self.world.checker.record_attempt_end(self.now, held.sess.number, held.sent_at, end.never_ran)
        final = held.answered or held.standing
        if self.talk and not final and end not in NOT_FAILURES and held.server:
            self.talk.cores[self.number].record_failure(held.server.name, self.now)
        if held.standing:
            self.held.pop(held.sess.number, None)
        if held.handle is not None:
            held.handle.on_attempt_ended(end, final, self.now - held.sent_at, None)

    def left(self, sess: Session) -> None:
        """The client has gone."""
        held = self.held.get(sess.number)
        if held is None:
            return
        if held.standing:
            self.gone(held)
            self.dial_over(held, held.dial, AttemptOutcome.CANCELLED)
            return
        self.world.checker.record_client_gone(self.now, sess.number)
        self.held.pop(sess.number, None)
        if not held.answered:
            held.answered = True
            held.handle.on_client_gone()

    def gone(self, held: Held) -> None:
        """Its end is no word of its server: the module would take it for one that sends its clients away."""
        if held.handle is not None:
            held.handle.on_client_gone()

    def ended(self, sess: Session, sent_away: bool) -> None:
        if held := self.held.get(sess.number):
            self.dial_over(held, held.dial, AttemptOutcome.CANCELLED if sent_away else AttemptOutcome.RESET)

    def stop(self, span: float) -> None:
        self.later(STILL_COMING, self.stop_step, self.now + span - STOP_MARGIN)

    def stop_step(self, last: float) -> None:
        """Moves its clients evenly over the time it has; at the end what still waits is answered."""
        open_ones = [held for held in self.held.values() if held.standing]
        share = STOP_STEP / max(STOP_STEP, last - self.now)
        for held in open_ones[: math.ceil(len(open_ones) * share)]:
            self.gone(held)
            self.migrate(held)
        if self.now < last:
            self.later(STOP_STEP, self.stop_step, last)
            return
        for held in [held for held in self.held.values() if not held.standing and not held.answered]:
            held.handle.deadline = -math.inf
            if held.out:
                self.dial_over(held, held.dial, AttemptOutcome.CANCELLED)
            else:
                self.balancer.attempt(held.handle)


class Virtual:
    """The engine: one Instance a proxy that lives."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        maker: Maker,
        terms: GossipConfig | None = None,
        trouble: Trouble | None = None,
    ) -> None:
        """terms: the members tell one another of servers; trouble: what is done to that."""
        self.scenario, self.maker = scenario, maker
        self.world = World(scenario, seed)
        self.talk = Talk(self, terms, trouble or Trouble()) if terms else None
        self.instances: dict[int, Instance] = {}
        self.lives: dict[int, int] = {}
        self.lists: dict[int, tuple[list[ListedServer], int]] = {}
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
        request = sess.client.request
        group = f"g{request.group}" if request.group >= 0 else f"k{request.number}"
        return self.listeners[request.listener], self.customers[request.tenant], group

    def one_way(self, zone: int, other: int, sess: Session | None) -> float:
        """Seconds, jitter included; a session's own draws, so that other sessions' delays move nothing
        here."""
        base = self.world.one_way_delay(zone, other)
        if sess is None:
            return base
        draw = self.world.random_tables.uniform(sess.client.request.number, sess.client.next_draw())
        return base * (1.0 + self.scenario.network.jitter * (2.0 * draw - 1.0))

    def run(self) -> World:
        self.begin()
        self.world.event_queue.run_until(self.scenario.seconds)
        return self.end()

    def begin(self) -> None:
        """Everything up to the first instant: the event queue can be run from here."""
        world = self.world
        world.start(self)
        rows = list(world.list_service.rows.values())
        for number in range(self.scenario.fleet.proxies):
            self.lists[number], self.lives[number] = (rows, world.list_service.version), 0
            self.instances[number] = Instance(self, number, rows, world.list_service.version, 0)
        for sess in world.create_preexisting_sessions():
            self.instances[sess.proxy].adopt(sess)

    def end(self) -> World:
        """Closes the accounts; the event queue must have come to the scenario's end."""
        self.world.finish()
        return self.world

    # called by the world

    def submit(self, sess: Session) -> None:
        self.world.event_queue.schedule_after(self.world.network.client, self.arrives, sess)

    def arrives(self, sess: Session) -> None:
        instance = self.instances.get(sess.proxy)
        if instance is None:
            self.world.on_proxy_lost(sess)
        else:
            instance.when_able(instance.come, (sess,))

    def cancel(self, sess: Session) -> None:
        if instance := self.instances.get(sess.proxy):
            instance.when_able(instance.left, (sess,))

    def close_by_server(self, sess: Session, move: bool) -> None:
        if instance := self.instances.get(sess.proxy):
            instance.when_able(instance.ended, (sess, move))

    def load_changed(self, sess: Session) -> None:
        if (instance := self.instances.get(sess.proxy)) and (held := instance.held.get(sess.number)):
            if held.handle is not None and held.standing:
                instance.when_able(held.handle.on_load, (sess.load,))

    def crash(self, number: int) -> None:
        if instance := self.instances.pop(number, None):
            instance.alive = False
            if self.talk:
                self.talk.left(number)
            self.lists[number] = list(instance.rows.values()), instance.seen

    def restart(self, number: int) -> None:
        self.lives[number] += 1
        rows, seen = self.lists[number]
        self.instances[number] = Instance(self, number, rows, seen, self.lives[number])

    def is_ready(self, number: int) -> bool:
        return True

    def stop(self, number: int, span: float) -> None:
        self.instances[number].stop(span)

    def stall(self, number: int, span: float) -> None:
        instance = self.instances[number]
        instance.stalled_until = max(instance.stalled_until, self.world.event_queue.now + span)
        self.world.checker.record_stall(number, instance.stalled_until)
