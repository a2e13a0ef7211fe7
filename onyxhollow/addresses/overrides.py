"""Operators' overrides: which are in force, and what voters store of them. Pure.

An override is a record that never changes. Sets of them merge by union, in any order and any number of times,
so none is applied twice. The newest of a kind (by number, then id) counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from onyxhollow.addresses.messages import Override
from onyxhollow.addresses.routes import ActiveOverrides

MAX_OVERRIDES = 512  # stored at once; the oldest that are replaced or expired make room
MAX_REASON_BYTES = 200


class Verb(NamedTuple):
    """What an operator's verb does."""

    kind: str  # field of ActiveOverrides
    sets: bool  # sets the override, or takes it back


VERBS = {
    "drain": Verb("drain", True),
    "undrain": Verb("drain", False),
    "pin": Verb("pin", True),
    "unpin": Verb("pin", False),
    "exclude": Verb("exclude", True),
    "include": Verb("exclude", False),
}


class Statement(NamedTuple):
    """What one override says of a route; the greatest by number and id counts."""

    number: int
    id: str
    text: str  # who and why; empty: taken back


NOTHING_SAID = Statement(0, "", "")


class OverrideLog:
    """The overrides known here, and when each expires on this process's monotonic clock.

    The expiry is computed once from the wall clock: its later steps neither lengthen nor end an override.
    """

    def __init__(self) -> None:
        self.overrides: dict[str, Override] = {}
        self.expires_at: dict[str, float] = {}
        self.digest = 0  # of the ids, independent of their order

    def add(self, override: Override, now: float, wall: float) -> bool:
        """Adds an override; whether it was new. `now` is monotonic, `wall` Unix seconds."""
        if override.id in self.overrides or override.verb not in VERBS:
            return False
        self.overrides[override.id] = override
        if override.expires_at:
            self.expires_at[override.id] = now + override.expires_at - wall
        self.toggle_in_digest(override.id)
        return True

    def toggle_in_digest(self, override_id: str) -> None:
        """Adds an id to the digest, or takes it out."""
        self.digest ^= xxhash.xxh3_64_intdigest(override_id.encode())

    @property
    def highest_number(self) -> int:
        """The highest number of an override; 0 if there is none."""
        return max((override.number for override in self.overrides.values()), default=0)

    def is_expired(self, override: Override, now: float) -> bool:
        """Whether its time is over."""
        return override.id in self.expires_at and now >= self.expires_at[override.id]

    def compact(self, now: float) -> list[str]:
        """Past MAX_OVERRIDES, removes the oldest that are replaced or expired; their ids."""
        if len(self.overrides) <= MAX_OVERRIDES:
            return []
        newest = self.newest_active(now)
        obsolete = sorted(
            (override.number, override.id) for override in self.overrides.values() if override not in newest
        )
        removed = [override_id for _, override_id in obsolete[: len(self.overrides) - MAX_OVERRIDES]]
        for override_id in removed:
            del self.overrides[override_id]
            self.expires_at.pop(override_id, None)
            self.toggle_in_digest(override_id)
        return removed

    def newest_active(self, now: float) -> set[Override]:
        """Of each kind, address and site the newest override that is not expired."""
        found: dict[tuple[str, str, str], Override] = {}
        for override in self.overrides.values():
            key = VERBS[override.verb].kind, override.address, override.site
            known = found.get(key)
            is_newer = known is None or (known.number, known.id) < (override.number, override.id)
            if is_newer and not self.is_expired(override, now):
                found[key] = override
        return set(found.values())

    def active(
        self, addresses: Iterable[str], sites: Iterable[str], now: float
    ) -> dict[tuple[str, str], ActiveOverrides]:
        """What overrides say of each route, by address and site.

        Of an override for all addresses and one for a single address the newer counts.
        """
        all_addresses = list(addresses)
        known_sites = set(sites)
        found: dict[tuple[str, str], dict[str, Statement]] = {}
        for override in self.newest_active(now):
            if override.site not in known_sites:
                continue
            verb = VERBS[override.verb]
            text = f"{override.operator}: {override.reason}" if verb.sets else ""
            statement = Statement(override.number, override.id, text)
            for address in [override.address] if override.address else all_addresses:
                statements = found.setdefault((address, override.site), {})
                statements[verb.kind] = max(statements.get(verb.kind, NOTHING_SAID), statement)
        return {
            key: ActiveOverrides(**{kind: statement.text for kind, statement in statements.items()})
            for key, statements in found.items()
        }
