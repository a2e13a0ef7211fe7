"""A site's announcer: takes the keeper's grants and makes the gate's table so. Pure.

It holds its own duty, and its term goes with all that it tells the gate. What stands at the gate is where it
begins: a new holder changes nothing that is right. It never newly advertises without a grant.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from onyxhollow.addresses.file import AddressesFile, Site
from onyxhollow.addresses.messages import RouteAssignment, RouteStatus, SiteReport
from onyxhollow.addresses.rules import ORDER, Preference


@dataclass(slots=True)
class AnnouncedRoute:
    name: str
    desired: Preference
    guarded: Preference  # what the gate holds it to be
    installed: Preference | None  # what the speaker has taken, as the gate says; None: not known
    cause: str = ""
    since: float = -math.inf
    flaps: float = 0.0
    is_last: bool = False
    dead_since: float = math.inf  # what this site's own members see


class Announcer:
    def __init__(self, told: AddressesFile, site: Site, term: int, now: float) -> None:
        self.config, self.policy, self.site, self.term = told, told.policy, site, term
        self.routes: dict[str, AnnouncedRoute] = {}
        self.synchronized = False  # whether the gate has said what stands
        self.controller_term, self.assignment_number = 0, 0  # term and number of the newest grant
        self.assignment_at = now
        self.daemon_connected = False  # as the gate says
        self.guard_answered_at = -math.inf  # when it last answered
        self.call_number = 0  # to the gate, counted: it passes over what has been overtaken

    def on_guard_state(
        self, table: dict[str, tuple[int, int | None]], keeper: int, speaker: bool, now: float
    ) -> None:
        """The gate's answer: of each address what it holds it to be and what the speaker has taken; keeper:
        the highest keeper's term that it knows of."""
        self.guard_answered_at, self.daemon_connected = now, speaker
        if keeper > self.controller_term:
            self.controller_term, self.assignment_number = keeper, 0
        for service in self.config.services:
            held, taken = table.get(service.name, (0, None))
            found = Preference(held)
            row = self.routes.get(service.name)
            if row is None:
                row = self.routes[service.name] = AnnouncedRoute(service.name, found, found, None, since=now)
            row.guarded, row.installed = found, None if taken is None else Preference(taken)
        self.synchronized = True

    def on_assignment(self, grant: RouteAssignment, now: float) -> None:
        """Words of earlier keepers, and earlier words of this one, are passed over."""
        if grant.site != self.site.name or (grant.term, grant.number) <= (
            self.controller_term,
            self.assignment_number,
        ):
            return
        if grant.term > self.controller_term:
            self.assignment_number = 0
        self.controller_term, self.assignment_number, self.assignment_at = grant.term, grant.number, now
        if not self.synchronized:
            return
        for row in grant.rows:
            if (known := self.routes.get(row.address)) is None:
                continue
            known.desired, known.cause, known.is_last = Preference(row.preference), row.cause, row.is_last
            known.since, known.flaps = now - row.age, row.flaps

    def on_local_health(self, address: str, health: float | None, now: float) -> None:
        """What this site's own members say of it."""
        if (known := self.routes.get(address)) is not None:
            dead = health is not None and health < self.policy.dead_below
            known.dead_since = min(known.dead_since, now) if dead else math.inf

    def tick(self, now: float) -> list[str]:
        """What it has decided by itself, in words (rule 4)."""
        told = []
        cut_off = now - self.assignment_at
        for row in self.routes.values() if self.synchronized else ():
            if row.desired is Preference.WITHDRAWN or row.is_last:
                continue
            dead = now - row.dead_since >= self.policy.dead_for
            if cut_off >= self.policy.cut_off_after and (self.site.cut_off == "withdraw" or dead):
                why = "its service is dead" if dead else "its file says so"
                told.append(f"{row.name}: withdrawn, no keeper for {cut_off:.1f} s and {why}")
                row.desired, row.cause, row.since = Preference.WITHDRAWN, "health", now
        return told

    def next_call_number(self) -> int:
        self.call_number += 1
        return self.call_number

    def pending_routes(self) -> list[AnnouncedRoute]:
        """What the gate has to be told: the least that makes it right, what is newly advertised first."""
        rows = (
            [row for row in self.routes.values() if row.desired is not row.guarded]
            if self.synchronized
            else []
        )
        return sorted(rows, key=lambda row: (-row.desired, row.name))

    def drained_addresses(self) -> list[str]:
        """Addresses that an order has withdrawn, as the speaker has taken it."""
        return [
            row.name
            for row in self.routes.values()
            if row.cause == ORDER and row.desired is row.installed is Preference.WITHDRAWN
        ]

    def report(self, now: float) -> SiteReport | None:
        if not self.synchronized:
            return None
        rows = [
            RouteStatus(
                row.name,
                int(row.desired),
                row.cause,
                max(0.0, min(1e9, now - row.since)),
                row.flaps,
                row.is_last,
                row.desired is row.installed,
            )
            for row in self.routes.values()
        ]
        gate = self.daemon_connected and now - self.guard_answered_at <= self.policy.max_evidence_age
        return SiteReport(self.site.name, self.controller_term, self.assignment_number, self.term, gate, rows)
