"""Accepting of client connections, and closing the listener without losing a queued connection."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Generator

from onyxhollow.loop import READ
from onyxhollow.service_state import ServiceState
from onyxhollow.wire.buffers import BUFFER_SIZE
from onyxhollow.wire.client_session import accept_connection
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import BUSY, SessionRegistry
from onyxhollow.wire.system_errors import ABORTED_CONNECTION_ERRORS, ErrorCause, classify_error

MAX_ACCEPTS_PER_TURN = 64  # a bound per turn of the loop, so that open connections are not delayed
RETRY_DELAY_SECONDS = 0.05  # pause before the next accept, for example when no descriptor is free
DEFAULT_MAX_CONNECTIONS = 1000  # until the configuration's limits are applied


def reject_connection(sock: socket.socket) -> None:
    """Answer BUSY on a connection that exceeds the limits, and close it.

    The request is read first: closing a socket with unread bytes resets the connection, and the client
    would lose the answer.
    """
    with contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(BUSY)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(BUFFER_SIZE)
    sock.close()


class ClientAcceptor:
    """Accepts connections on the client listening socket."""

    def __init__(
        self,
        context: NetworkContext,
        sessions: SessionRegistry,
        service: ServiceState,
        listener: socket.socket,
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.counters = context.counters
        self.sessions = sessions
        self.service = service
        self.listener = listener
        self.max_connections = DEFAULT_MAX_CONNECTIONS

    def update(self) -> None:
        """Start or stop accepting according to the service state."""
        if not self.service.accepts:  # the queue is for the other process of this proxy
            self.sessions.record_queue(is_empty=True)
        if self.listener.fileno() >= 0:
            self.loop.watch(self.listener.fileno(), READ if self.service.accepts else 0, self.on_ready)

    def on_ready(self, _: int) -> None:
        """Accept connections when the loop reports the listener readable."""
        self.accept_batch()

    def accept_batch(self) -> bool:
        """Accept a batch of pending connections; return whether the queue was emptied."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.pool.budget.used >= self.max_connections:
                self.sessions.free_descriptors()
            if self.pool.budget.used >= self.max_connections:
                self.pause("accepts put off for want of room")
                return False
            try:
                sock, _peer = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                self.sessions.record_queue(is_empty=True)
                return True
            except OSError as error:
                if error.errno in ABORTED_CONNECTION_ERRORS:
                    continue  # the client closed this connection before it was accepted
                is_shortage = classify_error(error) is ErrorCause.SHORTAGE
                self.pause("accepts without a descriptor" if is_shortage else "accepts that failed")
                return False
            self.counters.add("connections accepted")
            self.open_session(sock)
        return False

    def open_session(self, sock: socket.socket) -> None:
        """Create a session for a connection, or reject the connection if its setup fails."""
        try:
            sock.setblocking(False)
            with contextlib.suppress(OSError):  # already reset: the next read reports it
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accept_connection(self.sessions, sock)
        except OSError:
            self.counters.add("connections refused for want of room")
            reject_connection(sock)

    def pause(self, reason: str) -> None:
        """Stop accepting for `RETRY_DELAY_SECONDS`, and count the reason.

        While connections are pending, the loop reports the listener as readable and would spin.
        """
        self.counters.add(reason)
        self.sessions.record_queue(is_empty=False)
        if self.listener.fileno() in self.loop.watched:
            self.loop.watch(self.listener.fileno(), 0, None)
            self.loop.spawn(self.resume())

    def resume(self) -> Generator[float, None, None]:
        """Accept again after a pause."""
        yield from self.loop.sleep(RETRY_DELAY_SECONDS)
        self.update()

    def stop_listening(self, deadline: float) -> Generator[float, None, None]:
        """Close the listener as soon as its queue is empty.

        The kernel has already accepted the queued connections, so each of them must be answered.

        Args:
            deadline: On the loop's clock; the listener is then closed even if its queue is not empty.
        """
        if self.listener.fileno() < 0:
            return
        while self.service.accepts and not self.accept_batch() and self.loop.now < deadline:
            is_paused = self.listener.fileno() not in self.loop.watched
            yield self.loop.now + (RETRY_DELAY_SECONDS if is_paused else 0.0)
        self.loop.watch(self.listener.fileno(), 0, None)
        self.listener.close()
