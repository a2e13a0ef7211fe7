"""Sessions: from the client's first line to the end of its connection."""

from __future__ import annotations

import contextlib
import math
import socket
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from onyxhollow.counters import ACCEPTED, REFUSED, TORN_DOWN, Counters
from onyxhollow.decision_adapter import DecisionAdapter, SessionHandle
from onyxhollow.interface import AttemptOutcome, Listener, Tenant
from onyxhollow.loop import Loop, Task
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.buffers import SIZE, BufferPool, LongLineError
from onyxhollow.wire.carried import Carried, encode_listener, read_carried
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import MalformedError, Opening, read_opening, rest, told_figure, word
from onyxhollow.wire.passing import Passing
from onyxhollow.wire.servers import Dialled, Servers
from onyxhollow.wire.tables import Addresses, SessionTable

Steps = Generator[float, None, None]

FIRST_LINE = 2.5  # seconds in which a connection says what it wants: 3 s without a word are one too many
FRONT_LINE = 30.0  # the same after a PING: it is the front's, which may ask again
PINGS = 32  # in a second from one connection; more are not a front's
YOUNG = 0.3  # seconds for which a new connection is not closed to make room: its line may be on the way
LAST_WORD = 0.1  # seconds for which one that is only waited out is left alone where there is no room
ERROR_READ = 3.0  # seconds for an ERR to go out to a client that reads slowly
MOST_OUT = 1024  # lines that a server has not brought back past which its client is not read on
HURRY = 0.03  # seconds of the client's wait, a tenth at most, kept for the answer's own way and a busy core
ADOPTED = 39.0  # seconds for a connection that was open before the run to be up again
ADOPT_AGAIN = 0.25  # seconds between tries for such a one
SILENT = 3.0  # seconds without an echo after which a server counts as gone
MOST_STALLED = 2.0  # seconds by which this process' own pauses put that off
MISSING = 0.5  # seconds after which an echo still out is told as late
LONG = 0.01  # seconds; echoes that come sooner say how busy this core is, nothing of the server
DROPPED = 2.0  # seconds for which sessions of a listener dropped by a reload may still be on their way
LATE_AGAIN = 1.0  # seconds from word to word of late echoes at one server
STARTED_LINE = 0.3  # seconds for the rest of a line that has begun to come as its connection was to be ended
BUSY = b"BUSY\r\n"
AWAY = BUSY  # to PING while clients are sent away: any line but PONG is a no
AFTER_ANSWER = {b"BYE": AttemptOutcome.OK, b"MOVE": AttemptOutcome.CANCELLED, b"ERR": AttemptOutcome.ERROR}


@dataclass(frozen=True, slots=True)
class Moment:
    """When a line went out, and for how long the process had stood still by then."""

    at: float
    stalled: float


