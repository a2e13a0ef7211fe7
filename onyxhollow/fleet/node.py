"""One member of the fleet: its socket, the cores above it, and what their changes mean for the proxy.

A datagram comes in here, is checked and decoded, and becomes a call on a pure core; what a core leaves to
be sent goes out here. Only this file carries a change on: to a duty's work, to the log, to the list. It all
runs on the proxy's loop.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections import Counter, deque
from collections.abc import Callable, Generator
from functools import lru_cache
from random import Random
from typing import Any
from urllib.parse import parse_qsl

import msgspec
import orjson
import xxhash

from onyxhollow import __version__
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.fleet import clock
from onyxhollow.fleet.advertise import ADDRESSES, Addresses
from onyxhollow.fleet.file import Duty, Fleet
from onyxhollow.fleet.lists import LIST, Lists
from onyxhollow.fleet.shares import SHARE, Shares
from onyxhollow.fleet.works import LeaderTask, WebhookTask
from onyxhollow.interface import Endpoint, EndpointListKind
from onyxhollow.leases import messages as said
from onyxhollow.leases.change import Changer
from onyxhollow.leases.claim import Claim, Said, State, Turn
from onyxhollow.leases.messages import VOTERS, Council
from onyxhollow.leases.voter import Voter
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.loop import READ, Task
from onyxhollow.management.api import PLAIN, Answer
from onyxhollow.membership.messages import LARGEST, MemberState, Update
from onyxhollow.membership.seal import DatagramAuthenticator
from onyxhollow.membership.swim import Member, SwimMembership
from onyxhollow.wire.listening import ListenError

HOLDS, VOTES = 1, 2  # flags of a member: may hold duties; has a voter's memory
DUTIES = 1  # kind of what is carried, beside LIST
READS = 64  # datagrams in one turn of the loop
RATE, BURST = 1500.0, 3000.0  # datagrams sent a second, and at once; past them they are dropped and counted
HISTORY = 200  # changes of holders that are remembered
LOOK = 0.1  # seconds between looks at what may have changed outside: the service state, a work's progress
RANKS = 1.0  # seconds after which the order of members is worked out anew
RECORDS_AGAIN = 0.5  # seconds until a voter's memory is asked for again that another process holds
COMPACT = 512  # records of a voter's memory past which it is written anew
STALL_TOLD = 0.5  # seconds of standing still from which the log tells of it
NEVER_AGAIN = 10.0  # seconds times tries for which a duty is left to others after its work made no progress
JSON = "application/json"


def who_is(member: Member) -> str:
    """How duties call a process: its name and epoch."""
    return f"{member.name}~{member.epoch}"


def name_of(who: str) -> str:
    return who.rpartition("~")[0]


@lru_cache(4096)
def place(duty: str, member: str) -> int:
    """Where a member ranks for a duty: asked of all members with each that comes or goes."""
    return xxhash.xxh3_64_intdigest(f"{duty}\0{member}".encode())


class LeaseRunner:
    """One duty at this member: its claim, and the work while it is held."""

    def __init__(self, claim: Claim, zone: str | None, work: LeaderTask | None) -> None:
        self.claim, self.zone, self.work = claim, zone, work
        self.held_at = self.quiet_until = self.recorded = 0.0
        self.failures = 0


class Node:
    def __init__(self, proxy: Proxy, fleet: Fleet) -> None:
        self.proxy, self.fleet, self.told = proxy, fleet, fleet.told
        self.loop, self.log, self.counters = proxy.loop, proxy.log, proxy.counters
        self.name, self.zone = proxy.config.name, proxy.config.settings.zone
        self.epoch = clock.new_epoch()
        self.process_id = f"{self.name}~{self.epoch}"
        self.rng = Random(proxy.config.seed ^ self.epoch)
        self.sock = socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        )
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            self.sock.bind(fleet.listen)
        except OSError as error:
            raise ListenError(
                f"fleet: cannot listen on {':'.join(map(str, fleet.listen))}: {error.strerror}"
            ) from None
        now = clock.now()
        self.started = self.trouble_at = now
        self.stalled_told = 0.0
        self.seal = DatagramAuthenticator(self.told.fleet, self.name, self.epoch, fleet.keys)
        me = Update(self.name, self.epoch, 0, MemberState.ALIVE, fleet.advertise, self.zone, 0)
        self.membership = SwimMembership(me, self.told.terms(), self.rng, fleet.seeds, now)
        self.voters = Council(0, tuple(self.told.voters))
        self.records: AppendLog | None = None
        self.voter: Voter | None = None
        self.records_at = now
        self.disk_fails, self.waits_for = False, ""
        self.history: deque[dict[str, Any]] = deque(maxlen=HISTORY)
        self.holders: dict[str, tuple[int, str]] = {}  # by duty: the highest term heard of, and whose it is
        self.counts: Counter[str] = Counter()
        self.ranks: dict[str, list[str]] = {}  # by duty, as long as nobody comes or goes
        self.local: deque[tuple[str, Any]] = deque()  # said to oneself
        self.level, self.level_at = BURST, now
        self.look_at = self.ranks_until = now
        self.changer = Changer()
        self.lists: Lists | None = None
        share = self.told.share()
        self.shares = Shares(self, share) if share else None
        self.closed = False
        self.runners: dict[str, LeaseRunner] = {}
        self.add(VOTERS, None, None)
        for duty in self.told.duty:
            self.add_duty(duty)
        self.addresses = Addresses(self, fleet.addresses) if fleet.addresses else None
        for name, zone, work in self.addresses.duties() if self.addresses else ():
            self.add(name, zone, work)
        proxy.parts.append(self)
        proxy.routes |= {
            "/control/fleet": {"GET": self.tell_fleet},
            "/control/fleet/history": {"GET": self.tell_history},
            "/control/fleet/hand-over": {"POST": self.command},
            "/control/fleet/release": {"POST": self.command},
            "/control/fleet/voters": {"POST": self.change_voters},
        }
        proxy.routes |= self.addresses.routes() if self.addresses else {}
        self.loop.watch(self.sock.fileno(), READ, self.ready)
        self.task: Task = self.loop.spawn(self.run())
        self.log_event(
            "fleet",
            listen=fleet.listen,
            advertise=fleet.advertise,
            epoch=self.epoch,
            voters=self.told.voters,
            zone=self.zone,
            version=__version__,
        )

    def add_duty(self, duty: Duty) -> None:
        name = f"{duty.name}/{self.zone}" if duty.per == "zone" else duty.name
        zone = self.zone if duty.per == "zone" else None
        work: LeaderTask
        if duty.work == "list":
            work = self.lists = Lists(self, name, zone, duty.every, duty.service)
        else:
            host, _, port = duty.call.rpartition(":")
            work = WebhookTask(
                self.loop, (host, int(port)), duty.path, name, self.process_id, duty.every, self.counters.add
            )
        self.add(name, zone, work)

    def add(self, name: str, zone: str | None, work: LeaderTask | None) -> None:
        claim = Claim(name, self.process_id, self.told.rules(), self.voters, self.rng, clock.now())
        self.runners[name] = LeaseRunner(claim, zone, work)

    def log_event(self, event: str, **values: Any) -> None:
        self.log.event(event, at=round(time.monotonic(), 4), **values)

    # the loop

    def ready(self, _: int) -> None:
        now = clock.now()
        for _ in range(READS):
            try:
                datagram, source = self.sock.recvfrom(LARGEST + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # a refusal of something sent before
            self.counts["datagrams in"] += 1
            self.counts["bytes in"] += len(datagram)
            if packet := self.seal.open(datagram):
                self.membership.on_message(now, packet, (source[0], source[1]))
        self.step()

    def run(self) -> Generator[float, None, None]:
        while not self.closed:
            try:
                self.step()
            except Exception as error:  # leases run out by themselves; members and duties must go on
                self.proxy.report_failure("fleet", error)
                yield self.loop.now + LOOK
            yield self.loop.now + max(0.001, self.next_due() - clock.now())

    def next_due(self) -> float:
        times = [
            self.membership.next_due,
            self.look_at,
            *(runner.claim.due() for runner in self.runners.values()),
        ]
        if self.voter:
            times.append(self.voter.due())
        if self.lists:
            times.append(self.lists.next_due())
        if self.shares:
            times.append(self.shares.next_due)
        if self.addresses:
            times.append(self.addresses.next_due())
        return min(times)

    def step(self) -> None:
        """All that is due, and all that follows from it."""
        if self.closed:
            return
        now = clock.now()
        if now >= self.membership.next_due:
            self.membership.tick(now)
            self.tell_stalls()
        if now >= self.look_at:
            self.look_at = now + LOOK
            self.look(now)
        if self.voter and now >= self.voter.due():
            self.tick_voter(now)
        for runner in self.runners.values():
            if now >= runner.claim.due():
                self.say(runner, runner.claim.tick(now, self.rank(runner, now)))
        if self.lists:
            self.lists.tick(now)
        if self.shares:
            self.shares.tick(now)
        if self.addresses:
            self.addresses.tick(now)
        while (
            self.local
            or self.membership.changes
            or self.membership.received_payloads
            or self.membership.received_broadcasts
        ):
            self.take_changes(now)
            carried, self.membership.received_payloads = self.membership.received_payloads, []
            for member, part in carried:
                self.take(member, part.kind, part.body, now)
            events, self.membership.received_broadcasts = self.membership.received_broadcasts, []
            for event in events:
                self.take_event(event.kind, event.body, now)
            while self.local:
                name, told = self.local.popleft()
                self.duties_heard(self.process_id, name, told, now)
        for runner in self.runners.values():
            self.settle(runner, now)
        self.flush()

    def flush(self) -> None:
        now = clock.now()
        self.level = min(BURST, self.level + (now - self.level_at) * RATE)
        self.level_at = now
        out, self.membership.outbox = self.membership.outbox, []
        for one in out:
            if self.level < 1.0:
                self.counts["not sent: too much at once"] += 1
                continue
            self.level -= 1.0
            datagram = self.seal.close(one.parts, one.to)
            if len(datagram) > LARGEST:  # it would be dropped there, and nobody here would know
                self.counts["not sent: larger than a datagram"] += 1
                continue
            self.counts["datagrams out"] += 1
            self.counts["bytes out"] += len(datagram)
            try:
                self.sock.sendto(datagram, one.address)
            except OSError:  # full, or nobody is there
                self.counts["not sent: refused by the system"] += 1

    # members

    def tell_stalls(self) -> None:
        if self.membership.stalled - self.stalled_told >= STALL_TOLD:
            self.log_event("stalled", seconds=round(self.membership.stalled - self.stalled_told, 3))
            self.stalled_told = self.membership.stalled

    def take_changes(self, now: float) -> None:
        changes, self.membership.changes = self.membership.changes, []
        for change in changes:
            member = change.member
            self.ranks.clear()
            if self.shares:
                self.shares.changed = True
            if member.state in (MemberState.SUSPECT, MemberState.DEAD):
                self.trouble_at = now
            self.log_event(
                "member",
                member=member.name,
                epoch=member.epoch,
                life=member.state.name.lower(),
                why=change.why,
                there=self.membership.live_count(),
            )

    def fit(self) -> bool:
        """Whether this process may hold duties: it serves clients, and no successor does."""
        service = self.proxy.service
        return service.ready and not service.replaced and not self.closed

    def rank(self, runner: LeaseRunner, now: float) -> int | None:
        if not self.fit() or now < runner.quiet_until:
            return None
        order = self.order(runner)
        return order.index(self.process_id) if self.process_id in order else None

    def order(self, runner: LeaseRunner) -> list[str]:
        """Who may hold a duty, the preferred first: by rendezvous hashing (Thaler, Ravishankar, 1998)."""
        duty = runner.claim.duty
        if (known := self.ranks.get(duty)) is not None:
            return known
        now = clock.now()
        damped = self.membership.damping.damped
        able = {
            (
                member.state is MemberState.SUSPECT,
                damped(member.name, now),
                member.name,
                who_is(member),
            )
            for member in self.membership.live_members()
            if member.flags & HOLDS and runner.zone in (None, member.zone)
        }
        if self.fit():
            able.add((False, False, self.name, self.process_id))
        # Those suspected, and those that come and go, rank last: a duty must not wait for them nor lack them.

        order = sorted(able, key=lambda one: (*one[:2], place(duty, one[2])))
        self.ranks[duty] = [one[3] for one in order]
        return self.ranks[duty]

    def find_member(self, who: str) -> Member | None:
        name, _, epoch = who.rpartition("~")
        return self.membership.members.get((name, int(epoch))) if epoch.isdigit() else None

    # what duties say

    def say(self, runner: LeaseRunner, told: Said) -> None:
        for voter, message in told:
            self.send_to_voter(voter, message)

    def send_to_voter(self, name: str, message: Any) -> None:
        """To the process of that name that has a voter's memory."""
        if name == self.name and self.voter is not None:
            self.local.append((self.name, message))
            return
        found = [member for member in self.membership.live_members() if member.name == name]
        voting = [member for member in found if member.flags & VOTES]
        for member in voting or found[:1]:
            self.membership.send_payload(member, DUTIES, said.encode(message))

    def send_to_process(self, who: str, message: Any) -> None:
        if who == self.process_id:
            self.local.append((self.name, message))
        elif member := self.find_member(who):
            self.membership.send_payload(member, DUTIES, said.encode(message))

    def take(self, member: Member, kind: int, body: bytes, now: float) -> None:
        if kind == LIST:
            if self.lists:
                self.lists.on_message(member, body, now)
            return
        if kind == SHARE:
            if self.shares:
                self.shares.on_message(member, body, now)
            return
        if kind == ADDRESSES:
            if self.addresses:
                self.addresses.on_message(member, body, now)
            return
        try:
            told = said.MESSAGES.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.counts["duties: rubbish"] += 1
            return
        self.duties_heard(who_is(member), member.name, told, now)

    def take_event(self, kind: int, body: bytes, now: float) -> None:
        if kind == LIST:
            if self.lists:
                self.lists.on_broadcast(body, now)
            return
        if kind == ADDRESSES:
            if self.addresses:
                self.addresses.on_broadcast(body)
            return
        with contextlib.suppress(msgspec.DecodeError):
            told = said.MESSAGES.decode(body)
            if isinstance(told, said.Held):
                self.heard_of(told.duty, told.term, told.who, now)
            elif isinstance(told, said.Learn):
                self.learn(told.council, now)

    def duties_heard(self, who: str, name: str, told: Any, now: float) -> None:
        if isinstance(told, said.Answer):
            runner = self.runners.get(told.duty)
            if runner:
                self.say(runner, runner.claim.heard(clock.now(), name, told))
                if told.council:
                    self.learn(told.council, now)
        elif isinstance(told, said.Offer):
            if (runner := self.runners.get(told.duty)) and self.rank(runner, now) is not None:
                self.say(runner, runner.claim.offered(now, told.term))
        elif isinstance(told, said.Command):
            if (runner := self.runners.get(told.duty)) and runner.claim.holds(now):
                self.obey(runner, told.to, now)
            elif not told.passed and (known := self.holder(told.duty)) not in ("", self.process_id):
                self.send_to_process(known, said.Command(told.duty, told.to, True))
        elif isinstance(told, said.Change):
            self.start_change(told, now)
        elif isinstance(told, said.Accepted):
            self.accepted(name, told, now)
        elif isinstance(told, said.Learn):
            self.learn(told.council, now)
            self.vote(who, name, told, now)
        else:
            self.vote(who, name, told, now)

    def heard_of(self, duty: str, term: int, who: str, now: float) -> None:
        known = self.holders.get(duty, (0, ""))
        if term < known[0] or (term, who) == known or len(self.holders) > 4096:
            return
        self.holders[duty] = term, who
        if self.addresses:
            self.addresses.learn_holder(duty, term, who)
        self.history.append({"duty": duty, "term": term, "who": who, "t": round(self.loop.now, 3)})
        if runner := self.runners.get(duty):
            runner.claim.highest = max(runner.claim.highest, term)

    def holder(self, duty: str) -> str:
        """Who holds a duty, by the newest that is known here: by itself, by news, as a voter."""
        runner = self.runners.get(duty)
        if runner and runner.claim.holds(clock.now()):
            return self.process_id
        found = [self.holders.get(duty, (0, ""))]
        if self.voter and (seat := self.voter.seats.get(duty)):
            found.append((seat.term, seat.holder))
        if runner and runner.claim.holder:
            found.append((runner.claim.highest, runner.claim.holder))
        who = max(found)[1]
        return who if who != self.process_id and self.find_member(who) else ""

    # this member as a voter

    def open_records(self, now: float) -> None:
        """As soon as no other process holds them: at a replacement the one before this may still vote."""
        self.records_at = now + RECORDS_AGAIN
        try:
            records = AppendLog(self.fleet.folder, "voter")
        except AppendLogError as error:
            if str(error) != self.waits_for:
                self.waits_for = str(error)
                self.log_event("voter waits", why=self.waits_for[:200])
            return
        voter = Voter(self.name, self.voters, self.told.leases.lease, now)
        try:
            voter.remember([said.ROWS.decode(row) for row in records.rows], now)
        except msgspec.DecodeError as error:
            self.log_event("voter waits", why=f"{records.path}: not a voter's records: {error}"[:200])
            records.close()
            return
        self.records, self.voter = records, voter
        self.learn(voter.council, now)
        self.log_event(
            "voter",
            blank=voter.blank,
            records=len(records.rows),
            cut=records.cut,
            council=voter.council.version,
        )

    def write(self, rows: list[Any]) -> bool:
        """Whether it is on the disk; nothing is answered before."""
        assert self.records is not None and self.voter is not None
        if not rows:
            return True
        try:
            if len(self.records.rows) + len(rows) > COMPACT:
                self.records.rewrite([said.encode(row) for row in self.voter.rows()])
            else:
                self.records.append(*(said.encode(row) for row in rows))
        except OSError as error:
            self.counts["voter: disk failures"] += 1
            if not self.disk_fails:
                self.log_event("voter disk", why=f"{error.strerror}"[:200])
            self.disk_fails = True
            return False
        if self.disk_fails:
            self.log_event("voter disk", why="")
        self.disk_fails = False
        return True

    def vote(self, who: str, name: str, told: Any, now: float) -> None:
        if self.voter is None:
            return
        answers, rows = self.voter.heard(clock.now(), name, told)
        if not self.write(rows):
            self.voter.undo()
            return
        for answer in answers:
            self.send_to_process(who, answer)

    def tick_voter(self, now: float) -> None:
        assert self.voter is not None
        told, rows = self.voter.tick(now)
        if rows:
            if self.write(rows):
                self.log_event("voter remembers", duties=len(self.voter.seats))
            else:
                self.voter.blank = True
        for name, message in told:
            self.send_to_voter(name, message)

    def learn(self, council: Council, now: float) -> None:
        if council.version <= self.voters.version:
            return
        self.voters = council
        for runner in self.runners.values():
            if runner.claim.council.version < council.version:
                runner.claim.council = council
        self.log_event("voters", version=council.version, names=council.names)
        if self.voter and self.voter.council.version < council.version:
            _, rows = self.voter.heard(now, self.name, said.Learn(council))
            self.write(rows)
        self.membership.broadcast(DUTIES, said.encode(said.Learn(council)))

    # holding

    def look(self, now: float) -> None:
        flags = (HOLDS if self.fit() else 0) | (VOTES if self.voter else 0)
        if flags != self.membership.local.flags:
            self.membership.set_flags(flags)
            self.ranks.clear()
        if self.fleet.folder and self.voter is None and now >= self.records_at:
            self.open_records(now)
        if now >= self.ranks_until:
            self.ranks_until = now + RANKS
            self.ranks.clear()  # one that was damped may be counted again
        for runner in self.runners.values():
            claim = runner.claim
            if not claim.holds(now):
                continue
            if not self.fit():
                self.hand_over(
                    runner, "replaced" if self.proxy.service.replaced else "leaving", self.successor(runner)
                )
            elif runner.work and runner.work.superseded:
                self.give_up(runner, "a newer term was seen", now)
            elif runner.work and self.loop.now - runner.work.last_progress_at > self.told.leases.patience:
                self.give_up(runner, "no progress", now)
            else:
                if now - runner.held_at > self.told.leases.patience:
                    runner.failures = 0  # it gets things done again
                self.give_back(runner, now)
        if self.changer.busy or self.runners[VOTERS].claim.pending:
            self.propose(now)

    def successor(self, runner: LeaseRunner) -> str:
        """Who is to follow: a new process of this name, else the first of the others."""
        order = self.order(runner)
        own = [who for who in order if name_of(who) == self.name and who != self.process_id]
        return own[-1] if own else next((who for who in order if who != self.process_id), "")

    def give_back(self, runner: LeaseRunner, now: float) -> None:
        """To the preferred member, once it has been steady for long enough and all have been quiet."""
        steady, order = self.told.leases.steady, self.order(runner)
        if (
            not order
            or order[0] == self.process_id
            or min(now - self.trouble_at, now - runner.held_at) < steady
        ):
            return
        first = self.find_member(order[0])
        if first and now - first.since >= steady:
            self.hand_over(runner, "preferred", order[0])

    def give_up(self, runner: LeaseRunner, cause: str, now: float) -> None:
        runner.failures = min(runner.failures + 1, 6)
        runner.quiet_until = now + NEVER_AGAIN * runner.failures
        self.hand_over(runner, cause, self.successor(runner))

    def obey(self, runner: LeaseRunner, to: str, now: float) -> None:
        """An operator's word."""
        found = [who for who in self.order(runner) if name_of(who) == to] if to else []
        if to and not found:
            claim = runner.claim
            self.log_event(
                "duty", duty=claim.duty, change="kept", term=claim.term, cause=f"{to} can't hold it"
            )
            return
        if not to:
            runner.quiet_until = now + NEVER_AGAIN
        else:
            runner.held_at = now
        self.hand_over(runner, "operator", found[-1] if found else self.successor(runner))

    def hand_over(self, runner: LeaseRunner, cause: str, to: str) -> None:
        """The work ends first, then the voters are told, then the one who is to follow: a gap, never an
        overlap."""
        claim = runner.claim
        if claim.state is not State.HOLDING or to == self.process_id:
            return
        if runner.work:
            runner.work.stop()
        self.say(runner, claim.end(clock.now(), cause))
        if to:
            self.send_to_process(to, said.Offer(claim.duty, claim.term))

    def settle(self, runner: LeaseRunner, now: float) -> None:
        """What has become of a claim: the work begins or ends."""
        claim = runner.claim
        turns, claim.turns = claim.turns, []
        for turn in turns:
            if turn.held:
                self.begin(runner, turn, now)
            else:
                if runner.work:
                    runner.work.stop()
                self.log_event("duty", duty=claim.duty, change="ended", term=turn.term, cause=turn.cause)
        if self.told.record and claim.state is State.HOLDING and claim.until != runner.recorded:
            runner.recorded = claim.until
            left = claim.until - clock.now()
            self.log_event("lease", duty=claim.duty, term=claim.term, left=round(left, 4))

    def begin(self, runner: LeaseRunner, turn: Turn, now: float) -> None:
        claim, term = runner.claim, turn.term
        runner.held_at = now
        left = claim.until - clock.now()
        self.log_event(
            "duty",
            duty=claim.duty,
            change="held",
            term=term,
            cause=turn.cause,
            gap=round(turn.waited, 4),
            left=round(left, 4),
        )
        self.heard_of(claim.duty, term, self.process_id, now)
        self.membership.broadcast(DUTIES, said.encode(said.Held(claim.duty, term, self.process_id)))
        if runner.work:
            runner.work.start(term, lambda: claim.term == term and claim.holds(clock.now()))

    # changing the voters

    def start_change(self, told: said.Change, now: float) -> None:
        if self.runners[VOTERS].claim.holds(now) and not self.changer.busy:
            self.changer.wish = told
            self.propose(now)

    def propose(self, now: float) -> None:
        runner = self.runners[VOTERS]
        self.say(runner, self.changer.propose(now, runner.claim, self.voters))

    def accepted(self, name: str, told: said.Accepted, now: float) -> None:
        before = self.voters
        if council := self.changer.accepted(now, self.runners[VOTERS].claim, before, name, told):
            self.learn(council, now)
            for each in {*before.names, *council.names}:
                self.send_to_voter(each, said.Learn(council))

    # operators

    def tell_fleet(self, _: str) -> Answer:
        now = clock.now()
        members = [
            {
                "name": m.name,
                "epoch": m.epoch,
                "life": m.state.name.lower(),
                "zone": m.zone,
                "address": f"{m.address[0]}:{m.address[1]}",
                "incarnation": m.incarnation,
                "for": round(now - m.since, 1),
                "votes": bool(m.flags & VOTES),
                "holds": bool(m.flags & HOLDS),
                "damped": self.membership.damping.damped(m.name, now),
            }
            for m in sorted(self.membership.members.values(), key=lambda m: m.who)
        ]
        duties = []
        for duty, runner in sorted(self.runners.items()):
            claim = runner.claim
            term, who = self.holders.get(duty, (0, ""))
            duties.append(
                {
                    "duty": duty,
                    "term": term,
                    "holder": who,
                    "here": claim.state.value,
                    "left": round(max(0.0, claim.until - now), 3) if claim.holds(now) else None,
                    "order": [name_of(one) for one in self.order(runner)[:3]],
                }
            )
        for duty, (term, who) in sorted(self.holders.items()):
            if duty not in self.runners:
                duties.append({"duty": duty, "term": term, "holder": who})
        voter = None
        if self.voter:
            voter = {
                "blank": self.voter.blank,
                "disk": not self.disk_fails,
                "duties": len(self.voter.seats),
                "changing": self.voter.pending is not None,
            }
        told = {
            "me": self.process_id,
            "zone": self.zone,
            "there": self.membership.live_count(),
            "health": self.membership.health,
            "stalled": round(self.membership.stalled, 3),
            "stalls": self.membership.counts["stalls"],
            "stalled_ago": round(now - self.membership.stalled_at, 2)
            if self.membership.stalls_seen
            else None,
            "version": __version__,
            "service": self.proxy.service.phase.value,
            "links": self.links(now),
            "servers": self.servers(),
            "members": members,
            "duties": duties,
            "voters": {"version": self.voters.version, "names": self.voters.names},
            "voter": voter,
            "list": self.lists.state() if self.lists else None,
            "sharing": self.shares.state(now) if self.shares else None,
            "counts": dict(self.counts + self.membership.counts),
            "dropped": dict(self.seal.dropped),
        }
        return 200, orjson.dumps(told, option=orjson.OPT_APPEND_NEWLINE), JSON

    def links(self, now: float) -> list[dict[str, Any]]:
        """What this process has seen of the ways to others and back."""
        return [
            {
                "to": name,
                "epoch": epoch,
                "heard": round(min(1e6, now - link.heard_at), 2),
                "asked": link.asked,
                "asked_ago": round(min(1e6, now - link.asked_at), 2),
                "lost": round(link.lost, 3),
                "rtt_ms": round(1000 * link.rtt, 2),
            }
            for (name, epoch), link in sorted(self.membership.links.items())
        ]

    def servers(self) -> list[dict[str, Any]]:
        """What this process holds of the servers: own connections, load and how old that is."""
        balancer = self.proxy.decisions.balancer
        at = self.loop.now
        return [
            {
                "name": s.name,
                "zone": s.zone,
                "state": s.readiness.value,
                "own": len(s.connections),
                "size": s.size,
                "load": round(s.load, 3) if at - s.load_at < 60 else None,
                "load_age": round(at - s.load_at, 1) if at - s.load_at < 60 else None,
                "distrust": round(s.score(at), 2),
                "arrives": s.arrival is not None,
            }
            for s in sorted(balancer.servers.values(), key=lambda s: s.name)
        ]

    def tell_history(self, query: str) -> Answer:
        name = dict(parse_qsl(query)).get("name")
        rows = [row for row in self.history if name in (None, row["duty"])]
        return 200, orjson.dumps(rows, option=orjson.OPT_APPEND_NEWLINE), JSON

    def command(self, query: str) -> Answer:
        """hand-over?name=DUTY&to=MEMBER, release?name=DUTY: passed on to the holder."""
        asked = dict(parse_qsl(query))
        duty, to = asked.get("name", ""), asked.get("to", "")
        runner = self.runners.get(duty)
        if runner is None and duty not in self.holders:
            return 404, f"name: expected a duty, got {duty[:80]!r}\n".encode(), PLAIN
        if to and not any(member.name == to for member in self.membership.live_members()) and to != self.name:
            return 404, f"to: expected a member that is there, got {to[:80]!r}\n".encode(), PLAIN
        if not (who := self.holder(duty)):
            return 409, f"{duty}: no holder is known\n".encode(), PLAIN
        self.send_to_process(who, said.Command(duty, to))
        self.task.wake()
        return 200, f"told {who}\n".encode(), PLAIN

    def change_voters(self, query: str) -> Answer:
        """voters?remove=NAME&add=NAME: passed on to the holder of VOTERS."""
        asked = dict(parse_qsl(query))
        remove, add = asked.get("remove", ""), asked.get("add", "")
        names = self.voters.names
        if remove not in names:
            return 404, f"remove: expected one of {', '.join(names)}, got {remove[:80]!r}\n".encode(), PLAIN
        if add in names or not (
            add == self.name or any(m.name == add for m in self.membership.live_members())
        ):
            return (
                404,
                f"add: expected a member that is there and no voter, got {add[:80]!r}\n".encode(),
                PLAIN,
            )
        if not (who := self.holder(VOTERS)):
            return 409, b"no holder of the duty of changing voters is known\n", PLAIN
        self.send_to_process(who, said.Change(remove, add))
        self.task.wake()
        return 200, f"told {who}\n".encode(), PLAIN

    # told by the proxy

    def on_endpoint_list(self, kind: EndpointListKind, entries: list[Endpoint]) -> None:
        if self.lists:
            self.lists.own_list(kind)

    def close(self) -> None:
        """The process ends: what it holds goes on to others at once."""
        if self.closed:
            return
        for runner in self.runners.values():
            self.hand_over(runner, "stopped", self.successor(runner))
        self.step()
        self.membership.leave()
        self.flush()
        self.closed = True
        self.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()
        if self.records:
            self.records.close()
        if self.addresses:
            self.addresses.close()


def attach(fleet: Fleet) -> Callable[[Proxy], None]:
    def put_on(proxy: Proxy) -> None:
        Node(proxy, fleet)

    return put_on
