"""Faults: a plan of what goes wrong when. A new kind is one small class here, named in Fault, with its own
test.

Each has begin and end, called with the world at its times, and marks what it does with its own number
(self's place in the plan), so that two faults on one server are undone one by one. What changes the
clients drawn ahead says so in shape, before the start.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Annotated, Protocol

import msgspec
import numpy as np
from msgspec import Meta

from onyxhollow.lab.specs import NotNegative, Positive, Share
from onyxhollow.lab.world.event_queue import EventQueue
from onyxhollow.lab.world.listing import ServerList
from onyxhollow.lab.world.servers import Server
from onyxhollow.lab.world.types import RateFactors


class FaultTarget(Protocol):
    """What faults see of the world, and do to it."""

    event_queue: EventQueue
    servers: list[Server]
    struck: dict[int, list[Server]]  # servers of a fault that has begun, by the fault's number

    @property
    def proxies(self) -> Sequence[object]:
        """All proxies, by number."""

    def zone_name(self, zone: int) -> str: ...

    def fault_stream(self, number: int) -> np.random.Generator: ...

    def fall_silent(self, server: Server) -> None: ...

    def vanish(self, server: Server, number: int) -> None: ...

    def reappear(self, server: Server, number: int) -> None: ...

    def add_server(self) -> None: ...

    def start_server(self, server: Server) -> None: ...

    def stop_server(self, server: Server, silently: bool) -> None: ...

    def restart_server(self, server: Server) -> None: ...

    def drain_server(self, server: Server, span: float, returns: bool, replaced: bool) -> None: ...

    def cut_all(self, server: Server) -> None: ...

    def cut_links(self, number: int, servers: list[Server], proxies: list[int], one_way: bool) -> None: ...

    def mend_links(self, number: int) -> None: ...

    def crash_proxy(self, number: int) -> None: ...

    def restart_proxy(self, number: int) -> None: ...

    def stop_proxy(self, number: int, span: float, away: float) -> None: ...

    def stall_proxy(self, number: int, span: float) -> None: ...

    def mass_drop(self, share: float, span: float, number: int) -> None: ...

    list: ServerList  # last: from here on the name hides the type


class Plan(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True, tag_field="kind"):
    """What all faults have: when, for how long."""

    at: NotNegative
    lasts: NotNegative = 10.0

    @property
    def until(self) -> float:
        return self.at + self.lasts

    def impossible(self, zones: list[str], listeners: list[str]) -> tuple[str, str, object] | None:
        """A key with what was expected there and what stands there, if the plan can't be carried out."""
        zone, listener = getattr(self, "zone", ""), getattr(self, "listener", "")
        if zone and zone not in zones:
            return "zone", f"one of {zones}", zone
        if listener and listener not in listeners:
            return "listener", f"one of {listeners}", listener
        return None

    def shape(self, rates: RateFactors, listeners: list[str]) -> None:
        """Changes the clients that are drawn ahead."""

    def begin(self, world: FaultTarget, number: int) -> None:
        """At its time."""

    def end(self, world: FaultTarget, number: int) -> None:
        """When it is over."""


class OnServers(Plan, frozen=True, kw_only=True):
    """A fault of some servers: a share of those running, at least one, or all of a zone."""

    part: Share = 0.15
    zone: str = ""

    def hit(self, world: FaultTarget, number: int) -> list[Server]:
        running = [s for s in world.servers if s.running and not s.gone_silent]
        if self.zone:
            running = [s for s in running if world.zone_name(s.zone) == self.zone]
        count = min(len(running), max(1, round(self.part * len(running)))) if self.part else 0
        chosen = sorted(world.fault_stream(number).permutation(len(running))[:count].tolist())
        return [running[place] for place in chosen]

    def begin(self, world: FaultTarget, number: int) -> None:
        world.struck[number] = self.hit(world, number)
        for server in world.struck[number]:
            self.strike(world, server, number)

    def end(self, world: FaultTarget, number: int) -> None:
        for server in world.struck.pop(number, []):
            self.lift(world, server, number)

    def strike(self, world: FaultTarget, server: Server, number: int) -> None: ...

    def lift(self, world: FaultTarget, server: Server, number: int) -> None: ...


class Slow(OnServers, frozen=True, kw_only=True, tag="slow"):
    """Servers do everything so many times slower."""

    times: Annotated[float, Meta(gt=1)] = 4.0

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        server.factors[number] = 1.0 / self.times

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        server.factors.pop(number, None)


