"""What is decided for each address at each site. Pure: no clock, no sockets, no state but what is passed in.

docs/addresses.md has the table: given, decided, why. Each rule below is named there by its number.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from onyxhollow.addresses.file import Policy


class Preference(IntEnum):
    WITHDRAWN = 0
    LOWERED = 1  # advertised, and less preferred: RFC 8326's graceful shutdown, on the way out or back
    ADVERTISED = 2

    @property
    def label(self) -> str:
        """Its name in answers and log lines for operators."""
        return LABELS[self]


LABELS = {
    Preference.WITHDRAWN: "withdrawn",
    Preference.LOWERED: "lesser",
    Preference.ADVERTISED: "advertised",
}


# Why a site is not advertised, or only just is again. ASIDE: ill with those that were withdrawn, and waiting.
HEALTH, ORDER, BACK, ASIDE = "health", "order", "back", "aside"


@dataclass(slots=True)
class RouteState:
    """One address at one site, as the keeper knows it. Times on the keeper's clock."""

    address: str
    site: str
    preference: Preference = Preference.WITHDRAWN
    cause: str = ""
    since: float = -math.inf  # of its standing
    flaps: float = 0.0  # withdrawals for health, fading
    flaps_at: float = 0.0
    reachable: bool = False  # its announcer has answered this keeper, lately, and its gate has a speaker
    installed: bool = False  # the speaker has taken this standing
    health: float | None = None  # None: no fresh evidence
    health_reason: str = ""
    load: float = 0.0  # open sessions there
    arrival_rate: float = 0.0  # new sessions a second
    capacity: float = 0.0  # of the site, sessions
    unhealthy_since: float = math.inf
    healthy_since: float = math.inf
    arrival_rate_before_drain: float = 0.0  # new sessions a second when its drain began

    @property
    def key(self) -> tuple[str, str]:
        return self.address, self.site

    def observe(self, health: float | None, reason: str, policy: Policy, now: float) -> None:
        """How long it has been ill or well, on the keeper's own clock: no step of the wall clock counts."""
        self.health, self.health_reason = health, reason
        if health is None:
            self.unhealthy_since = self.healthy_since = math.inf  # nothing is known: neither has lasted
            return
        self.unhealthy_since = min(self.unhealthy_since, now) if health < policy.unhealthy_below else math.inf
        self.healthy_since = min(self.healthy_since, now) if health >= policy.healthy_from else math.inf

    def flap_penalty(self, policy: Policy, now: float) -> float:
        return self.flaps * math.exp2(-max(0.0, now - self.flaps_at) / policy.flap_half_life)


@dataclass(frozen=True, slots=True)
class RouteChange:
    address: str
    site: str
    preference: Preference
    cause: str
    reason: str  # in plain words, with figures
    evidence: str


@dataclass(frozen=True, slots=True)
class SuppressedChange:
    """What was not done, and why: one of a few words, for counters and operators."""

    address: str
    site: str
    rule: str
    reason: str


LAST, ALL_ILL, NO_ROOM, TOO_MANY, PINNED = "last", "all ill", "no room", "too many at once", "pinned"


@dataclass(frozen=True, slots=True)
class ActiveOverrides:
    """What operators' orders in force say of one address at one site."""

    drain: str = ""  # who and why; "": no such order
    pin: str = ""
    exclude: str = ""


NONE = ActiveOverrides()


def restore_delay(policy: Policy, cell: RouteState, now: float) -> float:
    """Seconds that a site has to be well before it is restored (rule 2): longer with each flap, capped."""
    return min(
        policy.max_healthy_for, policy.healthy_for * math.exp2(max(0.0, cell.flap_penalty(policy, now) - 1.0))
    )


def unhealthy_long_enough(policy: Policy, cell: RouteState, now: float) -> bool:
    if cell.health is None or cell.health >= policy.unhealthy_below:
        return False
    return now - cell.unhealthy_since >= (
        policy.dead_for if cell.health < policy.dead_below else policy.unhealthy_for
    )


