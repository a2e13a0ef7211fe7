"""Shared addresses as one part of a fleet member: assembles the services and dispatches messages to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import msgspec

from onyxhollow.addresses.file import AddressesFile, Site
from onyxhollow.addresses.messages import (
    MESSAGES,
    ControllerAnnouncement,
    DrainRequest,
    HealthReport,
    Message,
    OverrideQuery,
    OverrideResponse,
    QueryRequest,
    QueryResponsePart,
    RouteAssignment,
    SiteReport,
    StoreAcknowledgement,
    StoreRequest,
    paginate,
)
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.identity import make_process_id
from onyxhollow.fleet.leader_tasks import LeaderTask
from onyxhollow.fleet.shared_addresses.announcer_task import AnnouncerTask
from onyxhollow.fleet.shared_addresses.connection_drain import ConnectionDrain
from onyxhollow.fleet.shared_addresses.controller_task import ControllerTask
from onyxhollow.fleet.shared_addresses.health_probes import GuardHealthReporter, ProbeSessions
from onyxhollow.fleet.shared_addresses.local_health import LocalHealth
from onyxhollow.fleet.shared_addresses.messenger import CONTROLLER_ROLE, AddressMessenger, announcer_role
from onyxhollow.fleet.shared_addresses.override_api import OverrideApi, OverrideReader, RequestIds
from onyxhollow.fleet.shared_addresses.override_store import VoterStore
from onyxhollow.fleet.shared_addresses.query_api import QueryApi, QueryKind
from onyxhollow.management.api import Answer
from onyxhollow.membership.member_table import Member


@dataclass(frozen=True, slots=True)
class Role:
    """A role that this member may hold."""

    name: str
    zone: str | None  # zone of the members that may hold it; None: any
    task: LeaderTask


class SharedAddresses:
    """All services for shared addresses at one member."""

    def __init__(self, member: MemberContext, config: AddressesFile) -> None:
        now = clock.now()
        self.member = member
        self.config = config
        self.site: Site | None = next((site for site in config.sites if site.name == member.zone), None)
        self.messenger = AddressMessenger(member)
        self.overrides = OverrideLog()
        self.controller = ControllerTask(member, config, self.messenger)
        self.announcer: AnnouncerTask | None = None
        self.health = LocalHealth(member, config)
        self.voter_store = VoterStore(member, self.messenger, self.overrides)
        ids = RequestIds(member.epoch)
        reader = OverrideReader(config, ids)
        self.override_api = OverrideApi(member, self.messenger, self.overrides, reader)
        self.query_api = QueryApi(member, self.messenger, self.controller, self.voter_store, reader, ids)
        self.drain = ConnectionDrain(member, config, now)
        self.next_report_at = now
        if self.site:
            self.announcer = AnnouncerTask(member, config, self.messenger, self.site)
            self.spawn_probes(self.site)

    def spawn_probes(self, site: Site) -> None:
        """Start the health reports to the route guard, and the probe sessions unless they are disabled."""
        loop = self.member.loop
        loop.spawn(GuardHealthReporter(self.member, site, self.health).run())
        if self.config.probe_interval:
            loop.spawn(ProbeSessions(self.member, self.config, self.health).run())

    def roles(self) -> list[Role]:
        """Return the roles that this member may hold."""
        roles = [Role(CONTROLLER_ROLE, None, self.controller)]
        if self.announcer and self.site:
            roles.append(Role(announcer_role(self.site.name), self.site.name, self.announcer))
        return roles

    def routes(self) -> dict[str, dict[str, Callable[[str], Answer]]]:
        """Return the handlers of operators' calls, by path and method."""
        handle = self.query_api.handle
        return {
            "/control/addresses": {"GET": partial(handle, QueryKind.VIEW)},
            "/control/addresses/history": {"GET": partial(handle, QueryKind.HISTORY)},
            "/control/addresses/plan": {"GET": partial(handle, QueryKind.PLAN)},
            "/control/addresses/order": {
                "GET": self.override_api.show_state,
                "POST": self.override_api.submit,
            },
        }

    # Messages

    def on_message(self, member: Member, body: bytes, now: float) -> None:
        """Dispatch the message in a payload from another member."""
        message = self.decode(body)
        if message is not None:
            self.dispatch(message, member.name, make_process_id(member.name, member.epoch), now)

    def on_broadcast(self, body: bytes) -> None:
        """Process a broadcast; only the controller's announcement is sent this way."""
        message = self.decode(body)
        if isinstance(message, ControllerAnnouncement):
            self.messenger.record_controller(message.term, message.process_id)

    def decode(self, body: bytes) -> Message | None:
        """Return the message; count it and return None if it cannot be decoded."""
        try:
            message: Message = MESSAGES.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.member.counts["addresses: rubbish"] += 1
            return None
        return message

    def dispatch(self, message: Message, name: str, process_id: str, now: float) -> None:
        """Pass a message to the service that processes it; `name` and `process_id` are the sender's."""
        match message:
            case RouteAssignment():
                self.messenger.record_controller(message.term, process_id)
                if self.announcer:
                    self.announcer.on_assignment(message, now)
            case SiteReport():
                self.messenger.record_announcer(message.site, message.announcer_term, process_id)
                self.controller.on_message(message, name, now)
            case HealthReport():
                self.controller.on_message(message, name, now)
            case DrainRequest():
                if self.site and message.site == self.site.name:
                    self.drain.on_request(message, now)
            case _:
                self.dispatch_stored(message, name, process_id, now)

    def dispatch_stored(self, message: Message, name: str, process_id: str, now: float) -> None:
        """Dispatch a message about stored records or queries."""
        match message:
            case StoreRequest():
                self.voter_store.on_store_request(message, process_id)
            case OverrideQuery():
                self.voter_store.on_override_query(message, process_id)
            case OverrideResponse():
                self.override_api.on_override_response(message, now)
                self.controller.on_message(message, name, now)
            case StoreAcknowledgement():
                self.override_api.on_store_acknowledgement(message)
                self.controller.on_message(message, name, now)
            case QueryRequest():
                self.query_api.on_request(message, process_id, now)
            case QueryResponsePart():
                self.query_api.on_response_part(message)

    def record_holder(self, role: str, term: int, process_id: str) -> None:
        """Record the holder of a role's lease."""
        self.messenger.record_holder(role, term, process_id)

    # Timers

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next."""
        core = self.controller.core
        return min(self.next_report_at, core.next_due) if core else self.next_report_at

    def tick(self, now: float) -> None:
        """Run everything that is due, and dispatch this process's messages to itself."""
        self.drain.tick(now)
        self.voter_store.tick(now)
        self.controller.tick(now)
        if now >= self.next_report_at:
            self.next_report_at = now + self.config.interval
            self.overrides.compact(now)
            self.override_api.resend()
            self.report_health(now)
        while self.messenger.local_messages:
            message = self.messenger.local_messages.popleft()
            self.dispatch(message, self.member.name, self.member.process_id, clock.now())

    def report_health(self, now: float) -> None:
        """Measure this member's health, and pass it to the local announcer and to the controller."""
        if self.site is None:
            return
        rows = self.health.measure(now)
        if self.announcer and self.announcer.core:
            for row in rows:
                self.announcer.core.on_local_health(row.address, row.health, now)
        for page in paginate(rows):
            self.messenger.send_to_controller(HealthReport(self.site.name, page))

    def close(self) -> None:
        """Close the voter's store."""
        self.voter_store.close()
