"""Stores the newest accepted report on each endpoint and selects the reports for push gossip.

Push gossip (Demers et al., 1987) sends the reports that were sent least often first, and of these the newest
first. The number of datagrams per second does not depend on the fleet's size. Reports are not trusted: a
report must come from one of the highest-ranked owners of the endpoint, and reports with values out of range
are dropped. While several owners report on an endpoint, the report of the highest-ranked one is stored. If
only the time of creation decided, a deputy whose reports are created at nearly the same times as the owner's
would not accept these and would go on reporting.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from msgspec.structs import replace

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.messages import (
    LOAD_UNITS,
    MAX_MESSAGE_BYTES,
    MAX_REPORT_BYTES,
    MILLISECONDS_PER_SECOND,
    EndpointReport,
    ReportPage,
)
from onyxhollow.gossip.ownership import MAX_LOAD_UNITS, Ownership
from onyxhollow.gossip.surge_detector import SurgeDetector

MAX_REPORT_AGE_SECONDS = 15.0  # older reports are dropped
MAX_TOTAL_CONNECTIONS = 10_000_000  # of all members at one endpoint; more is invalid
STALE_AFTER_REPORT_INTERVALS = 4  # an older report answers no health check
STALE_LOAD_AFTER_POLL_INTERVALS = 1.5  # an older load answers no health check
# A lower-ranked owner's report is stored only if it is newer by this time per rank. A deputy takes over after
# a longer time, so that its first report is stored.
PRECEDENCE_REPORT_INTERVALS = 2
QUARANTINE_SECONDS = 30.0  # an owner whose report fails two audits is ignored for that endpoint
MIN_FAILING_MEMBERS = 2  # failures of one member may be caused by its own link
SCORE_PER_FAILING_MEMBER = 0.5  # in the outlier score
MAX_SHARED_SCORE = 1.5  # below the ejection threshold, so that ejection requires own failures too
BASE_SENDS = 2  # per report; each doubling of the fleet adds one

# Counter names in /control/fleet.
REPORTS_OF_NON_OWNER = "rows of none that keeps the server"
REPORTS_INVALID = "rows absurd or old"

EndpointOwner = tuple[str, int]  # endpoint and the epoch of one of its owners


@dataclass(slots=True)
class EndpointEvidence:
    """A stored report. Times are seconds on this process's clock."""

    report: EndpointReport
    created_at: float  # time at which the owner created it
    load_reported_at: float  # time at which the endpoint reported its load
    sends: int = 0


@dataclass(frozen=True, slots=True)
class EndpointEstimate:
    """The members' combined data on an endpoint, for the balancing decisions. Ages are in seconds."""

    endpoint: str
    load: float | None  # as a share of capacity; None: no load report
    load_age: float
    connections: int  # of all members
    connections_age: float
    outlier_score: float  # derived from the number of members with failures


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """A load as a share of capacity, and the seconds since it was reported."""

    load: float
    age: float


