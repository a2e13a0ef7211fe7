"""Settings of the membership protocol and their trade-offs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """Settings of SWIM and Lifeguard. Times are in seconds unless noted otherwise."""

    period: float = 1.0
    """Time between probes. A shorter period detects failures sooner but sends more datagrams."""
    timeout: float = 0.3
    """Wait for a direct answer before indirect probes are sent. At least a healthy link's round-trip time."""
    indirect_probes: int = 3
    """Relays per indirect probe. More relays tolerate more bad links but send more datagrams."""
    retransmit_multiplier: float = 3.0
    """Each member sends a change to this many members times log10 of the fleet's size."""
    suspicion_multiplier: float = 4.0
    """Minimum time from suspect to dead, in periods times log10 of the fleet's size."""
    max_suspicion_multiplier: float = 3.0
    """Factor on the minimum suspicion timeout if no other member confirms the suspicion (Lifeguard)."""
    max_health_score: int = 8
    """Limit of the health score by which a slow process extends its timeouts and periods (Lifeguard)."""
    sync_interval: float = 10.0
    """Maximum time between anti-entropy exchanges, which repair missed updates and partitions."""
    dead_retention: float = 300.0
    """Time for which dead members are kept and contacted. A longer partition heals through seeds only."""
