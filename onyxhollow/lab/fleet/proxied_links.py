"""The test network between the members of a process cluster: a datagram proxy with a fault per directed link.

Each member has one proxy socket, whose address the other members use for it. A datagram arrives at the
proxy socket of its receiver, is attributed to a member by its source address, and is forwarded from the proxy
socket of that sender. N sockets therefore serve N x N links. The TCP connections to stand-ins have the same
faults: their listeners call `fault_on` (stand_ins.py).
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
MAX_READS_PER_TURN = 256  # per socket and turn of the event loop
MAX_DATAGRAM_BYTES = 2048
MAX_DELAYED_DATAGRAMS = 200_000


@dataclass(frozen=True)
class LinkFault:
    """Faults of one link, applied to a datagram in this order. Times in seconds, shares from 0 to 1."""

    cut: bool = False
    loss: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # minimum and maximum; a difference reorders datagrams
    copies: float = 0.0  # share of datagrams that are sent twice
    copy_delay: tuple[float, float] = (0.0, 0.0)  # additional delay of the copy

    def combined_with(self, other: LinkFault) -> LinkFault:
        """Return the fault of a link that has both."""
        return LinkFault(
            self.cut or other.cut,
            1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            (self.delay[0] + other.delay[0], self.delay[1] + other.delay[1]),
            1.0 - (1.0 - self.copies) * (1.0 - other.copies),
            max(self.copy_delay, other.copy_delay),
        )


NO_FAULT = LinkFault()


@dataclass(frozen=True)
class LinkRule:
    """A fault and the links that it applies to, by the names of both ends; `None` is any name."""

    sources: frozenset[str] | None
    targets: frozenset[str] | None
    fault: LinkFault

    def covers(self, source: str, target: str) -> bool:
        """Return whether the rule applies to the directed link."""
        return (self.sources is None or source in self.sources) and (
            self.targets is None or target in self.targets
        )


def _as_name_set(names: Iterable[str] | None) -> frozenset[str] | None:
    return None if names is None else frozenset(names)


class ProxiedLinks:
    """The proxy sockets of all members and the faults of the links between them."""

    def __init__(self, loop: Loop, rng: Random) -> None:
        self.loop, self.rng = loop, rng
        self.sockets: dict[str, socket.socket] = {}
        self.members: dict[Address, str] = {}  # by the address that the process sends from
        self.addresses: dict[str, Address] = {}
        self.rules: list[LinkRule] = []
        self.fault_cache: dict[tuple[str, str], LinkFault] = {}
        self.delayed: list[tuple[float, int, str, str, bytes]] = []
        self.sequence_number = 0
        self.counts: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()  # datagrams by sender
        self.bytes: Counter[str] = Counter()
        self.task = loop.spawn(self.send_delayed())

    def add(self, name: str, address: Address, proxy_address: Address) -> None:
        """Open the proxy socket of a member, at `proxy_address`; its process listens at `address`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(proxy_address)
        self.sockets[name] = sock
        self.members[address], self.addresses[name] = name, address
        self.loop.watch(sock.fileno(), READ, lambda _: self.read(name))

    # Faults

    def fault_on(self, source: str, target: str) -> LinkFault:
        """Return the combined faults of one directed link."""
        fault = self.fault_cache.get((source, target))
        if fault is None:
            fault = NO_FAULT
            for rule in self.rules:
                # "n1+" is a successor of n1 that runs beside it.
                if rule.covers(source.rstrip("+"), target.rstrip("+")):
                    fault = fault.combined_with(rule.fault)
            self.fault_cache[source, target] = fault
        return fault

    def add_rule(
        self, fault: LinkFault, sources: Iterable[str] | None, targets: Iterable[str] | None
    ) -> LinkRule:
        """Add a fault to all links from `sources` to `targets`; None stands for any name."""
        rule = LinkRule(_as_name_set(sources), _as_name_set(targets), fault)
        self.rules.append(rule)
        self.fault_cache.clear()
        return rule

    def remove_rules(self, *rules: LinkRule) -> None:
        """Remove these rules, or all if none are given."""
        self.rules = [rule for rule in self.rules if rules and rule not in rules]
        self.fault_cache.clear()

    # Forwarding

    def read(self, target: str) -> None:
        """Forward the datagrams at the proxy socket of a member, up to MAX_READS_PER_TURN."""
        sock = self.sockets[target]
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # the previous datagram went to an address without a listener
            if (source := self.members.get(address)) is None:
                self.counts["from a stranger"] += 1
                continue
            self.sent[source] += 1
            self.bytes[source] += len(data)
            self.forward(source, target, data)

    def forward(self, source: str, target: str, data: bytes) -> None:
        """Send, drop, delay or duplicate a datagram by the fault of its link."""
        fault = self.fault_on(source, target)
        if fault is NO_FAULT:
            self.send(source, target, data)
            return
        if fault.cut or (fault.loss and self.rng.random() < fault.loss):
            self.counts["dropped"] += 1
            return
        delays = [self.rng.uniform(*fault.delay)]
        if fault.copies and self.rng.random() < fault.copies:
            delays.append(delays[0] + self.rng.uniform(*fault.copy_delay))
        for delay in delays:
            if delay <= 0.0:
                self.send(source, target, data)
            elif len(self.delayed) < MAX_DELAYED_DATAGRAMS:
                self.sequence_number += 1
                heapq.heappush(
                    self.delayed, (self.loop.now + delay, self.sequence_number, source, target, data)
                )
                self.task.wake()

    def send(self, source: str, target: str, data: bytes) -> None:
        """Send a datagram from the sender's proxy socket; errors of the socket count as loss."""
        self.counts["passed on"] += 1
        with contextlib.suppress(OSError):
            self.sockets[source].sendto(data, self.addresses[target])

    def send_delayed(self) -> Generator[float, None, None]:
        """Send delayed datagrams when they are due, as a task of the event loop."""
        while True:
            while self.delayed and self.delayed[0][0] <= self.loop.now:
                _, _, source, target, data = heapq.heappop(self.delayed)
                # A datagram in flight is delivered even if its link has been cut since.
                self.send(source, target, data)
            yield self.delayed[0][0] if self.delayed else math.inf

    def close(self) -> None:
        """Close all proxy sockets; delayed datagrams are dropped."""
        for sock in self.sockets.values():
            self.loop.watch(sock.fileno(), 0, None)
            sock.close()
        self.sockets.clear()
