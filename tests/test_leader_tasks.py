"""Actions of a role's holder: the lease is checked immediately before the bytes are sent."""

import socket
import time
from collections import Counter

import h11
import pytest

from onyxhollow.fleet.leader_tasks import WebhookTask
from onyxhollow.loop import Loop
from onyxhollow.wire.channel import Channel


class LedgerRig:
    """A webhook task on a loop, the server that it calls, and a lease that a test can end."""

    def __init__(self):
        self.failures = []
        self.loop = Loop(lambda where, error: self.failures.append((where, error)))
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.is_held = True
        self.counts = Counter()
        self.received = bytearray()
        self.accepted = []
        self.loop.watch(self.server.fileno(), 1, lambda _: self.accept())
        address = self.server.getsockname()
        self.task = WebhookTask(self.loop, address, "/act", "ledger", "n0~1", 0.01, self.count)

    def count(self, name):
        self.counts[name] += 1

    def accept(self):
        sock, _ = self.server.accept()
        sock.setblocking(False)
        self.accepted.append(sock)
        self.loop.watch(sock.fileno(), 1, lambda _: self.read(sock))

    def read(self, sock):
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.loop.watch(sock.fileno(), 0, None)
            return
        self.received += data
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def end_lease(self):
        self.is_held = False

    def until(self, condition, within=2.0):
        deadline = time.monotonic() + within
        while not condition():
            assert time.monotonic() < deadline, (self.counts, self.failures)
            self.loop.turn(0.01)

    def close(self):
        self.task.stop()
        for sock in [self.server, *self.accepted]:
            sock.close()
        self.loop.epoll.close()


@pytest.fixture
def ledger():
    rig = LedgerRig()
    yield rig
    rig.close()


def test_an_action_whose_lease_ends_while_its_request_is_composed_is_not_sent(ledger, monkeypatch):
    """Guards against a check before the request is composed: the process may be suspended in between."""
    compose = h11.Connection.send

    def compose_until_the_lease_ends(connection, part):
        ledger.end_lease()
        return compose(connection, part)

    monkeypatch.setattr(h11.Connection, "send", compose_until_the_lease_ends)
    ledger.task.start(1, lambda: ledger.is_held)
    ledger.until(lambda: ledger.counts["acts not done: the lease had ended"] or ledger.received)
    assert not ledger.received and not ledger.failures


@pytest.mark.parametrize("accepted_bytes", [0, 5])
def test_an_action_that_the_kernel_does_not_accept_at_once_is_not_sent_after_its_lease(
    ledger, monkeypatch, accepted_bytes
):
    """Guards against a request that is sent from a buffer later, without another check of the lease."""
    send = Channel.send
    sends = []

    def send_partly(channel, data):
        sends.append(bytes(data))
        if len(sends) > 1:
            return send(channel, data)
        ledger.end_lease()
        return send(channel, data[:accepted_bytes]) if accepted_bytes else 0

    monkeypatch.setattr(Channel, "send", send_partly)
    ledger.task.start(1, lambda: ledger.is_held)
    ledger.until(lambda: ledger.counts["acts not done: the lease had ended"] or len(sends) > 1)
    ledger.until(lambda: len(ledger.received) >= accepted_bytes)
    assert len(sends) == 1 and len(ledger.received) == accepted_bytes and not ledger.failures


def test_an_action_that_the_kernel_does_not_accept_at_once_is_followed_by_another(ledger, monkeypatch):
    """Guards against a task that makes no further progress after a request that was not sent."""
    send = Channel.send
    sends = []

    def refuse_once(channel, data):
        sends.append(bytes(data))
        return send(channel, data) if len(sends) > 1 else 0

    monkeypatch.setattr(Channel, "send", refuse_once)
    ledger.task.start(1, lambda: ledger.is_held)
    ledger.until(lambda: b"number=3" in ledger.received)
    assert b"number=1" not in ledger.received and not ledger.failures
