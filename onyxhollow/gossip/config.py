"""Settings of load gossip."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Settings of load gossip and their trade-offs. Times are in seconds."""

    push_interval: float = 0.25
    """Time between pushes of reports. A shorter interval spreads them sooner but sends more datagrams."""
    fanout: int = 2
    """Number of members that each push is sent to."""
    poll_interval: float = 6.0
    """Time between polls of an owned endpoint. Shorter gives newer loads but costs endpoints more work."""
    report_interval: float = 1.0
    """Time between reports on an owned endpoint."""
    count_refresh_interval: float = 5.0
    """Time after which unchanged counts are sent again, which limits how long a lost count is missing."""
    audit_interval: float = 30.0
    """Mean time between audits of an endpoint by members that do not own it."""
