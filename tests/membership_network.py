"""Members in simulated time, joined by a network whose links can be cut."""

import heapq
from random import Random

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator
from onyxhollow.membership.messages import MemberState, MemberUpdate
from onyxhollow.membership.swim import SwimMembership

KEYS = [b"k" * 16]


class MembershipNetwork:
    """Members in simulated time: datagrams take up to 10 ms, and links can be cut."""

    def __init__(self, count, seed=1, config=None):
        self.now, self.rng, self.due, self.number = 100.0, Random(seed), [], 0
        self.config = config or ProtocolConfig()
        self.members, self.authenticators, self.down, self.stalled, self.cut = {}, {}, set(), set(), set()
        self.sent, self.largest = 0, 0
        for number in range(count):
            self.add(f"m{number}")

    def add(self, name, epoch=1, address=None):
        key = f"{name}~{epoch}"
        address = address or (key, 1)
        local = MemberUpdate(name, epoch, 0, MemberState.ALIVE, address, "z", 3)
        self.members[key] = SwimMembership(
            local, self.config, Random(hash_of(key)), [("m0~1", 1), ("m1~1", 1)], self.now
        )
        self.authenticators[key] = DatagramAuthenticator("f", name, epoch, KEYS)
        return self.members[key]

    def flush(self, key):
        swim = self.members[key]
        for out in swim.outbox:
            datagram = self.authenticators[key].sign(out.messages, out.receiver_epoch)
            self.largest = max(self.largest, len(datagram))
            self.sent += len(datagram)
            target = out.address[0]
            if target in self.members and (key, target) not in self.cut:
                self.number += 1
                heapq.heappush(
                    self.due, (self.now + self.rng.uniform(0.001, 0.01), self.number, key, target, datagram)
                )
        swim.outbox.clear()

    def run(self, seconds):
        until = self.now + seconds
        while True:
            runs = [key for key in self.members if key not in self.down and key not in self.stalled]
            ticks = min((self.members[key].next_due for key in runs), default=until)
            self.now = max(self.now, min(until, ticks, self.due[0][0] if self.due else until))
            if self.now >= until:
                for swim in self.members.values():  # the indexes agree with the table
                    assert swim.table.live == {m.key: m for m in swim.members.values() if m.is_live}
                    assert swim.table.suspects == {
                        w: m for w, m in swim.table.live.items() if m.state is MemberState.SUSPECT
                    }
                return
            while self.due and self.due[0][0] <= self.now:
                _, _, source, target, datagram = heapq.heappop(self.due)
                if target in self.down or target in self.stalled:
                    continue
                if packet := self.authenticators[target].verify(datagram):
                    self.members[target].on_message(self.now, packet, (source, 1))
                self.flush(target)
            for key in runs:
                if self.members[key].next_due <= self.now:
                    self.members[key].tick(self.now)
                    self.flush(key)

    def sees(self, key):
        return {f"{member.name}~{member.epoch}" for member in self.members[key].live_members()}


def hash_of(text):
    return sum(ord(letter) * 31**place for place, letter in enumerate(text))


def all_see_all(net):
    up = set(net.members) - net.down
    return all(net.sees(key) == up - {key} for key in up)
