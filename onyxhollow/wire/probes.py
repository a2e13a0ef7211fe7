"""Asks servers for their load, on one standing connection to each."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass

from onyxhollow.counters import Counters
from onyxhollow.interface import AttemptOutcome
from onyxhollow.loop import Loop, Task
from onyxhollow.wire.buffers import BufferPool, LongLineError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import read_report, rest, word
from onyxhollow.wire.system_errors import Fault, fault_of_connect
from onyxhollow.wire.tables import Address, Addresses

ENDS = {b"PONG": AttemptOutcome.OK, b"ERR": AttemptOutcome.ERROR, b"BUSY": AttemptOutcome.OVERLOADED}
MOST_OWED = 3  # answers a connection may owe; a server that owes more may never have got the questions


@dataclass(slots=True, eq=False)
class Standing:
    """One connection for probes. It outlives a question that is not answered in time: a new one would cost a
    server that is short of time a set-up more."""

    address: Address
    channel: Channel
    owed: int = 0  # answers to earlier questions that may still come


class Probes:
    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: Addresses,
        field: str,
        patience: float,
        told: Callable[[str, AttemptOutcome, float, float | None], None],
    ) -> None:
        self.loop, self.pool, self.counters, self.addresses = loop, pool, counters, addresses
        self.field, self.patience, self.told = field, patience, told
        self.standing: dict[str, Standing] = {}
        self.most = 64  # standing connections; the one unused for longest makes room

    def settle(self, field: str, patience: float) -> None:
        self.field, self.patience = field, patience

    def probe(self, server: str) -> None:
        holder: list[Task] = []
        holder.append(self.loop.spawn(self.ask(server, lambda: holder[0].wake())))

    def connection(self, server: str, wake: Callable[[], None]) -> Standing:
        address = self.addresses.find(server)
        if address is None:
            raise OSError("no address")
        known = self.standing.pop(server, None)
        if known:
            if known.address == address and not known.channel.ended and known.owed < MOST_OWED:
                known.channel.wake = wake
                return known
            known.channel.close()
        return Standing(address, Channel.dial(self.loop, address, self.pool, wake))

    def ask(self, server: str, wake: Callable[[], None]) -> Generator[float, None, None]:
        started = self.loop.now
        end, load, standing = AttemptOutcome.CONNECT_FAILED, None, None
        self.counters.add("probes sent")
        try:
            standing = self.connection(server, wake)
            standing.channel.write(b"STATS\r\n" if self.field else b"PING\r\n")
            end, load = yield from self.answer(standing, started + self.patience)
        except OSError as error:
            if fault_of_connect(error) is Fault.SHORTAGE:
                self.counters.add("probes without a descriptor")
                return  # nothing was asked: it says nothing of the server
            end = AttemptOutcome.CONNECT_FAILED
        except LongLineError:
            end = AttemptOutcome.UNKNOWN
        if standing is not None:
            connected = end in (
                AttemptOutcome.OK,
                AttemptOutcome.ERROR,
                AttemptOutcome.OVERLOADED,
                AttemptOutcome.TIMEOUT,
            )
            if connected and not standing.channel.ended and server not in self.standing:
                self.keep(server, standing)
            else:
                standing.channel.close()
        self.counters.add(f"probes {end.value}")
        self.told(server, end, self.loop.now - started, load)

    def answer(
        self, standing: Standing, until: float
    ) -> Generator[float, None, tuple[AttemptOutcome, float | None]]:
        channel = standing.channel
        standing.owed += 1
        while True:
            while (line := channel.line()) is not None:
                standing.owed -= 1
                if not standing.owed:
                    told = ENDS.get(word(line), AttemptOutcome.UNKNOWN), read_report(rest(line), self.field)
                    channel.settle(False)
                    return told
            channel.settle(False)
            if channel.ended:
                return (AttemptOutcome.RESET if channel.wrote else AttemptOutcome.CONNECT_FAILED), None
            if self.loop.now >= until:
                return (AttemptOutcome.CONNECT_FAILED if channel.connecting else AttemptOutcome.TIMEOUT), None
            yield until

    def keep(self, server: str, standing: Standing) -> None:
        standing.channel.wake = lambda: self.lapse(server, standing)
        self.standing[server] = standing
        while len(self.standing) > self.most:
            oldest = next(iter(self.standing))
            self.standing.pop(oldest).channel.close()

    def lapse(self, server: str, standing: Standing) -> None:
        """A standing connection that its server ends is closed then, not at the next probe: a server that is
        gone for good gets none, and its descriptor would be held for ever."""
        if standing.channel.ended and self.standing.get(server) is standing:
            del self.standing[server]
            standing.channel.close()
