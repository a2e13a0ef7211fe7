"""Duration of a lease at its holder, and the protocol intervals derived from it.

The holder measures its lease on its own clock, starting before it sends the requests. The lease lasts
`LeaseTiming.holder_span` seconds there: the duration reduced by the configured bound on clock rates. If every
clock runs between 1 - bound and 1 + bound times true time, a voter's grant lasts at least duration / (1 +
bound) of true time, and the holder's span ends after at most span / (1 - bound). The two values are equal, so
the holder never outlasts the grant.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Duration of a lease and the intervals derived from it.

    Attributes:
        duration: Seconds for which a voter grants a lease, on the voter's clock.
        rate_bound: Maximum deviation of any clock's rate from true time, as a fraction.
    """

    duration: float = 3.0
    rate_bound: float = 0.01

    @property
    def holder_span(self) -> float:
        """Seconds for which the holder may use a lease, counted from just before it sent the requests."""
        return self.duration * (1.0 - self.rate_bound) / (1.0 + self.rate_bound)

    @property
    def renewal_interval(self) -> float:
        """Seconds between renewals."""
        return self.duration / 3.0

    @property
    def retransmit_interval(self) -> float:
        """Seconds until a request is sent again to voters that have not responded."""
        return self.duration / 16.0

    @property
    def response_timeout(self) -> float:
        """Seconds that a candidate without a lease waits for responses."""
        return self.duration / 4.0
