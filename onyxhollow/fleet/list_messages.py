"""Messages by which one proxy of a zone replicates the endpoint list to the others.

Structs are encoded as arrays in MessagePack: the order of the fields is the format. The list's records are
those of the list service, as JSON compressed by zlib and cut into parts that fit a datagram.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any

import msgspec
import orjson

MAX_PART_BYTES = 880  # of compressed records in one datagram
MAX_LIST_BYTES = 4 * 1024 * 1024  # of one list, not compressed
MAX_PARTS = 64
COMPRESSION_LEVEL = 6  # of zlib

Record = dict[str, Any]  # one endpoint in the list service's form; "host" is its name


class ListMessage(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages: whose they are, and of which list service they speak."""

    role: str
    term: int  # of the publisher's lease
    source: str  # the list service


class Heartbeat(ListMessage, frozen=True, tag=1):
    """The publisher is alive and has this version."""

    version: int
    disconnected: bool  # it cannot follow the list service itself at present


class ListUpdate(ListMessage, frozen=True, tag=2):
    """One part of a snapshot or a delta."""

    version: int
    base: int  # the version that these records are a delta to; SNAPSHOT_BASE: they are the whole list
    part: int
    parts: int
    body: bytes


class ResyncRequest(ListMessage, frozen=True, tag=3):
    """The sender has missed an update and needs a snapshot."""

    known_version: int


class Suspicion(ListMessage, frozen=True, tag=4):
    """The list service has sent a newer version than the publisher has, for a while."""

    version: int


SNAPSHOT_BASE = -1
Messages = Heartbeat | ListUpdate | ResyncRequest | Suspicion
MESSAGE_DECODER = msgspec.msgpack.Decoder(Messages)
encode = msgspec.msgpack.Encoder().encode


class ListRecordsError(Exception):
    """The bodies of an update are no records of a list; the text gives the reason."""


def encode_records(records: list[Record]) -> list[bytes]:
    """Return the bodies of the parts that hold these records."""
    text = zlib.compress(orjson.dumps(records), COMPRESSION_LEVEL)
    return [text[start : start + MAX_PART_BYTES] for start in range(0, len(text), MAX_PART_BYTES)]


def decode_records(bodies: list[bytes]) -> list[Record]:
    """Return the records that these parts hold together.

    Raises:
        ListRecordsError: They are not compressed JSON, or not a list of objects that have a `host`.
    """
    try:
        reader = zlib.decompressobj()
        records = orjson.loads(reader.decompress(b"".join(bodies), MAX_LIST_BYTES))
    except (zlib.error, ValueError) as error:
        raise ListRecordsError(str(error)) from None
    if not isinstance(records, list) or not all(_is_record(record) for record in records):
        raise ListRecordsError("not a list of rows")
    return records


def draining_records(records: Iterable[Record]) -> list[Record]:
    """Return the records of endpoints that take nothing new: these count whoever sends them."""
    return [record for record in records if record.get("health") in ("leaving", "left")]


def _is_record(record: Any) -> bool:
    return isinstance(record, dict) and "host" in record
