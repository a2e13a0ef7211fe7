"""Tables of what lives longer than a call: server addresses and live sessions."""

from __future__ import annotations

from typing import Generic, TypeVar

Address = tuple[str, int]
Item = TypeVar("Item")


class Addresses:
    """Where each server is dialled from here. An address differs from proxy to proxy and may change."""

    def __init__(self) -> None:
        self.known: dict[str, Address] = {}

    def learn(self, name: str, address: Address) -> None:
        self.known[name] = address

    def find(self, name: str) -> Address | None:
        return self.known.get(name)


class Live(Generic[Item]):
    """Things in order of their coming; the oldest is found without a look at the rest."""

    def __init__(self) -> None:
        self.items: dict[Item, None] = {}

    def add(self, item: Item) -> None:
        self.items[item] = None

    def remove(self, item: Item) -> None:
        self.items.pop(item, None)

    def __len__(self) -> int:
        return len(self.items)

    def all(self) -> list[Item]:
        return list(self.items)
