"""A non-blocking connection with buffered reading of lines and buffered writing."""

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

# Silence of the peer after which a connection that was shut down is closed. Closing it earlier could reset
# it, and the peer would lose the last bytes.
LINGER_SECONDS = 0.5
MAX_LINGER_SECONDS = 2.0  # limit of that reading for a peer that keeps sending
FLUSH_TIMEOUT_SECONDS = 10.0  # for sending the last bytes to a peer that reads slowly
DISCARD_BUFFER = bytearray(64 * 1024)  # receives bytes that are ignored
MAX_DISCARD_READS = 8  # per turn of the loop; discarding 60 MB must not delay other connections
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a timeout of 0


class Channel:
    """One connection, watched by the loop; the constructor raises OSError if the loop can't watch it.

    The owner's `wake` is called after each change. The owner calls `close`, `reset` or `finish` at the end.
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
        self.outgoing = bytearray()  # written bytes that the kernel has not accepted yet
        self.connecting = connecting
        self.paused = False  # not read until its lines are consumed or can be forwarded
        self.ended = False  # the peer has shut down its sending side, or the connection has failed
        self.broken = False  # the connection was reset, or a system call on it failed
        self.closed = False
        self.flushed = False  # the kernel has at least once accepted everything that was written
        self.discarding = False  # received bytes are ignored
        self.last_read_at = 0.0  # loop time of the last received bytes, while discarding
        self.backing_off = False  # not watched for a short time, as this machine lacks a resource
        self.loop.watch(self.fd, self.wanted_events(), self.on_ready)
        pool.budget.add()

    @classmethod
    def connect(
        cls,
        loop: Loop,
        address: Address,
        pool: BufferPool,
        wake: Callable[[], None],
        is_reserved: bool = False,
    ) -> Channel:
        """Start to connect and return the channel.

        Args:
            loop: The loop that watches the connection.
            address: Of the peer.
            pool: Its budget counts the connection.
            wake: Called after each change.
            is_reserved: Whether a descriptor was set aside, so that the budget does not prevent the connect.

        Raises:
            OSError: The budget is exhausted (EMFILE, as at the system's limit), or the connect fails at once.
        """
        if pool.budget.is_exhausted and not is_reserved:
            raise OSError(errno.EMFILE, "connect: expected a free descriptor, got none")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            result = sock.connect_ex(address)
            if result not in (0, errno.EINPROGRESS, errno.EINTR):  # EINTR: the kernel continues to connect
                raise OSError(result, "connect")  # noqa: TRY301 -- the handler below closes the socket
            return cls(loop, sock, pool, wake, connecting=True)
        except OSError:
            sock.close()
            raise

    # Events of the loop.

    def wanted_events(self) -> int:
        """Return the events that the loop has to watch for in the present state."""
        if self.connecting:
            return WRITE
        return (0 if self.ended or self.paused else READ) | (WRITE if self.outgoing else 0)

    def update_interest(self) -> None:
        """Register the events of the present state with the loop."""
        if self.closed or self.backing_off:
            return
        try:
            self.loop.watch(self.fd, self.wanted_events(), self.on_ready)
        except OSError:  # epoll is out of memory or descriptors
            self.back_off()

    def back_off(self) -> None:
        """Stop watching for a short time, as this machine lacks a resource.

        No data is lost, and the shortage is no evidence about the peer. If the connection stayed registered,
        the loop would report it as ready again at once and spin.
        """
        if not self.backing_off and not self.closed:
            self.backing_off = True
            self.loop.watch(self.fd, 0, None)
            self.loop.spawn(self.resume_after_backoff(self.loop.now + SHORTAGE_RETRY_SECONDS))

    def resume_after_backoff(self, resume_time: float) -> Generator[float, None, None]:
        """Write pending bytes and watch the connection again at the given loop time."""
        while self.loop.now < resume_time:
            yield resume_time
        self.backing_off = False
        if self.closed or self.broken:
            return
        if not self.connecting:
            self.flush()
        self.update_interest()

    def on_ready(self, events: int) -> None:
        """Handle events of the loop: the connect has ended, or the connection is readable or writable."""
        if self.connecting:
            is_connected = self.has_connected()
            if is_connected is None:
                self.back_off()
                return
            self.connecting = False
            if not is_connected:
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

    def has_connected(self) -> bool | None:
        """Return whether the connect has succeeded, once the loop has reported its end.

        The result is None if a shortage on this machine prevents the query.
        """
        try:
            return not self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            return None if classify_error(error) is ErrorCause.SHORTAGE else False

    # Reading.

    def read(self) -> None:
        """Read once into the buffer; pause reading if it is full of unread lines."""
        if self.discarding:
            self.discard_input()
            return
        space = self.inbox.free_space()
        if not space:
            self.paused = True
            return
        self.inbox.commit(self.receive(space))

    def receive(self, space: memoryview | bytearray, flags: int = 0) -> int:
        """Receive into the space and return the number of bytes; 0 also at the end and after an error."""
        try:
            count = self.sock.recv_into(space, len(space), flags)
        except OSError as error:
            self.on_read_error(classify_error(error))
            return 0
        if not count:
            self.ended = True
        return count

    def on_read_error(self, cause: ErrorCause) -> None:
        """Handle a failed read: retry it later, or mark the connection as broken."""
        if cause is ErrorCause.SHORTAGE:
            self.back_off()
        elif cause is not ErrorCause.NOT_READY:
            self.ended = True
            self.broken = True
            self.outgoing.clear()

    def discard_input(self) -> None:
        """Receive and ignore up to half a megabyte."""
        for _ in range(MAX_DISCARD_READS):
            if not self.receive(DISCARD_BUFFER, socket.MSG_TRUNC):  # TCP: dropped without a copy
                return
            self.last_read_at = self.loop.now

    def line(self) -> memoryview | None:
        """Return the next whole line, valid until the next read; raise LineTooLongError above 4 KiB."""
        return self.inbox.line()

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading, and return an empty buffer to the pool; called once lines are consumed."""
        self.inbox.release()
        if paused != self.paused:
            self.paused = paused
            self.update_interest()

    # Writing.

    def write(self, data: bytes | memoryview) -> None:
        """Send as much as the kernel accepts at once; copy only the rest, to be sent later."""
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
        """Send pending bytes, as far as the kernel accepts them."""
        if not self.outgoing:
            return
        sent = self.send(self.outgoing)
        if not self.broken:
            del self.outgoing[:sent]
            self.flushed = self.flushed or not self.outgoing

    def send(self, data: bytes | memoryview | bytearray) -> int:
        """Send and return the number of bytes that the kernel has accepted; 0 also after an error."""
        try:
            return self.sock.send(data)
        except OSError as error:
            cause = classify_error(error)
        if cause is ErrorCause.SHORTAGE:
            self.back_off()
        elif cause is not ErrorCause.NOT_READY:
            self.on_write_error()
        return 0

    def on_write_error(self) -> None:
        """Mark the connection as broken, but first read what the peer sent before it closed, such as BYE."""
        if not self.ended and not self.paused:
            self.read()
        self.ended = True
        self.broken = True
        self.outgoing.clear()
        self.loop.watch(self.fd, 0, None)
        self.wake()

    @property
    def is_full(self) -> bool:
        """Whether more bytes are pending than the high-water mark, so that their source must not be read."""
        return len(self.outgoing) > self.pool.high_water_mark

    # Closing.

    def close(self) -> None:
        """Close the connection at once; the kernel resets it if received bytes are unread."""
        if self.closed:
            return
        self.loop.watch(self.fd, 0, None)
        self.closed = True
        self.ended = True
        self.pool.budget.remove()
        self.pool.closing.pop(self.fd, None)
        self.inbox.discard()
        self.sock.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        if self.closed:
            return
        with contextlib.suppress(OSError):  # the connection has already failed
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def finish(self, timeout: float = FLUSH_TIMEOUT_SECONDS) -> None:
        """Close the connection gracefully: send pending bytes, and read and ignore what still arrives.

        If it were closed with unread bytes, the kernel would reset it, and the peer would lose the last line.
        The pending bytes must be sent within `timeout` seconds.
        """
        if self.closed:
            return
        self.discarding = True
        self.last_read_at = self.loop.now
        self.pool.closing[self.fd] = ClosingConnection(self.loop.now, self.close, lambda: bool(self.outgoing))
        self.wake = self.loop.spawn(self.close_gracefully(self.loop.now + timeout)).wake

    def close_gracefully(self, deadline: float) -> Generator[float, None, None]:
        """Shut down the sending side once all bytes are sent, then read until the peer is silent."""
        is_shut_down = False
        try:
            while self.loop.now < deadline and not self.broken and not self.closed:
                self.inbox.discard()
                self.set_paused(False)
                if not self.outgoing and not is_shut_down:
                    is_shut_down = True
                    deadline = self.loop.now + MAX_LINGER_SECONDS
                    try:
                        self.sock.shutdown(socket.SHUT_WR)
                    except OSError:
                        return
                if is_shut_down and (self.ended or self.loop.now >= self.last_read_at + LINGER_SECONDS):
                    return
                yield min(deadline, self.last_read_at + LINGER_SECONDS) if is_shut_down else deadline
        finally:
            self.close()
