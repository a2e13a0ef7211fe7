"""The lines of the protocol: how they are read, and how an OPEN line is forwarded."""

from __future__ import annotations

import math
import re
from typing import NamedTuple

Line = bytes | memoryview
OPEN_LINE = re.compile(rb"OPEN ([0-9A-Za-z._:-]{1,64}) ([!-~]{1,256}) ([!-~]+)\r\n")
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?")
MAX_WAIT = 2.0**32  # milliseconds: what a client without a limit says; at= is near it
MAX_LOAD = 1e9  # microseconds of work a second: a thousand cores
MICROSECONDS = 1e6  # in a second
MILLISECONDS = 1000  # in a second
MAX_QUOTED = 40  # characters of a bad value that an error repeats
MAX_WORD = 8  # bytes in which the first word of a line is looked for


class MalformedError(Exception):
    """A line that does not follow the protocol."""


class OpenRequest(NamedTuple):
    """An OPEN line, taken apart as far as this proxy uses it."""

    line: bytes  # with its line end
    session_id: str
    listener: str
    tenant: str
    group: str | None
    time_left: float  # seconds that the client waits
    load: float | None  # seconds of work a second
    open_at: str | None  # the endpoint at which it was open before the run

    def forwarded_line(self, wait: float) -> bytes:
        """The line for an endpoint: unchanged but for d, the seconds of wait that are left there."""
        head, _, tail = self.line[:-2].rpartition(b" ")
        wait_field = b"d=%d" % max(1, round(wait * MILLISECONDS))
        fields = [wait_field if field.startswith(b"d=") else field for field in tail.split(b",")]
        return head + b" " + b",".join(fields) + b"\r\n"


def parse_open_request(line: bytes) -> OpenRequest:
    """Reads an OPEN line; MalformedError if any of it is wrong.

    All of the line is checked before any of it is used: an endpoint would answer what it can't read with an
    error, and be taken to have failed.
    """
    parts = OPEN_LINE.fullmatch(line)
    if parts is None:
        raise MalformedError("not OPEN with an id, a key and a list")
    session_id, _key, field_list = (part.decode("ascii") for part in parts.groups())
    fields = parse_fields(field_list)
    if not fields.get("c") or ("d" not in fields and "at" not in fields):
        raise MalformedError("list: c or d is missing")
    time_left = math.inf
    if "d" in fields:
        time_left = parse_decimal(fields["d"], "d", 1.0, MAX_WAIT) / MILLISECONDS
    load = None
    if "h" in fields:
        load = parse_decimal(fields["h"], "h", 0.0, MAX_LOAD) / MICROSECONDS
    return OpenRequest(
        line=line,
        session_id=session_id,
        listener=fields["c"],
        tenant=fields.get("t", ""),
        group=fields.get("g"),
        time_left=time_left,
        load=load,
        open_at=fields.get("at"),
    )


def parse_fields(text: str) -> dict[str, str]:
    """Reads name=value,name=value; MalformedError for an entry without a name or value, or a name twice."""
    fields: dict[str, str] = {}
    for entry in text.split(","):
        name, is_set, value = entry.partition("=")
        if not is_set or not name or name in fields:
            raise MalformedError(f"list: impossible entry {entry[:MAX_QUOTED]!r}")
        fields[name] = value
    return fields


def parse_decimal(text: str, name: str, least: float, most: float) -> float:
    """Reads a plain decimal; MalformedError outside the range or for anything else.

    float alone would take 1_0, 1e300, nan and other alphabets' digits.
    """
    value = float(text) if DECIMAL.fullmatch(text) else math.nan
    if not least <= value <= most:
        raise MalformedError(f"{name}: impossible value {text[:MAX_QUOTED]!r}")
    return value


def parse_measurement(text: str) -> float | None:
    """Reads a number from an endpoint; None if it is none, or is negative or infinite."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < math.inf else None


def first_word(line: Line) -> bytes:
    """The first word of a line."""
    return bytes(line[:MAX_WORD]).rstrip(b"\r\n").partition(b" ")[0]


def after_first_word(line: Line) -> str:
    """What stands after the first word."""
    return bytes(line).rstrip(b"\r\n").partition(b" ")[2].decode("ascii", "replace")


def parse_load_report(text: str, field: str) -> float | None:
    """Reads the named field of a load report such as inflight=7,util=0.61; None if it is not there."""
    if not field:
        return None
    for entry in text.split(","):
        name, _, value = entry.partition("=")
        if name == field:
            return parse_measurement(value)
    return None
