"""The member table: known processes, their states, and the transitions between states.

A member is one process, identified by its name and epoch. Two processes with the same name, such as a
predecessor and its replacement, are two members.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from onyxhollow.membership.flap_damping import FlapDamping
from onyxhollow.membership.messages import Address, MemberState, MemberUpdate, encode

MemberKey = tuple[str, int]  # name and epoch
MAX_MEMBERS = 4096  # when full, a new member replaces the oldest dead or left one, else is refused

ALLOWED_TRANSITIONS: Mapping[MemberState, frozenset[MemberState]] = {
    # ALIVE to ALIVE and SUSPECT to SUSPECT require a higher incarnation.
    MemberState.ALIVE: frozenset(MemberState),
    MemberState.SUSPECT: frozenset(MemberState),
    MemberState.DEAD: frozenset({MemberState.ALIVE}),  # refuted with a higher incarnation
    MemberState.LEFT: frozenset(),  # final: a restarted process has a new epoch
}


class InvalidTransitionError(Exception):
    """The caller requested a transition that `ALLOWED_TRANSITIONS` does not contain."""


@dataclass(slots=True)
class Member:
    """One known process and its state as this process sees it."""

    name: str
    epoch: int
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    flags: int
    state_since: float  # time of the last state change, seconds
    deadline: float = math.inf  # time at which a suspect is declared dead, seconds
    suspected_by: set[str] = field(default_factory=set)  # names of members

    @property
    def key(self) -> MemberKey:
        """Name and epoch."""
        return self.name, self.epoch

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def can_become(self, state: MemberState) -> bool:
        """Return whether `ALLOWED_TRANSITIONS` contains this transition."""
        return state in ALLOWED_TRANSITIONS[self.state]

    def update(self) -> MemberUpdate:
        """Return the update message for this member."""
        is_suspect = self.state is MemberState.SUSPECT
        return MemberUpdate(
            self.name,
            self.epoch,
            self.incarnation,
            self.state,
            self.address,
            self.zone,
            self.flags,
            min(self.suspected_by, default="") if is_suspect else "",
        )


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member that is new or has changed its state."""

    member: Member
    previous_state: MemberState | None  # None: the member is new
    cause: str = ""


class MemberTable:
    """The other members and the state of this process."""

    def __init__(self, local: MemberUpdate) -> None:
        self.local = local
        self.members: dict[MemberKey, Member] = {}
        # Indexes of `members`: with hundreds of members, a full scan for each datagram took more time than
        # all other work.
        self.live: dict[MemberKey, Member] = {}
        self.suspects: dict[MemberKey, Member] = {}
        self.changes: list[MemberChange] = []
        self.flap_damping = FlapDamping()
        self.joined = False  # whether another member was live at some anti-entropy exchange

    @property
    def local_key(self) -> MemberKey:
        """Name and epoch of this process."""
        return self.local.name, self.local.epoch

    @property
    def live_count(self) -> int:
        """Number of live members, including this process."""
        return 1 + len(self.live)

    def newest(self, name: str) -> Member | None:
        """Return the live process with this name and the highest epoch, or None."""
        processes = [member for member in self.live.values() if member.name == name]
        return max(processes, key=lambda member: member.epoch, default=None)

    def older_processes(self, newer: Member) -> list[Member]:
        """Return the live processes with the same name and a lower epoch."""
        return [
            older for older in self.live.values() if older.name == newer.name and older.epoch < newer.epoch
        ]

    def add(self, update: MemberUpdate, now: float) -> Member | None:
        """Add a member in the state ALIVE; return None if the table is full of live members."""
        if len(self.members) >= MAX_MEMBERS and not self._evict_oldest_ended():
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
        """Set a member's state and incarnation, and record a change if the state differs.

        Raises:
            InvalidTransitionError: `ALLOWED_TRANSITIONS` does not contain this transition.
        """
        if not member.can_become(state):
            raise InvalidTransitionError(
                f"member {member.name}~{member.epoch}: expected one of the states that follow "
                f"{member.state.name}, got {state.name}"
            )
        previous_state = member.state
        member.incarnation = incarnation
        if state is not previous_state:
            member.state = state
            member.state_since = now
            self._update_indexes(member)
            if state is MemberState.DEAD:
                self.flap_damping.record_failure(member.name, now)
            self.changes.append(MemberChange(member, previous_state, cause))
        if state is not MemberState.SUSPECT:
            member.deadline = math.inf
            member.suspected_by = set()

    def remove_expired(self, now: float, retention: float) -> None:
        """Remove members that have been dead or left for longer than `retention` seconds."""
        for key, member in list(self.members.items()):
            if not member.is_live and now - member.state_since > retention:
                del self.members[key]

    def digest(self) -> int:
        """Return a digest of the live members and this process that does not depend on their order."""
        entries = [(member.name, member.epoch, member.incarnation) for member in self.live.values()]
        entries.append((self.local.name, self.local.epoch, self.local.incarnation))
        return _xor_of_hashes(entries)

    def _update_indexes(self, member: Member) -> None:
        for index, is_included in (
            (self.live, member.is_live),
            (self.suspects, member.state is MemberState.SUSPECT),
        ):
            if is_included:
                index[member.key] = member
            else:
                index.pop(member.key, None)

    def _evict_oldest_ended(self) -> bool:
        ended = [member for member in self.members.values() if not member.is_live]
        if not ended:
            return False
        del self.members[min(ended, key=lambda member: member.state_since).key]
        return True


def _xor_of_hashes(entries: Iterable[tuple[str, int, int]]) -> int:
    digest = 0
    for entry in entries:
        digest ^= xxhash.xxh3_64_intdigest(encode(entry))
    return digest
