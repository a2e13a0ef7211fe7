"""A voter: grants the lease of a role to one process at a time, under a term that only rises.

Pure: given the time (seconds on its own clock, which no step of the wall clock moves) and a message, it
returns what to answer and what has to be stored before the answer is sent. What its safety rests on:

- A grant runs out on the voter's own clock, the lease's duration after the request came in. The candidate
  counts from before it sent the request and stops earlier by the stated bound on clock rates, so no bound
  on message delays is needed.
- A term is given to one candidate, once, and only if it is higher than all before. Two majorities share a
  voter, which orders their terms; so terms rise from holder to holder.
- Grants outlive the process. A voter that starts with its records takes each lease as granted just now. One
  without them has forgotten which terms are used up: it is *recovering*, waits out the longest lease and
  queries the other voters; until enough of them have answered, it grants nothing.
- Changing the voter set is a proposal under the term of VOTERS_ROLE (single-decree Paxos with that term as
  the ballot number). A voter that has accepted one grants nothing more under the old voter set.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from onyxhollow.leases.messages import (
    VOTERS_ROLE,
    ConfigurationCommitted,
    KnownTerm,
    LeaseGrant,
    LeaseReleased,
    Message,
    PendingVoterSet,
    ProposalAccepted,
    ReconfigurationRequest,
    ReconfigurationResponse,
    RecoveryCompleted,
    Refusal,
    ReleaseNotice,
    StateQuery,
    StateResponse,
    VoteRequest,
    VoteResponse,
    VoterMessage,
    VoterSet,
    VoterSetChanged,
)
from onyxhollow.leases.voter_slot import VoterSlot, decide_vote

MAX_ROLES = 256  # that one voter grants leases of
MAX_LEASE_DURATION_SECONDS = 60.0  # seconds
STATE_QUERY_INTERVAL = 0.25  # seconds between the queries of a recovering voter


class VoterOutput(NamedTuple):
    """What a message leads to.

    Attributes:
        responses: Messages to whoever sent it.
        records: What has to be stored before they are sent.
    """

    responses: list[Message]
    records: list[Message]


class RecoveryOutput(NamedTuple):
    """What a recovering voter does.

    Attributes:
        queries: Messages to other voters.
        records: What has to be stored, once it has recovered.
    """

    queries: list[VoterMessage]
    records: list[Message]


@dataclass(frozen=True, slots=True)
class UndoState:
    """What the latest message has changed, as it was before."""

    role: str
    slot: VoterSlot | None
    pending: PendingVoterSet | None


class Voter:
    """One member's voter. Times are seconds on its own clock.

    Attributes:
        name: The member's name.
        voter_set: The newest one known.
        lease_duration: The longest lease it grants, seconds.
        slots: By role.
        pending: The voter set that it has accepted; None once a newer one is in force.
        recovering: It has lost its memory, or never had one.
        no_grants_before: A recovering voter grants nothing before this.
        peer_recovering: By name of the voters that have answered the state query: whether they recover too.
    """

    def __init__(self, name: str, voter_set: VoterSet, lease_duration: float, now: float) -> None:
        self.name = name
        self.voter_set = voter_set
        self.lease_duration = lease_duration
        self.slots: dict[str, VoterSlot] = {}
        self.pending: PendingVoterSet | None = None
        self.recovering = True
        self.no_grants_before = now + lease_duration
        self.peer_recovering: dict[str, bool] = {}
        self.query_round = 0
        self.next_query_at = now
        self._undo_state: UndoState | None = None

    # The voter's records.

    def restore(self, records: Iterable[Message], now: float) -> None:
        """Takes in what was stored before this process; each lease is taken as granted just now."""
        for record in records:
            if isinstance(record, LeaseGrant):
                expires_at = now + record.lease_duration if record.lease_duration else -math.inf
                self.slots[record.role] = VoterSlot(record.term, record.holder, expires_at)
            elif isinstance(record, LeaseReleased):
                slot = self.slots.get(record.role)
                if slot and slot.term == record.term:
                    self.slots[record.role] = VoterSlot(record.term)
            elif isinstance(record, VoterSetChanged):
                self._adopt(record.voter_set, now)
            elif isinstance(record, ProposalAccepted):
                self.pending = record.pending
            elif isinstance(record, RecoveryCompleted):
                self.recovering = False

    def records(self) -> list[Message]:
        """All that has to outlive the process, in as few records as it takes."""
        records: list[Message] = [VoterSetChanged(self.voter_set)]
        for role, slot in sorted(self.slots.items()):
            granted_here = slot.holder and slot.expires_at > -math.inf
            duration = self.lease_duration if granted_here else 0.0
            records.append(LeaseGrant(role, slot.term, slot.holder, duration))
        if self.pending:
            records.append(ProposalAccepted(self.pending))
        return records if self.recovering else [*records, RecoveryCompleted()]

    def undo(self) -> None:
        """The latest message's records could not be stored: nothing is answered, and nothing holds."""
        before = self._undo_state
        if before is None:
            return
        self.pending = before.pending
        if before.slot is None:
            self.slots.pop(before.role, None)
        else:
            self.slots[before.role] = before.slot
        self._undo_state = None

    # Recovery.

    @property
    def peers(self) -> list[str]:
        """The other voters."""
        return [name for name in self.voter_set.names if name != self.name]

    def tick(self, now: float) -> RecoveryOutput:
        """Does what is due; only a recovering voter has anything to do."""
        if not self.recovering or self.name not in self.voter_set.names:
            return RecoveryOutput([], [])
        # Any majority that this voter was part of has another member among so many of its peers. When all
        # peers have lost their memory too, nobody has more to report than that.
        remembering = sum(1 for name in self.peers if self.peer_recovering.get(name) is False)
        all_answered = all(name in self.peer_recovering for name in self.peers)
        if now >= self.no_grants_before and (remembering >= self.voter_set.majority or all_answered):
            self.recovering = False
            return RecoveryOutput([], self.records())
        if now < self.next_query_at:
            return RecoveryOutput([], [])
        self.next_query_at = now + STATE_QUERY_INTERVAL
        self.query_round += 1
        query = StateQuery(self.query_round)
        return RecoveryOutput([VoterMessage(name, query) for name in self.peers], [])

    def next_due(self) -> float:
        """When `tick` has something to do; inf if it has not."""
        active = self.recovering and self.name in self.voter_set.names
        return self.next_query_at if active else math.inf

    def _on_state_response(self, name: str, response: StateResponse, now: float) -> None:
        if not self.recovering or name not in self.peers:
            return
        if response.voter_set.version > self.voter_set.version:
            self._adopt(response.voter_set, now)
        self.peer_recovering[name] = response.recovering
        for role, (term, holder) in response.known_terms.items():
            if len(self.slots) < MAX_ROLES and term > self.slots.get(role, VoterSlot()).term:
                self.slots[role] = VoterSlot(term, holder)

    # Messages.

    def on_message(self, now: float, source: str, message: Message) -> VoterOutput:
        """Takes a message from the member named `source`; a kind that is not for voters is ignored."""
        self._undo_state = None
        if isinstance(message, VoteRequest):
            return self._on_vote_request(now, message)
        if isinstance(message, ReleaseNotice):
            return self._on_release(message)
        if isinstance(message, StateQuery):
            known = {role: KnownTerm(slot.term, slot.holder) for role, slot in self.slots.items()}
            response = StateResponse(message.round, self.recovering, known, self.voter_set)
            return VoterOutput([response], [])
        if isinstance(message, ReconfigurationRequest):
            return self._on_reconfiguration(message)
        if isinstance(message, StateResponse):
            self._on_state_response(source, message, now)
        elif (
            isinstance(message, ConfigurationCommitted) and message.voter_set.version > self.voter_set.version
        ):
            self._adopt(message.voter_set, now)
            return VoterOutput([], [VoterSetChanged(self.voter_set)])
        return VoterOutput([], [])

    def _on_vote_request(self, now: float, request: VoteRequest) -> VoterOutput:
        slot = self.slots.get(request.role, VoterSlot())
        refusal = self._cannot_vote(request)
        if refusal is Refusal.NONE:
            decision = decide_vote(slot, request, now)
            if isinstance(decision, VoterSlot):
                return self._grant(request, slot, decision)
            refusal = decision
        return VoterOutput([self._refuse(now, request, slot, refusal)], [])

    def _cannot_vote(self, request: VoteRequest) -> Refusal:
        """Why this voter can't vote on the request, whatever the slot; Refusal.NONE if it can."""
        if self.voter_set.version != request.voter_set_version:
            newer_here = self.voter_set.version > request.voter_set_version
            return Refusal.STALE_VOTER_SET if newer_here else Refusal.VOTER_BEHIND
        if self.name not in self.voter_set.names:
            return Refusal.NOT_A_VOTER
        if self.recovering:
            return Refusal.RECOVERING
        if self.pending and request.role != VOTERS_ROLE:
            return Refusal.RECONFIGURING
        too_many = request.role not in self.slots and len(self.slots) >= MAX_ROLES
        if too_many or not 0.0 < request.lease_duration <= self.lease_duration:
            return Refusal.OUT_OF_BOUNDS
        return Refusal.NONE

    def _refuse(self, now: float, request: VoteRequest, slot: VoterSlot, refusal: Refusal) -> VoteResponse:
        remaining = slot.remaining(now)
        if refusal is Refusal.RECOVERING:
            remaining = self.no_grants_before - now
        return VoteResponse(
            request.role,
            request.term,
            request.round,
            granted=False,
            highest_term=slot.term,
            holder=slot.holder if slot.remaining(now) else "",
            remaining=max(0.0, remaining),
            refusal=refusal,
            voter_set=self.voter_set if self.voter_set.version > request.voter_set_version else None,
            pending=self._pending_for(request.role),
        )

    def _grant(self, request: VoteRequest, before: VoterSlot, after: VoterSlot) -> VoterOutput:
        response = VoteResponse(
            request.role,
            request.term,
            request.round,
            granted=True,
            highest_term=before.term,
            pending=self._pending_for(request.role),
        )
        if request.pre_vote:
            return VoterOutput([response], [])
        self._remember_undo(request.role)
        self.slots[request.role] = after
        # A renewal is not stored: after a restart each lease is taken as granted just now.
        same_lease = (before.term, before.holder) == (after.term, after.holder)
        if same_lease and before.expires_at > -math.inf:
            return VoterOutput([response], [])
        record = LeaseGrant(request.role, after.term, after.holder, self.lease_duration)
        return VoterOutput([response], [record])

    def _on_release(self, notice: ReleaseNotice) -> VoterOutput:
        slot = self.slots.get(notice.role, VoterSlot())
        if slot.holder != notice.holder or slot.term != notice.term:
            return VoterOutput([], [])
        self.slots[notice.role] = VoterSlot(slot.term)
        return VoterOutput([], [LeaseReleased(notice.role, notice.term)])

    # Reconfiguration.

    def _on_reconfiguration(self, request: ReconfigurationRequest) -> VoterOutput:
        slot = self.slots.get(VOTERS_ROLE, VoterSlot())
        is_next = request.voter_set.version == self.voter_set.version + 1
        can_vote = not self.recovering and self.name in self.voter_set.names
        superseded = self.pending is not None and self.pending.term > request.term
        if not (is_next and can_vote) or request.term < slot.term or superseded:
            refusal = ReconfigurationResponse(request.round, False, slot.term, self.voter_set.version)
            return VoterOutput([refusal], [])
        self._remember_undo(VOTERS_ROLE)
        self.pending = PendingVoterSet(request.term, request.voter_set)
        response = ReconfigurationResponse(request.round, True, slot.term, self.voter_set.version)
        return VoterOutput([response], [ProposalAccepted(self.pending)])

    def _adopt(self, voter_set: VoterSet, now: float) -> None:
        """The voter set in force from now on."""
        if self.name in voter_set.names and self.name not in self.voter_set.names:
            # A newcomer knows nothing of what was granted meanwhile.
            self.recovering = True
            self.no_grants_before = now + self.lease_duration
            self.peer_recovering = {}
        self.voter_set = voter_set
        if self.pending and self.pending.voter_set.version <= voter_set.version:
            self.pending = None

    def _pending_for(self, role: str) -> PendingVoterSet | None:
        return self.pending if role == VOTERS_ROLE else None

    def _remember_undo(self, role: str) -> None:
        self._undo_state = UndoState(role, self.slots.get(role), self.pending)
