"""The first phase of a client's connection: PINGs, the OPEN line, or an end without a request."""

from __future__ import annotations

from collections.abc import Generator

from onyxhollow.service_state import ServicePhase
from onyxhollow.wire.connection_states import ConnectionEvent
from onyxhollow.wire.messages import MalformedError, first_word
from onyxhollow.wire.session_core import SessionCore
from onyxhollow.wire.session_registry import BUSY

FIRST_LINE_TIMEOUT_SECONDS = 2.5  # seconds in which a connection says what it wants; the protocol allows 3 s
AFTER_PING_TIMEOUT_SECONDS = 30.0  # the same after a PING: the connection is the front's, which may send more
STARTED_LINE_TIMEOUT = 0.3  # seconds for the rest of a line that came as its connection was to be ended
MAX_PINGS_PER_SECOND = 32  # from one connection; a front sends fewer
PONG = b"PONG\r\n"
NOT_IN_SERVICE = BUSY  # to PING while clients are migrated away: any line but PONG is a no


class FirstLineReader:
    """Reads one connection up to the first line that is no PING."""

    def __init__(self, session: SessionCore) -> None:
        self.session = session
        self.loop = session.loop
        self.client = session.client
        self.registry = session.registry
        self.until = session.loop.now + FIRST_LINE_TIMEOUT_SECONDS
        self.extended = False  # the rest of a line that had begun to come was waited for
        self.pings = 0  # in the second that began at pings_since
        self.pings_since = 0.0

    def read(self) -> Generator[float, None, memoryview | None]:
        """Waits for the first line; None when the connection was ended without one.

        Raises:
            MalformedError: Half a line, or too many PINGs.
            LineTooLongError: A line over the 4 KiB that the wire allows.
        """
        while True:
            line = self.client.line()
            if line is not None:
                if first_word(line) != b"PING":
                    self.registry.table.mark_active(self.session)
                    return line
                if self.answer_ping():
                    return None
            elif self.client.ended or self.loop.now >= self.until or self.session.stopping:
                if self.must_wait_for_rest():
                    continue
                self.end_without_request()
                return None
            else:
                self.registry.table.mark_idle(self.session)
                self.client.set_paused(False)
                if len(self.client.inbox):
                    self.until = min(self.until, self.loop.now + FIRST_LINE_TIMEOUT_SECONDS)
                yield self.until

    def answer_ping(self) -> bool:
        """Answers a PING; whether the connection was ended behind the answer."""
        session = self.session
        session.counters.add("pings")
        if self.loop.now >= self.pings_since + 1.0:
            self.pings = 0
            self.pings_since = self.loop.now
        self.pings += 1
        if self.pings > MAX_PINGS_PER_SECOND:
            raise MalformedError("too many PINGs")
        service = self.registry.service
        self.client.write(PONG if service.answers_pings else NOT_IN_SERVICE)
        self.until = self.loop.now + AFTER_PING_TIMEOUT_SECONDS
        if service.is_any(ServicePhase.HANDING_OVER) and not len(self.client.inbox):
            # Its next call goes to the successor. Ended after an answer, none is on its way here.
            self.registry.table.mark_active(session)
            session.advance(ConnectionEvent.IDLE_CLOSED)
            self.client.finish()
            return True
        return False

    def must_wait_for_rest(self) -> bool:
        """Whether bytes have come that were not read yet: once, a connection is not ended over them."""
        if self.extended or self.client.ended:
            return False
        unread = len(self.client.inbox)
        self.client.read()
        if len(self.client.inbox) <= unread:
            return False
        self.extended = True
        self.until = self.loop.now + STARTED_LINE_TIMEOUT
        return True

    def end_without_request(self) -> None:
        """Ends a connection that has asked for nothing.

        A request that crosses this on its way finds its final answer there: nothing that is read after the
        end of sending could be answered any more.
        """
        self.registry.table.mark_active(self.session)
        if len(self.client.inbox):
            raise MalformedError("half a line")
        self.session.advance(ConnectionEvent.IDLE_CLOSED)
        if not self.client.ended:
            self.client.write(BUSY)
        self.client.finish()
