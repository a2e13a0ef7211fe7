"""The roles of this member: its candidates, their leader tasks, and hand-overs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.identity import member_name
from onyxhollow.fleet.leader_tasks import LeaderTask
from onyxhollow.fleet.lease_messenger import LeaseMessenger
from onyxhollow.fleet.lease_runner import HolderChange, LeaseRunner
from onyxhollow.fleet.role_ranking import RoleRanking
from onyxhollow.fleet.voter_service import VoterService
from onyxhollow.leases.candidate import Candidate, Transition
from onyxhollow.leases.candidate_states import CandidateState
from onyxhollow.leases.messages import (
    HandOverCommand,
    KnownTerm,
    LeaderAnnouncement,
    LeaseOffer,
    VoteResponse,
    VoterSet,
)

MAX_HISTORY = 200  # changes of holders that are remembered
MAX_KNOWN_ROLES = 4096  # roles of which a holder is remembered
QUIET_PERIOD = 10.0  # seconds for which a role is left to others after a failure of its task, times failures
MAX_FAILURES = 6  # that lengthen the quiet period


class LeaseService:
    """Runs the candidates of one member, starts and stops the tasks of the roles that it holds.

    Attributes:
        runners: By role.
        known_holders: By role: the highest term known of, and the process that has it.
        history: The last changes of holders, as `/control/fleet/history` shows them.
        last_fault_at: When a member was last suspected or found dead.
    """

    def __init__(
        self,
        context: MemberContext,
        messenger: LeaseMessenger,
        ranking: RoleRanking,
        voter_service: VoterService,
        may_hold_roles: Callable[[], bool],
        on_holder: Callable[[str, int, str], None],
        now: float,
    ) -> None:
        """Makes a service without roles.

        Args:
            context: The member.
            messenger: Carries messages of candidates.
            ranking: The order of candidates.
            voter_service: Its slots show holders too.
            may_hold_roles: Whether this process may hold roles now.
            on_holder: Called with role, term and process id of each new holder that is announced.
            now: The time.
        """
        self.context = context
        self.messenger = messenger
        self.ranking = ranking
        self.voter_service = voter_service
        self.may_hold_roles = may_hold_roles
        self.on_holder = on_holder
        self.last_fault_at = now
        self.runners: dict[str, LeaseRunner] = {}
        self.known_holders: dict[str, KnownTerm] = {}
        self.history: deque[HolderChange] = deque(maxlen=MAX_HISTORY)

    def add(self, role: str, zone: str | None, task: LeaderTask | None) -> None:
        """Makes this member a candidate for a role."""
        timing = self.context.fleet.file.lease_timing()
        context = self.context
        candidate = Candidate(role, context.process_id, timing, context.voters, context.rng, clock.now())
        self.runners[role] = LeaseRunner(candidate, zone, task)

    def next_due(self) -> float:
        """When `tick` has something to do."""
        return min(runner.candidate.next_due() for runner in self.runners.values())

    def tick(self, now: float) -> None:
        """Does what is due at each candidate."""
        for runner in self.runners.values():
            if now >= runner.candidate.next_due():
                self.messenger.send_all(runner.candidate.tick(now, self._priority(runner, now)))

    # Messages.

    def on_vote_response(self, name: str, response: VoteResponse) -> None:
        """A response of the voter of that name."""
        runner = self.runners.get(response.role)
        if runner:
            self.messenger.send_all(runner.candidate.on_response(clock.now(), name, response))

    def on_offer(self, offer: LeaseOffer, now: float) -> None:
        """The holder before names this process to follow."""
        runner = self.runners.get(offer.role)
        if runner and self._priority(runner, now) is not None:
            self.messenger.send_all(runner.candidate.on_offer(now, offer.term))

    def on_command(self, command: HandOverCommand, now: float) -> None:
        """An operator's command; passed on once if another process holds the role."""
        runner = self.runners.get(command.role)
        if runner and runner.candidate.holds(now):
            self._obey(runner, command.target, now)
            return
        if command.forwarded:
            return
        holder = self.holder(command.role)
        if holder not in ("", self.context.process_id):
            forwarded = HandOverCommand(command.role, command.target, True)
            self.messenger.send_to_process(holder, forwarded)

    def on_announcement(self, role: str, term: int, process_id: str) -> None:
        """A process holds a role under a term; an older term than known is ignored."""
        known = self.known_holders.get(role, KnownTerm(0, ""))
        announced = KnownTerm(term, process_id)
        if term < known.term or announced == known or len(self.known_holders) > MAX_KNOWN_ROLES:
            return
        self.known_holders[role] = announced
        self.on_holder(role, term, process_id)
        at = round(self.context.loop.now, 3)
        self.history.append(HolderChange(role, term, process_id, at))
        runner = self.runners.get(role)
        if runner:
            runner.candidate.highest_term = max(runner.candidate.highest_term, term)

    def on_voter_set(self, voter_set: VoterSet) -> None:
        """A newer voter set is in force."""
        for runner in self.runners.values():
            if runner.candidate.voter_set.version < voter_set.version:
                runner.candidate.voter_set = voter_set

    def holder(self, role: str) -> str:
        """Process id of a role's holder, by the highest term that is known here; "" if none is.

        Known from the own lease, from announcements, from the own voter and from refusals.
        """
        runner = self.runners.get(role)
        if runner and runner.candidate.holds(clock.now()):
            return self.context.process_id
        known = [self.known_holders.get(role, KnownTerm(0, ""))]
        slot = self.voter_service.slot(role)
        if slot:
            known.append(KnownTerm(slot.term, slot.holder))
        if runner and runner.candidate.holder:
            known.append(KnownTerm(runner.candidate.highest_term, runner.candidate.holder))
        process_id = max(known).holder
        if process_id == self.context.process_id or not self.context.find_member(process_id):
            return ""
        return process_id

    # The own leases.

    def check(self, now: float) -> None:
        """Checks what may have changed around each own lease: the service state, the task's progress."""
        for runner in self.runners.values():
            if runner.candidate.holds(now):
                self._check_lease(runner, now)

    def apply_transitions(self, now: float) -> None:
        """Starts and stops tasks as leases have begun and ended."""
        for runner in self.runners.values():
            self._apply(runner, now)

    def hand_over_all(self, cause: str) -> None:
        """Hands over all own leases: the process ends."""
        for runner in self.runners.values():
            self._hand_over(runner, cause, self._successor(runner))

    def candidate_order(self, runner: LeaseRunner) -> list[str]:
        """Process ids of the candidates for a role, the preferred first."""
        return self.ranking.candidate_order(runner.candidate.role, runner.zone)

    def _priority(self, runner: LeaseRunner, now: float) -> int | None:
        if not self.may_hold_roles() or now < runner.quiet_until:
            return None
        order = self.candidate_order(runner)
        process_id = self.context.process_id
        return order.index(process_id) if process_id in order else None

    def _successor(self, runner: LeaseRunner) -> str:
        return self.ranking.successor(runner.candidate.role, runner.zone)

    def _check_lease(self, runner: LeaseRunner, now: float) -> None:
        timeout = self.context.fleet.file.leases.progress_timeout
        task = runner.task
        if not self.may_hold_roles():
            cause = "replaced" if self.context.proxy.service.replaced else "leaving"
            self._hand_over(runner, cause, self._successor(runner))
        elif task and task.superseded:
            self._give_up(runner, "a newer term was seen", now)
        elif task and self.context.loop.now - task.last_progress_at > timeout:
            self._give_up(runner, "no progress", now)
        else:
            if now - runner.leading_since > timeout:
                runner.failures = 0  # it makes progress again
            self._return_to_preferred(runner, now)

    def _return_to_preferred(self, runner: LeaseRunner, now: float) -> None:
        """Hands over to the preferred member once it and the fleet have been stable for long enough."""
        stability_period = self.context.fleet.file.leases.stability_period
        order = self.candidate_order(runner)
        if not order or order[0] == self.context.process_id:
            return
        if min(now - self.last_fault_at, now - runner.leading_since) < stability_period:
            return
        preferred = self.context.find_member(order[0])
        if preferred and now - preferred.since >= stability_period:
            self._hand_over(runner, "preferred", order[0])

    def _give_up(self, runner: LeaseRunner, cause: str, now: float) -> None:
        runner.failures = min(runner.failures + 1, MAX_FAILURES)
        runner.quiet_until = now + QUIET_PERIOD * runner.failures
        self._hand_over(runner, cause, self._successor(runner))

    def _obey(self, runner: LeaseRunner, target: str, now: float) -> None:
        """Carries out an operator's command; `target` is a member's name, or ""."""
        found = [
            process for process in self.candidate_order(runner) if target and member_name(process) == target
        ]
        if target and not found:
            candidate = runner.candidate
            self.context.log_event(
                "duty",
                duty=candidate.role,
                change="kept",
                term=candidate.term,
                cause=f"{target} can't hold it",
            )
            return
        if not target:
            runner.quiet_until = now + QUIET_PERIOD
        else:
            runner.leading_since = now
        self._hand_over(runner, "operator", found[-1] if found else self._successor(runner))

    def _hand_over(self, runner: LeaseRunner, cause: str, target: str) -> None:
        """Ends a lease in favour of another process.

        The task ends first, then the voters are notified, then the process that is to follow: a gap, never an
        overlap.
        """
        candidate = runner.candidate
        if candidate.state is not CandidateState.HOLDING or target == self.context.process_id:
            return
        if runner.task:
            runner.task.stop()
        self.messenger.send_all(candidate.end(clock.now(), cause))
        if target:
            self.messenger.send_to_process(target, LeaseOffer(candidate.role, candidate.term))

    def _apply(self, runner: LeaseRunner, now: float) -> None:
        candidate = runner.candidate
        transitions = candidate.transitions
        candidate.transitions = []
        for transition in transitions:
            if transition.began:
                self._begin(runner, transition, now)
            else:
                self._end(runner, transition)
        renewed = candidate.state is CandidateState.HOLDING and candidate.expires_at != runner.logged_expiry
        if self.context.fleet.file.log_renewals and renewed:
            runner.logged_expiry = candidate.expires_at
            left = round(candidate.expires_at - clock.now(), 4)
            self.context.log_event("lease", duty=candidate.role, term=candidate.term, left=left)

    def _begin(self, runner: LeaseRunner, transition: Transition, now: float) -> None:
        candidate = runner.candidate
        term = transition.term
        runner.leading_since = now
        left = candidate.expires_at - clock.now()
        self.context.log_event(
            "duty",
            duty=candidate.role,
            change="held",
            term=term,
            cause=transition.cause,
            gap=round(transition.waited, 4),
            left=round(left, 4),
        )
        self.on_announcement(candidate.role, term, self.context.process_id)
        self.messenger.broadcast(LeaderAnnouncement(candidate.role, term, self.context.process_id))
        if runner.task:
            runner.task.start(term, lambda: candidate.term == term and candidate.holds(clock.now()))

    def _end(self, runner: LeaseRunner, transition: Transition) -> None:
        if runner.task:
            runner.task.stop()
        self.context.log_event(
            "duty",
            duty=runner.candidate.role,
            change="ended",
            term=transition.term,
            cause=transition.cause,
        )
