"""How long an endpoint takes to send lines back, and which of these delays the decisions hear of."""

from __future__ import annotations

import math
from typing import NamedTuple

from onyxhollow.decision_adapter import SessionHandle
from onyxhollow.loop import Loop

LEAST_DELAY = 0.01  # seconds; shorter delays say how busy this core is, nothing of the endpoint
REPORT_INTERVAL = 1.0  # seconds between two reports of late echoes from one endpoint


class SentAt(NamedTuple):
    """When a line was sent, in seconds of the loop's clock, and how long the process had stalled by then."""

    at: float
    stalled: float


class EchoMonitor:
    """Reports late echoes to the decisions, once a second for each endpoint.

    If every connection reported each echo, a short pause would look like dozens of faults, and echoes of
    0.2 ms would drown the connection set-up times that pace migrations. Time for which this process itself
    stood still is not the endpoint's and is taken off.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.reported_at: dict[str, float] = {}  # by endpoint: when a late echo was last reported

    def report(self, handle: SessionHandle, endpoint: str, sent: SentAt, now: float) -> None:
        """Takes the delay of one line that has come back, or is still missing, at `now`."""
        stalled = self.loop.stalled - sent.stalled
        delay = now - sent.at - stalled
        if delay < max(LEAST_DELAY, stalled):
            return
        if now - self.reported_at.get(endpoint, -math.inf) >= REPORT_INTERVAL:
            self.reported_at[endpoint] = now
            handle.report_message_delay(delay)
