"""Counters of one process, and the check of its invariants."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

# Final answers to clients; the values appear in metrics and logs.
ACCEPTED = "accepted"
REJECTED = "refused"
FAILED = "torn down"
FINAL_ANSWERS = (ACCEPTED, REJECTED, FAILED)


class Counters:
    """Named counters of one process.

    Attributes:
        counts: Values of the counters by name.
        final_answers: Number of sessions by final answer and then by listener.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.final_answers: dict[str, dict[str, int]] = {answer: {} for answer in FINAL_ANSWERS}

    def add_listeners(self, names: Iterable[str]) -> None:
        """Add listeners with counts of 0; existing ones keep their counts, and none is ever removed."""
        for counts in self.final_answers.values():
            for name in names:
                counts.setdefault(name, 0)

    def count_final_answer(self, answer: str, listener: str) -> None:
        """Count the final answer of a session, one of `FINAL_ANSWERS`."""
        self.final_answers[answer][listener] = self.final_answers[answer].get(listener, 0) + 1

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter by `amount`."""
        self.counts[name] += amount

    def must(self, holds: bool, rule: str) -> bool:
        """Check an invariant: assert it in debug mode, count violations in optimized mode (python -O).

        Args:
            holds: Whether the invariant holds.
            rule: Description of the invariant; part of the name of the violation counter.

        Returns:
            Whether the invariant holds.

        Raises:
            AssertionError: The invariant does not hold and Python runs in debug mode.
        """
        assert holds, rule
        if not holds:
            self.counts[f"broken: {rule}"] += 1
        return holds

    def snapshot(self) -> dict[str, int]:
        """Return the counters, sorted by name."""
        return dict(sorted(self.counts.items()))
