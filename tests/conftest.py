"""One tiny fake host and the balancer it carries; one proxy on loopback among toys."""

import contextlib
import os
import socket
import time
from dataclasses import replace

import pytest

from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState, Listener, Settings
from onyxhollow.lifecycle.config import Config
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.policy import Balancer
from onyxhollow.wire.endpoint_list import decode_endpoint_list
from onyxhollow.wire.remote_clock import RemoteClock

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


class FakeHost:
    """Notes what it is asked; time passes only when a story says so."""

    def __init__(self, settings, seed):
        self.now, self.wake, self.did, self.taken = 1000.0, [], [], 0
        self.balancer = Balancer(self, settings, seed)

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)
        return lambda *values: self.did.append((name, *values))

    def set_timer(self, when):
        self.wake.append(when)

    def wait(self, span):
        end = self.now + span
        while self.wake and min(self.wake) <= end:
            self.now = min(self.wake)
            self.wake.remove(self.now)
            self.balancer.tick()
        self.now = end

    def asked(self, name):
        return [call[1:] for call in self.did if call[0] == name]

    def servers(self, *names, kind=EndpointListKind.SNAPSHOT, **values):
        state = values.pop("state", EndpointState.IN_SERVICE)
        self.balancer.server_list(kind, [Endpoint(name, state, **values) for name in names])
        return [self.balancer.servers.get(name) for name in names]

    def loads(self, **reported):
        for name, load in reported.items():
            self.balancer.probed(name, AttemptOutcome.OK, 0.01, load)

    def take(self, listener=CALLS, group=None, stands=True, tenant=None, took=0.01):
        self.taken += 1
        token = 10000 + self.taken
        sess = self.balancer.take(token, listener, tenant, group, listener.attempt_timeout, None)
        if stands and sess.dialling:
            sess.accepted(took)
        return sess


@pytest.fixture
def start():
    return lambda seed=1, **changes: FakeHost(replace(PLAIN, **changes), seed)


@pytest.fixture
def host(start):
    return start()


@pytest.fixture
def lost():
    return lambda sess, end=AttemptOutcome.RESET: sess.dial_ended(end, False, 0.1)


class Peer:
    """The far end of one connection, read without waiting."""

    def __init__(self, sock):
        sock.setblocking(False)
        self.sock, self.got, self.end = sock, b"", ""

    def say(self, text):
        self.sock.sendall(text)

    def read(self):
        try:
            while not self.end and (more := self.sock.recv(65536)):
                self.got += more
            self.end = self.end or "closed"
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.end = "reset"
        return self.got


class Toy:
    """A listening socket: a server, or the server list."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port, self.peers = self.sock.getsockname()[1], []

    def accept(self):
        with contextlib.suppress(BlockingIOError):
            self.peers.append(Peer(self.sock.accept()[0]))
            return self.peers[-1]

    def asked(self, count=1):
        """The newest peer, once it is the so-maniest and has sent something."""
        self.accept()
        return len(self.peers) >= count and self.peers[count - 1].read() and self.peers[count - 1]


class Loopback:
    """One proxy on loopback among toys, turned by hand."""

    def __init__(
        self, servers="a", known=True, sockets=500, management=None, given=None, handover=None, **changes
    ):
        self.toys, self.opened = {name: Toy() for name in servers}, 0
        self.list = Toy()
        rows = [self.row(name) for name in servers] if known else []
        settings = replace(PLAIN, **{"max_attempts": 2, "list_is_polled": True, **changes})
        told = {"seq": 7, "whole": True, "hosts": rows}
        self.config = Config(
            "n0",
            ("127.0.0.1", 0),
            ("127.0.0.1", self.list.port),
            management,
            seed=5,
            max_sockets=sockets,
            memory_bytes=64 << 20,
            known=decode_endpoint_list(told, RemoteClock(), 0.0),
            settings=settings,
            connect_timeout=0.25,
            health_check_timeout=0.3,
        )
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        os.set_blocking(reader, False)
        self.log_reader, self.proxy = (
            reader,
            Proxy(self.config, writer, lambda: self.config, given, handover),
        )
        self.proxy.discovery.rng.uniform = lambda low, high: (low + high) / 2  # watches of the middle length
        self.counts = self.proxy.counters.counts

    def row(self, name, health="active", **more):
        dial = f"127.0.0.1:{self.toys[name].port}"
        return {"host": name, "dial": dial, "site": "z", "block": 0, "health": health, "share": 1.0, **more}

    def until(self, seen, within=3.0):
        end = time.monotonic() + within
        while not (got := seen()):
            assert time.monotonic() < end, f"not seen; {dict(self.counts)}"
            self.proxy.loop.turn(0.005)
        return got

    def idle(self, span):
        end = time.monotonic() + span
        while time.monotonic() < end:
            self.proxy.loop.turn(0.005)

    def client(self, text=b""):
        peer = Peer(socket.create_connection(self.proxy.listener.getsockname()))
        if text:
            peer.say(text)
        return peer

    def operator(self, text=b""):
        peer = Peer(socket.create_connection(self.proxy.management.listener.getsockname()))
        peer.say(text)
        return peer

    def ask(self, target, method="GET"):
        """An operator's call: status and body."""
        peer = self.operator(f"{method} /control/{target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        self.until(lambda: peer.read() and peer.end)
        assert peer.end == "closed"
        head, _, body = peer.got.partition(b"\r\n\r\n")
        return int(head.split()[1]), body.decode()

    def open(self, listener="calls", wait=2000):
        self.opened += 1  # an id is new with every connection
        return self.client(b"OPEN 9b1f%d 7f3a c=%s,d=%d\r\n" % (self.opened, listener.encode(), wait))

    def standing(self, name="a"):
        """A client and its server with the connection up."""
        client, count = self.open(), len(self.toys[name].peers) + 1
        server = self.until(lambda: self.toys[name].asked(count))
        server.say(b"UP r1\r\n")
        self.until(lambda: client.read() == b"UP r1\r\n")
        client.got = server.got = b""
        return client, server

    def first_dial(self):
        """The first server dialled of two, and the toy of the other."""
        first = self.until(lambda: next(filter(None, (toy.asked() for toy in self.toys.values())), None))
        return first, next(toy for toy in self.toys.values() if first not in toy.peers)

    def reload_to(self, toy):
        """The file names another server list, and SIGHUP comes."""
        self.config = replace(self.config, discovery=("127.0.0.1", toy.port))
        self.proxy.reloader.reload()

    def answer_list(self, body, status=b"200 OK", count=1, toy=None):
        peer = self.until(lambda: (toy or self.list).asked(count))
        peer.got = b""
        peer.say(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
        return peer

    def close(self):
        for fd in list(self.proxy.loop.watched):
            self.proxy.loop.watch(fd, 0, None)
        self.proxy.loop.epoll.close()
        self.proxy.listener.close()


@pytest.fixture
def loopback():
    made = []

    def make(*values, **changes):
        made.append(Loopback(*values, **changes))
        return made[-1]

    yield make
    for proxy in made:
        proxy.close()
