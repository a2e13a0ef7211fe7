"""Replacement of a voter by the holder of VOTERS_ROLE.

The next version of the voter set is decided by single-decree Paxos (Lamport 1998). The term of the holder's
lease is the ballot number. The votes for that lease were phase one and reported any voter set accepted
earlier. Such a voter set is proposed first, because a majority may already have accepted it. A proposal takes
effect as soon as a majority of the *current* voters has accepted it. This module does no I/O.
"""

from __future__ import annotations

from onyxhollow.leases.candidate import Candidate
from onyxhollow.leases.messages import (
    ReconfigurationRequest,
    ReconfigurationResponse,
    ReplaceVoterCommand,
    VoterMessage,
    VoterSet,
)


class Reconfiguration:
    """Proposer of voter sets at one member.

    Attributes:
        command: Operator's command in progress; None if there is none.
        round: Number of the latest round of reconfiguration requests.
        proposed: Voter set proposed in that round; None if no proposal is open.
        accepted_by: Voters that accepted the proposal in that round.
    """

    def __init__(self) -> None:
        self.command: ReplaceVoterCommand | None = None
        self.round = 0
        self.proposed: VoterSet | None = None
        self.accepted_by: frozenset[str] = frozenset()

    @property
    def in_progress(self) -> bool:
        """Whether a command is pending or a proposal is open."""
        return self.command is not None or self.proposed is not None

    def next_voter_set(self, candidate: Candidate, voter_set: VoterSet) -> VoterSet | None:
        """Return the voter set to propose, or None if there is none.

        A voter set that some voter has already accepted takes precedence over the operator's command.
        """
        version = voter_set.version + 1
        if candidate.pending and candidate.pending.voter_set.version == version:
            return candidate.pending.voter_set
        command = self.command
        if command and command.remove in voter_set.names and command.add not in voter_set.names:
            names = [command.add if name == command.remove else name for name in voter_set.names]
            return VoterSet(version, tuple(names))
        return None

    def propose(self, now: float, candidate: Candidate, voter_set: VoterSet) -> list[VoterMessage]:
        """Open a round of requests.

        The caller repeats the call until a majority has accepted. Without the lease of VOTERS_ROLE, or if
        there is nothing to propose, the command and the proposal are discarded.
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
        """Count a voter's response.

        Returns:
            The committed voter set if this response completes a majority of the current voters in this round;
            None otherwise.
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
