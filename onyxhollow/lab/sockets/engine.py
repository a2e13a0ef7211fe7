"""The socket engine: the world in real time, its clients, servers and list behind real sockets, proxies as
processes. Everything stays on loopback, is started and ended here, and is gone when run returns or is
broken off.

Latency counts from when a session was due; if this side itself runs late, the run says so and is void.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil
import tomli_w

from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.sockets.discovery import Desk
from onyxhollow.lab.sockets.lines import Lines
from onyxhollow.lab.sockets.proxies import READY_WITHIN, Process, free_address, wire_settings
from onyxhollow.lab.sockets.servers import Dial, Door
from onyxhollow.lab.world.servers import ServerState, Session
from onyxhollow.lab.world.types import LossCause
from onyxhollow.lab.world.world import World
from onyxhollow.loop import Loop

SAY_EVERY = 2.0  # seconds between lines of a client
SLACK = 0.05  # seconds by which the time limits of the rules are longer on sockets
UP_WITHIN = 30.0  # seconds for the connections that stand at the start
LATE, LATE_SHARE = (
    0.1,
    0.01,
)  # a run is void if more than this share of its entries was later than that, seconds
BEHIND = 0.05  # share of the run that may go by in such turns of its own
BUSY = 85.0  # percent of all cores, over a run, past which its processes waited for one another
UNACCOUNTED = 0.001  # share of what was wanted that a run in real time may leave unaccounted for
MANY = 40  # proxies past which their membership takes its time: all of them share this machine
KNOCK = 0.25  # seconds between questions to a proxy that was started whether it takes clients
LOOK = 0.05  # seconds between looks at what changed in the world
MOST_DOORS = 4000  # listening sockets for pairs of proxy and server
BAD_EVERY = 1.0  # seconds between bad clients
BAD = (
    b"HELLO\r\n",
    b"OPEN \r\n",
    b"\x00\xff" * 40 + b"\r\n",
    b"OPEN x y c=nobody,d=100\r\n",
    b"OPEN half",
    b"",
    b"OPEN 1 k c=balance,d=-5\r\n",
    b"A" * 6000 + b"\r\n",
    b"PING\r\n",
)


class ClientEnd:
    """A client's connection to its proxy."""

    __slots__ = ("engine", "sess", "lines", "answered", "said")

    def __init__(self, engine: Sockets, sess: Session, sock: socket.socket) -> None:
        self.engine, self.sess, self.answered, self.said = engine, sess, False, 0
        self.lines = Lines(engine.loop, sock, self.got, self.ended)

    def got(self, line: bytes) -> None:
        engine, sess = self.engine, self.sess
        word, _, rest = line.strip().partition(b" ")
        if self.answered:
            if word == b"MOVE" and not sess.ended:
                engine.world.metrics.increment("moves")
                engine.world.end_connection(sess, LossCause.MOVED)
                self.lines.close()
            return
        self.answered = True
        if sess.ended:
            self.lines.close()
            return
        if sess.answered:  # it stood before the start
            engine.standing_up(sess, word == b"UP")
            self.say()
            return
        how = {b"UP": "up", b"BUSY": "refused"}.get(word, "failed")
        engine.world.checker.record_answer(engine.now, sess.proxy, sess.number, how)
        if how == "up":
            dial = engine.dials.get(sess.number)
            if dial is None or dial.door.server.state is ServerState.STOPPED:
                engine.world.end_connection(
                    sess, LossCause.TORN_DOWN
                )  # its server has ended in this very moment
                self.lines.close()
                return
            engine.world.on_established(sess, dial.door.server)
            if dial.door.server.is_unresponsive or dial.door.blocked:
                engine.world.set_blackholed(sess, True)
            self.say()
            return
        self.lines.close()
        if how == "refused":
            wait = float(rest) / 1000 if rest.isdigit() else 0.0
            engine.world.on_rejected(sess, wait)
        else:
            engine.world.on_failed(sess)

    def say(self) -> None:
        if self.lines.open and not self.sess.ended:
            self.said += 1
            self.lines.say(b"line %d\r\n" % self.said)
            self.engine.world.event_queue.schedule_after(SAY_EVERY, self.say)

    def ended(self, _: bool) -> None:
        engine, sess = self.engine, self.sess
        engine.ends.pop(sess.number, None)
        if sess.ended:
            return
        if not self.answered and not sess.answered:
            if engine.world.proxies[sess.proxy].alive and self.lines.sent:
                engine.world.checker.add_violation(
                    1, engine.now, f"session {sess.number}: ended without an answer"
                )
            engine.world.checker.record_client_gone(engine.now, sess.number)
            engine.world.on_proxy_lost(sess)
        elif self.answered:
            engine.world.end_connection(sess, LossCause.TORN_DOWN)


