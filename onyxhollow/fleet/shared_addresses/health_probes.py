"""Probe sessions through this member's own listener, and its health reports to the route guard."""

from __future__ import annotations

from collections.abc import Generator
from urllib.parse import quote

import h11

from onyxhollow.addresses.file import AddressesFile, Service, Site, parse_host_port
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.local_health import LocalHealth
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.discovery_connection import DiscoveryConnection
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import EndpointListError

REPORT_INTERVAL = 1.0  # seconds between reports to the route guard
GUARD_TIMEOUT = 1.0  # seconds for the route guard to answer
POLL = 0.05  # seconds between looks at a connection that wakes another coroutine
JITTER = (0.8, 1.2)  # of an interval, so that members do not act in step


def never() -> bool:
    """A call that nothing supersedes."""
    return False


class ProbeSessions:
    """Opens sessions as a client would, to see whether they are accepted."""

    def __init__(self, member: MemberContext, config: AddressesFile, health: LocalHealth) -> None:
        self.member = member
        self.config = config
        self.health = health
        self.pool = BufferPool()
        self.number = 0

    def run(self) -> Generator[float, None, None]:
        """One session after another, each for the next address, until the member ends."""
        loop = self.member.loop
        while not self.member.closed:
            due = loop.now + self.config.probe_interval * self.member.rng.uniform(*JITTER)
            while loop.now < due:
                yield due
            if not self.member.proxy.service.ready:
                continue
            self.number += 1
            service = self.config.services[self.number % len(self.config.services)]
            accepted = yield from self.probe(service)
            self.health.targets[service.name].record_probe(accepted)

    def probe(self, service: Service) -> Generator[float, None, bool]:
        """One session; whether it was accepted within its listener's time."""
        listeners = self.member.proxy.config.settings.listeners
        name = next((name for name in service.listeners if name in listeners), next(iter(listeners)))
        timeout = listeners[name].attempt_timeout
        loop = self.member.loop
        try:
            channel = Channel.connect(loop, self.own_address(), self.pool, self.member.task.wake)
        except OSError:
            return False
        until = loop.now + timeout
        milliseconds = max(1, round(timeout * 1000))
        channel.write(
            b"OPEN own%x-%x own c=%s,d=%d\r\n" % (self.member.epoch, self.number, name.encode(), milliseconds)
        )
        accepted = False
        while loop.now < until and not channel.ended:
            line = channel.line()
            if line is not None:
                accepted = bytes(line[:2]) == b"UP"
                break
            channel.set_paused(False)
            yield min(until, loop.now + POLL)
        channel.close()
        return accepted

    def own_address(self) -> Address:
        """Where this member's clients connect."""
        host, port = self.member.proxy.config.listen
        return ("127.0.0.1" if host == "0.0.0.0" else host, port)


class GuardHealthReporter:
    """Tells the site's route guard what this member sees, for when no announcer can hold a lease there."""

    def __init__(self, member: MemberContext, site: Site, health: LocalHealth) -> None:
        self.member = member
        self.address = parse_host_port(site.route_guard, "gate")
        self.health = health
        self.pool = BufferPool()

    def run(self) -> Generator[float, None, None]:
        """One report after another, until the member ends."""
        loop = self.member.loop
        while not self.member.closed:
            due = loop.now + REPORT_INTERVAL * self.member.rng.uniform(*JITTER)
            if self.health.latest:
                yield from self.report()
            while loop.now < due:
                yield due

    def report(self) -> Generator[float, None, None]:
        """One call; a guard that does not answer is called again next time."""
        loop = self.member.loop
        rows = "&".join(f"{quote(row.address)}={row.health:.3f}" for row in self.health.latest)
        call: DiscoveryConnection | None = None
        try:
            until = loop.now + GUARD_TIMEOUT
            call = DiscoveryConnection(loop, self.address, self.pool, self.member.task.wake)
            while call.channel.connecting and loop.now < until:
                yield min(until, loop.now + POLL)
            if not call.channel.connecting:
                target = f"/seen?member={quote(self.member.name)}&{rows}"
                waits = call.get(target, until, never, "POST")
                yield from (min(when, loop.now + POLL) for when in waits)
        except (EndpointListError, OSError, h11.ProtocolError):
            pass  # the next report is due soon
        finally:
            if call:
                call.channel.close()
