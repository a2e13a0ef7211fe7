"""A voter's state for one role, and the rule that decides its vote."""

from __future__ import annotations

import math

import msgspec

from onyxhollow.leases.messages import Refusal, VoteRequest


class VoterSlot(msgspec.Struct, frozen=True):
    """State of one role at one voter.

    Attributes:
        term: Highest term that this voter granted or received from another process.
        holder: Process id of the holder of that term; "" if the lease was released or the holder is unknown.
        expires_at: Expiry of the lease on this voter's clock; -inf if this voter did not grant it.
    """

    term: int = 0
    holder: str = ""
    expires_at: float = -math.inf

    def remaining(self, now: float) -> float:
        """Return the seconds until the lease expires; 0 if no lease is active."""
        return max(0.0, self.expires_at - now) if self.holder else 0.0


def decide_vote(slot: VoterSlot, request: VoteRequest, now: float) -> VoterSlot | Refusal:
    """Return the slot after granting the vote, or the reason for refusing it."""
    if request.candidate == slot.holder and request.term == slot.term:  # renewal or retransmitted request
        expires_at = max(slot.expires_at, now + request.lease_duration)
        return VoterSlot(slot.term, slot.holder, expires_at)
    if slot.holder != request.candidate and slot.remaining(now) > 0.0:
        return Refusal.HELD
    if request.term <= slot.term:
        return Refusal.STALE_TERM
    return VoterSlot(request.term, request.candidate, now + request.lease_duration)
