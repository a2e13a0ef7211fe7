"""SWIM's failure detector: one probe a period, indirect probes without an answer, then a suspicion.

Members are probed in round-robin order over a list that is shuffled after each round, so that the time to the
first probe of a failed member is bounded (SWIM, section 4.3). Relays answer a missing target with a nack
(Lifeguard): without these it may be the prober itself that does not receive.
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

MAX_RELAYED_PROBES = 256  # under way for others; further requests are dropped
RELAY_TIMEOUT_SHARE = 0.8  # of the direct timeout: the nack is to arrive before the requester gives up
NONCE_BITS = 32
MAX_TIMEOUT_SHARE = 0.5  # of the period: the rest is for the indirect probes


@dataclass(slots=True)
class Probe:
    """The probe of the present period."""

    member: Member
    nonce: int
    indirect_at: float  # when indirect probes are sent, seconds
    ends_at: float  # seconds
    answered: bool = False
    void: bool = False  # this process stalled meanwhile: a missing answer is no evidence
    indirect_sent: bool = False
    relays: int = 0
    nacks: int = 0
    answered_directly: bool = False

    @property
    def awaits_indirect(self) -> bool:
        """Whether indirect probes are still to be sent."""
        return not (self.answered or self.void or self.indirect_sent)


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent for another member."""

    requester: MemberKey
    requester_nonce: int
    expires_at: float  # seconds


class FailureDetector:
    """Probes members in turn; reports one without an answer through `suspect(member, now)`."""

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
        self.order: list[MemberKey] = []  # of the members still to be probed in this round, the next one last
        self.probe: Probe | None = None
        self.relayed: OrderedDict[int, RelayedProbe] = OrderedDict()  # by the nonce of this member's ping
        self.next_probe_at = 0.0  # seconds; set by the owner, which draws the first one by chance

    def schedule_member(self, key: MemberKey) -> None:
        """Give a new member a random place in the present round (SWIM, section 4.3)."""
        self.order.insert(self.rng.randrange(len(self.order) + 1), key)

    def schedule_next(self, key: MemberKey) -> None:
        """Probe a member next."""
        self.order.append(key)

    def void_probes(self) -> None:
        """Discard what was under way while this process stalled."""
        if self.probe:
            self.probe.void = True
        self.relayed.clear()

    def probe_if_due(self, now: float) -> None:
        """Send the indirect probes of the present period, or begin the next period."""
        probe = self.probe
        period = self.config.period * self.local_health.multiplier
        if probe and probe.awaits_indirect and probe.indirect_at <= now < probe.ends_at:
            self._probe_indirectly(probe)
        if now >= self.next_probe_at:
            if probe:
                if not probe.void:
                    self.link_statistics.probe_finished(probe.member.key, probe.answered_directly)
                self._conclude(probe, now)
            # The health score may be another one now: the next timeout goes by it, the next period does not.
            self._begin_probe(now, period)
            self.next_probe_at = now + period

    def expire_relayed(self, now: float) -> None:
        """Answer requests whose target has not answered in time."""
        while self.relayed:
            nonce, relayed = next(iter(self.relayed.items()))
            if relayed.expires_at > now:
                break
            del self.relayed[nonce]
            if requester := self.table.members.get(relayed.requester):
                self.outbox.send(requester, Nack(relayed.requester_nonce))

    def due_times(self) -> list[float]:
        """Return when `probe_if_due` or `expire_relayed` have something to do."""
        times = [self.next_probe_at]
        if self.probe and self.probe.awaits_indirect:
            times.append(self.probe.indirect_at)
        if self.relayed:
            times.append(next(iter(self.relayed.values())).expires_at)
        return times

    def on_ack(self, ack: Ack, sender: Member, now: float) -> None:
        """Take the answer to this member's probe, or pass one on to the member that requested it."""
        probe = self.probe
        if probe and probe.nonce == ack.nonce:
            if not probe.answered and not probe.void:
                self.local_health.recover()
            probe.answered = True
            if sender is probe.member and not probe.answered_directly:
                probe.answered_directly = True
                self.link_statistics.direct_answer(sender.key, now)
        elif ack.nonce in self.relayed:
            relayed = self.relayed.pop(ack.nonce)
            if requester := self.table.members.get(relayed.requester):
                self.outbox.send(requester, Ack(relayed.requester_nonce))

    def on_nack(self, nack: Nack) -> None:
        """Take the answer of a relay that it has received nothing either."""
        if self.probe and self.probe.nonce == nack.nonce:
            self.probe.nacks += 1

    def on_ping_request(self, request: PingRequest, sender: Member, now: float) -> float | None:
        """Probe a member for another; return when the answer is overdue, None if too many are under way."""
        if len(self.relayed) >= MAX_RELAYED_PROBES:
            return None
        nonce = self.rng.getrandbits(NONCE_BITS)
        expires_at = now + self.config.timeout * RELAY_TIMEOUT_SHARE
        self.relayed[nonce] = RelayedProbe(sender.key, request.nonce, expires_at)
        known = self.table.members.get((request.name, request.epoch))
        address = known.address if known else request.address
        self.outbox.send_plain(address, request.epoch, [encode(Ping(nonce))])
        return expires_at

    def _begin_probe(self, now: float, period: float) -> None:
        self.probe = None
        member = self._next_member()
        if member is None:
            return
        nonce = self.rng.getrandbits(NONCE_BITS)
        timeout = min(self.config.timeout * self.local_health.multiplier, period * MAX_TIMEOUT_SHARE)
        self.probe = Probe(member, nonce, now + timeout, now + period)
        self.link_statistics.probe_sent(member.key, now)
        messages: list[Message] = [Ping(nonce)]
        if member.state is MemberState.SUSPECT:
            messages.append(member.update())  # it has to know of the suspicion to refute it
        self.outbox.datagrams.append(self.outbox.piggybacked(member, messages))

    def _next_member(self) -> Member | None:
        while self.order:
            member = self.table.members.get(self.order.pop())
            if member and member.is_live:
                return member
        self.order = list(self.table.live)
        if not self.order:
            return None
        self.rng.shuffle(self.order)
        return self.table.members[self.order.pop()]

    def _probe_indirectly(self, probe: Probe) -> None:
        others = [
            member
            for member in self.table.live.values()
            if member is not probe.member and member.state is MemberState.ALIVE
        ]
        relays = self.rng.sample(others, min(len(others), self.config.indirect_probes))
        probe.indirect_sent = True
        probe.relays = len(relays)
        target = probe.member
        for relay in relays:
            self.outbox.send(relay, PingRequest(probe.nonce, target.name, target.epoch, target.address))

    def _conclude(self, probe: Probe, now: float) -> None:
        if probe.answered or probe.void:
            return
        no_relays = probe.indirect_sent and not probe.relays
        if probe.nacks < probe.relays or no_relays:  # it may be this member whose messages do not arrive
            self.local_health.degrade()
        member = probe.member
        if self.table.members.get(member.key) is member and member.is_live:
            self.suspect(member, now)
