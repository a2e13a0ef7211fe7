"""Messages about shared addresses between members, and the records that voters store.

MessagePack by msgspec, structs as arrays: tags and the order of fields are fixed by the wire and the disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

PAGE_BYTES = 900  # of rows in one message: a datagram less seal, names and what shares it
T = TypeVar("T")


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message between members."""


class RouteStatus(msgspec.Struct, array_like=True, frozen=True):
    """One address at one site."""

    address: str
    preference: int
    cause: str
    age: float  # seconds since the preference last changed
    flaps: float
    is_last: bool = False  # the site must not withdraw it by itself, whatever it sees
    installed: bool = True  # the routing daemon has taken the preference


class RouteAssignment(Message, frozen=True, tag=1):
    """From the controller to a site's announcer: its addresses; without rows: only that it lives."""

    term: int  # of the controller
    number: int  # rises within a term
    site: str
    rows: list[RouteStatus]


class SiteReport(Message, frozen=True, tag=2):
    """From a site's announcer to the controller, in answer to each assignment and by itself."""

    site: str
    controller_term: int  # of the newest assignment received
    assignment_number: int
    announcer_term: int
    guard_ready: bool  # the route guard answers, and has a routing daemon
    rows: list[RouteStatus]


class AddressHealth(msgspec.Struct, array_like=True, frozen=True):
    """How one member sees an address at its site."""

    address: str
    health: float  # 0 to 1: the least of all that the member looks at
    reason: str
    load: float  # open sessions
    arrival_rate: float  # new sessions a second


class HealthReport(Message, frozen=True, tag=3):
    """From each member to the controller."""

    site: str
    rows: list[AddressHealth]


class Override(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """An operator's override; the newest of a kind for an address at a site counts."""

    id: str
    number: int  # higher than all that its receiver knew of
    verb: str  # a key of overrides.VERBS
    address: str  # "": all
    site: str
    operator: str
    reason: str
    given_at: float  # Unix seconds
    expires_at: float  # Unix seconds; 0: never


class DecisionRecord(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """A line of the history: one change that the controller has decided."""

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
    """Asks a voter to store records durably."""

    rows: list[StoredRecord]


class StoreAcknowledgement(Message, frozen=True, tag=5):
    """The records are on this voter's disk; see `record_id`."""

    voter: str
    ids: list[str]


class OverrideQuery(Message, frozen=True, tag=6):
    """Asks a voter for its overrides; an equal digest needs none of them."""

    digest: int


class OverrideResponse(Message, frozen=True, tag=7):
    """A voter's overrides, or a page of them; none if the digests are equal."""

    voter: str
    digest: int
    count: int  # of all overrides that the voter has
    overrides: list[Override]


class ControllerAnnouncement(Message, frozen=True, tag=8):
    """Names the controller, for members that joined after it took over."""

    term: int
    process_id: str


class QueryRequest(Message, frozen=True, tag=9):
    """A member asks the controller, or for the history a voter, on behalf of an operator."""

    id: str
    kind: str  # view, plan, history
    override: Override | None = None


class QueryResponsePart(Message, frozen=True, tag=10):
    """A part of the answer: compressed JSON, cut into pieces."""

    id: str
    part: int
    parts: int
    body: bytes


class DrainRequest(Message, frozen=True, tag=13):
    """From a site's announcer to its members: move the open connections of what an override has withdrawn."""

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


def paginate(rows: Iterable[T], page_bytes: int = PAGE_BYTES) -> Iterator[list[T]]:
    """Rows in pages that fit into a datagram each; a larger message would never be sent.

    A single row is bounded where it is made.
    """
    page: list[T] = []
    size = 0
    for row in rows:
        row_size = len(encode(row))
        if page and size + row_size > page_bytes:
            yield page
            page = []
            size = 0
        page.append(row)
        size += row_size
    if page:
        yield page


def truncate_utf8(text: str, max_bytes: int) -> str:
    """The longest beginning of a text that takes at most `max_bytes` in UTF-8."""
    return text.encode()[:max_bytes].decode(errors="ignore")


def record_id(record: StoredRecord) -> str:
    """How a record is named when it is acknowledged."""
    return record.id if isinstance(record, Override) else f"{record.term}.{record.number}"
