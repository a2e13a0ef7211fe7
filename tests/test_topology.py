"""The picture of a fleet: faults, snapshot files, comparisons and drawings, also of real processes."""

import socket
import threading
import xml.dom.minidom

import msgspec
import pytest

from onyxhollow.lab import runs, scenario
from onyxhollow.lab.fleet.rig import Rig, text
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


def fleet(count, zones=("a", "b"), servers=4, odd=()):
    """Views of members that all see all."""
    names = [*odd, *(f"n{n}" for n in range(count - len(odd)))]
    rows = [MemberStatus(name, 1, "alive", zones[n % len(zones)]) for n, name in enumerate(names)]
    blocks = [
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
            endpoints=blocks,
            links=[LinkStatus(other.name, 1, 0.5, 9, 0.0, 1.0) for other in rows if other is not row],
            leases=[LeaseStatus("voters", 3, f"{names[0]}~1", "holding" if n == 0 else "idle")],
        )
        for n, row in enumerate(rows)
    ]
    return Snapshot(1000.0, views)


def reporting(snapshot, who, **lives):
    """The same, but `who` report other states for some members."""
    change = msgspec.structs.replace
    views = []
    for view in snapshot.views:
        rows = [change(row, state=lives.get(row.name, row.state)) for row in view.members]
        views.append(change(view, members=rows) if view.name in who else view)
    return change(snapshot, views=views)


def kinds(snapshot):
    return [(one.kind, one.subjects) for one in find_faults(snapshot)]


def test_a_healthy_fleet_has_no_fault_and_each_fault_is_named_once():
    healthy = fleet(6)
    assert kinds(healthy) == [] and kinds(Snapshot(1.0)) == []
    halves = reporting(healthy, ("n0", "n2", "n4"), n1="dead", n3="dead", n5="dead")
    halves = reporting(halves, ("n1", "n3", "n5"), n0="dead", n2="dead", n4="dead")
    assert kinds(halves) == [("cut", ("n1", "n3", "n5"))]
    five = msgspec.structs.replace(healthy, views=[view for view in healthy.views if view.name != "n3"])
    assert kinds(reporting(five, ("n0", "n1", "n2", "n4", "n5"), n3="dead")) == [("gone", ("n3",))]
    silent = [LinkStatus("n0", 1, 30.0, 9, 1.0, 0.0)]
    rest = [
        msgspec.structs.replace(view, links=silent) if view.name == "n1" else view for view in healthy.views
    ]
    assert kinds(msgspec.structs.replace(healthy, views=rest)) == [("one-way", ("n0", "n1"))]
    stalled = [
        msgspec.structs.replace(view, stalled_seconds=3.0, stalled_ago=1.0) if view.name == "n2" else view
        for view in healthy.views
    ]
    assert kinds(msgspec.structs.replace(healthy, views=stalled)) == [("stalled", ("n2",))]
    free = [LeaseStatus("voters", 3, "n0~1", "idle")]
    unowned = [msgspec.structs.replace(view, leases=free) for view in healthy.views]
    assert kinds(msgspec.structs.replace(healthy, views=unowned)) == [("no holder", ("voters",))]
    away = [
        msgspec.structs.replace(view, service_phase="leaving" if view.zone == "b" else "in service")
        for view in healthy.views
    ]
    assert kinds(msgspec.structs.replace(healthy, views=away)) == [("zone draining", ("b",))]
    two = [
        msgspec.structs.replace(view, version="2") if view.name == "n0" else view for view in healthy.views
    ]
    assert kinds(msgspec.structs.replace(healthy, views=two)) == [("versions", ("1", "2"))]
    out = [
        msgspec.structs.replace(view, addresses=[AddressStatus("x", "a", "withdrawn", "health")])
        for view in healthy.views[:1]
    ] + healthy.views[1:]
    assert kinds(msgspec.structs.replace(healthy, views=out)) == [("withdrawn", ("x", "a"))]
    out[0] = msgspec.structs.replace(out[0], addresses=[AddressStatus("x", "a", "unknown", reachable=False)])
    assert kinds(msgspec.structs.replace(healthy, views=out)) == []


