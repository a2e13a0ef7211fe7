"""Faults of a scenario: what fails, when and for how long.

A new kind of fault is one class here, listed in Fault, with a test of its own. The world calls begin and end
at the fault's times. A fault marks its effects with its number (its position in the scenario), so that two
faults of one server are reverted independently. A fault that changes the clients, which are drawn in advance,
does so in adjust_rates before the start.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Annotated, Protocol

import msgspec
import numpy as np
from msgspec import Meta

from onyxhollow.lab.specs import NonNegative, Positive, Share
from onyxhollow.lab.world.event_queue import EventQueue
from onyxhollow.lab.world.listing import ListService
from onyxhollow.lab.world.servers import Server
from onyxhollow.lab.world.types import RateFactors


class FaultTarget(Protocol):
    """The parts of the world that faults read and change."""

    event_queue: EventQueue
    servers: list[Server]
    affected_servers: dict[int, list[Server]]  # by the number of a fault that has begun

    @property
    def proxies(self) -> Sequence[object]:
        """All proxies, by number."""

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone, given its index."""

    def fault_stream(self, number: int) -> np.random.Generator:
        """Return a new random generator for a fault; its draws are the same on every call."""

    def schedule_silence_timeouts(self, server: Server) -> None:
        """Schedule the timeouts by which proxies notice a server's silent connections."""

    def vanish(self, server: Server, number: int) -> None:
        """Make a server silent: its connections stay open but carry no packets."""

    def reappear(self, server: Server, number: int) -> None:
        """Restart a vanished server without its connections, once no other fault holds it."""

    def add_server(self) -> None:
        """Start a new server, which warms up and shows in the list after the usual delay."""

    def start_server(self, server: Server) -> None:
        """Start a stopped server, which warms up; do nothing if it is not stopped."""

    def stop_server(self, server: Server, silently: bool) -> None:
        """Stop a server process; `silently` means that the list notices it late."""

    def restart_server(self, server: Server) -> None:
        """Crash a running server and start it again shortly afterwards."""

    def drain_server(self, server: Server, span: float, returns: bool, replaced: bool) -> None:
        """Drain a server for `span` seconds, stop it, and restart or replace it if wanted."""

    def reset_connections(self, server: Server) -> None:
        """Reset all connections of a server; the server keeps its state."""

    def block_links(self, number: int, servers: list[Server], proxies: list[int], one_way: bool) -> None:
        """Block the links between servers and proxies until restore_links of the same fault."""

    def restore_links(self, number: int) -> None:
        """Restore the links that the fault with this number blocked."""

    def crash_proxy(self, number: int) -> None:
        """Kill a proxy; its clients lose their sessions. Do nothing if it is dead."""

    def restart_proxy(self, number: int) -> None:
        """Start a dead proxy; do nothing if it runs."""

    def stop_proxy(self, number: int, span: float, away: float) -> None:
        """Restart a proxy gracefully: `span` seconds to migrate, `away` seconds down."""

    def stall_proxy(self, number: int, span: float) -> None:
        """Suspend a proxy for `span` seconds; it then processes what has arrived."""

    def drop_connections(self, share: float, span: float, number: int) -> None:
        """Drop the connections of a share of the clients, spread over `span` seconds."""

    list_service: ListService


class FaultSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, tag_field="kind"):
    """The settings common to all faults: start and duration in seconds."""

    at: NonNegative
    lasts: NonNegative = 10.0

    @property
    def until(self) -> float:
        """Time at which the fault ends, in seconds from the start of the run."""
        return self.at + self.lasts

    def find_invalid_key(self, zones: list[str], listeners: list[str]) -> tuple[str, str, object] | None:
        """Return an invalid key with the expected and the actual value, or None."""
        zone, listener = getattr(self, "zone", ""), getattr(self, "listener", "")
        if zone and zone not in zones:
            return "zone", f"one of {zones}", zone
        if listener and listener not in listeners:
            return "listener", f"one of {listeners}", listener
        return None

    def adjust_rates(self, rates: RateFactors, listeners: list[str]) -> None:
        """Change the rates and loads from which clients are drawn in advance."""

    def begin(self, world: FaultTarget, number: int) -> None:
        """Apply the fault when its time has come."""

    def end(self, world: FaultTarget, number: int) -> None:
        """Revert the fault when its duration is over."""


