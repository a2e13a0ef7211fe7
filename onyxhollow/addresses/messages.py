"""What is said of addresses between members, and what is written down: MessagePack by msgspec, as arrays."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

ROOM = 900  # bytes of rows in one message: a datagram less seal, names and what rides along
T = TypeVar("T")


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One thing said."""


class RouteStatus(msgspec.Struct, array_like=True, frozen=True):
    """One address at one site."""

    address: str
    preference: int
    cause: str
    age: float  # seconds that it has stood so
    flaps: float
    is_last: bool = False  # it must stay, whatever is seen at the site alone
    installed: bool = True  # the speaker has been told, and has taken it


class RouteAssignment(Message, frozen=True, tag=1):
    """From the keeper to a site's announcer: all its addresses. Also the keeper's word that it is there."""

    term: int  # of the keeper
    number: int
    site: str
    rows: list[RouteStatus]


class SiteReport(Message, frozen=True, tag=2):
    """From a site's announcer to the keeper, in answer to each grant and by itself."""

    site: str
    controller_term: int  # of the keeper whose word is the newest here
    assignment_number: int
    announcer_term: int  # term of the announcer
    guard_ready: bool  # whether its gate answers, with a speaker
    rows: list[RouteStatus]


class AddressHealth(msgspec.Struct, array_like=True, frozen=True):
    """What one member says of an address at its site."""

    address: str
    health: float  # 0 to 1: the least of what follows
    reason: str
    load: float  # open sessions
    arrival_rate: float  # new sessions a second


class HealthReport(Message, frozen=True, tag=3):
    site: str
    rows: list[AddressHealth]


class Override(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """An operator's word; the newest of a kind for an address at a site counts."""

    id: str
    number: int  # higher than all that its taker knew of
    verb: str  # drain, undrain, pin, unpin, exclude, include
    address: str  # "": all
    site: str
    operator: str
    reason: str
    given_at: float  # Unix seconds
    expires_at: float  # Unix seconds; 0: until it is taken back


class DecisionRecord(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """A line of the history."""

    term: int
    number: int
    decided_at: float  # Unix seconds
    address: str
    site: str
    preference: int
    cause: str
    reason: str
    evidence: str


StoredRecord = Override | DecisionRecord


class StoreRequest(Message, frozen=True, tag=4):
    """Please write these down, for good."""

    rows: list[StoredRecord]


class StoreAcknowledgement(Message, frozen=True, tag=5):
    """They are on this voter's disk: ids of orders, term and number of decisions."""

    voter: str
    ids: list[str]


class OverrideQuery(Message, frozen=True, tag=6):
    """The keeper asks for the orders that a voter has; known: a digest of its own."""

    digest: int


class OverrideResponse(Message, frozen=True, tag=7):
    voter: str
    digest: int  # a digest of what it has
    count: int  # how many it has
    orders: list[Override]  # some of them; none if the asker has the same


class ControllerAnnouncement(Message, frozen=True, tag=8):
    """The keeper is here: for those who came after it."""

    term: int
    process_id: str


class QueryRequest(Message, frozen=True, tag=9):
    """A member asks the keeper, or for the history a voter, on behalf of an operator."""

    id: str
    kind: str  # view, plan, history
    override: Override | None = None


class QueryResponsePart(Message, frozen=True, tag=10):
    id: str
    part: int
    parts: int
    body: bytes  # of a compressed JSON text


class DrainRequest(Message, frozen=True, tag=13):
    """From a site's announcer to its members: these are withdrawn by an order, and open connections go."""

    site: str
    addresses: list[str]


MESSAGES = msgspec.msgpack.Decoder(
    RouteAssignment
    | SiteReport
    | HealthReport
    | StoreRequest
    | StoreAcknowledgement
    | OverrideQuery
    | OverrideResponse
    | ControllerAnnouncement
    | QueryRequest
    | QueryResponsePart
    | DrainRequest
)
STORED_RECORDS = msgspec.msgpack.Decoder(StoredRecord)
encode = msgspec.msgpack.Encoder().encode


def paginate(rows: Iterable[T], room: int = ROOM) -> Iterator[list[T]]:
    """Rows in messages that fit into a datagram each: a larger one is never sent, however often it is tried.
    A row by itself is bounded where it is made."""
    page: list[T] = []
    size = 0
    for row in rows:
        more = len(encode(row))
        if page and size + more > room:
            yield page
            page, size = [], 0
        page.append(row)
        size += more
    if page:
        yield page


def truncate_utf8(text: str, most: int) -> str:
    """The beginning of a text that takes at most so many bytes."""
    return text.encode()[:most].decode(errors="ignore")


def record_id(row: StoredRecord) -> str:
    """How a row is called when it is said to be kept."""
    return row.id if isinstance(row, Override) else f"{row.term}.{row.number}"
