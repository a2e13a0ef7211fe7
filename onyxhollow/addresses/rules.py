"""What is decided for each address at each site. Pure: no clock, no sockets, no state but what is passed in.

docs/addresses.md has the table: given, decided, why. Each rule below is named there by its number.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from onyxhollow.addresses.file import Policy


class Standing(IntEnum):
    WITHDRAWN = 0
    LESSER = 1  # advertised, and less preferred: RFC 8326's graceful shutdown, on the way out or back
    ADVERTISED = 2


# Why a site is not advertised, or only just is again. ASIDE: ill with those that were withdrawn, and waiting.
HEALTH, ORDER, BACK, ASIDE = "health", "order", "back", "aside"


@dataclass(slots=True)
class Cell:
    """One address at one site, as the keeper knows it. Times on the keeper's clock."""

    address: str
    site: str
    standing: Standing = Standing.WITHDRAWN
    cause: str = ""
    since: float = -math.inf  # of its standing
    flaps: float = 0.0  # withdrawals for health, fading
    flaps_at: float = 0.0
    reached: bool = False  # its announcer has answered this keeper, lately, and its gate has a speaker
    carried: bool = False  # the speaker has taken this standing
    health: float | None = None  # None: no fresh evidence
    reason: str = ""
    load: float = 0.0  # open sessions there
    coming: float = 0.0  # new sessions a second
    capacity: float = 0.0  # of the site, sessions
    ill_since: float = math.inf
    well_since: float = math.inf
    coming_before: float = 0.0  # new sessions a second when its drain began

    @property
    def key(self) -> tuple[str, str]:
        return self.address, self.site

    def observe(self, health: float | None, reason: str, policy: Policy, now: float) -> None:
        """How long it has been ill or well, on the keeper's own clock: no step of the wall clock counts."""
        self.health, self.reason = health, reason
        if health is None:
            self.ill_since = self.well_since = math.inf  # nothing is known: neither has lasted
            return
        self.ill_since = min(self.ill_since, now) if health < policy.ill else math.inf
        self.well_since = min(self.well_since, now) if health >= policy.well else math.inf

    def flapped(self, policy: Policy, now: float) -> float:
        return self.flaps * math.exp2(-max(0.0, now - self.flaps_at) / policy.flap_half_life)


@dataclass(frozen=True, slots=True)
class Decision:
    address: str
    site: str
    standing: Standing
    cause: str
    why: str  # in plain words, with figures
    evidence: str


@dataclass(frozen=True, slots=True)
class Stays:
    """What was not done, and why: one of a few words, for counters and operators."""

    address: str
    site: str
    rule: str
    why: str


LAST, ALL_ILL, NO_ROOM, TOO_MANY, PINNED = "last", "all ill", "no room", "too many at once", "pinned"


@dataclass(frozen=True, slots=True)
class Orders:
    """What operators' orders in force say of one address at one site."""

    drain: str = ""  # who and why; "": no such order
    pin: str = ""
    exclude: str = ""


NONE = Orders()


def dwell(policy: Policy, cell: Cell, now: float) -> float:
    """Seconds that a site has to be well before it is restored (rule 2): longer with each flap, capped."""
    return min(policy.well_most, policy.well_for * math.exp2(max(0.0, cell.flapped(policy, now) - 1.0)))


def ill_enough(policy: Policy, cell: Cell, now: float) -> bool:
    if cell.health is None or cell.health >= policy.ill:
        return False
    return now - cell.ill_since >= (policy.dead_for if cell.health < policy.dead else policy.ill_for)


