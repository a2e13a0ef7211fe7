"""Load gossip: each endpoint has an owner and a deputy among the members, and all members get their reports.

This module does no I/O. The caller passes in the current time, the live members, received messages and a
random generator. It collects messages to send, endpoints to poll and estimates for the balancing decisions
with the `take_*` methods. Times are seconds on one clock; messages contain ages only.

The parts are in separate modules: ownership (rendezvous hashing), connection counts (sent to the owners, who
sum them), endpoint reporter (the owner's polls and reports), evidence table (accepted reports and push
gossip), auditor (checks of the owners) and surge detector.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random

from onyxhollow.gossip.auditor import Auditor
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.connection_counts import CountAggregator, CountPublisher, OutgoingMessage
from onyxhollow.gossip.endpoint_reporter import EndpointReporter
from onyxhollow.gossip.evidence_table import EndpointEstimate, EndpointEvidence, EvidenceTable, LoadEstimate
from onyxhollow.gossip.failure_log import FailureLog
from onyxhollow.gossip.messages import ConnectionCounts, ReportPage
from onyxhollow.gossip.ownership import GossipMember, Ownership
from onyxhollow.gossip.surge_detector import SurgeDetector

SURGES = "rushes"  # counter name in /control/fleet


class LoadGossip:
    """Load gossip of this process."""

    def __init__(self, local: GossipMember, config: GossipConfig, rng: Random, now: float) -> None:
        self.local = local
        self.config = config
        self.rng = rng
        self.counters: Counter[str] = Counter()
        self.outbox: list[OutgoingMessage] = []
        self.polls: list[str] = []  # endpoints to poll
        self.failure_log = FailureLog()
        self.surge = SurgeDetector()
        self.next_due = now + rng.random() * config.push_interval
        refresh_at = now + rng.random() * config.count_refresh_interval
        next_audit_at = now + rng.random() * config.audit_interval
        sequence = itertools.count(1)  # shared by reports and counts
        self.ownership = Ownership(local, config, rng, now)
        self.table = EvidenceTable(config, self.ownership, self.surge, self.counters)
        self.aggregator = CountAggregator(config, self.ownership, self.failure_log, self.counters)
        self.publisher = CountPublisher(config, self.ownership, self.failure_log, sequence, refresh_at)
        self.reporter = EndpointReporter(config, rng, self.ownership, self.table, self.aggregator, sequence)
        self.auditor = Auditor(config, rng, self.ownership, self.table, self.counters, next_audit_at)

    @property
    def evidence(self) -> dict[str, EndpointEvidence]:
        """Newest accepted report by endpoint."""
        return self.table.evidence

    # Results for the caller.

    def take_outbox(self) -> list[OutgoingMessage]:
        """Return and clear the messages to send."""
        taken = self.outbox
        self.outbox = []
        return taken

    def take_polls(self) -> list[str]:
        """Return and clear the endpoints to poll."""
        taken = self.polls
        self.polls = []
        return taken

    def take_estimates(self) -> list[EndpointEstimate]:
        """Return and clear the new estimates."""
        taken = self.table.estimates
        self.table.estimates = []
        return taken

    # Input from the caller.

    def set_members(self, members: Iterable[GossipMember]) -> None:
        """Replace the live members, which may include this process."""
        self.ownership.set_members(members)

    def set_endpoints(self, endpoints: Mapping[str, str]) -> None:
        """Replace the endpoints in service, given as zones by endpoint name."""
        if self.ownership.set_endpoints(endpoints):
            for endpoint in self.table.remove_unlisted():
                self.failure_log.clear(endpoint)

    def record_failure(self, endpoint: str, now: float) -> None:
        """Record a failed attempt or health check of this process."""
        if endpoint in self.ownership.endpoints:
            self.failure_log.record(endpoint, now)

    def on_poll_result(self, endpoint: str, load: float | None, now: float) -> None:
        """Process the load from a poll by this process; None if the poll failed."""
        if load is None:
            self.record_failure(endpoint, now)
        self.reporter.on_poll_result(endpoint, load, now)
        self.auditor.on_poll_result(endpoint, load, now)

    def on_message(self, sender: int, message: ReportPage | ConnectionCounts, now: float) -> None:
        """Process a message from the member with the epoch `sender`."""
        if isinstance(message, ConnectionCounts):
            self.aggregator.on_counts(sender, message, now)
            return
        for report in message.reports:
            self.table.on_report(report, now)

    def load_estimate(self, endpoint: str, now: float) -> LoadEstimate | None:
        """Return the load if it is recent enough to replace a health check, else None."""
        return self.table.load_estimate(endpoint, now)

    def audit(self, endpoint: str, now: float) -> None:
        """Poll an endpoint to check its owner's report, unless an audit has just started."""
        self.polls += self.auditor.start_audit(endpoint, now)

    def tick(self, connections: Mapping[str, int], now: float) -> None:
        """Run all actions that are due, given the open connections by endpoint, and set `next_due`."""
        self.next_due = now + self.config.push_interval
        if self.surge.update(connections, now):
            if self.surge.active:
                self.counters[SURGES] += 1
            self.table.append_all_estimates(now)
        if self.ownership.rank_if_due(now):
            self.aggregator.retain(self.ownership.owned)
        self.polls += self.reporter.tick(connections, now)
        self.outbox += self.publisher.messages(connections, now)
        self._push(now)
        self.polls += self.auditor.tick(now)

    def _push(self, now: float) -> None:
        page = self.table.next_page(now)
        if page is None:
            return
        epochs = list(self.ownership.members)
        for epoch in self.rng.sample(epochs, min(self.config.fanout, len(epochs))):
            self.outbox.append(OutgoingMessage(epoch, page))
