"""What is said, in MessagePack by msgspec, rows as arrays: each message fits one datagram."""

from __future__ import annotations

import msgspec

ROOM = 940  # bytes of one message: a datagram less seal, names and what rides along
ROW_BYTES = 26  # of a row beside its server's name, at the most
COUNT_BYTES = 14


class Row(msgspec.Struct, array_like=True, frozen=True):
    """What is known together of one server."""

    server: str
    by: int  # epoch of the member that keeps it
    number: int  # rises with each row of that member's
    age: int  # milliseconds since it was put together
    load: int  # thousandths of capacity, as the server reported; -1: no report
    load_age: int  # milliseconds since that was reported, as of `age` ago
    held: int  # open connections of all members in sum
    doubters: int  # members whose dials or questions failed there of late


class Page(msgspec.Struct, array_like=True, frozen=True, tag=1):
    rows: list[Row]


class Counts(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One member's own, to who keeps these servers: server, open connections, failures of late."""

    number: int
    rows: list[tuple[str, int, int]]


MESSAGES = msgspec.msgpack.Decoder(Page | Counts)
encode = msgspec.msgpack.Encoder().encode
