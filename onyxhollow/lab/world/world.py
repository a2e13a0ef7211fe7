"""The world: servers, list, clients, fronts and faults, put together round one agenda. An engine carries
it.

The world decides what servers, clients and the list do; the engine carries sessions between clients,
proxies and servers (in virtual time, or over sockets) and calls back what came of them. No I/O and no
clock here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from onyxhollow.lab.evenness import ServerLoad
from onyxhollow.lab.invariant_checker import InvariantChecker
from onyxhollow.lab.ledger import Ledger
from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.world import listing
from onyxhollow.lab.world.agenda import Agenda
from onyxhollow.lab.world.clients import wait_after
from onyxhollow.lab.world.draws import populate
from onyxhollow.lab.world.listing import Row, ServerList
from onyxhollow.lab.world.servers import Client, Server, Session, State, Verdict
from onyxhollow.lab.world.streams import Tables, stream
from onyxhollow.lab.world.types import Cause, Rates

STEP = 0.1  # seconds between steps of the servers' work
LOOK = 1.0  # seconds between entries of the load map and of message latencies
FRONT_LOOKS = 0.2  # seconds between looks of the front at a proxy that was started
PACED = 20  # parts in which a draining server sends its clients away


class Engine(Protocol):
    """What carries sessions. All calls come from the world, at the agenda's time."""

    def submit(self, sess: Session) -> None:
        """A client has opened a session at its proxy."""

    def withdraw(self, sess: Session) -> None:
        """Its client has left, before or after the answer."""

    def ended(self, sess: Session, sent_away: bool) -> None:
        """Its server has ended a connection: reset, or told the client to move."""

    def crash(self, proxy: int) -> None: ...

    def restart(self, proxy: int) -> None: ...

    def ready(self, proxy: int) -> bool:
        """Whether one that was started takes clients by now."""

    def stop(self, proxy: int, span: float) -> None:
        """In order: moves its clients over the span, seconds."""

    def stall(self, proxy: int, span: float) -> None: ...


@dataclass(slots=True)
class Proxy:
    number: int
    zone: int
    alive: bool = True
    listed: bool = True  # the front deals clients to it
    stopping: bool = False


@dataclass(frozen=True, slots=True)
class Cut:
    """A partition."""

    servers: frozenset[str]
    proxies: frozenset[int]
    one_way: bool


class Store:
    """Every set-up asks it once, in turn."""

    def __init__(self, rate: float, time: float) -> None:
        self.rate, self.time, self.free_at = rate, time, 0.0

    def ask(self, now: float) -> float:
        """Seconds until it has answered a call made now."""
        if self.rate <= 0:
            return self.time
        self.free_at = max(now, self.free_at) + 1.0 / self.rate
        return self.free_at - now + self.time


