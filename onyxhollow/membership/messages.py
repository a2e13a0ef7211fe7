"""The datagrams of the fleet: what stands in them, and their bounds.

One datagram is a seal of 16 bytes (seal.py) and one Packet in MessagePack. All of it is encoded by msgspec;
rows are arrays, so that names of fields cost nothing.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

LARGEST = 1200  # bytes of a datagram: fits any path's MTU without fragments
NAME = 64  # characters of a name or a zone
Address = tuple[str, int]


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Part(msgspec.Struct, array_like=True, frozen=True):
    """One thing said within a datagram."""


class Ping(Part, frozen=True, tag=1):
    nonce: int


class Ack(Part, frozen=True, tag=2):
    nonce: int


class PingFor(Part, frozen=True, tag=3):
    """Please ask that one for me: my own question had no answer."""

    nonce: int
    name: str
    epoch: int
    address: Address


class Nack(Part, frozen=True, tag=4):
    """I asked, and had no answer either: at least the two of us hear one another (Lifeguard)."""

    nonce: int


class Update(Part, frozen=True, tag=5):
    """What is held of one member. A member is one process: a name and its epoch, which is new with each
    start."""

    name: str
    epoch: int
    incarnation: int
    life: MemberState
    address: Address
    zone: str
    flags: int
    by: str = ""  # whose suspicion it is


class Sync(Part, frozen=True, tag=6):
    """Do we hold the same? digest: of all that the sender holds."""

    digest: int
    joining: bool = False


class Event(Part, frozen=True, tag=7):
    """News for all that is carried along with the members' own, once to each."""

    name: str
    epoch: int
    number: int
    kind: int
    body: bytes


class Carried(Part, frozen=True, tag=8):
    """From one member to another, for a part above membership."""

    kind: int
    body: bytes


Parts = Ping | Ack | PingFor | Nack | Update | Sync | Event | Carried


class Packet(msgspec.Struct, array_like=True, frozen=True):
    fleet: str
    name: str
    epoch: int
    number: int  # rises with each datagram of this sender
    to: int  # the receiver's epoch, as far as the sender knows it; 0: not known
    parts: list[Parts]


ENCODER = msgspec.msgpack.Encoder()
PACKETS = msgspec.msgpack.Decoder(Packet)
encode = ENCODER.encode