class Sessions:
    """Makes sessions of accepted connections; holds what they share."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: Addresses,
        decisions: DecisionAdapter,
        listeners: dict[str, Listener],
        customers: dict[str, Tenant],
        load_field: str,
        connect_time: float,
        service: ServiceState,
        log: Callable[..., None],
    ) -> None:
        self.loop, self.pool, self.counters, self.service = loop, pool, counters, service
        self.decisions, self.listeners, self.tenants, self.log = decisions, listeners, customers, log
        self.servers = Servers(loop, pool, counters, addresses, load_field, connect_time, self.malformed)
        self.dropped: dict[str, tuple[Listener, float]] = {}  # by the last reloads; until when they are taken
        self.taken = 0  # sessions taken and not ended
        counters.open_listeners(listeners)
        self.descriptors = 1000  # connections past which room is made
        self.table = SessionTable[ClientSession]()
        self.late_told: dict[str, float] = {}  # when late echoes were last told of, by server
        self.adopts_until = loop.now + ADOPTED

    def settle(
        self,
        listeners: dict[str, Listener],
        customers: dict[str, Tenant],
        load_field: str,
        connect_time: float,
    ) -> None:
        """For sessions that come from now on; those taken before keep their listener's terms. Clients learn
        of a dropped listener later than this proxy: what is on its way then is served by the old terms."""
        now, old = self.loop.now, self.listeners
        self.dropped = {name: kept for name, kept in self.dropped.items() if now < kept[1]}
        self.dropped |= {name: (row, now + DROPPED) for name, row in old.items() if name not in listeners}
        self.listeners, self.tenants = listeners, customers
        self.counters.open_listeners(listeners)
        self.servers.settle(load_field, connect_time)

    def listener(self, name: str) -> Listener | None:
        kept, until = self.dropped.get(name, (None, 0.0))
        return self.listeners.get(name) or (kept if self.loop.now < until else None)

    def adopts(self, server: str) -> bool:
        """Whether a connection that was open at this server before the run may still come."""
        return self.loop.now < self.adopts_until and self.servers.addresses.find(server) is not None

    def accept(self, sock: Any) -> None:
        self.make_room()
        ClientSession(self, sock)

    def receive(self, record: dict[str, Any], client: Any, server: Any) -> bool:
        """A connection that the process before this one held open; an error leaves it there."""
        carried = read_carried(record)
        if not self.table.take(carried.opening.name):
            return False
        for sock in (client, server):
            sock.setblocking(False)
        ClientSession(self, client, carried, server)
        return True

    def echo_took(self, handle: SessionHandle, server: str, sent: Moment, now: float) -> None:
        """Tells the module of a late echo, once a second for each server. Told of all, at each connection, a
        short pause would look like dozens of faults, and echoes of 0.2 ms would drown the set-up times that
        hand-offs are paced by. Time for which this process itself stood still is not the server's."""
        stalled = self.loop.stalled - sent.stalled
        delay = now - sent.at - stalled
        if delay >= max(LONG, stalled) and now - self.late_told.get(server, -math.inf) >= LATE_AGAIN:
            self.late_told[server] = now
            handle.report_message_delay(delay)

    def make_room(self) -> bool:
        """Connections that ask for nothing must not take the place of those that do."""
        now = self.loop.now
        for leaving in list(self.pool.leaving.values()) if self.crowded else ():
            if not self.crowded or now - leaving.since < LAST_WORD:
                break
            if not leaving.unsent():  # else its final answer would go with it
                leaving.close()
                self.counters.add("leaving connections closed for room")
        while self.crowded and (longest := self.table.longest_idle()) is not None:
            if now - longest.came < YOUNG:
                break  # its line may be on the way
            self.table.asked(longest)
            longest.client.read()
            longest.wake()
            if not len(longest.client.inbox):  # else its line has come just now: it is served
                longest.client.write(BUSY)  # for one that crosses this
                longest.client.close()
                self.counters.add("idle connections closed for room")
        return not self.crowded

    def malformed(self, why: str, line: bytes = b"") -> None:
        self.counters.add("malformed lines")
        self.log("malformed", why=why, line=repr(line[:120])[2:-1])

    @property
    def crowded(self) -> bool:
        return self.pool.open >= self.descriptors


def turn_away(sock: socket.socket) -> None:
    """Refuses a connection that nothing can be kept for: at once, with its line read, as closed over unread
    bytes it would be reset and the answer lost."""
    with contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(BUSY)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(SIZE)
    sock.close()


