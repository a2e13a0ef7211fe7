"""How long a route must be unhealthy before it is withdrawn, and healthy before it is restored. No I/O.

The delays limit how often a site whose health changes quickly moves its clients.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from onyxhollow.addresses.file import Policy
from onyxhollow.addresses.routes import RouteState


@dataclass(frozen=True, slots=True)
class Hysteresis:
    """The delays that a policy requires before a withdrawal or a restore (rule 2)."""

    policy: Policy

    def is_unhealthy_long_enough(self, route: RouteState, now: float) -> bool:
        """Return whether the route may be withdrawn for its health; the delay is shorter for a dead site."""
        policy = self.policy
        if route.health is None or route.health >= policy.unhealthy_below:
            return False
        delay = policy.dead_for if route.health < policy.dead_below else policy.unhealthy_for
        return now - route.unhealthy_since >= delay

    def restore_delay(self, route: RouteState, now: float) -> float:
        """Return the seconds that a withdrawn route must be healthy, doubled by each flap up to a limit."""
        policy = self.policy
        flaps = max(0.0, route.flap_penalty(policy, now) - 1.0)
        return min(policy.max_healthy_for, policy.healthy_for * math.exp2(flaps))
