"""Attempts: a session's opening line to one endpoint, and what comes back before its connection is up."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import NamedTuple, Protocol

from onyxhollow.interface import AttemptOutcome
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import after_first_word, first_word, parse_load_report
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.system_errors import Fault, fault_of_connect

# The words by which an endpoint does not accept a request.
OUTCOMES = {
    b"BUSY": AttemptOutcome.OVERLOADED,
    b"ERR": AttemptOutcome.ERROR,
    b"BYE": AttemptOutcome.OK,
    b"MOVE": AttemptOutcome.CANCELLED,
}


class AttemptResult(NamedTuple):
    """How an attempt ended; where it was accepted, the connection and the endpoint's UP line."""

    outcome: AttemptOutcome = AttemptOutcome.CONNECT_FAILED
    load: float | None = None  # that an endpoint reported with its answer
    channel: Channel | None = None
    up_line: bytes = b""


class AttemptOwner(Protocol):
    """What an attempt asks of the session that it is made for."""

    @property
    def wake(self) -> Callable[[], None]:
        """Called when something has come on the connection to the endpoint, or has become of it."""

    def opening_line(self, wait: float) -> bytes:
        """The line for the endpoint, with the seconds for which its answer is waited for."""

    def may_send(self) -> bool:
        """Whether that line may still be written; called right before it is."""

    def abort_outcome(self) -> AttemptOutcome | None:
        """Whether the attempt is to end now, and as what."""


class AttemptRunner:
    """Makes attempts; holds what they share."""

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
        """Sets the terms of attempts that begin from now on."""
        self.load_field = load_field
        self.connect_timeout = connect_timeout

    def run(self, endpoint: str, wait: float, owner: AttemptOwner) -> Generator[float, None, AttemptResult]:
        """Makes one attempt, of `wait` seconds at the most.

        Unless it was accepted its connection is closed when this returns: a copy left behind could still
        run, and the next attempt would be a second one.
        """
        until = self.loop.now + wait
        address = self.addresses.find(endpoint)
        if address is None:
            return AttemptResult()
        try:
            channel = Channel.connect(self.loop, address, self.pool, owner.wake)
        except OSError as error:
            # Without a descriptor of our own nothing was tried, and nothing is known of the endpoint.
            is_shortage = fault_of_connect(error) is Fault.SHORTAGE
            return AttemptResult(AttemptOutcome.NOT_SENT if is_shortage else AttemptOutcome.CONNECT_FAILED)
        result = AttemptResult()
        try:
            result = yield from self.exchange(channel, until, owner)
        except LineTooLongError:
            self.report_malformed("line over 4 KiB from a server")
            result = AttemptResult(AttemptOutcome.UNKNOWN)
        finally:
            if result.channel is None:
                channel.close()
        return result

    def exchange(
        self, channel: Channel, until: float, owner: AttemptOwner
    ) -> Generator[float, None, AttemptResult]:
        """Connects, writes the opening line and waits for the first line that comes back."""
        connected_by = min(until, self.loop.now + self.connect_timeout)
        while channel.connecting and self.loop.now < connected_by:
            if owner.abort_outcome() is not None:
                return AttemptResult(AttemptOutcome.NOT_SENT)
            yield connected_by
        if channel.connecting or channel.broken:
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        # While the connection came up the endpoint may have begun to drain, the client may have left, time
        # may have run out, a stop may have begun. What is not written now is known not to have run.
        now = self.loop.read_clock()
        if now >= until or not owner.may_send():
            self.counters.add("dials withheld")
            return AttemptResult(AttemptOutcome.NOT_SENT)
        channel.write(owner.opening_line(until - now))
        return (yield from self.await_answer(channel, until, owner))

    def await_answer(
        self, channel: Channel, until: float, owner: AttemptOwner
    ) -> Generator[float, None, AttemptResult]:
        """Waits for the endpoint's first line after the opening line."""
        counted = False
        while True:
            if channel.flushed and not counted:
                counted = True
                self.counters.add("dials written whole")
            line = channel.line()
            if line is not None:
                return self.read_answer(channel, line)
            # Whether it may have run is decided by the last byte of the opening line.
            outcome = None
            if channel.ended:
                outcome = AttemptOutcome.RESET if channel.flushed else AttemptOutcome.CONNECT_FAILED
            elif self.loop.now >= until:
                outcome = AttemptOutcome.TIMEOUT if channel.flushed else AttemptOutcome.CONNECT_FAILED
            else:
                abort_outcome = owner.abort_outcome()
                if abort_outcome is not None:
                    outcome = abort_outcome if channel.flushed else AttemptOutcome.NOT_SENT
            if outcome is not None:
                return AttemptResult(outcome)
            yield until

    def read_answer(self, channel: Channel, line: memoryview) -> AttemptResult:
        """What the endpoint's first line says."""
        word = first_word(line)
        if word == b"UP":
            return AttemptResult(AttemptOutcome.OK, None, channel, bytes(line))
        load = parse_load_report(after_first_word(line), self.load_field)
        return AttemptResult(OUTCOMES.get(word, AttemptOutcome.UNKNOWN), load)
