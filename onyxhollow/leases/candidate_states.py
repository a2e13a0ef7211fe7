"""The states of a candidate, and the one table of its transitions."""

from __future__ import annotations

from enum import Enum


class CandidateState(Enum):
    """What a candidate is doing; the values are shown by `/control/fleet`."""

    IDLE = "idle"
    PRE_VOTE = "looking"
    REQUESTING = "asking"
    HOLDING = "holding"


class CandidateEvent(Enum):
    """What moves a candidate from one state to another."""

    PRE_VOTE_STARTED = "pre-vote started"
    REQUEST_STARTED = "request started"
    MAJORITY_GRANTED = "majority granted"
    FELL_BACK = "fell back"
    LEASE_ENDED = "lease ended"


NEXT_STATE = {
    (CandidateState.IDLE, CandidateEvent.PRE_VOTE_STARTED): CandidateState.PRE_VOTE,
    # Offered by the holder before, in any state but HOLDING; or after a pre-vote with a majority.
    (CandidateState.IDLE, CandidateEvent.REQUEST_STARTED): CandidateState.REQUESTING,
    (CandidateState.PRE_VOTE, CandidateEvent.REQUEST_STARTED): CandidateState.REQUESTING,
    (CandidateState.REQUESTING, CandidateEvent.REQUEST_STARTED): CandidateState.REQUESTING,
    (CandidateState.REQUESTING, CandidateEvent.MAJORITY_GRANTED): CandidateState.HOLDING,
    # Refused by a majority, timed out, or a newer voter set; late responses tell of that in IDLE too.
    (CandidateState.IDLE, CandidateEvent.FELL_BACK): CandidateState.IDLE,
    (CandidateState.PRE_VOTE, CandidateEvent.FELL_BACK): CandidateState.IDLE,
    (CandidateState.REQUESTING, CandidateEvent.FELL_BACK): CandidateState.IDLE,
    (CandidateState.HOLDING, CandidateEvent.LEASE_ENDED): CandidateState.IDLE,
}


class CandidateStateError(RuntimeError):
    """An event that NEXT_STATE has no row for: a fault of the program."""

    def __init__(self, role: str, state: CandidateState, event: CandidateEvent) -> None:
        expected = ", ".join(each.value for from_state, each in NEXT_STATE if from_state is state)
        super().__init__(f"{role}: expected one of {expected} in state {state.value}, got {event.value}")
