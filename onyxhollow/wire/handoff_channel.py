"""Open connections go from a process to its successor: descriptors and what belongs to them, by Unix socket.

One message a connection, answered with its number once the successor has it; until then nobody reads from it.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable
from typing import Any

import orjson

from onyxhollow.loop import READ, Loop

VERSION = 1  # of the messages; another's are refused
LARGEST = 128 * 1024  # bytes of a message; a connection with more still to be written is moved instead
WINDOW = 32  # messages on their way
READS = 16  # messages read in one turn of the loop


class HandoffSender:
    """The old process's end."""

    def __init__(self, loop: Loop, path: str) -> None:
        self.loop, self.sent = loop, 0
        self.broken = False
        self.unacknowledged: dict[int, Callable[[bool], None]] = {}  # told whether it has been taken
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)
        try:
            self.sock.setblocking(False)
            self.sock.connect(path)
        except OSError:
            self.sock.close()
            raise
        loop.watch(self.sock.fileno(), READ, self.ready)

    @property
    def free_slots(self) -> int:
        return 0 if self.broken else WINDOW - len(self.unacknowledged)

    def send(self, record: dict[str, Any], fds: list[int], told: Callable[[bool], None]) -> bool:
        """False if it can't be sent; told is called later otherwise, once."""
        self.sent += 1
        message = orjson.dumps({"version": VERSION, "number": self.sent, **record})
        if len(message) > LARGEST or self.broken:
            return False
        try:
            socket.send_fds(self.sock, [message], fds)
        except OSError:  # also when there is no room: it is moved then
            return False
        self.unacknowledged[self.sent] = told
        return True

    def ready(self, _: int) -> None:
        try:
            while answer := self.sock.recv(64):
                which, word = answer.split(b" ")
                if told := self.unacknowledged.pop(int(which), None):
                    told(word == b"taken")
        except BlockingIOError:
            return
        except (OSError, ValueError):
            pass
        self.close()

    def close(self) -> None:
        if not self.broken:
            self.broken = True
            self.loop.watch(self.sock.fileno(), 0, None)
            self.sock.close()
            waiting, self.unacknowledged = self.unacknowledged, {}
            for told in waiting.values():
                told(False)


class HandoffReceiver:
    """The successor's end. take gets a record and the sockets, and says whether it has them now."""

    def __init__(
        self,
        loop: Loop,
        path: str,
        take: Callable[[dict[str, Any], socket.socket, socket.socket], bool],
        done: Callable[[], None],
    ) -> None:
        self.loop, self.path, self.take, self.done = loop, path, take, done
        self.sender: socket.socket | None = None
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)
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
        with contextlib.suppress(OSError):
            self.sender, _peer = self.listener.accept()
            self.sender.setblocking(False)
            self.loop.watch(self.sender.fileno(), READ, self.ready)
            self.stop_listening()

    def ready(self, _: int) -> None:
        assert self.sender is not None
        for _ in range(READS):
            try:
                message, fds, _flags, _peer = socket.recv_fds(self.sender, LARGEST + 1024, 2)
            except BlockingIOError:
                return
            except OSError:
                message, fds = b"", []
            if not message:
                self.close()
                return
            answer = self.answer_for(message, fds)
            with contextlib.suppress(OSError):  # it has died: what it passed on is served all the same
                self.sender.send(answer)

    def answer_for(self, message: bytes, fds: list[int]) -> bytes:
        socks: list[socket.socket] = []
        number = 0
        try:
            socks = [socket.socket(fileno=fd) for fd in fds]
            record = orjson.loads(message)
            number = int(record["number"])
            if record["version"] == VERSION and len(socks) == 2 and self.take(record, *socks):
                return b"%d taken" % number
        except Exception as error:  # whatever it was, the sender keeps the connection
            self.loop.report_failure("passing", error)
        for sock in socks:
            sock.close()
        return b"%d refused" % number

    def stop_listening(self) -> None:
        if self.listener.fileno() >= 0:
            self.loop.watch(self.listener.fileno(), 0, None)
            self.listener.close()
            with contextlib.suppress(OSError):
                os.unlink(self.path)

    def close(self) -> None:
        self.stop_listening()
        if self.sender is not None:
            self.loop.watch(self.sender.fileno(), 0, None)
            self.sender.close()
            self.sender = None
            self.done()
