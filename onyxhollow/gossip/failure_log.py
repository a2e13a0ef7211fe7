"""Failures that this member has seen itself: evidence for the owners of the endpoints."""

from __future__ import annotations

FAILURE_LIFETIME = 5.0  # seconds for which a failure counts
MAX_FAILURES = 8  # counted for one endpoint


class FailureLog:
    """Times of recent failures by endpoint."""

    def __init__(self) -> None:
        self.failures: dict[str, list[float]] = {}

    def record(self, endpoint: str, now: float) -> None:
        """Record that an attempt or a health check has failed."""
        recent = [at for at in self.failures.get(endpoint, []) if now - at < FAILURE_LIFETIME]
        self.failures[endpoint] = [*recent, now][-MAX_FAILURES:]

    def count(self, endpoint: str, now: float) -> int:
        """Return the number of failures that still count."""
        return sum(now - at < FAILURE_LIFETIME for at in self.failures.get(endpoint, ()))

    def forget(self, endpoint: str) -> None:
        """Remove the failures of an endpoint."""
        self.failures.pop(endpoint, None)
