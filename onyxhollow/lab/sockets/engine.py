"""The socket engine: runs the world model in real time, with real sockets and proxies as processes.

Clients, servers and the list service are emulated in this process. All sockets stay on loopback, and every
process and socket is closed when run returns or is interrupted. Latency is measured from the time at which
a session was due. If this process itself runs late, the findings mark the run as void.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil
import tomli_w

from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.sockets.line_connection import LineConnection
from onyxhollow.lab.sockets.list_service import ListService
from onyxhollow.lab.sockets.processor_time import processor_seconds
from onyxhollow.lab.sockets.proxies import READY_TIMEOUT_SECONDS, ProxyProcess, free_address, wire_settings
from onyxhollow.lab.sockets.servers import ServerConnection, ServerListener
from onyxhollow.lab.world.servers import ServerState, Session
from onyxhollow.lab.world.types import LossCause
from onyxhollow.lab.world.world import World
from onyxhollow.loop import Loop

CLIENT_LINE_SECONDS = 2.0  # between two lines that a client sends
TIME_LIMIT_SLACK_SECONDS = 0.05  # added to the time limits of the rules on sockets
STANDING_TIMEOUT_SECONDS = 30.0  # to establish the connections that exist from the start
# A run is void if more than this share of its events ran more than LATE_SECONDS late.
LATE_SECONDS, MAX_LATE_SHARE = 0.1, 0.01
MAX_SLOW_TURN_SHARE = 0.05  # of the run, spent in loop turns that took longer than LATE_SECONDS
MAX_CORES_BUSY_PERCENT = 85.0  # of all cores, mean of the run; above it processes wait for a core
MAX_UNACCOUNTED_SHARE = 0.001  # of the wanted utility, that a run in real time may leave unaccounted for
SMALL_FLEET_PROXIES = 40  # above it membership uses longer periods: all proxies share one machine
READY_CHECK_SECONDS = 0.25  # between two PINGs to a restarted proxy
WORLD_CHECK_SECONDS = 0.05  # between two checks of the world for changes
MAX_LISTENERS = 4000  # listener sockets with one for each pair of proxy and server
# Limit of a proxy's sockets: the minimum plus a number for each client of the run, up to the maximum.
MIN_PROXY_SOCKETS, PROXY_SOCKETS_PER_CLIENT, MAX_PROXY_SOCKETS = 400, 3, 4000
BAD_CLIENT_SECONDS = 1.0  # between two clients that violate the protocol
BAD_CLIENT_INPUTS = (
    b"HELLO\r\n",
    b"OPEN \r\n",
    b"\x00\xff" * 40 + b"\r\n",
    b"OPEN x y c=nobody,d=100\r\n",
    b"OPEN half",
    b"",
    b"OPEN 1 k c=balance,d=-5\r\n",
    b"A" * 6000 + b"\r\n",
    b"PING\r\n",
)


class ClientConnection:
    """A client's connection to its proxy."""

    __slots__ = ("engine", "sess", "lines", "answered", "lines_sent")

    def __init__(self, engine: SocketEngine, sess: Session, sock: socket.socket) -> None:
        """Take over a socket that connects to the session's proxy."""
        self.engine, self.sess, self.answered, self.lines_sent = engine, sess, False, 0
        self.lines = LineConnection(engine.loop, sock, self.on_line, self.on_end)

    def on_line(self, line: bytes) -> None:
        """Handle a line of the proxy: the final answer, a MOVE, or an echoed line."""
        engine, sess = self.engine, self.sess
        answer, _, rest = line.strip().partition(b" ")
        if self.answered:
            if answer == b"MOVE" and not sess.ended:
                engine.world.metrics.increment("moves")
                engine.world.end_connection(sess, LossCause.MOVED)
                self.lines.close()
            return
        self.answered = True
        if sess.ended:
            self.lines.close()
            return
        if sess.answered:  # the connection exists from the start of the run
            engine.on_standing_answer(sess, answer == b"UP")
            self.send_line()
            return
        outcome = {b"UP": "up", b"BUSY": "refused"}.get(answer, "failed")
        engine.world.checker.record_answer(engine.now, sess.proxy, sess.number, outcome)
        if outcome == "up":
            connection = engine.server_connections.get(sess.number)
            if connection is None or connection.listener.server.state is ServerState.STOPPED:
                engine.world.end_connection(sess, LossCause.TORN_DOWN)  # the server stopped after it accepted
                self.lines.close()
                return
            engine.world.on_established(sess, connection.listener.server)
            if connection.listener.server.is_unresponsive or connection.listener.blocked:
                engine.world.set_blackholed(sess, True)
            self.send_line()
            return
        self.lines.close()
        if outcome == "refused":
            wait = float(rest) / 1000 if rest.isdigit() else 0.0
            engine.world.on_rejected(sess, wait)
        else:
            engine.world.on_failed(sess)

    def send_line(self) -> None:
        """Send the next numbered line and schedule another, until the connection ends."""
        if self.lines.open and not self.sess.ended:
            self.lines_sent += 1
            self.lines.send(b"line %d\r\n" % self.lines_sent)
            self.engine.world.event_queue.schedule_after(CLIENT_LINE_SECONDS, self.send_line)

    def on_end(self, _: bool) -> None:
        """Handle the end of the connection by the proxy, with or without a final answer."""
        engine, sess = self.engine, self.sess
        engine.client_connections.pop(sess.number, None)
        if sess.ended:
            return
        if not self.answered and not sess.answered:
            if engine.world.proxies[sess.proxy].alive and self.lines.sent:
                engine.world.checker.add_violation(
                    1, engine.now, f"session {sess.number}: ended without an answer"
                )
            engine.world.checker.record_client_gone(engine.now, sess.number)
            engine.world.on_proxy_lost(sess)
        elif self.answered:
            engine.world.end_connection(sess, LossCause.TORN_DOWN)