def large(cut=(), deaf=""):
    """Eighty members of two zones that have each probed six others of late; ways from source to target of
    `cut` (zones) are down, and all that goes to `deaf`."""
    zones = {f"n{n}": "ab"[n % 2] for n in range(80)}
    heard = {}
    for n in range(80):
        for far in (1, 2, 3, 20, 35, 50):
            a, b = f"n{n}", f"n{(n + far) % 80}"
            goes = (zones[a], zones[b]) not in cut and b != deaf
            back = goes and (zones[b], zones[a]) not in cut and a != deaf
            heard[a, b] = LinkStatus(b, 1, 5.0 if back else 500.0, 4, 0.2, 1.0, 5.0)
            if goes:
                heard[b, a] = heard.get((b, a), LinkStatus(a, 1, 5.0, 4, 0.2, 1.0, 500.0))
    rows = [MemberStatus(name, 1, "alive", zone) for name, zone in zones.items()]
    views = []
    for name, zone in zones.items():
        links = [link for (a, _), link in heard.items() if a == name]
        views.append(MemberView(f"{name}~1", zone, "1", "in service", members=rows, links=links))
    return Snapshot(1000.0, views)


def test_paths_of_a_large_fleet_are_judged_in_sum():
    assert kinds(large()) == []
    assert kinds(large(cut={("a", "b")})) == [("zone one-way", ("a", "b"))]
    assert kinds(large(cut={("a", "b"), ("b", "a")})) == [("zone link cut", ("a", "b"))]
    assert kinds(large(deaf="n7")) == [("one-way", ("n7",))]
    assert "marker-end" in draw.svg(large(cut={("a", "b")}))


def test_connections_are_summed_from_zone_to_zone():
    healthy = fleet(6, servers=4)
    assert healthy.connections_by_zone() == {"a": {"a": 6, "b": 6}, "b": {"a": 6, "b": 6}}
    assert "connections to a 6, b 6" in draw.svg(healthy)
    assert msgspec.json.decode(export.as_json(healthy))["connections"]["a"]["b"] == 6


def lines(path, *rows):
    path.write_bytes(
        b"".join(
            msgspec.json.encode({"t": t, "proxy": who, "event": event, **told}) + b"\n"
            for t, who, event, told in rows
        )
    )


def test_a_picture_is_made_of_logs_as_of_a_given_time(tmp_path):
    def begin(at, name, epoch, zone):
        return at, name, "fleet", {"epoch": epoch, "voters": ["n0"], "zone": zone, "version": "1"}

    def member(at, name, of, epoch, life):
        return at, name, "member", {"member": of, "epoch": epoch, "life": life}

    lines(
        tmp_path / "n0.log",
        begin(1.0, "n0", 11, "a"),
        (1.1, "n0", "start", {}),
        (1.2, "n0", "list", {"version": 3, "whole": True, "rows": ["s0 in service", "s1 draining"]}),
        member(2.0, "n0", "n1", 21, "alive"),
        (3.0, "n0", "probe", {"server": "s0", "load": 0.4}),
        (4.0, "n0", "duty", {"duty": "ledger", "change": "held", "term": 2}),
        member(9.0, "n0", "n1", 21, "dead"),
        (9.1, "n0", "duty", {"term": "odd"}),
    )
    lines(
        tmp_path / "n1.log",
        begin(1.0, "n1", 21, "b"),
        (1.1, "n1", "start", {}),
        member(2.0, "n1", "n0", 11, "alive"),
        (3.0, "n1", "stalled", {"seconds": 2.5}),
    )
    with (tmp_path / "n1.log").open("ab") as log:
        log.write(b'{"t": 4, "half\n[]\nnothing\n')
    paths = sorted(tmp_path.glob("*.log"))
    early = logs.read(paths, until=5.0)
    assert kinds(early) == [("stalled", ("n1",))] and early.leases()["ledger"].holder == "n0~11"
    assert {name: row.zone for name, row in early.members().items()} == {"n0": "a", "n1": "b"}
    assert early.endpoints()["s0"].load == 0.4 and early.endpoints()["s1"].state == "draining"
    late = logs.read(paths)
    assert [view.name for view in late.views] == ["n0"] and ("gone", ("n1",)) in kinds(late)
    out = tmp_path / "fleet.svg"
    assert commands.main(["draw", "--from", str(tmp_path), "--until", "5", "-o", str(out)]) == 0
    assert "stalled" in out.read_text()
    with pytest.raises(logs.LogError, match="expected lines of a proxy's log"):
        logs.read([out])


