"""Tables of connected clients, of clients that have sent no request yet, and of recent session ids."""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_SEEN_IDS = 8192  # above the number of sessions that can be open; bounds the memory
Item = TypeVar("Item")


class SessionTable(Generic[Item]):
    """Connected clients in the order of their arrival, and the session ids that were used.

    Each connection has a new session id. An id that is received again belongs to another session.
    """

    def __init__(self) -> None:
        self.live: dict[Item, None] = {}
        self.idle: dict[Item, None] = {}
        self.seen_ids: dict[str, None] = {}

    def add(self, item: Item) -> None:
        """Add an accepted connection."""
        self.live[item] = None

    def remove(self, item: Item) -> None:
        """Remove a connection that has ended."""
        del self.live[item]
        self.mark_active(item)

    def mark_idle(self, item: Item) -> None:
        """Mark a connection as waiting for its first line; later calls keep its position in the order."""
        self.idle.setdefault(item)

    def mark_active(self, item: Item) -> None:
        """Mark a connection as having sent a request, or as ended."""
        self.idle.pop(item, None)

    def claim_id(self, session_id: str) -> bool:
        """Claim an id for a new session; return False if an open or recent session has it."""
        if session_id in self.seen_ids:
            return False
        self.seen_ids[session_id] = None
        if len(self.seen_ids) > MAX_SEEN_IDS:
            del self.seen_ids[next(iter(self.seen_ids))]
        return True

    def longest_idle(self) -> Item | None:
        """Return the connection that has waited longest for its first line, or None."""
        return next(iter(self.idle), None)

    def __len__(self) -> int:
        return len(self.live)
