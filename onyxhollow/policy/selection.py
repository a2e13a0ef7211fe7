"""Selection: the cheapest, by own connections per size, of two random endpoints and the affinity endpoint.

Inputs are own connections, reported loads, outlier scores, zones, and the affinity ring of groups. Random
choice prevents all instances from filling the same endpoint at once. Affinity keeps a group from spreading
over the fleet, which would repeat its shared work on every endpoint. The cost of a selection does not grow
with the fleet.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Hashable, Iterable, Iterator
from random import Random

from onyxhollow.interface import EndpointState, Idempotency
from onyxhollow.policy.estimators import stable_uniform
from onyxhollow.policy.load_reports import FULL_LOAD, REPORT_LIFETIME_SECONDS
from onyxhollow.policy.session import OVERLOAD_BLOCK_SECONDS, Session
from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.subset import FEW_CONNECTIONS_PER_ENDPOINT, MIN_SUBSET
from onyxhollow.policy.tracked import TrackedEndpoint

IN_SERVICE = EndpointState.IN_SERVICE  # a lookup in an enum takes longer, and each selection makes many
MAX_AFFINITY_POSITIONS = 8  # ring positions searched for a group's endpoint
MAX_SKIPPED_ARRIVALS = 2  # arriving endpoints without a slow-start token that end the search
MAX_LOCAL_AFFINITY_LOAD = 0.45  # load below which an endpoint of the own zone is preferred
REMOTE_COST_FACTOR = 1.3  # for other zones, while own connections are few
NEW_GROUP_COST = 0.35  # of a group without sessions on the endpoint, as a share of its capacity
UNREPORTED_GROUP_FACTOR = 3  # applied to NEW_GROUP_COST if no load report will include the group
UNREPORTED_OVERLOAD_FACTOR = 3  # applied to OVERLOAD_BLOCK_SECONDS if no load report will show the end
LOCAL_SAMPLE_SIZE = 4  # endpoints of the own zone in the selection pool of a large subset
# Up to these sizes, `Random.sample` draws from a copy of the population.
MAX_TINY_SAMPLE = 5
MAX_COPIED_ENDPOINTS = 21  # for samples of up to MAX_TINY_SAMPLE
MAX_COPIED_ENDPOINTS_FOR_LARGER_SAMPLE = 85  # for samples of 6 to 21


def eligible(state: PolicyState, endpoint: TrackedEndpoint, session: Session | None = None) -> bool:
    """Return whether the endpoint may get new sessions; with `session`, whether it may get this one."""
    # A selection makes dozens of these calls, so that the conditions are ordered by their cost.
    now = state.host.now
    return (
        endpoint.state is IN_SERVICE
        and now - endpoint.overloaded_at
        >= OVERLOAD_BLOCK_SECONDS * (UNREPORTED_OVERLOAD_FACTOR if state.loads_unknown else 1)
        and (not endpoint.recorded_score or endpoint.outlier_score(now) <= state.ejection_threshold)
        and not (
            session
            and (
                endpoint.migration or (session.may_have_run_on and not session.may_attempt_at(endpoint, now))
            )
        )
        and state.load_of(endpoint) < FULL_LOAD
    )


def cost(
    state: PolicyState, endpoint: TrackedEndpoint, group: Hashable, affinity: TrackedEndpoint | None
) -> float:
    """Return the cost of a placement.

    This is the number of own connections per size, with an extra cost for a group new to the endpoint, raised
    by the outlier score.
    """
    now = state.host.now
    capacity = state.connections_at_capacity
    arrival = endpoint.arrival
    if endpoint.ever_used or (arrival and arrival.moved < arrival.count):
        own_connections: float = len(endpoint.connections)
    else:
        own_connections = state.mean_connections * endpoint.size
    if now - endpoint.shared_connections_at < REPORT_LIFETIME_SECONDS:
        calibration = state.load_calibration.get(endpoint.machine_type)
        if calibration:  # the connections of all instances are known
            capacity = capacity if state.live_weights else calibration[0] / max(calibration[1], 1e-6)
            own_connections = state.load_of(endpoint) * capacity * endpoint.size
    if state.group_affinity and group is not None and endpoint is not affinity:
        if all(session.group != group for session in endpoint.connections):
            factor = UNREPORTED_GROUP_FACTOR if state.loads_unknown else 1
            own_connections += (
                NEW_GROUP_COST * (capacity * endpoint.size + FEW_CONNECTIONS_PER_ENDPOINT) * factor
            )
    # With few own connections, endpoints of other zones and arriving ones count as remote.
    remote = state.few_connections and endpoint is not affinity and endpoint not in state.local_set
    score = 1.0 + endpoint.outlier_score(now)
    return (own_connections + 1.0) / endpoint.size * score * (REMOTE_COST_FACTOR if remote else 1.0)


def candidates(
    state: PolicyState, endpoints: Iterable[TrackedEndpoint], session: Session
) -> list[TrackedEndpoint]:
    """Return the endpoints that may get this session now."""
    eligible = state.eligible
    return [
        s
        for s in endpoints
        if eligible(s, session) and (s.arrival is None or state.within_slow_start(s, session))
    ]


def affinity_endpoint(state: PolicyState, session: Session) -> TrackedEndpoint | None:
    """Return the endpoint of the group's last placement, or without groups of the last one of any session.

    Placements on arriving endpoints do not count. For a group without a last placement this is the first
    eligible endpoint from the group's position on the ring, which is the same at all instances without
    communication.
    """
    group = session.group if state.group_affinity else None
    last_endpoint = state.affinity.get(group)
    if group is None:
        # With few own connections the last placement is a random choice, or the choice of all instances.
        return None if state.few_connections else last_endpoint
    if last_endpoint and state.eligible(last_endpoint, session):
        return last_endpoint
    first_position = bisect(state.ring, (stable_uniform(group), 0))
    offsets = range(min(MAX_AFFINITY_POSITIONS, len(state.ring)))
    ring_endpoints = (
        state.endpoints[state.ring[(first_position + offset) % len(state.ring)][1]] for offset in offsets
    )
    usable = affinity_candidates(state, ring_endpoints, session)
    first_usable = next(usable, None)
    if first_usable is None or not state.prefer_local or state.loads_unknown:
        return first_usable
    local_endpoints = (
        s
        for s in (first_usable, *usable)
        if s.zone == state.zone and state.load_of(s) < MAX_LOCAL_AFFINITY_LOAD
    )
    return next(local_endpoints, first_usable)


def affinity_candidates(
    state: PolicyState, ring: Iterable[TrackedEndpoint], session: Session
) -> Iterator[TrackedEndpoint]:
    """Yield the endpoints that a group may use now, in ring order.

    Arriving endpoints are included as far as their slow start allows. Otherwise, after many endpoints have
    been replaced at once, their groups would overload the remaining ones. If slow-start tokens are rare, a
    different arriving endpoint has one at each time, and the group's shared work would be repeated on all of
    them. The search therefore ends after `MAX_SKIPPED_ARRIVALS` endpoints without a token.
    """
    skipped = 0
    for endpoint in dict.fromkeys(ring):
        if not state.eligible(endpoint, session):
            continue
        if state.within_slow_start(endpoint, session):
            yield endpoint
            continue
        skipped += 1
        if skipped == MAX_SKIPPED_ARRIVALS:
            return


def select(state: PolicyState, session: Session) -> TrackedEndpoint | None:
    """Return the endpoint for the next attempt, or None if none may get the session now."""
    affinity = state.affinity_endpoint(session)
    if affinity is None and session.group is not None and state.group_affinity and state.few_connections:
        return None  # spreading the group would repeat its shared work and so prolong the overload
    pool = candidates(state, selection_pool(state, session), session)
    if session.attempted:
        pool = [s for s in pool if s not in session.attempted] or pool
    arriving = [s for s in pool if s.arrival and s.arrival.moved < s.arrival.count]
    others = [s for s in pool if s not in arriving] if arriving else pool
    session.sampled = candidates(state, session.sampled, session) or sample_endpoints(state, others)
    affinity_option: Iterable[TrackedEndpoint] = ()
    if affinity and affinity not in session.attempted:
        affinity_option = candidates(state, [affinity], session)
    options = (*affinity_option, *arriving, *session.sampled)
    return min(options, key=lambda s: cost(state, s, session.group, affinity), default=None)


def selection_pool(state: PolicyState, session: Session) -> list[TrackedEndpoint]:
    """Return the endpoints to draw from: the subset, or a sample of it if it is large.

    A session that may have run and is not idempotent may be limited to few endpoints, so it draws from all.
    """
    may_have_run = session.may_have_run_on is not None
    if may_have_run and session.listener.idempotency is not Idempotency.IDEMPOTENT:
        return state.endpoints
    if len(state.subset) <= MIN_SUBSET:
        return state.subset
    local_count = min(LOCAL_SAMPLE_SIZE, len(state.local_endpoints))
    local_endpoints = sample(state.rng, state.local_endpoints, local_count)
    return local_endpoints + sample(state.rng, state.subset, MIN_SUBSET // 2)


def sample_endpoints(state: PolicyState, others: list[TrackedEndpoint]) -> list[TrackedEndpoint]:
    """Draw two endpoints at random, or with few own connections two local ones and one of any zone.

    Few own connections say less about the cost of an endpoint than its zone does.
    """
    if not state.local_set:
        return sample(state.rng, others, min(2, len(others)))
    local_endpoints = [s for s in others if s in state.local_set]
    drawn = sample(state.rng, local_endpoints, min(2, len(local_endpoints)))
    return drawn + sample(state.rng, others, min(1 if local_endpoints else 2, len(others)))


def sample(rng: Random, endpoints: list[TrackedEndpoint], count: int) -> list[TrackedEndpoint]:
    """Return the endpoints that `rng.sample` returns, in less time for the small samples of a selection.

    The generator is used in the same way, so that a seed gives the same selections with both.
    """
    size = len(endpoints)
    if not count:
        return []
    if size > (MAX_COPIED_ENDPOINTS if count <= MAX_TINY_SAMPLE else MAX_COPIED_ENDPOINTS_FOR_LARGER_SAMPLE):
        return rng.sample(endpoints, count)
    draw_bits = rng.getrandbits
    remaining = endpoints.copy()
    drawn = []
    for remaining_count in range(size, size - count, -1):
        bits = remaining_count.bit_length()
        index = draw_bits(bits)
        while index >= remaining_count:
            index = draw_bits(bits)
        drawn.append(remaining[index])
        remaining[index] = remaining[remaining_count - 1]
    return drawn
