"""Dissemination: changes are piggybacked on the failure detector's datagrams, as in SWIM.

Each change is sent once to each of a number of members that grows with the logarithm of the fleet's size.
Changes sent least often go first. Each receiver of a new change forwards it in the same way, so that it
reaches all members as an epidemic.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.member_table import MemberKey
from onyxhollow.membership.messages import Address, Message, encode

BroadcastKey = tuple[str, int, int]  # sender's name and epoch, sequence number
MAX_QUEUED = 512  # changes and broadcasts; beyond this, the one sent most often is dropped
SMALL_FLEET_MEMBERS = 8  # up to this size, a member sends each change to all others
MIN_USEFUL_BYTES = 32  # lower bound of a message's size; the search ends when less space is left


@dataclass(slots=True)
class QueuedMessage:
    """An encoded message and the addresses it was sent to."""

    encoded: bytes
    sent_to: set[Address] = field(default_factory=set)  # a repeated receiver does not use up sends


class DisseminationQueue:
    """Messages still to be disseminated."""

    def __init__(self, config: ProtocolConfig) -> None:
        self.config = config
        self.messages: dict[MemberKey | BroadcastKey, QueuedMessage] = {}

    def enqueue(self, key: MemberKey | BroadcastKey, message: Message) -> None:
        """Queue a message in place of an earlier one with the same key; apply the size limit."""
        self.messages[key] = QueuedMessage(encode(message))
        if len(self.messages) > MAX_QUEUED:
            del self.messages[max(self.messages, key=lambda queued: len(self.messages[queued].sent_to))]

    def take_messages(self, receiver: Address, space: int, live_count: int) -> list[bytes]:
        """Return messages that fit `space` bytes of a datagram to `receiver`, least often sent first."""
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
        """Return the number of members that each message is sent to."""
        log_limit = self.config.retransmit_multiplier * max(1.0, math.log10(live_count + 1))
        return max(math.ceil(log_limit), min(live_count - 1, SMALL_FLEET_MEMBERS))
