"""Health checks of endpoints, with their load reports, on one cached connection per endpoint."""

from __future__ import annotations

from collections.abc import Callable, Generator

from onyxhollow.interface import AttemptOutcome
from onyxhollow.loop import Task
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.messages import after_first_word, first_word, parse_load_report
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.system_errors import ErrorCause, classify_connect_error

OUTCOME_BY_WORD = {
    b"PONG": AttemptOutcome.OK,
    b"ERR": AttemptOutcome.ERROR,
    b"BUSY": AttemptOutcome.OVERLOADED,
}
# Outcomes after which the connection may be reused.
REUSABLE_OUTCOMES = frozenset(
    {AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.OVERLOADED, AttemptOutcome.TIMEOUT}
)
MAX_PENDING_ANSWERS = 3  # per connection; with more, the endpoint may never have received the requests
DEFAULT_MAX_CONNECTIONS = 64  # cached; until the configured limits are applied


class HealthCheckConnection:
    """A connection for health checks.

    It stays open after a health check that timed out: a new connection would cost an endpoint that is
    already slow another connection set-up.
    """

    __slots__ = ("address", "channel", "pending_answers")

    def __init__(self, address: Address, channel: Channel) -> None:
        self.address = address
        self.channel = channel
        self.pending_answers = 0  # to earlier requests that timed out, and to the present one


class HealthChecker:
    """Makes health checks and caches their connections; closes the least recently used ones."""

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
        self.on_result = on_result  # called with the endpoint, outcome, duration in seconds and load
        self.connections: dict[str, HealthCheckConnection] = {}  # idle connections by endpoint
        self.max_connections = DEFAULT_MAX_CONNECTIONS

    def apply_settings(self, load_field: str, timeout: float) -> None:
        """Apply settings to the health checks that start from now on."""
        self.load_field = load_field
        self.timeout = timeout

    def start_check(self, endpoint: str) -> None:
        """Start a health check; its result is passed to `on_result`, unless no descriptor is free."""
        tasks: list[Task] = []
        tasks.append(self.loop.spawn(self.check(endpoint, lambda: tasks[0].wake())))

    def acquire(self, endpoint: str, wake: Callable[[], None]) -> HealthCheckConnection:
        """Return the cached connection or a new one; raise OSError if no connect can be started."""
        address = self.addresses.find(endpoint)
        if address is None:
            raise OSError(f"{endpoint}: expected an address in the endpoint list, got none")
        cached = self.connections.pop(endpoint, None)
        if cached is not None:
            usable = not cached.channel.ended and cached.pending_answers < MAX_PENDING_ANSWERS
            if usable and cached.address == address:
                cached.channel.wake = wake
                return cached
            cached.channel.close()
        return HealthCheckConnection(address, Channel.connect(self.loop, address, self.pool, wake))

    def check(self, endpoint: str, wake: Callable[[], None]) -> Generator[float, None, None]:
        """Make one health check and report its result."""
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
                return  # no request was sent: no evidence about the endpoint
            outcome = AttemptOutcome.CONNECT_FAILED
        except LineTooLongError:
            outcome = AttemptOutcome.UNKNOWN
        if connection is not None:
            usable = outcome in REUSABLE_OUTCOMES and not connection.channel.ended
            if usable and endpoint not in self.connections:
                self.store(endpoint, connection)
            else:
                connection.channel.close()
        self.counters.add(f"probes {outcome.value}")
        self.on_result(endpoint, outcome, self.loop.now - started_at, load)

    def await_answer(
        self, connection: HealthCheckConnection, deadline: float
    ) -> Generator[float, None, tuple[AttemptOutcome, float | None]]:
        """Wait for the answer to the latest request; return the outcome and the reported load."""
        channel = connection.channel
        connection.pending_answers += 1
        while True:
            while (line := channel.line()) is not None:
                connection.pending_answers -= 1
                if not connection.pending_answers:
                    outcome = OUTCOME_BY_WORD.get(first_word(line), AttemptOutcome.UNKNOWN)
                    load = parse_load_report(after_first_word(line), self.load_field)
                    channel.set_paused(False)
                    return outcome, load
            channel.set_paused(False)
            if channel.ended:
                return (AttemptOutcome.RESET if channel.flushed else AttemptOutcome.CONNECT_FAILED), None
            if self.loop.now >= deadline:
                return (AttemptOutcome.CONNECT_FAILED if channel.connecting else AttemptOutcome.TIMEOUT), None
            yield deadline

    def store(self, endpoint: str, connection: HealthCheckConnection) -> None:
        """Cache a connection for the next health check, and close the oldest ones above the limit."""
        connection.channel.wake = lambda: self.close_if_ended(endpoint, connection)
        self.connections[endpoint] = connection
        while len(self.connections) > self.max_connections:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest).channel.close()

    def close_if_ended(self, endpoint: str, connection: HealthCheckConnection) -> None:
        """Close a cached connection as soon as its endpoint has ended it.

        An endpoint that was removed gets no further health check, so its descriptor would stay open forever.
        """
        if connection.channel.ended and self.connections.get(endpoint) is connection:
            del self.connections[endpoint]
            connection.channel.close()
