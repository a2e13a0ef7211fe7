"""Connection counts: each member sends its own counts to the owners of the endpoints, which sum them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.failure_log import FailureLog
from onyxhollow.gossip.messages import (
    MAX_COUNT_BYTES,
    MAX_MESSAGE_BYTES,
    ConnectionCounts,
    EndpointCount,
    ReportPage,
)
from onyxhollow.gossip.ownership import MAX_ENDPOINTS, OWNERS_PER_ENDPOINT, Ownership

MAX_MEMBER_COUNT = 100_000  # connections or failures of one member at one endpoint; more is invalid
EXPIRY_REFRESH_INTERVALS = 3  # a count not refreshed for this long is removed
# A member's count is limited to the mean of the other members' counts times the factor, plus the margin.
PLAUSIBLE_FACTOR = 8.0
PLAUSIBLE_MARGIN = 8.0
MIN_COUNTS_TO_COMPARE = 3  # fewer counts do not show what is plausible, so none is limited

# Counter names in /control/fleet.
COUNTS_OF_NON_MEMBER = "counts of one who is not there"
COUNTS_INVALID = "counts absurd, or of too many servers"
COUNTS_CUT = "counts cut to what is likely"


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and the epoch of the member to send it to."""

    receiver: int
    message: ReportPage | ConnectionCounts


@dataclass(frozen=True, slots=True)
class ReceivedCount:
    """Latest counts received from one member for an endpoint."""

    connections: int
    failures: int
    sequence: int
    received_at: float  # seconds


@dataclass(frozen=True, slots=True)
class ConnectionTotal:
    """Open connections of all members at an endpoint, and the number of members with recent failures."""

    connections: int = 0
    failing_members: int = 0


@dataclass(frozen=True, slots=True)
class QueuedCount:
    """Counts that this process last queued for an endpoint, and the owners it queued them for."""

    connections: int
    failures: int
    owners: tuple[int, ...]


class CountAggregator:
    """Sums the members' counts for the endpoints owned by this process."""

    def __init__(
        self, config: GossipConfig, ownership: Ownership, failure_log: FailureLog, counters: Counter[str]
    ) -> None:
        self.config = config
        self.ownership = ownership
        self.failure_log = failure_log
        self.counters = counters
        self.received: dict[str, dict[int, ReceivedCount]] = {}  # by endpoint and epoch

    def on_counts(self, epoch: int, message: ConnectionCounts, now: float) -> None:
        """Store a member's counts, also for endpoints not owned yet: others may have ranked earlier."""
        if epoch not in self.ownership.members:
            self.counters[COUNTS_OF_NON_MEMBER] += 1
            return
        for count in message.counts:
            valid = 0 <= count.connections <= MAX_MEMBER_COUNT and 0 <= count.failures <= MAX_MEMBER_COUNT
            is_excess = count.endpoint not in self.received and len(self.received) >= MAX_ENDPOINTS
            if not valid or is_excess:
                self.counters[COUNTS_INVALID] += 1
                continue
            by_member = self.received.setdefault(count.endpoint, {})
            if epoch not in by_member or by_member[epoch].sequence < message.sequence:
                by_member[epoch] = ReceivedCount(count.connections, count.failures, message.sequence, now)

    def total(self, endpoint: str, own_connections: int, now: float) -> ConnectionTotal:
        """Return the sums over all members, with each member's connections limited to a plausible number."""
        by_member = self.received.get(endpoint, {})
        self._expire(by_member, now)
        counts = [received.connections for received in by_member.values()]
        total = own_connections + sum(self._limit_to_plausible(count, counts) for count in counts)
        failing_members = sum(received.failures > 0 for received in by_member.values())
        return ConnectionTotal(total, failing_members + bool(self.failure_log.count(endpoint, now)))

    def retain(self, endpoints: Container[str]) -> None:
        """Remove the counts for endpoints not in `endpoints`."""
        self.received = {name: counts for name, counts in self.received.items() if name in endpoints}

    def _expire(self, by_member: dict[int, ReceivedCount], now: float) -> None:
        expired_before = now - EXPIRY_REFRESH_INTERVALS * self.config.count_refresh_interval
        for epoch, count in list(by_member.items()):
            if count.received_at < expired_before or epoch not in self.ownership.members:
                del by_member[epoch]

    def _limit_to_plausible(self, count: int, counts: list[int]) -> int:
        if len(counts) < MIN_COUNTS_TO_COMPARE:
            return count
        mean_of_others = (sum(counts) - count) / max(1, len(counts) - 1)
        if count <= PLAUSIBLE_FACTOR * mean_of_others + PLAUSIBLE_MARGIN:
            return count
        self.counters[COUNTS_CUT] += 1
        return round(PLAUSIBLE_FACTOR * mean_of_others + PLAUSIBLE_MARGIN)


