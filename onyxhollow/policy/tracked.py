"""The state that one instance keeps per endpoint: list entry, own connections, load reports and failures.

Contains no decisions. Latencies expire and outlier scores decay with time.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Protocol

from onyxhollow.interface import Endpoint, EndpointState
from onyxhollow.policy.estimators import Ewma, stable_uniform
from onyxhollow.policy.migration import StagedMigration

SCORE_DECAY_SECONDS = 7.0  # after this time 37 % (1/e) of an outlier score is left
MAX_RING_POSITIONS = 32  # per endpoint


class OpenSession(Protocol):
    """The part of a session with an attempt or a connection at an endpoint that decisions use."""

    token: Hashable
    group: Hashable
    load: float | None
    load_reported_at: float
    established: bool
    placed_here: bool

    def release(self) -> None:
        """Remove the session from its endpoint's connections."""


class TrackedEndpoint:
    """One endpoint of the list, in any state.

    Attributes:
        size: registered weight, or the largest weight of its machine type if weights are live.
        ring_positions: its positions on the affinity ring, numbers from 0 to 1.
        shared_connections: connections of all instances per size, from the endpoint list or gossip.
        connections: this instance's attempts in flight and open connections, in order of placement.
        ever_used: whether this instance has ever placed a session on it.
        recorded_score: outlier score at `recorded_score_at`, before decay.
        load: last reported load over capacity.
        checked_at: when this instance last requested a health check.
        overloaded_at: time of the last sign of overload: a shed session, no capacity or a late message.
        arrival: the paced placements up to a fair share, while it warms up or returns to service.
        migration: the migration of its connections, while one is in progress.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.ring_positions = list[float]()
        self.size = 1.0
        self.shared_connections = 0.0
        self.shared_connections_at = -math.inf
        self.update_from(endpoint)
        self.connections: dict[OpenSession, None] = {}
        self.ever_used = False
        self.recorded_score = 0.0
        self.recorded_score_at = 0.0
        self.message_delay = Ewma()
        self.handshake_time = Ewma()
        self.load = 0.0
        self.load_reported_at = -math.inf
        self.connections_at_report = 0
        self.shared_connections_at_report = 0.0
        self.checked_at = -math.inf
        self.overloaded_at = -math.inf
        self.arrival: StagedMigration | None = None
        self.migration: StagedMigration | None = None

    def update_from(self, endpoint: Endpoint) -> None:
        """Copy the list entry of an endpoint in service."""
        self.name = endpoint.name
        self.state = EndpointState.IN_SERVICE
        self.started_at = endpoint.started_at
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.machine_type = endpoint.machine_type

    def set_size(self, size: float, unit: float) -> None:
        """Set the size, and two ring positions per `unit` of size."""
        self.size = size
        count = min(MAX_RING_POSITIONS, math.ceil(2 * size / unit))
        if len(self.ring_positions) != count:
            self.ring_positions = [stable_uniform(self.name, n) for n in range(count)]

    def latency(self, now: float) -> float | None:
        """Return the message delay in seconds, else the handshake time, or None if both are unknown."""
        delay = self.message_delay.fresh_value(now)
        return self.handshake_time.fresh_value(now) if delay is None else delay

    def outlier_score(self, now: float) -> float:
        """Return the outlier score, which decays exponentially."""
        return self.recorded_score and self.recorded_score * math.exp(
            (self.recorded_score_at - now) / SCORE_DECAY_SECONDS
        )
