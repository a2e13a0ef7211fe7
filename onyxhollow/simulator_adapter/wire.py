"""The simulator's wire: what its words and numbers mean, and how values of a message are checked.

A message is one line of JSON: an array of a name and values. Times on the wire are whole nanoseconds, inside
they are seconds. The wire is the operators'; nothing here may change what is read or written.
"""

from __future__ import annotations

import json
import math
from collections.abc import Container
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState
from onyxhollow.settings import WireError, check_integer

NS_PER_S = 1e9
US_PER_S = 1e6  # an established session's load: microseconds of a core each second
MS_PER_S = 1e3  # a message's delay is in milliseconds
COST_IS_KNOWN = 1  # bit of a session's bitmap: its work field is set
ENDPOINT_FIELDS = 7
SESSION_FIELDS = 8

OUTCOMES = {
    0: AttemptOutcome.OK,
    5: AttemptOutcome.ERROR,
    11: AttemptOutcome.OVERLOADED,
    110: AttemptOutcome.TIMEOUT,
    111: AttemptOutcome.CONNECT_FAILED,
    104: AttemptOutcome.RESET,
    125: AttemptOutcome.CANCELLED,
    114: AttemptOutcome.NOT_SENT,
}
LIST_KINDS = {
    "cached": EndpointListKind.CACHED,
    "full": EndpointListKind.SNAPSHOT,
    "delta": EndpointListKind.DELTA,
    "failed": EndpointListKind.FAILED,
}
ENDPOINT_STATES = {
    "in_service": EndpointState.IN_SERVICE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}


class ChangeKind(IntEnum):
    """What a `change` message reports of an established session."""

    LOAD = 1
    DELAY = 2


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A client's session, as `order` and `existing` describe it."""

    token: int
    listener: str
    tenant: Any  # a tenant's name; None without one
    time_left: float  # seconds; 0 without a deadline
    load: float | None  # seconds of a core; None if unknown
    group: Any  # sessions of a group prefer the same endpoint; None without one


def decode_message(line: bytes) -> tuple[str, list[Any]]:
    """Name and values of a message.

    Raises:
        WireError: not JSON, or not an array that begins with a name.
    """
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"not JSON: {error}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError("not an array that begins with a name")
    return message[0], message[1:]


def encode_message(*values: object) -> str:
    """One message, without the end of its line."""
    return json.dumps(values, separators=(",", ":"))


def read_text(value: Any, field: str) -> str:
    """A text that is not empty.

    Raises:
        WireError: it is something else; the error names the field.
    """
    if not isinstance(value, str) or not value:
        raise WireError(f"{field}: impossible value {value!r}")
    return value


def read_amount(value: Any, field: str) -> float:
    """A finite number from 0.

    Raises:
        WireError: it is something else; the error names the field.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise WireError(f"{field}: impossible value {value!r}")
    return float(value)


def read_seconds(value: Any, field: str) -> float:
    """A time on the wire, in seconds.

    Raises:
        WireError: it isn't a whole number of nanoseconds from 0; the error names the field.
    """
    return check_integer(value, field) / NS_PER_S


def read_outcome(value: Any) -> AttemptOutcome:
    """How an attempt or a health check ended; UNKNOWN for a number that this build doesn't know.

    Raises:
        WireError: it isn't a whole number from 0.
    """
    return OUTCOMES.get(check_integer(value, "how"), AttemptOutcome.UNKNOWN)


def read_endpoint(row: Any) -> Endpoint:
    """One row of an endpoint list: state, name, then weight, machine type, start, zone and cell if known.

    Raises:
        WireError: a value is missing or impossible.
    """
    if not isinstance(row, list) or len(row) < 2:
        raise WireError(f"list entry: impossible value {row!r}")
    state, name, weight, machine_type, started, zone, cell = _pad(row, ENDPOINT_FIELDS)
    if state not in ENDPOINT_STATES:
        raise WireError(f"readiness: impossible value {state!r}")
    started_ns = check_integer(started or 0, "startTimeNs")
    return Endpoint(
        weight=1.0 if weight is None else read_amount(weight, "powerHint"),
        name=read_text(name, "server"),
        state=ENDPOINT_STATES[state],
        started_at=started_ns / NS_PER_S if started_ns else None,
        zone=zone or "",
        cell=cell or 0,
        machine_type=machine_type or "",
    )


def read_session(values: list[Any], listeners: Container[Any]) -> SessionRequest:
    """The first values of `order` and `existing`.

    Raises:
        WireError: a value is impossible, or its listener isn't one of the settings'.
    """
    token, listener, tenant, _, time_left, work, group, bitmap = _pad(values, SESSION_FIELDS)
    if listener not in listeners:
        raise WireError(f"band: impossible value {listener!r}")
    bits = check_integer(bitmap or 0, "bitmap")
    load = read_amount(work, "workNs") / NS_PER_S if work is not None and bits & COST_IS_KNOWN else None
    left = read_seconds(time_left or 0, "expiresInNs")
    return SessionRequest(check_integer(token, "corr"), listener, tenant or None, left, load, group)


def _pad(values: list[Any], count: int) -> list[Any]:
    """The first `count` values; None for those that the message leaves out."""
    return (values + [None] * count)[:count]
