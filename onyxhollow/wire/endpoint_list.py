"""The endpoint list, as the discovery service and the configuration file write it, decoded and checked."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhollow.interface import Endpoint, EndpointState
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.remote_clock import RemoteClock

STATES = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}


class EndpointListError(Exception):
    """An answer that is not an endpoint list, or none at all."""


class EndpointList(NamedTuple):
    """A snapshot of the endpoint list, or what has changed in it."""

    version: int
    is_snapshot: bool  # else a delta: what is not named is as before
    endpoints: list[Endpoint]
    addresses: dict[str, Address]  # by endpoint name


def decode_address(text: Any) -> Address:
    """Reads `host:port`; EndpointListError for anything else."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise EndpointListError(f"address: impossible value {text!r}")
    return host, int(port)


def decode_endpoint_list(document: Any, clock: RemoteClock, now: float) -> EndpointList:
    """Reads a list that was parsed from JSON.

    Args:
        document: The parsed list.
        clock: That of the machines which the list names; it learns from their times of start.
        now: Seconds of the loop's clock.

    Raises:
        EndpointListError: Part of it is missing or impossible; nothing of the list is used then.
    """
    if not isinstance(document, dict) or not isinstance(document.get("hosts"), list):
        raise EndpointListError("not an object with hosts")
    version = document.get("seq")
    if isinstance(version, bool) or not isinstance(version, int):
        raise EndpointListError(f"seq: impossible value {version!r}")
    records = document["hosts"]
    latest_start = max((decode_start(record) for record in records), default=0.0)
    if latest_start:
        clock.observe(latest_start, now)
    endpoints: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    for record in records:
        name, state = decode_identity(record)
        if state is not EndpointState.REMOVED or record.get("dial"):
            addresses[name] = decode_address(record.get("dial"))
        endpoints.append(decode_endpoint(name, state, record, clock, now))
    return EndpointList(version, document.get("whole") is True, endpoints, addresses)


def decode_identity(record: Any) -> tuple[str, EndpointState]:
    """The name and state of one endpoint; EndpointListError if one of them is missing or impossible."""
    if not isinstance(record, dict) or not isinstance(record.get("host"), str) or not record["host"]:
        raise EndpointListError(f"host: impossible value {record!r}")
    state = STATES.get(record.get("health", ""))
    if state is None:
        raise EndpointListError(f"health: impossible value {record.get('health')!r}")
    return record["host"], state


def decode_endpoint(
    name: str, state: EndpointState, record: Mapping[str, Any], clock: RemoteClock, now: float
) -> Endpoint:
    """Reads the rest of one endpoint but its address; EndpointListError if a quantity is impossible."""
    weight = record.get("share", 1.0)
    cell = record.get("block") or 0
    started_at_wall = decode_start(record)
    for value in (weight, cell):
        if not is_quantity(value):
            raise EndpointListError(f"{name}: impossible figure {value!r}")
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
    """Whether a value of the list is a finite number from 0."""
    return not isinstance(value, bool) and isinstance(value, int | float) and 0 <= value < math.inf


def decode_start(record: Any) -> float:
    """When an endpoint started, in seconds of its machine's wall time; 0 for long ago."""
    milliseconds = record.get("born_ms") or 0 if isinstance(record, dict) else 0
    if not is_quantity(milliseconds):
        raise EndpointListError(f"{record.get('host')}: impossible figure {milliseconds!r}")
    return float(milliseconds) / 1000
