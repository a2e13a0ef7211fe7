"""One non-blocking connection that reads lines and writes what it is given."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Callable, Generator

from onyxhollow.loop import READ, WRITE, Loop, UrgentDescriptors
from onyxhollow.wire.buffers import BufferPool, ClosingConnection, LineBuffer
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.system_errors import SHORTAGE_RETRY_SECONDS, ErrorCause, classify_error

LINGER = 0.5  # seconds of silence for which a finished one is read: a reset would lose its last bytes
MAX_LINGER = 2.0  # seconds for which it is read at the most, however much still comes
FLUSH_TIMEOUT = 10.0  # seconds for the last bytes to go out to one that reads slowly
DISCARD_BUFFER = bytearray(64 * 1024)  # where bytes that nobody wants are read to
DISCARD_READS = 8  # such reads in one turn of the loop: 60 MB must go by without making others wait
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Channel:
    """One connection, watched by the loop; OSError from the constructor if it can't be.

    Its owner's `wake` is called after each change. The owner ends it by one of `close`, `reset` and `finish`.
    """

    def __init__(
        self,
        loop: Loop | UrgentDescriptors,
        sock: socket.socket,
        pool: BufferPool,
        wake: Callable[[], None],
        connecting: bool = False,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.fd = sock.fileno()
        self.pool = pool
        self.wake = wake
        self.inbox = LineBuffer(pool)
        self.outgoing = bytearray()  # what the system has not taken yet
        self.connecting = connecting
        self.paused = False  # not read on until its lines were used, or the other side takes more
        self.ended = False  # the other side has ended its sending, or the connection broke
        self.broken = False  # by a reset, or an error of a call on it
        self.closed = False
        self.flushed = False  # the system has once taken all that was written
        self.discarding = False  # what is received is thrown away
        self.last_read_at = 0.0  # while discarding: when the last of it came
        self.backing_off = False  # this machine is short of something: it is not watched for a moment
        self.loop.watch(self.fd, self.events(), self.on_ready)
        pool.open_connections += 1

    @classmethod
    def connect(cls, loop: Loop, address: Address, pool: BufferPool, wake: Callable[[], None]) -> Channel:
        """A connection on its way up; OSError if it can't even be begun."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            result = sock.connect_ex(address)
            if result not in (0, errno.EINPROGRESS, errno.EINTR):  # interrupted, it goes on by itself
                raise OSError(result, "connect")  # noqa: TRY301 -- closed below, as for other errors
            return cls(loop, sock, pool, wake, connecting=True)
        except OSError:
            sock.close()
            raise

    # watched by the loop

    def events(self) -> int:
        """What the loop is to watch for."""
        if self.connecting:
            return WRITE
        return (0 if self.ended or self.paused else READ) | (WRITE if self.outgoing else 0)

    def update_interest(self) -> None:
        """Tells the loop what to watch for now."""
        if self.closed or self.backing_off:
            return
        try:
            self.loop.watch(self.fd, self.events(), self.on_ready)
        except OSError:  # the system has no room for it now
            self.back_off()

    def back_off(self) -> None:
        """Rests for a moment, as this machine is short of something.

        Nothing is lost by it, and nothing known of the other side. If the loop reported the connection ready
        again at once, it would spin.
        """
        if not self.backing_off and not self.closed:
            self.backing_off = True
            self.loop.watch(self.fd, 0, None)
            self.loop.spawn(self.resume_at(self.loop.now + SHORTAGE_RETRY_SECONDS))

    def resume_at(self, at: float) -> Generator[float, None, None]:
        """Goes on after a moment's rest."""
        while self.loop.now < at:
            yield at
        self.backing_off = False
        if self.closed or self.broken:
            return
        if not self.connecting:
            self.flush()
        self.update_interest()

    def on_ready(self, events: int) -> None:
        """The loop's callback: the connection came up, or something can be read or written."""
        if self.connecting:
            is_up = self.connection_result()
            if is_up is None:
                self.back_off()
                return
            self.connecting = False
            if not is_up:
                self.ended = True
                self.broken = True
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
        """Whether the connection is up, once the system has reported that it is or has failed.

        None if the system can't say now.
        """
        try:
            return not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            return None if classify_error(error) is ErrorCause.SHORTAGE else False

    # reading

    def read(self) -> None:
        """Reads once into the buffer; pauses if that is full of lines that were not used."""
        if self.discarding:
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
            self.on_read_error(classify_error(error))
            return 0
        if not count:
            self.ended = True
        return count

    def on_read_error(self, fault: ErrorCause) -> None:
        """A read failed."""
        if fault is ErrorCause.SHORTAGE:
            self.back_off()
        elif fault is not ErrorCause.NOT_READY:
            self.ended = True
            self.broken = True
            self.outgoing.clear()

    def discard_input(self) -> None:
        """Reads what has come and throws it away, up to half a megabyte."""
        for _ in range(DISCARD_READS):
            if not self.receive(DISCARD_BUFFER, socket.MSG_TRUNC):  # TCP: not even copied
                return
            self.last_read_at = self.loop.now

    def line(self) -> memoryview | None:
        """The next whole line, valid until the next read; LineTooLongError for one over 4 KiB."""
        return self.inbox.line()

    def set_paused(self, paused: bool) -> None:
        """After its lines were used: gives an empty buffer back, and reads on unless it is to pause."""
        self.inbox.release()
        if paused != self.paused:
            self.paused = paused
            self.update_interest()

    # writing

    def write(self, data: bytes | memoryview) -> None:
        """Sends at once what the system takes; only the rest is copied."""
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
        """Sends what waits to be sent, as far as the system takes it."""
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
            fault = classify_error(error)
        if fault is ErrorCause.SHORTAGE:
            self.back_off()
        elif fault is not ErrorCause.NOT_READY:
            self.on_write_error()
        return 0

    def on_write_error(self) -> None:
        """A write failed. What the other side sent before it went, BYE perhaps, is still there to be read."""
        if not self.ended and not self.paused:
            self.read()
        self.ended = True
        self.broken = True
        self.outgoing.clear()
        self.loop.watch(self.fd, 0, None)
        self.wake()

    @property
    def is_full(self) -> bool:
        """Whether so much waits to be sent that the other side is not read on."""
        return len(self.outgoing) > self.pool.high_water_mark

    # ending

    def close(self) -> None:
        """Closes it at once. With bytes unread the system resets the connection."""
        if self.closed:
            return
        self.loop.watch(self.fd, 0, None)
        self.closed = True
        self.ended = True
        self.pool.open_connections -= 1
        self.pool.closing.pop(self.fd, None)
        self.inbox.discard()
        self.sock.close()

    def reset(self) -> None:
        """Ends it as one that broke."""
        if self.closed:
            return
        with contextlib.suppress(OSError):  # already gone
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def finish(self, timeout: float = FLUSH_TIMEOUT) -> None:
        """Ends it in order: what is to be written goes out, what still comes is read and thrown away.

        Closed with bytes unread the system would reset it, and its last line would be lost on the way.
        """
        if self.closed:
            return
        self.discarding = True
        self.last_read_at = self.loop.now
        self.pool.closing[self.fd] = ClosingConnection(self.loop.now, self.close, lambda: bool(self.outgoing))
        self.wake = self.loop.spawn(self.drain(self.loop.now + timeout)).wake

    def drain(self, until: float) -> Generator[float, None, None]:
        """Ends the sending once all is sent, then reads on until the other side is silent for a while."""
        shut = False
        try:
            while self.loop.now < until and not self.broken and not self.closed:
                self.inbox.discard()
                self.set_paused(False)
                if not self.outgoing and not shut:
                    shut = True
                    until = self.loop.now + MAX_LINGER
                    try:
                        self.sock.shutdown(socket.SHUT_WR)
                    except OSError:
                        return
                if shut and (self.ended or self.loop.now >= self.last_read_at + LINGER):
                    return
                yield min(until, self.last_read_at + LINGER) if shut else until
        finally:
            self.close()