class CountPublisher:
    """Sends this process's counts to the owners after changes and at regular intervals.

    Each owner has a queue of endpoints, from which each tick takes as many as fit one message.
    """

    def __init__(
        self,
        config: GossipConfig,
        ownership: Ownership,
        failure_log: FailureLog,
        sequence: Iterator[int],
        refresh_at: float,
    ) -> None:
        self.config = config
        self.ownership = ownership
        self.failure_log = failure_log
        self.sequence = sequence
        self.refresh_at = refresh_at
        self.last_queued: dict[str, QueuedCount] = {}
        self.queues: dict[int, dict[str, None]] = {}  # endpoints to send by owner, the next one first

    def messages(self, connections: Mapping[str, int], now: float) -> list[OutgoingMessage]:
        """Return the messages to send, given this process's open connections by endpoint."""
        self._queue_endpoints(connections, now)
        messages = []
        for owner in list(self.queues):
            if page := self._take_page(owner, connections, now):
                messages.append(OutgoingMessage(owner, ConnectionCounts(next(self.sequence), page)))
        return messages

    def _queue_endpoints(self, connections: Mapping[str, int], now: float) -> None:
        refresh = now >= self.refresh_at
        if refresh:
            self.refresh_at = now + self.config.count_refresh_interval
        for endpoint in {*connections, *self.last_queued, *self.failure_log.failure_times}:
            owners = self._owners(endpoint)
            count = QueuedCount(connections.get(endpoint, 0), self.failure_log.count(endpoint, now), owners)
            if not count.failures:
                self.failure_log.clear(endpoint)
            if count == self.last_queued.get(endpoint) and not refresh:
                continue
            self._record_queued(endpoint, count)
            for owner in owners:
                if owner != self.ownership.local.epoch:
                    self.queues.setdefault(owner, {})[endpoint] = None  # a queued one keeps its position

    def _record_queued(self, endpoint: str, count: QueuedCount) -> None:
        if count.connections or count.failures:
            self.last_queued[endpoint] = count
        else:
            self.last_queued.pop(endpoint, None)

    def _take_page(self, owner: int, connections: Mapping[str, int], now: float) -> list[EndpointCount]:
        """Return the current counts of the next endpoints in a queue that fit one message."""
        queue = self.queues.pop(owner)
        space = MAX_MESSAGE_BYTES
        page: list[EndpointCount] = []
        for endpoint in list(queue):
            size = len(endpoint.encode()) + MAX_COUNT_BYTES
            if size > space and page:
                self.queues[owner] = queue
                break
            del queue[endpoint]
            # A name that does not fit an empty message cannot be sent at all.
            if size <= space and owner in self._owners(endpoint):
                space -= size
                failures = self.failure_log.count(endpoint, now)
                page.append(EndpointCount(endpoint, connections.get(endpoint, 0), failures))
        return page

    def _owners(self, endpoint: str) -> tuple[int, ...]:
        """Return the owner and the deputy."""
        return self.ownership.owners.get(endpoint, ())[:OWNERS_PER_ENDPOINT]
