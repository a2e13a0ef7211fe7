"""SWIM's failure detector: one direct probe per period, then indirect probes, then a suspicion.

Members are probed in round-robin order over a list that is shuffled after each round, which bounds the time
until a failed member is probed (SWIM, section 4.3). A relay whose target does not answer sends a nack
(Lifeguard). If nacks are missing too, the prober's own link may be at fault.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.link_statistics import LinkStatistics
from onyxhollow.membership.local_health import LocalHealth
from onyxhollow.membership.member_table import Member, MemberKey, MemberTable
from onyxhollow.membership.messages import Ack, MemberState, Message, Nack, Ping, PingRequest, encode
from onyxhollow.membership.outbox import Outbox

MAX_RELAYED_PROBES = 256  # further requests are dropped
RELAY_TIMEOUT_SHARE = 0.8  # of `timeout`, so that the nack arrives before the requester's probe ends
NONCE_BITS = 32
MAX_DIRECT_TIMEOUT_SHARE = 0.5  # of the period, to leave time for the indirect probes


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    member: Member
    nonce: int
    indirect_at: float  # time at which indirect probes are sent, seconds
    ends_at: float  # end of the period, seconds
    answered: bool = False
    void: bool = False  # this process stalled during the probe, so a missing answer is no evidence
    indirect_sent: bool = False
    relays: int = 0
    nacks: int = 0
    answered_directly: bool = False

    @property
    def awaits_indirect(self) -> bool:
        """Whether indirect probes may still have to be sent."""
        return not (self.answered or self.void or self.indirect_sent)


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of another member."""

    requester: MemberKey
    requester_nonce: int
    expires_at: float  # seconds


