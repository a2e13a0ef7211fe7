"""One client session, from its admission to the end of its connection.

Holds what was attempted and answered, and passes each event on to the instance that decides. Guards against
a second answer, against an attempt after the client has left, and against counting a connection twice.
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

OVERLOAD_MEMORY = 1.5  # seconds for which a sign of overload bars an endpoint
LATE_MESSAGE_SCORE = 0.3  # outlier score of one late message
ACCEPTED_RELIEF = 0.7  # part of an outlier score that is left after an accepted session


class SessionOwner(Protocol):
    """What a session asks of the instance that decides for it."""

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
        """Take in a load report."""

    def record_outcome(
        self, session: Session, endpoint: TrackedEndpoint, outcome: AttemptOutcome, took: float
    ) -> None:
        """Learn from how an attempt or a connection ended."""

    def start_migration(self, source: TrackedEndpoint, reason: str) -> None:
        """Begin to hand off an endpoint's connections."""


class Session:
    """The handle of one session: all that happens to it after its admission is a call here.

    Attributes:
        deadline: when its client gives up, on the host's clock; infinite for an adopted connection.
        load: its own load, as core seconds a second; None if unknown.
        endpoint: that of the attempt in flight or the connection.
        attempted: endpoints of all attempts so far.
        sampled: endpoints drawn for the next attempt.
        load_requests: endpoints that were asked for their load on its behalf.
        attempt_in_flight: whether an attempt or a connection is out.
        established: whether its connection is open.
        answered: whether its client has its answer, or needs none.
        placed_here: whether this instance chose the endpoint.
        queue_until: when it is answered if no endpoint may take it.
        may_have_run_on: the first endpoint on which it may have run; may_have_run_since: when that was sent.
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
        self.queue_until = (balancer.host.now + deadline) / 2
        self.may_have_run_on: TrackedEndpoint | None = None
        self.may_have_run_since = 0.0

    may_attempt_at = retry.may_attempt_at

    def may_send(self) -> bool:
        """Return whether the attempt in flight may still be written to its endpoint."""
        return retry.may_send(self, self.balancer.host.now)

    def occupy(self, endpoint: TrackedEndpoint) -> None:
        """Count the session among the endpoint's connections and its tenant's."""
        endpoint.connections[self] = None
        endpoint.ever_used = True
        self.balancer.own_connections[self.tenant_name] += 1

    def release(self) -> None:
        """Stop counting the session; an end during a migration counts as moved."""
        endpoint = self.endpoint
        if endpoint is not None and self in endpoint.connections:
            del endpoint.connections[self]
            self.balancer.own_connections[self.tenant_name] -= 1
            if endpoint.migration:
                endpoint.migration.moved += 1

    def on_established(self, took: float) -> None:
        """Take in that the endpoint accepted the session after `took` seconds."""
        endpoint = self.endpoint
        now = self.balancer.host.now
        if endpoint is None or self.answered:
            return
        self.established = True
        self.answered = True
        endpoint.handshake_time.add(took, now)
        self.balancer.handshake_time.add(took, now)
        endpoint.recorded_score *= ACCEPTED_RELIEF

    def on_load(self, load: float) -> None:
        """Take in the session's own load, core seconds a second."""
        self.load = load
        self.load_reported_at = self.balancer.host.now

    def on_message_delay(self, delay: float) -> None:
        """Take in how long a message took, seconds; late ones twice in a row start a migration."""
        endpoint = self.endpoint
        if endpoint is None:
            return
        now = self.balancer.host.now
        endpoint.message_delay.add(delay, now)
        if 0 < self.listener.message_objective < delay:
            before = endpoint.overloaded_at
            endpoint.overloaded_at = now
            self.balancer.record_failure(endpoint, LATE_MESSAGE_SCORE)
            if now - before < OVERLOAD_MEMORY:
                self.balancer.start_migration(endpoint, f"messages take {delay:.2f} s")

    def on_client_gone(self) -> None:
        """Take in that the client left: nothing is owed, an attempt in flight is cancelled where allowed."""
        self.answered = True
        self.client_left = True
        if self.attempt_in_flight and not self.established and self.balancer.cancellation:
            self.balancer.host.cancel_attempt(self.token, len(self.attempted) - 1)

    def on_attempt_ended(
        self, outcome: AttemptOutcome, final: bool, took: float, load: float | None = None
    ) -> None:
        """Take in how an attempt, or the connection it led to, ended after `took` seconds.

        Args:
            outcome: how it ended.
            final: whether the client has its answer by that.
            took: seconds since it was sent.
            load: the endpoint's load over capacity if the answer reported it.
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
