"""Tests of the topology tool: faults, snapshot files, comparisons and drawings, also with real processes."""

import socket
import threading
import xml.dom.minidom

import msgspec
import pytest

from onyxhollow.lab import runs, scenario
from onyxhollow.lab.fleet.configuration_files import format_address
from onyxhollow.lab.fleet.process_cluster import ProcessCluster
from onyxhollow.lab.fleet.sites import Sites
from onyxhollow.topology import (
    commands,
    compare,
    draw,
    export,
    fault_types,
    gather,
    layout,
    logs,
    snapshot_file,
)
from onyxhollow.topology.faults import find_faults
from onyxhollow.topology.model import (
    AddressStatus,
    EndpointStatus,
    LeaseStatus,
    LinkStatus,
    MemberStatus,
    MemberView,
    Snapshot,
)
from onyxhollow.topology.scene import build_scene


def make_snapshot(count, zones=("a", "b"), servers=4, special_names=()):
    """Return a snapshot of a healthy fleet in which all members report all others as alive."""
    names = [*special_names, *(f"n{n}" for n in range(count - len(special_names)))]
    rows = [MemberStatus(name, 1, "alive", zones[n % len(zones)]) for n, name in enumerate(names)]
    endpoints = [
        EndpointStatus(f"s{n}", zones[n % len(zones)], connections=1, load=0.3, load_age=1.0)
        for n in range(servers)
    ]
    views = [
        MemberView(
            f"{row.name}~1",
            row.zone,
            "1",
            "in service",
            members=rows,
            endpoints=endpoints,
            links=[LinkStatus(other.name, 1, 0.5, 9, 0.0, 1.0) for other in rows if other is not row],
            leases=[LeaseStatus("voters", 3, f"{names[0]}~1", "holding" if n == 0 else "idle")],
        )
        for n, row in enumerate(rows)
    ]
    return Snapshot(1000.0, views)


def replace_states(snapshot, reporters, **states):
    """Return the snapshot with other member states in the views of the reporters."""
    replace = msgspec.structs.replace
    views = []
    for view in snapshot.views:
        rows = [replace(row, state=states.get(row.name, row.state)) for row in view.members]
        views.append(replace(view, members=rows) if view.name in reporters else view)
    return replace(snapshot, views=views)


def list_faults(snapshot):
    return [(fault.kind, fault.subjects) for fault in find_faults(snapshot)]


def test_a_healthy_fleet_has_no_fault_and_each_fault_is_reported_once():
    healthy = make_snapshot(6)
    assert list_faults(healthy) == [] and list_faults(Snapshot(1.0)) == []
    partitioned = replace_states(healthy, ("n0", "n2", "n4"), n1="dead", n3="dead", n5="dead")
    partitioned = replace_states(partitioned, ("n1", "n3", "n5"), n0="dead", n2="dead", n4="dead")
    assert list_faults(partitioned) == [("cut", ("n1", "n3", "n5"))]
    without_n3 = msgspec.structs.replace(healthy, views=[view for view in healthy.views if view.name != "n3"])
    assert list_faults(replace_states(without_n3, ("n0", "n1", "n2", "n4", "n5"), n3="dead")) == [
        ("gone", ("n3",))
    ]
    silent_link = [LinkStatus("n0", 1, 30.0, 9, 1.0, 0.0)]
    one_way = [
        msgspec.structs.replace(view, links=silent_link) if view.name == "n1" else view
        for view in healthy.views
    ]
    assert list_faults(msgspec.structs.replace(healthy, views=one_way)) == [("one-way", ("n0", "n1"))]
    stalled = [
        msgspec.structs.replace(view, stalled_seconds=3.0, stalled_ago=1.0) if view.name == "n2" else view
        for view in healthy.views
    ]
    assert list_faults(msgspec.structs.replace(healthy, views=stalled)) == [("stalled", ("n2",))]
    idle_lease = [LeaseStatus("voters", 3, "n0~1", "idle")]
    without_holder = [msgspec.structs.replace(view, leases=idle_lease) for view in healthy.views]
    assert list_faults(msgspec.structs.replace(healthy, views=without_holder)) == [("no holder", ("voters",))]
    draining = [
        msgspec.structs.replace(view, service_phase="leaving" if view.zone == "b" else "in service")
        for view in healthy.views
    ]
    assert list_faults(msgspec.structs.replace(healthy, views=draining)) == [("zone draining", ("b",))]
    mixed_versions = [
        msgspec.structs.replace(view, version="2") if view.name == "n0" else view for view in healthy.views
    ]
    assert list_faults(msgspec.structs.replace(healthy, views=mixed_versions)) == [("versions", ("1", "2"))]
    withdrawn = [
        msgspec.structs.replace(view, addresses=[AddressStatus("x", "a", "withdrawn", "health")])
        for view in healthy.views[:1]
    ] + healthy.views[1:]
    assert list_faults(msgspec.structs.replace(healthy, views=withdrawn)) == [("withdrawn", ("x", "a"))]
    withdrawn[0] = msgspec.structs.replace(
        withdrawn[0], addresses=[AddressStatus("x", "a", "unknown", reachable=False)]
    )
    assert list_faults(msgspec.structs.replace(healthy, views=withdrawn)) == []


