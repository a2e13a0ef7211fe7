"""A client connection from its first line to its end; it is accepted, or received from a predecessor."""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import Any

from onyxhollow.session_handle import SessionHandle
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.connection_handoff import ConnectionHandoff
from onyxhollow.wire.connection_states import ConnectionEvent, ConnectionState
from onyxhollow.wire.echo_timing import SentLine
from onyxhollow.wire.established_connection import EstablishedConnection
from onyxhollow.wire.first_line import FirstLineReader
from onyxhollow.wire.line_forwarding import LineForwarder
from onyxhollow.wire.messages import MalformedError, OpenRequest, parse_open_request
from onyxhollow.wire.placement import Placement
from onyxhollow.wire.session_core import SessionCore
from onyxhollow.wire.session_registry import SessionRegistry


def accept_connection(registry: SessionRegistry, sock: socket.socket) -> None:
    """Serve an accepted connection; raise OSError if the loop can't watch it."""
    registry.free_descriptors()
    ClientSession(registry, sock)


def accept_handoff(
    registry: SessionRegistry, record: dict[str, Any], client: socket.socket, server: socket.socket
) -> bool:
    """Take over an open connection of the predecessor process; return whether it was accepted.

    A session id that this process has already seen is refused. After a refusal or an error the predecessor
    keeps the connection.

    Raises:
        MalformedError, KeyError, TypeError, ValueError: The record is malformed.
        OSError: The loop can't watch one of the sockets.
    """
    handoff = ConnectionHandoff.decode(record)
    if not registry.table.claim_id(handoff.request.session_id):
        return False
    for sock in (client, server):
        sock.setblocking(False)
    ClientSession(registry, client, handoff, server)
    return True


class ClientSession(SessionCore):
    """One client connection; its coroutine runs the phases one after another."""

    def __init__(
        self,
        registry: SessionRegistry,
        sock: socket.socket,
        handoff: ConnectionHandoff | None = None,
        server_sock: socket.socket | None = None,
    ) -> None:
        super().__init__(registry, sock)
        if handoff is not None and server_sock is not None:
            try:
                self.server = Channel(self.loop, server_sock, registry.pool, self.wake)
            except OSError:  # the predecessor keeps the connection
                self.client.close()
                raise
            self.advance(ConnectionEvent.HANDOFF_RECEIVED)
            self.outcome_counted = True
        registry.table.add(self)
        self.task = self.loop.spawn(self.run(handoff))
        if handoff is not None and self.server is not None:
            for index, channel in enumerate((self.client, self.server)):
                channel.inbox.append(handoff.unread[index])  # before newer bytes are read
                channel.write(handoff.unsent[index])

    def run(self, handoff: ConnectionHandoff | None) -> Generator[float, None, None]:
        """Run the connection's coroutine; an error in it ends only this connection."""
        first_line = b""
        try:
            if handoff is not None and self.server is not None:
                yield from self.resume(handoff, self.server)
                return
            line = yield from FirstLineReader(self).read()
            if line is None:
                return
            first_line = bytes(line)
            yield from self.serve(parse_open_request(first_line))
        except (MalformedError, LineTooLongError) as error:
            self.answer_malformed(
                str(error) or "line longer than 4 KiB", first_line or self.client.inbox.take_rest()
            )
        except Exception as error:  # noqa: BLE001 -- a bug here or in the policy must not stop the proxy
            self.loop.report_failure("session", error)
            self.answer_after_failure()
        finally:
            self.close()

    def serve(self, request: OpenRequest) -> Generator[float, None, None]:
        """Serve a request from its OPEN line to the end of the connection."""
        handle = yield from Placement(self, request).run()
        if handle is not None and self.server is not None:
            started_at = self.loop.now
            yield from self.forward(handle, self.server, started_at, last_echo_at=started_at)

    def resume(self, handoff: ConnectionHandoff, server: Channel) -> Generator[float, None, None]:
        """Continue a connection in the state that the predecessor handed off."""
        request = handoff.request
        self.request = request
        self.registry.active_count += 1
        self.endpoint = handoff.endpoint
        self.counters.add("connections taken over")
        handle = self.registry.decisions.adopt(
            self.wake,
            handoff.listener,
            self.registry.find_tenant(request.tenant),
            request.group,
            handoff.load,
            handoff.endpoint,
            placed=True,
        )
        self.handle = handle
        yield from self.forward(handle, server, handoff.started_at, handoff.last_echo_at, handoff)

    def forward(
        self,
        handle: SessionHandle,
        server: Channel,
        started_at: float,
        last_echo_at: float,
        handoff: ConnectionHandoff | None = None,
    ) -> Generator[float, None, None]:
        """Forward lines until the end; a hand-off adds the lines that were in flight at the predecessor."""
        forwarder = LineForwarder(self.registry, self.client, server, handle, self.endpoint, last_echo_at)
        if handoff is not None:
            forwarder.final_word = handoff.final_word
            forwarder.in_flight.extend(SentLine(sent_at, self.loop.stalled) for sent_at in handoff.in_flight)
        self.forwarder = forwarder
        if self.registry.service.drain_complete:
            self.stopping = True  # handed off, or open before the start: migrated like all others
        yield from EstablishedConnection(self, forwarder, started_at).run()

    def answer_after_failure(self) -> None:
        """Answer the session after an exception, unless it is open or was answered."""
        if not self.is_open and not self.client.closed and self.state is not ConnectionState.ENDED:
            self.answer(False)

    def close(self) -> None:
        """Close the channels that were not shut down, remove the session from the registry and log it."""
        if self.handle is not None:
            self.handle.close()
        self.registry.table.remove(self)
        for channel in (self.client, self.server):
            if channel is not None and channel.wake == self.wake:
                channel.close()
        if self.request is None:
            return
        self.registry.active_count -= 1
        forwarder = self.forwarder
        self.registry.log(
            "session",
            id=self.request.session_id,
            server=self.endpoint,
            dials=self.attempt_count,
            end=self.end_reason,
            echoes=forwarder.echo_count if forwarder else 0,
            slowest=round(forwarder.slowest_echo, 4) if forwarder else 0.0,
        )
