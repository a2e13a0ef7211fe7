"""The parts of a member that elect and hold: built together, and driven together by the member's step."""

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

RANKING_INTERVAL = 1.0  # seconds after which the order of members is computed again


class Leasing:
    """Candidates, voter, voter set and their messages, of one member.

    Attributes:
        ranking: The order of candidates of each role.
        messenger: Election messages out, and from this process to itself.
        voter_service: This member's voter.
        leases: This member's candidates and leader tasks.
        voter_sets: The voter set in force.
        router: Election messages in.
    """

    def __init__(
        self,
        context: MemberContext,
        may_hold_roles: Callable[[], bool],
        on_holder: Callable[[str, int, str], None],
        now: float,
    ) -> None:
        """Builds the parts, without a role yet.

        Args:
            context: The member.
            may_hold_roles: Whether this process may hold roles now.
            on_holder: Called with role, term and process id of each new holder that is announced.
            now: The time.
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
        first_voters = VoterSet(0, tuple(context.fleet.file.voters))
        self.voter_sets = VoterSetService(
            context, self.messenger, self.leases, self.voter_service, first_voters
        )
        self.router = LeaseRouter(context, self.messenger, self.leases, self.voter_sets, self.voter_service)
        self._reorder_at = now

    def next_due(self) -> float:
        """When `tick` has something to do."""
        voter_due = self.voter_service.next_due()
        candidates_due = self.leases.next_due()
        return candidates_due if voter_due is None else min(candidates_due, voter_due)

    def tick(self, now: float) -> None:
        """Does what is due at the voter and the candidates."""
        self.voter_service.tick(now)
        self.leases.tick(now)

    def check(self, now: float) -> None:
        """Checks what changes without a message: the voter's log, the ranking, own leases, a proposal."""
        self.voter_service.check(now)
        if now >= self._reorder_at:
            self._reorder_at = now + RANKING_INTERVAL
            self.ranking.clear()  # a member that was damped may be no longer
        self.leases.check(now)
        self.voter_sets.check(now)

    def _adopt_voter_set(self, voter_set: VoterSet, now: float) -> None:
        self.voter_sets.adopt(voter_set, now)
