"""Sessions through the proxies of a process cluster: echo servers, and clients that send numbered lines."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Generator

from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.loop import Loop

LINE_INTERVAL_SECONDS = 0.1
BUSY_BACKOFF_SECONDS = 0.5


class EchoServer:
    """Accepts every session, echoes its lines and reports a load that grows with the number of sessions.

    Above a load of 1, it delays each echo by `overload_delay` seconds times the excess load.
    """

    def __init__(
        self, loop: Loop, base_load: float = 0.1, load_per_session: float = 0.01, overload_delay: float = 0.0
    ) -> None:
        self.loop, self.base_load = loop, base_load
        self.load_per_session, self.overload_delay = load_per_session, overload_delay
        self.silent, self.health_checks = False, 0  # silent: accepts connections and does not answer
        self.sock = open_listener(("127.0.0.1", 0))
        self.address: tuple[str, int] = ("127.0.0.1", self.sock.getsockname()[1])
        self.connections: list[ServerConnection] = []
        accept_connections(loop, self.sock, self.on_accepted)

    def on_accepted(self, sock: socket.socket) -> None:
        """Register a connection, which becomes a session or a series of health checks."""
        self.connections.append(ServerConnection(self, sock))

    @property
    def load(self) -> float:
        """The load that health checks report; 1.0 is the capacity."""
        return self.base_load + self.load_per_session * self.open_sessions

    @property
    def open_sessions(self) -> int:
        """The number of open connections that a session was accepted on."""
        return sum(connection.established and connection.lines.open for connection in self.connections)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for connection in self.connections:
            connection.lines.close()
        self.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()


class ServerConnection:
    """One connection of a proxy to an echo server: a session, or health checks."""

    def __init__(self, server: EchoServer, sock: socket.socket) -> None:
        self.server, self.established = server, False
        self.lines = LineConnection(server.loop, sock, self.on_line, lambda _: None)

    def on_line(self, line: bytes) -> None:
        """Echo a session's line, accept a session, or answer a health check."""
        server = self.server
        if server.silent:
            return
        if self.established:
            delay = server.overload_delay * (server.load - 1.0) if server.overload_delay else 0.0
            if delay > 0.0:
                server.loop.spawn(self.echo_after(line, delay))
            else:
                self.lines.send(line)
        elif line.startswith(b"OPEN"):
            self.established = True
            self.lines.send(b"UP 1\r\n")
        elif line.startswith(b"STATS"):
            server.health_checks += 1
            self.lines.send(b"PONG x0=%.4f\r\n" % server.load)
        else:
            self.lines.send(b"PONG\r\n")

    def echo_after(self, line: bytes, delay: float) -> Generator[float, None, None]:
        """Echo the line after `delay` seconds, as a task of the event loop."""
        yield from self.server.loop.sleep(delay)
        self.lines.send(line)


class Client:
    """A client that sends its number and its echo count at a fixed interval, and reconnects when asked to."""

    def __init__(self, loop: Loop, address: tuple[str, int], number: int) -> None:
        self.loop, self.address, self.number = loop, address, number
        self.connection_count = self.echoes = self.moves = self.lost_sessions = self.unexpected_lines = 0
        self.anomalies: deque[str] = deque(maxlen=8)  # unexpected lines and lost sessions, with their times
        self.established = self.closed = False
        self.retry_at = 0.0
        self.echoed_at = 0.0  # on the event loop's clock
        self.lines: LineConnection | None = None
        loop.spawn(self.run())

    def run(self) -> Generator[float, None, None]:
        """Send a line at each interval or reconnect, until `close`; a task of the event loop."""
        while not self.closed:
            if self.lines is None or not self.lines.open:
                if self.loop.now >= self.retry_at:
                    self.connect()
            elif self.established:
                self.lines.send(b"line %d %d\r\n" % (self.number, self.echoes))
            next_line_at = self.loop.now + LINE_INTERVAL_SECONDS
            while self.loop.now < next_line_at:
                yield next_line_at

    def connect(self) -> None:
        """Open a connection and ask for a session under a new session name."""
        self.connection_count, self.established = self.connection_count + 1, False
        sock = socket.socket()
        sock.setblocking(False)
        if sock.connect_ex(self.address) not in (0, 115):
            sock.close()
            return
        self.lines = LineConnection(self.loop, sock, self.on_line, self.on_closed)
        self.lines.send(
            b"OPEN c%dx%d k%d c=chat,d=1500\r\n" % (self.number, self.connection_count, self.number)
        )

    def on_line(self, line: bytes) -> None:
        """Handle an accepted session, an echo, a request to move, or a line that counts as unexpected."""
        if line.startswith(b"UP"):
            self.established = True
        elif line.startswith(b"MOVE"):
            self.moves += 1
            if self.lines:
                self.lines.close()
        elif line.startswith(b"line %d " % self.number):
            self.echoes += 1
            self.echoed_at = self.loop.now
        else:
            self.unexpected_lines += 1
            if line.startswith(b"BUSY"):
                self.retry_at = self.loop.now + BUSY_BACKOFF_SECONDS
            self.anomalies.append(
                f"{self.loop.now:.3f} connection {self.connection_count} up {self.established}: {line[:60]!r}"
            )

    def on_closed(self, _: bool) -> None:
        """Count an established session that the peer has ended as lost."""
        if self.established:
            self.anomalies.append(
                f"{self.loop.now:.3f} connection {self.connection_count}: closed after {self.echoes} echoes"
            )
        self.lost_sessions += self.established
        self.established = False

    def close(self) -> None:
        """Close the connection for good."""
        self.closed = True
        if self.lines:
            self.lines.close()
