"""The instant in which something ends while something is still owed (docs/endings.md), on real connections.

Each story forces the bad order: a peer acts at a hook in the very moment, or on a condition that it has seen.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace

import pytest
from peers import CALLS, HOST, ScriptedServer

from onyxhollow.interface import DeduplicationScope, Idempotency
from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.limits import OWN_DESCRIPTORS
from onyxhollow.wire import discovery_connection, first_line, session_registry
from onyxhollow.wire.channel import Channel

PATIENT = replace(CALLS, handshake_objective=4.0, attempt_timeout=4.0)
REFUSED, FAILED = b"BUSY\r\n", b"ERR\r\n"
EMPTY_LIST = json.dumps({"seq": 8, "whole": False, "hosts": []}).encode()


class LateServer(ScriptedServer):
    """A server whose connections come up late: its queue is full until it lets them in. The system tries
    again a second after the first time."""

    def __init__(self):
        super().__init__()
        self.sock.listen(0)
        self.filler = socket.create_connection((HOST, self.port))

    def let_in(self):
        self.sock.listen(64)
        self.sock.setblocking(True)
        self.sock.accept()[0].close()
        self.sock.setblocking(False)
        self.filler.close()


@pytest.fixture
def late(loopback):
    """A proxy among servers; connections to the one named first come up late."""

    def make(servers="ab", listeners=None, **changes):
        proxy = loopback(servers, known=False, listeners=listeners or {"calls": PATIENT}, **changes)
        proxy.endpoints[servers[0]] = LateServer()
        proxy.proxy.sessions.attempts.connect_timeout = 3.0
        body = json.dumps({"seq": 8, "whole": True, "hosts": [proxy.list_record(servers[0])]}).encode()
        proxy.answer_list(body)
        proxy.until(lambda: proxy.proxy.discovery.version == 8)
        return proxy

    return make


def connecting(proxy):
    """The proxy, once its one dial is out and its connection is not up."""
    proxy.until(lambda: proxy.counts["dials"] == 1)
    proxy.run_for(0.02)
    return proxy


def nothing_sent(proxy, server):
    """Whether the late server has got a connection and not one byte on it."""
    peer = proxy.until(lambda: server.peers[0] if server.peers else server.accept())
    proxy.until(lambda: peer.read() is not None and peer.end)
    return peer.received == b""


def tell(proxy, seq, *rows):
    body = json.dumps(
        {"seq": seq, "whole": False, "hosts": [proxy.list_record(*row) for row in rows]}
    ).encode()
    proxy.answer_list(body)
    proxy.until(lambda: proxy.proxy.discovery.version == seq)


# attempts


def test_a_server_told_to_drain_while_its_connection_comes_up_gets_nothing_and_another_one_does(late):
    # Told 0.25 s before the line was written, it counted as a send to a draining server.
    proxy = late()
    client = proxy.open_session(wait=4000)
    connecting(proxy)
    tell(proxy, 9, ("a", "leaving"), ("b",))
    proxy.endpoints["a"].let_in()
    server = proxy.until(lambda: proxy.endpoints["b"].connection())
    server.send(b"UP r1\r\n")
    proxy.until(lambda: client.read() == b"UP r1\r\n")
    assert nothing_sent(proxy, proxy.endpoints["a"])


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
@pytest.mark.parametrize("cancelling", [True, False])
def test_a_client_that_leaves_while_the_connection_comes_up_has_nothing_sent_for_it(late, how, cancelling):
    proxy = late("a", cancellation=cancelling)
    client = proxy.open_session(wait=4000)
    connecting(proxy)
    if how == "half-close":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        client.sock.close()
    proxy.endpoints["a"].let_in()
    proxy.until(lambda: not proxy.proxy.sessions.table.live)
    if not cancelling:  # else its connection may have been withdrawn before it was up
        assert nothing_sent(proxy, proxy.endpoints["a"])
    assert not proxy.counts["dials written whole"]
    if how == "half-close":  # it still reads: it is owed its answer
        proxy.until(lambda: client.read() in (REFUSED, FAILED) and client.end)


def test_a_client_that_leaves_between_the_pick_and_the_write_has_nothing_sent_for_it(loopback, monkeypatch):
    # Its end stood unread in the system's buffer, and the line went out after it.
    proxy = loopback()
    client = proxy.open_session()
    begun = Channel.connect.__func__

    def leave_then_dial(cls, *values):
        if values[1][1] == proxy.endpoints["a"].port:
            client.sock.close()
        return begun(cls, *values)

    monkeypatch.setattr(Channel, "connect", classmethod(leave_then_dial))
    proxy.until(lambda: proxy.counts["clients gone before an answer"] == 1)
    assert proxy.counts["dials"] == 1 and not proxy.counts["dials written whole"]
    proxy.until(lambda: proxy.endpoints["a"].accept())
    assert nothing_sent(proxy, proxy.endpoints["a"])


def test_a_stop_that_ends_between_the_pick_and_the_write_refuses_and_sends_nothing(loopback, monkeypatch):
    # The line went out, and a once-only session that need not have run was torn down.
    proxy = loopback(listeners={"calls": replace(PATIENT, idempotency=Idempotency.NON_IDEMPOTENT)})
    client = proxy.open_session(wait=4000)
    ready = Channel.ready

    def stop_as_it_comes_up(channel, events):
        if channel.connecting and channel.sock.getpeername()[1] == proxy.endpoints["a"].port:
            for session in proxy.proxy.sessions.table.live:
                session.stop()
        ready(channel, events)

    monkeypatch.setattr(Channel, "ready", stop_as_it_comes_up)
    proxy.until(lambda: client.read() and client.end)
    assert client.received == REFUSED and nothing_sent(proxy, proxy.endpoints["a"])


def test_a_repeat_whose_window_passes_while_the_connection_comes_up_is_not_sent(late):
    # The window was looked at when the server was picked, a whole connect time before the write.
    keyed = replace(
        PATIENT,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=0.9,
    )
    proxy = late("ab", listeners={"calls": keyed})
    tell(proxy, 9, ("a", "leaving"), ("b",))
    client = proxy.open_session(wait=4000)
    first = proxy.until(lambda: proxy.endpoints["b"].connection())
    tell(proxy, 10, ("a",), ("b", "leaving"))
    first.send(FAILED)
    proxy.until(lambda: proxy.counts["dials"] == 2)
    proxy.run_for(0.02)
    proxy.endpoints["a"].let_in()
    proxy.until(lambda: client.read() and client.end)
    assert client.received == REFUSED and nothing_sent(proxy, proxy.endpoints["a"])


def test_a_request_with_hardly_any_time_left_as_its_connection_comes_up_is_refused_unsent(late, monkeypatch):
    # Held up for a moment the line would go out after the client's end.
    monkeypatch.setattr("onyxhollow.policy.retry.MIN_SECONDS_LEFT", 1.0)  # the connection takes a second
    proxy = late("a")
    client = proxy.open_session(wait=1900)
    connecting(proxy).endpoints["a"].let_in()
    proxy.until(lambda: client.read() and client.end)
    assert client.received == REFUSED and nothing_sent(proxy, proxy.endpoints["a"])


@pytest.mark.parametrize("how", ["close", "half-close"])
def test_a_client_that_leaves_the_queue_is_not_served_when_there_is_room_at_last(loopback, how):
    proxy = loopback(known=False)
    client = proxy.open_session()
    proxy.until(lambda: proxy.counts["sessions taken"] == 1)
    client.sock.close() if how == "close" else client.sock.shutdown(socket.SHUT_WR)
    left = time.monotonic()
    if how == "half-close":  # it was closed with no answer: read, it was owed one
        proxy.until(lambda: client.read() == REFUSED and client.end)
    proxy.until(lambda: not proxy.proxy.sessions.active_count)
    assert time.monotonic() - left < 0.1
    proxy.answer_list(json.dumps({"seq": 8, "whole": True, "hosts": [proxy.list_record("a")]}).encode())
    proxy.until(lambda: proxy.proxy.discovery.version == 8)
    proxy.run_for(0.1)
    assert not proxy.counts["dials"]


# connections that have asked for nothing


@pytest.mark.parametrize("said", [b"", b"PING\r\n"])
def test_a_request_that_crosses_the_end_of_a_resting_connection_finds_its_answer(loopback, monkeypatch, said):
    # Read after the end of sending it could not be answered any more, and the connection was closed.
    monkeypatch.setattr(first_line, "FIRST_LINE_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(first_line, "AFTER_PING_TIMEOUT_SECONDS", 0.2)
    proxy = loopback()
    client = proxy.client(said)
    ends = Channel.finish

    def cross(channel, *values):
        client.send(b"OPEN 9b1f 7f3a c=calls,d=2000\r\n")
        ends(channel, *values)

    monkeypatch.setattr(Channel, "finish", cross)
    proxy.until(lambda: client.read() and client.end)
    assert client.received == said.replace(b"I", b"O") + REFUSED and client.end == "closed"
    assert not proxy.counts["dials"]


def test_a_request_that_comes_as_its_resting_connection_is_to_be_ended_is_served(loopback, monkeypatch):
    monkeypatch.setattr(first_line, "FIRST_LINE_TIMEOUT_SECONDS", 0.2)
    proxy = loopback()
    client = proxy.client()
    proxy.until(lambda: proxy.proxy.sessions.table.live)
    time.sleep(0.25)  # the process stands still: the end is due
    listen = proxy.proxy.loop.epoll.poll
    client.send(b"OPEN 9b1f 7f3a c=calls,d=2000\r\n")
    proxy.proxy.loop.epoll = _Blind(proxy.proxy.loop.epoll)  # the turn in which it comes is not told of it
    proxy.proxy.loop.turn(0.0)
    proxy.proxy.loop.turn(0.0)
    proxy.proxy.loop.epoll = listen.__self__
    proxy.until(lambda: proxy.endpoints["a"].connection())
    assert not client.read() and not client.end


class _Blind:
    """An epoll that tells of nothing."""

    def __init__(self, epoll):
        self.epoll = epoll

    def poll(self, _):
        return []

    def __getattr__(self, name):
        return getattr(self.epoll, name)


def test_a_request_that_crosses_an_eviction_for_room_finds_its_answer(loopback, monkeypatch):
    monkeypatch.setattr(session_registry, "NEW_CONNECTION_GRACE_SECONDS", 0.0)
    proxy = loopback(sockets=OWN_DESCRIPTORS + 10)
    first = proxy.client(b"PING\r\n")
    proxy.until(lambda: first.read() == b"PONG\r\n")
    shut = Channel.close

    def cross(channel):
        if channel.sock.fileno() >= 0 and channel.sock.getpeername() == first.sock.getsockname():
            first.received = b""
            first.read()
            first.send(b"OPEN 9b1f 7f3a c=calls,d=2000\r\n")
        shut(channel)

    monkeypatch.setattr(Channel, "close", cross)
    others = [proxy.client(b"PING\r\n") for _ in range(12)]
    proxy.until(lambda: proxy.counts["idle connections closed for room"] and first.read() and first.end)
    assert first.received == REFUSED and len(others) == 12


def test_a_last_answer_that_its_client_reads_slowly_is_not_given_up_for_room(loopback, monkeypatch):
    monkeypatch.setattr(session_registry, "CLOSING_GRACE_SECONDS", 0.0)
    proxy = loopback(sockets=OWN_DESCRIPTORS + 16)
    client, server = proxy.established()
    (live,) = proxy.proxy.sessions.table.live
    live.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    line = b"m" + b"x" * 4000 + b"\r\n"
    server.sock.settimeout(0.01)
    while not live.client.outgoing:
        try:
            server.sock.sendall(line)
        except TimeoutError:
            proxy.run_for(0.01)
    live.handle.decisions.migrate(live.handle)
    proxy.until(lambda: not proxy.proxy.sessions.table.live and proxy.proxy.pool.closing)
    monkeypatch.setattr(session_registry, "NEW_CONNECTION_GRACE_SECONDS", 0.0)
    others = [proxy.client(b"PING\r\n") for _ in range(40)]
    proxy.until(lambda: sum(bool(peer.read() and peer.end) for peer in others) > 20)
    proxy.until(lambda: client.read().endswith(b"MOVE\r\n") and client.end == "closed")


# the end of the process


def test_all_that_stands_in_the_listeners_queue_at_the_stop_is_answered(loopback, monkeypatch):
    # One bounded accept was made before it was closed; the system reset the rest.
    proxy = loopback(sockets=1000, known=False)
    clients, ends = [], ClientAcceptor.stop_listening

    def rush(inner, *values):
        clients.extend(proxy.open_session() for _ in range(200))
        return ends(inner, *values)

    monkeypatch.setattr(ClientAcceptor, "stop_listening", rush)
    proxy.proxy.shutdown.stop_time = 0.9
    proxy.proxy.loop.spawn(proxy.proxy.shutdown.run())
    proxy.until(lambda: not proxy.proxy.loop.running, within=4)
    assert [client.read() for client in clients] == [REFUSED] * 200


def test_a_queue_that_no_descriptor_is_left_for_is_answered_by_the_end_of_the_stop(loopback, monkeypatch):
    monkeypatch.setattr(session_registry, "NEW_CONNECTION_GRACE_SECONDS", 0.0)
    proxy = loopback(sockets=OWN_DESCRIPTORS + 100, known=False)
    clients, ends = [], ClientAcceptor.stop_listening

    def rush(inner, *values):
        clients.extend(proxy.open_session(wait=300) for _ in range(150))
        return ends(inner, *values)

    monkeypatch.setattr(ClientAcceptor, "stop_listening", rush)
    proxy.proxy.shutdown.stop_time = 2.5
    proxy.proxy.loop.spawn(proxy.proxy.shutdown.run())
    proxy.until(lambda: not proxy.proxy.loop.running, within=5)
    assert proxy.counts["accepts put off for want of room"]
    assert [client.read() for client in clients] == [REFUSED] * 150


def test_two_signals_to_end_at_once_begin_one_stop_and_one_during_the_start_is_not_lost(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    listener = {"name": "calls", "semantics": "read_like", "handshakeTargetNs": 3e8, "dialTimeoutNs": 6e8}
    told = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:9",
        "settings": {"listeners": [listener], "rules": {}},
    }
    path = tmp_path / "config.json"
    os.mkfifo(path)  # who reads it stands still until it is written
    words = [sys.executable, "-O", "-m", "onyxhollow", "serve", "--config", str(path)]
    program = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    try:
        with open(path, "wb") as file:  # opens once the program has opened its end
            (tmp_path / "next").write_text(json.dumps(told))
            os.replace(tmp_path / "next", path)  # to be read again
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                program.send_signal(number)
            file.write(json.dumps(told).encode())
        out, errors = program.communicate(timeout=10)
    finally:
        program.kill()
    events = [json.loads(line)["event"] for line in out.splitlines()]
    assert program.returncode == 0 and errors == b""
    assert events.count("stop") == events.count("stopped") == 1 and "reload" in events


# watches of the list


def test_each_watch_that_falls_silent_is_followed_by_another_also_at_a_service_that_was_busy(loopback):
    # After a call turned away the service counted as a busy one: 3.5 s past the wait. A second silence in a
    # row was a failure, and a pause came before the next call. What was missed counts as told after 2 s.
    proxy = loopback(max_poll_interval=0.6)
    proxy.answer_list(b"", b"503 No")
    proxy.until(lambda: proxy.counts["list failures"] == 1)
    came = []
    for count in (2, 3, 4):
        proxy.until(lambda n=count: proxy.list_service.connection(n), within=2.4)
        came.append(time.monotonic())
    assert all(1.0 < later - sooner < 1.9 for sooner, later in zip(came, came[1:], strict=False))
    proxy.answer_list(EMPTY_LIST, count=4)
    proxy.until(lambda: proxy.proxy.discovery.version == 8)


def test_a_connection_to_the_list_that_never_comes_up_is_followed_by_another(loopback, monkeypatch):
    # It was waited for as long as the watch that it was made for.
    monkeypatch.setattr(discovery_connection, "CONNECT_TIMEOUT", 0.3)
    proxy = loopback(max_poll_interval=20.0)
    proxy.list_service = LateServer()
    proxy.follow_list_of(proxy.list_service)
    proxy.until(lambda: proxy.counts["list calls"] >= 3, within=2.0)
    proxy.list_service.let_in()
    proxy.until(lambda: any(peer.read() for peer in proxy.list_service.peers) or proxy.list_service.accept())


def test_an_answer_that_trickles_without_end_is_given_up_as_one_that_never_came(loopback):
    proxy = loopback(max_poll_interval=0.6)
    first = proxy.until(lambda: proxy.list_service.connection())
    came = time.monotonic()
    first.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
    while not proxy.list_service.connection(2):
        assert time.monotonic() - came < 2.4
        if not first.end:
            first.send(b" ")
        proxy.run_for(0.02)
        first.read()


def test_where_the_list_is_pushed_no_client_is_taken_by_what_the_file_knew(loopback):
    # What the list's service has counts as told from the first moment of a process.
    proxy = loopback("ab", list_is_polled=False)
    client = proxy.open_session()
    proxy.until(lambda: proxy.list_service.connection())
    proxy.run_for(0.1)
    rows = [proxy.list_record("a", "leaving"), proxy.list_record("b")]
    proxy.answer_list(json.dumps({"seq": 8, "whole": False, "hosts": rows}).encode())
    proxy.until(lambda: proxy.endpoints["b"].connection()).send(b"UP r1\r\n")
    proxy.until(lambda: client.read() == b"UP r1\r\n")
    assert not proxy.endpoints["a"].accept() and proxy.counts["dials"] == 1


def test_where_the_list_is_pushed_and_its_service_is_down_clients_are_taken_all_the_same(loopback):
    proxy = loopback("a", list_is_polled=False)
    proxy.list_service.sock.close()
    proxy.follow_list_of(proxy.list_service)
    client = proxy.open_session()
    proxy.until(lambda: proxy.endpoints["a"].connection()).send(b"UP r1\r\n")
    proxy.until(lambda: client.read() == b"UP r1\r\n")
