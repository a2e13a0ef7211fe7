"""Read-only pages of the management API: readiness and metrics."""

from __future__ import annotations

from onyxhollow.counters import ACCEPTED, FAILED, REJECTED, Counters
from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.management import metrics
from onyxhollow.management.api import PLAIN_TEXT, Answer
from onyxhollow.service_state import ServiceState
from onyxhollow.wire.session_registry import SessionRegistry


class OperatorPages:
    """Handlers of the management API that only read."""

    def __init__(
        self,
        counters: Counters,
        service: ServiceState,
        sessions: SessionRegistry,
        decisions: DecisionAdapter,
    ) -> None:
        self.counters = counters
        self.service = service
        self.sessions = sessions
        self.decisions = decisions

    def get_ready(self, _: str) -> Answer:
        """Return 200 if operators may send clients here, otherwise 503 with the service phase."""
        if not self.service.ready:
            return 503, f"{self.service.phase.value}\n".encode(), PLAIN_TEXT
        return 200, b"ready\n", PLAIN_TEXT

    def get_metrics(self, _: str) -> Answer:
        """Return all metrics in the Prometheus text format."""
        counts = self.counters.counts
        listed, down = self.decisions.count_avoided()
        refused_reloads = counts["reloads refused"]
        values = (
            ("backend_calls_total", counts["dials written whole"]),
            ("inflight", self.sessions.active_count),
            ("hosts_listed", listed),
            ("hosts_down", down),
            ("reconfig_ok_total", counts["reloads"] - refused_reloads),
            ("reconfig_failed_total", refused_reloads),
        )
        ends = self.counters.final_answers
        by_tier = (
            ("success_total", ends[ACCEPTED]),
            ("busy_total", ends[REJECTED]),
            ("failure_total", ends[FAILED]),
        )
        return 200, metrics.render(by_tier, values), metrics.CONTENT_TYPE
