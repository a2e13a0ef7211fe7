"""A line-based connection of a stand-in, on the same event loop that the proxies use."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

from onyxhollow.loop import READ, WRITE, Loop

MAX_BUFFERED_BYTES = 64 * 1024  # of an unfinished line or of unsent data; beyond it the connection is closed


class LineConnection:
    """A connection that calls on_line for each complete line, and on_end once when the peer ends it.

    The argument of on_end is whether the connection was reset. With `raw` set, on_line gets the received
    bytes as they come.
    """

    __slots__ = ("loop", "sock", "on_line", "on_end", "inbox", "outbox", "open", "raw", "sent")

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_line: Callable[[bytes], None],
        on_end: Callable[[bool], None],
    ) -> None:
        """Make the socket non-blocking and watch it; it may still be connecting."""
        self.loop, self.sock, self.on_line, self.on_end = loop, sock, on_line, on_end
        self.inbox, self.outbox, self.open, self.raw = bytearray(), bytearray(), True, False
        self.sent = False  # whether any byte was sent; stays False if the connection was never established
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.watch()

    def watch(self) -> None:
        """Register for read events, and for write events while data waits to be sent."""
        self.loop.watch(self.sock.fileno(), READ | (WRITE if self.outbox else 0), self.on_ready)

    def on_ready(self, events: int) -> None:
        """Handle the readiness of the socket, called by the event loop."""
        if events & WRITE and self.open:
            self.flush()
        if events & ~WRITE and self.open:
            self.read()

    def read(self) -> None:
        """Process the bytes that have arrived.

        Callers also use it directly where the order of events on two connections matters.
        """
        broken = over = False
        try:
            while not over and len(self.inbox) < MAX_BUFFERED_BYTES:
                received = self.sock.recv(65536)
                over = not received
                self.inbox += received
        except BlockingIOError:
            pass
        except OSError:
            broken = True
        while self.open and not self.raw and (end := self.inbox.find(b"\n")) >= 0:
            line = bytes(self.inbox[: end + 1])
            del self.inbox[: end + 1]
            self.on_line(line)
        if self.raw and self.inbox and self.open:
            line, self.inbox = bytes(self.inbox), bytearray()
            self.on_line(line)
        if self.open and (over or broken or len(self.inbox) >= MAX_BUFFERED_BYTES):
            self.close()
            self.on_end(broken)

    def send(self, text: bytes) -> None:
        """Send bytes, or buffer those that the socket does not take; do nothing once closed."""
        if not self.open:
            return
        self.outbox += text
        self.flush()
        if self.open and len(self.outbox) > MAX_BUFFERED_BYTES:
            self.close()  # the peer does not read

    def flush(self) -> None:
        """Send buffered bytes as far as the socket takes them."""
        try:
            while self.outbox:
                del self.outbox[: self.sock.send(self.outbox)]
                self.sent = True
        except BlockingIOError:
            pass
        except OSError:
            self.outbox.clear()  # the next read reports the end of the connection
        self.watch()

    def close(self, reset: bool = False) -> None:
        """Close the socket, with a TCP reset if wanted; on_end is not called."""
        if not self.open:
            return
        self.open = False
        self.loop.watch(self.sock.fileno(), 0, None)
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def pause_reading(self, paused: bool) -> None:
        """Stop reading, as if the host had failed silently, or resume."""
        if self.open:
            self.loop.watch(self.sock.fileno(), 0, None)
            if not paused:
                self.watch()


def open_listener(address: tuple[str, int], backlog: int = 1024) -> socket.socket:
    """Return a non-blocking listener socket; port 0 lets the kernel choose one."""
    sock = socket.create_server(address, backlog=backlog)
    sock.setblocking(False)
    return sock


def accept_connections(loop: Loop, sock: socket.socket, on_accept: Callable[[socket.socket], None]) -> None:
    """Call on_accept with each new connection of a listener socket."""

    def accept(_: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                on_accept(sock.accept()[0])

    loop.watch(sock.fileno(), READ, accept)
