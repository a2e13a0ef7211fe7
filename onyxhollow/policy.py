"""All decisions of onyxhollow.

A host (onyxhollow/interface.py: Host) makes one Balancer an instance and hands it the server list, sessions
(take, adopt), reports (probed) and its one timer (tick). What happens to a session later is a call on it.

The design (docs/design.md): the lesser, by own connections per size, of two random servers and the remembered
best; hand-off in four stages when a server drains; cold arrivals at the same pace; all of it on some servers
drawn at random, on a small fleet on all, and near ones where own connections are few. Beside it stand:
1. distrust: a score for each server that fades; traffic follows it, a high one starts a hand-off.
2. dial plan: how long a dial may take, and what follows when it fails.
3. cold budget: this balancer's own share of what all together may send to a cold server.
4. list watch: asking for the server list again after a failure, before silence counts as told.
5. probing: a few probes a second, one before a dial where little is known; told connections carry loads on.
6. overload refusal: no server is filled past its load, told or guessed; what none may take waits, is refused.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Hashable, Iterable, Iterator
from hashlib import blake2b
from random import Random

from onyxhollow.interface import Tenant, AttemptOutcome, Endpoint, Host, Listener, EndpointListKind  # isort: skip
from onyxhollow.interface import EndpointState, Idempotency, DeduplicationScope, Settings  # isort: skip

TICK, LIST_CALLS = 0.05, 8.0  # seconds of the one timer; calls a second for a troubled list, of all together
LIST_PAUSE = 4.0  # seconds at the most until it is asked again: 6 s after a change that counts as told
MOST_PASSED_OVER = 2  # arriving servers that a group's home does not wait for
HELD_UP = 0.15  # seconds that may pass between a look at the clock and a write: windows allow for them
LEAST_LEFT = 0.05  # seconds left to a client under which nothing is sent: held up, it would come too late
FRESH, SMOOTHING = 5.0, 0.3  # latency: seconds until a figure is none; weight of the newest
FADE, DISTRUSTED, SURE = 7.0, 2.0, 3.0  # seconds until a third is left; score that bars; of what is certain
STRAIN_FOR, LOAD_KEPT = 1.5, 8.0  # seconds for which word of overload bars a server; a report is carried on
FULL_LOAD, SHED_LOAD = 0.65, 0.95  # load over capacity: nothing new from here; from here moved off
PROBE_POINTS, BRIM_KEPT = 0.002, 0.9  # of the result for probes in calm times; of reports told, each time
NEAR, NEAR_LOAD = 10.0, 0.45  # fleet's load per crossing price, and own load, to which near homes go first
FAR, CAUTION = 1.3, 0.9  # what one elsewhere counts for where own ones are few; part of the cold budget used
GROUP_COST = 0.35  # what a group new to a server counts for, of the connections that fill it
CHANCE, GROWN = 3.0, 1.5  # own connections a server that are mostly chance; growth that outdates a report
REPORT_AGE, ASK_FOR = 1.0, 0.1  # seconds: a report good enough to place by; time to answer when asked
HOMES, GROUPS = 8, 1024  # places on the ring that a group's homes stand at; groups whose demand is counted
LEAST, MOST, REVIEW, EXCHANGE = 16, 64, 0.5, 10.0  # servers worked with; seconds between looks, exchanges


def draw(*names: Hashable) -> float:
    """The same number between 0 and 1 for the same names, at every balancer."""
    told = blake2b(" ".join(map(str, names)).encode(), digest_size=6).digest()
    return (int.from_bytes(told, "big") + 0.5) / 2.0**48


class Figure:
    value, at = 0.0, -math.inf

    def add(self, value: float, now: float) -> None:
        self.value += (value - self.value) * (SMOOTHING if now - self.at < FRESH else 1.0)
        self.at = now

    def fresh(self, now: float) -> float | None:
        return self.value if now - self.at < FRESH else None


class Pace:
    """The design's staged pace: how many connections may move this second (paper, section 3.2)."""

    BASE = (0.05, 0.10, 0.15, 0.20)

    def __init__(self, count: int, latency: float | None = None) -> None:
        self.count, self.moved, self.carry, self.credit, self.at = count, 0, 0.0, 0, -math.inf
        self.latency = latency  # of the source, before the notice

    def allowance(self, source: float | None, receiver: float | None) -> int:
        stage = min(3, 4 * self.moved // max(1, self.count))
        rate = float(math.ceil(self.BASE[stage] * self.count))
        if source is not None and receiver is not None:
            if stage < 3 and receiver >= 2 * source:
                rate /= 4 if receiver >= 3 * source else 2
            if source > receiver:
                rate *= 2
        self.carry, whole = math.modf(rate + self.carry)
        return int(whole)


class Server:
    def __init__(self, entry: Endpoint) -> None:
        self.places, self.size = list[float](), 1.0  # on the ring of homes; as registered
        self.held, self.held_at = 0.0, -math.inf  # connections a core, of all balancers, as the list tells
        self.learn(entry)
        self.connections: dict[Session, None] = {}  # dials out and connections open, in order of placing
        self.heard, self.distrust, self.distrust_at = False, 0.0, 0.0  # heard: had a connection here
        self.delay, self.set_up = Figure(), Figure()
        self.load, self.load_at, self.load_count, self.load_held = 0.0, -math.inf, 0, 0.0
        self.probed_at = self.strained_at = -math.inf  # strained: it shed, was full, or late with messages
        self.arrival: Pace | None = None  # cold or back: new placements at the staged pace, to a fair share
        self.leaving: Pace | None = None  # its connections are handed off

    def learn(self, entry: Endpoint) -> None:
        self.name, self.readiness, self.started = entry.name, EndpointState.IN_SERVICE, entry.started_at
        self.zone, self.cell, self.kind = entry.zone, entry.cell, entry.machine_type

    def take_size(self, size: float, unit: float) -> None:
        self.size = size
        if len(self.places) != (count := min(32, math.ceil(2 * size / unit))):
            self.places = [draw(self.name, n) for n in range(count)]

    def latency(self, now: float) -> float | None:
        return self.set_up.fresh(now) if (delay := self.delay.fresh(now)) is None else delay

    def score(self, now: float) -> float:
        return self.distrust and self.distrust * math.exp((self.distrust_at - now) / FADE)

    def hold(self, sess: Session) -> None:
        self.connections[sess], self.heard = None, True
        sess.balancer.held[sess.payer] += 1

    def release(self, sess: Session) -> None:
        if sess in self.connections:
            del self.connections[sess]
            sess.balancer.held[sess.payer] -= 1
            if self.leaving:
                self.leaving.moved += 1


class Session:
    """The handle of one session. All that happens to it after take is a call here."""

    def __init__(
        self,
        balancer: Balancer,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        give_up: float,
        load: float | None,
    ) -> None:
        self.balancer, self.token, self.listener, self.tenant = balancer, token, listener, tenant
        self.payer = tenant.name if tenant else ""
        self.group, self.give_up, self.load, self.most_dials = group, give_up, load, balancer.most_dials
        self.server: Server | None = None
        self.tried, self.drawn, self.asks = list[Server](), list[Server](), 0
        self.dialling = self.standing = self.answered = self.placed = self.waited = self.left = False
        self.hold_until, self.news_at, self.may_run_since = (balancer.host.now + give_up) / 2, -math.inf, 0.0
        self.may_run_at: Server | None = None  # the first server on which this session may have run

    def accepted(self, took: float) -> None:
        server, now = self.server, self.balancer.host.now
        if server is None or self.answered:
            return
        self.standing = self.answered = True
        server.set_up.add(took, now)
        self.balancer.setting_up.add(took, now)
        server.distrust *= 0.7

    def load_news(self, load: float) -> None:
        self.load, self.news_at = load, self.balancer.host.now

    def delay_news(self, delay: float) -> None:
        if server := self.server:
            now = self.balancer.host.now
            server.delay.add(delay, now)
            if 0 < self.listener.message_objective < delay:
                before, server.strained_at = server.strained_at, now
                self.balancer.blame(server, 0.3)
                if now - before < STRAIN_FOR:
                    self.balancer.hand_off(server, f"messages take {delay:.2f} s")

    def client_gone(self) -> None:
        self.answered = self.left = True  # nothing is owed; a dial still out is called back where allowed
        if self.dialling and not self.standing and self.balancer.cancelling:
            self.balancer.host.cancel_attempt(self.token, len(self.tried) - 1)

    def dial_ended(self, end: AttemptOutcome, final: bool, took: float, load: float | None = None) -> None:
        if not self.dialling or self.server is None:
            return
        server, self.dialling = self.server, False
        server.release(self)
        if load is not None:
            self.balancer.load_told(server, load)
        self.balancer.dial_judged(self, server, end, took)
        stood, self.standing = self.standing, False
        if not end.never_ran and not stood and self.may_run_at is None:
            self.may_run_at = server
        if final or stood:
            self.answered = True
        elif not self.answered:
            self.balancer.dial(self)

    def may_send(self) -> bool:
        """Whether the dial that is out may still be written, asked in the moment before.

        While it was connecting its server may have been told to drain, or its client's time or the window for
        repeats may have passed."""
        server, now = self.server, self.balancer.host.now
        return (
            server is not None
            and server.readiness is EndpointState.IN_SERVICE
            and not self.answered
            and self.give_up - now > LEAST_LEFT
            and self.may_go_to(server, now)
        )

    def may_go_to(self, server: Server, now: float) -> bool:
        """Rule 2: whether a dial to this server can not make anything run twice."""
        first, listener = self.may_run_at, self.listener
        if first is None or listener.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            listener.idempotency is Idempotency.NON_IDEMPOTENT
            or now - self.may_run_since >= listener.deduplication_window - HELD_UP
        ):
            return False
        same = {
            DeduplicationScope.ALL: True,
            DeduplicationScope.ZONE: server.zone == first.zone,
            DeduplicationScope.CELL: server.cell == first.cell,
        }
        return same[listener.deduplication_scope]


