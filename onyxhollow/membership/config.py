"""Settings of the membership protocol, each with its trade-off."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """Settings of SWIM and Lifeguard. Times are seconds unless said otherwise."""

    period: float = 1.0
    """From probe to probe. Shorter finds failures sooner and sends more datagrams."""
    timeout: float = 0.3
    """For a direct answer, before indirect probes are sent. At least the round trip of a healthy link."""
    indirect_probes: int = 3
    """Members that probe for this one. More are less often misled by one bad link and send more datagrams."""
    retransmit_multiplier: float = 3.0
    """Times log10 of the fleet's size: how many members each change is sent to by each member."""
    suspicion_multiplier: float = 4.0
    """Periods times log10 of the fleet's size: shortest time from suspect to dead."""
    max_suspicion_multiplier: float = 3.0
    """Times the shortest suspicion timeout while no other member shares the suspicion (Lifeguard)."""
    max_health_score: int = 8
    """Steps by which a member that is slow itself waits longer and probes less often (Lifeguard)."""
    sync_interval: float = 10.0
    """Between anti-entropy exchanges. They repair what dissemination has missed, and partitions."""
    dead_retention: float = 300.0
    """The dead are remembered so long, and contacted: a partition that lasts longer heals by seeds alone."""
