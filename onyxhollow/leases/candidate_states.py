"""States of a candidate and the table of its state transitions."""

from __future__ import annotations

from enum import Enum


class CandidateState(Enum):
    """State of a candidate; `/control/fleet` shows the values."""

    IDLE = "idle"
    PRE_VOTE = "looking"
    REQUESTING = "asking"
    HOLDING = "holding"


class CandidateEvent(Enum):
    """Event that changes the state of a candidate."""

    PRE_VOTE_STARTED = "pre-vote started"
    REQUEST_STARTED = "request started"
    MAJORITY_GRANTED = "majority granted"
    ATTEMPT_ABANDONED = "fell back"
    LEASE_ENDED = "lease ended"


NEXT_STATE = {
    (CandidateState.IDLE, CandidateEvent.PRE_VOTE_STARTED): CandidateState.PRE_VOTE,
    # The previous holder offered the lease (any state except HOLDING), or the pre-vote got a majority.
    (CandidateState.IDLE, CandidateEvent.REQUEST_STARTED): CandidateState.REQUESTING,
    (CandidateState.PRE_VOTE, CandidateEvent.REQUEST_STARTED): CandidateState.REQUESTING,
    (CandidateState.REQUESTING, CandidateEvent.REQUEST_STARTED): CandidateState.REQUESTING,
    (CandidateState.REQUESTING, CandidateEvent.MAJORITY_GRANTED): CandidateState.HOLDING,
    # A majority refused, the attempt timed out, or a voter reported a newer voter set. Late responses can
    # report these in IDLE too.
    (CandidateState.IDLE, CandidateEvent.ATTEMPT_ABANDONED): CandidateState.IDLE,
    (CandidateState.PRE_VOTE, CandidateEvent.ATTEMPT_ABANDONED): CandidateState.IDLE,
    (CandidateState.REQUESTING, CandidateEvent.ATTEMPT_ABANDONED): CandidateState.IDLE,
    (CandidateState.HOLDING, CandidateEvent.LEASE_ENDED): CandidateState.IDLE,
}


class CandidateStateError(RuntimeError):
    """An event that NEXT_STATE does not allow in the current state; indicates a programming error."""

    def __init__(self, role: str, state: CandidateState, event: CandidateEvent) -> None:
        expected = ", ".join(event.value for from_state, event in NEXT_STATE if from_state is state)
        super().__init__(f"{role}: expected one of {expected} in state {state.value}, got {event.value}")
