"""One non-blocking connection that reads lines and writes what it is given."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable, Generator

from onyxhollow.loop import READ, WRITE, Loop, UrgentDescriptors
from onyxhollow.wire.buffers import BufferPool, ClosingConnection, LineBuffer
from onyxhollow.wire.system_errors import SHORTAGE_PAUSE, Fault, fault_of
from onyxhollow.wire.tables import Address

LINGER = 0.5  # seconds of silence for which a closed one is drained: a reset would lose its last bytes
DRAINED = 2.0  # seconds for which it is drained at the most, however much still comes
SLOW_READER = 10.0  # seconds for the last bytes to go out to one that reads slowly
THROWN = bytearray(64 * 1024)  # where bytes that nobody wants are read to
THROWS = 8  # such reads in one turn of the loop: 60 MB must go by without keeping others waiting
ABORT = struct.pack("ii", 1, 0)


class Channel:
    def __init__(
        self,
        loop: Loop | UrgentDescriptors,
        sock: socket.socket,
        pool: BufferPool,
        wake: Callable[[], None],
        connecting: bool = False,
    ) -> None:
        self.loop, self.sock, self.fd, self.wake = loop, sock, sock.fileno(), wake
        self.pool, self.inbox, self.outgoing = pool, LineBuffer(pool), bytearray()
        self.connecting, self.paused = connecting, False
        self.ended = self.broken = self.closed = self.flushed = (
            False  # ended: told its end; broken: by a reset
        )
        self.draining, self.last_read_at = False, 0.0  # its bytes are thrown away; when the last of them came
        self.backing_off = False  # this machine is short of something: it is not listened to for a moment
        self.loop.watch(self.fd, self.events(), self.ready)  # OSError: no connection is made of it
        pool.open_connections += 1

    @classmethod
    def connect(cls, loop: Loop, address: Address, pool: BufferPool, wake: Callable[[], None]) -> Channel:
        """A connection on its way up; OSError if it can't even be begun."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            begun = sock.connect_ex(address)
            if begun not in (0, errno.EINPROGRESS, errno.EINTR):  # interrupted, it goes on by itself
                raise OSError(begun, "connect")
            return cls(loop, sock, pool, wake, connecting=True)
        except OSError:
            sock.close()
            raise

    def events(self) -> int:
        """What is to be listened for."""
        if self.connecting:
            return WRITE
        return (0 if self.ended or self.paused else READ) | (WRITE if self.outgoing else 0)

    def update_interest(self) -> None:
        if self.closed or self.backing_off:
            return
        try:
            self.loop.watch(self.fd, self.events(), self.ready)
        except OSError:  # the system has no room for it now
            self.back_off()

    def back_off(self) -> None:
        """This machine is short of something: nothing is lost by it, and nothing known of the other side.

        Told again at once that the connection is ready, the loop would spin."""
        if not self.backing_off and not self.closed:
            self.backing_off = True
            self.loop.watch(self.fd, 0, None)
            self.loop.spawn(self.resume_at(self.loop.now + SHORTAGE_PAUSE))

    def resume_at(self, at: float) -> Generator[float, None, None]:
        while self.loop.now < at:
            yield at
        self.backing_off = False
        if not self.closed and not self.broken:
            if not self.connecting:
                self.flush()
            self.update_interest()

    def ready(self, events: int) -> None:
        if self.connecting:
            stands = self.connection_result()
            if stands is None:
                self.back_off()
                return
            self.ended = self.broken = not stands
            self.connecting = False
            if self.broken:
                self.loop.watch(self.fd, 0, None)
                self.wake()
                return
        if events & WRITE:
            self.flush()
        if not self.ended and not self.paused and events & ~WRITE:
            self.read()
        self.wake()
        self.update_interest()

    def connection_result(self) -> bool | None:
        """Whether the connection stands, once the system has told that it does or has failed.

        None: the system can't say now."""
        try:
            return not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            return None if fault_of(error) is Fault.SHORTAGE else False

    def read(self) -> None:
        if self.draining:
            self.discard_input()
            return
        space = self.inbox.free_space()
        if not space:
            self.paused = True
            return
        self.inbox.commit(self.receive(space))

    def receive(self, space: memoryview | bytearray, flags: int = 0) -> int:
        """How many bytes have come: 0 also at the end and after a reset."""
        try:
            count = self.sock.recv_into(space, len(space), flags)
        except OSError as error:
            self.on_read_error(fault_of(error))
            return 0
        if not count:
            self.ended = True
        return count

    def on_read_error(self, fault: Fault) -> None:
        if fault is Fault.SHORTAGE:
            self.back_off()
        elif fault is not Fault.NOT_READY:
            self.ended = self.broken = True
            self.outgoing.clear()

    def discard_input(self) -> None:
        for _ in range(THROWS):
            if not self.receive(THROWN, socket.MSG_TRUNC):  # TCP: not even copied
                return
            self.last_read_at = self.loop.now

    def line(self) -> memoryview | None:
        return self.inbox.line()

    def set_paused(self, paused: bool) -> None:
        """After its lines were used: gives an empty buffer back and reads on unless told to pause."""
        self.inbox.release()
        if paused != self.paused:
            self.paused = paused
            self.update_interest()

    def write(self, data: bytes | memoryview) -> None:
        """Sends at once what goes; only the rest is copied."""
        if self.closed or self.broken:
            return
        if not self.outgoing and not self.connecting:
            sent = self.send(data)
            if self.broken:
                return
            if sent == len(data):
                self.flushed = True
                return
            data = memoryview(data)[sent:]
        self.outgoing += data
        self.update_interest()

    def flush(self) -> None:
        if not self.outgoing:
            return
        sent = self.send(self.outgoing)
        if not self.broken:
            del self.outgoing[:sent]
            self.flushed = self.flushed or not self.outgoing

    def send(self, data: bytes | memoryview | bytearray) -> int:
        """How many bytes the system has taken: none also where it can't just now, or never will."""
        try:
            return self.sock.send(data)
        except OSError as error:
            fault = fault_of(error)
        if fault is Fault.SHORTAGE:
            self.back_off()
        elif fault is not Fault.NOT_READY:
            self.on_write_error()
        return 0

    def on_write_error(self) -> None:
        """A write failed. What the other side said before it went, BYE perhaps, is still there to be read."""
        if not self.ended and not self.paused:
            self.read()
        self.ended = self.broken = True
        self.outgoing.clear()
        self.loop.watch(self.fd, 0, None)
        self.wake()

    @property
    def is_full(self) -> bool:
        return len(self.outgoing) > self.pool.high_water_mark

    def close(self) -> None:
        if not self.closed:
            self.loop.watch(self.fd, 0, None)
            self.closed = self.ended = True
            self.pool.open_connections -= 1
            self.pool.closing.pop(self.fd, None)
            self.inbox.discard()
            self.sock.close()

    def reset(self) -> None:
        """Ends it as one that broke."""
        if not self.closed:
            with contextlib.suppress(OSError):  # already gone
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self.close()

    def finish(self, patience: float = SLOW_READER) -> None:
        """Ends it in order: what is to be written goes out, what still comes is read and thrown away. Closed
        with bytes unread the system would reset it, and its last line would be lost on the way."""
        if not self.closed:
            self.draining, self.last_read_at = True, self.loop.now
            self.pool.closing[self.fd] = ClosingConnection(
                self.loop.now, self.close, lambda: bool(self.outgoing)
            )
            task = self.loop.spawn(self.drain(self.loop.now + patience))
            self.wake = task.wake

    def drain(self, until: float) -> Generator[float, None, None]:
        shut = False
        try:
            while self.loop.now < until and not self.broken and not self.closed:
                self.inbox.discard()
                self.set_paused(False)
                if not self.outgoing and not shut:
                    shut, until = True, self.loop.now + DRAINED
                    try:
                        self.sock.shutdown(socket.SHUT_WR)
                    except OSError:
                        return
                if shut and (self.ended or self.loop.now >= self.last_read_at + LINGER):
                    return
                yield min(until, self.last_read_at + LINGER) if shut else until
        finally:
            self.close()


class ListenError(Exception):
    """An address that can't be listened on."""


def listen_socket(address: Address, what: str, backlog: int = 1024) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        host, port = address
        raise ListenError(f"{what}: expected a free address, got {host}:{port}: {error.strerror}") from None
    return sock
