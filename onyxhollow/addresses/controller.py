"""The controller: one process that decides for all sites, under the term of its lease. No I/O.

It decides nothing until it has the overrides of a majority of the voters, and until each site has answered
under this term or a waiting time has passed. A site that has answered rejects assignments of an earlier
controller. A change is sent to its site only after a majority of the voters has stored it, so that the
history contains every change.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.health import HealthAggregator
from onyxhollow.addresses.messages import (
    DecisionRecord,
    DrainRequest,
    HealthReport,
    Message,
    OverrideQuery,
    OverrideResponse,
    RouteAssignment,
    RouteStatus,
    SiteReport,
    StoreAcknowledgement,
    StoredRecord,
    StoreRequest,
    paginate,
    record_id,
    truncate_utf8,
)
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.addresses.routes import (
    MAX_AGE_SECONDS,
    NO_OVERRIDES,
    ActiveOverrides,
    Cause,
    Preference,
    RouteChange,
    RouteState,
    SuppressedChange,
    SuppressionRule,
    apply_change,
)
from onyxhollow.addresses.rules import DecisionRound, decide

RESEND_TICKS = 2  # ticks between transmissions of a record to a voter that has not acknowledged it
MAX_TEXT_BYTES = 220  # limit for the reason and for the evidence of a decision
# A new controller waits for sites that do not answer until both have passed.
MIN_SITE_WAIT_SECONDS = 2.0
MIN_SITE_WAIT_INTERVALS = 4


@dataclass(frozen=True, slots=True)
class ToSite:
    """An outgoing message for a site's announcer."""

    site: str
    message: Message


@dataclass(frozen=True, slots=True)
class ToMembers:
    """An outgoing message for all members of a site."""

    site: str
    message: Message


@dataclass(frozen=True, slots=True)
class ToVoter:
    """An outgoing message for a voter."""

    voter: str
    message: Message


@dataclass(slots=True)
class PendingRecord:
    """A decision that a majority of the voters has not stored yet."""

    record: DecisionRecord
    change: RouteChange
    stored_by: set[str] = field(default_factory=set)
    ticks: int = 0  # since it was first sent to the voters


