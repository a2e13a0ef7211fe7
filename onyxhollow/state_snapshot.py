"""Encodes the policy's state for a successor process and restores it there.

Timestamps are encoded as ages in seconds, as the clock of the successor's host may have another origin. The
keys are those that earlier builds write and read, because a process can be replaced by one of an older build.
All values are checked before any is applied. Endpoints that are not in the successor's list are skipped.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from onyxhollow.interface import EndpointState
from onyxhollow.policy import Balancer
from onyxhollow.policy.estimators import Ewma
from onyxhollow.policy.migration import StagedMigration
from onyxhollow.policy.tracked import TrackedEndpoint


class SnapshotValueError(ValueError):
    """A snapshot contains a value that no process writes."""


class AgedValue(NamedTuple):
    """A value, such as an average, and its age in seconds."""

    value: float
    age: float


class ArrivalProgress(NamedTuple):
    """Progress of an arriving endpoint: its fair share of placements, and those made so far."""

    fair_share: int
    moved: int


class EndpointRecord(NamedTuple):
    """One endpoint's record in a snapshot. Ages are in seconds; None means unknown."""

    ever_used: bool
    load: float  # over capacity
    load_age: float | None
    outlier_score: float
    overloaded_age: float | None
    handshake_time: AgedValue | None
    message_delay: AgedValue | None
    arrival: ArrivalProgress | None
    tokens: float | None  # of the slow-start budget


def count_avoided(balancer: Balancer) -> tuple[int, int]:
    """Return the number of listed endpoints, and of those that are draining or ejected.

    An endpoint at capacity does not count as avoided.
    """
    listed = [s for s in balancer.tracked.values() if s.state is not EndpointState.REMOVED]
    threshold = balancer.ejection_threshold
    now = balancer.host.now
    avoided = sum(s.state is EndpointState.DRAINING or s.outlier_score(now) > threshold for s in listed)
    return len(listed), avoided


def take_snapshot(balancer: Balancer) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return the common values and one record per endpoint, under the keys of the state file."""
    now = balancer.host.now
    slow_start = balancer.slow_start
    common = {
        "setting_up": encode_ewma(balancer.handshake_time, now),
        # Sessions per second, and the seconds over which they were counted.
        "taken": [slow_start.rate(now), now - slow_start.since],
    }
    listed = (s for s in balancer.tracked.values() if s.state is not EndpointState.REMOVED)
    return common, [encode_endpoint(balancer, endpoint, now) for endpoint in listed]


def encode_endpoint(balancer: Balancer, endpoint: TrackedEndpoint, now: float) -> dict[str, Any]:
    """Return one endpoint's record under the keys of the state file."""
    budget = balancer.slow_start
    arrival = endpoint.arrival
    warming_up = budget.warming_up(endpoint, now)
    return {
        "name": endpoint.name,
        "heard": endpoint.ever_used,
        # Own connections that ended since the load report can lower the estimate below 0.
        "load": max(0.0, balancer.load_of(endpoint)),
        "load_age": encode_age(endpoint.load_reported_at, now),
        "distrust": endpoint.outlier_score(now),
        "strained_age": encode_age(endpoint.overloaded_at, now),
        "set_up": encode_ewma(endpoint.handshake_time, now),
        "delay": encode_ewma(endpoint.message_delay, now),
        "arrival": [arrival.count, arrival.moved] if arrival else None,
        "tokens": budget.refill(endpoint, balancer.connections_at_capacity, now) if warming_up else None,
    }


def encode_age(timestamp: float, now: float) -> float | None:
    """Return the seconds since a timestamp; None if it was never set."""
    return now - timestamp if math.isfinite(timestamp) else None


def encode_ewma(average: Ewma, now: float) -> list[float] | None:
    """Return an average and its age in seconds; None if it has expired."""
    return [average.value, now - average.updated_at] if average.fresh_value(now) is not None else None


