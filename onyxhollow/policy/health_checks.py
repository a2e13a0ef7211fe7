"""Health checks: when to request an endpoint's load, and whether its report is recent enough for placement.

Inputs are the price of a check, the arrival rate of sessions, and the age of reports. With few own
connections, which say little about load, sessions wait for a report. As all instances see the same report,
each claims the reported capacity only with a probability.
"""

from __future__ import annotations

from onyxhollow.interface import AttemptOutcome
from onyxhollow.policy.load_reports import FULL_LOAD, REPORT_LIFETIME_SECONDS
from onyxhollow.policy.outlier_detection import FAILED_ATTEMPT_SCORE
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import TICK_SECONDS, PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

MAX_REPORT_AGE_SECONDS = 1.0  # for placement with few own connections
REPORT_TIMEOUT_SECONDS = 0.1  # an endpoint without an answer by then is skipped
MAX_LOAD_REQUESTS = 4  # per session
OVERLOAD_RATE_FACTOR = 4.0  # applied to the check rate while an endpoint of the subset is overloaded
MIN_CHECKS_PER_SECOND = 0.2
OUTDATED_GROWTH_FACTOR = 1.5  # growth of own connections that makes a report outdated


def start_health_checks(state: PolicyState) -> None:
    """Start periodic health checks if the settings enable them and they are not running."""
    if state.checks_per_session and not state.checks_running:
        state.checks_running = True
        state.schedule(state.rng.uniform(0.5, 1.5), state.health_check_round)


def health_check_round(state: PolicyState) -> None:
    """Check the endpoint with the oldest check, failing ones sooner, and schedule the next round."""
    now = state.host.now
    state.checks_running = state.checks_per_session > 0.0
    if not state.checks_running:
        return
    rate = state.checks_per_session * state.slow_start.rate(now)
    if any(now - s.overloaded_at < REPORT_LIFETIME_SECONDS for s in state.subset):  # reports matter more then
        rate = max(rate, min(len(state.subset) / 2.0, OVERLOAD_RATE_FACTOR * rate))
    if state.subset:
        endpoint = max(state.subset, key=lambda s: (now - s.checked_at) * (1.0 + s.outlier_score(now)))
        endpoint.checked_at = now
        state.host.check_health(endpoint.name)
    state.schedule(1.0 / min(1.0 / TICK_SECONDS, max(rate, MIN_CHECKS_PER_SECOND)), state.health_check_round)


def check_presumed_full(state: PolicyState) -> None:
    """Check endpoints that are full only by an estimate based on many sessions since their report."""
    now = state.host.now
    for endpoint in state.subset:
        is_due = now - endpoint.checked_at >= 2 * REPORT_TIMEOUT_SECONDS
        is_outdated = len(endpoint.connections) > OUTDATED_GROWTH_FACTOR * endpoint.connections_at_report
        if is_due and is_outdated and endpoint.load < FULL_LOAD <= state.load_of(endpoint):
            endpoint.checked_at = now
            state.host.check_health(endpoint.name)


def awaits_load_report(state: PolicyState, session: Session, endpoint: TrackedEndpoint, now: float) -> bool:
    """Return whether the session must not be placed on the selected endpoint now.

    With few own connections a session needs a recent load report, and this instance must win a part of the
    reported capacity in the random draw of `may_claim_capacity`. An endpoint that does not answer in time, or
    whose draw is lost, is not eligible for a short time, as after a sign of overload.
    """
    if not state.few_connections or not state.checks_per_session:
        return False
    shared_is_recent = now - endpoint.shared_connections_at < REPORT_LIFETIME_SECONDS
    if now - endpoint.load_reported_at < (
        REPORT_LIFETIME_SECONDS if shared_is_recent else MAX_REPORT_AGE_SECONDS
    ):
        if may_claim_capacity(state, session, endpoint, now):
            return False
        endpoint.overloaded_at = now
    elif now - endpoint.checked_at >= MAX_REPORT_AGE_SECONDS and session.load_requests < MAX_LOAD_REQUESTS:
        session.load_requests += 1
        endpoint.checked_at = now
        state.host.check_health(endpoint.name)
    elif now - endpoint.checked_at >= REPORT_TIMEOUT_SECONDS:
        endpoint.overloaded_at = now
    return True


def may_claim_capacity(state: PolicyState, session: Session, endpoint: TrackedEndpoint, now: float) -> bool:
    """Return whether this instance may claim a part of the capacity, by a random draw.

    All instances see the same capacity; the draw prevents all of them from claiming it.
    """
    capacity = (FULL_LOAD - state.load_of(endpoint)) * state.connections_at_capacity * endpoint.size
    eligible_count = max(1.0, state.eligible_share * len(state.endpoints))
    expected_sessions = state.slow_start.rate(now) * MAX_REPORT_AGE_SECONDS / eligible_count
    if session.group in state.group_rates:  # sessions of a group all go to one endpoint
        expected_sessions = max(
            expected_sessions,
            state.group_rates[session.group].rate(now, excluded=1.0) * MAX_REPORT_AGE_SECONDS,
        )
    return state.rng.random() * expected_sessions <= capacity


def on_health_check(
    state: PolicyState,
    name: str,
    outcome: AttemptOutcome,
    took: float,  # noqa: ARG001 - hosts report it, but no decision uses it
    load: float | None,
    age: float = 0.0,
    connections: float | None = None,
) -> None:
    """Process the result of a health check, or the gossip estimate of an endpoint.

    Args:
        state: state of the instance.
        name: name of the endpoint; unlisted endpoints are ignored.
        outcome: how the check ended.
        took: duration of the check in seconds.
        load: load over capacity; None if not reported.
        age: seconds since the load was measured.
        connections: open connections of all instances; None if unknown.
    """
    endpoint = state.tracked.get(name)
    if endpoint and connections is not None and not state.live_weights:
        endpoint.shared_connections = connections / endpoint.size
        endpoint.shared_connections_at = state.host.now - age
    if endpoint and outcome is AttemptOutcome.OK and load is not None:
        state.record_load(endpoint, load, age)
    elif endpoint and outcome not in (AttemptOutcome.OK, AttemptOutcome.OVERLOADED):
        state.record_failure(endpoint, FAILED_ATTEMPT_SCORE)
    if state.few_connections:
        state.serve_queue()
