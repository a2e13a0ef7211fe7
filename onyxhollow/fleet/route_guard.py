"""The route guard: fences writes to a site's routing daemon, which knows no terms.

    python -m onyxhollow route-guard --config gate.toml

It alone uses the daemon's local socket. An announcer calls it by HTTP with the term of its lease; a call
under a lower term than one seen before is refused with 409, and terms are on disk before they are answered.
A command goes out complete or not at all: it is made here from a call that has been read to its end, so a
holder stopped in the middle of a write leaves half a call, which is nothing. The route table is on disk,
and sent again whenever the daemon or its connection has come back. If no announcer calls any more, as at a
site that is cut off from the voters, the guard withdraws what the members there see as dead, or all if the
site's file says so or if no member reports either, unless an address is among the last.

    POST /claim?term=T&member=M                     take over; answered with the state
    POST /set?term=T&number=N&keeper=K&name=A&as=S  an address is to be withdrawn (0), lowered (1), advertised
                                                    (2); N rises under T, an overtaken call changes nothing
    POST /alive?term=T&last=A,B                     the announcer is there; these are among the last
    POST /seen?member=M&A=HEALTH&B=HEALTH           what a member sees; counts without an announcer
    GET  /routes                                    the state, for anyone

Each answers with JSON: term, keeper (the controller's term), speaker (whether the daemon is connected), and
of each address what is wanted and what the daemon has taken (`told`; null: not known).
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

from onyxhollow.addresses.file import AddressesError, AddressesFile, Site, parse_host_port
from onyxhollow.addresses.health import HealthAggregator
from onyxhollow.addresses.messages import AddressHealth, HealthReport
from onyxhollow.addresses.route_table import RECORDS, GuardRecord, RouteTable, StaleTermError, encode
from onyxhollow.addresses.routes import Preference
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.counters import Counters
from onyxhollow.fleet import clock
from onyxhollow.fleet.route_guard_config import RouteGuardConfig, read_guard_config
from onyxhollow.fleet.routing_daemon import RoutingDaemonClient
from onyxhollow.lifecycle.log import Log
from onyxhollow.loop import Loop
from onyxhollow.management.api import PLAIN_TEXT, Answer, Management
from onyxhollow.wire.listening import ListenError

CHECK_INTERVAL = 0.2  # seconds between checks whether an announcer still calls
MIN_EVIDENCE_AGE = 3.0  # seconds for which a member's report counts, at the least
MAX_RECORDS = 512  # in the store; past them it is rewritten
MAX_NUMBER_DIGITS = 18  # of a number in a query
MAX_TRACE = 1000  # characters of a traceback in the log
JSON = "application/json"


def read_number(query: dict[str, list[str]], name: str) -> int:
    """A whole number of a query; -1 if it is missing or something else."""
    text = query.get(name, [""])[0]
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else -1


def read_text(query: dict[str, list[str]], name: str) -> str:
    """A text of a query; empty if it is missing."""
    return query.get(name, [""])[0]


class RouteGuard:
    """One site's route guard: its route table, the store, the HTTP calls and the routing daemon's client."""

    def __init__(
        self, config: RouteGuardConfig, addresses: AddressesFile, site: Site, folder: str, log_fd: int
    ) -> None:
        self.config = config
        self.policy = addresses.policy
        self.log = Log(log_fd, f"gate/{site.name}")
        self.loop = Loop(self.on_failure)
        self.counters = Counters()
        self.table = RouteTable(addresses.services, site, config.own_as)
        self.records = AppendLog(folder, "gate")
        self.table.restore([RECORDS.decode(row) for row in self.records.bodies])
        self.table.announcer_seen_at = clock.now()
        self.health = HealthAggregator(max(MIN_EVIDENCE_AGE, addresses.policy.max_evidence_age))
        self.dead_since: dict[str, float] = {}  # by address
        self.member_seen_at = clock.now()  # the last report of any member
        self.management = Management(
            self.loop,
            parse_host_port(config.listen, "listen"),
            self.counters,
            {
                "/routes": {"GET": lambda _: self.answer_state()},
                "/claim": {"POST": self.claim},
                "/set": {"POST": self.set_preference},
                "/alive": {"POST": self.heartbeat},
                "/seen": {"POST": self.report_health},
            },
        )
        self.daemon = RoutingDaemonClient(
            self.loop, parse_host_port(config.speaker, "speaker"), self.table, self.log_event, self.counters
        )
        self.loop.spawn(self.watch_for_orphans())
        preferences = {name: int(preference) for name, preference in self.table.preferences.items()}
        self.log_event("route guard", term=self.table.term, cut=self.records.torn_tail, stands=preferences)

    def log_event(self, event: str, **values: Any) -> None:
        """Writes one line to the log, with the monotonic time in `at`."""
        self.log.event(event, at=round(time.monotonic(), 4), **values)

    def on_failure(self, where: str, error: BaseException) -> None:
        """A coroutine of the loop has failed: it is logged, and the guard goes on."""
        trace = "".join(traceback.format_exception(error))[-MAX_TRACE:]
        self.log_event("failure", where=where, error=repr(error)[:200], trace=trace)

    def close(self) -> None:
        """Closes the store and the listener."""
        self.records.close()
        self.management.listener.close()

    # answers

    def answer_state(self, status: int = 200) -> Answer:
        """The answer to every call that was understood."""
        rows = {
            name: {"wanted": int(preference), "told": self.daemon.installed[name]}
            for name, preference in self.table.preferences.items()
        }
        state = {
            "term": self.table.term,
            "member": self.table.member,
            "keeper": self.table.controller_term,
            "speaker": self.daemon.connected,
            "rows": rows,
        }
        return status, orjson.dumps(state, option=orjson.OPT_APPEND_NEWLINE), JSON

    def answer_stale_term(self, error: StaleTermError) -> Answer:
        """The answer to a call under an old term."""
        self.counters.add("calls of an older term")
        self.log_event("stale term", seen=error.expected)
        return self.answer_state(409)

    def answer_stored(self, records: list[GuardRecord], before: RouteTable) -> Answer:
        """Stores what a call has changed, then answers; without the disk nothing of the call counts."""
        if records and not self.store(records):
            self.table.revert(before)
            return 503, b"the disk fails\n", PLAIN_TEXT
        if records:
            self.daemon.wake()
        return self.answer_state()

    def store(self, records: list[GuardRecord]) -> bool:
        """Whether the records are on disk; nothing is answered or sent to the daemon before."""
        try:
            if len(self.records.bodies) + len(records) > MAX_RECORDS:
                self.records.rewrite([encode(record) for record in self.table.records()])
            else:
                self.records.append(*(encode(record) for record in records))
        except OSError as error:
            self.log_event("route guard disk", why=str(error.strerror)[:200])
            return False
        return True

    # calls of announcers

    def claim(self, query: str) -> Answer:
        """POST /claim."""
        parameters = parse_qs(query)
        term = read_number(parameters, "term")
        member = read_text(parameters, "member")
        if term < 1 or not member:
            return 400, b"claim: expected term and member\n", PLAIN_TEXT
        before = self.table.copy()
        try:
            records = self.table.claim(term, member, clock.now())
        except StaleTermError as error:
            return self.answer_stale_term(error)
        if records:
            self.log_event("claimed", term=term, member=member)
        return self.answer_stored(records, before)

    def set_preference(self, query: str) -> Answer:
        """POST /set."""
        parameters = parse_qs(query)
        term = read_number(parameters, "term")
        number = read_number(parameters, "number")
        controller_term = read_number(parameters, "keeper")
        preference = read_number(parameters, "as")
        name = read_text(parameters, "name")
        known = preference in (0, 1, 2) and name in self.table.preferences
        if min(term, number) < 1 or controller_term < 0 or not known:
            return 400, b"set: expected term, number, keeper, a known name, as from 0 to 2\n", PLAIN_TEXT
        before = self.table.copy()
        try:
            records = self.table.set_preference(
                term, number, controller_term, name, Preference(preference), clock.now()
            )
        except StaleTermError as error:
            return self.answer_stale_term(error)
        if records:
            self.log_event("set", name=name, standing=preference, term=term, keeper=controller_term)
        return self.answer_stored(records, before)

    def heartbeat(self, query: str) -> Answer:
        """POST /alive."""
        parameters = parse_qs(query)
        last_addresses = set(read_text(parameters, "last").split(","))
        try:
            self.table.heartbeat(read_number(parameters, "term"), last_addresses, clock.now())
        except StaleTermError as error:
            return self.answer_stale_term(error)
        return self.answer_state()

    # without an announcer

    def report_health(self, query: str) -> Answer:
        """POST /seen: a member's health report."""
        parameters = dict(parse_qsl(query))
        member = parameters.pop("member", "")
        rows = []
        for name, text in parameters.items():
            with contextlib.suppress(ValueError):
                if name in self.table.preferences:
                    rows.append(AddressHealth(name, float(text), "", 0.0, 0.0))
        if not member or not rows:
            return 400, b"seen: expected member, and addresses with their health\n", PLAIN_TEXT
        self.member_seen_at = clock.now()
        self.health.record(member, HealthReport(self.config.site, rows), self.member_seen_at)
        return self.answer_state()

    def dead_addresses(self, now: float) -> set[str]:
        """What the members here have seen as dead for long enough."""
        for name in self.table.preferences:
            health = self.health.assess(self.config.site, name, now).health
            if health is None or health >= self.policy.dead_below:
                self.dead_since.pop(name, None)
            else:
                self.dead_since.setdefault(name, now)
        return {name for name, since in self.dead_since.items() if now - since >= self.policy.dead_for}

    def watch_for_orphans(self) -> Generator[float, None, None]:
        """Withdraws what nobody looks after, as the file and the members say; forever."""
        while True:
            self.withdraw_orphaned(clock.now())
            yield self.loop.now + CHECK_INTERVAL

    def withdraw_orphaned(self, now: float) -> None:
        """One check."""
        max_age = max(self.policy.max_evidence_age, self.policy.dead_for)
        silent_for = now - self.member_seen_at
        dead = self.dead_addresses(now)
        withdrawn = self.table.withdraw_orphaned(self.config.orphaned_after, dead, now, silent_for, max_age)
        if not withdrawn:
            return
        alone_for = round(now - self.table.announcer_seen_at, 2)
        for row in withdrawn:
            self.log_event("orphaned", name=row.name, after=alone_for, members_silent=round(silent_for, 2))
        self.store([*withdrawn])  # withdrawn without the disk too: nobody is there to try again
        self.daemon.wake()


def main(path: str) -> int:
    """Runs a route guard until a signal; the exit code, 2 if it cannot start."""
    try:
        config, addresses, site = read_guard_config(path)
        folder = os.path.join(os.path.dirname(os.path.abspath(path)), config.folder)
        guard = RouteGuard(config, addresses, site, folder, sys.stdout.fileno())
    except (AddressesError, AppendLogError, ListenError) as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except msgspec.DecodeError as error:
        sys.stderr.write(f"onyxhollow: {path}: folder: expected a gate's records, got {error}\n")
        return 2

    def stop(*_: Any) -> None:
        guard.loop.running = False

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    guard.loop.run()
    guard.close()
    return 0
