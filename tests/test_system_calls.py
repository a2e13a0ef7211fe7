"""Guards against clients without an answer, double attempts and spinning when a system call fails.

The proxy's sockets and epoll are replaced by test doubles. The n-th call of one kind fails with each
documented error, once or three times in a row, without reaching the kernel.
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

ERRORS_BY_CALL = {
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
NON_IDEMPOTENT_LISTENER = replace(LISTENER, idempotency=Idempotency.NON_IDEMPOTENT)
CASES = [(call, name) for call, names in ERRORS_BY_CALL.items() for name in names]
SHORTAGE_ERRORS = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ENOSPC", "EADDRNOTAVAIL"}


class FailurePlan:
    """Determines which calls fail: from the call at an index on, so many calls of one kind."""

    def __init__(self):
        self.call, self.error, self.calls_before, self.times = "", 0, 0, 0
        self.failures = 0

    def fail(self, call, error, index, times=1):
        self.call, self.error, self.calls_before, self.times, self.failures = call, error, index, times, 0

    def raise_if_due(self, call):
        """Raise the planned error if this call has to fail."""
        if call != self.call:
            return
        self.calls_before -= 1
        if self.calls_before < 0 <= self.calls_before + self.times:
            self.failures += 1
            raise OSError(self.error, "planned failure")


class FailingSocket(socket.socket):
    """A socket whose calls fail by the plan; with `one_byte` it sends and receives single bytes."""

    plan = FailurePlan()
    one_byte = False

    def __init__(self, *values, **named):
        if "fileno" not in named:
            self.plan.raise_if_due("socket")
        super().__init__(*values, **named)

    def accept(self):
        self.plan.raise_if_due("accept")
        fd, address = self._accept()
        return FailingSocket(self.family, self.type, self.proto, fileno=fd), address

    def connect_ex(self, address):
        try:
            self.plan.raise_if_due("connect_ex")
        except OSError as error:
            if error.errno == errno.EINTR:
                super().connect_ex(address)  # the kernel continues to connect
            return error.errno
        return super().connect_ex(address)

    def send(self, data, *flags):
        self.plan.raise_if_due("send")
        return super().send(memoryview(data)[:1] if self.one_byte else data, *flags)

    def recv_into(self, space, count=0, flags=0):
        self.plan.raise_if_due("recv_into")
        return super().recv_into(space, 1 if self.one_byte and count else count, flags)

    def shutdown(self, how):
        self.plan.raise_if_due("shutdown")
        super().shutdown(how)

    def setsockopt(self, *values):
        self.plan.raise_if_due("setsockopt")
        super().setsockopt(*values)

    def getsockopt(self, *values):
        self.plan.raise_if_due("getsockopt")
        return super().getsockopt(*values)


class FailingEpoll:
    """An epoll whose calls fail by the plan."""

    def __init__(self, epoll, plan):
        self.epoll, self.plan, self.poll_count = epoll, plan, 0

    def __getattr__(self, name):
        call = getattr(self.epoll, name)
        if name == "poll":
            self.poll_count += 1
        if name not in ERRORS_BY_CALL:
            return call

        def call_by_plan(*values):
            self.plan.raise_if_due(name)
            return call(*values)

        return call_by_plan


@pytest.fixture
def faulty_proxy(loopback, monkeypatch):
    """A proxy with two endpoints whose sockets and epoll fail by its `plan`."""
    plan = FailurePlan()
    monkeypatch.setattr(FailingSocket, "plan", plan)
    monkeypatch.setattr(FailingSocket, "one_byte", False)

    class Module:
        socket = FailingSocket

        def __getattr__(self, name):
            return getattr(socket, name)

    monkeypatch.setattr(channel, "socket", Module())
    monkeypatch.setattr(listening, "socket", Module())
    proxy = loopback("ab", listeners={"calls": NON_IDEMPOTENT_LISTENER})
    proxy.proxy.loop.epoll = FailingEpoll(proxy.proxy.loop.epoll, plan)
    proxy.plan = plan
    return proxy


class EchoServers:
    """Answers for both endpoints: UP to each OPEN line, an echo to every other line."""

    def __init__(self, proxy):
        self.proxy, self.session_ids = proxy, []
        self.answered_counts = {}  # lines by peer

    def serve_all(self):
        for server in self.proxy.endpoints.values():
            while server.accept() is not None:
                pass
            for peer in server.peers:
                self.serve(peer)

    def serve(self, peer):
        whole, _, _ = peer.read().rpartition(b"\r\n")
        lines = whole.split(b"\r\n") if whole else []
        for line in lines[self.answered_counts.get(peer, 0) :]:
            if line.startswith(b"OPEN "):
                self.session_ids.append(line.split()[1])
            with contextlib.suppress(OSError):
                peer.send(b"UP r1\r\n" if line.startswith(b"OPEN ") else line + b"\r\n")
        self.answered_counts[peer] = len(lines)


def run_clients(proxy, clients=3, within=2.5):
    """Open sessions that send one line each; return the servers and the clients once all have an answer."""
    servers, peers = EchoServers(proxy), [proxy.open_session(wait_ms=1500) for _ in range(clients)]
    greeted, deadline = set(), time.monotonic() + within
    while time.monotonic() < deadline:
        proxy.proxy.loop.turn(0.002)
        servers.serve_all()
        for peer in peers:
            if peer.read().startswith(b"UP r1\r\n") and peer not in greeted and not peer.end:
                greeted.add(peer)
                with contextlib.suppress(OSError):
                    peer.send(b"hello\r\n")
        if all(peer.end or b"hello\r\n" in peer.received for peer in peers):
            break
    return servers, peers


def assert_answers(proxy, servers, peers, cause):
    """Assert that each client has one final answer, unless its own connection failed.

    No request ran twice, and the proxy had no exception and broke no invariant.
    """
    for peer in peers:
        first = peer.received.split(b"\r\n")[0]
        assert first in (b"UP r1", b"BUSY", b"ERR", b"") and (peer.received or peer.end), peer.received
        assert peer.received.count(b"BUSY") + peer.received.count(b"ERR") + peer.received.count(b"UP") <= 1
        if cause is ErrorCause.SHORTAGE or cause is ErrorCause.NOT_READY:
            assert first != b"", "a client has no answer after a shortage of this machine"
    assert len(set(servers.session_ids)) == len(servers.session_ids)
    assert not proxy.counts["failures"] and not [name for name in proxy.counts if name.startswith("broken")]


@pytest.mark.parametrize("call, name", CASES, ids=[f"{call}-{name}" for call, name in CASES])
@pytest.mark.parametrize("times", [1, 3])
def test_every_client_is_answered_whichever_system_call_fails(faulty_proxy, call, name, times):
    error = getattr(errno, name)
    cause = (
        classify_error(OSError(error, ""))
        if call != "connect_ex"
        else classify_connect_error(OSError(error, ""))
    )
    if call in ("accept", "poll", "unregister", "register", "modify", "setsockopt", "getsockopt", "socket"):
        cause = ErrorCause.SHORTAGE  # a failure of this call concerns no client's connection
    balancer = faulty_proxy.proxy.decisions.balancer
    index = 0
    while True:
        faulty_proxy.plan.fail(call, error, index, times)
        for server in balancer.tracked.values():
            server.recorded_score, server.overloaded_at = 0.0, -1e9
        polls_before = faulty_proxy.proxy.loop.epoll.poll_count
        servers, peers = run_clients(faulty_proxy)
        for peer in peers:
            peer.sock.close()
        faulty_proxy.until(lambda: not faulty_proxy.proxy.sessions.table.live)
        failure_count = faulty_proxy.plan.failures
        faulty_proxy.plan.fail("", 0, 0)
        if name in SHORTAGE_ERRORS or name in ("EINTR", "EAGAIN"):
            assert not [server for server in balancer.tracked.values() if server.recorded_score], (
                "a shortage of this machine counts as evidence against an endpoint"
            )
        assert_answers(faulty_proxy, servers, peers, cause)
        assert faulty_proxy.proxy.loop.epoll.poll_count - polls_before < 2500
        index += 1
        if not failure_count or index > 12:
            break
    assert index > 1 or call in ("modify", "getsockopt", "shutdown")


def test_reads_and_writes_of_one_byte_change_nothing(faulty_proxy, monkeypatch):
    monkeypatch.setattr(FailingSocket, "one_byte", True)
    servers, peers = run_clients(faulty_proxy, within=8.0)
    assert [peer.received for peer in peers] == [b"UP r1\r\nhello\r\n"] * 3 and len(servers.session_ids) == 3


def test_a_connection_that_the_loop_cant_watch_is_answered_with_busy(faulty_proxy):
    faulty_proxy.answer_list(b'{"seq": 8, "whole": false, "hosts": []}')
    faulty_proxy.until(lambda: faulty_proxy.proxy.discovery.version == 8)
    faulty_proxy.plan.fail("register", errno.ENOSPC, 0, times=1000)
    client = faulty_proxy.open_session()
    faulty_proxy.until(lambda: client.read() and client.end)
    assert (client.received, client.end) == (b"BUSY\r\n", "closed")
    assert faulty_proxy.counts["connections refused for want of room"] == 1 and isinstance(client, Peer)
    faulty_proxy.plan.fail("", 0, 0)
    assert run_clients(faulty_proxy)[1][0].received.startswith(b"UP r1")
