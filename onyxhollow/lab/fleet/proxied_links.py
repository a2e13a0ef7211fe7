"""What lies between members: a relay of datagrams in which every directed link can be harmed.

One socket for each member, which stands for it towards the others. A datagram comes in at the receiver's
socket; its source tells the sender; it goes on from the sender's own socket. So N sockets serve N x N
links. The links to stand-ins (TCP) obey the same harms; their desks ask `harm` (stands.py).
"""

from __future__ import annotations

import contextlib
import heapq
import math
import socket
from collections import Counter
from collections.abc import Generator, Iterable
from dataclasses import dataclass
from random import Random

from onyxhollow.loop import READ, Loop

Address = tuple[str, int]
READS = 256  # datagrams in one turn of the loop
LARGEST = 2048
MOST_DELAYED = 200_000


@dataclass(frozen=True)
class LinkFault:
    """What befalls datagrams of a link, in this order. Times in seconds, shares from 0 to 1."""

    cut: bool = False
    loss: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # at least, at most: what differs reorders
    copies: float = 0.0
    copy_delay: tuple[float, float] = (0.0, 0.0)  # of the copy alone

    def and_also(self, other: LinkFault) -> LinkFault:
        return LinkFault(
            self.cut or other.cut,
            1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            (self.delay[0] + other.delay[0], self.delay[1] + other.delay[1]),
            1.0 - (1.0 - self.copies) * (1.0 - other.copies),
            max(self.copy_delay, other.copy_delay),
        )


NONE = LinkFault()


@dataclass(frozen=True)
class LinkRule:
    """Which links: by the names of both ends, `None` for any."""

    sources: frozenset[str] | None
    targets: frozenset[str] | None
    harm: LinkFault

    def covers(self, source: str, target: str) -> bool:
        return (self.sources is None or source in self.sources) and (
            self.targets is None or target in self.targets
        )


def names(told: Iterable[str] | None) -> frozenset[str] | None:
    return None if told is None else frozenset(told)


class ProxiedLinks:
    def __init__(self, loop: Loop, rng: Random) -> None:
        self.loop, self.rng = loop, rng
        self.socks: dict[str, socket.socket] = {}
        self.members: dict[Address, str] = {}  # by the address that its process sends from
        self.addresses: dict[str, Address] = {}
        self.rules: list[LinkRule] = []
        self.known: dict[tuple[str, str], LinkFault] = {}
        self.delayed: list[tuple[float, int, str, str, bytes]] = []
        self.number = 0
        self.counts: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()  # datagrams by sender
        self.bytes: Counter[str] = Counter()
        self.task = loop.spawn(self.late())

    def add(self, name: str, address: Address, at: Address) -> None:
        """address: where the member's process is; at: where the others find it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(at)
        self.socks[name] = sock
        self.members[address], self.addresses[name] = name, address
        self.loop.watch(sock.fileno(), READ, lambda _: self.read(name))

    # harming

    def harm(self, source: str, target: str) -> LinkFault:
        found = self.known.get((source, target))
        if found is None:
            found = NONE
            for rule in self.rules:
                if rule.covers(source.rstrip("+"), target.rstrip("+")):  # n1+: a successor of n1 beside it
                    found = found.and_also(rule.harm)
            self.known[source, target] = found
        return found

    def put(self, harm: LinkFault, sources: Iterable[str] | None, targets: Iterable[str] | None) -> LinkRule:
        rule = LinkRule(names(sources), names(targets), harm)
        self.rules.append(rule)
        self.known.clear()
        return rule

    def mend(self, *rules: LinkRule) -> None:
        """These, or all."""
        self.rules = [rule for rule in self.rules if rules and rule not in rules]
        self.known.clear()

    # passing on

    def read(self, target: str) -> None:
        sock = self.socks[target]
        for _ in range(READS):
            try:
                data, address = sock.recvfrom(LARGEST)
            except BlockingIOError:
                return
            except OSError:
                continue  # nobody is where the last one went
            if (source := self.members.get(address)) is None:
                self.counts["from a stranger"] += 1
                continue
            self.sent[source] += 1
            self.bytes[source] += len(data)
            self.carry(source, target, data)

    def carry(self, source: str, target: str, data: bytes) -> None:
        harm = self.harm(source, target)
        if harm is NONE:
            self.send(source, target, data)
            return
        if harm.cut or (harm.loss and self.rng.random() < harm.loss):
            self.counts["dropped"] += 1
            return
        spans = [self.rng.uniform(*harm.delay)]
        if harm.copies and self.rng.random() < harm.copies:
            spans.append(spans[0] + self.rng.uniform(*harm.copy_delay))
        for span in spans:
            if span <= 0.0:
                self.send(source, target, data)
            elif len(self.delayed) < MOST_DELAYED:
                self.number += 1
                heapq.heappush(self.delayed, (self.loop.now + span, self.number, source, target, data))
                self.task.wake()

    def send(self, source: str, target: str, data: bytes) -> None:
        self.counts["passed on"] += 1
        with contextlib.suppress(OSError):
            self.socks[source].sendto(data, self.addresses[target])

    def late(self) -> Generator[float, None, None]:
        while True:
            while self.delayed and self.delayed[0][0] <= self.loop.now:
                _, _, source, target, data = heapq.heappop(self.delayed)
                self.send(source, target, data)  # also over a link that was cut meanwhile: it was on its way
            yield self.delayed[0][0] if self.delayed else math.inf

    def close(self) -> None:
        for sock in self.socks.values():
            self.loop.watch(sock.fileno(), 0, None)
            sock.close()
        self.socks.clear()
