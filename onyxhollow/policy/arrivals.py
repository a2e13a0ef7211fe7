"""Arrivals: how an endpoint that starts or returns to service is brought to its fair share.

Inputs are its age, the mean number of own connections, latencies, and the slow-start budget. A cold endpoint
is not overloaded by new sessions, and a warm one is not left idle while sessions are rejected.
"""

from __future__ import annotations

from onyxhollow.interface import Endpoint
from onyxhollow.policy.estimators import stable_uniform
from onyxhollow.policy.handoff import mean_latency
from onyxhollow.policy.migration import StagedMigration
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint


def start_arrival(state: PolicyState, endpoint: TrackedEndpoint) -> None:
    """Start paced placements on an endpoint, up to this instance's fair share.

    The share is rounded at random, so that the placements of many instances add up to the fair share.
    """
    now = state.host.now
    fair_share = state.mean_connections * endpoint.size
    endpoint.migration = None
    endpoint.recorded_score = 0.0
    phase = (state.slow_start.phase + stable_uniform(endpoint.name)) % 1.0
    state.slow_start.tokens[endpoint] = (phase, now)
    endpoint.arrival = StagedMigration(int(fair_share + state.rng.random()))
    reason = "cold" if state.slow_start.warming_up(endpoint, now) else "back"
    state.host.log(f"arrival {endpoint.name}: {reason}, size {endpoint.size:g}, share {fair_share:.1f}")
    # Joins the subset with the probability that any other endpoint is in it, so that as many instances select
    # from the new endpoint as from each of the others.
    if state.rng.random() * len(state.endpoints) < len(state.subset) and endpoint not in state.subset:
        state.subset[state.rng.randrange(len(state.subset))] = endpoint


def is_arrival(
    state: PolicyState, entry: Endpoint, tracked: TrackedEndpoint | None, is_first_list: bool
) -> bool:
    """Return whether an entry in service is an arrival.

    It is one if it was not in service before, or if it has restarted and is cold.
    """
    if tracked is None:
        newly_in_service = not is_first_list
        started_before = None
    else:
        newly_in_service = tracked.state is not entry.state
        started_before = tracked.started_at
    if newly_in_service or entry.started_at == started_before:
        return newly_in_service
    age = state.host.now - entry.started_at if entry.started_at is not None else None
    return age is not None and age < state.slow_start.warm_up_time


def within_slow_start(state: PolicyState, endpoint: TrackedEndpoint, session: Session) -> bool:
    """Return whether staged pace and slow-start budget allow one more session on the endpoint."""
    arrival = endpoint.arrival
    if arrival is None:
        return True
    now = state.host.now
    is_cold = state.slow_start.warming_up(endpoint, now)
    if arrival.moved >= arrival.count and not is_cold:
        endpoint.arrival = None
        state.host.log(f"arrival {endpoint.name} ends: own connections {len(endpoint.connections)}")
        return True
    if now >= arrival.credited_at + 1.0:
        others = [s for s in state.subset if not s.arrival]
        allowed = arrival.allowance(mean_latency(state, others), endpoint.latency(now))
        arrival.credited_at = now
        arrival.credit = arrival.credit or max(1, allowed)
    # Queued sessions may exceed a warm endpoint's pace, as they would otherwise be rejected while it is idle.
    within_pace = arrival.credit > 0 or (session.was_queued and not is_cold)
    return within_pace and state.slow_start.refill(endpoint, state.connections_at_capacity, now) >= 1


def count_placement(state: PolicyState, endpoint: TrackedEndpoint) -> None:
    """Charge one session to an arriving endpoint's pace and slow-start budget."""
    if endpoint.arrival:
        endpoint.arrival.credit = max(0, endpoint.arrival.credit - 1)
        endpoint.arrival.moved += 1
        state.slow_start.spend(endpoint, state.connections_at_capacity, state.host.now)