def make_large_snapshot(cut_zone_paths=(), cut_target=""):
    """Return a snapshot of 80 members in two zones; each has recently probed six others.

    All datagrams on the paths `cut_zone_paths` (source zone, target zone) and to the member `cut_target` are
    lost.
    """
    zones = {f"n{n}": "ab"[n % 2] for n in range(80)}
    links = {}
    for n in range(80):
        for distance in (1, 2, 3, 20, 35, 50):
            source, target = f"n{n}", f"n{(n + distance) % 80}"
            probe_arrives = (zones[source], zones[target]) not in cut_zone_paths and target != cut_target
            answer_arrives = (
                probe_arrives
                and (zones[target], zones[source]) not in cut_zone_paths
                and source != cut_target
            )
            links[source, target] = LinkStatus(target, 1, 5.0 if answer_arrives else 500.0, 4, 0.2, 1.0, 5.0)
            if probe_arrives:
                links[target, source] = links.get(
                    (target, source), LinkStatus(source, 1, 5.0, 4, 0.2, 1.0, 500.0)
                )
    rows = [MemberStatus(name, 1, "alive", zone) for name, zone in zones.items()]
    views = []
    for name, zone in zones.items():
        own_links = [link for (reporter, _), link in links.items() if reporter == name]
        views.append(MemberView(f"{name}~1", zone, "1", "in service", members=rows, links=own_links))
    return Snapshot(1000.0, views)


def test_path_faults_of_a_large_fleet_are_found_from_totals():
    assert list_faults(make_large_snapshot()) == []
    assert list_faults(make_large_snapshot(cut_zone_paths={("a", "b")})) == [("zone one-way", ("a", "b"))]
    assert list_faults(make_large_snapshot(cut_zone_paths={("a", "b"), ("b", "a")})) == [
        ("zone link cut", ("a", "b"))
    ]
    assert list_faults(make_large_snapshot(cut_target="n7")) == [("one-way", ("n7",))]
    assert "marker-end" in draw.svg(make_large_snapshot(cut_zone_paths={("a", "b")}))


def test_connections_are_totalled_per_pair_of_zones():
    healthy = make_snapshot(6, servers=4)
    assert healthy.connections_by_zone() == {"a": {"a": 6, "b": 6}, "b": {"a": 6, "b": 6}}
    assert "connections to a 6, b 6" in draw.svg(healthy)
    assert msgspec.json.decode(export.as_json(healthy))["connections"]["a"]["b"] == 6


def write_log(path, *rows):
    path.write_bytes(
        b"".join(
            msgspec.json.encode({"t": time, "proxy": name, "event": event, **fields}) + b"\n"
            for time, name, event, fields in rows
        )
    )


