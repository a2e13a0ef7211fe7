"""SWIM membership (Das, Gupta, Motivala, 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey, 2018).

A pure core: it is given the time and the packets received, draws from the generator it was given, and leaves
datagrams to send, changes of members and messages for other services in lists that its shell takes. Times are
seconds on one clock.

Its parts, each in a file of its own: the failure detector (probes and indirect probes), the rules by which
reported states change the member table (incarnations, suspicion and refutation), the dissemination queue
(changes that piggyback on datagrams), anti-entropy (comparison of all that is known), flap damping and link
statistics. This file puts them together, and is all that other packages call.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterator, Sequence
from random import Random
from typing import TypeVar

from msgspec.structs import replace

from onyxhollow.membership.anti_entropy import AntiEntropy
from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.dissemination_queue import BroadcastKey, DisseminationQueue
from onyxhollow.membership.failure_detector import FailureDetector
from onyxhollow.membership.flap_damping import FlapDamping
from onyxhollow.membership.link_statistics import Link
from onyxhollow.membership.local_health import LocalHealth
from onyxhollow.membership.member_table import Member, MemberChange, MemberKey, MemberTable
from onyxhollow.membership.messages import (
    Ack,
    Address,
    Broadcast,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Packet,
    Payload,
    Ping,
    PingRequest,
    Sync,
    encode,
)
from onyxhollow.membership.outbox import Outbox, OutgoingDatagram
from onyxhollow.membership.state_rules import StateRules, Timer

MAX_SEEN_BROADCASTS = 4096  # remembered so that each is delivered once; past them the oldest are forgotten
LEAVE_FANOUT = 2  # times the indirect probes: members that a leaving one notifies
STALL_SHARE = 0.5  # of a period by which a tick is late if this process has stalled
PRUNE_SHARE = 0.25  # of the retention of the dead, between searches for those to forget

Item = TypeVar("Item")

# Counters, by their names in /control/fleet.
STALLS = "stalls"
PAYLOADS_TO_UNKNOWN_EPOCH = "carried to an unknown epoch"


class SwimMembership:
    """The membership protocol of one process."""

    def __init__(
        self,
        local: MemberUpdate,
        config: ProtocolConfig,
        rng: Random,
        seeds: Sequence[Address],
        now: float,
    ) -> None:
        self.config = config
        self.rng = rng
        self.counters: Counter[str] = Counter()
        self.table = MemberTable(local)
        self.local_health = LocalHealth(config.max_health_score)
        self.dissemination_queue = DisseminationQueue(config)
        self._outbox = Outbox(self.table, self.dissemination_queue, self.counters, now)
        self.timer = Timer(now)
        self.failure_detector = FailureDetector(
            config, rng, self.table, self._outbox, self.local_health, self._suspect_unanswered
        )
        self.state_rules = StateRules(
            config, self.table, self._outbox, self.failure_detector, self.timer, self.counters
        )
        self.failure_detector.next_probe_at = now + rng.random() * config.period
        self.anti_entropy = AntiEntropy(config, rng, self.table, self._outbox, seeds, now)
        self.received_broadcasts: list[Broadcast] = []
        self.received_payloads: list[tuple[Member, Payload]] = []
        self.seen_broadcasts: OrderedDict[BroadcastKey, None] = OrderedDict()
        self.broadcast_sequence = 0
        self.next_prune_at = now + config.dead_retention * PRUNE_SHARE
        self.has_left = False
        self.stalled_seconds = 0.0  # for which this process has stood still, in sum
        self.last_stall_at: float | None = None

    # The view of the fleet.

    @property
    def next_due(self) -> float:
        """When `tick` is to be called next, seconds."""
        return self.timer.due

    @next_due.setter
    def next_due(self, due: float) -> None:
        self.timer.due = due

    @property
    def local(self) -> MemberUpdate:
        """This member's own state, as others are sent it."""
        return self.table.local

    @property
    def members(self) -> dict[MemberKey, Member]:
        """All other members that are known, the dead included."""
        return self.table.members

    @property
    def links(self) -> dict[MemberKey, Link]:
        """What was measured on the links to other members."""
        return self.failure_detector.link_statistics.links

    @property
    def flap_damping(self) -> FlapDamping:
        """Penalties of members that come and go."""
        return self.table.flap_damping

    @property
    def outbox(self) -> list[OutgoingDatagram]:
        """Datagrams to send."""
        return self._outbox.datagrams

    @property
    def changes(self) -> list[MemberChange]:
        """Changes of members not taken yet."""
        return self.table.changes

    def live_members(self) -> Iterator[Member]:
        """Iterate over the other members that are alive or suspected."""
        return iter(self.table.live.values())

    def newest(self, name: str) -> Member | None:
        """Return the live process of a name; of two the later one."""
        return self.table.newest(name)

    def live_count(self) -> int:
        """Return the number of live members, this one included."""
        return self.table.live_count

    # What the shell takes.

    def take_outbox(self) -> list[OutgoingDatagram]:
        """Return the datagrams to send, and forget them."""
        return _take(self._outbox.datagrams)

    def take_changes(self) -> list[MemberChange]:
        """Return the changes of members since the last call."""
        return _take(self.table.changes)

    def take_payloads(self) -> list[tuple[Member, Payload]]:
        """Return messages received for other services, with their senders."""
        return _take(self.received_payloads)

    def take_broadcasts(self) -> list[Broadcast]:
        """Return broadcasts received for other services."""
        return _take(self.received_broadcasts)

    # Calls of the shell.

    def compensate_for_stall(self, now: float) -> None:
        """Make up for a tick that comes late: this process stood still, the others were not silent.

        Called before anything else that the time or a packet leads to.
        """
        late = now - self.next_due
        if late <= self.config.period * STALL_SHARE:
            return
        self.stalled_seconds += late
        self.last_stall_at = now
        self.counters[STALLS] += 1
        self.local_health.degrade()
        for member in self.table.suspects.values():
            member.deadline += late
        self.failure_detector.void_probes()
        self.next_due = now

    def tick(self, now: float) -> None:
        """Do what is due, and set `next_due`."""
        self.compensate_for_stall(now)
        if self.has_left:
            self.next_due = math.inf
            return
        self.failure_detector.probe_if_due(now)
        for member in [member for member in self.table.suspects.values() if member.deadline <= now]:
            self.state_rules.declare_dead(member, now)
        self.failure_detector.expire_relayed(now)
        if now >= self.anti_entropy.next_sync_at:
            self.anti_entropy.sync(now)
        if now >= self.next_prune_at:
            self._prune(now)
        self.next_due = self.next_event_at()

    def next_event_at(self) -> float:
        """Return when something is due next."""
        times = [self.anti_entropy.next_sync_at, self.next_prune_at]
        times += self.failure_detector.due_times()
        times += [member.deadline for member in self.table.suspects.values()]
        return min(times)

    def set_flags(self, flags: int) -> None:
        """Publish other flags of this member."""
        if flags != self.local.flags:
            self.state_rules.renew_local(self.local.incarnation + 1, flags)

    def leave(self) -> None:
        """Notify a few members that this process ends; they pass it on."""
        self.has_left = True
        self.next_due = math.inf
        update = encode(replace(self.local, state=MemberState.LEFT))
        others = list(self.live_members())
        for member in self.rng.sample(others, min(len(others), LEAVE_FANOUT * self.config.indirect_probes)):
            self._outbox.send_plain(member.address, member.epoch, [update])

    def send_payload(self, member: Member, kind: int, body: bytes) -> None:
        """Send a message of another service to one member: unreliable, at most once."""
        self._outbox.send(member, Payload(kind, body))

    def broadcast(self, kind: int, body: bytes) -> None:
        """Disseminate a message of another service; it arrives within some periods, once at each member."""
        self.broadcast_sequence += 1
        message = Broadcast(self.local.name, self.local.epoch, self.broadcast_sequence, kind, body)
        key = message.name, message.epoch, message.sequence
        self.seen_broadcasts[key] = None
        self.dissemination_queue.enqueue(key, message)

    # Receiving.

    def on_message(self, now: float, packet: Packet, source: Address) -> None:
        """Take an authenticated packet. The updates in it go first: they may introduce its sender."""
        self.compensate_for_stall(now)
        if self.has_left:
            return
        for message in packet.messages:
            if isinstance(message, MemberUpdate):
                self.state_rules.apply_update(message, now)
        sender = self.members.get((packet.name, packet.epoch))
        if sender is None:
            request = [encode(self.local), encode(Sync(0, joining=True))]
            self._outbox.reply(OutgoingDatagram(source, packet.epoch, request), now)
            return
        if not sender.is_live:
            if sender.state is MemberState.DEAD:  # informed of it, it refutes that
                row = [encode(sender.update())]
                self._outbox.reply(OutgoingDatagram(source, packet.epoch, row), now)
            return
        self.failure_detector.link_statistics.received(sender.key, now)
        for message in packet.messages:
            self._on_message_of(sender, message, now, packet.receiver_epoch)

    def _on_message_of(self, sender: Member, message: Message, now: float, receiver_epoch: int) -> None:
        match message:
            case Ping():
                answer = self._outbox.piggybacked(sender, [Ack(message.nonce)])
                self._outbox.reply(answer, now)
            case Ack():
                self.failure_detector.on_ack(message, sender, now)
            case PingRequest():
                overdue_at = self.failure_detector.on_ping_request(message, sender, now)
                if overdue_at is not None:
                    self.timer.due_by(overdue_at)
            case Nack():
                self.failure_detector.on_nack(message)
            case Sync():
                self.anti_entropy.on_sync(message, sender, now)
            case Broadcast():
                self._on_broadcast(message)
            case Payload():
                if receiver_epoch == self.local.epoch:
                    self.received_payloads.append((sender, message))
                else:  # it may be a replay from an earlier process of this name
                    self.counters[PAYLOADS_TO_UNKNOWN_EPOCH] += 1

    def _on_broadcast(self, message: Broadcast) -> None:
        key = message.name, message.epoch, message.sequence
        if key in self.seen_broadcasts or message.name == self.local.name:
            return
        self.seen_broadcasts[key] = None
        if len(self.seen_broadcasts) > MAX_SEEN_BROADCASTS:
            self.seen_broadcasts.popitem(last=False)
        self.received_broadcasts.append(message)
        self.dissemination_queue.enqueue(key, message)

    def _suspect_unanswered(self, member: Member, now: float) -> None:
        self.state_rules.suspect(member, member.incarnation, self.local.name, now)

    def _prune(self, now: float) -> None:
        self.next_prune_at = now + self.config.dead_retention * PRUNE_SHARE
        self.table.forget_gone(now, self.config.dead_retention)
        self.failure_detector.link_statistics.prune(self.members)


def _take(items: list[Item]) -> list[Item]:
    taken = items.copy()
    items.clear()
    return taken
