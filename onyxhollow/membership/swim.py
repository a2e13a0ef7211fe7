"""SWIM membership (Das, Gupta, Motivala, 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey, 2018).

The protocol does no I/O. The caller passes in the current time, received packets and a random generator. It
collects datagrams to send, member changes and messages for other services with the `take_*` methods. Times
are seconds on one clock.

The parts are in separate modules: failure detector (direct and indirect probes), state rules (incarnations,
suspicion and refutation), dissemination queue (piggybacked changes), anti-entropy (exchange of full state),
flap damping and link statistics. `SwimMembership` combines them and is the interface for other packages.
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

MAX_SEEN_BROADCASTS = 4096  # keys stored to deliver each broadcast once; the oldest are evicted
LEAVE_FANOUT_FACTOR = 2  # a leaving member notifies this many times `indirect_probes` members
STALL_THRESHOLD_PERIODS = 0.5  # a tick delayed for longer counts as a stall of this process
PRUNE_INTERVAL_SHARE = 0.25  # of `dead_retention`, between removals of expired members

Item = TypeVar("Item")

# Counter names in /control/fleet.
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
            config, rng, self.table, self._outbox, self.local_health, self._suspect_unresponsive
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
        self.next_prune_at = now + config.dead_retention * PRUNE_INTERVAL_SHARE
        self.has_left = False
        self.stalled_seconds = 0.0  # total duration of this process's stalls
        self.last_stall_at: float | None = None

    # State of the fleet.

    @property
    def next_due(self) -> float:
        """Time of the next call to `tick`, seconds."""
        return self.timer.due_at

    @next_due.setter
    def next_due(self, due: float) -> None:
        self.timer.due_at = due

    @property
    def local(self) -> MemberUpdate:
        """State of this process as sent to other members."""
        return self.table.local

    @property
    def members(self) -> dict[MemberKey, Member]:
        """All other known members, including dead ones."""
        return self.table.members

    @property
    def links(self) -> dict[MemberKey, Link]:
        """Measurements of the links to other members."""
        return self.failure_detector.link_statistics.links

    @property
    def flap_damping(self) -> FlapDamping:
        """Penalties of members that fail repeatedly."""
        return self.table.flap_damping

    @property
    def outbox(self) -> list[OutgoingDatagram]:
        """Datagrams to send."""
        return self._outbox.datagrams

    @property
    def changes(self) -> list[MemberChange]:
        """Member changes not yet returned by `take_changes`."""
        return self.table.changes

    def live_members(self) -> Iterator[Member]:
        """Iterate over the other members that are alive or suspect."""
        return iter(self.table.live.values())

    def newest(self, name: str) -> Member | None:
        """Return the live process with this name and the highest epoch, or None."""
        return self.table.newest(name)

    def live_count(self) -> int:
        """Return the number of live members, including this process."""
        return self.table.live_count

    # Results for the caller.

    def take_outbox(self) -> list[OutgoingDatagram]:
        """Return and clear the datagrams to send."""
        return _drain(self._outbox.datagrams)

    def take_changes(self) -> list[MemberChange]:
        """Return and clear the member changes."""
        return _drain(self.table.changes)

    def take_payloads(self) -> list[tuple[Member, Payload]]:
        """Return and clear the received messages for other services, with their senders."""
        return _drain(self.received_payloads)

    def take_broadcasts(self) -> list[Broadcast]:
        """Return and clear the received broadcasts for other services."""
        return _drain(self.received_broadcasts)

    # Input from the caller.

    def compensate_for_stall(self, now: float) -> None:
        """Extend suspicion deadlines and discard probes after a stall of this process.

        A late tick shows that this process did not run, so missing answers are no evidence against other
        members. Must run before anything else acts on the new time or on a packet.
        """
        delay = now - self.next_due
        if delay <= self.config.period * STALL_THRESHOLD_PERIODS:
            return
        self.stalled_seconds += delay
        self.last_stall_at = now
        self.counters[STALLS] += 1
        self.local_health.degrade()
        for member in self.table.suspects.values():
            member.deadline += delay
        self.failure_detector.void_probes()
        self.next_due = now

    def tick(self, now: float) -> None:
        """Run all actions that are due, then set `next_due`."""
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
        """Return the time of the next action, seconds."""
        times = [self.anti_entropy.next_sync_at, self.next_prune_at]
        times += self.failure_detector.due_times()
        times += [member.deadline for member in self.table.suspects.values()]
        return min(times)

    def set_flags(self, flags: int) -> None:
        """Publish new flags of this process."""
        if flags != self.local.flags:
            self.state_rules.renew_local(self.local.incarnation + 1, flags)

    def leave(self) -> None:
        """Notify a few members that this process is leaving; they disseminate it."""
        self.has_left = True
        self.next_due = math.inf
        update = encode(replace(self.local, state=MemberState.LEFT))
        live = list(self.live_members())
        for member in self.rng.sample(
            live, min(len(live), LEAVE_FANOUT_FACTOR * self.config.indirect_probes)
        ):
            self._outbox.send_plain(member.address, member.epoch, [update])

    def send_payload(self, member: Member, kind: int, body: bytes) -> None:
        """Send a message of another service to one member, at most once and without retransmission."""
        self._outbox.send(member, Payload(kind, body))

    def broadcast(self, kind: int, body: bytes) -> None:
        """Disseminate a message of another service, delivered once to each member within a few periods."""
        self.broadcast_sequence += 1
        message = Broadcast(self.local.name, self.local.epoch, self.broadcast_sequence, kind, body)
        key = message.name, message.epoch, message.sequence
        self.dissemination_queue.enqueue(key, message)  # returned copies are recognized by the name

    # Receiving.

    def on_message(self, now: float, packet: Packet, source: Address) -> None:
        """Process an authenticated packet.

        Its member updates are applied first because they may add the sender to the member table.
        """
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
            if sender.state is MemberState.DEAD:  # send its state back so that it can refute it
                update = [encode(sender.update())]
                self._outbox.reply(OutgoingDatagram(source, packet.epoch, update), now)
            return
        self.failure_detector.link_statistics.record_datagram(sender.key, now)
        for message in packet.messages:
            self._dispatch(sender, message, packet, now)

    def _dispatch(self, sender: Member, message: Message, packet: Packet, now: float) -> None:
        match message:
            case Ping():
                reply = self._outbox.build_datagram(sender, [Ack(message.nonce)])
                self._outbox.reply(reply, now)
            case Ack():
                self.failure_detector.on_ack(message, sender, now)
            case PingRequest():
                expires_at = self.failure_detector.on_ping_request(message, sender, now)
                if expires_at is not None:
                    self.timer.schedule_by(expires_at)
            case Nack():
                self.failure_detector.on_nack(message)
            case Sync():
                self.anti_entropy.on_sync(message, sender, _introduces_sender(packet), now)
            case Broadcast():
                self._on_broadcast(message)
            case Payload():
                if packet.receiver_epoch == self.local.epoch:
                    self.received_payloads.append((sender, message))
                else:  # possibly a datagram replayed from the time of an earlier process of this name
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

    def _suspect_unresponsive(self, member: Member, now: float) -> None:
        self.state_rules.suspect(member, member.incarnation, self.local.name, now)

    def _prune(self, now: float) -> None:
        self.next_prune_at = now + self.config.dead_retention * PRUNE_INTERVAL_SHARE
        self.table.remove_expired(now, self.config.dead_retention)
        self.failure_detector.link_statistics.prune(self.members)


def _introduces_sender(packet: Packet) -> bool:
    """Return whether a packet contains its sender's own member update."""
    sender = packet.name, packet.epoch
    return any(
        isinstance(message, MemberUpdate) and (message.name, message.epoch) == sender
        for message in packet.messages
    )


def _drain(items: list[Item]) -> list[Item]:
    taken = items.copy()
    items.clear()
    return taken
