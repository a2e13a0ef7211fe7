"""Follows the endpoint list over HTTP by long polls, one after another."""

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

ANSWER_TIMEOUT_SECONDS = (
    3.5  # seconds for an answer that is due at once: a busy service works through calls in turn
)
SILENCE_TIMEOUT = 1.0  # seconds past its wait after which a poll counts as silent; the protocol allows 2 s
JITTER = (0.75, 1.25)  # parts of the wait: polls that began together end, and are opened again, one by one
REJECTED_BACKOFF = 0.5  # seconds after a call that was rejected, where the list is pushed
# The same after a call that nobody took: what changes before the service returns counts as notified then,
# less the grace.
UNREACHABLE_BACKOFF = 0.1
FLEET_POLL_RATE = 2.0  # polls a second that the watches of a fleet make together while nothing changes
CONTINUATION_TIME = 0.2  # seconds within which a watch must go on after an answer (protocol)
STAGGERED_POLLS = 5  # answers after a failure for which the next poll is put off by a random time
LEAST_WAIT = 0.001  # seconds that a poll asks to wait
MAX_WAIT = 60.0  # seconds: the protocol's limit
MAX_LOGGED_ENDPOINTS = 24  # of one update
UNKNOWN_VERSION = -1  # a snapshot is asked for


def poll_wait(max_poll_interval: float, instance_count: int) -> float:
    """How long a poll waits for a change, in seconds.

    The service works through the polls of all in turn: short waits of many keep it busy with polls that have
    nothing to answer, and what it has to say comes late.
    """
    return min(MAX_WAIT, max(max_poll_interval / 2, instance_count / FLEET_POLL_RATE))


class WatchConfig(NamedTuple):
    """The part of the settings that a watch goes by."""

    poll_wait: float  # seconds that one poll waits for a change
    pushed: bool  # the decisions expect updates without having asked for them

    @classmethod
    def of(cls, settings: Settings) -> WatchConfig:
        """Picks them out of all settings."""
        wait = poll_wait(settings.max_poll_interval, settings.instance_count)
        return cls(wait, not settings.list_is_polled)


