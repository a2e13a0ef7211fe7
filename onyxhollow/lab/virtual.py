"""The virtual-time engine: hosts one decision module per proxy through interface.Host, without a clock.

The same scenario, seed and policy give the same result to the byte, in any process and with any
PYTHONHASHSEED.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Any

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
from onyxhollow.lab.world.listing import ListedServer
from onyxhollow.lab.world.servers import OpenResult, Server, ServerState, Session
from onyxhollow.lab.world.types import LossCause
from onyxhollow.lab.world.world import World
from onyxhollow.session_handle import NOT_FAILURES

HEALTH_CHECK_TIMEOUT_SECONDS = 0.3
HEALTH_CHECK_CORE_SECONDS = 0.0002  # of work at the server
# Of a planned stop: the interval of migrations, the delay before the first one (clients may still arrive),
# and the time reserved at the end.
STOP_STEP_SECONDS, STOP_DELAY_SECONDS, STOP_MARGIN_SECONDS = 0.05, 0.5, 0.3
MAX_LOG_LINES = 400  # kept of all modules' logs
STATE_BY_READINESS = {row.value: row for row in EndpointState}


class SessionToken:
    """A session at its proxy, passed to the decision module as its token."""

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
        """Prepare the token of a session that has no attempt yet."""
        self.sess = sess
        self.handle: Any = None
        self.attempt, self.attempt_in_flight, self.sent_at = 0, False, 0.0
        self.server: Server | None = None
        self.established = self.answered = False


class Instance:
    """One process of a proxy, from start to end: the Host of its decision module."""

    def __init__(
        self, engine: VirtualEngine, number: int, rows: list[ListedServer], seen: int, start_count: int
    ) -> None:
        """Start the process with the stored rows and the version of the list that it has seen."""
        self.engine, self.number, self.world, self.event_queue = (
            engine,
            number,
            engine.world,
            engine.world.event_queue,
        )
        self.alive, self.stalled_until = True, 0.0
        self.seen, self.rows = seen, {row.name: row for row in rows}
        self.tokens: dict[int, SessionToken] = {}
        self.zone = self.world.proxies[number].zone
        seed = (engine.world.seed * 1_000_003 + number * 7919 + start_count) & 0x7FFFFFFFFFFFFFFF
        self.settings = engine.settings(number)
        self.balancer = engine.policy_factory(self, self.settings, seed, engine.world)
        self.gossip = engine.gossip
        if self.gossip:
            self.gossip.add_member(self, number * 1000 + start_count)
        self.pass_endpoint_list(EndpointListKind.CACHED, list(self.rows.values()))

    @property
    def now(self) -> float:
        """Current time in seconds from the start of the run."""
        return self.event_queue.now

    def schedule(self, span: float, call: Any, *values: Any) -> None:
        """Call after `span` seconds, unless the process has ended; a stall delays the call."""
        self.event_queue.schedule_after(span, self.call_unless_stalled, call, values)

    def call_unless_stalled(self, call: Any, values: tuple[Any, ...]) -> None:
        """Call now, or when the stall of the proxy ends; calls made meanwhile keep their order."""
        if not self.alive:
            return
        if self.event_queue.now < self.stalled_until:
            self.event_queue.schedule_at(self.stalled_until, self.call_unless_stalled, call, values)
        else:
            call(*values)

    # called by the decision module

    def start_attempt(self, token: Hashable, server: str, timeout: float) -> None:
        """Send a session to a server; the result comes later through end_attempt or establish."""
        assert isinstance(token, SessionToken)
        now, target, engine = self.now, self.world.servers_by_name[server], self.engine
        token.attempt, token.attempt_in_flight, token.server, token.sent_at = (
            token.attempt + 1,
            True,
            target,
            now,
        )
        self.world.checker.record_attempt(now, self.number, token.sess.number, server)
        self.world.metrics.increment("dials")
        if self.zone != target.zone:
            self.world.metrics.increment("dials across zones")
        one_way = engine.one_way(self.zone, target.zone, token.sess)
        self.event_queue.schedule_after(3 * one_way, self.reach_server, token, token.attempt, one_way)
        self.schedule(
            min(timeout, max(0.0, token.sess.deadline - now)), self.on_attempt_timeout, token, token.attempt
        )

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:
        """End the session's current attempt as cancelled, in an event of its own at this time."""
        assert isinstance(token, SessionToken)
        self.schedule(0.0, self.end_attempt, token, token.attempt, AttemptOutcome.CANCELLED)

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Record the rejection and pass it to the client after the network's delay."""
        assert isinstance(token, SessionToken)
        self.record_answer(token, "refused")
        self.event_queue.schedule_after(
            self.world.network.client, self.world.on_rejected, token.sess, retry_after
        )

    def tear_down(self, token: Hashable) -> None:
        """Record the error answer and pass it to the client after the network's delay."""
        assert isinstance(token, SessionToken)
        self.record_answer(token, "failed")
        self.event_queue.schedule_after(self.world.network.client, self.world.on_failed, token.sess)

    def migrate(self, token: Hashable) -> None:
        """Ask the client of an established connection to reconnect, and end the connection."""
        assert isinstance(token, SessionToken)
        if token.established and not token.sess.ended:
            self.world.metrics.increment("moves")
            self.world.end_connection(token.sess, LossCause.MOVED)
            self.schedule(0.0, self.end_attempt, token, token.attempt, AttemptOutcome.CANCELLED)

    def check_health(self, server: str, shared: bool = False) -> None:
        """Check a server's health; shared: gossip asks for it on behalf of all members."""
        target, now = self.world.servers_by_name[server], self.now
        if (
            self.gossip
            and not shared
            and (known := self.gossip.cores[self.number].load_estimate(server, now))
        ):
            outcome = AttemptOutcome.OK
            self.schedule(0.0, self.balancer.on_health_check, server, outcome, 0.0, known.load, known.age)
            return
        self.world.metrics.increment("probes")
        network_time = 3 * self.engine.one_way(self.zone, target.zone, None)
        reachable = not target.vanished_by and not self.world.blocked_direction(self.number, target)
        if not reachable or target.hung_by:
            self._schedule_health_check_result(server, AttemptOutcome.TIMEOUT, HEALTH_CHECK_TIMEOUT_SECONDS)
        elif target.state is ServerState.STOPPED:
            self._schedule_health_check_result(server, AttemptOutcome.CONNECT_FAILED, network_time)
        else:
            target.backlog += HEALTH_CHECK_CORE_SECONDS
            draw = int(now * 1000) + self.number
            load = target.reported_load(now, self.world.random_tables.normal(target.number, draw))
            self._schedule_health_check_result(server, AttemptOutcome.OK, 1.3 * network_time, load)

    def _schedule_health_check_result(
        self, server: str, outcome: AttemptOutcome, took: float, load: float | None = None
    ) -> None:
        """Schedule the result of a health check that takes `took` seconds from now."""
        self.schedule(took, self.on_health_check_result, server, outcome, took, load)

    def on_health_check_result(
        self, server: str, outcome: AttemptOutcome, took: float, load: float | None
    ) -> None:
        """Pass a result to the decision module and to gossip; `took` is in seconds."""
        self.balancer.on_health_check(server, outcome, took, load)
        if self.gossip and (core := self.gossip.cores.get(self.number)):
            core.on_poll_result(server, load, self.now)
            self.gossip.dispatch(self, core)

    def poll_endpoint_list(self) -> None:
        """Call the list service; the call continues as a watch."""
        self.world.checker.record_poll(self.now, self.number)
        self.world.list_service.watch(
            self.number, self.seen, self.on_list_change, self.on_list_answer, self.on_watch_ended
        )

    def set_timer(self, when: float) -> None:
        """Call tick at a time of the run, or when a stall ends."""
        self.event_queue.schedule_at(when, self.call_unless_stalled, self.tick, ())

    def log(self, line: str) -> None:
        """Keep a log line of the decision module, MAX_LOG_LINES of all modules together."""
        if len(self.engine.logs) < MAX_LOG_LINES:
            self.engine.logs.append((round(self.now, 3), self.number, line))

    # events

    def tick(self) -> None:
        """Call the decision module at the time of its timer."""
        self.balancer.tick()

    def pass_endpoint_list(self, kind: EndpointListKind, rows: list[ListedServer]) -> None:
        """Notify the decision module of entries, and tell the checker that it knows them."""
        entries = [
            Endpoint(row.name, STATE_BY_READINESS[row.state], row.weight, row.started, row.zone, row.cell)
            for row in rows
        ]
        for row in rows:
            self.world.checker.record_notification(self.now, self.number, row.name, row.state, row.started)
        self.balancer.on_endpoint_list(kind, entries)

    def apply_list_update(self, rows: list[ListedServer], whole: bool, version: int) -> None:
        """Update the stored list and notify the decision module."""
        self.seen = version
        if whole:
            for name in [name for name in self.rows if name not in {row.name for row in rows}]:
                self.world.checker.record_notification(self.now, self.number, name, "gone", None)
            self.rows = {}
        for row in rows:
            self.rows[row.name] = row
        self.pass_endpoint_list(EndpointListKind.SNAPSHOT if whole else EndpointListKind.DELTA, rows)

    def on_list_change(self, rows: list[ListedServer], version: int) -> None:
        """Handle a change that the watch reports."""
        self.call_unless_stalled(self.apply_list_update, (rows, False, version))

    def on_list_answer(self, rows: list[ListedServer] | None, whole: bool, version: int) -> None:
        """Handle the answer to a call; no rows mean that the call failed."""
        if not self.alive:
            return
        if rows is None:
            self.call_unless_stalled(self.pass_endpoint_list, (EndpointListKind.FAILED, []))
            return
        self.world.checker.set_watching(self.number, True)
        self.call_unless_stalled(self.apply_list_update, (rows, whole, version))

    def on_watch_ended(self) -> None:
        """Handle the end of the watch as a failed call."""
        if self.alive:
            self.world.checker.set_watching(self.number, False)
            self.world.checker.record_poll(self.now, self.number)
            self.call_unless_stalled(self.pass_endpoint_list, (EndpointListKind.FAILED, []))

    def on_session(self, sess: Session) -> None:
        """Pass a session that has reached the proxy to the decision module."""
        if sess.ended:
            return
        spec = self.world.scenario.listeners[sess.client.request.listener]
        self.world.checker.record_session(
            self.now, self.number, sess.number, sess.deadline, spec.repeat, spec.scope, spec.window
        )
        token = self.tokens[sess.number] = SessionToken(sess)
        listener, tenant, group = self.engine.describe(sess)
        token.handle = self.balancer.admit(
            token, listener, tenant, group, max(0.0, sess.deadline - self.now), None
        )

    def adopt(self, sess: Session) -> None:
        """Take over a connection that exists from the start of the run."""
        token = self.tokens[sess.number] = SessionToken(sess)
        token.attempt_in_flight = token.established = token.answered = True
        token.server = sess.server
        assert sess.server is not None
        listener, tenant, group = self.engine.describe(sess)
        token.handle = self.balancer.adopt(token, listener, tenant, group, None, sess.server.name)

    def record_answer(self, token: SessionToken, outcome: str) -> None:
        """Record the final answer of a session and forget the session."""
        token.answered = True
        self.world.checker.record_answer(self.now, self.number, token.sess.number, outcome)
        self.tokens.pop(token.sess.number, None)

    def reach_server(self, token: SessionToken, attempt: int, one_way: float) -> None:
        """Offer the session to its server, unless the link is blocked."""
        if not self.alive or not token.attempt_in_flight or token.attempt != attempt or token.server is None:
            return
        server = token.server
        if server.vanished_by or self.world.blocked_direction(self.number, server):
            remaining = self.world.network.connect_time - (self.now - token.sent_at)
            self.schedule(
                max(0.0, remaining), self.end_attempt, token, attempt, AttemptOutcome.CONNECT_FAILED
            )
            return
        verdict, wait = self.world.open_at_server(token.sess, server)
        if verdict is OpenResult.ACCEPTED:
            self.event_queue.schedule_after(
                wait + one_way, self.on_verdict, token, attempt, server, server.started
            )
        elif verdict is not OpenResult.NO_ANSWER:
            outcome = {
                OpenResult.OVERLOADED: AttemptOutcome.OVERLOADED,
                OpenResult.ERROR: AttemptOutcome.ERROR,
                OpenResult.CONNECTION_REFUSED: AttemptOutcome.CONNECT_FAILED,
            }[verdict]
            self.schedule(wait + one_way, self.end_attempt, token, attempt, outcome)

    def on_verdict(self, token: SessionToken, attempt: int, server: Server, started: float) -> None:
        """Process the UP of a server, unless it is lost on the way."""
        if not self.alive or self.world.blocked_direction(self.number, server) or server.is_unresponsive:
            return
        if not token.attempt_in_flight or token.attempt != attempt:
            self.world.metrics.increment("set up in vain")
        elif server.state is ServerState.STOPPED or server.started != started:
            self.call_unless_stalled(self.end_attempt, (token, attempt, AttemptOutcome.RESET))
        else:
            self.call_unless_stalled(self.establish, (token, attempt, server))

    def establish(self, token: SessionToken, attempt: int, server: Server) -> None:
        """Handle the UP of a server at the proxy, unless the attempt has ended meanwhile."""
        if not token.attempt_in_flight or token.attempt != attempt or token.sess.ended:
            return
        token.established = token.answered = True
        self.world.checker.record_answer(self.now, self.number, token.sess.number, "up")
        token.handle.on_established(self.now - token.sent_at)
        self.world.on_established(token.sess, server)

    def on_attempt_timeout(self, token: SessionToken, attempt: int) -> None:
        """End the attempt if it is still in flight and not established."""
        if token.attempt_in_flight and token.attempt == attempt and not token.established:
            self.end_attempt(token, attempt, AttemptOutcome.TIMEOUT)

    def end_attempt(self, token: SessionToken, attempt: int, outcome: AttemptOutcome) -> None:
        """End an attempt once and report its outcome to checker, gossip and decision module."""
        if not token.attempt_in_flight or token.attempt != attempt:
            return
        token.attempt_in_flight = False
        if outcome is not AttemptOutcome.OK:
            self.world.metrics.increment(f"dial: {outcome.value}")
        self.world.checker.record_attempt_end(self.now, token.sess.number, token.sent_at, outcome.never_ran)
        final = token.answered or token.established
        if self.gossip and not final and outcome not in NOT_FAILURES and token.server:
            self.gossip.cores[self.number].record_failure(token.server.name, self.now)
        if token.established:
            self.tokens.pop(token.sess.number, None)
        if token.handle is not None:
            token.handle.on_attempt_ended(outcome, final, self.now - token.sent_at, None)

    def on_client_left(self, sess: Session) -> None:
        """End the session after its client has left."""
        token = self.tokens.get(sess.number)
        if token is None:
            return
        if token.established:
            self.report_client_gone(token)
            self.end_attempt(token, token.attempt, AttemptOutcome.CANCELLED)
            return
        self.world.checker.record_client_gone(self.now, sess.number)
        self.tokens.pop(sess.number, None)
        if not token.answered:
            token.answered = True
            token.handle.on_client_gone()

    def report_client_gone(self, token: SessionToken) -> None:
        """Report that the client left, so that the module does not attribute the end to the server."""
        if token.handle is not None:
            token.handle.on_client_gone()

    def on_server_ended(self, sess: Session, move: bool) -> None:
        """Handle the end of a connection by its server, by a move or a reset."""
        if token := self.tokens.get(sess.number):
            self.end_attempt(token, token.attempt, AttemptOutcome.CANCELLED if move else AttemptOutcome.RESET)

    def stop(self, span: float) -> None:
        """Shut down gracefully within `span` seconds; the world ends the process then."""
        self.schedule(STOP_DELAY_SECONDS, self.stop_step, self.now + span - STOP_MARGIN_SECONDS)

    def stop_step(self, last: float) -> None:
        """Migrate clients evenly until `last`; at the end, answer the sessions that still wait."""
        established = [token for token in self.tokens.values() if token.established]
        share = STOP_STEP_SECONDS / max(STOP_STEP_SECONDS, last - self.now)
        for token in established[: math.ceil(len(established) * share)]:
            self.report_client_gone(token)
            self.migrate(token)
        if self.now < last:
            self.schedule(STOP_STEP_SECONDS, self.stop_step, last)
            return
        for token in [
            token for token in self.tokens.values() if not token.established and not token.answered
        ]:
            token.handle.deadline = -math.inf
            if token.attempt_in_flight:
                self.end_attempt(token, token.attempt, AttemptOutcome.CANCELLED)
            else:
                self.balancer.attempt(token.handle)


