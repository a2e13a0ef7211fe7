"""The owner's part: polls the endpoints owned here and puts reports on them together."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.connection_counts import ConnectionTotal, CountAggregator
from onyxhollow.gossip.evidence_table import MAX_REPORT_AGE, EvidenceTable
from onyxhollow.gossip.messages import LOAD_UNITS, MILLISECONDS, NO_LOAD, EndpointReport
from onyxhollow.gossip.ownership import MAX_LOAD, OwnedEndpoint, Ownership

CHANGED_SHARE = 0.15  # of the connections, ...
CHANGED_CONNECTIONS = 2.0  # ... and so many more: a change beyond calls for another load report
HOT_LOAD = 550  # thousandths of capacity from which an endpoint is polled with each report
SILENT_REPORTS = 3  # report intervals after which a deputy takes over from a silent owner
MIN_POLL_SHARE = 0.9  # of the report interval between two polls
JITTER = (0.9, 1.1)  # factors of intervals, so that members do not poll in step


class EndpointReporter:
    """Polls and reports for the endpoints that this member owns or is the deputy of."""

    def __init__(
        self,
        config: GossipConfig,
        rng: Random,
        ownership: Ownership,
        table: EvidenceTable,
        aggregator: CountAggregator,
        sequence: Iterator[int],
    ) -> None:
        self.config = config
        self.rng = rng
        self.ownership = ownership
        self.table = table
        self.aggregator = aggregator
        self.sequence = sequence

    def tick(self, connections: Mapping[str, int], now: float) -> list[str]:
        """Store the reports that are due; return the endpoints to poll."""
        polls = []
        for endpoint, owned in self.ownership.owned.items():
            if owned.is_deputy and not self._deputy_acts(endpoint, now):
                owned.poll_at = max(owned.poll_at, now + self.config.report_interval * self.rng.random())
                continue
            total = None
            if now >= owned.report_at:
                total = self.aggregator.total(endpoint, connections.get(endpoint, 0), now)
                self._poll_sooner_after_changes(owned, total)
            if self._polls_now(owned, now):
                polls.append(endpoint)
            if total is not None:
                self._report(endpoint, owned, total, now)
        return polls

    def on_poll_result(self, endpoint: str, load: float | None, now: float) -> None:
        """Take the answer of an endpoint to this member's own poll; None: it has failed."""
        owned = self.ownership.owned.get(endpoint)
        if owned is None:
            return
        if load is None:
            owned.load = NO_LOAD
        else:
            owned.load = min(MAX_LOAD, max(0, round(load * LOAD_UNITS)))
            owned.load_at = now
            owned.load_is_new = True
        if now >= owned.first_report_at and (not owned.is_deputy or load is None):
            owned.report_at = now
        owned.poll_at = now + self.config.poll_interval * self.rng.uniform(*JITTER)
        if load is None:  # again sooner: has it failed only this once?
            owned.poll_at = now + self.config.report_interval * self.rng.uniform(*JITTER)

    def _deputy_acts(self, endpoint: str, now: float) -> bool:
        """Whether the owner is silent, this deputy has taken over, or the endpoint reports no load."""
        known = self.table.evidence.get(endpoint)
        if known is None or known.report.owner == self.ownership.local.epoch or known.report.load < 0:
            return True
        return now - known.at > SILENT_REPORTS * self.config.report_interval

    def _poll_sooner_after_changes(self, owned: OwnedEndpoint, total: ConnectionTotal) -> None:
        change = abs(total.connections - owned.connections)
        changed = change > CHANGED_SHARE * owned.connections + CHANGED_CONNECTIONS
        if changed or owned.load >= HOT_LOAD:
            owned.poll_at = min(owned.poll_at, owned.polled_at + self.config.report_interval)

    def _polls_now(self, owned: OwnedEndpoint, now: float) -> bool:
        if now < owned.poll_at or now - owned.polled_at < self.config.report_interval * MIN_POLL_SHARE:
            return False
        owned.polled_at = now
        return True

    def _report(self, endpoint: str, owned: OwnedEndpoint, total: ConnectionTotal, now: float) -> None:
        owned.report_at = now + self.config.report_interval
        if owned.load_is_new:
            owned.connections = total.connections
            owned.load_is_new = False
        fresh = now - owned.load_at <= MAX_REPORT_AGE
        report = EndpointReport(
            endpoint,
            self.ownership.local.epoch,
            next(self.sequence),
            0,
            owned.extrapolated_load(total.connections) if fresh else NO_LOAD,
            round(MILLISECONDS * (now - owned.load_at)) if fresh else 0,
            total.connections,
            total.failing_members,
        )
        self.table.store(report, now, now)
