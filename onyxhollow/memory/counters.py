"""Counts of what the proxy takes in, sends and answers, and the one check for what must hold."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts, gauges beside them read off when asked."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

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
