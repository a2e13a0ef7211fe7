"""Admission: whether a session is attempted now, waits in the overload queue, or is answered.

Inputs are utility, tenants' quotas, the time left and whether any endpoint is eligible. Sessions do not wait
in the queue until their clients give up, and a tenant over its quota does not displace others.
"""

from __future__ import annotations

from collections.abc import Hashable

from onyxhollow.interface import Listener, Tenant
from onyxhollow.policy import retry
from onyxhollow.policy.arrivals import count_placement
from onyxhollow.policy.estimators import ArrivalRate
from onyxhollow.policy.health_checks import check_presumed_full
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import PolicyState

MAX_GROUP_RATES = 1024  # groups whose arrival rates are stored
RETRY_AFTER_RANGE = (0.3, 1.0)  # drawn at random, as a share of the longest Retry-After


def admit(
    state: PolicyState,
    token: Hashable,
    listener: Listener,
    tenant: Tenant | None,
    group: Hashable,
    time_left: float,
    load: float | None,
) -> Session:
    """Create a new session and decide on its first attempt.

    Args:
        state: state of the instance.
        token: the host's handle, returned with each call to the host.
        listener: the requested listener.
        tenant: the tenant whose quota the session counts against.
        group: the group of sessions that share work on one endpoint.
        time_left: seconds until the client gives up.
        load: expected load in core seconds per second; None if unknown.
    """
    now = state.host.now
    session = Session(state, token, listener, tenant, group, now + time_left, load)
    state.slow_start.record_arrival(now)
    if state.group_affinity:
        state.group_rates.setdefault(group, ArrivalRate(state.slow_start.since)).record_arrival(now)
        if len(state.group_rates) > MAX_GROUP_RATES:
            del state.group_rates[next(iter(state.group_rates))]
    state.attempt(session)
    return session


def attempt(state: PolicyState, session: Session) -> None:
    """Start the session's next attempt, queue it, or answer it.

    A session that is answered or has an attempt in flight is left unchanged.
    """
    if session.answered or session.attempt_in_flight:
        return
    now = state.host.now
    time_left = session.deadline - state.host.now
    exhausted = retry.is_exhausted(session, state.endpoints, now)
    endpoint = None if exhausted else state.select(session)
    if endpoint is None or state.awaits_load_report(session, endpoint, now):
        if exhausted or now >= session.queue_deadline:
            state.finish(session)
        else:  # all endpoints are cold or full, or the list is empty
            session.was_queued = True
            state.queue.append(session)
        return
    if endpoint.arrival:
        count_placement(state, endpoint)
    else:
        state.affinity[session.group if state.group_affinity else None] = endpoint
    session.endpoint = endpoint
    session.placed_here = True
    session.attempt_in_flight = True
    session.sampled = []
    session.attempted.append(endpoint)
    if not session.may_have_run_on:
        session.may_have_run_since = now
    session.count_on_endpoint(endpoint)
    state.host.start_attempt(session.token, endpoint.name, state.attempt_timeout(session, time_left))


def attempt_timeout(state: PolicyState, session: Session, time_left: float) -> float:
    """Return the timeout in seconds of an attempt that starts now."""
    average_handshake = state.handshake_time.fresh_value(state.host.now) or 0.0
    return retry.attempt_timeout(session, time_left, average_handshake)


def finish(state: PolicyState, session: Session) -> None:
    """Answer a session that gets no further attempt: reject it with a Retry-After, or tear it down."""
    session.answered = True
    if retry.may_reject(session):
        state.host.reject(session.token, state.max_retry_after * state.rng.uniform(*RETRY_AFTER_RANGE))
    else:
        state.host.tear_down(session.token)


def serve_queue(state: PolicyState) -> None:
    """Attempt the queued sessions by priority.

    With few own connections this stops after two sessions could not be placed.
    """
    waiting = sorted(state.queue, key=lambda session: priority(state, session), reverse=True)
    state.queue = []
    for index, session in enumerate(waiting):
        if state.few_connections and len(state.queue) > 1:
            state.queue = waiting[index:] + state.queue
            break
        state.attempt(session)
    if state.queue and state.checks_per_session and not state.few_connections:
        check_presumed_full(state)


def priority(state: PolicyState, session: Session) -> tuple[bool, float]:
    """Return the sort key in the queue.

    Sessions past their queue deadline come first, then those of higher utility, which is reduced for a tenant
    over its quota.
    """
    tenant = session.tenant
    is_over_quota = (
        tenant is not None
        and 0 < tenant.connection_quota < state.instance_count * state.own_connections[tenant.name]
    )
    utility_factor = state.over_quota_utility if is_over_quota else 1
    return state.host.now >= session.queue_deadline, session.listener.utility * utility_factor