class DecisionRound:
    """One look at everything. Decisions count on each other: each is made with those before it in mind."""

    def __init__(
        self,
        policy: Policy,
        cells: Iterable[RouteState],
        orders: Mapping[tuple[str, str], ActiveOverrides],
        now: float,
    ) -> None:
        self.policy, self.routes, self.overrides, self.now = policy, list(cells), orders, now
        self.preferences = {cell.key: cell.preference for cell in self.routes}
        self.decisions: list[RouteChange] = []
        self.suppressed: list[SuppressedChange] = []
        self.moved_load: dict[str, float] = {}  # sessions sent to each site by what is decided here
        gone = [
            cell
            for cell in self.routes
            if cell.cause == HEALTH
            and cell.preference is not Preference.ADVERTISED
            and now - cell.since < policy.withdrawal_window
        ]
        self.recently_withdrawn = {cell.site for cell in gone}
        self.first_withdrawn_at = min((cell.since for cell in gone), default=now)

    def change(self, cell: RouteState, standing: Preference, cause: str, why: str) -> None:
        health = "unknown" if cell.health is None else f"{cell.health:.2f}"
        evidence = f"health {health}: {cell.health_reason}"
        self.decisions.append(RouteChange(cell.address, cell.site, standing, cause, why, evidence))
        self.preferences[cell.key] = standing

    def suppress(self, cell: RouteState, rule: str, why: str) -> None:
        self.suppressed.append(SuppressedChange(cell.address, cell.site, rule, why))

    def is_usable(self, cell: RouteState) -> bool:
        return cell.health is not None and cell.health >= self.policy.unhealthy_below

    def other_advertisers(self, cell: RouteState) -> list[RouteState]:
        """Sites that go on advertising the address without this one, as their speakers have taken it."""
        return [
            one
            for one in self.routes
            if one.address == cell.address
            and one is not cell
            and one.reachable
            and one.installed
            and one.preference is self.preferences[one.key] is Preference.ADVERTISED
        ]

    def usable_advertisers(self, cell: RouteState) -> list[RouteState]:
        """Those of them that are not ill: where its clients would go."""
        return [one for one in self.other_advertisers(cell) if self.is_usable(one)]

    def spare_capacity(self, cell: RouteState) -> float:
        """Sessions that those could still bear, all addresses of theirs counted."""
        free = 0.0
        for one in self.usable_advertisers(cell):
            held = sum(row.load for row in self.routes if row.site == one.site) + self.moved_load.get(
                one.site, 0.0
            )
            free += max(0.0, self.policy.max_utilization * one.capacity - held)
        return free

    def account_for_move(self, cell: RouteState) -> None:
        near = self.usable_advertisers(cell)
        for one in near:
            self.moved_load[one.site] = self.moved_load.get(one.site, 0.0) + cell.load / len(near)

    def obstacle(self, cell: RouteState, share: float = 1.0) -> tuple[str, str] | None:
        """Rule 3: whether the last ones and room elsewhere forbid that it goes, or a share of it."""
        others, able = self.other_advertisers(cell), self.usable_advertisers(cell)
        if len(others) < self.policy.min_sites or not able:
            return LAST, f"{len(others)} others advertise, {len(able)} not ill; least {self.policy.min_sites}"
        if (free := self.spare_capacity(cell)) < cell.load * share:
            return NO_ROOM, f"{cell.load:.0f} sessions, room elsewhere for {free:.0f}"
        return None

    def decide(self) -> None:
        self.restore_minimum()
        worst_first = sorted(
            self.routes, key=lambda c: (c.health is None, c.health or 0.0, c.site, c.address)
        )
        for cell in worst_first:
            if not cell.reachable or self.preferences[cell.key] is not cell.preference:
                continue  # it can't be told, and follows its file (rule 4); or it is settled above
            order = self.overrides.get(cell.key, NONE)
            if order.pin:
                self.apply_pin(cell, order)
            elif order.exclude or order.drain:
                self.apply_drain_or_exclusion(cell, order)
            elif cell.preference is not Preference.WITHDRAWN and unhealthy_long_enough(
                self.policy, cell, self.now
            ):
                self.withdraw_unhealthy(cell)
            elif cell.preference is Preference.WITHDRAWN:
                self.restore_lowered(cell)
            elif cell.preference is Preference.LOWERED:
                self.restore_fully(cell)

    def restore_minimum(self) -> None:
        """Rule 3: too few that can serve advertise an address: the best of those out comes back at once."""
        for address in sorted({cell.address for cell in self.routes}):
            rows = [cell for cell in self.routes if cell.address == address and cell.reachable]
            serving = sum(cell.preference is Preference.ADVERTISED and self.is_usable(cell) for cell in rows)
            out = [
                cell for cell in rows if cell.preference is not Preference.ADVERTISED and self.is_usable(cell)
            ]
            out.sort(key=lambda cell: (-(cell.health or 0.0), -cell.preference, cell.site))
            for cell in out[: max(0, self.policy.min_sites - serving)]:
                why = f"{serving} that can serve advertise it, least {self.policy.min_sites}"
                self.change(cell, Preference.ADVERTISED, "", why)

    def apply_pin(self, cell: RouteState, order: ActiveOverrides) -> None:
        if cell.preference is not Preference.ADVERTISED:
            self.change(cell, Preference.ADVERTISED, "", f"pinned: {order.pin}")
        elif order.exclude or order.drain or unhealthy_long_enough(self.policy, cell, self.now):
            self.suppress(cell, PINNED, order.pin)

    def withdraw_unhealthy(self, cell: RouteState) -> None:
        """Rules 1 to 3: ill for long enough; out if others can bear it."""
        policy, now = self.policy, self.now
        if not any(self.is_usable(one) for one in self.routes if one.address == cell.address):
            self.suppress(cell, ALL_ILL, "no site is known to be better")
            return
        if (
            cell.site not in self.recently_withdrawn
            and len(self.recently_withdrawn) >= policy.max_concurrent_withdrawals
        ):
            self.step_aside(cell)
            return
        why = f"health {cell.health:.2f} for {now - cell.unhealthy_since:.1f} s"
        found = self.obstacle(cell)
        if found is None:
            self.change(cell, Preference.WITHDRAWN, HEALTH, why)
        elif (
            found[0] == NO_ROOM and cell.preference is Preference.ADVERTISED and not self.obstacle(cell, 0.5)
        ):
            self.change(cell, Preference.LOWERED, HEALTH, f"{why}; {found[1]}: in part")
        else:
            self.suppress(cell, *found)
            return
        self.account_for_move(cell)
        self.recently_withdrawn.add(cell.site)

    def step_aside(self, cell: RouteState) -> None:
        """Rule 3: as many are out as may be at a time. What was ill before the first of them went is not ill
        by their load: it steps back to a lesser preference, so that what leaves them does not come here
        first, and is still there if the others fall. What fell ill afterwards stays: that may be a wave."""
        count, policy = len(self.recently_withdrawn), self.policy
        limit = policy.max_concurrent_withdrawals
        why = f"{count} withdrawn within {policy.withdrawal_window:g} s, most {limit}"
        before = cell.unhealthy_since <= self.first_withdrawn_at
        if before and cell.preference is Preference.ADVERTISED and self.obstacle(cell) is None:
            lasts = self.now - cell.unhealthy_since
            self.change(cell, Preference.LOWERED, ASIDE, f"{why}; ill before that, for {lasts:.1f} s")
            self.account_for_move(cell)
        else:
            self.suppress(cell, TOO_MANY, why)

    def apply_drain_or_exclusion(self, cell: RouteState, order: ActiveOverrides) -> None:
        """A drain or an exclusion (rules 3 and 6)."""
        if cell.preference is Preference.WITHDRAWN:
            return
        what = f"excluded: {order.exclude}" if order.exclude else f"drain: {order.drain}"
        found, lasted = self.obstacle(cell), self.now - cell.since
        if found is not None:
            if cell.preference is Preference.LOWERED and found[0] == LAST:
                self.change(cell, Preference.ADVERTISED, "", f"{what}; but {found[1]}")
            else:
                self.suppress(cell, *found)
        elif cell.preference is Preference.ADVERTISED:
            self.change(cell, Preference.LOWERED, ORDER, what)
            self.account_for_move(cell)
        elif order.exclude:
            self.change(cell, Preference.WITHDRAWN, ORDER, what)
        elif lasted >= self.policy.drain_for or (
            lasted >= self.policy.recovery_step
            and cell.arrival_rate <= self.policy.drained_ratio * cell.arrival_rate_before_drain
        ):
            before = cell.arrival_rate_before_drain
            why = f"{what}; {cell.arrival_rate:.1f} new sessions a second, {before:.1f} before"
            self.change(cell, Preference.WITHDRAWN, ORDER, why)

    def restore_lowered(self, cell: RouteState) -> None:
        """Rule 2: well again, it comes back in steps; later with each flap."""
        if cell.health is None or cell.health < self.policy.healthy_from:
            return
        well_for = self.now - cell.healthy_since
        needs = (
            restore_delay(self.policy, cell, self.now) if cell.cause == HEALTH else self.policy.recovery_step
        )
        if well_for >= needs:
            self.change(cell, Preference.LOWERED, BACK, f"well for {well_for:.1f} s, {needs:.1f} needed")

    def restore_fully(self, cell: RouteState) -> None:
        """From a lesser preference to the full one."""
        lasted = self.now - cell.since
        well = cell.health is not None and cell.health >= self.policy.healthy_from
        if (
            well
            and lasted >= self.policy.recovery_step
            and self.now - cell.healthy_since >= self.policy.recovery_step
        ):
            self.change(cell, Preference.ADVERTISED, "", f"well at a lesser preference for {lasted:.1f} s")


def decide(
    policy: Policy, cells: Iterable[RouteState], orders: Mapping[tuple[str, str], ActiveOverrides], now: float
) -> tuple[list[RouteChange], list[SuppressedChange]]:
    """What is to change now, and what else would have, and why it does not."""
    this = DecisionRound(policy, cells, orders, now)
    this.decide()
    return this.decisions, this.suppressed


def apply(policy: Policy, cell: RouteState, decision: RouteChange, now: float) -> None:
    """What a decision makes of its cell, once it is told to the site."""
    if decision.cause == HEALTH and cell.cause != HEALTH:
        cell.flaps, cell.flaps_at = cell.flap_penalty(policy, now) + 1.0, now
    if decision.cause == ORDER and cell.preference is Preference.ADVERTISED:
        cell.arrival_rate_before_drain = cell.arrival_rate
    if decision.preference is not cell.preference:
        cell.since, cell.installed = now, False  # what the speaker had taken was the standing before
    cell.preference, cell.cause = decision.preference, decision.cause
