"""Migrates open clients away a few at a time: at an operator's request, and at a stop."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator

from onyxhollow.management.api import PLAIN_TEXT, Answer
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry

STEP = 0.05  # seconds from one group of migrated clients to the next
DRAIN_TIME = 3.6  # seconds from an operator's request by which all clients have been sent MOVE
DRAIN_DELAY = 0.4  # seconds from it to the first that is: until then the front may send them back here
DRAIN_MARGIN = 0.1  # seconds before the end of that time by which all migrations were begun
CLOSING_TIME = 0.2  # seconds past it for which one that reads nothing stays open


class ClientMigrator:
    """Migrates open connections one after another.

    All at once they would be a mass reconnect for the other proxies.
    """

    def __init__(self, context: NetworkContext, sessions: SessionRegistry) -> None:
        self.loop = context.loop
        self.sessions = sessions

    def migrate(self, last: float, wanted: Callable[[], bool]) -> Generator[float, None, None]:
        """Migrates open connections, spread over the time until `last`, for as long as that is wanted."""
        due = 0.0
        while wanted():
            now = self.loop.now
            if now >= last:
                break
            connections = [one for one in self.sessions.table.live if one.is_open and not one.stopping]
            due += len(connections) * STEP / max(STEP, last - now)
            due, count = math.modf(due)
            for connection in connections[: int(count)]:
                connection.stop()
            yield from self.loop.sleep(STEP)


class OperatorDrain:
    """Takes this process out of service and back, at an operator's request."""

    def __init__(
        self,
        context: NetworkContext,
        sessions: SessionRegistry,
        service: ServiceState,
        migrator: ClientMigrator,
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.log = context.log
        self.sessions = sessions
        self.service = service
        self.migrator = migrator
        self.drain_count = 0  # requests so far: an earlier drain ends when another one begins

    def out_of_service(self, _: str) -> Answer:
        """Begins to drain, unless the process is not in service anyway."""
        if self.service.ready:
            self.drain_count += 1
            self.service.phase = ServicePhase.DRAINING
            self.log("out of service", live=self.sessions.active_count, within=DRAIN_TIME)
            self.loop.spawn(self.drain(self.drain_count))
        return 200, b"out of service\n", PLAIN_TEXT

    def in_service(self, _: str) -> Answer:
        """Calls a drain off, or ends its effect."""
        if self.service.stopping:
            return 503, b"stopping\n", PLAIN_TEXT
        if self.service.is_any(ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE):
            self.service.phase = ServicePhase.IN_SERVICE
            self.log("in service", live=self.sessions.active_count)
        return 200, b"in service\n", PLAIN_TEXT

    def drain(self, number: int) -> Generator[float, None, None]:
        """Migrates clients away until an operator calls that off.

        Sessions that come meanwhile are served and migrated in their turn; what comes after the time there is
        for it is rejected.
        """
        started_at = self.loop.now
        last = started_at + DRAIN_TIME

        def wanted() -> bool:
            return self.service.is_any(ServicePhase.DRAINING) and self.drain_count == number

        yield from self.loop.sleep(DRAIN_DELAY)
        yield from self.migrator.migrate(last - DRAIN_MARGIN, wanted)
        yield from self.loop.sleep(last - self.loop.now)
        if wanted():
            yield from self.complete(started_at)

    def complete(self, started_at: float) -> Generator[float, None, None]:
        """Ends all sessions that are left, and what reads nothing a moment later."""
        self.service.phase = ServicePhase.OUT_OF_SERVICE
        left = [connection for connection in self.sessions.table.live if connection.request is not None]
        for connection in left:
            connection.stop()
        self.log("sent away", left=len(left), took=round(self.loop.now - started_at, 2))
        yield from self.loop.sleep(CLOSING_TIME)
        for closing in list(self.pool.closing.values()):
            if closing.since < self.loop.now - CLOSING_TIME / 2:  # was sent MOVE, reads nothing
                closing.close()
