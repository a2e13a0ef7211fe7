"""Measure how evenly load is spread over the servers, and detect herds (many proxies that pick one server).

Loads are recorded each second for the servers that are in service, warm and reachable. Load is load over
capacity. All figures of a run go into its JSON under `evenness`; a report draws them.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy.stats import poisson

IDLE_LOAD_SHARE = 0.25  # of the fleet's mean load, below which a server may be idle
IDLE_SECONDS = 5.0  # that a server must spend below it to count as idle
MIN_MEAN_LOAD = 0.1  # below it no server counts as idle or swinging: there is hardly any load to place
SWING_DEVIATION = 0.15  # share of the mean by which a load must differ from it to be above or below
SWING_REPORT_AGES = 5.0  # a server swings if it crosses the mean and returns within so many report ages
HERD_QUANTILE = 0.99  # of the connections that independent proxies would place; a herd exceeds it


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load of one server in one second."""

    server: str
    load: float
    capacity: float


class Evenness:
    """Records the loads and placements of a run and computes its evenness figures."""

    def __init__(self, report_age: float) -> None:
        """Take the maximum age in seconds of a load report that a proxy uses."""
        self.report_age = report_age
        self.samples: list[tuple[float, list[ServerLoad]]] = []
        self.placements: list[tuple[float, str, int]] = []

    def record_loads(self, now: float, loads: list[ServerLoad]) -> None:
        """Keep a sample of the loads of all warm servers; `now` is in seconds."""
        self.samples.append((now, loads))

    def record_placement(self, now: float, server: str, proxy: int) -> None:
        """Keep that a proxy has established a connection at a server."""
        self.placements.append((now, server, proxy))

    # figures

    def load_spread(self) -> list[tuple[float, float, float, float]]:
        """Return time, mean, coefficient of variation and highest over mean, for seconds with enough load."""
        rows = []
        for now, loads in self.samples:
            values = np.array([row.load for row in loads])
            if len(values) >= 2 and (mean := float(values.mean())) >= MIN_MEAN_LOAD:
                rows.append((now, mean, float(values.std()) / mean, float(values.max()) / mean))
        return rows

    def idle(self) -> list[tuple[str, float, float]]:
        """Return the periods in which servers were idle: name, begin, end."""
        since: dict[str, float] = {}
        periods: list[tuple[str, float, float]] = []
        last = 0.0
        for now, loads in self.samples:
            mean = float(np.mean([row.load for row in loads])) if loads else 0.0
            low = {row.server for row in loads if mean >= MIN_MEAN_LOAD and row.load < IDLE_LOAD_SHARE * mean}
            for server in [name for name in since if name not in low]:
                if now - since[server] > IDLE_SECONDS:
                    periods.append((server, since[server], now))
                del since[server]
            for server in low:
                since.setdefault(server, now)
            last = now
        periods += [(server, begin, last) for server, begin in since.items() if last - begin > IDLE_SECONDS]
        return sorted(periods, key=lambda row: (row[1], row[0]))

    def swings(self) -> int:
        """Count how often a server crossed the mean load and returned within a few report ages."""
        crossings: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for now, loads in self.samples:
            mean = float(np.mean([row.load for row in loads])) if loads else 0.0
            for row in loads if mean >= MIN_MEAN_LOAD else ():
                deviation = row.load / mean - 1.0
                side = 0 if abs(deviation) < SWING_DEVIATION else (1 if deviation > 0 else -1)
                if side and (not crossings[row.server] or crossings[row.server][-1][1] != side):
                    crossings[row.server].append((now, side))
        within = SWING_REPORT_AGES * self.report_age
        return sum(
            rows[place + 2][0] - rows[place][0] <= within
            for rows in crossings.values()
            for place in range(len(rows) - 2)
        )

    def herds(self) -> list[tuple[float, str, int, float, int]]:
        """Return the new connections of each server in each period of one report age, where there are any.

        A row holds the begin of the period, the server, its connections, their ratio to what independent
        proxies would stay below in 99 of 100 cases, and the number of proxies that placed them.
        """
        if not self.samples:
            return []
        span = self.report_age
        windows: dict[int, list[tuple[str, int]]] = defaultdict(list)
        for when, server, proxy in self.placements:
            windows[int(when / span)].append((server, proxy))
        rows = []
        times = np.array([now for now, _ in self.samples])
        for window, placed in sorted(windows.items()):
            loads = self.samples[min(len(times) - 1, int(np.searchsorted(times, window * span)))][1]
            capacity = {row.server: row.capacity for row in loads}
            total = sum(capacity.values())
            counted = [row for row in placed if row[0] in capacity]
            proxies: dict[str, list[int]] = defaultdict(list)
            for server, proxy in counted:
                proxies[server].append(proxy)
            for server, placed_by in sorted(proxies.items()):
                expected = float(poisson.ppf(HERD_QUANTILE, len(counted) * capacity[server] / total))
                rows.append(
                    (
                        window * span,
                        server,
                        len(placed_by),
                        len(placed_by) / max(1.0, expected),
                        len(set(placed_by)),
                    )
                )
        return rows

    # results

    def figures(self) -> dict[str, Any]:
        """Return the evenness figures of the run, rounded for the results."""
        spread = np.array([row[2:] for row in self.load_spread()]) if self.load_spread() else np.zeros((1, 2))
        herds = self.herds()
        ratios = [row[3] for row in herds]
        worst = max(herds, key=lambda row: row[3], default=(0.0, "", 0, 0.0, 0))
        idle = self.idle()
        return {
            "report_age_s": round(self.report_age, 3),
            "variation": round(float(np.median(spread[:, 0])), 4),
            "worst_over_mean": round(float(np.median(spread[:, 1])), 4),
            "worst_over_mean_p90": round(float(np.quantile(spread[:, 1], 0.9)), 4),
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
        """Return what reports plot: load spread over time, idle servers and herds."""
        return {
            "course": [[round(value, 4) for value in row] for row in self.load_spread()],
            "idle": [[server, round(begin, 2), round(end, 2)] for server, begin, end in self.idle()],
            "herds": [
                [round(when, 2), server, count, round(ratio, 3), proxies]
                for when, server, count, ratio, proxies in self.herds()
            ],
        }
