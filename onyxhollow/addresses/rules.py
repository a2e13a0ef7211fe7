"""The rules that decide how each site announces each address. Everything is passed in: no I/O, no clock.

docs/addresses.md lists the rules in a table; the rule numbers below refer to it.
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

LOWERED_MOVED_SHARE = 0.5  # of a route's sessions, assumed to move when the route is lowered


@dataclass(frozen=True, slots=True)
class Obstacle:
    """A rule that forbids to withdraw or lower a route."""

    rule: SuppressionRule
    reason: str


class DecisionRound:
    """One pass over all routes; each decision takes the earlier ones of the pass into account."""

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
        self.moved_load: dict[str, float] = {}  # by site: sessions moved to it by decisions of this round
        withdrawn = [
            route
            for route in self.routes
            if route.cause == Cause.HEALTH
            and route.preference is not Preference.ADVERTISED
            and now - route.changed_at < policy.withdrawal_window
        ]
        self.recently_withdrawn = {route.site for route in withdrawn}
        self.first_withdrawn_at = min((route.changed_at for route in withdrawn), default=now)

    # Capacity at other sites

    def is_usable(self, route: RouteState) -> bool:
        """Return whether the route's health is known and sufficient to serve clients."""
        return route.health is not None and route.health >= self.policy.unhealthy_below

    def other_advertisers(self, route: RouteState) -> list[RouteState]:
        """Return the other routes that advertise the address, as confirmed by their routing daemons."""
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
        """Return the other advertising routes that are usable, which would receive this route's clients."""
        return [other for other in self.other_advertisers(route) if self.is_usable(other)]

    def spare_capacity(self, route: RouteState) -> float:
        """Return how many more sessions the usable advertisers can serve beside those of all addresses."""
        spare = 0.0
        for other in self.usable_advertisers(route):
            moved = self.moved_load.get(other.site, 0.0)
            load = sum(local.load for local in self.routes if local.site == other.site) + moved
            spare += max(0.0, self.policy.max_utilization * other.capacity - load)
        return spare

    def account_for_move(self, route: RouteState) -> None:
        """Add the route's sessions to the sites that receive them, for later decisions of this round."""
        receivers = self.usable_advertisers(route)
        for other in receivers:
            moved = self.moved_load.get(other.site, 0.0)
            self.moved_load[other.site] = moved + route.load / len(receivers)

    def find_obstacle(self, route: RouteState, share: float = 1.0) -> Obstacle | None:
        """Return why `share` of the route's sessions must not move, or None if they may (rule 3).

        The reason is that too few other sites advertise the address, that none of them is usable, or that
        they lack the capacity.
        """
        others = self.other_advertisers(route)
        usable = self.usable_advertisers(route)
        if len(others) < self.policy.min_sites or not usable:
            counts = f"{len(others)} others advertise, {len(usable)} not ill"
            return Obstacle(SuppressionRule.LAST_SITE, f"{counts}; least {self.policy.min_sites}")
        spare = self.spare_capacity(route)
        if spare < route.load * share:
            reason = f"{route.load:.0f} sessions, spare capacity elsewhere for {spare:.0f}"
            return Obstacle(SuppressionRule.NO_CAPACITY, reason)
        return None

    # Results

    def change(self, route: RouteState, preference: Preference, cause: Cause, reason: str) -> None:
        """Record a decided change."""
        health = "unknown" if route.health is None else f"{route.health:.2f}"
        evidence = f"health {health}: {route.health_reason}"
        self.decisions.append(RouteChange(route.address, route.site, preference, cause, reason, evidence))
        self.preferences[route.key] = preference

    def suppress(self, route: RouteState, rule: SuppressionRule, reason: str) -> None:
        """Record a change that is not made."""
        self.suppressed.append(SuppressedChange(route.address, route.site, rule, reason))

    # Rules

    def decide(self) -> None:
        """Decide for all routes, the least healthy first."""
        self.restore_minimum()
        worst_first = sorted(
            self.routes,
            key=lambda route: (route.health is None, route.health or 0.0, route.site, route.address),
        )
        for route in worst_first:
            if not route.reachable or self.preferences[route.key] is not route.preference:
                # An unreachable site receives no change; its announcer applies `cut_off` (rule 4). A route
                # with another preference was decided by restore_minimum.
                continue
            self.decide_route(route)

    def decide_route(self, route: RouteState) -> None:
        """Decide for one route: overrides take precedence over health, and health over a restore."""
        override = self.overrides.get(route.key, NO_OVERRIDES)
        if override.pin:
            self.apply_pin(route, override)
        elif override.exclude or override.drain:
            self.apply_drain_or_exclusion(route, override)
        elif route.preference is not Preference.WITHDRAWN and self.is_withdrawal_due(route):
            self.withdraw_unhealthy(route)
        elif route.preference is Preference.WITHDRAWN:
            self.restore_lowered(route)
        elif route.preference is Preference.LOWERED:
            self.restore_fully(route)

    def is_withdrawal_due(self, route: RouteState) -> bool:
        """Return whether the route has been unhealthy for long enough to be withdrawn."""
        return self.hysteresis.is_unhealthy_long_enough(route, self.now)

    def restore_minimum(self) -> None:
        """Advertise further sites at once, the healthiest first, up to `min_sites` usable ones (rule 3)."""
        for address in sorted({route.address for route in self.routes}):
            routes = [route for route in self.routes if route.address == address and route.reachable]
            usable = [route for route in routes if self.is_usable(route)]
            serving = sum(route.preference is Preference.ADVERTISED for route in usable)
            available = [route for route in usable if route.preference is not Preference.ADVERTISED]
            available.sort(key=lambda route: (-(route.health or 0.0), -route.preference, route.site))
            for route in available[: max(0, self.policy.min_sites - serving)]:
                reason = f"{serving} usable sites advertise it, minimum {self.policy.min_sites}"
                self.change(route, Preference.ADVERTISED, Cause.NONE, reason)

    def apply_pin(self, route: RouteState, override: ActiveOverrides) -> None:
        """Advertise a pinned route whatever its health."""
        if route.preference is not Preference.ADVERTISED:
            self.change(route, Preference.ADVERTISED, Cause.NONE, f"pinned: {override.pin}")
        elif override.exclude or override.drain or self.is_withdrawal_due(route):
            self.suppress(route, SuppressionRule.PINNED, override.pin)

    def withdraw_unhealthy(self, route: RouteState) -> None:
        """Withdraw an unhealthy route, or lower it if others can take only part of it (rules 1 to 3)."""
        if not any(self.is_usable(other) for other in self.routes if other.address == route.address):
            self.suppress(route, SuppressionRule.ALL_UNHEALTHY, "no site is known to be usable")
            return
        is_new = route.site not in self.recently_withdrawn
        if is_new and len(self.recently_withdrawn) >= self.policy.max_concurrent_withdrawals:
            self.lower_at_limit(route)
            return
        reason = f"health {route.health:.2f} for {self.now - route.unhealthy_since:.1f} s"
        obstacle = self.find_obstacle(route)
        if obstacle is None:
            self.change(route, Preference.WITHDRAWN, Cause.HEALTH, reason)
        elif self.may_be_lowered(route, obstacle):
            self.change(
                route, Preference.LOWERED, Cause.HEALTH, f"{reason}; {obstacle.reason}, so only lowered"
            )
        else:
            self.suppress(route, obstacle.rule, obstacle.reason)
            return
        self.account_for_move(route)
        self.recently_withdrawn.add(route.site)

    def may_be_lowered(self, route: RouteState, obstacle: Obstacle) -> bool:
        """Return whether other sites have capacity for part of the route's sessions, but not for all."""
        return (
            obstacle.rule is SuppressionRule.NO_CAPACITY
            and route.preference is Preference.ADVERTISED
            and not self.find_obstacle(route, LOWERED_MOVED_SHARE)
        )

    def lower_at_limit(self, route: RouteState) -> None:
        """Lower an unhealthy route, or leave it, when the limit of withdrawn sites is reached (rule 3).

        A route that was unhealthy before the first of these withdrawals is not overloaded by the clients
        that they moved. It is lowered: moved clients prefer other sites, and it still serves if those fail.
        A route that became unhealthy later keeps its preference, since moved load may be the cause.
        """
        policy = self.policy
        withdrawn = f"{len(self.recently_withdrawn)} sites withdrawn within {policy.withdrawal_window:g} s"
        reason = f"{withdrawn}, maximum {policy.max_concurrent_withdrawals}"
        was_unhealthy_before = route.unhealthy_since <= self.first_withdrawn_at
        is_advertised = route.preference is Preference.ADVERTISED
        if was_unhealthy_before and is_advertised and self.find_obstacle(route) is None:
            lasted = self.now - route.unhealthy_since
            reason = f"{reason}; already unhealthy before, for {lasted:.1f} s"
            self.change(route, Preference.LOWERED, Cause.WITHDRAWAL_LIMIT, reason)
            self.account_for_move(route)
        else:
            self.suppress(route, SuppressionRule.TOO_MANY, reason)

    def apply_drain_or_exclusion(self, route: RouteState, override: ActiveOverrides) -> None:
        """Apply a drain or an exclusion in two steps: lower the route, then withdraw it (rules 3 and 6)."""
        if route.preference is Preference.WITHDRAWN and route.cause == Cause.OVERRIDE:
            return
        applied = f"excluded: {override.exclude}" if override.exclude else f"drain: {override.drain}"
        obstacle = self.find_obstacle(route)
        if route.preference is Preference.WITHDRAWN:
            # Withdrawn for its health: only the open connections are left to move.
            if obstacle is not None:
                self.suppress(route, obstacle.rule, obstacle.reason)
        elif obstacle is not None:
            if route.preference is Preference.LOWERED and obstacle.rule is SuppressionRule.LAST_SITE:
                self.change(
                    route, Preference.ADVERTISED, Cause.NONE, f"{applied}; not possible: {obstacle.reason}"
                )
            else:
                self.suppress(route, obstacle.rule, obstacle.reason)
        elif route.preference is Preference.ADVERTISED:
            self.change(route, Preference.LOWERED, Cause.OVERRIDE, applied)
            self.account_for_move(route)
        elif override.exclude:
            self.change(route, Preference.WITHDRAWN, Cause.OVERRIDE, applied)
        elif self.is_drained(route):
            before = route.arrival_rate_before_drain
            reason = f"{applied}; {route.arrival_rate:.1f} new sessions per second, {before:.1f} before"
            self.change(route, Preference.WITHDRAWN, Cause.OVERRIDE, reason)

    def is_drained(self, route: RouteState) -> bool:
        """Return whether a lowered route receives few new sessions, or has been lowered for `drain_for`."""
        lasted = self.now - route.changed_at
        if lasted >= self.policy.drain_for:
            return True
        few = route.arrival_rate <= self.policy.drained_ratio * route.arrival_rate_before_drain
        return lasted >= self.policy.recovery_step and few

    def restore_lowered(self, route: RouteState) -> None:
        """Restore a healthy withdrawn route to the lowered preference, later after each flap (rule 2)."""
        if route.health is None or route.health < self.policy.healthy_from:
            return
        healthy_for = self.now - route.healthy_since
        if route.cause == Cause.HEALTH:
            required = self.hysteresis.restore_delay(route, self.now)
        else:
            required = self.policy.recovery_step
        if healthy_for >= required:
            reason = f"healthy for {healthy_for:.1f} s, {required:.1f} s required"
            self.change(route, Preference.LOWERED, Cause.RECOVERY, reason)

    def restore_fully(self, route: RouteState) -> None:
        """Restore a lowered route to the full preference (rule 2)."""
        step = self.policy.recovery_step
        lasted = self.now - route.changed_at
        is_healthy = route.health is not None and route.health >= self.policy.healthy_from
        if is_healthy and lasted >= step and self.now - route.healthy_since >= step:
            reason = f"healthy while lowered for {lasted:.1f} s"
            self.change(route, Preference.ADVERTISED, Cause.NONE, reason)


def decide(
    policy: Policy,
    routes: Iterable[RouteState],
    overrides: Mapping[tuple[str, str], ActiveOverrides],
    now: float,
) -> tuple[list[RouteChange], list[SuppressedChange]]:
    """Return the changes to make now, and those that health or an override requires but a rule suppresses."""
    decision_round = DecisionRound(policy, routes, overrides, now)
    decision_round.decide()
    return decision_round.decisions, decision_round.suppressed