class VirtualEngine:
    """The virtual-time engine, with one Instance for each running proxy."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy_factory: PolicyFactory,
        gossip_config: GossipConfig | None = None,
        faults: GossipFaults | None = None,
    ) -> None:
        """Prepare a run; with a gossip_config the proxies share load reports, under the given faults."""
        self.scenario, self.policy_factory = scenario, policy_factory
        self.world = World(scenario, seed)
        self.gossip = (
            SimulatedGossip(self, gossip_config, faults or GossipFaults()) if gossip_config else None
        )
        self.instances: dict[int, Instance] = {}
        self.start_counts: dict[int, int] = {}
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
            Tenant(row.name, row.share, quota)
            for row, quota in zip(scenario.customers, self.world.quotas, strict=True)
        ]

    def settings(self, number: int) -> Settings:
        """Return the decision module's settings for the proxy with this number."""
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
        """Return a session's listener, tenant and affinity key for the decision module."""
        request = sess.client.request
        group = f"g{request.group}" if request.group >= 0 else f"k{request.number}"
        return self.listeners[request.listener], self.customers[request.tenant], group

    def one_way(self, zone: int, other: int, sess: Session | None) -> float:
        """Return the one-way time between two zones in seconds, with jitter for a session.

        The jitter comes from the session's own draws, so that it doesn't depend on other sessions.
        """
        base = self.world.one_way_delay(zone, other)
        if sess is None:
            return base
        draw = self.world.random_tables.uniform(sess.client.request.number, sess.client.next_draw())
        return base * (1.0 + self.scenario.network.jitter * (2.0 * draw - 1.0))

    def run(self) -> World:
        """Play the scenario to its end and return its world."""
        self.begin()
        self.world.event_queue.run_until(self.scenario.seconds)
        return self.end()

    def begin(self) -> None:
        """Prepare the run up to time 0; the caller can then run the event queue step by step."""
        world = self.world
        world.start(self)
        rows = list(world.list_service.rows.values())
        for number in range(self.scenario.fleet.proxies):
            self.lists[number], self.start_counts[number] = (rows, world.list_service.version), 0
            self.instances[number] = Instance(self, number, rows, world.list_service.version, 0)
        for sess in world.create_preexisting_sessions():
            self.instances[sess.proxy].adopt(sess)

    def end(self) -> World:
        """Close the accounts; the event queue must have run to the end of the scenario."""
        self.world.finish()
        return self.world

    # called by the world

    def submit(self, sess: Session) -> None:
        """Send a client's session to its proxy; it arrives after the network's delay."""
        self.world.event_queue.schedule_after(self.world.network.client, self.deliver, sess)

    def deliver(self, sess: Session) -> None:
        """Hand a session to its proxy, or lose it if the proxy is down."""
        instance = self.instances.get(sess.proxy)
        if instance is None:
            self.world.on_proxy_lost(sess)
        else:
            instance.call_unless_stalled(instance.on_session, (sess,))

    def cancel(self, sess: Session) -> None:
        """Close the client's side of a session, before or after its final answer."""
        if instance := self.instances.get(sess.proxy):
            instance.call_unless_stalled(instance.on_client_left, (sess,))

    def close_by_server(self, sess: Session, move: bool) -> None:
        """Close the server's side of a connection: tell the client to move, or reset it."""
        if instance := self.instances.get(sess.proxy):
            instance.call_unless_stalled(instance.on_server_ended, (sess, move))

    def load_changed(self, sess: Session) -> None:
        """Report the new load of an established connection to the decision module."""
        if (instance := self.instances.get(sess.proxy)) and (token := instance.tokens.get(sess.number)):
            if token.handle is not None and token.established:
                instance.call_unless_stalled(token.handle.on_load, (sess.load,))

    def crash(self, number: int) -> None:
        """End a proxy's process and keep its endpoint list for a restart."""
        if instance := self.instances.pop(number, None):
            instance.alive = False
            if self.gossip:
                self.gossip.remove_member(number)
            self.lists[number] = list(instance.rows.values()), instance.seen

    def restart(self, number: int) -> None:
        """Start a proxy's next process with the endpoint list that the last one had."""
        self.start_counts[number] += 1
        rows, seen = self.lists[number]
        self.instances[number] = Instance(self, number, rows, seen, self.start_counts[number])

    def is_ready(self, number: int) -> bool:
        """Return True: a simulated proxy accepts clients as soon as it is started."""
        return True

    def stop(self, number: int, span: float) -> None:
        """Shut a proxy down gracefully: it migrates its clients over the span in seconds."""
        self.instances[number].stop(span)

    def stall(self, number: int, span: float) -> None:
        """Suspend a proxy for `span` seconds; its events run when the stall ends."""
        instance = self.instances[number]
        instance.stalled_until = max(instance.stalled_until, self.world.event_queue.now + span)
        self.world.checker.record_stall(number, instance.stalled_until)
