"""Dials: a session's opening line to one server, and what comes back before its connection is up."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass

from onyxhollow.interface import DialEnd
from onyxhollow.loop import Loop
from onyxhollow.memory.buffers import BufferPool, LongLineError
from onyxhollow.memory.counters import Counters
from onyxhollow.memory.tables import Addresses
from onyxhollow.wire.channel import OUR_OWN, Channel
from onyxhollow.wire.messages import read_report, rest, word

ENDS = {b"BUSY": DialEnd.FULL, b"ERR": DialEnd.ERROR, b"BYE": DialEnd.OK, b"MOVE": DialEnd.CANCELLED}


@dataclass(frozen=True, slots=True)
class Dialled:
    """How a dial ended; or, where it was accepted, the connection and the server's line."""

    end: DialEnd = DialEnd.CONNECT_FAILED
    load: float | None = None
    channel: Channel | None = None
    receipt: bytes = b""


class Servers:
    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: Addresses,
        load_field: str,
        connect_time: float,
        malformed: Callable[[str], None],
    ) -> None:
        self.loop, self.pool, self.counters, self.addresses = loop, pool, counters, addresses
        self.load_field, self.connect_time, self.malformed = load_field, connect_time, malformed

    def settle(self, load_field: str, connect_time: float) -> None:
        self.load_field, self.connect_time = load_field, connect_time

    def dial(
        self,
        name: str,
        wait: float,
        line: Callable[[float], bytes],
        wake: Callable[[], None],
        given_up: Callable[[], DialEnd | None],
    ) -> Generator[float, None, Dialled]:
        """One dial. line makes the opening line from the wait that is left; given_up is asked at each step.
        Unless it was accepted its connection is closed when this returns: a copy left behind could still
        run, and the next dial would be a second one."""
        until = self.loop.now + wait
        address = self.addresses.find(name)
        if address is None:
            return Dialled()
        try:
            channel = Channel.dial(self.loop, address, self.pool, wake)
        except OSError as error:
            # Without a descriptor of our own nothing was tried, and nothing is known of the server.
            return Dialled(DialEnd.NOT_SENT if error.errno in OUR_OWN else DialEnd.CONNECT_FAILED)
        result = Dialled()
        try:
            yield from self.connect(channel, min(until, self.loop.now + self.connect_time), given_up)
            if not channel.connecting and not channel.broken:
                channel.write(line(until - self.loop.now))
                result = yield from self.answer(channel, until, given_up)
        except LongLineError:
            self.malformed("line over 4 KiB from a server")
            result = Dialled(DialEnd.UNKNOWN)
        finally:
            if result.channel is None:
                channel.close()
        return result

    def connect(
        self, channel: Channel, until: float, given_up: Callable[[], DialEnd | None]
    ) -> Generator[float, None, None]:
        while channel.connecting and self.loop.now < until and not given_up():
            yield until

    def answer(
        self, channel: Channel, until: float, given_up: Callable[[], DialEnd | None]
    ) -> Generator[float, None, Dialled]:
        whole = False
        while True:
            if channel.wrote and not whole:
                whole = True
                self.counters.add("dials written whole")
            if (said := channel.line()) is not None:
                if (first := word(said)) == b"UP":
                    return Dialled(DialEnd.OK, None, channel, bytes(said))
                return Dialled(ENDS.get(first, DialEnd.UNKNOWN), read_report(rest(said), self.load_field))
            # May it have run? The last byte of the line decides.
            if channel.ended:
                return Dialled(DialEnd.RESET if channel.wrote else DialEnd.CONNECT_FAILED)
            if self.loop.now >= until:
                return Dialled(DialEnd.TIMEOUT if channel.wrote else DialEnd.CONNECT_FAILED)
            if (end := given_up()) is not None:
                return Dialled(end)
            yield until
