"""Datagrams to send: filled up with disseminated changes, and limited in rate where others cause them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from onyxhollow.membership.dissemination_queue import DisseminationQueue
from onyxhollow.membership.member_table import Member, MemberTable
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES, Address, MemberState, Message, encode

HEADER_BYTES = 190  # of a datagram besides messages, at the most: authentication code, fleet, name, numbers
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES
REPLY_RATE = 60.0  # datagrams a second that answer others
REPLY_BURST = 200.0  # of them at once

REPLIES_SUPPRESSED = "answers held back"  # counter of /control/fleet


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """Encoded messages for one address."""

    address: Address
    receiver_epoch: int  # 0: unknown
    messages: list[bytes]


class Outbox:
    """Outgoing datagrams until the shell takes them."""

    def __init__(
        self, table: MemberTable, queue: DisseminationQueue, counters: Counter[str], now: float
    ) -> None:
        self.table = table
        self.queue = queue
        self.counters = counters
        self.datagrams: list[OutgoingDatagram] = []
        self.reply_tokens = REPLY_BURST
        self.reply_tokens_at = now

    def piggybacked(self, member: Member, messages: list[Message]) -> OutgoingDatagram:
        """Return a datagram with these messages and as many queued changes as fit."""
        encoded = [encode(message) for message in messages]
        if member.state is not MemberState.ALIVE or not self.table.joined:
            encoded.append(encode(self.table.local))
        space = MAX_MESSAGE_BYTES - sum(map(len, encoded))
        encoded += self.queue.take(member.address, space, self.table.live_count)
        return OutgoingDatagram(member.address, member.epoch, encoded)

    def send(self, member: Member, message: Message) -> None:
        """Send a message, with piggybacked changes."""
        self.datagrams.append(self.piggybacked(member, [message]))

    def send_plain(self, address: Address, receiver_epoch: int, messages: list[bytes]) -> None:
        """Send encoded messages alone."""
        self.datagrams.append(OutgoingDatagram(address, receiver_epoch, messages))

    def reply(self, datagram: OutgoingDatagram, now: float) -> None:
        """Send an answer within a token bucket: nobody can make this member flood another with answers."""
        refilled = self.reply_tokens + (now - self.reply_tokens_at) * REPLY_RATE
        self.reply_tokens = min(REPLY_BURST, refilled)
        self.reply_tokens_at = now
        if self.reply_tokens < 1.0:
            self.counters[REPLIES_SUPPRESSED] += 1
            return
        self.reply_tokens -= 1.0
        self.datagrams.append(datagram)
