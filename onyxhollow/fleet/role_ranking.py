"""Order of the candidates for a role, by rendezvous hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from onyxhollow.fleet import clock
from onyxhollow.fleet.identity import MAY_HOLD_ROLES, make_process_id, member_name
from onyxhollow.membership.messages import MemberState
from onyxhollow.membership.swim import SwimMembership

MAX_CACHED_HASHES = 4096  # pairs of role and member


@lru_cache(MAX_CACHED_HASHES)
def rendezvous_hash(role: str, member: str) -> int:
    """Return the hash that orders the members of a role.

    Cached, because every change of the members requires the hashes of all of them.
    """
    return xxhash.xxh3_64_intdigest(f"{role}\0{member}".encode())


class RankedProcess(NamedTuple):
    """Process that is eligible for a role.

    Processes that are suspected or under flap damping rank last, so that a role does not wait for them. They
    stay in the order, so that a role has a candidate even if all processes are suspected or damped.
    """

    suspected: bool
    damped: bool
    name: str
    process_id: str


class RoleRanking:
    """Order of the candidates of each role, based on this member's membership; cached until `clear`.

    Args:
        membership: Source of the live members and their flags.
        name: Name of this member.
        process_id: Id of this process.
        may_hold_roles: Returns whether this process may hold roles now.
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
        """Discard the cached orders; called after changes of members or flags, and periodically."""
        self._orders.clear()

    def candidate_order(self, role: str, zone: str | None) -> list[str]:
        """Return the process ids of the eligible processes, starting with the preferred one.

        Args:
            role: Name of the role.
            zone: Zone to which the holder must belong; None for any zone.
        """
        cached = self._orders.get(role)
        if cached is not None:
            return cached
        ranked = sorted(
            self._eligible_processes(zone),
            key=lambda process: (process.suspected, process.damped, rendezvous_hash(role, process.name)),
        )
        order = [process.process_id for process in ranked]
        self._orders[role] = order
        return order

    def successor(self, role: str, zone: str | None) -> str:
        """Return the successor: another process of this member, else the first other candidate, else ""."""
        others = [process for process in self.candidate_order(role, zone) if process != self.process_id]
        same_member = [process for process in others if member_name(process) == self.name]
        if same_member:
            return same_member[-1]
        return others[0] if others else ""

    def _eligible_processes(self, zone: str | None) -> set[RankedProcess]:
        now = clock.now()
        is_damped = self.membership.flap_damping.is_damped
        eligible = {
            RankedProcess(
                member.state is MemberState.SUSPECT,
                is_damped(member.name, now),
                member.name,
                make_process_id(member.name, member.epoch),
            )
            for member in self.membership.live_members()
            if member.flags & MAY_HOLD_ROLES and zone in (None, member.zone)
        }
        if self.may_hold_roles():
            eligible.add(RankedProcess(False, False, self.name, self.process_id))
        return eligible
