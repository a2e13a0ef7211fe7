"""Voter: grants the lease of a role to one process at a time, under strictly increasing terms.

The voter does no I/O. It is given the time (seconds on a monotonic clock) and a message, and returns the
responses and the records that must be stored before the responses are sent. Its safety depends on these
rules:

- A grant expires on the voter's clock, one lease duration after the request arrived. The candidate counts
  from before it sent the request and stops earlier by the configured bound on clock rates. No bound on
  message delay is needed.
- A term is granted to a single candidate, and only if it is higher than every earlier term. Any two
  majorities have a voter in common, which orders their terms, so terms increase from holder to holder.
- Grants survive a restart. A voter that restarts with its records treats each lease as granted at the
  restart. A voter without records has lost the terms that were granted. It is *recovering*: it waits for
  the longest lease to expire and queries the other voters, and grants nothing until enough of them have
  responded.
- A change of the voter set is a proposal under the term of VOTERS_ROLE (single-decree Paxos with that term as
  the ballot number). A voter that has accepted a proposal grants no more leases under the old voter set.
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

MAX_ROLES = 256  # per voter
MAX_LEASE_DURATION_SECONDS = 60.0
STATE_QUERY_INTERVAL_SECONDS = 0.25


class VoterOutput(NamedTuple):
    """Result of processing a message.

    Attributes:
        responses: Messages to the sender.
        records: Records that must be stored before the responses are sent.
    """

    responses: list[Message]
    records: list[Message]


class RecoveryOutput(NamedTuple):
    """Result of a step of a voter's recovery.

    Attributes:
        queries: Messages to other voters.
        records: Records that must be stored; empty until the voter has recovered.
    """

    queries: list[VoterMessage]
    records: list[Message]


@dataclass(frozen=True, slots=True)
class UndoState:
    """State before the latest vote, release or accepted proposal."""

    role: str
    slot: VoterSlot | None
    pending: PendingVoterSet | None


class Voter:
    """Voter of one member.

    All times are seconds on the voter's clock.

    Attributes:
        name: Name of the member.
        voter_set: Newest known voter set.
        lease_duration: Longest lease that this voter grants, in seconds.
        slots: Voter slots by role.
        pending: Accepted voter set; None once that version or a newer one is in force.
        recovering: Whether the voter started without complete records and has not recovered yet.
        no_grants_before: Earliest time at which a recovering voter may grant a vote.
        peer_recovering: Whether each peer that responded to a state query is recovering, by peer name.
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

    # Records.

    def restore(self, records: Iterable[Message], now: float) -> None:
        """Restore the state from stored records; every lease is treated as granted at `now`."""
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
        """Return the smallest list of records that restores the current state."""
        records: list[Message] = [VoterSetChanged(self.voter_set)]
        for role, slot in sorted(self.slots.items()):
            granted_here = slot.holder and slot.expires_at > -math.inf
            duration = self.lease_duration if granted_here else 0.0
            records.append(LeaseGrant(role, slot.term, slot.holder, duration))
        if self.pending:
            records.append(ProposalAccepted(self.pending))
        return records if self.recovering else [*records, RecoveryCompleted()]

    def undo(self) -> None:
        """Revert the latest vote, release or accepted proposal because its record could not be stored.

        The response must not be sent either. A reverted release ends with the lease. Committed voter sets are
        not reverted.
        """
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
        """Send state queries or complete the recovery; has no effect unless the voter is recovering."""
        if not self.recovering or self.name not in self.voter_set.names:
            return RecoveryOutput([], [])
        # As many peers with records as form a majority include another member of every majority that this
        # voter was part of. If all peers have responded, no further information can arrive, even if they are
        # recovering too.
        peers_with_records = sum(1 for name in self.peers if self.peer_recovering.get(name) is False)
        all_responded = all(name in self.peer_recovering for name in self.peers)
        if now >= self.no_grants_before and (peers_with_records >= self.voter_set.majority or all_responded):
            self.recovering = False
            return RecoveryOutput([], self.records())
        if now < self.next_query_at:
            return RecoveryOutput([], [])
        self.next_query_at = now + STATE_QUERY_INTERVAL_SECONDS
        self.query_round += 1
        query = StateQuery(self.query_round)
        return RecoveryOutput([VoterMessage(name, query) for name in self.peers], [])

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next; inf if it need not be."""
        must_query = self.recovering and self.name in self.voter_set.names
        return self.next_query_at if must_query else math.inf

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
        """Process a message from the member named `source`; messages not meant for voters are ignored."""
        self._undo_state = None
        if isinstance(message, VoteRequest):
            return self._on_vote_request(now, message)
        if isinstance(message, ReleaseNotice):
            return self._on_release(message)
        if isinstance(message, StateQuery):
            known_terms = {role: KnownTerm(slot.term, slot.holder) for role, slot in self.slots.items()}
            response = StateResponse(message.round, self.recovering, known_terms, self.voter_set)
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
        refusal = self._find_refusal(request)
        if refusal is Refusal.NONE:
            decision = decide_vote(slot, request, now)
            if isinstance(decision, VoterSlot):
                return self._grant(request, slot, decision)
            refusal = decision
        return VoterOutput([self._refuse(now, request, slot, refusal)], [])

    def _find_refusal(self, request: VoteRequest) -> Refusal:
        """Return the reason for refusing the request regardless of the slot, or Refusal.NONE."""
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
        self._save_undo_state(request.role)
        self.slots[request.role] = after
        # Renewals are not stored: after a restart every lease is treated as granted at the restart.
        same_lease = (before.term, before.holder) == (after.term, after.holder)
        if same_lease and before.expires_at > -math.inf:
            return VoterOutput([response], [])
        record = LeaseGrant(request.role, after.term, after.holder, self.lease_duration)
        return VoterOutput([response], [record])

    def _on_release(self, notice: ReleaseNotice) -> VoterOutput:
        slot = self.slots.get(notice.role, VoterSlot())
        if slot.holder != notice.holder or slot.term != notice.term:
            return VoterOutput([], [])
        self._save_undo_state(notice.role)
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
        self._save_undo_state(VOTERS_ROLE)
        self.pending = PendingVoterSet(request.term, request.voter_set)
        response = ReconfigurationResponse(request.round, True, slot.term, self.voter_set.version)
        return VoterOutput([response], [ProposalAccepted(self.pending)])

    def _adopt(self, voter_set: VoterSet, now: float) -> None:
        """Put a voter set in force."""
        if self.name in voter_set.names and self.name not in self.voter_set.names:
            # A newly added voter has no records of earlier grants.
            self.recovering = True
            self.no_grants_before = now + self.lease_duration
            self.peer_recovering = {}
        self.voter_set = voter_set
        if self.pending and self.pending.voter_set.version <= voter_set.version:
            self.pending = None

    def _pending_for(self, role: str) -> PendingVoterSet | None:
        return self.pending if role == VOTERS_ROLE else None

    def _save_undo_state(self, role: str) -> None:
        self._undo_state = UndoState(role, self.slots.get(role), self.pending)
