"""Operators' orders: which are in force, and what voters keep of them. Pure.

An order is a row that never changes; a set of them is merged by putting them together, in any order and as
often as one likes, so none is carried out twice. The newest of a kind (by number, then id) decides.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from onyxhollow.addresses.messages import Override
from onyxhollow.addresses.rules import ActiveOverrides

VERBS = {
    "drain": ("drain", True),
    "undrain": ("drain", False),
    "pin": ("pin", True),
    "unpin": ("pin", False),
    "exclude": ("exclude", True),
    "include": ("exclude", False),
}
MOST = 512  # held at once; the oldest that are over make room
WORDS = 200  # characters of a reason


class OverrideLog:
    """The orders known here, with when each is over on this process's own clock: learnt once, from the wall
    clock, so that its later steps neither lengthen nor end an order."""

    def __init__(self) -> None:
        self.overrides: dict[str, Override] = {}
        self.expires_at: dict[str, float] = {}
        self.digest = 0

    def add(self, order: Override, now: float, wall: float) -> bool:
        """Whether it was new."""
        if order.id in self.overrides or order.verb not in VERBS:
            return False
        self.overrides[order.id] = order
        if order.expires_at:
            self.expires_at[order.id] = now + order.expires_at - wall
        self.digest ^= xxhash.xxh3_64_intdigest(order.id.encode())
        return True

    @property
    def highest_number(self) -> int:
        return max((order.number for order in self.overrides.values()), default=0)

    def is_expired(self, order: Override, now: float) -> bool:
        return order.id in self.expires_at and now >= self.expires_at[order.id]

    def compact(self, now: float) -> list[str]:
        """Takes out what can't matter any more, once there is much: each order replaced or over."""
        if len(self.overrides) <= MOST:
            return []
        newest = self.newest_active(now)
        done = sorted((order.number, order.id) for order in self.overrides.values() if order not in newest)
        gone = [id for _, id in done[: len(self.overrides) - MOST]]
        for id in gone:
            del self.overrides[id]
            self.expires_at.pop(id, None)
            self.digest ^= xxhash.xxh3_64_intdigest(id.encode())
        return gone

    def newest_active(self, now: float) -> set[Override]:
        """Of each kind, address and site the newest one that is not over."""
        found: dict[tuple[str, str, str], Override] = {}
        for order in self.overrides.values():
            key = VERBS[order.verb][0], order.address, order.site
            known = found.get(key)
            newer = known is None or (known.number, known.id) < (order.number, order.id)
            if newer and not self.is_expired(order, now):
                found[key] = order
        return set(found.values())

    def active(
        self, addresses: Iterable[str], sites: Iterable[str], now: float
    ) -> dict[tuple[str, str], ActiveOverrides]:
        """What they say of each address at each site; the newer of one for all and one for one counts."""
        addresses, told = list(addresses), dict[tuple[str, str], dict[str, tuple[int, str, str]]]()
        sites = set(sites)
        for order in self.newest_active(now):
            kind, on = VERBS[order.verb]
            if order.site not in sites:
                continue
            for address in [order.address] if order.address else addresses:
                row = told.setdefault((address, order.site), {})
                says = order.number, order.id, f"{order.operator}: {order.reason}" if on else ""
                row[kind] = max(row.get(kind, (0, "", "")), says)
        return {
            key: ActiveOverrides(**{kind: says[2] for kind, says in row.items()}) for key, row in told.items()
        }
