"""Operators' overrides: which are in force, and what voters store of them. No I/O.

Overrides are immutable, and sets of them merge by union: order and repetition make no difference, and none
is applied twice. The newest of a kind (by number, then id) has an effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from onyxhollow.addresses.messages import Override
from onyxhollow.addresses.routes import ActiveOverrides

MAX_OVERRIDES = 512  # beyond it the oldest overrides that are replaced or expired are removed
MAX_REASON_BYTES = 200


class Verb(NamedTuple):
    """The effect of an operator's verb."""

    kind: str  # field of ActiveOverrides
    sets: bool  # True: sets the override; False: clears it


VERBS = {
    "drain": Verb("drain", True),
    "undrain": Verb("drain", False),
    "pin": Verb("pin", True),
    "unpin": Verb("pin", False),
    "exclude": Verb("exclude", True),
    "include": Verb("exclude", False),
}


class OverrideEffect(NamedTuple):
    """The effect of one override on a route; the greatest by number and id applies."""

    number: int
    id: str
    text: str  # operator and reason; empty: the override is cleared


NO_EFFECT = OverrideEffect(0, "", "")


class OverrideLog:
    """The overrides known to this process, and when each expires on its monotonic clock.

    The expiry is computed from the wall clock once, so that later steps of the wall clock do not change it.
    """

    def __init__(self) -> None:
        self.overrides: dict[str, Override] = {}
        self.expires_at: dict[str, float] = {}
        self.digest = 0  # XOR of the hashed ids, independent of their order

    def add(self, override: Override, now: float, wall: float) -> bool:
        """Add an override and return whether it is new; `now` is monotonic time, `wall` is Unix time."""
        if override.id in self.overrides or override.verb not in VERBS:
            return False
        self.overrides[override.id] = override
        if override.expires_at:
            self.expires_at[override.id] = now + override.expires_at - wall
        self.toggle_in_digest(override.id)
        return True

    def toggle_in_digest(self, override_id: str) -> None:
        """Add an id to the digest, or remove it if it is included."""
        self.digest ^= xxhash.xxh3_64_intdigest(override_id.encode())

    @property
    def highest_number(self) -> int:
        """Highest number of any override; 0 if there is none."""
        return max((override.number for override in self.overrides.values()), default=0)

    def is_expired(self, override: Override, now: float) -> bool:
        """Return whether the override has expired."""
        return override.id in self.expires_at and now >= self.expires_at[override.id]

    def compact(self, now: float) -> list[str]:
        """Remove the oldest replaced or expired overrides beyond MAX_OVERRIDES, and return their ids."""
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
        """Return the newest override that has not expired, for each kind, address and site."""
        newest: dict[tuple[str, str, str], Override] = {}
        for override in self.overrides.values():
            key = VERBS[override.verb].kind, override.address, override.site
            previous = newest.get(key)
            is_newer = previous is None or (previous.number, previous.id) < (override.number, override.id)
            if is_newer and not self.is_expired(override, now):
                newest[key] = override
        return set(newest.values())

    def active(
        self, addresses: Iterable[str], sites: Iterable[str], now: float
    ) -> dict[tuple[str, str], ActiveOverrides]:
        """Return the overrides in force for each route, by address and site.

        Of an override for all addresses and one for a single address the newer one applies.
        """
        all_addresses = list(addresses)
        known_sites = set(sites)
        effects_by_route: dict[tuple[str, str], dict[str, OverrideEffect]] = {}
        for override in self.newest_active(now):
            if override.site not in known_sites:
                continue
            verb = VERBS[override.verb]
            text = f"{override.operator}: {override.reason}" if verb.sets else ""
            effect = OverrideEffect(override.number, override.id, text)
            for address in [override.address] if override.address else all_addresses:
                effects = effects_by_route.setdefault((address, override.site), {})
                effects[verb.kind] = max(effects.get(verb.kind, NO_EFFECT), effect)
        return {
            key: ActiveOverrides(**{kind: effect.text for kind, effect in effects.items()})
            for key, effects in effects_by_route.items()
        }
