"""Messages of the membership protocol, their encoding and their bounds.

One datagram is an authentication code of 16 bytes (datagram_authenticator.py) and one `Packet` in
MessagePack, encoded by msgspec. Structs are encoded as arrays: the order of their fields is the format, their
names cost no bytes. Names of the messages are those of SWIM (Das, Gupta, Motivala, 2002) where the paper has
one.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

MAX_DATAGRAM_BYTES = 1200  # fits any path's MTU without fragments
MAX_NAME_CHARACTERS = 64  # of a member's name or zone

Address = tuple[str, int]  # host and UDP port


class MemberState(IntEnum):
    """State of a member as another member sees it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages within a packet."""


class Ping(Message, frozen=True, tag=1):
    """A direct probe: the receiver answers with an `Ack` of the same nonce."""

    nonce: int


class Ack(Message, frozen=True, tag=2):
    """The answer to a `Ping`, or the relayed answer to a `PingRequest`."""

    nonce: int


class PingRequest(Message, frozen=True, tag=3):
    """An indirect probe (ping-req): the receiver pings the named member for the sender."""

    nonce: int
    name: str
    epoch: int
    address: Address


class Nack(Message, frozen=True, tag=4):
    """The answer to a `PingRequest` whose target did not answer in time (Lifeguard).

    It shows the requester that its own link to the relay works.
    """

    nonce: int


class MemberUpdate(Message, frozen=True, tag=5):
    """State of one member. A member is one process: a name and an epoch, which is new at each start."""

    name: str
    epoch: int
    incarnation: int
    state: MemberState
    address: Address
    zone: str
    flags: int
    suspected_by: str = ""  # name of the member whose suspicion this is


class Sync(Message, frozen=True, tag=6):
    """An anti-entropy request: the receiver answers with its members if its digest differs."""

    digest: int  # over all live members the sender knows
    joining: bool = False  # the sender wants all members and no comparison in the other direction


class Broadcast(Message, frozen=True, tag=7):
    """An event for all members, disseminated with the member updates and delivered once to each."""

    name: str
    epoch: int
    sequence: int
    kind: int
    body: bytes


class Payload(Message, frozen=True, tag=8):
    """A message from one member to another for a service above membership."""

    kind: int
    body: bytes


Messages = Ping | Ack | PingRequest | Nack | MemberUpdate | Sync | Broadcast | Payload


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """The authenticated content of one datagram."""

    fleet: str
    name: str
    epoch: int
    sequence: int  # increases with each datagram of this sender
    receiver_epoch: int  # the receiver's epoch as far as the sender knows it; 0: unknown
    messages: list[Messages]


PACKET_DECODER = msgspec.msgpack.Decoder(Packet)
encode = msgspec.msgpack.Encoder().encode