class ServerFault(FaultSpec, frozen=True, kw_only=True):
    """A fault of servers: a share of those running (of one zone, if given), but at least one."""

    part: Share = 0.15
    zone: str = ""

    def select_servers(self, world: FaultTarget, number: int) -> list[Server]:
        """Draw the affected servers from the fault's own random stream."""
        running = [server for server in world.servers if server.is_running and not server.vanished_by]
        if self.zone:
            running = [server for server in running if world.zone_name(server.zone) == self.zone]
        count = min(len(running), max(1, round(self.part * len(running)))) if self.part else 0
        indices = sorted(world.fault_stream(number).permutation(len(running))[:count].tolist())
        return [running[index] for index in indices]

    def begin(self, world: FaultTarget, number: int) -> None:
        """Select the servers, keep them for end, and apply the fault to each."""
        world.affected_servers[number] = self.select_servers(world, number)
        for server in world.affected_servers[number]:
            self.apply(world, server, number)

    def end(self, world: FaultTarget, number: int) -> None:
        """Revert the fault on the servers that begin selected."""
        for server in world.affected_servers.pop(number, []):
            self.revert(world, server, number)

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Apply the fault to one server; `number` identifies the fault."""

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Revert the fault on one server, without touching the effects of other faults."""


class Slow(ServerFault, frozen=True, kw_only=True, tag="slow"):
    """Servers work slower by a factor."""

    times: Annotated[float, Meta(gt=1)] = 4.0

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Divide the server's capacity by the factor."""
        server.capacity_factors[number] = 1.0 / self.times

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Remove this fault's factor from the server's capacity."""
        server.capacity_factors.pop(number, None)


class Hung(ServerFault, frozen=True, kw_only=True, tag="hung"):
    """Servers accept connections but answer nothing."""

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Make the server answer nothing; proxies notice its open connections by their silence."""
        server.hung_by.add(number)
        world.schedule_silence_timeouts(server)

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Let the server answer again, unless another fault keeps it hung."""
        server.hung_by.discard(number)


class FastErrors(ServerFault, frozen=True, kw_only=True, tag="fast_errors"):
    """Servers answer a share of the OPEN requests with an immediate error."""

    share: Share = 0.7

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Set the share of OPEN requests that the server answers with an error."""
        server.error_shares[number] = self.share

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Remove this fault's share of errors."""
        server.error_shares.pop(number, None)


class NoisyNeighbour(ServerFault, frozen=True, kw_only=True, tag="noisy_neighbour"):
    """Another tenant of the machine takes a share of its capacity, intermittently."""

    takes: Annotated[float, Meta(gt=0, lt=1)] = 0.6
    on: Positive = 2.0
    off: Positive = 2.0

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Take the share of capacity for `on` seconds; pause calls this again until the fault ends."""
        if number in world.affected_servers and server in world.affected_servers[number]:
            server.capacity_factors[number] = 1.0 - self.takes
            world.event_queue.schedule_after(self.on, self.pause, world, server, number)

    def pause(self, world: FaultTarget, server: Server, number: int) -> None:
        """Lift the fault for a while."""
        server.capacity_factors.pop(number, None)
        if number in world.affected_servers:
            world.event_queue.schedule_after(self.off, self.apply, world, server, number)

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Return the capacity; a pending apply or pause then does nothing more."""
        server.capacity_factors.pop(number, None)


class Vanish(ServerFault, frozen=True, kw_only=True, tag="vanish"):
    """Machines vanish; their connections stay open and silent. At the end the machines restart."""

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Make the machine silent; the list notices it late."""
        world.vanish(server, number)

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Restart the machine without its connections."""
        world.reappear(server, number)


class ZoneLost(Vanish, frozen=True, kw_only=True, tag="zone_lost"):
    """All servers of a zone vanish at once."""

    part: Share = 1.0

    def find_invalid_key(self, zones: list[str], listeners: list[str]) -> tuple[str, str, object] | None:
        """Return the zone as invalid if none is given, else check as for every fault."""
        if not self.zone:
            return "zone", f"one of {zones}", self.zone
        return super().find_invalid_key(zones, listeners)


class Crash(ServerFault, frozen=True, kw_only=True, tag="crash"):
    """Server processes die: connections are reset, new ones refused. At the end they start and warm up."""

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Stop the process; the list notices it late."""
        world.stop_server(server, silently=True)

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Start the process, which warms up."""
        world.start_server(server)


