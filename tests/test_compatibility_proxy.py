"""What processes of other builds have written is read as it was meant, and written back to the same bytes.

The recordings in data/compatibility/proxy are frozen: they were written before a renaming of the code, and no
change of the code may ask for others. Names of the code stand in the first part alone; below it there are
only the words of the wire and of the files.
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
MEANING = json.loads((DATA / "meaning.json").read_bytes())  # under names of this test
AT, TOKEN = 5000.0, "4242-5001000000000"  # the moment of the recordings; process and moment of a successor

# names of the code


def read_recorded_config():
    return read_config(str(DATA / "config.json"))


def make_proxy(config, given, handover):
    """As `serve` does."""
    return Proxy(
        replace(config, management=None),
        os.open(os.devnull, os.O_WRONLY),
        lambda: config,
        given,
        handover,
    )


def settings_told(config):
    """Everything that a configuration told, under names of this test."""
    s = config.settings
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
        "hosts": [entry_told(entry, config.clock) for entry in config.known.endpoints],
        "me": s.instance_index,
        "peersTotal": s.instance_count,
        "zone": s.zone,
        "on_request": s.list_is_polled,
        "live": s.live_weights,
        "overageUtility": s.over_quota_utility,
        "charges": (s.health_check_price, s.cross_zone_price),
        "ceilings": (s.max_attempts, s.health_checks, s.cancellation, s.max_retry_after),
        "rules": (
            s.max_poll_interval,
            s.slow_start_time,
            s.slow_start_share,
            s.overload_multiple,
            s.overload_window,
        ),
        "groups": s.group_affinity,
        "load field": s.load_field,
        "tenants": {
            name: (row.name, row.quota_share, row.connection_quota) for name, row in s.tenants.items()
        },
        "listeners": {name: listener_told(row) for name, row in s.listeners.items()},
    }


def entry_told(e, clock):
    born = clock.starts[e.name][0] if e.started_at is not None else None
    return e.name, e.state.value, e.weight, e.zone, e.cell, e.machine_type, born


def listener_told(row):
    times = row.handshake_objective, row.attempt_timeout, row.deduplication_window, row.message_objective
    return row.name, row.idempotency.value, row.deduplication_scope.value, row.utility, times


def connection_told(record):
    """Everything that the record of a connection told."""
    c = ConnectionHandoff.decode(record)
    return {
        "line": c.request.line,
        "opening": (c.request.session_id, c.request.listener, c.request.tenant, c.request.group),
        "figures": (c.request.time_left, c.request.load),
        "listener": listener_told(c.listener),
        "server": c.endpoint,
        "times": (c.started_at, c.last_echo_at, c.in_flight),
        "load": c.load,
        "last": c.final_word,
        "read": c.unread,
        "unsent": c.unsent,
    }


def server_told(s, proxy):
    """What the decisions know of one server."""
    b, now = proxy.decisions.balancer, proxy.loop.now
    figures = [
        (f.value, now - f.updated_at) if f.value else None for f in (s.handshake_time, s.message_delay)
    ]
    tokens = b.slow_start.tokens[s][0] if s in b.slow_start.tokens else None
    return (
        (s.state.value, s.zone, s.cell, s.machine_type, s.size, s.started_at, proxy.addresses.find(s.name)),
        (len(s.connections), s.ever_used, s.load, now - s.load_reported_at)
        + (s.outlier_score(now), now - s.overloaded_at),
        *figures,
        (s.arrival.count, s.arrival.moved, tokens) if s.arrival else None,
    )


def known(proxy):
    """What all decisions know."""
    b, now = proxy.decisions.balancer, proxy.loop.now
    return {
        "setting_up": (b.handshake_time.value, now - b.handshake_time.updated_at),
        "taken": (b.slow_start.rate(now), now - b.slow_start.since),
        "seq": proxy.discovery.version,
        "servers": {name: server_told(s, proxy) for name, s in b.tracked.items()},
    }


def picture_told(s):
    """The picture of a fleet as topology draws and checks it."""
    return {
        "members": {name: (m.incarnation, m.state, m.zone, m.is_voter) for name, m in s.members().items()},
        "servers": {name: (r.state, r.load, r.load_age, r.connections) for name, r in s.endpoints().items()},
        "duties": {name: (d.term, d.holder, d.local_state) for name, d in s.leases().items()},
        "views": [
            (v.name, v.zone, v.version, v.service_phase, v.stalled_seconds, v.stalled_ago) for v in s.views
        ],
        "addresses": [(a.address, a.site, a.preference, a.cause) for a in s.addresses().values()],
        "links": [(k.peer, k.probes, k.loss, k.rtt_ms) for v in s.views for k in v.links],
        "silent": [(one.target, one.reason) for one in s.unreachable],
        "flows": s.connections_by_zone(),
    }


class Successor:
    """A process that starts where an old one serves, its clock at the recordings' moment. The old one is
    played by this test: it holds the files' locks and says nothing but recorded bytes."""

    def __init__(self, folder, clock):
        self.folder, self.clock = folder, clock
        self.old = Handover(str(folder))
        listener = open_inherited_socket(str(os.dup(socket.create_server(("127.0.0.1", 0)).detach())))
        self.proxy = make_proxy(read_recorded_config(), listener, Handover(str(folder)))

    def until(self, seen, within=3.0):
        for _ in range(int(within / 0.002)):
            if got := seen():
                return got
            self.proxy.loop.turn(0.002)
        raise AssertionError(f"not seen; {dict(self.proxy.counters.counts)}")

    def said(self):
        """What the successor has written for the old process, with the folder's name taken out."""
        return (
            (self.folder / "onyxhollow-successor").read_bytes().replace(str(self.folder).encode(), b"FOLDER")
        )

    def take_state(self):
        """At the very moment at which it was written, where the clock then stands."""
        self.until(lambda: b"starting" in self.said())
        self.proxy.loop.turn(0.0)
        self.clock.stand()
        (self.folder / "onyxhollow-state").write_bytes((DATA / "state.jsonl").read_bytes())
        self.until(lambda: self.proxy.discovery.version == 41)

    def take_connection(self, client, server):
        """Over the socket that the successor names: the record and two descriptors."""
        sender = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sender.connect(str(self.folder / f"onyxhollow-{TOKEN}"))
        socket.send_fds(sender, [(DATA / "connection.json").read_bytes()], [client.fileno(), server.fileno()])
        sender.setblocking(False)

        def answered():
            with contextlib.suppress(BlockingIOError):
                return sender.recv(64)

        assert self.until(answered) == b"1 taken"
        client.close()
        server.close()
        return sender

    def hand_over(self, rows):
        """What it writes down for a successor of its own. rows: what the service has told it of the list."""
        self.proxy.discovery.records = rows
        self.proxy.replacement.write_state(TOKEN)
        return (self.folder / "onyxhollow-state").read_bytes()

    def pass_on(self, path):
        until = self.proxy.loop.now + 5.0 - STOP_MARGIN_SECONDS
        self.proxy.loop.spawn(self.proxy.replacement.hand_off_connections(path, until))

    def close(self):
        for fd in list(self.proxy.loop.watched):
            self.proxy.loop.watch(fd, 0, None)
        self.proxy.loop.epoll.close()
        self.proxy.listener.close()


