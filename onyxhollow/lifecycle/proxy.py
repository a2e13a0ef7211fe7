"""Start and stop of one proxy: puts the parts together, runs the loop, ends in order."""

from __future__ import annotations

import contextlib
import gc
import math
import os
import resource
import signal
import socket
import sys
import traceback
from collections.abc import Callable, Generator
from functools import partial
from random import Random
from typing import Protocol

from onyxhollow.counters import ACCEPTED, REFUSED, TORN_DOWN, Counters
from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind
from onyxhollow.lifecycle.config import Config, ConfigError, needs_restart, read_config
from onyxhollow.lifecycle.handover import STARTING, STOPPING, TAKING, Handover, StateError, given_socket
from onyxhollow.lifecycle.log import Log
from onyxhollow.lifecycle.signals import SignalQueue
from onyxhollow.loop import READ, Loop, Task
from onyxhollow.management import metrics
from onyxhollow.management.api import PLAIN, Answer, Management
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.buffers import BUFFER_SIZE, BufferPool
from onyxhollow.wire.client_session import accept_connection, accept_handoff
from onyxhollow.wire.endpoint_addresses import EndpointAddresses
from onyxhollow.wire.endpoint_list import EndpointList, decode_endpoint_list
from onyxhollow.wire.endpoint_list_watch import EndpointListWatch, WatchTerms
from onyxhollow.wire.handoff_channel import HandoffReceiver, HandoffSender
from onyxhollow.wire.health_checks import HealthChecker
from onyxhollow.wire.listening import ListenError, listen_socket
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import BUSY, SessionRegistry, SessionSettings
from onyxhollow.wire.system_errors import LOST_IN_ACCEPT, Fault, fault_of

ACCEPTS = 64  # connections taken in one turn of the loop, so that those open are not kept waiting
OWN = 12  # descriptors that are no connections: the loop's, the listener, standard ones, signals, the file
NO_DESCRIPTOR = 0.05  # seconds until accepting is tried again when there are no descriptors
LONGEST_STOP = 3.0  # seconds from SIGTERM to SIGKILL, as far as the longest dial timeout counts ...
STOP_MORE = 0.7  # ... and these more
STILL_COMING = 0.5  # seconds for which connections go on coming after SIGTERM
STOP_STEP = 0.05  # seconds from one group of moved clients to the next
STOP_MARGIN = 0.6  # seconds before SIGKILL by which all clients have been told to move
FIRST_LIST = 0.5  # seconds for which the list is waited for at the start where it is pushed
LIST_HEARD = 2.0  # seconds for which a successor waits for the list before it takes clients without
STATE_WAIT = 0.5  # seconds for which it waits for what the one before it knows
STATE_LOOK = 0.02  # seconds from look to look whether that is there
LOOK = 0.1  # seconds from look to look at what the other process of this proxy does
LAST_LINES = 0.4  # seconds for last lines on their way out
PASS_STEP = 0.005  # seconds from one group of connections passed on to the next
AWAY_SPAN = 3.6  # seconds from an operator's word by which all clients have been told to move
AWAY_FROM = 0.4  # seconds from it to the first that is moved: until then the front may send them back here
AWAY_MARGIN = 0.1  # seconds before the end of that span by which the mover is through
AWAY_HELD = 0.2  # seconds past it for which one that reads nothing is held


def turn_away(sock: socket.socket) -> None:
    """Refuses a connection that nothing can be kept for: at once, with its line read, as closed over unread
    bytes it would be reset and the answer lost."""
    with contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(BUSY)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(BUFFER_SIZE)
    sock.close()


class Part(Protocol):
    """Something beside the sessions that this process carries: told what it may need to know."""

    def on_endpoint_list(self, kind: EndpointListKind, entries: list[Endpoint]) -> None: ...

    def close(self) -> None:
        """The process ends now."""


