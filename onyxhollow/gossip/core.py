"""Sharing: each server is kept by one member, with a deputy; what it knows goes from member to member.

Pure: told the time, who is there and what was heard; draws from the generator that it was given; leaves what
is to be sent (`out`), which servers are to be asked (`ask`) and what the module may be told (`news`) in lists
that its shell empties. Times are seconds on one clock; between members only ages travel.

Who keeps a server is settled by rendezvous hashing (Thaler, Ravishankar, 1998) over the members that are
seen, those of its zone first: no duty with a lease, since two keepers of one server cost a few questions and
break nothing. Members tell a keeper and its deputy their own connections and failures; the keeper asks the
server for its load and puts a row together; rows spread by push gossip (Demers et al., 1987): newest and
least told first, a bounded number of datagrams a second whatever the fleet's size.

What is heard is evidence. A row counts if its member is one of the first few for that server; absurd figures
are dropped; one member's count is cut to what others make likely; now and then a member asks a server itself,
and where the row is far off it takes nothing of that keeper's for that server for a while.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

import xxhash

from onyxhollow.gossip.messages import COUNT_BYTES, ROOM, ROW_BYTES, Counts, Page, Row

KEEPERS, LISTENED = 2, 3  # members told of a server's counts; members whose rows of it count
OLDEST = 15.0  # seconds past which what is told is passed over
MOST_LOAD, MOST_HELD, MOST_OWN = 20_000, 10_000_000, 100_000  # a row past these is absurd
MOST_SERVERS = 4096
ROLES_EVERY = 0.5  # seconds between workings-out of who keeps what
LIKELY, LIKELY_MORE = 8.0, 8.0  # times the others' mean, and more, past which a member's count is cut
FAR_OFF, FAR_OFF_PART = 0.25, 0.3  # load, and part of it, by which a row may differ from what is seen
DOUBT_FOR = 30.0  # seconds for which a keeper that was far off is passed over, for that server
FEW = 4  # connections under which a load says nothing of what each brings
MOVED_PART, MOVED = 0.15, 2.0  # part of the connections, and more, by which a change asks for a report
HOT = 550  # load from which a server is asked with each row
TROUBLE_KEPT = 5.0  # seconds for which a failure counts
RUSH, RUSH_LEAST, RUSH_SPAN = 0.15, 2, 4.0  # a rush: so much of the own connections came within the span
DOUBT_A_MEMBER, DOUBT_MOST = 0.5, 1.5  # distrust for each member that failed there; under what bars a server


@dataclass(frozen=True, slots=True)
class GossipConfig:
    every: float = 0.25  # seconds from telling to telling
    fan: int = 2  # members told each time
    report: float = 6.0  # seconds from question to question to a kept server
    renew: float = 1.0  # seconds from row to row of a kept server
    refresh: float = 5.0  # seconds after which counts are told again that have not changed
    audit: float = 30.0  # seconds in which each server is asked once by one that does not keep it


@dataclass(slots=True)
class Known:
    """A row as it is held here."""

    row: Row
    at: float  # when it was put together, on this clock
    load_at: float
    told: int = 0


@dataclass(frozen=True, slots=True)
class News:
    """For the module: load None where no report is known."""

    server: str
    load: float | None
    age: float  # of the report
    held: int
    held_age: float
    doubt: float


@dataclass(slots=True)
class Kept:
    """A server that this member keeps, or is deputy of."""

    rank: int
    ask_at: float
    row_at: float
    first_at: float  # of its first row
    told: bool = False  # a report has come since the last row
    load: int = -1
    load_at: float = -math.inf
    asked_at: float = -math.inf
    held: int = 0  # connections of all when that load was reported

    def carried(self, held: int) -> int:
        """The report, carried on by the connections that came or went since, at what each loads there."""
        more = (held - self.held) * self.load / self.held if self.held >= FEW and self.load >= 0 else 0.0
        return max(min(self.load, 0), min(MOST_LOAD, round(self.load + more)))


class LoadGossip:
    def __init__(
        self, name: str, epoch: int, zone: str, terms: GossipConfig, rng: Random, now: float
    ) -> None:
        self.name, self.epoch, self.zone, self.terms, self.rng = name, epoch, zone, terms, rng
        self.out: list[tuple[int, Page | Counts]] = []  # to a member, by epoch
        self.ask: list[str] = []
        self.news: list[News] = []
        self.counts: Counter[str] = Counter()
        self.members: dict[int, tuple[str, str]] = {}  # the others, by epoch: name and zone
        self.servers: dict[str, str] = {}  # in service: zone
        self.ranked: dict[str, tuple[int, ...]] = {}  # epochs of those listened to, the keeper first
        self.kept: dict[str, Kept] = {}
        self.table: dict[str, Known] = {}
        self.heard_of: dict[str, dict[int, tuple[int, int, int, float]]] = {}  # by server and member
        self.own_told: dict[str, tuple[int, int, tuple[int, ...]]] = {}
        self.failures: dict[str, list[float]] = {}
        self.before: Mapping[str, int] = {}  # own connections at the last turn
        self.came: deque[tuple[float, int]] = deque()  # when, and how many more than at the turn before
        self.rush = False
        self.doubted: dict[tuple[str, int], float] = {}  # until when
        self.audits: dict[str, float] = {}  # asked by this member to compare, since when
        self.off: dict[tuple[str, int], float] = {}  # far off once: when to look again
        self.number = 0
        self.stale = True
        self.roles_at = now
        self.due = now + rng.random() * terms.every
        self.refresh_at = now + rng.random() * terms.refresh
        self.audit_at = now + rng.random() * terms.audit

    # told by the shell

    def meet(self, members: Iterable[tuple[int, str, str]]) -> None:
        """Who is there beside this member: epoch, name, zone. All at once, as often as it changes."""
        self.members = {epoch: (name, zone) for epoch, name, zone in members if epoch != self.epoch}
        self.stale = True

    def listed(self, servers: Mapping[str, str]) -> None:
        """The servers in service, with their zones."""
        if servers.keys() != self.servers.keys():
            self.servers = dict(list(servers.items())[:MOST_SERVERS])
            self.stale = True
            gone = self.table.keys() - self.servers.keys()
            for name in gone:
                del self.table[name]
                self.failures.pop(name, None)

    def failed(self, server: str, now: float) -> None:
        """A dial or a question of this member's has failed there."""
        kept = [at for at in self.failures.get(server, []) if now - at < TROUBLE_KEPT]
        if server in self.servers:
            self.failures[server] = [*kept, now][-8:]

    def asked(self, server: str, load: float | None, now: float) -> None:
        """What a server has answered to this member's own question; None: nothing."""
        if load is None:
            self.failed(server, now)
        if (kept := self.kept.get(server)) is not None:
            kept.load = -1 if load is None else min(MOST_LOAD, max(0, round(load * 1000)))
            kept.load_at = now if load is not None else kept.load_at
            kept.told = kept.told or load is not None
            if now >= kept.first_at and (kept.rank == 0 or load is None):
                kept.row_at = now
            kept.ask_at = now + self.terms.report * self.rng.uniform(0.9, 1.1)
            if load is None:  # asked again sooner: is it only this once?
                kept.ask_at = now + self.terms.renew * self.rng.uniform(0.9, 1.1)
        since = self.audits.pop(server, None)
        if since is not None and load is not None:
            self.compare(server, load, now)

    def compare(self, server: str, load: float, now: float) -> None:
        known = self.table.get(server)
        if known is None or known.row.load < 0 or now - known.load_at > 1.5 * self.terms.report:
            return
        told, key = known.row.load / 1000, (server, known.row.by)
        if abs(told - load) <= FAR_OFF + FAR_OFF_PART * max(told, load):
            self.off.pop(key, None)
        elif key not in self.off and len(self.off) < MOST_SERVERS:  # loads do jump: looked at once more
            self.off[key] = now + self.terms.report
        else:
            self.counts["rows far off what was seen"] += 1
            self.off.pop(key, None)
            self.doubted[key] = now + DOUBT_FOR
            del self.table[server]

    def heard(self, epoch: int, message: Page | Counts, now: float) -> None:
        if isinstance(message, Counts):
            self.take_counts(epoch, message, now)
            return
        for row in message.rows:
            self.take_row(row, now)

    # counts

    def take_counts(self, epoch: int, message: Counts, now: float) -> None:
        if epoch not in self.members:
            self.counts["counts of one who is not there"] += 1
            return
        for server, own, failures in message.rows:
            absurd = not 0 <= own <= MOST_OWN or not 0 <= failures <= MOST_OWN
            if absurd or len(self.heard_of) >= MOST_SERVERS:
                self.counts["counts absurd, or of too many servers"] += 1
                continue
            by = self.heard_of.setdefault(server, {})  # it may not know yet that it keeps it
            if epoch not in by or by[epoch][2] < message.number:
                by[epoch] = own, failures, message.number, now

    def held(self, server: str, own: int, now: float) -> tuple[int, int]:
        """Connections of all in sum, a member's cut to what the others make likely; members that failed
        there."""
        by, last = self.heard_of.get(server, {}), now - 3 * self.terms.refresh
        for epoch in [e for e, told in by.items() if told[3] < last or e not in self.members]:
            del by[epoch]
        sizes = [told[0] for told in by.values()]
        total, doubters = own, sum(told[1] > 0 for told in by.values())
        for size in sizes:
            others = (sum(sizes) - size) / max(1, len(sizes) - 1)
            if len(sizes) > 2 and size > LIKELY * others + LIKELY_MORE:
                self.counts["counts cut to what is likely"] += 1
                size = round(LIKELY * others + LIKELY_MORE)
            total += size
        return total, doubters + bool(self.trouble(server, now))

    def trouble(self, server: str, now: float) -> int:
        return sum(now - at < TROUBLE_KEPT for at in self.failures.get(server, ()))

    # rows

    def take_row(self, row: Row, now: float) -> None:
        ranked = self.ranked.get(row.server)
        if ranked is None or row.by not in ranked:
            self.counts["rows of none that keeps the server"] += 1
            return
        if row.by == self.epoch:
            return
        sane = (
            0 <= row.age <= OLDEST * 1000
            and -1 <= row.load <= MOST_LOAD
            and row.load_age >= 0
            and 0 <= row.held <= MOST_HELD
            and row.doubters >= 0
        )
        if not sane:
            self.counts["rows absurd or old"] += 1
            return
        if self.doubted.get((row.server, row.by), -math.inf) > now:
            return
        known, at = self.table.get(row.server), now - row.age / 1000
        if known is not None:
            recent = now - known.at < 4 * self.terms.renew  # for longer no forged number keeps true ones out
            if known.row.by == row.by and row.number <= known.row.number and recent:
                return
            if known.row.by != row.by and at <= known.at + self.terms.every:
                return
        self.put(row, at, now)

    def put(self, row: Row, at: float, now: float) -> None:
        known = self.table[row.server] = Known(row, at, at - row.load_age / 1000)
        if not self.rush:
            self.tell(known, now)

    def tell(self, known: Known, now: float) -> None:
        """To the module; in a rush as old news, by which nothing is decided."""
        row, old = known.row, OLDEST if self.rush else 0.0
        load = row.load / 1000 if row.load >= 0 else None
        doubt = min(DOUBT_MOST, DOUBT_A_MEMBER * row.doubters) if row.doubters >= 2 else 0.0
        load_age, held_age = now - known.load_at + old, now - known.at + old
        self.news.append(News(row.server, load, load_age, row.held, held_age, doubt))

    def report(self, server: str, now: float) -> tuple[float, float] | None:
        """Load and its age, where it is known well enough to do without a question of one's own."""
        known = self.table.get(server)
        if self.rush or known is None or known.row.load < 0 or now - known.at > 4 * self.terms.renew:
            return None
        age = now - known.load_at
        return (known.row.load / 1000, age) if age <= 1.5 * self.terms.report else None

    # time passes

    def count_rush(self, own: Mapping[str, int], now: float) -> None:
        """Where many come at once all members would choose by the same rows, a second or two old, and counts
        of members that have just died are still among them: each goes by its own eyes then, as alone."""
        more = sum(max(0, count - self.before.get(server, 0)) for server, count in own.items())
        self.came.append((now, more if self.before else 0))
        while now - self.came[0][0] > RUSH_SPAN:
            self.came.popleft()
        self.before = dict(own)
        rush = sum(count for _, count in self.came) > RUSH_LEAST + RUSH * sum(own.values())
        if rush is not self.rush:
            self.rush = rush
            self.counts["rushes"] += rush
            for known in self.table.values():
                self.tell(known, now)

    def tick(self, own: Mapping[str, int], now: float) -> None:
        """own: this member's open connections, by server."""
        self.due = now + self.terms.every
        self.count_rush(own, now)
        if self.stale and now >= self.roles_at:
            self.roles(now)
        self.keep(own, now)
        self.tell_counts(own, now)
        self.gossip(now)
        if now >= self.audit_at:
            self.audit(now)
        for server, _ in [key for key, again in self.off.items() if again <= now]:
            self.look(server, now)

    def roles(self, now: float) -> None:
        """Who keeps what: a thousand members and servers are a third of a second, so not at each word."""
        self.stale, self.roles_at = False, now + ROLES_EVERY
        zones: dict[str, list[tuple[int, str]]] = {}
        everybody = [(self.epoch, self.name), *((e, name) for e, (name, _) in self.members.items())]
        zones.setdefault(self.zone, []).append((self.epoch, self.name))
        for epoch, (name, zone) in self.members.items():
            zones.setdefault(zone, []).append((epoch, name))
        before, self.kept, self.ranked = self.kept, {}, {}
        for server, zone in self.servers.items():
            near = zones.get(zone, ())
            able = near if len(near) >= KEEPERS else everybody
            best = heapq.nlargest(
                LISTENED, able, key=lambda one: xxhash.xxh3_64_intdigest(f"{server}\0{one[1]}")
            )
            ranked = self.ranked[server] = tuple(epoch for epoch, _ in best)
            if self.epoch in ranked[:KEEPERS]:
                rank = ranked.index(self.epoch)
                kept = before.get(server)
                if kept is None:
                    # Its first row waits for the others' counts: a sum of a few looks like an empty server.
                    first = now + 2 * self.terms.renew
                    kept = Kept(rank, now + self.rng.random() * self.terms.renew, first, first)
                elif kept.rank != rank:
                    kept.rank, kept.ask_at = rank, now + self.rng.random() * self.terms.renew
                self.kept[server] = kept
        self.heard_of = {server: by for server, by in self.heard_of.items() if server in self.kept}

    def keep(self, own: Mapping[str, int], now: float) -> None:
        for server, kept in self.kept.items():
            if kept.rank:  # a deputy: only while the keeper is silent, or to see for itself what fails there
                known = self.table.get(server)
                silent = known is None or known.row.by != self.epoch and now - known.at > 3 * self.terms.renew
                mine = known is not None and known.row.by == self.epoch
                doubtful = known is not None and known.row.load < 0
                if not (silent or mine or doubtful):
                    kept.ask_at = max(kept.ask_at, now + self.terms.renew * self.rng.random())
                    continue
            due, held, doubters = now >= kept.row_at, 0, 0
            if due:
                held, doubters = self.held(server, own.get(server, 0), now)
                moved = abs(held - kept.held) > MOVED_PART * kept.held + MOVED
                if moved or kept.load >= HOT:  # in trouble reports are worth more
                    kept.ask_at = min(kept.ask_at, kept.asked_at + self.terms.renew)
            if now >= kept.ask_at and now - kept.asked_at >= self.terms.renew * 0.9:
                kept.asked_at = now
                self.ask.append(server)
            if due:
                kept.row_at = now + self.terms.renew
                if kept.told:
                    kept.held, kept.told = held, False
                self.number += 1
                fresh = now - kept.load_at <= OLDEST
                load_age = round(1000 * (now - kept.load_at)) if fresh else 0
                row = Row(
                    server,
                    self.epoch,
                    self.number,
                    0,
                    kept.carried(held) if fresh else -1,
                    load_age,
                    held,
                    doubters,
                )
                self.put(row, now, now)

    def tell_counts(self, own: Mapping[str, int], now: float) -> None:
        again = now >= self.refresh_at
        if again:
            self.refresh_at = now + self.terms.refresh
        to: dict[int, list[tuple[str, int, int]]] = {}
        for server in {*own, *self.own_told, *self.failures}:
            keepers = self.ranked.get(server, ())[:KEEPERS]
            count, failures = own.get(server, 0), self.trouble(server, now)
            if not failures:
                self.failures.pop(server, None)
            told = count, failures, keepers
            if told == self.own_told.get(server) and not again:
                continue
            for keeper in keepers:
                if keeper != self.epoch:
                    to.setdefault(keeper, []).append((server, count, failures))
            if count or failures:
                self.own_told[server] = told
            else:
                self.own_told.pop(server, None)
        for keeper, rows in to.items():
            self.number += 1
            room = ROOM
            page: list[tuple[str, int, int]] = []
            for row in rows:
                room -= len(row[0].encode()) + COUNT_BYTES
                if room < 0:
                    break  # a keeper of so many servers at once is told the rest with the next refreshing
                page.append(row)
            self.out.append((keeper, Counts(self.number, page)))

    def gossip(self, now: float) -> None:
        if not self.members or not self.table:
            return
        most = 2 + math.ceil(math.log2(len(self.members) + 1))
        fresh = [known for known in self.table.values() if known.told < most and now - known.at < OLDEST]
        if not fresh:
            return
        fresh.sort(key=lambda known: (known.told, -known.at))
        rows, room = [], ROOM
        for known in fresh:
            row = known.row
            room -= len(row.server.encode()) + ROW_BYTES
            if room < 0:
                break
            known.told += self.terms.fan
            age = round(1000 * (now - known.at))
            rows.append(
                Row(row.server, row.by, row.number, age, row.load, row.load_age, row.held, row.doubters)
            )
        page = Page(rows)
        epochs = list(self.members)
        for epoch in self.rng.sample(epochs, min(self.terms.fan, len(epochs))):
            self.out.append((epoch, page))

    def audit(self, now: float) -> None:
        """One that keeps it not asks a server all the same: each is looked at so about once in `audit`."""
        fleet = 1 + len(self.members)
        span = self.terms.audit * fleet / max(1, len(self.servers))
        self.audit_at = now + span * self.rng.uniform(0.5, 1.5)
        self.doubted = {key: until for key, until in self.doubted.items() if until > now}
        self.audits = {server: at for server, at in self.audits.items() if now - at < OLDEST}
        self.off = {key: again for key, again in self.off.items() if now - again < OLDEST}
        others = [server for server in self.table if server not in self.kept]
        if others:
            self.look(self.rng.choice(others), now)

    def look(self, server: str, now: float) -> None:
        if now - self.audits.get(server, -math.inf) >= self.terms.report / 2:
            self.audits[server] = now
            self.ask.append(server)
