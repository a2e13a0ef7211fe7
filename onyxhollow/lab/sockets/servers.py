"""Emulated servers that speak the proxies' line protocol on behalf of the world model's servers.

Each pair of proxy and server has its own listening address, so that the link between the two can be cut
without affecting other proxies.
"""

from __future__ import annotations

import contextlib
import socket
from typing import Protocol

from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.lab.world.servers import OpenResult, Server, ServerState, Session
from onyxhollow.lab.world.world import World
from onyxhollow.loop import Loop

QUEUE_FILLERS = (
    2  # connections that fill the accept queue of a blocked listener, so that the kernel drops others
)


class ServerHost(Protocol):
    """The parts of the engine that emulated servers use."""

    world: World
    loop: Loop
    server_connections: dict[int, ServerConnection]  # the newest one of each session

    @property
    def now(self) -> float:
        """Seconds since the run began."""

    def find_session(self, line: bytes) -> Session | None:
        """Return the session whose id an OPEN line carries."""

    def report_protocol_error(self, text: str) -> None:
        """Record a violation of the protocol by a proxy."""


class ServerConnection:
    """One connection from a proxy to a server."""

    __slots__ = ("listener", "lines", "sess", "established", "sent_at", "ended", "may_have_run")

    def __init__(self, listener: ServerListener, sock: socket.socket) -> None:
        """Take over a socket that a proxy has opened."""
        self.listener = listener
        self.established = self.ended = self.may_have_run = False
        self.sent_at = 0.0
        self.lines = LineConnection(listener.engine.loop, sock, self.on_line, self.on_end)
        self.sess: Session | None = None

    def on_line(self, line: bytes) -> None:
        """Handle a line of the proxy: a health check, an OPEN, or data, which is echoed."""
        engine, server = self.listener.engine, self.listener.server
        command = line.split(b" ", 1)[0].strip()
        if server.is_unresponsive or self.listener.blocked:
            return  # an unresponsive server answers nothing
        if self.established:
            self.lines.send(line)
        elif command == b"STATS" or command == b"PING":
            engine.world.metrics.increment("probes")
            now = engine.now
            load = server.reported_load(
                now, engine.world.random_tables.normal(server.number, int(now * 1000))
            )
            self.lines.send(b"PONG x0=%.4f\r\n" % load if command == b"STATS" else b"PONG\r\n")
        elif command == b"OPEN" and self.sess is None:
            self.on_open_request(line)
        else:
            engine.report_protocol_error(
                f"{server.name}: expected STATS, PING or one OPEN line, got {line[:60]!r}"
            )
            self.lines.send(b"SYNTAX\r\n")

    def on_open_request(self, line: bytes) -> None:
        """Offer the session of an OPEN line to the server and schedule the answer."""
        engine, server, world = self.listener.engine, self.listener.server, self.listener.engine.world
        sess = engine.find_session(line)
        if sess is None:
            engine.report_protocol_error(
                f"{server.name}: expected the id of a client's session, got {line[:60]!r}"
            )
            self.lines.send(b"SYNTAX\r\n")
            return
        self.sess, self.sent_at = sess, engine.now
        previous = engine.server_connections.get(sess.number)
        if previous is not None and not previous.ended:
            previous.lines.read()  # its end may have arrived already and wait to be read
        engine.server_connections[sess.number] = self
        if b"at=" in line:
            self.accept_standing(sess)
            return
        if sess.answered:
            self.ended = True  # the client left while the request was in transit
            self.lines.close()
            return
        world.checker.record_attempt(engine.now, sess.proxy, sess.number, server.name)
        world.metrics.increment("dials")
        verdict, wait = world.open_at_server(sess, server)
        network_time = 4.0 * world.one_way_delay(world.proxies[sess.proxy].zone, server.zone)
        self.may_have_run = verdict in (OpenResult.ACCEPTED, OpenResult.ERROR, OpenResult.NO_ANSWER)
        if verdict is not OpenResult.NO_ANSWER:
            world.event_queue.schedule_after(wait + network_time, self.answer, verdict)

    def accept_standing(self, sess: Session) -> None:
        """Accept a connection that exists from the start of the run; the world has placed it already."""
        self.established = self.may_have_run = True
        self.lines.send(b"UP %d\r\n" % sess.number)

    def answer(self, verdict: OpenResult) -> None:
        """Send the verdict to the proxy, unless the connection has ended or is silent."""
        if (
            self.ended
            or not self.lines.open
            or self.listener.server.is_unresponsive
            or self.listener.blocked
            or self.sess is None
        ):
            return
        if verdict is OpenResult.ACCEPTED and self.listener.server.state is not ServerState.STOPPED:
            self.established = True
            self.lines.send(b"UP %d\r\n" % self.sess.number)
            return
        self.lines.send(b"ERR\r\n" if verdict is OpenResult.ERROR else b"BUSY\r\n")
        self.may_have_run = verdict is OpenResult.ERROR
        self.close()

    def close(self, reset: bool = False) -> None:
        """Close the connection from the server's side."""
        self.lines.close(reset)
        self.on_end(reset)

    def on_end(self, reset: bool) -> None:
        """Record the end of the attempt or of the established connection, once."""
        if self.ended:
            return
        self.ended = True
        self.listener.connections.pop(self, None)
        if (sess := self.sess) is not None:
            engine = self.listener.engine
            engine.world.checker.record_attempt_end(
                engine.now, sess.number, self.sent_at, not self.may_have_run
            )
            if engine.server_connections.get(sess.number) is self:
                del engine.server_connections[sess.number]