def test_a_snapshot_is_built_from_logs_as_of_a_given_time(tmp_path):
    def fleet_line(time, name, epoch, zone):
        return time, name, "fleet", {"epoch": epoch, "voters": ["n0"], "zone": zone, "version": "1"}

    def member_line(time, name, member, epoch, life):
        return time, name, "member", {"member": member, "epoch": epoch, "life": life}

    write_log(
        tmp_path / "n0.log",
        fleet_line(1.0, "n0", 11, "a"),
        (1.1, "n0", "start", {}),
        (1.2, "n0", "list", {"version": 3, "whole": True, "rows": ["s0 in service", "s1 draining"]}),
        member_line(2.0, "n0", "n1", 21, "alive"),
        (3.0, "n0", "probe", {"server": "s0", "load": 0.4}),
        (4.0, "n0", "duty", {"duty": "ledger", "change": "held", "term": 2}),
        member_line(9.0, "n0", "n1", 21, "dead"),
        (9.1, "n0", "duty", {"term": "odd"}),
    )
    write_log(
        tmp_path / "n1.log",
        fleet_line(1.0, "n1", 21, "b"),
        (1.1, "n1", "start", {}),
        member_line(2.0, "n1", "n0", 11, "alive"),
        (3.0, "n1", "stalled", {"seconds": 2.5}),
    )
    with (tmp_path / "n1.log").open("ab") as log:
        log.write(b'{"t": 4, "half\n[]\nnothing\n')
    paths = sorted(tmp_path.glob("*.log"))
    early = logs.read(paths, until=5.0)
    assert list_faults(early) == [("stalled", ("n1",))] and early.leases()["ledger"].holder == "n0~11"
    assert {name: row.zone for name, row in early.members().items()} == {"n0": "a", "n1": "b"}
    assert early.endpoints()["s0"].load == 0.4 and early.endpoints()["s1"].state == "draining"
    late = logs.read(paths)
    assert [view.name for view in late.views] == ["n0"] and ("gone", ("n1",)) in list_faults(late)
    picture = tmp_path / "fleet.svg"
    assert commands.main(["draw", "--from", str(tmp_path), "--until", "5", "-o", str(picture)]) == 0
    assert "stalled" in picture.read_text()
    with pytest.raises(logs.LogError, match="expected lines of a proxy's log"):
        logs.read([picture])


def test_a_snapshot_of_a_run_in_virtual_time_does_not_change_the_run(tmp_path):
    day = scenario.read("calm")
    day = msgspec.structs.replace(day, seconds=6.0)
    plain = runs.to_json(runs.play(day, 1, "module"))
    path = tmp_path / "run.oxt"
    assert runs.to_json(runs.play(day, 1, "module", picture=(path, 3.0))) == plain
    saved = snapshot_file.read(path)
    assert saved.taken_at == 3.0 and list_faults(saved) == []
    assert (len(saved.views), len(saved.endpoints())) == (day.fleet.proxies, day.fleet.servers)
    assert sum(sum(row.values()) for row in saved.connections_by_zone().values()) > 0
    assert commands.main(["draw", "--from", str(path), "-o", str(tmp_path / "run.html")]) == 0
    with pytest.raises(runs.RunError, match="--picture"):
        runs.play(day, 1, "two-choices", picture=(path, 3.0))


SPECIAL_NAMES = [
    "<script>alert(1)</script>",
    "\u202egnirts",
    "n" * 200,
    'a"b&c',
    "\x00\x1b[31m",
    "\u0627\u0644\u0639",
]


@pytest.mark.parametrize("count", [0, 1, 6, 300, 1000])
def test_pictures_are_safe_with_special_names_and_any_number_of_members(count, tmp_path):
    snapshot = make_snapshot(
        count, special_names=SPECIAL_NAMES if count >= 6 else (), servers=min(count, 100)
    )
    svg = draw.svg(snapshot)
    xml.dom.minidom.parseString(svg.encode())
    page = draw.html(snapshot)
    assert "<script>alert" not in svg + page and "\u202e" not in svg + page and "\x1b" not in svg + page
    assert "http://" not in page.replace("http://www.w3.org/2000/svg", "") and "https://" not in page
    assert len(page) < 300_000 + 1500 * count
    assert export.dot(snapshot).startswith("digraph")
    assert msgspec.json.decode(export.as_json(snapshot))["troubles"] == []
    restored = snapshot_file.unpack(snapshot_file.pack(snapshot), "here")
    assert restored == snapshot and draw.svg(restored) == svg