class Rate:
    """How many sessions a second this balancer takes, of all or of one group."""

    MEMORY = 20.0  # seconds over which it is averaged

    def __init__(self, since: float) -> None:
        self.since, self.at, self.seen = since, since, 0.0

    def arrived(self, now: float) -> None:
        self.seen, self.at = self.seen * math.exp((self.at - now) / self.MEMORY) + 1.0, now

    def rate(self, now: float, less: float = 0.0) -> float:
        span = max(1.0, min(now - self.since, self.MEMORY))
        return max(0.0, self.seen * math.exp((self.at - now) / self.MEMORY) - less) / span


class ColdBudget(Rate):
    """Rule 4. Own share of the fleet's budget: own connections that fill a warm server of like size, over the
    warm-up, times present warmth, times the stated multiple; starts are staggered by number and server.

    Where many balancers share it, each one's turn to send comes seldom. A turn that is not used is kept for a
    short time: after a quiet while all would use theirs in one burst, together a multiple of the budget.
    """

    def __init__(self, now: float) -> None:
        super().__init__(now)
        self.tokens: dict[Server, tuple[float, float]] = {}

    def settle(self, settings: Settings) -> None:
        """Takes over settings, at the start or later."""
        self.share, self.time, self.multiple = (
            settings.slow_start_share,
            settings.slow_start_time,
            settings.overload_multiple,
        )
        self.fall_time, self.balancers = settings.overload_window, settings.instance_count
        self.phase = settings.instance_index / settings.instance_count

    def cold(self, server: Server, now: float) -> bool:
        return server.started is not None and now - server.started < self.time

    def grow(self, server: Server, fill: float, now: float) -> float:
        """How many sessions may go to this server now: one or more is no bar."""
        if not self.cold(server, now):
            return 1.0
        level, at = self.tokens.get(server, (0.0, now))
        warmth = self.share + (1.0 - self.share) * max(0.0, now - (server.started or 0.0)) / self.time
        budget = fill * server.size / self.time * min(1.0, warmth) * self.multiple
        if budget * self.fall_time >= 1.0:  # turns come faster than they lapse
            level = min(1.0, level + (now - at) * CAUTION * budget)
        else:
            level = self.lapse(level, now - at, budget)
        self.tokens[server] = (level, now)
        return level

    def lapse(self, level: float, span: float, budget: float) -> float:
        """The level after some seconds where turns to send come seldom, so that one left unused lapses.

        budget: this balancer's calls a second. A server falls from N + 2 root(N) + 2 calls within the stated
        time, N being the budget of all, or from N + 3 root(N) + 3 for an N under 30. That slack says how long
        a turn is kept: all those kept, used in one burst, stay within it.
        """
        calls = max(1.0, budget * self.balancers * self.fall_time)
        slack = (3.0 if calls < 30.0 else 2.0) * (math.sqrt(calls) + 1.0) / calls
        kept_for = self.fall_time * ((1.0 + slack) / CAUTION - 1.0)
        level += span * CAUTION * budget
        most = 1.0 + kept_for * CAUTION * budget
        return level - math.ceil(level - most) if level > most else level


