"""The subset: which endpoints of a large fleet this instance works with, and what it estimates from them.

Decides from own connections, the health checks that the price allows, and the endpoints' health. Guards
against spreading so thin that nothing is known of any endpoint, and against subsets that stay the same.
"""

from __future__ import annotations

import math

from onyxhollow.policy.load_reports import REPORT_LIFETIME
from onyxhollow.policy.outlier_detection import ejection_threshold
from onyxhollow.policy.state import PolicyState

MIN_SUBSET = 16  # endpoints; a fleet up to that is worked with whole
MAX_SUBSET = 64  # endpoints
REVIEW_INTERVAL = 0.5  # seconds between reviews of the subset
EXCHANGE_INTERVAL = 10.0  # seconds on average until the oldest member makes room
CONNECTIONS_PER_MEMBER = 4  # own connections for each endpoint of the subset
FEW_PER_ENDPOINT = 3.0  # own connections an endpoint that are mostly chance
LOCAL_LOAD_PER_PRICE = 10.0  # fleet's load per price of a zone crossing, under which affinity is local
MIN_KNOWN_LOAD = 0.25  # under which a reported load says too little of what fills an endpoint


def rebalance_subset(state: PolicyState) -> None:
    """Renew the subset, twice a second; no connection is moved by that."""
    if state.rng.random() < REVIEW_INTERVAL / EXCHANGE_INTERVAL and len(state.subset) < len(state.endpoints):
        state.subset.pop(0)
    state.redraw_subset()
    state.schedule(REVIEW_INTERVAL, lambda: rebalance_subset(state))


def redraw_subset(state: PolicyState) -> None:
    """Replace members that are gone, ejected or full by others drawn at random; refresh the estimates."""
    warm = [s for s in state.endpoints if not s.arrival]  # the rest would swell the slow-start budget
    own = sum(len(s.connections) for s in warm)
    state.total_size = sum(s.size for s in warm or state.endpoints) or 1.0
    # On a small fleet few own ones mean a fresh start, unless the list tells those of all instances.
    many = max(state.instance_count, len(state.endpoints)) > MIN_SUBSET or state.live_weights
    state.mean_connections = own / state.total_size
    state.few_connections = many and own <= FEW_PER_ENDPOINT * len(state.endpoints)
    checked = REPORT_LIFETIME * state.checks_per_session * state.slow_start.rate(state.host.now)
    breadth = min(MAX_SUBSET, max(MIN_SUBSET, math.ceil(checked), own // CONNECTIONS_PER_MEMBER))
    state.local = [s for s in warm if s.zone == state.zone] if state.few_connections else []
    if breadth >= len(state.endpoints):
        state.subset = list(state.endpoints)
    else:
        state.subset = [s for s in state.subset if state.eligible(s)]
        while len(state.subset) < breadth:
            endpoint = state.rng.choice(state.endpoints)
            if endpoint not in state.subset:
                state.subset.append(endpoint)
    state.refresh_health()


def refresh_health(state: PolicyState) -> None:
    """Compute again, of the subset, the ejection threshold, the eligible share and what fills an endpoint."""
    now = state.host.now
    subset = state.subset
    state.ejection_threshold = ejection_threshold([s.outlier_score(now) for s in subset])
    local_load = LOCAL_LOAD_PER_PRICE * state.cross_zone_price
    state.prefer_local = sum(s.size * (local_load - state.load_of(s)) for s in subset) > 0.0
    state.eligible_share = sum(map(state.eligible, subset)) / max(1, len(subset))
    known = [s for s in subset if not s.arrival and now - s.load_reported_at < REPORT_LIFETIME]
    load = sum(s.size * s.load for s in known) / sum(s.size for s in known) if known else 1.0
    full = state.total_size * state.mean_connections / max(MIN_KNOWN_LOAD, load)
    full = full or state.slow_start.rate(now) * state.slow_start.warm_up_time
    reported = state.checks_per_session or state.live_weights or known
    state.loads_unknown = state.own_quota > 0 and not reported
    # Few own connections are chance: then the own part of what tenants may hold says what fills the fleet.
    by_quota = (state.few_connections or state.loads_unknown) and state.own_quota
    state.connections_at_capacity = max(by_quota or full, 1.0) / state.total_size
