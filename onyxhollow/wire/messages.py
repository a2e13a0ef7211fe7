"""The lines of the protocol: what stands in them."""

from __future__ import annotations

import math
from dataclasses import dataclass

Line = bytes | memoryview


class MalformedError(Exception):
    """A line that does not follow the protocol."""


@dataclass(slots=True)
class Opening:
    """An OPEN line, taken apart as far as this proxy uses it."""

    line: bytes  # with its line end
    name: str
    listener: str
    customer: str
    group: str | None
    left: float  # seconds that the client waits
    load: float | None
    at: str | None  # the server on which it was open before the run

    def forwarded(self, wait: float) -> bytes:
        """The line for the server: unchanged but for d, the wait that is left there."""
        head, _, tail = self.line[:-2].rpartition(b" ")
        told = b"d=%d" % max(1, round(wait * 1000))
        rows = [told if row.startswith(b"d=") else row for row in tail.split(b",")]
        return head + b" " + b",".join(rows) + b"\r\n"


def read_opening(line: Line) -> Opening:
    raw = bytes(line)
    try:
        words = raw[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise MalformedError("not ASCII") from None
    if len(words) != 4 or words[0] != "OPEN" or not all(words):
        raise MalformedError("not OPEN with an id, a key and a list")
    values: dict[str, str] = {}
    for row in words[3].split(","):
        name, is_set, value = row.partition("=")
        if not is_set or not name or name in values:
            raise MalformedError(f"list: impossible entry {row[:40]!r}")
        values[name] = value
    if "c" not in values or ("d" not in values and "at" not in values):
        raise MalformedError("list: c or d is missing")
    hint = values.get("h")
    return Opening(
        line=raw,
        name=words[1],
        listener=values["c"],
        customer=values.get("t", ""),
        group=values.get("g"),
        left=figure(values["d"], "d") / 1000 if "d" in values else math.inf,
        load=figure(hint, "h") / 1e6 if hint else None,
        at=values.get("at"),
    )


def figure(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise MalformedError(f"{what}: impossible value {text[:40]!r}") from None
    if not math.isfinite(value) or value < 0:
        raise MalformedError(f"{what}: impossible value {text[:40]!r}")
    return value


def word(line: Line) -> bytes:
    """The first word of a line."""
    return bytes(line[:8]).rstrip(b"\r\n").partition(b" ")[0]


def rest(line: Line) -> str:
    """What stands after the first word."""
    return bytes(line).rstrip(b"\r\n").partition(b" ")[2].decode("ascii", "replace")


def read_report(text: str, field: str) -> float | None:
    """The named figure of a load report such as inflight=7,util=0.61; None if it is not there."""
    if not field:
        return None
    for row in text.split(","):
        name, _, value = row.partition("=")
        if name == field:
            try:
                return figure(value, name)
            except MalformedError:
                return None
    return None
