"""Anti-entropy: members compare digests of all they know now and then, and exchange what differs.

It repairs what dissemination has missed (Demers et al., 1987), joins by seeds, and heals partitions: the dead
and the seeds are contacted too, so that two halves of a fleet find each other again.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.member_table import Member, MemberTable
from onyxhollow.membership.messages import Address, MemberState, Sync, encode
from onyxhollow.membership.outbox import MAX_MESSAGE_BYTES, Outbox, OutgoingDatagram

MAX_PAGES_JOINING = 16  # datagrams of one answer to a joining member
MAX_PAGES = 3  # datagrams of one answer to another one: the next exchange brings more
CONTACT_LOST_SHARE = 0.5  # of exchanges, while there are dead members or seeds to contact


class AntiEntropy:
    """Begins exchanges at random intervals and answers those of others."""

    def __init__(
        self,
        config: ProtocolConfig,
        rng: Random,
        table: MemberTable,
        outbox: Outbox,
        seeds: Sequence[Address],
        now: float,
    ) -> None:
        self.config = config
        self.rng = rng
        self.table = table
        self.outbox = outbox
        self.seeds = seeds
        self.next_sync_at = now  # seconds; at once, to join

    def sync(self, now: float) -> None:
        """Begin an exchange with a live member, or with one that is lost; without any, with all seeds."""
        live = list(self.table.live.values())
        self.table.joined = self.table.joined or bool(live)
        self.next_sync_at = now + self.config.sync_interval * self.rng.uniform(0.5, 1.0)
        lost = self._lost_addresses()
        request = encode(Sync(self.table.digest(), joining=not live))
        messages = [encode(self.table.local), request]
        if live and (not lost or self.rng.random() < CONTACT_LOST_SHARE):
            member = self.rng.choice(live)
            self.outbox.send_plain(member.address, member.epoch, messages)
        elif lost:
            for address in [self.rng.choice(lost)] if live else lost:
                self.outbox.send_plain(address, 0, messages)
        if not live:
            self.next_sync_at = now + self.config.period * self.rng.uniform(0.5, 1.0)

    def on_sync(self, request: Sync, sender: Member, now: float) -> None:
        """Answer with the members known here, in as many datagrams as the limit allows."""
        if request.digest == self.table.digest():
            return
        limit = MAX_PAGES_JOINING if request.joining else MAX_PAGES
        for page in self._pages(sender, limit):
            self.outbox.reply(OutgoingDatagram(sender.address, sender.epoch, page), now)
        if not request.joining:  # and the other way round
            back = [encode(Sync(self.table.digest(), joining=True))]
            self.outbox.reply(OutgoingDatagram(sender.address, sender.epoch, back), now)

    def _lost_addresses(self) -> list[Address]:
        """Return addresses of the dead without a successor, and of seeds that are not known as live."""
        lost = [
            member.address
            for member in self.table.members.values()
            if member.state is MemberState.DEAD and self.table.newest(member.name) is None
        ]
        live = {member.address for member in self.table.live.values()}
        lost += [seed for seed in self.seeds if seed not in live and seed != self.table.local.address]
        return lost

    def _pages(self, receiver: Member, limit: int) -> list[list[bytes]]:
        """Return encoded rows of the live members by datagram, in random order, this member's first."""
        rows = [encode(member.update()) for member in self.table.live.values() if member is not receiver]
        self.rng.shuffle(rows)
        local = encode(self.table.local)
        pages = [[local]]
        size = len(local)
        for row in rows:
            if size + len(row) > MAX_MESSAGE_BYTES:
                if len(pages) == limit:
                    break
                pages.append([])
                size = 0
            pages[-1].append(row)
            size += len(row)
        return pages
