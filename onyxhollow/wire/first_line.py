"""First phase of a client connection: PINGs, the OPEN line, or an end without a request."""

from __future__ import annotations

from collections.abc import Generator

from onyxhollow.service_state import ServicePhase
from onyxhollow.wire.connection_states import ConnectionEvent
from onyxhollow.wire.messages import MalformedError, first_word
from onyxhollow.wire.session_core import SessionCore
from onyxhollow.wire.session_registry import BUSY

FIRST_LINE_TIMEOUT_SECONDS = 2.5  # the protocol allows 3 s
AFTER_PING_TIMEOUT_SECONDS = 30.0  # a PING comes from the front end, which may send more on this connection
PARTIAL_LINE_TIMEOUT_SECONDS = 0.3  # for the rest of a line that arrives as the connection is about to end
MAX_PINGS_PER_SECOND = 32  # per connection; the front end sends fewer
PONG = b"PONG\r\n"
NOT_IN_SERVICE = BUSY  # answer to PING while clients are migrated away; any line but PONG means not ready


class FirstLineReader:
    """Reads a connection up to its first line other than PING."""

    def __init__(self, session: SessionCore) -> None:
        self.session = session
        self.loop = session.loop
        self.client = session.client
        self.registry = session.registry
        self.deadline = session.loop.now + FIRST_LINE_TIMEOUT_SECONDS
        self.unread = 0  # bytes of an incomplete line so far
        self.extended = False  # the deadline was extended for a partial line
        self.pings = 0  # received in the second that began at pings_since
        self.pings_since = 0.0

    def read(self) -> Generator[float, None, memoryview | None]:
        """Wait for the first line and return it; return None if the connection was ended without one.

        Raises:
            MalformedError: An incomplete line, or too many PINGs.
            LineTooLongError: A line longer than the 4 KiB that the protocol allows.
        """
        while True:
            line = self.client.line()
            if line is not None:
                if first_word(line) != b"PING":
                    self.registry.table.mark_active(self.session)
                    return line
                if self.answer_ping():
                    return None
            elif self.client.ended or self.loop.now >= self.deadline or self.session.stopping:
                if self.extend_for_new_bytes():
                    continue
                self.end_without_request()
                return None
            else:
                self.registry.table.mark_idle(self.session)
                self.client.set_paused(False)
                self.record_progress()
                yield self.deadline

    def record_progress(self) -> None:
        """Limit the time for the rest of an incomplete line, and record when it has grown."""
        unread = len(self.client.inbox)
        if unread:
            self.deadline = min(self.deadline, self.loop.now + FIRST_LINE_TIMEOUT_SECONDS)
        if unread != self.unread:
            self.unread = unread
            self.session.last_bytes_at = self.loop.now

    def answer_ping(self) -> bool:
        """Answer a PING; return whether the connection was ended after the answer."""
        session = self.session
        session.counters.add("pings")
        if self.loop.now >= self.pings_since + 1.0:
            self.pings = 0
            self.pings_since = self.loop.now
        self.pings += 1
        if self.pings > MAX_PINGS_PER_SECOND:
            raise MalformedError(f"PING: expected at most {MAX_PINGS_PER_SECOND} a second, got more")
        service = self.registry.service
        self.client.write(PONG if service.answers_pings else NOT_IN_SERVICE)
        self.deadline = self.loop.now + AFTER_PING_TIMEOUT_SECONDS
        if service.is_any(ServicePhase.HANDING_OVER) and not len(self.client.inbox):
            # The front end's next PING goes to the successor. Right after an answer none is in transit.
            self.registry.table.mark_active(session)
            session.advance(ConnectionEvent.IDLE_CLOSED)
            self.client.finish()
            return True
        return False

    def extend_for_new_bytes(self) -> bool:
        """Return whether unread bytes have arrived; extend the deadline for them, once per connection."""
        if self.extended or self.client.ended:
            return False
        unread = len(self.client.inbox)
        self.client.read()
        if len(self.client.inbox) <= unread:
            return False
        self.extended = True
        self.deadline = self.loop.now + PARTIAL_LINE_TIMEOUT_SECONDS
        return True

    def end_without_request(self) -> None:
        """End a connection that has sent no request.

        BUSY is written first. It is the final answer to a request that is already in transit: nothing read
        after the sending side is shut down can be answered.
        """
        self.registry.table.mark_active(self.session)
        if len(self.client.inbox):
            raise MalformedError("first line: expected a whole line, got an incomplete one")
        self.session.advance(ConnectionEvent.IDLE_CLOSED)
        if not self.client.ended:
            self.client.write(BUSY)
        self.client.finish()
