"""Shared addresses on a member's loop: its evidence, its duties of keeper and announcer, its store.

The cores in onyxhollow.addresses decide; here are the datagrams, the calls to the site's gate, the disk, the
session of one's own, and operators' calls.
"""

from __future__ import annotations

import time
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, quote

import h11
import msgspec
import orjson

from onyxhollow.addresses.announcer import Announcer
from onyxhollow.addresses.file import AddressesFile, Site, read_address
from onyxhollow.addresses.health import Door
from onyxhollow.addresses.keeper import Keeper
from onyxhollow.addresses.messages import (
    MESSAGES,
    WRITTEN,
    Ask,
    Decided,
    Evidence,
    Grant,
    Have,
    Hello,
    Keep,
    Kept,
    Leave,
    Message,
    Order,
    Report,
    Seen,
    Told,
    Want,
    Written,
    encode,
    mark,
    pages,
)
from onyxhollow.addresses.orders import MOST as MOST_ORDERS
from onyxhollow.addresses.orders import VERBS, WORDS, Book
from onyxhollow.addresses.rules import Standing
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.counters import ACCEPTED, ENDS
from onyxhollow.fleet import clock
from onyxhollow.fleet.works import Caller
from onyxhollow.loop import Task
from onyxhollow.management.api import PLAIN, Answer
from onyxhollow.membership.swim import Member
from onyxhollow.policy import Pace
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.discovery_connection import DiscoveryConnection, DiscoveryStatusError
from onyxhollow.wire.endpoint_list import EndpointListError

if TYPE_CHECKING:
    from onyxhollow.fleet.node import Node

ADDRESSES = 4  # kind of what is carried
KEEPER = "addresses"
GATE_ANSWERS = 1.0  # seconds
LEAVING = 3.0  # seconds for which the announcer's word that connections go counts
GATE_TOLD = 1.0  # seconds from a member's word to its site's gate to the next
HELLO = 5.0  # seconds between the keeper's words to all
RECORDS_AGAIN = 0.5  # seconds until a store is asked for again that another process holds
HISTORY = 1000  # decisions that a voter keeps
COMPACT = 3000  # records past which the store is written anew
PART = 800  # bytes of an answer in one message
LONGEST_ANSWER = 1 << 22  # bytes, unpacked
MOST_ASKED = 64  # operators' questions that are out
LONGEST_ORDER = 30 * 86400.0  # seconds
JSON = "application/json"


def announcer_of(site: str) -> str:
    return f"announcer/{site}"


def never() -> bool:
    return False


class KeeperWork:
    """The duty of deciding for all sites."""

    def __init__(self, shared: Addresses) -> None:
        self.shared = shared
        self.core: Keeper | None = None
        self.still: Callable[[], bool] = lambda: False
        self.last_progress_at, self.superseded = shared.node.loop.now, False
        self.hello_at = 0.0

    def start(self, term: int, still: Callable[[], bool]) -> None:
        shared, now = self.shared, clock.now()
        self.last_progress_at, self.still, self.hello_at = shared.node.loop.now, still, now
        self.core = Keeper(shared.told, shared.node.voters.names, term, now, time.time())
        self.core.due = now

    def stop(self) -> None:
        self.core, self.still = None, lambda: False

    def tick(self, now: float) -> None:
        core = self.core
        if core is None or now < core.due:
            return
        if not self.still():
            return
        core.voters = self.shared.node.voters.names
        core.tick(now, time.time())
        if now >= self.hello_at:
            self.hello_at = now + HELLO
            hello = Hello(core.term, self.shared.node.process_id)
            self.shared.hello(hello)
            self.shared.node.membership.broadcast(ADDRESSES, encode(hello))
        self.send(core)

    def heard(self, message: Message, member: str, now: float) -> None:
        if (core := self.core) is None:
            return
        if isinstance(message, Have | Kept):
            self.last_progress_at = self.shared.node.loop.now
        core.heard(message, member, now, time.time())
        if core.out or core.log:
            self.send(core)

    def send(self, core: Keeper) -> None:
        """The clock is looked at before what is decided goes out."""
        out, core.out = core.out, []
        log, core.log = core.log, []
        for row in log:
            self.shared.node.log_event(
                "address",
                address=row.address,
                site=row.site,
                term=row.term,
                standing=Standing(row.standing).name.lower(),
                cause=row.cause,
                why=row.why,
                evidence=row.evidence,
            )
        for to, message in out:
            if not self.still():
                return
            kind, _, name = to.partition(" ")
            if kind == "voter":
                self.shared.to_name(name, message)
            elif name in core.answered and clock.now() - core.answered[name] <= core.policy.fresh:
                self.shared.to_who(self.shared.announcers.get(name, ""), message)
            else:  # news of who announces may have missed this member: all there hear
                self.shared.to_zone(name, message)


