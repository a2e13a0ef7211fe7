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

REPORT_INTERVAL_SECONDS = 1.0  # between reports to the route guard
GUARD_TIMEOUT_SECONDS = 1.0  # per call
POLL_INTERVAL_SECONDS = 0.05  # events of a connection wake the member's coroutine, not the one that polls it
JITTER_RANGE = (0.8, 1.2)  # factors of an interval, so that members do not act simultaneously


def never_superseded() -> bool:
    """Return False: a report to the route guard is never superseded."""
    return False


class ProbeSessions:
    """Opens sessions like a client and records whether they are accepted."""

    def __init__(self, member: MemberContext, config: AddressesFile, health: LocalHealth) -> None:
        self.member = member
        self.config = config
        self.health = health
        self.pool = BufferPool()
        self.probe_number = 0

    def run(self) -> Generator[float, None, None]:
        """Probe one address after the other periodically, until the member closes."""
        loop = self.member.loop
        while not self.member.closed:
            next_probe_at = loop.now + self.config.probe_interval * self.member.rng.uniform(*JITTER_RANGE)
            while loop.now < next_probe_at:
                yield next_probe_at
            if not self.member.proxy.service.ready:
                continue
            self.probe_number += 1
            service = self.config.services[self.probe_number % len(self.config.services)]
            accepted = yield from self.probe(service)
            self.health.trackers[service.name].record_probe(accepted)

    def probe(self, service: Service) -> Generator[float, None, bool]:
        """Open a session and return whether it was accepted within its listener's attempt timeout."""
        listeners = self.member.proxy.config.settings.listeners
        listener = next((name for name in service.listeners if name in listeners), next(iter(listeners)))
        timeout = listeners[listener].attempt_timeout
        loop = self.member.loop
        try:
            channel = Channel.connect(loop, self.own_address(), self.pool, self.member.task.wake)
        except OSError:
            return False
        deadline = loop.now + timeout
        milliseconds = max(1, round(timeout * 1000))
        channel.write(
            b"OPEN own%x-%x own c=%s,d=%d\r\n"
            % (self.member.epoch, self.probe_number, listener.encode(), milliseconds)
        )
        accepted = False
        while loop.now < deadline and not channel.ended:
            line = channel.line()
            if line is not None:
                accepted = bytes(line[:2]) == b"UP"
                break
            channel.set_paused(False)
            yield min(deadline, loop.now + POLL_INTERVAL_SECONDS)
        channel.close()
        return accepted

    def own_address(self) -> Address:
        """Return the address to which this member's clients connect."""
        host, port = self.member.proxy.config.listen
        return ("127.0.0.1" if host == "0.0.0.0" else host, port)


class GuardHealthReporter:
    """Reports this member's health to the site's route guard, for use while no announcer calls it."""

    def __init__(self, member: MemberContext, site: Site, health: LocalHealth) -> None:
        self.member = member
        self.address = parse_host_port(site.route_guard, "gate")
        self.health = health
        self.pool = BufferPool()

    def run(self) -> Generator[float, None, None]:
        """Report periodically until the member closes."""
        loop = self.member.loop
        while not self.member.closed:
            next_report_at = loop.now + REPORT_INTERVAL_SECONDS * self.member.rng.uniform(*JITTER_RANGE)
            if self.health.latest:
                yield from self.report()
            while loop.now < next_report_at:
                yield next_report_at

    def report(self) -> Generator[float, None, None]:
        """Send one report; errors are ignored, since the next report follows soon."""
        loop = self.member.loop
        rows = "&".join(f"{quote(row.address)}={row.health:.3f}" for row in self.health.latest)
        connection: DiscoveryConnection | None = None
        try:
            deadline = loop.now + GUARD_TIMEOUT_SECONDS
            connection = DiscoveryConnection(loop, self.address, self.pool, self.member.task.wake)
            while connection.channel.connecting and loop.now < deadline:
                yield min(deadline, loop.now + POLL_INTERVAL_SECONDS)
            if not connection.channel.connecting:
                target = f"/seen?member={quote(self.member.name)}&{rows}"
                wake_times = connection.get(target, deadline, never_superseded, "POST")
                yield from (min(wake_at, loop.now + POLL_INTERVAL_SECONDS) for wake_at in wake_times)
        except (EndpointListError, OSError, h11.ProtocolError):
            pass
        finally:
            if connection:
                connection.channel.close()
