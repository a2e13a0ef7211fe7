"""Construction and scheduling of the lease services of a member."""

from __future__ import annotations

from collections.abc import Callable

from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.lease_messenger import LeaseMessenger
from onyxhollow.fleet.lease_router import LeaseRouter
from onyxhollow.fleet.lease_service import LeaseService
from onyxhollow.fleet.role_ranking import RoleRanking
from onyxhollow.fleet.voter_service import VoterService
from onyxhollow.fleet.voter_set_service import VoterSetService
from onyxhollow.leases.messages import VoterSet

RANKING_INTERVAL_SECONDS = 1.0


class Leasing:
    """Lease services of one member: candidates, voter, voter set and their messages.

    Attributes:
        ranking: Order of the candidates of each role.
        messenger: Sends election messages, including those of this process to itself.
        voter_service: Voter of this member.
        leases: Candidates and leader tasks of this member.
        voter_sets: Owner of the voter set.
        router: Receives election messages.
    """

    def __init__(
        self,
        context: MemberContext,
        may_hold_roles: Callable[[], bool],
        on_holder: Callable[[str, int, str], None],
        now: float,
    ) -> None:
        """Create the services without any role.

        Args:
            context: State shared by the parts of the member.
            may_hold_roles: Returns whether this process may hold roles now.
            on_holder: Called with role, term and process id for each newly announced holder.
            now: Current time.
        """
        self.ranking = RoleRanking(context.membership, context.name, context.process_id, may_hold_roles)
        self.messenger = LeaseMessenger(context)
        self.voter_service = VoterService(context, self.messenger, self._adopt_voter_set, now)
        self.leases = LeaseService(
            context,
            self.messenger,
            self.ranking,
            self.voter_service,
            may_hold_roles,
            on_holder,
            now,
        )
        initial_voter_set = VoterSet(0, tuple(context.fleet.file.voters))
        self.voter_sets = VoterSetService(
            context, self.messenger, self.leases, self.voter_service, initial_voter_set
        )
        self.router = LeaseRouter(context, self.messenger, self.leases, self.voter_sets, self.voter_service)
        self._ranking_due_at = now

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next."""
        voter_due = self.voter_service.next_due()
        candidates_due = self.leases.next_due()
        return candidates_due if voter_due is None else min(candidates_due, voter_due)

    def tick(self, now: float) -> None:
        """Run the expired timers of the voter and the candidates."""
        self.voter_service.tick(now)
        self.leases.tick(now)

    def check(self, now: float) -> None:
        """Check state that changes without a message: voter log, ranking, held leases and proposals."""
        self.voter_service.check(now)
        if now >= self._ranking_due_at:
            self._ranking_due_at = now + RANKING_INTERVAL_SECONDS
            self.ranking.clear()  # flap damping of a member may have ended
        self.leases.check(now)
        self.voter_sets.check(now)

    def _adopt_voter_set(self, voter_set: VoterSet, now: float) -> None:
        self.voter_sets.adopt(voter_set, now)
