"""The state that all phases of a client's connection share, and the ways in which it is answered."""

from __future__ import annotations

import socket

from onyxhollow.counters import FAILED, REJECTED
from onyxhollow.decision_adapter import SessionHandle
from onyxhollow.loop import Task
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.connection_states import OPEN_STATES, TRANSITIONS, ConnectionEvent, ConnectionState
from onyxhollow.wire.handoff_channel import HandoffSender
from onyxhollow.wire.line_forwarding import LineForwarder
from onyxhollow.wire.messages import OpenRequest
from onyxhollow.wire.session_registry import BUSY, SessionRegistry

ERROR_READ_TIMEOUT = 3.0  # seconds for an ERR to go out to a client that reads slowly
LEAST_RETRY_AFTER = 0.001  # seconds; shorter ones are not written


class SessionCore:
    """One client's connection: its channel, its state, and its answers."""

    task: Task  # the connection's coroutine; spawned by the subclass that knows its phases

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
        self.stopping = False
        self.outcome_counted = False  # what the client was told of its request has been counted
        self.attempt_count = 0
        self.endpoint = ""  # the one that the newest attempt was made at
        self.end_reason = ""
        self.handoff_sender: HandoffSender | None = None  # the connection is to be handed off there
        self.handoff_accepted: bool | None = None  # the successor's answer

    @property
    def is_open(self) -> bool:
        """Whether UP was forwarded and the connection has not ended."""
        return self.state in OPEN_STATES

    def advance(self, event: ConnectionEvent) -> None:
        """Changes the state by the table of transitions; an event without a row is counted as a fault."""
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            self.counters.must(False, f"a transition for '{event.value}' in state '{self.state.value}'")
            return
        self.state = next_state

    def end(self, event: ConnectionEvent, reason: str) -> None:
        """Records how the connection ends; the session's log line gives the reason."""
        self.advance(event)
        self.end_reason = reason

    def wake(self) -> None:
        """Lets the connection's coroutine look at what has changed."""
        self.task.wake()

    def stop(self) -> None:
        """Ends it: an open connection is migrated; one that waits is answered now."""
        self.stopping = True
        self.wake()

    def is_disconnected(self) -> bool:
        """Before UP: whether the client has left, or sent more while it was to wait and is cut off for it."""
        if self.state is not ConnectionState.ENDED and len(self.client.inbox):
            self.dismiss("bytes before UP", self.client.inbox.take_rest())
        return self.state is ConnectionState.ENDED or self.client.ended

    def is_abandoned(self) -> bool:
        """Before UP: whether there is nothing to wait for any more."""
        return self.is_disconnected() or self.stopping

    def dismiss(self, why: str, line: bytes) -> None:
        """Answers what can't be read or used with ERR, at once, whatever else waits on that connection."""
        self.registry.report_malformed(why, line)
        self.end(ConnectionEvent.MALFORMED, "malformed")
        self.count_outcome(FAILED)
        self.client.write(b"ERR\r\n")
        self.client.finish(ERROR_READ_TIMEOUT)

    def count_outcome(self, outcome: str) -> None:
        """Counts what a client was told: the one place, once for each session taken."""
        if self.request is not None and not self.outcome_counted:
            self.outcome_counted = True
            self.counters.count_final_answer(outcome, self.request.listener)

    def conclude(self, handle: SessionHandle, rejected: bool) -> None:
        """Ends a session for which nothing more is tried: the client has left, or the proxy stops."""
        if self.is_disconnected():
            self.end_disconnected(handle, rejected)
        else:
            self.answer(rejected)

    def end_disconnected(self, handle: SessionHandle, rejected: bool) -> None:
        """Ends a session whose client has gone before it was answered.

        One that has only ended its sending still reads: it gets its final answer all the same, which is lost
        on the way to one that is not there.
        """
        handle.report_client_gone()
        if self.state is not ConnectionState.ENDED:
            self.counters.add("clients gone before an answer")
            self.end(ConnectionEvent.CLIENT_GONE, "client gone")
            self.write_answer(rejected)

    def answer(self, rejected: bool, retry_after: float = 0.0) -> None:
        """The one final answer of a session: rejected (BUSY, nothing ran) or torn down (ERR)."""
        self.counters.add("sessions refused" if rejected else "sessions torn down")
        self.count_outcome(REJECTED if rejected else FAILED)
        self.end(ConnectionEvent.ANSWERED, "refused" if rejected else "torn down")
        self.write_answer(rejected, retry_after)

    def write_answer(self, rejected: bool, retry_after: float = 0.0) -> None:
        """Writes the final answer, and ends the connection behind it."""
        if not rejected:
            self.client.write(b"ERR\r\n")
        elif retry_after >= LEAST_RETRY_AFTER:
            self.client.write(b"BUSY %d\r\n" % round(retry_after * 1000))
        else:
            self.client.write(BUSY)
        self.client.finish()
