"""Estimates of an endpoint's load: its last report, corrected by the connections counted since.

Inputs are load reports, own connections, and the connections of all instances from the endpoint list or
gossip. The correction keeps an outdated report from filling an endpoint. Endpoints that report nothing get an
estimate from connections alone.
"""

from __future__ import annotations

from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

REPORT_LIFETIME_SECONDS = 8.0  # a report is corrected and used for this long
FULL_LOAD = 0.65  # load over capacity from which no new sessions are placed
SHED_LOAD = 0.95  # load over capacity from which connections are migrated
CALIBRATION_DECAY = 0.9  # applied to the calibration sums at each report


def load_of(state: PolicyState, endpoint: TrackedEndpoint) -> float:
    """Return the estimated load over capacity, 0 if unknown."""
    now = state.host.now
    is_reported = now - endpoint.load_reported_at < REPORT_LIFETIME_SECONDS
    if now - endpoint.shared_connections_at < REPORT_LIFETIME_SECONDS:
        calibration = state.load_calibration.get(endpoint.machine_type)
        if calibration:  # connections of all instances correct the report or replace it
            load = endpoint.load if is_reported else 0.0
            shared = endpoint.shared_connections_at_report if is_reported else 0.0
            load_since_report = (endpoint.shared_connections - shared) * calibration[1] / calibration[0]
            return max(0.0, load + load_since_report)
    own_count = len(endpoint.connections)
    capacity = state.connections_at_capacity * endpoint.size
    if not is_reported:  # estimated from this instance's share of the capacity
        return own_count / capacity if state.loads_unknown and capacity >= 1.0 else 0.0
    # The change in own connections is added, unless they are so few that it is mostly chance.
    return (
        endpoint.load
        + (0 if state.few_connections else own_count - endpoint.connections_at_report) / capacity
    )


def record_load(state: PolicyState, endpoint: TrackedEndpoint, load: float, age: float = 0.0) -> None:
    """Record a report of load over capacity, `age` seconds old."""
    now = state.host.now
    endpoint.load = load
    endpoint.load_reported_at = now - age
    endpoint.connections_at_report = len(endpoint.connections)
    endpoint.shared_connections_at_report = endpoint.shared_connections
    shared_is_recent = now - endpoint.shared_connections_at < REPORT_LIFETIME_SECONDS
    if endpoint.shared_connections > 0.0 and not endpoint.arrival and shared_is_recent:
        shared, total = state.load_calibration.get(endpoint.machine_type, (0.0, 0.0))
        state.load_calibration[endpoint.machine_type] = (
            shared * CALIBRATION_DECAY + endpoint.shared_connections,
            total * CALIBRATION_DECAY + load,
        )
    if load >= SHED_LOAD:  # messages stay late until some connections are migrated
        state.start_migration(endpoint, f"load {load:.2f}")
