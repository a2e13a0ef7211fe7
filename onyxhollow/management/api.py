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

PATIENCE = 5.0  # seconds for a whole call, and for its answer to be read
LONGEST_HEAD, LONGEST_BODY = 16 * 1024, 64 * 1024  # bytes of a call
ACCEPTS = 16  # callers taken in one go
PLAIN = "text/plain; charset=utf-8"
Answer = tuple[int, bytes, str]  # status, body, its type
Routes = Mapping[str, Mapping[str, Callable[[str], Answer]]]  # by path and method; told what follows the `?`


class Management:
    """Callers are served in their descriptors' own callbacks, and those are looked at in the middle of a long
    turn of the loop: no session is waited for, and none of theirs is counted among the sessions'."""

    def __init__(self, loop: Loop, address: Address, counters: Counters, routes: Routes) -> None:
        self.listener = listen_socket(address, "management")
        self.loop, self.urgent, self.pool = loop, UrgentDescriptors(loop), BufferPool()
        self.counters, self.routes = counters, routes
        self.max_connections = 16  # connections; past them the longest without a whole call makes room
        self.pending: dict[
            ManagementConnection, None
        ] = {}  # without a whole call yet, in order of their coming
        self.sweeper = loop.spawn(self.sweep())
        self.urgent.watch(self.listener.fileno(), READ, self.accept)

    def accept(self, _: int) -> None:
        for _ in range(ACCEPTS):
            while self.pool.open_connections >= self.max_connections and self.make_room():
                pass
            try:
                sock, _peer = self.listener.accept()
            except OSError as error:
                if fault_of(error) is Fault.SHORTAGE and self.make_room():
                    continue
                return  # none, or gone already; it is told again as long as one waits
            sock.setblocking(False)
            self.pending[ManagementConnection(self, sock)] = None
        self.sweeper.wake()

    def make_room(self) -> bool:
        """Closes one that has been answered, else the one that has said nothing whole for longest."""
        if self.pool.closing:
            next(iter(self.pool.closing.values())).close()
            return True
        if (oldest := next(iter(self.pending), None)) is None:
            return False
        oldest.channel.ready(READ)  # its call may have come just now
        if oldest in self.pending:
            self.counters.add("operators' calls closed for room")
            oldest.close()
        return True

    def sweep(self) -> Generator[float, None, None]:
        while True:
            while (
                oldest := next(iter(self.pending), None)
            ) and self.loop.now >= oldest.accepted_at + PATIENCE:
                self.counters.add("operators' calls given up")
                oldest.close()
            yield oldest.accepted_at + PATIENCE if oldest else math.inf

    def find(self, method: str, target: str) -> tuple[Answer, str]:
        """The answer, and the methods that the path takes if this was none of them."""
        path, _, query = target.partition("#")[0].partition("?")
        if path.lower().startswith(("http://", "https://")):
            path = "/" + path.split("/", 3)[3] if path.count("/") >= 3 else "/"
        if (methods := self.routes.get(path)) is None:
            return (404, b"no such path\n", PLAIN), ""
        call = methods.get("GET" if method == "HEAD" else method)
        if call is None:
            return (405, b"not this method\n", PLAIN), "GET, HEAD" if "GET" in methods else ", ".join(methods)
        try:
            return call(query), ""
        except Exception as error:  # an operator is owed an answer all the same
            self.loop.report_failure("management", error)
            return (500, b"failed\n", PLAIN), ""


class ManagementConnection:
    def __init__(self, shared: Management, sock: socket.socket) -> None:
        self.shared, self.accepted_at = shared, shared.loop.now
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=LONGEST_HEAD)
        self.request: h11.Request | None = None
        self.body = 0
        self.channel = Channel(shared.urgent, sock, shared.pool, self.on_data)

    def close(self) -> None:
        self.shared.pending.pop(self, None)
        self.channel.close()

    def on_data(self) -> None:
        """Bytes have come, or the end."""
        if self not in self.shared.pending:
            return
        if len(self.channel.inbox):
            self.http.receive_data(self.channel.inbox.take_rest())
            self.channel.set_paused(False)
        try:
            while (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    self.request = event
                    if self.http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.channel.write(self.http.send(go_on) or b"")
                elif isinstance(event, h11.Data):
                    self.body += len(event.data)
                    if self.body > LONGEST_BODY:
                        self.respond((413, b"body too long\n", PLAIN))
                        return
                elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                    found, allowed = self.shared.find(
                        self.request.method.decode(), self.request.target.decode()
                    )
                    self.respond(found, allowed)
                    return
                else:
                    break
        except h11.RemoteProtocolError as error:
            self.respond((error.error_status_hint, b"not a call that can be read\n", PLAIN))
            return
        if self.channel.ended:
            self.close()  # half a call, and then the end

    def respond(self, found: Answer, allowed: str = "") -> None:
        status, body, kind = found
        self.shared.pending.pop(self, None)
        self.shared.counters.add(f"operators' calls answered {status}")
        headers = [("Content-Type", kind), ("Content-Length", str(len(body))), ("Connection", "close")]
        if allowed:
            headers.append(("Allow", allowed))
        head_only = self.request is not None and self.request.method == b"HEAD"
        parts = [
            h11.Response(status_code=status, headers=headers),
            *([] if head_only else [h11.Data(data=body)]),
            h11.EndOfMessage(),
        ]
        self.channel.write(b"".join(self.http.send(part) or b"" for part in parts))
        self.channel.finish(PATIENCE)