class World:
    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.agenda, self.tables = Agenda(), Tables(seed)
        fleet, network = scenario.fleet, scenario.network
        self.listener_names = [row.name for row in scenario.listeners]
        self.servers: list[Server] = []
        self.by_name: dict[str, Server] = {}
        self.speeds = stream(seed, "servers")
        self.store = Store(scenario.store.rate, scenario.store.time)
        self.list = ServerList(self.agenda, scenario.server_list)
        self.checker = InvariantChecker(
            scenario.proxies.drain_grace, scenario.proxies.answer_grace, scenario.proxies.ask_within
        )
        self.proxies = [Proxy(n, n % len(fleet.zones)) for n in range(fleet.proxies)]
        self.unit = 1.0
        for _ in range(fleet.servers):
            self.make_server(-math.inf)
        self.capacity = sum(server.full for server in self.servers)  # cores of speed 1, at the start
        rates = Rates()
        for fault in scenario.faults:
            fault.shape(rates, self.listener_names)
        population = populate(scenario, max(1.0, self.capacity), rates, seed)
        self.unit, self.quotas, self.wishes = population.unit, population.quotas, population.wishes
        self.usual = population.usual
        for server in self.servers:
            server.unit = self.unit
        self.ledger = Ledger(scenario, self.wishes)
        self.clients = [
            Client(wish, self.tables.uniform(wish.number, 0) < scenario.clients.honours)
            for wish in self.wishes
        ]
        self.struck: dict[int, list[Server]] = {}
        self.cuts: dict[int, Cut] = {}
        self.sessions, self.network = 0, network
        self.fault_marks: list[tuple[float, float, str]] = []
        self.engine: Engine = None  # type: ignore[assignment]  # told in start
        self.crossings = 0

    def zone_name(self, zone: int) -> str:
        return self.scenario.fleet.zones[zone]

    def fault_stream(self, number: int) -> np.random.Generator:
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, 1000 + number])))

    def one_way(self, zone: int, other: int) -> float:
        return self.network.same if zone == other else self.network.cross

    # the course of a run

    def start(self, engine: Engine) -> None:
        """Puts down all that is due. Those that stand at the start are the engine's: see standing."""
        self.engine = engine
        self.list.published.append(
            lambda row: self.checker.record_listing(self.agenda.now, row.name, row.readiness, row.started)
        )
        for server in self.servers:
            self.list.rows[server.name] = self.row(server, listing.IN_SERVICE)
        self.agenda.at(STEP, self.step)
        self.agenda.at(LOOK, self.look)
        self.arrive(next((n for n, wish in enumerate(self.wishes) if not wish.stands), len(self.wishes)))
        for number, fault in enumerate(self.scenario.faults):
            kind = str(type(fault).__struct_config__.tag)
            self.fault_marks.append((fault.at, min(fault.until, self.scenario.seconds), kind))
            self.agenda.at(fault.at, fault.begin, self, number)
            self.agenda.at(fault.until, fault.end, self, number)

    def arrive(self, place: int) -> None:
        """The next arrival puts down the one after it: the agenda need not hold them all."""
        if place < len(self.wishes):
            self.agenda.at(self.wishes[place].due, self.come, place)

    def come(self, place: int) -> None:
        self.arrive(place + 1)
        self.begin(self.clients[place])

    def standing(self) -> list[Session]:
        """The connections that stood before the start: each on a server drawn by size, at a proxy of its
        zone."""
        rng = stream(self.seed, "standing")
        rng.random(16)
        clients = [client for client in self.clients if client.wish.stands]
        if not self.servers:
            for client in clients:
                self.begin(client)
            return []
        sizes = np.array([server.size for server in self.servers])
        drawn = rng.choice(len(self.servers), size=len(clients), p=sizes / sizes.sum())
        made = []
        for client, place in zip(clients, drawn.tolist(), strict=True):
            proxy = self.front(client)
            assert proxy is not None
            sess = self.new_session(client, proxy.number, math.inf)
            sess.answered = True
            self.agenda.at(client.wish.end, self.wish_over, client)
            self.checker.final_answers[sess.number] = (proxy.number, "up")
            self.stand(sess, self.servers[place])
            made.append(sess)
        return made

    def step(self) -> None:
        now = self.agenda.now
        for server in self.servers:
            server.step(now, lambda *told: self.ledger.served(now, *told))
            if server.pile > 0 and server.running:
                for sess in server.overflow(now):
                    self.ledger.count("shed")
                    self.end_by_server(sess, False)
        if now + STEP <= self.scenario.seconds + STEP / 2:
            self.agenda.at(round(now / STEP + 1) * STEP, self.step)

    def look(self) -> None:
        now = self.agenda.now
        seen: list[ServerLoad] = []
        for server in self.servers:
            if not server.running or server.mute:
                continue
            self.ledger.load(server.name, now, server.load)
            if server.state is State.RUNNING and server.warmth(now) >= 1.0:
                seen.append(ServerLoad(server.name, server.load, server.capacity(now)))
            if server.sessions:
                self.ledger.messages(server.delay, server.tau, len(server.sessions))
        self.ledger.evenness.record_loads(now, seen)
        self.agenda.after(LOOK, self.look)

    def finish(self) -> None:
        """The end: open accounts are closed. The last step must have been done."""
        now = self.scenario.seconds
        for client in self.clients:
            sess = client.session
            if sess is not None and sess.up_at >= 0 and not sess.over:
                self.close_account(sess, now)
            elif not client.done and client.wish.due < now:
                self.ledger.out(client.wish, client.since, now, client.cause)
        for server in self.servers:
            server.step(now, lambda *told: self.ledger.served(now, *told))
        self.checker.finish(now)

    # clients

    def begin(self, client: Client) -> None:
        self.agenda.at(client.wish.end, self.wish_over, client)
        self.open(client)

    def front(self, client: Client) -> Proxy | None:
        """A proxy of the client's zone that the front believes in; of any zone if there is none."""
        listed = [proxy for proxy in self.proxies if proxy.listed]
        near = [proxy for proxy in listed if proxy.zone == client.wish.zone] or listed
        if not near:
            return None
        return near[int(self.tables.uniform(client.wish.number, client.draw()) * len(near))]

    def new_session(self, client: Client, proxy: int, timeout: float) -> Session:
        self.sessions += 1
        sess = client.session = Session(self.sessions, client, proxy, self.agenda.now + timeout)
        return sess

    def open(self, client: Client) -> None:
        """Comes, for the first time or again."""
        if client.done or client.session is not None:
            return
        spec = self.scenario.listeners[client.wish.listener]
        proxy = self.front(client)
        if proxy is None or not proxy.alive:
            self.ledger.count("found no proxy")
            self.out(client, Cause.UNREACHABLE)
            return
        self.ledger.count("sessions")
        self.ledger.count("sessions again" if client.tries or client.was_up else "sessions first")
        client.tries += 1
        sess = self.new_session(client, proxy.number, spec.timeout)
        early = self.tables.uniform(client.wish.number, client.draw())
        if early < self.scenario.clients.leaves_early:
            self.agenda.after(
                spec.timeout * (0.2 + 0.7 * early / self.scenario.clients.leaves_early),
                self.leave_early,
                sess,
            )
        self.agenda.at(sess.deadline + self.scenario.proxies.answer_grace + 0.25, self.unanswered, sess)
        self.engine.submit(sess)

    def leave_early(self, sess: Session) -> None:
        if not sess.answered and not sess.over:
            self.ledger.count("left early")
            self.give_up(sess)

    def unanswered(self, sess: Session) -> None:
        """Long past its time: the client goes and comes again."""
        if not sess.answered and not sess.over:
            self.ledger.count("never answered")
            self.give_up(sess)

    def give_up(self, sess: Session) -> None:
        sess.answered = sess.over = True
        sess.client.session = None
        self.engine.withdraw(sess)
        self.out(sess.client, Cause.LATE)

    def wish_over(self, client: Client) -> None:
        """The client wants no connection any more."""
        if client.done:
            return
        client.done, sess = True, client.session
        if sess is None:
            self.ledger.out(client.wish, client.since, client.wish.end, client.cause)
            return
        client.session = None
        if sess.up_at >= 0 and not sess.over:
            self.fall(sess)
        else:
            self.ledger.out(client.wish, client.since, client.wish.end, client.cause)
        sess.answered = sess.over = True
        self.engine.withdraw(sess)

    def out(self, client: Client, cause: Cause, told: float = 0.0) -> None:
        """Why it is without a connection from now on, and when it comes again."""
        now = self.agenda.now
        if now > client.since:
            self.ledger.out(client.wish, client.since, now, client.cause)
        client.cause, client.since, client.session = cause, now, None
        if client.done:
            return
        wait = wait_after(cause, client, told, self.scenario.clients, self.tables)
        if wait is None or client.unsafe:
            self.ledger.count("did not come again")
            return
        self.agenda.after(wait, self.open, client)

    # told by the engine

    def up(self, sess: Session, server: Server) -> None:
        """A session is accepted: the client has its connection."""
        client, now = sess.client, self.agenda.now
        sess.answered = True
        if client.done:
            return
        spec = self.scenario.listeners[client.wish.listener]
        first = not client.was_up
        if first:
            took = now - client.wish.due
            self.ledger.set_up(client.wish.listener, took)
            in_time = took <= spec.target
            self.ledger.out(client.wish, client.since, now, None if in_time else client.cause)
            self.ledger.count("up in time" if in_time else "up late")
        else:
            self.ledger.out(client.wish, client.since, now, client.cause)
        self.ledger.count("up")
        self.ledger.evenness.record_placement(now, server.name, sess.proxy)
        client.tries = 0
        self.stand(sess, server)

    def refused(self, sess: Session, wait: float) -> None:
        self.answer(sess, Cause.REFUSED, wait)

    def failed(self, sess: Session) -> None:
        self.answer(sess, Cause.TORN_DOWN, 0.0)

    def answer(self, sess: Session, cause: Cause, wait: float) -> None:
        sess.answered = sess.over = True
        if sess.client.done or sess.client.session is not sess:
            return
        self.ledger.count("answered refused" if cause is Cause.REFUSED else "answered torn down")
        spec = self.scenario.listeners[sess.client.wish.listener]
        # Told nothing of whether it ran, a client repeats only what may be repeated.
        sess.client.unsafe = cause is Cause.TORN_DOWN and (
            spec.repeat == "once-only" or spec.repeat == "referenced" and spec.scope != "all"
        )
        self.out(sess.client, cause, wait)

    def lost(self, sess: Session) -> None:
        """Its proxy has died, or can't be reached, before any answer."""
        if sess.over:
            return
        sess.answered = sess.over = True
        if sess.client.session is sess:
            self.out(sess.client, Cause.UNREACHABLE)

    def cut(self, sess: Session, cause: Cause) -> None:
        """An open connection has ended against the client's will."""
        if sess.over:
            return
        sess.over = True
        client = sess.client
        if client.session is not sess:
            return
        self.ledger.count(f"cut: {cause.value}")
        if sess.up_at >= 0:
            self.fall(sess)
        client.spell += 1
        client.since = self.agenda.now
        client.tries = 0
        self.out(client, cause)

    # connections at servers

    def stand(self, sess: Session, server: Server) -> None:
        """A server holds the connection from now on, and it earns."""
        client, now = sess.client, self.agenda.now
        crossed = self.proxies[sess.proxy].zone != server.zone
        if crossed:
            self.crossings += 1
        sess.slot = 4 * client.wish.listener + 2 * crossed + client.wish.over
        sess.server, sess.up_at = server, now
        sess.earned_at = server.earned_by(sess.slot, now)
        server.add(sess, sess.slot, now)
        client.was_up, client.since = True, now
        number = client.wish.number
        self.agenda.after(
            self.scenario.listeners[client.wish.listener].change
            * self.tables.exponential(number, client.draw()),
            self.swing,
            sess,
        )

    def swing(self, sess: Session) -> None:
        """The load of a connection changes."""
        if sess.over or sess.server is None:
            return
        client, spec = sess.client, self.scenario.listeners[sess.client.wish.listener]
        sigma = spec.swing_sigma
        load = client.wish.load * math.exp(
            sigma * self.tables.normal(client.wish.number, client.draw()) - sigma**2 / 2
        )
        sess.server.change_load(sess, load)
        if self.scenario.fleet.tells_load and (tell := getattr(self.engine, "load_changed", None)):
            tell(sess)
        self.agenda.after(
            spec.change * self.tables.exponential(client.wish.number, client.draw()), self.swing, sess
        )

    def close_account(self, sess: Session, now: float) -> None:
        """What it earned at its server goes to its customer."""
        server = sess.server
        assert server is not None
        if not sess.muted:
            self.ledger.connection_earned(sess.client.wish, server.earned_by(sess.slot, now) - sess.earned_at)
        else:
            self.ledger.out(sess.client.wish, sess.client.since, now, Cause.UNREACHABLE)
            sess.client.since = now

    def fall(self, sess: Session) -> None:
        """The server holds the connection no more."""
        server, now = sess.server, self.agenda.now
        if server is None or sess not in server.sessions:
            return
        self.close_account(sess, now)
        if not sess.muted:
            server.pause(sess.slot, now)
        server.remove(sess)

    def mute(self, sess: Session, quiet: bool) -> None:
        """Nothing comes through to the server any more, though the connection is open; or it does again."""
        server, now = sess.server, self.agenda.now
        if (
            sess.over
            or server is None
            or sess.up_at < 0
            or sess.muted == quiet
            or sess not in server.sessions
        ):
            return
        self.close_account(sess, now)
        sess.muted = quiet
        if quiet:
            server.pause(sess.slot, now)
        else:
            server.resume(sess.slot, now)
            sess.earned_at = server.earned_by(sess.slot, now)
        sess.client.since = now

    def silence(self, sess: Session) -> None:
        """The proxy has heard nothing for too long and takes the connection for lost."""
        server = sess.server
        if not sess.over and server is not None and (sess.muted or server.mute):
            self.end_by_server(sess, False)

    def end_by_server(self, sess: Session, sent_away: bool) -> None:
        if sess.over:
            return
        self.cut(sess, Cause.MOVED if sent_away else Cause.TORN_DOWN)
        self.engine.ended(sess, sent_away)

    # servers

    def make_server(self, started: float) -> Server:
        fleet, number = self.scenario.fleet, len(self.servers)
        total = sum(kind.share for kind in fleet.kinds)
        mark, kind = (number * 0.6180339887) % 1.0 * total, fleet.kinds[-1]
        for candidate in fleet.kinds:
            if mark < candidate.share:
                kind = candidate
                break
            mark -= candidate.share
        speed = kind.speed * math.exp(kind.spread * float(self.speeds.standard_normal()))
        server = Server(
            number,
            f"s{number:04d}",
            number % len(fleet.zones),
            fleet,
            kind,
            speed,
            self.scenario.listeners,
            self.scenario.proxies.message_work,
            self.unit,
            started,
        )
        server.step_at, server.crossing = self.agenda.now, 2.0 * self.scenario.network.cross
        self.servers.append(server)
        self.by_name[server.name] = server
        self.checker.server_locations[server.name] = (server.zone, server.cell)
        return server

    def row(self, server: Server, readiness: str) -> Row:
        started = None if server.started == -math.inf else server.started + server.clock_off
        return Row(server.name, readiness, server.size, started, self.zone_name(server.zone), server.cell)

    def show(self, server: Server, readiness: str, notice: float) -> None:
        self.list.learn(self.row(server, readiness), notice)

    def add_server(self) -> None:
        server = self.make_server(self.agenda.now)
        self.show(server, listing.IN_SERVICE, self.scenario.server_list.add)

    def start_server(self, server: Server) -> None:
        """It comes back, cold."""
        if server.state is not State.STOPPED:
            return
        server.state, server.started = State.RUNNING, self.agenda.now
        server.clear()
        self.show(server, listing.IN_SERVICE, self.scenario.server_list.add)

    def stop_server(self, server: Server, silently: bool) -> None:
        if server.state is State.STOPPED:
            return
        self.cut_all(server)
        server.state = State.STOPPED
        server.clear()
        settings = self.scenario.server_list
        self.show(server, listing.GONE, settings.silent_notice if silently else settings.notice)

    def restart_server(self, server: Server) -> None:
        if server.state is State.RUNNING:
            self.stop_server(server, silently=True)
            self.agenda.after(0.5, self.start_server, server)

    def cut_all(self, server: Server) -> None:
        for sess in list(server.sessions):
            self.end_by_server(sess, False)

    def drain_server(self, server: Server, span: float, returns: bool, replaced: bool) -> None:
        """It takes nothing new, ends after span seconds, and comes back or is replaced."""
        if server.state is not State.RUNNING:
            return
        server.state = State.DRAINING
        self.ledger.count("drains")
        self.show(server, listing.DRAINING, self.scenario.server_list.notice)
        if self.scenario.fleet.drain == "at once":
            self.send_away(server, 1.0)
        elif self.scenario.fleet.drain == "paced":
            for part in range(PACED):
                wait = span * (part + 1) / (PACED + 2)
                self.agenda.after(wait, self.send_away, server, 1.0 / (PACED - part))
        self.agenda.after(span, self.drained, server, returns, replaced)

    def send_away(self, server: Server, share: float) -> None:
        if server.state is State.DRAINING:
            for sess in list(server.sessions)[: math.ceil(len(server.sessions) * share)]:
                self.end_by_server(sess, True)

    def drained(self, server: Server, returns: bool, replaced: bool) -> None:
        if server.state is not State.DRAINING:
            return
        self.stop_server(server, silently=False)
        if replaced:
            self.agenda.after(0.5, self.add_server)
        elif returns:
            self.agenda.after(0.5, self.start_server, server)

    def vanish(self, server: Server, number: int) -> None:
        server.gone_silent.add(number)  # its connections earn nothing from the next step on
        self.show(server, listing.GONE, self.scenario.server_list.silent_notice)
        self.fall_silent(server)

    def fall_silent(self, server: Server) -> None:
        """Proxies will miss what its connections should bring back; real ones do so by themselves."""
        if getattr(self.engine, "notices_silence", False):
            return
        for sess in list(server.sessions):
            self.agenda.after(self.network.silence, self.silence, sess)

    def reappear(self, server: Server, number: int) -> None:
        """The machine is back, with nothing of what it held."""
        server.gone_silent.discard(number)
        if server.gone_silent or server.state is State.STOPPED:
            return
        self.cut_all(server)
        server.state = State.STOPPED
        self.start_server(server)

    def offer(self, sess: Session, server: Server) -> tuple[Verdict, float]:
        """A dial has reached a server. The verdict, and the seconds until the server gives it."""
        now, wish = self.agenda.now, sess.client.wish
        draw = sess.client.draw()
        spec = self.scenario.listeners[wish.listener]
        work = spec.work * self.tables.exponential(wish.number, draw)
        # What a session will ask for is known to nobody yet: against cold budgets its listener's usual load
        # counts, or one costly session would push a server over whatever a policy does.
        chance = self.tables.uniform(wish.number, draw)
        verdict, wait = server.offer(now, self.usual[wish.listener], work, sess.proxy, chance)
        if (shares := server.falls(now)) is not None:
            self.ledger.count("cold servers fell")
            self.checker.record_overload_failure(now, server.name, server.started + server.clock_off, shares)
            self.stop_server(server, silently=True)
            self.agenda.after(self.scenario.fleet.fall_out, self.start_server, server)
            return Verdict.SILENT, 0.0
        if verdict is Verdict.UP:
            self.checker.record_execution(now, sess.key, spec.repeat, server.name)
            wait += self.store.ask(now)
        return verdict, wait

    def group_of(self, token: object) -> int:
        """The group of a session by the token that an engine gave it; -1: none."""
        sess = getattr(token, "sess", None)
        return sess.client.group if isinstance(sess, Session) else -1

    # links and proxies

    def blocked(self, proxy: int, server: Server) -> str:
        """Whether a proxy's packets reach a server: "", "answers" (only those are lost) or "both"."""
        found = ""
        for cut in self.cuts.values():
            if server.name in cut.servers and proxy in cut.proxies:
                if not cut.one_way:
                    return "both"
                found = "answers"
        return found

    def cut_links(self, number: int, servers: list[Server], proxies: list[int], one_way: bool) -> None:
        self.cuts[number] = cut = Cut(frozenset(s.name for s in servers), frozenset(proxies), one_way)
        for server in servers:
            for sess in list(server.sessions):
                if sess.proxy in cut.proxies:
                    self.mute(sess, True)
                    if not getattr(self.engine, "notices_silence", False):
                        self.agenda.after(self.network.silence, self.silence, sess)

    def mend_links(self, number: int) -> None:
        cut = self.cuts.pop(number, None)
        for name in sorted(cut.servers) if cut else ():
            server = self.by_name[name]
            for sess in list(server.sessions):
                if sess.muted and not self.blocked(sess.proxy, server):
                    self.mute(sess, False)

    def crash_proxy(self, number: int) -> None:
        proxy = self.proxies[number]
        if not proxy.alive:
            return
        proxy.alive = False
        self.ledger.count("proxy crashes")
        self.list.forget(number)
        self.engine.crash(number)
        self.checker.record_proxy_crash(number)
        self.agenda.after(self.scenario.front.notice, self.notice, proxy)
        for client in self.clients_of(number):
            sess = client.session
            assert sess is not None
            if sess.up_at >= 0:
                self.cut(sess, Cause.UNREACHABLE)
            else:
                self.lost(sess)

    def clients_of(self, proxy: int) -> list[Client]:
        return [c for c in self.clients if c.session is not None and c.session.proxy == proxy and not c.done]

    def notice(self, proxy: Proxy) -> None:
        """The front looks: it takes a dead proxy out, and a live one in once that is ready. (Where it did not
        wait, clients of 150 processes that came up together met closed ports, and were called unanswered.)"""
        ready = proxy.alive and self.engine.ready(proxy.number)
        proxy.listed = ready and not proxy.stopping
        if proxy.alive and not ready:
            self.agenda.after(FRONT_LOOKS, self.notice, proxy)

    def restart_proxy(self, number: int) -> None:
        proxy = self.proxies[number]
        if proxy.alive:
            return
        proxy.alive, proxy.stopping = True, False
        self.engine.restart(number)
        self.agenda.after(FRONT_LOOKS, self.notice, proxy)

    def stop_proxy(self, number: int, span: float, away: float) -> None:
        """A planned restart: the front lets it be, it moves its clients, ends, and is back after a while."""
        proxy = self.proxies[number]
        if not proxy.alive or proxy.stopping:
            return
        proxy.stopping = True
        self.ledger.count("proxy restarts")
        self.agenda.after(0.3, self.notice, proxy)
        self.engine.stop(number, span)
        self.agenda.after(span, self.crash_proxy, number)
        self.agenda.after(span + away, self.restart_proxy, number)

    def stall_proxy(self, number: int, span: float) -> None:
        if self.proxies[number].alive:
            self.engine.stall(number, span)

    def mass_drop(self, share: float, span: float, number: int) -> None:
        rng = self.fault_stream(number)
        # Drawn for all clients, those without a connection too: the same drop out whatever a policy does.
        chances, waits = rng.random(len(self.clients)), rng.random(len(self.clients))
        for client, chance, wait in zip(self.clients, chances.tolist(), waits.tolist(), strict=True):
            if chance < share and client.wish.due <= self.agenda.now and not client.done:
                self.agenda.after(wait * span, self.drop, client)

    def drop(self, client: Client) -> None:
        sess = client.session
        if sess is None or sess.up_at < 0 or sess.over:
            return
        self.cut(sess, Cause.DROPPED)
        self.engine.withdraw(sess)
