"""State shared by all phases of a client connection, and the final answers to its request."""

from __future__ import annotations

import socket

from onyxhollow.counters import FAILED, REJECTED
from onyxhollow.loop import Task
from onyxhollow.session_handle import SessionHandle
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.connection_states import OPEN_STATES, TRANSITIONS, ConnectionEvent, ConnectionState
from onyxhollow.wire.handoff_channel import HandoffSender
from onyxhollow.wire.line_forwarding import LineForwarder
from onyxhollow.wire.messages import OpenRequest
from onyxhollow.wire.session_registry import BUSY, SessionRegistry

ERROR_FLUSH_TIMEOUT_SECONDS = 3.0  # for sending ERR to a client that reads slowly
MIN_RETRY_AFTER_SECONDS = 0.001  # a shorter Retry-After is left out of BUSY


class SessionCore:
    """One client connection: its channel, its state and its answers."""

    task: Task  # the connection's coroutine; started by the subclass, which defines the phases

    def __init__(self, registry: SessionRegistry, sock: socket.socket) -> None:
        self.registry = registry
        self.loop = registry.loop
        self.counters = registry.counters
        self.state = ConnectionState.AWAITING_FIRST_LINE
        self.client = Channel(self.loop, sock, registry.pool, self.wake)
        self.server: Channel | None = None
        self.handle: SessionHandle | None = None
        self.request: OpenRequest | None = None
        self.forwarder: LineForwarder | None = None
        self.accepted_at = self.loop.now
        self.last_bytes_at = self.loop.now
        self.stopping = False
        self.outcome_counted = False  # each session's outcome is counted once
        self.attempt_count = 0
        self.endpoint = ""  # of the latest attempt
        self.end_reason = ""
        self.handoff_sender: HandoffSender | None = None  # set once the connection is to be handed off
        self.handoff_accepted: bool | None = None  # the successor's answer

    @property
    def is_open(self) -> bool:
        """Whether UP was forwarded and the connection has not ended."""
        return self.state in OPEN_STATES

    def advance(self, event: ConnectionEvent) -> None:
        """Change the state by the transition table; count an event without a row as a fault."""
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            self.counters.must(False, f"a transition for '{event.value}' in state '{self.state.value}'")
            return
        self.state = next_state

    def end(self, event: ConnectionEvent, reason: str) -> None:
        """Record how the connection ends; the session's log entry contains the reason."""
        self.advance(event)
        self.end_reason = reason

    def wake(self) -> None:
        """Schedule the connection's coroutine, which then checks for changes."""
        self.task.wake()

    def stop(self) -> None:
        """End the session: migrate an open connection, answer a request that still waits."""
        self.stopping = True
        self.wake()

    def is_disconnected(self) -> bool:
        """Return whether the client of a session without UP has left or was disconnected.

        A client that sends more bytes before UP is disconnected here, with ERR as its answer.
        """
        if self.state is not ConnectionState.ENDED and len(self.client.inbox):
            self.answer_malformed("bytes before UP", self.client.inbox.take_rest())
        return self.state is ConnectionState.ENDED or self.client.ended

    def is_abandoned(self) -> bool:
        """Return whether a session without UP needs no endpoint: its client left, or the proxy stops."""
        return self.is_disconnected() or self.stopping

    def answer_malformed(self, reason: str, line: bytes) -> None:
        """Answer invalid input with ERR and end the connection, even if an attempt is in flight."""
        self.registry.report_malformed(reason, line)
        self.end(ConnectionEvent.MALFORMED, "malformed")
        self.count_outcome(FAILED)
        self.client.write(b"ERR\r\n")
        self.client.finish(ERROR_FLUSH_TIMEOUT_SECONDS)

    def count_outcome(self, outcome: str) -> None:
        """Count the outcome of a session, once per session that has a request."""
        if self.request is not None and not self.outcome_counted:
            self.outcome_counted = True
            self.counters.count_final_answer(outcome, self.request.listener)

    def end_without_endpoint(self, handle: SessionHandle, rejected: bool) -> None:
        """End a session that gets no further attempt because its client has left or the proxy stops."""
        if self.is_disconnected():
            self.end_disconnected(handle, rejected)
        else:
            self.answer(rejected)

    def end_disconnected(self, handle: SessionHandle, rejected: bool) -> None:
        """End a session whose client disconnected before it was answered.

        The final answer is written nevertheless: a client that has only shut down its sending side still
        reads it.
        """
        handle.report_client_gone()
        if self.state is not ConnectionState.ENDED:
            self.counters.add("clients gone before an answer")
            self.end(ConnectionEvent.CLIENT_DISCONNECTED, "client gone")
            self.write_answer(rejected)

    def answer(self, rejected: bool, retry_after: float = 0.0) -> None:
        """Give the session its one final answer: rejected (BUSY, nothing ran) or torn down (ERR)."""
        self.counters.add("sessions refused" if rejected else "sessions torn down")
        self.count_outcome(REJECTED if rejected else FAILED)
        self.end(ConnectionEvent.ANSWERED, "refused" if rejected else "torn down")
        self.write_answer(rejected, retry_after)

    def write_answer(self, rejected: bool, retry_after: float = 0.0) -> None:
        """Write the final answer, and end the connection after it."""
        if not rejected:
            self.client.write(b"ERR\r\n")
        elif retry_after >= MIN_RETRY_AFTER_SECONDS:
            self.client.write(b"BUSY %d\r\n" % round(retry_after * 1000))
        else:
            self.client.write(BUSY)
        self.client.finish()
