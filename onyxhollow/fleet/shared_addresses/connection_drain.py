"""Moves the open connections of addresses that an override has withdrawn here, in four paced stages."""

from __future__ import annotations

from onyxhollow.addresses.file import AddressesFile, Service
from onyxhollow.addresses.messages import DrainRequest
from onyxhollow.fleet.context import MemberContext
from onyxhollow.policy.migration import StagedMigration

INTERVAL = 1.0  # seconds between steps; the pace counts connections a second
REQUEST_LIFETIME = 3.0  # seconds for which an announcer's request counts


class ConnectionDrain:
    """The connections that are to move, and their pace.

    Attributes:
        requested: by address, until when it drains.
        pace: the staged pace; None while nothing drains.
    """

    def __init__(self, member: MemberContext, config: AddressesFile, now: float) -> None:
        self.member = member
        self.services = config.services
        self.requested: dict[str, float] = {}
        self.pace: StagedMigration | None = None
        self.next_due = now

    def on_request(self, message: DrainRequest, now: float) -> None:
        """Takes in the announcer's request; it is repeated as long as it holds."""
        self.requested |= dict.fromkeys(message.addresses, now + REQUEST_LIFETIME)

    def tick(self, now: float) -> None:
        """One step, if it is due."""
        if now >= self.next_due:
            self.next_due = now + INTERVAL
            self.move_connections(now)

    def move_connections(self, now: float) -> None:
        """Has as many connections move as the pace allows."""
        self.requested = {name: until for name, until in self.requested.items() if now < until}
        if not self.requested:
            self.pace = None
            return
        listeners = self.drained_listeners()
        sessions = [
            session
            for session in self.member.proxy.sessions.table.live
            if session.is_open
            and not session.stopping
            and session.request is not None
            and session.request.listener in listeners
        ]
        if self.pace is None:
            self.pace = StagedMigration(len(sessions))
            self.member.log_event("address drain", names=sorted(self.requested), connections=len(sessions))
        # A second address may begin to drain, and sessions may still open: the pace is for all of them.
        self.pace.count = max(self.pace.count, len(sessions))
        moved = sessions[: self.pace.allowance(None, None)]
        for session in moved:
            session.stop()
        self.pace.moved += len(moved)

    def drained_listeners(self) -> set[str]:
        """Listeners of drained addresses that no other address needs here."""
        drained: set[str] = set()
        needed: set[str] = set()
        for service in self.services:
            (drained if service.name in self.requested else needed).update(self.listeners_of(service))
        return drained - needed

    def listeners_of(self, service: Service) -> list[str]:
        """The listeners served under an address; all if the file names none."""
        return service.listeners or list(self.member.proxy.config.settings.listeners)
