"""The leader task of a site's announcer: brings the controller's assignments to the site's route guard."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any
from urllib.parse import quote

import h11
import msgspec
import orjson

from onyxhollow.addresses.announcer import Announcer, GuardedRoute, GuardState
from onyxhollow.addresses.file import AddressesFile, Site, parse_host_port
from onyxhollow.addresses.messages import DrainRequest, RouteAssignment, paginate
from onyxhollow.addresses.routes import Preference
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.leader_tasks import STALE_TERM_STATUS, HttpRequestTask
from onyxhollow.fleet.shared_addresses.messenger import AddressMessenger
from onyxhollow.wire.discovery_connection import DiscoveryConnection, DiscoveryStatusError
from onyxhollow.wire.endpoint_list import EndpointListError

GUARD_TIMEOUT = 1.0  # seconds for the route guard to answer a call


def read_guard_state(body: bytes) -> GuardState:
    """The route guard's answer.

    Raises:
        ValueError: it is not JSON, or a preference is out of range.
        KeyError: a key is missing.
    """
    answer = orjson.loads(body)
    routes = {name: read_guarded_route(row) for name, row in answer["rows"].items()}
    return GuardState(routes, int(answer["keeper"]), bool(answer["speaker"]))


def read_guarded_route(row: dict[str, Any]) -> GuardedRoute:
    """One address of the answer."""
    installed = row["told"]
    return GuardedRoute(Preference(int(row["wanted"])), None if installed is None else Preference(installed))


class AnnouncerTask(HttpRequestTask):
    """Calls the route guard while this process holds the site's lease.

    Attributes:
        core: the announcer of the present term; None while the lease is not held.
        last_progress_at: when the guard last answered, on the loop's clock.
        superseded: the guard has seen a newer term.
    """

    def __init__(
        self, member: MemberContext, config: AddressesFile, messenger: AddressMessenger, site: Site
    ) -> None:
        super().__init__()
        self.member = member
        self.config = config
        self.messenger = messenger
        self.site = site
        self.core: Announcer | None = None
        self.last_progress_at = member.loop.now
        self.superseded = False
        self.address = parse_host_port(site.route_guard, "gate")

    def start(self, term: int, lease_held: Callable[[], bool]) -> None:
        """Begins a term; `lease_held` is called before each call to the guard."""
        self.run_number += 1
        self.last_progress_at = self.member.loop.now
        self.superseded = False
        self.core = Announcer(self.config, self.site, term, clock.now())
        self.task = self.member.loop.spawn(self.run(self.run_number, self.core, lease_held))

    def stop(self) -> None:
        """Ends the term."""
        super().stop()
        self.core = None

    def run(
        self, this_run: int, core: Announcer, lease_held: Callable[[], bool]
    ) -> Generator[float, None, None]:
        """Rounds of calls until the term ends."""
        loop = self.member.loop
        while self.run_number == this_run:
            due = loop.now + self.config.interval
            try:
                yield from self.call_round(this_run, core, lease_held)
            except DiscoveryStatusError as error:
                self.close_connection()
                self.superseded = self.superseded or error.status == STALE_TERM_STATUS
            except (EndpointListError, OSError, h11.ProtocolError, ValueError, KeyError):
                if self.run_number == this_run:
                    self.close_connection()
            if self.run_number == this_run:
                self.report(core)
                self.request_drains(core)
            while self.run_number == this_run and loop.now < due:
                yield due

    def call_round(
        self, this_run: int, core: Announcer, lease_held: Callable[[], bool]
    ) -> Generator[float, None, None]:
        """Claims the guard if need be, sets what differs, and shows that the announcer is there."""
        if not core.synchronized or not core.daemon_connected:
            member = quote(self.member.process_id)
            yield from self.call_guard(this_run, core, f"/claim?term={core.term}&member={member}", lease_held)
        for text in core.tick(clock.now()):
            self.member.log_event("address cut off", site=self.site.name, why=text)
        for route in core.pending_routes():
            what = f"name={quote(route.name)}&as={int(route.desired)}&keeper={core.controller_term}"
            target = f"/set?term={core.term}&number={core.next_call_number()}&{what}"
            yield from self.call_guard(this_run, core, target, lease_held)
        last = quote(",".join(route.name for route in core.routes.values() if route.is_last))
        yield from self.call_guard(this_run, core, f"/alive?term={core.term}&last={last}", lease_held)

    def call_guard(
        self, this_run: int, core: Announcer, target: str, lease_held: Callable[[], bool]
    ) -> Generator[float, None, None]:
        """One call; its answer goes to the core.

        Raises:
            EndpointListError: no answer, or the lease has ended.
            DiscoveryStatusError: another status than 200.
        """
        loop = self.member.loop
        until = loop.now + GUARD_TIMEOUT
        if self.connection is None or not self.connection.is_reusable:
            self.close_connection()
            self.connection = DiscoveryConnection(loop, self.address, self.buffers, self.wake)
        connection = self.connection
        while connection.channel.connecting:
            if loop.now >= until or self.run_number != this_run:
                raise EndpointListError("not up")
            yield until
        if not lease_held():  # the last thing before the act
            raise EndpointListError("the lease has ended")
        body = yield from connection.get(target, until, lambda: self.run_number != this_run, "POST")
        core.on_guard_state(read_guard_state(body), clock.now())
        self.last_progress_at = loop.now

    def report(self, core: Announcer) -> None:
        """Reports the site's state to the controller, in pages."""
        report = core.report(clock.now())
        if report is None:
            return
        for rows in paginate(report.rows):
            self.messenger.send_to_controller(msgspec.structs.replace(report, rows=rows))

    def request_drains(self, core: Announcer) -> None:
        """Has the site's members move the connections of what an override has withdrawn."""
        for addresses in paginate(core.drained_addresses()):
            self.messenger.send_to_zone(self.site.name, DrainRequest(self.site.name, addresses))

    def on_assignment(self, assignment: RouteAssignment, now: float) -> None:
        """Takes in an assignment and answers it; a change goes to the guard at once."""
        core = self.core
        if core is None:
            return
        before = [route.desired for route in core.routes.values()]
        core.on_assignment(assignment, now)
        self.report(core)
        if before != [route.desired for route in core.routes.values()]:
            self.wake()