class Balancer:
    def __init__(self, host: Host, settings: Settings, seed: int) -> None:
        self.host, self.rng = host, Random(seed)
        self.servers: dict[str, Server] = {}
        self.fleet, self.working = list[Server](), list[Server]()  # in service; worked with
        self.ring, self.held = list[tuple[float, int]](), Counter[str]()  # held: own connections by customer
        self.memory, self.due = dict[Hashable, Server](), list[tuple[float, int, Callable[[], None]]]()
        self.counter, self.waiting, self.fill, self.mean, self.bar = 0, list[Session](), 1.0, 0.0, DISTRUSTED
        self.calm, self.probing, self.blind, self.setting_up = False, False, False, Figure()
        self.demand, self.largest = dict[Hashable, Rate](), dict[str, float]()  # by group; by kind of machine
        self.brims = dict[str, tuple[float, float]]()  # a kind's connections a core and load, summed, fading
        self.budget = ColdBudget(host.now)
        first_call, self.list_lost, self.list_failures = self.rng.random(), settings.list_is_polled, 0
        self.settle(settings)
        self.ask_at = host.now + first_call * min(self.callers, self.ask_within / 2)
        self.review()
        host.set_timer(host.now + TICK)

    def settle(self, settings: Settings) -> None:
        """Takes over settings, at the start or later: sessions, hand-offs and timers go on."""
        self.zone, self.crossing_price = settings.zone, settings.cross_zone_price
        self.balancers, self.overage_utility = settings.instance_count, settings.over_quota_utility
        self.most_dials, self.cancelling = settings.max_attempts, settings.cancellation
        self.retry_after, self.share_groups = settings.max_retry_after, settings.group_affinity
        self.live_sizes, self.ask_within = settings.live_weights, settings.max_poll_interval
        self.budget.settle(settings)
        self.callers = max(1.0, settings.instance_count / LIST_CALLS)  # seconds that the calls of all take
        self.quota = sum(c.connection_quota for c in settings.tenants.values()) / settings.instance_count
        self.probes = (
            PROBE_POINTS / max(1e-4, settings.health_check_price) if settings.health_checks else 0.0
        )  # a session
        if self.probes and not self.probing:
            self.probing = True
            self.later(self.rng.uniform(0.5, 1.5), self.probe_round)

    def resettle(self, settings: Settings) -> None:
        """Other settings in a running balancer. What was learnt under another meaning of the weight or of
        groups is let go; the list must be told whole again, and gives sizes by the new one."""
        if settings.live_weights != self.live_sizes:
            self.largest.clear()
            self.brims.clear()
            for server in self.servers.values():
                server.held, server.held_at = 0.0, -math.inf
        if settings.group_affinity != self.share_groups:
            self.memory.clear()
            self.demand.clear()
        self.list_lost = settings.list_is_polled or self.list_failures > 0
        self.settle(settings)
        self.host.log(
            f"settings: live weights {self.live_sizes}, groups {self.share_groups}, probes "
            f"{self.probes:g}, balancers {self.balancers}, own connections {self.held.total()}"
        )
        self.draw_working()

    def later(self, wait: float, call: Callable[[], None]) -> None:
        self.counter += 1
        heapq.heappush(self.due, (self.host.now + wait, self.counter, call))

    def tick(self) -> None:
        """The one periodic timer: does what has fallen due."""
        now = self.host.now
        if self.list_lost and now >= self.ask_at:
            self.ask_at = now + self.ask_within / 2  # no word at all counts as a failure
            self.host.poll_endpoint_list()
        while self.due and self.due[0][0] <= now:
            heapq.heappop(self.due)[2]()
        self.serve()
        self.host.set_timer(now + TICK)

    def serve(self) -> None:
        waiting, self.waiting = sorted(self.waiting, key=self.value, reverse=True), []
        for place, sess in enumerate(waiting):
            if self.sparse and len(self.waiting) > 1:  # no place for two: the rest later
                self.waiting = waiting[place:] + self.waiting
                break
            self.dial(sess)
        for s in self.working if self.waiting and self.probes and not self.sparse else ():
            due = self.host.now - s.probed_at >= 2 * ASK_FOR and len(s.connections) > GROWN * s.load_count
            if due and s.load < FULL_LOAD <= self.load_of(s):  # full by a guess alone, as many have come
                s.probed_at = self.host.now
                self.host.check_health(s.name)

    def value(self, sess: Session) -> tuple[bool, float]:
        """Overload: those of most utility first, less if their customer holds more than its share."""
        who = sess.tenant
        over = who is not None and 0 < who.connection_quota < self.balancers * self.held[who.name]
        return self.host.now >= sess.hold_until, sess.listener.utility * (self.overage_utility if over else 1)

    def review(self) -> None:
        if self.rng.random() < REVIEW / EXCHANGE and len(self.working) < len(self.fleet):
            self.working.pop(0)  # the oldest makes room for another; no connection is moved
        self.draw_working()
        self.later(REVIEW, self.review)

    def look(self) -> None:
        now = self.host.now
        # Servers that stand out are distrusted; where all look bad alike (a slow store, say) none is.
        scores = sorted(s.score(now) for s in self.working)
        self.bar = max(DISTRUSTED, 2.0 * scores[len(scores) // 2]) if scores else DISTRUSTED
        self.calm = sum(s.size * (NEAR * self.crossing_price - self.load_of(s)) for s in self.working) > 0.0
        self.open_share = sum(map(self.well, self.working)) / max(1, len(self.working))  # those with room
        # Own connections a size that fill a server; few are chance: then a share of what customers may hold.
        known = [s for s in self.working if not s.arrival and now - s.load_at < LOAD_KEPT]
        load = sum(s.size * s.load for s in known) / sum(s.size for s in known) if known else 1.0
        fill = self.size * self.mean / max(0.25, load) or self.budget.rate(now) * self.budget.time
        self.blind = self.quota > 0 and not (self.probes or self.live_sizes or known)  # no load is told
        self.fill = max(((self.sparse or self.blind) and self.quota) or fill, 1.0) / self.size

    def draw_working(self) -> None:
        """Servers drawn at random from the fleet, as many as reports and own connections tell something of;
        those that are gone, distrusted or strained are replaced. On a small fleet all of it."""
        warm = [s for s in self.fleet if not s.arrival]  # in a deploy the rest would swell the cold budget
        self.size, own = sum(s.size for s in warm or self.fleet) or 1.0, sum(len(s.connections) for s in warm)
        # On a small fleet few own ones mean a fresh start, unless the list tells of all balancers' ones.
        many = max(self.balancers, len(self.fleet)) > LEAST or self.live_sizes
        self.mean, self.sparse = own / self.size, many and own <= CHANCE * len(self.fleet)
        known = LOAD_KEPT * self.probes * self.budget.rate(self.host.now)
        breadth = min(MOST, max(LEAST, math.ceil(known), own // 4))
        self.near = [s for s in warm if s.zone == self.zone] if self.sparse else []  # the rest at its pace
        if breadth >= len(self.fleet):
            self.working = list(self.fleet)
        else:
            self.working = [s for s in self.working if self.well(s)]
            while len(self.working) < breadth:
                if (server := self.rng.choice(self.fleet)) not in self.working:
                    self.working.append(server)
        self.look()

    def well(self, server: Server, sess: Session | None = None) -> bool:
        now = self.host.now
        return (
            server.readiness is EndpointState.IN_SERVICE
            and self.load_of(server) < FULL_LOAD
            and now - server.strained_at >= STRAIN_FOR * (3 if self.blind else 1)  # nobody says: over
            and server.score(now) <= self.bar
            and not (sess and (server.leaving or not sess.may_go_to(server, now)))
        )

    def server_list(self, kind: EndpointListKind, entries: Iterable[Endpoint]) -> None:
        if kind is EndpointListKind.FAILED:
            self.list_lost, self.list_failures, part = True, self.list_failures + 1, self.callers / 4
            # All lose it at once, and it works through calls given up too: long, growing, spread waits.
            longest = min(
                self.ask_within * min(0.6, part), LIST_PAUSE, part * 2 ** min(9, self.list_failures)
            )
            if self.list_failures == 1:
                self.host.log(f"list lost: asking again within {longest:.2f} s")
            self.ask_at = self.host.now + longest * self.rng.uniform(0.25, 1.0)
            return
        if kind is not EndpointListKind.CACHED:
            if self.list_failures:
                self.host.log(f"list watched: failures before {self.list_failures}")
            self.list_lost, self.list_failures = False, 0
        self.learn_sizes(entries := list(entries))
        first, absent = not self.servers, set(self.servers) if kind is not EndpointListKind.DELTA else set()
        for entry in entries:
            absent.discard(entry.name)
            self.told(entry, first)
        for name in sorted(absent):
            self.leave(self.servers[name], EndpointState.REMOVED)
        self.fleet = [s for s in self.servers.values() if s.readiness is EndpointState.IN_SERVICE]
        if self.live_sizes:
            unit = max(self.largest.values(), default=1.0) / 4
            for server in self.fleet:
                server.take_size(self.largest.get(server.kind, server.size), unit)
        self.ring = sorted((place, n) for n, s in enumerate(self.fleet) for place in s.places)
        self.draw_working()

    def learn_sizes(self, entries: list[Endpoint]) -> None:
        """A weight that moves with load is no size: taken for one, homes wander and the fullest look small.
        The largest that a kind of machine was told with is its size, and what is missing, connections."""
        for entry in entries if self.live_sizes else ():
            if (grown := entry.weight / self.largest.get(entry.machine_type, math.inf)) > 1.0:
                for server in (
                    s for s in self.servers.values() if s.kind == entry.machine_type
                ):  # fuller than told
                    server.held = (server.held + 1.0) * grown - 1.0
                    server.load_held = (server.load_held + 1.0) * grown - 1.0
                self.brims.pop(entry.machine_type, None)
            self.largest[entry.machine_type] = (
                max(self.largest.get(entry.machine_type, 0.0), entry.weight) or 1.0
            )

    def told(self, entry: Endpoint, first: bool) -> None:
        now, server = self.host.now, self.servers.get(entry.name)
        if server is None and entry.state is EndpointState.REMOVED:
            return
        before = server.started if server else None
        joined = server.readiness is not EndpointState.IN_SERVICE if server else not first
        server = server or self.servers.setdefault(entry.name, Server(entry))
        if entry.state is not EndpointState.IN_SERVICE:
            self.leave(server, entry.state)
            return
        server.learn(entry)
        if self.live_sizes:
            server.size = self.largest[entry.machine_type]
            if entry.weight:
                held = server.size / entry.weight - 1.0
                if server.held_at == -math.inf:
                    server.load_held = held  # a report from before goes on from here
                server.held, server.held_at = held, now
        else:
            server.take_size(entry.weight or 1.0, 1.0)
        if not joined and (entry.started_at == before or not self.budget.cold(server, now)):
            return
        server.leaving, server.distrust, share = None, 0.0, self.mean * server.size  # it starts anew
        self.budget.tokens[server] = ((self.budget.phase + draw(server.name)) % 1.0, now)
        server.arrival = Pace(int(share + self.rng.random()))  # of many balancers as many as the share says
        why = "cold" if self.budget.cold(server, now) else "back"
        self.host.log(f"arrival {server.name}: {why}, size {server.size:g}, share {share:.1f}")
        if self.rng.random() * len(self.fleet) < len(self.working) and server not in self.working:
            self.working[self.rng.randrange(len(self.working))] = server  # in as many sets as others are

    def leave(self, server: Server, readiness: EndpointState) -> None:
        news, server.readiness, server.arrival = server.readiness is EndpointState.IN_SERVICE, readiness, None
        if readiness is EndpointState.DRAINING and news:
            self.hand_off(server, "drain", told=True)

    def load_of(self, server: Server) -> float:
        """The load last reported, 0 if none is known; carried on by own connections unless these are few."""
        now = self.host.now
        known = now - server.load_at < LOAD_KEPT
        if now - server.held_at < LOAD_KEPT and (brim := self.brims.get(server.kind)):
            # Connections of all balancers, told of all servers: they carry a report on, or stand for it.
            load, held = (server.load, server.load_held) if known else (0.0, 0.0)
            return max(0.0, load + (server.held - held) * brim[1] / brim[0])
        own, full = len(server.connections), self.fill * server.size
        guess = own / full if self.blind and full >= 1.0 else 0.0  # by own part of what it bears
        return server.load + (0 if self.sparse else own - server.load_count) / full if known else guess

    def latency(self, servers: list[Server]) -> float | None:
        figures = [figure for s in servers if (figure := s.latency(self.host.now)) is not None]
        return sum(figures) / len(figures) if figures else None

    def hand_off(self, source: Server, why: str, told: bool = False) -> None:
        if source.connections and (
            told or source.readiness is EndpointState.IN_SERVICE and not source.leaving
        ):
            source.leaving = Pace(len(source.connections), source.latency(self.host.now))
            self.host.log(f"hand-off {source.name}: {why}, own connections {source.leaving.count}")
            self.step_hand_off(source, source.leaving)

    def step_hand_off(self, source: Server, pace: Pace) -> None:
        now = self.host.now
        if source.leaving is not pace:
            return
        mended = (
            source.readiness is EndpointState.IN_SERVICE
            and source.score(now) < DISTRUSTED / 2
            and self.load_of(source) < SHED_LOAD
            and now - source.strained_at >= STRAIN_FOR
        )
        if mended or not source.connections:
            self.host.log(f"hand-off {source.name} ends: moved {pace.moved} of {pace.count}")
            source.leaving = None
            return
        receivers = [s for s in self.working if s is not source and not s.leaving and self.well(s)]
        all_go = source.readiness is EndpointState.IN_SERVICE and self.open_share > 0.5 and not self.sparse
        late = math.inf if all_go and self.load_of(source) >= SHED_LOAD else pace.latency  # overfull
        allowed = pace.allowance(source.delay.fresh(now) or late, self.latency(receivers))
        own = [s for s in source.connections if s.standing and (s.placed or all_go)]  # or earn nothing there
        own.sort(key=lambda s: (not s.placed, math.inf if s.load is None else s.load, s.news_at))  # own, idle
        for sess in own[:allowed]:
            sess.standing = False
            source.release(sess)
            self.host.migrate(sess.token)
        self.later(1.0, lambda: self.step_hand_off(source, pace))

    def eased(self, server: Server, sess: Session) -> bool:
        """Whether a server that arrives may get one more: the staged pace, and the cold budget."""
        if (pace := server.arrival) is None:
            return True
        now = self.host.now
        if pace.moved >= pace.count and not self.budget.cold(server, now):
            server.arrival = None
            self.host.log(f"arrival {server.name} ends: own connections {len(server.connections)}")
            return True
        if now >= pace.at + 1.0:
            others = [s for s in self.working if not s.arrival]
            allowed = pace.allowance(self.latency(others), server.latency(now))
            pace.at, pace.credit = now, pace.credit or max(1, allowed)
        due = pace.credit > 0 or sess.waited and not self.budget.cold(server, now)  # else refused beside it
        return due and self.budget.grow(server, self.fill, now) >= 1

    def weight(self, server: Server, group: Hashable, home: Server | None) -> float:
        """Own connections per size, a group new there counted in, raised by distrust."""
        fill, due = self.fill, server.arrival and server.arrival.moved < server.arrival.count
        own = len(server.connections) if server.heard or due else self.mean * server.size
        if self.host.now - server.held_at < LOAD_KEPT and (brim := self.brims.get(server.kind)):
            fill = fill if self.live_sizes else brim[0] / max(brim[1], 1e-6)  # told by the fleet: of all
            own = self.load_of(server) * fill * server.size
        shared = self.share_groups and group is not None and server is not home
        if shared and all(sess.group != group for sess in server.connections):
            own += GROUP_COST * (fill * server.size + CHANCE) * (3 if self.blind else 1)  # no report shows it
        far = FAR if self.sparse and server not in (home, *self.near) else 1.0  # a crossing, or still cold
        return (own + 1.0) / server.size * (1.0 + server.score(self.host.now)) * far

    def home(self, sess: Session) -> Server | None:
        """The remembered best: per group where groups share work. For a group not met yet, the first fit one
        from the group's place on a ring: the same at all balancers, so that it meets without a word."""
        known = self.memory.get(group := sess.group if self.share_groups else None)
        if group is None or known and self.well(known, sess):
            return None if group is None and self.sparse else known  # chance, or what all pick
        at, steps = bisect(self.ring, (draw(group), 0)), range(min(HOMES, len(self.ring)))
        fit = self.places((self.fleet[self.ring[(at + step) % len(self.ring)][1]] for step in steps), sess)
        first = next(fit, None)
        if first is None or not self.calm or self.blind:  # a home for each zone takes room that nobody sees
            return first
        return next((s for s in (first, *fit) if s.zone == self.zone and self.load_of(s) < NEAR_LOAD), first)

    def places(self, ring: Iterable[Server], sess: Session) -> Iterator[Server]:
        """Where a group's home may stand now. Arriving servers too, at their pace: the groups of servers that
        are replaced at once would fill those left over.

        Where turns to send to them come seldom another server has one at each moment, and the group's work
        would be paid for at all of them: only a few are passed over for want of a turn."""
        passed_over = 0
        for server in dict.fromkeys(ring):
            if not self.well(server, sess):
                continue
            if self.eased(server, sess):
                yield server
            elif (passed_over := passed_over + 1) == MOST_PASSED_OVER:
                return

    def open_to(self, servers: Iterable[Server], sess: Session) -> Iterator[Server]:
        return (s for s in servers if self.well(s, sess) and self.eased(s, sess))

    def pick(self, sess: Session) -> Server | None:
        home = self.home(sess)
        if home is None and sess.group is not None and self.share_groups and self.sparse:
            return None  # strewn, each group's work is paid for everywhere: a jam that feeds itself
        bound = sess.may_run_at is not None and sess.listener.idempotency is not Idempotency.IDEMPOTENT
        pool = self.fleet if bound else self.working
        if len(pool) > LEAST and not bound:  # the work for one dial does not grow with the fleet
            pool = self.rng.sample(self.near, min(4, len(self.near))) + self.rng.sample(pool, LEAST // 2)
        pool = list(self.open_to(pool, sess))
        pool = [s for s in pool if s not in sess.tried] or pool
        new = [s for s in pool if s.arrival and s.arrival.moved < s.arrival.count]
        rest = [s for s in pool if s not in new]
        sess.drawn = list(self.open_to(sess.drawn, sess)) or self.draw_from(rest)
        homes = self.open_to([home], sess) if home and home not in sess.tried else ()
        return min((*homes, *new, *sess.drawn), key=lambda s: self.weight(s, sess.group, home), default=None)

    def draw_from(self, rest: list[Server]) -> list[Server]:
        """Two random ones; where own connections are few, and tell less than a zone, two near and one."""
        near, some = [s for s in rest if s in self.near], self.rng.sample
        return some(near, min(2, len(near))) + some(rest, min(1 if near else 2, len(rest)))

    def take(
        self,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        time_left: float,
        load: float | None,
    ) -> Session:
        sess = Session(self, token, listener, tenant, group, self.host.now + time_left, load)
        self.budget.arrived(self.host.now)
        if self.share_groups:
            self.demand.setdefault(group, Rate(self.budget.since)).arrived(self.host.now)
            if len(self.demand) > GROUPS:
                del self.demand[next(iter(self.demand))]
        self.dial(sess)
        return sess

    def adopt(
        self,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        load: float | None,
        name: str,
    ) -> Session | None:
        """A connection that stood before this balancer started: counted, but not moved off a drain."""
        if (server := self.servers.get(name)) is None:
            return None
        sess = Session(self, token, listener, tenant, group, math.inf, load)
        sess.server, sess.dialling, sess.standing, sess.answered = server, True, True, True
        server.hold(sess)
        return sess

    def dial(self, sess: Session) -> None:
        if sess.answered or sess.dialling:
            return
        now, left = self.host.now, sess.give_up - self.host.now
        spent = (
            left <= LEAST_LEFT
            or len(sess.tried) >= sess.most_dials
            or len(sess.tried) > 0
            and not any(sess.may_go_to(s, now) for s in self.fleet)
        )
        server = None if spent else self.pick(sess)
        if server is None or self.asking(sess, server, now):
            if not spent and now < sess.hold_until:
                sess.waited = True
                self.waiting.append(sess)  # all servers are cold or strained, or the list is empty
            else:
                self.end(sess)
            return
        if server.arrival:
            server.arrival.credit = max(0, server.arrival.credit - 1)
            server.arrival.moved += 1
            self.budget.tokens[server] = (self.budget.grow(server, self.fill, now) - 1.0, now)
        else:
            self.memory[sess.group if self.share_groups else None] = server
        sess.server, sess.placed, sess.dialling, sess.drawn = server, True, True, []
        sess.tried.append(server)
        sess.may_run_since = sess.may_run_since if sess.may_run_at else now
        server.hold(sess)
        self.host.start_attempt(sess.token, server.name, self.dial_time(sess, left))

    def asking(self, sess: Session, server: Server, now: float) -> bool:
        """Where own connections are few the one picked is asked before a dial; one silent is passed over."""
        if not self.sparse or not self.probes:
            return False
        if now - server.load_at < (LOAD_KEPT if now - server.held_at < LOAD_KEPT else REPORT_AGE):
            # Many balancers that see the same room all fill it: each takes its part by chance, as if alike.
            room = (FULL_LOAD - self.load_of(server)) * self.fill * server.size
            crowd = self.budget.rate(now) * REPORT_AGE / max(1.0, self.open_share * len(self.fleet))
            if sess.group in self.demand:  # those of a group all go to one home, so they are the crowd there
                crowd = max(crowd, self.demand[sess.group].rate(now, less=1.0) * REPORT_AGE)
            if self.rng.random() * crowd <= room:
                return False
            server.strained_at = now
        elif now - server.probed_at >= REPORT_AGE and sess.asks < 4:
            sess.asks, server.probed_at = sess.asks + 1, now
            self.host.check_health(server.name)
        elif now - server.probed_at >= ASK_FOR:
            server.strained_at = now
        return True

    def dial_time(self, sess: Session, left: float) -> float:
        """Early dials get the handshake target or, if a store slows all, thrice what set-ups take."""
        if len(sess.tried) >= sess.most_dials or sess.listener.idempotency is Idempotency.NON_IDEMPOTENT:
            return left
        usual = self.setting_up.fresh(self.host.now) or 0.0
        return min(left, max(sess.listener.handshake_objective, 3.0 * usual))

    def end(self, sess: Session) -> None:
        sess.answered, repeat = True, sess.listener.idempotency
        everywhere = (
            repeat is Idempotency.KEYED and sess.listener.deduplication_scope is DeduplicationScope.ALL
        )
        if sess.may_run_at is None or repeat is Idempotency.IDEMPOTENT or everywhere:  # rule 2
            self.host.reject(sess.token, self.retry_after * self.rng.uniform(0.3, 1.0))
        else:
            self.host.tear_down(sess.token)

    def load_told(self, server: Server, load: float, age: float = 0.0) -> None:
        server.load, server.load_at, server.load_count = load, self.host.now - age, len(server.connections)
        server.load_held = server.held
        if server.held > 0.0 and not server.arrival and self.host.now - server.held_at < LOAD_KEPT:
            held, total = self.brims.get(server.kind, (0.0, 0.0))
            self.brims[server.kind] = held * BRIM_KEPT + server.held, total * BRIM_KEPT + load
        if load >= SHED_LOAD:
            self.hand_off(server, f"load {load:.2f}")  # overfull: all messages are late until some are moved

    def dial_judged(self, sess: Session, server: Server, end: AttemptOutcome, took: float) -> None:
        away = (
            end is AttemptOutcome.CANCELLED and sess.standing and not sess.left
        )  # it drains, told or not yet
        if end in (AttemptOutcome.OK, AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT) and not away:
            return
        if not sess.standing:
            server.set_up.add(max(took, sess.listener.handshake_objective), self.host.now)
            if end is AttemptOutcome.TIMEOUT:
                self.setting_up.add(took, self.host.now)
        if end is AttemptOutcome.OVERLOADED or sess.standing and end is AttemptOutcome.RESET:
            server.strained_at = self.host.now  # it sheds: refilled at once it would drop them again
        sure = (
            away or end is AttemptOutcome.CONNECT_FAILED and took < TICK
        )  # sent away, or nobody there: seen once
        self.blame(
            server,
            SURE if sure else 0.3 if sess.standing else 0.5 if end is AttemptOutcome.OVERLOADED else 1.0,
        )

    def blame(self, server: Server, amount: float) -> None:
        server.distrust, server.distrust_at = (score := server.score(self.host.now) + amount), self.host.now
        if score > self.bar:
            self.look()
        if score >= 2 * DISTRUSTED and score > self.bar:
            self.hand_off(server, f"distrust {score:.1f}")  # a sick server that nobody drains

    def probe_round(self) -> None:
        now, self.probing = self.host.now, self.probes > 0.0
        if not self.probing:
            return
        rate = self.probes * self.budget.rate(now)
        if any(now - s.strained_at < LOAD_KEPT for s in self.working):  # in trouble reports are worth more
            rate = max(rate, min(len(self.working) / 2.0, 4.0 * rate))
        if self.working:  # the longest unprobed first, distrusted ones sooner
            server = max(self.working, key=lambda s: (now - s.probed_at) * (1.0 + s.score(now)))
            server.probed_at = now
            self.host.check_health(server.name)
        self.later(1.0 / min(1.0 / TICK, max(rate, 0.2)), self.probe_round)

    def probed(
        self,
        name: str,
        end: AttemptOutcome,
        took: float,
        load: float | None,
        age: float = 0.0,
        held: float | None = None,
    ) -> None:  # held: open connections of all balancers, where they tell
        if (server := self.servers.get(name)) and held is not None and not self.live_sizes:
            server.held, server.held_at = held / server.size, self.host.now - age
        if server and end is AttemptOutcome.OK and load is not None:
            self.load_told(server, load, age)
        elif server and end not in (AttemptOutcome.OK, AttemptOutcome.OVERLOADED):
            self.blame(server, 1.0)
        if self.sparse:
            self.serve()
