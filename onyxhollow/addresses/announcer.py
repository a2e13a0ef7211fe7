"""A site's announcer: carries the controller's assignments out at the site's route guard. Pure.

It holds its own lease, and its term goes with every call to the guard. It begins with the guard's state: a
new holder changes nothing that is right. It never newly advertises an address without an assignment.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from onyxhollow.addresses.file import AddressesFile, Site
from onyxhollow.addresses.messages import RouteAssignment, RouteStatus, SiteReport
from onyxhollow.addresses.routes import MAX_AGE, Cause, Preference


@dataclass(frozen=True, slots=True)
class GuardedRoute:
    """One address at the route guard."""

    preference: Preference  # that the guard is to install
    installed: Preference | None  # that the routing daemon has taken; None: not known


UNKNOWN_ROUTE = GuardedRoute(Preference.WITHDRAWN, None)


@dataclass(frozen=True, slots=True)
class GuardState:
    """The route guard's answer to a call."""

    routes: Mapping[str, GuardedRoute]  # by address
    controller_term: int  # the highest that the guard has seen
    daemon_connected: bool


@dataclass(slots=True)
class AnnouncedRoute:
    """One address at this site. Times are on the announcer's monotonic clock."""

    name: str
    desired: Preference
    guarded: Preference  # as the guard has it
    installed: Preference | None  # as the routing daemon has taken it; None: not known
    cause: str = Cause.NONE
    since: float = -math.inf  # of the desired preference
    flaps: float = 0.0
    is_last: bool = False  # it must stay, whatever is seen here alone
    dead_since: float = math.inf  # as this site's own members see it


class Announcer:
    """One term of a site's announcer."""

    def __init__(self, config: AddressesFile, site: Site, term: int, now: float) -> None:
        self.config = config
        self.policy = config.policy
        self.site = site
        self.term = term
        self.routes: dict[str, AnnouncedRoute] = {}
        self.synchronized = False  # the guard has answered once
        self.controller_term = 0  # of the newest assignment
        self.assignment_number = 0
        self.assignment_at = now
        self.daemon_connected = False  # as the guard says
        self.guard_answered_at = -math.inf
        self.call_number = 0  # of the last call to the guard, which drops overtaken ones

    def on_guard_state(self, state: GuardState, now: float) -> None:
        """Takes in the guard's answer."""
        self.guard_answered_at = now
        self.daemon_connected = state.daemon_connected
        if state.controller_term > self.controller_term:
            self.controller_term = state.controller_term
            self.assignment_number = 0
        for service in self.config.services:
            guarded = state.routes.get(service.name, UNKNOWN_ROUTE)
            route = self.routes.get(service.name)
            if route is None:
                preference = guarded.preference
                route = AnnouncedRoute(service.name, preference, preference, None, since=now)
                self.routes[service.name] = route
            route.guarded = guarded.preference
            route.installed = guarded.installed
        self.synchronized = True

    def on_assignment(self, assignment: RouteAssignment, now: float) -> None:
        """Takes in an assignment; one of an earlier controller, or an earlier one of this, is dropped."""
        newest = self.controller_term, self.assignment_number
        if assignment.site != self.site.name or (assignment.term, assignment.number) <= newest:
            return
        self.controller_term = assignment.term
        self.assignment_number = assignment.number
        self.assignment_at = now
        if not self.synchronized:
            return
        for row in assignment.rows:
            route = self.routes.get(row.address)
            if route is None:
                continue
            route.desired = Preference(row.preference)
            route.cause = row.cause
            route.is_last = row.is_last
            route.since = now - row.age
            route.flaps = row.flaps

    def on_local_health(self, address: str, health: float | None, now: float) -> None:
        """Takes in what this site's own members see; health from 0 to 1, None if unknown."""
        route = self.routes.get(address)
        if route is not None:
            is_dead = health is not None and health < self.policy.dead_below
            route.dead_since = min(route.dead_since, now) if is_dead else math.inf

    def tick(self, now: float) -> list[str]:
        """Withdraws by itself what it must while cut off from the controller (rule 4); one log text each."""
        if not self.synchronized:
            return []
        cut_off_for = now - self.assignment_at
        if cut_off_for < self.policy.cut_off_after:
            return []
        texts = []
        for route in self.routes.values():
            if route.desired is Preference.WITHDRAWN or route.is_last:
                continue
            is_dead = now - route.dead_since >= self.policy.dead_for
            if self.site.cut_off == "withdraw" or is_dead:
                reason = "its service is dead" if is_dead else "its file says so"
                texts.append(f"{route.name}: withdrawn, no keeper for {cut_off_for:.1f} s and {reason}")
                route.desired = Preference.WITHDRAWN
                route.cause = Cause.HEALTH
                route.since = now
        return texts

    def next_call_number(self) -> int:
        """The number of the next call to the guard."""
        self.call_number += 1
        return self.call_number

    def pending_routes(self) -> list[AnnouncedRoute]:
        """Routes that the guard has otherwise than desired; what is newly advertised comes first."""
        if not self.synchronized:
            return []
        routes = [route for route in self.routes.values() if route.desired is not route.guarded]
        return sorted(routes, key=lambda route: (-route.desired, route.name))

    def drained_addresses(self) -> list[str]:
        """Addresses that an override has withdrawn, as the routing daemon has taken it."""
        return [
            route.name
            for route in self.routes.values()
            if route.cause == Cause.OVERRIDE and route.desired is route.installed is Preference.WITHDRAWN
        ]

    def report(self, now: float) -> SiteReport | None:
        """The report to the controller; None before the guard has answered."""
        if not self.synchronized:
            return None
        rows = [
            RouteStatus(
                address=route.name,
                preference=int(route.desired),
                cause=route.cause,
                age=max(0.0, min(MAX_AGE, now - route.since)),
                flaps=route.flaps,
                is_last=route.is_last,
                installed=route.desired is route.installed,
            )
            for route in self.routes.values()
        ]
        return SiteReport(
            site=self.site.name,
            controller_term=self.controller_term,
            assignment_number=self.assignment_number,
            announcer_term=self.term,
            guard_ready=self.daemon_connected
            and now - self.guard_answered_at <= self.policy.max_evidence_age,
            rows=rows,
        )
