"""Random walk over shared addresses: the real components in virtual time, under faults drawn from a seed.

Messages are lost, delayed and duplicated. Sites become unhealthy, recover and are cut off. Controllers and
announcers stop, resume late and succeed each other. Voters become unavailable, operators give overrides and
routing daemons restart. The invariants are checked on every route change, and the final state at the end.

There are three sites, two addresses and three voters. The seed determines the whole schedule, so the seed of
a schedule that violates an invariant reproduces the violation.
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
from onyxhollow.addresses.controller import Controller, ToSite, ToVoter
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
from onyxhollow.addresses.routes import (
    NO_OVERRIDES,
    ActiveOverrides,
    Cause,
    Preference,
    RouteState,
    SuppressionRule,
)

STEP_SECONDS = 0.25
SITES, ADDRESSES, VOTERS = ("a", "b", "c"), ("x", "y"), ("v0", "v1", "v2")
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
    services=[Service(name=name, prefix=f"198.51.100.{number}/32") for number, name in enumerate(ADDRESSES)],
    sites=[Site(name=site, route_guard="127.0.0.1:1", capacity=100.0) for site in SITES],
    policy=POLICY,
    interval=STEP_SECONDS,
)
RECOVERY_SECONDS = 60.0  # without faults at the end, before the final state is checked
# The kinds of random faults; one that is listed several times is drawn more often.
FAULT_KINDS = (
    "unhealthy",
    "unhealthy",
    "healthy",
    "stop controller",
    "stop announcer",
    "cut off",
    "heal",
    "unavailable voter",
    "routing daemon",
    "override",
    "override",
    "override",
    "load",
)


@dataclass
class LeaseHolder:
    """A current or former holder of a lease; a former one may still act when it resumes late."""

    core: Any  # Controller or Announcer
    term: int
    lease_until: float  # end of the lease; it starts no action after this
    stopped_until: float = 0.0


@dataclass
class SimulatedSite:
    """A site with its true health, the route table of its route guard and its announcers."""

    name: str
    table: RouteTable
    health: float = 1.0
    load: float = 10.0
    cut_off: bool = False  # from the controller and the voters
    daemon_running: bool = True
    announcers: list[LeaseHolder] = field(default_factory=list)


class World:
    """The sites, voters, controllers and announcers, and the messages in transit, in virtual time."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.number = Random(seed), 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sites = {
            site.name: SimulatedSite(site.name, RouteTable(CONFIG.services, site, 64512))
            for site in CONFIG.sites
        }
        self.controllers: list[LeaseHolder] = []
        self.controller_term = self.announcer_term = 0
        self.override_logs = {voter: OverrideLog() for voter in VOTERS}
        self.stored_decisions: dict[str, set[str]] = {voter: set() for voter in VOTERS}
        self.decision_records: dict[str, DecisionRecord] = {}
        self.unavailable_voters: set[str] = set()
        self.network_reliable = False  # whether messages are never lost, duplicated or long delayed
        self.violations: list[str] = []
        self.withdrawn_at: dict[
            tuple[str, str], float
        ] = {}  # time of withdrawals for health, by address, site
        self.highest_terms: dict[str, int] = {}  # highest announcer term that reached the daemon, by site
        self.self_withdrawn: set[tuple[str, str]] = (
            set()
        )  # address, site: withdrawn by a site that is cut off

    # Time and messages.

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Queue a call for `delay` seconds from now; calls due at the same time run in the order queued."""
        self.number += 1
        heapq.heappush(self.queue, (self.now + delay, self.number, call))

    def send(self, call: Callable[[], None], cut_off: bool = False) -> None:
        """Deliver a message; it may be lost, delayed or duplicated."""
        if cut_off:
            return
        if not self.network_reliable and self.rng.random() < 0.1:
            return
        for _ in range(1 + (not self.network_reliable and self.rng.random() < 0.05)):
            max_delay = 0.1 if self.network_reliable or self.rng.random() < 0.9 else 4.0
            self.schedule(self.rng.random() * max_delay, call)

    def record_violation(self, description: str) -> None:
        """Add the description with the virtual time; only the first five violations are kept."""
        if len(self.violations) < 5:
            self.violations.append(f"{self.now:.2f}: {description}")

    # Controllers and announcers.

    def current_controller(self) -> LeaseHolder | None:
        """Return the latest controller, or None if its lease has expired; it may be stopped."""
        return (
            self.controllers[-1] if self.controllers and self.controllers[-1].lease_until > self.now else None
        )

    def start_controller(self) -> None:
        """Start the next controller, after the lease of the previous one has expired."""
        self.controller_term += 1
        core = Controller(CONFIG, VOTERS, self.controller_term, self.now)
        self.controllers.append(LeaseHolder(core, self.controller_term, self.now + 2.0))
        self.controllers = self.controllers[-3:]

    def start_announcer(self, site: SimulatedSite) -> None:
        """Start the next announcer of the site; its two predecessors are kept, as they may resume late."""
        self.announcer_term += 1
        site_config = next(entry for entry in CONFIG.sites if entry.name == site.name)
        core = Announcer(CONFIG, site_config, self.announcer_term, self.now)
        site.announcers = [*site.announcers, LeaseHolder(core, self.announcer_term, self.now + 2.0)][-3:]

    def tick_controller(self, holder: LeaseHolder) -> None:
        """Run one tick of a controller, unless it is stopped or its lease has expired."""
        if holder.stopped_until > self.now or holder.lease_until <= self.now:
            return
        holder.core.tick(self.now, self.now)
        self.send_outbox(holder)

    def send_outbox(self, holder: LeaseHolder) -> None:
        """Send the messages of a controller and record its committed decisions."""
        core: Controller = holder.core
        outbox, core.outbox = core.outbox, []
        for row in core.committed:
            self.decision_records[record_id(row)] = row
        core.committed = []
        for outgoing in outbox:
            if isinstance(outgoing, ToVoter):
                self.send(
                    partial(self.deliver_to_voter, outgoing.voter, outgoing.message, holder),
                    outgoing.voter in self.unavailable_voters,
                )
            elif isinstance(outgoing, ToSite):  # drain requests to members have no effect on routes
                site = self.sites[outgoing.site]
                self.send(partial(self.deliver_to_site, site, outgoing.message, holder), site.cut_off)

    def deliver_to_controller(self, holder: LeaseHolder, message: Message, sender: str) -> None:
        """Pass a message to a controller; one that is stopped or has lost its lease ignores it."""
        if holder.stopped_until > self.now or holder.lease_until <= self.now:
            return
        holder.core.on_message(message, sender, self.now, self.now)
        self.send_outbox(holder)

    def deliver_to_voter(self, voter: str, message: Message, sender: LeaseHolder) -> None:
        """Answer a query, or store records and acknowledge them; an unavailable voter loses the message."""
        if voter in self.unavailable_voters:
            return
        override_log = self.override_logs[voter]
        if isinstance(message, OverrideQuery):
            overrides = list(override_log.overrides.values())
            response: Message = OverrideResponse(voter, override_log.digest, len(overrides), overrides)
        elif isinstance(message, StoreRequest):
            for row in message.rows:
                if isinstance(row, Override):
                    override_log.add(row, self.now, self.now)
                else:
                    self.stored_decisions[voter].add(record_id(row))
                    self.decision_records[record_id(row)] = row
            response = StoreAcknowledgement(voter, [record_id(row) for row in message.rows])
        else:
            return
        self.send(lambda: self.deliver_to_controller(sender, response, voter))

    def deliver_to_site(self, site: SimulatedSite, message: Message, sender: LeaseHolder) -> None:
        """Pass a route assignment to the site's latest announcer, which answers with a site report."""
        if site.cut_off or not isinstance(message, RouteAssignment) or not site.announcers:
            return
        announcer = site.announcers[-1]
        if announcer.stopped_until > self.now:
            return
        announcer.core.on_assignment(message, self.now)
        self.send_site_report(site, announcer, sender)

    def send_site_report(
        self, site: SimulatedSite, announcer: LeaseHolder, controller: LeaseHolder | None
    ) -> None:
        """Send the announcer's report, if it has one, to the given controller."""
        report: SiteReport | None = announcer.core.report(self.now)
        if report is not None and controller is not None:
            self.send(lambda: self.deliver_to_controller(controller, report, f"{site.name}0"), site.cut_off)

    def tick_announcer(self, site: SimulatedSite, announcer: LeaseHolder) -> None:
        """Run one tick of an announcer, unless it is stopped or its lease has expired."""
        if announcer.stopped_until > self.now or announcer.lease_until <= self.now:
            return
        core: Announcer = announcer.core
        if not core.synchronized:
            self.call_guard(site, announcer, "claim")
            return
        for name in ADDRESSES:
            core.on_local_health(name, site.health, self.now)
        for withdrawal in core.tick(self.now):
            self.self_withdrawn.add((withdrawal.partition(":")[0], site.name))
        for row in core.pending_routes():
            self.call_guard(site, announcer, "set", row.name, row.desired)
        self.call_guard(site, announcer, "alive")
        self.send_site_report(site, announcer, self.current_controller())

    def call_guard(
        self,
        site: SimulatedSite,
        announcer: LeaseHolder,
        call: str,
        name: str = "",
        preference: Preference = Preference.WITHDRAWN,
    ) -> None:
        """Make an HTTP call to the route guard with the current term and call number; it may arrive late."""
        controller_term, number = announcer.core.controller_term, announcer.core.next_call_number()
        self.send_to_guard(
            announcer,
            lambda: self.handle_guard_call(site, announcer, call, name, preference, controller_term, number),
        )

    def send_to_guard(self, announcer: LeaseHolder, arrive: Callable[[], None]) -> None:
        """Schedule the arrival of a call; calls are not lost, but may be delayed and arrive out of order."""
        delay = (
            0.01 if self.network_reliable or self.rng.random() < 0.85 else self.rng.choice((0.5, 4.0, 12.0))
        )
        self.schedule(delay, arrive)

    def handle_guard_call(
        self,
        site: SimulatedSite,
        announcer: LeaseHolder,
        call: str,
        name: str,
        preference: Preference,
        controller_term: int,
        number: int,
    ) -> None:
        """Apply a call to the route table and return the guard's state; a stale term gets no answer."""
        table = site.table
        try:
            if call == "claim":
                table.claim(announcer.term, f"{site.name}{announcer.term}", self.now)
            elif call == "set":
                before = table.preferences[name]
                if table.set_preference(announcer.term, number, controller_term, name, preference, self.now):
                    self.check_route_change(site, announcer, name, before, preference)
            else:
                table.heartbeat(announcer.term, set(), self.now)
        except StaleTermError:
            return
        installed = site.daemon_running
        routes = {
            address: GuardedRoute(state, state if installed else None)
            for address, state in table.preferences.items()
        }
        announcer.core.on_guard_state(
            GuardState(routes, table.controller_term, site.daemon_running), self.now
        )

    # Invariants.

    def check_route_change(
        self, site: SimulatedSite, announcer: LeaseHolder, name: str, before: Preference, after: Preference
    ) -> None:
        """Check a change that reaches a routing daemon: its term, stored decision and the policy's limits."""
        self.check_announcer_term(site, announcer)
        by_site_itself = (name, site.name) in self.self_withdrawn and after is Preference.WITHDRAWN
        self.self_withdrawn.discard((name, site.name))
        committed = self.committed_decisions(site, name, after)
        if not committed and not by_site_itself:
            self.record_violation(
                f"{name} at {site.name}: {after.name} without a record on two voters' disks"
            )
        if after is not Preference.WITHDRAWN:
            self.withdrawn_at.pop((name, site.name), None)
            return
        if by_site_itself:
            return
        self.check_remaining_sites(site, name)
        if committed and max(committed, key=lambda row: (row.term, row.number)).cause == Cause.HEALTH:
            self.withdrawn_at[name, site.name] = self.now
            self.check_withdrawal_budget()

    def check_announcer_term(self, site: SimulatedSite, announcer: LeaseHolder) -> None:
        """Check that the announcer terms that reach the site's routing daemon never decrease."""
        highest_term = self.highest_terms.get(site.name, 0)
        if announcer.term < highest_term:
            self.record_violation(
                f"{site.name}: term {announcer.term} after {highest_term} at the routing daemon"
            )
        self.highest_terms[site.name] = max(announcer.term, highest_term)

    def committed_decisions(
        self, site: SimulatedSite, name: str, preference: Preference
    ) -> list[DecisionRecord]:
        """Return the decisions for this preference that at least two voters have stored."""
        return [
            row
            for row in self.decision_records.values()
            if (row.address, row.site, row.preference) == (name, site.name, int(preference))
            and sum(record_id(row) in stored for stored in self.stored_decisions.values()) >= 2
        ]

    def check_remaining_sites(self, site: SimulatedSite, name: str) -> None:
        """Check that enough other sites advertise the address that is withdrawn at the given one."""
        others = sum(
            other.table.preferences[name] is not Preference.WITHDRAWN
            for other in self.sites.values()
            if other is not site
        )
        if others < POLICY.min_sites:
            self.record_violation(f"{name}: withdrawn at {site.name}, {others} others advertise it")

    def check_withdrawal_budget(self) -> None:
        """Check that not too many sites were withdrawn for health within half of the policy's window.

        Message delays separate a decision from its route change, so the full window would be too strict.
        """
        recently_withdrawn = {
            other
            for (_, other), withdrawn_at in self.withdrawn_at.items()
            if self.now - withdrawn_at < POLICY.withdrawal_window / 2
        }
        if len(recently_withdrawn) > POLICY.max_concurrent_withdrawals:
            self.record_violation(f"withdrawn for health at the same time: {sorted(recently_withdrawn)}")

    def check_final_state(self) -> None:
        """Check that healthy sites advertise all addresses, and unhealthy ones none that others can serve."""
        for site in self.sites.values():
            for name in ADDRESSES:
                preference = site.table.preferences[name]
                is_missing = preference is not Preference.ADVERTISED and not self.has_override(name, site)
                if site.health >= POLICY.healthy_from and is_missing:
                    self.record_violation(f"{name} at {site.name}: healthy and {preference.name}")
                alternatives = [
                    other
                    for other in self.sites.values()
                    if other.health >= POLICY.unhealthy_below and other is not site
                ]
                if (
                    site.health < POLICY.unhealthy_below
                    and alternatives
                    and preference is not Preference.WITHDRAWN
                ):
                    self.record_violation(f"{name} at {site.name}: unhealthy and {preference.name}")

    def has_override(self, name: str, site: SimulatedSite) -> bool:
        """Return whether an active override drains or excludes the address at the site."""
        merged = OverrideLog()
        for override_log in self.override_logs.values():
            for override in override_log.overrides.values():
                merged.add(override, 0.0, 0.0)
        active = merged.active(ADDRESSES, SITES, self.now).get((name, site.name), NO_OVERRIDES)
        return bool(active.drain or active.exclude)

    # Schedule.

    def step(self) -> None:
        """Advance the time by one step: deliver messages, renew or replace leases, tick all holders."""
        self.now += STEP_SECONDS
        while self.queue and self.queue[0][0] <= self.now:
            heapq.heappop(self.queue)[2]()
        controller = self.current_controller()
        if controller is None or controller.stopped_until > self.now:
            if controller is None and len(self.unavailable_voters) < 2:
                self.start_controller()
        else:
            controller.lease_until = self.now + 2.0
        for holder in self.controllers:
            self.tick_controller(holder)
        for site in self.sites.values():
            announcer = site.announcers[-1] if site.announcers else None
            if announcer is None or announcer.lease_until <= self.now:
                self.start_announcer(site)
            elif announcer.stopped_until <= self.now and not site.cut_off:
                announcer.lease_until = self.now + 2.0
            for holder in site.announcers:
                self.tick_announcer(site, holder)
            if (receiver := self.current_controller()) is not None and receiver.stopped_until <= self.now:
                rows = [AddressHealth(name, site.health, "made up", site.load, 1.0) for name in ADDRESSES]
                for number in range(3):
                    evidence = HealthReport(site.name, rows)
                    self.send(
                        partial(self.deliver_to_controller, receiver, evidence, f"{site.name}{number}"),
                        site.cut_off,
                    )

    def cause_random_fault(self) -> None:
        """Draw a site and a kind of fault and start it; some draws have no effect in the current state."""
        rng = self.rng
        site = self.sites[rng.choice(SITES)]
        kind = rng.choice(FAULT_KINDS)
        if kind == "unhealthy":
            site.health = rng.choice((0.0, 0.05, 0.3, 0.5))
        elif kind == "healthy":
            site.health = 1.0
        elif kind == "stop controller" and (controller := self.current_controller()):
            controller.stopped_until = self.now + rng.choice((0.5, 3.0, 8.0))
        elif kind == "stop announcer" and site.announcers:
            site.announcers[-1].stopped_until = self.now + rng.choice((0.5, 3.0, 8.0))
        elif kind == "cut off":
            site.cut_off = True
        elif kind == "heal":
            site.cut_off = False
            self.unavailable_voters.clear()
        elif kind == "unavailable voter":
            self.unavailable_voters = {rng.choice(VOTERS)}
        elif kind == "routing daemon":
            site.daemon_running = not site.daemon_running
        elif kind == "load":
            site.load = rng.choice((5.0, 40.0, 80.0))
        elif kind == "override":
            self.give_random_override(site)

    def give_random_override(self, site: SimulatedSite) -> None:
        """Store an operator's override for the site, valid for 20 s, at two of the voters."""
        verb = self.rng.choice(("drain", "drain", "undrain", "exclude", "include"))
        self.number += 1
        highest = max(override_log.highest_number for override_log in self.override_logs.values())
        until = self.now + 20.0
        override = Override(f"o{self.number}", highest + 1, verb, "", site.name, "w", "y", self.now, until)
        for voter in self.rng.sample(VOTERS, 2):
            self.override_logs[voter].add(override, self.now, self.now)

    def run(self, faults: int) -> list[str]:
        """Run a schedule with the given number of faults; return the violations, up to five."""
        for _ in range(60):
            self.step()
        for _ in range(faults):
            self.cause_random_fault()
            for _ in range(self.rng.choice((1, 2, 6, 16))):
                self.step()
            if self.violations:
                return self.violations
        self.network_reliable, self.unavailable_voters = True, set()
        for site in self.sites.values():
            site.cut_off, site.daemon_running, site.load = False, True, 10.0
            site.health = 1.0 if site.health >= POLICY.unhealthy_below else 0.0
        for _ in range(round(RECOVERY_SECONDS / STEP_SECONDS)):
            self.step()
        self.check_final_state()
        return self.violations


