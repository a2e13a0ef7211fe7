"""Carries the decisions for the network code: it waits for a selection, and reports what came of it.

A session's coroutine waits in `SessionHandle.wait_for_selection` for an endpoint, a rejection or a teardown,
and reports how the attempt went. Nothing else of what the decisions ask of their host, or are told, is seen
outside this file.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Generator, Hashable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from onyxhollow.counters import Counters
from onyxhollow.interface import (
    AttemptOutcome,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Listener,
    Settings,
    Tenant,
)
from onyxhollow.policy import Balancer, Session
from onyxhollow.policy.load_reports import FULL_LOAD, SHED_LOAD
from onyxhollow.state_snapshot import count_avoided, restore_snapshot, take_snapshot

# Outcomes that are no evidence against an endpoint.
NOT_FAILURES = (
    AttemptOutcome.OK,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.OVERLOADED,
)
LOAD_STEP = 0.01  # under the load that starts a migration


class SharedEstimate(Protocol):
    """What the members of a fleet know together of an endpoint, as onyxhollow.gossip estimates it."""

    @property
    def endpoint(self) -> str:
        """Its name."""

    @property
    def load(self) -> float | None:
        """Load over capacity; None: only the rest is new."""

    @property
    def load_age(self) -> float:
        """Seconds since that load was reported."""

    @property
    def connections(self) -> int:
        """Open connections of all members."""

    @property
    def outlier_score(self) -> float:
        """What the members' failures there are worth."""


@dataclass(frozen=True, slots=True)
class Selection:
    """What is to be done for a session: attempt an endpoint, or (endpoint is None) answer it.

    Attributes:
        endpoint: name of the endpoint to attempt.
        timeout: seconds for the attempt.
        rejected: whether the answer is a rejection, which invites a retry; else a teardown.
        retry_after: seconds that the client is told to wait.
    """

    endpoint: str | None = None
    timeout: float = 0.0
    rejected: bool = False
    retry_after: float = 0.0


class SessionHandle:
    """One session as the network code sees it.

    Attributes:
        session: as the decisions know it; None for a connection to an endpoint that is not listed.
        cancel_requested: the attempt in flight is to be given up.
        migrate_requested: the client is to be moved.
        attempt_in_flight: an attempt, or the connection it led to, has not been reported as ended.
        answered: the client has its answer.
    """

    def __init__(self, decisions: DecisionAdapter, wake: Callable[[], None]) -> None:
        self.decisions = decisions
        self.wake = wake
        self.session: Session | None = None
        self.selection: Selection | None = None
        self.cancel_requested = False
        self.migrate_requested = False
        self.attempt_in_flight = False
        self.answered = False

    def set_selection(self, selection: Selection) -> None:
        """Take the decision and wake the coroutine that waits for it."""
        must = self.decisions.counters.must
        if not must(not self.answered, "nothing is decided after the answer"):
            return
        must(self.selection is None and not self.attempt_in_flight, "one dial at a time")
        self.selection = selection
        self.wake()

    def wait_for_selection(self, gone: Callable[[], bool]) -> Generator[float, None, Selection | None]:
        """Wait for the decision and return it; None when `gone` says that the client has left meanwhile."""
        while self.selection is None:
            if gone():
                return None
            yield math.inf
        selection = self.selection
        self.selection = None
        self.attempt_in_flight = selection.endpoint is not None
        self.answered = selection.endpoint is None
        return selection

    def may_send(self) -> bool:
        """Return whether the attempt in flight may still be written to its endpoint."""
        return self.session is not None and self.session.may_send()

    def report_ended(
        self, outcome: AttemptOutcome, took: float, final: bool = False, load: float | None = None
    ) -> None:
        """Report how an attempt, or the connection it led to, has ended.

        Args:
            outcome: how it ended.
            took: seconds since it began.
            final: whether the client has its answer by that.
            load: the endpoint's load over capacity, if its answer reported it.
        """
        self.decisions.counters.must(self.attempt_in_flight, "an end belongs to a dial that is out")
        self.attempt_in_flight = False
        self.cancel_requested = False
        self.answered = self.answered or final
        if self.session:
            if outcome not in NOT_FAILURES and not final and self.session.endpoint:
                self.decisions.on_attempt_failed(self.session.endpoint.name)
            self.session.on_attempt_ended(outcome, final, took, load)

    def report_established(self, took: float) -> None:
        """Report that the endpoint accepted the session after `took` seconds."""
        self.answered = True
        if self.session:
            self.session.on_established(took)

    def report_load(self, load: float) -> None:
        """Report the session's own load, core seconds a second."""
        if self.session:
            self.session.on_load(load)

    def report_message_delay(self, delay: float) -> None:
        """Report how many seconds a message took to the endpoint and back."""
        if self.session:
            self.session.on_message_delay(delay)

    def report_client_gone(self) -> None:
        """Report that the client left; an attempt in flight is cancelled where that is allowed."""
        self.answered = True
        if self.session:
            self.session.on_client_gone()

    def close(self) -> None:
        """End the session however its connection ended, so that it is not counted as open for ever."""
        self.report_client_gone()
        if self.attempt_in_flight:
            self.report_ended(AttemptOutcome.CANCELLED, 0.0, True)

    def give_up(
        self, outcome: AttemptOutcome | None = None, took: float = 0.0, load: float | None = None
    ) -> Selection:
        """Attempt nothing more, and return the answer by the decisions' own rules.

        Args:
            outcome: how the attempt in flight has ended; None if the session waits for one.
            took: seconds since that attempt began.
            load: the endpoint's load over capacity, if its answer reported it.
        """
        if self.session is not None:
            self.session.deadline = -math.inf
            if outcome is None:
                self.session.balancer.attempt(self.session)
            else:
                self.report_ended(outcome, took, load=load)
        selection = self.selection
        self.selection = None
        self.answered = True
        return selection or Selection()


