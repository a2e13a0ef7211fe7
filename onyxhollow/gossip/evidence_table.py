"""The newest report on each endpoint, which reports are accepted, and how they spread.

Reports spread by push gossip (Demers et al., 1987): the least often sent and newest first, a bounded number
of datagrams a second whatever the fleet's size. What is received is evidence, not truth: a report counts if
its sender is one of the first few owners of the endpoint, and values out of range are dropped.
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
    MILLISECONDS,
    REPORT_BYTES,
    EndpointReport,
    ReportPage,
)
from onyxhollow.gossip.ownership import MAX_LOAD, Ownership
from onyxhollow.gossip.surge_detector import SurgeDetector

MAX_REPORT_AGE = 15.0  # seconds past which a report is dropped
MAX_CONNECTIONS = 10_000_000  # of all members at one endpoint; more is no count
STALE_REPORTS = 4  # report intervals after which a report answers no health check
STALE_LOAD_POLLS = 1.5  # poll intervals after which a load answers no health check
QUARANTINE_SPAN = 30.0  # seconds for which an owner found far off is ignored, for that endpoint
MIN_FAILING_MEMBERS = 2  # one member, or one link, is no evidence against an endpoint
SCORE_PER_FAILING_MEMBER = 0.5  # outlier score
MAX_SHARED_SCORE = 1.5  # outlier score: below what ejects an endpoint, which takes own failures too
MIN_SENDS = 2  # of each report, and one more with each doubling of the fleet

# Counters, by their names in /control/fleet.
REPORTS_OF_NON_OWNER = "rows of none that keeps the server"
REPORTS_INVALID = "rows absurd or old"

OwnedBy = tuple[str, int]  # an endpoint and the epoch of one of its owners


@dataclass(slots=True)
class EndpointEvidence:
    """A report as it is stored here. Times are seconds on this process's clock."""

    report: EndpointReport
    at: float  # when it was put together
    load_at: float  # when the endpoint reported its load
    sends: int = 0


@dataclass(frozen=True, slots=True)
class EndpointEstimate:
    """What the members know together of an endpoint, for the balancing decisions. Ages are seconds."""

    endpoint: str
    load: float | None  # over capacity; None: no load report is known
    load_age: float
    connections: int  # of all members
    connections_age: float
    outlier_score: float  # that the failures of the members are worth


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """A load over capacity, and the seconds since it was reported."""

    load: float
    age: float


class EvidenceTable:
    """The newest accepted report by endpoint."""

    def __init__(
        self, config: GossipConfig, ownership: Ownership, surge: SurgeDetector, counters: Counter[str]
    ) -> None:
        self.config = config
        self.ownership = ownership
        self.surge = surge
        self.counters = counters
        self.evidence: dict[str, EndpointEvidence] = {}
        self.quarantined: dict[OwnedBy, float] = {}  # until when, seconds
        self.estimates: list[EndpointEstimate] = []  # until the shell takes them

    def on_report(self, report: EndpointReport, now: float) -> None:
        """Accept a report of another member if it is valid and newer than what is known."""
        owners = self.ownership.owners.get(report.endpoint)
        if owners is None or report.owner not in owners:
            self.counters[REPORTS_OF_NON_OWNER] += 1
            return
        if report.owner == self.ownership.local.epoch:
            return
        if not _is_valid(report):
            self.counters[REPORTS_INVALID] += 1
            return
        if self.quarantined.get((report.endpoint, report.owner), -math.inf) > now:
            return
        at = now - report.age / MILLISECONDS
        if self._is_newer(report, at, now):
            self.store(report, at, now)

    def store(self, report: EndpointReport, at: float, now: float) -> None:
        """Store a report that was put together at a time, and pass it on to the decisions."""
        known = EndpointEvidence(report, at, at - report.load_age / MILLISECONDS)
        self.evidence[report.endpoint] = known
        if not self.surge.active:
            self._estimate(known, now)

    def estimate_all(self, now: float) -> None:
        """Pass all reports on to the decisions again: a surge has begun or ended."""
        for known in self.evidence.values():
            self._estimate(known, now)

    def load_estimate(self, endpoint: str, now: float) -> LoadEstimate | None:
        """Return the load if it is known well enough to do without a health check, else None."""
        known = self.evidence.get(endpoint)
        if self.surge.active or known is None or known.report.load < 0:
            return None
        if now - known.at > STALE_REPORTS * self.config.report_interval:
            return None
        age = now - known.load_at
        if age > STALE_LOAD_POLLS * self.config.poll_interval:
            return None
        return LoadEstimate(known.report.load / LOAD_UNITS, age)

    def quarantine(self, owner: OwnedBy, now: float) -> None:
        """Ignore an owner's reports on an endpoint for a while, the stored one included."""
        self.quarantined[owner] = now + QUARANTINE_SPAN
        del self.evidence[owner[0]]

    def expire_quarantine(self, now: float) -> None:
        """End quarantines that are over."""
        self.quarantined = {owner: until for owner, until in self.quarantined.items() if until > now}

    def retain_listed(self) -> list[str]:
        """Forget endpoints that have left the list; return their names."""
        gone = self.evidence.keys() - self.ownership.endpoints.keys()
        for endpoint in gone:
            del self.evidence[endpoint]
        return list(gone)

    def next_page(self, now: float) -> ReportPage | None:
        """Return the reports of the next push, the least often sent and newest first; None without any."""
        if not self.ownership.members or not self.evidence:
            return None
        max_sends = MIN_SENDS + math.ceil(math.log2(len(self.ownership.members) + 1))
        fresh = [
            known
            for known in self.evidence.values()
            if known.sends < max_sends and now - known.at < MAX_REPORT_AGE
        ]
        if not fresh:
            return None
        fresh.sort(key=lambda known: (known.sends, -known.at))
        reports = []
        space = MAX_MESSAGE_BYTES
        for known in fresh:
            space -= len(known.report.endpoint.encode()) + REPORT_BYTES
            if space < 0:
                break
            known.sends += self.config.fanout
            age = round(MILLISECONDS * (now - known.at))
            reports.append(replace(known.report, age=age))
        return ReportPage(reports)

    def _is_newer(self, report: EndpointReport, at: float, now: float) -> bool:
        known = self.evidence.get(report.endpoint)
        if known is None:
            return True
        if known.report.owner != report.owner:
            return at > known.at + self.config.push_interval
        # Past this age any number counts: no forged number blocks genuine reports for longer.
        recent = now - known.at < STALE_REPORTS * self.config.report_interval
        return report.sequence > known.report.sequence or not recent

    def _estimate(self, known: EndpointEvidence, now: float) -> None:
        """Append an estimate; in a surge as an old one, by which nothing is decided."""
        report = known.report
        extra_age = MAX_REPORT_AGE if self.surge.active else 0.0
        score = 0.0
        if report.failing_members >= MIN_FAILING_MEMBERS:
            score = min(MAX_SHARED_SCORE, SCORE_PER_FAILING_MEMBER * report.failing_members)
        self.estimates.append(
            EndpointEstimate(
                report.endpoint,
                report.load / LOAD_UNITS if report.load >= 0 else None,
                now - known.load_at + extra_age,
                report.connections,
                now - known.at + extra_age,
                score,
            )
        )


def _is_valid(report: EndpointReport) -> bool:
    return (
        0 <= report.age <= MAX_REPORT_AGE * MILLISECONDS
        and -1 <= report.load <= MAX_LOAD
        and report.load_age >= 0
        and 0 <= report.connections <= MAX_CONNECTIONS
        and report.failing_members >= 0
    )
