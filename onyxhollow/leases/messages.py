"""Messages between candidates and voters, and the records that a voter stores.

Each message and record is encoded as a msgpack array with a numeric tag. Tags, the order of fields and the
values of `Refusal` define the encoding and must not change; field names are not encoded and may.
`tests/test_compatibility_fleet.py` compares the encoding with recorded bytes.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

VOTERS_ROLE = "voters"  # its holder may change the voter set; its term is the ballot number of proposals


class VoterSet(msgspec.Struct, array_like=True, frozen=True):
    """Set of voters, identified by member name.

    Attributes:
        version: Number that increases by one with each reconfiguration.
        names: Three, five or seven member names.
    """

    version: int
    names: tuple[str, ...]

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.names) // 2 + 1


class PendingVoterSet(msgspec.Struct, array_like=True, frozen=True):
    """Voter set that a voter has accepted and that may not be committed yet.

    Attributes:
        term: Term of the VOTERS_ROLE lease under which it was proposed.
        voter_set: The proposed voters.
    """

    term: int
    voter_set: VoterSet


class Refusal(Enum):
    """Reason for refusing a vote."""

    NONE = ""  # the vote is granted
    HELD = "held"  # another process holds an unexpired lease
    STALE_TERM = "term"  # the term is not higher than every earlier term
    STALE_VOTER_SET = "council"  # the candidate uses an older voter set than this voter
    VOTER_BEHIND = "behind"  # the candidate uses a newer voter set than this voter
    NOT_A_VOTER = "no voter"
    RECOVERING = "no memory yet"  # the voter has no records and has not recovered them from its peers yet
    RECONFIGURING = "voters change"  # the voter has accepted a voter set that is not committed yet
    OUT_OF_BOUNDS = "bounds"  # too many roles, or lease duration not in (0, the voter's own duration]
    OTHER = "other"  # reason that this version does not define

    @classmethod
    def _missing_(cls, value: object) -> Refusal | None:
        return cls.OTHER if isinstance(value, str) else None


class KnownTerm(NamedTuple):
    """Highest known term of a role, and the process that holds or held it."""

    term: int
    holder: str


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages and stored records."""


class VoterMessage(NamedTuple):
    """Message and the name of the voter to send it to."""

    voter: str
    message: Message


class VoteRequest(Message, frozen=True, tag=1):
    """Request of a candidate for a lease that begins when the voter receives the request.

    Attributes:
        role: Name of the role.
        term: Term that the candidate requests; for a renewal, the term of the current lease.
        candidate: Process id of the candidate.
        round: Number that the response repeats, used to match it to this request.
        lease_duration: Requested duration in seconds.
        voter_set_version: Version of the voter set that the candidate uses.
        pre_vote: If true, the voter reports whether it would grant the vote and leaves its state unchanged.
    """

    role: str
    term: int
    candidate: str
    round: int
    lease_duration: float
    voter_set_version: int
    pre_vote: bool = False


class VoteResponse(Message, frozen=True, tag=2):
    """Response of a voter to a VoteRequest.

    Attributes:
        role: Copied from the request.
        term: Copied from the request.
        round: Copied from the request.
        granted: Whether the vote is granted; for a pre-vote, whether it would be.
        highest_term: Highest term of the role at this voter before the request.
        holder: Process id of the holder of the lease active at this voter; "" if none is.
        remaining: Seconds until that lease expires, or until a recovering voter may grant votes.
        refusal: Reason for refusing the vote.
        voter_set: The voter's voter set if it is newer than the candidate's; None otherwise.
        pending: For VOTERS_ROLE only: voter set that this voter has accepted, possibly without a majority.
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
    """Notice that the holder has ended its lease and will not act under this term again."""

    role: str
    term: int
    holder: str


class LeaseOffer(Message, frozen=True, tag=4):
    """Notice to the successor that the lease is free and should be requested immediately."""

    role: str
    term: int


class StateQuery(Message, frozen=True, tag=5):
    """Query of a recovering voter to the other voters for their known terms."""

    round: int


class StateResponse(Message, frozen=True, tag=6):
    """Response of a voter to a StateQuery.

    Attributes:
        round: Copied from the query.
        recovering: Whether the responding voter is itself recovering.
        known_terms: Highest terms at the responding voter, by role.
        voter_set: Voter set of the responding voter.
    """

    round: int
    recovering: bool
    known_terms: dict[str, KnownTerm]
    voter_set: VoterSet


class ReconfigurationRequest(Message, frozen=True, tag=7):
    """Proposal of a voter set by the holder of VOTERS_ROLE, under the term of its lease."""

    term: int
    round: int
    voter_set: VoterSet


class ReconfigurationResponse(Message, frozen=True, tag=8):
    """Response of a voter to a ReconfigurationRequest.

    Attributes:
        round: Copied from the request.
        accepted: Whether the voter has accepted and stored the proposal.
        highest_term: Highest term of VOTERS_ROLE at this voter.
        voter_set_version: Version of the voter set that is in force at this voter.
    """

    round: int
    accepted: bool
    highest_term: int
    voter_set_version: int


class ConfigurationCommitted(Message, frozen=True, tag=9):
    """Voter set that is in force because a majority of the previous one accepted it."""

    voter_set: VoterSet


class HandOverCommand(Message, frozen=True, tag=10):
    """Command of an operator to the holder of a role to hand over its lease.

    Attributes:
        role: Name of the role.
        target: Member that should hold the role next; "" for the first candidate in the ranking.
        forwarded: Whether a process that is not the holder forwarded the command; it is forwarded only once.
    """

    role: str
    target: str = ""
    forwarded: bool = False


class LeaderAnnouncement(Message, frozen=True, tag=11):
    """Broadcast to all members of the process that holds a role and its term."""

    role: str
    term: int
    holder: str


class ReplaceVoterCommand(Message, frozen=True, tag=12):
    """Command of an operator to the holder of VOTERS_ROLE to replace a voter by another member."""

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


# Records that a voter stores before it responds.


class LeaseGrant(Message, frozen=True, tag=20):
    """Granted vote, or a term received from another voter.

    Attributes:
        role: Name of the role.
        term: Term that may not be granted to any other candidate from this record on.
        holder: Process id of the holder; "" if unknown.
        lease_duration: Seconds; 0 if this voter did not grant the lease or the lease was released.
    """

    role: str
    term: int
    holder: str
    lease_duration: float


class LeaseReleased(Message, frozen=True, tag=21):
    """Released lease; its term may not be granted again."""

    role: str
    term: int


class VoterSetChanged(Message, frozen=True, tag=22):
    """Voter set in force from this record on."""

    voter_set: VoterSet


class ProposalAccepted(Message, frozen=True, tag=23):
    """Proposed voter set that this voter has accepted."""

    pending: PendingVoterSet


class RecoveryCompleted(Message, frozen=True, tag=24):
    """Marks the records as complete: a voter restored from them does not have to recover."""


VoterRecord = LeaseGrant | LeaseReleased | VoterSetChanged | ProposalAccepted | RecoveryCompleted

MESSAGE_DECODER = msgspec.msgpack.Decoder(LeaseMessage)
RECORD_DECODER = msgspec.msgpack.Decoder(VoterRecord)
encode = msgspec.msgpack.Encoder().encode
