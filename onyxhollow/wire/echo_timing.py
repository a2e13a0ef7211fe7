"""Delay between a line sent to an endpoint and its echo, and the delays reported to the policy."""

from __future__ import annotations

import math
from typing import NamedTuple

from onyxhollow.loop import Loop
from onyxhollow.session_handle import SessionHandle

MIN_DELAY_SECONDS = 0.01  # a shorter delay reflects the load of this core, not the endpoint
REPORT_INTERVAL_SECONDS = 1.0  # between two reports of late echoes from one endpoint


class SentLine(NamedTuple):
    """Loop time at which a line was sent, and the process's total stall time by then, in seconds."""

    sent_at: float
    stalled: float


class EchoMonitor:
    """Reports late echoes to the policy, at most once a second for each endpoint.

    If every connection reported each echo, a short pause of an endpoint would look like dozens of faults, and
    echoes of 0.2 ms would outweigh the handshake times that pace migrations. The time for which this
    process itself stalled is subtracted from the delay, and a delay shorter than that stall is not reported.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.reported_at: dict[str, float] = {}  # by endpoint: when a late echo was last reported

    def report(self, handle: SessionHandle, endpoint: str, sent: SentLine, now: float) -> None:
        """Process the delay of a line whose echo arrived, or is still missing, at `now`."""
        stalled = self.loop.stalled - sent.stalled
        delay = now - sent.sent_at - stalled
        if delay < max(MIN_DELAY_SECONDS, stalled):
            return
        if now - self.reported_at.get(endpoint, -math.inf) >= REPORT_INTERVAL_SECONDS:
            self.reported_at[endpoint] = now
            handle.report_message_delay(delay)
