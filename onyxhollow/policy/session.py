"""One client session, from its admission to the end of its connection.

A session stores its attempts and answer, and forwards each event to the instance that decides. It prevents a
second answer, an attempt after the client has left, and counting a connection twice.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Hashable
from typing import Protocol

from onyxhollow.interface import AttemptOutcome, Host, Listener, Tenant
from onyxhollow.policy import retry
from onyxhollow.policy.estimators import Ewma
from onyxhollow.policy.tracked import TrackedEndpoint

OVERLOAD_BLOCK_SECONDS = 1.5  # no new sessions for this long after a sign of overload
LATE_MESSAGE_SCORE = 0.3  # added to the outlier score per late message
ACCEPTED_SCORE_FACTOR = 0.7  # applied to the outlier score for each accepted session


class SessionOwner(Protocol):
    """The part of an instance that its sessions use."""

    host: Host
    max_attempts: int
    cancellation: bool
    own_connections: Counter[str]
    handshake_time: Ewma

    def attempt(self, session: Session) -> None:
        """Start the next attempt, queue the session or answer it."""

    def record_failure(self, endpoint: TrackedEndpoint, amount: float) -> None:
        """Raise an endpoint's outlier score."""

    def record_load(self, endpoint: TrackedEndpoint, load: float) -> None:
        """Record a load report."""

    def record_outcome(
        self, session: Session, endpoint: TrackedEndpoint, outcome: AttemptOutcome, took: float
    ) -> None:
        """Update scores after an attempt or a connection ended."""

    def start_migration(self, source: TrackedEndpoint, reason: str) -> None:
        """Start to migrate an endpoint's connections."""


class Session:
    """A client session; the host reports events after its admission by calls on this object.

    Attributes:
        deadline: when the client gives up, on the host's clock; infinite for an adopted connection.
        load: the session's own load in core seconds per second; None if unknown.
        endpoint: endpoint of the attempt in flight or of the connection.
        attempted: endpoints of all attempts so far.
        sampled: endpoints drawn at random for the next attempt.
        load_requests: number of health checks requested for this session.
        attempt_in_flight: whether an attempt has started and neither it nor its connection has ended.
        established: whether the connection is open.
        answered: whether the client has its final answer, or needs none.
        placed_here: whether this instance selected the endpoint.
        queue_deadline: when the session is answered if no endpoint is eligible.
        may_have_run_on: the first endpoint on which the request may have run.
        may_have_run_since: when the first attempt that may have run was sent.
    """

    def __init__(
        self,
        balancer: SessionOwner,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        deadline: float,
        load: float | None,
    ) -> None:
        self.balancer = balancer
        self.token = token
        self.listener = listener
        self.tenant = tenant
        self.tenant_name = tenant.name if tenant else ""
        self.group = group
        self.deadline = deadline
        self.load = load
        self.load_reported_at = -math.inf
        self.max_attempts = balancer.max_attempts
        self.endpoint: TrackedEndpoint | None = None
        self.attempted = list[TrackedEndpoint]()
        self.sampled = list[TrackedEndpoint]()
        self.load_requests = 0
        self.attempt_in_flight = False
        self.established = False
        self.answered = False
        self.placed_here = False
        self.was_queued = False
        self.client_left = False
        self.queue_deadline = (balancer.host.now + deadline) / 2
        self.may_have_run_on: TrackedEndpoint | None = None
        self.may_have_run_since = 0.0

    may_attempt_at = retry.may_attempt_at

    def may_send(self) -> bool:
        """Return whether the attempt in flight may still be written to its endpoint."""
        return retry.may_send(self, self.balancer.host.now)

    def count_on_endpoint(self, endpoint: TrackedEndpoint) -> None:
        """Add the session to the endpoint's connections and to its tenant's count."""
        endpoint.connections[self] = None
        endpoint.ever_used = True
        self.balancer.own_connections[self.tenant_name] += 1

    def release(self) -> None:
        """Remove the session from its endpoint and its tenant's count; a migration counts it as moved."""
        endpoint = self.endpoint
        if endpoint is not None and self in endpoint.connections:
            del endpoint.connections[self]
            self.balancer.own_connections[self.tenant_name] -= 1
            if endpoint.migration:
                endpoint.migration.moved += 1

    def on_established(self, took: float) -> None:
        """Record that the endpoint accepted the session after `took` seconds."""
        endpoint = self.endpoint
        now = self.balancer.host.now
        if endpoint is None or self.answered:
            return
        self.established = True
        self.answered = True
        endpoint.handshake_time.add(took, now)
        self.balancer.handshake_time.add(took, now)
        endpoint.recorded_score *= ACCEPTED_SCORE_FACTOR

    def on_load(self, load: float) -> None:
        """Record the session's own load in core seconds per second."""
        self.load = load
        self.load_reported_at = self.balancer.host.now

    def on_message_delay(self, delay: float) -> None:
        """Record the delay of a message in seconds.

        A late message within `OVERLOAD_BLOCK_SECONDS` after another sign of overload starts a migration.
        """
        endpoint = self.endpoint
        if endpoint is None:
            return
        now = self.balancer.host.now
        endpoint.message_delay.add(delay, now)
        if 0 < self.listener.message_objective < delay:
            last_overload_at = endpoint.overloaded_at
            endpoint.overloaded_at = now
            self.balancer.record_failure(endpoint, LATE_MESSAGE_SCORE)
            if now - last_overload_at < OVERLOAD_BLOCK_SECONDS:
                self.balancer.start_migration(endpoint, f"messages take {delay:.2f} s")

    def on_client_gone(self) -> None:
        """Record that the client left and needs no answer; cancel an attempt in flight where allowed."""
        self.answered = True
        self.client_left = True
        if self.attempt_in_flight and not self.established and self.balancer.cancellation:
            self.balancer.host.cancel_attempt(self.token, len(self.attempted) - 1)

    def on_attempt_ended(
        self, outcome: AttemptOutcome, final: bool, took: float, load: float | None = None
    ) -> None:
        """Process the end of an attempt, or of the connection it led to, and attempt again if needed.

        Args:
            outcome: how it ended.
            final: whether the client has its final answer.
            took: seconds from the start of the attempt to its end.
            load: the endpoint's load over capacity, if its answer contained a load report.
        """
        endpoint = self.endpoint
        if not self.attempt_in_flight or endpoint is None:
            return
        self.attempt_in_flight = False
        self.release()
        if load is not None:
            self.balancer.record_load(endpoint, load)
        self.balancer.record_outcome(self, endpoint, outcome, took)
        was_established = self.established
        self.established = False
        if not outcome.never_ran and not was_established and self.may_have_run_on is None:
            self.may_have_run_on = endpoint
        if final or was_established:
            self.answered = True
        elif not self.answered:
            self.balancer.attempt(self)