def decode_number(value: Any) -> float:
    """Return the value if it is a finite number of at least 0.

    Raises:
        SnapshotValueError: It is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise SnapshotValueError(f"state snapshot: expected a number from 0, got {value!r:.40}")
    return float(value)


def decode_optional(value: Any) -> float | None:
    """Return the value if it is None or a finite number of at least 0. Raises SnapshotValueError."""
    return None if value is None else decode_number(value)


def decode_pair(value: Any) -> tuple[float, float] | None:
    """Return a pair of finite numbers of at least 0, or None.

    Raises:
        SnapshotValueError: An item is not such a number.
        TypeError: The value is not a sequence.
        ValueError: The sequence does not have two items.
    """
    if value is None:
        return None
    first, second = value
    return decode_number(first), decode_number(second)


def decode_aged_value(value: Any) -> AgedValue | None:
    """Decode a value and its age, or None. Raises as `decode_pair`."""
    pair = decode_pair(value)
    return AgedValue(*pair) if pair else None


def decode_endpoint(row: dict[str, Any]) -> EndpointRecord:
    """Decode one endpoint's record. Raises as `decode_pair`, or KeyError if a key is missing."""
    arrival = decode_pair(row["arrival"])
    return EndpointRecord(
        ever_used=row["heard"] is True,
        load=decode_number(row["load"]),
        load_age=decode_optional(row["load_age"]),
        outlier_score=decode_number(row["distrust"]),
        overloaded_age=decode_optional(row["strained_age"]),
        handshake_time=decode_aged_value(row["set_up"]),
        message_delay=decode_aged_value(row["delay"]),
        arrival=ArrivalProgress(int(arrival[0]), int(arrival[1])) if arrival else None,
        tokens=decode_optional(row["tokens"]),
    )


def restore_snapshot(balancer: Balancer, common: dict[str, Any], records: Iterable[dict[str, Any]]) -> int:
    """Apply a predecessor's snapshot, and return the number of endpoints that it covered.

    Raises:
        ValueError, TypeError, KeyError: A value is invalid. Nothing has been applied then.
    """
    now = balancer.host.now
    handshake_time = decode_aged_value(common["setting_up"])
    session_rate = decode_pair(common["taken"])
    restorable = []
    for row in records:
        endpoint = balancer.tracked.get(row["name"])
        if endpoint is not None:
            restorable.append((endpoint, decode_endpoint(row)))
    if session_rate:
        rate, measured_seconds = session_rate
        budget = balancer.slow_start
        budget.since = now - measured_seconds
        budget.updated_at = now
        budget.decayed_count += rate * max(1.0, min(measured_seconds, budget.TIME_CONSTANT_SECONDS))
    restore_ewma(balancer.handshake_time, handshake_time, now)
    for endpoint, record in restorable:
        restore_endpoint(endpoint, record, now)
        restore_slow_start(balancer, endpoint, record, now)
    balancer.redraw_subset()
    return len(restorable)


def restore_endpoint(endpoint: TrackedEndpoint, record: EndpointRecord, now: float) -> None:
    """Apply one endpoint's record; values that are older than the present ones are skipped."""
    endpoint.ever_used = endpoint.ever_used or record.ever_used
    endpoint.recorded_score = record.outlier_score
    endpoint.recorded_score_at = now
    if record.load_age is not None and now - record.load_age > endpoint.load_reported_at:
        endpoint.load = record.load
        endpoint.load_reported_at = now - record.load_age
        endpoint.shared_connections_at_report = endpoint.shared_connections
        endpoint.connections_at_report = len(endpoint.connections)
    if record.overloaded_age is not None:
        endpoint.overloaded_at = max(endpoint.overloaded_at, now - record.overloaded_age)
    restore_ewma(endpoint.handshake_time, record.handshake_time, now)
    restore_ewma(endpoint.message_delay, record.message_delay, now)


def restore_ewma(average: Ewma, recorded: AgedValue | None, now: float) -> None:
    """Apply an average if it is newer than the present one."""
    if recorded and now - recorded.age > average.updated_at:
        average.value = recorded.value
        average.updated_at = now - recorded.age


def restore_slow_start(
    balancer: Balancer, endpoint: TrackedEndpoint, record: EndpointRecord, now: float
) -> None:
    """Restore the slow-start budget, so that both processes together do not exceed it."""
    endpoint.arrival = None
    if record.arrival:
        endpoint.arrival = StagedMigration(record.arrival.fair_share)
        endpoint.arrival.moved = record.arrival.moved
    if record.tokens is not None:
        balancer.slow_start.tokens[endpoint] = (min(1.0, record.tokens), now)
