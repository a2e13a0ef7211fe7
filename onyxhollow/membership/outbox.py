"""Outgoing datagrams, with piggybacked changes and a rate limit for replies."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from onyxhollow.membership.dissemination_queue import DisseminationQueue
from onyxhollow.membership.member_table import Member, MemberTable
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES, Address, MemberState, Message, encode

MAX_HEADER_BYTES = 190  # authentication code, fleet, name, epochs and sequence number
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES
REPLIES_PER_SECOND = 60.0
MAX_REPLY_BURST = 200.0  # datagrams

REPLIES_SUPPRESSED = "answers held back"  # counter name in /control/fleet


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """Encoded messages for one address."""

    address: Address
    receiver_epoch: int  # 0: unknown
    messages: list[bytes]


class Outbox:
    """Collects outgoing datagrams until the caller sends them."""

    def __init__(
        self, table: MemberTable, queue: DisseminationQueue, counters: Counter[str], now: float
    ) -> None:
        self.table = table
        self.queue = queue
        self.counters = counters
        self.datagrams: list[OutgoingDatagram] = []
        self.reply_tokens = MAX_REPLY_BURST
        self.reply_tokens_updated_at = now

    def build_datagram(self, member: Member, messages: list[Message]) -> OutgoingDatagram:
        """Return a datagram with these messages and as many queued changes as fit."""
        encoded = [encode(message) for message in messages]
        if member.state is not MemberState.ALIVE or not self.table.joined:
            encoded.append(encode(self.table.local))
        space = MAX_MESSAGE_BYTES - sum(map(len, encoded))
        encoded += self.queue.take_messages(member.address, space, self.table.live_count)
        return OutgoingDatagram(member.address, member.epoch, encoded)

    def send(self, member: Member, message: Message) -> None:
        """Send a message with piggybacked changes."""
        self.datagrams.append(self.build_datagram(member, [message]))

    def send_plain(self, address: Address, receiver_epoch: int, messages: list[bytes]) -> None:
        """Send encoded messages without piggybacked changes."""
        self.datagrams.append(OutgoingDatagram(address, receiver_epoch, messages))

    def reply(self, datagram: OutgoingDatagram, now: float) -> None:
        """Send a reply within a token bucket, so that requests cannot make this process flood an address."""
        refilled = self.reply_tokens + (now - self.reply_tokens_updated_at) * REPLIES_PER_SECOND
        self.reply_tokens = min(MAX_REPLY_BURST, refilled)
        self.reply_tokens_updated_at = now
        if self.reply_tokens < 1.0:
            self.counters[REPLIES_SUPPRESSED] += 1
            return
        self.reply_tokens -= 1.0
        self.datagrams.append(datagram)
