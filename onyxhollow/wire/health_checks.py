"""Asks servers for their load, on one standing connection to each."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass

from onyxhollow.counters import Counters
from onyxhollow.interface import AttemptOutcome
from onyxhollow.loop import Loop, Task
from onyxhollow.wire.buffers import BufferPool, LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import parse_load_report, rest, word
from onyxhollow.wire.system_errors import Fault, fault_of_connect
from onyxhollow.wire.tables import Address, EndpointAddresses

ENDS = {b"PONG": AttemptOutcome.OK, b"ERR": AttemptOutcome.ERROR, b"BUSY": AttemptOutcome.OVERLOADED}
MOST_OWED = 3  # answers a connection may owe; a server that owes more may never have got the questions


@dataclass(slots=True, eq=False)
class HealthCheckConnection:
    """One connection for probes. It outlives a question that is not answered in time: a new one would cost a
    server that is short of time a set-up more."""

    address: Address
    channel: Channel
    answers_due: int = 0  # answers to earlier questions that may still come


class HealthChecker:
    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: EndpointAddresses,
        field: str,
        patience: float,
        told: Callable[[str, AttemptOutcome, float, float | None], None],
    ) -> None:
        self.loop, self.pool, self.counters, self.addresses = loop, pool, counters, addresses
        self.field, self.timeout, self.on_result = field, patience, told
        self.connections: dict[str, HealthCheckConnection] = {}
        self.max_connections = 64  # standing connections; the one unused for longest makes room

    def apply_settings(self, field: str, patience: float) -> None:
        self.field, self.timeout = field, patience

    def start_check(self, server: str) -> None:
        holder: list[Task] = []
        holder.append(self.loop.spawn(self.check(server, lambda: holder[0].wake())))

    def acquire(self, server: str, wake: Callable[[], None]) -> HealthCheckConnection:
        address = self.addresses.find(server)
        if address is None:
            raise OSError("no address")
        known = self.connections.pop(server, None)
        if known:
            if known.address == address and not known.channel.ended and known.answers_due < MOST_OWED:
                known.channel.wake = wake
                return known
            known.channel.close()
        return HealthCheckConnection(address, Channel.connect(self.loop, address, self.pool, wake))

    def check(self, server: str, wake: Callable[[], None]) -> Generator[float, None, None]:
        started = self.loop.now
        end, load, standing = AttemptOutcome.CONNECT_FAILED, None, None
        self.counters.add("probes sent")
        try:
            standing = self.acquire(server, wake)
            standing.channel.write(b"STATS\r\n" if self.field else b"PING\r\n")
            end, load = yield from self.answer(standing, started + self.timeout)
        except OSError as error:
            if fault_of_connect(error) is Fault.SHORTAGE:
                self.counters.add("probes without a descriptor")
                return  # nothing was asked: it says nothing of the server
            end = AttemptOutcome.CONNECT_FAILED
        except LineTooLongError:
            end = AttemptOutcome.UNKNOWN
        if standing is not None:
            connected = end in (
                AttemptOutcome.OK,
                AttemptOutcome.ERROR,
                AttemptOutcome.OVERLOADED,
                AttemptOutcome.TIMEOUT,
            )
            if connected and not standing.channel.ended and server not in self.connections:
                self.store(server, standing)
            else:
                standing.channel.close()
        self.counters.add(f"probes {end.value}")
        self.on_result(server, end, self.loop.now - started, load)

    def answer(
        self, standing: HealthCheckConnection, until: float
    ) -> Generator[float, None, tuple[AttemptOutcome, float | None]]:
        channel = standing.channel
        standing.answers_due += 1
        while True:
            while (line := channel.line()) is not None:
                standing.answers_due -= 1
                if not standing.answers_due:
                    told = (
                        ENDS.get(word(line), AttemptOutcome.UNKNOWN),
                        parse_load_report(rest(line), self.field),
                    )
                    channel.set_paused(False)
                    return told
            channel.set_paused(False)
            if channel.ended:
                return (AttemptOutcome.RESET if channel.flushed else AttemptOutcome.CONNECT_FAILED), None
            if self.loop.now >= until:
                return (AttemptOutcome.CONNECT_FAILED if channel.connecting else AttemptOutcome.TIMEOUT), None
            yield until

    def store(self, server: str, standing: HealthCheckConnection) -> None:
        standing.channel.wake = lambda: self.close_if_ended(server, standing)
        self.connections[server] = standing
        while len(self.connections) > self.max_connections:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest).channel.close()

    def close_if_ended(self, server: str, standing: HealthCheckConnection) -> None:
        """A standing connection that its server ends is closed then, not at the next probe: a server that is
        gone for good gets none, and its descriptor would be held for ever."""
        if standing.channel.ended and self.connections.get(server) is standing:
            del self.connections[server]
            standing.channel.close()
