"""The stop of the process, from the first signal to the last line."""

from __future__ import annotations

from collections.abc import Callable, Generator

from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.draining import STEP, ClientMigrator
from onyxhollow.lifecycle.limits import STOP_MARGIN_SECONDS
from onyxhollow.lifecycle.replacement import Replacement
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry

STILL_COMING = 0.5  # seconds for which connections go on coming after SIGTERM
LAST_LINES_TIMEOUT = 0.4  # seconds for last lines on their way out


class Shutdown:
    """Ends the process in order within the time that the platform gives."""

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
        self.stop_time = 0.0  # seconds; from the configuration's limits
        self.begun = False

    def begin(self) -> None:
        """Begins the stop at the first of several signals: a second stop would end listening twice."""
        if not self.begun:
            self.begun = True
            self.loop.spawn(self.run())

    def run(self) -> Generator[float, None, None]:
        """Stops accepting, hands off or migrates what is open, answers what waits, ends the loop.

        It goes on accepting and serving sessions while they come: those migrated before would come back
        here.
        """
        started_at = self.loop.now
        last = started_at + self.stop_time
        self.log("stop", live=len(self.sessions.table), within=round(self.stop_time, 2))
        yield from self.end_accepting(last)
        yield from self.migrator.migrate(
            last - STOP_MARGIN_SECONDS / 2, lambda: bool(self.sessions.table.live)
        )
        if self.sessions.table.live:
            yield from self.loop.sleep(last - self.loop.now)
        for connection in list(self.sessions.table.live):
            connection.stop()
        until = self.loop.now + LAST_LINES_TIMEOUT
        while self.loop.now < until and (self.sessions.table.live or self.pool.closing):
            yield from self.loop.sleep(STEP)
        self.close_extensions()
        self.log("stopped", live=len(self.sessions.table), took=round(self.loop.now - started_at, 2))
        self.loop.running = False

    def end_accepting(self, last: float) -> Generator[float, None, None]:
        """Hands open connections off if a successor takes the clients, else waits for what still comes."""
        replacement = self.replacement
        if replacement is not None:
            replacement.begin_stop()
        if replacement is not None and self.service.replaced:  # nothing new comes here
            self.service.phase = ServicePhase.HANDING_OVER
            if replacement.handoff_path:
                yield from replacement.hand_off_connections(
                    replacement.handoff_path, last - STOP_MARGIN_SECONDS
                )
        else:
            self.service.phase = ServicePhase.STOPPING
            self.acceptor.update()  # those too that were waiting for it to start
            yield from self.loop.sleep(STILL_COMING)
        yield from self.acceptor.stop_listening(last)