def test_a_picture_is_made_of_a_run_in_virtual_time_and_changes_nothing_in_it(tmp_path):
    day = scenario.read("calm")
    day = msgspec.structs.replace(day, seconds=6.0)
    plain = runs.to_json(runs.play(day, 1, "module"))
    path = tmp_path / "run.oxt"
    assert runs.to_json(runs.play(day, 1, "module", picture=(path, 3.0))) == plain
    saved = snapshot_file.read(path)
    assert saved.taken_at == 3.0 and kinds(saved) == []
    assert (len(saved.views), len(saved.endpoints())) == (day.fleet.proxies, day.fleet.servers)
    assert sum(sum(row.values()) for row in saved.connections_by_zone().values()) > 0
    assert commands.main(["draw", "--from", str(path), "-o", str(tmp_path / "run.html")]) == 0
    with pytest.raises(runs.RunError, match="--picture"):
        runs.play(day, 1, "two-choices", picture=(path, 3.0))


ODD = ["<script>alert(1)</script>", "\u202egnirts", "n" * 200, 'a"b&c', "\x00\x1b[31m", "\u0627\u0644\u0639"]


@pytest.mark.parametrize("count", [0, 1, 6, 300, 1000])
def test_pictures_are_safe_with_odd_names_and_any_number_of_members(count, tmp_path):
    snapshot = fleet(count, odd=ODD if count >= 6 else (), servers=min(count, 100))
    made = draw.svg(snapshot)
    xml.dom.minidom.parseString(made.encode())
    page = draw.html(snapshot)
    assert "<script>alert" not in made + page and "\u202e" not in made + page and "\x1b" not in made + page
    assert "http://" not in page.replace("http://www.w3.org/2000/svg", "") and "https://" not in page
    assert len(page) < 300_000 + 1500 * count
    assert export.dot(snapshot).startswith("digraph")
    assert msgspec.json.decode(export.as_json(snapshot))["troubles"] == []
    again = snapshot_file.unpack(snapshot_file.pack(snapshot), "here")
    assert again == snapshot and draw.svg(again) == made