class Round:
    """One look at everything. Decisions count on each other: each is made with those before it in mind."""

    def __init__(
        self, policy: Policy, cells: Iterable[Cell], orders: Mapping[tuple[str, str], Orders], now: float
    ) -> None:
        self.policy, self.rows, self.orders, self.now = policy, list(cells), orders, now
        self.state = {cell.key: cell.standing for cell in self.rows}
        self.decisions: list[Decision] = []
        self.stays: list[Stays] = []
        self.moved: dict[str, float] = {}  # sessions sent to each site by what is decided here
        gone = [
            cell
            for cell in self.rows
            if cell.cause == HEALTH
            and cell.standing is not Standing.ADVERTISED
            and now - cell.since < policy.window
        ]
        self.lately = {cell.site for cell in gone}
        self.first_gone = min((cell.since for cell in gone), default=now)

    def put(self, cell: Cell, standing: Standing, cause: str, why: str) -> None:
        health = "unknown" if cell.health is None else f"{cell.health:.2f}"
        evidence = f"health {health}: {cell.reason}"
        self.decisions.append(Decision(cell.address, cell.site, standing, cause, why, evidence))
        self.state[cell.key] = standing

    def stay(self, cell: Cell, rule: str, why: str) -> None:
        self.stays.append(Stays(cell.address, cell.site, rule, why))

    def fit(self, cell: Cell) -> bool:
        return cell.health is not None and cell.health >= self.policy.ill

    def others(self, cell: Cell) -> list[Cell]:
        """Sites that go on advertising the address without this one, as their speakers have taken it."""
        return [
            one
            for one in self.rows
            if one.address == cell.address
            and one is not cell
            and one.reached
            and one.carried
            and one.standing is self.state[one.key] is Standing.ADVERTISED
        ]

    def able(self, cell: Cell) -> list[Cell]:
        """Those of them that are not ill: where its clients would go."""
        return [one for one in self.others(cell) if self.fit(one)]

    def room(self, cell: Cell) -> float:
        """Sessions that those could still bear, all addresses of theirs counted."""
        free = 0.0
        for one in self.able(cell):
            held = sum(row.load for row in self.rows if row.site == one.site) + self.moved.get(one.site, 0.0)
            free += max(0.0, self.policy.fill * one.capacity - held)
        return free

    def move(self, cell: Cell) -> None:
        near = self.able(cell)
        for one in near:
            self.moved[one.site] = self.moved.get(one.site, 0.0) + cell.load / len(near)

    def hindrance(self, cell: Cell, share: float = 1.0) -> tuple[str, str] | None:
        """Rule 3: whether the last ones and room elsewhere forbid that it goes, or a share of it."""
        others, able = self.others(cell), self.able(cell)
        if len(others) < self.policy.least or not able:
            return LAST, f"{len(others)} others advertise, {len(able)} not ill; least {self.policy.least}"
        if (free := self.room(cell)) < cell.load * share:
            return NO_ROOM, f"{cell.load:.0f} sessions, room elsewhere for {free:.0f}"
        return None

    def decide(self) -> None:
        self.hold_least()
        worst_first = sorted(self.rows, key=lambda c: (c.health is None, c.health or 0.0, c.site, c.address))
        for cell in worst_first:
            if not cell.reached or self.state[cell.key] is not cell.standing:
                continue  # it can't be told, and follows its file (rule 4); or it is settled above
            order = self.orders.get(cell.key, NONE)
            if order.pin:
                self.pinned(cell, order)
            elif order.exclude or order.drain:
                self.planned(cell, order)
            elif cell.standing is not Standing.WITHDRAWN and ill_enough(self.policy, cell, self.now):
                self.lost(cell)
            elif cell.standing is Standing.WITHDRAWN:
                self.back(cell)
            elif cell.standing is Standing.LESSER:
                self.whole(cell)

    def hold_least(self) -> None:
        """Rule 3: too few that can serve advertise an address: the best of those out comes back at once."""
        for address in sorted({cell.address for cell in self.rows}):
            rows = [cell for cell in self.rows if cell.address == address and cell.reached]
            serving = sum(cell.standing is Standing.ADVERTISED and self.fit(cell) for cell in rows)
            out = [cell for cell in rows if cell.standing is not Standing.ADVERTISED and self.fit(cell)]
            out.sort(key=lambda cell: (-(cell.health or 0.0), -cell.standing, cell.site))
            for cell in out[: max(0, self.policy.least - serving)]:
                why = f"{serving} that can serve advertise it, least {self.policy.least}"
                self.put(cell, Standing.ADVERTISED, "", why)

    def pinned(self, cell: Cell, order: Orders) -> None:
        if cell.standing is not Standing.ADVERTISED:
            self.put(cell, Standing.ADVERTISED, "", f"pinned: {order.pin}")
        elif order.exclude or order.drain or ill_enough(self.policy, cell, self.now):
            self.stay(cell, PINNED, order.pin)

    def lost(self, cell: Cell) -> None:
        """Rules 1 to 3: ill for long enough; out if others can bear it."""
        policy, now = self.policy, self.now
        if not any(self.fit(one) for one in self.rows if one.address == cell.address):
            self.stay(cell, ALL_ILL, "no site is known to be better")
            return
        if cell.site not in self.lately and len(self.lately) >= policy.most_at_once:
            self.aside(cell)
            return
        why = f"health {cell.health:.2f} for {now - cell.ill_since:.1f} s"
        found = self.hindrance(cell)
        if found is None:
            self.put(cell, Standing.WITHDRAWN, HEALTH, why)
        elif found[0] == NO_ROOM and cell.standing is Standing.ADVERTISED and not self.hindrance(cell, 0.5):
            self.put(cell, Standing.LESSER, HEALTH, f"{why}; {found[1]}: in part")
        else:
            self.stay(cell, *found)
            return
        self.move(cell)
        self.lately.add(cell.site)

    def aside(self, cell: Cell) -> None:
        """Rule 3: as many are out as may be at a time. What was ill before the first of them went is not ill
        by their load: it steps back to a lesser preference, so that what leaves them does not come here
        first, and is still there if the others fall. What fell ill afterwards stays: that may be a wave."""
        count, policy = len(self.lately), self.policy
        why = f"{count} withdrawn within {policy.window:g} s, most {policy.most_at_once}"
        before = cell.ill_since <= self.first_gone
        if before and cell.standing is Standing.ADVERTISED and self.hindrance(cell) is None:
            lasts = self.now - cell.ill_since
            self.put(cell, Standing.LESSER, ASIDE, f"{why}; ill before that, for {lasts:.1f} s")
            self.move(cell)
        else:
            self.stay(cell, TOO_MANY, why)

    def planned(self, cell: Cell, order: Orders) -> None:
        """A drain or an exclusion (rules 3 and 6)."""
        if cell.standing is Standing.WITHDRAWN:
            return
        what = f"excluded: {order.exclude}" if order.exclude else f"drain: {order.drain}"
        found, lasted = self.hindrance(cell), self.now - cell.since
        if found is not None:
            if cell.standing is Standing.LESSER and found[0] == LAST:
                self.put(cell, Standing.ADVERTISED, "", f"{what}; but {found[1]}")
            else:
                self.stay(cell, *found)
        elif cell.standing is Standing.ADVERTISED:
            self.put(cell, Standing.LESSER, ORDER, what)
            self.move(cell)
        elif order.exclude:
            self.put(cell, Standing.WITHDRAWN, ORDER, what)
        elif lasted >= self.policy.drain_for or (
            lasted >= self.policy.step and cell.coming <= self.policy.drained * cell.coming_before
        ):
            why = f"{what}; {cell.coming:.1f} new sessions a second, {cell.coming_before:.1f} before"
            self.put(cell, Standing.WITHDRAWN, ORDER, why)

    def back(self, cell: Cell) -> None:
        """Rule 2: well again, it comes back in steps; later with each flap."""
        if cell.health is None or cell.health < self.policy.well:
            return
        well_for = self.now - cell.well_since
        needs = dwell(self.policy, cell, self.now) if cell.cause == HEALTH else self.policy.step
        if well_for >= needs:
            self.put(cell, Standing.LESSER, BACK, f"well for {well_for:.1f} s, {needs:.1f} needed")

    def whole(self, cell: Cell) -> None:
        """From a lesser preference to the full one."""
        lasted = self.now - cell.since
        well = cell.health is not None and cell.health >= self.policy.well
        if well and lasted >= self.policy.step and self.now - cell.well_since >= self.policy.step:
            self.put(cell, Standing.ADVERTISED, "", f"well at a lesser preference for {lasted:.1f} s")


def decide(
    policy: Policy, cells: Iterable[Cell], orders: Mapping[tuple[str, str], Orders], now: float
) -> tuple[list[Decision], list[Stays]]:
    """What is to change now, and what else would have, and why it does not."""
    this = Round(policy, cells, orders, now)
    this.decide()
    return this.decisions, this.stays


def apply(policy: Policy, cell: Cell, decision: Decision, now: float) -> None:
    """What a decision makes of its cell, once it is told to the site."""
    if decision.cause == HEALTH and cell.cause != HEALTH:
        cell.flaps, cell.flaps_at = cell.flapped(policy, now) + 1.0, now
    if decision.cause == ORDER and cell.standing is Standing.ADVERTISED:
        cell.coming_before = cell.coming
    if decision.standing is not cell.standing:
        cell.since, cell.carried = now, False  # what the speaker had taken was the standing before
    cell.standing, cell.cause = decision.standing, decision.cause
