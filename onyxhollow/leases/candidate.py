"""Candidate for the lease of one role: pre-vote, vote requests, holding, renewal and hand-over.

Code that acts for a role must call `holds` immediately before each action and send the term with it as a
fencing token. `timing` defines the duration of a lease. This module does no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from onyxhollow.leases.candidate_states import NEXT_STATE, CandidateEvent, CandidateState, CandidateStateError
from onyxhollow.leases.messages import (
    ConfigurationCommitted,
    PendingVoterSet,
    Refusal,
    ReleaseNotice,
    VoteRequest,
    VoteResponse,
    VoterMessage,
    VoterSet,
)
from onyxhollow.leases.timing import LeaseTiming

MAX_OPEN_ROUNDS = 4  # responses to older rounds of vote requests are ignored
STANDBY_CANDIDATES = 3  # number of highest-priority candidates that start a pre-vote when a lease may be free
MAX_BACKOFF_EXPONENT = 4
RETRY_SLOTS_PER_LEASE = 20  # a slot separates the retries of candidates and is the base of their backoff


@dataclass(frozen=True, slots=True)
class Transition:
    """Start or end of a lease, for the log and the leader task.

    Attributes:
        began: True at the start of the lease, False at its end.
        term: Term of the lease.
        cause: Reason, as logged.
        vacant_seconds: Seconds since this candidate first found the role free; 0 at the end of a lease.
    """

    began: bool
    term: int
    cause: str
    vacant_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestRound:
    """One round of vote requests.

    Attributes:
        sent_at: Time of the first transmission on this process's clock; the lease is counted from it.
        granted_by: Voters that granted the request.
    """

    sent_at: float
    granted_by: frozenset[str] = frozenset()


class Candidate:
    """Candidacy of one process for one role.

    All times are seconds on this process's clock. Methods of the election return the messages to send. The
    start and end of each lease is appended to `transitions`.

    Attributes:
        state: Current state; changes only as defined by `NEXT_STATE`.
        term: Term of the latest request; in state HOLDING, the term of the lease.
        highest_term: Highest known term of the role.
        expires_at: Expiry of this candidate's lease; -inf without a lease.
        rounds: Rounds of requests whose responses are still accepted, by number.
        refusals: Latest refusal of each voter since the current attempt or renewal began.
        retransmit_at: Time at which to resend requests to voters that have not responded.
        next_at: Time of the next renewal, timeout or attempt, depending on the state.
        failed_attempts: Consecutive attempts that found neither a holder nor a majority.
        priority: Rank of this member among the candidates at the latest attempt; 0 is the preferred one.
        free_since: Time at which the role was first found free; inf if it is not free.
        holder: Process id of the last known holder; "" if unknown.
        pending: Newest accepted voter set that a voter reported; VOTERS_ROLE only.
        transitions: Starts and ends of leases that the owner has not processed; the owner clears the list.
    """

    def __init__(
        self,
        role: str,
        process_id: str,
        timing: LeaseTiming,
        voter_set: VoterSet,
        rng: Random,
        now: float,
    ) -> None:
        self.role = role
        self.process_id = process_id
        self.timing = timing
        self.voter_set = voter_set
        self.rng = rng
        self.state = CandidateState.IDLE
        self.term = 0
        self.highest_term = 0
        self.round = 0
        self.expires_at = -math.inf
        self.rounds: dict[int, RequestRound] = {}
        self.refusals: dict[str, VoteResponse] = {}
        self.retransmit_at = math.inf
        self.next_at = now + rng.random() * timing.renewal_interval
        self.failed_attempts = 0
        self.priority = 0
        self.free_since = math.inf
        self.holder = ""
        self.pending: PendingVoterSet | None = None
        self.transitions: list[Transition] = []

    def holds(self, now: float) -> bool:
        """Return whether the lease is valid at `now`.

        The caller must read the clock immediately before the action that the lease protects.
        """
        return self.state is CandidateState.HOLDING and now < self.expires_at

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next."""
        if self.state is CandidateState.IDLE:
            return self.next_at
        expires_at = self.expires_at if self.state is CandidateState.HOLDING else math.inf
        return min(self.next_at, self.retransmit_at, expires_at)

    def tick(self, now: float, priority: int | None) -> list[VoterMessage]:
        """Run the timers that have expired.

        Args:
            now: Current time.
            priority: Rank of this member among the candidates, 0 for the preferred one; None if it must not
                hold the role.
        """
        if self.state is CandidateState.HOLDING:
            return self._tick_holding(now)
        if self.state is not CandidateState.IDLE:
            if now >= self.next_at:
                return self.abandon_attempt(now)
            return self.retransmit(now) if now >= self.retransmit_at else []
        if now < self.next_at:
            return []
        self.priority = priority or 0
        if priority is None or priority >= STANDBY_CANDIDATES:
            self.next_at = now + self.timing.renewal_interval
            return []
        return self.start_pre_vote(now)

    def start_pre_vote(self, now: float) -> list[VoterMessage]:
        """Start an attempt with a pre-vote, which leaves the voters unchanged.

        A candidate that sent vote requests immediately and lost would still have the grant of a voter, which
        the holder of the lease then lacks.
        """
        return self._begin_attempt(now, CandidateEvent.PRE_VOTE_STARTED)

    def start_request(self, now: float) -> list[VoterMessage]:
        """Request the lease after an offer of the previous holder or a successful pre-vote."""
        return self._begin_attempt(now, CandidateEvent.REQUEST_STARTED)

    def on_offer(self, now: float, term: int) -> list[VoterMessage]:
        """Process a lease offer: the holder of `term` has released the lease and chose this process."""
        self.highest_term = max(self.highest_term, term)
        if self.state is CandidateState.HOLDING:
            return []
        self.failed_attempts = 0
        self.free_since = min(self.free_since, now)
        return self.start_request(now)

    def on_response(self, now: float, voter: str, response: VoteResponse) -> list[VoterMessage]:
        """Process a voter's response to a pre-vote, a request or a renewal."""
        self.highest_term = max(self.highest_term, response.highest_term)
        if response.pending and (self.pending is None or response.pending.term > self.pending.term):
            self.pending = response.pending
        if response.voter_set and response.voter_set.version > self.voter_set.version:
            return self._adopt_voter_set(now, response.voter_set)
        if response.refusal is Refusal.VOTER_BEHIND:
            return [VoterMessage(voter, ConfigurationCommitted(self.voter_set))]
        request_round = self.rounds.get(response.round)
        if request_round is None or voter not in self.voter_set.names or response.term != self.term:
            return []
        if not response.granted:
            return self._on_refusal(now, voter, response)
        request_round = RequestRound(request_round.sent_at, request_round.granted_by | {voter})
        self.rounds[response.round] = request_round
        if len(request_round.granted_by) < self.voter_set.majority:
            return []
        return self._on_majority(now, request_round)

    def abandon_attempt(self, now: float, retry_immediately: bool = False) -> list[VoterMessage]:
        """Abandon an attempt, release its votes and schedule the next one for when the role may be free."""
        messages = self.release_notices() if self.state is CandidateState.REQUESTING else []
        self._change_state(CandidateEvent.ATTEMPT_ABANDONED)
        remaining = self._remaining_until_majority()
        self.holder = next((refusal.holder for refusal in self.refusals.values() if refusal.holder), "")
        if remaining > 0.0:
            self.free_since = math.inf
            self.failed_attempts = 0
            self.next_at = (
                now
                + remaining
                + (self.priority + self.rng.random()) * self.timing.duration / RETRY_SLOTS_PER_LEASE
            )
        elif retry_immediately:
            self.next_at = now
        else:
            self.failed_attempts = min(self.failed_attempts + 1, MAX_BACKOFF_EXPONENT)
            backoff = self.rng.uniform(0.1, 1.0) * self.timing.duration / RETRY_SLOTS_PER_LEASE
            self.next_at = now + backoff * 2**self.failed_attempts
        return messages

    def end(self, now: float, cause: str, pause: float = 0.0) -> list[VoterMessage]:
        """End this candidate's lease and notify the voters; no action may follow under its term.

        Args:
            now: Current time.
            cause: Reason, for the log.
            pause: Seconds until the role may be requested again; at least half a lease is used.
        """
        if self.state is not CandidateState.HOLDING:
            return []
        self._change_state(CandidateEvent.LEASE_ENDED)
        self.expires_at = -math.inf
        self.holder = ""
        self.transitions.append(Transition(False, self.term, cause))
        self.next_at = now + max(pause, self.timing.duration / 2)
        return self.release_notices()

    def retransmit(self, now: float) -> list[VoterMessage]:
        """Resend the latest round to voters that have not responded, because datagrams may be lost.

        The round number stays the same: its lease is counted from the first transmission.
        """
        current = self.rounds.get(self.round)
        granted_by = current.granted_by if current else frozenset()
        if self.state is CandidateState.IDLE or len(granted_by) >= self.voter_set.majority:
            self.retransmit_at = math.inf
            return []
        self.retransmit_at = now + self.timing.retransmit_interval
        request = self._request(pre_vote=self.state is CandidateState.PRE_VOTE)
        return [
            VoterMessage(voter, request)
            for voter in self.voter_set.names
            if voter not in granted_by and voter not in self.refusals
        ]

    def release_notices(self) -> list[VoterMessage]:
        """Return a notice to every voter that its vote for this term is released."""
        notice = ReleaseNotice(self.role, self.term, self.process_id)
        return [VoterMessage(voter, notice) for voter in self.voter_set.names]

    def _change_state(self, event: CandidateEvent) -> None:
        next_state = NEXT_STATE.get((self.state, event))
        if next_state is None:
            raise CandidateStateError(self.role, self.state, event)
        self.state = next_state

    def _begin_attempt(self, now: float, event: CandidateEvent) -> list[VoterMessage]:
        self._change_state(event)
        self.refusals = {}
        self.rounds = {}
        self.term = self.highest_term + 1
        self.next_at = now + self.timing.response_timeout
        return self._open_round(now)

    def _open_round(self, now: float) -> list[VoterMessage]:
        self.round += 1
        self.rounds[self.round] = RequestRound(now)
        while len(self.rounds) > MAX_OPEN_ROUNDS:
            del self.rounds[min(self.rounds)]
        self.retransmit_at = now + self.timing.retransmit_interval
        request = self._request(pre_vote=self.state is CandidateState.PRE_VOTE)
        return [VoterMessage(voter, request) for voter in self.voter_set.names]

    def _request(self, pre_vote: bool) -> VoteRequest:
        return VoteRequest(
            self.role,
            self.term,
            self.process_id,
            self.round,
            self.timing.duration,
            self.voter_set.version,
            pre_vote,
        )

    def _tick_holding(self, now: float) -> list[VoterMessage]:
        if now >= self.expires_at:
            return self.end(now, "lease ran out")
        if now >= self.next_at:
            self.next_at = now + self.timing.renewal_interval
            self.refusals = {}
            return self._open_round(now)
        return self.retransmit(now) if now >= self.retransmit_at else []

    def _adopt_voter_set(self, now: float, voter_set: VoterSet) -> list[VoterMessage]:
        self.voter_set = voter_set
        if self.state is not CandidateState.HOLDING:
            return self.abandon_attempt(now, retry_immediately=True)
        self.next_at = now
        return []

    def _on_refusal(self, now: float, voter: str, response: VoteResponse) -> list[VoterMessage]:
        self.refusals[voter] = response
        if self.state is CandidateState.HOLDING:
            return []
        if len(self.voter_set.names) - len(self.refusals) < self.voter_set.majority:
            return self.abandon_attempt(now)
        return []

    def _on_majority(self, now: float, request_round: RequestRound) -> list[VoterMessage]:
        if self.state is CandidateState.PRE_VOTE:
            self.free_since = min(self.free_since, now)
            return self.start_request(now)
        expires_at = request_round.sent_at + self.timing.holder_span
        if self.state is CandidateState.REQUESTING:
            if now >= expires_at:  # the responses arrived after the lease had expired
                return self.abandon_attempt(now)
            self._begin_lease(now, request_round)
        if self.state is CandidateState.HOLDING:
            self.expires_at = max(self.expires_at, expires_at)
        return []

    def _begin_lease(self, now: float, request_round: RequestRound) -> None:
        self._change_state(CandidateEvent.MAJORITY_GRANTED)
        self.holder = self.process_id
        self.failed_attempts = 0
        vacant_seconds = now - min(self.free_since, now)
        self.transitions.append(Transition(True, self.term, "granted", vacant_seconds))
        self.free_since = math.inf
        self.next_at = request_round.sent_at + self.timing.renewal_interval

    def _remaining_until_majority(self) -> float:
        """Return the seconds until enough leases at refusing voters expire for a majority; 0 if unknown."""
        remaining = sorted(refusal.remaining for refusal in self.refusals.values())
        tolerated_refusals = len(self.voter_set.names) - self.voter_set.majority
        return remaining[-1 - tolerated_refusals] if len(remaining) > tolerated_refusals else 0.0
