"""Admission: which session is attempted now, waits in the overload queue, or is answered.

Decides from utility, tenants' quotas, the time left and whether any endpoint may take the session. Guards
against sessions held until their clients give up, and against a tenant over its quota crowding out others.
"""

from __future__ import annotations

from collections.abc import Hashable

from onyxhollow.interface import Listener, Tenant
from onyxhollow.policy import retry
from onyxhollow.policy.arrivals import count_placement
from onyxhollow.policy.estimators import ArrivalRate
from onyxhollow.policy.health_checks import check_guessed_full
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import PolicyState

MAX_GROUPS = 1024  # whose rates are counted
RETRY_AFTER_SPREAD = (0.3, 1.0)  # of the longest Retry-After that clients heed


def admit(
    state: PolicyState,
    token: Hashable,
    listener: Listener,
    tenant: Tenant | None,
    group: Hashable,
    time_left: float,
    load: float | None,
) -> Session:
    """Take a new session and decide on its first attempt.

    Args:
        state: of the instance.
        token: the host's own handle, handed back with each call.
        listener: what it asks for.
        tenant: whose quota it counts against.
        group: of sessions that share work on one endpoint.
        time_left: seconds until its client gives up.
        load: expected, core seconds a second; None if unknown.
    """
    now = state.host.now
    session = Session(state, token, listener, tenant, group, now + time_left, load)
    state.slow_start.record_arrival(now)
    if state.group_affinity:
        state.group_rates.setdefault(group, ArrivalRate(state.slow_start.since)).record_arrival(now)
        if len(state.group_rates) > MAX_GROUPS:
            del state.group_rates[next(iter(state.group_rates))]
    state.attempt(session)
    return session


def attempt(state: PolicyState, session: Session) -> None:
    """Start the session's next attempt, queue it, or answer it; nothing if it has an attempt or answer."""
    if session.answered or session.attempt_in_flight:
        return
    now = state.host.now
    left = session.deadline - state.host.now
    spent = retry.attempts_spent(session, state.endpoints, now)
    endpoint = None if spent else state.select(session)
    if endpoint is None or state.awaits_load_report(session, endpoint, now):
        if spent or now >= session.queue_until:
            state.finish(session)
        else:  # all are cold or full, or the list is empty
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
    session.occupy(endpoint)
    state.host.start_attempt(session.token, endpoint.name, state.attempt_timeout(session, left))


def attempt_timeout(state: PolicyState, session: Session, left: float) -> float:
    """Return the seconds for the attempt that starts now."""
    usual = state.handshake_time.fresh_value(state.host.now) or 0.0
    return retry.attempt_timeout(session, left, usual)


def finish(state: PolicyState, session: Session) -> None:
    """Answer a session that gets no further attempt: rejected with a Retry-After, or torn down."""
    session.answered = True
    if retry.may_reject(session):
        state.host.reject(session.token, state.max_retry_after * state.rng.uniform(*RETRY_AFTER_SPREAD))
    else:
        state.host.tear_down(session.token)


def serve_queue(state: PolicyState) -> None:
    """Attempt the sessions that wait, by priority; where connections are few until two found no place."""
    waiting = sorted(state.queue, key=lambda session: priority(state, session), reverse=True)
    state.queue = []
    for place, session in enumerate(waiting):
        if state.few_connections and len(state.queue) > 1:
            state.queue = waiting[place:] + state.queue
            break
        state.attempt(session)
    if state.queue and state.checks_per_session and not state.few_connections:
        check_guessed_full(state)


def priority(state: PolicyState, session: Session) -> tuple[bool, float]:
    """Return the sort key in the queue: due answers first, then utility, less for a tenant over its quota."""
    tenant = session.tenant
    over_quota = (
        tenant is not None
        and 0 < tenant.connection_quota < state.instance_count * state.own_connections[tenant.name]
    )
    factor = state.over_quota_utility if over_quota else 1
    return state.host.now >= session.queue_until, session.listener.utility * factor