class Sockets:
    notices_silence = True  # the proxies do, by themselves

    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, in_fleet: bool = False, sharing: bool = False
    ) -> None:
        """in_fleet: the proxies form one; sharing: they tell one another of servers."""
        self.scenario, self.seed, self.folder, self.in_fleet = scenario, seed, folder, in_fleet
        self.world = World(scenario, seed)
        grace, answer = scenario.proxies.drain_grace + SLACK, scenario.proxies.answer_grace + SLACK
        self.world.checker.drain_grace, self.world.checker.answer_grace = grace, answer
        self.loop = Loop(self.failed)
        self.began = time.monotonic()
        self.ends: dict[int, ClientEnd] = {}
        self.dials: dict[int, Dial] = {}
        self.sessions: dict[int, Session] = {}
        self.doors: dict[str, list[Door]] = {}
        self.complaints: list[str] = []
        self.failures: list[str] = []
        self.version = 0
        self.waiting_up: set[int] = set()
        self.up: set[int] = set()  # proxies that have answered PING
        self.lateness: list[float] = []
        self.busy = 0.0  # percent of all cores, over the run
        self.behind = 0.0  # seconds spent in turns so long that servers and list answered late
        self.asked_before = 0  # questions to servers until the run began: hundreds come up for half a minute
        self.states: dict[str, ServerState] = {}
        self.bad: list[Lines] = []
        self.bad_sent = self.bad_ended = 0
        self.list_was_down = False
        # A door for each pair of proxy and server, as long as descriptors last: past that links are harmed by
        # zone alone (proxies go round the zones by number).
        fleet = scenario.fleet
        pairs = fleet.proxies * fleet.servers
        self.lanes = fleet.proxies if pairs <= MOST_DOORS else len(fleet.zones)
        self.desks = [Desk(self, n) for n in range(scenario.fleet.proxies)]
        clients = len(self.world.clients)
        self.proxies = [
            Process(
                n,
                wire_settings(scenario, self.world.quotas, n),
                self.desks[n].address,
                folder,
                min(4000, 400 + 3 * clients),
            )
            for n in range(scenario.fleet.proxies)
        ]
        if in_fleet:
            self.join(sharing)

    @property
    def now(self) -> float:
        return self.world.event_queue.now

    def unix(self, when: float) -> float:
        """Unix time of a time of the world."""
        return time.time() - time.monotonic() + self.began + when

    def failed(self, where: str, error: BaseException) -> None:
        if len(self.failures) < 20:
            self.failures.append(f"{where}: {error!r}")

    def complain(self, what: str) -> None:
        if len(self.complaints) < 50:
            self.complaints.append(what)

    def door(self, server: str, proxy: int) -> Door:
        doors = self.doors.get(server)
        if doors is None:
            known = self.world.servers_by_name[server]
            doors = self.doors[server] = [Door(self, known, n) for n in range(self.lanes)]
            self.states[server] = known.state
        return doors[proxy % self.lanes]

    def by_id(self, line: bytes) -> Session | None:
        word = line.split(b" ")[1] if line.count(b" ") >= 3 else b""
        return self.sessions.get(int(word[1:], 16)) if word[:1] == b"c" and len(word) < 20 else None

    def join(self, sharing: bool) -> None:
        """The proxies form a fleet, and one of each zone tells the others the list."""
        (self.folder / "fleet.key").write_text("6c61622d" * 4 + "\n")
        at = [free_address(f"127.0.3.{n % 250 + 1}", socket.SOCK_DGRAM) for n in range(len(self.proxies))]
        few = {"period": 0.4, "timeout": 0.15, "sync": 2.0}
        many = {"period": 1.5, "timeout": 0.5, "sync": 8.0}
        for process, address in zip(self.proxies, at, strict=True):
            told = {
                "fleet": "lab",
                "key_file": "fleet.key",
                "listen": f"{address[0]}:{address[1]}",
                "folder": f"votes-{process.number}",
                "voters": [f"n{number}" for number in range(3)],
                "seeds": [f"{host}:{port}" for host, port in at[:3]],
                "membership": few if len(self.proxies) <= MANY else many,
                "sharing": {"on": sharing},
                "leases": {"lease": 1.0},
                "duty": [{"name": "list", "work": "list", "per": "zone", "every": 0.4, "service": "lab"}],
            }
            path = self.folder / f"fleet-{process.number}.toml"
            path.write_text(tomli_w.dumps(told))
            process.fleet = str(path)

    # the course of a run

    def run(self, progress: Any = lambda now, of: None) -> World:
        try:
            self.set_up()
            self.play(progress)
        finally:
            self.tear_down()
        self.world.finish()
        return self.world

    def set_up(self) -> None:
        world = self.world
        # An entry that comes late on sockets is booked from when it came, not when it was due: hundreds of
        # processes on one machine missed one part in ten thousand. It is told, and bounded.
        world.metrics.tolerance = UNACCOUNTED
        world.start(self)
        for server in list(world.servers):
            self.door(server.name, 0)
        for number, process in enumerate(self.proxies):
            process.start(self.seed * 1009 + number, self.known(number))
        for process in self.proxies:
            if not process.wait_ready(READY_WITHIN + len(self.proxies) / 5):
                raise RuntimeError(
                    f"proxy n{process.number} did not come up; see {self.folder}/n{process.number}.log"
                )
        self.up = set(range(len(self.proxies)))
        standing = world.create_preexisting_sessions()
        self.waiting_up = {sess.number for sess in standing}
        until = time.monotonic() + UP_WITHIN
        for place, sess in enumerate(standing):
            self.connect(sess)
            if place % 50 == 0:
                self.loop.turn(0.0)
        while self.waiting_up and time.monotonic() < until:
            self.loop.turn(0.01)
        if self.waiting_up:
            raise RuntimeError(
                f"{len(self.waiting_up)} of {len(standing)} standing connections did not come up"
            )

    def play(self, progress: Any) -> None:
        event_queue, end = self.world.event_queue, self.scenario.seconds
        self.began = time.monotonic()
        # Those of the set-up are no part of the run: with sharing they were most of what was counted.
        self.asked_before = self.world.metrics.counts.pop("probes", 0)
        psutil.cpu_percent()  # from here on
        event_queue.schedule_at(0.0, self.look)
        event_queue.schedule_at(0.5, self.bad_client)
        shown = 0
        while event_queue.now < end:
            turn, due = time.monotonic(), self.began + event_queue.next_due
            self.loop.turn(max(0.0, min(LOOK, due - time.monotonic())))
            now = min(end, time.monotonic() - self.began)
            if event_queue.next_due <= now:
                self.lateness.append(now - event_queue.next_due)
            event_queue.run_until(now)
            if (took := time.monotonic() - turn) > LATE:
                self.behind += took
            if int(now) > shown:
                shown = int(now)
                progress(now, end)
        self.busy = psutil.cpu_percent()

    def tear_down(self) -> None:
        for process in self.proxies:
            process.look()
            process.end()
        for end in list(self.ends.values()):
            end.lines.close()
        for lines in self.bad:
            lines.close()
        for doors in self.doors.values():
            for door in doors:
                door.shut()
        for desk in self.desks:
            desk.close()
        with contextlib.suppress(OSError):
            self.loop.epoll.close()

    # what follows from the world's state

    def look(self) -> None:
        """The world changes servers and links; their sockets follow."""
        world = self.world
        for server in world.servers:
            doors = [self.door(server.name, n) for n in range(self.lanes)]
            if server.state is not self.states[server.name]:
                before, self.states[server.name] = self.states[server.name], server.state
                for door in doors:
                    if server.state is ServerState.STOPPED:
                        door.shut()
                    elif before is ServerState.STOPPED:
                        door.open()
            for door in doors:
                door.block(bool(server.vanished_by) or bool(world.blocked_direction(door.proxy, server)))
        if world.list_service.down_by and not self.list_was_down:
            for desk in self.desks:
                desk.down()
        self.list_was_down = bool(world.list_service.down_by)
        if world.list_service.version != self.version and not world.list_service.down_by:
            self.version = world.list_service.version
            for desk in self.desks:
                desk.changed()
        for process in self.proxies:
            process.look()
        self.world.event_queue.schedule_after(LOOK, self.look)

    def known(self, proxy: int) -> dict[str, Any]:
        rows = [self.desks[proxy].row(row) for row in self.world.list_service.rows.values()]
        return {"seq": self.world.list_service.version, "whole": True, "hosts": rows}

    def bad_client(self) -> None:
        """Those that do not follow the protocol: they must harm nobody."""
        proxy = self.world.proxies[self.bad_sent % len(self.proxies)]
        if proxy.alive:
            with contextlib.suppress(OSError):
                sock = socket.socket()
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    sock.connect(self.proxies[proxy.number].listen)
                lines = Lines(self.loop, sock, lambda _: None, self.bad_over)
                lines.say(BAD[self.bad_sent % len(BAD)])
                self.bad.append(lines)
        self.bad_sent += 1
        self.world.event_queue.schedule_after(BAD_EVERY, self.bad_client)

    def bad_over(self, _: bool) -> None:
        self.bad_ended += 1

    def standing_up(self, sess: Session, does: bool) -> None:
        self.waiting_up.discard(sess.number)
        if not does:
            self.complain(f"standing session {sess.number} was not put up")

    # called by the world

    def submit(self, sess: Session) -> None:
        self.connect(sess)

    def connect(self, sess: Session) -> None:
        request, scenario = sess.client.request, self.scenario
        self.sessions[sess.number] = sess
        sock = socket.socket()
        sock.setblocking(False)
        try:
            with contextlib.suppress(BlockingIOError):
                sock.connect(self.proxies[sess.proxy].listen)
        except OSError:
            sock.close()
            self.world.on_proxy_lost(sess)
            return
        end = self.ends[sess.number] = ClientEnd(self, sess, sock)
        spec = scenario.listeners[request.listener]
        group = f"g{request.group}" if request.group >= 0 else f"k{request.number}"
        told = [f"c={spec.name}", f"t={scenario.customers[request.tenant].name}", f"g={group}"]
        if sess.answered:
            assert sess.server is not None
            told.append(f"at={sess.server.name}")
        else:
            left = sess.deadline - self.now
            told.append(f"d={max(1, round(left * 1000))}")
            if sess.client.was_connected:
                told.append("again=1")
            self.world.checker.record_session(
                self.now, sess.proxy, sess.number, sess.deadline, spec.repeat, spec.scope, spec.window
            )
        end.lines.say(f"OPEN c{sess.number:x} k{request.number} {','.join(told)}\r\n".encode())

    def cancel(self, sess: Session) -> None:
        self.world.checker.record_client_gone(self.now, sess.number)
        if end := self.ends.pop(sess.number, None):
            end.lines.close()

    def close_by_server(self, sess: Session, move: bool) -> None:
        dial = self.dials.get(sess.number)
        if dial is not None and not dial.over:
            if move:
                dial.lines.say(b"MOVE\r\n")
            dial.finish(reset=not move)

    def load_changed(self, sess: Session) -> None:
        dial = self.dials.get(sess.number)
        if (
            dial is not None
            and dial.up
            and not dial.over
            and not dial.door.blocked
            and not dial.door.server.is_unresponsive
        ):
            dial.lines.say(b"LOAD %d\r\n" % round(sess.load * 1e6))

    def crash(self, number: int) -> None:
        self.up.discard(number)
        self.proxies[number].end()
        for sess_number, end in list(self.ends.items()):
            if end.sess.proxy == number:
                del self.ends[sess_number]
                end.lines.close()

    def restart(self, number: int) -> None:
        self.proxies[number].start(
            self.seed * 1009 + number + 500 * self.proxies[number].lives, self.known(number)
        )
        self.knock(number, self.proxies[number].lives)

    def knock(self, number: int, life: int, before: Lines | None = None) -> None:
        """Asks a proxy that was started whether it takes clients, until it does."""
        process = self.proxies[number]
        if before is not None:
            before.close()
        if process.lives != life or process.child is None or number in self.up:
            return
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.connect(process.listen)

        def heard(line: bytes) -> None:
            if line.startswith(b"PONG") and process.lives == life:
                self.up.add(number)

        lines = Lines(self.loop, sock, heard, lambda _: None)
        lines.say(b"PING\r\n")
        self.world.event_queue.schedule_after(KNOCK, self.knock, number, life, lines)

    def is_ready(self, number: int) -> bool:
        return number in self.up

    def stop(self, number: int, span: float) -> None:
        self.proxies[number].ending = True
        self.proxies[number].tell(signal.SIGTERM)

    def stall(self, number: int, span: float) -> None:
        self.proxies[number].tell(signal.SIGSTOP)
        self.world.checker.record_stall(number, self.now + span + SLACK)
        self.world.event_queue.schedule_after(span, self.proxies[number].tell, signal.SIGCONT)

    # results

    def findings(self) -> dict[str, Any]:
        """What is to be known of the run beside its figures; void: this side was late."""
        late = sum(value > LATE for value in self.lateness)
        void = ""
        if late > LATE_SHARE * max(1, len(self.lateness)):
            void = f"{late} of {len(self.lateness)} entries over {LATE} s late"
        elif self.behind > BEHIND * self.scenario.seconds:
            # One process plays servers, list and clients: a storm of clients that come again keeps it busy,
            # and proxies are blamed for answers that it owes them.
            void = f"servers, list and clients stood still for {self.behind:.1f} s in all"
        elif self.busy > BUSY:
            # Hundreds of processes starved on full cores answer late: that says nothing of what they decide.
            void = f"the machine's cores were {self.busy:.0f} % busy"
        return {
            "void": void,
            "cores_busy": self.busy,
            "probes_before": self.asked_before,
            "behind_s": round(self.behind, 2),
            "latest_ms": round(1000 * max(self.lateness, default=0.0), 1),
            "crashes": {f"n{p.number}": p.crashes for p in self.proxies if p.crashes},
            "complaints": self.complaints,
            "failures": self.failures,
            "bad_clients": self.bad_sent,
            "bad_clients_ended": self.bad_ended,
        }


def play(
    scenario: Scenario, seed: int, folder: Path | None = None, progress: Any = lambda now, of: None
) -> tuple[World, dict[str, Any]]:
    """A run on sockets. folder: where the proxies' configurations and logs stay; else they go with the run.

    Raises RuntimeError if the proxies or the standing connections don't come up.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="onyxhollow-lab-")))
        folder.mkdir(parents=True, exist_ok=True)
        engine = Sockets(scenario, seed, folder)
        world = engine.run(progress)
        return world, engine.findings()
