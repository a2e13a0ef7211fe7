"""Accepts clients' connections as the service state says, and ends listening without losing one."""

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
from onyxhollow.wire.system_errors import LOST_IN_ACCEPT, Fault, fault_of

MAX_BATCH = 64  # connections accepted in one turn of the loop, so that those open are not made to wait
PAUSE = 0.05  # seconds until accepting is tried again when there are no descriptors
DEFAULT_MAX_CONNECTIONS = 1000  # until the configuration's limits are applied


def reject_connection(sock: socket.socket) -> None:
    """Rejects a connection that there is no room for, at once.

    Its line is read: closed over unread bytes it would be reset and the answer lost.
    """
    with contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(BUSY)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(BUFFER_SIZE)
    sock.close()


class ClientAcceptor:
    """Owns the clients' listening socket."""

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
        """Begins to accept, or ceases to, as the service state says."""
        if self.listener.fileno() >= 0:
            self.loop.watch(self.listener.fileno(), READ if self.service.accepts else 0, self.on_ready)

    def on_ready(self, _: int) -> None:
        """The loop's callback: connections wait to be accepted."""
        self.accept_batch()

    def accept_batch(self) -> bool:
        """Accepts connections that the system has, 64 at most; whether there are no more."""
        for _ in range(MAX_BATCH):
            if self.pool.open_connections >= self.max_connections:
                self.sessions.free_descriptors()
            if self.pool.open_connections >= self.max_connections:
                self.pause("accepts put off for want of room")
                return False
            try:
                sock, _peer = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                if error.errno in LOST_IN_ACCEPT:
                    continue  # that connection has gone already
                is_shortage = fault_of(error) is Fault.SHORTAGE
                self.pause("accepts without a descriptor" if is_shortage else "accepts that failed")
                return False
            self.counters.add("connections accepted")
            self.open_session(sock)
        return False

    def open_session(self, sock: socket.socket) -> None:
        """Makes a session of a connection; one that can't be set up is owed its answer all the same."""
        try:
            sock.setblocking(False)
            with contextlib.suppress(OSError):  # reset already: reading it will show that
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            accept_connection(self.sessions, sock)
        except OSError:
            self.counters.add("connections refused for want of room")
            reject_connection(sock)

    def pause(self, reason: str) -> None:
        """Accepts nothing for a moment, and counts the reason.

        The loop reports the listener ready for as long as connections wait, and would spin on them.
        """
        self.counters.add(reason)
        if self.listener.fileno() in self.loop.watched:
            self.loop.watch(self.listener.fileno(), 0, None)
            self.loop.spawn(self.resume())

    def resume(self) -> Generator[float, None, None]:
        """Accepts again after a pause."""
        yield from self.loop.sleep(PAUSE)
        self.update()

    def stop_listening(self, last: float) -> Generator[float, None, None]:
        """Closes the listener in the moment in which its queue is found empty.

        Whatever stands in the queue has been accepted by the machine and is owed an answer. By `last`, in
        seconds of the loop's clock, it is closed in any case.
        """
        if self.listener.fileno() < 0:
            return
        while self.service.accepts and not self.accept_batch() and self.loop.now < last:
            is_paused = self.listener.fileno() not in self.loop.watched
            yield self.loop.now + (PAUSE if is_paused else 0.0)
        self.loop.watch(self.listener.fileno(), 0, None)
        self.listener.close()
