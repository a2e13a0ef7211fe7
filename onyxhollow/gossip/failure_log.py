"""Log of failures at endpoints seen by this process, which it reports to the owners of the endpoints."""

from __future__ import annotations

FAILURE_LIFETIME_SECONDS = 5.0  # older failures are not counted
MAX_FAILURES_PER_ENDPOINT = 8  # older ones are dropped


class FailureLog:
    """Times of recent failures by endpoint."""

    def __init__(self) -> None:
        self.failure_times: dict[str, list[float]] = {}

    def record(self, endpoint: str, now: float) -> None:
        """Record a failed attempt or health check."""
        recent_times = [
            at for at in self.failure_times.get(endpoint, []) if now - at < FAILURE_LIFETIME_SECONDS
        ]
        self.failure_times[endpoint] = [*recent_times, now][-MAX_FAILURES_PER_ENDPOINT:]

    def count(self, endpoint: str, now: float) -> int:
        """Return the number of recent failures at an endpoint."""
        return sum(now - at < FAILURE_LIFETIME_SECONDS for at in self.failure_times.get(endpoint, ()))

    def clear(self, endpoint: str) -> None:
        """Remove the failures at an endpoint."""
        self.failure_times.pop(endpoint, None)
