"""Connection counts: each member sends its own to the owners of the endpoints, who add them up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.failure_log import FailureLog
from onyxhollow.gossip.messages import (
    COUNT_BYTES,
    MAX_MESSAGE_BYTES,
    ConnectionCounts,
    EndpointCount,
    ReportPage,
)
from onyxhollow.gossip.ownership import MAX_ENDPOINTS, OWNERS, Ownership

MAX_MEMBER_COUNT = 100_000  # connections or failures of one member at one endpoint; more is no count
EXPIRY_REFRESHES = 3  # refresh intervals after which a member's count is forgotten
PLAUSIBLE_FACTOR = 8.0  # times the other members' mean, ...
PLAUSIBLE_MARGIN = 8.0  # ... and so many more: a member's count beyond is cut to it
MIN_COUNTS_TO_COMPARE = 3  # members: fewer do not show what is plausible

# Counters, by their names in /control/fleet.
COUNTS_OF_NON_MEMBER = "counts of one who is not there"
COUNTS_INVALID = "counts absurd, or of too many servers"
COUNTS_CUT = "counts cut to what is likely"


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to the member of an epoch."""

    receiver: int
    message: ReportPage | ConnectionCounts


@dataclass(frozen=True, slots=True)
class ReceivedCount:
    """What one member has sent of an endpoint."""

    connections: int
    failures: int
    sequence: int
    received_at: float  # seconds


@dataclass(frozen=True, slots=True)
class ConnectionTotal:
    """What all members hold at an endpoint."""

    connections: int = 0
    failing_members: int = 0


@dataclass(frozen=True, slots=True)
class SentCount:
    """What this member has sent of an endpoint, and to which owners."""

    connections: int
    failures: int
    owners: tuple[int, ...]


class CountAggregator:
    """Adds up the members' counts of the endpoints owned here."""

    def __init__(
        self, config: GossipConfig, ownership: Ownership, failures: FailureLog, counters: Counter[str]
    ) -> None:
        self.config = config
        self.ownership = ownership
        self.failures = failures
        self.counters = counters
        self.received: dict[str, dict[int, ReceivedCount]] = {}  # by endpoint and epoch

    def on_counts(self, epoch: int, message: ConnectionCounts, now: float) -> None:
        """Take the counts of a member, also of endpoints not owned yet: rankings differ in time."""
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

    def total(self, endpoint: str, own: int, now: float) -> ConnectionTotal:
        """Return the sum of all members' connections, each cut to what the others make plausible."""
        by_member = self.received.get(endpoint, {})
        self._expire(by_member, now)
        sizes = [count.connections for count in by_member.values()]
        total = own + sum(self._plausible(size, sizes) for size in sizes)
        failing = sum(count.failures > 0 for count in by_member.values())
        return ConnectionTotal(total, failing + bool(self.failures.count(endpoint, now)))

    def retain(self, endpoints: Container[str]) -> None:
        """Forget the counts of endpoints that are not owned here."""
        self.received = {name: counts for name, counts in self.received.items() if name in endpoints}

    def _expire(self, by_member: dict[int, ReceivedCount], now: float) -> None:
        oldest = now - EXPIRY_REFRESHES * self.config.count_refresh_interval
        for epoch, count in list(by_member.items()):
            if count.received_at < oldest or epoch not in self.ownership.members:
                del by_member[epoch]

    def _plausible(self, size: int, sizes: list[int]) -> int:
        if len(sizes) < MIN_COUNTS_TO_COMPARE:
            return size
        others = (sum(sizes) - size) / max(1, len(sizes) - 1)
        if size <= PLAUSIBLE_FACTOR * others + PLAUSIBLE_MARGIN:
            return size
        self.counters[COUNTS_CUT] += 1
        return round(PLAUSIBLE_FACTOR * others + PLAUSIBLE_MARGIN)


class CountPublisher:
    """Sends this member's counts to the owners: when they change, and again now and then."""

    def __init__(
        self,
        config: GossipConfig,
        ownership: Ownership,
        failures: FailureLog,
        sequence: Iterator[int],
        refresh_at: float,
    ) -> None:
        self.config = config
        self.ownership = ownership
        self.failures = failures
        self.sequence = sequence
        self.refresh_at = refresh_at
        self.sent: dict[str, SentCount] = {}

    def messages(self, connections: Mapping[str, int], now: float) -> list[OutgoingMessage]:
        """Return what is to be sent, given this member's open connections by endpoint."""
        refresh = now >= self.refresh_at
        if refresh:
            self.refresh_at = now + self.config.count_refresh_interval
        by_owner: dict[int, list[EndpointCount]] = {}
        for endpoint in {*connections, *self.sent, *self.failures.failures}:
            owners = self.ownership.owners.get(endpoint, ())[:OWNERS]
            count = SentCount(connections.get(endpoint, 0), self.failures.count(endpoint, now), owners)
            if not count.failures:
                self.failures.forget(endpoint)
            if count == self.sent.get(endpoint) and not refresh:
                continue
            self._note_sent(endpoint, count)
            for owner in owners:
                if owner != self.ownership.local.epoch:
                    row = EndpointCount(endpoint, count.connections, count.failures)
                    by_owner.setdefault(owner, []).append(row)
        return [
            OutgoingMessage(owner, ConnectionCounts(next(self.sequence), _first_page(rows)))
            for owner, rows in by_owner.items()
        ]

    def _note_sent(self, endpoint: str, count: SentCount) -> None:
        if count.connections or count.failures:
            self.sent[endpoint] = count
        else:
            self.sent.pop(endpoint, None)


def _first_page(rows: list[EndpointCount]) -> list[EndpointCount]:
    """Return what fits one message: an owner of more endpoints receives the rest with the next refresh."""
    space = MAX_MESSAGE_BYTES
    page = []
    for row in rows:
        space -= len(row.endpoint.encode()) + COUNT_BYTES
        if space < 0:
            break
        page.append(row)
    return page