def find_violations(seeds: range, faults: int = 12) -> list[tuple[int, list[str]]]:
    """Return the seeds whose schedules violate an invariant, with the violations."""
    violating = []
    for seed in seeds:
        if violations := World(seed).run(faults):
            violating.append((seed, violations))
    return violating


# Injected bugs.


def allow_last_site_withdrawal() -> Any:
    """Withdraw the last sites of an address like any other."""
    original = rules.DecisionRound.find_obstacle

    def find_obstacle(
        self: rules.DecisionRound, cell: RouteState, share: float = 1.0
    ) -> rules.Obstacle | None:
        obstacle = original(self, cell, share)
        return None if obstacle and obstacle.rule is SuppressionRule.LAST_SITE else obstacle

    return mock.patch.object(rules.DecisionRound, "find_obstacle", find_obstacle)


def ignore_withdrawal_budget() -> Any:
    """Withdraw any number of sites at the same time."""
    original = rules.DecisionRound.__init__

    def start(self: rules.DecisionRound, *values: Any) -> None:
        original(self, *values)
        self.recently_withdrawn = _AlwaysEmptySet()

    return mock.patch.object(rules.DecisionRound, "__init__", start)


class _AlwaysEmptySet(set[str]):
    def add(self, _: str) -> None:
        pass


