"""Metrics for operators in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "lb_"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
GAUGES = ("inflight", "hosts_listed", "hosts_down")  # all other metrics are counters


def escape_label(value: str) -> str:
    """Escape the value of a label."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def render(by_tier: Iterable[tuple[str, Mapping[str, int]]], values: Iterable[tuple[str, int]]) -> bytes:
    """Return the metrics page.

    Args:
        by_tier: Counters with the label `tier`: name, and counts by tier.
        values: All other metrics: name and value.
    """
    lines: list[str] = []
    for name, counts in by_tier:
        lines.append(f"# TYPE {PREFIX}{name} counter")
        lines += (f'{PREFIX}{name}{{tier="{escape_label(tier)}"}} {count}' for tier, count in counts.items())
    for name, value in values:
        lines.append(f"# TYPE {PREFIX}{name} {'gauge' if name in GAUGES else 'counter'}")
        lines.append(f"{PREFIX}{name} {value}")
    return "\n".join([*lines, ""]).encode()
