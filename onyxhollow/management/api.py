"""HTTP/1.1 server of the management API: one request per connection, served independently of sessions."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable, Generator, Mapping

import h11

from onyxhollow.counters import Counters
from onyxhollow.loop import READ, Loop, UrgentDescriptors
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.listening import listen_socket
from onyxhollow.wire.system_errors import ErrorCause, classify_error

CALL_TIMEOUT_SECONDS = 5.0  # for receiving a complete request, and for the answer to be read
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024  # bodies are read and ignored
MAX_ACCEPTS_PER_CALLBACK = 16
DEFAULT_MAX_CONNECTIONS = 16  # until the configuration's limits are applied
PLAIN_TEXT = "text/plain; charset=utf-8"
Answer = tuple[int, bytes, str]  # status, body, content type
Routes = Mapping[str, Mapping[str, Callable[[str], Answer]]]  # by path and method; called with the query


class Management:
    """Serves the operators' requests.

    Requests are handled in the callbacks of urgent descriptors, which also run in the middle of a long turn
    of the loop, so operators wait for no session. Their connections do not count towards the sessions' limit.
    """

    def __init__(self, loop: Loop, address: Address, counters: Counters, routes: Routes) -> None:
        self.listener = listen_socket(address, "management")
        self.loop = loop
        self.urgent = UrgentDescriptors(loop)
        self.pool = BufferPool()
        self.counters = counters
        self.routes = routes
        self.max_connections = DEFAULT_MAX_CONNECTIONS  # above it, the oldest connections are closed
        self.pending: dict[ManagementConnection, None] = {}  # without a complete request, oldest first
        self.sweeper = loop.spawn(self.sweep())
        self.urgent.watch(self.listener.fileno(), READ, self.accept)

    def accept(self, _: int) -> None:
        """Accept connections when the loop reports the listener readable."""
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            while self.pool.open_connections >= self.max_connections and self.close_oldest():
                pass
            try:
                sock, _peer = self.listener.accept()
            except OSError as error:
                if classify_error(error) is ErrorCause.SHORTAGE and self.close_oldest():
                    continue
                return  # none left, or already closed; the loop reports further ones again
            sock.setblocking(False)
            self.pending[ManagementConnection(self, sock)] = None
        self.sweeper.wake()

    def close_oldest(self) -> bool:
        """Close one answered connection, or else the oldest pending one; return False if there is neither."""
        if self.pool.closing:
            next(iter(self.pool.closing.values())).close()
            return True
        oldest = next(iter(self.pending), None)
        if oldest is None:
            return False
        oldest.channel.on_ready(READ)  # its request may have just arrived
        if oldest in self.pending:
            self.counters.add("operators' calls closed for room")
            oldest.close()
        return True

    def sweep(self) -> Generator[float, None, None]:
        """Close connections that have not sent a complete request in time."""
        while True:
            oldest = next(iter(self.pending), None)
            while oldest is not None and self.loop.now >= oldest.accepted_at + CALL_TIMEOUT_SECONDS:
                self.counters.add("operators' calls given up")
                oldest.close()
                oldest = next(iter(self.pending), None)
            yield oldest.accepted_at + CALL_TIMEOUT_SECONDS if oldest is not None else math.inf

    def route_request(self, method: str, target: str) -> tuple[Answer, str]:
        """Call the handler of a request.

        Returns:
            The answer, and the allowed methods if the path does not allow this one.
        """
        path, _, query = target.partition("#")[0].partition("?")
        if path.lower().startswith(("http://", "https://")):
            path = "/" + path.split("/", 3)[3] if path.count("/") >= 3 else "/"
        methods = self.routes.get(path)
        if methods is None:
            return (404, b"no such path\n", PLAIN_TEXT), ""
        handler = methods.get("GET" if method == "HEAD" else method)
        if handler is None:
            allowed = "GET, HEAD" if "GET" in methods else ", ".join(methods)
            return (405, b"not this method\n", PLAIN_TEXT), allowed
        try:
            return handler(query), ""
        except Exception as error:  # noqa: BLE001 -- the operator must still get an answer
            self.loop.report_failure("management", error)
            return (500, b"failed\n", PLAIN_TEXT), ""


class ManagementConnection:
    """One operator's connection: reads a request, writes the answer and closes."""

    def __init__(self, management: Management, sock: socket.socket) -> None:
        self.management = management
        self.accepted_at = management.loop.now
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body_size = 0
        self.channel = Channel(management.urgent, sock, management.pool, self.on_data)

    def close(self) -> None:
        """Close the connection without an answer."""
        self.management.pending.pop(self, None)
        self.channel.close()

    def on_data(self) -> None:
        """Handle received bytes or the end of the connection."""
        if self not in self.management.pending:
            return
        if len(self.channel.inbox):
            self.http.receive_data(self.channel.inbox.take_rest())
            self.channel.set_paused(False)
        try:
            is_answered = self.read_request()
        except h11.RemoteProtocolError as error:
            self.respond((error.error_status_hint, b"not a call that can be read\n", PLAIN_TEXT))
            return
        if not is_answered and self.channel.ended:
            self.close()  # ended within a request

    def read_request(self) -> bool:
        """Process the received part of the request; return whether the request was answered.

        Raises:
            h11.RemoteProtocolError: The received bytes are not valid HTTP.
        """
        while (event := self.http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self.request = event
                if self.http.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(status_code=100, headers=[])
                    self.channel.write(self.http.send(interim) or b"")
            elif isinstance(event, h11.Data):
                self.body_size += len(event.data)
                if self.body_size > MAX_BODY_BYTES:
                    self.respond((413, b"body too long\n", PLAIN_TEXT))
                    return True
            elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                method = self.request.method.decode()
                self.respond(*self.management.route_request(method, self.request.target.decode()))
                return True
            else:
                break
        return False

    def respond(self, answer: Answer, allowed: str = "") -> None:
        """Write the answer and close the connection after it.

        Args:
            answer: Status, body and content type.
            allowed: The methods that the path allows, if the request used another one.
        """
        status, body, content_type = answer
        self.management.pending.pop(self, None)
        self.management.counters.add(f"operators' calls answered {status}")
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if allowed:
            headers.append(("Allow", allowed))
        head_only = self.request is not None and self.request.method == b"HEAD"
        parts = [
            h11.Response(status_code=status, headers=headers),
            *([] if head_only else [h11.Data(data=body)]),
            h11.EndOfMessage(),
        ]
        self.channel.write(b"".join(self.http.send(part) or b"" for part in parts))
        self.channel.finish(CALL_TIMEOUT_SECONDS)