def report_shared(balancer: Balancer, estimate: SharedEstimate) -> None:
    """Take in what the fleet's members know together of an endpoint.

    Evidence of failure turns traffic away from it, and ejects it only with what this instance has seen.
    """
    load = estimate.load
    if load is not None and load >= SHED_LOAD and balancer.rng.random() * load >= load - FULL_LOAD:
        # All are notified at once: as many as are too much migrate theirs, the others wait.
        load = SHED_LOAD - LOAD_STEP
    balancer.on_health_check(
        estimate.endpoint, AttemptOutcome.OK, 0.0, load, estimate.load_age, estimate.connections
    )
    endpoint = balancer.tracked.get(estimate.endpoint)
    if endpoint:
        more = estimate.outlier_score - endpoint.outlier_score(balancer.host.now)
        if more > 0.0:
            balancer.record_failure(endpoint, more)


class DecisionAdapter:
    """The decisions' host in a proxy, and their calls for the network code.

    Its clock is the loop's; its one timer is the caller's, who calls `tick` at `next_tick_at`.

    Attributes:
        next_tick_at: when `tick` is to be called next, on the clock.
        on_attempt_failed: called with an endpoint's name for each failed attempt, for gossip.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        settings: Settings,
        seed: int,
        counters: Counters,
        log: Callable[[str], None],
        check_health: Callable[[str], None],
        poll_endpoint_list: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.log = log
        self.check_health = check_health
        self.poll_endpoint_list = poll_endpoint_list
        self.next_tick_at = math.inf
        self.on_attempt_failed: Callable[[str], None] = lambda endpoint: None  # noqa: ARG005 - for nobody yet
        self.balancer = Balancer(self, settings, seed)

    @property
    def now(self) -> float:
        """Seconds on the host's clock."""
        return self.clock()

    # Calls of the network code.

    def admit(
        self,
        wake: Callable[[], None],
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        time_left: float,
        load: float | None,
    ) -> SessionHandle:
        """Take a new session; `wake` is called at each decision. See `policy.admission.admit`."""
        handle = SessionHandle(self, wake)
        handle.session = self.balancer.admit(handle, listener, tenant, group, time_left, load)
        return handle

    def adopt(
        self,
        wake: Callable[[], None],
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        load: float | None,
        endpoint: str,
        placed: bool = False,
    ) -> SessionHandle:
        """Count a connection that was open before this process started.

        Args:
            wake: called when it is to be migrated.
            listener: what it asked for.
            tenant: whose quota it counts against.
            group: of sessions that share work.
            load: its own, core seconds a second.
            endpoint: name of the one that it is open at.
            placed: whether the process before this one chose that endpoint.
        """
        handle = SessionHandle(self, wake)
        session = self.balancer.adopt(handle, listener, tenant, group, load, endpoint)
        handle.session = session
        if session and placed:
            session.placed_here = True
            if session.endpoint:  # the load that its endpoint reported includes this one already
                session.endpoint.connections_at_report += 1
        handle.attempt_in_flight = True
        handle.answered = True
        return handle

    def on_all_adopted(self) -> None:
        """Hand off the endpoints that were draining before their connections came over."""
        for endpoint in self.balancer.tracked.values():
            if endpoint.state is EndpointState.DRAINING and not endpoint.migration:
                self.balancer.start_migration(endpoint, "drain", forced=True)

    def take_snapshot(self) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        """Return what the decisions know, as plain values for a successor process."""
        return take_snapshot(self.balancer)

    def restore_snapshot(self, common: dict[str, Any], records: list[dict[str, Any]]) -> int:
        """Take over a snapshot, and return of how many endpoints; see `state_snapshot.restore_snapshot`."""
        return restore_snapshot(self.balancer, common, records)

    def report_list(self, kind: EndpointListKind, entries: Iterable[Endpoint] = ()) -> None:
        """Report an answer of the endpoint list, or its failure."""
        self.balancer.on_endpoint_list(kind, entries)

    def report_health_check(
        self, endpoint: str, outcome: AttemptOutcome, took: float, load: float | None
    ) -> None:
        """Report a health check that took that many seconds; load: over capacity, None if not reported."""
        self.balancer.on_health_check(endpoint, outcome, took, load)

    def report_shared(self, estimate: SharedEstimate) -> None:
        """Report what the fleet's members know together of an endpoint."""
        report_shared(self.balancer, estimate)

    def own_connections(self) -> dict[str, int]:
        """Return open connections and attempts in flight, by endpoint."""
        return {s.name: len(s.connections) for s in self.balancer.tracked.values() if s.connections}

    def count_with_capacity(self, zone: str) -> tuple[int, int]:
        """Return how many endpoints are in service, and how many of them can take something new.

        Those of the zone if it has any. One that this instance passes over for a time by chance, as it does
        with few connections, has capacity all the same.
        """
        balancer = self.balancer
        now = self.clock()
        endpoints = [s for s in balancer.endpoints if s.zone == zone] or balancer.endpoints
        able = [
            s
            for s in endpoints
            if balancer.load_of(s) < FULL_LOAD and s.outlier_score(now) <= balancer.ejection_threshold
        ]
        return len(endpoints), len(able)

    def reconfigure(self, settings: Settings) -> None:
        """Take over other settings."""
        self.balancer.reconfigure(settings)

    def count_avoided(self) -> tuple[int, int]:
        """Return how many endpoints are listed, and how many of them are draining or ejected."""
        return count_avoided(self.balancer)

    def tick(self) -> None:
        """Do what has fallen due."""
        self.balancer.tick()

    # Calls of the decisions; see interface.Host.

    def start_attempt(self, token: Hashable, endpoint: str, timeout: float) -> None:
        """Have the session's coroutine attempt an endpoint, for `timeout` seconds."""
        self.handle_of(token).set_selection(Selection(endpoint, timeout))

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:  # noqa: ARG002 - one is out at a time
        """Have the attempt in flight given up."""
        handle = self.handle_of(token)
        handle.cancel_requested = True
        handle.wake()

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Answer a session: come again after that many seconds."""
        self.handle_of(token).set_selection(Selection(rejected=True, retry_after=retry_after))

    def tear_down(self, token: Hashable) -> None:
        """Answer a session that may have run: no retry."""
        self.handle_of(token).set_selection(Selection())

    def migrate(self, token: Hashable) -> None:
        """Have the client of an open connection moved."""
        handle = self.handle_of(token)
        handle.migrate_requested = True
        handle.wake()

    def set_timer(self, when: float) -> None:
        """Set the one timer."""
        self.next_tick_at = when

    def handle_of(self, token: Hashable) -> SessionHandle:
        """Return the handle that a session's token is here."""
        assert isinstance(token, SessionHandle)
        return token
