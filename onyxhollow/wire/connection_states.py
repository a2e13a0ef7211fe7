"""The life of a client's connection: its states, the events that change them, and the table of transitions.

The table has no I/O in it. The code that does something for a connection says which event that is; an event
without a row in the table is a fault of this program and is counted as one (`SessionCore.advance`).
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """Where a client's connection is in its life."""

    AWAITING_FIRST_LINE = "awaiting its first line"  # connected; has asked for nothing yet
    AWAITING_ENDPOINT = "awaiting an endpoint"  # its request was taken; the decisions choose, or queue it
    ATTEMPTING = "attempting"  # one attempt at an endpoint is in flight
    ESTABLISHED = "established"  # UP was forwarded; lines pass both ways
    HANDING_OFF = "handing off"  # its descriptors were sent to the successor, which has not answered yet
    ENDED = "ended"  # its last line is written, or it was closed without one


class ConnectionEvent(Enum):
    """What happens to a client's connection."""

    REQUEST_TAKEN = "request taken"  # a complete, valid OPEN line with a new session id
    HANDOFF_RECEIVED = "hand-off received"  # it was established in the process before this one
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_FAILED = "attempt failed"
    UP_FORWARDED = "UP forwarded"
    IDLE_CLOSED = "idle closed"  # ended without a request: timeout, front moved to the successor, stop
    MALFORMED = "malformed input"  # the client sent what can't be read; it gets ERR
    ANSWERED = "answered"  # BUSY or ERR: rejected or torn down
    CLIENT_GONE = "client gone"  # it left before it was answered
    ENDPOINT_ENDED = "endpoint ended"
    CLIENT_ENDED = "client ended"
    MIGRATED = "migrated"  # MOVE was written
    HANDOFF_SENT = "hand-off sent"
    HANDOFF_REFUSED = "hand-off refused"
    HANDOFF_TAKEN = "hand-off taken"


_State = ConnectionState
_Event = ConnectionEvent

TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], ConnectionState] = {
    (_State.AWAITING_FIRST_LINE, _Event.REQUEST_TAKEN): _State.AWAITING_ENDPOINT,
    (_State.AWAITING_FIRST_LINE, _Event.HANDOFF_RECEIVED): _State.ESTABLISHED,
    (_State.AWAITING_FIRST_LINE, _Event.IDLE_CLOSED): _State.ENDED,
    (_State.AWAITING_FIRST_LINE, _Event.MALFORMED): _State.ENDED,
    (_State.AWAITING_FIRST_LINE, _Event.ANSWERED): _State.ENDED,  # a failure of this program
    (_State.AWAITING_ENDPOINT, _Event.ATTEMPT_STARTED): _State.ATTEMPTING,
    (_State.AWAITING_ENDPOINT, _Event.MALFORMED): _State.ENDED,
    (_State.AWAITING_ENDPOINT, _Event.ANSWERED): _State.ENDED,
    (_State.AWAITING_ENDPOINT, _Event.CLIENT_GONE): _State.ENDED,
    (_State.ATTEMPTING, _Event.ATTEMPT_FAILED): _State.AWAITING_ENDPOINT,
    (_State.ATTEMPTING, _Event.UP_FORWARDED): _State.ESTABLISHED,
    (_State.ATTEMPTING, _Event.MALFORMED): _State.ENDED,
    (_State.ATTEMPTING, _Event.ANSWERED): _State.ENDED,  # a failure of this program
    (_State.ESTABLISHED, _Event.ENDPOINT_ENDED): _State.ENDED,
    (_State.ESTABLISHED, _Event.CLIENT_ENDED): _State.ENDED,
    (_State.ESTABLISHED, _Event.MIGRATED): _State.ENDED,
    (_State.ESTABLISHED, _Event.HANDOFF_SENT): _State.HANDING_OFF,
    (_State.HANDING_OFF, _Event.HANDOFF_REFUSED): _State.ESTABLISHED,
    (_State.HANDING_OFF, _Event.HANDOFF_TAKEN): _State.ENDED,
    # The client sent too much or left while an attempt was in flight; the attempt ends after it.
    (_State.ENDED, _Event.ATTEMPT_FAILED): _State.ENDED,
}

OPEN_STATES = frozenset({ConnectionState.ESTABLISHED, ConnectionState.HANDING_OFF})
