"""One connection of a stand-in: lines in, bytes out, on the loop that the proxies use too."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

from onyxhollow.loop import READ, WRITE, Loop

LONGEST = (
    64 * 1024
)  # bytes held of a line or of an answer that is not taken; past it the connection is closed


class LineConnection:
    """got is told each whole line; ended once, with whether the end was a reset."""

    __slots__ = ("loop", "sock", "got", "ended", "inbox", "outbox", "open", "raw", "sent")

    def __init__(
        self, loop: Loop, sock: socket.socket, got: Callable[[bytes], None], ended: Callable[[bool], None]
    ) -> None:
        self.loop, self.sock, self.got, self.ended = loop, sock, got, ended
        self.inbox, self.outbox, self.open, self.raw = bytearray(), bytearray(), True, False
        self.sent = False  # whether anything went out: a connection that never came up took nothing
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.listen()

    def listen(self) -> None:
        self.loop.watch(self.sock.fileno(), READ | (WRITE if self.outbox else 0), self.serve)

    def serve(self, what: int) -> None:
        if what & WRITE and self.open:
            self.flush()
        if what & ~WRITE and self.open:
            self.read()

    def read(self) -> None:
        """What has come by now; also called where the order of two connections matters."""
        broken = over = False
        try:
            while not over and len(self.inbox) < LONGEST:
                more = self.sock.recv(65536)
                over = not more
                self.inbox += more
        except BlockingIOError:
            pass
        except OSError:
            broken = True
        while self.open and not self.raw and (end := self.inbox.find(b"\n")) >= 0:
            line = bytes(self.inbox[: end + 1])
            del self.inbox[: end + 1]
            self.got(line)
        if self.raw and self.inbox and self.open:
            line, self.inbox = bytes(self.inbox), bytearray()
            self.got(line)
        if self.open and (over or broken or len(self.inbox) >= LONGEST):
            self.close()
            self.ended(broken)

    def send(self, text: bytes) -> None:
        if not self.open:
            return
        self.outbox += text
        self.flush()
        if self.open and len(self.outbox) > LONGEST:
            self.close()  # a reader that takes nothing

    def flush(self) -> None:
        try:
            while self.outbox:
                del self.outbox[: self.sock.send(self.outbox)]
                self.sent = True
        except BlockingIOError:
            pass
        except OSError:
            self.outbox.clear()  # reading tells of the end
        self.listen()

    def close(self, reset: bool = False) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.watch(self.sock.fileno(), 0, None)
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def pause_reading(self, paused: bool) -> None:
        """Stops reading, as a machine does that has gone; or goes on."""
        if self.open:
            self.loop.watch(self.sock.fileno(), 0, None)
            if not paused:
                self.listen()


def open_listener(address: tuple[str, int], backlog: int = 1024) -> socket.socket:
    sock = socket.create_server(address, backlog=backlog)
    sock.setblocking(False)
    return sock


def accept_connections(loop: Loop, sock: socket.socket, took: Callable[[socket.socket], None]) -> None:
    def accept(_: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                took(sock.accept()[0])

    loop.watch(sock.fileno(), READ, accept)
