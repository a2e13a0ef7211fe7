"""Messages between candidates and voters, and the records that a voter stores.

All are msgpack arrays with a numeric tag: the tag, the order of the fields and the values of `Refusal` are
the encoding and stay, whatever a field is called here. `tests/test_compatibility_fleet.py` holds that.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

VOTERS_ROLE = "voters"  # the role of changing the voter set; its term is the number of the proposal


class VoterSet(msgspec.Struct, array_like=True, frozen=True):
    """The voters, by member name.

    Attributes:
        version: Rises by one with each reconfiguration.
        names: Three, five or seven member names.
    """

    version: int
    names: tuple[str, ...]

    @property
    def majority(self) -> int:
        """How many voters make a majority."""
        return len(self.names) // 2 + 1


class PendingVoterSet(msgspec.Struct, array_like=True, frozen=True):
    """A voter set that a voter has accepted and that may not be committed yet.

    Attributes:
        term: Term of the lease of VOTERS_ROLE under which it was proposed.
        voter_set: The proposed voters.
    """

    term: int
    voter_set: VoterSet


class Refusal(Enum):
    """Why a voter refuses a vote."""

    NONE = ""  # it does not: the vote is granted
    HELD = "held"  # another process's lease is running
    STALE_TERM = "term"  # the term is not higher than all before
    STALE_VOTER_SET = "council"  # the candidate knows an older voter set than this voter
    VOTER_BEHIND = "behind"  # the candidate knows a newer voter set than this voter
    NOT_A_VOTER = "no voter"
    RECOVERING = "no memory yet"  # the voter has lost its memory and has not recovered it
    RECONFIGURING = "voters change"  # the voter has accepted another voter set
    OUT_OF_BOUNDS = "bounds"  # too many roles, or a lease duration outside (0, the voter's own]
    OTHER = "other"  # sent by a version that knows more reasons than this one

    @classmethod
    def _missing_(cls, value: object) -> Refusal | None:
        return cls.OTHER if isinstance(value, str) else None


class KnownTerm(NamedTuple):
    """The highest term of a role that a voter knows of, and the process that has or had it."""

    term: int
    holder: str


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message, or one stored record."""


class VoterMessage(NamedTuple):
    """A message and the name of the voter that it goes to."""

    voter: str
    message: Message


class VoteRequest(Message, frozen=True, tag=1):
    """A candidate requests a lease that begins when the voter receives this.

    Attributes:
        role: Name of the role.
        term: The candidate's term; a renewal has that of the running lease.
        candidate: Process id of the candidate.
        round: Returned with the response, so that it can be matched to this request.
        lease_duration: Seconds.
        voter_set_version: Version of the voter set that the candidate knows.
        pre_vote: Only answer whether the vote would be granted; changes nothing at the voter.
    """

    role: str
    term: int
    candidate: str
    round: int
    lease_duration: float
    voter_set_version: int
    pre_vote: bool = False


class VoteResponse(Message, frozen=True, tag=2):
    """A voter's answer to a VoteRequest.

    Attributes:
        role: As requested.
        term: As requested.
        round: As requested.
        granted: Whether the vote is granted, or would be if it is a pre-vote.
        highest_term: The highest term of the role that the voter knew of before.
        holder: Process id of the holder of the lease that is running at this voter; "" if none is.
        remaining: Seconds until that lease ends, or until a recovering voter may grant again.
        refusal: Why the vote is refused.
        voter_set: A newer one than the candidate's.
        pending: For VOTERS_ROLE alone: what this voter has accepted, perhaps not a majority of them.
    """

    role: str
    term: int
    round: int
    granted: bool
    highest_term: int
    holder: str = ""
    remaining: float = 0.0
    refusal: Refusal = Refusal.NONE
    voter_set: VoterSet | None = None
    pending: PendingVoterSet | None = None


class ReleaseNotice(Message, frozen=True, tag=3):
    """The holder has ended its lease and never acts under this term again."""

    role: str
    term: int
    holder: str


