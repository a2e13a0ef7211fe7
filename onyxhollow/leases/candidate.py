"""A candidate for the lease of one role: pre-vote, vote requests, holding, renewal, hand-over. Pure.

Whoever acts for a role calls `holds` just before each act, and every act carries the term; `timing` says how
long a lease lasts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from onyxhollow.leases.candidate_states import NEXT_STATE, CandidateEvent, CandidateState, CandidateStateError
from onyxhollow.leases.messages import (
    ConfigurationCommitted,
    Message,
    PendingVoterSet,
    Refusal,
    ReleaseNotice,
    VoteRequest,
    VoteResponse,
    VoterSet,
)
from onyxhollow.leases.timing import LeaseTiming

MAX_OPEN_ROUNDS = 4  # rounds of vote requests whose responses still count
STANDBY_CANDIDATES = 3  # candidates that watch for the end of a lease, the first by priority
MAX_BACKOFF_EXPONENT = 4
SLOT_DIVISOR = 20  # the lease's duration by this: the step between candidates, and the first backoff


@dataclass(frozen=True, slots=True)
class Transition:
    """A lease that began or ended, for the log and the leader task.

    Attributes:
        began: Whether the lease began; else it ended.
        term: The lease's term.
        cause: Why, as it is logged.
        waited: Seconds since the role was first seen free; 0 at the end of a lease.
    """

    began: bool
    term: int
    cause: str
    waited: float = 0.0


class VoterMessage(NamedTuple):
    """A message and the name of the voter that it goes to."""

    voter: str
    message: Message


@dataclass(frozen=True, slots=True)
class RequestRound:
    """One round of vote requests.

    Attributes:
        sent_at: When it was first sent, on this process's clock; its lease counts from there.
        granted_by: The voters that have granted it.
    """

    sent_at: float
    granted_by: frozenset[str] = frozenset()


class Candidate:
    """One process's candidacy for one role.

    Times are seconds on this process's own clock. Each method that takes part in the election returns the
    messages to send; what has become of the lease is appended to `transitions`.

    Attributes:
        state: Changes by `NEXT_STATE` alone.
        term: Of the latest request; while holding, that of the lease.
        highest_term: The highest term of the role heard of.
        expires_at: End of the own lease; -inf if none is held.
        rounds: Rounds of requests whose responses still count, by number.
        refusals: The latest refusal of each voter, since the latest request began.
        retransmit_at: When requests are sent again to those that have not answered.
        next_at: When the present state is over: next renewal, timeout, or next attempt.
        failed_attempts: Attempts in a row that found no holder and no majority.
        priority: This member's place among the candidates, as last given to `tick`.
        free_since: When the role was first seen free; inf if it is not.
        holder: Process id of the holder, as far as known; "" if it is not.
        pending: The latest accepted voter set that a voter told of; only for VOTERS_ROLE.
        transitions: Taken and cleared by the owner.
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
        """Whether the lease is held at `now`, which has to be read just before the act."""
        return self.state is CandidateState.HOLDING and now < self.expires_at

    def next_due(self) -> float:
        """When `tick` has something to do."""
        if self.state is CandidateState.IDLE:
            return self.next_at
        expires_at = self.expires_at if self.state is CandidateState.HOLDING else math.inf
        return min(self.next_at, self.retransmit_at, expires_at)

    def tick(self, now: float, priority: int | None) -> list[VoterMessage]:
        """Does what is due.

        Args:
            now: The time.
            priority: This member's place among the candidates, 0 the preferred one; None if it must not
                hold the role.
        """
        if self.state is CandidateState.HOLDING:
            return self._tick_holding(now)
        if self.state is not CandidateState.IDLE:
            if now >= self.next_at:
                return self.fall_back(now)
            return self.retransmit(now) if now >= self.retransmit_at else []
        if now < self.next_at:
            return []
        self.priority = priority or 0
        if priority is None or priority >= STANDBY_CANDIDATES:
            self.next_at = now + self.timing.renewal_interval
            return []
        return self.start_pre_vote(now)

    def start_pre_vote(self, now: float) -> list[VoterMessage]:
        """Asks without effect first: a candidate that requests and loses costs the holder a voter."""
        return self._begin_attempt(now, CandidateEvent.PRE_VOTE_STARTED)

    def start_request(self, now: float) -> list[VoterMessage]:
        """Requests the lease at once: it was offered, or the pre-vote has a majority."""
        return self._begin_attempt(now, CandidateEvent.REQUEST_STARTED)

    def on_offer(self, now: float, term: int) -> list[VoterMessage]:
        """The holder of `term` has released the lease and names this process to follow."""
        self.highest_term = max(self.highest_term, term)
        if self.state is CandidateState.HOLDING:
            return []
        self.failed_attempts = 0
        self.free_since = min(self.free_since, now)
        return self.start_request(now)

    def on_response(self, now: float, voter: str, response: VoteResponse) -> list[VoterMessage]:
        """A voter's response, to whichever request."""
        self.highest_term = max(self.highest_term, response.highest_term)
        if response.pending and (self.pending is None or response.pending.term > self.pending.term):
            self.pending = response.pending
        if response.voter_set and response.voter_set.version > self.voter_set.version:
            return self._adopt_voter_set(now, response.voter_set)
        if response.refusal is Refusal.VOTER_BEHIND:
            return [VoterMessage(voter, ConfigurationCommitted(self.voter_set))]
        answered = self.rounds.get(response.round)
        if answered is None or voter not in self.voter_set.names or response.term != self.term:
            return []
        if not response.granted:
            return self._on_refusal(now, voter, response)
        answered = RequestRound(answered.sent_at, answered.granted_by | {voter})
        self.rounds[response.round] = answered
        if len(answered.granted_by) < self.voter_set.majority:
            return []
        return self._on_majority(now, answered)

    def fall_back(self, now: float, retry_at_once: bool = False) -> list[VoterMessage]:
        """Gives up an attempt: returns the votes, and waits until the role may be free."""
        messages = self.release_notices() if self.state is CandidateState.REQUESTING else []
        self._move(CandidateEvent.FELL_BACK)
        remaining = self._remaining_until_majority()
        self.holder = next((refusal.holder for refusal in self.refusals.values() if refusal.holder), "")
        if remaining > 0.0:
            self.free_since = math.inf
            self.failed_attempts = 0
            self.next_at = (
                now + remaining + (self.priority + self.rng.random()) * self.timing.duration / SLOT_DIVISOR
            )
        elif retry_at_once:
            self.next_at = now
        else:
            self.failed_attempts = min(self.failed_attempts + 1, MAX_BACKOFF_EXPONENT)
            backoff = self.rng.uniform(0.1, 1.0) * self.timing.duration / SLOT_DIVISOR
            self.next_at = now + backoff * 2**self.failed_attempts
        return messages

    def end(self, now: float, cause: str, pause: float = 0.0) -> list[VoterMessage]:
        """Ends the own lease: this process acts under its term no more, and the voters are notified.

        Args:
            now: The time.
            cause: Why, for the log.
            pause: Seconds for which the role is not requested again, half a lease at least.
        """
        if self.state is not CandidateState.HOLDING:
            return []
        self._move(CandidateEvent.LEASE_ENDED)
        self.expires_at = -math.inf
        self.holder = ""
        self.transitions.append(Transition(False, self.term, cause))
        self.next_at = now + max(pause, self.timing.duration / 2)
        return self.release_notices()

    def retransmit(self, now: float) -> list[VoterMessage]:
        """Sends the latest round again to voters that have not answered, since datagrams get lost.

        It is the same round: its lease counts from when it was first sent.
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
        """Tells every voter that the votes for this term are returned."""
        notice = ReleaseNotice(self.role, self.term, self.process_id)
        return [VoterMessage(voter, notice) for voter in self.voter_set.names]

    def _move(self, event: CandidateEvent) -> None:
        following = NEXT_STATE.get((self.state, event))
        if following is None:
            raise CandidateStateError(self.role, self.state, event)
        self.state = following

    def _begin_attempt(self, now: float, event: CandidateEvent) -> list[VoterMessage]:
        self._move(event)
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
            return self.fall_back(now, retry_at_once=True)
        self.next_at = now
        return []

    def _on_refusal(self, now: float, voter: str, response: VoteResponse) -> list[VoterMessage]:
        self.refusals[voter] = response
        if self.state is CandidateState.HOLDING:
            return []
        if len(self.voter_set.names) - len(self.refusals) < self.voter_set.majority:
            return self.fall_back(now)
        return []

    def _on_majority(self, now: float, answered: RequestRound) -> list[VoterMessage]:
        if self.state is CandidateState.PRE_VOTE:
            self.free_since = min(self.free_since, now)
            return self.start_request(now)
        expires_at = answered.sent_at + self.timing.holder_span
        if self.state is CandidateState.REQUESTING:
            if now >= expires_at:  # the responses were too long on their way
                return self.fall_back(now)
            self._begin_lease(now, answered)
        if self.state is CandidateState.HOLDING:
            self.expires_at = max(self.expires_at, expires_at)
        return []

    def _begin_lease(self, now: float, answered: RequestRound) -> None:
        self._move(CandidateEvent.MAJORITY_GRANTED)
        self.holder = self.process_id
        self.failed_attempts = 0
        waited = now - min(self.free_since, now)
        self.transitions.append(Transition(True, self.term, "granted", waited))
        self.free_since = math.inf
        self.next_at = answered.sent_at + self.timing.renewal_interval

    def _remaining_until_majority(self) -> float:
        """Seconds until so many refusing voters are free that a majority can grant; 0 if unknown."""
        remaining = sorted(refusal.remaining for refusal in self.refusals.values())
        spare = len(self.voter_set.names) - self.voter_set.majority  # voters that may go on refusing
        return remaining[-1 - spare] if len(remaining) > spare else 0.0
