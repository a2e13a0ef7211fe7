"""Messages of load gossip, in MessagePack by msgspec with structs as arrays; each fits one datagram.

The order of the fields is the format: names cost no bytes.
"""

from __future__ import annotations

import msgspec

MAX_MESSAGE_BYTES = 940  # a datagram less authentication code, names and piggybacked changes
REPORT_BYTES = 26  # of a report besides its endpoint's name, at the most
COUNT_BYTES = 14  # of a count besides its endpoint's name, at the most
MILLISECONDS = 1000  # in a second
LOAD_UNITS = 1000  # of a load of one, the capacity
NO_LOAD = -1  # in place of a load that is not known


class EndpointReport(msgspec.Struct, array_like=True, frozen=True):
    """What the owner of an endpoint has put together of it."""

    endpoint: str
    owner: int  # epoch of the member that owns it
    sequence: int  # increases with each message of that member
    age: int  # milliseconds since it was put together
    load: int  # thousandths of capacity, as the endpoint reported; NO_LOAD: no load report
    load_age: int  # milliseconds since that was reported, as of `age` ago
    connections: int  # open connections of all members in sum
    failing_members: int  # members whose attempts or health checks failed there lately


class ReportPage(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Reports that fit one datagram."""

    reports: list[EndpointReport]


class EndpointCount(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One member's own connections and recent failures at an endpoint."""

    endpoint: str
    connections: int
    failures: int


class ConnectionCounts(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """One member's own counts, for the owner of these endpoints or its deputy."""

    sequence: int
    counts: list[EndpointCount]


Messages = ReportPage | ConnectionCounts
MESSAGE_DECODER = msgspec.msgpack.Decoder(Messages)
encode = msgspec.msgpack.Encoder().encode