class ResetAll(ServerFault, frozen=True, kw_only=True, tag="reset"):
    """All connections of some servers are reset at once; the servers keep running."""

    lasts: NonNegative = 0.0

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Reset all connections that the server has now."""
        world.reset_connections(server)


class Partition(ServerFault, frozen=True, kw_only=True, tag="partition"):
    """Some servers and some proxies cannot reach each other.

    With one_way, packets from the proxies arrive, but those from the servers are lost.
    """

    proxies: Share = 0.5
    one_way: bool = False

    def begin(self, world: FaultTarget, number: int) -> None:
        """Draw the unreachable proxies and block their links to the selected servers."""
        count = max(1, round(self.proxies * len(world.proxies)))
        unreachable = world.fault_stream(number).permutation(len(world.proxies))[:count]
        world.block_links(
            number, self.select_servers(world, number), sorted(unreachable.tolist()), self.one_way
        )

    def end(self, world: FaultTarget, number: int) -> None:
        """Restore the links that this fault blocked."""
        world.restore_links(number)


class LyingReports(ServerFault, frozen=True, kw_only=True, tag="lying_reports"):
    """Servers report their true load times a factor."""

    factor: NonNegative = 0.2

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Multiply the load that the server reports; its true load stays."""
        server.report_factors[number] = self.factor

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Remove this fault's factor from the server's reports."""
        server.report_factors.pop(number, None)


class ClockStep(ServerFault, frozen=True, kw_only=True, tag="clock_step"):
    """The clocks of some machines jump.

    Each server restarts half-way through the fault, and the start time that it reports is wrong by the step.
    """

    step: float = 30.0

    def apply(self, world: FaultTarget, server: Server, number: int) -> None:
        """Move the server's clock forward by the step and schedule its restart."""
        server.clock_offset += self.step
        world.event_queue.schedule_after(self.lasts / 2, world.restart_server, server)

    def revert(self, world: FaultTarget, server: Server, number: int) -> None:
        """Move the server's clock back by the step."""
        server.clock_offset -= self.step


class Costly(FaultSpec, frozen=True, kw_only=True, tag="costly"):
    """A share of the sessions that arrive during the fault has a multiple of its usual load."""

    times: Positive = 10.0
    share: Share = 0.03
    listener: str = ""

    def adjust_rates(self, rates: RateFactors, listeners: list[str]) -> None:
        """Multiply the load of the share of sessions that arrive during the fault."""
        index = listeners.index(self.listener) if self.listener else -1
        rates.loads.append((self.at, self.until, index, self.share, self.times))


class Burst(FaultSpec, frozen=True, kw_only=True, tag="burst"):
    """The arrival rate is multiplied."""

    times: Positive = 2.0

    def adjust_rates(self, rates: RateFactors, listeners: list[str]) -> None:
        """Multiply the arrival rate for the duration of the fault."""
        rates.arrivals.append((self.at, self.until, self.times))


class Reconnect(FaultSpec, frozen=True, kw_only=True, tag="reconnect"):
    """A share of the clients drops its connections during the fault and reconnects."""

    share: Share = 0.4
    lasts: NonNegative = 1.0

    def begin(self, world: FaultTarget, number: int) -> None:
        """Drop the connections of the share of clients, spread over the duration."""
        world.drop_connections(self.share, self.lasts, number)


class Grow(FaultSpec, frozen=True, kw_only=True, tag="grow"):
    """New servers start one after another over the duration, and warm up."""

    servers: Annotated[int, Meta(ge=1, le=100000)] = 4

    def begin(self, world: FaultTarget, number: int) -> None:
        """Schedule the starts of the new servers, evenly over the duration."""
        for index in range(self.servers):
            world.event_queue.schedule_after(self.lasts * index / self.servers, world.add_server)


class Shrink(ServerFault, frozen=True, kw_only=True, tag="shrink"):
    """Servers drain and stop for good, one after another over the duration."""

    drain: NonNegative = 4.0

    def begin(self, world: FaultTarget, number: int) -> None:
        """Schedule the drains of the selected servers, evenly over the duration."""
        selected = self.select_servers(world, number)
        for index, server in enumerate(selected):
            world.event_queue.schedule_after(
                self.lasts * index / len(selected), world.drain_server, server, self.drain, False, False
            )


class Deploy(ServerFault, frozen=True, kw_only=True, tag="deploy"):
    """A rolling release: batch by batch, servers drain, stop and restart, or are replaced by new machines."""

    part: Share = 1.0
    batch: Annotated[float, Meta(gt=0, le=1)] = 0.15
    drain: NonNegative = 4.0
    replaced: bool = False

    def begin(self, world: FaultTarget, number: int) -> None:
        """Schedule the drains of the selected servers, batch by batch over the duration."""
        selected = self.select_servers(world, number)
        size = max(1, math.ceil(self.batch * len(selected)))
        batches = [selected[first : first + size] for first in range(0, len(selected), size)]
        for index, batch in enumerate(batches):
            for server in batch:
                begins = self.lasts * index / len(batches)
                world.event_queue.schedule_after(
                    begins, world.drain_server, server, self.drain, True, self.replaced
                )


