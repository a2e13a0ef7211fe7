"""The endpoint list: what its answers change, how large an endpoint is, and when to poll again.

Decides from the list's entries and failures. Guards against placing on an endpoint that drains or is gone,
against a weight that moves with load being taken for a size, and against instances that poll in step.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from onyxhollow.interface import Endpoint, EndpointListKind, EndpointState
from onyxhollow.policy.arrivals import is_new, start_arrival
from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

MAX_BACKOFF = 4.0  # seconds until the list is polled again: 6 s after a change it counts as notified
MAX_BACKOFF_PART = 0.6  # of the poll interval, likewise
MAX_DOUBLINGS = 9  # of the backoff
UNITS_PER_LARGEST = 4  # ring units in the largest machine type, where weights are live


def poll_if_due(state: PolicyState) -> None:
    """Poll the list when it is due; no answer at all counts as a failure."""
    if state.poll_needed and state.host.now >= state.poll_at:
        state.poll_at = state.host.now + state.max_poll_interval / 2
        state.host.poll_endpoint_list()


def on_endpoint_list(state: PolicyState, kind: EndpointListKind, entries: Iterable[Endpoint]) -> None:
    """Take in an answer of the endpoint list, or its failure."""
    if kind is EndpointListKind.FAILED:
        on_list_failure(state)
        return
    if kind is not EndpointListKind.CACHED:
        if state.list_failures:
            state.host.log(f"list watched: failures before {state.list_failures}")
        state.poll_needed = False
        state.list_failures = 0
    entries = list(entries)
    learn_sizes(state, entries)
    first = not state.tracked
    missing = set(state.tracked) if kind is not EndpointListKind.DELTA else set()
    for entry in entries:
        missing.discard(entry.name)
        on_endpoint_update(state, entry, first)
    for name in sorted(missing):
        state.withdraw(state.tracked[name], EndpointState.REMOVED)
    state.endpoints = [s for s in state.tracked.values() if s.state is EndpointState.IN_SERVICE]
    if state.live_weights:
        unit = max(state.largest_weights.values(), default=1.0) / UNITS_PER_LARGEST
        for endpoint in state.endpoints:
            endpoint.set_size(state.largest_weights.get(endpoint.machine_type, endpoint.size), unit)
    state.ring = sorted((at, n) for n, s in enumerate(state.endpoints) for at in s.ring_positions)
    state.redraw_subset()


def on_list_failure(state: PolicyState) -> None:
    """Poll again after a backoff: long, growing and spread, as all instances lose the list at once."""
    state.poll_needed = True
    state.list_failures += 1
    part = state.poll_spread / 4
    longest = min(
        state.max_poll_interval * min(MAX_BACKOFF_PART, part),
        MAX_BACKOFF,
        part * 2 ** min(MAX_DOUBLINGS, state.list_failures),
    )
    if state.list_failures == 1:
        state.host.log(f"list lost: asking again within {longest:.2f} s")
    state.poll_at = state.host.now + longest * state.rng.uniform(0.25, 1.0)


def learn_sizes(state: PolicyState, entries: list[Endpoint]) -> None:
    """Take the largest weight of each machine type for its size, where weights move with load.

    A live weight taken for a size moves the ring, and makes the fullest endpoint look small. What is missing
    from the largest is connections.
    """
    if not state.live_weights:
        return
    for entry in entries:
        kind = entry.machine_type
        grown = entry.weight / state.largest_weights.get(kind, math.inf)
        if grown > 1.0:  # the others of this type are fuller than they seemed
            for s in state.tracked.values():
                if s.machine_type == kind:
                    s.shared_connections = (s.shared_connections + 1.0) * grown - 1.0
                    s.shared_connections_at_report = (s.shared_connections_at_report + 1.0) * grown - 1.0
            state.load_calibration.pop(kind, None)
        state.largest_weights[kind] = max(state.largest_weights.get(kind, 0.0), entry.weight) or 1.0


def on_endpoint_update(state: PolicyState, entry: Endpoint, first: bool) -> None:
    """Take in one entry; first: of the first list, whose endpoints have been there before."""
    endpoint = state.tracked.get(entry.name)
    if endpoint is None and entry.state is EndpointState.REMOVED:
        return
    new = entry.state is EndpointState.IN_SERVICE and is_new(state, entry, endpoint, first)
    if endpoint is None:
        endpoint = TrackedEndpoint(entry)
        state.tracked[entry.name] = endpoint
    if entry.state is not EndpointState.IN_SERVICE:
        state.withdraw(endpoint, entry.state)
        return
    endpoint.update_from(entry)
    if state.live_weights:
        read_live_weight(state, endpoint, entry.weight)
    else:
        endpoint.set_size(entry.weight or 1.0, 1.0)
    if new:
        start_arrival(state, endpoint)


def read_live_weight(state: PolicyState, endpoint: TrackedEndpoint, weight: float) -> None:
    """Read connections per size off a weight that they lower; a weight of 0 says nothing."""
    endpoint.size = state.largest_weights[endpoint.machine_type]
    if weight:
        connections = endpoint.size / weight - 1.0
        if endpoint.shared_connections_at == -math.inf:
            endpoint.shared_connections_at_report = connections  # an earlier report goes on from here
        endpoint.shared_connections = connections
        endpoint.shared_connections_at = state.host.now


def withdraw(state: PolicyState, endpoint: TrackedEndpoint, new_state: EndpointState) -> None:
    """Place nothing more on an endpoint that drains or is gone; a drain hands its connections off."""
    was_in_service = endpoint.state is EndpointState.IN_SERVICE
    endpoint.state = new_state
    endpoint.arrival = None
    if new_state is EndpointState.DRAINING and was_in_service:
        state.start_migration(endpoint, "drain", forced=True)
