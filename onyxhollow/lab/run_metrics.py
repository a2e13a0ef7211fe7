"""Metrics of one run: utility wanted, earned and lost, latencies, and counters.

Utility is kept by cause of loss, second, listener and tenant. It accrues for each second in
which a client wants a connection. The wanted utility depends on the clients alone. wanted = earned + lost
holds up to rounding; RunMetrics.figures checks it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from onyxhollow.lab.evenness import Evenness
from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.world.types import LossCause, Request

WORST_WINDOW_SECONDS = 10
MAX_LATENCY_MICROSECONDS = 120_000_000
MESSAGE_QUANTILES = (0.1, 0.3, 0.5, 0.7, 0.9, 0.97, 0.995)
LOAD_MAP_STEP_SECONDS = 1.0


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds with two significant digits."""
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 2)


class RunMetrics:
    """Utility accounts, latency histograms and counters of one run."""

    def __init__(self, scenario: Scenario, requests: list[Request]) -> None:
        """Open the accounts and enter the utility that the requests want."""
        self.scenario, self.horizon = scenario, scenario.seconds
        self.tolerance = 1e-6  # share of the wanted utility that may stay unaccounted for
        self.bins = math.ceil(scenario.seconds)
        self.listeners, self.tenants = len(scenario.listeners), len(scenario.customers)
        self.utility = [row.utility for row in scenario.listeners]
        self.over_quota_factor = scenario.proxies.overage_utility
        self.wanted, self.earned = [0.0] * self.bins, [0.0] * self.bins
        self.lost = {cause: [0.0] * self.bins for cause in LossCause}
        self.wanted_by_listener, self.earned_by_listener = [0.0] * self.listeners, [0.0] * self.listeners
        self.wanted_by_tenant, self.earned_by_tenant = [0.0] * self.tenants, [0.0] * self.tenants
        self.setup, self.message = new_histogram(), new_histogram()
        self.setup_by_listener = [new_histogram() for _ in range(self.listeners)]
        self.loads: dict[str, list[tuple[int, float]]] = {}
        self.counts: dict[str, int] = {}
        fleet = scenario.fleet
        self.evenness = Evenness(fleet.report_every + fleet.report_delay)
        for request in requests:
            begin, end = request.due, min(request.end, self.horizon)
            if end <= begin:
                continue
            rate = self.utility_rate(request.listener, request.over_quota)
            self.add_to_bins(self.wanted, begin, end, rate)
            self.wanted_by_listener[request.listener] += rate * (end - begin)
            if not request.over_quota:
                self.wanted_by_tenant[request.tenant] += rate * (end - begin)

    def utility_rate(self, listener: int, over_quota: bool) -> float:
        """Return the utility per second of a connection."""
        return self.utility[listener] * (self.over_quota_factor if over_quota else 1.0)

    def increment(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def add_to_bins(self, row: list[float], begin: float, end: float, rate: float) -> None:
        """Add the rate for each second from begin to end to the one-second bins of the row."""
        first, last = int(begin), min(int(end), self.bins - 1)
        if first >= last:
            row[min(first, self.bins - 1)] += rate * (end - begin)
            return
        row[first] += rate * (first + 1 - begin)
        for second in range(first + 1, last):
            row[second] += rate
        row[last] += rate * (end - last)

    def record_disconnected(
        self, request: Request, since: float, until: float, cause: LossCause | None
    ) -> None:
        """Account for time without a connection; with cause None, within the target, it earns in full."""
        since, until = max(0.0, since), min(until, request.end, self.horizon)
        if until <= since:
            return
        rate = self.utility_rate(request.listener, request.over_quota)
        self.add_to_bins(self.earned if cause is None else self.lost[cause], since, until, rate)
        if cause is None:
            self.earned_by_listener[request.listener] += rate * (until - since)
            if not request.over_quota:
                self.earned_by_tenant[request.tenant] += rate * (until - since)

    def record_step(
        self,
        now: float,
        slot: int,
        seconds: float,
        quality: float,
        quality_without_crossing: float,
        unresponsive: bool,
    ) -> None:
        """Account for the connections of one slot at one server, over the step that ends now."""
        listener, utility = slot // 4, self.utility_rate(slot // 4, bool(slot & 1)) * seconds
        second = min(self.bins - 1, max(0, math.ceil(now - 1e-9) - 1))
        self.earned[second] += utility * quality
        self.lost[LossCause.UNREACHABLE if unresponsive else LossCause.SLOW][second] += utility * (
            1.0 - quality_without_crossing
        )
        self.lost[LossCause.CROSSING][second] += utility * (quality_without_crossing - quality)
        self.earned_by_listener[listener] += utility * quality

    def add_tenant_earnings(self, request: Request, seconds: float) -> None:
        """Credit a request's tenant with seconds of full utility; requests over quota earn it nothing."""
        if not request.over_quota:
            self.earned_by_tenant[request.tenant] += self.utility_rate(request.listener, False) * seconds

    def record_setup(self, listener: int, took: float) -> None:
        """Record a set-up latency in seconds since the request was due, with the time of earlier sessions."""
        microseconds = min(MAX_LATENCY_MICROSECONDS, max(1, round(took * 1e6)))
        self.setup.record_value(microseconds)
        self.setup_by_listener[listener].record_value(microseconds)

    def record_messages(self, delay: float, tau: float, count: int) -> None:
        """Record the quantiles of the latencies of a server's messages, count times each."""
        for quantile in MESSAGE_QUANTILES:
            value = delay - tau * math.log(1.0 - quantile)
            self.message.record_value(min(MAX_LATENCY_MICROSECONDS, max(1, round(value * 1e6))), count)

    def record_load(self, server: str, now: float, load: float) -> None:
        """Add a sample to the load map."""
        self.loads.setdefault(server, []).append((int(now / LOAD_MAP_STEP_SECONDS), round(load, 3)))

    # results

    def figures(self) -> dict[str, Any]:
        """Return the results of the run; raise AssertionError if the accounts do not balance."""
        wanted, earned = np.array(self.wanted), np.array(self.earned)
        lost = {cause.value: np.array(row) for cause, row in self.lost.items()}
        gap = abs(wanted.sum() - earned.sum() - sum(row.sum() for row in lost.values()))
        if gap > self.tolerance * max(1.0, wanted.sum()):
            raise AssertionError(
                f"accounts: expected wanted = earned + lost, got a gap of {gap:.6f} of {wanted.sum():.3f}"
            )
        whole_share = ratio(float(earned.sum()), float(wanted.sum()))
        by_listener = ratios(self.earned_by_listener, self.wanted_by_listener)
        by_tenant = ratios(self.earned_by_tenant, self.wanted_by_tenant)
        goal = self.scenario.goal
        parts = {
            "whole": whole_share,
            "window": worst_window_share(wanted, earned),
            "listener": min(by_listener),
            "customer": min(by_tenant),
        }
        weights = {name: getattr(goal, name) for name in parts}
        figure = sum(parts[name] * weight for name, weight in weights.items()) / sum(weights.values())
        return {
            "figure": figure,
            "service": whole_share,
            "unaccounted": ratio(float(gap), float(wanted.sum()), 0.0),
            "worst_window": parts["window"],
            "listeners": {
                row.name: share for row, share in zip(self.scenario.listeners, by_listener, strict=True)
            },
            "customers": {
                row.name: share for row, share in zip(self.scenario.customers, by_tenant, strict=True)
            },
            "lost": {name: ratio(float(row.sum()), float(wanted.sum()), 0.0) for name, row in lost.items()},
            "setup_ms": quantiles(self.setup),
            "message_ms": quantiles(self.message),
            "histograms": {"setup": encode_histogram(self.setup), "message": encode_histogram(self.message)},
            "counts": dict(sorted(self.counts.items())),
            "evenness": self.evenness.figures(),
        }

    def series(self) -> dict[str, Any]:
        """Return the time series that reports plot, with one value per second."""

        def rounded(row: list[float]) -> list[float]:
            return [round(value, 3) for value in row]

        return {
            "wanted": rounded(self.wanted),
            "earned": rounded(self.earned),
            "lost": {cause.value: rounded(row) for cause, row in self.lost.items() if any(row)},
            "loads": {name: [list(pair) for pair in row] for name, row in sorted(self.loads.items())},
            "evenness": self.evenness.series(),
            "setup": cdf(self.setup),
            "message": cdf(self.message),
            "setup_by_listener": {
                row.name: cdf(hist)
                for row, hist in zip(self.scenario.listeners, self.setup_by_listener, strict=True)
            },
        }


def worst_window_share(wanted: np.ndarray, earned: np.ndarray) -> float:
    """Return the lowest share earned in WORST_WINDOW_SECONDS in a row; the arrays have a value per second."""
    ones = np.ones(min(WORST_WINDOW_SECONDS, len(wanted)))
    window_earned, window_wanted = np.convolve(earned, ones, "valid"), np.convolve(wanted, ones, "valid")
    # Windows with few clients are left out: their share depends on chance.
    counted = window_wanted > 0.2 * window_wanted.max(initial=0.0)
    window_shares = window_earned[counted] / window_wanted[counted]
    return float(window_shares.min(initial=1.0))


def ratio(part: float, whole: float, default: float = 1.0) -> float:
    """Return part / whole, or the default if whole is 0."""
    return part / whole if whole > 0 else default


def ratios(parts: list[float], wholes: list[float]) -> list[float]:
    """Return the ratio of each part to its whole, 1 where the whole is 0."""
    return [ratio(part, whole) for part, whole in zip(parts, wholes, strict=True)]


def quantiles(hist: HdrHistogram) -> dict[str, float]:
    """Return p50, p90, p99 and p99.9 in milliseconds."""
    return {
        f"p{q:g}": round(hist.get_value_at_percentile(q) / 1000.0, 3) if hist.get_total_count() else 0.0
        for q in (50, 90, 99, 99.9)
    }


def cdf(hist: HdrHistogram) -> list[list[float]]:
    """Return points (ms, share) of the cumulative distribution."""
    total = hist.get_total_count()
    if not total:
        return []
    percentiles = [0.5, 1, 2, 5, *range(10, 100, 5), 97, 98, 99, 99.5, 99.9, 100]
    return [
        [round(hist.get_value_at_percentile(percentile) / 1000.0, 4), percentile / 100]
        for percentile in percentiles
    ]


def encode_histogram(hist: HdrHistogram) -> str:
    """Return the histogram as text that merge_quantiles can read."""
    text: bytes | str = hist.encode()
    return text if isinstance(text, str) else text.decode()


def merge_quantiles(runs: Iterable[dict[str, Any]], kind: str) -> dict[str, float]:
    """Return the quantiles in ms over all runs; kind is "setup" or "message".

    The histograms are merged because a mean of quantiles is not a quantile.
    """
    merged = new_histogram()
    for run in runs:
        merged.decode_and_add(run["histograms"][kind])
    return quantiles(merged)
