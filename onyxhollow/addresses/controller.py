"""The controller: one process decides for all sites, under the term of its lease. Pure.

Before it decides anything it has the overrides of a majority of the voters, and each site either has
answered under this term (from then on it accepts no assignment of an earlier controller) or has had time
to. A change is sent to a site once a majority of the voters has stored it: no change without its line in
the history.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.health import HealthAggregator
from onyxhollow.addresses.messages import (
    DecisionRecord,
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
    MAX_AGE,
    ActiveOverrides,
    Preference,
    RouteChange,
    RouteState,
    SuppressedChange,
    SuppressionRule,
    apply_change,
)
from onyxhollow.addresses.rules import DecisionRound, decide

RESEND_AFTER = 2  # ticks without an acknowledgement until a record is sent to a voter again
MAX_TEXT_BYTES = 220  # of a reason, and of the evidence, in a decision
MIN_WAIT_FOR_SITES = 2.0  # seconds that a new controller waits for sites that do not answer ...
WAIT_INTERVALS = 4  # ... or so many intervals, if that is longer


@dataclass(frozen=True, slots=True)
class ToSite:
    """A message for a site's announcer."""

    site: str
    message: Message


@dataclass(frozen=True, slots=True)
class ToVoter:
    """A message for a voter."""

    voter: str
    message: Message


@dataclass(slots=True)
class PendingRecord:
    """A decision that is not yet stored by a majority of the voters."""

    record: DecisionRecord
    change: RouteChange
    stored_by: set[str] = field(default_factory=set)
    ticks: int = 0  # since it was first sent


