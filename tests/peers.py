"""The other ends of a proxy under test, all on loopback and turned by hand: no thread, no sleep.

Hooks that stories use:

- `ProxyOnLoopback.until(seen)` turns the proxy's loop until `seen()` is true, and returns what it gave;
- `ProxyOnLoopback.run_for(seconds)` turns it for a time in which nothing is to happen;
- `ScriptedServer.connection(count)` is one connection to an endpoint or the list service, once it has sent
  something: a test answers on it by `Peer.send`;
- `ProxyOnLoopback.config` is what the next reload reads.
"""

import contextlib
import os
import socket
import time
from dataclasses import replace

from onyxhollow.interface import Listener, Settings
from onyxhollow.lifecycle.config import Config
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.wire.endpoint_list import decode_endpoint_list
from onyxhollow.wire.remote_clock import RemoteClock

# Each worker of a test run has a loopback address of its own: a process of another test goes on dialling
# the ports of servers that it has lost, and the system may give one of them to a server of this test.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
HOST = f"127.7.{WORKER % 250}.1"

CALLS = Listener("calls", handshake_objective=0.3, attempt_timeout=2.0, message_objective=0.1)
PLAIN = Settings(
    listeners={"calls": CALLS},
    tenants={},
    list_is_polled=False,
    max_attempts=4,
    slow_start_share=0.25,
    slow_start_time=10.0,
    overload_multiple=2.0,
    overload_window=2.0,
)


class Peer:
    """The far end of one connection, read without waiting."""

    def __init__(self, sock):
        sock.setblocking(False)
        self.sock = sock
        self.received = b""  # all so far; a test clears it
        self.end = ""  # how the other side has ended it: "closed" or "reset"

    def send(self, data):
        """Sends all of it at once."""
        self.sock.sendall(data)

    def read(self):
        """Reads what has come, and returns all that was received so far."""
        try:
            while not self.end and (more := self.sock.recv(65536)):
                self.received += more
            self.end = self.end or "closed"
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.end = "reset"
        return self.received


class ScriptedServer:
    """A listening socket whose connections a test answers: an endpoint, or the list service."""

    def __init__(self):
        self.sock = socket.create_server((HOST, 0))
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.peers = []  # all connections so far

    def accept(self):
        """The next connection, or None."""
        with contextlib.suppress(BlockingIOError):
            self.peers.append(Peer(self.sock.accept()[0]))
            return self.peers[-1]

    def connection(self, count=1):
        """The connection of that number, counted from 1, once it is there and has sent something."""
        self.accept()
        return len(self.peers) >= count and self.peers[count - 1].read() and self.peers[count - 1]


class ProxyOnLoopback:
    """One proxy on loopback among scripted servers, turned by hand."""

    def __init__(
        self,
        servers="a",
        has_cached_list=True,
        sockets=500,
        management=None,
        inherited_listener=None,
        handover=None,
        **changes,
    ):
        self.endpoints = {name: ScriptedServer() for name in servers}
        self.list_service = ScriptedServer()
        self.opened = 0  # sessions
        records = [self.list_record(name) for name in servers] if has_cached_list else []
        settings = replace(PLAIN, **{"max_attempts": 2, "list_is_polled": True, **changes})
        document = {"seq": 7, "whole": True, "hosts": records}
        self.config = Config(
            "n0",
            (HOST, 0),
            (HOST, self.list_service.port),
            management,
            seed=5,
            max_sockets=sockets,
            memory_bytes=64 << 20,
            known=decode_endpoint_list(document, RemoteClock(), 0.0),
            settings=settings,
            connect_timeout=0.25,
            health_check_timeout=0.3,
        )
        self.log_reader, writer = os.pipe()
        os.set_blocking(writer, False)
        os.set_blocking(self.log_reader, False)
        self.proxy = Proxy(self.config, writer, lambda: self.config, inherited_listener, handover)
        self.proxy.discovery.rng.uniform = lambda low, high: (low + high) / 2  # polls of the middle length
        self.counts = self.proxy.counters.counts

    def list_record(self, name, health="active", **more):
        """An endpoint as the list service writes it."""
        dial = f"{HOST}:{self.endpoints[name].port}"
        return {"host": name, "dial": dial, "site": "z", "block": 0, "health": health, "share": 1.0, **more}

    def until(self, seen, within=3.0):
        """Turns the loop until `seen` returns something true, which it returns; fails after that time."""
        end = time.monotonic() + within
        while not (found := seen()):
            assert time.monotonic() < end, f"not seen; {dict(self.counts)}"
            self.proxy.loop.turn(0.005)
        return found

    def run_for(self, span):
        """Turns the loop for so many seconds."""
        end = time.monotonic() + span
        while time.monotonic() < end:
            self.proxy.loop.turn(0.005)

    def connect_client(self, data=b""):
        """A client's new connection, which has sent that."""
        peer = Peer(socket.create_connection(self.proxy.listener.getsockname()))
        if data:
            peer.send(data)
        return peer

    def connect_operator(self, data=b""):
        """An operator's new connection, which has sent that."""
        peer = Peer(socket.create_connection(self.proxy.management.listener.getsockname()))
        peer.send(data)
        return peer

    def call_management(self, target, method="GET"):
        """Makes an operator's call; returns status and body."""
        peer = self.connect_operator(f"{method} /control/{target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        self.until(lambda: peer.read() and peer.end)
        assert peer.end == "closed"
        head, _, body = peer.received.partition(b"\r\n\r\n")
        return int(head.split()[1]), body.decode()

    def open_session(self, listener="calls", wait=2000):
        """A client that has sent its OPEN line, with a wait in milliseconds."""
        self.opened += 1  # an id is new with every connection
        return self.connect_client(b"OPEN 9b1f%d 7f3a c=%s,d=%d\r\n" % (self.opened, listener.encode(), wait))

    def establish(self, name="a"):
        """A client and its endpoint with the connection up; nothing received stands on either."""
        client = self.open_session()
        count = len(self.endpoints[name].peers) + 1
        server = self.until(lambda: self.endpoints[name].connection(count))
        server.send(b"UP r1\r\n")
        self.until(lambda: client.read() == b"UP r1\r\n")
        client.received = server.received = b""
        return client, server

    def first_attempt(self):
        """The first connection to one of two endpoints, and the other endpoint."""
        endpoints = self.endpoints.values()
        first = self.until(lambda: next(filter(None, (one.connection() for one in endpoints)), None))
        return first, next(one for one in endpoints if first not in one.peers)

    def switch_list_service(self, server):
        """The file names another list service, and SIGHUP comes."""
        self.config = replace(self.config, discovery=(HOST, server.port))
        self.proxy.reloader.reload()

    def answer_list(self, body, status=b"200 OK", count=1, server=None):
        """Answers the list service's newest poll on its connection of that number."""
        peer = self.until(lambda: (server or self.list_service).connection(count))
        peer.received = b""
        peer.send(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
        return peer

    def close(self):
        """Ends the proxy's watches: what the test leaves open goes with the garbage."""
        for fd in list(self.proxy.loop.watched):
            self.proxy.loop.watch(fd, 0, None)
        self.proxy.loop.epoll.close()
        self.proxy.listener.close()
