"""Outlier detection: which failures raise an endpoint's outlier score, and which score ejects it.

Inputs are the outcomes of attempts and connections, failed health checks and late messages. This ejects
failing endpoints that no operator drains. As the threshold follows the median score, a slow backing store
shared by all endpoints does not eject all of them.
"""

from __future__ import annotations

from onyxhollow.interface import AttemptOutcome
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import EJECTION_SCORE, TICK_SECONDS, PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

CERTAIN_FAILURE_SCORE = 3.0  # a connection closed by the endpoint, or a closed port, ejects it at once
BROKEN_CONNECTION_SCORE = 0.3
OVERLOADED_SCORE = 0.5
FAILED_ATTEMPT_SCORE = 1.0
HARMLESS_OUTCOMES = (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)


def ejection_threshold(scores: list[float]) -> float:
    """Return the score above which an endpoint is ejected: twice the median, at least `EJECTION_SCORE`."""
    ordered = sorted(scores)
    return max(EJECTION_SCORE, 2.0 * ordered[len(ordered) // 2]) if ordered else EJECTION_SCORE


def record_failure(state: PolicyState, endpoint: TrackedEndpoint, amount: float) -> None:
    """Raise the endpoint's outlier score; from twice `EJECTION_SCORE` its connections are migrated."""
    now = state.host.now
    score = endpoint.outlier_score(now) + amount
    endpoint.recorded_score = score
    endpoint.recorded_score_at = now
    if score > state.ejection_threshold:
        state.refresh_health()
    if score >= 2 * EJECTION_SCORE and score > state.ejection_threshold:
        state.start_migration(endpoint, f"distrust {score:.1f}")


def record_outcome(
    state: PolicyState, session: Session, endpoint: TrackedEndpoint, outcome: AttemptOutcome, took: float
) -> None:
    """Update the scores and handshake times after an attempt or connection ended after `took` seconds."""
    closed_by_endpoint = (
        outcome is AttemptOutcome.CANCELLED and session.established and not session.client_left
    )
    if outcome in HARMLESS_OUTCOMES and not closed_by_endpoint:
        return
    if not session.established:
        endpoint.handshake_time.add(max(took, session.listener.handshake_objective), state.host.now)
        if outcome is AttemptOutcome.TIMEOUT:
            state.handshake_time.add(took, state.host.now)
    if outcome is AttemptOutcome.OVERLOADED or (session.established and outcome is AttemptOutcome.RESET):
        endpoint.overloaded_at = state.host.now  # it would shed new sessions again
    port_closed = outcome is AttemptOutcome.CONNECT_FAILED and took < TICK_SECONDS
    if closed_by_endpoint or port_closed:
        amount = CERTAIN_FAILURE_SCORE
    elif session.established:
        amount = BROKEN_CONNECTION_SCORE
    elif outcome is AttemptOutcome.OVERLOADED:
        amount = OVERLOADED_SCORE
    else:
        amount = FAILED_ATTEMPT_SCORE
    state.record_failure(endpoint, amount)
