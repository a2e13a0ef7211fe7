"""The address for operators: HTTP/1.1, one call to a connection, answered beside whatever else goes on."""

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
from onyxhollow.wire.system_errors import Fault, fault_of

CALL_TIMEOUT = 5.0  # seconds for a whole call, and for its answer to be read
MAX_HEAD_SIZE = 16 * 1024  # bytes of a call before its body
MAX_BODY_SIZE = 64 * 1024  # bytes of a call's body, which is read and not used
MAX_BATCH = 16  # callers accepted in one go
DEFAULT_MAX_CONNECTIONS = 16  # until the configuration's limits are applied
PLAIN_TEXT = "text/plain; charset=utf-8"
Answer = tuple[int, bytes, str]  # status, body, content type
Routes = Mapping[str, Mapping[str, Callable[[str], Answer]]]  # by path and method; called with the query


class Management:
    """Serves the operators' calls.

    Callers are served in their descriptors' own callbacks, and those are called in the middle of a long turn
    of the loop too: no session is waited for, and none of the callers is counted among the sessions.
    """

    def __init__(self, loop: Loop, address: Address, counters: Counters, routes: Routes) -> None:
        self.listener = listen_socket(address, "management")
        self.loop = loop
        self.urgent = UrgentDescriptors(loop)
        self.pool = BufferPool()
        self.counters = counters
        self.routes = routes
        self.max_connections = (
            DEFAULT_MAX_CONNECTIONS  # past them the longest without a whole call makes room
        )
        self.pending: dict[ManagementConnection, None] = {}  # without a whole call yet, in order of arrival
        self.sweeper = loop.spawn(self.sweep())
        self.urgent.watch(self.listener.fileno(), READ, self.accept)

    def accept(self, _: int) -> None:
        """The loop's callback: callers wait to be accepted."""
        for _ in range(MAX_BATCH):
            while self.pool.open_connections >= self.max_connections and self.make_room():
                pass
            try:
                sock, _peer = self.listener.accept()
            except OSError as error:
                if fault_of(error) is Fault.SHORTAGE and self.make_room():
                    continue
                return  # none, or gone already; the loop reports it again as long as one waits
            sock.setblocking(False)
            self.pending[ManagementConnection(self, sock)] = None
        self.sweeper.wake()

    def make_room(self) -> bool:
        """Closes one that has been answered, else the one without a whole call for longest; False if none."""
        if self.pool.closing:
            next(iter(self.pool.closing.values())).close()
            return True
        oldest = next(iter(self.pending), None)
        if oldest is None:
            return False
        oldest.channel.ready(READ)  # its call may have come just now
        if oldest in self.pending:
            self.counters.add("operators' calls closed for room")
            oldest.close()
        return True

    def sweep(self) -> Generator[float, None, None]:
        """Closes callers that have not sent a whole call in time."""
        while True:
            oldest = next(iter(self.pending), None)
            while oldest is not None and self.loop.now >= oldest.accepted_at + CALL_TIMEOUT:
                self.counters.add("operators' calls given up")
                oldest.close()
                oldest = next(iter(self.pending), None)
            yield oldest.accepted_at + CALL_TIMEOUT if oldest is not None else math.inf

    def find(self, method: str, target: str) -> tuple[Answer, str]:
        """The answer to a call, and the methods that the path takes if this was none of them."""
        path, _, query = target.partition("#")[0].partition("?")
        if path.lower().startswith(("http://", "https://")):
            path = "/" + path.split("/", 3)[3] if path.count("/") >= 3 else "/"
        methods = self.routes.get(path)
        if methods is None:
            return (404, b"no such path\n", PLAIN_TEXT), ""
        call = methods.get("GET" if method == "HEAD" else method)
        if call is None:
            allowed = "GET, HEAD" if "GET" in methods else ", ".join(methods)
            return (405, b"not this method\n", PLAIN_TEXT), allowed
        try:
            return call(query), ""
        except Exception as error:  # noqa: BLE001 -- an operator is owed an answer all the same
            self.loop.report_failure("management", error)
            return (500, b"failed\n", PLAIN_TEXT), ""


class ManagementConnection:
    """One caller: reads its call, writes the answer, and ends."""

    def __init__(self, management: Management, sock: socket.socket) -> None:
        self.management = management
        self.accepted_at = management.loop.now
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_SIZE)
        self.request: h11.Request | None = None
        self.body_size = 0
        self.channel = Channel(management.urgent, sock, management.pool, self.on_data)

    def close(self) -> None:
        """Ends it without an answer."""
        self.management.pending.pop(self, None)
        self.channel.close()

    def on_data(self) -> None:
        """Bytes have come, or the end."""
        if self not in self.management.pending:
            return
        if len(self.channel.inbox):
            self.http.receive_data(self.channel.inbox.take_rest())
            self.channel.set_paused(False)
        try:
            answered = self.read_call()
        except h11.RemoteProtocolError as error:
            self.respond((error.error_status_hint, b"not a call that can be read\n", PLAIN_TEXT))
            return
        if not answered and self.channel.ended:
            self.close()  # half a call, and then the end

    def read_call(self) -> bool:
        """Reads what has come of the call; whether it was answered.

        Raises:
            h11.RemoteProtocolError: It is not HTTP.
        """
        while (event := self.http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self.request = event
                if self.http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self.channel.write(self.http.send(go_on) or b"")
            elif isinstance(event, h11.Data):
                self.body_size += len(event.data)
                if self.body_size > MAX_BODY_SIZE:
                    self.respond((413, b"body too long\n", PLAIN_TEXT))
                    return True
            elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                method = self.request.method.decode()
                self.respond(*self.management.find(method, self.request.target.decode()))
                return True
            else:
                break
        return False

    def respond(self, answer: Answer, allowed: str = "") -> None:
        """Writes the answer, and ends the connection behind it.

        Args:
            answer: Status, body and content type.
            allowed: The methods that the path takes, where the call's was none of them.
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
        self.channel.finish(CALL_TIMEOUT)