class AnnouncerWork(Caller):
    """The duty of telling a site's gate."""

    def __init__(self, shared: Addresses, site: Site) -> None:
        super().__init__()
        self.shared, self.site = shared, site
        self.core: Announcer | None = None
        self.last_progress_at, self.superseded = shared.node.loop.now, False
        self.address = read_address(site.gate, "gate")

    def start(self, term: int, still: Callable[[], bool]) -> None:
        self.running += 1
        self.last_progress_at, self.superseded = self.shared.node.loop.now, False
        self.core = Announcer(self.shared.told, self.site, term, clock.now())
        self.task = self.shared.node.loop.spawn(self.run(self.running, self.core, still))

    def stop(self) -> None:
        super().stop()
        self.core = None

    def run(self, this: int, core: Announcer, still: Callable[[], bool]) -> Generator[float, None, None]:
        node, every = self.shared.node, self.shared.told.every
        member = quote(node.process_id)
        while self.running == this:
            due = node.loop.now + every
            try:
                if not core.read or not core.speaker:
                    yield from self.act(this, core, f"/claim?term={core.term}&member={member}", still)
                for word in core.tick(clock.now()):
                    node.log_event("address alone", site=self.site.name, why=word)
                for row in core.due():
                    what = f"name={quote(row.name)}&as={int(row.wanted)}&keeper={core.keeper}"
                    target = f"/set?term={core.term}&number={core.call()}&{what}"
                    yield from self.act(this, core, target, still)
                last = quote(",".join(row.name for row in core.rows.values() if row.last))
                yield from self.act(this, core, f"/alive?term={core.term}&last={last}", still)
            except DiscoveryStatusError as error:
                self.hang_up()
                self.superseded = self.superseded or error.status == 409
            except (EndpointListError, OSError, h11.ProtocolError, ValueError, KeyError):
                if self.running == this:
                    self.hang_up()
            if self.running == this:
                self.report(core)
                for some in pages(core.left()):
                    self.shared.to_zone(self.site.name, Leave(self.site.name, some))
            while self.running == this and node.loop.now < due:
                yield due

    def report(self, core: Announcer) -> None:
        if (report := core.report(clock.now())) is not None and self.shared.keeper[1]:
            for rows in pages(report.rows):
                self.shared.to_who(self.shared.keeper[1], msgspec.structs.replace(report, rows=rows))

    def act(
        self, this: int, core: Announcer, target: str, still: Callable[[], bool]
    ) -> Generator[float, None, None]:
        loop = self.shared.node.loop
        until = loop.now + GATE_ANSWERS
        if self.caller is None or not self.caller.reusable:
            self.hang_up()
            self.caller = DiscoveryConnection(loop, self.address, self.pool, self.wake)
        caller = self.caller
        while caller.channel.connecting:
            if loop.now >= until or self.running != this:
                raise EndpointListError("not up")
            yield until
        if not still():  # the last thing before the act
            raise EndpointListError("the lease has ended")
        body = yield from caller.get(target, until, lambda: self.running != this, "POST")
        told = orjson.loads(body)
        table = {name: (int(row["wanted"]), row["told"]) for name, row in told["rows"].items()}
        core.stands(table, int(told["keeper"]), bool(told["speaker"]), clock.now())
        self.last_progress_at = loop.now

    def granted(self, grant: Grant, now: float) -> None:
        if self.core is not None:
            before = [row.wanted for row in self.core.rows.values()]
            self.core.granted(grant, now)
            self.report(self.core)
            if before != [row.wanted for row in self.core.rows.values()]:
                self.wake()


