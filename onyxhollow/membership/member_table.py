"""The member table: each known process, its state, and the transitions between states.

A member is one process: its name and its epoch. Two processes of one name, as at a replacement, are two
members.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from onyxhollow.membership.flap_damping import FlapDamping
from onyxhollow.membership.messages import Address, MemberState, MemberUpdate, encode

MemberKey = tuple[str, int]  # name and epoch
MAX_MEMBERS = 4096  # the dead included; a further one is refused unless a dead one can be forgotten

ALLOWED_TRANSITIONS: Mapping[MemberState, frozenset[MemberState]] = {
    # ALIVE to ALIVE and SUSPECT to SUSPECT take a higher incarnation.
    MemberState.ALIVE: frozenset(MemberState),
    MemberState.SUSPECT: frozenset(MemberState),
    MemberState.DEAD: frozenset({MemberState.ALIVE}),  # it has refuted with a higher incarnation
    MemberState.LEFT: frozenset(),  # the process has ended: its epoch does not come back
}


class InvalidTransitionError(Exception):
    """A member was to take a state that its present state does not lead to: a fault of the caller."""


@dataclass(slots=True)
class Member:
    """One known process and its state as this member sees it."""

    name: str
    epoch: int
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    flags: int
    state_since: float  # when it took its state, seconds
    deadline: float = math.inf  # when a suspect is declared dead, seconds
    suspected_by: set[str] = field(default_factory=set)

    @property
    def key(self) -> MemberKey:
        """Name and epoch."""
        return self.name, self.epoch

    @property
    def is_live(self) -> bool:
        """Whether it counts as a member: alive or suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def can_become(self, state: MemberState) -> bool:
        """Whether the table of transitions has a row for this state."""
        return state in ALLOWED_TRANSITIONS[self.state]

    def update(self) -> MemberUpdate:
        """Return the message that describes this member."""
        suspected = self.state is MemberState.SUSPECT
        return MemberUpdate(
            self.name,
            self.epoch,
            self.incarnation,
            self.state,
            self.address,
            self.zone,
            self.flags,
            min(self.suspected_by, default="") if suspected else "",
        )


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member that is new or has taken another state."""

    member: Member
    before: MemberState | None  # None: new here
    cause: str = ""


class MemberTable:
    """The other members, and this member's own state."""

    def __init__(self, local: MemberUpdate) -> None:
        self.local = local
        self.members: dict[MemberKey, Member] = {}
        # Parts of `members`, stored beside it: with hundreds of members a scan of all for each datagram takes
        # more time than everything else together.
        self.live: dict[MemberKey, Member] = {}
        self.suspects: dict[MemberKey, Member] = {}
        self.changes: list[MemberChange] = []
        self.flap_damping = FlapDamping()
        self.joined = False  # another member was known at a sync

    @property
    def local_key(self) -> MemberKey:
        """Name and epoch of this process."""
        return self.local.name, self.local.epoch

    @property
    def live_count(self) -> int:
        """Number of live members, this one included."""
        return 1 + len(self.live)

    def newest(self, name: str) -> Member | None:
        """Return the live process of a name; of two the later one."""
        found = [member for member in self.live.values() if member.name == name]
        return max(found, key=lambda member: member.epoch, default=None)

    def older_processes(self, newer: Member) -> list[Member]:
        """Return the live processes of the same name with an earlier epoch."""
        return [
            older for older in self.live.values() if older.name == newer.name and older.epoch < newer.epoch
        ]

    def add(self, update: MemberUpdate, now: float) -> Member | None:
        """Insert a member as alive; return None if the table is full of live members."""
        if len(self.members) >= MAX_MEMBERS and not self._forget_oldest_gone():
            return None
        member = Member(
            update.name,
            update.epoch,
            update.incarnation,
            MemberState.ALIVE,
            update.address,
            update.zone,
            update.flags,
            state_since=now,
        )
        self.members[member.key] = member
        self.live[member.key] = member
        return member

    def transition(
        self, member: Member, state: MemberState, incarnation: int, now: float, cause: str = ""
    ) -> None:
        """Give a member a state and an incarnation, and record the change if the state is another one.

        Raises:
            InvalidTransitionError: `ALLOWED_TRANSITIONS` does not lead to this state.
        """
        if not member.can_become(state):
            raise InvalidTransitionError(
                f"member {member.name}~{member.epoch}: expected one of the states that follow "
                f"{member.state.name}, got {state.name}"
            )
        before = member.state
        member.incarnation = incarnation
        if state is not before:
            member.state = state
            member.state_since = now
            self._index(member)
            if state is MemberState.DEAD:
                self.flap_damping.record_failure(member.name, now)
            self.changes.append(MemberChange(member, before, cause))
        if state is not MemberState.SUSPECT:
            member.deadline = math.inf
            member.suspected_by = set()

    def forget_gone(self, now: float, retention: float) -> None:
        """Remove members that have been dead or gone for longer than `retention` seconds."""
        for key, member in list(self.members.items()):
            if not member.is_live and now - member.state_since > retention:
                del self.members[key]

    def digest(self) -> int:
        """Return a digest of the live members, this one included, whatever their order."""
        rows = [(member.name, member.epoch, member.incarnation) for member in self.live.values()]
        rows.append((self.local.name, self.local.epoch, self.local.incarnation))
        return _xor_of_hashes(rows)

    def _index(self, member: Member) -> None:
        for part, belongs in (
            (self.live, member.is_live),
            (self.suspects, member.state is MemberState.SUSPECT),
        ):
            if belongs:
                part[member.key] = member
            else:
                part.pop(member.key, None)

    def _forget_oldest_gone(self) -> bool:
        gone = [member for member in self.members.values() if not member.is_live]
        if not gone:
            return False
        del self.members[min(gone, key=lambda member: member.state_since).key]
        return True


def _xor_of_hashes(rows: Iterable[tuple[str, int, int]]) -> int:
    digest = 0
    for row in rows:
        digest ^= xxhash.xxh3_64_intdigest(encode(row))
    return digest