class Proxy:
    def __init__(
        self,
        config: Config,
        out: int,
        read_again: Callable[[], Config],
        given: socket.socket | None = None,
        handover: Handover | None = None,
    ) -> None:
        self.config, self.reread_config = config, read_again
        self.counters, self.pool, self.addresses = Counters(), BufferPool(), EndpointAddresses()
        self.log = Log(out, config.name)
        self.loop = Loop(self.report_failure)
        follows = handover is not None and handover.follows
        waits = follows or not config.settings.list_is_polled
        self.service = ServiceState(ServicePhase.STARTING if waits else ServicePhase.IN_SERVICE)
        self.drain_count = 0  # times that clients were sent away
        self.listener = given or listen_socket(config.listen, "listen")
        self.handover, self.list_received = handover, False
        self.list_answered = False  # the first call has been answered, or has failed
        self.stop_begun = False
        self.successor_path = ""
        settings = config.settings
        for name, address in config.known.addresses.items():
            self.addresses.store(name, address)
        context = NetworkContext(self.loop, self.pool, self.counters, self.addresses, self.log.event)
        self.discovery = EndpointListWatch(
            context,
            config.discovery,
            WatchTerms.of(settings),
            clock=config.clock,
            version=config.known.version,
            on_update=self.on_endpoint_list,
            rng=Random(config.seed),
            answer_at_once=follows,
        )
        self.health_checker = HealthChecker(
            context, settings.load_field, config.health_check_timeout, on_result=self.on_health_check
        )
        self.decisions = DecisionAdapter(
            lambda: self.loop.now,
            settings,
            config.seed,
            self.counters,
            log=lambda line: self.log.event("mode", line=line),
            probe=self.health_checker.start_check,
            watch=self.discovery.poll,
        )
        self.decisions.report_list(EndpointListKind.CACHED, config.known.endpoints)
        self.sessions = SessionRegistry(
            context, self.decisions, self.service, SessionSettings.of(settings, config.connect_timeout)
        )
        self.parts: list[Part] = []
        self.routes: dict[str, dict[str, Callable[[str], Answer]]] = {
            "/control/ready": {"GET": self.answer_ready},
            "/control/counters": {"GET": self.answer_metrics},
            "/control/out-of-service": {"POST": self.out_of_service},
            "/control/in-service": {"POST": self.in_service},
        }
        self.management = self.open_management(config)
        self.apply_limits(config)
        self.loop.spawn(self.ticks())
        self.follower: Task | None = None
        self.starter: Task | None = None
        self.update_accepting()
        if handover is not None:
            self.follower = self.loop.spawn(self.follow(handover))
        if waits and not follows:
            self.starter = self.loop.spawn(self.await_first_list())

    def apply_limits(self, config: Config) -> None:
        """Shares of what is told: fixed figures that suit a thousand descriptors leave nothing of few."""
        longest = max(row.attempt_timeout for row in config.settings.listeners.values())
        self.stop_span = min(LONGEST_STOP, longest) + STOP_MORE - STOP_MARGIN
        descriptors = min(config.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - OWN
        if self.management:  # operators are answered when sessions have used up all the rest
            self.management.max_connections = max(8, min(64, descriptors // 16))
            descriptors -= self.management.max_connections + 2
        self.accepts_to = descriptors - descriptors // 16  # the last are for dials, probes and the list alone
        self.sessions.connection_limit = descriptors - descriptors // 8
        self.health_checker.max_connections = min(64, descriptors // 8)
        self.pool.high_water_mark = max(4096, min(32768, config.memory_bytes // 8 // descriptors))

    # asked by operators

    def open_management(self, config: Config) -> Management | None:
        if config.management is None:
            return None
        return Management(self.loop, config.management, self.counters, self.routes)

    def answer_ready(self, _: str) -> Answer:
        if not self.service.ready:
            return 503, f"{self.service.phase.value}\n".encode(), PLAIN
        return 200, b"ready\n", PLAIN

    def answer_metrics(self, _: str) -> Answer:
        counts = self.counters.counts
        listed, down = self.decisions.avoided()
        refused = counts["reloads refused"]
        values = (
            ("backend_calls_total", counts["dials written whole"]),
            ("inflight", self.sessions.active_count),
            ("hosts_listed", listed),
            ("hosts_down", down),
            ("reconfig_ok_total", counts["reloads"] - refused),
            ("reconfig_failed_total", refused),
        )
        ends = self.counters.ends
        by_tier = (
            ("success_total", ends[ACCEPTED]),
            ("busy_total", ends[REFUSED]),
            ("failure_total", ends[TORN_DOWN]),
        )
        return 200, metrics.render(by_tier, values), metrics.TEXT

    def out_of_service(self, _: str) -> Answer:
        if self.service.ready:
            self.drain_count += 1
            self.service.phase = ServicePhase.DRAINING
            self.log.event("out of service", live=self.sessions.active_count, within=AWAY_SPAN)
            self.loop.spawn(self.drain(self.drain_count))
        return 200, b"out of service\n", PLAIN

    def in_service(self, _: str) -> Answer:
        if self.service.stopping:
            return 503, b"stopping\n", PLAIN
        if self.service.is_any(ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE):
            self.service.phase = ServicePhase.IN_SERVICE
            self.log.event("in service", live=self.sessions.active_count)
        return 200, b"in service\n", PLAIN

    def drain(self, this: int) -> Generator[float, None, None]:
        """Clients are sent away until an operator takes that back. Sessions that come meanwhile are served
        and moved in their turn; what comes after the time there is for it is refused."""
        began = self.loop.now
        last = began + AWAY_SPAN

        def wanted() -> bool:
            return self.service.is_any(ServicePhase.DRAINING) and self.drain_count == this

        yield from self.loop.sleep(AWAY_FROM)
        yield from self.migrate_clients(last - AWAY_MARGIN, wanted)
        yield from self.loop.sleep(last - self.loop.now)
        if wanted():
            self.service.phase = ServicePhase.OUT_OF_SERVICE
            left = [sess for sess in self.sessions.table.live if sess.request is not None]
            for sess in left:
                sess.stop()
            self.log.event("sent away", left=len(left), took=round(self.loop.now - began, 2))
            yield from self.loop.sleep(AWAY_HELD)
            for leaving in list(self.pool.closing.values()):
                if leaving.since < self.loop.now - AWAY_HELD / 2:  # told to move, reads nothing: not held on
                    leaving.close()

    # told by the wire

    def await_first_list(self) -> Generator[float, None, None]:
        """Where the list is pushed, what its service has counts as told from this process's first moment: the
        list from the file may name servers that have been told to drain since, and no client is taken by it
        before the service has been heard or has failed."""
        until = self.loop.now + FIRST_LIST
        while not self.list_answered and self.loop.now < until:
            yield until
        if self.service.is_any(ServicePhase.STARTING):
            self.service.phase = ServicePhase.IN_SERVICE
            self.update_accepting()

    def on_endpoint_list(self, kind: EndpointListKind, entries: list[Endpoint]) -> None:
        self.list_answered = True
        if self.starter:
            self.starter.wake()
        if not self.list_received and kind is not EndpointListKind.FAILED:
            self.list_received = True
            if self.follower:
                self.follower.wake()
        try:
            self.decisions.report_list(kind, entries)
            for part in self.parts:
                part.on_endpoint_list(kind, entries)
        except Exception as error:  # the list must go on being followed
            self.report_failure("list", error)

    def on_health_check(self, server: str, end: AttemptOutcome, took: float, load: float | None) -> None:
        self.log.event("probe", server=server, end=end.value, took=round(took, 4), load=load)
        self.decisions.report_probe(server, end, took, load)

    def ticks(self) -> Generator[float, None, None]:
        """The module's one timer. A failure in it is logged, and the timer goes on."""
        while True:
            while self.loop.now < self.decisions.due:
                yield self.decisions.due
            try:
                self.decisions.tick()
            except Exception as error:
                self.report_failure("tick", error)
                self.decisions.due = self.loop.now + 0.05

    def update_accepting(self) -> None:
        """Begins to accept, or ceases to, as the state says."""
        if self.listener.fileno() >= 0:
            self.loop.watch(self.listener.fileno(), READ if self.service.accepts else 0, self.accept)

    def accept(self, _: int) -> None:
        """The listener is ready."""
        self.accept_batch()

    def accept_batch(self) -> bool:
        """Takes the connections that the system has accepted, some at a time; whether there are no more."""
        for _ in range(ACCEPTS):
            if self.pool.open_connections >= self.accepts_to:
                self.sessions.make_room()
            if self.pool.open_connections >= self.accepts_to:
                self.pause_accepting("accepts put off for want of room")
                return False
            try:
                sock, _peer = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                if error.errno in LOST_IN_ACCEPT:
                    continue  # that connection has gone already
                short = fault_of(error) is Fault.SHORTAGE
                self.pause_accepting("accepts without a descriptor" if short else "accepts that failed")
                return False
            self.counters.add("connections accepted")
            self.open_session(sock)
        return False

    def open_session(self, sock: socket.socket) -> None:
        """Makes a session of a connection. One that can't be set up is owed its answer all the same."""
        try:
            sock.setblocking(False)
            with contextlib.suppress(OSError):  # reset already: reading it will tell
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accept_connection(self.sessions, sock)
        except OSError:
            self.counters.add("connections refused for want of room")
            turn_away(sock)

    def pause_accepting(self, why: str) -> None:
        """Told again at once for as long as connections wait, the loop would spin on them."""
        self.counters.add(why)
        if self.listener.fileno() in self.loop.watched:
            self.loop.watch(self.listener.fileno(), 0, None)
            self.loop.spawn(self.resume_accepting())

    def resume_accepting(self) -> Generator[float, None, None]:
        yield from self.loop.sleep(NO_DESCRIPTOR)
        self.update_accepting()

    # two processes of one proxy

    def follow(self, handover: Handover) -> Generator[float, None, None]:
        """A successor takes clients once it has heard the list, and serves alone when the one before it has
        ended. One that serves looks out for a successor."""
        if handover.has_no_role:
            self.log.event("nothing handed over", why="two other processes of this proxy are there")
        if handover.follows:
            began = self.loop.now
            self.discovery.poll()
            yield from self.take_back(handover, began + STATE_WAIT)
            while not self.list_received and self.loop.now < began + LIST_HEARD:
                yield began + LIST_HEARD
            if self.service.stopping:
                return
            receiver = self.receive(handover)
            self.service.phase = ServicePhase.IN_SERVICE
            self.update_accepting()
            handover.announce(TAKING, receiver.path if receiver else "")
            self.log.event("successor", list_heard=self.list_received, took=round(self.loop.now - began, 3))
            while not handover.take_over():
                yield from self.loop.sleep(LOOK)
            taken = self.counters.counts["connections taken over"]
            self.log.event("predecessor ended", after=round(self.loop.now - began, 2), taken_over=taken)
            if receiver:
                receiver.close()
        while not self.service.stopping:
            self.look_at_successor(handover)
            yield from self.loop.sleep(LOOK)

    def take_back(self, handover: Handover, until: float) -> Generator[float, None, None]:
        """Begins with what the process before this one knows, or without it."""
        why = "nothing written"
        while self.loop.now < until:
            yield from self.loop.sleep(STATE_LOOK)
            try:
                common, records = handover.read_state()
                self.discovery.clock.restore(common["starts"])
                if not self.list_received and common["discovery"] == list(self.config.discovery):
                    self.take_list(decode_endpoint_list(common["list"], self.discovery.clock, self.loop.now))
                servers = self.decisions.take_back(common, records)
                self.log.event("taken over", servers=servers, version=common["list"]["seq"])
                return
            except StateError as error:
                why = str(error)
            except Exception as error:  # written by a build that goes wrong, perhaps: it starts without
                why = repr(error)
                break
        self.log.event("started without", why=why[:200])

    def take_list(self, told: EndpointList) -> None:
        """The list as the process before this one had it; the next call goes on from there."""
        if not told.endpoints:
            return
        for name, address in told.addresses.items():
            self.addresses.store(name, address)
        self.discovery.version = told.version
        self.decisions.report_list(EndpointListKind.CACHED, told.endpoints)

    def hand_over(self, handover: Handover, token: str) -> None:
        try:
            common, records = self.decisions.describe()
            common |= {"discovery": self.discovery.address, "list": self.discovery.snapshot()}
            common["starts"] = self.discovery.clock.starts
            handover.write_state(token, common, records)
            self.log.event("handed over", servers=len(records))
        except Exception as error:  # a successor without it is better than no successor
            self.report_failure("hand-over", error)

    def receive(self, handover: Handover) -> HandoffReceiver | None:
        try:
            return HandoffReceiver(
                self.loop,
                handover.handoff_path,
                partial(accept_handoff, self.sessions),
                self.decisions.all_adopted,
            )
        except OSError as error:  # a path too long, perhaps: its clients are moved then
            self.log.event("nothing passed on", why=str(error))
            return None

    def pass_on(self, path: str, last: float) -> Generator[float, None, None]:
        """Open connections go to the successor, those that come up later as they do; for as long as it is
        there. What it does not take is moved."""
        try:
            passing = HandoffSender(self.loop, path)
        except OSError as error:
            self.log.event("nothing passed on", why=str(error))
            return
        while self.sessions.table.live and self.loop.now < last - STOP_MARGIN and not passing.broken:
            room = passing.free_slots
            for sess in self.sessions.table.live:
                if room <= 0:
                    break
                if sess.is_open and sess.handoff_taken is None and sess.handoff_sender is None:
                    sess.handoff_sender, room = passing, room - 1
                    sess.wake()
            yield from self.loop.sleep(PASS_STEP)
        passing.close()
        self.log.event("passed on", connections=self.counters.counts["connections passed on"])

    def look_at_successor(self, handover: Handover) -> None:
        """While a successor takes clients this process accepts none: of two that place new sessions side by
        side each would need its part of every budget. If it dies, all is as before."""
        heard = handover.successor_announcement()
        if heard.get("state") == STARTING and (token := str(heard.get("token", ""))) != handover.written_for:
            self.hand_over(handover, token)
        state, self.successor_path = heard.get("state", ""), str(heard.get("path", ""))
        if (state == TAKING) is not self.service.replaced:
            self.service.replaced = state == TAKING
            change = "replaced" if self.service.replaced else "successor gone"
            self.log.event(change, live=self.sessions.active_count)
            self.update_accepting()

    def report_failure(self, where: str, error: BaseException) -> None:
        self.counters.add("failures")
        trace = traceback.format_exception(error)
        self.log.event("failure", where=where, error=repr(error), trace="".join(trace)[-2000:])

    # start and stop

    def run(self, signals: SignalQueue) -> None:
        """Serves until a signal ends it."""

        def signalled(_: int) -> None:
            for number in signals.received():  # several SIGHUPs in a row are one reload
                if number == signal.SIGUSR1:
                    self.print_counters()
                elif number == signal.SIGHUP:
                    self.reload()
                else:
                    self.begin_stop()

        self.loop.watch(signals.fileno(), READ, signalled)
        gc.freeze()
        self.log.event(
            "start",
            listen=self.config.listen,
            servers=len(self.config.known.endpoints),
            sockets=self.config.max_sockets,
            memory=self.config.memory_bytes >> 20,
        )
        self.loop.run()
        self.print_counters()

    def reload(self) -> None:
        """SIGHUP: the file is read again, checked whole and taken over in one step, or not at all. Sessions
        go on, also during a stop, for which new ones are still placed."""
        self.counters.add("reloads")
        try:
            fresh = self.reread_config()
            if left := needs_restart(self.config, fresh):
                raise ConfigError(left)
        except ConfigError as error:  # missing, half-written, bad: the old one holds
            self.counters.add("reloads refused")
            self.log.event("reload refused", why=str(error)[:200])
            return
        changed = fresh.settings != self.config.settings
        self.log.event(
            "reload",
            discovery=fresh.discovery,
            sockets=fresh.max_sockets,
            memory=fresh.memory_bytes >> 20,
            settings=changed,
        )
        self.config = fresh
        self.apply_limits(fresh)
        if changed:
            self.counters.add("settings taken over")
            self.apply_settings(fresh)
        self.discovery.switch_to(fresh.discovery, resync=changed)

    def apply_settings(self, config: Config) -> None:
        """Other settings, between two turns of the loop: no session sees half of them. Those taken before
        keep their listener's terms and their dials; the list is asked for whole: its weights may mean another
        thing now."""
        settings = config.settings
        self.sessions.apply_settings(SessionSettings.of(settings, config.connect_timeout))
        self.health_checker.apply_settings(settings.load_field, config.health_check_timeout)
        self.discovery.apply_settings(WatchTerms.of(settings))
        self.decisions.resettle(settings)

    def print_counters(self) -> None:
        gauges = {
            "live": len(self.sessions.table),
            "connections": self.pool.open_connections,
            "log lines dropped": self.log.dropped,
        }
        self.log.event("counters", **self.counters.snapshot(), **gauges)

    def begin_stop(self) -> None:
        """The first of several signals counts: a second stop beside it would end listening twice."""
        if not self.stop_begun:
            self.stop_begun = True
            self.loop.spawn(self.stop())

    def stop(self) -> Generator[float, None, None]:
        """Goes on taking and serving sessions while they come; those moved before would come back here. Then
        open ones are moved one after another over the time there is: all at once they would be a mass
        reconnect for the others."""
        began, last = self.loop.now, self.loop.now + self.stop_span
        self.log.event("stop", live=len(self.sessions.table), within=round(self.stop_span, 2))
        if self.handover is not None:
            self.handover.announce(STOPPING)  # called off, a successor gives the clients back
            self.look_at_successor(self.handover)
        if self.service.replaced:  # nothing new comes here
            self.service.phase = ServicePhase.HANDING_OVER
            if self.successor_path:
                yield from self.pass_on(self.successor_path, last)
        else:
            self.service.phase = ServicePhase.STOPPING
            self.update_accepting()  # those too that were waiting for it to start
            yield from self.loop.sleep(STILL_COMING)
        yield from self.stop_listening(last)
        yield from self.migrate_clients(last - STOP_MARGIN / 2, lambda: bool(self.sessions.table.live))
        if self.sessions.table.live:
            yield from self.loop.sleep(last - self.loop.now)
        for sess in list(self.sessions.table.live):
            sess.stop()
        until = self.loop.now + LAST_LINES
        while self.loop.now < until and (self.sessions.table.live or self.pool.closing):
            yield from self.loop.sleep(STOP_STEP)
        for part in self.parts:
            part.close()
        self.log.event("stopped", live=len(self.sessions.table), took=round(self.loop.now - began, 2))
        self.loop.running = False

    def migrate_clients(self, last: float, wanted: Callable[[], bool]) -> Generator[float, None, None]:
        """Moves open connections one after another, spread over the time until `last`."""
        due = 0.0
        while wanted() and (now := self.loop.now) < last:
            open_ones = [sess for sess in self.sessions.table.live if sess.is_open and not sess.stopping]
            due += len(open_ones) * STOP_STEP / max(STOP_STEP, last - now)
            due, whole = math.modf(due)
            for sess in open_ones[: int(whole)]:
                sess.stop()
            yield from self.loop.sleep(STOP_STEP)

    def stop_listening(self, last: float) -> Generator[float, None, None]:
        """Closes the listener in the moment in which its queue is found empty: whatever stands in it has been
        accepted by the machine and is owed an answer. By `last` it is closed in any case."""
        if self.listener.fileno() < 0:
            return
        while self.service.accepts and not self.accept_batch() and self.loop.now < last:
            resting = self.listener.fileno() not in self.loop.watched
            yield self.loop.now + (NO_DESCRIPTOR if resting else 0.0)
        self.loop.watch(self.listener.fileno(), 0, None)
        self.listener.close()


def raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def serve(
    config: Config,
    path: str,
    signals: SignalQueue,
    attach: Callable[[Proxy], None] = lambda proxy: None,
) -> int:
    """signals: made before anything is taken on. attach: puts further parts on the proxy, before its loop
    runs."""
    raise_descriptor_limit()
    os.set_blocking(sys.stdout.fileno(), False)
    given = handover = None
    try:
        if told := os.environ.get("LB_LISTEN_FD"):
            given = given_socket(told)
            with contextlib.suppress(OSError):  # no such folder: nothing is handed over
                handover = Handover(os.environ.get("TMPDIR", ""))
        proxy = Proxy(
            config,
            sys.stdout.fileno(),
            lambda: read_config(path, again=True),
            given,
            handover,
        )
        attach(proxy)
    except ListenError as error:
        sys.stderr.write(f"onyxhollow: {path}: {error}\n")
        return 2
    proxy.run(signals)
    return 0
