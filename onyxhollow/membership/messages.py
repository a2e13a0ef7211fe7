"""Messages of the membership protocol, their encoding and size limits.

A datagram consists of a 16-byte authentication code (datagram_authenticator.py) and one `Packet` in
MessagePack, encoded by msgspec. Structs are encoded as arrays, so the order of the fields defines the format
and field names are not sent. Messages are named as in SWIM (Das, Gupta, Motivala, 2002) where the paper
names them.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

MAX_DATAGRAM_BYTES = 1200  # below the MTU of any path, so never fragmented
MAX_NAME_CHARACTERS = 64  # of a member's name or zone

Address = tuple[str, int]  # host and UDP port


class MemberState(IntEnum):
    """State of a member as another member sees it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages in a packet."""


class Ping(Message, frozen=True, tag=1):
    """A direct probe. The receiver answers with an `Ack` that has the same nonce."""

    nonce: int


class Ack(Message, frozen=True, tag=2):
    """The answer to a `Ping`, or the relayed answer to a `PingRequest`."""

    nonce: int


class PingRequest(Message, frozen=True, tag=3):
    """An indirect probe (ping-req). The receiver pings the named member on behalf of the sender."""

    nonce: int
    name: str
    epoch: int
    address: Address


class Nack(Message, frozen=True, tag=4):
    """The answer to a `PingRequest` whose target did not answer in time (Lifeguard).

    It shows the requester that the link between it and the relay works.
    """

    nonce: int


class MemberUpdate(Message, frozen=True, tag=5):
    """State of one member. A member is one process: its name and the epoch of its start."""

    name: str
    epoch: int
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    flags: int
    suspected_by: str = ""  # name of a member that suspects it


class Sync(Message, frozen=True, tag=6):
    """An anti-entropy request. The receiver answers with its members if its digest differs."""

    digest: int  # of the live members known to the sender
    joining: bool = False  # the receiver sends no `Sync` back; longer answer if sent with the sender's update


class Broadcast(Message, frozen=True, tag=7):
    """An event disseminated with the member updates and delivered once to each member."""

    name: str
    epoch: int
    sequence: int
    kind: int
    body: bytes


class Payload(Message, frozen=True, tag=8):
    """A message to one member for a service that uses membership."""

    kind: int
    body: bytes


Messages = Ping | Ack | PingRequest | Nack | MemberUpdate | Sync | Broadcast | Payload


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """The authenticated content of one datagram."""

    fleet: str
    name: str
    epoch: int
    sequence: int  # increases with each datagram of the sender
    receiver_epoch: int  # 0: not known to the sender
    messages: list[Messages]


PACKET_DECODER = msgspec.msgpack.Decoder(Packet)
encode = msgspec.msgpack.Encoder().encode
