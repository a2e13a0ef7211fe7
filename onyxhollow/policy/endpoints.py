"""The endpoint list: how its answers change endpoints and their sizes.

No session is placed on a draining or removed endpoint, and a weight that varies with load is not used as a
size.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from onyxhollow.interface import Endpoint, EndpointListKind, EndpointState
from onyxhollow.policy.arrivals import is_arrival, start_arrival
from onyxhollow.policy.list_polling import on_list_answer, on_list_failure
from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

RING_UNITS_PER_MAX_SIZE = 4  # for the largest machine type, if weights are live


def on_endpoint_list(state: PolicyState, kind: EndpointListKind, entries: Iterable[Endpoint]) -> None:
    """Process an answer of the endpoint list, or its failure."""
    if kind is EndpointListKind.FAILED:
        on_list_failure(state)
        return
    if kind is not EndpointListKind.CACHED:
        on_list_answer(state)
    entries = list(entries)
    update_sizes(state, entries)
    is_first_list = not state.tracked
    unlisted = set(state.tracked) if kind is not EndpointListKind.DELTA else set()
    for entry in entries:
        unlisted.discard(entry.name)
        on_endpoint_update(state, entry, is_first_list)
    for name in sorted(unlisted):
        state.withdraw(state.tracked[name], EndpointState.REMOVED)
    state.endpoints = [s for s in state.tracked.values() if s.state is EndpointState.IN_SERVICE]
    if state.live_weights:
        unit = max(state.largest_weights.values(), default=1.0) / RING_UNITS_PER_MAX_SIZE
        for endpoint in state.endpoints:
            endpoint.set_size(state.largest_weights.get(endpoint.machine_type, endpoint.size), unit)
    state.ring = sorted(
        (position, index) for index, s in enumerate(state.endpoints) for position in s.ring_positions
    )
    state.redraw_subset()


def update_sizes(state: PolicyState, entries: list[Endpoint]) -> None:
    """Update the size per machine type, its largest weight so far, if weights vary with load.

    A live weight used as size would change the ring, and a loaded endpoint would count as small. The
    difference to the largest weight is due to connections.
    """
    if not state.live_weights:
        return
    for entry in entries:
        machine_type = entry.machine_type
        growth = entry.weight / state.largest_weights.get(machine_type, math.inf)
        if growth > 1.0:  # the others of this type have more connections than estimated
            for other in state.tracked.values():
                if other.machine_type == machine_type:
                    other.shared_connections = (other.shared_connections + 1.0) * growth - 1.0
                    other.shared_connections_at_report = (
                        other.shared_connections_at_report + 1.0
                    ) * growth - 1.0
            state.load_calibration.pop(machine_type, None)
        state.largest_weights[machine_type] = (
            max(state.largest_weights.get(machine_type, 0.0), entry.weight) or 1.0
        )


def on_endpoint_update(state: PolicyState, entry: Endpoint, is_first_list: bool) -> None:
    """Process one entry of the list.

    Endpoints of the first list were in service before this instance started. Of these only the ones that are
    still warming up count as arrivals.
    """
    endpoint = state.tracked.get(entry.name)
    if endpoint is None and entry.state is EndpointState.REMOVED:
        return
    is_new = entry.state is EndpointState.IN_SERVICE and is_arrival(state, entry, endpoint, is_first_list)
    if endpoint is None:
        endpoint = TrackedEndpoint(entry)
        state.tracked[entry.name] = endpoint
    if entry.state is not EndpointState.IN_SERVICE:
        state.withdraw(endpoint, entry.state)
        return
    endpoint.update_from(entry)
    if state.live_weights:
        apply_live_weight(state, endpoint, entry.weight)
    else:
        endpoint.set_size(entry.weight or 1.0, 1.0)
    if is_new:
        start_arrival(state, endpoint)


def apply_live_weight(state: PolicyState, endpoint: TrackedEndpoint, weight: float) -> None:
    """Derive the connections per size from a weight that they lower; a weight of 0 is ignored."""
    endpoint.size = state.largest_weights[endpoint.machine_type]
    if weight:
        connections = endpoint.size / weight - 1.0
        if endpoint.shared_connections_at == -math.inf:
            # An earlier report is corrected by the change in connections from now on.
            endpoint.shared_connections_at_report = connections
        endpoint.shared_connections = connections
        endpoint.shared_connections_at = state.host.now


def withdraw(state: PolicyState, endpoint: TrackedEndpoint, new_state: EndpointState) -> None:
    """Stop placements on a draining or removed endpoint; a drain starts the migration of its connections."""
    was_in_service = endpoint.state is EndpointState.IN_SERVICE
    endpoint.state = new_state
    endpoint.arrival = None
    if new_state is EndpointState.DRAINING and was_in_service:
        state.start_migration(endpoint, "drain", forced=True)
