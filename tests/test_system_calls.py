"""Each system call on a socket fails in each documented way, call after call, and the rules hold.

A shim stands between the proxy and its sockets and epoll. The n-th call of one kind fails, once or three
times;
what the system would have done with it is left undone.
"""

import contextlib
import errno
import socket
import time
from dataclasses import replace

import pytest
from peers import CALLS as LISTENER
from peers import Peer

from onyxhollow.interface import Idempotency
from onyxhollow.wire import channel, listening
from onyxhollow.wire.system_errors import ErrorCause, classify_connect_error, classify_error

CALLS = {
    "accept": (
        "ECONNABORTED",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPROTO",
        "EINTR",
        "EPERM",
        "ENETDOWN",
    ),
    "connect_ex": (
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "EINTR",
        "EAGAIN",
        "ECONNREFUSED",
        "ETIMEDOUT",
    ),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "send": ("EAGAIN", "EINTR", "ENOBUFS", "ENOMEM", "EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "recv_into": ("EAGAIN", "EINTR", "ENOMEM", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "shutdown": ("ENOTCONN", "ENOBUFS"),
    "setsockopt": ("EINVAL", "ENOMEM"),
    "getsockopt": ("ENOBUFS",),
    "register": ("ENOMEM", "ENOSPC"),
    "modify": ("ENOMEM",),
    "unregister": ("ENOENT",),
    "poll": ("EINTR",),
}
CALLS_ONCE = replace(LISTENER, idempotency=Idempotency.NON_IDEMPOTENT)  # its attempts may not run twice
CASES = [(call, name) for call, names in CALLS.items() for name in names]
SHORTAGES = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ENOSPC", "EADDRNOTAVAIL"}


class Plan:
    """Which call is to fail, and how often from then on."""

    def __init__(self):
        self.kind, self.error, self.left, self.times = "", 0, 0, 0
        self.hits = 0

    def fail(self, kind, error, index, times=1):
        self.kind, self.error, self.left, self.times, self.hits = kind, error, index, times, 0

    def reach(self, kind):
        """Raises where the plan says so."""
        if kind != self.kind:
            return
        self.left -= 1
        if self.left < 0 <= self.left + self.times:
            self.hits += 1
            raise OSError(self.error, "shim")


class ShimSocket(socket.socket):
    """A socket whose calls go by the plan; sends and reads of one byte where it says so."""

    plan = Plan()
    short = False

    def __init__(self, *values, **named):
        if "fileno" not in named:
            self.plan.reach("socket")
        super().__init__(*values, **named)

    def accept(self):
        self.plan.reach("accept")
        fd, address = self._accept()
        return ShimSocket(self.family, self.type, self.proto, fileno=fd), address

    def connect_ex(self, address):
        try:
            self.plan.reach("connect_ex")
        except OSError as error:
            if error.errno == errno.EINTR:
                super().connect_ex(address)  # it goes on by itself
            return error.errno
        return super().connect_ex(address)

    def send(self, data, *flags):
        self.plan.reach("send")
        return super().send(memoryview(data)[:1] if self.short else data, *flags)

    def recv_into(self, space, count=0, flags=0):
        self.plan.reach("recv_into")
        return super().recv_into(space, 1 if self.short and count else count, flags)

    def shutdown(self, how):
        self.plan.reach("shutdown")
        super().shutdown(how)

    def setsockopt(self, *values):
        self.plan.reach("setsockopt")
        super().setsockopt(*values)

    def getsockopt(self, *values):
        self.plan.reach("getsockopt")
        return super().getsockopt(*values)


class ShimEpoll:
    """An epoll whose calls go by the plan."""

    def __init__(self, epoll, plan):
        self.epoll, self.plan, self.polls = epoll, plan, 0

    def __getattr__(self, name):
        call = getattr(self.epoll, name)
        if name == "poll":
            self.polls += 1
        if name not in CALLS:
            return call

        def reach(*values):
            self.plan.reach(name)
            return call(*values)

        return reach


@pytest.fixture
def shimmed(loopback, monkeypatch):
    """A proxy on shim sockets, its list heard, and the plan for what fails."""
    plan = Plan()
    monkeypatch.setattr(ShimSocket, "plan", plan)
    monkeypatch.setattr(ShimSocket, "short", False)

    class Module:
        socket = ShimSocket

        def __getattr__(self, name):
            return getattr(socket, name)

    monkeypatch.setattr(channel, "socket", Module())
    monkeypatch.setattr(listening, "socket", Module())
    proxy = loopback("ab", listeners={"calls": CALLS_ONCE})
    proxy.proxy.loop.epoll = ShimEpoll(proxy.proxy.loop.epoll, plan)
    proxy.plan = plan
    return proxy


class Servers:
    """Serves both server servers: UP to each opening line, every later line back; notes what came."""

    def __init__(self, proxy):
        self.proxy, self.openings = proxy, []
        self.seen = {}

    def turn(self):
        for server in self.proxy.endpoints.values():
            while server.accept() is not None:
                pass
            for peer in server.peers:
                self.serve(peer)

    def serve(self, peer):
        whole, _, _ = peer.read().rpartition(b"\r\n")
        lines = whole.split(b"\r\n") if whole else []
        for line in lines[self.seen.get(peer, 0) :]:
            if line.startswith(b"OPEN "):
                self.openings.append(line.split()[1])
            with contextlib.suppress(OSError):
                peer.send(b"UP r1\r\n" if line.startswith(b"OPEN ") else line + b"\r\n")
        self.seen[peer] = len(lines)


def play(proxy, clients=3, within=2.5):
    """Some clients open, say one line each and leave; what each of them got."""
    servers, peers = Servers(proxy), [proxy.open_session(wait_ms=1500) for _ in range(clients)]
    said, end = set(), time.monotonic() + within
    while time.monotonic() < end:
        proxy.proxy.loop.turn(0.002)
        servers.turn()
        for peer in peers:
            if peer.read().startswith(b"UP r1\r\n") and peer not in said and not peer.end:
                said.add(peer)
                with contextlib.suppress(OSError):
                    peer.send(b"hello\r\n")
        if all(peer.end or b"hello\r\n" in peer.received for peer in peers):
            break
    return servers, peers


def check(proxy, servers, peers, whose):
    """One final answer to each client at the most, none left without but by a fault of its own connection;
    nothing runs twice; no failure of the program; no spinning."""
    for peer in peers:
        first = peer.received.split(b"\r\n")[0]
        assert first in (b"UP r1", b"BUSY", b"ERR", b"") and (peer.received or peer.end), peer.received
        assert peer.received.count(b"BUSY") + peer.received.count(b"ERR") + peer.received.count(b"UP") <= 1
        if whose is ErrorCause.SHORTAGE or whose is ErrorCause.NOT_READY:
            assert first != b"", "a shortage of this machine frees no request of its answer"
    assert len(set(servers.openings)) == len(servers.openings)
    assert not proxy.counts["failures"] and not [name for name in proxy.counts if name.startswith("broken")]


@pytest.mark.parametrize("call, name", CASES, ids=[f"{call}-{name}" for call, name in CASES])
@pytest.mark.parametrize("times", [1, 3])
def test_each_call_fails_in_turn_and_every_client_has_its_answer(shimmed, call, name, times):
    error = getattr(errno, name)
    whose = (
        classify_error(OSError(error, ""))
        if call != "connect_ex"
        else classify_connect_error(OSError(error, ""))
    )
    if call in ("accept", "poll", "unregister", "register", "modify", "setsockopt", "getsockopt", "socket"):
        whose = ErrorCause.SHORTAGE  # whatever it says: no client is at fault
    balancer = shimmed.proxy.decisions.balancer
    index = 0
    while True:
        shimmed.plan.fail(call, error, index, times)
        for server in balancer.tracked.values():
            server.recorded_score, server.overloaded_at = 0.0, -1e9
        before = shimmed.proxy.loop.epoll.polls
        servers, peers = play(shimmed)
        for peer in peers:
            peer.sock.close()
        shimmed.until(lambda: not shimmed.proxy.sessions.table.live)
        hit = shimmed.plan.hits
        shimmed.plan.fail("", 0, 0)
        if name in SHORTAGES or name in ("EINTR", "EAGAIN"):
            assert not [s for s in balancer.tracked.values() if s.recorded_score], (
                "a shortage is held against a server"
            )
        check(shimmed, servers, peers, whose)
        assert shimmed.proxy.loop.epoll.polls - before < 2500
        index += 1
        if not hit or index > 12:
            break
    assert index > 1 or call in ("modify", "getsockopt", "shutdown")


def test_reads_and_writes_of_one_byte_change_nothing(shimmed, monkeypatch):
    monkeypatch.setattr(ShimSocket, "short", True)
    servers, peers = play(shimmed, within=8.0)
    assert [peer.received for peer in peers] == [b"UP r1\r\nhello\r\n"] * 3 and len(servers.openings) == 3


def test_a_connection_that_cant_be_set_up_is_refused_and_not_dropped(shimmed):
    shimmed.answer_list(b'{"seq": 8, "whole": false, "hosts": []}')
    shimmed.until(lambda: shimmed.proxy.discovery.version == 8)
    shimmed.plan.fail("register", errno.ENOSPC, 0, times=1000)
    client = shimmed.open_session()
    shimmed.until(lambda: client.read() and client.end)
    assert (client.received, client.end) == (b"BUSY\r\n", "closed")
    assert shimmed.counts["connections refused for want of room"] == 1 and isinstance(client, Peer)
    shimmed.plan.fail("", 0, 0)
    assert play(shimmed)[1][0].received.startswith(b"UP r1")
