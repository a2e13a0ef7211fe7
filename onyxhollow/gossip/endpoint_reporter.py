"""Polls the endpoints owned by this process and creates the reports on them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.connection_counts import ConnectionTotal, CountAggregator
from onyxhollow.gossip.evidence_table import MAX_REPORT_AGE_SECONDS, EvidenceTable
from onyxhollow.gossip.messages import LOAD_UNITS, MILLISECONDS_PER_SECOND, NO_LOAD, EndpointReport
from onyxhollow.gossip.ownership import MAX_LOAD_UNITS, OwnedEndpoint, Ownership

# A change of the connections by more than this share plus this number triggers an earlier poll.
REPOLL_CHANGE_SHARE = 0.15
REPOLL_CHANGE_CONNECTIONS = 2.0
HOT_LOAD_UNITS = 550  # an endpoint with this load or more is polled for each report
TAKEOVER_REPORT_INTERVALS = 3  # time without reports after which a deputy acts for the owner
MIN_POLL_REPORT_INTERVALS = 0.9  # between two polls
JITTER_FACTORS = (0.9, 1.1)  # of intervals, so that members do not synchronize their polls


class EndpointReporter:
    """Polls and reports on endpoints of which this process is the owner or deputy."""

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
            if owned.is_deputy and not self._is_deputy_active(endpoint, now):
                owned.poll_at = max(owned.poll_at, now + self.config.report_interval * self.rng.random())
                continue
            total = None
            if now >= owned.report_at:
                total = self.aggregator.total(endpoint, connections.get(endpoint, 0), now)
                self._poll_sooner_after_changes(owned, total)
            if self._start_poll_if_due(owned, now):
                polls.append(endpoint)
            if total is not None:
                self._store_report(endpoint, owned, total, now)
        return polls

    def on_poll_result(self, endpoint: str, load: float | None, now: float) -> None:
        """Record the load from a poll by this process; None if the poll failed."""
        owned = self.ownership.owned.get(endpoint)
        if owned is None:
            return
        if load is None:
            owned.load = NO_LOAD
        else:
            owned.load = min(MAX_LOAD_UNITS, max(0, round(load * LOAD_UNITS)))
            owned.load_received_at = now
            owned.has_new_load = True
        if now >= owned.first_report_at and (not owned.is_deputy or load is None):
            owned.report_at = now
        owned.poll_at = now + self.config.poll_interval * self.rng.uniform(*JITTER_FACTORS)
        if load is None:  # poll again sooner, since a single failure may be transient
            owned.poll_at = now + self.config.report_interval * self.rng.uniform(*JITTER_FACTORS)

    def _is_deputy_active(self, endpoint: str, now: float) -> bool:
        """Return whether the owner is silent, this deputy has taken over, or there is no load."""
        evidence = self.table.evidence.get(endpoint)
        if (
            evidence is None
            or evidence.report.owner == self.ownership.local.epoch
            or evidence.report.load < 0
        ):
            return True
        return now - evidence.created_at > TAKEOVER_REPORT_INTERVALS * self.config.report_interval

    def _poll_sooner_after_changes(self, owned: OwnedEndpoint, total: ConnectionTotal) -> None:
        change = abs(total.connections - owned.connections)
        has_changed = change > REPOLL_CHANGE_SHARE * owned.connections + REPOLL_CHANGE_CONNECTIONS
        if has_changed or owned.load >= HOT_LOAD_UNITS:
            owned.poll_at = min(owned.poll_at, owned.polled_at + self.config.report_interval)

    def _start_poll_if_due(self, owned: OwnedEndpoint, now: float) -> bool:
        if (
            now < owned.poll_at
            or now - owned.polled_at < self.config.report_interval * MIN_POLL_REPORT_INTERVALS
        ):
            return False
        owned.polled_at = now
        return True

    def _store_report(self, endpoint: str, owned: OwnedEndpoint, total: ConnectionTotal, now: float) -> None:
        owned.report_at = now + self.config.report_interval
        if owned.has_new_load:
            owned.connections = total.connections
            owned.has_new_load = False
        is_load_recent = now - owned.load_received_at <= MAX_REPORT_AGE_SECONDS
        report = EndpointReport(
            endpoint,
            self.ownership.local.epoch,
            next(self.sequence),
            0,
            owned.extrapolated_load(total.connections) if is_load_recent else NO_LOAD,
            round(MILLISECONDS_PER_SECOND * (now - owned.load_received_at)) if is_load_recent else 0,
            total.connections,
            total.failing_members,
        )
        self.table.store(report, now, now)
