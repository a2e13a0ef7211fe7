"""Retries: whether a session may be attempted again, at which endpoints, and with which timeout.

Inputs are the listener's idempotency, the endpoint on which a session may have run first, and the time left.
The rules keep a request from running twice or being sent too late for its client. Timeouts grow with the
average handshake, so that a slow backing store does not make every early attempt time out.
"""

from __future__ import annotations

from typing import Protocol

from onyxhollow.interface import DeduplicationScope, EndpointState, Idempotency, Listener
from onyxhollow.policy.tracked import TrackedEndpoint

MAX_WRITE_DELAY_SECONDS = 0.15  # between reading the clock and the write
MIN_SECONDS_LEFT = 0.05  # with less time left nothing is sent, as it would be too late for the client
HANDSHAKE_MULTIPLE = 3.0  # lower bound of an early attempt's timeout, in average handshake times


class RetryState(Protocol):
    """The part of a session that decisions on its attempts use."""

    listener: Listener
    deadline: float
    max_attempts: int
    endpoint: TrackedEndpoint | None
    attempted: list[TrackedEndpoint]
    answered: bool
    may_have_run_on: TrackedEndpoint | None
    may_have_run_since: float


def may_attempt_at(session: RetryState, endpoint: TrackedEndpoint, now: float) -> bool:
    """Return whether an attempt at this endpoint cannot run the request twice (rule 2)."""
    first_endpoint = session.may_have_run_on
    listener = session.listener
    if first_endpoint is None or listener.idempotency is Idempotency.IDEMPOTENT:
        return True
    window = listener.deduplication_window - MAX_WRITE_DELAY_SECONDS
    if listener.idempotency is Idempotency.NON_IDEMPOTENT or now - session.may_have_run_since >= window:
        return False
    if listener.deduplication_scope is DeduplicationScope.ALL:
        return True
    if listener.deduplication_scope is DeduplicationScope.ZONE:
        return endpoint.zone == first_endpoint.zone
    return endpoint.cell == first_endpoint.cell


def may_send(session: RetryState, now: float) -> bool:
    """Return whether the attempt in flight may still be written, checked just before the write.

    While the attempt was connecting, the endpoint may have begun to drain, or the client's deadline or the
    deduplication window may have passed.
    """
    endpoint = session.endpoint
    return (
        endpoint is not None
        and endpoint.state is EndpointState.IN_SERVICE
        and not session.answered
        and session.deadline - now > MIN_SECONDS_LEFT
        and may_attempt_at(session, endpoint, now)
    )


def is_exhausted(session: RetryState, endpoints: list[TrackedEndpoint], now: float) -> bool:
    """Return whether no time, no attempt or no allowed endpoint is left for the session."""
    return (
        session.deadline - now <= MIN_SECONDS_LEFT
        or len(session.attempted) >= session.max_attempts
        or (
            len(session.attempted) > 0
            and not any(may_attempt_at(session, endpoint, now) for endpoint in endpoints)
        )
    )


def attempt_timeout(session: RetryState, time_left: float, average_handshake: float) -> float:
    """Return an attempt's timeout in seconds; the last attempt gets all of the `time_left`."""
    is_last = len(session.attempted) >= session.max_attempts
    if is_last or session.listener.idempotency is Idempotency.NON_IDEMPOTENT:
        return time_left
    return min(time_left, max(session.listener.handshake_objective, HANDSHAKE_MULTIPLE * average_handshake))


def may_reject(session: RetryState) -> bool:
    """Return whether the client may be told that a retry is harmless (rule 2).

    For a keyed request that may have run, this is true only within the deduplication window, and a rejection
    can't limit the retries to it: each one comes after a Retry-After and the client's own wait, may use its
    whole deadline, and may be rejected in turn by a proxy that does not know of the first attempt. A teardown
    promises nothing, and the client may still repeat the key within the window that it knows.
    """
    return session.may_have_run_on is None or session.listener.idempotency is Idempotency.IDEMPOTENT
