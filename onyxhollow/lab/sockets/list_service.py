"""A stand-in for the list service: HTTP/1.1 with h11, snapshots and watches, one address for each proxy."""

from __future__ import annotations

import math
import socket
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.lab.sockets.servers import ServerListener
from onyxhollow.lab.world.listing import GONE, ListedServer
from onyxhollow.lab.world.world import World
from onyxhollow.loop import Loop

HEALTH = {"in service": "active", "draining": "leaving", "gone": "left"}
WATCH_GAP_SECONDS = 0.2  # after an answer, within which the next request continues the watch


class ListHost(Protocol):
    """The parts of the engine that the list service uses."""

    world: World
    loop: Loop
    in_fleet: bool

    @property
    def now(self) -> float:
        """Seconds since the run began."""

    def to_unix_time(self, when: float) -> float:
        """Convert a time of the run to Unix time."""

    def get_listener(self, server: str, proxy: int) -> ServerListener:
        """Return the listener at which a proxy reaches a server."""

    def report_protocol_error(self, text: str) -> None:
        """Record a violation of the protocol by a proxy."""


class ListConnection:
    """One HTTP connection from a proxy to the list service."""

    def __init__(self, service: ListService, sock: socket.socket) -> None:
        """Take over a socket that a proxy has opened."""
        self.service, self.wait_number = service, 0
        self.lines = LineConnection(service.engine.loop, sock, self.on_data, self.on_end)
        self.lines.raw = True
        self.http = h11.Connection(h11.SERVER)

    def on_data(self, data: bytes) -> None:
        """Feed received bytes to the HTTP parser and handle each complete request."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self.on_request(self.target)
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError as error:
            self.service.engine.report_protocol_error(f"list: {error}")
            self.lines.close()

    def on_request(self, target: str) -> None:
        """Answer a request: 503 during an outage, changes at once, or a watch that waits for them."""
        query = parse_qs(urlsplit(target).query)
        seen, wait = int(query.get("index", ["-1"])[0]), min(60.0, int(query.get("wait", ["0"])[0]) / 1000)
        service, engine = self.service, self.service.engine
        engine.world.checker.record_poll(engine.now, service.proxy)
        engine.world.list_service.calls += 1
        if engine.world.list_service.down_by:
            self.answer(503, {})
            return
        if seen < 0 or engine.world.list_service.version > seen:
            self.send_changes(seen)
            return
        self.wait_number += 1
        service.watchers[self] = seen
        engine.world.checker.set_watching(service.proxy, True)
        engine.world.event_queue.schedule_after(wait, self.on_wait_over, self.wait_number)

    def on_wait_over(self, number: int) -> None:
        """Answer a watch whose wait has passed without a change."""
        if self.service.watchers.get(self) is not None and number == self.wait_number:
            self.send_changes(self.service.watchers.pop(self))

    def send_changes(self, seen: int) -> None:
        """Send what has changed since the version that the proxy has seen, or the whole list."""
        self.service.watchers.pop(self, None)
        engine, source = self.service.engine, self.service.engine.world.list_service
        rows, whole = source.changes_since(seen)
        source.lines_sent += len(rows)
        self.answer(
            200, {"seq": source.version, "whole": whole, "hosts": [self.service.row(row) for row in rows]}
        )
        for row in rows:
            engine.world.checker.record_notification(
                engine.now, self.service.proxy, row.name, row.state, row.started
            )
            if engine.in_fleet and HEALTH[row.state] == "active":
                engine.world.checker.record_return_to_service(row.name)
        engine.world.event_queue.schedule_after(WATCH_GAP_SECONDS, self.service.end_watch_after, engine.now)
        self.service.answered_at = engine.now

    def answer(self, status: int, body: Any) -> None:
        """Send a response with a JSON body and prepare for the next request."""
        text = orjson.dumps(body)
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(text)))])
        parts = (head, h11.Data(data=text), h11.EndOfMessage())
        try:
            self.lines.send(b"".join(self.http.send(part) or b"" for part in parts))
            self.http.start_next_cycle()
        except h11.LocalProtocolError:
            self.lines.close()

    def on_end(self, _: bool) -> None:
        """Forget the connection and its watch."""
        self.service.watchers.pop(self, None)
        self.service.connections.pop(self, None)


class ListService:
    """The endpoint list as one proxy polls and watches it."""

    def __init__(self, engine: ListHost, proxy: int) -> None:
        """Listen on a free port of 127.0.0.1 for the proxy with this number."""
        self.engine, self.proxy = engine, proxy
        self.connections: dict[ListConnection, None] = {}
        self.watchers: dict[ListConnection, int] = {}
        self.answered_at = -math.inf
        self.sock = open_listener(("127.0.0.1", 0))
        self.address: tuple[str, int] = ("127.0.0.1", self.sock.getsockname()[1])
        accept_connections(engine.loop, self.sock, self.on_accept)

    def on_accept(self, sock: socket.socket) -> None:
        """Serve a new connection of the proxy."""
        self.connections[ListConnection(self, sock)] = None

    def row(self, row: ListedServer) -> dict[str, Any]:
        """Return a server as the list service sends it."""
        host, port = self.engine.get_listener(row.name, self.proxy).address
        born = 0 if row.started is None else max(1, round(self.engine.to_unix_time(row.started) * 1000))
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

    def end_watch_after(self, answered_at: float) -> None:
        """Record the end of the watch, unless a request has followed the answer sent at that time."""
        if self.answered_at == answered_at and not self.watchers:
            self.engine.world.checker.set_watching(self.proxy, False)
            self.engine.world.checker.record_poll(answered_at, self.proxy)

    def notify_watchers(self) -> None:
        """Answer all watches with what has changed since the version of each."""
        for connection, seen in list(self.watchers.items()):
            connection.send_changes(seen)

    def drop_connections(self) -> None:
        """Close all connections of the proxy, as an outage of the service does."""
        for connection in list(self.connections):
            connection.lines.close()
            connection.on_end(True)
        self.engine.world.checker.set_watching(self.proxy, False)
        self.engine.world.checker.record_poll(self.engine.now, self.proxy)

    def close(self) -> None:
        """Drop the connections and close the listener socket."""
        self.drop_connections()
        self.engine.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()
