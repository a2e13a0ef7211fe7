"""Estimates over time: an average that expires, an arrival rate, and a number equal at all instances.

Values expire so that no decision is based on an outdated measurement.
"""

from __future__ import annotations

import math
from collections.abc import Hashable

try:
    from _blake2 import blake2b  # the same function as hashlib's, whose import also loads OpenSSL
except ImportError:  # an interpreter without this module of CPython
    from hashlib import blake2b

EWMA_EXPIRY_SECONDS = 5.0  # an average without a new sample for this long counts as unknown
NEWEST_SAMPLE_WEIGHT = 0.3


def stable_uniform(*names: Hashable) -> float:
    """Return a number between 0 and 1 that is the same for the same names in every process."""
    digest = blake2b(" ".join(map(str, names)).encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2.0**48


class Ewma:
    """Exponentially weighted moving average that expires when no new sample is added."""

    value = 0.0
    updated_at = -math.inf  # time of the newest sample

    def add(self, value: float, now: float) -> None:
        """Add a sample, which replaces an expired average."""
        self.value += (value - self.value) * (
            NEWEST_SAMPLE_WEIGHT if now - self.updated_at < EWMA_EXPIRY_SECONDS else 1.0
        )
        self.updated_at = now

    def fresh_value(self, now: float) -> float | None:
        """Return the average, or None if it has expired."""
        return self.value if now - self.updated_at < EWMA_EXPIRY_SECONDS else None


class ArrivalRate:
    """Arrivals per second, averaged with exponential decay."""

    TIME_CONSTANT_SECONDS = 20.0  # of the decay

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

    def rate(self, now: float, excluded: float = 0.0) -> float:
        """Return the arrivals per second, not counting `excluded` arrivals."""
        span = max(1.0, min(now - self.since, self.TIME_CONSTANT_SECONDS))
        return (
            max(
                0.0,
                self.decayed_count * math.exp((self.updated_at - now) / self.TIME_CONSTANT_SECONDS)
                - excluded,
            )
            / span
        )
