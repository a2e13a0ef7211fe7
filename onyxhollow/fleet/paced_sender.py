"""Rate-limited sending of list updates; a snapshot for a whole zone needs thousands of datagrams."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from onyxhollow.fleet.list_messages import ListUpdate
from onyxhollow.membership.member_table import Member

GROUP_INTERVAL_SECONDS = 0.02  # between two groups of datagrams
GROUP_SIZE = 24  # datagrams
MAX_QUEUED = 16384  # datagrams; further ones are dropped and their receivers request a snapshot


class PacedSender:
    """Queue of updates that are sent in small groups at fixed intervals."""

    def __init__(self, send: Callable[[Member, ListUpdate], None]) -> None:
        self.send = send
        self.queue: deque[tuple[Member, ListUpdate]] = deque()
        self.next_due = math.inf  # time of the next group, seconds

    def enqueue(self, receiver: Member, update: ListUpdate, now: float) -> bool:
        """Queue an update and return True, or return False if the queue is full."""
        if len(self.queue) >= MAX_QUEUED:
            return False
        self.queue.append((receiver, update))
        self.next_due = min(self.next_due, now)
        return True

    def tick(self, now: float) -> None:
        """Send the next group if it is due."""
        if self.queue and now >= self.next_due:
            self.next_due = now + GROUP_INTERVAL_SECONDS
            for _ in range(min(GROUP_SIZE, len(self.queue))):
                self.send(*self.queue.popleft())
        if not self.queue:
            self.next_due = math.inf
