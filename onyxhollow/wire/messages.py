"""The lines of the protocol: what stands in them."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

Line = bytes | memoryview
OPENING = re.compile(rb"OPEN ([0-9A-Za-z._:-]{1,64}) ([!-~]{1,256}) ([!-~]+)\r\n")
PLAIN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,30})?")
LONGEST_WAIT = 2.0**32  # milliseconds: what a client without a limit says, at=, is near it
LARGEST_LOAD = 1e9  # a load that can be meant: a thousand cores


class MalformedError(Exception):
    """A line that does not follow the protocol."""


@dataclass(slots=True)
class OpenRequest:
    """An OPEN line, taken apart as far as this proxy uses it."""

    line: bytes  # with its line end
    session_id: str
    listener: str
    tenant: str
    group: str | None
    time_left: float  # seconds that the client waits
    load: float | None
    open_at: str | None  # the server on which it was open before the run

    def forwarded_line(self, wait: float) -> bytes:
        """The line for the server: unchanged but for d, the wait that is left there."""
        head, _, tail = self.line[:-2].rpartition(b" ")
        told = b"d=%d" % max(1, round(wait * 1000))
        rows = [told if row.startswith(b"d=") else row for row in tail.split(b",")]
        return head + b" " + b",".join(rows) + b"\r\n"


def parse_open_request(line: bytes) -> OpenRequest:
    """All of the line is checked before any of it is used: a server would answer what it can't read with an
    error, and be held to have failed."""
    if (parts := OPENING.fullmatch(line)) is None:
        raise MalformedError("not OPEN with an id, a key and a list")
    name, _, told = (part.decode("ascii") for part in parts.groups())
    values: dict[str, str] = {}
    for row in told.split(","):
        label, is_set, value = row.partition("=")
        if not is_set or not label or label in values:
            raise MalformedError(f"list: impossible entry {row[:40]!r}")
        values[label] = value
    if not values.get("c") or ("d" not in values and "at" not in values):
        raise MalformedError("list: c or d is missing")
    return OpenRequest(
        line=line,
        session_id=name,
        listener=values["c"],
        tenant=values.get("t", ""),
        group=values.get("g"),
        time_left=figure(values["d"], "d", 1.0, LONGEST_WAIT) / 1000 if "d" in values else math.inf,
        load=figure(values["h"], "h", 0.0, LARGEST_LOAD) / 1e6 if "h" in values else None,
        open_at=values.get("at"),
    )


def figure(text: str, what: str, least: float, most: float) -> float:
    """A plain decimal. float alone would take 1_0, 1e300, nan and other alphabets' digits."""
    value = float(text) if PLAIN.fullmatch(text) else math.nan
    if not least <= value <= most:
        raise MalformedError(f"{what}: impossible value {text[:40]!r}")
    return value


def parse_measurement(text: str) -> float | None:
    """A figure from a server; None if it is none."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < math.inf else None


def word(line: Line) -> bytes:
    """The first word of a line."""
    return bytes(line[:8]).rstrip(b"\r\n").partition(b" ")[0]


def rest(line: Line) -> str:
    """What stands after the first word."""
    return bytes(line).rstrip(b"\r\n").partition(b" ")[2].decode("ascii", "replace")


def parse_load_report(text: str, field: str) -> float | None:
    """The named figure of a load report such as inflight=7,util=0.61; None if it is not there."""
    if not field:
        return None
    for row in text.split(","):
        name, _, value = row.partition("=")
        if name == field:
            return parse_measurement(value)
    return None
