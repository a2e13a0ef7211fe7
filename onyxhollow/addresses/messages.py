"""What is said of addresses between members, and what is written down: MessagePack by msgspec, as arrays."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

ROOM = 900  # bytes of rows in one message: a datagram less seal, names and what rides along
T = TypeVar("T")


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One thing said."""


class Row(msgspec.Struct, array_like=True, frozen=True):
    """One address at one site."""

    address: str
    standing: int
    cause: str
    age: float  # seconds that it has stood so
    flaps: float
    last: bool = False  # it must stay, whatever is seen at the site alone
    carried_out: bool = True  # the speaker has been told, and has taken it


class Grant(Message, frozen=True, tag=1):
    """From the keeper to a site's announcer: all its addresses. Also the keeper's word that it is there."""

    term: int  # of the keeper
    number: int
    site: str
    rows: list[Row]


class Report(Message, frozen=True, tag=2):
    """From a site's announcer to the keeper, in answer to each grant and by itself."""

    site: str
    term: int  # of the keeper whose word is the newest here
    number: int
    announcer: int  # term of the announcer
    gate: bool  # whether its gate answers, with a speaker
    rows: list[Row]


class Seen(msgspec.Struct, array_like=True, frozen=True):
    """What one member says of an address at its site."""

    address: str
    health: float  # 0 to 1: the least of what follows
    reason: str
    load: float  # open sessions
    coming: float  # new sessions a second


class Evidence(Message, frozen=True, tag=3):
    site: str
    rows: list[Seen]


class Order(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """An operator's word; the newest of a kind for an address at a site counts."""

    id: str
    number: int  # higher than all that its taker knew of
    verb: str  # drain, undrain, pin, unpin, exclude, include
    address: str  # "": all
    site: str
    who: str
    why: str
    given: float  # Unix seconds
    until: float  # Unix seconds; 0: until it is taken back


class Decided(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """A line of the history."""

    term: int
    number: int
    at: float  # Unix seconds
    address: str
    site: str
    standing: int
    cause: str
    why: str
    evidence: str


Written = Order | Decided


class Keep(Message, frozen=True, tag=4):
    """Please write these down, for good."""

    rows: list[Written]


class Kept(Message, frozen=True, tag=5):
    """They are on this voter's disk: ids of orders, term and number of decisions."""

    voter: str
    ids: list[str]


class Want(Message, frozen=True, tag=6):
    """The keeper asks for the orders that a voter has; known: a digest of its own."""

    known: int


class Have(Message, frozen=True, tag=7):
    voter: str
    known: int  # a digest of what it has
    count: int  # how many it has
    orders: list[Order]  # some of them; none if the asker has the same


class Hello(Message, frozen=True, tag=8):
    """The keeper is here: for those who came after it."""

    term: int
    who: str


class Ask(Message, frozen=True, tag=9):
    """A member asks the keeper, or for the history a voter, on behalf of an operator."""

    id: str
    what: str  # view, plan, history
    order: Order | None = None


class Told(Message, frozen=True, tag=10):
    id: str
    part: int
    parts: int
    body: bytes  # of a compressed JSON text


class Leave(Message, frozen=True, tag=13):
    """From a site's announcer to its members: these are withdrawn by an order, and open connections go."""

    site: str
    addresses: list[str]


MESSAGES = msgspec.msgpack.Decoder(
    Grant | Report | Evidence | Keep | Kept | Want | Have | Hello | Ask | Told | Leave
)
WRITTEN = msgspec.msgpack.Decoder(Written)
encode = msgspec.msgpack.Encoder().encode


def pages(rows: Iterable[T], room: int = ROOM) -> Iterator[list[T]]:
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


def short(text: str, most: int) -> str:
    """The beginning of a text that takes at most so many bytes."""
    return text.encode()[:most].decode(errors="ignore")


def mark(row: Written) -> str:
    """How a row is called when it is said to be kept."""
    return row.id if isinstance(row, Order) else f"{row.term}.{row.number}"
