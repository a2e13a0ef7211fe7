"""Messages about shared addresses between members, and the records that voters store.

The encoding is MessagePack with structs as arrays. Tags and the order of fields must not change: other
versions read them from the network and from disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

MAX_PAGE_BYTES = 900  # rows in one message; the rest is for authentication code, names and other messages
T = TypeVar("T")


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base class of the messages between members."""


class RouteStatus(msgspec.Struct, array_like=True, frozen=True):
    """The state of one address at one site."""

    address: str
    preference: int
    cause: str
    age: float  # seconds since the preference last changed
    flaps: float
    is_last: bool = False  # the site must not withdraw the route on its own, whatever its health
    installed: bool = True  # the routing daemon has confirmed the preference


class RouteAssignment(Message, frozen=True, tag=1):
    """Sent by the controller to a site's announcer: the site's routes. Without rows it is a heartbeat."""

    term: int  # of the controller
    number: int  # increases within a term
    site: str
    rows: list[RouteStatus]


class SiteReport(Message, frozen=True, tag=2):
    """Sent by a site's announcer to the controller, in reply to each assignment and periodically."""

    site: str
    controller_term: int  # of the newest assignment received
    assignment_number: int
    announcer_term: int
    guard_ready: bool  # the route guard responds and is connected to its routing daemon
    rows: list[RouteStatus]


class AddressHealth(msgspec.Struct, array_like=True, frozen=True):
    """The health of an address at a site, as measured by one member."""

    address: str
    health: float  # 0 to 1: the lowest of the member's measurements
    reason: str
    load: float  # open sessions
    arrival_rate: float  # new sessions per second


class HealthReport(Message, frozen=True, tag=3):
    """Sent by each member to the controller."""

    site: str
    rows: list[AddressHealth]


class Override(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """An operator's override; for each kind, address and site only the newest one has an effect."""

    id: str
    number: int  # higher than that of every override known to the member that created it
    verb: str  # a key of overrides.VERBS
    address: str  # empty: all addresses
    site: str
    operator: str
    reason: str
    given_at: float  # Unix seconds
    expires_at: float  # Unix seconds; 0: never


class DecisionRecord(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """An entry of the history: one change that the controller has decided."""

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
    """Request to a voter to store records durably."""

    rows: list[StoredRecord]


class StoreAcknowledgement(Message, frozen=True, tag=5):
    """Confirmation that records are on this voter's disk; `record_id` gives their ids."""

    voter: str
    ids: list[str]


class OverrideQuery(Message, frozen=True, tag=6):
    """Request to a voter for its overrides; if its digest is the same, it sends none."""

    digest: int


class OverrideResponse(Message, frozen=True, tag=7):
    """A voter's overrides or one page of them; empty if the digests are equal."""

    voter: str
    digest: int
    count: int  # of all overrides that the voter stores
    overrides: list[Override]


class ControllerAnnouncement(Message, frozen=True, tag=8):
    """Periodic broadcast of the controller's identity, for members that joined after its election."""

    term: int
    process_id: str


class QueryRequest(Message, frozen=True, tag=9):
    """An operator's query, sent by a member to the controller, or to a voter for the history."""

    id: str
    kind: str  # "view", "plan" or "history"
    override: Override | None = None


class QueryResponsePart(Message, frozen=True, tag=10):
    """One part of the response: compressed JSON, split to fit into datagrams."""

    id: str
    part: int
    parts: int
    body: bytes


class DrainRequest(Message, frozen=True, tag=13):
    """Sent by a site's announcer to its members: move connections off addresses that an override withdrew."""

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


def paginate(rows: Iterable[T], page_bytes: int = MAX_PAGE_BYTES) -> Iterator[list[T]]:
    """Split rows into pages that each fit into a datagram; a larger message would never be sent.

    A single row is not split: the code that creates a row limits its size.
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
    """Return the longest prefix of a text that takes at most `max_bytes` bytes in UTF-8."""
    return text.encode()[:max_bytes].decode(errors="ignore")


def record_id(record: StoredRecord) -> str:
    """Return the id by which a record is acknowledged."""
    return record.id if isinstance(record, Override) else f"{record.term}.{record.number}"