class Store:
    """What a voter keeps: orders and decisions, on its disk before it says so."""

    def __init__(self, folder: str) -> None:
        self.records = AppendLog(folder, "addresses")
        self.rows: dict[str, Written] = {}
        for body in self.records.rows:
            row = WRITTEN.decode(body)
            self.rows[mark(row)] = row

    def keep(self, rows: list[Written]) -> list[str]:
        """Names of those that are on the disk now."""
        fresh = [row for row in rows if mark(row) not in self.rows]
        if fresh:
            if len(self.records.rows) + len(fresh) > COMPACT:
                decided = [row for row in self.rows.values() if isinstance(row, Decided)][-HISTORY:]
                orders = [row for row in self.rows.values() if isinstance(row, Order)][-MOST_ORDERS:]
                kept: list[Written] = [*orders, *decided]
                self.rows = {mark(row): row for row in kept}
                self.records.rewrite([encode(row) for row in [*self.rows.values(), *fresh]])
            else:
                self.records.append(*(encode(row) for row in fresh))
            self.rows |= {mark(row): row for row in fresh}
        return [mark(row) for row in rows]

    def orders(self) -> list[Order]:
        return [row for row in self.rows.values() if isinstance(row, Order)]

    def decided(self) -> list[Decided]:
        return [row for row in self.rows.values() if isinstance(row, Decided)]


