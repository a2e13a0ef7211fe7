"""Changing the voters: what the holder of VOTERS does. Pure.

The term under which it holds is the number of a single-decree Paxos for the next version of the council: the
voters' yes to that term was the first phase, and told what they had accepted before. That goes first: a
majority may have accepted it already. What a majority of the *present* voters accepts is the council from
then on.
"""

from __future__ import annotations

from onyxhollow.leases.claim import Claim, Said
from onyxhollow.leases.messages import Accepted, Change, Council, Propose


class Changer:
    def __init__(self) -> None:
        self.wish: Change | None = None  # an operator's
        self.round = 0
        self.proposed: Council | None = None
        self.yes: frozenset[str] = frozenset()

    @property
    def busy(self) -> bool:
        return self.wish is not None or self.proposed is not None

    def wanted(self, claim: Claim, council: Council) -> Council | None:
        version = council.version + 1
        if claim.pending and claim.pending.council.version == version:
            return claim.pending.council
        if self.wish and self.wish.remove in council.names and self.wish.add not in council.names:
            names = [self.wish.add if name == self.wish.remove else name for name in council.names]
            return Council(version, tuple(names))
        return None

    def propose(self, now: float, claim: Claim, council: Council) -> Said:
        """Also again, while it has not been accepted. Nothing without holding VOTERS."""
        wanted = self.wanted(claim, council) if claim.holds(now) else None
        if wanted is None:
            self.wish = self.proposed = None
            return []
        self.round += 1
        self.proposed, self.yes = wanted, frozenset()
        return [(name, Propose(claim.term, self.round, wanted)) for name in council.names]

    def accepted(
        self, now: float, claim: Claim, council: Council, name: str, told: Accepted
    ) -> Council | None:
        """The council from now on, once a majority of the present one has said yes in this round."""
        if self.proposed is None or told.round != self.round or not told.yes or not claim.holds(now):
            return None
        if self.proposed.version != council.version + 1 or name not in council.names:
            return None
        self.yes |= {name}
        if len(self.yes) < council.majority:
            return None
        done, self.proposed, self.wish = self.proposed, None, None
        return done
