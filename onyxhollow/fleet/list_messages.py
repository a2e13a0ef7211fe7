"""Messages with which one proxy of a zone replicates the endpoint list to the others.

Structs are encoded as MessagePack arrays, so the order of their fields defines the wire format. Records have
the list service's JSON form. They are compressed with zlib and split into parts that fit into a datagram.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any

import msgspec
import orjson

MAX_PART_BYTES = 880  # of compressed records per datagram
MAX_LIST_BYTES = 4 * 1024 * 1024  # of a decompressed list
MAX_PARTS = 64
ZLIB_COMPRESSION_LEVEL = 6

Record = dict[str, Any]  # an endpoint in the list service's JSON form; "host" is its name


class ListMessage(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages: role, term and list service that they concern."""

    role: str
    term: int  # of the publisher's lease
    source: str  # name or address of the list service


class Heartbeat(ListMessage, frozen=True, tag=1):
    """Current version of the publisher, sent at intervals."""

    version: int
    disconnected: bool  # whether the publisher has lost its watch of the list service


class ListUpdate(ListMessage, frozen=True, tag=2):
    """Part of a snapshot or a delta."""

    version: int
    base: int  # version that a delta applies to; SNAPSHOT_BASE for a snapshot
    part: int
    parts: int
    body: bytes


class ResyncRequest(ListMessage, frozen=True, tag=3):
    """Request for a snapshot by a subscriber that has missed an update."""

    known_version: int


class Suspicion(ListMessage, frozen=True, tag=4):
    """Report that the list service has had a newer version than the publisher for some time."""

    version: int


SNAPSHOT_BASE = -1
Messages = Heartbeat | ListUpdate | ResyncRequest | Suspicion
MESSAGE_DECODER = msgspec.msgpack.Decoder(Messages)
encode = msgspec.msgpack.Encoder().encode


class ListRecordsError(Exception):
    """Bodies of an update that do not contain valid records; the text gives the reason."""


class ListTooLargeError(Exception):
    """A list that does not fit into the parts of one update; the text names the limit."""


def encode_records(records: list[Record]) -> list[bytes]:
    """Return the bodies of the parts that contain the records."""
    compressed = zlib.compress(orjson.dumps(records), ZLIB_COMPRESSION_LEVEL)
    return [compressed[start : start + MAX_PART_BYTES] for start in range(0, len(compressed), MAX_PART_BYTES)]


def encode_update(records: list[Record]) -> list[bytes]:
    """Return the bodies of the parts of one update.

    Raises:
        ListTooLargeError: There are more parts than a subscriber accepts.
    """
    bodies = encode_records(records)
    if len(bodies) > MAX_PARTS:
        raise ListTooLargeError(
            f"{len(records)} records: expected at most {MAX_PARTS} parts, got {len(bodies)}"
        )
    return bodies


def decode_records(bodies: list[bytes]) -> list[Record]:
    """Return the records that the bodies of all parts contain.

    Raises:
        ListRecordsError: The bodies are not compressed JSON, or not a list of objects that have a `host`.
    """
    try:
        decompressor = zlib.decompressobj()
        records = orjson.loads(decompressor.decompress(b"".join(bodies), MAX_LIST_BYTES))
    except (zlib.error, ValueError) as error:
        raise ListRecordsError(str(error)) from None
    if not isinstance(records, list) or not all(_is_record(record) for record in records):
        raise ListRecordsError("expected a list of objects with a host, got other JSON")
    return records


def draining_records(records: Iterable[Record]) -> list[Record]:
    """Return the records of draining or drained endpoints, which are accepted from any member."""
    return [record for record in records if record.get("health") in ("leaving", "left")]


def _is_record(record: Any) -> bool:
    return isinstance(record, dict) and "host" in record
