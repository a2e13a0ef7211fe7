"""Watch of the endpoint list: long polls of the discovery service over HTTP, one after another."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator
from random import Random
from typing import Any, NamedTuple

import h11
import orjson

from onyxhollow.interface import Endpoint, EndpointListKind, Settings
from onyxhollow.wire.discovery_connection import (
    DiscoveryConnection,
    DiscoveryStatusError,
    DiscoveryTimeoutError,
)
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import EndpointList, EndpointListError, decode_endpoint_list
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.remote_clock import RemoteClock

ANSWER_TIMEOUT_SECONDS = 3.5  # for an answer that is due at once; a busy service answers calls one by one
SILENCE_TIMEOUT_SECONDS = 1.0  # after a poll's wait, until it counts as unanswered; the protocol allows 2 s
WAIT_JITTER = (0.75, 1.25)  # factors of the wait, so that polls that start together do not end together
# Before the next call after a failed one, if the policy expects pushed updates. By the protocol, a change
# during an outage counts as notified as soon as the service returns, apart from a short grace period.
FAILED_BACKOFF_SECONDS = 0.1
BUSY_BACKOFF_SECONDS = 0.5  # the same if the service is busy, so that the calls of a fleet do not keep it so
BUSY_ANSWER_SECONDS = 0.3  # a call rejected later than this waited in the queue of a busy service
FLEET_POLLS_PER_SECOND = 2.0  # by all watches of a fleet together while nothing changes
CONTINUATION_SECONDS = 0.2  # within which a watch must poll again after an answer, by the protocol
STAGGERED_POLLS = 5  # polls after a failure that are delayed by a random time
MIN_WAIT_SECONDS = 0.001  # shortest wait that a poll requests
MAX_WAIT_SECONDS = 60.0  # the protocol's limit
MAX_LOGGED_ENDPOINTS = 24  # per update
UNKNOWN_VERSION = -1  # the next poll requests a snapshot


def poll_wait(max_poll_interval: float, instance_count: int) -> float:
    """Return how long a poll waits for a change, in seconds.

    The service answers the polls of all instances one by one. With many instances and short waits it would be
    busy with polls that return no change, and would report changes late.
    """
    return min(MAX_WAIT_SECONDS, max(max_poll_interval / 2, instance_count / FLEET_POLLS_PER_SECOND))


class WatchConfig(NamedTuple):
    """Settings that apply to a watch."""

    poll_wait: float  # seconds that one poll waits for a change
    pushed: bool  # the policy expects updates without requesting them

    @classmethod
    def of(cls, settings: Settings) -> WatchConfig:
        """Select the watch settings from all settings."""
        wait = poll_wait(settings.max_poll_interval, settings.instance_count)
        return cls(wait, not settings.list_is_polled)


class EndpointListWatch:
    """Polls one discovery service, tracks the list's version, and reports each update or failure."""

    def __init__(
        self,
        context: NetworkContext,
        address: Address,
        config: WatchConfig,
        clock: RemoteClock,
        known: EndpointList,
        on_update: Callable[[EndpointListKind, list[Endpoint]], None],
        rng: Random,
        answer_at_once: bool = False,
    ) -> None:
        self.loop = context.loop
        self.pool = context.pool
        self.counters = context.counters
        self.addresses = context.addresses
        self.log = context.log
        self.address = address
        self.config = config
        self.clock = clock
        self.on_update = on_update
        self.rng = rng
        # The next poll requests an answer at once, even without a change.
        self.answer_at_once = answer_at_once
        self.poll_requested = config.pushed
        self.staggered_polls = 0  # further polls that are delayed by a random time
        self.timeouts = 0  # consecutive polls without an answer
        self.interrupted = True  # no poll has been answered since the start or the last failure
        self.backoff = FAILED_BACKOFF_SECONDS  # seconds before the next poll after a failure
        # The list in the service's format, by endpoint; passed to a successor.
        self.records: dict[str, Any] = {}
        self.restore(known)
        self.connection: DiscoveryConnection | None = None
        self.next_address: Address | None = None  # service to switch to at the next poll
        self.awaits_snapshot = False  # the poll in flight has requested a snapshot
        self.suspended = False  # another member of the fleet polls the list for this proxy
        self.task = self.loop.spawn(self.run())

    def poll(self) -> None:
        """Start polling for an update that the policy has requested."""
        self.poll_requested = True
        self.task.wake()

    def restore(self, endpoint_list: EndpointList) -> None:
        """Start from a list that this process has not polled; the next poll requests the changes to it.

        Its records are kept, because a delta contains only some of them and this process may hand the list
        over before it receives a snapshot.
        """
        self.version = endpoint_list.version
        self.records = {record["host"]: record for record in endpoint_list.records}

    def snapshot(self) -> dict[str, Any]:
        """Return the list as last reported, in the service's format."""
        return {"seq": self.version, "whole": True, "hosts": list(self.records.values())}

    def set_suspended(self, suspended: bool) -> None:
        """Suspend polling while the fleet replicates the list, or resume it with a poll at once."""
        self.suspended = suspended
        if not suspended:
            self.poll_requested = True
        self.task.wake()

    def apply_settings(self, config: WatchConfig) -> None:
        """Apply settings to the polls that start from now on."""
        self.config = config

    def switch_to(self, address: Address, resync: bool = False) -> bool:
        """Switch to another service after a reload, and poll it at once for a snapshot.

        By the protocol, what the old service has written before counts as notified, so it is still applied.
        Later data of the old service is ignored, so that it can't overwrite the new list.

        Args:
            address: Address of the service; the present address means no change, unless `resync` is set.
            resync: Request a snapshot from the same service, as the meaning of its weights has changed.
                One that is in flight is as good: a series of reloads must not abandon each answer in turn.

        Returns:
            Whether a snapshot is polled from now on.
        """
        channel = self.connection.channel if self.connection is not None else None
        if channel is not None and not channel.ended and not channel.connecting:
            channel.read()
        resync = resync and not self.awaits_snapshot
        changes = resync or self.next_address is not None or address != self.address
        self.next_address = address if changes else None
        if changes:
            self.poll_requested = True
        self.task.wake()
        return changes

    def run(self) -> Generator[float, None, None]:
        """Poll while polls are requested; the watch's coroutine."""
        while True:
            while not self.poll_requested or self.suspended:
                yield math.inf
            # Every call is a long poll, also the first one. A short one would need a second call, and would
            # time out in the queue of a busy service, where a long poll has time to wait.
            while (yield from self.poll_once()):
                yield from self.stagger()
                if self.suspended:
                    break
            if self.config.pushed and not self.suspended:
                yield from self.loop.sleep(self.backoff)
                self.poll_requested = True

    def stagger(self) -> Generator[float, None, None]:
        """Delay the next poll by a random time, for some polls after a failure.

        The service has recently rejected calls. All instances that have just received the same change would
        otherwise poll again within a millisecond, and most would be rejected again. The delay stays below the
        time in which a watch must poll again by the protocol: a change within that time counts as notified
        even to an instance that polls later, which could then make attempts at draining endpoints. A new
        address is polled at once.
        """
        if not self.staggered_polls:
            return
        self.staggered_polls -= 1
        poll_at = self.loop.now + self.rng.random() * CONTINUATION_SECONDS / 2
        while self.loop.now < poll_at and self.next_address is None:
            yield poll_at

    def poll_once(self) -> Generator[float, None, bool]:
        """Make one poll and report its result; return whether the next one may follow at once."""
        if self.next_address is not None:
            # The new service may not use the versions of the old one, so a snapshot is requested.
            self.disconnect()
            self.address = self.next_address
            self.next_address = None
            self.version = UNKNOWN_VERSION
        target, timeout = self.next_request()
        self.awaits_snapshot = self.version < 0
        self.counters.add("list calls")
        called_at = self.loop.now
        try:
            deadline = self.loop.now + timeout
            body = yield from self.ensure_connection().get(target, deadline, self.is_superseded)
            document = orjson.loads(body)
            if not self.interrupted:  # the service returns a change since the last answer at once
                self.clock.known_until = self.loop.now
            update = decode_endpoint_list(document, self.clock, self.loop.now)
        except (EndpointListError, OSError, ValueError, h11.ProtocolError) as error:
            self.disconnect()
            return self.on_failure(error, self.loop.now - called_at)
        finally:
            self.awaits_snapshot = False
        self.poll_requested = False
        self.answer_at_once = False
        self.timeouts = 0
        self.interrupted = False
        self.clock.known_until = self.loop.now
        self.apply(update)
        return True

    def ensure_connection(self) -> DiscoveryConnection:
        """Return the connection of the last poll or a new one; raise OSError if a connect fails at once."""
        if self.connection is None or not self.connection.is_reusable:
            self.disconnect()
            self.connection = DiscoveryConnection(
                self.loop, self.address, self.pool, lambda: self.task.wake()
            )
        return self.connection

    def is_superseded(self) -> bool:
        """Return whether the answer of the poll in flight is no longer needed."""
        return self.next_address is not None or self.suspended

    def on_failure(self, error: Exception, duration: float) -> bool:
        """Report a failed poll, which took `duration` seconds; return whether the next may follow at once."""
        if self.next_address is not None:
            return True  # cancelled by the switch, or failed just before: the new service is polled at once
        if self.suspended:
            return False  # cancelled because the fleet replicates the list: no failure
        self.counters.add("list failures")
        was_interrupted = self.interrupted
        self.interrupted = True
        if isinstance(error, DiscoveryTimeoutError):
            # By the protocol, a change that an unanswered poll missed counts as notified 2 s after its wait.
            # So the next poll always starts at once. All polls may remain unanswered together although the
            # service works; from the second consecutive one on, a failure is reported nevertheless.
            self.timeouts += 1
            self.log("list silent", version=self.version, in_a_row=self.timeouts)
            if self.timeouts > 1:
                self.on_update(EndpointListKind.FAILED, [])
            return True
        self.staggered_polls = STAGGERED_POLLS
        is_late_rejection = isinstance(error, DiscoveryStatusError) and duration > BUSY_ANSWER_SECONDS
        is_busy = is_late_rejection and was_interrupted  # else it is the end of a watch, which has waited
        self.backoff = BUSY_BACKOFF_SECONDS if is_busy else FAILED_BACKOFF_SECONDS
        self.poll_requested = False  # the policy requests the next poll
        self.log("list failed", why=str(error)[:200], version=self.version)
        if isinstance(error, ValueError):
            self.version = UNKNOWN_VERSION
        self.on_update(EndpointListKind.FAILED, [])
        return False

    def next_request(self) -> tuple[str, float]:
        """Return the target of the next poll, and its timeout in seconds."""
        if self.version < 0:
            return "/v1/endpoints", ANSWER_TIMEOUT_SECONDS
        wait = MIN_WAIT_SECONDS
        grace = ANSWER_TIMEOUT_SECONDS
        if not self.answer_at_once:
            wait = min(MAX_WAIT_SECONDS, self.config.poll_wait * self.rng.uniform(*WAIT_JITTER))
            grace = SILENCE_TIMEOUT_SECONDS
        return f"/v1/endpoints?index={self.version}&wait={round(wait * 1000)}", wait + grace

    def apply(self, update: EndpointList) -> None:
        """Apply an update of the service, received here or by another member of the fleet."""
        for name, address in update.addresses.items():
            self.addresses.store(name, address)
        if update.is_snapshot:
            self.records.clear()
        self.records.update((record["host"], record) for record in update.records)
        if update.endpoints or update.is_snapshot or update.version != self.version:
            lines = [self.log_line(endpoint) for endpoint in update.endpoints]
            self.log(
                "list", version=update.version, whole=update.is_snapshot, rows=lines[:MAX_LOGGED_ENDPOINTS]
            )
        self.version = update.version
        kind = EndpointListKind.SNAPSHOT if update.is_snapshot else EndpointListKind.DELTA
        self.on_update(kind, update.endpoints)

    def log_line(self, endpoint: Endpoint) -> str:
        """Format an endpoint for the log, with its name, state and age."""
        line = f"{endpoint.name} {endpoint.state.value}"
        if endpoint.started_at is None:
            return line
        return line + f", started {self.loop.now - endpoint.started_at:.1f} s ago"

    def disconnect(self) -> None:
        """Close the connection, and abandon the poll on it."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