class Hung(OnServers, frozen=True, kw_only=True, tag="hung"):
    """Servers take connections and answer nothing."""

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        server.hung.add(number)
        world.fall_silent(server)

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        server.hung.discard(number)


class FastErrors(OnServers, frozen=True, kw_only=True, tag="fast_errors"):
    """Servers answer a share of new sessions with an error at once."""

    share: Share = 0.7

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        server.errors[number] = self.share

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        server.errors.pop(number, None)


class NoisyNeighbour(OnServers, frozen=True, kw_only=True, tag="noisy_neighbour"):
    """Another tenant takes a share of the machine, on and off."""

    takes: Annotated[float, Meta(gt=0, lt=1)] = 0.6
    on: Positive = 2.0
    off: Positive = 2.0

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        if number in world.struck and server in world.struck[number]:
            server.factors[number] = 1.0 - self.takes
            world.event_queue.schedule_after(self.on, self.rest, world, server, number)

    def rest(self, world: FaultTarget, server: Server, number: int) -> None:
        server.factors.pop(number, None)
        if number in world.struck:
            world.event_queue.schedule_after(self.off, self.strike, world, server, number)

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        server.factors.pop(number, None)


class Vanish(OnServers, frozen=True, kw_only=True, tag="vanish"):
    """Machines go without a word; connections stay open and silent. They come back restarted."""

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        world.vanish(server, number)

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        world.reappear(server, number)


class ZoneLost(Vanish, frozen=True, kw_only=True, tag="zone_lost"):
    """All servers of a zone vanish at once."""

    part: Share = 1.0

    def impossible(self, zones: list[str], listeners: list[str]) -> tuple[str, str, object] | None:
        if not self.zone:
            return "zone", f"one of {zones}", self.zone
        return super().impossible(zones, listeners)


class Crash(OnServers, frozen=True, kw_only=True, tag="crash"):
    """Server processes die: connections are reset, new ones refused. They come back cold when it ends."""

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        world.stop_server(server, silently=True)

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        world.start_server(server)


class ResetAll(OnServers, frozen=True, kw_only=True, tag="reset"):
    """All connections of some servers are reset at once; the servers go on."""

    lasts: NotNegative = 0.0

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        world.cut_all(server)


class Partition(OnServers, frozen=True, kw_only=True, tag="partition"):
    """Some servers and some proxies can't reach each other. One-way: what proxies send arrives, answers
    don't."""

    proxies: Share = 0.5
    one_way: bool = False

    def begin(self, world: FaultTarget, number: int) -> None:
        count = max(1, round(self.proxies * len(world.proxies)))
        cut_off = world.fault_stream(number).permutation(len(world.proxies))[:count]
        world.cut_links(number, self.hit(world, number), sorted(cut_off.tolist()), self.one_way)

    def end(self, world: FaultTarget, number: int) -> None:
        world.mend_links(number)


class LyingReports(OnServers, frozen=True, kw_only=True, tag="lying_reports"):
    """Servers report a load that is their true one times a factor."""

    factor: NotNegative = 0.2

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        server.lies[number] = self.factor

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        server.lies.pop(number, None)


class ClockStep(OnServers, frozen=True, kw_only=True, tag="clock_step"):
    """The clocks of some machines jump, and the starts that they report with them: each restarts later in the
    fault, half-way, and its start is told wrong by the step."""

    step: float = 30.0

    def strike(self, world: FaultTarget, server: Server, number: int) -> None:
        server.clock_off += self.step
        world.event_queue.schedule_after(self.lasts / 2, world.restart_server, server)

    def lift(self, world: FaultTarget, server: Server, number: int) -> None:
        server.clock_off -= self.step


class Costly(Plan, frozen=True, kw_only=True, tag="costly"):
    """A share of the sessions that come meanwhile load so many times as much."""

    times: Positive = 10.0
    share: Share = 0.03
    listener: str = ""

    def shape(self, rates: RateFactors, listeners: list[str]) -> None:
        place = listeners.index(self.listener) if self.listener else -1
        rates.loads.append((self.at, self.until, place, self.share, self.times))


class Burst(Plan, frozen=True, kw_only=True, tag="burst"):
    """So many times the arrivals."""

    times: Positive = 2.0

    def shape(self, rates: RateFactors, listeners: list[str]) -> None:
        rates.arrivals.append((self.at, self.until, self.times))


class Reconnect(Plan, frozen=True, kw_only=True, tag="reconnect"):
    """A share of the clients drops its connections within the time, and comes again."""

    share: Share = 0.4
    lasts: NotNegative = 1.0

    def begin(self, world: FaultTarget, number: int) -> None:
        world.mass_drop(self.share, self.lasts, number)


