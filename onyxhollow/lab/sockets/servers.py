"""Stand-in servers: the world's servers behind the protocol's lines. One listening address for each pair
of proxy and server, so that a link between two can be cut alone."""

from __future__ import annotations

import contextlib
import socket
from typing import Protocol

from onyxhollow.lab.sockets.lines import Lines, accepting, listening
from onyxhollow.lab.world.servers import OpenResult, Server, ServerState, Session
from onyxhollow.lab.world.world import World
from onyxhollow.loop import Loop

FILLERS = 2  # connections that fill the queue of a machine that has gone, so that no more come up


class ServerHost(Protocol):
    """What stand-in servers need of the engine that runs them."""

    world: World
    loop: Loop
    dials: dict[int, Dial]  # the newest of each session

    @property
    def now(self) -> float:
        """Seconds since the run began."""

    def by_id(self, line: bytes) -> Session | None:
        """The session whose id a line carries."""

    def complain(self, what: str) -> None:
        """Reports a breach of the protocol."""


class Dial:
    """One connection of a proxy to a server."""

    __slots__ = ("door", "lines", "sess", "up", "sent_at", "over", "ran")

    def __init__(self, door: Door, sock: socket.socket) -> None:
        self.door = door
        self.up = self.over = self.ran = False
        self.sent_at = 0.0
        self.lines = Lines(door.engine.loop, sock, self.got, self.ended)
        self.sess: Session | None = None

    def got(self, line: bytes) -> None:
        engine, server = self.door.engine, self.door.server
        word = line.split(b" ", 1)[0].strip()
        if server.is_unresponsive or self.door.blocked:
            return  # read by nobody
        if self.up:
            self.lines.say(line)
        elif word == b"STATS" or word == b"PING":
            engine.world.metrics.increment("probes")
            now = engine.now
            load = server.reported_load(
                now, engine.world.random_tables.normal(server.number, int(now * 1000))
            )
            self.lines.say(b"PONG x0=%.4f\r\n" % load if word == b"STATS" else b"PONG\r\n")
        elif word == b"OPEN" and self.sess is None:
            self.opened(line)
        else:
            engine.complain(f"{server.name}: a line no client sent: {line[:60]!r}")
            self.lines.say(b"SYNTAX\r\n")

    def opened(self, line: bytes) -> None:
        engine, server, world = self.door.engine, self.door.server, self.door.engine.world
        sess = engine.by_id(line)
        if sess is None:
            engine.complain(f"{server.name}: an id no client sent: {line[:60]!r}")
            self.lines.say(b"SYNTAX\r\n")
            return
        self.sess, self.sent_at = sess, engine.now
        before = engine.dials.get(sess.number)
        if before is not None and not before.over:
            before.lines.read()  # its end may have come, and only wait to be read
        engine.dials[sess.number] = self
        if b"at=" in line:
            self.stands(sess)
            return
        if sess.answered:
            self.over = True  # its client left while the dial was on its way
            self.lines.close()
            return
        world.checker.record_attempt(engine.now, sess.proxy, sess.number, server.name)
        world.metrics.increment("dials")
        verdict, wait = world.open_at_server(sess, server)
        far = 4.0 * world.one_way_delay(world.proxies[sess.proxy].zone, server.zone)
        self.ran = verdict in (OpenResult.ACCEPTED, OpenResult.ERROR, OpenResult.NO_ANSWER)
        if verdict is not OpenResult.NO_ANSWER:
            world.event_queue.schedule_after(wait + far, self.answer, verdict)

    def stands(self, sess: Session) -> None:
        """Open before the start: the world has placed it already."""
        self.up = self.ran = True
        self.lines.say(b"UP %d\r\n" % sess.number)

    def answer(self, verdict: OpenResult) -> None:
        if (
            self.over
            or not self.lines.open
            or self.door.server.is_unresponsive
            or self.door.blocked
            or self.sess is None
        ):
            return
        if verdict is OpenResult.ACCEPTED and self.door.server.state is not ServerState.STOPPED:
            self.up = True
            self.lines.say(b"UP %d\r\n" % self.sess.number)
            return
        self.lines.say(b"ERR\r\n" if verdict is OpenResult.ERROR else b"BUSY\r\n")
        self.ran = verdict is OpenResult.ERROR
        self.finish()

    def finish(self, reset: bool = False) -> None:
        """This end closes the connection."""
        self.lines.close(reset)
        self.ended(reset)

    def ended(self, reset: bool) -> None:
        if self.over:
            return
        self.over = True
        self.door.dials.pop(self, None)
        if (sess := self.sess) is not None:
            engine = self.door.engine
            engine.world.checker.record_attempt_end(engine.now, sess.number, self.sent_at, not self.ran)
            if engine.dials.get(sess.number) is self:
                del engine.dials[sess.number]


class Door:
    """Where one proxy finds one server, or in a large fleet those of one zone do: `proxy` is their first."""

    def __init__(self, engine: ServerHost, server: Server, proxy: int) -> None:
        self.engine, self.server, self.proxy = engine, server, proxy
        self.dials: dict[Dial, None] = {}
        self.blocked = False
        self.fillers: list[socket.socket] = []
        self.sock: socket.socket | None = None
        self.address = ("127.0.0.1", 0)
        self.open()

    def open(self) -> None:
        self.sock = listening(self.address)
        self.address = ("127.0.0.1", self.sock.getsockname()[1])
        accepting(self.engine.loop, self.sock, self.took)

    def took(self, sock: socket.socket) -> None:
        if len(self.server.sessions) >= self.server.kind.connections:
            sock.close()
            return
        self.dials[Dial(self, sock)] = None

    def shut(self) -> None:
        """The process has ended: what is open is reset, new connections are refused."""
        for dial in list(self.dials):
            dial.finish(reset=True)
        self.dials.clear()
        if self.sock is not None:
            self.engine.loop.watch(self.sock.fileno(), 0, None)
            self.sock.close()
            self.sock = None
        self.unfill()

    def block(self, does: bool) -> None:
        """No packet comes through: open connections are silent, new ones never come up."""
        if does == self.blocked or self.sock is None:
            return
        self.blocked = does
        for dial in self.dials:
            dial.lines.quiet(does)
        if not does:
            self.unfill()
            self.sock.listen(1024)
            accepting(self.engine.loop, self.sock, self.took)
            return
        self.engine.loop.watch(self.sock.fileno(), 0, None)
        self.sock.listen(0)  # the system drops what comes once the queue is full
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(OSError):
                filler.connect(self.address)
            self.fillers.append(filler)

    def unfill(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
