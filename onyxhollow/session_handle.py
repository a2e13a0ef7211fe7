"""One session of the policy, as the network code sees it.

A session's coroutine waits in `SessionHandle.wait_for_selection` for an endpoint, a rejection or a teardown,
and reports the outcome of each attempt.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Generator
from typing import NamedTuple, Protocol

from onyxhollow.counters import Counters
from onyxhollow.interface import AttemptOutcome
from onyxhollow.policy import Session

# Outcomes that do not count as failures of the endpoint.
NOT_FAILURES = (
    AttemptOutcome.OK,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.OVERLOADED,
)


class HandleOwner(Protocol):
    """The part of the decision adapter that its session handles use."""

    counters: Counters
    on_attempt_failed: Callable[[str], None]  # called with the endpoint's name


class Selection(NamedTuple):
    """The policy's decision for a session: an endpoint to attempt, or the final answer.

    Attributes:
        endpoint: name of the endpoint to attempt; None for a final answer.
        timeout: attempt timeout in seconds.
        rejected: whether the final answer is a rejection, which allows a retry; otherwise a teardown.
        retry_after: seconds that the client should wait before a retry.
    """

    endpoint: str | None = None
    timeout: float = 0.0
    rejected: bool = False
    retry_after: float = 0.0


class SessionHandle:
    """The network code's interface to one session of the policy.

    Attributes:
        session: the policy's session; None for a connection to an endpoint that is not listed.
        cancel_requested: whether the attempt in flight has to be cancelled.
        migrate_requested: whether the client has to be asked to reconnect.
        attempt_in_flight: whether an attempt, or the connection it established, has not yet ended.
        answered: whether the client has its final answer.
    """

    def __init__(self, decisions: HandleOwner, wake: Callable[[], None]) -> None:
        self.decisions = decisions
        self.wake = wake
        self.session: Session | None = None
        self.selection: Selection | None = None
        self.cancel_requested = False
        self.migrate_requested = False
        self.attempt_in_flight = False
        self.answered = False

    def set_selection(self, selection: Selection) -> None:
        """Store a selection and wake the session's coroutine."""
        must = self.decisions.counters.must
        if not must(not self.answered, "nothing is decided after the answer"):
            return
        must(self.selection is None and not self.attempt_in_flight, "one dial at a time")
        self.selection = selection
        self.wake()

    def wait_for_selection(self, client_left: Callable[[], bool]) -> Generator[float, None, Selection | None]:
        """Wait for a selection and return it; return None if `client_left` becomes true first."""
        while self.selection is None:
            if client_left():
                return None
            yield math.inf
        selection = self.selection
        self.selection = None
        self.attempt_in_flight = selection.endpoint is not None
        self.answered = selection.endpoint is None
        return selection

    def may_send(self) -> bool:
        """Return whether the request may still be sent to the endpoint of the attempt in flight."""
        return self.session is not None and self.session.may_send()

    def report_ended(
        self, outcome: AttemptOutcome, duration: float, final: bool = False, load: float | None = None
    ) -> None:
        """Report how an attempt, or the connection it established, has ended.

        Args:
            outcome: how it ended.
            duration: seconds since it started.
            final: whether the client has its final answer with this outcome.
            load: the endpoint's load over capacity, if its answer reported it.
        """
        self.decisions.counters.must(self.attempt_in_flight, "an end belongs to a dial that is out")
        self.attempt_in_flight = False
        self.cancel_requested = False
        self.answered = self.answered or final
        if self.session:
            if outcome not in NOT_FAILURES and not final and self.session.endpoint:
                self.decisions.on_attempt_failed(self.session.endpoint.name)
            self.session.on_attempt_ended(outcome, final, duration, load)

    def report_established(self, duration: float) -> None:
        """Report that the endpoint accepted the session after `duration` seconds."""
        self.answered = True
        if self.session:
            self.session.on_established(duration)

    def report_load(self, load: float) -> None:
        """Report the load that the session causes, in core seconds per second."""
        if self.session:
            self.session.on_load(load)

    def report_message_delay(self, delay: float) -> None:
        """Report the round-trip time of a message to the endpoint, in seconds."""
        if self.session:
            self.session.on_message_delay(delay)

    def report_client_gone(self) -> None:
        """Report that the client left. The policy cancels an attempt in flight if the settings allow it."""
        self.answered = True
        if self.session:
            self.session.on_client_gone()

    def close(self) -> None:
        """End the session in any state, so that it does not stay counted as open."""
        self.report_client_gone()
        if self.attempt_in_flight:
            self.report_ended(AttemptOutcome.CANCELLED, 0.0, True)

    def give_up(
        self, outcome: AttemptOutcome | None = None, duration: float = 0.0, load: float | None = None
    ) -> Selection:
        """Stop attempting endpoints and return the final answer that the policy chooses.

        Args:
            outcome: how the attempt in flight has ended; None if the session waits for an endpoint.
            duration: seconds since that attempt started.
            load: the endpoint's load over capacity, if its answer reported it.
        """
        if self.session is not None:
            self.session.deadline = -math.inf
            if outcome is None:
                self.session.balancer.attempt(self.session)
            else:
                self.report_ended(outcome, duration, load=load)
        selection = self.selection
        self.selection = None
        self.answered = True
        return selection or Selection()