class FailureDetector:
    """Probes one member per period and calls `suspect(member, now)` if it does not answer."""

    def __init__(
        self,
        config: ProtocolConfig,
        rng: Random,
        table: MemberTable,
        outbox: Outbox,
        local_health: LocalHealth,
        suspect: Callable[[Member, float], None],
    ) -> None:
        self.config = config
        self.rng = rng
        self.table = table
        self.outbox = outbox
        self.local_health = local_health
        self.suspect = suspect
        self.link_statistics = LinkStatistics()
        self.probe_order: list[MemberKey] = []  # members not yet probed in this round; the last one is next
        self.probe: Probe | None = None
        # By the nonce of the relayed ping.
        self.relayed_probes: OrderedDict[int, RelayedProbe] = OrderedDict()
        self.next_probe_at = 0.0  # seconds; SwimMembership sets a random first value

    def schedule_member(self, key: MemberKey) -> None:
        """Insert a new member at a random position in the current round (SWIM, section 4.3)."""
        self.probe_order.insert(self.rng.randrange(len(self.probe_order) + 1), key)

    def schedule_next(self, key: MemberKey) -> None:
        """Make a member the next one to be probed."""
        self.probe_order.append(key)

    def void_probes(self) -> None:
        """Discard the probes during which this process stalled."""
        if self.probe:
            self.probe.void = True
        self.relayed_probes.clear()

    def probe_if_due(self, now: float) -> None:
        """Send the indirect probes of the current period, or start the next period, if due."""
        probe = self.probe
        period = self.config.period * self.local_health.multiplier
        if probe and probe.awaits_indirect and probe.indirect_at <= now < probe.ends_at:
            self._probe_indirectly(probe)
        if now >= self.next_probe_at:
            if probe:
                if not probe.void:
                    self.link_statistics.record_probe_result(probe.member.key, probe.answered_directly)
                self._finish_probe(probe, now)
            # Finishing the probe may have changed the health score. The timeout of the next probe uses the
            # new score, but its period still uses the old one.
            self._begin_probe(now, period)
            self.next_probe_at = now + period

    def expire_relayed(self, now: float) -> None:
        """Send a nack for each relayed probe that has timed out."""
        while self.relayed_probes:
            nonce, relayed = next(iter(self.relayed_probes.items()))
            if relayed.expires_at > now:
                break
            del self.relayed_probes[nonce]
            if requester := self.table.members.get(relayed.requester):
                self.outbox.send(requester, Nack(relayed.requester_nonce))

    def due_times(self) -> list[float]:
        """Return the times of the next actions of `probe_if_due` and `expire_relayed`."""
        times = [self.next_probe_at]
        if self.probe and self.probe.awaits_indirect:
            times.append(self.probe.indirect_at)
        if self.relayed_probes:
            times.append(next(iter(self.relayed_probes.values())).expires_at)
        return times

    def on_ack(self, ack: Ack, sender: Member, now: float) -> None:
        """Record an answer to the current probe, or relay an answer to the member that requested it."""
        probe = self.probe
        if probe and probe.nonce == ack.nonce:
            if not probe.answered and not probe.void:
                self.local_health.recover()
            probe.answered = True
            if sender is probe.member and not probe.answered_directly:
                probe.answered_directly = True
                self.link_statistics.record_direct_answer(sender.key, now)
        elif ack.nonce in self.relayed_probes:
            relayed = self.relayed_probes.pop(ack.nonce)
            if requester := self.table.members.get(relayed.requester):
                self.outbox.send(requester, Ack(relayed.requester_nonce))

    def on_nack(self, nack: Nack) -> None:
        """Record that a relay received no answer from the target either."""
        if self.probe and self.probe.nonce == nack.nonce:
            self.probe.nacks += 1

    def on_ping_request(self, request: PingRequest, sender: Member, now: float) -> float | None:
        """Probe a member on behalf of `sender`; return when that times out, None if it is refused."""
        if len(self.relayed_probes) >= MAX_RELAYED_PROBES:
            return None
        nonce = self.rng.getrandbits(NONCE_BITS)
        expires_at = now + self.config.timeout * RELAY_TIMEOUT_SHARE
        self.relayed_probes[nonce] = RelayedProbe(sender.key, request.nonce, expires_at)
        target = self.table.members.get((request.name, request.epoch))
        address = target.address if target else request.address
        self.outbox.send_plain(address, request.epoch, [encode(Ping(nonce))])
        return expires_at

    def _begin_probe(self, now: float, period: float) -> None:
        self.probe = None
        member = self._next_member()
        if member is None:
            return
        nonce = self.rng.getrandbits(NONCE_BITS)
        timeout = min(self.config.timeout * self.local_health.multiplier, period * MAX_DIRECT_TIMEOUT_SHARE)
        self.probe = Probe(member, nonce, now + timeout, now + period)
        self.link_statistics.record_probe_sent(member.key, now)
        messages: list[Message] = [Ping(nonce)]
        if member.state is MemberState.SUSPECT:
            messages.append(member.update())  # the member needs the suspicion to refute it
        self.outbox.datagrams.append(self.outbox.build_datagram(member, messages))

    def _next_member(self) -> Member | None:
        while self.probe_order:
            member = self.table.members.get(self.probe_order.pop())
            if member and member.is_live:
                return member
        self.probe_order = list(self.table.live)
        if not self.probe_order:
            return None
        self.rng.shuffle(self.probe_order)
        return self.table.members[self.probe_order.pop()]

    def _probe_indirectly(self, probe: Probe) -> None:
        candidates = [
            member
            for member in self.table.live.values()
            if member is not probe.member and member.state is MemberState.ALIVE
        ]
        relays = self.rng.sample(candidates, min(len(candidates), self.config.indirect_probes))
        probe.indirect_sent = True
        probe.relays = len(relays)
        target = probe.member
        for relay in relays:
            self.outbox.send(relay, PingRequest(probe.nonce, target.name, target.epoch, target.address))

    def _finish_probe(self, probe: Probe, now: float) -> None:
        if probe.answered or probe.void:
            return
        no_relays = probe.indirect_sent and not probe.relays
        if probe.nacks < probe.relays or no_relays:  # the fault may be on this process's side
            self.local_health.degrade()
        member = probe.member
        if self.table.members.get(member.key) is member and member.is_live:
            self.suspect(member, now)
