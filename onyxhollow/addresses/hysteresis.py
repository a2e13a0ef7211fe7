"""How long a route must be unhealthy before it is withdrawn, and healthy before it is restored. Pure.

Guards against a site whose health changes quickly: each change of a route moves clients.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from onyxhollow.addresses.file import Policy
from onyxhollow.addresses.routes import RouteState


@dataclass(frozen=True, slots=True)
class Hysteresis:
    """The dwell times of a policy (rule 2)."""

    policy: Policy

    def is_unhealthy_long_enough(self, route: RouteState, now: float) -> bool:
        """Whether the route may be withdrawn for its health; a dead site sooner than a weak one."""
        policy = self.policy
        if route.health is None or route.health >= policy.unhealthy_below:
            return False
        dwell = policy.dead_for if route.health < policy.dead_below else policy.unhealthy_for
        return now - route.unhealthy_since >= dwell

    def restore_delay(self, route: RouteState, now: float) -> float:
        """Seconds that a withdrawn route must be healthy; it doubles with each flap, up to a limit."""
        policy = self.policy
        flaps = max(0.0, route.flap_penalty(policy, now) - 1.0)
        return min(policy.max_healthy_for, policy.healthy_for * math.exp2(flaps))