class EndpointListWatch:
    """Polls one discovery service, keeps the list's version, and reports each update or failure."""

    def __init__(
        self,
        context: NetworkContext,
        address: Address,
        config: WatchConfig,
        clock: RemoteClock,
        version: int,
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
        self.version = version
        self.on_update = on_update
        self.rng = rng
        self.answer_at_once = answer_at_once  # the first answer is waited for, changed or not
        self.poll_requested = config.pushed
        self.staggered_polls = 0  # answers until the service no longer counts as a busy one
        self.timeouts = 0  # polls in a row that nothing came on
        self.interrupted = True  # no poll has been answered yet, or not since one failed
        self.backoff = REJECTED_BACKOFF  # seconds before the next poll, after a failure
        self.records: dict[str, Any] = {}  # the list by endpoint, in the service's form, for a successor
        self.connection: DiscoveryConnection | None = None
        self.next_address: Address | None = None  # to be followed from now on
        self.suspended = False  # another member of the fleet follows the list for this proxy
        self.task = self.loop.spawn(self.run())

    def poll(self) -> None:
        """Requests an update: the decisions want to know of changes from now on."""
        self.poll_requested = True
        self.task.wake()

    def snapshot(self) -> dict[str, Any]:
        """The list as last reported, in the service's form."""
        return {"seq": self.version, "whole": True, "hosts": list(self.records.values())}

    def set_suspended(self, suspended: bool) -> None:
        """Suspends polling while the fleet replicates the list, or polls again, at once."""
        self.suspended = suspended
        if not suspended:
            self.poll_requested = True
        self.task.wake()

    def apply_settings(self, config: WatchConfig) -> None:
        """Sets what polls go by, from the next one on."""
        self.config = config

    def switch_to(self, address: Address, resync: bool = False) -> None:
        """Follows another service from now on, after a reload; it is polled at once, for a snapshot.

        What the old one has written by now counts as notified and is still used; what it would send later
        must not come after the new list.

        Args:
            address: Of the service; the one in use means no change, unless `resync` is set.
            resync: Ask the same service for a snapshot, as its weights mean another thing now.
        """
        channel = self.connection.channel if self.connection is not None else None
        if channel is not None and not channel.ended and not channel.connecting:
            channel.read()
        changes = resync or self.next_address is not None or address != self.address
        self.next_address = address if changes else None
        if changes:
            self.poll_requested = True
        self.task.wake()

    def run(self) -> Generator[float, None, None]:
        """The watch's coroutine."""
        while True:
            while not self.poll_requested or self.suspended:
                yield math.inf
            # Every call is a long poll from the first on: a short one would take a second turn at the
            # service, and would be given up in a queue in which a long poll waits its time.
            while (yield from self.poll_once()):
                yield from self.stagger()
                if self.suspended:
                    break
            if self.config.pushed and not self.suspended:
                yield from self.loop.sleep(self.backoff)
                self.poll_requested = True

    def stagger(self) -> Generator[float, None, None]:
        """Puts the next poll off by a random time for some answers after a failure.

        The service has rejected calls of late: all that got the same change just now would come again within
        a millisecond, and most would be rejected once more. No later than a watch must go on: what changes
        within that time of an answer counts as notified, also to one who comes later, and that one would have
        made attempts at endpoints that drained in it. Another address is polled at once.
        """
        if not self.staggered_polls:
            return
        self.staggered_polls -= 1
        until = self.loop.now + self.rng.random() * CONTINUATION_TIME / 2
        while self.loop.now < until and self.next_address is None:
            yield until

    def poll_once(self) -> Generator[float, None, bool]:
        """Makes one poll and reports what came of it; whether the next one may follow at once."""
        if self.next_address is not None:
            # The versions of one service may mean nothing at the other: it is asked for a snapshot.
            self.disconnect()
            self.address = self.next_address
            self.next_address = None
            self.version = UNKNOWN_VERSION
        target, timeout = self.next_request()
        self.counters.add("list calls")
        try:
            until = self.loop.now + timeout
            body = yield from self.connected().get(target, until, self.is_superseded)
            document = orjson.loads(body)
            if not self.interrupted:  # what has changed since the last answer is answered at once
                self.clock.known_until = self.loop.now
            update = decode_endpoint_list(document, self.clock, self.loop.now)
        except (EndpointListError, OSError, ValueError, h11.ProtocolError) as error:
            self.disconnect()
            return self.on_failure(error)
        self.poll_requested = False
        self.answer_at_once = False
        self.timeouts = 0
        self.interrupted = False
        self.clock.known_until = self.loop.now
        self.apply(document["hosts"], update)
        return True

    def connected(self) -> DiscoveryConnection:
        """The connection of the last poll, or a new one; OSError if that can't be begun."""
        if self.connection is None or not self.connection.is_reusable:
            self.disconnect()
            self.connection = DiscoveryConnection(
                self.loop, self.address, self.pool, lambda: self.task.wake()
            )
        return self.connection

    def is_superseded(self) -> bool:
        """Whether the answer of the poll in flight is no longer wanted."""
        return self.next_address is not None or self.suspended

    def on_failure(self, error: Exception) -> bool:
        """Reports a poll that failed; whether the next one may follow at once."""
        if self.next_address is not None:
            return True  # it failed because it was left, or just before: the new service is polled at once
        if self.suspended:
            return False  # left because the fleet replicates the list: no failure
        self.counters.add("list failures")
        self.interrupted = True
        if isinstance(error, DiscoveryTimeoutError):
            # What a silent poll missed counts as notified 2 s after its wait: the next one is opened at once,
            # however often. All polls may fall silent at once and the service be well; from the second in a
            # row on it is reported as a failure all the same.
            self.timeouts += 1
            self.log("list silent", version=self.version, in_a_row=self.timeouts)
            if self.timeouts > 1:
                self.on_update(EndpointListKind.FAILED, [])
            return True
        self.staggered_polls = STAGGERED_POLLS
        self.backoff = REJECTED_BACKOFF if isinstance(error, DiscoveryStatusError) else UNREACHABLE_BACKOFF
        self.poll_requested = False  # the decisions say now when to poll again
        self.log("list failed", why=str(error)[:200], version=self.version)
        if isinstance(error, ValueError):
            self.version = UNKNOWN_VERSION
        self.on_update(EndpointListKind.FAILED, [])
        return False

    def next_request(self) -> tuple[str, float]:
        """The target of the next poll, and for how many seconds its answer is waited for."""
        if self.version < 0:
            return "/v1/endpoints", ANSWER_TIMEOUT_SECONDS
        wait = LEAST_WAIT
        grace = ANSWER_TIMEOUT_SECONDS
        if not self.answer_at_once:
            wait = min(MAX_WAIT, self.config.poll_wait * self.rng.uniform(*JITTER))
            grace = SILENCE_TIMEOUT
        return f"/v1/endpoints?index={self.version}&wait={round(wait * 1000)}", wait + grace

    def apply(self, records: list[Any], update: EndpointList) -> None:
        """Applies an update of the service, received here or by another member of the fleet.

        Args:
            records: The endpoints in the service's form.
            update: The same, decoded.
        """
        for name, address in update.addresses.items():
            self.addresses.store(name, address)
        if update.is_snapshot:
            self.records.clear()
        self.records.update((record["host"], record) for record in records)
        if update.endpoints or update.is_snapshot or update.version != self.version:
            lines = [self.log_line(endpoint) for endpoint in update.endpoints]
            self.log(
                "list", version=update.version, whole=update.is_snapshot, rows=lines[:MAX_LOGGED_ENDPOINTS]
            )
        self.version = update.version
        kind = EndpointListKind.SNAPSHOT if update.is_snapshot else EndpointListKind.DELTA
        self.on_update(kind, update.endpoints)

    def log_line(self, endpoint: Endpoint) -> str:
        """An endpoint in the log: its name, state and age."""
        line = f"{endpoint.name} {endpoint.state.value}"
        if endpoint.started_at is None:
            return line
        return line + f", started {self.loop.now - endpoint.started_at:.1f} s ago"

    def disconnect(self) -> None:
        """Closes the connection, and gives up the poll on it."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
