"""Which clients are connected, which of them have asked for nothing yet, and which session ids were seen."""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_SEEN_IDS = 8192  # more than sessions can be open, and bounded
Item = TypeVar("Item")


class SessionTable(Generic[Item]):
    """The connected clients in the order in which they came.

    A session id is new with its connection, so one that comes again is not its owner's.
    """

    def __init__(self) -> None:
        self.live: dict[Item, None] = {}
        self.idle: dict[Item, None] = {}
        self.seen_ids: dict[str, None] = {}

    def add(self, item: Item) -> None:
        """Adds a connection that was accepted."""
        self.live[item] = None

    def remove(self, item: Item) -> None:
        """Removes a connection that has ended."""
        del self.live[item]
        self.mark_active(item)

    def mark_idle(self, item: Item) -> None:
        """Notes that a connection waits for its first line, from the first call on."""
        self.idle.setdefault(item)

    def mark_active(self, item: Item) -> None:
        """Notes that a connection has asked for something, or has ended."""
        self.idle.pop(item, None)

    def claim_id(self, session_id: str) -> bool:
        """Claims an id for a new session; False if one with this id is open or was of late."""
        if session_id in self.seen_ids:
            return False
        self.seen_ids[session_id] = None
        if len(self.seen_ids) > MAX_SEEN_IDS:
            del self.seen_ids[next(iter(self.seen_ids))]
        return True

    def longest_idle(self) -> Item | None:
        """The connection that has waited longest for its first line."""
        return next(iter(self.idle), None)

    def __len__(self) -> int:
        return len(self.live)
