"""How long a lease lasts for its holder, and the intervals that follow from it.

The lease is counted from before the voters were asked, on the holder's own clock, and lasts
`LeaseTiming.holder_span` seconds: the lease's duration less the stated bound on clock rates. With rates
within 1 - bound and 1 + bound of true time, a voter's grant lasts at least duration / (1 + bound), and the
holder's span ends at the latest after span / (1 - bound): the same.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long a lease lasts, and the intervals that follow from it.

    Attributes:
        duration: Seconds for which a voter grants a lease, on the voter's clock.
        rate_bound: Fraction by which any clock's rate may be off from true time.
    """

    duration: float = 3.0
    rate_bound: float = 0.01

    @property
    def holder_span(self) -> float:
        """Seconds for which the holder takes a lease to last, from before it sent the requests."""
        return self.duration * (1.0 - self.rate_bound) / (1.0 + self.rate_bound)

    @property
    def renewal_interval(self) -> float:
        """Seconds from one renewal to the next."""
        return self.duration / 3.0

    @property
    def retransmit_interval(self) -> float:
        """Seconds after which a request is sent again to the voters that have not answered."""
        return self.duration / 16.0

    @property
    def response_timeout(self) -> float:
        """Seconds for which a candidate that holds nothing waits for responses."""
        return self.duration / 4.0
