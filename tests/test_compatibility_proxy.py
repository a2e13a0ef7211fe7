"""Tests that the proxy decodes the files and messages of other builds and encodes them to the same bytes.

The recordings in data/compatibility/proxy were written by an earlier build, and no change of the code may
require new ones. Only the first part of this file uses names of the code, so that a rename changes
nothing else.
"""

import contextlib
import json
import math
import os
import re
import select
import socket
import time
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
import zstandard
from peers import CALLS, Peer

from onyxhollow.interface import Idempotency
from onyxhollow.lifecycle import replacement
from onyxhollow.lifecycle.config import read_config
from onyxhollow.lifecycle.handover import Handover, decode_state, encode_state, open_inherited_socket
from onyxhollow.lifecycle.limits import STOP_MARGIN_SECONDS
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.topology import logs, snapshot_file
from onyxhollow.wire.connection_handoff import ConnectionHandoff

DATA = Path(__file__).parent / "data" / "compatibility" / "proxy"
MEANING = json.loads((DATA / "meaning.json").read_bytes())  # decoded values, under the keys of this test
# Monotonic time of the recordings, and the successor's process id and start time in nanoseconds.
RECORDED_AT, TOKEN = 5000.0, "4242-5001000000000"

# Functions that use names of the code.


def read_recorded_config():
    return read_config(str(DATA / "config.json"))


def make_proxy(config, listener, handover):
    """Create a proxy as `serve` does."""
    return Proxy(
        replace(config, management=None),
        os.open(os.devnull, os.O_WRONLY),
        lambda: config,
        listener,
        handover,
    )


def describe_settings(config):
    """Return all values of a configuration, under the keys of this test."""
    settings = config.settings
    return {
        "name": config.name,
        "listen": config.listen,
        "discovery": config.discovery,
        "management": config.management,
        "seed": config.seed,
        "sockets": config.max_sockets,
        "memory": config.memory_bytes,
        "connect": config.connect_timeout,
        "probe": config.health_check_timeout,
        "seq": config.known.version,
        "whole": config.known.is_snapshot,
        "dials": config.known.addresses,
        "hosts": [describe_endpoint(entry, config.clock) for entry in config.known.endpoints],
        "me": settings.instance_index,
        "peersTotal": settings.instance_count,
        "zone": settings.zone,
        "on_request": settings.list_is_polled,
        "live": settings.live_weights,
        "overageUtility": settings.over_quota_utility,
        "charges": (settings.health_check_price, settings.cross_zone_price),
        "ceilings": (
            settings.max_attempts,
            settings.health_checks,
            settings.cancellation,
            settings.max_retry_after,
        ),
        "rules": (
            settings.max_poll_interval,
            settings.slow_start_time,
            settings.slow_start_share,
            settings.overload_multiple,
            settings.overload_window,
        ),
        "groups": settings.group_affinity,
        "load field": settings.load_field,
        "tenants": {
            name: (row.name, row.quota_share, row.connection_quota) for name, row in settings.tenants.items()
        },
        "listeners": {name: describe_listener(row) for name, row in settings.listeners.items()},
    }


def describe_endpoint(endpoint, clock):
    started = clock.starts[endpoint.name][0] if endpoint.started_at is not None else None
    return (
        endpoint.name,
        endpoint.state.value,
        endpoint.weight,
        endpoint.zone,
        endpoint.cell,
        endpoint.machine_type,
        started,
    )


def describe_listener(row):
    times = row.handshake_objective, row.attempt_timeout, row.deduplication_window, row.message_objective
    return row.name, row.idempotency.value, row.deduplication_scope.value, row.utility, times


def describe_connection(record):
    """Return all values of a connection record, under the keys of this test."""
    handoff = ConnectionHandoff.decode(record)
    return {
        "line": handoff.request.line,
        "opening": (
            handoff.request.session_id,
            handoff.request.listener,
            handoff.request.tenant,
            handoff.request.group,
        ),
        "figures": (handoff.request.time_left, handoff.request.load),
        "listener": describe_listener(handoff.listener),
        "server": handoff.endpoint,
        "times": (handoff.started_at, handoff.last_echo_at, handoff.in_flight),
        "load": handoff.load,
        "last": handoff.final_word,
        "read": handoff.unread,
        "unsent": handoff.unsent,
    }


