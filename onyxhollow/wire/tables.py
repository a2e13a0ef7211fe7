"""Tables of what lives longer than a call: server addresses and live sessions."""

from __future__ import annotations

from typing import Generic, TypeVar

NAMES = 8192  # names of sessions kept: more than can be open, and bounded
Address = tuple[str, int]
Item = TypeVar("Item")


class EndpointAddresses:
    """Where each server is dialled from here. An address differs from proxy to proxy and may change."""

    def __init__(self) -> None:
        self.known: dict[str, Address] = {}

    def store(self, name: str, address: Address) -> None:
        self.known[name] = address

    def find(self, name: str) -> Address | None:
        return self.known.get(name)


class SessionTable(Generic[Item]):
    """The clients connected, in order of their coming, which of them have asked for nothing yet, and the
    names of sessions met: each is new with its connection, so one that comes again is not its owner's."""

    def __init__(self) -> None:
        self.live: dict[Item, None] = {}
        self.idle: dict[Item, None] = {}
        self.seen_ids: dict[str, None] = {}

    def add(self, item: Item) -> None:
        self.live[item] = None

    def mark_idle(self, item: Item) -> None:
        self.idle.setdefault(item)

    def mark_active(self, item: Item) -> None:
        self.idle.pop(item, None)

    def claim_id(self, name: str) -> bool:
        """False if a session of this name is open or was of late."""
        if name in self.seen_ids:
            return False
        self.seen_ids[name] = None
        if len(self.seen_ids) > NAMES:
            del self.seen_ids[next(iter(self.seen_ids))]
        return True

    def remove(self, item: Item) -> None:
        del self.live[item]
        self.mark_active(item)

    def longest_idle(self) -> Item | None:
        return next(iter(self.idle), None)

    def __len__(self) -> int:
        return len(self.live)
