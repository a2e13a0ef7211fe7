"""Graceful shutdown of the process."""

from __future__ import annotations

from collections.abc import Callable, Generator

from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.draining import MIGRATION_INTERVAL_SECONDS, ClientMigrator
from onyxhollow.lifecycle.limits import STOP_MARGIN_SECONDS
from onyxhollow.lifecycle.replacement import Replacement
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry

NEW_CONNECTIONS_SECONDS = 0.5  # after SIGTERM, during which the platform may still send connections
LAST_LINES_TIMEOUT_SECONDS = 0.4  # for sending the last lines to clients


class Shutdown:
    """Ends the process in an orderly way before the platform kills it."""

    def __init__(
        self,
        context: NetworkContext,
        sessions: SessionRegistry,
        service: ServiceState,
        acceptor: ClientAcceptor,
        migrator: ClientMigrator,
        replacement: Replacement | None,
        close_extensions: Callable[[], None],
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.log = context.log
        self.sessions = sessions
        self.service = service
        self.acceptor = acceptor
        self.migrator = migrator
        self.replacement = replacement
        self.close_extensions = close_extensions
        self.stop_time = 0.0  # maximum duration, seconds; set from the configured limits
        self.is_started = False

    def begin(self) -> None:
        """Start the shutdown at the first signal; a second one would close the listener twice."""
        if not self.is_started:
            self.is_started = True
            self.loop.spawn(self.run())

    def run(self) -> Generator[float, None, None]:
        """Stop accepting, hand off or migrate open connections, answer the remaining sessions, end the loop.

        New sessions are accepted and served for a while before the first migration: the front end may still
        send clients here, and migrated clients would come back to this process. A drain that an operator has
        requested goes on meanwhile, and keeps its own deadline.
        """
        started_at = self.loop.now
        deadline = started_at + self.stop_time
        self.log("stop", live=len(self.sessions.table), within=round(self.stop_time, 2))
        yield from self.end_accepting(deadline)
        yield from self.migrator.migrate(
            deadline - STOP_MARGIN_SECONDS / 2, lambda: bool(self.sessions.table.live)
        )
        if self.sessions.table.live:
            yield from self.loop.sleep(deadline - self.loop.now)
        for connection in list(self.sessions.table.live):
            connection.stop()
        last_lines_deadline = self.loop.now + LAST_LINES_TIMEOUT_SECONDS
        while self.loop.now < last_lines_deadline and (self.sessions.table.live or self.pool.closing):
            yield from self.loop.sleep(MIGRATION_INTERVAL_SECONDS)
        self.close_extensions()
        self.log("stopped", live=len(self.sessions.table), took=round(self.loop.now - started_at, 2))
        self.loop.running = False

    def end_accepting(self, deadline: float) -> Generator[float, None, None]:
        """Hand open connections off if there is a successor, else accept late ones; close the listener."""
        replacement = self.replacement
        if replacement is not None:
            replacement.begin_stop()
        if replacement is not None and self.service.replaced:  # the successor accepts new connections
            self.service.phase = ServicePhase.HANDING_OVER
            # The clients of a process that an operator drains are migrated: this proxy must not hold them.
            if replacement.handoff_path and not self.service.drain_requested:
                yield from replacement.hand_off_connections(
                    replacement.handoff_path, deadline - STOP_MARGIN_SECONDS
                )
        else:
            self.service.phase = ServicePhase.STOPPING
            self.acceptor.update()  # also when this process had not started accepting
            yield from self.loop.sleep(NEW_CONNECTIONS_SECONDS)
        yield from self.acceptor.stop_listening(deadline)
