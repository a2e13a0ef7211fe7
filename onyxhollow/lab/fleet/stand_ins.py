"""Stand-ins for the services that members call: the list service, and the ledger that duties act on.

Both speak HTTP/1.1 by h11 and listen on an address per member, so that each connection can be attributed to a
member and its link can have faults. They record the calls that they receive, with monotonic times.
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

from onyxhollow.lab.fleet.proxied_links import LinkFault, ProxiedLinks
from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.loop import Loop

MAX_WATCH_SECONDS = 60.0


class MemberConnection:
    """One HTTP connection of a member to a stand-in."""

    def __init__(self, listener: MemberListener, sock: socket.socket) -> None:
        self.listener, self.number = listener, 0
        self.http = h11.Connection(h11.SERVER)
        self.target = ""
        self.lines = LineConnection(listener.loop, sock, self.on_data, self.on_closed)
        self.lines.raw = True
        if listener.blocked:
            self.lines.pause_reading(True)

    def on_data(self, data: bytes) -> None:
        """Parse received bytes and pass each complete request on; a protocol error closes the connection."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self.target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    self.number += 1
                    query = parse_qs(urlsplit(self.target).query)
                    self.listener.on_request(self, {name: values[0] for name, values in query.items()})
                elif event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError:
            self.lines.close()

    def answer(self, status: int, body: bytes = b"") -> None:
        """Send a response after the delay of the link, unless the connection does not wait for one."""
        if not self.lines.open or self.http.our_state is not h11.SEND_RESPONSE:
            return
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        with contextlib.suppress(h11.LocalProtocolError):
            parts = (head, h11.Data(data=body), h11.EndOfMessage())
            response = b"".join(self.http.send(part) or b"" for part in parts)
            self.http.start_next_cycle()
            self.listener.run_after_delay(self.listener.response_fault(), lambda: self.send(response))

    def send(self, response: bytes) -> None:
        """Send an encoded response, unless the link has been cut during its delay."""
        # A cut link loses the answer, although the request was processed.
        if not self.listener.response_fault().cut:
            self.lines.send(response)

    def on_closed(self, _: bool) -> None:
        """Remove the connection after its member has closed it."""
        self.listener.on_connection_closed(self)


class MemberListener:
    """The listening socket of one stand-in for one member."""

    def __init__(self, stand_in: StandIn, member: str) -> None:
        self.stand_in, self.loop, self.member = stand_in, stand_in.loop, member
        self.connections: dict[MemberConnection, None] = {}
        self.blocked = False
        self.sock = open_listener(("127.0.0.1", 0))
        self.address: tuple[str, int] = ("127.0.0.1", self.sock.getsockname()[1])
        accept_connections(self.loop, self.sock, self.on_accepted)

    def request_fault(self) -> LinkFault:
        """Return the present fault of the link from the member to the stand-in."""
        return self.stand_in.links.fault_on(self.member, self.stand_in.name)

    def response_fault(self) -> LinkFault:
        """Return the present fault of the link from the stand-in to the member."""
        return self.stand_in.links.fault_on(self.stand_in.name, self.member)

    def run_after_delay(self, fault: LinkFault, call: Callable[[], None]) -> None:
        """Run `call` after the delay of the link; loss and duplication do not apply to TCP."""
        if fault.delay[1] <= 0.0:
            call()
            return

        def delayed(delay: float) -> Generator[float, None, None]:
            yield from self.loop.sleep(delay)
            call()

        self.loop.spawn(delayed(self.stand_in.links.rng.uniform(*fault.delay)))

    def on_request(self, connection: MemberConnection, query: dict[str, str]) -> None:
        """Let the stand-in handle a request after the delay of the link."""
        self.run_after_delay(
            self.request_fault(), lambda: self.stand_in.handle_request(self.member, connection, query)
        )

    def on_accepted(self, sock: socket.socket) -> None:
        """Register a new connection, which is blocked if the listener is."""
        self.connections[MemberConnection(self, sock)] = None

    def on_connection_closed(self, connection: MemberConnection) -> None:
        """Forget a connection, also in the stand-in; may be called more than once."""
        self.connections.pop(connection, None)
        self.stand_in.on_connection_closed(connection)

    def block(self, blocked: bool) -> None:
        """Stop reading while the link to the stand-in is cut; close all connections when it is healed."""
        if blocked is self.blocked:
            return
        self.blocked = blocked
        for connection in list(self.connections):
            if blocked:
                connection.lines.pause_reading(True)
            else:
                connection.lines.close()  # requests in flight are lost; the member reconnects
                self.on_connection_closed(connection)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for connection in list(self.connections):
            connection.lines.close()
        self.loop.watch(self.sock.fileno(), 0, None)
        self.sock.close()


