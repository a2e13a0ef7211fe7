"""Dissemination: changes piggyback on the datagrams of the failure detector, as in SWIM.

Each change is sent to a number of members that grows with the logarithm of the fleet's size, once to each,
the least often sent first. Every receiver of something new does the same: it reaches all as an epidemic.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.member_table import MemberKey
from onyxhollow.membership.messages import Address, Message, encode

BroadcastKey = tuple[str, int, int]  # name, epoch and sequence number of the sender
MAX_QUEUED = 512  # changes and broadcasts; past them the one sent most often is dropped
SMALL_FLEET = 8  # members up to which each sends every change to all others
MIN_USEFUL_BYTES = 32  # no message is shorter: with less space left the search for one that fits ends


@dataclass(slots=True)
class QueuedMessage:
    """An encoded message and the addresses it was sent to."""

    encoded: bytes
    sent_to: set[Address] = field(
        default_factory=set
    )  # once each: one that is often sent to uses up no sends


class DisseminationQueue:
    """Messages that are to reach all members."""

    def __init__(self, config: ProtocolConfig) -> None:
        self.config = config
        self.messages: dict[MemberKey | BroadcastKey, QueuedMessage] = {}

    def enqueue(self, key: MemberKey | BroadcastKey, message: Message) -> None:
        """Queue a message; an earlier one of the same member or broadcast is replaced."""
        self.replace(key, message)
        if len(self.messages) > MAX_QUEUED:
            del self.messages[max(self.messages, key=lambda one: len(self.messages[one].sent_to))]

    def replace(self, key: MemberKey | BroadcastKey, message: Message) -> None:
        """Queue a message in the place of one that is queued as a rule: no limit is applied."""
        self.messages[key] = QueuedMessage(encode(message))

    def take(self, receiver: Address, space: int, live_count: int) -> list[bytes]:
        """Return messages for a datagram to `receiver` with `space` bytes left, the least sent first."""
        taken = []
        limit = self.transmit_limit(live_count)
        for key, message in sorted(self.messages.items(), key=lambda row: len(row[1].sent_to)):
            if len(message.encoded) > space or receiver in message.sent_to:
                continue
            taken.append(message.encoded)
            space -= len(message.encoded)
            message.sent_to.add(receiver)
            if len(message.sent_to) >= limit:
                del self.messages[key]
            if space < MIN_USEFUL_BYTES:
                break
        return taken

    def transmit_limit(self, live_count: int) -> int:
        """Return how many members each message is sent to."""
        logarithmic = self.config.retransmit_multiplier * max(1.0, math.log10(live_count + 1))
        return max(math.ceil(logarithmic), min(live_count - 1, SMALL_FLEET))