def describe_tracked_endpoint(endpoint, proxy):
    """Return the policy's state for one endpoint."""
    balancer, now = proxy.decisions.balancer, proxy.loop.now
    averages = [
        (average.value, now - average.updated_at) if average.value else None
        for average in (endpoint.handshake_time, endpoint.message_delay)
    ]
    tokens = balancer.slow_start.tokens[endpoint][0] if endpoint in balancer.slow_start.tokens else None
    return (
        (
            endpoint.state.value,
            endpoint.zone,
            endpoint.cell,
            endpoint.machine_type,
            endpoint.size,
            endpoint.started_at,
            proxy.addresses.find(endpoint.name),
        ),
        (len(endpoint.connections), endpoint.ever_used, endpoint.load, now - endpoint.load_reported_at)
        + (endpoint.outlier_score(now), now - endpoint.overloaded_at),
        *averages,
        (endpoint.arrival.count, endpoint.arrival.moved, tokens) if endpoint.arrival else None,
    )


def describe_state(proxy):
    """Return the policy's state, with that of every endpoint."""
    balancer, now = proxy.decisions.balancer, proxy.loop.now
    return {
        "setting_up": (balancer.handshake_time.value, now - balancer.handshake_time.updated_at),
        "taken": (balancer.slow_start.rate(now), now - balancer.slow_start.since),
        "seq": proxy.discovery.version,
        "servers": {
            name: describe_tracked_endpoint(endpoint, proxy) for name, endpoint in balancer.tracked.items()
        },
    }


def describe_topology(snapshot):
    """Return the fleet's topology as it is drawn and checked."""
    return {
        "members": {
            name: (m.incarnation, m.state, m.zone, m.is_voter) for name, m in snapshot.members().items()
        },
        "servers": {
            name: (r.state, r.load, r.load_age, r.connections) for name, r in snapshot.endpoints().items()
        },
        "duties": {name: (d.term, d.holder, d.local_state) for name, d in snapshot.leases().items()},
        "views": [
            (v.name, v.zone, v.version, v.service_phase, v.stalled_seconds, v.stalled_ago)
            for v in snapshot.views
        ],
        "addresses": [(a.address, a.site, a.preference, a.cause) for a in snapshot.addresses().values()],
        "links": [(k.peer, k.probes, k.loss, k.rtt_ms) for v in snapshot.views for k in v.links],
        "silent": [(member.target, member.reason) for member in snapshot.unreachable],
        "flows": snapshot.connections_by_zone(),
    }


class Successor:
    """A process that starts as the successor of a serving one, at the time of the recordings.

    The test acts as the predecessor: it holds the locks of the files and writes only recorded bytes.
    """

    def __init__(self, folder, clock):
        self.folder, self.clock = folder, clock
        self.predecessor = Handover(str(folder))
        listener = open_inherited_socket(str(os.dup(socket.create_server(("127.0.0.1", 0)).detach())))
        self.proxy = make_proxy(read_recorded_config(), listener, Handover(str(folder)))

    def wait_until(self, condition, timeout=3.0):
        for _ in range(int(timeout / 0.002)):
            if result := condition():
                return result
            self.proxy.loop.turn(0.002)
        raise AssertionError(f"condition not met in time; {dict(self.proxy.counters.counts)}")

    def written(self):
        """Return what the successor wrote for the predecessor, with the folder's name replaced."""
        return (
            (self.folder / "onyxhollow-successor").read_bytes().replace(str(self.folder).encode(), b"FOLDER")
        )

    def restore_state(self):
        """Restore the recorded state at the time of the recording, and freeze the clock there."""
        self.wait_until(lambda: b"starting" in self.written())
        self.proxy.loop.turn(0.0)
        self.clock.freeze()
        (self.folder / "onyxhollow-state").write_bytes((DATA / "state.jsonl").read_bytes())
        self.wait_until(lambda: self.proxy.discovery.version == 41)

    def adopt_connection(self, client, server):
        """Send the connection record and both descriptors to the socket that the successor names."""
        sender = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sender.connect(str(self.folder / f"onyxhollow-{TOKEN}"))
        socket.send_fds(sender, [(DATA / "connection.json").read_bytes()], [client.fileno(), server.fileno()])
        sender.setblocking(False)

        def receive_answer():
            with contextlib.suppress(BlockingIOError):
                return sender.recv(64)

        assert self.wait_until(receive_answer) == b"1 taken"
        client.close()
        server.close()
        return sender

    def write_state(self, rows):
        """Return the state that it writes for the next successor; `rows` are its endpoint list."""
        self.proxy.discovery.records = rows
        self.proxy.replacement.write_state(TOKEN)
        return (self.folder / "onyxhollow-state").read_bytes()

    def hand_off_connections(self, path):
        deadline = self.proxy.loop.now + 5.0 - STOP_MARGIN_SECONDS
        self.proxy.loop.spawn(self.proxy.replacement.hand_off_connections(path, deadline))

    def close(self):
        for fd in list(self.proxy.loop.watched):
            self.proxy.loop.watch(fd, 0, None)
        self.proxy.loop.epoll.close()
        self.proxy.listener.close()


