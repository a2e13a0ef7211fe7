"""The route guard: fences writes to a site's routing daemon, which does not support terms itself.

    python -m onyxhollow route-guard --config gate.toml

Only the guard uses the daemon's local socket. An announcer calls the guard over HTTP with the term of its
lease. A call with a lower term than an earlier call is rejected with status 409; a term is stored on disk
before the call is answered. Commands are sent to the daemon whole or not at all: the guard builds a command
only after it has read the whole call, so a call cut short by a stopped announcer has no effect. The route
table is stored on disk and sent again whenever the connection to the daemon has been re-established.

Without calls of an announcer, for example at a site that is cut off from the voters, the guard withdraws the
addresses that are dead according to the members of the site. It withdraws all addresses if the site has
`cut_off = "withdraw"`, or if no member reports either. Addresses that are advertised at too few other sites
(`last`) are not withdrawn.

    POST /claim?term=T&member=M                     claim the route table; returns the state
    POST /set?term=T&number=N&keeper=K&name=A&as=S  set an address to withdrawn (0), lowered (1) or advertised
                                                    (2); N increases within T, late calls have no effect
    POST /alive?term=T&last=A,B                     heartbeat of the announcer; A and B must not be withdrawn
    POST /seen?member=M&A=HEALTH&B=HEALTH           health report of a member, used without an announcer
    GET  /routes                                    the state

The response is JSON: `term`, `keeper` (the controller's term), `speaker` (whether the daemon is connected),
and for each address the preference set (`wanted`) and that confirmed by the daemon (`told`; null: unknown).
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

CHECK_INTERVAL_SECONDS = 0.2  # between checks for orphaned routes
MIN_EVIDENCE_AGE_SECONDS = 3.0  # lower limit of the time for which a member's report is valid
MAX_RECORDS = 512  # the store is rewritten before it exceeds this number
MAX_NUMBER_DIGITS = 18  # in a query parameter
MAX_TRACEBACK_CHARACTERS = 1000  # in a log line
JSON = "application/json"


def read_number(query: dict[str, list[str]], name: str) -> int:
    """Return a non-negative integer parameter of a query; -1 if it is missing or invalid."""
    text = query.get(name, [""])[0]
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else -1


def read_text(query: dict[str, list[str]], name: str) -> str:
    """Return a text parameter of a query; empty if it is missing."""
    return query.get(name, [""])[0]


class RouteGuard:
    """A site's route guard: the route table, its store, the HTTP API and the routing daemon's client."""

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
        self.health = HealthAggregator(max(MIN_EVIDENCE_AGE_SECONDS, addresses.policy.max_evidence_age))
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
        self.loop.spawn(self.check_orphaned_routes())
        preferences = {name: int(preference) for name, preference in self.table.preferences.items()}
        self.log_event("route guard", term=self.table.term, cut=self.records.torn_tail, stands=preferences)

    def log_event(self, event: str, **values: Any) -> None:
        """Write one line to the log, with the monotonic time in `at`."""
        self.log.event(event, at=round(time.monotonic(), 4), **values)

    def on_failure(self, where: str, error: BaseException) -> None:
        """Log a failed coroutine of the event loop; the guard continues."""
        trace = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARACTERS:]
        self.log_event("failure", where=where, error=repr(error)[:200], trace=trace)

    def close(self) -> None:
        """Close the store and the listener."""
        self.records.close()
        self.management.listener.close()

    # Responses

    def answer_state(self, status: int = 200) -> Answer:
        """Return the guard's state, the response to every valid call."""
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
        """Count, log and answer a call with a stale term."""
        self.counters.add("calls of an older term")
        self.log_event("stale term", seen=error.expected)
        return self.answer_state(409)

    def answer_stored(self, records: list[GuardRecord], before: RouteTable) -> Answer:
        """Store the changes of a call and answer it; if storing fails, revert the changes."""
        if records and not self.store(records):
            self.table.revert(before)
            return 503, b"disk failure: the change was not stored\n", PLAIN_TEXT
        if records:
            self.daemon.wake()
        return self.answer_state()

    def store(self, records: list[GuardRecord]) -> bool:
        """Store records and return whether they are on disk; a call is answered only afterwards."""
        try:
            if len(self.records.bodies) + len(records) > MAX_RECORDS:
                self.records.rewrite([encode(record) for record in self.table.records()])
            else:
                self.records.append(*(encode(record) for record in records))
        except OSError as error:
            self.log_event("route guard disk", why=str(error.strerror)[:200])
            return False
        return True

    # Calls of announcers

    def claim(self, query: str) -> Answer:
        """Handle POST /claim."""
        parameters = parse_qs(query)
        term = read_number(parameters, "term")
        member = read_text(parameters, "member")
        if term < 1 or not member:
            return 400, b"claim: expected parameters term (from 1) and member\n", PLAIN_TEXT
        before = self.table.copy()
        try:
            records = self.table.claim(term, member, clock.now())
        except StaleTermError as error:
            return self.answer_stale_term(error)
        if records:
            self.log_event("claimed", term=term, member=member)
        return self.answer_stored(records, before)

    def set_preference(self, query: str) -> Answer:
        """Handle POST /set."""
        parameters = parse_qs(query)
        term = read_number(parameters, "term")
        number = read_number(parameters, "number")
        controller_term = read_number(parameters, "keeper")
        preference = read_number(parameters, "as")
        name = read_text(parameters, "name")
        is_valid = preference in (0, 1, 2) and name in self.table.preferences
        if min(term, number) < 1 or controller_term < 0 or not is_valid:
            return (
                400,
                b"set: expected parameters term, number, keeper, name (a known address) and as (0 to 2)\n",
                PLAIN_TEXT,
            )
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
        """Handle POST /alive."""
        parameters = parse_qs(query)
        last_addresses = set(read_text(parameters, "last").split(","))
        try:
            self.table.heartbeat(read_number(parameters, "term"), last_addresses, clock.now())
        except StaleTermError as error:
            return self.answer_stale_term(error)
        return self.answer_state()

    # Operation without an announcer

    def report_health(self, query: str) -> Answer:
        """Handle POST /seen, a member's health report."""
        parameters = dict(parse_qsl(query))
        member = parameters.pop("member", "")
        rows = []
        for name, text in parameters.items():
            with contextlib.suppress(ValueError):
                if name in self.table.preferences:
                    rows.append(AddressHealth(name, float(text), "", 0.0, 0.0))
        if not member or not rows:
            return 400, b"seen: expected parameters member and ADDRESS=HEALTH\n", PLAIN_TEXT
        self.member_seen_at = clock.now()
        self.health.record(member, HealthReport(self.config.site, rows), self.member_seen_at)
        return self.answer_state()

    def dead_addresses(self, now: float) -> set[str]:
        """Return the addresses that have been dead for `dead_for` seconds according to the site's members."""
        for name in self.table.preferences:
            health = self.health.assess(self.config.site, name, now).health
            if health is None or health >= self.policy.dead_below:
                self.dead_since.pop(name, None)
            else:
                self.dead_since.setdefault(name, now)
        return {name for name, since in self.dead_since.items() if now - since >= self.policy.dead_for}

    def check_orphaned_routes(self) -> Generator[float, None, None]:
        """Check for orphaned routes periodically; runs forever."""
        while True:
            self.withdraw_orphaned(clock.now())
            yield self.loop.now + CHECK_INTERVAL_SECONDS

    def withdraw_orphaned(self, now: float) -> None:
        """Withdraw routes that no announcer controls, as `RouteTable.withdraw_orphaned` decides."""
        max_age = max(self.policy.max_evidence_age, self.policy.dead_for)
        silent_for = now - self.member_seen_at
        dead = self.dead_addresses(now)
        withdrawn = self.table.withdraw_orphaned(self.config.orphaned_after, dead, now, silent_for, max_age)
        if not withdrawn:
            return
        announcer_silent_for = round(now - self.table.announcer_seen_at, 2)
        for row in withdrawn:
            self.log_event(
                "orphaned", name=row.name, after=announcer_silent_for, members_silent=round(silent_for, 2)
            )
        self.store([*withdrawn])  # withdrawn even if storing fails, since no announcer would retry
        self.daemon.wake()


def main(path: str) -> int:
    """Run a route guard until a signal, and return the exit code: 2 if it cannot start."""
    try:
        config, addresses, site = read_guard_config(path)
        folder = os.path.join(os.path.dirname(os.path.abspath(path)), config.folder)
        guard = RouteGuard(config, addresses, site, folder, sys.stdout.fileno())
    except (AddressesError, AppendLogError, ListenError) as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except msgspec.DecodeError as error:
        sys.stderr.write(f"onyxhollow: {path}: folder: expected records of a route guard, got {error}\n")
        return 2

    def stop(*_: Any) -> None:
        guard.loop.running = False

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    guard.loop.run()
    guard.close()
    return 0
