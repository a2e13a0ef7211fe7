"""What may be attempted again, where, and in what time.

Decides from the listener's idempotency, the endpoint on which a session may first have run, and the
time left. Guards against running a request twice, against a write that comes too late for its client, and
against a slow store that fails each early attempt.
"""

from __future__ import annotations

from typing import Protocol

from onyxhollow.interface import DeduplicationScope, EndpointState, Idempotency, Listener
from onyxhollow.policy.tracked import TrackedEndpoint

WRITE_DELAY_MARGIN = 0.15  # seconds that may pass between reading the clock and a write
MIN_SECONDS_LEFT = 0.05  # seconds left to a client under which nothing is sent: it would come too late
HANDSHAKE_STRETCH = 3.0  # times the usual handshake that an early attempt gets at least


class Attempt(Protocol):
    """What is read of a session to decide on its attempts."""

    listener: Listener
    deadline: float
    max_attempts: int
    endpoint: TrackedEndpoint | None
    attempted: list[TrackedEndpoint]
    answered: bool
    may_have_run_on: TrackedEndpoint | None
    may_have_run_since: float


def may_attempt_at(session: Attempt, endpoint: TrackedEndpoint, now: float) -> bool:
    """Return whether an attempt at this endpoint can not make anything run twice (rule 2)."""
    first = session.may_have_run_on
    listener = session.listener
    if first is None or listener.idempotency is Idempotency.IDEMPOTENT:
        return True
    window = listener.deduplication_window - WRITE_DELAY_MARGIN
    if listener.idempotency is Idempotency.NON_IDEMPOTENT or now - session.may_have_run_since >= window:
        return False
    if listener.deduplication_scope is DeduplicationScope.ALL:
        return True
    if listener.deduplication_scope is DeduplicationScope.ZONE:
        return endpoint.zone == first.zone
    return endpoint.cell == first.cell


def may_send(session: Attempt, now: float) -> bool:
    """Return whether the attempt in flight may still be written, checked just before the write.

    While it was connecting its endpoint may have begun to drain, or its client's time or the deduplication
    window may have passed.
    """
    endpoint = session.endpoint
    return (
        endpoint is not None
        and endpoint.state is EndpointState.IN_SERVICE
        and not session.answered
        and session.deadline - now > MIN_SECONDS_LEFT
        and may_attempt_at(session, endpoint, now)
    )


def attempts_spent(session: Attempt, endpoints: list[TrackedEndpoint], now: float) -> bool:
    """Return whether nothing more may be attempted: no time, no attempt or no allowed endpoint is left."""
    return (
        session.deadline - now <= MIN_SECONDS_LEFT
        or len(session.attempted) >= session.max_attempts
        or (
            len(session.attempted) > 0
            and not any(may_attempt_at(session, endpoint, now) for endpoint in endpoints)
        )
    )


def attempt_timeout(session: Attempt, left: float, usual_handshake: float) -> float:
    """Return the seconds for an attempt; `left` is the session's time, which the last attempt gets whole."""
    last = len(session.attempted) >= session.max_attempts
    if last or session.listener.idempotency is Idempotency.NON_IDEMPOTENT:
        return left
    return min(left, max(session.listener.handshake_objective, HANDSHAKE_STRETCH * usual_handshake))


def may_reject(session: Attempt) -> bool:
    """Return whether the client may be told to come again: nothing could run twice by that (rule 2)."""
    listener = session.listener
    everywhere = (
        listener.idempotency is Idempotency.KEYED and listener.deduplication_scope is DeduplicationScope.ALL
    )
    return session.may_have_run_on is None or listener.idempotency is Idempotency.IDEMPOTENT or everywhere