class Clock:
    """A monotonic clock that starts shortly before the time of the recordings and can be frozen."""

    def __init__(self):
        self.real_clock, self.base_time, self.frozen = time.monotonic, RECORDED_AT - 0.5, False
        self.resumed_at = self.real_clock()

    def __call__(self):
        return self.base_time if self.frozen else self.base_time + self.real_clock() - self.resumed_at

    def freeze(self):
        self.base_time, self.frozen = RECORDED_AT, True

    def resume(self):
        self.resumed_at, self.frozen = self.real_clock(), False


@pytest.fixture
def successor(tmp_path, monkeypatch):
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    monkeypatch.setattr(time, "monotonic_ns", lambda: int(TOKEN.partition("-")[2]))
    monkeypatch.setattr(os, "getpid", lambda: int(TOKEN.partition("-")[0]))
    monkeypatch.setattr(replacement, "LIST_TIMEOUT_SECONDS", 0.2)  # no list service answers
    monkeypatch.setattr(replacement, "STATE_TIMEOUT_SECONDS", 2.0)
    for name in [name for name in os.environ if name.startswith("LB_")]:
        monkeypatch.delenv(name)
    process = Successor(tmp_path, clock)
    yield process
    process.close()


def to_json_values(value):
    """Return the value in JSON types; floats are rounded to the digits that all machines agree on."""
    if isinstance(value, dict):
        return {name: to_json_values(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_values(item) for item in value]
    if isinstance(value, float):
        return round(value, 9) if math.isfinite(value) else "never"
    return value.decode("latin-1") if isinstance(value, bytes) else value


def names_and_labels(text):
    """Return the names, types and labels of a metrics page in order, without the values."""
    return [line if line.startswith("#") else line.rpartition(" ")[0] for line in text.splitlines()]


def collect_control_responses(loopback):
    """Make all calls of the management API in order; return the responses, metrics without their values."""
    listeners = (
        replace(CALLS, name="calls"),
        replace(CALLS, name="once", idempotency=Idempotency.NON_IDEMPOTENT),
    )
    proxy = loopback(management=("127.0.0.1", 0), listeners={row.name: row for row in listeners})
    proxy.establish()
    responses = {}
    for index, call in enumerate(CONTROL_CALLS):
        peer = proxy.connect_operator(f"{call} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        proxy.until(lambda peer=peer: peer.read() and peer.end)
        head, _, body = peer.received.decode().partition("\r\n\r\n")
        if "counters" in call:
            head, body = re.sub(r"Content-Length: \d+", "Content-Length: N", head), names_and_labels(body)
        responses[f"{index} {call}"] = [head.splitlines(), body]
    return responses


CONTROL_CALLS = [
    *("GET /control/ready", "HEAD /control/ready", "POST /control/ready", "GET /control/counters"),
    *("POST /control/out-of-service", "GET /control/ready", "GET /control/out-of-service"),
    *("POST /control/in-service", "GET /control/ready", "GET /control/in-service", "GET /control/other"),
]
TOPOLOGY_EVENTS = {  # log events that a topology is built from
    *("fleet", "member", "duty", "list", "probe", "list rests", "list asks", "address", "stalled"),
    *("out of service", "in service", "stop", "start", "stopped"),
}

# Tests.


def test_state_of_another_build_is_restored_and_written_back_unchanged(successor):
    text = (DATA / "state.jsonl").read_bytes()
    successor.restore_state()
    assert to_json_values(describe_state(successor.proxy)) == MEANING["state"]
    rows = json.loads(text.splitlines()[0])["common"]["list"]["hosts"]
    assert successor.write_state({row["host"]: row for row in rows}) == text
    assert encode_state(TOKEN, RECORDED_AT, *decode_state(text, TOKEN, RECORDED_AT + 1.0)) == text


def test_a_successor_replaces_a_process_of_another_build_and_keeps_its_connections(successor):
    """The predecessor's side of the files, the socket and the descriptors is recorded bytes."""
    messages = (DATA / "words.jsonl").read_bytes().splitlines()
    successor.wait_until(lambda: successor.written() == messages[0])
    successor.restore_state()
    successor.clock.resume()
    successor.wait_until(lambda: successor.written() == messages[1])
    assert sorted(os.listdir(successor.folder)) == sorted(
        ["onyxhollow-serving", "onyxhollow-successor", "onyxhollow-state", f"onyxhollow-{TOKEN}"]
    )
    state = to_json_values(describe_state(successor.proxy))
    assert (state["seq"], state["taken"][0]) == (41, pytest.approx(5.6, rel=0.2))
    for name, row in state["servers"].items():  # the restored values, slightly older
        recorded = MEANING["state"]["servers"][name]
        assert row[0] == recorded[0] and row[4] == recorded[4] and row[1][:3] == recorded[1][:3]
        assert row[1][4] >= 0.7 * recorded[1][4]  # unanswered health checks can raise the outlier score
        assert [sample and sample[0] for sample in row[2:4]] == [
            sample and sample[0] for sample in recorded[2:4]
        ]
    (client, client_side), (server, server_side) = socket.socketpair(), socket.socketpair()
    successor.adopt_connection(client_side, server_side)
    client, server = Peer(client), Peer(server)
    client.send(b"\r\n")
    server.send(b" 1\r\n")
    to_client, to_server = (line.encode("latin-1") for line in MEANING["connection"]["unsent"])
    successor.wait_until(lambda: server.read() == to_server + b"m 2\r\n")
    successor.wait_until(lambda: client.read() == to_client + b"m 1\r\n")
    endpoints = to_json_values(describe_state(successor.proxy))["servers"]
    assert {name: row[1][0] for name, row in endpoints.items()} == {"a": 1, "b": 0, "c": 0, "d": 0, "e": 0}


def fill_send_buffer(sock):
    """Send until the buffer accepts no further byte."""
    sock.setblocking(False)
    for size in (65536, 1024, 32, 1):
        with contextlib.suppress(BlockingIOError):
            while sock.send(b"x" * size):
                pass


def test_a_connection_record_is_decoded_and_written_back_unchanged(successor):
    text = (DATA / "connection.json").read_bytes()
    assert to_json_values(describe_connection(json.loads(text))) == MEANING["connection"]
    successor.restore_state()
    successor.clock.resume()
    successor.wait_until(lambda: b"taking" in successor.written())
    (client, client_side), (server, server_side) = socket.socketpair(), socket.socketpair()
    fill_send_buffer(client_side)
    fill_send_buffer(server_side)
    successor.adopt_connection(client_side, server_side)
    path = str(successor.folder / "next")
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(path)
    listener.listen(1)
    successor.hand_off_connections(path)
    successor.wait_until(lambda: select.select([listener], [], [], 0)[0])
    receiver, _ = listener.accept()
    successor.wait_until(lambda: select.select([receiver], [], [], 0)[0])
    message, fds, _, _ = socket.recv_fds(receiver, 1 << 18, 4)
    assert message == text
    for fd, far_end in zip(fds, (client, server), strict=True):  # in this order
        far_end.setblocking(False)
        far_end.recv(1 << 20)
        socket.socket(fileno=fd).send(f"{far_end.fileno()}".encode())
        assert far_end.recv(1 << 20).endswith(f"{far_end.fileno()}".encode())


def test_management_responses_and_metrics_names_match_the_recording(loopback):
    assert collect_control_responses(loopback) == json.loads((DATA / "control.json").read_bytes())


def test_a_topology_snapshot_file_is_decoded_and_written_back_unchanged():
    body = (DATA / "snapshot.oxt").read_bytes()
    snapshot = snapshot_file.read(DATA / "snapshot.oxt")
    unpacked = [
        zstandard.ZstdDecompressor().decompress(row[8:]) for row in (body, snapshot_file.pack(snapshot))
    ]
    assert body[:8] == snapshot_file.pack(snapshot)[:8] == b"OXTOPO01" and unpacked[0] == unpacked[1]
    assert msgspec.to_builtins(snapshot) == json.loads((DATA / "snapshot.json").read_bytes())
    assert to_json_values(describe_topology(snapshot)) == MEANING["snapshot"]


def test_a_log_of_an_older_build_gives_the_recorded_topology(monkeypatch):
    monkeypatch.chdir(DATA)
    events = {json.loads(line)["event"] for line in Path("log.jsonl").read_bytes().splitlines()}
    assert events >= TOPOLOGY_EVENTS
    snapshot = logs.read([Path("log.jsonl")])
    assert msgspec.to_builtins(snapshot) == json.loads(Path("log-picture.json").read_bytes())
    assert to_json_values(describe_topology(snapshot)) == MEANING["log"]


def test_a_configuration_with_every_key_is_decoded_as_recorded(monkeypatch):
    for name in [name for name in os.environ if name.startswith("LB_")]:
        monkeypatch.delenv(name)
    assert to_json_values(describe_settings(read_recorded_config())) == MEANING["config"]
