"""Membership after SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health (Dadgar, Phillips,
Currey, 2018).

Pure: it is told the time and what was heard, draws from the generator that it was given, and leaves what is
to be sent, what has changed and what came for others in lists that its shell empties. Times are seconds on
one clock.

Each period one member is asked, in an order shuffled anew each round; without an answer a few others ask
for us; without theirs it is suspected, and dead when nobody has said otherwise for a while. The one
suspected hears of it and says so with a higher incarnation. Changes ride on the datagrams that are sent
anyhow.

A member is one process: its name and its epoch. Two of one name, as at a replacement, are two members.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import xxhash
from msgspec.structs import replace

from onyxhollow.membership.messages import (
    LARGEST,
    NAME,
    Ack,
    Address,
    Carried,
    Event,
    MemberState,
    Nack,
    Packet,
    Part,
    Ping,
    PingFor,
    Sync,
    Update,
    encode,
)

Who = tuple[str, int]  # name and epoch
HEAD = 190  # bytes of a datagram that are no parts: seal, fleet, name, numbers
ROOM = LARGEST - HEAD
ALL_TOLD = 8  # members up to which each tells news to all others
MOST_MEMBERS = 4096  # held, dead ones too; more are not taken in
MOST_NEWS = 512  # changes and events that ride along at once; past them the most told go first
SEEN_EVENTS = 4096
MOST_ASKED_FOR = 256  # questions put for others that are out
PAGES = 16  # datagrams of one answer to a joining member
REPLIES, REPLIES_AT_ONCE = 60.0, 200.0  # datagrams a second that answer others, and at once
LOST_NEW = 0.3  # weight of the newest question in what is told of a link
FLAP_HALF_LIFE, FLAP_MOST, FLAP_OVER, FLAP_UNDER = 60.0, 6.0, 2.5, 1.0  # as RFC 2439 damps routes


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    period: float = 1.0  # seconds from question to question
    timeout: float = 0.3  # seconds for an answer before others are asked to ask
    helpers: int = 3  # others who ask for us
    retold: float = 3.0  # times log10 of the fleet's size that each change is told on
    suspicion: float = 4.0  # periods times log10 of the fleet's size: shortest time from suspect to dead
    suspicion_most: float = 3.0  # times as long while nobody else suspects it
    healths: int = 8  # steps by which a member that is late itself slows down (Lifeguard)
    sync_every: float = 10.0  # seconds between comparisons of all that is held
    keep_dead: float = 300.0  # seconds for which the dead are remembered, and looked for again


@dataclass(slots=True)
class Member:
    name: str
    epoch: int
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    flags: int
    since: float  # when its life became what it is
    deadline: float = math.inf  # dead from then on, if suspected
    suspected_by: set[str] = field(default_factory=set)

    @property
    def who(self) -> Who:
        return self.name, self.epoch

    @property
    def is_live(self) -> bool:
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Out:
    """A datagram to be sent: its parts, encoded, and the epoch of who is to take it (0: not known)."""

    address: Address
    to: int
    parts: list[bytes]


@dataclass(frozen=True, slots=True)
class Change:
    member: Member
    before: MemberState | None  # None: new here
    why: str = ""


@dataclass(slots=True)
class Probe:
    member: Member
    nonce: int
    ask_others_at: float
    over_at: float
    answered: bool = False
    void: bool = False  # this process stood still meanwhile: it says nothing of the other
    helpers: int = 0
    nacks: int = 0
    direct: bool = False  # answered by itself, and not through others


@dataclass(slots=True)
class Link:
    """What this process has seen of the way to one member and back, without helpers."""

    heard_at: float = -math.inf  # a datagram came straight from it
    asked: int = 0
    lost: float = 0.0  # share of questions without a direct answer, the newest weighing LOST_NEW
    rtt: float = 0.0  # seconds, smoothed likewise
    asked_at: float = 0.0


@dataclass(slots=True)
class News:
    text: bytes
    told: set[Address] = field(default_factory=set)  # each once: what often goes to one is not spent there


class Damping:
    """How often a name has come and gone of late."""

    def __init__(self) -> None:
        self.names: OrderedDict[str, tuple[float, float, bool]] = OrderedDict()  # penalty, at, damped

    def level(self, name: str, now: float) -> float:
        penalty, at, _ = self.names.get(name, (0.0, now, False))
        return penalty * math.exp2(-max(0.0, now - at) / FLAP_HALF_LIFE)

    def gone(self, name: str, now: float) -> None:
        level = min(FLAP_MOST, self.level(name, now) + 1.0)
        damped = level >= FLAP_OVER or self.damped(name, now)
        self.names[name] = level, now, damped
        self.names.move_to_end(name)
        if len(self.names) > MOST_MEMBERS:
            self.names.popitem(last=False)

    def damped(self, name: str, now: float) -> bool:
        return name in self.names and self.names[name][2] and self.level(name, now) > FLAP_UNDER


class SwimMembership:
    def __init__(
        self, me: Update, terms: ProtocolConfig, rng: Random, seeds: list[Address], now: float
    ) -> None:
        self.terms, self.rng, self.seeds = terms, rng, seeds
        self.local = me
        self.members: dict[Who, Member] = {}
        # Parts of it, kept beside it: with hundreds of members to go through all for each datagram takes more
        # than all else together.
        self.present: dict[Who, Member] = {}
        self.suspects: dict[Who, Member] = {}
        self.outbox: list[Out] = []
        self.changes: list[Change] = []
        self.received_broadcasts: list[Event] = []
        self.received_payloads: list[tuple[Member, Carried]] = []
        self.counts: Counter[str] = Counter()
        self.links: dict[Who, Link] = {}
        self.health = 0  # 0: well; each step makes this member ask less often and wait longer
        self.damping = Damping()
        self.order: list[Who] = []
        self.probe: Probe | None = None
        self.asked_for: OrderedDict[int, tuple[Who, int, float]] = OrderedDict()  # by our nonce
        self.news: dict[Who | tuple[str, int, int], News] = {}
        self.seen: OrderedDict[tuple[str, int, int], None] = OrderedDict()
        self.next_probe = now + rng.random() * terms.period
        self.next_sync = now  # at once: to join
        self.next_clean = now + terms.keep_dead / 4
        self.replies, self.replies_at = REPLIES_AT_ONCE, now
        self.number = 0
        self.left = self.joined = False
        self.next_due = now
        self.stalled = 0.0  # seconds for which this process stood still
        self.stalled_at, self.stalls_seen = now, False  # when it last did

    # who is there

    def live_members(self) -> Iterator[Member]:
        return iter(self.present.values())

    def newest(self, name: str) -> Member | None:
        """The process that goes by a name: of two the later one."""
        found = [member for member in self.present.values() if member.name == name]
        return max(found, key=lambda member: member.epoch, default=None)

    def live_count(self) -> int:
        return 1 + len(self.present)

    # asked by the shell

    def awake(self, now: float) -> None:
        """Before anything else: has this process stood still? Then it was not the others that were silent."""
        late = now - self.next_due
        if late > self.terms.period / 2:
            self.stalled += late
            self.stalled_at, self.stalls_seen = now, True
            self.counts["stalls"] += 1
            self.health = min(self.terms.healths, self.health + 1)
            for member in self.suspects.values():
                member.deadline += late
            if self.probe:
                self.probe.void = True
            self.asked_for.clear()
            self.next_due = now

    def tick(self, now: float) -> None:
        self.awake(now)
        if self.left:
            self.next_due = math.inf
            return
        probe, slow = self.probe, self.health + 1
        if probe and not probe.answered and not probe.void and not probe.helpers:
            if probe.ask_others_at <= now < probe.over_at:
                self.ask_others(probe)
        if now >= self.next_probe:
            if probe:
                self.note_link(probe)
                self.conclude(probe, now)
            self.begin_probe(now, self.terms.period * slow)
            self.next_probe = now + self.terms.period * slow
        for member in [m for m in self.suspects.values() if m.deadline <= now]:
            self.become(member, MemberState.DEAD, member.incarnation, now, "no word")
        while self.asked_for:
            nonce, (who, theirs, until) = next(iter(self.asked_for.items()))
            if until > now:
                break
            del self.asked_for[nonce]
            if asker := self.members.get(who):
                self.send(asker, Nack(theirs))
        if now >= self.next_sync:
            self.sync(now)
        if now >= self.next_clean:
            self.clean(now)
        self.next_due = self.when()

    def when(self) -> float:
        """The next time that something is to be done."""
        times = [self.next_probe, self.next_sync, self.next_clean]
        if self.probe and not self.probe.answered and not self.probe.void and not self.probe.helpers:
            times.append(self.probe.ask_others_at)
        times += [m.deadline for m in self.suspects.values()]
        times += [until for _, _, until in self.asked_for.values()][:1]
        return min(times)

    def set_flags(self, flags: int) -> None:
        """Other flags of this member, for all to know."""
        if flags != self.local.flags:
            self.renew(self.local.incarnation + 1, flags)

    def leave(self) -> None:
        """This process ends: a few are told at once, and tell the others."""
        self.left, self.next_due = True, math.inf
        gone = encode(replace(self.local, life=MemberState.LEFT))
        others = list(self.live_members())
        for member in self.rng.sample(others, min(len(others), 2 * self.terms.helpers)):
            self.outbox.append(Out(member.address, member.epoch, [gone]))

    def send_payload(self, member: Member, kind: int, body: bytes) -> None:
        self.send(member, Carried(kind, body))

    def broadcast(self, kind: int, body: bytes) -> None:
        """To all, along with what is sent anyhow; it arrives within some periods and may come late."""
        self.number += 1
        event = Event(self.local.name, self.local.epoch, self.number, kind, body)
        self.seen[event.name, event.epoch, event.number] = None
        self.spread((event.name, event.epoch, event.number), event)

    # told by the shell

    def on_message(self, now: float, packet: Packet, source: Address) -> None:
        self.awake(now)
        if self.left:
            return
        who = packet.name, packet.epoch
        for part in packet.parts:
            if isinstance(part, Update):
                self.learn(part, now)
        sender = self.members.get(who)
        if sender is None:  # it has not said who it is: it is asked
            self.reply(now, Out(source, packet.epoch, [encode(self.local), encode(Sync(0, joining=True))]))
            return
        if not sender.is_live:  # held for dead here: it is told, and says that it is not
            if sender.state is MemberState.DEAD:
                self.reply(now, Out(source, packet.epoch, [encode(self.row(sender))]))
            return
        self.links.setdefault(sender.who, Link()).heard_at = now
        for part in packet.parts:
            self.take(part, sender, now, packet.to)

    def take(self, part: Part, sender: Member, now: float, to: int) -> None:
        if isinstance(part, Ping):
            self.reply(now, self.filled(sender, [Ack(part.nonce)]))
        elif isinstance(part, Ack):
            if self.probe and self.probe.nonce == part.nonce:
                if not self.probe.answered and not self.probe.void:
                    self.health = max(0, self.health - 1)
                self.probe.answered = True
                if sender is self.probe.member and not self.probe.direct:
                    self.probe.direct = True
                    link = self.links.setdefault(sender.who, Link())
                    took = now - link.asked_at
                    link.rtt += (took - link.rtt) * (LOST_NEW if link.rtt else 1.0)
            elif part.nonce in self.asked_for:
                asker, theirs, _ = self.asked_for.pop(part.nonce)
                if found := self.members.get(asker):
                    self.send(found, Ack(theirs))
        elif isinstance(part, PingFor):
            if len(self.asked_for) < MOST_ASKED_FOR:
                nonce = self.rng.getrandbits(32)
                self.asked_for[nonce] = sender.who, part.nonce, now + self.terms.timeout * 0.8
                known = self.members.get((part.name, part.epoch))
                self.outbox.append(
                    Out(known.address if known else part.address, part.epoch, [encode(Ping(nonce))])
                )
                self.next_due = min(self.next_due, now + self.terms.timeout * 0.8)
        elif isinstance(part, Nack):
            if self.probe and self.probe.nonce == part.nonce:
                self.probe.nacks += 1
        elif isinstance(part, Sync):
            self.answer_sync(part, sender, now)
        elif isinstance(part, Event):
            key = part.name, part.epoch, part.number
            if key not in self.seen and part.name != self.local.name:
                self.seen[key] = None
                if len(self.seen) > SEEN_EVENTS:
                    self.seen.popitem(last=False)
                self.received_broadcasts.append(part)
                self.spread(key, part)
        elif isinstance(part, Carried):
            if to != self.local.epoch:
                self.counts["carried to an unknown epoch"] += 1  # it may be a repeat from an earlier life
            else:
                self.received_payloads.append((sender, part))

    # asking one after another

    def begin_probe(self, now: float, span: float) -> None:
        self.probe = None
        while self.order:
            member = self.members.get(self.order.pop())
            if member and member.is_live:
                break
        else:
            self.order = [member.who for member in self.live_members()]
            if not self.order:
                return
            self.rng.shuffle(self.order)
            member = self.members[self.order.pop()]
        nonce = self.rng.getrandbits(32)
        wait = min(self.terms.timeout * (self.health + 1), span / 2)
        self.probe = Probe(member, nonce, now + wait, now + span)
        self.links.setdefault(member.who, Link()).asked_at = now
        parts: list[Part] = [Ping(nonce)]
        if member.state is MemberState.SUSPECT:
            parts.append(self.row(member))  # it must hear of it, to say that it is not
        self.outbox.append(self.filled(member, parts))

    def ask_others(self, probe: Probe) -> None:
        others = [m for m in self.live_members() if m is not probe.member and m.state is MemberState.ALIVE]
        chosen = self.rng.sample(others, min(len(others), self.terms.helpers))
        probe.helpers = len(chosen) or -1
        for helper in chosen:
            asked = PingFor(probe.nonce, probe.member.name, probe.member.epoch, probe.member.address)
            self.send(helper, asked)

    def note_link(self, probe: Probe) -> None:
        link = self.links.get(probe.member.who)
        if link is not None and not probe.void:
            link.asked += 1
            link.lost += ((0.0 if probe.direct else 1.0) - link.lost) * LOST_NEW

    def conclude(self, probe: Probe, now: float) -> None:
        if probe.answered or probe.void:
            return
        if probe.nacks < max(0, probe.helpers) or probe.helpers < 0:  # it may be us who can't be heard
            self.health = min(self.terms.healths, self.health + 1)
        member = probe.member
        if self.members.get(member.who) is member and member.is_live:
            self.suspect(member, member.incarnation, self.local.name, now)

    # what is held of the members

    def row(self, member: Member) -> Update:
        by = min(member.suspected_by, default="") if member.state is MemberState.SUSPECT else ""
        return Update(
            member.name,
            member.epoch,
            member.incarnation,
            member.state,
            member.address,
            member.zone,
            member.flags,
            by,
        )

    def renew(self, incarnation: int, flags: int) -> None:
        self.local = replace(self.local, incarnation=incarnation, flags=flags)
        self.spread((self.local.name, self.local.epoch), self.local)

    def learn(self, told: Update, now: float) -> None:
        """What someone says of a member: the higher incarnation goes first; at the same one, the worse
        news."""
        who = told.name, told.epoch
        if who == (self.local.name, self.local.epoch):
            if told.life is not MemberState.ALIVE and told.incarnation >= self.local.incarnation:
                self.counts["refuted"] += 1
                self.health = min(self.terms.healths, self.health + 1)
                self.renew(told.incarnation + 1, self.local.flags)
            return
        if not 0 < len(told.name) <= NAME or len(told.zone) > NAME or told.epoch <= 0:
            self.counts["bad news"] += 1
            return
        member = self.members.get(who)
        if member is None:
            if told.life in (MemberState.DEAD, MemberState.LEFT):
                return  # nothing was held of it
            if len(self.members) >= MOST_MEMBERS and not self.forget_one():
                self.counts["members not taken in"] += 1
                return
            member = Member(
                told.name,
                told.epoch,
                told.incarnation,
                MemberState.ALIVE,
                told.address,
                told.zone,
                told.flags,
                since=now,
            )
            self.members[who] = self.present[who] = member
            self.order.insert(self.rng.randrange(len(self.order) + 1), who)
            self.changes.append(Change(member, None))
            self.spread(who, self.row(member))
            self.doubt_older(member)
        if told.life is MemberState.ALIVE:
            if told.incarnation > member.incarnation and member.state is not MemberState.LEFT:
                member.address, member.zone, member.flags = told.address, told.zone, told.flags
                self.become(member, MemberState.ALIVE, told.incarnation, now)
            elif member.state is MemberState.DEAD:  # whoever says so has not heard
                self.reply(now, Out(member.address, member.epoch, [encode(self.row(member))]))
        elif told.life is MemberState.SUSPECT:
            self.suspect(member, told.incarnation, told.by, now)
        elif member.is_live and (told.life is MemberState.LEFT or told.incarnation >= member.incarnation):
            self.become(member, told.life, max(told.incarnation, member.incarnation), now, "told so")

    def doubt_older(self, member: Member) -> None:
        """A new process of a name: the one before it has ended, as a rule, and is asked next."""
        for older in list(self.live_members()):
            if older.name == member.name and older.epoch < member.epoch:
                self.order.append(older.who)

    def suspect(self, member: Member, incarnation: int, by: str, now: float) -> None:
        if not member.is_live or incarnation < member.incarnation:
            return
        if member.state is MemberState.SUSPECT and incarnation == member.incarnation:
            if by in member.suspected_by or len(member.suspected_by) > self.terms.helpers:
                return
            member.suspected_by.add(by)
            again = replace(self.row(member), by=by)
            self.news[member.who] = News(encode(again))
        else:
            member.suspected_by = {by}
            self.become(member, MemberState.SUSPECT, incarnation, now, f"by {by}")
        member.deadline = member.since + self.suspicion(len(member.suspected_by) - 1)
        self.next_due = min(self.next_due, max(now, member.deadline))

    def suspicion(self, confirmed: int) -> float:
        """Seconds from suspicion to death: shorter the more members say the same of their own (Lifeguard)."""
        size = self.live_count()
        low = self.terms.suspicion * max(1.0, math.log10(size)) * self.terms.period
        most = min(self.terms.helpers, size - 2)
        if most < 1:
            return low
        high = low * self.terms.suspicion_most
        return max(low, high - (high - low) * math.log(confirmed + 1) / math.log(most + 1))

    def become(self, member: Member, life: MemberState, incarnation: int, now: float, why: str = "") -> None:
        before, member.incarnation = member.state, incarnation
        if life is not before:
            member.state, member.since = life, now
            for part, within in (
                (self.present, member.is_live),
                (self.suspects, life is MemberState.SUSPECT),
            ):
                if within:
                    part[member.who] = member
                else:
                    part.pop(member.who, None)
            if life is MemberState.DEAD:
                self.damping.gone(member.name, now)
            self.changes.append(Change(member, before, why))
        if life is not MemberState.SUSPECT:
            member.deadline = math.inf
            member.suspected_by = set()
        self.spread(member.who, self.row(member))

    def clean(self, now: float) -> None:
        self.next_clean = now + self.terms.keep_dead / 4
        for who, member in list(self.members.items()):
            if not member.is_live and now - member.since > self.terms.keep_dead:
                del self.members[who]
        self.links = {who: link for who, link in self.links.items() if who in self.members}

    def forget_one(self) -> bool:
        gone = [member for member in self.members.values() if not member.is_live]
        if gone:
            del self.members[min(gone, key=lambda member: member.since).who]
        return bool(gone)

    # what rides along

    def spread(self, key: Who | tuple[str, int, int], part: Part) -> None:
        self.news[key] = News(encode(part))
        if len(self.news) > MOST_NEWS:
            del self.news[max(self.news, key=lambda one: len(self.news[one].told))]

    def filled(self, member: Member, parts: list[Part]) -> Out:
        """A datagram with these parts, and as much news as has room, the least told first."""
        told = [encode(part) for part in parts]
        if member.state is not MemberState.ALIVE or not self.joined:
            told.append(encode(self.local))
        room = ROOM - sum(map(len, told))
        most = max(
            math.ceil(self.terms.retold * max(1.0, math.log10(self.live_count() + 1))),
            min(self.live_count() - 1, ALL_TOLD),
        )
        for key, news in sorted(self.news.items(), key=lambda row: len(row[1].told)):
            if len(news.text) > room or member.address in news.told:
                continue
            told.append(news.text)
            room -= len(news.text)
            news.told.add(member.address)
            if len(news.told) >= most:
                del self.news[key]
            if room < 32:
                break
        return Out(member.address, member.epoch, told)

    def send(self, member: Member, part: Part) -> None:
        self.outbox.append(self.filled(member, [part]))

    def reply(self, now: float, out: Out) -> None:
        """What others can cause is bounded."""
        self.replies = min(REPLIES_AT_ONCE, self.replies + (now - self.replies_at) * REPLIES)
        self.replies_at = now
        if self.replies < 1.0:
            self.counts["answers held back"] += 1
            return
        self.replies -= 1.0
        self.outbox.append(out)

    # comparing all that is held

    def digest(self) -> int:
        rows = [(m.name, m.epoch, m.incarnation) for m in self.live_members()]
        rows.append((self.local.name, self.local.epoch, self.local.incarnation))
        found = 0
        for row in rows:
            found ^= xxhash.xxh3_64_intdigest(encode(row))
        return found

    def sync(self, now: float) -> None:
        """With one that is there, or that is held for dead, or a seed: so that two halves find each other."""
        there = list(self.live_members())
        self.joined = self.joined or bool(there)
        self.next_sync = now + self.terms.sync_every * self.rng.uniform(0.5, 1.0)
        lost = [
            m.address
            for m in self.members.values()
            if m.state is MemberState.DEAD and self.newest(m.name) is None
        ]
        known = {m.address for m in there}
        lost += [seed for seed in self.seeds if seed not in known and seed != self.local.address]
        ask = encode(Sync(self.digest(), joining=not there))
        if there and (not lost or self.rng.random() < 0.5):
            member = self.rng.choice(there)
            self.outbox.append(Out(member.address, member.epoch, [encode(self.local), ask]))
        elif lost:
            for address in lost if not there else [self.rng.choice(lost)]:
                self.outbox.append(Out(address, 0, [encode(self.local), ask]))
        if not there:
            self.next_sync = now + self.terms.period * self.rng.uniform(0.5, 1.0)

    def answer_sync(self, part: Sync, sender: Member, now: float) -> None:
        if part.digest == self.digest():
            return
        rows = [encode(self.row(member)) for member in self.live_members() if member is not sender]
        self.rng.shuffle(rows)
        pages, page, size = 0, [encode(self.local)], len(encode(self.local))
        for row in [*rows, None]:
            if row is None or size + len(row) > ROOM:
                self.reply(now, Out(sender.address, sender.epoch, page))
                pages, page, size = pages + 1, [], 0
                if pages >= (PAGES if part.joining else 3):
                    break
            if row is not None:
                page.append(row)
                size += len(row)
        if not part.joining:  # and what it holds that we don't
            self.reply(now, Out(sender.address, sender.epoch, [encode(Sync(self.digest(), joining=True))]))
