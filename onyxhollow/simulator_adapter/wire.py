"""The simulator's protocol: its names and codes, and the decoding and checking of message values.

A message is one line of JSON: an array of a name and values. Times are whole nanoseconds in the protocol and
are decoded to seconds. The operators define the protocol, so this module must not change it.
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
US_PER_S = 1e6  # a session's load is encoded in core microseconds per second
MS_PER_S = 1e3  # a message delay is encoded in milliseconds
WORK_IS_SET = 1  # bit of a session's bitmap: its work field has a value
ENDPOINT_FIELD_COUNT = 7
SESSION_FIELD_COUNT = 8

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
    """The value of an established session that a `change` message reports."""

    LOAD = 1
    DELAY = 2


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """The session values that `order` and `existing` messages share."""

    token: int
    listener: str
    tenant: Any  # a tenant's name; None without one
    time_left: float  # seconds; 0 without a deadline
    load: float | None  # core seconds; None if unknown
    group: Any  # sessions of a group share work on one endpoint; None without a group


def decode_message(line: bytes) -> tuple[str, list[Any]]:
    """Return the name and the values of a message.

    Raises:
        WireError: The line is not JSON, or not an array that starts with a name.
    """
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"message: expected JSON, got invalid text: {error}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError(f"message: expected an array that starts with a name, got {message!r:.40}")
    return message[0], message[1:]


def encode_message(*values: object) -> str:
    """Return a message as one line of JSON without the line break."""
    return json.dumps(values, separators=(",", ":"))


def read_text(value: Any, field: str) -> str:
    """Return the value if it is a non-empty text.

    Raises:
        WireError: It is not. The message names the field.
    """
    if not isinstance(value, str) or not value:
        raise WireError(f"{field}: expected non-empty text, got {value!r}")
    return value


def read_optional_text(value: Any, field: str) -> str:
    """Return the value if it is a text, and an empty text if the message omits it.

    Raises:
        WireError: It is neither. The message names the field.
    """
    if value is None:
        return ""
    if not isinstance(value, str):
        raise WireError(f"{field}: expected text, got {value!r:.80}")
    return value


def read_identifier(value: Any, field: str) -> Any:
    """Return a value that the policy only compares: text, a number or None.

    Raises:
        WireError: It is a list or an object. The message names the field.
    """
    if isinstance(value, list | dict):
        raise WireError(f"{field}: expected text or a number, got {value!r:.80}")
    return value


def read_amount(value: Any, field: str) -> float:
    """Return the value if it is a finite number of at least 0.

    Raises:
        WireError: It is not. The message names the field.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise WireError(f"{field}: expected a number from 0, got {value!r}")
    return float(value)


def read_seconds(value: Any, field: str) -> float:
    """Return a time in seconds, decoded from nanoseconds.

    Raises:
        WireError: It is not a whole number of at least 0. The message names the field.
    """
    return check_integer(value, field) / NS_PER_S


def read_outcome(value: Any) -> AttemptOutcome:
    """Decode the outcome of an attempt or a health check; UNKNOWN for a code that is not listed.

    Raises:
        WireError: It is not a whole number of at least 0.
    """
    return OUTCOMES.get(check_integer(value, "how"), AttemptOutcome.UNKNOWN)


def read_endpoint(row: Any) -> Endpoint:
    """Decode one row of an endpoint list.

    The row holds state and name, then weight, machine type, start time, zone and cell if they are known.

    Raises:
        WireError: A value is missing or invalid.
    """
    if not isinstance(row, list) or len(row) < 2:
        raise WireError(f"list entry: expected a list of at least a state and a name, got {row!r}")
    state, name, weight, machine_type, start_time, zone, cell = _pad(row, ENDPOINT_FIELD_COUNT)
    if not isinstance(state, str) or state not in ENDPOINT_STATES:
        raise WireError(f"readiness: expected in_service, terminating or terminated, got {state!r:.80}")
    start_ns = check_integer(start_time or 0, "startTimeNs")
    return Endpoint(
        weight=1.0 if weight is None else read_amount(weight, "powerHint"),
        name=read_text(name, "server"),
        state=ENDPOINT_STATES[state],
        started_at=start_ns / NS_PER_S if start_ns else None,
        zone=read_optional_text(zone, "zone"),
        cell=0 if cell is None else check_integer(cell, "cell"),
        machine_type=read_optional_text(machine_type, "machineType"),
    )


def read_session(values: list[Any], listeners: Container[Any]) -> SessionRequest:
    """Decode the session values that `order` and `existing` messages start with.

    Raises:
        WireError: A value is invalid, or the settings have no such listener.
    """
    token, listener, tenant, _, expires_in, work, group, bitmap = _pad(values, SESSION_FIELD_COUNT)
    if not isinstance(listener, str) or listener not in listeners:
        raise WireError(f"band: expected the name of a listener, got {listener!r:.80}")
    flags = check_integer(bitmap or 0, "bitmap")
    load = read_amount(work, "workNs") / NS_PER_S if work is not None and flags & WORK_IS_SET else None
    time_left = read_seconds(expires_in or 0, "expiresInNs")
    return SessionRequest(
        token=check_integer(token, "corr"),
        listener=listener,
        tenant=read_identifier(tenant, "tenant") or None,
        time_left=time_left,
        load=load,
        group=read_identifier(group, "group"),
    )


def _pad(values: list[Any], count: int) -> list[Any]:
    """Return the first `count` values, with None for those that the message omits."""
    return (values + [None] * count)[:count]
