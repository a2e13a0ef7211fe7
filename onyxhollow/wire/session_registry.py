"""All client connections of this process and what they share; makes room when descriptors run short."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.interface import Listener, Settings, Tenant
from onyxhollow.service_state import ServiceState
from onyxhollow.wire.attempts import AttemptRunner
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.echo_timing import EchoMonitor
from onyxhollow.wire.handoff_channel import HandoffSender
from onyxhollow.wire.messages import OpenRequest
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_table import SessionTable

NEW_CONNECTION_GRACE_SECONDS = (
    0.3  # seconds for which a new connection is not closed for room: its line may be on the way
)
CLOSING_GRACE_SECONDS = (
    0.1  # seconds for which one that only ends in order is left alone where there is no room
)
DROPPED_LISTENER_GRACE = (
    2.0  # seconds for which sessions of a listener dropped by a reload may still be on their way
)
ADOPTION_PERIOD = 39.0  # seconds for a connection that was open before the run to be up again
DEFAULT_CONNECTION_LIMIT = 1000  # until the configuration's limits are applied
BUSY = b"BUSY\r\n"


class ClientConnection(Protocol):
    """What the registry and the owners of a shutdown or migration see of one client's connection."""

    client: Channel
    request: OpenRequest | None  # None until a valid OPEN line has come
    accepted_at: float  # seconds of the loop's clock
    stopping: bool
    handoff_sender: HandoffSender | None
    handoff_accepted: bool | None

    @property
    def is_open(self) -> bool:
        """Whether UP was forwarded and the connection has not ended."""

    def wake(self) -> None:
        """Lets the connection's coroutine look at what has changed."""

    def stop(self) -> None:
        """Ends it: an open connection is migrated; one that waits is answered now."""


class SessionSettings(NamedTuple):
    """The part of the configuration that sessions go by; a reload replaces it as a whole."""

    listeners: Mapping[str, Listener]
    tenants: Mapping[str, Tenant]
    load_field: str
    connect_timeout: float  # seconds for a connection to an endpoint to come up

    @classmethod
    def of(cls, settings: Settings, connect_timeout: float) -> SessionSettings:
        """Picks them out of all settings."""
        return cls(settings.listeners, settings.tenants, settings.load_field, connect_timeout)


class SessionRegistry:
    """The client connections of this process, and the one place for what they share."""

    def __init__(
        self,
        context: NetworkContext,
        decisions: DecisionAdapter,
        service: ServiceState,
        settings: SessionSettings,
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.counters = context.counters
        self.addresses = context.addresses
        self.log = context.log
        self.decisions = decisions
        self.service = service
        self.settings = settings
        self.attempts = AttemptRunner(
            context, settings.load_field, settings.connect_timeout, self.report_malformed
        )
        self.echo_monitor = EchoMonitor(self.loop)
        self.table: SessionTable[ClientConnection] = SessionTable()
        self.dropped_listeners: dict[
            str, tuple[Listener, float]
        ] = {}  # with the time until which they are served
        self.active_count = 0  # sessions taken and not ended
        self.connection_limit = DEFAULT_CONNECTION_LIMIT  # descriptors past which room is made
        self.adoption_deadline = self.loop.now + ADOPTION_PERIOD
        self.counters.add_listeners(settings.listeners)

    def apply_settings(self, settings: SessionSettings) -> None:
        """Sets the terms of sessions that come from now on; earlier ones keep their listener's terms.

        Clients learn of a dropped listener later than this proxy: what is on its way goes by the old terms.
        """
        now = self.loop.now
        served = {name: row for name, row in self.dropped_listeners.items() if now < row[1]}
        for name, listener in self.settings.listeners.items():
            if name not in settings.listeners:
                served[name] = (listener, now + DROPPED_LISTENER_GRACE)
        self.dropped_listeners = served
        self.settings = settings
        self.counters.add_listeners(settings.listeners)
        self.attempts.apply_settings(settings.load_field, settings.connect_timeout)

    def find_listener(self, name: str) -> Listener | None:
        """The listener of that name, also for a moment after a reload has dropped it."""
        listener = self.settings.listeners.get(name)
        if listener is not None:
            return listener
        dropped, until = self.dropped_listeners.get(name, (None, 0.0))
        return dropped if self.loop.now < until else None

    def find_tenant(self, name: str) -> Tenant | None:
        """The tenant of that name; None for one without a quota."""
        return self.settings.tenants.get(name)

    def may_adopt(self, endpoint: str) -> bool:
        """Whether a connection that was open at this endpoint before the run may still come."""
        return self.loop.now < self.adoption_deadline and self.addresses.find(endpoint) is not None

    @property
    def is_crowded(self) -> bool:
        """Whether room is to be made: the last descriptors are for attempts, health checks and the list."""
        return self.pool.open_connections >= self.connection_limit

    def free_descriptors(self) -> bool:
        """Closes connections that ask for nothing, so that they don't take the place of those that do.

        Returns whether there is room now.
        """
        if self.is_crowded:
            self._close_ending_connections()
        while self.is_crowded:
            longest = self.table.longest_idle()
            if longest is None or self.loop.now - longest.accepted_at < NEW_CONNECTION_GRACE_SECONDS:
                break  # its line may be on the way
            self._evict(longest)
        return not self.is_crowded

    def _close_ending_connections(self) -> None:
        now = self.loop.now
        for closing in list(self.pool.closing.values()):
            if not self.is_crowded or now - closing.since < CLOSING_GRACE_SECONDS:
                break
            if not closing.has_unsent():  # else its final answer would go with it
                closing.close()
                self.counters.add("leaving connections closed for room")

    def _evict(self, connection: ClientConnection) -> None:
        self.table.mark_active(connection)
        connection.client.read()
        connection.wake()
        if not len(connection.client.inbox):  # else its line has come just now: it is served
            connection.client.write(BUSY)  # the answer of a request that crosses the close
            connection.client.close()
            self.counters.add("idle connections closed for room")

    def report_malformed(self, why: str, line: bytes = b"") -> None:
        """Counts and logs input that can't be read; at most 120 bytes of it are logged."""
        self.counters.add("malformed lines")
        self.log("malformed", why=why, line=repr(line[:120])[2:-1])
