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
class SentCount:
    """Counts that this process last sent for an endpoint, and the owners it sent them to."""

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
            if not valid or len(self.received) >= MAX_ENDPOINTS:
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
    """Sends this process's counts to the owners after changes and at regular intervals."""

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
        self.last_sent: dict[str, SentCount] = {}

    def messages(self, connections: Mapping[str, int], now: float) -> list[OutgoingMessage]:
        """Return the messages to send, given this process's open connections by endpoint."""
        refresh = now >= self.refresh_at
        if refresh:
            self.refresh_at = now + self.config.count_refresh_interval
        by_owner: dict[int, list[EndpointCount]] = {}
        for endpoint in {*connections, *self.last_sent, *self.failure_log.failure_times}:
            owners = self.ownership.owners.get(endpoint, ())[:OWNERS_PER_ENDPOINT]
            count = SentCount(connections.get(endpoint, 0), self.failure_log.count(endpoint, now), owners)
            if not count.failures:
                self.failure_log.clear(endpoint)
            if count == self.last_sent.get(endpoint) and not refresh:
                continue
            self._record_sent(endpoint, count)
            for owner in owners:
                if owner != self.ownership.local.epoch:
                    row = EndpointCount(endpoint, count.connections, count.failures)
                    by_owner.setdefault(owner, []).append(row)
        return [
            OutgoingMessage(owner, ConnectionCounts(next(self.sequence), _first_page(rows)))
            for owner, rows in by_owner.items()
        ]

    def _record_sent(self, endpoint: str, count: SentCount) -> None:
        if count.connections or count.failures:
            self.last_sent[endpoint] = count
        else:
            self.last_sent.pop(endpoint, None)


def _first_page(rows: list[EndpointCount]) -> list[EndpointCount]:
    """Return the first rows that fit one message; the others wait for a later refresh."""
    space = MAX_MESSAGE_BYTES
    page = []
    for row in rows:
        space -= len(row.endpoint.encode()) + MAX_COUNT_BYTES
        if space < 0:
            break
        page.append(row)
    return page
