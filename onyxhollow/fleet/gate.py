"""The gate: stands between a site's announcers and its routing daemon, which knows no terms.

    python -m onyxhollow gate --config gate.toml

It alone owns the daemon's local socket. An announcer calls it by HTTP with the term of its duty; a call under
a lower term than one seen before is refused with 409, and terms are on the disk before they are answered. A
command goes out whole or not at all: it is made here from a call that has been read to its end, so a holder
stopped in the middle of a write leaves half a call, which is nothing. What stands is kept on disk and told
again whenever the daemon or its connection has come back. If no announcer calls any more, as at a site that
is cut off from the voters, the gate withdraws what the members there see as dead, or all if the site's file
says so or if no member says a word either, unless an address is among the last.

    POST /claim?term=T&member=M                     take over; answered with what stands
    POST /set?term=T&number=N&keeper=K&name=A&as=S  an address is to be withdrawn (0), lesser (1), advertised
                                                    (2); N rises under T, an overtaken call is nothing
    POST /alive?term=T&last=A,B                     the announcer is there; these are among the last
    POST /seen?member=M&A=HEALTH&B=HEALTH           what a member sees; counts without an announcer
    GET  /routes                                    what stands, for anyone

Each answers with JSON: term, keeper, speaker, and of each address what is wanted and what the daemon has
taken (`told`; null: not known). The daemon is driven by published line commands, those of ExaBGP's text API:
`announce route PREFIX next-hop ...`, `withdraw route PREFIX ...`; each is answered with `done` or `error`.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time
import traceback
from collections.abc import Generator
from typing import Any
from urllib.parse import parse_qs, parse_qsl

import msgspec
import orjson

from onyxhollow.addresses.file import (
    AddressesError,
    AddressesFile,
    Site,
    one_line,
    read_address,
    read_addresses,
)
from onyxhollow.addresses.health import Witnesses
from onyxhollow.addresses.messages import Evidence, Seen
from onyxhollow.addresses.rules import Standing
from onyxhollow.addresses.table import RECORDS, Refused, Stands, Table, Term, encode
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.counters import Counters
from onyxhollow.fleet import clock
from onyxhollow.lifecycle.log import Log
from onyxhollow.loop import Loop
from onyxhollow.management.api import PLAIN, Answer, Management
from onyxhollow.wire.buffers import MAX_LINE_SIZE, BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.listening import ListenError

TAKES = 3.0  # seconds for the daemon to answer a command
AGAIN = 0.3  # seconds until its socket is tried again
LOOK = 0.2  # seconds between looks whether an announcer still calls
COMPACT = 512  # records past which they are written anew
JSON = "application/json"


class GateFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    addresses: str  # the file of addresses
    site: str
    listen: str  # HOST:PORT where announcers call
    speaker: str  # HOST:PORT of the daemon's local socket
    folder: str  # what outlives this process
    own_as: int = 64512
    orphaned_after: float = 15.0  # seconds without an announcer after which the site's file counts


def read_gate(path: str) -> tuple[GateFile, AddressesFile, Site]:
    with one_line(path), open(path, "rb") as file:
        told = msgspec.toml.decode(file.read(), type=GateFile, strict=True)
        read_address(told.listen, "listen")
        read_address(told.speaker, "speaker")
        if not 0 < told.own_as < 1 << 32:
            raise AddressesError(f"own_as: expected 1 to {(1 << 32) - 1}, got {told.own_as}")
        if not 0.5 <= told.orphaned_after <= 3600:
            raise AddressesError(f"orphaned_after: expected 0.5 to 3600, got {told.orphaned_after:g}")
        addresses = read_addresses(os.path.join(os.path.dirname(os.path.abspath(path)), told.addresses))
        site = next((site for site in addresses.site if site.name == told.site), None)
        if site is None:
            names = ", ".join(site.name for site in addresses.site)
            raise AddressesError(f"site: expected one of {names}, got {told.site[:80]!r}")
    return told, addresses, site


class Gate:
    def __init__(self, told: GateFile, addresses: AddressesFile, site: Site, folder: str, out: int) -> None:
        self.told, self.log = told, Log(out, f"gate/{site.name}")
        self.loop = Loop(self.failed)
        self.pool, self.counters = BufferPool(), Counters()
        self.table = Table(addresses.service, site, told.own_as)
        self.records = AppendLog(folder, "gate")
        self.table.remember([RECORDS.decode(row) for row in self.records.rows])
        self.table.alive_at = clock.now()
        self.taken: dict[str, Standing | None] = dict.fromkeys(self.table.stands)  # what the daemon has taken
        self.channel: Channel | None = None
        self.speaker = False
        self.policy = addresses.policy
        self.witnesses = Witnesses(max(3.0, addresses.policy.fresh))
        self.dead_since: dict[str, float] = {}
        self.heard_at = clock.now()  # the last word of any member
        self.management = Management(
            self.loop,
            read_address(told.listen, "listen"),
            self.counters,
            {
                "/routes": {"GET": lambda _: self.tell()},
                "/claim": {"POST": self.claim},
                "/set": {"POST": self.put},
                "/alive": {"POST": self.alive},
                "/seen": {"POST": self.seen},
            },
        )
        self.talker = self.loop.spawn(self.talk())
        self.loop.spawn(self.watch())
        self.event("gate", term=self.table.term, cut=self.records.cut, stands=self.wanted())

    def event(self, event: str, **values: Any) -> None:
        self.log.event(event, at=round(time.monotonic(), 4), **values)

    def failed(self, where: str, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))[-1000:]
        self.event("failure", where=where, error=repr(error)[:200], trace=trace)

    # announcers

    def wanted(self) -> dict[str, int]:
        return {name: int(standing) for name, standing in self.table.stands.items()}

    def tell(self, status: int = 200) -> Answer:
        rows = {
            name: {"wanted": int(standing), "told": self.taken[name]}
            for name, standing in self.table.stands.items()
        }
        told = {
            "term": self.table.term,
            "member": self.table.member,
            "keeper": self.table.keeper,
            "speaker": self.speaker,
            "rows": rows,
        }
        return status, orjson.dumps(told, option=orjson.OPT_APPEND_NEWLINE), JSON

    def keep(self, rows: list[Term | Stands]) -> bool:
        """Whether it is on the disk; nothing is answered and nothing told before."""
        if not rows:
            return True
        try:
            if len(self.records.rows) + len(rows) > COMPACT:
                self.records.rewrite([encode(row) for row in self.table.rows()])
            else:
                self.records.append(*(encode(row) for row in rows))
        except OSError as error:
            self.event("gate disk", why=str(error.strerror)[:200])
            return False
        return True

    def outcome(self, found: Refused | list[Term | Stands] | None, before: Table) -> Answer:
        if isinstance(found, Refused):
            self.counters.add("calls of an older term")
            self.event("refused", seen=found.seen)
            return self.tell(409)
        if found and not self.keep(found):
            self.table.term, self.table.member = before.term, before.member  # nothing of it counts
            self.table.stands, self.table.keeper = dict(before.stands), before.keeper
            self.table.number = before.number
            return 503, b"the disk fails\n", PLAIN
        if found:
            self.talker.wake()
        return self.tell()

    def copy(self) -> Table:
        before = Table(list(self.table.services.values()), self.table.site, self.table.own_as)
        before.term, before.member, before.keeper = self.table.term, self.table.member, self.table.keeper
        before.stands, before.number = dict(self.table.stands), self.table.number
        return before

    @staticmethod
    def number(asked: dict[str, list[str]], name: str) -> int:
        word = asked.get(name, [""])[0]
        return int(word) if word.isdigit() and len(word) < 19 else -1

    def claim(self, query: str) -> Answer:
        asked, before = parse_qs(query), self.copy()
        term, member = self.number(asked, "term"), asked.get("member", [""])[0]
        if term < 1 or not member:
            return 400, b"claim: expected term and member\n", PLAIN
        found = self.table.claim(term, member, clock.now())
        if found and not isinstance(found, Refused):
            self.event("claimed", term=term, member=member)
        return self.outcome(found, before)

    def put(self, query: str) -> Answer:
        asked, before = parse_qs(query), self.copy()
        term, number, keeper, standing = (
            self.number(asked, name) for name in ("term", "number", "keeper", "as")
        )
        name = asked.get("name", [""])[0]
        if min(term, number) < 1 or keeper < 0 or standing not in (0, 1, 2) or name not in self.table.stands:
            return 400, b"set: expected term, number, keeper, a known name, as from 0 to 2\n", PLAIN
        found = self.table.put(term, number, keeper, name, Standing(standing), clock.now())
        if found and not isinstance(found, Refused):
            self.event("set", name=name, standing=standing, term=term, keeper=keeper)
        return self.outcome(found, before)

    def alive(self, query: str) -> Answer:
        asked = parse_qs(query)
        last = set(asked.get("last", [""])[0].split(","))
        return self.outcome(self.table.alive(self.number(asked, "term"), last, clock.now()), self.table)

    def seen(self, query: str) -> Answer:
        asked = dict(parse_qsl(query))
        member, rows = asked.pop("member", ""), []
        for name, word in asked.items():
            with contextlib.suppress(ValueError):
                if name in self.table.stands:
                    rows.append(Seen(name, float(word), "", 0.0, 0.0))
        if not member or not rows:
            return 400, b"seen: expected member, and addresses with their health\n", PLAIN
        self.heard_at = clock.now()
        self.witnesses.take(member, Evidence(self.told.site, rows), self.heard_at)
        return self.tell()

    def dead(self, now: float) -> set[str]:
        """What the members here have seen as dead for long enough."""
        for name in self.table.stands:
            health = self.witnesses.judge(self.told.site, name, now).health
            if health is None or health >= self.policy.dead:
                self.dead_since.pop(name, None)
            else:
                self.dead_since.setdefault(name, now)
        return {name for name, since in self.dead_since.items() if now - since >= self.policy.dead_for}

    def watch(self) -> Generator[float, None, None]:
        while True:
            now = clock.now()
            fresh = max(self.policy.fresh, self.policy.dead_for)
            silent = now - self.heard_at
            gone = self.table.orphaned(self.told.orphaned_after, self.dead(now), now, silent, fresh)
            if gone:
                alone = round(now - self.table.alive_at, 2)
                for row in gone:
                    self.event("orphaned", name=row.name, after=alone, members_silent=round(silent, 2))
                self.keep(list(gone))
                self.talker.wake()
            yield self.loop.now + LOOK

    # the daemon

    def talk(self) -> Generator[float, None, None]:
        """One command at a time; each is taken or failed before the next."""
        while True:
            try:
                self.channel = Channel.connect(
                    self.loop, read_address(self.told.speaker, ""), self.pool, self.wake
                )
                until = self.loop.now + TAKES
                while self.channel.connecting and self.loop.now < until and not self.channel.ended:
                    yield until
                if not self.channel.connecting and not self.channel.ended:
                    self.speaker = True
                    self.event("speaker", up=True)
                    yield from self.serve(self.channel)
            except OSError:
                pass
            if self.channel:
                self.channel.close()
            if self.speaker:
                self.event("speaker", up=False)
            self.speaker, self.channel = False, None
            self.taken = dict.fromkeys(self.table.stands)  # what it still knows, nobody can say
            until = self.loop.now + AGAIN
            while self.loop.now < until:
                yield until

    def wake(self) -> None:
        self.talker.wake()

    def serve(self, channel: Channel) -> Generator[float, None, None]:
        while not channel.ended:
            due = [name for name, standing in self.table.stands.items() if self.taken[name] is not standing]
            due.sort(key=lambda name: -self.table.stands[name])
            if not due:
                channel.inbox.take_rest()  # nothing is owed: what comes says only that it lives
                channel.set_paused(False)
                yield self.loop.now + 1.0
                continue
            name, standing = due[0], self.table.stands[due[0]]
            command = self.table.command(name)
            channel.write(command.encode() + b"\n")
            got, until = b"", self.loop.now + TAKES
            while b"\n" not in got and len(got) < MAX_LINE_SIZE:  # ends with a bare LF, as its API does
                got += channel.inbox.take_rest()
                channel.set_paused(False)
                if b"\n" not in got:
                    if self.loop.now >= until or channel.ended:
                        break
                    yield until
            answer = got.partition(b"\n")[0].strip() if b"\n" in got else b""
            took = answer == b"done"
            self.event("told", command=command, answer=answer.decode(errors="replace")[:80])
            if took:
                self.taken[name] = standing
            elif answer:
                self.counters.add("commands refused by the speaker")
                yield from self.loop.sleep(AGAIN)
            else:
                return  # no answer: a new connection, and all of it once more


def main(path: str) -> int:
    try:
        told, addresses, site = read_gate(path)
        folder = os.path.join(os.path.dirname(os.path.abspath(path)), told.folder)
        gate = Gate(told, addresses, site, folder, sys.stdout.fileno())
    except (AddressesError, AppendLogError, ListenError) as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except msgspec.DecodeError as error:
        sys.stderr.write(f"onyxhollow: {path}: folder: expected a gate's records, got {error}\n")
        return 2

    def stop(*_: Any) -> None:
        gate.loop.running = False

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    gate.loop.run()
    gate.records.close()
    return 0
