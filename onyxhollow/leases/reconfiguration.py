"""Replacing a voter: what the holder of VOTERS_ROLE does. Pure.

The term of its lease is the ballot number of a single-decree Paxos (Lamport 1998) for the next version of the
voter set. The votes for that lease were the first phase and told what voters had accepted before; that is
proposed first, since a majority may have accepted it already. What a majority of the *present* voters accepts
is in force from then on.
"""

from __future__ import annotations

from onyxhollow.leases.candidate import Candidate, VoterMessage
from onyxhollow.leases.messages import (
    ReconfigurationRequest,
    ReconfigurationResponse,
    ReplaceVoterCommand,
    VoterSet,
)


class Reconfiguration:
    """The proposer of one member.

    Attributes:
        command: The operator's command that is being carried out; None if there is none.
        round: Number of the latest round of requests.
        proposed: The voter set of that round; None if nothing is proposed.
        accepted_by: The voters that have accepted it in that round.
    """

    def __init__(self) -> None:
        self.command: ReplaceVoterCommand | None = None
        self.round = 0
        self.proposed: VoterSet | None = None
        self.accepted_by: frozenset[str] = frozenset()

    @property
    def in_progress(self) -> bool:
        """Whether a command waits or a proposal is open."""
        return self.command is not None or self.proposed is not None

    def next_voter_set(self, candidate: Candidate, voter_set: VoterSet) -> VoterSet | None:
        """The voter set to propose: one already accepted somewhere, else the operator's; None if neither."""
        version = voter_set.version + 1
        if candidate.pending and candidate.pending.voter_set.version == version:
            return candidate.pending.voter_set
        command = self.command
        if command and command.remove in voter_set.names and command.add not in voter_set.names:
            names = [command.add if name == command.remove else name for name in voter_set.names]
            return VoterSet(version, tuple(names))
        return None

    def propose(self, now: float, candidate: Candidate, voter_set: VoterSet) -> list[VoterMessage]:
        """Opens a round of requests; called again while no majority has accepted.

        Drops command and proposal if the lease of VOTERS_ROLE is not held or there is nothing to propose.
        """
        proposed = self.next_voter_set(candidate, voter_set) if candidate.holds(now) else None
        if proposed is None:
            self.command = None
            self.proposed = None
            return []
        self.round += 1
        self.proposed = proposed
        self.accepted_by = frozenset()
        request = ReconfigurationRequest(candidate.term, self.round, proposed)
        return [VoterMessage(name, request) for name in voter_set.names]

    def on_response(
        self,
        now: float,
        candidate: Candidate,
        voter_set: VoterSet,
        voter: str,
        response: ReconfigurationResponse,
    ) -> VoterSet | None:
        """Counts a voter's response.

        Returns:
            The voter set in force from now on, once a majority of the present one has accepted it in this
            round; else None.
        """
        proposed = self.proposed
        if proposed is None or response.round != self.round or not response.accepted:
            return None
        if not candidate.holds(now):
            return None
        if proposed.version != voter_set.version + 1 or voter not in voter_set.names:
            return None
        self.accepted_by |= {voter}
        if len(self.accepted_by) < voter_set.majority:
            return None
        self.proposed = None
        self.command = None
        return proposed
