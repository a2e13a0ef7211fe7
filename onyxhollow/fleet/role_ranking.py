"""In which order members are candidates for a role, by rendezvous hashing (Thaler, Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from onyxhollow.fleet import clock
from onyxhollow.fleet.identity import MAY_HOLD_ROLES, make_process_id, member_name
from onyxhollow.membership.messages import MemberState
from onyxhollow.membership.swim import SwimMembership

CACHED_HASHES = 4096  # pairs of a role and a member


@lru_cache(CACHED_HASHES)
def rendezvous_hash(role: str, member: str) -> int:
    """A member's place in a role's order; cached, since each change of the members needs all of them."""
    return xxhash.xxh3_64_intdigest(f"{role}\0{member}".encode())


class RankedProcess(NamedTuple):
    """A process that may hold a role.

    Those suspected, and those that come and go, rank last: a role must not wait for them nor lack them.
    """

    suspected: bool
    damped: bool
    name: str
    process_id: str


class RoleRanking:
    """The order of candidates of each role, as this member sees it; cached until `clear`.

    Args:
        membership: Live members and their flags.
        name: Of this member.
        process_id: Of this process.
        may_hold_roles: Whether this process may hold roles now.
    """

    def __init__(
        self, membership: SwimMembership, name: str, process_id: str, may_hold_roles: Callable[[], bool]
    ) -> None:
        self.membership = membership
        self.name = name
        self.process_id = process_id
        self.may_hold_roles = may_hold_roles
        self._orders: dict[str, list[str]] = {}

    def clear(self) -> None:
        """Members or flags have changed, or time has passed: orders are computed again."""
        self._orders.clear()

    def candidate_order(self, role: str, zone: str | None) -> list[str]:
        """Process ids of those that may hold a role, the preferred first.

        Args:
            role: Name of the role.
            zone: The zone that its holder has to be of; None: any.
        """
        cached = self._orders.get(role)
        if cached is not None:
            return cached
        ranked = sorted(
            self._able(zone),
            key=lambda one: (one.suspected, one.damped, rendezvous_hash(role, one.name)),
        )
        order = [one.process_id for one in ranked]
        self._orders[role] = order
        return order

    def successor(self, role: str, zone: str | None) -> str:
        """Who is to follow this process: one of its own name, else the first of the others; "" if none."""
        others = [process for process in self.candidate_order(role, zone) if process != self.process_id]
        own = [process for process in others if member_name(process) == self.name]
        if own:
            return own[-1]
        return others[0] if others else ""

    def _able(self, zone: str | None) -> set[RankedProcess]:
        now = clock.now()
        damped = self.membership.flap_damping.is_damped
        able = {
            RankedProcess(
                member.state is MemberState.SUSPECT,
                damped(member.name, now),
                member.name,
                make_process_id(member.name, member.epoch),
            )
            for member in self.membership.live_members()
            if member.flags & MAY_HOLD_ROLES and zone in (None, member.zone)
        }
        if self.may_hold_roles():
            able.add(RankedProcess(False, False, self.name, self.process_id))
        return able
