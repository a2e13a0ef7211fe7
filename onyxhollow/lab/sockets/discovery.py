"""A stand-in for the server list: HTTP/1.1 by h11, whole lists and watches, one address for each proxy."""

from __future__ import annotations

import math
import socket
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from onyxhollow.lab.sockets.lines import Lines, accepting, listening
from onyxhollow.lab.sockets.servers import Door
from onyxhollow.lab.world.listing import GONE, ListedServer
from onyxhollow.lab.world.world import World
from onyxhollow.loop import Loop

HEALTH = {"in service": "active", "draining": "leaving", "gone": "left"}
STILL_WATCHING = 0.2  # seconds from the last answer within which the next call continues a watch


class ListHost(Protocol):
    """What the stand-in for the list needs of the engine that runs it."""

    world: World
    loop: Loop
    in_fleet: bool

    @property
    def now(self) -> float:
        """Seconds since the run began."""

    def unix(self, when: float) -> float:
        """Unix time of a time of the world."""

    def door(self, server: str, proxy: int) -> Door:
        """Where a proxy finds a server."""

    def complain(self, what: str) -> None:
        """Reports a breach of the protocol."""


class Asker:
    """One connection of a proxy to the list."""

    def __init__(self, desk: Desk, sock: socket.socket) -> None:
        self.desk, self.waiting = desk, 0
        self.lines = Lines(desk.engine.loop, sock, self.got, self.ended)
        self.lines.raw = True
        self.speaker = h11.Connection(h11.SERVER)

    def got(self, data: bytes) -> None:
        try:
            self.speaker.receive_data(data)
            while True:
                event = self.speaker.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self.asked(self.target)
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as error:
            self.desk.engine.complain(f"list: {error}")
            self.lines.close()

    def asked(self, target: str) -> None:
        told = parse_qs(urlsplit(target).query)
        seen, wait = int(told.get("index", ["-1"])[0]), min(60.0, int(told.get("wait", ["0"])[0]) / 1000)
        desk, engine = self.desk, self.desk.engine
        engine.world.checker.record_poll(engine.now, desk.proxy)
        engine.world.list_service.calls += 1
        if engine.world.list_service.down_by:
            self.answer(503, {})
            return
        if seen < 0 or engine.world.list_service.version > seen:
            self.tell(seen)
            return
        self.waiting += 1
        desk.watchers[self] = seen
        engine.world.checker.set_watching(desk.proxy, True)
        engine.world.event_queue.schedule_after(wait, self.waited, self.waiting)

    def waited(self, which: int) -> None:
        if self.desk.watchers.get(self) is not None and which == self.waiting:
            self.tell(self.desk.watchers.pop(self))

    def tell(self, seen: int) -> None:
        self.desk.watchers.pop(self, None)
        engine, shown = self.desk.engine, self.desk.engine.world.list_service
        rows, whole = shown.changes_since(seen)
        shown.lines_sent += len(rows)
        self.answer(
            200, {"seq": shown.version, "whole": whole, "hosts": [self.desk.row(row) for row in rows]}
        )
        for row in rows:
            engine.world.checker.record_notification(
                engine.now, self.desk.proxy, row.name, row.state, row.started
            )
            if engine.in_fleet and HEALTH[row.state] == "active":
                engine.world.checker.record_return_to_service(row.name)
        engine.world.event_queue.schedule_after(STILL_WATCHING, self.desk.lapse, engine.now)
        self.desk.told_at = engine.now

    def answer(self, status: int, body: Any) -> None:
        text = orjson.dumps(body)
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(text)))])
        parts = (head, h11.Data(data=text), h11.EndOfMessage())
        try:
            self.lines.say(b"".join(self.speaker.send(part) or b"" for part in parts))
            self.speaker.start_next_cycle()
        except h11.LocalProtocolError:
            self.lines.close()

    def ended(self, _: bool) -> None:
        self.desk.watchers.pop(self, None)
        self.desk.askers.pop(self, None)


class Desk:
    """Where one proxy asks for the list."""

    def __init__(self, engine: ListHost, proxy: int) -> None:
        self.engine, self.proxy = engine, proxy
        self.askers: dict[Asker, None] = {}
        self.watchers: dict[Asker, int] = {}
        self.told_at = -math.inf
        self.sock = listening(("127.0.0.1", 0))
        self.address: tuple[str, int] = ("127.0.0.1", self.sock.getsockname()[1])
        accepting(engine.loop, self.sock, self.took)

    def took(self, sock: socket.socket) -> None:
        self.askers[Asker(self, sock)] = None

    def row(self, row: ListedServer) -> dict[str, Any]:
        host, port = self.engine.door(row.name, self.proxy).address
        born = 0 if row.started is None else max(1, round(self.engine.unix(row.started) * 1000))
        return {
            "host": row.name,
            "dial": f"{host}:{port}",
            "site": row.zone,
            "class": "lab",
            "block": row.cell,
            "health": HEALTH[row.state],
            "share": row.weight,
            "born_ms": born if row.state != GONE else 0,
        }

    def lapse(self, told_at: float) -> None:
        """Nobody has asked again: the watch is over."""
        if self.told_at == told_at and not self.watchers:
            self.engine.world.checker.set_watching(self.proxy, False)
            self.engine.world.checker.record_poll(told_at, self.proxy)

    def changed(self) -> None:
        for asker, seen in list(self.watchers.items()):
            asker.tell(seen)

    def down(self) -> None:
        for asker in list(self.askers):
            asker.lines.close()
            asker.ended(True)
        self.engine.world.checker.set_watching(self.proxy, False)
        self.engine.world.checker.record_poll(self.engine.now, self.proxy)

    def close(self) -> None:
        self.down()
        self.engine.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()
