"""Messages of load gossip in MessagePack, encoded by msgspec. Each message fits one datagram.

Structs are encoded as arrays, so the order of the fields defines the format and field names are not sent.
"""

from __future__ import annotations

import msgspec

MAX_MESSAGE_BYTES = 940  # a datagram minus authentication code, names and piggybacked changes
MAX_REPORT_BYTES = 26  # encoded report without the endpoint's name
MAX_COUNT_BYTES = 14  # encoded count without the endpoint's name
MILLISECONDS_PER_SECOND = 1000
LOAD_UNITS = 1000  # encoded loads are in thousandths of the capacity
NO_LOAD = -1  # encoded load if none is known


class EndpointReport(msgspec.Struct, array_like=True, frozen=True):
    """The owner's report on an endpoint."""

    endpoint: str
    owner: int  # epoch of the owner
    sequence: int  # increases with each message of the owner
    age: int  # milliseconds since the report was created
    load: int  # thousandths of capacity, as reported by the endpoint; NO_LOAD: no load report
    load_age: int  # milliseconds between the load report and the creation of this report
    connections: int  # open connections of all members
    failing_members: int  # members with recent failed attempts or health checks at the endpoint


class ReportPage(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Reports that fit one datagram."""

    reports: list[EndpointReport]


class EndpointCount(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The sender's own connections and recent failures at an endpoint."""

    endpoint: str
    connections: int
    failures: int


class ConnectionCounts(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The sender's own counts, sent to the owner or deputy of the endpoints."""

    sequence: int
    counts: list[EndpointCount]


Messages = ReportPage | ConnectionCounts
MESSAGE_DECODER = msgspec.msgpack.Decoder(Messages)
encode = msgspec.msgpack.Encoder().encode
