"""Estimates over time: a smoothed value that expires, an arrival rate, and a number all instances agree on.

Guards against acting on measurements that are no longer true: a value nobody has renewed is none at all.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from hashlib import blake2b

EWMA_EXPIRY = 5.0  # seconds after which a value that was not renewed counts as unknown
EWMA_WEIGHT = 0.3  # weight of the newest sample


def stable_uniform(*names: Hashable) -> float:
    """Return the same number between 0 and 1 for the same names, in every process."""
    digest = blake2b(" ".join(map(str, names)).encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2.0**48


class Ewma:
    """Exponentially weighted moving average that expires when no sample renews it."""

    value = 0.0
    updated_at = -math.inf  # when the newest sample came

    def add(self, value: float, now: float) -> None:
        """Add a sample; after an expiry it replaces the average."""
        self.value += (value - self.value) * (EWMA_WEIGHT if now - self.updated_at < EWMA_EXPIRY else 1.0)
        self.updated_at = now

    def fresh_value(self, now: float) -> float | None:
        """Return the average, or None if it has expired."""
        return self.value if now - self.updated_at < EWMA_EXPIRY else None


class ArrivalRate:
    """Arrivals a second, averaged over `TIME_CONSTANT_SECONDS` seconds with exponential decay."""

    TIME_CONSTANT_SECONDS = 20.0  # seconds

    def __init__(self, since: float) -> None:
        self.since = since
        self.updated_at = since
        self.decayed_count = 0.0

    def record_arrival(self, now: float) -> None:
        """Count one arrival."""
        self.decayed_count = (
            self.decayed_count * math.exp((self.updated_at - now) / self.TIME_CONSTANT_SECONDS) + 1.0
        )
        self.updated_at = now

    def rate(self, now: float, less: float = 0.0) -> float:
        """Return arrivals a second, `less` arrivals left out."""
        span = max(1.0, min(now - self.since, self.TIME_CONSTANT_SECONDS))
        return (
            max(
                0.0,
                self.decayed_count * math.exp((self.updated_at - now) / self.TIME_CONSTANT_SECONDS) - less,
            )
            / span
        )