def test_one_more_member_moves_little_and_the_same_fleet_looks_the_same():
    shifts = []
    for count in range(290, 310):
        before, after = build_scene(fleet(count, zones="abcd")), build_scene(fleet(count + 1, zones="abcd"))
        shifts.append(layout.moved_share(before.positions, after.positions, before.width))
    assert sorted(shifts)[len(shifts) // 2] < 0.02 and max(shifts) < 0.05


def test_snapshots_are_complete_or_refused_and_a_ring_has_the_newest(tmp_path):
    body = snapshot_file.pack(fleet(3))
    for broken in (b"", body[:40], b"OXTOPO02" + body[8:], body[:-1], b"\x00" * 100):
        with pytest.raises(snapshot_file.SnapshotError) as caught:
            snapshot_file.unpack(broken, "file")
        assert "\n" not in str(caught.value)
    newer = msgspec.structs.replace(fleet(1), major=2)
    with pytest.raises(snapshot_file.SnapshotError, match="expected version 1, got 2"):
        snapshot_file.unpack(snapshot_file.pack(newer), "file")
    for number in range(7):
        snapshot_file.save_to_ring(tmp_path, msgspec.structs.replace(fleet(2), taken_at=1000.0 + number), 4)
    assert [one.taken_at for one in snapshot_file.read_ring(tmp_path)] == [1003.0, 1004.0, 1005.0, 1006.0]
    assert commands.main(["replay", str(tmp_path), "-o", str(tmp_path / "course.html")]) == 0
    assert (tmp_path / "course.html").read_text().count("<svg") == 4


def test_differences_are_described_in_words():
    before = fleet(4)
    after = reporting(fleet(5), ("n0",), n1="suspect")
    found = compare.differences(before, after)
    assert "came: member n4 in a" in found and compare.differences(before, before) == []
    moved = [
        msgspec.structs.replace(view, leases=[LeaseStatus("voters", 4, "n1~1")]) for view in before.views
    ]
    assert compare.differences(before, msgspec.structs.replace(before, views=moved)) == [
        "duty voters: n0, now n1, term 4"
    ]


def serve_once(answer):
    """The address of a member that answers once, with something else."""
    sock = socket.create_server(("127.0.0.1", 0))

    def run():
        caller, _ = sock.accept()
        caller.recv(4096)
        answer(caller)
        caller.close()
        sock.close()

    threading.Thread(target=run, daemon=True).start()
    return f"127.0.0.1:{sock.getsockname()[1]}"


def slowly(caller):
    caller.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    for _ in range(60):
        try:
            caller.sendall(b" ")
        except OSError:
            return
        threading.Event().wait(0.1)


@pytest.mark.parametrize(
    "answer",
    [
        lambda c: c.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"),
        lambda c: c.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"me":7}'),
        lambda c: c.sendall(b"\xff\x00" * 99),
        lambda c: None,
        lambda c: c.sendall(b"HTTP/1.1 404 no\r\nContent-Length: 0\r\n\r\n"),
        slowly,
    ],
)
def test_a_member_that_answers_rubbish_slowly_or_nothing_is_unreachable(answer, monkeypatch):
    monkeypatch.setattr(gather, "POLL_TIMEOUT", 1.0)
    found = gather.gather([serve_once(answer)])
    assert not found.views and len(found.unreachable) == 1 and kinds(found) == []
    xml.dom.minidom.parseString(draw.svg(found).encode())


def test_a_command_that_fails_reports_it_in_one_line(tmp_path, capsys):
    (tmp_path / "bad.oxt").write_bytes(b"no")
    for words in (
        ["show"],
        ["draw", "--from", "nowhere", "-o", "x.txt"],
        ["diff", "no", "none"],
        ["show", "--from", str(tmp_path / "bad.oxt")],
        ["replay", str(tmp_path / "n"), "-o", "x"],
        ["draw", "--from", "127.0.0.1:1", "-o", "/nowhere/x.svg"],
        ["show", "--from", "@/no/file"],
    ):
        assert commands.main(words) == 2
        assert capsys.readouterr().err.count("\n") == 1
    snapshot_file.save(tmp_path / "a.oxt", fleet(5))
    for kind in ("svg", "html", "png", "dot", "json"):
        out = tmp_path / f"fleet.{kind}"
        assert commands.main(["draw", "--from", str(tmp_path / "a.oxt"), "-o", str(out)]) == 0
        assert out.stat().st_size > 100
    assert commands.main(["show", "--check", "--from", "127.0.0.1:1"]) == 0  # one that is silent alone
    assert commands.main(["diff", str(tmp_path / "a.oxt"), str(tmp_path / "a.oxt")]) == 0
    assert "no difference" in capsys.readouterr().out


# real processes


def wait_for_faults(rig, expected, within, but=(), at=None):
    """Waits until the picture names exactly these faults. at: only these are polled, as from one side."""
    found = []

    def are_named():
        names = [name for name, process in rig.now_by.items() if process.alive and name not in but]
        polled = [text(rig.now_by[name].management) for name in (at or names)]
        result = []
        worker = threading.Thread(target=lambda: result.append(gather.gather(polled)))
        worker.start()
        while worker.is_alive():
            rig.turn()
        found[:] = [result[0]]
        named = [one for one in find_faults(result[0]) if one.kind != "silent"]
        return sorted((one.kind, one.subjects) for one in named) == sorted(expected)

    try:
        rig.wait(are_named, within, f"named {expected}")
    except Exception as error:
        raise AssertionError(f"{error}; {[one.description for one in find_faults(found[0])]}") from None
    return found[0]


