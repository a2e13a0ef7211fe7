"""Anti-entropy: members periodically compare digests of the member table and exchange their members.

This repairs updates that dissemination has missed (Demers et al., 1987), joins a fleet through its seeds, and
heals partitions: dead members and seeds are contacted too, so that two separated halves merge again.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.member_table import Member, MemberTable
from onyxhollow.membership.messages import Address, MemberState, Sync, encode
from onyxhollow.membership.outbox import MAX_MESSAGE_BYTES, Outbox, OutgoingDatagram

MAX_PAGES_JOINING = 16  # datagrams in one answer to a joining member
MAX_PAGES_ESTABLISHED = 3  # datagrams in any other answer; later exchanges send the rest
CONTACT_LIVE_PROBABILITY = 0.5  # if there are unreachable addresses too


class AntiEntropy:
    """Starts exchanges at random intervals and answers those of other members."""

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
        self.next_sync_at = now  # seconds; the first exchange, which joins the fleet, is due at once

    def sync(self, now: float) -> None:
        """Start an exchange with a live member or an unreachable address, selected at random.

        If no other member is live, start one with every unreachable address, and retry sooner.
        """
        live = list(self.table.live.values())
        self.table.joined = self.table.joined or bool(live)
        self.next_sync_at = now + self.config.sync_interval * self.rng.uniform(0.5, 1.0)
        unreachable = self._unreachable_addresses()
        request = encode(Sync(self.table.digest(), joining=not live))
        messages = [encode(self.table.local), request]
        if live and (not unreachable or self.rng.random() < CONTACT_LIVE_PROBABILITY):
            member = self.rng.choice(live)
            self.outbox.send_plain(member.address, member.epoch, messages)
        elif unreachable:
            for address in [self.rng.choice(unreachable)] if live else unreachable:
                self.outbox.send_plain(address, 0, messages)
        if not live:
            self.next_sync_at = now + self.config.period * self.rng.uniform(0.5, 1.0)

    def on_sync(self, request: Sync, sender: Member, introduces_sender: bool, now: float) -> None:
        """Answer with the members known here if the digests differ, up to a limit of datagrams.

        Args:
            request: The request.
            sender: The member that sent it.
            introduces_sender: Whether the datagram also has the sender's own update. A joining member sends
                it; the request that an established member sends in turn has the same flag but no update.
            now: The current time.
        """
        if request.digest == self.table.digest():
            return
        is_joining = request.joining and introduces_sender
        limit = MAX_PAGES_JOINING if is_joining else MAX_PAGES_ESTABLISHED
        for page in self._pages(sender, limit):
            self.outbox.reply(OutgoingDatagram(sender.address, sender.epoch, page), now)
        if not request.joining:  # request the sender's members in turn; the flag ends the exchange
            reverse_request = [encode(Sync(self.table.digest(), joining=True))]
            self.outbox.reply(OutgoingDatagram(sender.address, sender.epoch, reverse_request), now)

    def _unreachable_addresses(self) -> list[Address]:
        """Return addresses of dead members without a live successor, and of seeds that are not live."""
        unreachable = [
            member.address
            for member in self.table.members.values()
            if member.state is MemberState.DEAD and self.table.newest(member.name) is None
        ]
        live = {member.address for member in self.table.live.values()}
        unreachable += [seed for seed in self.seeds if seed not in live and seed != self.table.local.address]
        return unreachable

    def _pages(self, receiver: Member, limit: int) -> list[list[bytes]]:
        """Return encoded updates by datagram: first this process, then the live members in random order."""
        updates = [encode(member.update()) for member in self.table.live.values() if member is not receiver]
        self.rng.shuffle(updates)
        local = encode(self.table.local)
        pages = [[local]]
        size = len(local)
        for update in updates:
            if size + len(update) > MAX_MESSAGE_BYTES:
                if len(pages) == limit:
                    break
                pages.append([])
                size = 0
            pages[-1].append(update)
            size += len(update)
        return pages
