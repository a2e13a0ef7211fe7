"""Attempts: sending a session's OPEN line to one endpoint and waiting for the endpoint's answer."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import NamedTuple, Protocol

from onyxhollow.interface import AttemptOutcome
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import after_first_word, first_word, parse_load_report
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.system_errors import ErrorCause, classify_connect_error

# Outcome of an attempt by the first word of an answer that does not accept the request.
OUTCOME_BY_WORD = {
    b"BUSY": AttemptOutcome.OVERLOADED,
    b"ERR": AttemptOutcome.ERROR,
    b"BYE": AttemptOutcome.OK,
    b"MOVE": AttemptOutcome.CANCELLED,
}


class AttemptResult(NamedTuple):
    """Outcome of an attempt; if it was accepted, also the connection and the endpoint's UP line."""

    outcome: AttemptOutcome = AttemptOutcome.CONNECT_FAILED
    load: float | None = None  # reported by the endpoint with its answer
    channel: Channel | None = None
    up_line: bytes = b""


class AttemptOwner(Protocol):
    """Interface of the session that an attempt is made for."""

    @property
    def wake(self) -> Callable[[], None]:
        """Callback for received bytes and state changes of the connection to the endpoint."""

    def opening_line(self, wait: float) -> bytes:
        """Return the OPEN line for the endpoint, which states the `wait` left for its answer, in seconds."""

    def may_send(self) -> bool:
        """Return whether the OPEN line may still be written; called right before the write."""

    def abort_outcome(self) -> AttemptOutcome | None:
        """Return the outcome with which the attempt must end now, or None if it continues."""


class AttemptRunner:
    """Runs attempts and holds their common settings."""

    def __init__(
        self,
        context: NetworkContext,
        load_field: str,
        connect_timeout: float,
        report_malformed: Callable[[str], None],
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.counters = context.counters
        self.addresses = context.addresses
        self.load_field = load_field
        self.connect_timeout = connect_timeout  # seconds
        self.report_malformed = report_malformed

    def apply_settings(self, load_field: str, connect_timeout: float) -> None:
        """Set the settings of attempts that start from now on."""
        self.load_field = load_field
        self.connect_timeout = connect_timeout

    def run(self, endpoint: str, wait: float, owner: AttemptOwner) -> Generator[float, None, AttemptResult]:
        """Make one attempt, of at most `wait` seconds.

        Unless the attempt was accepted, its connection is closed before this returns. Otherwise the endpoint
        could still run the request while the next attempt runs it a second time.
        """
        deadline = self.loop.now + wait
        address = self.addresses.find(endpoint)
        if address is None:
            return AttemptResult()
        try:
            channel = Channel.connect(self.loop, address, self.pool, owner.wake)
        except OSError as error:
            # Without a free descriptor nothing was sent: no evidence about the endpoint.
            is_shortage = classify_connect_error(error) is ErrorCause.SHORTAGE
            return AttemptResult(AttemptOutcome.NOT_SENT if is_shortage else AttemptOutcome.CONNECT_FAILED)
        result = AttemptResult()
        try:
            result = yield from self.exchange(channel, deadline, owner)
        except LineTooLongError:
            self.report_malformed("line longer than 4 KiB from a server")
            result = AttemptResult(AttemptOutcome.UNKNOWN)
        finally:
            if result.channel is None:
                channel.close()
        return result

    def exchange(
        self, channel: Channel, deadline: float, owner: AttemptOwner
    ) -> Generator[float, None, AttemptResult]:
        """Connect, write the OPEN line and wait for the endpoint's first line."""
        connect_deadline = min(deadline, self.loop.now + self.connect_timeout)
        while channel.connecting and self.loop.now < connect_deadline:
            if owner.abort_outcome() is not None:
                return AttemptResult(AttemptOutcome.NOT_SENT)
            yield connect_deadline
        if channel.connecting or channel.broken:
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        # During the connect the endpoint may have begun to drain, the client may have left, the deadline may
        # have passed or a stop may have begun. A request that is not written has certainly not run.
        now = self.loop.read_clock()
        if now >= deadline or not owner.may_send():
            self.counters.add("dials withheld")
            return AttemptResult(AttemptOutcome.NOT_SENT)
        channel.write(owner.opening_line(deadline - now))
        return (yield from self.await_answer(channel, deadline, owner))

    def await_answer(
        self, channel: Channel, deadline: float, owner: AttemptOwner
    ) -> Generator[float, None, AttemptResult]:
        """Wait for the endpoint's first line after the OPEN line."""
        write_counted = False
        while True:
            if channel.flushed and not write_counted:
                write_counted = True
                self.counters.add("dials written whole")
            line = channel.line()
            if line is not None:
                return self.read_answer(channel, line)
            # The request may have run only if the last byte of the OPEN line was written.
            outcome = None
            if channel.ended:
                outcome = AttemptOutcome.RESET if channel.flushed else AttemptOutcome.CONNECT_FAILED
            elif self.loop.now >= deadline:
                outcome = AttemptOutcome.TIMEOUT if channel.flushed else AttemptOutcome.CONNECT_FAILED
            else:
                abort_outcome = owner.abort_outcome()
                if abort_outcome is not None:
                    outcome = abort_outcome if channel.flushed else AttemptOutcome.NOT_SENT
            if outcome is not None:
                return AttemptResult(outcome)
            yield deadline

    def read_answer(self, channel: Channel, line: memoryview) -> AttemptResult:
        """Return the result for the endpoint's first line."""
        word = first_word(line)
        if word == b"UP":
            return AttemptResult(AttemptOutcome.OK, None, channel, bytes(line))
        load = parse_load_report(after_first_word(line), self.load_field)
        return AttemptResult(OUTCOME_BY_WORD.get(word, AttemptOutcome.UNKNOWN), load)
