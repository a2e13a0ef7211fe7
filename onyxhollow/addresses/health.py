"""Health of a site, from the reports of its members. Pure.

A member reports how clients fare at its own address: whether it takes clients, whether its endpoints have
capacity, what share of its sessions were accepted in time, and how its own probe session went. The median of
the members counts, so that one member, one link or one bad report does not decide.
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxhollow.addresses.messages import AddressHealth, HealthReport

MAX_COUNT = 1e9  # a load or rate past it is not believed
MIN_SESSIONS = 5  # below which their success ratio says nothing
LOOKBACK = 10.0  # seconds over which a member computes ratios and rates, and members count as present
PROBES_REMEMBERED = 5
ENOUGH_ENDPOINTS = 4.0  # one endpoint in four with capacity is enough to place new sessions
REASON_CHARACTERS = 240  # of a site's health, for operators
MEMBERS_NAMED = 3  # in that reason: the worst


class OutcomeCount(NamedTuple):
    """Counters of answered sessions at a time."""

    at: float  # monotonic seconds
    accepted: float
    total: float


class Assessment(NamedTuple):
    """Health from 0 to 1, and what decided it."""

    health: float
    reason: str


@dataclass(slots=True)
class HealthTracker:
    """What one member sees of one address at its own listener."""

    outcomes: deque[OutcomeCount] = field(default_factory=deque)
    probe_results: deque[bool] = field(default_factory=lambda: deque(maxlen=PROBES_REMEMBERED))

    def record_outcomes(self, now: float, accepted: float, total: float) -> None:
        """Notes the counters of answered sessions so far."""
        self.outcomes.append(OutcomeCount(now, accepted, total))
        while self.outcomes and now - self.outcomes[0].at > LOOKBACK:
            self.outcomes.popleft()

    def record_probe(self, succeeded: bool) -> None:
        """Notes the result of one probe session."""
        self.probe_results.append(succeeded)

    def success_ratio(self) -> float | None:
        """Of the sessions answered lately, those accepted; None if there were too few."""
        if len(self.outcomes) < 2:
            return None
        first = self.outcomes[0]
        last = self.outcomes[-1]
        if last.total - first.total < MIN_SESSIONS:
            return None
        return max(0.0, min(1.0, (last.accepted - first.accepted) / (last.total - first.total)))

    def arrival_rate(self) -> float:
        """New sessions a second."""
        if len(self.outcomes) < 2 or self.outcomes[-1].at <= self.outcomes[0].at:
            return 0.0
        first = self.outcomes[0]
        last = self.outcomes[-1]
        return max(0.0, last.total - first.total) / (last.at - first.at)

    def assess(self, ready: bool, endpoints: int, with_capacity: int) -> Assessment:
        """The worst of all that is looked at.

        Args:
            ready: the member takes clients.
            endpoints: how many this site may use.
            with_capacity: how many of them admit new sessions.
        """
        if not ready:
            return Assessment(0.0, "takes no clients")
        found = [Assessment(1.0, "well")]
        if endpoints:
            health = min(1.0, ENOUGH_ENDPOINTS * with_capacity / endpoints)
            found.append(Assessment(health, f"{with_capacity} of {endpoints} servers have room"))
        else:
            found.append(Assessment(0.0, "no server is listed"))
        ratio = self.success_ratio()
        if ratio is not None:
            found.append(Assessment(ratio, f"{ratio:.0%} of sessions were put up"))
        if self.probe_results:
            succeeded = sum(self.probe_results)
            total = len(self.probe_results)
            found.append(Assessment(succeeded / total, f"{succeeded} of {total} own sessions went through"))
        return min(found)


@dataclass(frozen=True, slots=True)
class SiteHealth:
    """What the members of a site together say of one address."""

    health: float | None  # 0 to 1; None: no recent report, or too few to decide
    reason: str
    load: float  # open sessions, of all members
    arrival_rate: float  # new sessions a second, of all members
    members: int  # that have reported lately


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The newest report of one member."""

    at: float
    rows: dict[str, AddressHealth]  # by address


class HealthAggregator:
    """The newest reports, by site and member."""

    def __init__(self, max_age: float) -> None:
        self.max_age = max_age  # seconds
        self.reports: dict[str, dict[str, MemberReport]] = {}
        self.last_report_at: dict[str, dict[str, float]] = {}  # by site and member, for LOOKBACK seconds

    def record(self, member: str, report: HealthReport, now: float) -> None:
        """Takes in a report; rows with impossible numbers are left out."""
        rows = {row.address: row for row in report.rows if is_plausible(row)}
        self.reports.setdefault(report.site, {})[member] = MemberReport(now, rows)
        self.last_report_at.setdefault(report.site, {})[member] = now

    def assess(self, site: str, address: str, now: float) -> SiteHealth:
        """The health of an address at a site."""
        reports = self.recent_reports(site, now)
        rows = [
            (report.rows[address], member)
            for member, report in sorted(reports.items())
            if address in report.rows
        ]
        if not rows:
            return SiteHealth(None, "no word of any member there", 0.0, 0.0, 0)
        present = self.count_present(site, now)
        if len(rows) == 1 and present > 1 and rows[0][0].health < 1.0:
            row, member = rows[0]
            reason = f"only {member} speaks, of {present} of late"
            return SiteHealth(None, reason, row.load, row.arrival_rate, 1)
        return combine(rows)

    def recent_reports(self, site: str, now: float) -> dict[str, MemberReport]:
        """Reports that still count; older ones are dropped."""
        reports = self.reports.get(site, {})
        for member in [name for name, report in reports.items() if now - report.at > self.max_age]:
            del reports[member]
        return reports

    def count_present(self, site: str, now: float) -> int:
        """How many members of a site have reported within LOOKBACK."""
        last = self.last_report_at[site]
        for member in [name for name, at in last.items() if now - at > LOOKBACK]:
            del last[member]
        return len(last)


def is_plausible(row: AddressHealth) -> bool:
    """Whether a row's numbers are in range; NaN is not."""
    return 0.0 <= row.health <= 1.0 and 0.0 <= min(row.load, row.arrival_rate) < MAX_COUNT


def combine(rows: list[tuple[AddressHealth, str]]) -> SiteHealth:
    """The median of the members' health; of two the better, so that both must be unhealthy."""
    values = [row.health for row, _ in rows]
    health = max(values) if len(rows) == 2 else statistics.median_low(values)
    worst = sorted(rows, key=lambda row: row[0].health)[:MEMBERS_NAMED]
    reason = "; ".join(f"{member} {row.health:.2f} {row.reason}" for row, member in worst)
    return SiteHealth(
        health,
        f"{len(rows)} said: {reason}"[:REASON_CHARACTERS],
        sum(row.load for row, _ in rows),
        sum(row.arrival_rate for row, _ in rows),
        len(rows),
    )