class StandIn:
    """A service with a listening socket for each member."""

    name = ""

    def __init__(self, loop: Loop, links: ProxiedLinks) -> None:
        self.loop, self.links = loop, links
        self.listeners: dict[str, MemberListener] = {}
        self.last_polled_at = 0.0  # when the cluster last polled its sockets

    def listener_for(self, member: str) -> MemberListener:
        """Return the member's listener, which is opened at the first call."""
        if member not in self.listeners:
            self.listeners[member] = MemberListener(self, member)
        return self.listeners[member]

    def apply_link_faults(self) -> None:
        """Block or unblock each listener after the link faults have changed."""
        for listener in self.listeners.values():
            listener.block(listener.request_fault().cut)

    def handle_request(self, member: str, connection: MemberConnection, query: dict[str, str]) -> None:
        """Process a request with the values of its query, and answer it at once, later or never."""
        raise NotImplementedError

    def on_connection_closed(self, connection: MemberConnection) -> None:
        """Drop what the service keeps for the connection; called for every one that ends."""
        pass

    def close(self) -> None:
        """Close the listeners of all members."""
        for listener in self.listeners.values():
            listener.close()


@dataclass(frozen=True)
class Action:
    """One action of a duty's holder, as the ledger received it."""

    at: float  # time at which it was read
    not_before: float  # earliest possible arrival; it may have waited in the socket until it was read
    duty: str
    term: int
    member: str
    number: int
    accepted: bool  # false if a newer term had been seen before
    newest_term: int  # highest term seen before


class LedgerService(StandIn):
    """The service that duties act on: accepts an action unless it has seen a newer term."""

    name = "ledger"

    def __init__(self, loop: Loop, links: ProxiedLinks) -> None:
        super().__init__(loop, links)
        self.actions: list[Action] = []
        self.newest_terms: dict[str, int] = {}
        self.silent = False  # accepts connections and does not answer

    def handle_request(self, member: str, connection: MemberConnection, query: dict[str, str]) -> None:
        """Record the action, and answer 200, or 409 if a newer term has acted on the duty."""
        if self.silent:
            return
        duty, term = query.get("duty", ""), int(query.get("term", "0"))
        newest = self.newest_terms.get(duty, 0)
        accepted = term >= newest
        self.newest_terms[duty] = max(newest, term)
        number = int(query.get("number", "0"))
        self.actions.append(
            Action(
                time.monotonic(),
                self.last_polled_at,
                duty,
                term,
                query.get("member", ""),
                number,
                accepted,
                newest,
            )
        )
        connection.answer(200 if accepted else 409)


class ListService(StandIn):
    """A list service: snapshots, deltas and watches, with a record of the calls."""

    name = "list"

    def __init__(self, loop: Loop, links: ProxiedLinks, rows: list[dict[str, Any]]) -> None:
        super().__init__(loop, links)
        self.rows = {row["host"]: row for row in rows}
        self.versions: dict[str, int] = dict.fromkeys(self.rows, 1)
        self.version = 1
        # The version that the member knows, and the deadline on the loop's clock.
        self.watches: dict[MemberConnection, tuple[int, float]] = {}
        self.calls: list[tuple[float, str]] = []
        self.sites: dict[str, str] = {}  # members that get the servers of one site only
        self.down = self.silent = self.frozen = False
        loop.spawn(self.expire_watches())

    def handle_request(self, member: str, connection: MemberConnection, query: dict[str, str]) -> None:
        """Answer with the rows newer than the version in `index`, or wait for them up to `wait` ms."""
        self.calls.append((time.monotonic(), member))
        if self.silent:
            return
        if self.down:
            connection.answer(503)
            return
        known_version = int(query.get("index", "-1"))
        wait = min(MAX_WATCH_SECONDS, int(query.get("wait", "0")) / 1000)
        if known_version < self.version and not self.frozen or known_version < 0:
            self.answer_list(connection, known_version)
        else:
            self.watches[connection] = known_version, self.loop.now + wait

    def answer_list(self, connection: MemberConnection, known_version: int) -> None:
        """Answer with the newer rows that the member may see; a negative version asks for all rows."""
        self.watches.pop(connection, None)
        is_snapshot = known_version < 0
        site = self.sites.get(connection.listener.member, "")
        rows = [
            row
            for name, row in self.rows.items()
            if (is_snapshot or self.versions[name] > known_version) and site in ("", row["site"])
        ]
        connection.answer(200, orjson.dumps({"seq": self.version, "whole": is_snapshot, "hosts": rows}))

    def on_connection_closed(self, connection: MemberConnection) -> None:
        """End the watch of the connection."""
        self.watches.pop(connection, None)

    def expire_watches(self) -> Generator[float, None, None]:
        """Answer watches whose deadline has passed, as a task of the event loop."""
        while True:
            for connection, (known_version, until) in list(self.watches.items()):
                if until <= self.loop.now and not self.silent:
                    self.answer_list(connection, known_version)
            yield self.loop.now + 0.05

    def update_row(self, host: str, **values: Any) -> None:
        """Change a server's row and answer the open watches with it."""
        self.version += 1
        self.rows[host] = {**self.rows[host], **values}
        self.versions[host] = self.version
        if not self.silent and not self.frozen:
            for connection, (known_version, _) in list(self.watches.items()):
                if not connection.listener.blocked:
                    self.answer_list(connection, known_version)

    def count_callers(self, since: float, until: float) -> int:
        """Return the number of members that called in that interval or have an open watch now."""
        return len(self.waiting_members() | {member for at, member in self.calls if since <= at < until})

    def waiting_members(self) -> set[str]:
        """Return the members with an open watch."""
        return {connection.listener.member for connection in self.watches}

    def calls_by_member(self) -> Counter[str]:
        """Return the number of calls by each member since the start."""
        return Counter(member for _, member in self.calls)
