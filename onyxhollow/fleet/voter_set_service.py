"""The voter set at this member, and the replacement of voters while it holds VOTERS_ROLE."""

from __future__ import annotations

from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.lease_messenger import LeaseMessenger
from onyxhollow.fleet.lease_service import LeaseService
from onyxhollow.fleet.voter_service import VoterService
from onyxhollow.leases.messages import (
    VOTERS_ROLE,
    ConfigurationCommitted,
    ReconfigurationResponse,
    ReplaceVoterCommand,
    VoterSet,
)
from onyxhollow.leases.reconfiguration import Reconfiguration


class VoterSetService:
    """Owns the newest voter set known to this member.

    Attributes:
        voter_set: Newest known voter set.
        reconfiguration: Proposer of this member.
    """

    def __init__(
        self,
        context: MemberContext,
        messenger: LeaseMessenger,
        leases: LeaseService,
        voter_service: VoterService,
        voter_set: VoterSet,
    ) -> None:
        self.context = context
        self.messenger = messenger
        self.leases = leases
        self.voter_service = voter_service
        self.voter_set = voter_set
        self.reconfiguration = Reconfiguration()

    def adopt(self, voter_set: VoterSet, now: float) -> None:
        """Put a committed voter set in force; ignored if it is not newer than the current one."""
        if voter_set.version <= self.voter_set.version:
            return
        self.voter_set = voter_set
        self.leases.on_voter_set(voter_set)
        self.context.log_event("voters", version=voter_set.version, names=voter_set.names)
        self.voter_service.on_voter_set(voter_set, now)
        self.messenger.broadcast(ConfigurationCommitted(voter_set))

    def check(self, now: float) -> None:
        """Repeat a proposal that a majority has not accepted yet."""
        if self.reconfiguration.in_progress or self.leases.runners[VOTERS_ROLE].candidate.pending:
            self._propose(now)

    def on_command(self, command: ReplaceVoterCommand, now: float) -> None:
        """Start a replacement; ignored without the VOTERS_ROLE lease or while another is in progress."""
        holds = self.leases.runners[VOTERS_ROLE].candidate.holds(now)
        if holds and not self.reconfiguration.in_progress:
            self.reconfiguration.command = command
            self._propose(now)

    def on_response(self, name: str, response: ReconfigurationResponse, now: float) -> None:
        """Process a voter's response to a proposal."""
        previous = self.voter_set
        candidate = self.leases.runners[VOTERS_ROLE].candidate
        committed = self.reconfiguration.on_response(now, candidate, previous, name, response)
        if committed is None:
            return
        self.adopt(committed, now)
        for voter in {*previous.names, *committed.names}:
            self.messenger.send_to_voter(voter, ConfigurationCommitted(committed))

    def _propose(self, now: float) -> None:
        candidate = self.leases.runners[VOTERS_ROLE].candidate
        self.messenger.send_all(self.reconfiguration.propose(now, candidate, self.voter_set))