class Controller:
    """One term of the controller.

    Attributes:
        outbox: messages to send; the caller empties it.
        committed: decisions to log, stored by a majority; the caller empties it.
        next_due: monotonic time of the next tick.
    """

    def __init__(self, config: AddressesFile, voters: tuple[str, ...], term: int, now: float) -> None:
        self.config = config
        self.policy = config.policy
        self.voters = voters
        self.term = term
        self.capacity = {site.name: site.capacity for site in config.sites}
        self.routes = {
            (service.name, site.name): RouteState(service.name, site.name, capacity=site.capacity)
            for service in config.services
            for site in config.sites
        }
        self.health = HealthAggregator(config.policy.max_evidence_age)
        self.overrides = OverrideLog()
        self.synchronized_voters: set[str] = set()
        self.received_ids: dict[str, set[str]] = {}  # by voter: ids of the overrides received from it
        self.answered_at: dict[str, float] = {}  # by site: the announcer's last report under this term
        self.newest_report: dict[str, tuple[int, int]] = {}  # by site: announcer term, assignment number
        self.guard_ready: dict[str, bool] = {}  # by site
        self.reported_routes: set[tuple[str, str]] = set()  # routes with a state reported by their site
        self.assigned_in: dict[tuple[str, str], int] = {}  # by route: assignment with its last change
        self.pending: dict[str, PendingRecord] = {}  # by record id
        self.outbox: list[ToSite | ToMembers | ToVoter] = []
        self.committed: list[DecisionRecord] = []
        self.suppressed: list[SuppressedChange] = []  # in the last round
        self.counts: Counter[str] = Counter()
        self.last_number = 0  # of the last decision or assignment
        self.started_at = now
        self.next_due = now

    @property
    def majority(self) -> int:
        """Number of voters that must store a record."""
        return len(self.voters) // 2 + 1

    def ready(self, now: float) -> bool:
        """Return whether enough voters and sites have answered to make decisions."""
        if len(self.synchronized_voters) < self.majority:
            return False
        wait = max(MIN_SITE_WAIT_SECONDS, MIN_SITE_WAIT_INTERVALS * self.config.interval)
        waited = now - self.started_at >= wait
        return waited or all(site.name in self.answered_at for site in self.config.sites)

    # Received messages

    def on_message(self, message: Message, sender: str, now: float, wall: float) -> None:
        """Process a message from the member named `sender`."""
        if isinstance(message, HealthReport):
            if message.site in self.capacity:
                self.health.record(sender, message, now)
        elif isinstance(message, SiteReport):
            self.on_site_report(message, now)
        elif isinstance(message, OverrideResponse) and message.voter in self.voters:
            self.on_override_response(message, now, wall)
        elif isinstance(message, StoreAcknowledgement) and message.voter in self.voters:
            self.on_store_acknowledgement(message, now)

    def on_override_response(self, message: OverrideResponse, now: float, wall: float) -> None:
        """Merge a voter's overrides; the voter is synchronized once all of them have been received."""
        for override in message.overrides:
            self.overrides.add(override, now, wall)
        received = self.received_ids.setdefault(message.voter, set())
        received |= {override.id for override in message.overrides}
        if message.digest == self.overrides.digest or len(received) >= message.count:
            self.synchronized_voters.add(message.voter)

    def on_store_acknowledgement(self, message: StoreAcknowledgement, now: float) -> None:
        """Record that a voter has stored decisions, and commit those stored by a majority."""
        for acknowledged_id in message.ids:
            pending = self.pending.get(acknowledged_id)
            if pending is None:
                continue
            pending.stored_by.add(message.voter)
            if len(pending.stored_by) >= self.majority:
                del self.pending[acknowledged_id]
                self.on_committed(pending, now)

    def on_site_report(self, message: SiteReport, now: float) -> None:
        """Adopt a site's state from its first report under this term; later reports confirm changes."""
        if message.site not in self.capacity or message.controller_term != self.term:
            return
        version = message.announcer_term, message.assignment_number
        if version < self.newest_report.get(message.site, (0, 0)):
            return  # a later report has been received already
        self.newest_report[message.site] = version
        self.answered_at[message.site] = now
        self.guard_ready[message.site] = message.guard_ready
        for row in message.rows:
            route = self.routes.get((row.address, message.site))
            if route is not None:
                self.on_route_status(route, row, message.assignment_number, now)

    def on_route_status(self, route: RouteState, row: RouteStatus, answered: int, now: float) -> None:
        """Process the state of one route, reported in reply to the assignment numbered `answered`."""
        # An unreachable site may have withdrawn routes on its own, so its report is adopted. A report sent
        # before the site received the last decision is outdated, unless that decision is older than
        # max_evidence_age.
        is_current = (
            answered >= self.assigned_in.get(route.key, 0)
            or now - route.changed_at > self.policy.max_evidence_age
        )
        if route.key not in self.reported_routes or (not route.reachable and is_current):
            self.reported_routes.add(route.key)
            route.preference = Preference(row.preference)
            route.cause = row.cause
            route.changed_at = now - row.age
            route.flaps = row.flaps
            route.flaps_at = now
        route.installed = row.installed and row.preference == route.preference

    def on_committed(self, pending: PendingRecord, now: float) -> None:
        """Apply a decision that a majority has stored, and send it to its site."""
        self.committed.append(pending.record)
        route = self.routes[pending.change.address, pending.change.site]
        apply_change(self.policy, route, pending.change, now)
        self.assign(route.site, now)
        self.assigned_in[route.key] = self.last_number

    # Periodic work

    def tick(self, now: float, wall: float) -> None:
        """Update all routes, decide, and queue the messages to send."""
        self.next_due = now + self.config.interval
        self.overrides.compact(now)
        for voter in self.voters:
            self.outbox.append(ToVoter(voter, OverrideQuery(self.overrides.digest)))
        for route in self.routes.values():
            self.observe(route, now)
        if self.ready(now):
            overrides = self.active_overrides(now)
            self.restore_causes(overrides)
            self.decide(overrides, now, wall)
        for site in self.capacity:
            self.assign(site, now)
        self.send_store_requests()

    def observe(self, route: RouteState, now: float) -> None:
        """Update a route's health, load and reachability."""
        health = self.health.assess(route.site, route.address, now)
        route.load = health.load
        route.arrival_rate = health.arrival_rate
        has_answered = self.has_answered_recently(route.site, now)
        has_daemon = self.guard_ready.get(route.site, False)
        route.reachable = has_answered and has_daemon and route.key in self.reported_routes
        route.observe(health.health, health.reason, self.policy, now)
        if has_answered and not route.reachable:
            route.health_reason = f"route guard without routing daemon; {route.health_reason}"

    def has_answered_recently(self, site: str, now: float) -> bool:
        """Return whether a site's announcer has reported under this term within `max_evidence_age`."""
        return now - self.answered_at.get(site, -math.inf) <= self.policy.max_evidence_age

    def active_overrides(self, now: float) -> dict[tuple[str, str], ActiveOverrides]:
        """Return the overrides in force for each route, by address and site."""
        return self.overrides.active({address for address, _ in self.routes}, self.capacity, now)

    def restore_causes(self, overrides: dict[tuple[str, str], ActiveOverrides]) -> None:
        """Set the cause of withdrawn routes that were reported without one, if an override is in force.

        The route guard stores no causes. After a change of the announcer, a controller that adopts the site's
        report adopts it without causes. The site's members move connections only off routes that an override
        has withdrawn, so they would stop in the middle of a drain.
        """
        for key in self.reported_routes:
            route = self.routes[key]
            has_no_cause = route.preference is Preference.WITHDRAWN and route.cause == Cause.NONE
            if has_no_cause and overrides.get(key, NO_OVERRIDES).takes_out:
                route.cause = Cause.OVERRIDE

    def decide(self, overrides: dict[tuple[str, str], ActiveOverrides], now: float, wall: float) -> None:
        """Decide the next changes, unless earlier ones are still being stored."""
        if self.pending:
            return  # later decisions depend on these changes
        changes, self.suppressed = decide(self.policy, self.routes.values(), overrides, now)
        self.request_drains(overrides, changes)
        for suppressed in self.suppressed:
            self.counts[f"stays: {suppressed.rule}"] += 1
        for change in changes:
            self.last_number += 1
            self.counts[f"decided: {change.preference.label}"] += 1
            record = DecisionRecord(
                term=self.term,
                number=self.last_number,
                decided_at=wall,
                address=change.address,
                site=change.site,
                preference=int(change.preference),
                cause=change.cause,
                reason=truncate_utf8(change.reason, MAX_TEXT_BYTES),
                evidence=truncate_utf8(change.evidence, MAX_TEXT_BYTES),
            )
            self.pending[record_id(record)] = PendingRecord(record, change)

    def is_last(self, route: RouteState, now: float) -> bool:
        """Return whether the route's site must not withdraw it on its own."""
        obstacle = DecisionRound(self.policy, self.routes.values(), {}, now).find_obstacle(route)
        return obstacle is not None and obstacle.rule is SuppressionRule.LAST_SITE

    # Sent messages

    def assign(self, site: str, now: float) -> None:
        """Queue a site's assignment.

        A site that has not answered recently receives no rows: it has to report its state first. So does a
        route that the site has not reported yet, such as one on a later page of the report.
        """
        rows = []
        if self.has_answered_recently(site, now):
            routes = [self.routes[key] for key in self.routes if key in self.reported_routes]
            rows = [self.route_status(route, now) for route in routes if route.site == site]
        for page in paginate(rows) if rows else [rows]:
            self.last_number += 1
            assignment = RouteAssignment(self.term, self.last_number, site, page)
            self.outbox.append(ToSite(site, assignment))

    def route_status(self, route: RouteState, now: float) -> RouteStatus:
        """Return the state that the site is to adopt for a route."""
        return RouteStatus(
            address=route.address,
            preference=int(route.preference),
            cause=route.cause,
            age=max(0.0, min(MAX_AGE_SECONDS, now - route.changed_at)),
            flaps=route.flap_penalty(self.policy, now),
            is_last=self.is_last(route, now),
        )

    def request_drains(
        self, overrides: dict[tuple[str, str], ActiveOverrides], changes: list[RouteChange]
    ) -> None:
        """Queue requests to move connections off routes withdrawn for health, if an override drains them.

        The site's announcer requests the moves only for routes that the override itself has withdrawn. The
        route keeps its cause, so that it still counts towards the withdrawal limit and is restored as late as
        without the override.
        """
        excepted = {(change.address, change.site) for change in changes}
        excepted |= {(change.address, change.site) for change in self.suppressed}
        addresses_by_site: dict[str, list[str]] = {}
        for key, route in self.routes.items():
            is_withdrawn = route.reachable and route.installed and route.preference is Preference.WITHDRAWN
            takes_out = overrides.get(key, NO_OVERRIDES).takes_out and key not in excepted
            if is_withdrawn and takes_out and route.cause != Cause.OVERRIDE:
                addresses_by_site.setdefault(route.site, []).append(route.address)
        for site, addresses in addresses_by_site.items():
            for page in paginate(addresses):
                self.outbox.append(ToMembers(site, DrainRequest(site, page)))

    def send_store_requests(self) -> None:
        """Queue pending records for the voters that have not acknowledged them."""
        for voter in self.voters:
            due: list[StoredRecord] = [
                pending.record
                for pending in self.pending.values()
                if voter not in pending.stored_by and pending.ticks % RESEND_TICKS == 0
            ]
            for page in paginate(due):
                self.outbox.append(ToVoter(voter, StoreRequest(page)))
        for pending in self.pending.values():
            pending.ticks += 1
