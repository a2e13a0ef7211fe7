"""Health checks: when to ask an endpoint for its load, and whether its report is recent enough to place by.

Decides from the price of a check, the rate of sessions, and the age of reports. Guards against placing by
chance where own connections say nothing, and against many instances that fill the same capacity at once.
"""

from __future__ import annotations

from onyxhollow.interface import AttemptOutcome
from onyxhollow.policy.load_reports import FULL_LOAD, REPORT_LIFETIME
from onyxhollow.policy.outlier_detection import FAILED_ATTEMPT_SCORE
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import TICK_SECONDS, PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

REPORT_AGE = 1.0  # seconds: the oldest report that is good enough to place by
REPORT_TIMEOUT = 0.1  # seconds for an endpoint to answer before it is passed over
MAX_REQUESTS = 4  # endpoints asked for one session
STRAINED_FACTOR = 4.0  # times the usual rate while one of the subset is overloaded
MIN_CHECK_RATE = 0.2  # checks a second
OUTDATING_GROWTH = 1.5  # of own connections since a report, by which it no longer says much


def start_rounds(state: PolicyState) -> None:
    """Begin the rounds of checks where the settings pay for them; again after a change of settings."""
    if state.checks_per_session and not state.checks_running:
        state.checks_running = True
        state.schedule(state.rng.uniform(0.5, 1.5), state.health_check_round)


def health_check_round(state: PolicyState) -> None:
    """Check the endpoint that went longest without, ejected ones sooner, and schedule the next round."""
    now = state.host.now
    state.checks_running = state.checks_per_session > 0.0
    if not state.checks_running:
        return
    rate = state.checks_per_session * state.slow_start.rate(now)
    if any(now - s.overloaded_at < REPORT_LIFETIME for s in state.subset):  # reports are worth more then
        rate = max(rate, min(len(state.subset) / 2.0, STRAINED_FACTOR * rate))
    if state.subset:
        endpoint = max(state.subset, key=lambda s: (now - s.checked_at) * (1.0 + s.outlier_score(now)))
        endpoint.checked_at = now
        state.host.check_health(endpoint.name)
    state.schedule(1.0 / min(1.0 / TICK_SECONDS, max(rate, MIN_CHECK_RATE)), state.health_check_round)


def check_guessed_full(state: PolicyState) -> None:
    """Check endpoints that are full by a guess alone, as many sessions came since their report."""
    now = state.host.now
    for s in state.subset:
        due = now - s.checked_at >= 2 * REPORT_TIMEOUT
        grown = len(s.connections) > OUTDATING_GROWTH * s.connections_at_report
        if due and grown and s.load < FULL_LOAD <= state.load_of(s):
            s.checked_at = now
            state.host.check_health(s.name)


def awaits_load_report(state: PolicyState, session: Session, endpoint: TrackedEndpoint, now: float) -> bool:
    """Return whether the session must wait for a report of the endpoint selected, or pass it over.

    Only where own connections are few; one that stays silent is passed over.
    """
    if not state.few_connections or not state.checks_per_session:
        return False
    shared = now - endpoint.shared_connections_at < REPORT_LIFETIME
    if now - endpoint.load_reported_at < (REPORT_LIFETIME if shared else REPORT_AGE):
        if wins_capacity(state, session, endpoint, now):
            return False
        endpoint.overloaded_at = now
    elif now - endpoint.checked_at >= REPORT_AGE and session.load_requests < MAX_REQUESTS:
        session.load_requests += 1
        endpoint.checked_at = now
        state.host.check_health(endpoint.name)
    elif now - endpoint.checked_at >= REPORT_TIMEOUT:
        endpoint.overloaded_at = now
    return True


def wins_capacity(state: PolicyState, session: Session, endpoint: TrackedEndpoint, now: float) -> bool:
    """Return by chance whether this instance takes part of the capacity that all others see as well."""
    capacity = (FULL_LOAD - state.load_of(endpoint)) * state.connections_at_capacity * endpoint.size
    takers = max(1.0, state.eligible_share * len(state.endpoints))
    crowd = state.slow_start.rate(now) * REPORT_AGE / takers
    if session.group in state.group_rates:  # those of a group all go to one endpoint
        crowd = max(crowd, state.group_rates[session.group].rate(now, less=1.0) * REPORT_AGE)
    return state.rng.random() * crowd <= capacity


def on_health_check(
    state: PolicyState,
    name: str,
    outcome: AttemptOutcome,
    took: float,  # noqa: ARG001 - hosts report it; no decision needs it so far
    load: float | None,
    age: float = 0.0,
    connections: float | None = None,
) -> None:
    """Take in a health check's result, or what gossip knows of an endpoint.

    Args:
        state: of the instance.
        name: of the endpoint; one that is not in the list is left out.
        outcome: how the check ended.
        took: seconds until it ended.
        load: load over capacity, None if not reported.
        age: seconds since that load was measured.
        connections: open ones of all instances, where they are known.
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
