"""Counts of what the proxy takes in, sends and answers, and the one check for what must hold."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

ENDS = ACCEPTED, REFUSED, TORN_DOWN = "accepted", "refused", "torn down"  # what a client was told


class Counters:
    """Named counts, gauges beside them read off when asked."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.ends: dict[str, dict[str, int]] = {end: {} for end in ENDS}  # of sessions, by listener

    def open_listeners(self, names: Iterable[str]) -> None:
        """From now on they stand among the ends; one that is dropped later keeps its counts."""
        for counts in self.ends.values():
            for name in names:
                counts.setdefault(name, 0)

    def ended(self, end: str, listener: str) -> None:
        self.ends[end][listener] = self.ends[end].get(listener, 0) + 1

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def must(self, holds: bool, what: str) -> bool:
        """What must hold: asserted in debug builds, counted in release builds (python -O)."""
        assert holds, what
        if not holds:
            self.counts[f"broken: {what}"] += 1
        return holds

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))