class Clock:
    """The machine's monotonic clock, as it would show the recordings' moment; it stands still if told to."""

    def __init__(self):
        self.real, self.base, self.stands = time.monotonic, AT - 0.5, False
        self.began = self.real()

    def __call__(self):
        return self.base if self.stands else self.base + self.real() - self.began

    def stand(self):
        self.base, self.stands = AT, True

    def go_on(self):
        self.began, self.stands = self.real(), False


@pytest.fixture
def successor(tmp_path, monkeypatch):
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    monkeypatch.setattr(time, "monotonic_ns", lambda: int(TOKEN.partition("-")[2]))
    monkeypatch.setattr(os, "getpid", lambda: int(TOKEN.partition("-")[0]))
    monkeypatch.setattr(replacement, "LIST_TIMEOUT_SECONDS", 0.2)  # nobody tells the list here
    monkeypatch.setattr(replacement, "STATE_TIMEOUT_SECONDS", 2.0)
    for name in [name for name in os.environ if name.startswith("LB_")]:
        monkeypatch.delenv(name)
    made = Successor(tmp_path, clock)
    yield made
    made.close()


def plain(told):
    """As JSON has it, floats as far as machines agree on them."""
    if isinstance(told, dict):
        return {name: plain(value) for name, value in told.items()}
    if isinstance(told, list | tuple):
        return [plain(value) for value in told]
    if isinstance(told, float):
        return round(told, 9) if math.isfinite(told) else "never"
    return told.decode("latin-1") if isinstance(told, bytes) else told


