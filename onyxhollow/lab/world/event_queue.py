"""The event queue: scheduled calls in one heap.

The virtual engine jumps from event to event; the socket engine waits for each.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Calls in order of time; calls of the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        """Begin at time 0 with no scheduled call."""
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled = self.executed = 0

    def schedule_at(self, when: float, call: Callable[..., None], *values: Any) -> None:
        """Schedule a call at a time in seconds, but not before now."""
        self.scheduled += 1
        # A time in the past becomes now: otherwise time would run backwards.
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.scheduled, call, values))

    def schedule_after(self, span: float, call: Callable[..., None], *values: Any) -> None:
        """Schedule a call `span` seconds from now; a negative span counts as 0."""
        self.schedule_at(self.now + span, call, *values)

    @property
    def next_due(self) -> float:
        """Time of the next event; infinite if there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def run_until(self, until: float) -> None:
        """Execute all events due up to and including until, and set the current time to it."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until:
            self.now, _, call, values = pop(heap)
            self.executed += 1
            call(*values)
        self.now = max(self.now, until)
