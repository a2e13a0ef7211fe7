"""How evenly load lies on the servers, and where many proxies went to one at once.

Looked at each second over the servers that count: in service, warm, reached. Load is load over capacity. All
figures of a run go into its JSON under `evenness`; a report draws them.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy.stats import poisson

IDLE_UNDER, IDLE_FOR = (
    0.25,
    5.0,
)  # share of the fleet's mean under which a server is idle after so many seconds
QUIET = 0.1  # mean load under which nothing is called idle: there is hardly anything to place
BAND = 0.15  # share by which a server has to be off the mean to have swung to a side
SWING_REPORTS = 5.0  # ages of a report within which a server that went from side to side and back has swung
CHANCE = 0.99  # what independent proxies keep under so often is the measure of a herd


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """One server at one look."""

    server: str
    load: float
    capacity: float


class Evenness:
    def __init__(self, report_age: float) -> None:
        """report_age: seconds for which a load that a proxy has heard of may be old."""
        self.report_age = report_age
        self.looks: list[tuple[float, list[ServerLoad]]] = []
        self.placed_at: list[tuple[float, str, int]] = []

    def record_loads(self, now: float, seen: list[ServerLoad]) -> None:
        self.looks.append((now, seen))

    def record_placement(self, now: float, server: str, proxy: int) -> None:
        self.placed_at.append((now, server, proxy))

    # a value a second

    def course(self) -> list[tuple[float, float, float, float]]:
        """Second, mean, coefficient of variation, worst over mean; only where there is load to place."""
        rows = []
        for now, seen in self.looks:
            loads = np.array([one.load for one in seen])
            if len(loads) >= 2 and (mean := float(loads.mean())) >= QUIET:
                rows.append((now, mean, float(loads.std()) / mean, float(loads.max()) / mean))
        return rows

    def idle(self) -> list[tuple[str, float, float]]:
        """Servers left idle: name, from, until."""
        since: dict[str, float] = {}
        found: list[tuple[str, float, float]] = []
        last = 0.0
        for now, seen in self.looks:
            mean = float(np.mean([one.load for one in seen])) if seen else 0.0
            low = {one.server for one in seen if mean >= QUIET and one.load < IDLE_UNDER * mean}
            for server in [name for name in since if name not in low]:
                if now - since[server] > IDLE_FOR:
                    found.append((server, since[server], now))
                del since[server]
            for server in low:
                since.setdefault(server, now)
            last = now
        found += [(server, begin, last) for server, begin in since.items() if last - begin > IDLE_FOR]
        return sorted(found, key=lambda row: (row[1], row[0]))

    def swings(self) -> int:
        """Servers that went from one side of the mean to the other and back within a few reports."""
        turns: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for now, seen in self.looks:
            mean = float(np.mean([one.load for one in seen])) if seen else 0.0
            for one in seen if mean >= QUIET else ():
                off = one.load / mean - 1.0
                side = 0 if abs(off) < BAND else (1 if off > 0 else -1)
                if side and (not turns[one.server] or turns[one.server][-1][1] != side):
                    turns[one.server].append((now, side))
        within = SWING_REPORTS * self.report_age
        return sum(
            rows[place + 2][0] - rows[place][0] <= within
            for rows in turns.values()
            for place in range(len(rows) - 2)
        )

    def herds(self) -> list[tuple[float, str, int, float, int]]:
        """Of each server in each span of a report's age to which something went: begin, name, connections,
        over what independent proxies keep under 99 times of 100, and how many proxies took part."""
        if not self.looks:
            return []
        span = self.report_age
        windows: dict[int, list[tuple[str, int]]] = defaultdict(list)
        for at, server, proxy in self.placed_at:
            windows[int(at / span)].append((server, proxy))
        rows = []
        times = np.array([now for now, _ in self.looks])
        for window, came in sorted(windows.items()):
            seen = self.looks[min(len(times) - 1, int(np.searchsorted(times, window * span)))][1]
            capacity = {one.server: one.capacity for one in seen}
            whole = sum(capacity.values())
            counted = [row for row in came if row[0] in capacity]
            proxies: dict[str, list[int]] = defaultdict(list)
            for server, proxy in counted:
                proxies[server].append(proxy)
            for server, by in sorted(proxies.items()):
                chance = float(poisson.ppf(CHANCE, len(counted) * capacity[server] / whole))
                rows.append((window * span, server, len(by), len(by) / max(1.0, chance), len(set(by))))
        return rows

    # results

    def figures(self) -> dict[str, Any]:
        course = np.array([row[2:] for row in self.course()]) if self.course() else np.zeros((1, 2))
        herds = self.herds()
        ratios = [row[3] for row in herds]
        worst = max(herds, key=lambda row: row[3], default=(0.0, "", 0, 0.0, 0))
        idle = self.idle()
        return {
            "report_age_s": round(self.report_age, 3),
            "variation": round(float(np.median(course[:, 0])), 4),
            "worst_over_mean": round(float(np.median(course[:, 1])), 4),
            "worst_over_mean_p90": round(float(np.quantile(course[:, 1], 0.9)), 4),
            "idle_servers": len({server for server, _, _ in idle}),
            "idle_seconds": round(sum(end - begin for _, begin, end in idle), 1),
            "swings": self.swings(),
            "herd_p99": round(float(np.quantile(ratios, 0.99)), 4) if ratios else 0.0,
            "herd_worst": {
                "at": round(worst[0], 2),
                "server": worst[1],
                "connections": worst[2],
                "ratio": round(worst[3], 3),
                "proxies": worst[4],
            },
        }

    def series(self) -> dict[str, Any]:
        return {
            "course": [[round(value, 4) for value in row] for row in self.course()],
            "idle": [[server, round(begin, 2), round(end, 2)] for server, begin, end in self.idle()],
            "herds": [
                [round(at, 2), server, count, round(ratio, 3), proxies]
                for at, server, count, ratio, proxies in self.herds()
            ],
        }
