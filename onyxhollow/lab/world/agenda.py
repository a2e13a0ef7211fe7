"""All that is due, in one heap. The virtual engine jumps from entry to entry; the socket engine waits for
each."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class Agenda:
    """Calls by time; those of one time in the order in which they were put down."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = self.done = 0

    def at(self, when: float, call: Callable[..., None], *values: Any) -> None:
        self.count += 1
        # A time gone by is now: an entry before others that were done would turn the course back.
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.count, call, values))

    def after(self, span: float, call: Callable[..., None], *values: Any) -> None:
        self.at(self.now + span, call, *values)

    @property
    def next(self) -> float:
        return self.heap[0][0] if self.heap else math.inf

    def run(self, until: float) -> None:
        """Does all that is due up to until, that included; now is until afterwards."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until:
            self.now, _, call, values = pop(heap)
            self.done += 1
            call(*values)
        self.now = max(self.now, until)