class Grow(Plan, frozen=True, kw_only=True, tag="grow"):
    """New servers come, cold, one after another over the time."""

    servers: Annotated[int, Meta(ge=1, le=100000)] = 4

    def begin(self, world: FaultTarget, number: int) -> None:
        for place in range(self.servers):
            world.event_queue.schedule_after(self.lasts * place / self.servers, world.add_server)


class Shrink(OnServers, frozen=True, kw_only=True, tag="shrink"):
    """Servers are drained and stop for good, spread over the time."""

    drain: NotNegative = 4.0

    def begin(self, world: FaultTarget, number: int) -> None:
        hit = self.hit(world, number)
        for place, server in enumerate(hit):
            world.event_queue.schedule_after(
                self.lasts * place / len(hit), world.drain_server, server, self.drain, False, False
            )


class Deploy(OnServers, frozen=True, kw_only=True, tag="deploy"):
    """A rolling release: batch after batch drains, stops and comes back, or is replaced by new machines."""

    part: Share = 1.0
    batch: Annotated[float, Meta(gt=0, le=1)] = 0.15
    drain: NotNegative = 4.0
    replaced: bool = False

    def begin(self, world: FaultTarget, number: int) -> None:
        hit = self.hit(world, number)
        size = max(1, math.ceil(self.batch * len(hit)))
        batches = [hit[first : first + size] for first in range(0, len(hit), size)]
        for place, batch in enumerate(batches):
            for server in batch:
                begins = self.lasts * place / len(batches)
                world.event_queue.schedule_after(
                    begins, world.drain_server, server, self.drain, True, self.replaced
                )


class ProxyCrash(Plan, frozen=True, kw_only=True, tag="proxy_crash"):
    """Proxies die outright and come back with the list they had, one_by_one seconds after one another."""

    part: Share = 0.3
    lasts: NotNegative = 3.0
    one_by_one: NotNegative = 0.0

    def chosen(self, world: FaultTarget, number: int) -> list[int]:
        count = max(1, round(self.part * len(world.proxies)))
        return sorted(world.fault_stream(number).permutation(len(world.proxies))[:count].tolist())

    def begin(self, world: FaultTarget, number: int) -> None:
        for proxy in self.chosen(world, number):
            world.crash_proxy(proxy)

    def end(self, world: FaultTarget, number: int) -> None:
        for place, proxy in enumerate(self.chosen(world, number)):
            world.event_queue.schedule_after(place * self.one_by_one, world.restart_proxy, proxy)


class ProxyRestart(ProxyCrash, frozen=True, kw_only=True, tag="proxy_restart"):
    """Planned restarts, one after another: each moves its clients over the time of a stop, ends, comes
    back."""

    apart: NotNegative = 3.0
    stop: Positive = 3.0

    def begin(self, world: FaultTarget, number: int) -> None:
        for place, proxy in enumerate(self.chosen(world, number)):
            world.event_queue.schedule_after(
                place * self.apart, world.stop_proxy, proxy, self.stop, self.lasts
            )

    def end(self, world: FaultTarget, number: int) -> None:
        """Each comes back by itself."""


class ProxyStall(ProxyCrash, frozen=True, kw_only=True, tag="proxy_stall"):
    """Proxies stand still and then find all at once what came meanwhile."""

    lasts: NotNegative = 0.5

    def begin(self, world: FaultTarget, number: int) -> None:
        for proxy in self.chosen(world, number):
            world.stall_proxy(proxy, self.lasts)

    def end(self, world: FaultTarget, number: int) -> None:
        """The stall ends by itself."""


class ListDown(Plan, frozen=True, kw_only=True, tag="list_down"):
    """The server list answers nobody; watches end."""

    def begin(self, world: FaultTarget, number: int) -> None:
        world.list.go_down(number)

    def end(self, world: FaultTarget, number: int) -> None:
        world.list.come_up(number)


class ListStale(Plan, frozen=True, kw_only=True, tag="list_stale"):
    """Changes show in the list so much later."""

    late: Positive = 5.0

    def begin(self, world: FaultTarget, number: int) -> None:
        world.list.late[number] = self.late

    def end(self, world: FaultTarget, number: int) -> None:
        world.list.late.pop(number, None)


class WatchEnded(Plan, frozen=True, kw_only=True, tag="watch_ended"):
    """All watches are broken once; the list can be asked again at once."""

    lasts: NotNegative = 0.0

    def begin(self, world: FaultTarget, number: int) -> None:
        world.list.go_down(number)
        world.list.come_up(number)


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
