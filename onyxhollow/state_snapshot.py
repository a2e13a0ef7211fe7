"""What the decisions know, as plain values for a successor process, and restored from them.

Times go as ages in seconds, for the successor's clock is its own. The keys are those that earlier builds
write and read, whatever a field is called here: a process may be replaced by an older one. All values are
checked before any is used; endpoints that are not in the successor's list are left out.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from onyxhollow.interface import EndpointState
from onyxhollow.policy import Balancer
from onyxhollow.policy.estimators import Ewma
from onyxhollow.policy.migration import StagedMigration
from onyxhollow.policy.tracked import TrackedEndpoint


class SnapshotValueError(ValueError):
    """A snapshot holds a value that no process can have written."""


@dataclass(frozen=True, slots=True)
class Sample:
    """An average, or another number, and its age in seconds."""

    value: float
    age: float


@dataclass(frozen=True, slots=True)
class ArrivalProgress:
    """How far an arriving endpoint had come: placements of its fair share."""

    count: int
    moved: int


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What a snapshot says of one endpoint; None where nothing was known. Ages are seconds."""

    ever_used: bool
    load: float  # over capacity
    load_age: float | None
    outlier_score: float
    overloaded_age: float | None
    handshake_time: Sample | None
    message_delay: Sample | None
    arrival: ArrivalProgress | None
    tokens: float | None  # of the slow-start budget


def count_avoided(balancer: Balancer) -> tuple[int, int]:
    """Return how many endpoints are listed, and how many of them are passed over as draining or ejected.

    A full one counts as there.
    """
    listed = [s for s in balancer.tracked.values() if s.state is not EndpointState.REMOVED]
    threshold = balancer.ejection_threshold
    now = balancer.host.now
    avoided = sum(s.state is EndpointState.DRAINING or s.outlier_score(now) > threshold for s in listed)
    return len(listed), avoided


def take_snapshot(balancer: Balancer) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return what holds for all endpoints, and a record for each, under the keys of the handover."""
    now = balancer.host.now
    rate = balancer.slow_start
    common = {
        "setting_up": encode_ewma(balancer.handshake_time, now),
        "taken": [rate.rate(now), now - rate.since],  # sessions a second, and over how many seconds
    }
    listed = (s for s in balancer.tracked.values() if s.state is not EndpointState.REMOVED)
    return common, [encode_endpoint(balancer, endpoint, now) for endpoint in listed]


def encode_endpoint(balancer: Balancer, endpoint: TrackedEndpoint, now: float) -> dict[str, Any]:
    """Return one endpoint's record under the keys of the handover."""
    budget = balancer.slow_start
    arrival = endpoint.arrival
    warming_up = budget.warming_up(endpoint, now)
    return {
        "name": endpoint.name,
        "heard": endpoint.ever_used,
        # Carried on by own connections that have ended since the report, the estimate can fall below 0.
        "load": max(0.0, balancer.load_of(endpoint)),
        "load_age": encode_age(endpoint.load_reported_at, now),
        "distrust": endpoint.outlier_score(now),
        "strained_age": encode_age(endpoint.overloaded_at, now),
        "set_up": encode_ewma(endpoint.handshake_time, now),
        "delay": encode_ewma(endpoint.message_delay, now),
        "arrival": [arrival.count, arrival.moved] if arrival else None,
        "tokens": budget.refill(endpoint, balancer.connections_at_capacity, now) if warming_up else None,
    }


def encode_age(at: float, now: float) -> float | None:
    """Return the seconds since a timestamp, None if it was never set."""
    return now - at if math.isfinite(at) else None


def encode_ewma(average: Ewma, now: float) -> list[float] | None:
    """Return an average and its age in seconds, None if it has expired."""
    return [average.value, now - average.updated_at] if average.fresh_value(now) is not None else None


def decode_number(value: Any) -> float:
    """Return a number from 0.

    Raises:
        SnapshotValueError: it is none, or negative or not finite.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise SnapshotValueError(f"state snapshot: expected a number from 0, got {value!r:.40}")
    return float(value)


def decode_optional(value: Any) -> float | None:
    """Return a number from 0, or None. Raises SnapshotValueError."""
    return None if value is None else decode_number(value)


def decode_pair(value: Any) -> tuple[float, float] | None:
    """Return two numbers from 0, or None.

    Raises:
        SnapshotValueError: they are no numbers from 0.
        TypeError: the value is no sequence.
        ValueError: there are not two of them.
    """
    if value is None:
        return None
    first, second = value
    return decode_number(first), decode_number(second)


def decode_sample(value: Any) -> Sample | None:
    """Return an average with its age, or None. Raises as `decode_pair`."""
    pair = decode_pair(value)
    return Sample(*pair) if pair else None


def decode_endpoint(row: dict[str, Any]) -> EndpointRecord:
    """Return one endpoint's record. Raises as `decode_pair`, or KeyError where a key is missing."""
    arrival = decode_pair(row["arrival"])
    return EndpointRecord(
        ever_used=row["heard"] is True,
        load=decode_number(row["load"]),
        load_age=decode_optional(row["load_age"]),
        outlier_score=decode_number(row["distrust"]),
        overloaded_age=decode_optional(row["strained_age"]),
        handshake_time=decode_sample(row["set_up"]),
        message_delay=decode_sample(row["delay"]),
        arrival=ArrivalProgress(int(arrival[0]), int(arrival[1])) if arrival else None,
        tokens=decode_optional(row["tokens"]),
    )


def restore_snapshot(balancer: Balancer, common: dict[str, Any], records: Iterable[dict[str, Any]]) -> int:
    """Take over what the process before knew, and return of how many endpoints something was known.

    Raises:
        ValueError, TypeError, KeyError: a value is impossible; nothing has been used then.
    """
    now = balancer.host.now
    handshake_time = decode_sample(common["setting_up"])
    taken = decode_pair(common["taken"])
    found = []
    for row in records:
        endpoint = balancer.tracked.get(row["name"])
        if endpoint is not None:
            found.append((endpoint, decode_endpoint(row)))
    if taken:
        rate, over = taken
        budget = balancer.slow_start
        budget.since = now - over
        budget.updated_at = now
        budget.decayed_count += rate * max(1.0, min(over, budget.TIME_CONSTANT_SECONDS))
    restore_ewma(balancer.handshake_time, handshake_time, now)
    for endpoint, record in found:
        restore_endpoint(endpoint, record, now)
        restore_slow_start(balancer, endpoint, record, now)
    balancer.redraw_subset()
    return len(found)


def restore_endpoint(endpoint: TrackedEndpoint, record: EndpointRecord, now: float) -> None:
    """Take over one endpoint's record where it is newer than what is known."""
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


def restore_ewma(average: Ewma, sample: Sample | None, now: float) -> None:
    """Take over an average if it is newer than what is known."""
    if sample and now - sample.age > average.updated_at:
        average.value = sample.value
        average.updated_at = now - sample.age


def restore_slow_start(
    balancer: Balancer, endpoint: TrackedEndpoint, record: EndpointRecord, now: float
) -> None:
    """Both processes together keep the slow-start budget: what the one before has spent is spent."""
    endpoint.arrival = None
    if record.arrival:
        endpoint.arrival = StagedMigration(record.arrival.count)
        endpoint.arrival.moved = record.arrival.moved
    if record.tokens is not None:
        balancer.slow_start.tokens[endpoint] = (min(1.0, record.tokens), now)
