"""Counts of what the proxy takes in, sends and answers, and the one check of what must hold."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

# What a session's client was answered; names of the metrics page and the logs.
ACCEPTED = "accepted"
REJECTED = "refused"
FAILED = "torn down"
FINAL_ANSWERS = (ACCEPTED, REJECTED, FAILED)


class Counters:
    """Named counts of one process.

    Attributes:
        counts: by name.
        final_answers: of sessions, by answer and then by listener.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.final_answers: dict[str, dict[str, int]] = {answer: {} for answer in FINAL_ANSWERS}

    def add_listeners(self, names: Iterable[str]) -> None:
        """Show these listeners from now on, at 0 too; one that is dropped later keeps its counts."""
        for counts in self.final_answers.values():
            for name in names:
                counts.setdefault(name, 0)

    def count_final_answer(self, answer: str, listener: str) -> None:
        """Count a session's answer, one of `FINAL_ANSWERS`."""
        self.final_answers[answer][listener] = self.final_answers[answer].get(listener, 0) + 1

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a named count."""
        self.counts[name] += amount

    def must(self, holds: bool, what: str) -> bool:
        """Check what must hold: asserted in debug builds, counted in release builds (python -O).

        Args:
            holds: whether it does.
            what: the rule, in words.

        Returns:
            Whether it holds.

        Raises:
            AssertionError: it does not, in a debug build.
        """
        assert holds, what
        if not holds:
            self.counts[f"broken: {what}"] += 1
        return holds

    def snapshot(self) -> dict[str, int]:
        """Return the named counts, in order of their names."""
        return dict(sorted(self.counts.items()))
