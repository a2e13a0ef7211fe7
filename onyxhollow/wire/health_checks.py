"""Health checks: asks endpoints for their load, on one cached connection to each."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass

from onyxhollow.interface import AttemptOutcome
from onyxhollow.loop import Task
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.messages import after_first_word, first_word, parse_load_report
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.system_errors import ErrorCause, classify_connect_error

OUTCOMES = {b"PONG": AttemptOutcome.OK, b"ERR": AttemptOutcome.ERROR, b"BUSY": AttemptOutcome.OVERLOADED}
CONNECTED = frozenset(
    {AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED, AttemptOutcome.TIMEOUT}
)  # outcomes after which the connection may be used again
MAX_ANSWERS_DUE = 3  # of one connection; an endpoint that owes more may never have got the questions
DEFAULT_MAX_CONNECTIONS = 64  # until the configuration's limits are applied


@dataclass(slots=True, eq=False)
class HealthCheckConnection:
    """One connection for health checks.

    It outlives a question that is not answered in time: a new one would cost an endpoint that is short of
    time a connection set-up more.
    """

    address: Address
    channel: Channel
    answers_due: int = 0  # to earlier questions, which may still come


class HealthChecker:
    """Makes health checks and caches their connections; the one unused for longest makes room."""

    def __init__(
        self,
        context: NetworkContext,
        load_field: str,
        timeout: float,
        on_result: Callable[[str, AttemptOutcome, float, float | None], None],
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.counters = context.counters
        self.addresses = context.addresses
        self.load_field = load_field
        self.timeout = timeout  # seconds
        self.on_result = on_result  # endpoint, outcome, seconds it took, load
        self.connections: dict[str, HealthCheckConnection] = {}  # idle ones, by endpoint
        self.max_connections = DEFAULT_MAX_CONNECTIONS

    def apply_settings(self, load_field: str, timeout: float) -> None:
        """Sets the terms of health checks that begin from now on."""
        self.load_field = load_field
        self.timeout = timeout

    def start_check(self, endpoint: str) -> None:
        """Begins a health check; its result comes by `on_result`, unless no descriptor was left for it."""
        holder: list[Task] = []
        holder.append(self.loop.spawn(self.check(endpoint, lambda: holder[0].wake())))

    def acquire(self, endpoint: str, wake: Callable[[], None]) -> HealthCheckConnection:
        """The cached connection to an endpoint, or a new one; OSError if that can't even be begun."""
        address = self.addresses.find(endpoint)
        if address is None:
            raise OSError("no address")
        cached = self.connections.pop(endpoint, None)
        if cached is not None:
            usable = not cached.channel.ended and cached.answers_due < MAX_ANSWERS_DUE
            if usable and cached.address == address:
                cached.channel.wake = wake
                return cached
            cached.channel.close()
        return HealthCheckConnection(address, Channel.connect(self.loop, address, self.pool, wake))

    def check(self, endpoint: str, wake: Callable[[], None]) -> Generator[float, None, None]:
        """Makes one health check and reports its result."""
        started_at = self.loop.now
        load = None
        connection = None
        self.counters.add("probes sent")
        try:
            connection = self.acquire(endpoint, wake)
            connection.channel.write(b"STATS\r\n" if self.load_field else b"PING\r\n")
            outcome, load = yield from self.await_answer(connection, started_at + self.timeout)
        except OSError as error:
            if classify_connect_error(error) is ErrorCause.SHORTAGE:
                self.counters.add("probes without a descriptor")
                return  # nothing was asked: it says nothing of the endpoint
            outcome = AttemptOutcome.CONNECT_FAILED
        except LineTooLongError:
            outcome = AttemptOutcome.UNKNOWN
        if connection is not None:
            usable = outcome in CONNECTED and not connection.channel.ended
            if usable and endpoint not in self.connections:
                self.store(endpoint, connection)
            else:
                connection.channel.close()
        self.counters.add(f"probes {outcome.value}")
        self.on_result(endpoint, outcome, self.loop.now - started_at, load)

    def await_answer(
        self, connection: HealthCheckConnection, until: float
    ) -> Generator[float, None, tuple[AttemptOutcome, float | None]]:
        """Waits for the answer to the newest question; returns the outcome and the load reported with it."""
        channel = connection.channel
        connection.answers_due += 1
        while True:
            while (line := channel.line()) is not None:
                connection.answers_due -= 1
                if not connection.answers_due:
                    outcome = OUTCOMES.get(first_word(line), AttemptOutcome.UNKNOWN)
                    load = parse_load_report(after_first_word(line), self.load_field)
                    channel.set_paused(False)
                    return outcome, load
            channel.set_paused(False)
            if channel.ended:
                return (AttemptOutcome.RESET if channel.flushed else AttemptOutcome.CONNECT_FAILED), None
            if self.loop.now >= until:
                return (AttemptOutcome.CONNECT_FAILED if channel.connecting else AttemptOutcome.TIMEOUT), None
            yield until

    def store(self, endpoint: str, connection: HealthCheckConnection) -> None:
        """Caches a connection for the next health check, and closes the oldest ones past the limit."""
        connection.channel.wake = lambda: self.close_if_ended(endpoint, connection)
        self.connections[endpoint] = connection
        while len(self.connections) > self.max_connections:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest).channel.close()

    def close_if_ended(self, endpoint: str, connection: HealthCheckConnection) -> None:
        """Closes a cached connection that its endpoint has ended, at once and not at the next health check.

        An endpoint that is gone for good gets no further check, and its descriptor would stay open for ever.
        """
        if connection.channel.ended and self.connections.get(endpoint) is connection:
            del self.connections[endpoint]
            connection.channel.close()