def page_shape(text):
    """Names, types and labels of a page of figures, in their order; all but the values."""
    return [line if line.startswith("#") else line.rpartition(" ")[0] for line in text.splitlines()]


def answers(loopback):
    """All that operators may ask, one after another: the whole answers, figures without their values."""
    calls = replace(CALLS, name="calls"), replace(CALLS, name="once", idempotency=Idempotency.NON_IDEMPOTENT)
    proxy = loopback(management=("127.0.0.1", 0), listeners={row.name: row for row in calls})
    proxy.establish()
    found = {}
    for place, call in enumerate(CONTROL):
        peer = proxy.connect_operator(f"{call} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        proxy.until(lambda peer=peer: peer.read() and peer.end)
        head, _, body = peer.received.decode().partition("\r\n\r\n")
        if "counters" in call:
            head, body = re.sub(r"Content-Length: \d+", "Content-Length: N", head), page_shape(body)
        found[f"{place} {call}"] = [head.splitlines(), body]
    return found


CONTROL = [
    *("GET /control/ready", "HEAD /control/ready", "POST /control/ready", "GET /control/counters"),
    *("POST /control/out-of-service", "GET /control/ready", "GET /control/out-of-service"),
    *("POST /control/in-service", "GET /control/ready", "GET /control/in-service", "GET /control/other"),
]
EVENTS = {  # all that a picture is made of
    *("fleet", "member", "duty", "list", "probe", "list rests", "list asks", "address", "stalled"),
    *("out of service", "in service", "stop", "start", "stopped"),
}

# the tests


def test_state_of_another_build_is_taken_over_and_written_back(successor):
    text = (DATA / "state.jsonl").read_bytes()
    successor.take_state()
    assert plain(known(successor.proxy)) == MEANING["state"]
    rows = json.loads(text.splitlines()[0])["common"]["list"]["hosts"]
    assert successor.hand_over({row["host"]: row for row in rows}) == text
    assert encode_state(TOKEN, AT, *decode_state(text, TOKEN, AT + 1.0)) == text


def test_a_process_of_another_build_is_replaced_and_its_connections_go_on(successor):
    """Over the files, the socket and the descriptors of a replacement; the old process is bytes."""
    words = (DATA / "words.jsonl").read_bytes().splitlines()
    successor.until(lambda: successor.said() == words[0])
    successor.take_state()
    successor.clock.go_on()
    successor.until(lambda: successor.said() == words[1])
    assert sorted(os.listdir(successor.folder)) == sorted(
        ["onyxhollow-serving", "onyxhollow-successor", "onyxhollow-state", f"onyxhollow-{TOKEN}"]
    )
    found = plain(known(successor.proxy))
    assert (found["seq"], found["taken"][0]) == (41, pytest.approx(5.6, rel=0.2))
    for name, row in found["servers"].items():  # all is known as before, a moment older
        was = MEANING["state"]["servers"][name]
        assert row[0] == was[0] and row[4] == was[4] and row[1][:3] == was[1][:3]
        assert row[1][4] >= 0.7 * was[1][4]  # distrust: nobody answers probes here, which may add to it
        assert [one and one[0] for one in row[2:4]] == [one and one[0] for one in was[2:4]]
    (client, near), (server, far) = socket.socketpair(), socket.socketpair()
    successor.take_connection(near, far)
    client, server = Peer(client), Peer(server)
    client.send(b"\r\n")
    server.send(b" 1\r\n")
    to_client, to_server = (line.encode("latin-1") for line in MEANING["connection"]["unsent"])
    successor.until(lambda: server.read() == to_server + b"m 2\r\n")
    successor.until(lambda: client.read() == to_client + b"m 1\r\n")
    found = plain(known(successor.proxy))["servers"]
    assert {name: row[1][0] for name, row in found.items()} == {"a": 1, "b": 0, "c": 0, "d": 0, "e": 0}


def fill(sock):
    """Until nothing more goes."""
    sock.setblocking(False)
    for size in (65536, 1024, 32, 1):
        with contextlib.suppress(BlockingIOError):
            while sock.send(b"x" * size):
                pass


def test_the_record_of_a_connection_is_read_and_written_back(successor):
    text = (DATA / "connection.json").read_bytes()
    assert plain(connection_told(json.loads(text))) == MEANING["connection"]
    successor.take_state()
    successor.clock.go_on()
    successor.until(lambda: b"taking" in successor.said())
    (client, near), (server, far) = socket.socketpair(), socket.socketpair()
    fill(near)
    fill(far)
    successor.take_connection(near, far)
    path = str(successor.folder / "next")
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    listener.bind(path)
    listener.listen(1)
    successor.pass_on(path)
    successor.until(lambda: select.select([listener], [], [], 0)[0])
    taker, _ = listener.accept()
    successor.until(lambda: select.select([taker], [], [], 0)[0])
    message, fds, _, _ = socket.recv_fds(taker, 1 << 18, 4)
    assert message == text
    for fd, far_end in zip(fds, (client, server), strict=True):  # in their order
        far_end.setblocking(False)
        far_end.recv(1 << 20)
        socket.socket(fileno=fd).send(f"{far_end.fileno()}".encode())
        assert far_end.recv(1 << 20).endswith(f"{far_end.fileno()}".encode())


def test_operators_calls_and_the_page_of_figures_are_as_recorded(loopback):
    assert answers(loopback) == json.loads((DATA / "control.json").read_bytes())


def test_a_snapshot_file_is_read_and_written_back():
    body = (DATA / "snapshot.oxt").read_bytes()
    found = snapshot_file.read(DATA / "snapshot.oxt")
    unpacked = [zstandard.ZstdDecompressor().decompress(row[8:]) for row in (body, snapshot_file.pack(found))]
    assert body[:8] == snapshot_file.pack(found)[:8] == b"OXTOPO01" and unpacked[0] == unpacked[1]
    assert msgspec.to_builtins(found) == json.loads((DATA / "snapshot.json").read_bytes())
    assert plain(picture_told(found)) == MEANING["snapshot"]


def test_a_log_of_an_older_build_gives_the_same_picture(monkeypatch):
    monkeypatch.chdir(DATA)
    kinds = {json.loads(line)["event"] for line in Path("log.jsonl").read_bytes().splitlines()}
    assert kinds >= EVENTS
    found = logs.read([Path("log.jsonl")])
    assert msgspec.to_builtins(found) == json.loads(Path("log-picture.json").read_bytes())
    assert plain(picture_told(found)) == MEANING["log"]


def test_a_configuration_with_every_key_is_read_as_it_was(monkeypatch):
    for name in [name for name in os.environ if name.startswith("LB_")]:
        monkeypatch.delenv(name)
    assert plain(settings_told(read_recorded_config())) == MEANING["config"]
