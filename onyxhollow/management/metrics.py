"""Metrics for operators, in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "lb_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"  # the content type
GAUGES = ("inflight", "hosts_listed", "hosts_down")  # all else counts up


def escaped(value: str) -> str:
    """The value of a label, as the format wants it."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def render(by_tier: Iterable[tuple[str, Mapping[str, int]]], values: Iterable[tuple[str, int]]) -> bytes:
    """The page of all metrics.

    Args:
        by_tier: Counts by their name, and then by tier, which is a label.
        values: All else, by its name.
    """
    lines: list[str] = []
    for name, counts in by_tier:
        lines.append(f"# TYPE {PREFIX}{name} counter")
        lines += (f'{PREFIX}{name}{{tier="{escaped(tier)}"}} {count}' for tier, count in counts.items())
    for name, value in values:
        lines.append(f"# TYPE {PREFIX}{name} {'gauge' if name in GAUGES else 'counter'}")
        lines.append(f"{PREFIX}{name} {value}")
    return "\n".join([*lines, ""]).encode()