class LeaseOffer(Message, frozen=True, tag=4):
    """To the process that is to follow: the lease is free now, request it at once."""

    role: str
    term: int


class StateQuery(Message, frozen=True, tag=5):
    """A recovering voter queries the other voters for the terms that they know of."""

    round: int


class StateResponse(Message, frozen=True, tag=6):
    """A voter's answer to a StateQuery.

    Attributes:
        round: As queried.
        recovering: The answering voter has lost its memory as well.
        known_terms: By role.
        voter_set: The one that the answering voter knows.
    """

    round: int
    recovering: bool
    known_terms: dict[str, KnownTerm]
    voter_set: VoterSet


class ReconfigurationRequest(Message, frozen=True, tag=7):
    """The holder of VOTERS_ROLE proposes a voter set under the term of its lease."""

    term: int
    round: int
    voter_set: VoterSet


class ReconfigurationResponse(Message, frozen=True, tag=8):
    """A voter's answer to a ReconfigurationRequest.

    Attributes:
        round: As requested.
        accepted: Whether the voter has accepted and stored the proposal.
        highest_term: The highest term of VOTERS_ROLE that the voter knows of.
        voter_set_version: Version of the voter set that is in force at this voter.
    """

    round: int
    accepted: bool
    highest_term: int
    voter_set_version: int


class ConfigurationCommitted(Message, frozen=True, tag=9):
    """A voter set that a majority of the one before has accepted: it is in force."""

    voter_set: VoterSet


class HandOverCommand(Message, frozen=True, tag=10):
    """An operator's command to the holder of a role.

    Attributes:
        role: Name of the role.
        target: Member that is to follow; "": whichever is first in the ranking.
        forwarded: Passed on by a process that was taken for the holder; not passed on again.
    """

    role: str
    target: str = ""
    forwarded: bool = False


class LeaderAnnouncement(Message, frozen=True, tag=11):
    """Broadcast to all members: which process holds a role, and under which term."""

    role: str
    term: int
    holder: str


class ReplaceVoterCommand(Message, frozen=True, tag=12):
    """An operator's command to the holder of VOTERS_ROLE: one voter for another member."""

    remove: str
    add: str


LeaseMessage = (
    VoteRequest
    | VoteResponse
    | ReleaseNotice
    | LeaseOffer
    | StateQuery
    | StateResponse
    | ReconfigurationRequest
    | ReconfigurationResponse
    | ConfigurationCommitted
    | HandOverCommand
    | LeaderAnnouncement
    | ReplaceVoterCommand
)


# Records of a voter, stored before it answers.


class LeaseGrant(Message, frozen=True, tag=20):
    """A vote that was granted, or a term that the voter learnt of.

    Attributes:
        role: Name of the role.
        term: The term that is used up from here on.
        holder: Process id; "" if unknown.
        lease_duration: Seconds; 0 if the lease was not granted by this voter or has been released.
    """

    role: str
    term: int
    holder: str
    lease_duration: float


class LeaseReleased(Message, frozen=True, tag=21):
    """The holder has returned the lease; its term stays used up."""

    role: str
    term: int


class VoterSetChanged(Message, frozen=True, tag=22):
    """The voter set in force from here on."""

    voter_set: VoterSet


class ProposalAccepted(Message, frozen=True, tag=23):
    """A proposed voter set that this voter has accepted."""

    pending: PendingVoterSet


class RecoveryCompleted(Message, frozen=True, tag=24):
    """From here on the records hold all that this voter has to know."""


VoterRecord = LeaseGrant | LeaseReleased | VoterSetChanged | ProposalAccepted | RecoveryCompleted

MESSAGE_DECODER = msgspec.msgpack.Decoder(LeaseMessage)
RECORD_DECODER = msgspec.msgpack.Decoder(VoterRecord)
encode = msgspec.msgpack.Encoder().encode
