"""The health of a site, computed from the reports of its members. No I/O.

A member reports four measurements: whether it accepts clients, whether its endpoints have capacity, the
share of sessions accepted in time, and the success of its own probe sessions. The site's health is the
median of its members, so that a single member, link or wrong report does not determine it.
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhollow.addresses.messages import AddressHealth, HealthReport

MAX_PLAUSIBLE_VALUE = 1e9  # a report with a higher load or rate is ignored
MIN_SESSIONS = 5  # with fewer answered sessions the success ratio is not meaningful
WINDOW_SECONDS = 10.0  # for a member's ratios and rates, and for counting a site's present members
PROBE_WINDOW = 5  # number of latest probe results used
CAPACITY_FACTOR = 4.0  # new sessions can be placed if one endpoint in four has capacity: full health
MAX_REASON_CHARACTERS = 240
MAX_MEMBERS_IN_REASON = 3  # the least healthy ones


class OutcomeSample(NamedTuple):
    """A sample of the counters of answered sessions."""

    sampled_at: float  # monotonic seconds
    accepted: float
    total: float


class Assessment(NamedTuple):
    """Health from 0 to 1, and the measurement that determined it."""

    health: float
    reason: str


@dataclass(slots=True)
class HealthTracker:
    """Session outcomes and probe results of one address at one member."""

    outcomes: deque[OutcomeSample] = field(default_factory=deque)
    probe_results: deque[bool] = field(default_factory=lambda: deque(maxlen=PROBE_WINDOW))

    def record_outcomes(self, now: float, accepted: float, total: float) -> None:
        """Add a sample of the counters, and remove samples older than WINDOW_SECONDS."""
        self.outcomes.append(OutcomeSample(now, accepted, total))
        while self.outcomes and now - self.outcomes[0].sampled_at > WINDOW_SECONDS:
            self.outcomes.popleft()

    def record_probe(self, succeeded: bool) -> None:
        """Add the result of one probe session."""
        self.probe_results.append(succeeded)

    def success_ratio(self) -> float | None:
        """Return the share of recently answered sessions that were accepted; None if there were too few."""
        if len(self.outcomes) < 2:
            return None
        first = self.outcomes[0]
        last = self.outcomes[-1]
        if last.total - first.total < MIN_SESSIONS:
            return None
        return max(0.0, min(1.0, (last.accepted - first.accepted) / (last.total - first.total)))

    def arrival_rate(self) -> float:
        """Return the number of new sessions per second."""
        if len(self.outcomes) < 2 or self.outcomes[-1].sampled_at <= self.outcomes[0].sampled_at:
            return 0.0
        first = self.outcomes[0]
        last = self.outcomes[-1]
        return max(0.0, last.total - first.total) / (last.sampled_at - first.sampled_at)

    def assess(self, ready: bool, endpoints: int, with_capacity: int) -> Assessment:
        """Return the worst of the member's measurements.

        Args:
            ready: whether the member accepts clients.
            endpoints: number of endpoints that this site may use.
            with_capacity: number of these endpoints that admit new sessions.
        """
        if not ready:
            return Assessment(0.0, "accepts no clients")
        assessments = [Assessment(1.0, "well")]
        if endpoints:
            health = min(1.0, CAPACITY_FACTOR * with_capacity / endpoints)
            assessments.append(
                Assessment(health, f"{with_capacity} of {endpoints} usable endpoints have capacity")
            )
        else:
            assessments.append(Assessment(0.0, "no endpoint is listed"))
        ratio = self.success_ratio()
        if ratio is not None:
            assessments.append(Assessment(ratio, f"{ratio:.0%} of sessions were accepted"))
        if self.probe_results:
            succeeded = sum(self.probe_results)
            total = len(self.probe_results)
            assessments.append(
                Assessment(succeeded / total, f"{succeeded} of {total} probe sessions succeeded")
            )
        return min(assessments)


@dataclass(frozen=True, slots=True)
class SiteHealth:
    """The combined health of one address at a site."""

    health: float | None  # 0 to 1; None: no recent report, or too few to decide
    reason: str
    load: float  # open sessions, summed over the members
    arrival_rate: float  # new sessions per second, summed over the members
    members: int  # number of members with a recent report


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The newest report of one member."""

    received_at: float
    rows: dict[str, AddressHealth]  # by address


class HealthAggregator:
    """Keeps the newest report of each member and combines those of a site."""

    def __init__(self, max_age: float) -> None:
        self.max_age = max_age  # seconds
        self.reports: dict[str, dict[str, MemberReport]] = {}
        self.last_report_at: dict[str, dict[str, float]] = {}  # by site and member, kept for WINDOW_SECONDS

    def record(self, member: str, report: HealthReport, now: float) -> None:
        """Record a member's report, without rows whose numbers are out of range."""
        rows = {row.address: row for row in report.rows if is_plausible(row)}
        self.reports.setdefault(report.site, {})[member] = MemberReport(now, rows)
        self.last_report_at.setdefault(report.site, {})[member] = now

    def assess(self, site: str, address: str, now: float) -> SiteHealth:
        """Return the health of an address at a site."""
        reports = self.recent_reports(site, now)
        rows = [
            (report.rows[address], member)
            for member, report in sorted(reports.items())
            if address in report.rows
        ]
        if not rows:
            return SiteHealth(None, "no recent report of a member", 0.0, 0.0, 0)
        present = self.count_present(site, now)
        if len(rows) == 1 and present > 1 and rows[0][0].health < 1.0:
            row, member = rows[0]
            reason = f"only {member} has a recent report, of {present} members present"
            return SiteHealth(None, reason, row.load, row.arrival_rate, 1)
        return combine(rows)

    def recent_reports(self, site: str, now: float) -> dict[str, MemberReport]:
        """Remove a site's reports that are older than `max_age`, and return the others."""
        reports = self.reports.get(site, {})
        for member in [name for name, report in reports.items() if now - report.received_at > self.max_age]:
            del reports[member]
        return reports

    def count_present(self, site: str, now: float) -> int:
        """Return the number of a site's members that have reported within WINDOW_SECONDS."""
        last_report_at = self.last_report_at[site]
        for member in [
            name for name, reported_at in last_report_at.items() if now - reported_at > WINDOW_SECONDS
        ]:
            del last_report_at[member]
        return len(last_report_at)


def is_plausible(row: AddressHealth) -> bool:
    """Return whether a row's numbers are in range; NaN is not."""
    return 0.0 <= row.health <= 1.0 and 0.0 <= min(row.load, row.arrival_rate) < MAX_PLAUSIBLE_VALUE


def combine(rows: list[tuple[AddressHealth, str]]) -> SiteHealth:
    """Return the median of the members' health; of two the higher, so that both must be unhealthy."""
    values = [row.health for row, _ in rows]
    health = max(values) if len(rows) == 2 else statistics.median_low(values)
    worst = sorted(rows, key=lambda row: row[0].health)[:MAX_MEMBERS_IN_REASON]
    reason = "; ".join(f"{member} {row.health:.2f} {row.reason}" for row, member in worst)
    return SiteHealth(
        health,
        f"{len(rows)} said: {reason}"[:MAX_REASON_CHARACTERS],
        sum(row.load for row, _ in rows),
        sum(row.arrival_rate for row, _ in rows),
        len(rows),
    )
