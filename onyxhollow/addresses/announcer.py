"""A site's announcer: applies the controller's assignments at the site's route guard. No I/O.

It holds its own lease, and every call to the guard carries its term. A new lease holder starts from the
guard's state, so that it does not change routes that are already correct. Without an assignment it never
starts to advertise an address.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from onyxhollow.addresses.file import AddressesFile, Site
from onyxhollow.addresses.messages import RouteAssignment, RouteStatus, SiteReport
from onyxhollow.addresses.routes import MAX_AGE_SECONDS, Cause, Preference


@dataclass(frozen=True, slots=True)
class GuardedRoute:
    """The route guard's state of one address."""

    preference: Preference  # as last set at the guard
    installed: Preference | None  # as confirmed by the routing daemon; None: unknown


UNKNOWN_ROUTE = GuardedRoute(Preference.WITHDRAWN, None)


@dataclass(frozen=True, slots=True)
class GuardState:
    """The route guard's response to a call."""

    routes: Mapping[str, GuardedRoute]  # by address
    controller_term: int  # the highest that announcers have passed to the guard
    daemon_connected: bool


@dataclass(slots=True)
class AnnouncedRoute:
    """One address at this site; times are on the announcer's monotonic clock."""

    name: str
    desired: Preference
    guarded: Preference  # as last set at the guard
    installed: Preference | None  # as confirmed by the routing daemon; None: unknown
    cause: str = Cause.NONE
    changed_at: float = -math.inf  # the last change of the desired preference
    flaps: float = 0.0
    is_last: bool = False  # the site must not withdraw it on its own
    dead_since: float = math.inf  # according to this site's members


class Announcer:
    """A site's announcer during one term of its lease."""

    def __init__(self, config: AddressesFile, site: Site, term: int, now: float) -> None:
        self.config = config
        self.policy = config.policy
        self.site = site
        self.term = term
        self.routes: dict[str, AnnouncedRoute] = {}
        self.synchronized = False  # the guard has answered at least once
        self.controller_term = 0  # of the newest assignment
        self.assignment_number = 0
        self.assignment_at = now
        self.daemon_connected = False  # as last reported by the guard
        self.guard_answered_at = -math.inf
        self.call_number = 0  # of the last call to the guard, which ignores calls that arrive out of order

    def on_guard_state(self, state: GuardState, now: float) -> None:
        """Process the guard's response to a call."""
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
                route = AnnouncedRoute(service.name, preference, preference, None, changed_at=now)
                self.routes[service.name] = route
            route.guarded = guarded.preference
            route.installed = guarded.installed
        self.synchronized = True

    def on_assignment(self, assignment: RouteAssignment, now: float) -> None:
        """Apply an assignment for this site unless a newer one (by term and number) has been received.

        Before the guard has answered, only the assignment's term, number and time are recorded.
        """
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
            route.changed_at = now - row.age
            route.flaps = row.flaps

    def on_local_health(self, address: str, health: float | None, now: float) -> None:
        """Record an address's health as measured by this site's members: 0 to 1, None if unknown."""
        route = self.routes.get(address)
        if route is not None:
            is_dead = health is not None and health < self.policy.dead_below
            route.dead_since = min(route.dead_since, now) if is_dead else math.inf

    def tick(self, now: float) -> list[str]:
        """Withdraw routes while cut off from the controller, as rule 4 requires.

        Returns:
            One text for the log for each route withdrawn.
        """
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
                reason = "the address is dead at this site" if is_dead else 'cut_off = "withdraw"'
                texts.append(f"{route.name}: withdrawn, no controller for {cut_off_for:.1f} s and {reason}")
                route.desired = Preference.WITHDRAWN
                route.cause = Cause.HEALTH
                route.changed_at = now
        return texts

    def next_call_number(self) -> int:
        """Return the number of the next call to the guard."""
        self.call_number += 1
        return self.call_number

    def pending_routes(self) -> list[AnnouncedRoute]:
        """Return the routes to set at the guard, those with the highest preference first."""
        if not self.synchronized:
            return []
        routes = [route for route in self.routes.values() if route.desired is not route.guarded]
        return sorted(routes, key=lambda route: (-route.desired, route.name))

    def drained_addresses(self) -> list[str]:
        """Return the addresses that an override has withdrawn and the routing daemon no longer announces."""
        return [
            route.name
            for route in self.routes.values()
            if route.cause == Cause.OVERRIDE and route.desired is route.installed is Preference.WITHDRAWN
        ]

    def report(self, now: float) -> SiteReport | None:
        """Return the report to the controller, or None if the guard has not answered yet."""
        if not self.synchronized:
            return None
        rows = [
            RouteStatus(
                address=route.name,
                preference=int(route.desired),
                cause=route.cause,
                age=max(0.0, min(MAX_AGE_SECONDS, now - route.changed_at)),
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
