"""Slow start (rule 4): this instance's share of the sessions that all may send to an endpoint warming up.

Inputs are the endpoint's age and size, the own connections that fill a warm endpoint, and the overload
multiple and window of the settings. The budget protects a cold endpoint from overload by the first sessions,
and from a burst of tokens saved up by many instances, which share the budget without communicating.
"""

from __future__ import annotations

import math

from onyxhollow.interface import Settings
from onyxhollow.policy.estimators import ArrivalRate
from onyxhollow.policy.tracked import TrackedEndpoint

SAFETY_FACTOR = 0.9  # share of the budget that is used
FEW_SESSIONS_PER_WINDOW = 30.0  # of all instances; below it the slack is three square roots, else two


class SlowStartBudget(ArrivalRate):
    """A token bucket per endpoint that is warming up, and the arrival rate of sessions.

    The budget, in sessions per second, is the number of own connections that fill a warm endpoint of the same
    size, divided by the warm-up time and multiplied by the current warmth and the overload multiple. Initial
    levels differ by instance and endpoint. If many instances share the budget, each gets a token rarely. An
    unused token then expires; otherwise all instances could use their tokens in one burst.
    """

    def __init__(self, now: float) -> None:
        super().__init__(now)
        self.tokens: dict[TrackedEndpoint, tuple[float, float]] = {}  # bucket level, and when it was computed

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings, at the start or at a reload."""
        self.initial_share = settings.slow_start_share
        self.warm_up_time = settings.slow_start_time
        self.overload_multiple = settings.overload_multiple
        self.overload_window = settings.overload_window
        self.instance_count = settings.instance_count
        self.phase = settings.instance_index / settings.instance_count

    def warming_up(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether the endpoint started less than the warm-up time ago."""
        return endpoint.started_at is not None and now - endpoint.started_at < self.warm_up_time

    def refill(self, endpoint: TrackedEndpoint, connections_at_capacity: float, now: float) -> float:
        """Refill the endpoint's bucket and return its level, which allows a session from 1 on."""
        if not self.warming_up(endpoint, now):
            return 1.0
        level, refilled_at = self.tokens.get(endpoint, (0.0, now))
        age = max(0.0, now - (endpoint.started_at or 0.0))
        warmth = self.initial_share + (1.0 - self.initial_share) * age / self.warm_up_time
        budget = (
            connections_at_capacity
            * endpoint.size
            / self.warm_up_time
            * min(1.0, warmth)
            * self.overload_multiple
        )
        if budget * self.overload_window >= 1.0:  # tokens are refilled faster than they expire
            level = min(1.0, level + (now - refilled_at) * SAFETY_FACTOR * budget)
        else:
            level = self.expire(level, now - refilled_at, budget)
        self.tokens[endpoint] = (level, now)
        return level

    def spend(self, endpoint: TrackedEndpoint, connections_at_capacity: float, now: float) -> None:
        """Take one token for a session placed on the endpoint."""
        self.tokens[endpoint] = (self.refill(endpoint, connections_at_capacity, now) - 1.0, now)

    def expire(self, level: float, elapsed: float, budget: float) -> float:
        """Return the level after `elapsed` seconds if tokens are rare, so that unused ones expire.

        An endpoint is overloaded by N + 2 sqrt(N) + 2 sessions within the overload window, where N is the
        budget of all instances in that window, or by N + 3 sqrt(N) + 3 if N is less than 30. The lifetime of
        a token follows from this slack: all saved tokens, used in one burst, do not exceed it.

        Args:
            level: tokens at the last refill.
            elapsed: seconds since the last refill.
            budget: this instance's sessions per second.
        """
        expected = max(1.0, budget * self.instance_count * self.overload_window)
        slack = (3.0 if expected < FEW_SESSIONS_PER_WINDOW else 2.0) * (math.sqrt(expected) + 1.0) / expected
        lifetime = self.overload_window * ((1.0 + slack) / SAFETY_FACTOR - 1.0)
        level += elapsed * SAFETY_FACTOR * budget
        max_level = 1.0 + lifetime * SAFETY_FACTOR * budget
        return level - math.ceil(level - max_level) if level > max_level else level
