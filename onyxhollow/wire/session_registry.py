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
from onyxhollow.wire.attempts import AttemptResult, AttemptRunner
from onyxhollow.wire.buffers import SIZE, BufferPool, LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.connection_handoff import ConnectionHandoff, encode_listener, read_carried
from onyxhollow.wire.handoff_channel import HandoffSender
from onyxhollow.wire.messages import (
    MalformedError,
    OpenRequest,
    parse_measurement,
    parse_open_request,
    rest,
    word,
)
from onyxhollow.wire.tables import EndpointAddresses, SessionTable

Steps = Generator[float, None, None]

FIRST_LINE = 2.5  # seconds in which a connection says what it wants: 3 s without a word are one too many
FRONT_LINE = 30.0  # the same after a PING: it is the front's, which may ask again
PINGS = 32  # in a second from one connection; more are not a front's
YOUNG = 0.3  # seconds for which a new connection is not closed to make room: its line may be on the way
LAST_WORD = 0.1  # seconds for which one that is only waited out is left alone where there is no room
ERROR_READ = 3.0  # seconds for an ERR to go out to a client that reads slowly
MOST_OUT = 1024  # lines that a server has not brought back past which its client is not read on
ANSWER_MARGIN = (
    0.03  # seconds of the client's wait, a tenth at most, kept for the answer's own way and a busy core
)
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
class SentAt:
    """When a line went out, and for how long the process had stood still by then."""

    at: float
    stalled: float