def test_one_more_member_moves_few_symbols():
    shifts = []
    for count in range(290, 310):
        before, after = (
            build_scene(make_snapshot(count, zones="abcd")),
            build_scene(make_snapshot(count + 1, zones="abcd")),
        )
        shifts.append(layout.moved_share(before.positions, after.positions, before.width))
    assert sorted(shifts)[len(shifts) // 2] < 0.02 and max(shifts) < 0.05


def test_incomplete_snapshots_are_rejected_and_a_ring_keeps_the_newest(tmp_path):
    body = snapshot_file.pack(make_snapshot(3))
    for invalid in (b"", body[:40], b"OXTOPO02" + body[8:], body[:-1], b"\x00" * 100):
        with pytest.raises(snapshot_file.SnapshotError) as caught:
            snapshot_file.unpack(invalid, "file")
        assert "\n" not in str(caught.value)
    newer = msgspec.structs.replace(make_snapshot(1), major=2)
    with pytest.raises(snapshot_file.SnapshotError, match="expected version 1, got 2"):
        snapshot_file.unpack(snapshot_file.pack(newer), "file")
    for number in range(7):
        snapshot_file.save_to_ring(
            tmp_path, msgspec.structs.replace(make_snapshot(2), taken_at=1000.0 + number), 4
        )
    assert [snapshot.taken_at for snapshot in snapshot_file.read_ring(tmp_path)] == [
        1003.0,
        1004.0,
        1005.0,
        1006.0,
    ]
    assert commands.main(["replay", str(tmp_path), "-o", str(tmp_path / "ring.html")]) == 0
    assert (tmp_path / "ring.html").read_text().count("<svg") == 4


def test_differences_between_snapshots_are_described():
    before = make_snapshot(4)
    after = replace_states(make_snapshot(5), ("n0",), n1="suspect")
    differences = compare.differences(before, after)
    assert "came: member n4 in a" in differences and compare.differences(before, before) == []
    handed_over = [
        msgspec.structs.replace(view, leases=[LeaseStatus("voters", 4, "n1~1")]) for view in before.views
    ]
    assert compare.differences(before, msgspec.structs.replace(before, views=handed_over)) == [
        "duty voters: n0, now n1, term 4"
    ]


def serve_once(respond):
    """Start a server that handles one request with `respond`; return its address."""
    sock = socket.create_server(("127.0.0.1", 0))

    def run():
        client, _ = sock.accept()
        client.recv(4096)
        respond(client)
        client.close()
        sock.close()

    threading.Thread(target=run, daemon=True).start()
    return f"127.0.0.1:{sock.getsockname()[1]}"


def respond_slowly(client):
    client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    for _ in range(60):
        try:
            client.sendall(b" ")
        except OSError:
            return
        threading.Event().wait(0.1)


@pytest.mark.parametrize(
    "respond",
    [
        lambda c: c.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"),
        lambda c: c.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"me":7}'),
        lambda c: c.sendall(b"\xff\x00" * 99),
        lambda c: None,
        lambda c: c.sendall(b"HTTP/1.1 404 no\r\nContent-Length: 0\r\n\r\n"),
        respond_slowly,
    ],
)
def test_a_member_with_an_invalid_slow_or_missing_response_is_unreachable(respond, monkeypatch):
    monkeypatch.setattr(gather, "POLL_TIMEOUT_SECONDS", 1.0)
    snapshot = gather.gather([serve_once(respond)])
    assert not snapshot.views and len(snapshot.unreachable) == 1 and list_faults(snapshot) == []
    xml.dom.minidom.parseString(draw.svg(snapshot).encode())


def test_a_command_that_fails_reports_it_in_one_line(tmp_path, capsys):
    (tmp_path / "bad.oxt").write_bytes(b"no")
    for arguments in (
        ["show"],
        ["draw", "--from", "nowhere", "-o", "x.txt"],
        ["diff", "no", "none"],
        ["show", "--from", str(tmp_path / "bad.oxt")],
        ["replay", str(tmp_path / "n"), "-o", "x"],
        ["draw", "--from", "127.0.0.1:1", "-o", "/nowhere/x.svg"],
        ["show", "--from", "@/no/file"],
    ):
        assert commands.main(arguments) == 2
        assert capsys.readouterr().err.count("\n") == 1
    snapshot_file.save(tmp_path / "a.oxt", make_snapshot(5))
    for suffix in ("svg", "html", "png", "dot", "json"):
        picture = tmp_path / f"fleet.{suffix}"
        assert commands.main(["draw", "--from", str(tmp_path / "a.oxt"), "-o", str(picture)]) == 0
        assert picture.stat().st_size > 100
    # A snapshot without any view has no fault.
    assert commands.main(["show", "--check", "--from", "127.0.0.1:1"]) == 0
    assert commands.main(["diff", str(tmp_path / "a.oxt"), str(tmp_path / "a.oxt")]) == 0
    assert "no difference" in capsys.readouterr().out


# Tests with real processes.


def wait_for_faults(cluster, expected, within, excluded=(), polled=None):
    """Wait until exactly the expected faults are found.

    Only the members `polled` are polled, by default all that are alive and not excluded.
    """
    snapshots = []

    def faults_match():
        names = [name for name, process in cluster.current.items() if process.alive and name not in excluded]
        targets = [format_address(cluster.current[name].management) for name in (polled or names)]
        result = []
        worker = threading.Thread(target=lambda: result.append(gather.gather(targets)))
        worker.start()
        while worker.is_alive():
            cluster.run_once()
        snapshots[:] = [result[0]]
        faults = [fault for fault in find_faults(result[0]) if fault.kind != "silent"]
        return sorted((fault.kind, fault.subjects) for fault in faults) == sorted(expected)

    try:
        cluster.wait(faults_match, within, f"faults {expected}")
    except Exception as error:
        raise AssertionError(
            f"{error}; {[fault.description for fault in find_faults(snapshots[0])]}"
        ) from None
    return snapshots[0]