class SocketEngine:
    """Plays a scenario with real proxies over real sockets."""

    notices_silence = True  # real proxies detect silent connections themselves

    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, in_fleet: bool = False, sharing: bool = False
    ) -> None:
        """Prepare a run; in_fleet: the proxies form a fleet; sharing: its members gossip load reports."""
        self.scenario, self.seed, self.folder, self.in_fleet = scenario, seed, folder, in_fleet
        self.world = World(scenario, seed)
        self.world.checker.drain_grace = scenario.proxies.drain_grace + TIME_LIMIT_SLACK_SECONDS
        self.world.checker.answer_grace = scenario.proxies.answer_grace + TIME_LIMIT_SLACK_SECONDS
        self.loop = Loop(self.record_failure)
        self.started_at = time.monotonic()
        self.client_connections: dict[int, ClientConnection] = {}
        self.server_connections: dict[int, ServerConnection] = {}
        self.sessions: dict[int, Session] = {}
        self.listeners: dict[str, list[ServerListener]] = {}
        self.protocol_errors: list[str] = []
        self.failures: list[str] = []
        self.version = 0
        self.awaiting_established: set[int] = set()
        self.ready_proxies: set[int] = set()  # numbers of the proxies that have answered PING
        self.lateness: list[float] = []
        self.cores_busy = 0.0  # percent of all cores, by all processes of the machine, mean of the run
        self.own_cores_busy = 0.0  # number of cores that the run's own processes kept busy, mean of the run
        self.slow_turn_seconds = 0.0  # in loop turns so long that servers and list answered late
        self.health_checks_before_start = 0  # hundreds of proxies take half a minute to start
        self.server_states: dict[str, ServerState] = {}
        self.bad_clients: list[LineConnection] = []
        self.bad_clients_started = self.bad_clients_ended = 0
        self.list_was_down = False
        self.listeners_per_server = self._count_listeners_per_server()
        self.list_services = [ListService(self, number) for number in range(scenario.fleet.proxies)]
        self.proxies = [self._make_proxy(number) for number in range(scenario.fleet.proxies)]
        if in_fleet:
            self.write_fleet_files(sharing)

    def _count_listeners_per_server(self) -> int:
        """Return the listeners of each server: one for each proxy, in a large fleet one for each zone.

        One for each pair of proxy and server would need too many descriptors in a large fleet. Link faults
        affect whole zones there (proxies are assigned to zones round robin).
        """
        fleet = self.scenario.fleet
        pairs = fleet.proxies * fleet.servers
        return fleet.proxies if pairs <= MAX_LISTENERS else len(fleet.zones)

    def _make_proxy(self, number: int) -> ProxyProcess:
        """Return a proxy that is not started yet; its limit of sockets grows with the number of clients."""
        return ProxyProcess(
            number,
            wire_settings(self.scenario, self.world.quotas, number),
            self.list_services[number].address,
            self.folder,
            min(MAX_PROXY_SOCKETS, MIN_PROXY_SOCKETS + PROXY_SOCKETS_PER_CLIENT * len(self.world.clients)),
        )

    @property
    def now(self) -> float:
        """Seconds since the run began, as of the last event."""
        return self.world.event_queue.now

    def to_unix_time(self, when: float) -> float:
        """Convert a time of the run to Unix time."""
        return time.time() - time.monotonic() + self.started_at + when

    def record_failure(self, where: str, error: BaseException) -> None:
        """Keep an exception of a callback of the event loop for the findings; 20 at most."""
        if len(self.failures) < 20:
            self.failures.append(f"{where}: {error!r}")

    def report_protocol_error(self, text: str) -> None:
        """Keep a violation of the protocol by a proxy for the findings; 50 at most."""
        if len(self.protocol_errors) < 50:
            self.protocol_errors.append(text)

    def get_listener(self, server: str, proxy: int) -> ServerListener:
        """Return the listener at which a proxy reaches a server, opened on the first call."""
        listeners = self.listeners.get(server)
        if listeners is None:
            model = self.world.servers_by_name[server]
            listeners = self.listeners[server] = [
                ServerListener(self, model, index) for index in range(self.listeners_per_server)
            ]
            self.server_states[server] = model.state
        return listeners[proxy % self.listeners_per_server]

    def find_session(self, line: bytes) -> Session | None:
        """Return the session whose id an OPEN line carries, or None if the id is not known."""
        field = line.split(b" ")[1] if line.count(b" ") >= 3 else b""
        return self.sessions.get(int(field[1:], 16)) if field[:1] == b"c" and len(field) < 20 else None

    def write_fleet_files(self, sharing: bool) -> None:
        """Write the proxies' fleet files; one leader in each zone polls the list for the others."""
        (self.folder / "fleet.key").write_text("6c61622d" * 4 + "\n")
        addresses = [
            free_address(f"127.0.3.{number % 250 + 1}", socket.SOCK_DGRAM)
            for number in range(len(self.proxies))
        ]
        fast = {"period": 0.4, "timeout": 0.15, "sync": 2.0}
        slow = {"period": 1.5, "timeout": 0.5, "sync": 8.0}
        for process, address in zip(self.proxies, addresses, strict=True):
            fleet_settings = {
                "fleet": "lab",
                "key_file": "fleet.key",
                "listen": f"{address[0]}:{address[1]}",
                "folder": f"votes-{process.number}",
                "voters": [f"n{number}" for number in range(3)],
                "seeds": [f"{host}:{port}" for host, port in addresses[:3]],
                "membership": fast if len(self.proxies) <= SMALL_FLEET_PROXIES else slow,
                "sharing": {"on": sharing},
                "leases": {"lease": 1.0},
                "duty": [{"name": "list", "work": "list", "per": "zone", "every": 0.4, "service": "lab"}],
            }
            path = self.folder / f"fleet-{process.number}.toml"
            path.write_text(tomli_w.dumps(fleet_settings))
            process.fleet = str(path)

    # running

    def run(self, progress: Any = lambda now, of: None) -> World:
        """Play the scenario in real time and return its world; all processes and sockets are closed."""
        try:
            self.set_up()
            self.run_until_end(progress)
        finally:
            self.tear_down()
        self.world.finish()
        return self.world

    def set_up(self) -> None:
        """Start the proxies and establish the connections that exist from the start."""
        world = self.world
        # An event that runs late is accounted from when it ran, not from when it was due. With hundreds of
        # processes on one machine that missed one part in ten thousand. It is reported, and bounded.
        world.metrics.tolerance = MAX_UNACCOUNTED_SHARE
        world.start(self)
        for server in list(world.servers):
            self.get_listener(server.name, 0)
        for number, process in enumerate(self.proxies):
            process.start(self.seed * 1009 + number, self.list_snapshot(number))
        for process in self.proxies:
            if not process.wait_ready(READY_TIMEOUT_SECONDS + len(self.proxies) / 5):
                raise RuntimeError(
                    f"proxy n{process.number}: expected an answer to PING, got none; "
                    f"see {self.folder}/n{process.number}.log"
                )
        self.ready_proxies = set(range(len(self.proxies)))
        standing = world.create_preexisting_sessions()
        self.awaiting_established = {sess.number for sess in standing}
        until = time.monotonic() + STANDING_TIMEOUT_SECONDS
        for count, sess in enumerate(standing):
            self.connect(sess)
            if count % 50 == 0:
                self.loop.turn(0.0)
        while self.awaiting_established and time.monotonic() < until:
            self.loop.turn(0.01)
        if self.awaiting_established:
            raise RuntimeError(
                f"connections at the start: expected {len(standing)} to be established, "
                f"{len(self.awaiting_established)} were not"
            )

    def run_until_end(self, progress: Any) -> None:
        """Run the event queue in real time to the end of the scenario and measure lateness."""
        event_queue, end = self.world.event_queue, self.scenario.seconds
        self.started_at = time.monotonic()
        # Health checks before the start do not count: with sharing they were most of the total.
        self.health_checks_before_start = self.world.metrics.counts.pop("probes", 0)
        psutil.cpu_percent()  # the next call returns the use since this one
        used_before = processor_seconds(self.proxy_process_ids())
        event_queue.schedule_at(0.0, self.apply_world_changes)
        event_queue.schedule_at(0.5, self.start_bad_client)
        shown = 0
        while event_queue.now < end:
            turn_started, due = time.monotonic(), self.started_at + event_queue.next_due
            self.loop.turn(max(0.0, min(WORLD_CHECK_SECONDS, due - time.monotonic())))
            now = min(end, time.monotonic() - self.started_at)
            if event_queue.next_due <= now:
                self.lateness.append(now - event_queue.next_due)
            event_queue.run_until(now)
            if (took := time.monotonic() - turn_started) > LATE_SECONDS:
                self.slow_turn_seconds += took
            if int(now) > shown:
                shown = int(now)
                progress(now, end)
        self.cores_busy = psutil.cpu_percent()
        used = processor_seconds(self.proxy_process_ids()) - used_before
        self.own_cores_busy = used / (time.monotonic() - self.started_at)

    def proxy_process_ids(self) -> list[int]:
        """Return the process ids of the proxies that have been started and not been waited for."""
        return [
            proxy.child.pid
            for proxy in self.proxies
            if proxy.child is not None and proxy.child.returncode is None
        ]

    def tear_down(self) -> None:
        """Kill the proxies and close all connections, listeners and the event loop."""
        for process in self.proxies:
            process.detect_crash()
            process.kill()
        for client in list(self.client_connections.values()):
            client.lines.close()
        for lines in self.bad_clients:
            lines.close()
        for listeners in self.listeners.values():
            for listener in listeners:
                listener.close()
        for service in self.list_services:
            service.close()
        with contextlib.suppress(OSError):
            self.loop.epoll.close()

    # the world's state on sockets

    def apply_world_changes(self) -> None:
        """Apply the world's changes of servers, links and list to the sockets."""
        world = self.world
        for server in world.servers:
            listeners = [self.get_listener(server.name, index) for index in range(self.listeners_per_server)]
            if server.state is not self.server_states[server.name]:
                before, self.server_states[server.name] = self.server_states[server.name], server.state
                for listener in listeners:
                    if server.state is ServerState.STOPPED:
                        listener.close()
                    elif before is ServerState.STOPPED:
                        listener.open()
            for listener in listeners:
                listener.set_blocked(
                    bool(server.vanished_by) or bool(world.blocked_direction(listener.proxy, server))
                )
        if world.list_service.down_by and not self.list_was_down:
            for service in self.list_services:
                service.drop_connections()
        self.list_was_down = bool(world.list_service.down_by)
        if world.list_service.version != self.version and not world.list_service.down_by:
            self.version = world.list_service.version
            for service in self.list_services:
                service.notify_watchers()
        for process in self.proxies:
            process.detect_crash()
        self.world.event_queue.schedule_after(WORLD_CHECK_SECONDS, self.apply_world_changes)

    def list_snapshot(self, proxy: int) -> dict[str, Any]:
        """Return the whole list as a proxy stores it, to start the proxy with."""
        rows = [self.list_services[proxy].row(row) for row in self.world.list_service.rows.values()]
        return {"seq": self.world.list_service.version, "whole": True, "hosts": rows}

    def start_bad_client(self) -> None:
        """Start a client that violates the protocol, which must not affect other clients."""
        proxy = self.world.proxies[self.bad_clients_started % len(self.proxies)]
        if proxy.alive:
            with contextlib.suppress(OSError):
                sock = socket.socket()
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    sock.connect(self.proxies[proxy.number].listen)
                lines = LineConnection(self.loop, sock, lambda _: None, self.on_bad_client_end)
                lines.send(BAD_CLIENT_INPUTS[self.bad_clients_started % len(BAD_CLIENT_INPUTS)])
                self.bad_clients.append(lines)
        self.bad_clients_started += 1
        self.world.event_queue.schedule_after(BAD_CLIENT_SECONDS, self.start_bad_client)

    def on_bad_client_end(self, _: bool) -> None:
        """Count a client that violated the protocol and was disconnected by its proxy."""
        self.bad_clients_ended += 1

    def on_standing_answer(self, sess: Session, accepted: bool) -> None:
        """Count a connection from the start as answered; report any answer but UP."""
        self.awaiting_established.discard(sess.number)
        if not accepted:
            self.report_protocol_error(f"session {sess.number}: expected UP for a connection from the start")

    # called by the world

    def submit(self, sess: Session) -> None:
        """Open a client's session at its proxy."""
        self.connect(sess)

    def connect(self, sess: Session) -> None:
        """Connect to the session's proxy and send OPEN; a refused connection loses the session."""
        request, scenario = sess.client.request, self.scenario
        self.sessions[sess.number] = sess
        sock = socket.socket()
        sock.setblocking(False)
        try:
            with contextlib.suppress(BlockingIOError):
                sock.connect(self.proxies[sess.proxy].listen)
        except OSError:
            sock.close()
            self.world.on_proxy_lost(sess)
            return
        client = self.client_connections[sess.number] = ClientConnection(self, sess, sock)
        spec = scenario.listeners[request.listener]
        group = f"g{request.group}" if request.group >= 0 else f"k{request.number}"
        fields = [f"c={spec.name}", f"t={scenario.customers[request.tenant].name}", f"g={group}"]
        if sess.answered:
            assert sess.server is not None
            fields.append(f"at={sess.server.name}")
        else:
            left = sess.deadline - self.now
            fields.append(f"d={max(1, round(left * 1000))}")
            if sess.client.was_connected:
                fields.append("again=1")
            self.world.checker.record_session(
                self.now, sess.proxy, sess.number, sess.deadline, spec.repeat, spec.scope, spec.window
            )
        client.lines.send(f"OPEN c{sess.number:x} k{request.number} {','.join(fields)}\r\n".encode())

    def cancel(self, sess: Session) -> None:
        """Close the client's side of a session, before or after its final answer."""
        self.world.checker.record_client_gone(self.now, sess.number)
        if client := self.client_connections.pop(sess.number, None):
            client.lines.close()

    def close_by_server(self, sess: Session, move: bool) -> None:
        """Close the server's side of a connection: tell the client to move, or reset it."""
        connection = self.server_connections.get(sess.number)
        if connection is not None and not connection.ended:
            if move:
                connection.lines.send(b"MOVE\r\n")
            connection.close(reset=not move)

    def load_changed(self, sess: Session) -> None:
        """Send the new load of a connection to its proxy, unless its server is silent."""
        connection = self.server_connections.get(sess.number)
        if (
            connection is not None
            and connection.established
            and not connection.ended
            and not connection.listener.blocked
            and not connection.listener.server.is_unresponsive
        ):
            connection.lines.send(b"LOAD %d\r\n" % round(sess.load * 1e6))

    def crash(self, number: int) -> None:
        """Kill a proxy and close the connections of its clients."""
        self.ready_proxies.discard(number)
        self.proxies[number].kill()
        for sess_number, client in list(self.client_connections.items()):
            if client.sess.proxy == number:
                del self.client_connections[sess_number]
                client.lines.close()

    def restart(self, number: int) -> None:
        """Start a dead proxy with the current list; is_ready tells when it accepts clients."""
        self.proxies[number].start(
            self.seed * 1009 + number + 500 * self.proxies[number].start_count, self.list_snapshot(number)
        )
        self.check_ready(number, self.proxies[number].start_count)

    def check_ready(self, number: int, start_count: int, previous: LineConnection | None = None) -> None:
        """Send PING to a restarted proxy until it answers."""
        process = self.proxies[number]
        if previous is not None:
            previous.close()
        if process.start_count != start_count or process.child is None or number in self.ready_proxies:
            return
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.connect(process.listen)

        def on_line(line: bytes) -> None:
            if line.startswith(b"PONG") and process.start_count == start_count:
                self.ready_proxies.add(number)

        lines = LineConnection(self.loop, sock, on_line, lambda _: None)
        lines.send(b"PING\r\n")
        self.world.event_queue.schedule_after(
            READY_CHECK_SECONDS, self.check_ready, number, start_count, lines
        )

    def is_ready(self, number: int) -> bool:
        """Return whether a proxy that was started has answered PING."""
        return number in self.ready_proxies

    def stop(self, number: int, span: float) -> None:
        """Ask a proxy by SIGTERM to shut down gracefully; `span` is not passed on."""
        self.proxies[number].ending = True
        self.proxies[number].send_signal(signal.SIGTERM)

    def stall(self, number: int, span: float) -> None:
        """Suspend a proxy's process for `span` seconds."""
        self.proxies[number].send_signal(signal.SIGSTOP)
        self.world.checker.record_stall(number, self.now + span + TIME_LIMIT_SLACK_SECONDS)
        self.world.event_queue.schedule_after(span, self.proxies[number].send_signal, signal.SIGCONT)

    # results

    def findings(self) -> dict[str, Any]:
        """Return what happened beside the figures; `void` says why the run does not count, if so."""
        late = sum(value > LATE_SECONDS for value in self.lateness)
        void = ""
        if late > MAX_LATE_SHARE * max(1, len(self.lateness)):
            void = f"{late} of {len(self.lateness)} entries over {LATE_SECONDS} s late"
        elif self.slow_turn_seconds > MAX_SLOW_TURN_SHARE * self.scenario.seconds:
            # One process emulates servers, list and clients. Many clients that reconnect at once keep it
            # busy, and its late answers would count against the proxies.
            void = f"servers, list and clients stood still for {self.slow_turn_seconds:.1f} s in all"
        elif self.cores_busy > MAX_CORES_BUSY_PERCENT:
            # Hundreds of proxies that wait for a core answer late, which says nothing about their decisions.
            void = f"the machine's cores were {self.cores_busy:.0f} % busy"
        return {
            "void": void,
            "cores_busy": self.cores_busy,
            "own_cores_busy": round(self.own_cores_busy, 3),
            "probes_before": self.health_checks_before_start,
            "behind_s": round(self.slow_turn_seconds, 2),
            "latest_ms": round(1000 * max(self.lateness, default=0.0), 1),
            "crashes": {f"n{proxy.number}": proxy.crashes for proxy in self.proxies if proxy.crashes},
            "complaints": self.protocol_errors,
            "failures": self.failures,
            "bad_clients": self.bad_clients_started,
            "bad_clients_ended": self.bad_clients_ended,
        }


def play(
    scenario: Scenario, seed: int, folder: Path | None = None, progress: Any = lambda now, of: None
) -> tuple[World, dict[str, Any]]:
    """Play a scenario on sockets.

    The proxies' configurations and logs stay in folder; without one they are deleted at the end.

    Raises:
        RuntimeError: a proxy did not start, or a connection from the start was not established.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="onyxhollow-lab-")))
        folder.mkdir(parents=True, exist_ok=True)
        engine = SocketEngine(scenario, seed, folder)
        world = engine.run(progress)
        return world, engine.findings()
