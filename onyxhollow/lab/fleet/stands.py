"""What the members call: a stand-in for the list service, and the thing that duties act on (the ledger).

Both speak HTTP/1.1 by h11 on an address for each member, so that who calls is known and its link can be
harmed. They write down what happened, on the rig's clock.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from onyxhollow.lab.fleet.links import Harm, Links
from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.loop import Loop

LONGEST_WAIT = 60.0


class Caller:
    """One connection of a member."""

    def __init__(self, desk: Desk, sock: socket.socket) -> None:
        self.desk, self.number = desk, 0
        self.speaker = h11.Connection(h11.SERVER)
        self.target = ""
        self.lines = LineConnection(desk.loop, sock, self.got, self.ended)
        self.lines.raw = True
        if desk.blocked:
            self.lines.pause_reading(True)

    def got(self, data: bytes) -> None:
        try:
            self.speaker.receive_data(data)
            while True:
                event = self.speaker.next_event()
                if isinstance(event, h11.Request):
                    self.target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self.number += 1
                    told = parse_qs(urlsplit(self.target).query)
                    self.desk.heard(self, {name: values[0] for name, values in told.items()})
                elif event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError:
            self.lines.close()

    def answer(self, status: int, body: bytes = b"") -> None:
        if not self.lines.open or self.speaker.our_state is not h11.SEND_RESPONSE:
            return
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        with contextlib.suppress(h11.LocalProtocolError):
            told = (head, h11.Data(data=body), h11.EndOfMessage())
            text = b"".join(self.speaker.send(part) or b"" for part in told)
            self.speaker.start_next_cycle()
            self.desk.after(self.desk.way_back(), lambda: self.say(text))

    def say(self, text: bytes) -> None:
        if not self.desk.way_back().cut:  # over a cut link nothing comes back, though it was done
            self.lines.send(text)

    def ended(self, _: bool) -> None:
        self.desk.left(self)


class Desk:
    """Where one member calls one stand-in."""

    def __init__(self, stand: Stand, member: str) -> None:
        self.stand, self.loop, self.member = stand, stand.loop, member
        self.callers: dict[Caller, None] = {}
        self.blocked = False
        self.sock = open_listener(("127.0.0.1", 0))
        self.address: tuple[str, int] = ("127.0.0.1", self.sock.getsockname()[1])
        accept_connections(self.loop, self.sock, self.took)

    def way_there(self) -> Harm:
        return self.stand.links.harm(self.member, self.stand.name)

    def way_back(self) -> Harm:
        return self.stand.links.harm(self.stand.name, self.member)

    def after(self, harm: Harm, call: Callable[[], None]) -> None:
        """As late as a link makes what goes over it; TCP loses and repeats nothing by itself."""
        if harm.delay[1] <= 0.0:
            call()
            return

        def late(span: float) -> Generator[float, None, None]:
            yield from self.loop.sleep(span)
            call()

        self.loop.spawn(late(self.stand.links.rng.uniform(*harm.delay)))

    def heard(self, caller: Caller, told: dict[str, str]) -> None:
        self.after(self.way_there(), lambda: self.stand.asked(self.member, caller, told))

    def took(self, sock: socket.socket) -> None:
        self.callers[Caller(self, sock)] = None

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)
        self.stand.left(caller)

    def block(self, does: bool) -> None:
        """A cut link towards this side: nothing is read."""
        if does is self.blocked:
            return
        self.blocked = does
        for caller in list(self.callers):
            if does:
                caller.lines.pause_reading(True)
            else:
                caller.lines.close()  # what was on its way is lost; a new connection comes up
                self.left(caller)

    def close(self) -> None:
        for caller in list(self.callers):
            caller.lines.close()
        self.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()


class Stand:
    """A stand-in with a desk for each member."""

    name = ""

    def __init__(self, loop: Loop, links: Links) -> None:
        self.loop, self.links = loop, links
        self.desks: dict[str, Desk] = {}
        self.polled = 0.0  # when the rig last looked what had come

    def desk(self, member: str) -> Desk:
        if member not in self.desks:
            self.desks[member] = Desk(self, member)
        return self.desks[member]

    def look(self) -> None:
        """Links may have been cut or mended."""
        for desk in self.desks.values():
            desk.block(desk.way_there().cut)

    def asked(self, member: str, caller: Caller, told: dict[str, str]) -> None:
        raise NotImplementedError

    def left(self, caller: Caller) -> None:
        pass

    def close(self) -> None:
        for desk in self.desks.values():
            desk.close()


@dataclass(frozen=True)
class Act:
    at: float  # when it was read
    after: float  # it came after this: the rig itself may have been late to read it
    duty: str
    term: int
    who: str
    number: int
    taken: bool  # it took effect
    newest: int  # the highest term seen before


class Ledger(Stand):
    """What duties act on: takes an act unless it has seen a newer term."""

    name = "ledger"

    def __init__(self, loop: Loop, links: Links) -> None:
        super().__init__(loop, links)
        self.acts: list[Act] = []
        self.newest: dict[str, int] = {}
        self.silent = False  # takes calls and answers none

    def asked(self, member: str, caller: Caller, told: dict[str, str]) -> None:
        if self.silent:
            return
        duty, term = told.get("duty", ""), int(told.get("term", "0"))
        newest = self.newest.get(duty, 0)
        taken = term >= newest
        self.newest[duty] = max(newest, term)
        number = int(told.get("number", "0"))
        self.acts.append(
            Act(time.monotonic(), self.polled, duty, term, told.get("member", ""), number, taken, newest)
        )
        caller.answer(200 if taken else 409)


class ListService(Stand):
    """Whole lists, watches, and who called when."""

    name = "list"

    def __init__(self, loop: Loop, links: Links, rows: list[dict[str, Any]]) -> None:
        super().__init__(loop, links)
        self.rows = {row["host"]: row for row in rows}
        self.versions: dict[str, int] = dict.fromkeys(self.rows, 1)
        self.version = 1
        self.waiting: dict[Caller, tuple[int, float]] = {}  # version that it has; until when
        self.calls: list[tuple[float, str]] = []
        self.sites: dict[str, str] = {}  # members that are told of the servers of one site only
        self.down = self.silent = self.frozen = False
        self.shown: bytes | None = None
        loop.spawn(self.waits())

    def known(self) -> dict[str, Any]:
        return {"seq": self.version, "whole": True, "hosts": list(self.rows.values())}

    def asked(self, member: str, caller: Caller, told: dict[str, str]) -> None:
        self.calls.append((time.monotonic(), member))
        if self.silent:
            return
        if self.down:
            caller.answer(503)
            return
        seen, wait = int(told.get("index", "-1")), min(LONGEST_WAIT, int(told.get("wait", "0")) / 1000)
        if seen < self.version and not self.frozen or seen < 0:
            self.tell(caller, seen)
        else:
            self.waiting[caller] = seen, self.loop.now + wait

    def tell(self, caller: Caller, seen: int) -> None:
        self.waiting.pop(caller, None)
        whole = seen < 0
        site = self.sites.get(caller.desk.member, "")
        rows = [
            row
            for name, row in self.rows.items()
            if (whole or self.versions[name] > seen) and site in ("", row["site"])
        ]
        caller.answer(200, orjson.dumps({"seq": self.version, "whole": whole, "hosts": rows}))

    def left(self, caller: Caller) -> None:
        self.waiting.pop(caller, None)

    def waits(self) -> Generator[float, None, None]:
        while True:
            for caller, (seen, until) in list(self.waiting.items()):
                if until <= self.loop.now and not self.silent:
                    self.tell(caller, seen)
            yield self.loop.now + 0.05

    def change(self, host: str, **values: Any) -> None:
        """A server's row changes; who waits is told."""
        self.version += 1
        self.rows[host] = {**self.rows[host], **values}
        self.versions[host] = self.version
        if not self.silent and not self.frozen:
            for caller, (seen, _) in list(self.waiting.items()):
                if not caller.desk.blocked:
                    self.tell(caller, seen)

    def callers(self, since: float, until: float) -> int:
        """How many members called in that span, or wait for news now."""
        return len(self.waiting_members() | {member for at, member in self.calls if since <= at < until})

    def waiting_members(self) -> set[str]:
        return {caller.desk.member for caller in self.waiting}

    def by_member(self) -> Counter[str]:
        return Counter(member for _, member in self.calls)
