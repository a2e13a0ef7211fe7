"""Candidates of this member, their leader tasks, and hand-overs of their leases."""

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

MAX_HISTORY_ENTRIES = 200
MAX_KNOWN_ROLES = 4096  # roles whose holder is recorded
CANDIDACY_PAUSE_SECONDS = 10.0  # multiplied by the number of consecutive failures of the leader task
MAX_PAUSE_FAILURES = 6  # further failures do not lengthen the pause


class LeaseService:
    """Runs the candidates of one member, and the leader tasks of the roles that it holds.

    Attributes:
        runners: Lease runners by role.
        known_holders: Highest known term and its holder, by role.
        history: Latest changes of holders, as shown by `/control/fleet/history`.
        last_fault_at: Time at which a member was last suspected or declared dead.
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
        """Create a service without roles.

        Args:
            context: State shared by the parts of the member.
            messenger: Sends the messages of candidates.
            ranking: Order of the candidates of each role.
            voter_service: Voter of this member; its slots are a source of known holders.
            may_hold_roles: Returns whether this process may hold roles now.
            on_holder: Called with role, term and process id for each newly announced holder.
            now: Current time.
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
        self.history: deque[HolderChange] = deque(maxlen=MAX_HISTORY_ENTRIES)

    def add(self, role: str, zone: str | None, task: LeaderTask | None) -> None:
        """Make this member a candidate for a role."""
        timing = self.context.fleet.file.lease_timing()
        context = self.context
        candidate = Candidate(role, context.process_id, timing, context.voters, context.rng, clock.now())
        self.runners[role] = LeaseRunner(candidate, zone, task)

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next."""
        return min(runner.candidate.next_due() for runner in self.runners.values())

    def tick(self, now: float) -> None:
        """Run the expired timers of all candidates."""
        for runner in self.runners.values():
            if now >= runner.candidate.next_due():
                self.messenger.send_all(runner.candidate.tick(now, self._priority(runner, now)))

    # Messages.

    def on_vote_response(self, name: str, response: VoteResponse) -> None:
        """Pass a vote response of the voter `name` to the candidate."""
        runner = self.runners.get(response.role)
        if runner:
            self.messenger.send_all(runner.candidate.on_response(clock.now(), name, response))

    def on_offer(self, offer: LeaseOffer, now: float) -> None:
        """Process an offer of the previous holder; ignored if this process must not hold the role."""
        runner = self.runners.get(offer.role)
        if runner and self._priority(runner, now) is not None:
            self.messenger.send_all(runner.candidate.on_offer(now, offer.term))

    def on_command(self, command: HandOverCommand, now: float) -> None:
        """Execute a hand-over command, or forward it once if another process holds the role."""
        runner = self.runners.get(command.role)
        if runner and runner.candidate.holds(now):
            self._execute_hand_over(runner, command.target, now)
            return
        if command.forwarded:
            return
        holder = self.holder(command.role)
        if holder not in ("", self.context.process_id):
            forwarded = HandOverCommand(command.role, command.target, True)
            self.messenger.send_to_process(holder, forwarded)

    def on_announcement(self, role: str, term: int, process_id: str) -> None:
        """Record the announced holder of a role; an announcement with an older term is ignored."""
        known = self.known_holders.get(role, KnownTerm(0, ""))
        announced = KnownTerm(term, process_id)
        if term < known.term or announced == known or len(self.known_holders) > MAX_KNOWN_ROLES:
            return
        self.known_holders[role] = announced
        self.on_holder(role, term, process_id)
        known_at = round(self.context.loop.now, 3)
        self.history.append(HolderChange(role, term, process_id, known_at))
        runner = self.runners.get(role)
        if runner:
            runner.candidate.highest_term = max(runner.candidate.highest_term, term)

    def on_voter_set(self, voter_set: VoterSet) -> None:
        """Update the voter set of every candidate that has an older one."""
        for runner in self.runners.values():
            if runner.candidate.voter_set.version < voter_set.version:
                runner.candidate.voter_set = voter_set

    def holder(self, role: str) -> str:
        """Return the process id of the role's holder under the highest known term; "" if unknown.

        The sources are this process's lease, announcements, this member's voter and refusals by other voters.
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

    # Leases held by this process.

    def check(self, now: float) -> None:
        """Check the service state and the task's progress for each held lease; hand over if necessary."""
        for runner in self.runners.values():
            if runner.candidate.holds(now):
                self._check_lease(runner, now)

    def apply_transitions(self, now: float) -> None:
        """Start and stop leader tasks according to the leases that began or ended."""
        for runner in self.runners.values():
            self._apply_transitions(runner, now)

    def hand_over_all(self, cause: str) -> None:
        """Hand over all held leases because the process is stopping."""
        for runner in self.runners.values():
            self._hand_over(runner, cause, self._successor(runner))

    def candidate_order(self, runner: LeaseRunner) -> list[str]:
        """Return the process ids of the role's candidates, starting with the preferred one."""
        return self.ranking.candidate_order(runner.candidate.role, runner.zone)

    def _priority(self, runner: LeaseRunner, now: float) -> int | None:
        if not self.may_hold_roles() or now < runner.candidacy_paused_until:
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
            self._hand_over_after_failure(runner, "a newer term was seen", now)
        elif task and self.context.loop.now - task.last_progress_at > timeout:
            self._hand_over_after_failure(runner, "no progress", now)
        else:
            if now - runner.leading_since > timeout:
                runner.failures = 0  # the task makes progress again
            self._return_to_preferred(runner, now)

    def _return_to_preferred(self, runner: LeaseRunner, now: float) -> None:
        """Hand over to the preferred member after it and the fleet were stable for the stability period."""
        stability_period = self.context.fleet.file.leases.stability_period
        order = self.candidate_order(runner)
        if not order or order[0] == self.context.process_id:
            return
        if min(now - self.last_fault_at, now - runner.leading_since) < stability_period:
            return
        preferred = self.context.find_member(order[0])
        if preferred and now - preferred.state_since >= stability_period:
            self._hand_over(runner, "preferred", order[0])

    def _hand_over_after_failure(self, runner: LeaseRunner, cause: str, now: float) -> None:
        runner.failures = min(runner.failures + 1, MAX_PAUSE_FAILURES)
        runner.candidacy_paused_until = now + CANDIDACY_PAUSE_SECONDS * runner.failures
        self._hand_over(runner, cause, self._successor(runner))

    def _execute_hand_over(self, runner: LeaseRunner, target: str, now: float) -> None:
        """Execute an operator's hand-over; `target` is the name of a member, or "" for the successor."""
        matching = [
            process for process in self.candidate_order(runner) if target and member_name(process) == target
        ]
        if target and not matching:
            candidate = runner.candidate
            self.context.log_event(
                "duty",
                duty=candidate.role,
                change="kept",
                term=candidate.term,
                cause=f"{target} is not a candidate for this role",
            )
            return
        if not target:
            runner.candidacy_paused_until = now + CANDIDACY_PAUSE_SECONDS
        else:
            runner.leading_since = now
        self._hand_over(runner, "operator", matching[-1] if matching else self._successor(runner))

    def _hand_over(self, runner: LeaseRunner, cause: str, target: str) -> None:
        """End a lease and offer it to the process `target`.

        The order ensures that two leader tasks never overlap: the task stops first, then the voters are
        notified, then the successor.
        """
        candidate = runner.candidate
        if candidate.state is not CandidateState.HOLDING or target == self.context.process_id:
            return
        if runner.task:
            runner.task.stop()
        self.messenger.send_all(candidate.end(clock.now(), cause))
        if target:
            self.messenger.send_to_process(target, LeaseOffer(candidate.role, candidate.term))

    def _apply_transitions(self, runner: LeaseRunner, now: float) -> None:
        candidate = runner.candidate
        transitions = candidate.transitions
        candidate.transitions = []
        for transition in transitions:
            if transition.began:
                self._start_leading(runner, transition, now)
            else:
                self._stop_leading(runner, transition)
        renewed = candidate.state is CandidateState.HOLDING and candidate.expires_at != runner.logged_expiry
        if self.context.fleet.file.log_renewals and renewed:
            runner.logged_expiry = candidate.expires_at
            remaining = round(candidate.expires_at - clock.now(), 4)
            self.context.log_event("lease", duty=candidate.role, term=candidate.term, left=remaining)

    def _start_leading(self, runner: LeaseRunner, transition: Transition, now: float) -> None:
        candidate = runner.candidate
        term = transition.term
        runner.leading_since = now
        remaining = candidate.expires_at - clock.now()
        self.context.log_event(
            "duty",
            duty=candidate.role,
            change="held",
            term=term,
            cause=transition.cause,
            gap=round(transition.vacant_seconds, 4),
            left=round(remaining, 4),
        )
        self.on_announcement(candidate.role, term, self.context.process_id)
        self.messenger.broadcast(LeaderAnnouncement(candidate.role, term, self.context.process_id))
        if runner.task:
            runner.task.start(term, lambda: candidate.term == term and candidate.holds(clock.now()))

    def _stop_leading(self, runner: LeaseRunner, transition: Transition) -> None:
        if runner.task:
            runner.task.stop()
        self.context.log_event(
            "duty",
            duty=runner.candidate.role,
            change="ended",
            term=transition.term,
            cause=transition.cause,
        )
