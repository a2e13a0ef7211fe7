"""What is decided for each address at each site. Pure: no clock, no sockets, no state but what is passed in.

docs/addresses.md has the table: given, decided, why. Each rule below is named there by its number.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from onyxhollow.addresses.file import Policy
from onyxhollow.addresses.hysteresis import Hysteresis
from onyxhollow.addresses.routes import (
    NO_OVERRIDES,
    ActiveOverrides,
    Cause,
    Preference,
    RouteChange,
    RouteState,
    SuppressedChange,
    SuppressionRule,
)

PART = 0.5  # of a route's sessions that move when it is only lowered


@dataclass(frozen=True, slots=True)
class Obstacle:
    """What forbids that a route is withdrawn or lowered."""

    rule: SuppressionRule
    reason: str


class DecisionRound:
    """One pass over all routes. Decisions depend on each other: each is made knowing those before it."""

    def __init__(
        self,
        policy: Policy,
        routes: Iterable[RouteState],
        overrides: Mapping[tuple[str, str], ActiveOverrides],
        now: float,
    ) -> None:
        self.policy = policy
        self.hysteresis = Hysteresis(policy)
        self.routes = list(routes)
        self.overrides = overrides
        self.now = now
        self.preferences = {route.key: route.preference for route in self.routes}
        self.decisions: list[RouteChange] = []
        self.suppressed: list[SuppressedChange] = []
        self.moved_load: dict[str, float] = {}  # by site: sessions sent there by decisions of this round
        withdrawn = [
            route
            for route in self.routes
            if route.cause == Cause.HEALTH
            and route.preference is not Preference.ADVERTISED
            and now - route.since < policy.withdrawal_window
        ]
        self.recently_withdrawn = {route.site for route in withdrawn}
        self.first_withdrawn_at = min((route.since for route in withdrawn), default=now)

    # what other sites can serve

    def is_usable(self, route: RouteState) -> bool:
        """Whether a route's clients are known to be served there."""
        return route.health is not None and route.health >= self.policy.unhealthy_below

    def other_advertisers(self, route: RouteState) -> list[RouteState]:
        """Routes that still advertise the address without this one, as their daemons have taken it."""
        return [
            other
            for other in self.routes
            if other.address == route.address
            and other is not route
            and other.reachable
            and other.installed
            and other.preference is self.preferences[other.key] is Preference.ADVERTISED
        ]

    def usable_advertisers(self, route: RouteState) -> list[RouteState]:
        """Those of them that are healthy enough: where the route's clients would go."""
        return [other for other in self.other_advertisers(route) if self.is_usable(other)]

    def spare_capacity(self, route: RouteState) -> float:
        """Sessions that those can still serve, with all addresses of their sites counted."""
        free = 0.0
        for other in self.usable_advertisers(route):
            moved = self.moved_load.get(other.site, 0.0)
            load = sum(one.load for one in self.routes if one.site == other.site) + moved
            free += max(0.0, self.policy.max_utilization * other.capacity - load)
        return free

    def account_for_move(self, route: RouteState) -> None:
        """Counts the route's sessions at the sites that they move to, for later decisions of this round."""
        receivers = self.usable_advertisers(route)
        for other in receivers:
            moved = self.moved_load.get(other.site, 0.0)
            self.moved_load[other.site] = moved + route.load / len(receivers)

    def find_obstacle(self, route: RouteState, share: float = 1.0) -> Obstacle | None:
        """Rule 3: whether the last sites, or capacity elsewhere, forbid that `share` of its sessions move."""
        others = self.other_advertisers(route)
        usable = self.usable_advertisers(route)
        if len(others) < self.policy.min_sites or not usable:
            counts = f"{len(others)} others advertise, {len(usable)} not ill"
            return Obstacle(SuppressionRule.LAST_SITE, f"{counts}; least {self.policy.min_sites}")
        free = self.spare_capacity(route)
        if free < route.load * share:
            reason = f"{route.load:.0f} sessions, room elsewhere for {free:.0f}"
            return Obstacle(SuppressionRule.NO_CAPACITY, reason)
        return None

    # what comes of it

    def change(self, route: RouteState, preference: Preference, cause: Cause, reason: str) -> None:
        """Decides a change."""
        health = "unknown" if route.health is None else f"{route.health:.2f}"
        evidence = f"health {health}: {route.health_reason}"
        self.decisions.append(RouteChange(route.address, route.site, preference, cause, reason, evidence))
        self.preferences[route.key] = preference

    def suppress(self, route: RouteState, rule: SuppressionRule, reason: str) -> None:
        """Notes a change that is not made."""
        self.suppressed.append(SuppressedChange(route.address, route.site, rule, reason))

    # the rules

    def decide(self) -> None:
        """Decides for all routes, the least healthy first."""
        self.restore_minimum()
        worst_first = sorted(
            self.routes,
            key=lambda route: (route.health is None, route.health or 0.0, route.site, route.address),
        )
        for route in worst_first:
            if not route.reachable or self.preferences[route.key] is not route.preference:
                continue  # no change would reach it, and it follows its file (rule 4); or it is decided above
            self.decide_route(route)

    def decide_route(self, route: RouteState) -> None:
        """Overrides come first, then health, then the way back."""
        override = self.overrides.get(route.key, NO_OVERRIDES)
        if override.pin:
            self.apply_pin(route, override)
        elif override.exclude or override.drain:
            self.apply_drain_or_exclusion(route, override)
        elif route.preference is not Preference.WITHDRAWN and self.is_lost(route):
            self.withdraw_unhealthy(route)
        elif route.preference is Preference.WITHDRAWN:
            self.restore_lowered(route)
        elif route.preference is Preference.LOWERED:
            self.restore_fully(route)

    def is_lost(self, route: RouteState) -> bool:
        """Whether its health calls for a withdrawal."""
        return self.hysteresis.is_unhealthy_long_enough(route, self.now)

    def restore_minimum(self) -> None:
        """Rule 3: too few usable sites advertise an address: the best of the others comes back at once."""
        for address in sorted({route.address for route in self.routes}):
            routes = [route for route in self.routes if route.address == address and route.reachable]
            usable = [route for route in routes if self.is_usable(route)]
            serving = sum(route.preference is Preference.ADVERTISED for route in usable)
            out = [route for route in usable if route.preference is not Preference.ADVERTISED]
            out.sort(key=lambda route: (-(route.health or 0.0), -route.preference, route.site))
            for route in out[: max(0, self.policy.min_sites - serving)]:
                reason = f"{serving} that can serve advertise it, least {self.policy.min_sites}"
                self.change(route, Preference.ADVERTISED, Cause.NONE, reason)

    def apply_pin(self, route: RouteState, override: ActiveOverrides) -> None:
        """A pinned route is advertised whatever its health."""
        if route.preference is not Preference.ADVERTISED:
            self.change(route, Preference.ADVERTISED, Cause.NONE, f"pinned: {override.pin}")
        elif override.exclude or override.drain or self.is_lost(route):
            self.suppress(route, SuppressionRule.PINNED, override.pin)

    def withdraw_unhealthy(self, route: RouteState) -> None:
        """Rules 1 to 3: unhealthy for long enough; withdrawn if other sites can take its sessions."""
        if not any(self.is_usable(other) for other in self.routes if other.address == route.address):
            self.suppress(route, SuppressionRule.ALL_UNHEALTHY, "no site is known to be better")
            return
        is_new = route.site not in self.recently_withdrawn
        if is_new and len(self.recently_withdrawn) >= self.policy.max_concurrent_withdrawals:
            self.step_aside(route)
            return
        reason = f"health {route.health:.2f} for {self.now - route.unhealthy_since:.1f} s"
        obstacle = self.find_obstacle(route)
        if obstacle is None:
            self.change(route, Preference.WITHDRAWN, Cause.HEALTH, reason)
        elif self.may_be_lowered(route, obstacle):
            self.change(route, Preference.LOWERED, Cause.HEALTH, f"{reason}; {obstacle.reason}: in part")
        else:
            self.suppress(route, obstacle.rule, obstacle.reason)
            return
        self.account_for_move(route)
        self.recently_withdrawn.add(route.site)

    def may_be_lowered(self, route: RouteState, obstacle: Obstacle) -> bool:
        """Whether part of its sessions fit elsewhere where all of them do not."""
        return (
            obstacle.rule is SuppressionRule.NO_CAPACITY
            and route.preference is Preference.ADVERTISED
            and not self.find_obstacle(route, PART)
        )

    def step_aside(self, route: RouteState) -> None:
        """Rule 3: as many sites are withdrawn as may be at a time.

        What was unhealthy before the first of them was withdrawn is not unhealthy by their load. It is
        lowered, so that clients that leave them do not come here first, and it is still there if the others
        fail. What became unhealthy afterwards stays: that may be a wave of load.
        """
        policy = self.policy
        withdrawn = f"{len(self.recently_withdrawn)} withdrawn within {policy.withdrawal_window:g} s"
        reason = f"{withdrawn}, most {policy.max_concurrent_withdrawals}"
        was_unhealthy_before = route.unhealthy_since <= self.first_withdrawn_at
        is_advertised = route.preference is Preference.ADVERTISED
        if was_unhealthy_before and is_advertised and self.find_obstacle(route) is None:
            lasted = self.now - route.unhealthy_since
            reason = f"{reason}; ill before that, for {lasted:.1f} s"
            self.change(route, Preference.LOWERED, Cause.STEPPED_ASIDE, reason)
            self.account_for_move(route)
        else:
            self.suppress(route, SuppressionRule.TOO_MANY, reason)

    def apply_drain_or_exclusion(self, route: RouteState, override: ActiveOverrides) -> None:
        """A drain or an exclusion, in two steps: lowered, then withdrawn (rules 3 and 6)."""
        if route.preference is Preference.WITHDRAWN:
            return
        what = f"excluded: {override.exclude}" if override.exclude else f"drain: {override.drain}"
        obstacle = self.find_obstacle(route)
        if obstacle is not None:
            if route.preference is Preference.LOWERED and obstacle.rule is SuppressionRule.LAST_SITE:
                self.change(route, Preference.ADVERTISED, Cause.NONE, f"{what}; but {obstacle.reason}")
            else:
                self.suppress(route, obstacle.rule, obstacle.reason)
        elif route.preference is Preference.ADVERTISED:
            self.change(route, Preference.LOWERED, Cause.OVERRIDE, what)
            self.account_for_move(route)
        elif override.exclude:
            self.change(route, Preference.WITHDRAWN, Cause.OVERRIDE, what)
        elif self.is_drained(route):
            before = route.arrival_rate_before_drain
            reason = f"{what}; {route.arrival_rate:.1f} new sessions a second, {before:.1f} before"
            self.change(route, Preference.WITHDRAWN, Cause.OVERRIDE, reason)

    def is_drained(self, route: RouteState) -> bool:
        """Whether a lowered route has lost its new sessions, or has had the time to."""
        lasted = self.now - route.since
        if lasted >= self.policy.drain_for:
            return True
        few = route.arrival_rate <= self.policy.drained_ratio * route.arrival_rate_before_drain
        return lasted >= self.policy.recovery_step and few

    def restore_lowered(self, route: RouteState) -> None:
        """Rule 2: a withdrawn route that is healthy again comes back lowered, later with each flap."""
        if route.health is None or route.health < self.policy.healthy_from:
            return
        healthy_for = self.now - route.healthy_since
        if route.cause == Cause.HEALTH:
            needed = self.hysteresis.restore_delay(route, self.now)
        else:
            needed = self.policy.recovery_step
        if healthy_for >= needed:
            reason = f"well for {healthy_for:.1f} s, {needed:.1f} needed"
            self.change(route, Preference.LOWERED, Cause.RECOVERY, reason)

    def restore_fully(self, route: RouteState) -> None:
        """Rule 2: from the lowered preference to the full one."""
        step = self.policy.recovery_step
        lasted = self.now - route.since
        is_healthy = route.health is not None and route.health >= self.policy.healthy_from
        if is_healthy and lasted >= step and self.now - route.healthy_since >= step:
            reason = f"well at a lesser preference for {lasted:.1f} s"
            self.change(route, Preference.ADVERTISED, Cause.NONE, reason)


def decide(
    policy: Policy,
    routes: Iterable[RouteState],
    overrides: Mapping[tuple[str, str], ActiveOverrides],
    now: float,
) -> tuple[list[RouteChange], list[SuppressedChange]]:
    """What is to change now, and what health or an override calls for and is not done."""
    this_round = DecisionRound(policy, routes, overrides, now)
    this_round.decide()
    return this_round.decisions, this_round.suppressed
