"""Dials: a session's opening line to one server, and what comes back before its connection is up."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Protocol

from onyxhollow.counters import Counters
from onyxhollow.interface import AttemptOutcome
from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import BufferPool, LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import parse_load_report, rest, word
from onyxhollow.wire.system_errors import Fault, fault_of_connect
from onyxhollow.wire.tables import EndpointAddresses

ENDS = {
    b"BUSY": AttemptOutcome.OVERLOADED,
    b"ERR": AttemptOutcome.ERROR,
    b"BYE": AttemptOutcome.OK,
    b"MOVE": AttemptOutcome.CANCELLED,
}


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a dial ended; or, where it was accepted, the connection and the server's line."""

    outcome: AttemptOutcome = AttemptOutcome.CONNECT_FAILED
    load: float | None = None
    channel: Channel | None = None
    up_line: bytes = b""


class AttemptOwner(Protocol):
    """One attempt to place a request: what a dial asks of the session that it is made for."""

    def wake(self) -> None:
        """Something has come on the connection to the server, or has become of it."""

    def opening_line(self, wait: float) -> bytes:
        """The line for the server, which tells it for how many seconds it is waited for."""

    def may_send(self) -> bool:
        """Whether that line may still be written. Asked in the moment before it is."""

    def abort_outcome(self) -> AttemptOutcome | None:
        """Whether the dial is to end now, and as what."""


class AttemptRunner:
    """Makes dials; holds what they share."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: EndpointAddresses,
        load_field: str,
        connect_time: float,
        malformed: Callable[[str], None],
    ) -> None:
        self.loop, self.pool, self.counters, self.addresses = loop, pool, counters, addresses
        self.load_field, self.connect_timeout, self.report_malformed = load_field, connect_time, malformed

    def apply_settings(self, load_field: str, connect_time: float) -> None:
        """Other settings, for dials that begin from now on."""
        self.load_field, self.connect_timeout = load_field, connect_time

    def run(self, name: str, wait: float, attempt: AttemptOwner) -> Generator[float, None, AttemptResult]:
        """One dial. Unless it was accepted its connection is closed when this returns: a copy left behind
        could still run, and the next dial would be a second one."""
        until = self.loop.now + wait
        address = self.addresses.find(name)
        if address is None:
            return AttemptResult()
        try:
            channel = Channel.connect(self.loop, address, self.pool, attempt.wake)
        except OSError as error:
            # Without a descriptor of our own nothing was tried, and nothing is known of the server.
            ours = fault_of_connect(error) is Fault.SHORTAGE
            return AttemptResult(AttemptOutcome.NOT_SENT if ours else AttemptOutcome.CONNECT_FAILED)
        result = AttemptResult()
        try:
            result = yield from self.exchange(channel, until, attempt)
        except LineTooLongError:
            self.report_malformed("line over 4 KiB from a server")
            result = AttemptResult(AttemptOutcome.UNKNOWN)
        finally:
            if result.channel is None:
                channel.close()
        return result

    def exchange(
        self, channel: Channel, until: float, attempt: AttemptOwner
    ) -> Generator[float, None, AttemptResult]:
        """Connects, writes the opening line and waits for the first line that comes back."""
        connected_by = min(until, self.loop.now + self.connect_timeout)
        while channel.connecting and self.loop.now < connected_by:
            if attempt.abort_outcome() is not None:
                return AttemptResult(AttemptOutcome.NOT_SENT)
            yield connected_by
        if channel.connecting or channel.broken:
            return AttemptResult(AttemptOutcome.CONNECT_FAILED)
        # While the connection came up the server may have been told to drain, the client may have left, time
        # may have run out, a stop may have begun. What is not written now is known not to have run.
        now = self.loop.read_clock()
        if now >= until or not attempt.may_send():
            self.counters.add("dials withheld")
            return AttemptResult(AttemptOutcome.NOT_SENT)
        channel.write(attempt.opening_line(until - now))
        return (yield from self.answer(channel, until, attempt))

    def answer(
        self, channel: Channel, until: float, attempt: AttemptOwner
    ) -> Generator[float, None, AttemptResult]:
        """Waits for the server's first line after the opening line."""
        whole = False
        while True:
            if channel.flushed and not whole:
                whole = True
                self.counters.add("dials written whole")
            if (said := channel.line()) is not None:
                if (first := word(said)) == b"UP":
                    return AttemptResult(AttemptOutcome.OK, None, channel, bytes(said))
                return AttemptResult(
                    ENDS.get(first, AttemptOutcome.UNKNOWN), parse_load_report(rest(said), self.load_field)
                )
            # May it have run? The last byte of the line decides.
            if channel.ended:
                return AttemptResult(
                    AttemptOutcome.RESET if channel.flushed else AttemptOutcome.CONNECT_FAILED
                )
            if self.loop.now >= until:
                return AttemptResult(
                    AttemptOutcome.TIMEOUT if channel.flushed else AttemptOutcome.CONNECT_FAILED
                )
            if (end := attempt.abort_outcome()) is not None:
                return AttemptResult(end if channel.flushed else AttemptOutcome.NOT_SENT)
            yield until