class ClientSession:
    """One client's connection. carried: it was open in the process before this one, to that server."""

    def __init__(
        self, shared: Sessions, sock: Any, carried: Carried | None = None, server: Any = None
    ) -> None:
        self.shared, self.loop, self.counters = shared, shared.loop, shared.counters
        self.client = Channel(self.loop, sock, shared.pool, self.wake)
        self.server: Channel | None = None
        self.handle: SessionHandle | None = None
        self.opening: Opening | None = None
        self.stopping = self.open = False  # open: UP has been passed on
        self.told = False  # what became of it has been counted
        self.dials, self.name, self.end = 0, "", ""
        self.out = deque[Moment]()  # when lines went to the server that it has not brought back
        self.heard = self.slowest = 0.0
        self.echoes, self.last = 0, b""
        self.came = self.loop.now
        self.passing: Passing | None = None  # the connection is to be passed on there
        self.passed: bool | None = None  # what the successor has said of it
        if carried is not None:
            try:
                self.server = Channel(self.loop, server, shared.pool, self.wake)
            except OSError:  # the process before this one keeps the connection
                self.client.close()
                raise
            self.open = self.told = True
        shared.table.add(self)
        self.task: Task = self.loop.spawn(self.run(carried))
        if carried is not None and self.server is not None:
            for place, channel in enumerate((self.client, self.server)):
                channel.inbox.put(carried.read[place])  # before anything newer is read
                channel.write(carried.unsent[place])

    def wake(self) -> None:
        self.task.wake()

    def gone(self) -> bool:
        return self.absent() or self.stopping and not self.open and self.handle is not None

    def absent(self) -> bool:
        """Before UP: whether its client has left; or sent more while it was to wait, and is cut off."""
        if not self.end and len(self.client.inbox):
            self.dismiss("bytes before UP", self.client.inbox.rest())
        return bool(self.end) or self.client.ended

    def dismiss(self, why: str, line: bytes) -> None:
        """What can't be read or used is told so at once, whatever else waits on that connection."""
        self.shared.malformed(why, line)
        self.end = "malformed"
        self.count(TORN_DOWN)
        self.client.write(b"ERR\r\n")
        self.client.finish(ERROR_READ)

    def count(self, end: str) -> None:
        """The one place where what a client was told is counted: once for each session taken."""
        if self.opening is not None and not self.told:
            self.told = True
            self.counters.ended(end, self.opening.listener)

    def run(self, carried: Carried | None) -> Steps:
        raw = b""
        try:
            line = None
            if carried is not None:
                yield from self.resume(carried)
            else:
                line = yield from self.first_line()
            if line is not None:
                raw = bytes(line)
                yield from self.serve(read_opening(raw))
        except (MalformedError, LongLineError) as error:
            self.dismiss(str(error) or "line over 4 KiB", raw or self.client.inbox.rest())
        except Exception as error:
            # The module or this code failed: the session is still owed an answer, and the proxy goes on.
            self.loop.failed("session", error)
            if not self.open and not self.client.closed and not self.end:
                self.answer(False)
        finally:
            if self.handle is not None:
                self.handle.close()
            self.shared.table.remove(self)
            for channel in (self.client, self.server):
                if channel is not None and channel.wake == self.wake:
                    channel.close()
            if self.opening is not None:
                self.shared.taken -= 1
                self.shared.log(
                    "session",
                    id=self.opening.name,
                    server=self.name,
                    dials=self.dials,
                    end=self.end,
                    echoes=self.echoes,
                    slowest=round(self.slowest, 4),
                )

    def first_line(self) -> Generator[float, None, memoryview | None]:
        client, until = self.client, self.loop.now + FIRST_LINE
        table, pings, since, extended = self.shared.table, 0, 0.0, False
        while True:
            line = client.line()
            if line is not None:
                if word(line) != b"PING":
                    table.asked(self)
                    return line
                self.counters.add("pings")
                if self.loop.now >= since + 1.0:
                    pings, since = 0, self.loop.now
                if (pings := pings + 1) > PINGS:
                    raise MalformedError("too many PINGs")
                client.write(b"PONG\r\n" if self.shared.service.answers_pings else AWAY)
                until = self.loop.now + FRONT_LINE
                if self.shared.service.is_any(ServicePhase.HANDING_OVER) and not len(client.inbox):
                    # Its next call goes to the successor. Ended after an answer, none is on its way here.
                    table.asked(self)
                    client.finish()
                    return None
            elif client.ended or self.loop.now >= until or self.stopping:
                if not extended and not client.ended and self.came_meanwhile():
                    extended, until = True, self.loop.now + STARTED_LINE
                    continue
                table.asked(self)
                if len(client.inbox):
                    raise MalformedError("half a line")
                self.end_unasked()
                return None
            else:
                table.waits(self)
                client.settle(False)
                if len(client.inbox):
                    until = min(until, self.loop.now + FIRST_LINE)
                yield until

    def came_meanwhile(self) -> bool:
        """Whether bytes have come that were not read yet: a connection is not ended over them."""
        held = len(self.client.inbox)
        self.client.read()
        return len(self.client.inbox) > held

    def end_unasked(self) -> None:
        """Ends a connection that has asked for nothing. A request that crosses this on its way finds its
        final answer there: nothing that is read after the end of sending could be answered any more."""
        if not self.client.ended:
            self.client.write(BUSY)
        self.client.finish()

    # before UP

    def serve(self, opening: Opening) -> Steps:
        shared = self.shared
        listener = shared.listener(opening.listener)
        if listener is None:
            raise MalformedError(f"no such listener {opening.listener[:40]!r}")
        if opening.at is not None and not shared.adopts(opening.at):
            raise MalformedError(f"at: not due at {opening.at[:40]!r}")
        if not self.client.ended:
            self.client.read()  # what was sent behind the line may be there already
        if len(self.client.inbox):
            raise MalformedError("bytes before UP")
        if not shared.table.take(opening.name):
            raise MalformedError("the id of another session")
        self.opening = opening
        shared.taken += 1
        tenant = shared.tenants.get(opening.tenant)
        self.counters.add("sessions taken")
        if opening.at is not None:
            yield from self.adopt(opening, listener, tenant)
            return
        shared.adopts_until = -math.inf  # the run has begun: all from before it are up
        if not shared.make_room():
            # A dial without a descriptor would fail here and be held against the server.
            self.counters.add("sessions refused for want of descriptors")
            self.answer(True)
            return
        took_at = self.loop.now
        left = opening.left - min(HURRY, opening.left / 10)
        if shared.service.is_any(ServicePhase.OUT_OF_SERVICE):
            left = -math.inf  # the module refuses it
        handle = self.handle = shared.decisions.admit(
            self.wake, listener, tenant, opening.group, left, opening.load
        )
        errors = 0
        while True:
            choice = yield from handle.wait_for_selection(self.gone)
            if choice is None:
                self.conclude(handle, handle.give_up().rejected)
                return
            if choice.endpoint is None:
                self.answer(choice.rejected, choice.retry_after)
                return
            if self.absent():
                self.conclude(handle, handle.give_up(AttemptOutcome.NOT_SENT).rejected)
                return
            self.name = choice.endpoint
            self.dials += 1
            self.counters.add("dials")
            started = self.loop.now
            dialled = yield from self.dial(choice.endpoint, choice.timeout)
            took, end = self.loop.now - started, dialled.end
            if self.open:
                self.counters.add("sessions accepted")
                handle.report_established(took)
                yield from self.relay(handle)
                return
            self.counters.add(f"dials {end.value}")
            self.shared.log(
                "dial",
                id=opening.name,
                server=choice.endpoint,
                end=end.value,
                took=round(took, 4),
                given=round(choice.timeout, 3),
                since=round(self.loop.now - took_at, 4),
            )
            if self.absent() or self.stopping:
                self.conclude(handle, handle.give_up(end, took, dialled.load).rejected)
                return
            errors += end is AttemptOutcome.ERROR
            if errors > 1 and end is AttemptOutcome.ERROR:
                # Two servers that both fail it: what this client sent is at fault (the id of a session open
                # at another proxy, say), which says nothing of them. It may have run all the same.
                end = AttemptOutcome.CANCELLED
            handle.report_ended(end, took, False, dialled.load)

    def conclude(self, handle: SessionHandle, refused: bool) -> None:
        """Nothing more is tried: the client has left, or the proxy stops."""
        if self.absent():
            self.leave(handle, refused)
        else:
            self.answer(refused)

    def leave(self, handle: SessionHandle, refused: bool) -> None:
        """The client has gone before it was answered. One that has only ended its sending still reads: it
        gets its final answer all the same, which is lost on the way to one that is not there."""
        handle.report_client_gone()
        if not self.end:
            self.counters.add("clients gone before an answer")
            self.end = "client gone"
            self.write_answer(refused)

    def answer(self, refused: bool, retry_after: float = 0.0) -> None:
        self.counters.must(not self.open and not self.end, "one answer to a session")
        self.counters.add("sessions refused" if refused else "sessions torn down")
        self.count(REFUSED if refused else TORN_DOWN)
        self.end = "refused" if refused else "torn down"
        self.write_answer(refused, retry_after)

    def write_answer(self, refused: bool, retry_after: float = 0.0) -> None:
        """The final answer, and the end of the connection behind it."""
        if not refused:
            self.client.write(b"ERR\r\n")
        elif retry_after >= 0.001:
            self.client.write(b"BUSY %d\r\n" % round(retry_after * 1000))
        else:
            self.client.write(BUSY)
        self.client.finish()

    def dial(self, name: str, wait: float) -> Generator[float, None, Dialled]:
        dialled = yield from self.shared.servers.dial(name, wait, self)
        if dialled.channel is not None and self.absent():
            dialled.channel.close()
            return Dialled(AttemptOutcome.CANCELLED)
        if dialled.channel is not None:
            self.server, self.open = dialled.channel, True
            self.count(ACCEPTED)
            self.client.write(dialled.receipt)
        return dialled

    def opening_line(self, wait: float) -> bytes:
        """The client's own line; one from before the run goes on to the letter."""
        opening = self.opening
        assert opening is not None
        return opening.line if opening.at is not None else opening.forwarded(wait)

    def may_send(self) -> bool:
        """Looks at the client's connection itself: its end may not have been served in this turn yet."""
        if not self.client.ended:
            self.client.read()
        if self.absent() or self.stopping:
            return False
        return self.handle is None or self.handle.may_send()

    def given_up(self) -> AttemptOutcome | None:
        """Whether the dial that is out is to end now, and as what."""
        handle = self.handle
        if handle is not None and self.absent() and not handle.answered:
            handle.report_client_gone()  # where it is allowed, the module calls the dial back
        if handle.cancel_requested if handle is not None else self.absent():
            return AttemptOutcome.CANCELLED
        return AttemptOutcome.CANCELLED if self.stopping else None

    def adopt(self, opening: Opening, listener: Listener, tenant: Tenant | None) -> Steps:
        """A connection that was open before the run: to that server and no other, until it is up."""
        name, until = opening.at or "", self.loop.now + ADOPTED
        self.name = name
        while True:
            yield from self.dial(name, until - self.loop.now)
            if self.open:
                break
            if self.absent() or self.stopping or self.loop.now >= min(until, self.shared.adopts_until):
                if not self.end:
                    self.answer(False)
                return
            yield from self.loop.sleep(ADOPT_AGAIN)
        self.counters.add("sessions adopted")
        handle = self.handle = self.shared.decisions.adopt(
            self.wake, listener, tenant, opening.group, opening.load, name
        )
        yield from self.relay(handle)

    # from UP on

    def relay(self, handle: SessionHandle, carried: Carried | None = None) -> Steps:
        """Passes lines both ways until one side ends, or the client is to be moved or passed on."""
        client, server, started = self.client, self.server, carried.started if carried else self.loop.now
        assert server is not None
        self.heard = carried.heard if carried else started
        while True:
            if not self.pass_to_client(handle, server):
                self.move(handle, "of a malformed server", AttemptOutcome.ERROR, started)
            elif not self.pass_to_server(server):
                self.move(handle, "malformed", AttemptOutcome.CANCELLED, started)
            elif server.ended:
                self.finish_with(handle, AFTER_ANSWER.get(self.last, AttemptOutcome.RESET), started)
            elif client.ended and not server.full:
                self.client_left(handle, started)
            elif self.passing is not None and (yield from self.pass_on(handle, self.passing, started)):
                pass
            elif handle.migrate_requested or self.stopping:
                self.move(
                    handle,
                    "moved" if handle.migrate_requested else "moved at stop",
                    AttemptOutcome.CANCELLED,
                    started,
                )
            elif (look_at := self.look_at_echoes(handle)) <= self.loop.now:
                # A machine that vanished says nothing, and keep-alive does not notice.
                self.move(handle, "silent server", AttemptOutcome.RESET, started)
            else:
                client.settle(server.full or len(self.out) >= MOST_OUT)
                server.settle(client.full)
                yield look_at
                continue
            return

    # to another process of this proxy

    def resume(self, carried: Carried) -> Steps:
        """Goes on with a connection where the process before this one has left it."""
        opening = self.opening = carried.opening
        self.shared.taken += 1
        self.name, self.last = carried.server, carried.last
        self.out.extend(Moment(at, self.loop.stalled) for at in carried.out)
        self.counters.add("connections taken over")
        handle = self.handle = self.shared.decisions.adopt(
            self.wake,
            carried.listener,
            self.shared.tenants.get(opening.tenant),
            opening.group,
            carried.load,
            carried.server,
            placed=True,
        )
        yield from self.relay(handle, carried)

    def pass_on(
        self, handle: SessionHandle, passing: Passing, started: float
    ) -> Generator[float, None, bool]:
        """Whether the successor has it now. While it may have, nothing is read here; the copies of this
        process are only closed: shut down, the connections would end for the successor too."""
        client, server, sess, opening = self.client, self.server, handle.session, self.opening
        assert server is not None and opening is not None
        if self.stopping or client.broken or server.broken or sess is None:
            self.passing, self.passed = None, False
            return False
        for channel in (client, server):
            self.loop.watch(channel.fd, 0, None)
        record = {
            "line": opening.line.decode("latin-1"),
            "listener": encode_listener(sess.listener),
            "server": self.name,
            "started": started,
            "heard": self.heard,
            "out": [sent.at for sent in self.out],
            "load": sess.load,
            "last": self.last.decode("latin-1"),
            "read": [channel.inbox.unused().decode("latin-1") for channel in (client, server)],
            "unsent": [channel.out.decode("latin-1") for channel in (client, server)],
        }

        def told(taken: bool) -> None:
            self.passed = taken
            self.wake()

        if passing.send(record, [client.fd, server.fd], told):
            while self.passed is None:
                yield math.inf
        if not self.passed:
            self.passing, self.passed = None, False
            for channel in (client, server):
                channel.listen()
            return False
        self.counters.add("connections passed on")
        self.end = "passed on"
        client.close()
        server.close()
        handle.report_client_gone()
        handle.report_ended(AttemptOutcome.CANCELLED, self.loop.now - started, True)
        return True

    def pass_to_client(self, handle: SessionHandle, server: Channel) -> bool:
        """False if the server has sent what is no line."""
        try:
            while (line := server.line()) is not None:
                if (first := word(line)) == b"LOAD":
                    self.read_load(handle, line)
                elif first in AFTER_ANSWER:
                    self.last = first
                elif self.out:
                    sent, self.heard = self.out.popleft(), self.loop.now
                    self.echoes, self.slowest = self.echoes + 1, max(self.slowest, self.heard - sent.at)
                    self.shared.echo_took(handle, self.name, sent, self.heard)
                self.counters.add("lines to clients")
                self.client.write(line)
        except LongLineError:
            self.shared.malformed("line over 4 KiB from a server")
            return False
        if server.ended and (half := server.inbox.rest()):
            self.shared.malformed(f"half a line of {len(half)} bytes from a server")
            self.client.write(half)
        return True

    def pass_to_server(self, server: Channel) -> bool:
        """False if the client has sent what is no line."""
        try:
            while not server.full and len(self.out) < MOST_OUT and (line := self.client.line()) is not None:
                self.counters.add("lines to servers")
                self.out.append(Moment(self.loop.now, self.loop.stalled))
                server.write(line)
        except LongLineError:
            self.shared.malformed("line over 4 KiB")
            return False
        return True

    def look_at_echoes(self, handle: SessionHandle) -> float:
        """When to look again; now, if the server has been silent for too long."""
        if not self.out:
            return math.inf
        now, oldest = self.loop.now, self.out[0]
        # A core so busy that every timer is late must not put the end off for ever.
        stalled = min(MOST_STALLED, self.loop.stalled - oldest.stalled)
        silent_at = max(oldest.at, self.heard) + SILENT + stalled
        if now >= silent_at:
            return now
        if now < oldest.at + MISSING:
            return oldest.at + MISSING
        self.shared.echo_took(handle, self.name, oldest, now)
        return min(silent_at, now + LATE_AGAIN)

    def read_load(self, handle: SessionHandle, line: memoryview) -> None:
        load = told_figure(rest(line))
        if load is None:
            self.shared.malformed("LOAD without a figure", bytes(line))
        else:
            handle.report_load(load / 1e6)  # told in microseconds of work a second

    def move(self, handle: SessionHandle, why: str, end: AttemptOutcome, started: float) -> None:
        """MOVE goes between two lines: only whole lines are ever put into the client's buffer."""
        self.counters.must(self.open and not self.end, "only an open connection is moved")
        self.counters.add(f"clients {why}")
        self.client.write(b"MOVE\r\n")
        self.client.finish()
        if self.server:
            self.server.finish()
        self.end = why
        if end is AttemptOutcome.CANCELLED:
            handle.report_client_gone()  # ended by this proxy, not by its server: it says nothing of that
        handle.report_ended(end, self.loop.now - started, True)

    def finish_with(self, handle: SessionHandle, end: AttemptOutcome, started: float) -> None:
        """The server has ended it: the client's side ends the same way, after the last bytes."""
        self.counters.add(f"connections {end.value}")
        self.end = end.value
        server = self.server
        if server is not None and server.broken and end is AttemptOutcome.RESET and not self.client.out:
            self.client.reset()
        else:
            self.client.finish()
        if server is not None:
            server.close()
        handle.report_ended(end, self.loop.now - started, True)

    def client_left(self, handle: SessionHandle, started: float) -> None:
        self.counters.add("connections ended by the client")
        self.end = "client left"
        if half := self.client.inbox.rest():
            self.shared.malformed(f"half a line of {len(half)} bytes")
        if self.server is not None:
            self.server.write(half)
            if self.client.broken:
                self.server.reset()
            else:
                self.server.finish()
        self.client.close()
        handle.report_client_gone()
        handle.report_ended(AttemptOutcome.CANCELLED, self.loop.now - started, True)

    def stop(self) -> None:
        """This proxy stops: an open connection is moved; one that waits is answered now."""
        self.stopping = True
        self.wake()