class ProxyCrash(FaultSpec, frozen=True, kw_only=True, tag="proxy_crash"):
    """Proxies are killed and restart with the list they had, one_by_one seconds after one another."""

    part: Share = 0.3
    lasts: NonNegative = 3.0
    one_by_one: NonNegative = 0.0

    def select_proxies(self, world: FaultTarget, number: int) -> list[int]:
        """Draw the affected proxies; every call returns the same ones."""
        count = max(1, round(self.part * len(world.proxies)))
        return sorted(world.fault_stream(number).permutation(len(world.proxies))[:count].tolist())

    def begin(self, world: FaultTarget, number: int) -> None:
        """Kill the selected proxies at once."""
        for proxy in self.select_proxies(world, number):
            world.crash_proxy(proxy)

    def end(self, world: FaultTarget, number: int) -> None:
        """Start the same proxies, `one_by_one` seconds apart."""
        for index, proxy in enumerate(self.select_proxies(world, number)):
            world.event_queue.schedule_after(index * self.one_by_one, world.restart_proxy, proxy)


class ProxyRestart(ProxyCrash, frozen=True, kw_only=True, tag="proxy_restart"):
    """Planned restarts, one after another: each proxy migrates its clients, stops and starts again."""

    apart: NonNegative = 3.0
    stop: Positive = 3.0

    def begin(self, world: FaultTarget, number: int) -> None:
        """Schedule the graceful restarts, `apart` seconds after one another."""
        for index, proxy in enumerate(self.select_proxies(world, number)):
            world.event_queue.schedule_after(
                index * self.apart, world.stop_proxy, proxy, self.stop, self.lasts
            )

    def end(self, world: FaultTarget, number: int) -> None:
        """Do nothing: each proxy restarts by itself."""


class ProxyStall(ProxyCrash, frozen=True, kw_only=True, tag="proxy_stall"):
    """Proxies stall and then process at once everything that arrived meanwhile."""

    lasts: NonNegative = 0.5

    def begin(self, world: FaultTarget, number: int) -> None:
        """Suspend the selected proxies for the duration of the fault."""
        for proxy in self.select_proxies(world, number):
            world.stall_proxy(proxy, self.lasts)

    def end(self, world: FaultTarget, number: int) -> None:
        """Do nothing: the stall ends by itself."""


class ListDown(FaultSpec, frozen=True, kw_only=True, tag="list_down"):
    """The list service answers no calls, and all watches end."""

    def begin(self, world: FaultTarget, number: int) -> None:
        """Stop answering calls, and end all watches."""
        world.list_service.take_down(number)

    def end(self, world: FaultTarget, number: int) -> None:
        """Answer calls again, unless another fault keeps the service down."""
        world.list_service.bring_up(number)


class ListStale(FaultSpec, frozen=True, kw_only=True, tag="list_stale"):
    """Changes show in the list late seconds later."""

    late: Positive = 5.0

    def begin(self, world: FaultTarget, number: int) -> None:
        """Add the delay to every change that is made from now on."""
        world.list_service.delay_by_fault[number] = self.late

    def end(self, world: FaultTarget, number: int) -> None:
        """Remove this fault's delay; changes already delayed stay so."""
        world.list_service.delay_by_fault.pop(number, None)


class WatchEnded(FaultSpec, frozen=True, kw_only=True, tag="watch_ended"):
    """All watches break once; the list service answers again immediately."""

    lasts: NonNegative = 0.0

    def begin(self, world: FaultTarget, number: int) -> None:
        """End all watches and answer calls again at once."""
        world.list_service.take_down(number)
        world.list_service.bring_up(number)


Fault = (
    Slow
    | Hung
    | FastErrors
    | NoisyNeighbour
    | Vanish
    | ZoneLost
    | Crash
    | ResetAll
    | Partition
    | LyingReports
    | ClockStep
    | Costly
    | Burst
    | Reconnect
    | Grow
    | Shrink
    | Deploy
    | ProxyCrash
    | ProxyRestart
    | ProxyStall
    | ListDown
    | ListStale
    | WatchEnded
)