class EvidenceTable:
    """Newest accepted report by endpoint."""

    def __init__(
        self, config: GossipConfig, ownership: Ownership, surge: SurgeDetector, counters: Counter[str]
    ) -> None:
        self.config = config
        self.ownership = ownership
        self.surge = surge
        self.counters = counters
        self.evidence: dict[str, EndpointEvidence] = {}
        self.quarantined_until: dict[EndpointOwner, float] = {}  # seconds
        self.estimates: list[EndpointEstimate] = []  # not yet returned by `LoadGossip.take_estimates`

    def on_report(self, report: EndpointReport, now: float) -> None:
        """Accept a report of another member if it is valid and takes precedence over the stored one."""
        owners = self.ownership.owners.get(report.endpoint)
        if owners is None or report.owner not in owners:
            self.counters[REPORTS_OF_NON_OWNER] += 1
            return
        if report.owner == self.ownership.local.epoch:
            return
        if not _is_valid(report):
            self.counters[REPORTS_INVALID] += 1
            return
        if self.quarantined_until.get((report.endpoint, report.owner), -math.inf) > now:
            return
        created_at = now - report.age / MILLISECONDS_PER_SECOND
        if self._has_precedence(report, created_at, now):
            self.store(report, created_at, now)

    def store(self, report: EndpointReport, created_at: float, now: float) -> None:
        """Store a report and append its estimate, except during a surge."""
        evidence = EndpointEvidence(
            report, created_at, created_at - report.load_age / MILLISECONDS_PER_SECOND
        )
        self.evidence[report.endpoint] = evidence
        if not self.surge.active:
            self._append_estimate(evidence, now)

    def append_all_estimates(self, now: float) -> None:
        """Append estimates of all reports, after a surge has started or ended."""
        for evidence in self.evidence.values():
            self._append_estimate(evidence, now)

    def load_estimate(self, endpoint: str, now: float) -> LoadEstimate | None:
        """Return the load if it is recent enough to replace a health check, else None."""
        evidence = self.evidence.get(endpoint)
        if self.surge.active or evidence is None or evidence.report.load < 0:
            return None
        if now - evidence.created_at > STALE_AFTER_REPORT_INTERVALS * self.config.report_interval:
            return None
        age = now - evidence.load_reported_at
        if age > STALE_LOAD_AFTER_POLL_INTERVALS * self.config.poll_interval:
            return None
        return LoadEstimate(evidence.report.load / LOAD_UNITS, age)

    def quarantine(self, owner: EndpointOwner, now: float) -> None:
        """Ignore an owner's reports on an endpoint for a while, and remove the stored one."""
        self.quarantined_until[owner] = now + QUARANTINE_SECONDS
        del self.evidence[owner[0]]

    def expire_quarantine(self, now: float) -> None:
        """Remove expired quarantines."""
        self.quarantined_until = {
            owner: until for owner, until in self.quarantined_until.items() if until > now
        }

    def remove_unlisted(self) -> list[str]:
        """Remove endpoints that are no longer in the endpoint list; return their names."""
        removed = self.evidence.keys() - self.ownership.endpoints.keys()
        for endpoint in removed:
            del self.evidence[endpoint]
        return list(removed)

    def next_page(self, now: float) -> ReportPage | None:
        """Return the reports of the next push, least often sent and newest first; None if there are none."""
        if not self.ownership.members or not self.evidence:
            return None
        max_sends = BASE_SENDS + math.ceil(math.log2(len(self.ownership.members) + 1))
        sendable = [
            evidence
            for evidence in self.evidence.values()
            if evidence.sends < max_sends and now - evidence.created_at < MAX_REPORT_AGE_SECONDS
        ]
        if not sendable:
            return None
        sendable.sort(key=lambda evidence: (evidence.sends, -evidence.created_at))
        reports = []
        space = MAX_MESSAGE_BYTES
        for evidence in sendable:
            space -= len(evidence.report.endpoint.encode()) + MAX_REPORT_BYTES
            if space < 0:
                break
            evidence.sends += self.config.fanout
            age = round(MILLISECONDS_PER_SECOND * (now - evidence.created_at))
            reports.append(replace(evidence.report, age=age))
        return ReportPage(reports)

    def _has_precedence(self, report: EndpointReport, created_at: float, now: float) -> bool:
        evidence = self.evidence.get(report.endpoint)
        if evidence is None:
            return True
        if evidence.report.owner != report.owner:
            return created_at > evidence.created_at + self._min_lead(report, evidence.report)
        # Any sequence number is accepted after this time, so a forged one cannot block reports for longer.
        is_recent = now - evidence.created_at < STALE_AFTER_REPORT_INTERVALS * self.config.report_interval
        return report.sequence > evidence.report.sequence or not is_recent

    def _min_lead(self, report: EndpointReport, stored: EndpointReport) -> float:
        """Return by how many seconds a report must be newer than the stored one of another owner.

        The lead is negative for a report of a higher-ranked owner. The rank counts only with a current load:
        an owner whose polls fail does not displace the load that its deputy has polled.
        """
        owners = self.ownership.owners[report.endpoint]
        if stored.owner not in owners:
            return self.config.push_interval
        rank_difference = owners.index(report.owner) - owners.index(stored.owner)
        if not self._has_current_load(report if rank_difference < 0 else stored):
            return self.config.push_interval
        return rank_difference * PRECEDENCE_REPORT_INTERVALS * self.config.report_interval

    def _has_current_load(self, report: EndpointReport) -> bool:
        max_load_age = STALE_LOAD_AFTER_POLL_INTERVALS * self.config.poll_interval
        return report.load >= 0 and report.load_age <= MILLISECONDS_PER_SECOND * max_load_age

    def _append_estimate(self, evidence: EndpointEvidence, now: float) -> None:
        """Append an estimate; during a surge with ages so high that the decisions ignore it."""
        report = evidence.report
        extra_age = MAX_REPORT_AGE_SECONDS if self.surge.active else 0.0
        score = 0.0
        if report.failing_members >= MIN_FAILING_MEMBERS:
            score = min(MAX_SHARED_SCORE, SCORE_PER_FAILING_MEMBER * report.failing_members)
        self.estimates.append(
            EndpointEstimate(
                report.endpoint,
                report.load / LOAD_UNITS if report.load >= 0 else None,
                now - evidence.load_reported_at + extra_age,
                report.connections,
                now - evidence.created_at + extra_age,
                score,
            )
        )


def _is_valid(report: EndpointReport) -> bool:
    return (
        0 <= report.age <= MAX_REPORT_AGE_SECONDS * MILLISECONDS_PER_SECOND
        and -1 <= report.load <= MAX_LOAD_UNITS
        and report.load_age >= 0
        and 0 <= report.connections <= MAX_TOTAL_CONNECTIONS
        and report.failing_members >= 0
    )
