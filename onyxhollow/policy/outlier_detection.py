"""Outlier detection: which failures count against an endpoint, and from which score it is ejected.

Inputs are the ends of attempts and connections, failed health checks and late messages. Guards against a sick
endpoint that nobody drains, and, as the threshold follows the median, against ejecting all for a slow store.
"""

from __future__ import annotations

from onyxhollow.interface import AttemptOutcome
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import EJECTION_SCORE, TICK_SECONDS, PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

CERTAIN_SCORE = 3.0  # it sent a client away, or nobody listens there: once is enough
BROKEN_CONNECTION_SCORE = 0.3
OVERLOADED_SCORE = 0.5
FAILED_ATTEMPT_SCORE = 1.0
HARMLESS = (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)


def ejection_threshold(scores: list[float]) -> float:
    """Return the score above which an endpoint is ejected: twice the median, `EJECTION_SCORE` at least."""
    ordered = sorted(scores)
    return max(EJECTION_SCORE, 2.0 * ordered[len(ordered) // 2]) if ordered else EJECTION_SCORE


def record_failure(state: PolicyState, endpoint: TrackedEndpoint, amount: float) -> None:
    """Raise the endpoint's outlier score; at twice the ejection score its connections are migrated."""
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
    """Learn from how an attempt, or the connection it led to, ended after `took` seconds."""
    sent_away = outcome is AttemptOutcome.CANCELLED and session.established and not session.client_left
    if outcome in HARMLESS and not sent_away:
        return
    if not session.established:
        endpoint.handshake_time.add(max(took, session.listener.handshake_objective), state.host.now)
        if outcome is AttemptOutcome.TIMEOUT:
            state.handshake_time.add(took, state.host.now)
    if outcome is AttemptOutcome.OVERLOADED or (session.established and outcome is AttemptOutcome.RESET):
        endpoint.overloaded_at = state.host.now  # it sheds: refilled at once it would drop them again
    nobody_listens = outcome is AttemptOutcome.CONNECT_FAILED and took < TICK_SECONDS
    if sent_away or nobody_listens:
        amount = CERTAIN_SCORE
    elif session.established:
        amount = BROKEN_CONNECTION_SCORE
    elif outcome is AttemptOutcome.OVERLOADED:
        amount = OVERLOADED_SCORE
    else:
        amount = FAILED_ATTEMPT_SCORE
    state.record_failure(endpoint, amount)
