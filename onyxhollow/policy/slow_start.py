"""Slow start (rule 4): this instance's share of what all together may send to a warming endpoint.

Decides from the endpoint's age, its size, the own connections that fill a warm one, and the stated multiple
and window of overload. Guards against a cold endpoint that falls over under the first rush, and against a
burst of turns saved up by many instances that share the budget without a word.
"""

from __future__ import annotations

import math

from onyxhollow.interface import Settings
from onyxhollow.policy.estimators import ArrivalRate
from onyxhollow.policy.tracked import TrackedEndpoint

SAFETY_FACTOR = 0.9  # part of the budget that is used
FEW_CALLS = 30.0  # calls of all instances in a window, under which the slack is three roots, else two


class SlowStartBudget(ArrivalRate):
    """A token bucket for each warming endpoint, and the rate of sessions taken.

    The budget is the own connections that fill a warm endpoint of like size, over the warm-up, times present
    warmth, times the stated multiple. Starts are staggered by instance and endpoint. Where many instances
    share it each one's turn comes seldom; a turn left unused expires, else all would use theirs in one burst.
    """

    def __init__(self, now: float) -> None:
        super().__init__(now)
        self.tokens: dict[TrackedEndpoint, tuple[float, float]] = {}  # level, and when it was computed

    def apply_settings(self, settings: Settings) -> None:
        """Take over settings, at the start or later."""
        self.initial_share = settings.slow_start_share
        self.warm_up_time = settings.slow_start_time
        self.overload_multiple = settings.overload_multiple
        self.overload_window = settings.overload_window
        self.instance_count = settings.instance_count
        self.phase = settings.instance_index / settings.instance_count

    def warming_up(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether the endpoint started within the warm-up time."""
        return endpoint.started_at is not None and now - endpoint.started_at < self.warm_up_time

    def refill(self, endpoint: TrackedEndpoint, connections_at_capacity: float, now: float) -> float:
        """Refill the endpoint's bucket and return its level: 1 or more lets a session go there now."""
        if not self.warming_up(endpoint, now):
            return 1.0
        level, at = self.tokens.get(endpoint, (0.0, now))
        age = max(0.0, now - (endpoint.started_at or 0.0))
        warmth = self.initial_share + (1.0 - self.initial_share) * age / self.warm_up_time
        budget = (
            connections_at_capacity
            * endpoint.size
            / self.warm_up_time
            * min(1.0, warmth)
            * self.overload_multiple
        )
        if budget * self.overload_window >= 1.0:  # turns come faster than they expire
            level = min(1.0, level + (now - at) * SAFETY_FACTOR * budget)
        else:
            level = self.expire(level, now - at, budget)
        self.tokens[endpoint] = (level, now)
        return level

    def spend(self, endpoint: TrackedEndpoint, connections_at_capacity: float, now: float) -> None:
        """Take one token for a session that goes there."""
        self.tokens[endpoint] = (self.refill(endpoint, connections_at_capacity, now) - 1.0, now)

    def expire(self, level: float, span: float, budget: float) -> float:
        """Return the level after `span` seconds where turns come seldom, so that one left unused expires.

        An endpoint falls from N + 2 root(N) + 2 calls within the stated window, N being the budget of all
        instances, or from N + 3 root(N) + 3 for an N under 30. That slack says how long a turn lasts: all
        those saved up, used in one burst, stay within it.

        Args:
            level: tokens before.
            span: seconds since then.
            budget: this instance's calls a second.
        """
        calls = max(1.0, budget * self.instance_count * self.overload_window)
        slack = (3.0 if calls < FEW_CALLS else 2.0) * (math.sqrt(calls) + 1.0) / calls
        lifetime = self.overload_window * ((1.0 + slack) / SAFETY_FACTOR - 1.0)
        level += span * SAFETY_FACTOR * budget
        most = 1.0 + lifetime * SAFETY_FACTOR * budget
        return level - math.ceil(level - most) if level > most else level