class Pending:
    """An order on its way: what the voters know is asked first, so that its number is above theirs."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self.heard: set[str] = set()
        self.numbered = False
        self.kept_by: set[str] = set()


class Addresses:
    def __init__(self, node: Node, told: AddressesFile) -> None:
        self.node, self.told = node, told
        self.site = next((site for site in told.site if site.name == node.zone), None)
        self.keeper: tuple[int, str] = (0, "")  # term and who, as last heard
        self.announcers: dict[str, str] = {}  # by site: who announces
        self.announcer_terms: dict[str, int] = {}
        self.keeper_work = KeeperWork(self)
        self.announcer_work = AnnouncerWork(self, self.site) if self.site else None
        self.doors = {service.name: Door() for service in told.service}
        self.store: Store | None = None
        self.store_at = clock.now()
        self.book = Book()
        self.pending: OrderedDict[str, Pending] = OrderedDict()
        self.done: deque[str] = deque(maxlen=256)
        self.asked: OrderedDict[str, dict[int, bytes]] = OrderedDict()
        self.answers: OrderedDict[str, bytes] = OrderedDict()
        self.local: list[Message] = []
        self.due = self.move_at = clock.now()
        self.leaving: dict[str, float] = {}  # addresses that an order has withdrawn here, and until when
        self.pace: Pace | None = None
        self.number = 0
        self.seen: list[Seen] = []
        if self.site:
            node.loop.spawn(self.tell_gate(self.site))
            if told.synthetic:
                node.loop.spawn(self.try_out())

    def duties(self) -> list[tuple[str, str | None, Any]]:
        rows: list[tuple[str, str | None, Any]] = [(KEEPER, None, self.keeper_work)]
        if self.announcer_work and self.site:
            rows.append((announcer_of(self.site.name), self.site.name, self.announcer_work))
        return rows

    # saying and hearing

    def to_who(self, who: str, message: Message) -> None:
        if who == self.node.process_id:
            self.local.append(message)
        elif member := self.node.find_member(who):
            self.node.membership.send_payload(member, ADDRESSES, encode(message))

    def to_name(self, name: str, message: Message) -> None:
        if name == self.node.name:
            self.local.append(message)
            return
        for member in list(self.node.membership.live_members()):
            if member.name == name:
                self.node.membership.send_payload(member, ADDRESSES, encode(message))

    def to_zone(self, zone: str, message: Message) -> None:
        if zone == self.node.zone:
            self.local.append(message)
        for member in list(self.node.membership.live_members()):
            if member.zone == zone:
                self.node.membership.send_payload(member, ADDRESSES, encode(message))

    def on_message(self, member: Member, body: bytes, now: float) -> None:
        try:
            message = MESSAGES.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.node.counts["addresses: rubbish"] += 1
            return
        self.take(message, member.name, f"{member.name}~{member.epoch}", now)

    def on_broadcast(self, body: bytes) -> None:
        try:
            message = MESSAGES.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.node.counts["addresses: rubbish"] += 1
            return
        if isinstance(message, Hello):
            self.hello(message)

    def hello(self, message: Hello) -> None:
        if message.term >= self.keeper[0]:
            self.keeper = message.term, message.who

    def take(self, message: Message, name: str, who: str, now: float) -> None:
        if isinstance(message, Grant):
            if message.term >= self.keeper[0]:
                self.keeper = message.term, who
            if self.announcer_work:
                self.announcer_work.granted(message, now)
        elif isinstance(message, Report):
            if message.announcer >= self.announcer_terms.get(message.site, 0):
                self.announcers[message.site] = who
                self.announcer_terms[message.site] = message.announcer
            self.keeper_work.heard(message, name, now)
        elif isinstance(message, Evidence):
            self.keeper_work.heard(message, name, now)
        elif isinstance(message, Keep):
            self.keep(message, who)
        elif isinstance(message, Want):
            self.tell_orders(message, who)
        elif isinstance(message, Have):
            self.numbers(message, now)
            self.keeper_work.heard(message, name, now)
        elif isinstance(message, Kept):
            self.kept(message)
            self.keeper_work.heard(message, name, now)
        elif isinstance(message, Ask):
            self.answer(message, who, now)
        elif isinstance(message, Told):
            self.told_of(message)
        elif isinstance(message, Leave) and self.site and message.site == self.site.name:
            self.leaving |= dict.fromkeys(message.addresses, now + LEAVING)

    def learn_holder(self, duty: str, term: int, who: str) -> None:
        """Membership tells who has taken a duty over."""
        if duty == KEEPER and term >= self.keeper[0]:
            self.keeper = term, who
        site = duty.removeprefix("announcer/")
        if duty.startswith("announcer/") and term >= self.announcer_terms.get(site, 0):
            self.announcers[site], self.announcer_terms[site] = who, term

    # this member as a voter

    def open_store(self, now: float) -> None:
        self.store_at = now + RECORDS_AGAIN
        try:
            self.store = Store(self.node.fleet.folder)
        except (AppendLogError, msgspec.DecodeError) as error:
            self.node.counts["addresses: store can't be had"] += 1
            self.node.log_event("store waits", why=str(error)[:200])
            self.store_at = now + 10 * RECORDS_AGAIN
            return
        for order in self.store.orders():
            self.book.add(order, now, time.time())
        self.node.log_event(
            "store",
            orders=len(self.store.orders()),
            decided=len(self.store.decided()),
            cut=self.store.records.cut,
        )

    def keep(self, message: Keep, who: str) -> None:
        if self.store is None or self.node.name not in self.node.voters.names:
            return
        try:
            ids = self.store.keep(message.rows)
        except OSError as error:
            self.node.counts["addresses: disk failures"] += 1
            self.node.log_event("store disk", why=f"{error.strerror}"[:200])
            return
        now, wall = clock.now(), time.time()
        for row in message.rows:
            if isinstance(row, Order):
                self.book.add(row, now, wall)
        self.to_who(who, Kept(self.node.name, ids))

    def tell_orders(self, message: Want, who: str) -> None:
        if self.store is None or self.node.name not in self.node.voters.names:
            return
        orders = sorted(self.book.rows.values(), key=lambda order: order.number)
        count = len(orders)
        if message.known == self.book.digest:
            orders = []
        for some in pages(orders) if orders else [orders]:
            self.to_who(who, Have(self.node.name, self.book.digest, count, some))

    # operators' orders

    def numbers(self, message: Have, now: float) -> None:
        """What voters know of earlier orders, for those that wait for their number."""
        for order in message.orders:
            self.book.add(order, now, time.time())
        for pending in self.pending.values():
            if pending.numbered:
                continue
            pending.heard.add(message.voter)
            if len(pending.heard) >= self.node.voters.majority:
                pending.numbered = True
                pending.order = msgspec.structs.replace(pending.order, number=self.book.highest + 1)
                self.push(pending)

    def push(self, pending: Pending) -> None:
        for voter in self.node.voters.names:
            if voter not in pending.kept_by:
                message = Keep([pending.order]) if pending.numbered else Want(0)
                self.to_name(voter, message)

    def kept(self, message: Kept) -> None:
        for name in message.ids:
            if (pending := self.pending.get(name)) is not None:
                pending.kept_by.add(message.voter)
                if len(pending.kept_by) >= self.node.voters.majority:
                    del self.pending[name]
                    self.done.append(name)
                    self.node.log_event(
                        "order",
                        id=name,
                        verb=pending.order.verb,
                        address=pending.order.address,
                        site=pending.order.site,
                        who=pending.order.who,
                        why=pending.order.why,
                        until=pending.order.until,
                        kept_by=len(pending.kept_by),
                    )

    def read_order(self, query: str) -> Order | str:
        asked = dict(parse_qsl(query))
        verb, address, site = asked.get("verb", ""), asked.get("address", ""), asked.get("site", "")
        sites = [row.name for row in self.told.site]
        if verb not in VERBS:
            return f"verb: expected one of {', '.join(VERBS)}, got {verb[:40]!r}"
        if site not in sites:
            return f"site: expected one of {', '.join(sites)}, got {site[:80]!r}"
        if address and address not in self.doors:
            return f"address: expected one of {', '.join(self.doors)}, or none for all, got {address[:80]!r}"
        who, why = asked.get("who", "").strip(), asked.get("why", "").strip()
        for key, value in (("who", who), ("why", why)):
            if not 0 < len(value.encode(errors="replace")) <= WORDS or not value.isprintable():
                return f"{key}: expected 1 to {WORDS} bytes of printable characters, got {value[:40]!r}"
        try:
            span = float(asked.get("until", "0"))
        except ValueError:
            span = -1.0
        if not 0.0 <= span <= LONGEST_ORDER:
            return f"until: expected 0 to {LONGEST_ORDER:.0f} seconds, got {asked.get('until', '')[:40]!r}"
        self.number += 1
        wall = time.time()
        until = wall + span if span else 0.0
        return Order(f"{self.node.epoch:x}-{self.number}", 0, verb, address, site, who, why, wall, until)

    def order(self, query: str) -> Answer:
        order = self.read_order(query)
        if isinstance(order, str):
            return 400, f"{order}\n".encode(), PLAIN
        if len(self.pending) >= MOST_ASKED:
            return 503, b"too many orders are on their way\n", PLAIN
        pending = self.pending[order.id] = Pending(order)
        self.push(pending)
        self.node.task.wake()
        return 202, orjson.dumps({"id": order.id}), JSON

    def order_state(self, query: str) -> Answer:
        id = dict(parse_qsl(query)).get("id", "")
        pending, needed = self.pending.get(id), self.node.voters.majority
        if pending is None and id not in self.done:
            return 404, b"id: no such order here\n", PLAIN
        kept = needed if pending is None else len(pending.kept_by)
        return 200, orjson.dumps({"id": id, "kept": kept, "needed": needed, "done": pending is None}), JSON

    # operators' questions

    def ask(self, what: str, query: str) -> Answer:
        """The first call asks who knows; it is called again with the id until the answer is there."""
        asked = dict(parse_qsl(query))
        if id := asked.get("id"):
            if id in self.answers:
                return 200, self.answers[id], JSON
            if id in self.asked:
                return 202, orjson.dumps({"id": id}), JSON
            return 404, b"id: no such question here\n", PLAIN
        order = None
        if what == "plan":
            found = self.read_order(query)
            if isinstance(found, str):
                return 400, f"{found}\n".encode(), PLAIN
            order = msgspec.structs.replace(found, number=1 << 60)
        self.number += 1
        id = f"{self.node.epoch:x}-{self.number}"
        to = [self.keeper[1]] if what != "history" else self.voters_there()
        if not to or not to[0]:
            return 503, b"no keeper is known\n" if what != "history" else b"no voter is there\n", PLAIN
        self.asked[id] = {}
        while len(self.asked) > MOST_ASKED:
            self.asked.popitem(last=False)
        self.to_who(to[0], Ask(id, what, order))
        self.node.task.wake()
        return 202, orjson.dumps({"id": id}), JSON

    def voters_there(self) -> list[str]:
        if self.store is not None:
            return [self.node.process_id]
        return [
            f"{m.name}~{m.epoch}"
            for m in self.node.membership.live_members()
            if m.name in self.node.voters.names
        ]

    def answer(self, message: Ask, who: str, now: float) -> None:
        told: Any = None
        core = self.keeper_work.core
        if message.what == "history" and self.store is not None:
            rows = self.store.decided()[-100:]
            orders = self.store.orders()[-100:]
            told = {
                "decided": [msgspec.structs.asdict(row) for row in rows],
                "orders": [msgspec.structs.asdict(row) for row in orders],
            }
        elif core is not None and self.keeper_work.still():
            if message.what == "view":
                told = core.view(now) | {"keeper": self.node.process_id}
            elif message.what == "plan" and message.order is not None:
                told = core.plan(message.order, now, time.time())
        if told is None:
            return
        body = zlib.compress(orjson.dumps(told))
        parts = [body[at : at + PART] for at in range(0, len(body), PART)]
        for place, part in enumerate(parts):
            self.to_who(who, Told(message.id, place, len(parts), part))

    def told_of(self, message: Told) -> None:
        parts = self.asked.get(message.id)
        if parts is None or not 0 <= message.part < message.parts <= 256:
            return
        parts[message.part] = message.body
        if len(parts) == message.parts:
            del self.asked[message.id]
            whole = b"".join(parts[number] for number in range(message.parts))
            self.answers[message.id] = zlib.decompressobj().decompress(whole, LONGEST_ANSWER)
            while len(self.answers) > 16:
                self.answers.popitem(last=False)

    # evidence

    def tell_gate(self, site: Site) -> Generator[float, None, None]:
        """What this member sees, to its site's gate: for when no announcer can hold a lease there."""
        loop, pool = self.node.loop, BufferPool()
        address = read_address(site.gate, "gate")
        while not self.node.closed:
            due = loop.now + GATE_TOLD * self.node.rng.uniform(0.8, 1.2)
            if self.seen:
                words = "&".join(f"{quote(row.address)}={row.health:.3f}" for row in self.seen)
                caller: DiscoveryConnection | None = None
                try:
                    until = loop.now + GATE_ANSWERS
                    caller = DiscoveryConnection(loop, address, pool, self.node.task.wake)
                    while caller.channel.connecting and loop.now < until:
                        yield min(until, loop.now + 0.05)
                    if not caller.channel.connecting:
                        target = f"/seen?member={quote(self.node.name)}&{words}"
                        asking = caller.get(target, until, never, "POST")
                        yield from (min(when, loop.now + 0.05) for when in asking)
                except (EndpointListError, OSError, h11.ProtocolError):
                    pass
                if caller:
                    caller.channel.close()
            while loop.now < due:
                yield due

    def try_out(self) -> Generator[float, None, None]:
        """A session of one's own through one's own door, as a client's: is it put up?"""
        proxy, loop = self.node.proxy, self.node.loop
        pool, number = BufferPool(), 0
        while not self.node.closed:
            due = loop.now + self.told.synthetic * self.node.rng.uniform(0.8, 1.2)
            while loop.now < due:
                yield due
            if not proxy.service.ready:
                continue
            number += 1
            listeners = proxy.config.settings.listeners
            service = self.told.service[number % len(self.told.service)]
            name = next((name for name in service.listeners if name in listeners), next(iter(listeners)))
            within = listeners[name].attempt_timeout
            host, port = proxy.config.listen
            task: list[Task] = [self.node.task]
            went = False
            try:
                at = ("127.0.0.1" if host == "0.0.0.0" else host, port)
                channel = Channel.connect(loop, at, pool, lambda to=task: to[0].wake())  # type: ignore[misc]
            except OSError:
                self.doors[service.name].tried(False)
                continue
            until = loop.now + within
            channel.write(
                b"OPEN own%x-%x own c=%s,d=%d\r\n"
                % (self.node.epoch, number, name.encode(), max(1, round(within * 1000)))
            )
            while loop.now < until and not channel.ended:
                if (line := channel.line()) is not None:
                    went = bytes(line[:2]) == b"UP"
                    break
                channel.set_paused(False)
                yield min(until, loop.now + 0.05)
            channel.close()
            self.doors[service.name].tried(went)

    def look(self, now: float) -> list[Seen]:
        proxy, rows = self.node.proxy, []
        service = proxy.service
        ready = service.ready and not service.replaced
        servers, with_room = proxy.decisions.room(self.node.zone)
        live: dict[str, int] = {}
        for sess in proxy.sessions.table.live:
            if sess.is_open and sess.request is not None:
                live[sess.request.listener] = live.get(sess.request.listener, 0) + 1
        for told in self.told.service:
            door = self.doors[told.name]
            names = told.listeners or list(proxy.counters.ends[ACCEPTED])
            ends = {end: sum(proxy.counters.ends[end].get(name, 0) for name in names) for end in ENDS}
            door.counted(now, ends[ACCEPTED], sum(ends.values()))
            health, reason = door.see(ready, servers, with_room)
            load = sum(live.get(name, 0) for name in names)
            rows.append(Seen(told.name, round(health, 4), reason, float(load), round(door.coming(), 3)))
        return rows

    def send_away(self, now: float) -> None:
        """Open connections of what an order has withdrawn here, in the design's four paced stages."""
        self.move_at = now + 1.0
        self.leaving = {name: until for name, until in self.leaving.items() if now < until}
        if not self.leaving:
            self.pace = None
            return
        stay = {
            name
            for told in self.told.service
            if told.name not in self.leaving
            for name in told.listeners or self.node.proxy.config.settings.listeners
        }
        go = {
            name
            for told in self.told.service
            if told.name in self.leaving
            for name in told.listeners or self.node.proxy.config.settings.listeners
        } - stay
        live = [
            sess
            for sess in self.node.proxy.sessions.table.live
            if sess.is_open and not sess.stopping and sess.request is not None and sess.request.listener in go
        ]
        if self.pace is None:
            self.pace = Pace(len(live))
            self.node.log_event("address leaves", names=sorted(self.leaving), connections=len(live))
        self.pace.count = max(self.pace.count, len(live))  # of a second address, or come since
        moved = live[: self.pace.allowance(None, None)]
        for sess in moved:
            sess.stop()
        self.pace.moved += len(moved)

    # time passes

    def tick(self, now: float) -> None:
        if now >= self.move_at:
            self.send_away(now)
        if self.node.fleet.folder and self.store is None and now >= self.store_at:
            self.open_store(now)
        self.keeper_work.tick(now)
        if now >= self.due:
            self.due = now + self.told.every
            self.book.tidy(now)
            for pending in self.pending.values():
                self.push(pending)
            if self.site:
                rows = self.seen = self.look(now)
                if self.announcer_work and self.announcer_work.core:
                    for row in rows:
                        self.announcer_work.core.seen(row.address, row.health, now)
                if self.keeper[1]:
                    for some in pages(rows):
                        self.to_who(self.keeper[1], Evidence(self.site.name, some))
        while self.local:
            message = self.local.pop(0)
            self.take(message, self.node.name, self.node.process_id, clock.now())

    def next_due(self) -> float:
        keeper = self.keeper_work.core
        return min(self.due, keeper.due if keeper else self.due)

    def routes(self) -> dict[str, dict[str, Callable[[str], Answer]]]:
        return {
            "/control/addresses": {"GET": lambda query: self.ask("view", query)},
            "/control/addresses/history": {"GET": lambda query: self.ask("history", query)},
            "/control/addresses/plan": {"GET": lambda query: self.ask("plan", query)},
            "/control/addresses/order": {"GET": self.order_state, "POST": self.order},
        }

    def close(self) -> None:
        if self.store:
            self.store.records.close()
