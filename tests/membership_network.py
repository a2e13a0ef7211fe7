"""A simulated network of members, in simulated time."""

import heapq
from random import Random

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator
from onyxhollow.membership.messages import MemberState, MemberUpdate
from onyxhollow.membership.swim import SwimMembership

KEYS = [b"k" * 16]


class MembershipNetwork:
    """Members in simulated time. Datagrams take up to 10 ms, and links can be cut."""

    def __init__(self, count, seed=1, config=None):
        self.now, self.rng, self.in_transit, self.datagram_count = 100.0, Random(seed), [], 0
        self.config = config or ProtocolConfig()
        self.members, self.authenticators, self.stopped, self.stalled, self.cut = {}, {}, set(), set(), set()
        self.sent_bytes, self.largest_datagram = 0, 0
        for number in range(count):
            self.add(f"m{number}")

    def add(self, name, epoch=1, address=None):
        key = f"{name}~{epoch}"
        address = address or (key, 1)
        local = MemberUpdate(name, epoch, 0, MemberState.ALIVE, address, "z", 3)
        self.members[key] = SwimMembership(
            local, self.config, Random(string_hash(key)), [("m0~1", 1), ("m1~1", 1)], self.now
        )
        self.authenticators[key] = DatagramAuthenticator("f", name, epoch, KEYS)
        return self.members[key]

    def flush(self, key):
        swim = self.members[key]
        for outgoing in swim.outbox:
            datagram = self.authenticators[key].sign(outgoing.messages, outgoing.receiver_epoch)
            self.largest_datagram = max(self.largest_datagram, len(datagram))
            self.sent_bytes += len(datagram)
            target = outgoing.address[0]
            if target in self.members and (key, target) not in self.cut:
                self.datagram_count += 1
                heapq.heappush(
                    self.in_transit,
                    (self.now + self.rng.uniform(0.001, 0.01), self.datagram_count, key, target, datagram),
                )
        swim.outbox.clear()

    def run(self, seconds):
        until = self.now + seconds
        while True:
            running = [key for key in self.members if key not in self.stopped and key not in self.stalled]
            next_tick = min((self.members[key].next_due for key in running), default=until)
            self.now = max(
                self.now, min(until, next_tick, self.in_transit[0][0] if self.in_transit else until)
            )
            if self.now >= until:
                for swim in self.members.values():  # the indexes match the table
                    assert swim.table.live == {
                        member.key: member for member in swim.members.values() if member.is_live
                    }
                    assert swim.table.suspects == {
                        key: member
                        for key, member in swim.table.live.items()
                        if member.state is MemberState.SUSPECT
                    }
                return
            while self.in_transit and self.in_transit[0][0] <= self.now:
                _, _, source, target, datagram = heapq.heappop(self.in_transit)
                if target in self.stopped or target in self.stalled:
                    continue
                if packet := self.authenticators[target].verify(datagram):
                    self.members[target].on_message(self.now, packet, (source, 1))
                self.flush(target)
            for key in running:
                if self.members[key].next_due <= self.now:
                    self.members[key].tick(self.now)
                    self.flush(key)

    def live_members_of(self, key):
        return {f"{member.name}~{member.epoch}" for member in self.members[key].live_members()}


def string_hash(text):
    return sum(ord(letter) * 31**place for place, letter in enumerate(text))


def all_members_agree(net):
    running = set(net.members) - net.stopped
    return all(net.live_members_of(key) == running - {key} for key in running)
