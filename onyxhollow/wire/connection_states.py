"""State machine of a client connection: its states, the events that change them, and the transition table.

The table does no I/O. The code that acts on a connection reports each event to `SessionCore.advance`.
An event without a row in the table is a bug in this program, and `advance` counts it as one.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """State of a client connection."""

    AWAITING_FIRST_LINE = "awaiting its first line"  # connected, no request received yet
    AWAITING_ENDPOINT = "awaiting an endpoint"  # valid request; the policy selects an endpoint or queues it
    ATTEMPTING = "attempting"  # one attempt at an endpoint is in flight
    ESTABLISHED = "established"  # UP was forwarded; lines are forwarded in both directions
    HANDING_OFF = "handing off"  # its descriptors were sent to the successor, which has not answered yet
    ENDED = "ended"  # its last line is written, or it was closed without one


class ConnectionEvent(Enum):
    """Event that changes the state of a client connection."""

    REQUEST_RECEIVED = "request taken"  # a complete, valid OPEN line with a new session id
    HANDOFF_RECEIVED = "hand-off received"  # the predecessor had established the connection
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_FAILED = "attempt failed"
    UP_FORWARDED = "UP forwarded"
    IDLE_CLOSED = "idle closed"  # no request was received before a timeout, hand-over to a successor or stop
    MALFORMED = "malformed input"  # the client sent invalid input and is answered with ERR
    ANSWERED = "answered"  # BUSY or ERR: rejected or torn down
    CLIENT_DISCONNECTED = "client gone"  # the client disconnected before it was answered
    ENDPOINT_ENDED = "endpoint ended"
    CLIENT_ENDED = "client ended"
    MIGRATED = "migrated"  # MOVE was written
    HANDOFF_SENT = "hand-off sent"
    HANDOFF_REFUSED = "hand-off refused"
    HANDOFF_ACCEPTED = "hand-off taken"


_State = ConnectionState
_Event = ConnectionEvent

TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], ConnectionState] = {
    (_State.AWAITING_FIRST_LINE, _Event.REQUEST_RECEIVED): _State.AWAITING_ENDPOINT,
    (_State.AWAITING_FIRST_LINE, _Event.HANDOFF_RECEIVED): _State.ESTABLISHED,
    (_State.AWAITING_FIRST_LINE, _Event.IDLE_CLOSED): _State.ENDED,
    (_State.AWAITING_FIRST_LINE, _Event.MALFORMED): _State.ENDED,
    (_State.AWAITING_FIRST_LINE, _Event.ANSWERED): _State.ENDED,  # after an exception in this program
    (_State.AWAITING_ENDPOINT, _Event.ATTEMPT_STARTED): _State.ATTEMPTING,
    (_State.AWAITING_ENDPOINT, _Event.MALFORMED): _State.ENDED,
    (_State.AWAITING_ENDPOINT, _Event.ANSWERED): _State.ENDED,
    (_State.AWAITING_ENDPOINT, _Event.CLIENT_DISCONNECTED): _State.ENDED,
    (_State.ATTEMPTING, _Event.ATTEMPT_FAILED): _State.AWAITING_ENDPOINT,
    (_State.ATTEMPTING, _Event.UP_FORWARDED): _State.ESTABLISHED,
    (_State.ATTEMPTING, _Event.MALFORMED): _State.ENDED,
    (_State.ATTEMPTING, _Event.ANSWERED): _State.ENDED,  # after an exception in this program
    (_State.ESTABLISHED, _Event.ENDPOINT_ENDED): _State.ENDED,
    (_State.ESTABLISHED, _Event.CLIENT_ENDED): _State.ENDED,
    (_State.ESTABLISHED, _Event.MIGRATED): _State.ENDED,
    (_State.ESTABLISHED, _Event.HANDOFF_SENT): _State.HANDING_OFF,
    (_State.HANDING_OFF, _Event.HANDOFF_REFUSED): _State.ESTABLISHED,
    (_State.HANDING_OFF, _Event.HANDOFF_ACCEPTED): _State.ENDED,
    # The client sent too much or left while an attempt was in flight; the attempt ends afterwards.
    (_State.ENDED, _Event.ATTEMPT_FAILED): _State.ENDED,
}

OPEN_STATES = frozenset({ConnectionState.ESTABLISHED, ConnectionState.HANDING_OFF})