class SessionRegistry:
    """Makes sessions of accepted connections; holds what they share."""

    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        addresses: EndpointAddresses,
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
        self.attempts = AttemptRunner(
            loop, pool, counters, addresses, load_field, connect_time, self.report_malformed
        )
        self.dropped_listeners: dict[
            str, tuple[Listener, float]
        ] = {}  # by the last reloads; until when they are taken
        self.active_count = 0  # sessions taken and not ended
        counters.open_listeners(listeners)
        self.connection_limit = 1000  # connections past which room is made
        self.table = SessionTable[ClientSession]()
        self.late_echo_reported_at: dict[str, float] = {}  # when late echoes were last told of, by server
        self.adoption_deadline = loop.now + ADOPTED

    def apply_settings(
        self,
        listeners: dict[str, Listener],
        customers: dict[str, Tenant],
        load_field: str,
        connect_time: float,
    ) -> None:
        """For sessions that come from now on; those taken before keep their listener's terms. Clients learn
        of a dropped listener later than this proxy: what is on its way then is served by the old terms."""
        now, old = self.loop.now, self.listeners
        self.dropped_listeners = {
            name: kept for name, kept in self.dropped_listeners.items() if now < kept[1]
        }
        self.dropped_listeners |= {
            name: (row, now + DROPPED) for name, row in old.items() if name not in listeners
        }
        self.listeners, self.tenants = listeners, customers
        self.counters.open_listeners(listeners)
        self.attempts.apply_settings(load_field, connect_time)

    def find_listener(self, name: str) -> Listener | None:
        kept, until = self.dropped_listeners.get(name, (None, 0.0))
        return self.listeners.get(name) or (kept if self.loop.now < until else None)

    def may_adopt(self, server: str) -> bool:
        """Whether a connection that was open at this server before the run may still come."""
        return self.loop.now < self.adoption_deadline and self.attempts.addresses.find(server) is not None

    def accept(self, sock: Any) -> None:
        self.make_room()
        ClientSession(self, sock)

    def accept_handoff(self, record: dict[str, Any], client: Any, server: Any) -> bool:
        """A connection that the process before this one held open; an error leaves it there."""
        carried = read_carried(record)
        if not self.table.claim_id(carried.request.session_id):
            return False
        for sock in (client, server):
            sock.setblocking(False)
        ClientSession(self, client, carried, server)
        return True

    def report_echo(self, handle: SessionHandle, server: str, sent: SentAt, now: float) -> None:
        """Tells the module of a late echo, once a second for each server. Told of all, at each connection, a
        short pause would look like dozens of faults, and echoes of 0.2 ms would drown the set-up times that
        hand-offs are paced by. Time for which this process itself stood still is not the server's."""
        stalled = self.loop.stalled - sent.stalled
        delay = now - sent.at - stalled
        if (
            delay >= max(LONG, stalled)
            and now - self.late_echo_reported_at.get(server, -math.inf) >= LATE_AGAIN
        ):
            self.late_echo_reported_at[server] = now
            handle.report_delay(delay)

    def make_room(self) -> bool:
        """Connections that ask for nothing must not take the place of those that do."""
        now = self.loop.now
        for leaving in list(self.pool.closing.values()) if self.is_crowded else ():
            if not self.is_crowded or now - leaving.since < LAST_WORD:
                break
            if not leaving.has_unsent():  # else its final answer would go with it
                leaving.close()
                self.counters.add("leaving connections closed for room")
        while self.is_crowded and (longest := self.table.longest_idle()) is not None:
            if now - longest.accepted_at < YOUNG:
                break  # its line may be on the way
            self.table.mark_active(longest)
            longest.client.read()
            longest.wake()
            if not len(longest.client.inbox):  # else its line has come just now: it is served
                longest.client.write(BUSY)  # for one that crosses this
                longest.client.close()
                self.counters.add("idle connections closed for room")
        return not self.is_crowded

    def report_malformed(self, why: str, line: bytes = b"") -> None:
        self.counters.add("malformed lines")
        self.log("malformed", why=why, line=repr(line[:120])[2:-1])

    @property
    def is_crowded(self) -> bool:
        return self.pool.open_connections >= self.connection_limit


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
        self, shared: SessionRegistry, sock: Any, carried: ConnectionHandoff | None = None, server: Any = None
    ) -> None:
        self.shared, self.loop, self.counters = shared, shared.loop, shared.counters
        self.client = Channel(self.loop, sock, shared.pool, self.wake)
        self.server: Channel | None = None
        self.handle: SessionHandle | None = None
        self.request: OpenRequest | None = None
        self.stopping = self.is_open = False  # open: UP has been passed on
        self.outcome_counted = False  # what became of it has been counted
        self.attempt_count, self.endpoint, self.end_reason = 0, "", ""
        self.in_flight = deque[SentAt]()  # when lines went to the server that it has not brought back
        self.last_echo_at = self.slowest_echo = 0.0
        self.echo_count, self.final_word = 0, b""
        self.accepted_at = self.loop.now
        self.handoff_sender: HandoffSender | None = None  # the connection is to be passed on there
        self.handoff_taken: bool | None = None  # what the successor has said of it
        if carried is not None:
            try:
                self.server = Channel(self.loop, server, shared.pool, self.wake)
            except OSError:  # the process before this one keeps the connection
                self.client.close()
                raise
            self.is_open = self.outcome_counted = True
        shared.table.add(self)
        self.task: Task = self.loop.spawn(self.run(carried))
        if carried is not None and self.server is not None:
            for place, channel in enumerate((self.client, self.server)):
                channel.inbox.append(carried.unread[place])  # before anything newer is read
                channel.write(carried.unsent[place])

    def wake(self) -> None:
        self.task.wake()

    def gone(self) -> bool:
        return self.absent() or self.stopping and not self.is_open and self.handle is not None

    def absent(self) -> bool:
        """Before UP: whether its client has left; or sent more while it was to wait, and is cut off."""
        if not self.end_reason and len(self.client.inbox):
            self.dismiss("bytes before UP", self.client.inbox.take_rest())
        return bool(self.end_reason) or self.client.ended

    def dismiss(self, why: str, line: bytes) -> None:
        """What can't be read or used is told so at once, whatever else waits on that connection."""
        self.shared.report_malformed(why, line)
        self.end_reason = "malformed"
        self.count(TORN_DOWN)
        self.client.write(b"ERR\r\n")
        self.client.finish(ERROR_READ)

    def count(self, end: str) -> None:
        """The one place where what a client was told is counted: once for each session taken."""
        if self.request is not None and not self.outcome_counted:
            self.outcome_counted = True
            self.counters.ended(end, self.request.listener)

    def run(self, carried: ConnectionHandoff | None) -> Steps:
        raw = b""
        try:
            line = None
            if carried is not None:
                yield from self.resume(carried)
            else:
                line = yield from self.first_line()
            if line is not None:
                raw = bytes(line)
                yield from self.serve(parse_open_request(raw))
        except (MalformedError, LineTooLongError) as error:
            self.dismiss(str(error) or "line over 4 KiB", raw or self.client.inbox.take_rest())
        except Exception as error:
            # The module or this code failed: the session is still owed an answer, and the proxy goes on.
            self.loop.report_failure("session", error)
            if not self.is_open and not self.client.closed and not self.end_reason:
                self.answer(False)
        finally:
            if self.handle is not None:
                self.handle.forget()
            self.shared.table.remove(self)
            for channel in (self.client, self.server):
                if channel is not None and channel.wake == self.wake:
                    channel.close()
            if self.request is not None:
                self.shared.active_count -= 1
                self.shared.log(
                    "session",
                    id=self.request.session_id,
                    server=self.endpoint,
                    dials=self.attempt_count,
                    end=self.end_reason,
                    echoes=self.echo_count,
                    slowest=round(self.slowest_echo, 4),
                )

    def first_line(self) -> Generator[float, None, memoryview | None]:
        client, until = self.client, self.loop.now + FIRST_LINE
        table, pings, since, extended = self.shared.table, 0, 0.0, False
        while True:
            line = client.line()
            if line is not None:
                if word(line) != b"PING":
                    table.mark_active(self)
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
                    table.mark_active(self)
                    client.finish()
                    return None
            elif client.ended or self.loop.now >= until or self.stopping:
                if not extended and not client.ended and self.came_meanwhile():
                    extended, until = True, self.loop.now + STARTED_LINE
                    continue
                table.mark_active(self)
                if len(client.inbox):
                    raise MalformedError("half a line")
                self.end_unasked()
                return None
            else:
                table.mark_idle(self)
                client.set_paused(False)
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

    def serve(self, opening: OpenRequest) -> Steps:
        shared = self.shared
        listener = shared.find_listener(opening.listener)
        if listener is None:
            raise MalformedError(f"no such listener {opening.listener[:40]!r}")
        if opening.open_at is not None and not shared.may_adopt(opening.open_at):
            raise MalformedError(f"at: not due at {opening.open_at[:40]!r}")
        if not self.client.ended:
            self.client.read()  # what was sent behind the line may be there already
        if len(self.client.inbox):
            raise MalformedError("bytes before UP")
        if not shared.table.claim_id(opening.session_id):
            raise MalformedError("the id of another session")
        self.request = opening
        shared.active_count += 1
        tenant = shared.tenants.get(opening.tenant)
        self.counters.add("sessions taken")
        if opening.open_at is not None:
            yield from self.adopt(opening, listener, tenant)
            return
        shared.adoption_deadline = -math.inf  # the run has begun: all from before it are up
        if not shared.make_room():
            # A dial without a descriptor would fail here and be held against the server.
            self.counters.add("sessions refused for want of descriptors")
            self.answer(True)
            return
        took_at = self.loop.now
        left = opening.time_left - min(ANSWER_MARGIN, opening.time_left / 10)
        if shared.service.is_any(ServicePhase.OUT_OF_SERVICE):
            left = -math.inf  # the module refuses it
        handle = self.handle = shared.decisions.take(
            self.wake, listener, tenant, opening.group, left, opening.load
        )
        errors = 0
        while True:
            choice = yield from handle.pick(self.gone)
            if choice is None:
                self.conclude(handle, handle.give_up().refused)
                return
            if choice.server is None:
                self.answer(choice.refused, choice.retry_after)
                return
            if self.absent():
                self.conclude(handle, handle.give_up(AttemptOutcome.NOT_SENT).refused)
                return
            self.endpoint = choice.server
            self.attempt_count += 1
            self.counters.add("dials")
            started = self.loop.now
            dialled = yield from self.dial(choice.server, choice.time)
            took, end = self.loop.now - started, dialled.outcome
            if self.is_open:
                self.counters.add("sessions accepted")
                handle.report_accepted(took)
                yield from self.relay(handle)
                return
            self.counters.add(f"dials {end.value}")
            self.shared.log(
                "dial",
                id=opening.session_id,
                server=choice.server,
                end=end.value,
                took=round(took, 4),
                given=round(choice.time, 3),
                since=round(self.loop.now - took_at, 4),
            )
            if self.absent() or self.stopping:
                self.conclude(handle, handle.give_up(end, took, dialled.load).refused)
                return
            errors += end is AttemptOutcome.ERROR
            if errors > 1 and end is AttemptOutcome.ERROR:
                # Two servers that both fail it: what this client sent is at fault (the id of a session open
                # at another proxy, say), which says nothing of them. It may have run all the same.
                end = AttemptOutcome.CANCELLED
            handle.report(end, took, False, dialled.load)

    def conclude(self, handle: SessionHandle, refused: bool) -> None:
        """Nothing more is tried: the client has left, or the proxy stops."""
        if self.absent():
            self.leave(handle, refused)
        else:
            self.answer(refused)

    def leave(self, handle: SessionHandle, refused: bool) -> None:
        """The client has gone before it was answered. One that has only ended its sending still reads: it
        gets its final answer all the same, which is lost on the way to one that is not there."""
        handle.report_gone()
        if not self.end_reason:
            self.counters.add("clients gone before an answer")
            self.end_reason = "client gone"
            self.write_answer(refused)

    def answer(self, refused: bool, retry_after: float = 0.0) -> None:
        self.counters.must(not self.is_open and not self.end_reason, "one answer to a session")
        self.counters.add("sessions refused" if refused else "sessions torn down")
        self.count(REFUSED if refused else TORN_DOWN)
        self.end_reason = "refused" if refused else "torn down"
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

    def dial(self, name: str, wait: float) -> Generator[float, None, AttemptResult]:
        dialled = yield from self.shared.attempts.run(name, wait, self)
        if dialled.channel is not None and self.absent():
            dialled.channel.close()
            return AttemptResult(AttemptOutcome.CANCELLED)
        if dialled.channel is not None:
            self.server, self.is_open = dialled.channel, True
            self.count(ACCEPTED)
            self.client.write(dialled.up_line)
        return dialled

    def opening_line(self, wait: float) -> bytes:
        """The client's own line; one from before the run goes on to the letter."""
        opening = self.request
        assert opening is not None
        return opening.line if opening.open_at is not None else opening.forwarded_line(wait)

    def may_send(self) -> bool:
        """Looks at the client's connection itself: its end may not have been served in this turn yet."""
        if not self.client.ended:
            self.client.read()
        if self.absent() or self.stopping:
            return False
        return self.handle is None or self.handle.may_send()

    def abort_outcome(self) -> AttemptOutcome | None:
        """Whether the dial that is out is to end now, and as what."""
        handle = self.handle
        if handle is not None and self.absent() and not handle.answered:
            handle.report_gone()  # where it is allowed, the module calls the dial back
        if handle.call_back if handle is not None else self.absent():
            return AttemptOutcome.CANCELLED
        return AttemptOutcome.CANCELLED if self.stopping else None

    def adopt(self, opening: OpenRequest, listener: Listener, tenant: Tenant | None) -> Steps:
        """A connection that was open before the run: to that server and no other, until it is up."""
        name, until = opening.open_at or "", self.loop.now + ADOPTED
        self.endpoint = name
        while True:
            yield from self.dial(name, until - self.loop.now)
            if self.is_open:
                break
            if self.absent() or self.stopping or self.loop.now >= min(until, self.shared.adoption_deadline):
                if not self.end_reason:
                    self.answer(False)
                return
            yield from self.loop.sleep(ADOPT_AGAIN)
        self.counters.add("sessions adopted")
        handle = self.handle = self.shared.decisions.adopt(
            self.wake, listener, tenant, opening.group, opening.load, name
        )
        yield from self.relay(handle)

    # from UP on

    def relay(self, handle: SessionHandle, carried: ConnectionHandoff | None = None) -> Steps:
        """Passes lines both ways until one side ends, or the client is to be moved or passed on."""
        client, server, started = self.client, self.server, carried.started_at if carried else self.loop.now
        assert server is not None
        self.last_echo_at = carried.last_echo_at if carried else started
        while True:
            if not self.pass_to_client(handle, server):
                self.move(handle, "of a malformed server", AttemptOutcome.ERROR, started)
            elif not self.pass_to_server(server):
                self.move(handle, "malformed", AttemptOutcome.CANCELLED, started)
            elif server.ended:
                self.finish_with(handle, AFTER_ANSWER.get(self.final_word, AttemptOutcome.RESET), started)
            elif client.ended and not server.is_full:
                self.client_left(handle, started)
            elif self.handoff_sender is not None and (
                yield from self.pass_on(handle, self.handoff_sender, started)
            ):
                pass
            elif handle.move or self.stopping:
                self.move(
                    handle, "moved" if handle.move else "moved at stop", AttemptOutcome.CANCELLED, started
                )
            elif (look_at := self.look_at_echoes(handle)) <= self.loop.now:
                # A machine that vanished says nothing, and keep-alive does not notice.
                self.move(handle, "silent server", AttemptOutcome.RESET, started)
            else:
                client.set_paused(server.is_full or len(self.in_flight) >= MOST_OUT)
                server.set_paused(client.is_full)
                yield look_at
                continue
            return

    # to another process of this proxy

    def resume(self, carried: ConnectionHandoff) -> Steps:
        """Goes on with a connection where the process before this one has left it."""
        opening = self.request = carried.request
        self.shared.active_count += 1
        self.endpoint, self.final_word = carried.endpoint, carried.final_word
        self.in_flight.extend(SentAt(at, self.loop.stalled) for at in carried.in_flight)
        self.counters.add("connections taken over")
        handle = self.handle = self.shared.decisions.adopt(
            self.wake,
            carried.listener,
            self.shared.tenants.get(opening.tenant),
            opening.group,
            carried.load,
            carried.endpoint,
            placed=True,
        )
        yield from self.relay(handle, carried)

    def pass_on(
        self, handle: SessionHandle, passing: HandoffSender, started: float
    ) -> Generator[float, None, bool]:
        """Whether the successor has it now. While it may have, nothing is read here; the copies of this
        process are only closed: shut down, the connections would end for the successor too."""
        client, server, sess, opening = self.client, self.server, handle.sess, self.request
        assert server is not None and opening is not None
        if self.stopping or client.broken or server.broken or sess is None:
            self.handoff_sender, self.handoff_taken = None, False
            return False
        for channel in (client, server):
            self.loop.watch(channel.fd, 0, None)
        record = {
            "line": opening.line.decode("latin-1"),
            "listener": encode_listener(sess.listener),
            "server": self.endpoint,
            "started": started,
            "heard": self.last_echo_at,
            "out": [sent.at for sent in self.in_flight],
            "load": sess.load,
            "last": self.final_word.decode("latin-1"),
            "read": [channel.inbox.unread().decode("latin-1") for channel in (client, server)],
            "unsent": [channel.outgoing.decode("latin-1") for channel in (client, server)],
        }

        def told(taken: bool) -> None:
            self.handoff_taken = taken
            self.wake()

        if passing.send(record, [client.fd, server.fd], told):
            while self.handoff_taken is None:
                yield math.inf
        if not self.handoff_taken:
            self.handoff_sender, self.handoff_taken = None, False
            for channel in (client, server):
                channel.update_interest()
            return False
        self.counters.add("connections passed on")
        self.end_reason = "passed on"
        client.close()
        server.close()
        handle.report_gone()
        handle.report(AttemptOutcome.CANCELLED, self.loop.now - started, True)
        return True

    def pass_to_client(self, handle: SessionHandle, server: Channel) -> bool:
        """False if the server has sent what is no line."""
        try:
            while (line := server.line()) is not None:
                if (first := word(line)) == b"LOAD":
                    self.read_load(handle, line)
                elif first in AFTER_ANSWER:
                    self.final_word = first
                elif self.in_flight:
                    sent, self.last_echo_at = self.in_flight.popleft(), self.loop.now
                    self.echo_count, self.slowest_echo = (
                        self.echo_count + 1,
                        max(self.slowest_echo, self.last_echo_at - sent.at),
                    )
                    self.shared.report_echo(handle, self.endpoint, sent, self.last_echo_at)
                self.counters.add("lines to clients")
                self.client.write(line)
        except LineTooLongError:
            self.shared.report_malformed("line over 4 KiB from a server")
            return False
        if server.ended and (half := server.inbox.take_rest()):
            self.shared.report_malformed(f"half a line of {len(half)} bytes from a server")
            self.client.write(half)
        return True

    def pass_to_server(self, server: Channel) -> bool:
        """False if the client has sent what is no line."""
        try:
            while (
                not server.is_full
                and len(self.in_flight) < MOST_OUT
                and (line := self.client.line()) is not None
            ):
                self.counters.add("lines to servers")
                self.in_flight.append(SentAt(self.loop.now, self.loop.stalled))
                server.write(line)
        except LineTooLongError:
            self.shared.report_malformed("line over 4 KiB")
            return False
        return True

    def look_at_echoes(self, handle: SessionHandle) -> float:
        """When to look again; now, if the server has been silent for too long."""
        if not self.in_flight:
            return math.inf
        now, oldest = self.loop.now, self.in_flight[0]
        # A core so busy that every timer is late must not put the end off for ever.
        stalled = min(MOST_STALLED, self.loop.stalled - oldest.stalled)
        silent_at = max(oldest.at, self.last_echo_at) + SILENT + stalled
        if now >= silent_at:
            return now
        if now < oldest.at + MISSING:
            return oldest.at + MISSING
        self.shared.report_echo(handle, self.endpoint, oldest, now)
        return min(silent_at, now + LATE_AGAIN)

    def read_load(self, handle: SessionHandle, line: memoryview) -> None:
        load = parse_measurement(rest(line))
        if load is None:
            self.shared.report_malformed("LOAD without a figure", bytes(line))
        else:
            handle.report_load(load / 1e6)  # told in microseconds of work a second

    def move(self, handle: SessionHandle, why: str, end: AttemptOutcome, started: float) -> None:
        """MOVE goes between two lines: only whole lines are ever put into the client's buffer."""
        self.counters.must(self.is_open and not self.end_reason, "only an open connection is moved")
        self.counters.add(f"clients {why}")
        self.client.write(b"MOVE\r\n")
        self.client.finish()
        if self.server:
            self.server.finish()
        self.end_reason = why
        if end is AttemptOutcome.CANCELLED:
            handle.report_gone()  # ended by this proxy, not by its server: it says nothing of that
        handle.report(end, self.loop.now - started, True)

    def finish_with(self, handle: SessionHandle, end: AttemptOutcome, started: float) -> None:
        """The server has ended it: the client's side ends the same way, after the last bytes."""
        self.counters.add(f"connections {end.value}")
        self.end_reason = end.value
        server = self.server
        if server is not None and server.broken and end is AttemptOutcome.RESET and not self.client.outgoing:
            self.client.reset()
        else:
            self.client.finish()
        if server is not None:
            server.close()
        handle.report(end, self.loop.now - started, True)

    def client_left(self, handle: SessionHandle, started: float) -> None:
        self.counters.add("connections ended by the client")
        self.end_reason = "client left"
        if half := self.client.inbox.take_rest():
            self.shared.report_malformed(f"half a line of {len(half)} bytes")
        if self.server is not None:
            self.server.write(half)
            if self.client.broken:
                self.server.reset()
            else:
                self.server.finish()
        self.client.close()
        handle.report_gone()
        handle.report(AttemptOutcome.CANCELLED, self.loop.now - started, True)

    def stop(self) -> None:
        """This proxy stops: an open connection is moved; one that waits is answered now."""
        self.stopping = True
        self.wake()
