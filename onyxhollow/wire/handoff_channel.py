"""Hand-off of open connections, with their state, from a process to its successor over a Unix socket.

Each connection is one message. The successor answers with the message's number once it has the connection.
Until then neither process reads from the connection.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable
from typing import Any

import orjson

from onyxhollow.loop import READ, Loop

VERSION = 1  # of the message format; a message of another version is refused
MAX_MESSAGE_BYTES = 128 * 1024  # a connection with more unsent bytes is migrated instead
MAX_UNACKNOWLEDGED = 32  # messages sent and not answered
READS_PER_TURN = 16  # messages read per turn of the loop
DESCRIPTORS_PER_MESSAGE = 2  # the client's connection and the endpoint's


def open_unix_socket() -> socket.socket:
    """Return a new Unix socket that preserves message boundaries."""
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)


class HandoffSender:
    """The predecessor's end; the constructor raises OSError if the successor does not listen."""

    def __init__(self, loop: Loop, path: str) -> None:
        self.loop = loop
        self.last_number = 0
        self.broken = False
        # Callbacks by message number, called with whether the connection was accepted.
        self.unacknowledged: dict[int, Callable[[bool], None]] = {}
        self.sock = open_unix_socket()
        try:
            self.sock.setblocking(False)
            self.sock.connect(path)
        except OSError:
            self.sock.close()
            raise
        loop.watch(self.sock.fileno(), READ, self.on_ready)

    @property
    def free_slots(self) -> int:
        """Number of messages that may be sent before another answer is received."""
        return 0 if self.broken else MAX_UNACKNOWLEDGED - len(self.unacknowledged)

    def send(self, record: dict[str, Any], fds: list[int], on_answer: Callable[[bool], None]) -> bool:
        """Send one connection; return False if it can't be sent, else call `on_answer` once, later."""
        self.last_number += 1
        message = orjson.dumps({"version": VERSION, "number": self.last_number, **record})
        if len(message) > MAX_MESSAGE_BYTES or self.broken:
            return False
        try:
            socket.send_fds(self.sock, [message], fds)
        except OSError:  # also if the socket buffer is full: the connection is migrated then
            return False
        self.unacknowledged[self.last_number] = on_answer
        return True

    def on_ready(self, _: int) -> None:
        """Process answers, or the end of the successor."""
        try:
            while answer := self.sock.recv(64):
                number, verdict = answer.split(b" ")
                on_answer = self.unacknowledged.pop(int(number), None)
                if on_answer is not None:
                    on_answer(verdict == b"taken")
        except BlockingIOError:
            return
        except (OSError, ValueError):
            pass  # reset, or no answer of this protocol: handled as the end of the successor
        self.close()

    def close(self) -> None:
        """End the hand-off; connections without an answer stay with this process."""
        if self.broken:
            return
        self.broken = True
        self.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()
        unacknowledged = list(self.unacknowledged.values())
        self.unacknowledged = {}
        for on_answer in unacknowledged:
            on_answer(False)


class HandoffReceiver:
    """The successor's end; the constructor raises OSError if it can't listen at the path.

    `take_over` receives a record and the two sockets, and returns whether it has accepted them.
    `on_closed` is called when the sender has closed its end.
    """

    def __init__(
        self,
        loop: Loop,
        path: str,
        take_over: Callable[[dict[str, Any], socket.socket, socket.socket], bool],
        on_closed: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.path = path
        self.take_over = take_over
        self.on_closed = on_closed
        self.sender: socket.socket | None = None
        self.listener = open_unix_socket()
        try:
            self.listener.setblocking(False)
            self.listener.bind(path)
            os.chmod(path, 0o600)
            self.listener.listen(1)
        except OSError:
            self.listener.close()
            raise
        loop.watch(self.listener.fileno(), READ, self.accept)

    def accept(self, _: int) -> None:
        """Accept the only sender, then stop listening."""
        with contextlib.suppress(OSError):
            sender, _peer = self.listener.accept()
            self.sender = sender
            sender.setblocking(False)
            self.loop.watch(sender.fileno(), READ, self.on_ready)
            self.stop_listening()

    def on_ready(self, _: int) -> None:
        """Process messages, or the end of the sender."""
        sender = self.sender
        assert sender is not None
        for _ in range(READS_PER_TURN):
            try:
                message, fds, _flags, _peer = socket.recv_fds(
                    sender, MAX_MESSAGE_BYTES + 1024, DESCRIPTORS_PER_MESSAGE
                )
            except BlockingIOError:
                return
            except OSError:
                message, fds = b"", []
            if not message:
                self.close()
                return
            answer = self.process_message(message, fds)
            with contextlib.suppress(OSError):  # the sender has failed; its connections are served here
                sender.send(answer)

    def process_message(self, message: bytes, fds: list[int]) -> bytes:
        """Accept the connection in a message, or close its descriptors; return the answer."""
        socks: list[socket.socket] = []
        number = 0
        try:
            socks = [socket.socket(fileno=fd) for fd in fds]
            record = orjson.loads(message)
            number = int(record["number"])
            usable = record["version"] == VERSION and len(socks) == DESCRIPTORS_PER_MESSAGE
            if usable and self.take_over(record, *socks):
                return b"%d taken" % number
        except Exception as error:  # noqa: BLE001 -- after any error the sender keeps the connection
            self.loop.report_failure("passing", error)
        for sock in socks:
            sock.close()
        return b"%d refused" % number

    def stop_listening(self) -> None:
        """Close the listening socket and remove its path."""
        if self.listener.fileno() < 0:
            return
        self.loop.watch(self.listener.fileno(), 0, None)
        self.listener.close()
        with contextlib.suppress(OSError):
            os.unlink(self.path)

    def close(self) -> None:
        """End the hand-off; accepted connections stay with this process."""
        self.stop_listening()
        if self.sender is not None:
            self.loop.watch(self.sender.fileno(), 0, None)
            self.sender.close()
            self.sender = None
            self.on_closed()
