"""All client connections of this process and their shared state; frees descriptors at the limit."""

from __future__ import annotations

import math
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

# Age up to which a connection without a request is kept at the limit, as its first line may be in transit.
NEW_CONNECTION_GRACE_SECONDS = 0.3
# The same once clients wait in the listener's queue, whose requests must not be read too late to be answered.
CROWDED_CONNECTION_GRACE_SECONDS = 0.05
MAX_QUEUE_SECONDS = 0.1  # for which accepting may be put off before the shorter time applies
# Time without a further byte until which an incomplete first line is kept at the limit.
STALLED_LINE_SECONDS = 0.3
# Time for which a connection that is shutting down is kept at the limit.
CLOSING_GRACE_SECONDS = 0.1
# Time for which a listener that a reload removed is still served, as requests may be in transit.
REMOVED_LISTENER_GRACE_SECONDS = 2.0
ADOPTION_PERIOD_SECONDS = 39.0  # in which a session that was open before the start may reconnect
DEFAULT_CONNECTION_LIMIT = 1000  # until the configured limits are applied
BUSY = b"BUSY\r\n"


class ClientConnection(Protocol):
    """Client connection as the registry, shutdown and migration use it."""

    client: Channel
    request: OpenRequest | None  # None until a valid OPEN line is received
    accepted_at: float  # loop time in seconds
    last_bytes_at: float  # loop time of the last bytes of the first line, or of the accept
    stopping: bool
    handoff_sender: HandoffSender | None
    handoff_accepted: bool | None

    @property
    def is_open(self) -> bool:
        """Whether UP was forwarded and the connection has not ended."""

    def wake(self) -> None:
        """Schedule the connection's coroutine, which then checks for changes."""

    def stop(self) -> None:
        """End the session: migrate an open connection, answer a request that still waits."""


class SessionSettings(NamedTuple):
    """Settings that apply to sessions; a reload replaces all of them at once."""

    listeners: Mapping[str, Listener]
    tenants: Mapping[str, Tenant]
    load_field: str
    connect_timeout: float  # seconds for a connection to an endpoint to be established

    @classmethod
    def of(cls, settings: Settings, connect_timeout: float) -> SessionSettings:
        """Select the session settings from all settings."""
        return cls(settings.listeners, settings.tenants, settings.load_field, connect_timeout)


class SessionRegistry:
    """Client connections of this process, with their shared settings, counters and tables."""

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
        # Removed listeners by name, with the loop time until which they are served.
        self.removed_listeners: dict[str, tuple[Listener, float]] = {}
        self.active_count = 0  # sessions with a valid request that have not ended
        self.connection_limit = DEFAULT_CONNECTION_LIMIT  # idle connections are closed from this number on
        self.queue_since = math.inf  # loop time since which connections wait to be accepted
        self.crowded_until = -math.inf  # loop time until which connections without a request are kept shorter
        self.adoption_deadline = self.loop.now + ADOPTION_PERIOD_SECONDS
        self.counters.add_listeners(settings.listeners)

    def apply_settings(self, settings: SessionSettings) -> None:
        """Apply settings to new sessions; earlier sessions keep their listener's settings.

        Clients are notified of a removed listener later than this proxy. Their requests in transit are
        served by the old settings.
        """
        now = self.loop.now
        served = {name: row for name, row in self.removed_listeners.items() if now < row[1]}
        for name, listener in self.settings.listeners.items():
            if name not in settings.listeners:
                served[name] = (listener, now + REMOVED_LISTENER_GRACE_SECONDS)
        self.removed_listeners = served
        self.settings = settings
        self.counters.add_listeners(settings.listeners)
        self.attempts.apply_settings(settings.load_field, settings.connect_timeout)

    def find_listener(self, name: str) -> Listener | None:
        """Return the listener of that name, also for 2 s after a reload has removed it; None if unknown."""
        listener = self.settings.listeners.get(name)
        if listener is not None:
            return listener
        removed, until = self.removed_listeners.get(name, (None, 0.0))
        return removed if self.loop.now < until else None

    def find_tenant(self, name: str) -> Tenant | None:
        """Return the tenant of that name, or None if it has no quota."""
        return self.settings.tenants.get(name)

    def may_adopt(self, endpoint: str) -> bool:
        """Return whether a session that was open at this endpoint before the start may still reconnect."""
        return self.loop.now < self.adoption_deadline and self.addresses.find(endpoint) is not None

    @property
    def is_at_limit(self) -> bool:
        """Whether the limit is reached; descriptors above it are for attempts, health checks and the list."""
        return self.pool.budget.used >= self.connection_limit

    def free_descriptors(self) -> bool:
        """Close connections without a request, so that descriptors are left for those with one.

        Returns:
            Whether the number of connections is below the limit now.
        """
        if self.is_at_limit:
            self._close_ending_connections()
        while self.is_at_limit:
            if not self._evict_oldest_idle():
                break
        return not self.is_at_limit

    @property
    def connection_grace(self) -> float:
        """Seconds for which a connection without a request is kept at the limit."""
        is_crowded = self.loop.now < self.crowded_until
        return CROWDED_CONNECTION_GRACE_SECONDS if is_crowded else NEW_CONNECTION_GRACE_SECONDS

    def record_queue(self, is_empty: bool) -> None:
        """Record whether connections wait to be accepted."""
        if is_empty:
            self.queue_since = math.inf
            return
        self.queue_since = min(self.queue_since, self.loop.now)
        if self.loop.now - self.queue_since > MAX_QUEUE_SECONDS:
            self.crowded_until = self.loop.now + NEW_CONNECTION_GRACE_SECONDS

    def yield_descriptors(self) -> None:
        """Close the connections without a request for the successor, once both processes reach the limit.

        The successor can't close connections here, and its new clients would wait until these time out.
        """
        if not self.is_at_limit:
            return
        self._close_ending_connections()
        while self._evict_oldest_idle():
            pass

    def _close_ending_connections(self) -> None:
        now = self.loop.now
        for closing in list(self.pool.closing.values()):
            if not self.is_at_limit or now - closing.since < CLOSING_GRACE_SECONDS:
                break
            if not closing.has_unsent():  # else its final answer would be lost
                closing.close()
                self.counters.add("leaving connections closed for room")

    def _evict_oldest_idle(self) -> bool:
        """Close the connection that has waited longest for its first line; return False if there is none.

        A connection within its grace period is kept, as its first line may be in transit, and so is one whose
        first line has arrived or still grows.
        """
        oldest_idle = self.table.longest_idle()
        if oldest_idle is None or self.loop.now - oldest_idle.accepted_at < self.connection_grace:
            return False
        self._evict(oldest_idle)
        return True

    def _evict(self, connection: ClientConnection) -> None:
        self.table.mark_active(connection)
        client = connection.client
        unread = len(client.inbox)
        client.read()
        connection.wake()
        is_growing = (
            len(client.inbox) > unread or self.loop.now - connection.last_bytes_at < STALLED_LINE_SECONDS
        )
        if len(client.inbox) and (is_growing or client.inbox.has_line()):
            return  # its first line has arrived and is served, or is still arriving
        client.inbox.discard()
        client.write(BUSY)  # the answer to a request in transit
        client.close()
        self.counters.add("idle connections closed for room")

    def report_malformed(self, reason: str, line: bytes = b"") -> None:
        """Count and log malformed input, with at most its first 120 bytes."""
        self.counters.add("malformed lines")
        self.log("malformed", why=reason, line=repr(line[:120])[2:-1])
