"""The world: servers, list service, clients, front end and faults around one event queue.

The world decides what servers, clients and the list service do. An engine carries sessions between clients,
proxies and servers, in virtual time or over sockets, and calls back with the results. The world does no I/O
and reads no clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from onyxhollow.lab.evenness import ServerLoad
from onyxhollow.lab.invariant_checker import InvariantChecker
from onyxhollow.lab.run_metrics import RunMetrics
from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.world import listing
from onyxhollow.lab.world.clients import retry_wait
from onyxhollow.lab.world.draws import Population, populate
from onyxhollow.lab.world.event_queue import EventQueue
from onyxhollow.lab.world.listing import ListedServer, ListService
from onyxhollow.lab.world.servers import Client, OpenResult, Server, ServerState, Session
from onyxhollow.lab.world.streams import RandomTables, random_stream
from onyxhollow.lab.world.types import LossCause, RateFactors

STEP_SECONDS = 0.1  # between steps of the servers' work
SAMPLE_SECONDS = 1.0  # between samples of loads and of message latencies
FRONT_END_CHECK_SECONDS = 0.2  # between checks of the front end on a proxy that was started
DRAIN_BATCHES = 20  # batches in which a draining server moves its clients away


class Engine(Protocol):
    """Carries sessions. The world makes all calls, at the event queue's time."""

    def submit(self, sess: Session) -> None:
        """Open a client's session at its proxy."""

    def cancel(self, sess: Session) -> None:
        """Close the client's side of a session, before or after its final answer."""

    def close_by_server(self, sess: Session, move: bool) -> None:
        """Close the server's side of a connection: tell the client to move, or reset it."""

    def crash(self, proxy: int) -> None:
        """Kill a proxy at once, without its graceful shutdown."""

    def restart(self, proxy: int) -> None:
        """Start a dead proxy with the endpoint list that it had."""

    def is_ready(self, proxy: int) -> bool:
        """Return whether a proxy that was started accepts clients."""

    def stop(self, proxy: int, span: float) -> None:
        """Shut a proxy down gracefully: it migrates its clients over the span in seconds."""

    def stall(self, proxy: int, span: float) -> None:
        """Suspend a proxy for `span` seconds; it then processes what has arrived."""


@dataclass(slots=True)
class Proxy:
    """A proxy as the front end sees it."""

    number: int
    zone: int
    alive: bool = True
    in_rotation: bool = True  # the front end sends clients to it
    stopping: bool = False


@dataclass(frozen=True, slots=True)
class BlockedLinks:
    """The links between some servers and some proxies, blocked by a partition."""

    servers: frozenset[str]
    proxies: frozenset[int]
    one_way: bool


class SessionStore:
    """The session store; each session set-up calls it once, and it handles calls in turn."""

    def __init__(self, rate: float, time: float) -> None:
        """Take the calls per second, 0 for no limit, and the seconds that each call takes."""
        self.rate, self.time, self.free_at = rate, time, 0.0

    def call(self, now: float) -> float:
        """Return the seconds until a call made now is answered."""
        if self.rate <= 0:
            return self.time
        self.free_at = max(now, self.free_at) + 1.0 / self.rate
        return self.free_at - now + self.time