def accept_old_terms() -> Any:
    """Accept route changes under any term at the route guard."""

    def set_preference(
        self: RouteTable,
        term: int,
        number: int,
        controller_term: int,
        name: str,
        preference: Preference,
        now: float,
    ) -> Any:
        self.announcer_seen_at, self.controller_term = now, max(self.controller_term, controller_term)
        if self.preferences[name] is preference:
            return []
        self.preferences[name] = preference
        return [InstalledRoute(name, int(preference), controller_term)]

    return mock.patch.object(RouteTable, "set_preference", set_preference)


def publish_before_commit() -> Any:
    """Publish decisions before a majority of the voters has stored them."""
    original = Controller.decide

    def decide(
        self: Controller, overrides: dict[tuple[str, str], ActiveOverrides], now: float, wall: float
    ) -> None:
        original(self, overrides, now, wall)
        for row in list(self.pending.values()):
            self.on_committed(self.pending[record_id(row.record)], now)

    return mock.patch.object(Controller, "decide", decide)


def decide_without_reports() -> Any:
    """Decide before the sites have reported, and treat unreported routes as withdrawn."""

    def ready(self: Controller, now: float) -> bool:
        return True

    def on_site_report(self: Controller, message: SiteReport, now: float) -> None:
        self.answered_at[message.site] = now
        self.guard_ready[message.site] = message.guard_ready
        for row in message.rows:
            self.routes[row.address, message.site].installed = True

    return mock.patch.multiple(Controller, ready=ready, on_site_report=on_site_report)


def accept_calls_out_of_order() -> Any:
    """Accept the calls of one term in any order at the route guard."""
    original = RouteTable.set_preference

    def set_preference(self: RouteTable, term: int, number: int, *values: Any) -> Any:
        return original(self, term, self.call_number + 1, *values)

    return mock.patch.object(RouteTable, "set_preference", set_preference)


BUGS: dict[str, Callable[[], Any]] = {
    "no least": allow_last_site_withdrawal,
    "no budget": ignore_withdrawal_budget,
    "old terms": accept_old_terms,
    "overtaken calls": accept_calls_out_of_order,
    "told at once": publish_before_commit,
    "no look at what stands": decide_without_reports,
}


def detect_bug(name: str, seeds: range = range(200)) -> str:
    """Return the first violation that the injected bug causes, with its seed; "" if there is none."""
    with BUGS[name]():
        for seed in seeds:
            if violations := World(seed).run(12):
                return f"seed {seed}: {violations[0]}"
    return ""
