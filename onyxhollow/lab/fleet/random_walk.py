"""The cores of shared addresses, in made-up time, through schedules drawn from a seed: messages lost, late
and twice, sites ill and well, keepers and announcers that stop, go on late and follow one another, voters
that are away, sites cut off, orders, daemons that restart. What must hold is looked at after every step.

Three sites, two addresses, three voters. A schedule is its seed: a broken one is played again by it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any
from unittest import mock

from onyxhollow.addresses import rules
from onyxhollow.addresses.announcer import Announcer, GuardedRoute, GuardState
from onyxhollow.addresses.controller import Controller, ToVoter
from onyxhollow.addresses.file import AddressesFile, Policy, Service, Site
from onyxhollow.addresses.messages import (
    AddressHealth,
    DecisionRecord,
    HealthReport,
    Message,
    Override,
    OverrideQuery,
    OverrideResponse,
    RouteAssignment,
    SiteReport,
    StoreAcknowledgement,
    StoreRequest,
    record_id,
)
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.addresses.route_table import InstalledRoute, RouteTable, StaleTermError
from onyxhollow.addresses.routes import NO_OVERRIDES, Cause, Preference, RouteState, SuppressionRule

STEP = 0.25
SITES, NAMES, VOTERS = ("a", "b", "c"), ("x", "y"), ("v0", "v1", "v2")
POLICY = Policy(
    min_sites=1,
    max_concurrent_withdrawals=1,
    withdrawal_window=4.0,
    unhealthy_for=1.5,
    dead_for=1.0,
    healthy_for=2.0,
    recovery_step=0.75,
    cut_off_after=4.0,
    max_evidence_age=1.5,
    drain_for=3.0,
    flap_half_life=20.0,
)
CONFIG = AddressesFile(
    services=[Service(name=name, prefix=f"198.51.100.{place}/32") for place, name in enumerate(NAMES)],
    sites=[Site(name=site, route_guard="127.0.0.1:1", capacity=100.0) for site in SITES],
    policy=POLICY,
    interval=STEP,
)
QUIET = 60.0  # seconds without faults at the end, after which all has to be as it should


@dataclass
class Member:
    """An instance that holds a duty, or held it: it may go on after it should have let go."""

    core: Any
    term: int
    until: float  # its lease: it says nothing past that by itself
    stopped_until: float = 0.0


@dataclass
class Place:
    """A site: what is true of it, its gate, and who announces."""

    name: str
    table: RouteTable
    health: float = 1.0
    load: float = 10.0
    cut: bool = False  # from keeper and voters
    speaker: bool = True
    announcers: list[Member] = field(default_factory=list)


class World:
    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.number = Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.places = {
            site.name: Place(site.name, RouteTable(CONFIG.services, site, 64512)) for site in CONFIG.sites
        }
        self.keepers: list[Member] = []
        self.keeper_term = self.announcer_term = 0
        self.books = {voter: OverrideLog() for voter in VOTERS}
        self.decided: dict[str, set[str]] = {voter: set() for voter in VOTERS}
        self.rows: dict[str, DecisionRecord] = {}
        self.away: set[str] = set()
        self.quiet = False
        self.broken: list[str] = []
        self.established = False
        self.out_at: dict[tuple[str, str], float] = {}  # health withdrawals carried out, by address and site
        self.terms: dict[str, int] = {}  # the highest announcer's term that reached a speaker
        self.own_will: set[tuple[str, str]] = set()  # withdrawn by a site cut off

    # time and messages

    def later(self, span: float, call: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + span, self.number, call))

    def send(self, call: Callable[[], None], cut: bool = False) -> None:
        """A message: lost, late, twice."""
        if cut:
            return
        if not self.quiet and self.rng.random() < 0.1:
            return
        for _ in range(1 + (not self.quiet and self.rng.random() < 0.05)):
            most = 0.1 if self.quiet or self.rng.random() < 0.9 else 4.0
            self.later(self.rng.random() * most, call)

    def breach(self, what: str) -> None:
        if len(self.broken) < 5:
            self.broken.append(f"{self.now:.2f}: {what}")

    # who holds what

    def keeper(self) -> Member | None:
        return self.keepers[-1] if self.keepers and self.keepers[-1].until > self.now else None

    def new_keeper(self) -> None:
        """As the lease grants it: the one before has run out, on its own clock."""
        self.keeper_term += 1
        core = Controller(CONFIG, VOTERS, self.keeper_term, self.now)
        self.keepers.append(Member(core, self.keeper_term, self.now + 2.0))
        self.keepers = self.keepers[-3:]

    def new_announcer(self, place: Place) -> None:
        self.announcer_term += 1
        site = next(site for site in CONFIG.sites if site.name == place.name)
        core = Announcer(CONFIG, site, self.announcer_term, self.now)
        place.announcers = [*place.announcers, Member(core, self.announcer_term, self.now + 2.0)][-3:]

    def turn_keeper(self, member: Member) -> None:
        """Looks at its clock first; a stopped one says what it had begun to say, and that is all."""
        if member.stopped_until > self.now or member.until <= self.now:
            return
        member.core.tick(self.now, self.now)
        self.carry(member)

    def carry(self, member: Member) -> None:
        core: Controller = member.core
        out, core.outbox = core.outbox, []
        for row in core.committed:
            self.rows[record_id(row)] = row
        core.committed = []
        for to in out:
            if isinstance(to, ToVoter):
                self.send(partial(self.at_voter, to.voter, to.message, member), to.voter in self.away)
            else:
                place = self.places[to.site]
                self.send(partial(self.at_site, place, to.message, member), place.cut)

    def at_keeper(self, member: Member, message: Message, sender: str) -> None:
        if member.stopped_until > self.now or member.until <= self.now:
            return
        member.core.on_message(message, sender, self.now, self.now)
        self.carry(member)

    def at_voter(self, voter: str, message: Message, member: Member) -> None:
        if voter in self.away:
            return
        book = self.books[voter]
        if isinstance(message, OverrideQuery):
            orders = list(book.overrides.values())
            answer: Message = OverrideResponse(voter, book.digest, len(orders), orders)
        elif isinstance(message, StoreRequest):
            for row in message.rows:
                if isinstance(row, Override):
                    book.add(row, self.now, self.now)
                else:
                    self.decided[voter].add(record_id(row))
                    self.rows[record_id(row)] = row
            answer = StoreAcknowledgement(voter, [record_id(row) for row in message.rows])
        else:
            return
        self.send(lambda: self.at_keeper(member, answer, voter))

    def at_site(self, place: Place, message: Message, member: Member) -> None:
        if place.cut or not isinstance(message, RouteAssignment) or not place.announcers:
            return
        holder = place.announcers[-1]
        if holder.stopped_until > self.now:
            return
        holder.core.on_assignment(message, self.now)
        self.report(place, holder, member)

    def report(self, place: Place, holder: Member, to: Member | None) -> None:
        report: SiteReport | None = holder.core.report(self.now)
        if report is not None and to is not None:
            self.send(lambda: self.at_keeper(to, report, f"{place.name}0"), place.cut)

    def turn_announcer(self, place: Place, holder: Member) -> None:
        if holder.stopped_until > self.now or holder.until <= self.now:
            return
        core: Announcer = holder.core
        if not core.synchronized:
            self.call(place, holder, "claim")
            return
        for name in NAMES:
            core.on_local_health(name, place.health, self.now)
        for word in core.tick(self.now):
            self.own_will.add((word.partition(":")[0], place.name))
        for row in core.pending_routes():
            self.call(place, holder, "set", row.name, row.desired)
        self.call(place, holder, "alive")
        self.report(place, holder, self.keeper())

    def call(
        self,
        place: Place,
        holder: Member,
        what: str,
        name: str = "",
        wanted: Preference = Preference.WITHDRAWN,
    ) -> None:
        """HTTP to the gate: it arrives as it was made, sooner or later."""
        keeper, number = holder.core.controller_term, holder.core.next_call_number()
        self.to_gate(holder, lambda: self.at_gate(place, holder, what, name, wanted, keeper, number))

    def to_gate(self, holder: Member, arrive: Callable[[], None]) -> None:
        """Not lost while it is answered; it may be stopped on its way and go on."""
        late = 0.01 if self.quiet or self.rng.random() < 0.85 else self.rng.choice((0.5, 4.0, 12.0))
        self.later(late, arrive)

    def at_gate(
        self, place: Place, holder: Member, what: str, name: str, wanted: Preference, keeper: int, number: int
    ) -> None:
        table = place.table
        try:
            if what == "claim":
                table.claim(holder.term, f"{place.name}{holder.term}", self.now)
            elif what == "set":
                before = table.preferences[name]
                if table.set_preference(holder.term, number, keeper, name, wanted, self.now):
                    self.carried_out(place, holder, name, before, wanted)
            else:
                table.heartbeat(holder.term, set(), self.now)
        except StaleTermError:
            return
        told = place.speaker
        routes = {n: GuardedRoute(s, s if told else None) for n, s in table.preferences.items()}
        holder.core.on_guard_state(GuardState(routes, table.controller_term, place.speaker), self.now)

    # what must hold

    def carried_out(
        self, place: Place, holder: Member, name: str, before: Preference, after: Preference
    ) -> None:
        if holder.term < self.terms.get(place.name, 0):
            self.breach(f"{place.name}: term {holder.term} after {self.terms[place.name]} at the speaker")
        self.terms[place.name] = max(holder.term, self.terms.get(place.name, 0))
        by_itself = (name, place.name) in self.own_will and after is Preference.WITHDRAWN
        self.own_will.discard((name, place.name))
        kept = [
            row
            for row in self.rows.values()
            if (row.address, row.site, row.preference) == (name, place.name, int(after))
            and sum(record_id(row) in told for told in self.decided.values()) >= 2
        ]
        if not kept and not by_itself:
            self.breach(f"{name} at {place.name}: {after.name} without a line on two voters' disks")
        if after is not Preference.WITHDRAWN:
            self.out_at.pop((name, place.name), None)
            return
        others = sum(
            one.table.preferences[name] is not Preference.WITHDRAWN
            for one in self.places.values()
            if one is not place
        )
        if others < POLICY.min_sites and not by_itself:
            self.breach(f"{name}: withdrawn at {place.name}, {others} others advertise it")
        if not by_itself and kept and max(kept, key=lambda row: (row.term, row.number)).cause == Cause.HEALTH:
            self.out_at[name, place.name] = self.now
            # Told and carried out are apart by what is late on the way: the window is looked at less that.
            lately = {
                site for (_, site), at in self.out_at.items() if self.now - at < POLICY.withdrawal_window / 2
            }
            if len(lately) > POLICY.max_concurrent_withdrawals:
                self.breach(f"withdrawn for health at once: {sorted(lately)}")

    def settled(self) -> None:
        """At the end, quiet for long: every healthy site advertises all, an ill one nothing it need not."""
        for place in self.places.values():
            for name in NAMES:
                stands = place.table.preferences[name]
                out = stands is not Preference.ADVERTISED and not self.ordered(name, place)
                if place.health >= POLICY.healthy_from and out:
                    self.breach(f"{name} at {place.name}: healthy and {stands.name}")
                able = [
                    one
                    for one in self.places.values()
                    if one.health >= POLICY.unhealthy_below and one is not place
                ]
                if place.health < POLICY.unhealthy_below and able and stands is not Preference.WITHDRAWN:
                    self.breach(f"{name} at {place.name}: ill and {stands.name}")

    def ordered(self, name: str, place: Place) -> bool:
        merged = OverrideLog()
        for book in self.books.values():
            for order in book.overrides.values():
                merged.add(order, 0.0, 0.0)
        found = merged.active(NAMES, SITES, self.now).get((name, place.name), NO_OVERRIDES)
        return bool(found.drain or found.exclude)

    # the schedule

    def step(self) -> None:
        self.now += STEP
        while self.queue and self.queue[0][0] <= self.now:
            heapq.heappop(self.queue)[2]()
        keeper = self.keeper()
        if keeper is None or keeper.stopped_until > self.now:
            if keeper is None and len(self.away) < 2:
                self.new_keeper()
        else:
            keeper.until = self.now + 2.0
        for member in self.keepers:
            self.turn_keeper(member)
        for place in self.places.values():
            holder = place.announcers[-1] if place.announcers else None
            if holder is None or holder.until <= self.now:
                self.new_announcer(place)
            elif holder.stopped_until <= self.now and not place.cut:
                holder.until = self.now + 2.0
            for member in place.announcers:
                self.turn_announcer(place, member)
            if (to := self.keeper()) is not None and to.stopped_until <= self.now:
                rows = [AddressHealth(name, place.health, "made up", place.load, 1.0) for name in NAMES]
                for number in range(3):
                    evidence = HealthReport(place.name, rows)
                    self.send(partial(self.at_keeper, to, evidence, f"{place.name}{number}"), place.cut)

    def fault(self) -> None:
        rng = self.rng
        place = self.places[rng.choice(SITES)]
        kinds = (
            "ill",
            "ill",
            "well",
            "stop keeper",
            "stop announcer",
            "cut",
            "mend",
            "away",
            "speaker",
            "order",
            "order",
            "order",
            "load",
        )
        kind = rng.choice(kinds)
        if kind == "ill":
            place.health = rng.choice((0.0, 0.05, 0.3, 0.5))
        elif kind == "well":
            place.health = 1.0
        elif kind == "stop keeper" and (keeper := self.keeper()):
            keeper.stopped_until = self.now + rng.choice((0.5, 3.0, 8.0))
        elif kind == "stop announcer" and place.announcers:
            place.announcers[-1].stopped_until = self.now + rng.choice((0.5, 3.0, 8.0))
        elif kind == "cut":
            place.cut = True
        elif kind == "mend":
            place.cut = False
            self.away.clear()
        elif kind == "away":
            self.away = {rng.choice(VOTERS)}
        elif kind == "speaker":
            place.speaker = not place.speaker
        elif kind == "load":
            place.load = rng.choice((5.0, 40.0, 80.0))
        elif kind == "order":
            verb = rng.choice(("drain", "drain", "undrain", "exclude", "include"))
            self.number += 1
            top = max(book.highest_number for book in self.books.values())
            until = self.now + 20.0
            order = Override(f"o{self.number}", top + 1, verb, "", place.name, "w", "y", self.now, until)
            for voter in rng.sample(VOTERS, 2):
                self.books[voter].add(order, self.now, self.now)

    def play(self, faults: int) -> list[str]:
        for _ in range(60):
            self.step()
        for _ in range(faults):
            self.fault()
            for _ in range(self.rng.choice((1, 2, 6, 16))):
                self.step()
            if self.broken:
                return self.broken
        self.quiet, self.away = True, set()
        for place in self.places.values():
            place.cut, place.speaker, place.load = False, True, 10.0
            place.health = 1.0 if place.health >= POLICY.unhealthy_below else 0.0
        for _ in range(round(QUIET / STEP)):
            self.step()
        self.settled()
        return self.broken


def find_violations(seeds: range, faults: int = 12) -> list[tuple[int, list[str]]]:
    """Schedules that broke something, by seed."""
    found = []
    for seed in seeds:
        if broken := World(seed).play(faults):
            found.append((seed, broken))
    return found


# bugs put in on purpose


def no_least() -> Any:
    """The last ones go like any other."""
    true = rules.DecisionRound.find_obstacle

    def hindrance(self: rules.DecisionRound, cell: RouteState, share: float = 1.0) -> rules.Obstacle | None:
        found = true(self, cell, share)
        return None if found and found.rule is SuppressionRule.LAST_SITE else found

    return mock.patch.object(rules.DecisionRound, "find_obstacle", hindrance)


def no_budget() -> Any:
    """Any number of sites at once."""
    true = rules.DecisionRound.__init__

    def start(self: rules.DecisionRound, *values: Any) -> None:
        true(self, *values)
        self.recently_withdrawn = _Never()

    return mock.patch.object(rules.DecisionRound, "__init__", start)


class _Never(set[str]):
    def add(self, _: str) -> None:
        pass


def old_terms() -> Any:
    """A gate that looks at no term."""

    def put(
        self: RouteTable, term: int, number: int, keeper: int, name: str, standing: Preference, now: float
    ) -> Any:
        self.announcer_seen_at, self.controller_term = now, max(self.controller_term, keeper)
        if self.preferences[name] is standing:
            return []
        self.preferences[name] = standing
        return [InstalledRoute(name, int(standing), keeper)]

    return mock.patch.object(RouteTable, "set_preference", put)


def told_at_once() -> Any:
    """A decision is told before it is on a majority's disks."""
    true = Controller.decide

    def decide(self: Controller, now: float, wall: float) -> None:
        true(self, now, wall)
        for row in list(self.pending.values()):
            self.on_committed(self.pending[record_id(row.record)], now)

    return mock.patch.object(Controller, "decide", decide)


