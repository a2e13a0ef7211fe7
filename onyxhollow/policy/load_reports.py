"""How loaded an endpoint is: the report it gave last, carried on by connections counted since.

Inputs are reports, own connections, and the connections of all instances where list or gossip tell them.
Guards against filling an endpoint on a report that is out of date, and against one that reports nothing.
"""

from __future__ import annotations

from onyxhollow.policy.state import PolicyState
from onyxhollow.policy.tracked import TrackedEndpoint

REPORT_LIFETIME = 8.0  # seconds for which a report is carried on
FULL_LOAD = 0.65  # load over capacity from which an endpoint gets nothing new
SHED_LOAD = 0.95  # load over capacity from which connections are moved off
CALIBRATION_DECAY = 0.9  # of the reports summed up, with each further one


def load_of(state: PolicyState, endpoint: TrackedEndpoint) -> float:
    """Return the load over capacity, 0 if unknown; own connections carry it on unless they are few."""
    now = state.host.now
    known = now - endpoint.load_reported_at < REPORT_LIFETIME
    if now - endpoint.shared_connections_at < REPORT_LIFETIME:
        calibration = state.load_calibration.get(endpoint.machine_type)
        if calibration:  # connections of all instances carry a report on, or stand for it
            load = endpoint.load if known else 0.0
            shared = endpoint.shared_connections_at_report if known else 0.0
            added = (endpoint.shared_connections - shared) * calibration[1] / calibration[0]
            return max(0.0, load + added)
    own = len(endpoint.connections)
    full = state.connections_at_capacity * endpoint.size
    if not known:  # guessed by the own part of what it bears
        return own / full if state.loads_unknown and full >= 1.0 else 0.0
    return endpoint.load + (0 if state.few_connections else own - endpoint.connections_at_report) / full


def record_load(state: PolicyState, endpoint: TrackedEndpoint, load: float, age: float = 0.0) -> None:
    """Take in a report of load over capacity, `age` seconds old."""
    now = state.host.now
    endpoint.load = load
    endpoint.load_reported_at = now - age
    endpoint.connections_at_report = len(endpoint.connections)
    endpoint.shared_connections_at_report = endpoint.shared_connections
    recent = now - endpoint.shared_connections_at < REPORT_LIFETIME
    if endpoint.shared_connections > 0.0 and not endpoint.arrival and recent:
        shared, total = state.load_calibration.get(endpoint.machine_type, (0.0, 0.0))
        state.load_calibration[endpoint.machine_type] = (
            shared * CALIBRATION_DECAY + endpoint.shared_connections,
            total * CALIBRATION_DECAY + load,
        )
    if load >= SHED_LOAD:  # all its messages are late until some connections are moved
        state.start_migration(endpoint, f"load {load:.2f}")
