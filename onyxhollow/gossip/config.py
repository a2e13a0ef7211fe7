"""Settings of load gossip."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Settings of load gossip, with their trade-offs. Times are seconds."""

    push_interval: float = 0.25
    """From one push of reports to the next. Shorter spreads them sooner and sends more datagrams."""
    fanout: int = 2
    """Members that each push goes to."""
    poll_interval: float = 6.0
    """From poll to poll of an owned endpoint. Shorter knows loads better and costs endpoints more."""
    report_interval: float = 1.0
    """From report to report on an owned endpoint."""
    count_refresh_interval: float = 5.0
    """After which counts are sent again that have not changed: lost ones are missing so long at the most."""
    audit_interval: float = 30.0
    """In which each endpoint is polled about once by a member that does not own it."""
