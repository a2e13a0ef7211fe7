"""The leader task of a site's announcer: applies the controller's assignments at the site's route guard."""

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

GUARD_TIMEOUT_SECONDS = 1.0  # per call


def read_guard_state(body: bytes) -> GuardState:
    """Return the state in a response of the route guard.

    Raises:
        ValueError: the response is not JSON, or a preference is out of range.
        KeyError: a key is missing.
    """
    response = orjson.loads(body)
    routes = {name: read_guarded_route(row) for name, row in response["rows"].items()}
    return GuardState(routes, int(response["keeper"]), bool(response["speaker"]))


def read_guarded_route(row: dict[str, Any]) -> GuardedRoute:
    """Return the state of one address in the response."""
    installed = row["told"]
    return GuardedRoute(Preference(int(row["wanted"])), None if installed is None else Preference(installed))


class AnnouncerTask(HttpRequestTask):
    """Calls the site's route guard while this process holds the announcer's lease.

    Attributes:
        core: the announcer of the current term; None while the lease is not held.
        last_progress_at: when the guard last answered a call, on the loop's clock.
        superseded: whether the guard has received a newer term.
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

    def start(self, term: int, holds_lease: Callable[[], bool]) -> None:
        """Start a term; `holds_lease` is checked immediately before each call to the guard."""
        self.run_number += 1
        self.last_progress_at = self.member.loop.now
        self.superseded = False
        self.core = Announcer(self.config, self.site, term, clock.now())
        self.task = self.member.loop.spawn(self.run(self.run_number, self.core, holds_lease))

    def stop(self) -> None:
        """End the term."""
        super().stop()
        self.core = None

    def run(
        self, this_run: int, core: Announcer, holds_lease: Callable[[], bool]
    ) -> Generator[float, None, None]:
        """Call the guard periodically until the term ends."""
        loop = self.member.loop
        while self.run_number == this_run:
            next_round_at = loop.now + self.config.interval
            try:
                yield from self.call_round(this_run, core, holds_lease)
            except DiscoveryStatusError as error:
                self.close_connection()
                self.superseded = self.superseded or error.status == STALE_TERM_STATUS
            except (EndpointListError, OSError, h11.ProtocolError, ValueError, KeyError):
                if self.run_number == this_run:
                    self.close_connection()
            if self.run_number == this_run:
                self.report(core)
                self.request_drains(core)
            while self.run_number == this_run and loop.now < next_round_at:
                yield next_round_at

    def call_round(
        self, this_run: int, core: Announcer, holds_lease: Callable[[], bool]
    ) -> Generator[float, None, None]:
        """Claim the guard if necessary, set the routes that differ, and send a heartbeat."""
        if not core.synchronized or not core.daemon_connected:
            member = quote(self.member.process_id)
            yield from self.call_guard(
                this_run, core, f"/claim?term={core.term}&member={member}", holds_lease
            )
        for reason in core.tick(clock.now()):
            self.member.log_event("address cut off", site=self.site.name, why=reason)
        for route in core.pending_routes():
            setting = f"name={quote(route.name)}&as={int(route.desired)}&keeper={core.controller_term}"
            target = f"/set?term={core.term}&number={core.next_call_number()}&{setting}"
            yield from self.call_guard(this_run, core, target, holds_lease)
        last_addresses = quote(",".join(route.name for route in core.routes.values() if route.is_last))
        yield from self.call_guard(
            this_run, core, f"/alive?term={core.term}&last={last_addresses}", holds_lease
        )

    def call_guard(
        self, this_run: int, core: Announcer, target: str, holds_lease: Callable[[], bool]
    ) -> Generator[float, None, None]:
        """Call the guard and pass its response to the core.

        Raises:
            RequestWithheldError: the lease is not held.
            EndpointListError: there is no response in time, the request is not sent, or the run has ended.
            DiscoveryStatusError: the status of the response is not 200.
        """
        loop = self.member.loop
        deadline = loop.now + GUARD_TIMEOUT_SECONDS
        if self.connection is None or not self.connection.is_reusable:
            self.close_connection()
            self.connection = DiscoveryConnection(loop, self.address, self.buffers, self.wake)
        connection = self.connection
        while connection.channel.connecting:
            if loop.now >= deadline or self.run_number != this_run:
                raise EndpointListError("route guard: expected an established connection, got a pending one")
            yield deadline
        body = yield from connection.get(
            target, deadline, lambda: self.run_number != this_run, "POST", may_send=holds_lease
        )
        core.on_guard_state(read_guard_state(body), clock.now())
        self.last_progress_at = loop.now

    def report(self, core: Announcer) -> None:
        """Send the site's state to the controller, in pages."""
        report = core.report(clock.now())
        if report is None:
            return
        for rows in paginate(report.rows):
            self.messenger.send_to_controller(msgspec.structs.replace(report, rows=rows))

    def request_drains(self, core: Announcer) -> None:
        """Request that the site's members move connections off addresses that an override has withdrawn."""
        for addresses in paginate(core.drained_addresses()):
            self.messenger.send_to_zone(self.site.name, DrainRequest(self.site.name, addresses))

    def on_assignment(self, assignment: RouteAssignment, now: float) -> None:
        """Apply an assignment and report back; if it changes a route, call the guard immediately."""
        core = self.core
        if core is None:
            return
        previous = [route.desired for route in core.routes.values()]
        core.on_assignment(assignment, now)
        self.report(core)
        if previous != [route.desired for route in core.routes.values()]:
            self.wake()
