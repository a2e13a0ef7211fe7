"""Lines of the client protocol: parsing, and the OPEN line that is forwarded to an endpoint."""

from __future__ import annotations

import math
import re
from typing import NamedTuple

Line = bytes | memoryview
OPEN_LINE = re.compile(rb"OPEN ([0-9A-Za-z._:-]{1,64}) ([!-~]{1,256}) ([!-~]+)\r\n")
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?")
MAX_WAIT_MS = 2.0**32  # clients without a limit send this; at= lines carry values near it
MAX_LOAD = 1e9  # microseconds of work per second: a thousand cores
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1000
MAX_QUOTED_CHARS = 40  # of an invalid value in an error message
MAX_FIRST_WORD_BYTES = 8  # only this many bytes of a line are searched for its first word


class MalformedError(Exception):
    """A line that does not follow the protocol."""


class OpenRequest(NamedTuple):
    """A parsed OPEN line, with the fields that this proxy uses."""

    line: bytes  # including its line end
    session_id: str
    listener: str
    tenant: str
    group: str | None
    time_left: float  # seconds that the client waits for the answer
    load: float | None  # seconds of work per second
    previous_endpoint: str | None  # the at= field: where the session was open before this proxy started

    def forwarded_line(self, wait: float) -> bytes:
        """Return the line for an endpoint: the client's, with `wait` (seconds) as milliseconds in field d."""
        head, _, tail = self.line[:-2].rpartition(b" ")
        wait_field = b"d=%d" % max(1, round(wait * MILLISECONDS_PER_SECOND))
        fields = [wait_field if field.startswith(b"d=") else field for field in tail.split(b",")]
        return head + b" " + b",".join(fields) + b"\r\n"


def parse_open_request(line: bytes) -> OpenRequest:
    """Parse an OPEN line; raise MalformedError if any part of it is invalid.

    The whole line is validated before any field is used. An endpoint would answer an invalid line with an
    error, and that error would count as a failure of the endpoint.
    """
    parts = OPEN_LINE.fullmatch(line)
    if parts is None:
        raise MalformedError("first line: expected OPEN with a session id, a key and a field list")
    session_id, _key, field_list = (part.decode("ascii") for part in parts.groups())
    fields = parse_fields(field_list)
    if not fields.get("c") or ("d" not in fields and "at" not in fields):
        raise MalformedError("field list: expected c, and d or at, got a list without them")
    time_left = math.inf
    if "d" in fields:
        time_left = parse_decimal(fields["d"], "d", 1.0, MAX_WAIT_MS) / MILLISECONDS_PER_SECOND
    load = None
    if "h" in fields:
        load = parse_decimal(fields["h"], "h", 0.0, MAX_LOAD) / MICROSECONDS_PER_SECOND
    return OpenRequest(
        line=line,
        session_id=session_id,
        listener=fields["c"],
        tenant=fields.get("t", ""),
        group=fields.get("g"),
        time_left=time_left,
        load=load,
        previous_endpoint=fields.get("at"),
    )


def parse_fields(text: str) -> dict[str, str]:
    """Parse name=value,name=value; raise MalformedError for an incomplete entry or a repeated name."""
    fields: dict[str, str] = {}
    for entry in text.split(","):
        name, is_set, value = entry.partition("=")
        if not is_set or not name or name in fields:
            raise MalformedError(
                f"field list: expected name=value with each name once, got {entry[:MAX_QUOTED_CHARS]!r}"
            )
        fields[name] = value
    return fields


def parse_decimal(text: str, name: str, minimum: float, maximum: float) -> float:
    """Parse a plain decimal; raise MalformedError for a value outside the range and for any other text.

    `float` alone would accept 1_0, 1e300, nan and digits of other alphabets.
    """
    value = float(text) if DECIMAL.fullmatch(text) else math.nan
    if not minimum <= value <= maximum:
        raise MalformedError(
            f"{name}: expected a decimal from {minimum:.0f} to {maximum:.0f}, got {text[:MAX_QUOTED_CHARS]!r}"
        )
    return value


def parse_measurement(text: str) -> float | None:
    """Parse a number sent by an endpoint; return None unless it is finite and not negative."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < math.inf else None


def first_word(line: Line) -> bytes:
    """Return the first word of a line."""
    return bytes(line[:MAX_FIRST_WORD_BYTES]).rstrip(b"\r\n").partition(b" ")[0]


def after_first_word(line: Line) -> str:
    """Return the text after the first word, without the line end."""
    return bytes(line).rstrip(b"\r\n").partition(b" ")[2].decode("ascii", "replace")


def parse_load_report(text: str, field: str) -> float | None:
    """Parse one field of a load report such as inflight=7,util=0.61; return None if it is missing."""
    if not field:
        return None
    for entry in text.split(","):
        name, _, value = entry.partition("=")
        if name == field:
            return parse_measurement(value)
    return None
