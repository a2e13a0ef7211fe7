"""What voters and candidates say to one another, and what a voter writes down."""

from __future__ import annotations

import msgspec


class Council(msgspec.Struct, array_like=True, frozen=True):
    """The voters, by name. The version rises by one with each change."""

    version: int
    names: tuple[str, ...]

    @property
    def majority(self) -> int:
        return len(self.names) // 2 + 1


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One thing said."""


class Ask(Message, frozen=True, tag=1):
    """May I hold this duty for so many seconds from now? look: only tell me whether you would say yes."""

    duty: str
    term: int
    who: str
    round: int  # hands back which asking an answer belongs to
    lease: float
    version: int  # of the council that I know
    look: bool = False


class Answer(Message, frozen=True, tag=2):
    duty: str
    term: int  # as asked
    round: int
    yes: bool
    highest: int  # the highest term that this voter knows of
    holder: str = ""  # who has its word now
    left: float = 0.0  # seconds until that runs out
    why: str = ""
    council: Council | None = None  # a newer one than the asker's
    pending: Proposal | None = None  # to one who asks for VOTERS: what has been accepted, perhaps not by all


class Release(Message, frozen=True, tag=3):
    """I hold that no longer, and never will again under this term."""

    duty: str
    term: int
    who: str


class Offer(Message, frozen=True, tag=4):
    """To the one who is to follow: it is free now, ask at once."""

    duty: str
    term: int


class Recall(Message, frozen=True, tag=5):
    """A voter without its memory to the others: what do you remember?"""

    round: int


class Recalled(Message, frozen=True, tag=6):
    round: int
    blank: bool  # it has no memory either
    terms: dict[str, tuple[int, str]]  # by duty: highest term and whose it is
    council: Council


class Propose(Message, frozen=True, tag=7):
    """By the holder of VOTERS: these are to be the voters."""

    term: int
    round: int
    council: Council


class Accepted(Message, frozen=True, tag=8):
    round: int
    yes: bool
    highest: int
    version: int


class Learn(Message, frozen=True, tag=9):
    """These are the voters: a majority of those before has accepted it."""

    council: Council


class Command(Message, frozen=True, tag=10):
    """An operator's word to the holder. to: who is to follow; "": whoever is first."""

    duty: str
    to: str = ""
    passed: bool = False  # on by one who was taken for the holder


class Held(Message, frozen=True, tag=11):
    """For all to know: who holds what."""

    duty: str
    term: int
    who: str


class Change(Message, frozen=True, tag=12):
    """An operator's word to the holder of VOTERS: one voter goes, another comes."""

    remove: str
    add: str


class Proposal(msgspec.Struct, array_like=True, frozen=True):
    term: int
    council: Council


Messages = (
    Ask | Answer | Release | Offer | Recall | Recalled | Propose | Accepted | Learn | Command | Held | Change
)
VOTERS = "voters"  # the duty of changing the council; its term is the proposal's number


# Written by a voter before it answers.


class Granted(Message, frozen=True, tag=20):
    duty: str
    term: int
    who: str  # "": known of, not granted here
    lease: float


class Released(Message, frozen=True, tag=21):
    duty: str
    term: int


class Seated(Message, frozen=True, tag=22):
    council: Council


class Accepting(Message, frozen=True, tag=23):
    proposal: Proposal


class Remembers(Message, frozen=True, tag=24):
    """From here on this voter has a memory that can be built on."""


Rows = Granted | Released | Seated | Accepting | Remembers

ENCODER = msgspec.msgpack.Encoder()
MESSAGES = msgspec.msgpack.Decoder(Messages)
ROWS = msgspec.msgpack.Decoder(Rows)
encode = ENCODER.encode
