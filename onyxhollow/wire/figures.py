"""The figures that operators fetch, in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from onyxhollow.memory.counters import ACCEPTED, REFUSED, TORN_DOWN

PREFIX = "lb_"
TEXT = "text/plain; version=0.0.4; charset=utf-8"
BY_LISTENER = {"success_total": ACCEPTED, "busy_total": REFUSED, "failure_total": TORN_DOWN}
GAUGES = ("inflight", "hosts_listed", "hosts_down")


def escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def render(ends: Mapping[str, Mapping[str, int]], values: Iterable[tuple[str, int]]) -> bytes:
    """ends: sessions by what was said to their clients and listener; values: all else, by its name."""
    lines: list[str] = []
    for name, end in BY_LISTENER.items():
        lines.append(f"# TYPE {PREFIX}{name} counter")
        lines += (f'{PREFIX}{name}{{tier="{escaped(key)}"}} {count}' for key, count in ends[end].items())
    for name, value in values:
        lines.append(f"# TYPE {PREFIX}{name} {'gauge' if name in GAUGES else 'counter'}")
        lines.append(f"{PREFIX}{name} {value}")
    return "\n".join([*lines, ""]).encode()
