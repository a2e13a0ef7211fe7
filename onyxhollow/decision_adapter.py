"""Connects the network code to the policy.

Sessions use it through their `SessionHandle`. The rest of the `Host` protocol and of the policy's calls is
internal to this module.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Iterable
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
from onyxhollow.policy import Balancer
from onyxhollow.policy.load_reports import FULL_LOAD, SHED_LOAD
from onyxhollow.session_handle import Selection, SessionHandle
from onyxhollow.state_snapshot import count_avoided, restore_snapshot, take_snapshot

MIGRATION_LOAD_MARGIN = 0.01  # subtracted from SHED_LOAD so that a load starts no migration


class SharedEstimate(Protocol):
    """An estimate for one endpoint from the reports of all fleet members; see onyxhollow.gossip."""

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""

    @property
    def load(self) -> float | None:
        """Load over capacity; None if the other values changed and the load did not."""

    @property
    def load_age(self) -> float:
        """Seconds since the load was reported."""

    @property
    def connections(self) -> int:
        """Number of open connections of all members."""

    @property
    def outlier_score(self) -> float:
        """Outlier score from the failures of all members at the endpoint."""


def report_shared(balancer: Balancer, estimate: SharedEstimate) -> None:
    """Pass a fleet-wide estimate for an endpoint to the policy.

    Failures seen by other members divert traffic from the endpoint. They eject it only together with
    failures that this instance has seen.
    """
    load = estimate.load
    if load is not None and load >= SHED_LOAD and balancer.rng.random() * load >= load - FULL_LOAD:
        # All instances receive this estimate at the same time. Each starts a migration with a probability
        # that matches the excess load, so that together they migrate only the excess.
        load = SHED_LOAD - MIGRATION_LOAD_MARGIN
    balancer.on_health_check(
        estimate.endpoint, AttemptOutcome.OK, 0.0, load, estimate.load_age, estimate.connections
    )
    endpoint = balancer.tracked.get(estimate.endpoint)
    if endpoint:
        score_increase = estimate.outlier_score - endpoint.outlier_score(balancer.host.now)
        if score_increase > 0.0:
            balancer.record_failure(endpoint, score_increase)


class DecisionAdapter:
    """The policy's host in a proxy process, and the network code's calls to the policy.

    Attributes:
        next_tick_at: when the caller has to call `tick` next, on `clock`.
        on_attempt_failed: called with the endpoint's name after each failed attempt, for gossip.
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
        self.on_attempt_failed: Callable[[str], None] = lambda endpoint: None  # noqa: ARG005 - no gossip yet
        self.balancer = Balancer(self, settings, seed)

    @property
    def now(self) -> float:
        """Current time on the host's clock, in seconds."""
        return self.clock()

    # Calls from the network code.

    def admit(
        self,
        wake: Callable[[], None],
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        time_left: float,
        load: float | None,
    ) -> SessionHandle:
        """Admit a new session; `wake` is called after each decision. See `policy.admission.admit`."""
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
        """Adopt a connection that was open before this process started.

        Args:
            wake: called when the connection has to be migrated.
            listener: listener that the client requested.
            tenant: tenant whose quota it counts against.
            group: group of sessions that share work.
            load: load that the session causes, in core seconds per second.
            endpoint: name of the endpoint that it is connected to.
            placed: whether the predecessor process chose that endpoint.
        """
        handle = SessionHandle(self, wake)
        session = self.balancer.adopt(handle, listener, tenant, group, load, endpoint)
        handle.session = session
        if session and placed:
            session.placed_here = True
            if session.endpoint:  # the load last reported by the endpoint includes this connection
                session.endpoint.connections_at_report += 1
        handle.attempt_in_flight = True
        handle.answered = True
        return handle

    def on_all_adopted(self) -> None:
        """Migrate the adopted connections of endpoints that are already draining."""
        for endpoint in self.balancer.tracked.values():
            if endpoint.state is EndpointState.DRAINING and not endpoint.migration:
                self.balancer.start_migration(endpoint, "drain", forced=True)

    def take_snapshot(self) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        """Return the policy's state as plain values for a successor process."""
        return take_snapshot(self.balancer)

    def restore_snapshot(self, common: dict[str, Any], records: list[dict[str, Any]]) -> int:
        """Restore a snapshot; return the number of endpoints. See `state_snapshot.restore_snapshot`."""
        return restore_snapshot(self.balancer, common, records)

    def report_list(self, kind: EndpointListKind, entries: Iterable[Endpoint] = ()) -> None:
        """Report an answer of the endpoint list, or a failed poll."""
        self.balancer.on_endpoint_list(kind, entries)

    def report_list_requested(self, limit: float) -> None:
        """Report that the network code polls for a list that counts as known `limit` seconds from now."""
        self.balancer.on_list_requested(limit)

    def report_health_check(
        self, endpoint: str, outcome: AttemptOutcome, duration: float, load: float | None
    ) -> None:
        """Report a health check that ended after `duration` seconds.

        Args:
            endpoint: name of the endpoint.
            outcome: how the health check ended.
            duration: seconds since it started.
            load: the endpoint's load over capacity; None if it was not reported.
        """
        self.balancer.on_health_check(endpoint, outcome, duration, load)

    def report_shared(self, estimate: SharedEstimate) -> None:
        """Report a fleet-wide estimate for an endpoint."""
        report_shared(self.balancer, estimate)

    def own_connections(self) -> dict[str, int]:
        """Return the number of open connections and attempts in flight by endpoint."""
        return {s.name: len(s.connections) for s in self.balancer.tracked.values() if s.connections}

    def count_with_capacity(self, zone: str) -> tuple[int, int]:
        """Return the number of endpoints in service, and of those with capacity for new sessions.

        Counts the endpoints of the zone, or all if the zone has none. An endpoint that this instance skips
        temporarily by a random draw, as it does with few connections, counts as having capacity.
        """
        balancer = self.balancer
        now = self.clock()
        endpoints = [s for s in balancer.endpoints if s.zone == zone] or balancer.endpoints
        with_capacity = [
            s
            for s in endpoints
            if balancer.load_of(s) < FULL_LOAD and s.outlier_score(now) <= balancer.ejection_threshold
        ]
        return len(endpoints), len(with_capacity)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
        self.balancer.reconfigure(settings)

    def count_avoided(self) -> tuple[int, int]:
        """Return the number of listed endpoints, and of those that are draining or ejected."""
        return count_avoided(self.balancer)

    def tick(self) -> None:
        """Run the policy's expired timers."""
        self.balancer.tick()

    # Calls from the policy; see interface.Host.

    def start_attempt(self, token: Hashable, endpoint: str, timeout: float) -> None:
        """Select an endpoint for the session's coroutine to attempt, for at most `timeout` seconds."""
        self.handle_of(token).set_selection(Selection(endpoint, timeout))

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:  # noqa: ARG002 - one at a time
        """Request the cancellation of the attempt in flight."""
        handle = self.handle_of(token)
        handle.cancel_requested = True
        handle.wake()

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Select a rejection that asks the client to retry after `retry_after` seconds."""
        self.handle_of(token).set_selection(Selection(rejected=True, retry_after=retry_after))

    def tear_down(self, token: Hashable) -> None:
        """Select the final answer for a session that may have run and must not be retried."""
        self.handle_of(token).set_selection(Selection())

    def migrate(self, token: Hashable) -> None:
        """Request that the client of an established connection reconnects."""
        handle = self.handle_of(token)
        handle.migrate_requested = True
        handle.wake()

    def set_timer(self, when: float) -> None:
        """Set the only timer."""
        self.next_tick_at = when

    def handle_of(self, token: Hashable) -> SessionHandle:
        """Return the session handle that serves as a session's token."""
        assert isinstance(token, SessionHandle)
        return token
