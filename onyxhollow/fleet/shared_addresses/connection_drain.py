"""Moves open connections off addresses that an override has withdrawn at this site, in four paced stages."""

from __future__ import annotations

from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.messages import DrainRequest
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.listeners import listeners_of
from onyxhollow.policy.migration import StagedMigration

STEP_INTERVAL_SECONDS = 1.0  # the allowance of a staged migration is per second
REQUEST_LIFETIME_SECONDS = 3.0  # an announcer repeats its request while the drain lasts


class ConnectionDrain:
    """Migrates the connections of drained addresses.

    Attributes:
        drain_until: time at which the latest request expires, by address.
        migration: the staged migration; None while no address drains.
    """

    def __init__(self, member: MemberContext, config: AddressesFile, now: float) -> None:
        self.member = member
        self.services = config.services
        self.drain_until: dict[str, float] = {}
        self.migration: StagedMigration | None = None
        self.next_step_at = now

    def on_request(self, message: DrainRequest, now: float) -> None:
        """Record an announcer's request, which is valid for REQUEST_LIFETIME_SECONDS."""
        self.drain_until |= dict.fromkeys(message.addresses, now + REQUEST_LIFETIME_SECONDS)

    def tick(self, now: float) -> None:
        """Move connections if a step is due."""
        if now >= self.next_step_at:
            self.next_step_at = now + STEP_INTERVAL_SECONDS
            self.move_connections(now)

    def move_connections(self, now: float) -> None:
        """Move as many connections as the staged migration allows."""
        self.drain_until = {
            name: expires_at for name, expires_at in self.drain_until.items() if now < expires_at
        }
        if not self.drain_until:
            self.migration = None
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
        if self.migration is None:
            self.migration = StagedMigration(len(sessions))
            self.member.log_event("address drain", names=sorted(self.drain_until), connections=len(sessions))
        # More addresses may start to drain and more sessions may open: the rate applies to the largest count.
        self.migration.count = max(self.migration.count, len(sessions))
        moved = sessions[: self.migration.allowance(None, None)]
        for session in moved:
            session.stop()
        self.migration.moved += len(moved)

    def drained_listeners(self) -> set[str]:
        """Return the listeners of drained addresses that no other address uses."""
        drained: set[str] = set()
        still_used: set[str] = set()
        for service in self.services:
            listeners = listeners_of(service, self.member)
            (drained if service.name in self.drain_until else still_used).update(listeners)
        return drained - still_used