def test_each_fault_of_real_processes_is_found_and_no_other(tmp_path, monkeypatch):
    monkeypatch.setattr(fault_types, "RECENT_STALL_SECONDS", 6.0)
    with ProcessCluster(tmp_path / "rig", members=5, zones=("a", "b"), period=0.25, lease=0.8) as cluster:
        cluster.start()
        cluster.wait_members()
        cluster.wait_holder()
        healthy = wait_for_faults(cluster, [], 15)
        assert len(healthy.views) == 5 and len(healthy.members()) == 5
        cluster.stop("n4")
        cluster.run_for(1.2)
        cluster.resume("n4")
        wait_for_faults(cluster, [("stalled", ("n4",))], 10)
        wait_for_faults(cluster, [], 30)
        rules = cluster.cut(["n3"], ["n1"], both=False)
        wait_for_faults(cluster, [("one-way", ("n3", "n1"))], 30)
        cluster.heal(rules)
        wait_for_faults(cluster, [], 30)
        rules = cluster.cut(["n1", "n3"], ["n0", "n2", "n4"])
        partitioned = wait_for_faults(cluster, [("cut", ("n1", "n3"))], 40)
        assert {view.name for view in partitioned.views} == set(cluster.names)
        wait_for_faults(
            cluster,
            [
                ("gone", ("n0",)),
                ("gone", ("n2",)),
                ("gone", ("n4",)),
                ("no holder", ("ledger",)),
                ("no holder", ("voters",)),
            ],
            30,
            polled=["n1", "n3"],
        )
        cluster.heal(rules)
        cluster.wait_members(within=60)
        wait_for_faults(cluster, [], 40)
        for name in ("n1", "n3"):
            cluster.query(name, "/out-of-service", "POST", base="/control")
        wait_for_faults(cluster, [("zone draining", ("b",))], 20)
        for name in ("n1", "n3"):
            cluster.query(name, "/in-service", "POST", base="/control")
        wait_for_faults(cluster, [], 20)
        cluster.kill("n4")
        wait_for_faults(cluster, [("gone", ("n4",))], 30)
        # The logs show the same fault once all members have written it.
        folder = tmp_path / "rig"

        def logs_show_the_fault():
            snapshot = logs.read(sorted(folder.glob("*.log")))
            names = {view.name for view in snapshot.views}
            faults = [fault for fault in list_faults(snapshot) if fault[0] != "silent"]
            return names == {"n0", "n1", "n2", "n3"} and faults == [("gone", ("n4",))]

        cluster.wait(logs_show_the_fault, 15, "the logs to show that n4 is gone")
        cluster.set_process_faults("n4", version="9.9")
        cluster.start("n4")
        cluster.wait_members(within=40)
        wait_for_faults(cluster, [("versions", ("0.2.0", "9.9"))], 30)


def test_a_withdrawn_address_and_dead_lease_holders_are_found_on_real_processes(tmp_path):
    with Sites(tmp_path / "rig") as sites:
        cluster = sites.cluster
        sites.start()
        sites.wait_for_route_states(a=2, b=2, c=2)
        wait_for_faults(cluster, [], 20)
        for server in sites.servers_at("a"):
            server.base_load = 1.2
        sites.wait_for_route_states(a=0, b=2, c=2)
        wait_for_faults(cluster, [("withdrawn", ("addr0", "a")), ("withdrawn", ("addr1", "a"))], 20)
        for server in sites.servers_at("a"):
            server.base_load = 0.1
        sites.wait_for_route_states(a=2, b=2, c=2)
        holder = cluster.wait_holder("announcer/b")
        other = next(name for name in sites.members("b") if name != holder)
        cluster.kill(holder, other)
        cluster.wait(
            lambda: cluster.visible_members(cluster.current["n0"]) == 4, 30, "both to be reported as dead"
        )
        # The next controller receives no report from the site of the dead members.
        controller = cluster.wait_holder("addresses", within=40)
        cluster.query(controller, "/release?name=addresses", "POST")
        cluster.wait_holder("addresses", other_than=controller, within=40)
        snapshot = wait_for_faults(
            cluster, [("gone", tuple(member for member in [name])) for name in sorted((holder, other))], 30
        )
        assert "announcer/b" in snapshot.leases()
