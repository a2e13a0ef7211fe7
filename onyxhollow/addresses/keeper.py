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
from onyxhollow.addresses.health import Witnesses
from onyxhollow.addresses.messages import (
    Decided,
    Evidence,
    Grant,
    Have,
    Keep,
    Kept,
    Message,
    Order,
    Report,
    Row,
    Want,
    Written,
    mark,
    pages,
    short,
)
from onyxhollow.addresses.orders import Book
from onyxhollow.addresses.rules import (
    LAST,
    NONE,
    Cell,
    Decision,
    Orders,
    Round,
    Standing,
    Stays,
    apply,
    decide,
)

UNKNOWN = "unknown"  # for operators: the site has not told this keeper what stands there
AGAIN = 2  # words to a voter without an answer until a row is sent again
WHY = 220  # bytes of a reason, and of the evidence, in a decision


@dataclass(slots=True)
class Waiting:
    """A row on its way to the voters' disks."""

    row: Written
    decision: Decision | None
    kept_by: set[str] = field(default_factory=set)
    sent: int = 0


class Keeper:
    def __init__(
        self, told: AddressesFile, voters: tuple[str, ...], term: int, now: float, wall: float
    ) -> None:
        self.told, self.policy, self.voters, self.term = told, told.policy, voters, term
        self.capacity = {site.name: site.capacity for site in told.site}
        self.cells = {
            (service.name, site.name): Cell(service.name, site.name, capacity=site.capacity)
            for service in told.service
            for site in told.site
        }
        self.witnesses = Witnesses(told.policy.fresh)
        self.book = Book()
        self.heard_voters: set[str] = set()
        self.had: dict[str, set[str]] = {}  # ids of the orders that a voter has told
        self.answered: dict[str, float] = {}  # site: when its announcer last answered under this term
        self.newest: dict[str, tuple[int, int]] = {}  # site: announcer's term, and the grant it last answered
        self.told_of: set[tuple[str, str]] = set()  # cells that it has answered for
        self.granted: dict[tuple[str, str], int] = {}  # number of the grant that told a cell's last decision
        self.waiting: dict[str, Waiting] = {}
        self.out: list[tuple[str, Message]] = []  # ("site NAME" or "voter NAME", message)
        self.stays: list[Stays] = []
        self.counts: Counter[str] = Counter()
        self.log: list[Decided] = []  # carried by a majority's disks, for the log and the history
        self.number = 0
        self.began, self.due = now, now
        self.wall = wall
        self.gates: dict[str, bool] = {}

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def ready(self, now: float) -> bool:
        """Whether it knows enough to decide."""
        if len(self.heard_voters) < self.majority:
            return False
        waited = now - self.began >= max(2.0, 4 * self.told.every)
        return waited or all(site.name in self.answered for site in self.told.site)

    # heard

    def heard(self, message: Message, sender: str, now: float, wall: float) -> None:
        """sender: the member's name."""
        if isinstance(message, Evidence):
            if message.site in self.capacity:
                self.witnesses.take(sender, message, now)
        elif isinstance(message, Report):
            self.reported(message, now)
        elif isinstance(message, Have) and message.voter in self.voters:
            for order in message.orders:
                self.book.add(order, now, wall)
            had = self.had.setdefault(message.voter, set())
            had |= {order.id for order in message.orders}
            if message.known == self.book.digest or len(had) >= message.count:
                self.heard_voters.add(message.voter)
        elif isinstance(message, Kept) and message.voter in self.voters:
            for name in message.ids:
                if (row := self.waiting.get(name)) is not None:
                    row.kept_by.add(message.voter)
                    if len(row.kept_by) >= self.majority:
                        self.kept(self.waiting.pop(name), now)

    def reported(self, message: Report, now: float) -> None:
        """What stands at a site is what its announcer says: taken over at its first word under this term."""
        if message.site not in self.capacity or message.term != self.term:
            return
        if (message.announcer, message.number) < self.newest.get(message.site, (0, 0)):
            return  # it comes late
        self.newest[message.site] = message.announcer, message.number
        self.answered[message.site] = now
        self.gates[message.site] = message.gate
        for row in message.rows:
            cell = self.cells.get((row.address, message.site))
            if cell is None:
                continue
            # A site that was out of reach may have done something by itself; but what it said before it heard
            # of the last decision is old, unless it has not heard of it for long.
            heard = message.number >= self.granted.get(cell.key, 0) or now - cell.since > self.policy.fresh
            if cell.key not in self.told_of or not cell.reached and heard:
                self.told_of.add(cell.key)
                cell.standing, cell.cause = Standing(row.standing), row.cause
                cell.since, cell.flaps, cell.flaps_at = now - row.age, row.flaps, now
            cell.carried = row.carried_out and row.standing == cell.standing

    def order(self, order: Order, now: float, wall: float) -> None:
        """Told by a member that has taken it; it counts once a majority has it."""
        if order.id not in self.book.rows and order.id not in self.waiting and len(self.waiting) < 1024:
            self.waiting[order.id] = Waiting(order, None)

    def kept(self, row: Waiting, now: float) -> None:
        if isinstance(row.row, Order):
            self.book.add(row.row, now, self.wall)
            return
        self.log.append(row.row)
        assert row.decision is not None
        cell = self.cells[row.decision.address, row.decision.site]
        apply(self.policy, cell, row.decision, now)
        self.grant(cell.site, now)
        self.granted[cell.key] = self.number

    # time passes

    def tick(self, now: float, wall: float) -> None:
        self.due, self.wall = now + self.told.every, wall
        self.book.tidy(now)
        for voter in self.voters:
            self.out.append((f"voter {voter}", Want(self.book.digest)))
        for (address, site), cell in self.cells.items():
            judged = self.witnesses.judge(site, address, now)
            cell.load, cell.coming = judged.load, judged.coming
            answers = now - self.answered.get(site, -math.inf) <= self.policy.fresh
            cell.reached = answers and self.gates.get(site, False) and cell.key in self.told_of
            cell.observe(judged.health, judged.reason, self.policy, now)
            if answers and not cell.reached:
                cell.reason = f"its gate has no speaker; {cell.reason}"
        if self.ready(now):
            self.decide(now, wall)
        for site in self.capacity:
            self.grant(site, now)
        self.send()

    def orders(self, now: float) -> dict[tuple[str, str], Orders]:
        return self.book.in_force({a for a, _ in self.cells}, self.capacity, now)

    def decide(self, now: float, wall: float) -> None:
        if any(row.decision for row in self.waiting.values()):
            return  # the next is decided knowing that these stand
        decisions, self.stays = decide(self.policy, self.cells.values(), self.orders(now), now)
        for stay in self.stays:
            self.counts[f"stays: {stay.rule}"] += 1
        for one in decisions:
            self.number += 1
            self.counts[f"decided: {one.standing.name.lower()}"] += 1
            row = Decided(
                self.term,
                self.number,
                wall,
                one.address,
                one.site,
                int(one.standing),
                one.cause,
                short(one.why, WHY),
                short(one.evidence, WHY),
            )
            self.waiting[mark(row)] = Waiting(row, one)

    def view(self, now: float) -> dict[str, Any]:
        """For operators: everything that it goes by."""
        stays = {(stay.address, stay.site): stay for stay in self.stays}
        orders = self.orders(now)
        rows = []
        for key, cell in sorted(self.cells.items()):
            stay, order = stays.get(key), orders.get(key, NONE)
            # A keeper that has just begun may never hear from a site whose members are all gone: what stands
            # there is not known, which is not the same as withdrawn.
            standing = cell.standing.name.lower() if key in self.told_of else UNKNOWN
            rows.append(
                {
                    "address": cell.address,
                    "site": cell.site,
                    "standing": standing,
                    "cause": cell.cause,
                    "for": round(max(0.0, min(1e9, now - cell.since)), 1),
                    "reached": cell.reached,
                    "carried": cell.carried,
                    "health": None if cell.health is None else round(cell.health, 3),
                    "evidence": cell.reason,
                    "load": cell.load,
                    "coming": round(cell.coming, 2),
                    "capacity": cell.capacity,
                    "flaps": round(cell.flapped(self.policy, now), 2),
                    "stays": f"{stay.rule}: {stay.why}" if stay else "",
                    "last": self.last(cell, now),
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
            "waiting": len(self.waiting),
        }

    def plan(self, order: Order, now: float, wall: float) -> dict[str, Any]:
        """What an order would bring, now and once sessions have moved; nothing is changed."""
        book = Book()
        for row in [*self.book.rows.values(), order]:
            book.add(row, now, wall)
        found = book.in_force({a for a, _ in self.cells}, self.capacity, now)
        cells = [replace(cell) for cell in self.cells.values()]
        decisions, stays = decide(self.policy, cells, found, now)
        anyhow = decide(self.policy, cells, self.orders(now), now)[0]
        before = {(one.address, one.site): one.standing for one in anyhow}
        rows = []
        for one in decisions:
            if before.get((one.address, one.site)) is one.standing:
                continue  # that comes anyhow
            cell = self.cells[one.address, one.site]
            to = Round(self.policy, cells, found, now).able(cell)
            rows.append(
                {
                    "address": one.address,
                    "site": one.site,
                    "standing": one.standing.name.lower(),
                    "why": one.why,
                    "load": cell.load,
                    "goes_to": {row.site: round(cell.load / len(to), 1) for row in to}
                    if one.standing is not Standing.ADVERTISED
                    else {},
                }
            )
        hindered = [
            {"address": stay.address, "site": stay.site, "why": f"{stay.rule}: {stay.why}"}
            for stay in stays
            if stay.site == order.site
        ]
        return {"would": rows, "hindered": hindered, "term": self.term}

    def last(self, cell: Cell, now: float) -> bool:
        """Whether its site must not withdraw it by itself."""
        found = Round(self.policy, self.cells.values(), {}, now).hindrance(cell)
        return found is not None and found[0] == LAST

    def grant(self, site: str, now: float) -> None:
        """To a site that has not answered, or not lately, the keeper only says that it is there: what stands
        there is heard first."""
        known = now - self.answered.get(site, -math.inf) <= self.policy.fresh
        rows = (
            [
                Row(
                    cell.address,
                    int(cell.standing),
                    cell.cause,
                    max(0.0, min(1e9, now - cell.since)),
                    cell.flapped(self.policy, now),
                    self.last(cell, now),
                )
                for (_, at), cell in self.cells.items()
                if at == site
            ]
            if known
            else []
        )
        for page in pages(rows) if rows else [rows]:
            self.number += 1
            self.out.append((f"site {site}", Grant(self.term, self.number, site, page)))

    def send(self) -> None:
        """What is not kept by a majority yet, to voters that have not said that they have it."""
        for voter in self.voters:
            rows = [
                row for row in self.waiting.values() if voter not in row.kept_by and row.sent % AGAIN == 0
            ]
            for page in pages(row.row for row in rows):
                self.out.append((f"voter {voter}", Keep(page)))
        for row in self.waiting.values():
            row.sent += 1
