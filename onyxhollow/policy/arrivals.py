"""Arrivals: how an endpoint that starts or comes back is brought to its fair share.

Decides from its age, the mean of own connections, latencies, and the slow-start budget. Guards against a rush
on a cold endpoint, and against a warm one that stands idle while sessions are refused beside it.
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
    """Begin to ease in an endpoint; of many instances as many place one early as the fair share says."""
    now = state.host.now
    share = state.mean_connections * endpoint.size
    endpoint.migration = None
    endpoint.recorded_score = 0.0
    phase = (state.slow_start.phase + stable_uniform(endpoint.name)) % 1.0
    state.slow_start.tokens[endpoint] = (phase, now)
    endpoint.arrival = StagedMigration(int(share + state.rng.random()))
    why = "cold" if state.slow_start.warming_up(endpoint, now) else "back"
    state.host.log(f"arrival {endpoint.name}: {why}, size {endpoint.size:g}, share {share:.1f}")
    if state.rng.random() * len(state.endpoints) < len(state.subset) and endpoint not in state.subset:
        state.subset[state.rng.randrange(len(state.subset))] = endpoint  # in as many subsets as others are


def is_new(state: PolicyState, entry: Endpoint, known: TrackedEndpoint | None, first: bool) -> bool:
    """Return whether an entry in service is an arrival: not in service before, or started again and cold."""
    if known is None:
        joined = not first
        started_before = None
    else:
        joined = known.state is not entry.state
        started_before = known.started_at
    if joined or entry.started_at == started_before:
        return joined
    age = state.host.now - entry.started_at if entry.started_at is not None else None
    return age is not None and age < state.slow_start.warm_up_time


def within_slow_start(state: PolicyState, endpoint: TrackedEndpoint, session: Session) -> bool:
    """Return whether an arriving endpoint may get one more: by the staged pace and the slow-start budget."""
    arrival = endpoint.arrival
    if arrival is None:
        return True
    now = state.host.now
    cold = state.slow_start.warming_up(endpoint, now)
    if arrival.moved >= arrival.count and not cold:
        endpoint.arrival = None
        state.host.log(f"arrival {endpoint.name} ends: own connections {len(endpoint.connections)}")
        return True
    if now >= arrival.credited_at + 1.0:
        others = [s for s in state.subset if not s.arrival]
        allowed = arrival.allowance(mean_latency(state, others), endpoint.latency(now))
        arrival.credited_at = now
        arrival.credit = arrival.credit or max(1, allowed)
    due = arrival.credit > 0 or (session.was_queued and not cold)  # else refused beside an idle endpoint
    return due and state.slow_start.refill(endpoint, state.connections_at_capacity, now) >= 1


def count_placement(state: PolicyState, endpoint: TrackedEndpoint) -> None:
    """Charge one session to an arriving endpoint's pace and budget."""
    if endpoint.arrival:
        endpoint.arrival.credit = max(0, endpoint.arrival.credit - 1)
        endpoint.arrival.moved += 1
        state.slow_start.spend(endpoint, state.connections_at_capacity, state.host.now)