class World:
    """The state of a run, and the handlers of its events."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Create the servers and draw the clients; start schedules the events."""
        self.scenario, self.seed = scenario, seed
        self.event_queue, self.random_tables = EventQueue(), RandomTables(seed)
        fleet, network = scenario.fleet, scenario.network
        self.listener_names = [row.name for row in scenario.listeners]
        self.servers: list[Server] = []
        self.servers_by_name: dict[str, Server] = {}
        self.speed_stream = random_stream(seed, "servers")
        self.store = SessionStore(scenario.store.rate, scenario.store.time)
        self.list_service = ListService(self.event_queue, scenario.server_list)
        self.checker = InvariantChecker(
            scenario.proxies.drain_grace, scenario.proxies.answer_grace, scenario.proxies.ask_within
        )
        self.proxies = [Proxy(number, number % len(fleet.zones)) for number in range(fleet.proxies)]
        self.average_load = 1.0
        for _ in range(fleet.servers):
            self.make_server(-math.inf)
        self.capacity = sum(server.full_capacity for server in self.servers)  # cores of speed 1, at the start
        population = self._draw_population()
        self.average_load, self.quotas, self.requests = (
            population.average_load,
            population.quotas,
            population.requests,
        )
        self.average_load_by_listener = population.average_load_by_listener
        for server in self.servers:
            server.average_load = self.average_load
        self.metrics = RunMetrics(scenario, self.requests)
        self.clients = [
            Client(request, self.random_tables.uniform(request.number, 0) < scenario.clients.honours)
            for request in self.requests
        ]
        self.affected_servers: dict[int, list[Server]] = {}
        self.blocked_links: dict[int, BlockedLinks] = {}
        self.session_count, self.network = 0, network
        self.fault_spans: list[tuple[float, float, str]] = []
        self.engine: Engine = None  # type: ignore[assignment]  # set in start
        self.crossings = 0

    def _draw_population(self) -> Population:
        """Draw all clients of the run, with the rates and loads that the faults set."""
        rates = RateFactors()
        for fault in self.scenario.faults:
            fault.adjust_rates(rates, self.listener_names)
        return populate(self.scenario, max(1.0, self.capacity), rates, self.seed)

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone, given its index."""
        return self.scenario.fleet.zones[zone]

    def fault_stream(self, number: int) -> np.random.Generator:
        """Return a new generator for a fault; its draws are the same on every call."""
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, 1000 + number])))

    def one_way_delay(self, zone: int, other: int) -> float:
        """Return the seconds that a packet takes between two zones."""
        return self.network.same if zone == other else self.network.cross

    # progress of a run

    def start(self, engine: Engine) -> None:
        """Schedule the run's events. The engine adds the connections that exist at the start.

        See create_preexisting_sessions for those.
        """
        self.engine = engine
        self.list_service.publish_callbacks.append(
            lambda row: self.checker.record_listing(self.event_queue.now, row.name, row.state, row.started)
        )
        for server in self.servers:
            self.list_service.rows[server.name] = self.list_row(server, listing.IN_SERVICE)
        self.event_queue.schedule_at(STEP_SECONDS, self.step)
        self.event_queue.schedule_at(SAMPLE_SECONDS, self.sample)
        self.schedule_arrival(
            next(
                (number for number, request in enumerate(self.requests) if not request.preexisting),
                len(self.requests),
            )
        )
        for number, fault in enumerate(self.scenario.faults):
            kind = str(type(fault).__struct_config__.tag)
            self.fault_spans.append((fault.at, min(fault.until, self.scenario.seconds), kind))
            self.event_queue.schedule_at(fault.at, fault.begin, self, number)
            self.event_queue.schedule_at(fault.until, fault.end, self, number)

    def schedule_arrival(self, index: int) -> None:
        """Schedule one arrival, which schedules the next: the event queue does not hold them all."""
        if index < len(self.requests):
            self.event_queue.schedule_at(self.requests[index].due, self.on_arrival, index)

    def on_arrival(self, index: int) -> None:
        """Start the client of a request that is due."""
        self.schedule_arrival(index + 1)
        self.start_client(self.clients[index])

    def create_preexisting_sessions(self) -> list[Session]:
        """Create the connections that exist at the start.

        Each is at a proxy of its client's zone, on a server drawn at random by weight.
        """
        rng = random_stream(self.seed, "standing")
        rng.random(16)  # discarded; without these draws every seed would give other sessions
        clients = [client for client in self.clients if client.request.preexisting]
        if not self.servers:
            for client in clients:
                self.start_client(client)
            return []
        weights = np.array([server.weight for server in self.servers])
        server_numbers = rng.choice(len(self.servers), size=len(clients), p=weights / weights.sum())
        sessions = []
        for client, index in zip(clients, server_numbers.tolist(), strict=True):
            proxy = self.choose_proxy(client)
            assert proxy is not None
            sess = self.new_session(client, proxy.number, math.inf)
            sess.answered = True
            self.event_queue.schedule_at(client.request.end, self.on_request_end, client)
            self.checker.final_answers[sess.number] = (proxy.number, "up")
            self.attach(sess, self.servers[index])
            sessions.append(sess)
        return sessions

    def step(self) -> None:
        """Run a step of all servers, and shed their excess load."""
        now = self.event_queue.now
        for server in self.servers:
            server.step(now, lambda *step: self.metrics.record_step(now, *step))
            if server.backlog > 0 and server.is_running:
                for sess in server.shed_load(now):
                    self.metrics.increment("shed")
                    self.end_by_server(sess, False)
        if now + STEP_SECONDS <= self.scenario.seconds + STEP_SECONDS / 2:
            self.event_queue.schedule_at(round(now / STEP_SECONDS + 1) * STEP_SECONDS, self.step)

    def sample(self) -> None:
        """Sample the servers' loads and message latencies."""
        now = self.event_queue.now
        samples: list[ServerLoad] = []
        for server in self.servers:
            if not server.is_running or server.is_unresponsive:
                continue
            self.metrics.record_load(server.name, now, server.load)
            if server.state is ServerState.RUNNING and server.warm_up_factor(now) >= 1.0:
                samples.append(ServerLoad(server.name, server.load, server.capacity(now)))
            if server.sessions:
                self.metrics.record_messages(server.delay, server.tau, len(server.sessions))
        self.metrics.evenness.record_loads(now, samples)
        self.event_queue.schedule_after(SAMPLE_SECONDS, self.sample)

    def finish(self) -> None:
        """Close all accounts at the end of the run, after the last step."""
        now = self.scenario.seconds
        for client in self.clients:
            sess = client.session
            if sess is not None and sess.established_at >= 0 and not sess.ended:
                self.settle_earnings(sess, now)
            elif not client.finished and client.request.due < now:
                self.metrics.record_disconnected(client.request, client.cause_since, now, client.cause)
        for server in self.servers:
            server.step(now, lambda *step: self.metrics.record_step(now, *step))
        self.checker.finish(now)

    # clients

    def start_client(self, client: Client) -> None:
        """Schedule the end of the client's request and open its first session."""
        self.event_queue.schedule_at(client.request.end, self.on_request_end, client)
        self.open_session(client)

    def choose_proxy(self, client: Client) -> Proxy | None:
        """Return a proxy in rotation of the client's zone, or of any zone if it has none."""
        in_rotation = [proxy for proxy in self.proxies if proxy.in_rotation]
        candidates = [proxy for proxy in in_rotation if proxy.zone == client.request.zone] or in_rotation
        if not candidates:
            return None
        return candidates[
            int(self.random_tables.uniform(client.request.number, client.next_draw()) * len(candidates))
        ]

    def new_session(self, client: Client, proxy: int, timeout: float) -> Session:
        """Create the client's current session; its deadline is timeout seconds from now."""
        self.session_count += 1
        sess = client.session = Session(self.session_count, client, proxy, self.event_queue.now + timeout)
        return sess

    def open_session(self, client: Client) -> None:
        """Open a session at a proxy, for the first time or again."""
        if client.finished or client.session is not None:
            return
        spec = self.scenario.listeners[client.request.listener]
        proxy = self.choose_proxy(client)
        if proxy is None or not proxy.alive:
            self.metrics.increment("found no proxy")
            self.disconnect(client, LossCause.UNREACHABLE)
            return
        self.metrics.increment("sessions")
        self.metrics.increment(
            "sessions again" if client.open_count or client.was_connected else "sessions first"
        )
        client.open_count += 1
        sess = self.new_session(client, proxy.number, spec.timeout)
        early = self.random_tables.uniform(client.request.number, client.next_draw())
        if early < self.scenario.clients.leaves_early:
            self.event_queue.schedule_after(
                spec.timeout * (0.2 + 0.7 * early / self.scenario.clients.leaves_early),
                self.leave_early,
                sess,
            )
        self.event_queue.schedule_at(
            sess.deadline + self.scenario.proxies.answer_grace + 0.25, self.on_unanswered, sess
        )
        self.engine.submit(sess)

    def leave_early(self, sess: Session) -> None:
        """Give the session up before its timeout, as impatient clients do."""
        if not sess.answered and not sess.ended:
            self.metrics.increment("left early")
            self.give_up(sess)

    def on_unanswered(self, sess: Session) -> None:
        """Give the session up long after its deadline; the client opens another."""
        if not sess.answered and not sess.ended:
            self.metrics.increment("never answered")
            self.give_up(sess)

    def give_up(self, sess: Session) -> None:
        """End an unanswered session from the client's side."""
        sess.answered = sess.ended = True
        sess.client.session = None
        self.engine.cancel(sess)
        self.disconnect(sess.client, LossCause.LATE)

    def on_request_end(self, client: Client) -> None:
        """End the request: the client wants no connection any more."""
        if client.finished:
            return
        client.finished, sess = True, client.session
        if sess is None:
            self.metrics.record_disconnected(
                client.request, client.cause_since, client.request.end, client.cause
            )
            return
        client.session = None
        if sess.established_at >= 0 and not sess.ended:
            self.detach(sess)
        else:
            self.metrics.record_disconnected(
                client.request, client.cause_since, client.request.end, client.cause
            )
        sess.answered = sess.ended = True
        self.engine.cancel(sess)

    def disconnect(self, client: Client, cause: LossCause, retry_after: float = 0.0) -> None:
        """Set why the client has no connection from now on, and schedule its next session."""
        now = self.event_queue.now
        if now > client.cause_since:
            self.metrics.record_disconnected(client.request, client.cause_since, now, client.cause)
        client.cause, client.cause_since, client.session = cause, now, None
        if client.finished:
            return
        wait = retry_wait(cause, client, retry_after, self.scenario.clients, self.random_tables)
        if wait is None or client.must_not_retry:
            self.metrics.increment("did not come again")
            return
        self.event_queue.schedule_after(wait, self.open_session, client)

    # called by the engine

    def on_established(self, sess: Session, server: Server) -> None:
        """Handle an accepted session: the client has its connection."""
        client, now = sess.client, self.event_queue.now
        sess.answered = True
        if client.finished:
            return
        spec = self.scenario.listeners[client.request.listener]
        first = not client.was_connected
        if first:
            setup_time = now - client.request.due
            self.metrics.record_setup(client.request.listener, setup_time)
            in_time = setup_time <= spec.target
            self.metrics.record_disconnected(
                client.request, client.cause_since, now, None if in_time else client.cause
            )
            self.metrics.increment("up in time" if in_time else "up late")
        else:
            self.metrics.record_disconnected(client.request, client.cause_since, now, client.cause)
        self.metrics.increment("up")
        self.metrics.evenness.record_placement(now, server.name, sess.proxy)
        client.open_count = 0
        self.attach(sess, server)

    def on_rejected(self, sess: Session, retry_after: float) -> None:
        """Handle a rejection; its client waits `retry_after` seconds if it honours that."""
        self.handle_failed_answer(sess, LossCause.REFUSED, retry_after)

    def on_failed(self, sess: Session) -> None:
        """Handle an error as the final answer; the session may have run."""
        self.handle_failed_answer(sess, LossCause.TORN_DOWN, 0.0)

    def handle_failed_answer(self, sess: Session, cause: LossCause, retry_after: float) -> None:
        """Handle a final answer that is not an accepted session."""
        sess.answered = sess.ended = True
        if sess.client.finished or sess.client.session is not sess:
            return
        self.metrics.increment("answered refused" if cause is LossCause.REFUSED else "answered torn down")
        spec = self.scenario.listeners[sess.client.request.listener]
        # A failed session may have run, so the client opens another only if it may run twice.
        sess.client.must_not_retry = cause is LossCause.TORN_DOWN and (
            spec.repeat == "once-only" or spec.repeat == "referenced" and spec.scope != "all"
        )
        self.disconnect(sess.client, cause, retry_after)

    def on_proxy_lost(self, sess: Session) -> None:
        """Handle a proxy that died or became unreachable before its final answer."""
        if sess.ended:
            return
        sess.answered = sess.ended = True
        if sess.client.session is sess:
            self.disconnect(sess.client, LossCause.UNREACHABLE)

    def end_connection(self, sess: Session, cause: LossCause) -> None:
        """Handle the end of an established connection that its client still wants."""
        if sess.ended:
            return
        sess.ended = True
        client = sess.client
        if client.session is not sess:
            return
        self.metrics.increment(f"cut: {cause.value}")
        if sess.established_at >= 0:
            self.detach(sess)
        client.connection_number += 1
        client.cause_since = self.event_queue.now
        client.open_count = 0
        self.disconnect(client, cause)

    # connections at servers

    def attach(self, sess: Session, server: Server) -> None:
        """Add the connection to a server; it earns from now on."""
        client, now = sess.client, self.event_queue.now
        crossed = self.proxies[sess.proxy].zone != server.zone
        if crossed:
            self.crossings += 1
        sess.slot = 4 * client.request.listener + 2 * crossed + client.request.over_quota
        sess.server, sess.established_at = server, now
        sess.earned_at_start = server.earned_integral(sess.slot, now)
        server.add(sess, sess.slot, now)
        client.was_connected, client.cause_since = True, now
        number = client.request.number
        self.event_queue.schedule_after(
            self.scenario.listeners[client.request.listener].change
            * self.random_tables.exponential(number, client.next_draw()),
            self.change_load,
            sess,
        )

    def change_load(self, sess: Session) -> None:
        """Draw a new load for a connection, and schedule the next change."""
        if sess.ended or sess.server is None:
            return
        client, spec = sess.client, self.scenario.listeners[sess.client.request.listener]
        sigma = spec.swing_sigma
        load = client.request.load * math.exp(
            sigma * self.random_tables.normal(client.request.number, client.next_draw()) - sigma**2 / 2
        )
        sess.server.change_load(sess, load)
        if self.scenario.fleet.tells_load and (load_changed := getattr(self.engine, "load_changed", None)):
            load_changed(sess)
        self.event_queue.schedule_after(
            spec.change * self.random_tables.exponential(client.request.number, client.next_draw()),
            self.change_load,
            sess,
        )

    def settle_earnings(self, sess: Session, now: float) -> None:
        """Account for what the connection has earned, or lost while blackholed, up to now."""
        server = sess.server
        assert server is not None
        if not sess.blackholed:
            self.metrics.add_tenant_earnings(
                sess.client.request, server.earned_integral(sess.slot, now) - sess.earned_at_start
            )
        else:
            self.metrics.record_disconnected(
                sess.client.request, sess.client.cause_since, now, LossCause.UNREACHABLE
            )
            sess.client.cause_since = now

    def detach(self, sess: Session) -> None:
        """Remove the connection from its server."""
        server, now = sess.server, self.event_queue.now
        if server is None or sess not in server.sessions:
            return
        self.settle_earnings(sess, now)
        if not sess.blackholed:
            server.pause(sess.slot, now)
        server.remove(sess)

    def set_blackholed(self, sess: Session, blackholed: bool) -> None:
        """Stop or restore the arrival of packets at the server; the connection stays open."""
        server, now = sess.server, self.event_queue.now
        if (
            sess.ended
            or server is None
            or sess.established_at < 0
            or sess.blackholed == blackholed
            or sess not in server.sessions
        ):
            return
        self.settle_earnings(sess, now)
        sess.blackholed = blackholed
        if blackholed:
            server.pause(sess.slot, now)
        else:
            server.resume(sess.slot, now)
            sess.earned_at_start = server.earned_integral(sess.slot, now)
        sess.client.cause_since = now

    def on_silence_timeout(self, sess: Session) -> None:
        """End a connection from which the proxy has received nothing for too long."""
        server = sess.server
        if not sess.ended and server is not None and (sess.blackholed or server.is_unresponsive):
            self.end_by_server(sess, False)

    def end_by_server(self, sess: Session, move: bool) -> None:
        """End a connection from the server's side: tell the client to move, or reset it."""
        if sess.ended:
            return
        self.end_connection(sess, LossCause.MOVED if move else LossCause.TORN_DOWN)
        self.engine.close_by_server(sess, move)

    # servers

    def make_server(self, started: float) -> Server:
        """Create a server; zones are assigned in turn and machine kinds by their shares."""
        fleet, number = self.scenario.fleet, len(self.servers)
        total = sum(kind.share for kind in fleet.kinds)
        # Multiples of the golden ratio spread the kinds evenly over the servers.
        position, kind = (number * 0.6180339887) % 1.0 * total, fleet.kinds[-1]
        for candidate in fleet.kinds:
            if position < candidate.share:
                kind = candidate
                break
            position -= candidate.share
        speed = kind.speed * math.exp(kind.spread * float(self.speed_stream.standard_normal()))
        server = Server(
            number,
            f"s{number:04d}",
            number % len(fleet.zones),
            fleet,
            kind,
            speed,
            self.scenario.listeners,
            self.scenario.proxies.message_work,
            self.average_load,
            started,
        )
        server.step_began_at, server.crossing_delay = self.event_queue.now, 2.0 * self.scenario.network.cross
        self.servers.append(server)
        self.servers_by_name[server.name] = server
        self.checker.server_locations[server.name] = (server.zone, server.cell)
        return server

    def list_row(self, server: Server, state: str) -> ListedServer:
        """Return the server as the list shows it."""
        started = None if server.started == -math.inf else server.started + server.clock_offset
        return ListedServer(
            server.name, state, server.weight, started, self.zone_name(server.zone), server.cell
        )

    def publish_state(self, server: Server, state: str, notice: float) -> None:
        """Show a state of the server in the list after notice seconds."""
        self.list_service.schedule_change(self.list_row(server, state), notice)

    def add_server(self) -> None:
        """Add a running server that warms up and shows in the list after the usual delay."""
        server = self.make_server(self.event_queue.now)
        self.publish_state(server, listing.IN_SERVICE, self.scenario.server_list.add)

    def start_server(self, server: Server) -> None:
        """Start a stopped server; it warms up."""
        if server.state is not ServerState.STOPPED:
            return
        server.state, server.started = ServerState.RUNNING, self.event_queue.now
        server.clear()
        self.publish_state(server, listing.IN_SERVICE, self.scenario.server_list.add)

    def stop_server(self, server: Server, silently: bool) -> None:
        """Stop a server process; silently means that the list notices it late, as after a crash."""
        if server.state is ServerState.STOPPED:
            return
        self.reset_connections(server)
        server.state = ServerState.STOPPED
        server.clear()
        settings = self.scenario.server_list
        self.publish_state(server, listing.GONE, settings.silent_notice if silently else settings.notice)

    def restart_server(self, server: Server) -> None:
        """Crash a running server and start it again half a second later."""
        if server.state is ServerState.RUNNING:
            self.stop_server(server, silently=True)
            self.event_queue.schedule_after(0.5, self.start_server, server)

    def reset_connections(self, server: Server) -> None:
        """Reset all connections of a server."""
        for sess in list(server.sessions):
            self.end_by_server(sess, False)

    def drain_server(self, server: Server, span: float, returns: bool, replaced: bool) -> None:
        """Drain a server, stop it after span seconds, and restart or replace it if wanted."""
        if server.state is not ServerState.RUNNING:
            return
        server.state = ServerState.DRAINING
        self.metrics.increment("drains")
        self.publish_state(server, listing.DRAINING, self.scenario.server_list.notice)
        if self.scenario.fleet.drain == "at once":
            self.move_clients(server, 1.0)
        elif self.scenario.fleet.drain == "paced":
            for batch in range(DRAIN_BATCHES):
                wait = span * (batch + 1) / (DRAIN_BATCHES + 2)
                self.event_queue.schedule_after(
                    wait, self.move_clients, server, 1.0 / (DRAIN_BATCHES - batch)
                )
        self.event_queue.schedule_after(span, self.finish_drain, server, returns, replaced)

    def move_clients(self, server: Server, share: float) -> None:
        """Move a share of a draining server's connections away, oldest first."""
        if server.state is ServerState.DRAINING:
            for sess in list(server.sessions)[: math.ceil(len(server.sessions) * share)]:
                self.end_by_server(sess, True)

    def finish_drain(self, server: Server, returns: bool, replaced: bool) -> None:
        """Stop a drained server, and replace or restart it if wanted."""
        if server.state is not ServerState.DRAINING:
            return
        self.stop_server(server, silently=False)
        if replaced:
            self.event_queue.schedule_after(0.5, self.add_server)
        elif returns:
            self.event_queue.schedule_after(0.5, self.start_server, server)

    def vanish(self, server: Server, number: int) -> None:
        """Make a server silent: its connections stay open and earn nothing."""
        server.vanished_by.add(number)  # its connections earn nothing from the next step on
        self.publish_state(server, listing.GONE, self.scenario.server_list.silent_notice)
        self.schedule_silence_timeouts(server)

    def schedule_silence_timeouts(self, server: Server) -> None:
        """Schedule the timeouts by which simulated proxies notice silent connections."""
        if getattr(self.engine, "notices_silence", False):
            return
        for sess in list(server.sessions):
            self.event_queue.schedule_after(self.network.silence, self.on_silence_timeout, sess)

    def reappear(self, server: Server, number: int) -> None:
        """Restart a vanished machine, without its connections."""
        server.vanished_by.discard(number)
        if server.vanished_by or server.state is ServerState.STOPPED:
            return
        self.reset_connections(server)
        server.state = ServerState.STOPPED
        self.start_server(server)

    def open_at_server(self, sess: Session, server: Server) -> tuple[OpenResult, float]:
        """Handle an attempt that has reached a server: return the result and the seconds until it is sent."""
        now, request = self.event_queue.now, sess.client.request
        draw = sess.client.next_draw()
        spec = self.scenario.listeners[request.listener]
        work = spec.work * self.random_tables.exponential(request.number, draw)
        # No policy can know a session's future load. The average load of its listener counts towards the slow
        # start: otherwise one costly session would make a server fail whatever the policy does.
        chance = self.random_tables.uniform(request.number, draw)
        result, wait = server.handle_open(
            now, self.average_load_by_listener[request.listener], work, sess.proxy, chance
        )
        if (shares := server.detect_overload_failure(now)) is not None:
            self.metrics.increment("cold servers fell")
            self.checker.record_overload_failure(
                now, server.name, server.started + server.clock_offset, shares
            )
            self.stop_server(server, silently=True)
            self.event_queue.schedule_after(self.scenario.fleet.fall_out, self.start_server, server)
            return OpenResult.NO_ANSWER, 0.0
        if result is OpenResult.ACCEPTED:
            self.checker.record_execution(now, sess.execution_key, spec.repeat, server.name)
            wait += self.store.call(now)
        return result, wait

    def group_of(self, token: object) -> int:
        """Return the group of the session behind an engine's token, or -1."""
        sess = getattr(token, "sess", None)
        return sess.client.group if isinstance(sess, Session) else -1

    # links and proxies

    def blocked_direction(self, proxy: int, server: Server) -> str:
        """Return which packets between a proxy and a server are lost: "", "answers" or "both"."""
        direction = ""
        for links in self.blocked_links.values():
            if server.name in links.servers and proxy in links.proxies:
                if not links.one_way:
                    return "both"
                direction = "answers"
        return direction

    def block_links(self, number: int, servers: list[Server], proxies: list[int], one_way: bool) -> None:
        """Block the links between servers and proxies; packets of their connections are lost."""
        self.blocked_links[number] = links = BlockedLinks(
            frozenset(server.name for server in servers), frozenset(proxies), one_way
        )
        for server in servers:
            for sess in list(server.sessions):
                if sess.proxy in links.proxies:
                    self.set_blackholed(sess, True)
                    if not getattr(self.engine, "notices_silence", False):
                        self.event_queue.schedule_after(self.network.silence, self.on_silence_timeout, sess)

    def restore_links(self, number: int) -> None:
        """Restore the links that a fault blocked."""
        links = self.blocked_links.pop(number, None)
        for name in sorted(links.servers) if links else ():
            server = self.servers_by_name[name]
            for sess in list(server.sessions):
                if sess.blackholed and not self.blocked_direction(sess.proxy, server):
                    self.set_blackholed(sess, False)

    def crash_proxy(self, number: int) -> None:
        """Kill a proxy; its clients lose their sessions."""
        proxy = self.proxies[number]
        if not proxy.alive:
            return
        proxy.alive = False
        self.metrics.increment("proxy crashes")
        self.list_service.remove_watch(number)
        self.engine.crash(number)
        self.checker.record_proxy_crash(number)
        self.event_queue.schedule_after(self.scenario.front.notice, self.update_rotation, proxy)
        for client in self.clients_of(number):
            sess = client.session
            assert sess is not None
            if sess.established_at >= 0:
                self.end_connection(sess, LossCause.UNREACHABLE)
            else:
                self.on_proxy_lost(sess)

    def clients_of(self, proxy: int) -> list[Client]:
        """Return the clients with a session at a proxy."""
        return [
            client
            for client in self.clients
            if client.session is not None and client.session.proxy == proxy and not client.finished
        ]

    def update_rotation(self, proxy: Proxy) -> None:
        """Take a dead proxy out of the front end's rotation, and a restarted one in once it is ready.

        Without the wait, 150 processes that start at once leave clients with refused connections, which then
        count as unanswered.
        """
        ready = proxy.alive and self.engine.is_ready(proxy.number)
        proxy.in_rotation = ready and not proxy.stopping
        if proxy.alive and not ready:
            self.event_queue.schedule_after(FRONT_END_CHECK_SECONDS, self.update_rotation, proxy)

    def restart_proxy(self, number: int) -> None:
        """Start a dead proxy; it enters the rotation once it is ready."""
        proxy = self.proxies[number]
        if proxy.alive:
            return
        proxy.alive, proxy.stopping = True, False
        self.engine.restart(number)
        self.event_queue.schedule_after(FRONT_END_CHECK_SECONDS, self.update_rotation, proxy)

    def stop_proxy(self, number: int, span: float, away: float) -> None:
        """Restart a proxy gracefully: it leaves the rotation, migrates its clients, exits and starts."""
        proxy = self.proxies[number]
        if not proxy.alive or proxy.stopping:
            return
        proxy.stopping = True
        self.metrics.increment("proxy restarts")
        self.event_queue.schedule_after(0.3, self.update_rotation, proxy)
        self.engine.stop(number, span)
        self.event_queue.schedule_after(span, self.crash_proxy, number)
        self.event_queue.schedule_after(span + away, self.restart_proxy, number)

    def stall_proxy(self, number: int, span: float) -> None:
        """Suspend a proxy for `span` seconds, unless it is dead."""
        if self.proxies[number].alive:
            self.engine.stall(number, span)

    def drop_connections(self, share: float, span: float, number: int) -> None:
        """Drop the connections of a share of the clients, at random times within the span."""
        rng = self.fault_stream(number)
        # Drawn for all clients, connected or not, so that every policy loses the same ones.
        chances, waits = rng.random(len(self.clients)), rng.random(len(self.clients))
        for client, chance, wait in zip(self.clients, chances.tolist(), waits.tolist(), strict=True):
            if chance < share and client.request.due <= self.event_queue.now and not client.finished:
                self.event_queue.schedule_after(wait * span, self.drop_client, client)

    def drop_client(self, client: Client) -> None:
        """End the client's established connection, if it has one, from the client's side."""
        sess = client.session
        if sess is None or sess.established_at < 0 or sess.ended:
            return
        self.end_connection(sess, LossCause.DROPPED)
        self.engine.cancel(sess)
