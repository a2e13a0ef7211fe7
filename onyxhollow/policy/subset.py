"""The subset: the endpoints of a large fleet that this instance selects from, and estimates based on them.

Inputs are own connections, the affordable rate of health checks, and the endpoints' health. The subset is
small enough to have recent data on each endpoint, and changes over time.
"""

from __future__ import annotations

import math

from onyxhollow.policy.load_reports import REPORT_LIFETIME_SECONDS, SHED_LOAD
from onyxhollow.policy.outlier_detection import ejection_threshold
from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

MIN_SUBSET = 16  # endpoints; fleets up to this size are used whole
MAX_SUBSET = 64  # endpoints
REBALANCE_SECONDS = 0.5  # between updates of the subset
REPLACEMENT_SECONDS = 10.0  # mean time until the oldest endpoint of the subset is replaced
CONNECTIONS_PER_ENDPOINT = 4  # own connections per endpoint of the subset
FEW_CONNECTIONS_PER_ENDPOINT = 3.0  # up to this mean, differences in own connections are mostly chance
LOCAL_LOAD_PER_PRICE = 10.0  # fleet load below which affinity is local, per unit of the cross-zone price
MIN_USABLE_LOAD = 0.25  # lower reported loads say too little about the capacity and are raised to this


def rebalance_subset(state: PolicyState) -> None:
    """Update the subset and schedule the next update; no connection is migrated by this."""
    if state.rng.random() < REBALANCE_SECONDS / REPLACEMENT_SECONDS and len(state.subset) < len(
        state.endpoints
    ):
        state.subset.pop(0)
    state.redraw_subset()
    state.schedule(REBALANCE_SECONDS, lambda: rebalance_subset(state))


def redraw_subset(state: PolicyState) -> None:
    """Replace ineligible endpoints of the subset by others drawn at random, and update the estimates."""
    # Arriving endpoints are left out: they would inflate the slow-start budget.
    warm = [s for s in state.endpoints if not s.arrival]
    own_count = sum(len(s.connections) for s in warm)
    state.total_size = sum(s.size for s in warm or state.endpoints) or 1.0
    # In a small fleet few own connections only mean that the instance has just started, unless the list
    # reports the connections of all instances.
    is_large_fleet = max(state.instance_count, len(state.endpoints)) > MIN_SUBSET or state.live_weights
    state.mean_connections = own_count / state.total_size
    state.few_connections = is_large_fleet and own_count <= FEW_CONNECTIONS_PER_ENDPOINT * len(
        state.endpoints
    )
    checkable = REPORT_LIFETIME_SECONDS * state.checks_per_session * state.slow_start.rate(state.host.now)
    subset_size = min(
        MAX_SUBSET,
        max(MIN_SUBSET, math.ceil(checkable), own_count // CONNECTIONS_PER_ENDPOINT),
    )
    state.local_endpoints = [s for s in warm if s.zone == state.zone] if state.few_connections else []
    state.local_set = frozenset(state.local_endpoints)
    if subset_size >= len(state.endpoints):
        state.subset = list(state.endpoints)
    else:
        state.subset = [s for s in state.subset if state.eligible(s)]
        while len(state.subset) < subset_size:
            endpoint = state.rng.choice(state.endpoints)
            if endpoint not in state.subset:
                state.subset.append(endpoint)
    state.refresh_health()


def connections_at_full_load(state: PolicyState, reporting: list[TrackedEndpoint]) -> float:
    """Return the own connections per size that make a load of 1, from the recent load reports.

    An endpoint that hangs or is overloaded reports a load that its connections do not explain. Such endpoints
    are left out, unless this instance has no connections on the others.
    """
    connections = state.mean_connections * state.total_size
    size = state.total_size
    healthy = [s for s in reporting if s.load < SHED_LOAD]
    overloaded = [s for s in reporting if s.load >= SHED_LOAD]
    healthy_connections = connections - sum(len(s.connections) for s in overloaded)
    if healthy and healthy_connections > 0.0:
        reporting = healthy
        connections = healthy_connections
        # An endpoint whose arrival has ended since the last redraw is not in the total.
        size = max(size - sum(s.size for s in overloaded), sum(s.size for s in healthy))
    load = sum(s.size * s.load for s in reporting) / sum(s.size for s in reporting) if reporting else 1.0
    return connections / size / max(MIN_USABLE_LOAD, load)


def refresh_health(state: PolicyState) -> None:
    """Update the ejection threshold, the eligible share and the capacity estimate from the subset."""
    now = state.host.now
    subset = state.subset
    state.ejection_threshold = ejection_threshold([s.outlier_score(now) for s in subset])
    local_load = LOCAL_LOAD_PER_PRICE * state.cross_zone_price
    state.prefer_local = sum(s.size * (local_load - state.load_of(s)) for s in subset) > 0.0
    state.eligible_share = sum(map(state.eligible, subset)) / max(1, len(subset))
    reporting = [s for s in subset if not s.arrival and now - s.load_reported_at < REPORT_LIFETIME_SECONDS]
    capacity = state.total_size * connections_at_full_load(state, reporting)
    capacity = capacity or state.slow_start.rate(now) * state.slow_start.warm_up_time
    is_load_reported = state.checks_per_session or state.live_weights or reporting
    state.loads_unknown = state.own_quota > 0 and not is_load_reported
    # With few own connections the estimate above is mostly chance, so the own quota gives the capacity.
    capacity_by_quota = (state.few_connections or state.loads_unknown) and state.own_quota
    state.connections_at_capacity = max(capacity_by_quota or capacity, 1.0) / state.total_size
