"""Decoding and validation of the endpoint list, as the discovery service and the configuration write it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhollow.host_port import split_host_port
from onyxhollow.interface import Endpoint, EndpointState
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.remote_clock import RemoteClock

STATE_BY_HEALTH = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}


class EndpointListError(Exception):
    """The endpoint list is malformed, or no answer was received."""


class EndpointList(NamedTuple):
    """A snapshot of the endpoint list, or a delta to an earlier version."""

    version: int
    is_snapshot: bool  # else a delta: endpoints that it does not contain are unchanged
    endpoints: list[Endpoint]
    addresses: dict[str, Address]  # by endpoint name
    records: list[dict[str, Any]]  # the endpoints as encoded in the document


def decode_address(text: Any, place: str) -> Address:
    """Decode `host:port`.

    Raises:
        EndpointListError: The value is anything else. The message starts with `place`.
    """
    address = split_host_port(text) if isinstance(text, str) else None
    if address is None:
        raise EndpointListError(f"{place}: expected HOST:PORT, got {text!r:.80}")
    return address


def decode_endpoint_list(document: Any, clock: RemoteClock, now: float) -> EndpointList:
    """Decode a list that was parsed from JSON.

    Args:
        document: The parsed list.
        clock: Converts the endpoints' start times; it is updated from the latest one.
        now: Loop time in seconds.

    Raises:
        EndpointListError: A part is missing or invalid; the whole list is rejected then.
    """
    if not isinstance(document, dict) or not isinstance(document.get("hosts"), list):
        raise EndpointListError("list: expected an object with an array 'hosts', got something else")
    version = document.get("seq")
    if isinstance(version, bool) or not isinstance(version, int):
        raise EndpointListError(f"seq: expected a whole number, got {version!r}")
    records = document["hosts"]
    latest_start = max((decode_start(record) for record in records), default=0.0)
    if latest_start:
        clock.observe(latest_start, now)
    endpoints: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    for record in records:
        name, state = decode_identity(record)
        if state is not EndpointState.REMOVED or record.get("dial"):
            addresses[name] = decode_address(record.get("dial"), f"{name}: address")
        endpoints.append(decode_endpoint(name, state, record, clock, now))
    return EndpointList(version, document.get("whole") is True, endpoints, addresses, records)


def decode_identity(record: Any) -> tuple[str, EndpointState]:
    """Decode an endpoint's name and state; raise EndpointListError if one is missing or invalid."""
    if not isinstance(record, dict) or not isinstance(record.get("host"), str) or not record["host"]:
        raise EndpointListError(f"hosts: expected an object with a text 'host', got {record!r}")
    state = STATE_BY_HEALTH.get(record.get("health", ""))
    if state is None:
        raise EndpointListError(
            f"health: expected one of {', '.join(STATE_BY_HEALTH)}, got {record.get('health')!r}"
        )
    return record["host"], state


def decode_endpoint(
    name: str, state: EndpointState, record: Mapping[str, Any], clock: RemoteClock, now: float
) -> Endpoint:
    """Decode an endpoint's other fields except its address; raise EndpointListError for an invalid number."""
    weight = record.get("share", 1.0)
    cell = record.get("block") or 0
    started_at_wall = decode_start(record)
    for value in (weight, cell):
        if not is_quantity(value):
            raise EndpointListError(f"{name}: expected a finite number of at least 0, got {value!r}")
    return Endpoint(
        name=name,
        state=state,
        weight=float(weight),
        started_at=clock.start_time(name, started_at_wall, now) if started_at_wall else None,
        zone=str(record.get("site") or ""),
        cell=int(cell),
        machine_type=str(record.get("class") or ""),
    )


def is_quantity(value: Any) -> bool:
    """Return whether a value of the list is a finite number of at least 0."""
    return not isinstance(value, bool) and isinstance(value, int | float) and 0 <= value < math.inf


def decode_start(record: Any) -> float:
    """Return an endpoint's start as wall time of its machine, in seconds; 0 if the list gives none."""
    milliseconds = record.get("born_ms") or 0 if isinstance(record, dict) else 0
    if not is_quantity(milliseconds):
        raise EndpointListError(
            f"{record.get('host')}: born_ms: expected a finite number of at least 0, got {milliseconds!r}"
        )
    return float(milliseconds) / 1000
