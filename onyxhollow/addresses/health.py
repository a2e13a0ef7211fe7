"""What several members' evidence makes of a site. Pure.

A member says how clients fare at its own door: whether it takes clients, whether its servers have room, what
share of its sessions were served in time, and how its own session through that door went. The middle of what
they say counts, so that one member, one link or one bad report does not decide.
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field

from onyxhollow.addresses.messages import AddressHealth, HealthReport

MOST = 1e9  # a count past it is none
FEW = 5  # sessions under which their share in time says nothing
SPAN = 10.0  # seconds over which a member looks back
SYNTHETIC = 5  # own sessions that are remembered


@dataclass(slots=True)
class ProbeTarget:
    """What one member sees at its own door, for each address."""

    outcomes: deque[tuple[float, float, float]] = field(
        default_factory=deque
    )  # time, sessions ended well, and all
    probe_results: deque[bool] = field(default_factory=lambda: deque(maxlen=SYNTHETIC))

    def record_outcomes(self, now: float, well: float, everything: float) -> None:
        """Counters of answers so far: accepted, and all."""
        self.outcomes.append((now, well, everything))
        while self.outcomes and now - self.outcomes[0][0] > SPAN:
            self.outcomes.popleft()

    def record_probe(self, went: bool) -> None:
        self.probe_results.append(went)

    def success_ratio(self) -> float | None:
        """Of the sessions answered of late, those put up; None where there were few."""
        if len(self.outcomes) < 2:
            return None
        (_, well, every), (_, well_now, every_now) = self.outcomes[0], self.outcomes[-1]
        if every_now - every < FEW:
            return None
        return max(0.0, min(1.0, (well_now - well) / (every_now - every)))

    def arrival_rate(self) -> float:
        """New sessions a second."""
        if len(self.outcomes) < 2 or self.outcomes[-1][0] <= self.outcomes[0][0]:
            return 0.0
        return max(0.0, self.outcomes[-1][2] - self.outcomes[0][2]) / (
            self.outcomes[-1][0] - self.outcomes[0][0]
        )

    def assess(self, ready: bool, servers: int, with_room: int) -> tuple[float, str]:
        """Health from 0 to 1, the least of all, and what it was. servers: that this site may use; with_room:
        of them those that take something new."""
        if not ready:
            return 0.0, "takes no clients"
        found = [(1.0, "well")]
        if servers:
            # A quarter of them with room is enough to place what comes; below, it gets tight.
            found.append((min(1.0, 4.0 * with_room / servers), f"{with_room} of {servers} servers have room"))
        else:
            found.append((0.0, "no server is listed"))
        if (share := self.success_ratio()) is not None:
            found.append((share, f"{share:.0%} of sessions were put up"))
        if self.probe_results:
            went = sum(self.probe_results) / len(self.probe_results)
            found.append(
                (went, f"{sum(self.probe_results)} of {len(self.probe_results)} own sessions went through")
            )
        return min(found)


@dataclass(frozen=True, slots=True)
class SiteHealth:
    health: float | None  # None: nobody has said anything of late
    reason: str
    load: float
    arrival_rate: float
    members: int


class HealthAggregator:
    """The evidence that has come, by site and member."""

    def __init__(self, max_age: float) -> None:
        self.max_age = max_age
        self.reports: dict[str, dict[str, tuple[float, dict[str, AddressHealth]]]] = {}
        self.last_report_at: dict[
            str, dict[str, float]
        ] = {}  # by site and member: when it last said anything

    def record(self, member: str, evidence: HealthReport, now: float) -> None:
        rows = {
            row.address: row
            for row in evidence.rows
            if 0.0 <= row.health <= 1.0 and 0.0 <= min(row.load, row.arrival_rate) < MOST
        }
        self.reports.setdefault(evidence.site, {})[member] = now, rows
        self.last_report_at.setdefault(evidence.site, {})[member] = now

    def assess(self, site: str, address: str, now: float) -> SiteHealth:
        by = self.reports.get(site, {})
        for member in [name for name, (at, _) in by.items() if now - at > self.max_age]:
            del by[member]
        rows = [(rows[address], member) for member, (_, rows) in sorted(by.items()) if address in rows]
        if not rows:
            return SiteHealth(None, "no word of any member there", 0.0, 0.0, 0)
        last = self.last_report_at[site]
        for member in [name for name, at in last.items() if now - at > SPAN]:
            del last[member]
        if len(rows) == 1 and len(last) > 1 and rows[0][0].health < 1.0:
            return SiteHealth(
                None,
                f"only {rows[0][1]} speaks, of {len(last)} of late",
                rows[0][0].load,
                rows[0][0].arrival_rate,
                1,
            )
        # With two, both have to be ill: the better one counts. Past that the middle one does.
        all_say = [row.health for row, _ in rows]
        health = max(all_say) if len(rows) == 2 else statistics.median_low(all_say)
        worst = sorted(rows, key=lambda row: row[0].health)[:3]
        reason = "; ".join(f"{member} {row.health:.2f} {row.reason}" for row, member in worst)
        return SiteHealth(
            health,
            f"{len(rows)} said: {reason}"[:240],
            sum(row.load for row, _ in rows),
            sum(row.arrival_rate for row, _ in rows),
            len(rows),
        )
