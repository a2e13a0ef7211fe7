"""Gradual migration of open client connections: for an operator's drain and for a graceful shutdown."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator

from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.handover import Handover
from onyxhollow.management.api import PLAIN_TEXT, Answer
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry

MIGRATION_INTERVAL_SECONDS = 0.05  # between two batches of migrated connections
DRAIN_SECONDS = 3.6  # from an operator's request until all clients have been sent MOVE
DRAIN_DELAY_SECONDS = 0.4  # before the first MOVE: until then the front end may route clients back here
DRAIN_MARGIN_SECONDS = 0.1  # before the end of the drain, by when every migration must have started
CLOSING_SECONDS = 0.2  # after the drain, for clients that do not read their MOVE


class ClientMigrator:
    """Migrates open connections gradually, so that the other proxies see no mass reconnect.

    If a drain and a stop overlap, the earlier deadline sets the pace for both.
    """

    def __init__(self, context: NetworkContext, sessions: SessionRegistry) -> None:
        self.loop = context.loop
        self.sessions = sessions
        self.deadlines: list[float] = []  # of the migrations in progress, on the loop's clock
        self.due_migrations = 0.0  # fraction of a connection left over from the last batch

    def migrate(self, deadline: float, should_continue: Callable[[], bool]) -> Generator[float, None, None]:
        """Spread the migration of open connections over the time until `deadline`.

        Args:
            deadline: On the loop's clock.
            should_continue: Called before each batch; migration ends when it returns False.
        """
        self.deadlines.append(deadline)
        try:
            while should_continue() and self.loop.now < deadline:
                if deadline == min(self.deadlines):
                    self.migrate_batch(deadline)
                yield from self.loop.sleep(MIGRATION_INTERVAL_SECONDS)
        finally:
            self.deadlines.remove(deadline)

    def migrate_batch(self, deadline: float) -> None:
        """Migrate the connections that are due in one interval."""
        connections = [
            connection
            for connection in self.sessions.table.live
            if connection.is_open and not connection.stopping
        ]
        time_left = max(MIGRATION_INTERVAL_SECONDS, deadline - self.loop.now)
        self.due_migrations += len(connections) * MIGRATION_INTERVAL_SECONDS / time_left
        self.due_migrations, count = math.modf(self.due_migrations)
        for connection in connections[: int(count)]:
            connection.stop()


class OperatorDrain:
    """Takes this process out of service and puts it back at an operator's request."""

    def __init__(
        self,
        context: NetworkContext,
        sessions: SessionRegistry,
        service: ServiceState,
        acceptor: ClientAcceptor,
        migrator: ClientMigrator,
        handover: Handover | None,
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.log = context.log
        self.sessions = sessions
        self.service = service
        self.acceptor = acceptor
        self.migrator = migrator
        self.handover = handover  # None if this process can't be replaced
        self.drain_count = 0  # drains started so far; a new drain ends an earlier one

    def take_out_of_service(self, _: str) -> Answer:
        """Start a drain if the process is in service, and answer the operator.

        A process that starts has no client to migrate and is out of service at once. The call is refused
        while the other process of this proxy serves the clients: this process can't keep the promise then.
        """
        if self.other_process_serves():
            return 503, b"another process of this proxy serves its clients\n", PLAIN_TEXT
        if self.service.is_any(ServicePhase.STARTING):
            self.service.complete_drain()
            self.log("out of service", live=self.sessions.active_count, within=0.0)
            self.acceptor.update()
        elif self.service.ready:
            self.drain_count += 1
            self.service.begin_drain()
            self.log("out of service", live=self.sessions.active_count, within=DRAIN_SECONDS)
            self.loop.spawn(self.drain(self.drain_count))
        elif self.service.stopping:  # the stop migrates all clients sooner than a drain would
            self.service.drain_requested = True
        return 200, b"out of service\n", PLAIN_TEXT

    def put_in_service(self, _: str) -> Answer:
        """Cancel a drain or return to service after one, and answer the operator."""
        if self.service.stopping:
            return 503, b"stopping\n", PLAIN_TEXT
        if self.service.is_any(ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE):
            self.service.end_drain()
            self.log("in service", live=self.sessions.active_count)
            self.acceptor.update()
        return 200, b"in service\n", PLAIN_TEXT

    def other_process_serves(self) -> bool:
        """Return whether new clients go to the predecessor, which is alive, or to the successor."""
        if self.service.replaced or self.service.is_any(ServicePhase.HANDING_OVER):
            return True
        is_successor = self.handover is not None and self.handover.is_successor
        return is_successor and self.service.is_any(ServicePhase.STARTING)

    def drain(self, number: int) -> Generator[float, None, None]:
        """Migrate all clients, unless the drain is cancelled or replaced by another one.

        Sessions that arrive during the drain are served and later migrated. Sessions that arrive after it
        are rejected. If the process is told to stop meanwhile, the drain goes on to its own deadline.

        Args:
            number: The value of `drain_count` for this drain.
        """
        started_at = self.loop.now
        deadline = started_at + DRAIN_SECONDS

        def is_current() -> bool:
            return self.service.drain_requested and self.drain_count == number

        yield from self.loop.sleep(DRAIN_DELAY_SECONDS)
        yield from self.migrator.migrate(deadline - DRAIN_MARGIN_SECONDS, is_current)
        yield from self.loop.sleep(deadline - self.loop.now)
        if is_current():
            yield from self.complete(started_at)

    def complete(self, started_at: float) -> Generator[float, None, None]:
        """End the remaining sessions, and shortly after close connections whose clients do not read."""
        self.service.complete_drain()
        remaining = [connection for connection in self.sessions.table.live if connection.request is not None]
        for connection in remaining:
            connection.stop()
        self.log("sent away", left=len(remaining), took=round(self.loop.now - started_at, 2))
        yield from self.loop.sleep(CLOSING_SECONDS)
        for closing in list(self.pool.closing.values()):
            if closing.since < self.loop.now - CLOSING_SECONDS / 2:  # was sent MOVE and has not read it
                closing.close()