def test_each_fault_of_real_processes_is_named_and_no_other(tmp_path, monkeypatch):
    monkeypatch.setattr(fault_types, "STALL_MEMORY", 6.0)
    with Rig(tmp_path / "rig", members=5, zones=("a", "b"), period=0.25, lease=0.8) as rig:
        rig.start()
        rig.wait_members()
        rig.wait_holder()
        healthy = wait_for_faults(rig, [], 15)
        assert len(healthy.views) == 5 and len(healthy.members()) == 5
        rig.stop("n4")
        rig.play(1.2)
        rig.go_on("n4")
        wait_for_faults(rig, [("stalled", ("n4",))], 10)
        wait_for_faults(rig, [], 30)
        rules = rig.cut(["n3"], ["n1"], both=False)
        wait_for_faults(rig, [("one-way", ("n3", "n1"))], 30)
        rig.mend(rules)
        wait_for_faults(rig, [], 30)
        rules = rig.cut(["n1", "n3"], ["n0", "n2", "n4"])
        halves = wait_for_faults(rig, [("cut", ("n1", "n3"))], 40)
        assert {view.name for view in halves.views} == set(rig.names)
        wait_for_faults(
            rig,
            [
                ("gone", ("n0",)),
                ("gone", ("n2",)),
                ("gone", ("n4",)),
                ("no holder", ("ledger",)),
                ("no holder", ("voters",)),
            ],
            30,
            at=["n1", "n3"],
        )
        rig.mend(rules)
        rig.wait_members(within=60)
        wait_for_faults(rig, [], 40)
        for name in ("n1", "n3"):
            rig.ask(name, "/out-of-service", "POST", base="/control")
        wait_for_faults(rig, [("zone draining", ("b",))], 20)
        for name in ("n1", "n3"):
            rig.ask(name, "/in-service", "POST", base="/control")
        wait_for_faults(rig, [], 20)
        rig.kill("n4")
        wait_for_faults(rig, [("gone", ("n4",))], 30)
        folder = tmp_path / "rig"  # the same from what they have written, once all have

        def written():
            found = logs.read(sorted(folder.glob("*.log")))
            there = {view.name for view in found.views}
            named = [one for one in kinds(found) if one[0] != "silent"]
            return there == {"n0", "n1", "n2", "n3"} and named == [("gone", ("n4",))]

        rig.wait(written, 15, "their logs tell it")
        rig.trial("n4", version="9.9")
        rig.start("n4")
        rig.wait_members(within=40)
        wait_for_faults(rig, [("versions", ("0.2.0", "9.9"))], 30)


def test_a_withdrawn_address_and_a_lost_lease_holder_are_named_on_real_processes(tmp_path):
    with Sites(tmp_path / "rig") as sites:
        rig = sites.rig
        sites.start()
        sites.wait_standing(a=2, b=2, c=2)
        wait_for_faults(rig, [], 20)
        for server in sites.of("a"):
            server.base = 1.2
        sites.wait_standing(a=0, b=2, c=2)
        wait_for_faults(rig, [("withdrawn", ("addr0", "a")), ("withdrawn", ("addr1", "a"))], 20)
        for server in sites.of("a"):
            server.base = 0.1
        sites.wait_standing(a=2, b=2, c=2)
        holder = rig.wait_holder("announcer/b")
        other = next(name for name in sites.members("b") if name != holder)
        rig.kill(holder, other)
        rig.wait(lambda: rig.there(rig.now_by["n0"]) == 4, 30, "both are held for dead")
        keeper = rig.wait_holder("addresses", within=40)  # the next one never hears from their site
        rig.ask(keeper, "/release?name=addresses", "POST")
        rig.wait_holder("addresses", other_than=keeper, within=40)
        found = wait_for_faults(
            rig, [("gone", tuple(one for one in [name])) for name in sorted((holder, other))], 30
        )
        assert "announcer/b" in found.leases()