def one_decides() -> Any:
    """A keeper that waits for no site's answer and takes what it knows of none for withdrawn."""

    def ready(self: Controller, now: float) -> bool:
        return True

    def reported(self: Controller, message: SiteReport, now: float) -> None:
        self.answered_at[message.site] = now
        self.guard_ready[message.site] = message.guard_ready
        for row in message.rows:
            self.routes[row.address, message.site].installed = True

    return mock.patch.multiple(Controller, ready=ready, on_site_report=reported)


def overtaken() -> Any:
    """A gate that takes calls of one term in whatever order they come."""
    true = RouteTable.set_preference

    def put(self: RouteTable, term: int, number: int, *values: Any) -> Any:
        return true(self, term, self.call_number + 1, *values)

    return mock.patch.object(RouteTable, "set_preference", put)


BUGS: dict[str, Callable[[], Any]] = {
    "no least": no_least,
    "no budget": no_budget,
    "old terms": old_terms,
    "overtaken calls": overtaken,
    "told at once": told_at_once,
    "no look at what stands": one_decides,
}


def detect_bug(name: str, seeds: range = range(200)) -> str:
    """The first breach that a bug put in brings; "": none."""
    with BUGS[name]():
        for seed in seeds:
            if broken := World(seed).play(12):
                return f"seed {seed}: {broken[0]}"
    return ""
