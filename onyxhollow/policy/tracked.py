"""What one instance knows of one endpoint: its list entry, own connections, load reports and failures.

Decides nothing; the scores and latencies read off here expire by themselves.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Protocol

from onyxhollow.interface import Endpoint, EndpointState
from onyxhollow.policy.estimators import Ewma, stable_uniform
from onyxhollow.policy.migration import StagedMigration

SCORE_DECAY = 7.0  # seconds until a third of an outlier score is left
MAX_RING_POSITIONS = 32  # of one endpoint


class OpenSession(Protocol):
    """What the decisions read of a session that has an attempt or a connection at an endpoint."""

    token: Hashable
    group: Hashable
    load: float | None
    load_reported_at: float
    established: bool
    placed_here: bool

    def release(self) -> None:
        """Stop counting the session among its endpoint's connections."""


class TrackedEndpoint:
    """One endpoint of the list, in any state.

    Attributes:
        size: as registered, or the largest weight of its machine type where weights are live.
        ring_positions: numbers from 0 to 1 at which it stands on the ring of affinity.
        shared_connections: connections per size of all instances, as list or gossip tell them.
        connections: own attempts in flight and connections open, in order of placing.
        ever_used: whether it has had a connection from here.
        load: load over capacity as last reported.
        overloaded_at: when it last shed a session, was full, or was late with messages.
        arrival: new placements at the staged pace, to a fair share, while it warms up or is back.
        migration: the hand-off of its connections, while one is under way.
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
        """Take over the list's entry of an endpoint in service."""
        self.name = endpoint.name
        self.state = EndpointState.IN_SERVICE
        self.started_at = endpoint.started_at
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.machine_type = endpoint.machine_type

    def set_size(self, size: float, unit: float) -> None:
        """Set the size, and two ring positions for each `unit` of it."""
        self.size = size
        count = min(MAX_RING_POSITIONS, math.ceil(2 * size / unit))
        if len(self.ring_positions) != count:
            self.ring_positions = [stable_uniform(self.name, n) for n in range(count)]

    def latency(self, now: float) -> float | None:
        """Return the message delay in seconds, else the handshake time, else None."""
        delay = self.message_delay.fresh_value(now)
        return self.handshake_time.fresh_value(now) if delay is None else delay

    def outlier_score(self, now: float) -> float:
        """Return the score of its failures, which decays with `SCORE_DECAY`."""
        return self.recorded_score and self.recorded_score * math.exp(
            (self.recorded_score_at - now) / SCORE_DECAY
        )