class ServerListener:
    """The listener socket of one server for one proxy.

    In a large fleet one listener serves all proxies of a zone; `proxy` is then the first of them.
    """

    def __init__(self, engine: ServerHost, server: Server, proxy: int) -> None:
        """Listen on a free port of 127.0.0.1."""
        self.engine, self.server, self.proxy = engine, server, proxy
        self.connections: dict[ServerConnection, None] = {}
        self.blocked = False
        self.fillers: list[socket.socket] = []
        self.sock: socket.socket | None = None
        self.address = ("127.0.0.1", 0)
        self.open()

    def open(self) -> None:
        """Listen on a free port, or on the same port as before when opened again."""
        self.sock = open_listener(self.address)
        self.address = ("127.0.0.1", self.sock.getsockname()[1])
        accept_connections(self.engine.loop, self.sock, self.on_accept)

    def on_accept(self, sock: socket.socket) -> None:
        """Accept a connection, or close it if the server has no free one."""
        if len(self.server.sessions) >= self.server.kind.connections:
            sock.close()
            return
        self.connections[ServerConnection(self, sock)] = None

    def close(self) -> None:
        """Act as if the server process had ended: reset open connections and refuse new ones."""
        for connection in list(self.connections):
            connection.close(reset=True)
        self.connections.clear()
        if self.sock is not None:
            self.engine.loop.watch(self.sock.fileno(), 0, None)
            self.sock.close()
            self.sock = None
        self.close_fillers()

    def set_blocked(self, blocked: bool) -> None:
        """Block or unblock all packets: open connections stay silent, new ones are never established."""
        if blocked == self.blocked or self.sock is None:
            return
        self.blocked = blocked
        for connection in self.connections:
            connection.lines.pause_reading(blocked)
        if not blocked:
            self.close_fillers()
            self.sock.listen(1024)
            accept_connections(self.engine.loop, self.sock, self.on_accept)
            return
        self.engine.loop.watch(self.sock.fileno(), 0, None)
        self.sock.listen(0)  # the kernel drops new connections once the accept queue is full
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(OSError):
                filler.connect(self.address)
            self.fillers.append(filler)

    def close_fillers(self) -> None:
        """Close the connections that fill the accept queue."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
