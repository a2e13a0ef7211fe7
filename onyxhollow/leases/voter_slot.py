"""What a voter holds of one role, and the rule by which it votes."""

from __future__ import annotations

import math

import msgspec

from onyxhollow.leases.messages import Refusal, VoteRequest


class VoterSlot(msgspec.Struct, frozen=True):
    """One role at one voter.

    Attributes:
        term: The highest term granted or learnt of.
        holder: Process id of whoever has that term; "" if it was released or is not known.
        expires_at: End of the lease on this voter's clock; -inf if this voter did not grant it.
    """

    term: int = 0
    holder: str = ""
    expires_at: float = -math.inf

    def remaining(self, now: float) -> float:
        """Seconds until the lease ends; 0 if none is running."""
        return max(0.0, self.expires_at - now) if self.holder else 0.0


def decide_vote(slot: VoterSlot, request: VoteRequest, now: float) -> VoterSlot | Refusal:
    """The slot if the vote is granted, or the reason why it is refused."""
    if request.candidate == slot.holder and request.term == slot.term:  # a renewal, or a repeated request
        expires_at = max(slot.expires_at, now + request.lease_duration)
        return VoterSlot(slot.term, slot.holder, expires_at)
    if slot.holder != request.candidate and slot.remaining(now) > 0.0:
        return Refusal.HELD
    if request.term <= slot.term:
        return Refusal.STALE_TERM
    return VoterSlot(request.term, request.candidate, now + request.lease_duration)
