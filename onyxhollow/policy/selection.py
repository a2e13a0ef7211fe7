"""Selection: the cheaper, by own connections per size, of two random endpoints and the remembered best.

Decides from own connections, reported loads, outlier scores, zones, and the ring on which groups have their
place. Guards against all instances filling the same endpoint at once, against groups strewn over the fleet,
whose shared work is then paid for everywhere, and against work for one attempt that grows with the fleet.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Hashable, Iterable, Iterator

from onyxhollow.interface import EndpointState, Idempotency
from onyxhollow.policy.estimators import stable_uniform
from onyxhollow.policy.load_reports import FULL_LOAD, REPORT_LIFETIME
from onyxhollow.policy.session import OVERLOAD_MEMORY, Session
from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.subset import FEW_PER_ENDPOINT, MIN_SUBSET
from onyxhollow.policy.tracked import TrackedEndpoint

AFFINITY_POSITIONS = 8  # places on the ring, from a group's own on, where it may have its endpoint
MAX_PASSED_OVER = 2  # arriving endpoints that a group does not wait for
LOCAL_AFFINITY_LOAD = 0.45  # load up to which an endpoint of the own zone goes first
REMOTE_FACTOR = 1.3  # what an endpoint elsewhere costs, where own connections are few
NEW_GROUP_COST = 0.35  # of a group new to an endpoint, in the connections that fill it
UNREPORTED_GROUP_FACTOR = 3  # times that, where no report will show it
UNREPORTED_OVERLOAD_FACTOR = 3  # times `OVERLOAD_MEMORY`, where no report says when overload is over
LOCAL_SAMPLE = 4  # endpoints of the own zone drawn from a large subset


def eligible(state: PolicyState, endpoint: TrackedEndpoint, session: Session | None = None) -> bool:
    """Return whether the endpoint may get something new; with a session, whether it may get this one."""
    now = state.host.now
    return (
        endpoint.state is EndpointState.IN_SERVICE
        and state.load_of(endpoint) < FULL_LOAD
        and now - endpoint.overloaded_at
        >= OVERLOAD_MEMORY * (UNREPORTED_OVERLOAD_FACTOR if state.loads_unknown else 1)
        and endpoint.outlier_score(now) <= state.ejection_threshold
        and not (session and (endpoint.migration or not session.may_attempt_at(endpoint, now)))
    )


def cost(
    state: PolicyState, endpoint: TrackedEndpoint, group: Hashable, affinity: TrackedEndpoint | None
) -> float:
    """Return own connections per size, a group new there counted in, raised by the outlier score."""
    now = state.host.now
    full = state.connections_at_capacity
    arrival = endpoint.arrival
    if endpoint.ever_used or (arrival and arrival.moved < arrival.count):
        own: float = len(endpoint.connections)
    else:
        own = state.mean_connections * endpoint.size
    if now - endpoint.shared_connections_at < REPORT_LIFETIME:
        calibration = state.load_calibration.get(endpoint.machine_type)
        if calibration:  # the connections of all instances are known
            full = full if state.live_weights else calibration[0] / max(calibration[1], 1e-6)
            own = state.load_of(endpoint) * full * endpoint.size
    if state.group_affinity and group is not None and endpoint is not affinity:
        if all(session.group != group for session in endpoint.connections):
            factor = UNREPORTED_GROUP_FACTOR if state.loads_unknown else 1
            own += NEW_GROUP_COST * (full * endpoint.size + FEW_PER_ENDPOINT) * factor
    remote = state.few_connections and endpoint not in (affinity, *state.local)  # a crossing, or still cold
    score = 1.0 + endpoint.outlier_score(now)
    return (own + 1.0) / endpoint.size * score * (REMOTE_FACTOR if remote else 1.0)


def candidates(
    state: PolicyState, endpoints: Iterable[TrackedEndpoint], session: Session
) -> Iterator[TrackedEndpoint]:
    """Yield those that may get this session now."""
    return (s for s in endpoints if state.eligible(s, session) and state.within_slow_start(s, session))


def affinity_endpoint(state: PolicyState, session: Session) -> TrackedEndpoint | None:
    """Return the remembered best, of all or of the session's group.

    For a group not met yet it is the first eligible one from the group's place on the ring: the same at all
    instances, without a word between them.
    """
    group = session.group if state.group_affinity else None
    known = state.affinity.get(group)
    if group is None:  # with few connections it is chance, or what all pick
        return None if state.few_connections else known
    if known and state.eligible(known, session):
        return known
    at = bisect(state.ring, (stable_uniform(group), 0))
    steps = range(min(AFFINITY_POSITIONS, len(state.ring)))
    places = (state.endpoints[state.ring[(at + step) % len(state.ring)][1]] for step in steps)
    usable = affinity_candidates(state, places, session)
    first = next(usable, None)
    if first is None or not state.prefer_local or state.loads_unknown:
        return first
    near = (s for s in (first, *usable) if s.zone == state.zone and state.load_of(s) < LOCAL_AFFINITY_LOAD)
    return next(near, first)


def affinity_candidates(
    state: PolicyState, ring: Iterable[TrackedEndpoint], session: Session
) -> Iterator[TrackedEndpoint]:
    """Yield where a group may meet now, arriving endpoints too as far as their pace goes.

    Without these the groups of endpoints replaced at once would fill those left over. Where turns to send to
    them come seldom another one has a turn at each time, and the group's work would be paid for at all of
    them: only `MAX_PASSED_OVER` are passed over for want of a turn.
    """
    passed_over = 0
    for endpoint in dict.fromkeys(ring):
        if not state.eligible(endpoint, session):
            continue
        if state.within_slow_start(endpoint, session):
            yield endpoint
            continue
        passed_over += 1
        if passed_over == MAX_PASSED_OVER:
            return


def select(state: PolicyState, session: Session) -> TrackedEndpoint | None:
    """Return the endpoint for the next attempt, None if none may take it now."""
    affinity = state.affinity_endpoint(session)
    if affinity is None and session.group is not None and state.group_affinity and state.few_connections:
        return None  # strewn, each group's work is paid for everywhere: a jam that feeds itself
    pool = list(candidates(state, selection_pool(state, session), session))
    pool = [s for s in pool if s not in session.attempted] or pool
    arriving = [s for s in pool if s.arrival and s.arrival.moved < s.arrival.count]
    rest = [s for s in pool if s not in arriving]
    session.sampled = list(candidates(state, session.sampled, session)) or sample_two(state, rest)
    best: Iterable[TrackedEndpoint] = ()
    if affinity and affinity not in session.attempted:
        best = candidates(state, [affinity], session)
    options = (*best, *arriving, *session.sampled)
    return min(options, key=lambda s: cost(state, s, session.group, affinity), default=None)


def selection_pool(state: PolicyState, session: Session) -> list[TrackedEndpoint]:
    """Return the endpoints to draw from: the subset, a sample of a large one, or all for a bound session."""
    bound = session.may_have_run_on is not None
    if bound and session.listener.idempotency is not Idempotency.IDEMPOTENT:
        return state.endpoints
    if len(state.subset) <= MIN_SUBSET:
        return state.subset
    local = state.rng.sample(state.local, min(LOCAL_SAMPLE, len(state.local)))
    return local + state.rng.sample(state.subset, MIN_SUBSET // 2)


def sample_two(state: PolicyState, rest: list[TrackedEndpoint]) -> list[TrackedEndpoint]:
    """Draw two at random; where own connections are few, and say less than a zone, two local and one."""
    local = [s for s in rest if s in state.local]
    drawn = state.rng.sample(local, min(2, len(local)))
    return drawn + state.rng.sample(rest, min(1 if local else 2, len(rest)))
