"""Sessions through the members while duties change hands: servers that echo, clients that number their
lines."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Generator

from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.loop import Loop

EVERY = 0.1  # seconds from an echo to the next line
REFUSED = 0.5  # seconds for which a client that was refused stays away


class EchoServer:
    """Takes every session and gives its lines back; tells a load that grows with them. Over its capacity it
    answers late: by `late` seconds for each time of it that it is over."""

    def __init__(self, loop: Loop, base: float = 0.1, each: float = 0.01, late: float = 0.0) -> None:
        self.loop, self.base, self.each, self.late = loop, base, each, late
        self.silent, self.questions = False, 0  # silent: takes connections and answers nothing
        self.sock = open_listener(("127.0.0.1", 0))
        self.address: tuple[str, int] = ("127.0.0.1", self.sock.getsockname()[1])
        self.dialled: list[Dialled] = []
        accept_connections(loop, self.sock, self.took)

    def took(self, sock: socket.socket) -> None:
        self.dialled.append(Dialled(self, sock))

    @property
    def load(self) -> float:
        return self.base + self.each * self.open

    @property
    def open(self) -> int:
        return sum(one.up and one.lines.open for one in self.dialled)

    def close(self) -> None:
        for one in self.dialled:
            one.lines.close()
        self.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()


class Dialled:
    def __init__(self, server: EchoServer, sock: socket.socket) -> None:
        self.server, self.up = server, False
        self.lines = LineConnection(server.loop, sock, self.got, lambda _: None)

    def got(self, line: bytes) -> None:
        server = self.server
        if server.silent:
            return
        if self.up:
            behind = server.late * (server.load - 1.0) if server.late else 0.0
            if behind > 0.0:
                server.loop.spawn(self.say_late(line, behind))
            else:
                self.lines.send(line)
        elif line.startswith(b"OPEN"):
            self.up = True
            self.lines.send(b"UP 1\r\n")
        elif line.startswith(b"STATS"):
            server.questions += 1
            self.lines.send(b"PONG x0=%.4f\r\n" % server.load)
        else:
            self.lines.send(b"PONG\r\n")

    def say_late(self, line: bytes, behind: float) -> Generator[float, None, None]:
        yield from self.server.loop.sleep(behind)
        self.lines.send(line)


class Client:
    """One connection that says a numbered line after each echo, and comes again when it is told to move."""

    def __init__(self, loop: Loop, address: tuple[str, int], number: int) -> None:
        self.loop, self.address, self.number = loop, address, number
        self.lives = self.echoes = self.moves = self.lost = self.wrong = 0
        self.odd: deque[str] = deque(maxlen=8)  # what was wrong or lost, and when
        self.up = self.over = False
        self.away_until = 0.0
        self.echoed_at = 0.0  # on the loop's clock
        self.lines: LineConnection | None = None
        loop.spawn(self.run())

    def run(self) -> Generator[float, None, None]:
        while not self.over:
            if self.lines is None or not self.lines.open:
                if self.loop.now >= self.away_until:
                    self.dial()
            elif self.up:
                self.lines.send(b"line %d %d\r\n" % (self.number, self.echoes))
            due = self.loop.now + EVERY
            while self.loop.now < due:
                yield due

    def dial(self) -> None:
        self.lives, self.up = self.lives + 1, False
        sock = socket.socket()
        sock.setblocking(False)
        if sock.connect_ex(self.address) not in (0, 115):
            sock.close()
            return
        self.lines = LineConnection(self.loop, sock, self.got, self.ended)
        self.lines.send(b"OPEN c%dx%d k%d c=chat,d=1500\r\n" % (self.number, self.lives, self.number))

    def got(self, line: bytes) -> None:
        if line.startswith(b"UP"):
            self.up = True
        elif line.startswith(b"MOVE"):
            self.moves += 1
            if self.lines:
                self.lines.close()
        elif line.startswith(b"line %d " % self.number):
            self.echoes += 1
            self.echoed_at = self.loop.now
        else:
            self.wrong += 1
            if line.startswith(b"BUSY"):
                self.away_until = self.loop.now + REFUSED
            self.odd.append(f"{self.loop.now:.3f} life {self.lives} up {self.up}: {line[:60]!r}")

    def ended(self, _: bool) -> None:
        if self.up:
            self.odd.append(f"{self.loop.now:.3f} life {self.lives}: ended after {self.echoes} echoes")
        self.lost += self.up
        self.up = False

    def close(self) -> None:
        self.over = True
        if self.lines:
            self.lines.close()
