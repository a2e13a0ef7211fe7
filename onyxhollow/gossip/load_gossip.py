"""Load gossip: each endpoint is owned by one member and a deputy; reports on it spread to all members.

A pure core: it is given the time, the live members and the messages received, draws from the generator it was
given, and leaves messages to send, endpoints to poll and estimates for the balancing decisions in lists that
its shell takes. Times are seconds on one clock; between members only ages travel.

Its parts, each in a file of its own: ownership (rendezvous hashing), connection counts (sent to the owners
and added up), the endpoint reporter (what an owner does), the evidence table (which reports count, and push
gossip), audits of owners, surge detection.
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

SURGES = "rushes"  # counter of /control/fleet


class LoadGossip:
    """Load gossip of one member."""

    def __init__(self, local: GossipMember, config: GossipConfig, rng: Random, now: float) -> None:
        self.local = local
        self.config = config
        self.rng = rng
        self.counters: Counter[str] = Counter()
        self.outbox: list[OutgoingMessage] = []
        self.polls: list[str] = []  # endpoints whose load report is wanted now
        self.failures = FailureLog()
        self.surge = SurgeDetector()
        self.next_due = now + rng.random() * config.push_interval
        refresh_at = now + rng.random() * config.count_refresh_interval
        audit_at = now + rng.random() * config.audit_interval
        sequence = itertools.count(1)  # of reports and counts together
        self.ownership = Ownership(local, config, rng, now)
        self.table = EvidenceTable(config, self.ownership, self.surge, self.counters)
        self.aggregator = CountAggregator(config, self.ownership, self.failures, self.counters)
        self.publisher = CountPublisher(config, self.ownership, self.failures, sequence, refresh_at)
        self.reporter = EndpointReporter(config, rng, self.ownership, self.table, self.aggregator, sequence)
        self.auditor = Auditor(config, rng, self.ownership, self.table, self.counters, audit_at)

    @property
    def evidence(self) -> dict[str, EndpointEvidence]:
        """The newest accepted report by endpoint."""
        return self.table.evidence

    # What the shell takes.

    def take_outbox(self) -> list[OutgoingMessage]:
        """Return the messages to send, and forget them."""
        taken = self.outbox
        self.outbox = []
        return taken

    def take_polls(self) -> list[str]:
        """Return the endpoints to poll, and forget them."""
        taken = self.polls
        self.polls = []
        return taken

    def take_estimates(self) -> list[EndpointEstimate]:
        """Return the estimates that are new, and forget them."""
        taken = self.table.estimates
        self.table.estimates = []
        return taken

    # Calls of the shell.

    def set_members(self, members: Iterable[GossipMember]) -> None:
        """Replace the live members, as often as they change; this member may be among them."""
        self.ownership.set_members(members)

    def set_endpoints(self, endpoints: Mapping[str, str]) -> None:
        """Replace the endpoints in service, with their zones."""
        if self.ownership.set_endpoints(endpoints):
            for endpoint in self.table.retain_listed():
                self.failures.forget(endpoint)

    def record_failure(self, endpoint: str, now: float) -> None:
        """Record that an attempt or a health check of this member has failed."""
        if endpoint in self.ownership.endpoints:
            self.failures.record(endpoint, now)

    def on_poll_result(self, endpoint: str, load: float | None, now: float) -> None:
        """Take what an endpoint has answered to this member's own poll; None: it has failed."""
        if load is None:
            self.record_failure(endpoint, now)
        self.reporter.on_poll_result(endpoint, load, now)
        self.auditor.on_poll_result(endpoint, load, now)

    def on_message(self, sender: int, message: ReportPage | ConnectionCounts, now: float) -> None:
        """Take a message of the member of an epoch."""
        if isinstance(message, ConnectionCounts):
            self.aggregator.on_counts(sender, message, now)
            return
        for report in message.reports:
            self.table.on_report(report, now)

    def load_estimate(self, endpoint: str, now: float) -> LoadEstimate | None:
        """Return the load if it is known well enough to do without a health check, else None."""
        return self.table.load_estimate(endpoint, now)

    def audit(self, endpoint: str, now: float) -> None:
        """Poll an endpoint to compare its owner's report, unless that was done just now."""
        self.polls += self.auditor.begin(endpoint, now)

    def tick(self, connections: Mapping[str, int], now: float) -> None:
        """Do what is due, given this member's open connections by endpoint, and set `next_due`."""
        self.next_due = now + self.config.push_interval
        if self.surge.update(connections, now):
            if self.surge.active:
                self.counters[SURGES] += 1
            self.table.estimate_all(now)
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
