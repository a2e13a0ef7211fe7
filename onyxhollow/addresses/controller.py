"""The keeper: one process decides for all sites, under the term of its duty. Pure.

Before it decides anything it has heard a majority of the voters' orders, and each site either has answered
under this term (from then on it takes no word of an earlier keeper) or has been asked for some time in vain.
A decision is told to a site once a majority of the voters have it on their disks: no change without its line
in the history.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.health import HealthAggregator
from onyxhollow.addresses.messages import (
    DecisionRecord,
    HealthReport,
    Message,
    Override,
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
from onyxhollow.addresses.rules import (
    LAST,
    NONE,
    ActiveOverrides,
    DecisionRound,
    Preference,
    RouteChange,
    RouteState,
    SuppressedChange,
    apply,
    decide,
)

UNKNOWN = "unknown"  # for operators: the site has not told this keeper what stands there
AGAIN = 2  # words to a voter without an answer until a row is sent again
WHY = 220  # bytes of a reason, and of the evidence, in a decision


@dataclass(slots=True)
class PendingRecord:
    """A row on its way to the voters' disks."""

    record: StoredRecord
    change: RouteChange | None
    stored_by: set[str] = field(default_factory=set)
    sent: int = 0


class Controller:
    def __init__(
        self, told: AddressesFile, voters: tuple[str, ...], term: int, now: float, wall: float
    ) -> None:
        self.config, self.policy, self.voters, self.term = told, told.policy, voters, term
        self.capacity = {site.name: site.capacity for site in told.sites}
        self.routes = {
            (service.name, site.name): RouteState(service.name, site.name, capacity=site.capacity)
            for service in told.services
            for site in told.sites
        }
        self.health = HealthAggregator(told.policy.max_evidence_age)
        self.overrides = OverrideLog()
        self.synchronized_voters: set[str] = set()
        self.received_ids: dict[str, set[str]] = {}  # ids of the orders that a voter has told
        self.answered_at: dict[str, float] = {}  # site: when its announcer last answered under this term
        self.newest_report: dict[
            str, tuple[int, int]
        ] = {}  # site: announcer's term, and the grant it last answered
        self.reported_routes: set[tuple[str, str]] = set()  # cells that it has answered for
        self.assigned_in: dict[
            tuple[str, str], int
        ] = {}  # number of the grant that told a cell's last decision
        self.pending: dict[str, PendingRecord] = {}
        self.outbox: list[tuple[str, Message]] = []  # ("site NAME" or "voter NAME", message)
        self.suppressed: list[SuppressedChange] = []
        self.counts: Counter[str] = Counter()
        self.committed: list[
            DecisionRecord
        ] = []  # carried by a majority's disks, for the log and the history
        self.last_number = 0
        self.started_at, self.next_due = now, now
        self.wall_time = wall
        self.guard_ready: dict[str, bool] = {}

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def ready(self, now: float) -> bool:
        """Whether it knows enough to decide."""
        if len(self.synchronized_voters) < self.majority:
            return False
        waited = now - self.started_at >= max(2.0, 4 * self.config.interval)
        return waited or all(site.name in self.answered_at for site in self.config.sites)

    # heard

    def on_message(self, message: Message, sender: str, now: float, wall: float) -> None:
        """sender: the member's name."""
        if isinstance(message, HealthReport):
            if message.site in self.capacity:
                self.health.record(sender, message, now)
        elif isinstance(message, SiteReport):
            self.on_site_report(message, now)
        elif isinstance(message, OverrideResponse) and message.voter in self.voters:
            for order in message.orders:
                self.overrides.add(order, now, wall)
            had = self.received_ids.setdefault(message.voter, set())
            had |= {order.id for order in message.orders}
            if message.digest == self.overrides.digest or len(had) >= message.count:
                self.synchronized_voters.add(message.voter)
        elif isinstance(message, StoreAcknowledgement) and message.voter in self.voters:
            for name in message.ids:
                if (row := self.pending.get(name)) is not None:
                    row.stored_by.add(message.voter)
                    if len(row.stored_by) >= self.majority:
                        self.on_committed(self.pending.pop(name), now)

    def on_site_report(self, message: SiteReport, now: float) -> None:
        """What stands at a site is what its announcer says: taken over at its first word under this term."""
        if message.site not in self.capacity or message.controller_term != self.term:
            return
        if (message.announcer_term, message.assignment_number) < self.newest_report.get(message.site, (0, 0)):
            return  # it comes late
        self.newest_report[message.site] = message.announcer_term, message.assignment_number
        self.answered_at[message.site] = now
        self.guard_ready[message.site] = message.guard_ready
        for row in message.rows:
            cell = self.routes.get((row.address, message.site))
            if cell is None:
                continue
            # A site that was out of reach may have done something by itself; but what it said before it heard
            # of the last decision is old, unless it has not heard of it for long.
            heard = (
                message.assignment_number >= self.assigned_in.get(cell.key, 0)
                or now - cell.since > self.policy.max_evidence_age
            )
            if cell.key not in self.reported_routes or not cell.reachable and heard:
                self.reported_routes.add(cell.key)
                cell.preference, cell.cause = Preference(row.preference), row.cause
                cell.since, cell.flaps, cell.flaps_at = now - row.age, row.flaps, now
            cell.installed = row.installed and row.preference == cell.preference

    def order(self, order: Override, now: float, wall: float) -> None:
        """Told by a member that has taken it; it counts once a majority has it."""
        if (
            order.id not in self.overrides.overrides
            and order.id not in self.pending
            and len(self.pending) < 1024
        ):
            self.pending[order.id] = PendingRecord(order, None)

    def on_committed(self, row: PendingRecord, now: float) -> None:
        if isinstance(row.record, Override):
            self.overrides.add(row.record, now, self.wall_time)
            return
        self.committed.append(row.record)
        assert row.change is not None
        cell = self.routes[row.change.address, row.change.site]
        apply(self.policy, cell, row.change, now)
        self.assign(cell.site, now)
        self.assigned_in[cell.key] = self.last_number

    # time passes

    def tick(self, now: float, wall: float) -> None:
        self.next_due, self.wall_time = now + self.config.interval, wall
        self.overrides.compact(now)
        for voter in self.voters:
            self.outbox.append((f"voter {voter}", OverrideQuery(self.overrides.digest)))
        for (address, site), cell in self.routes.items():
            judged = self.health.assess(site, address, now)
            cell.load, cell.arrival_rate = judged.load, judged.arrival_rate
            answers = now - self.answered_at.get(site, -math.inf) <= self.policy.max_evidence_age
            cell.reachable = (
                answers and self.guard_ready.get(site, False) and cell.key in self.reported_routes
            )
            cell.observe(judged.health, judged.reason, self.policy, now)
            if answers and not cell.reachable:
                cell.health_reason = f"its gate has no speaker; {cell.health_reason}"
        if self.ready(now):
            self.decide(now, wall)
        for site in self.capacity:
            self.assign(site, now)
        self.send_store_requests()

    def active_overrides(self, now: float) -> dict[tuple[str, str], ActiveOverrides]:
        return self.overrides.active({a for a, _ in self.routes}, self.capacity, now)

    def decide(self, now: float, wall: float) -> None:
        if any(row.change for row in self.pending.values()):
            return  # the next is decided knowing that these stand
        decisions, self.suppressed = decide(
            self.policy, self.routes.values(), self.active_overrides(now), now
        )
        for stay in self.suppressed:
            self.counts[f"stays: {stay.rule}"] += 1
        for one in decisions:
            self.last_number += 1
            self.counts[f"decided: {one.preference.label}"] += 1
            row = DecisionRecord(
                self.term,
                self.last_number,
                wall,
                one.address,
                one.site,
                int(one.preference),
                one.cause,
                truncate_utf8(one.reason, WHY),
                truncate_utf8(one.evidence, WHY),
            )
            self.pending[record_id(row)] = PendingRecord(row, one)

    def view(self, now: float) -> dict[str, Any]:
        """For operators: everything that it goes by."""
        stays = {(stay.address, stay.site): stay for stay in self.suppressed}
        orders = self.active_overrides(now)
        rows = []
        for key, cell in sorted(self.routes.items()):
            stay, order = stays.get(key), orders.get(key, NONE)
            # A keeper that has just begun may never hear from a site whose members are all gone: what stands
            # there is not known, which is not the same as withdrawn.
            standing = cell.preference.label if key in self.reported_routes else UNKNOWN
            rows.append(
                {
                    "address": cell.address,
                    "site": cell.site,
                    "standing": standing,
                    "cause": cell.cause,
                    "for": round(max(0.0, min(1e9, now - cell.since)), 1),
                    "reached": cell.reachable,
                    "carried": cell.installed,
                    "health": None if cell.health is None else round(cell.health, 3),
                    "evidence": cell.health_reason,
                    "load": cell.load,
                    "coming": round(cell.arrival_rate, 2),
                    "capacity": cell.capacity,
                    "flaps": round(cell.flap_penalty(self.policy, now), 2),
                    "stays": f"{stay.rule}: {stay.reason}" if stay else "",
                    "last": self.is_last(cell, now),
                    "drain": order.drain,
                    "pin": order.pin,
                    "exclude": order.exclude,
                }
            )
        return {
            "term": self.term,
            "ready": self.ready(now),
            "rows": rows,
            "counts": dict(self.counts),
            "waiting": len(self.pending),
        }

    def plan(self, order: Override, now: float, wall: float) -> dict[str, Any]:
        """What an order would bring, now and once sessions have moved; nothing is changed."""
        book = OverrideLog()
        for row in [*self.overrides.overrides.values(), order]:
            book.add(row, now, wall)
        found = book.active({a for a, _ in self.routes}, self.capacity, now)
        cells = [replace(cell) for cell in self.routes.values()]
        decisions, stays = decide(self.policy, cells, found, now)
        anyhow = decide(self.policy, cells, self.active_overrides(now), now)[0]
        before = {(one.address, one.site): one.preference for one in anyhow}
        rows = []
        for one in decisions:
            if before.get((one.address, one.site)) is one.preference:
                continue  # that comes anyhow
            cell = self.routes[one.address, one.site]
            to = DecisionRound(self.policy, cells, found, now).usable_advertisers(cell)
            rows.append(
                {
                    "address": one.address,
                    "site": one.site,
                    "standing": one.preference.label,
                    "why": one.reason,
                    "load": cell.load,
                    "goes_to": {row.site: round(cell.load / len(to), 1) for row in to}
                    if one.preference is not Preference.ADVERTISED
                    else {},
                }
            )
        hindered = [
            {"address": stay.address, "site": stay.site, "why": f"{stay.rule}: {stay.reason}"}
            for stay in stays
            if stay.site == order.site
        ]
        return {"would": rows, "hindered": hindered, "term": self.term}

    def is_last(self, cell: RouteState, now: float) -> bool:
        """Whether its site must not withdraw it by itself."""
        found = DecisionRound(self.policy, self.routes.values(), {}, now).obstacle(cell)
        return found is not None and found[0] == LAST

    def assign(self, site: str, now: float) -> None:
        """To a site that has not answered, or not lately, the keeper only says that it is there: what stands
        there is heard first."""
        known = now - self.answered_at.get(site, -math.inf) <= self.policy.max_evidence_age
        rows = (
            [
                RouteStatus(
                    cell.address,
                    int(cell.preference),
                    cell.cause,
                    max(0.0, min(1e9, now - cell.since)),
                    cell.flap_penalty(self.policy, now),
                    self.is_last(cell, now),
                )
                for (_, at), cell in self.routes.items()
                if at == site
            ]
            if known
            else []
        )
        for page in paginate(rows) if rows else [rows]:
            self.last_number += 1
            self.outbox.append((f"site {site}", RouteAssignment(self.term, self.last_number, site, page)))

    def send_store_requests(self) -> None:
        """What is not kept by a majority yet, to voters that have not said that they have it."""
        for voter in self.voters:
            rows = [
                row for row in self.pending.values() if voter not in row.stored_by and row.sent % AGAIN == 0
            ]
            for page in paginate(row.record for row in rows):
                self.outbox.append((f"voter {voter}", StoreRequest(page)))
        for row in self.pending.values():
            row.sent += 1