class Controller:
    """One term of the controller.

    Attributes:
        outbox: messages to send; the caller empties it.
        committed: decisions that a majority has stored, for the log; the caller empties it.
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
        self.received_ids: dict[str, set[str]] = {}  # by voter: ids of its overrides received so far
        self.answered_at: dict[str, float] = {}  # by site: its announcer's last answer under this term
        self.newest_report: dict[str, tuple[int, int]] = {}  # by site: announcer's term, assignment answered
        self.guard_ready: dict[str, bool] = {}  # by site
        self.reported_routes: set[tuple[str, str]] = set()  # routes whose state their site has reported
        self.assigned_in: dict[tuple[str, str], int] = {}  # by route: assignment with its last change
        self.pending: dict[str, PendingRecord] = {}  # by record id
        self.outbox: list[ToSite | ToVoter] = []
        self.committed: list[DecisionRecord] = []
        self.suppressed: list[SuppressedChange] = []  # of the last round
        self.counts: Counter[str] = Counter()
        self.last_number = 0  # of a decision or an assignment
        self.started_at = now
        self.next_due = now

    @property
    def majority(self) -> int:
        """How many voters must have stored a record."""
        return len(self.voters) // 2 + 1

    def ready(self, now: float) -> bool:
        """Whether it knows enough to decide."""
        if len(self.synchronized_voters) < self.majority:
            return False
        wait = max(MIN_WAIT_FOR_SITES, WAIT_INTERVALS * self.config.interval)
        waited = now - self.started_at >= wait
        return waited or all(site.name in self.answered_at for site in self.config.sites)

    # messages

    def on_message(self, message: Message, sender: str, now: float, wall: float) -> None:
        """Takes in a message of the member named `sender`."""
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
        """Merges a voter's overrides; a voter counts once all of them have come."""
        for override in message.overrides:
            self.overrides.add(override, now, wall)
        received = self.received_ids.setdefault(message.voter, set())
        received |= {override.id for override in message.overrides}
        if message.digest == self.overrides.digest or len(received) >= message.count:
            self.synchronized_voters.add(message.voter)

    def on_store_acknowledgement(self, message: StoreAcknowledgement, now: float) -> None:
        """Counts a voter that has stored records."""
        for name in message.ids:
            pending = self.pending.get(name)
            if pending is None:
                continue
            pending.stored_by.add(message.voter)
            if len(pending.stored_by) >= self.majority:
                del self.pending[name]
                self.on_committed(pending, now)

    def on_site_report(self, message: SiteReport, now: float) -> None:
        """Takes over a site's state at its first report under this term; later ones confirm."""
        if message.site not in self.capacity or message.controller_term != self.term:
            return
        version = message.announcer_term, message.assignment_number
        if version < self.newest_report.get(message.site, (0, 0)):
            return  # overtaken by a later one
        self.newest_report[message.site] = version
        self.answered_at[message.site] = now
        self.guard_ready[message.site] = message.guard_ready
        for row in message.rows:
            route = self.routes.get((row.address, message.site))
            if route is not None:
                self.on_route_status(route, row, message.assignment_number, now)

    def on_route_status(self, route: RouteState, row: RouteStatus, answered: int, now: float) -> None:
        """Takes in the state of one route, reported in answer to the assignment numbered `answered`."""
        # A site that was out of reach may have withdrawn something by itself. But what it reports before it
        # has received the last decision is old, unless it has not received it for long.
        is_current = (
            answered >= self.assigned_in.get(route.key, 0) or now - route.since > self.policy.max_evidence_age
        )
        if route.key not in self.reported_routes or (not route.reachable and is_current):
            self.reported_routes.add(route.key)
            route.preference = Preference(row.preference)
            route.cause = row.cause
            route.since = now - row.age
            route.flaps = row.flaps
            route.flaps_at = now
        route.installed = row.installed and row.preference == route.preference

    def on_committed(self, pending: PendingRecord, now: float) -> None:
        """A majority has stored a decision: it is applied and sent to its site."""
        self.committed.append(pending.record)
        route = self.routes[pending.change.address, pending.change.site]
        apply_change(self.policy, route, pending.change, now)
        self.assign(route.site, now)
        self.assigned_in[route.key] = self.last_number

    # time

    def tick(self, now: float, wall: float) -> None:
        """Looks at all routes, decides, and queues what is to be sent."""
        self.next_due = now + self.config.interval
        self.overrides.compact(now)
        for voter in self.voters:
            self.outbox.append(ToVoter(voter, OverrideQuery(self.overrides.digest)))
        for route in self.routes.values():
            self.observe(route, now)
        if self.ready(now):
            self.decide(now, wall)
        for site in self.capacity:
            self.assign(site, now)
        self.send_store_requests()

    def observe(self, route: RouteState, now: float) -> None:
        """Brings a route's health, load and reachability up to date."""
        health = self.health.assess(route.site, route.address, now)
        route.load = health.load
        route.arrival_rate = health.arrival_rate
        answers = self.has_answered_recently(route.site, now)
        has_daemon = self.guard_ready.get(route.site, False)
        route.reachable = answers and has_daemon and route.key in self.reported_routes
        route.observe(health.health, health.reason, self.policy, now)
        if answers and not route.reachable:
            route.health_reason = f"its gate has no speaker; {route.health_reason}"

    def has_answered_recently(self, site: str, now: float) -> bool:
        """Whether a site's announcer has reported under this term, and not long ago."""
        return now - self.answered_at.get(site, -math.inf) <= self.policy.max_evidence_age

    def active_overrides(self, now: float) -> dict[tuple[str, str], ActiveOverrides]:
        """What operators' overrides say of each route."""
        return self.overrides.active({address for address, _ in self.routes}, self.capacity, now)

    def decide(self, now: float, wall: float) -> None:
        """Decides the next changes, unless earlier ones are still being stored."""
        if self.pending:
            return  # the next are decided knowing that these are made
        overrides = self.active_overrides(now)
        changes, self.suppressed = decide(self.policy, self.routes.values(), overrides, now)
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
        """Whether the route's site must not withdraw it by itself."""
        obstacle = DecisionRound(self.policy, self.routes.values(), {}, now).find_obstacle(route)
        return obstacle is not None and obstacle.rule is SuppressionRule.LAST_SITE

    # what is sent

    def assign(self, site: str, now: float) -> None:
        """Queues a site's assignment.

        A site that has not answered lately gets no rows: its state has to be reported first.
        """
        rows = []
        if self.has_answered_recently(site, now):
            rows = [self.status(route, now) for route in self.routes.values() if route.site == site]
        for page in paginate(rows) if rows else [rows]:
            self.last_number += 1
            assignment = RouteAssignment(self.term, self.last_number, site, page)
            self.outbox.append(ToSite(site, assignment))

    def status(self, route: RouteState, now: float) -> RouteStatus:
        """A route as its site is to have it."""
        return RouteStatus(
            address=route.address,
            preference=int(route.preference),
            cause=route.cause,
            age=max(0.0, min(MAX_AGE, now - route.since)),
            flaps=route.flap_penalty(self.policy, now),
            is_last=self.is_last(route, now),
        )

    def send_store_requests(self) -> None:
        """Queues pending records for the voters that have not acknowledged them."""
        for voter in self.voters:
            due: list[StoredRecord] = [
                pending.record
                for pending in self.pending.values()
                if voter not in pending.stored_by and pending.ticks % RESEND_AFTER == 0
            ]
            for page in paginate(due):
                self.outbox.append(ToVoter(voter, StoreRequest(page)))
        for pending in self.pending.values():
            pending.ticks += 1
