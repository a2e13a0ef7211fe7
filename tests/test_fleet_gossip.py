"""Sharing on real processes, with faults between them: each member is asked what it holds of servers."""

import pytest

from onyxhollow.lab.fleet.rig import Rig
from onyxhollow.lab.fleet.traffic import Client, EchoServer

TALKS = {"on": True, "every": 0.2, "renew": 0.5, "report": 1.0, "audit": 10.0}
ASKED = {
    "ceilings": {"mostDials": 3, "probes": True, "cancelling": True, "connectTimeoutNs": 250000000},
    "report": {"how": "probe", "fields": ["x0"]},
    "extra": {"reportX0": "load asked of the server over what it can do", "tellsLoad": True},
}


@pytest.fixture
def sharing(tmp_path):
    made = []

    def make(members, servers, **values):
        rig = Rig(
            tmp_path / f"rig{len(made)}",
            members=members,
            zones=("a", "b"),
            servers=servers,
            duties=[],
            settings=ASKED,
            more={"sharing": TALKS},
            **values,
        )
        echo = [EchoServer(rig.loop, base=0.1 * (number + 1)) for number in range(servers)]
        for number, server in enumerate(echo):
            rig.list.rows[f"s{number}"]["dial"] = f"{server.address[0]}:{server.address[1]}"
        made.append((rig, echo, []))
        rig.start()
        rig.wait_members()
        rig.wait_lists()
        return made[-1]

    yield make
    for rig, echo, clients in made:
        for one in [*clients, *echo]:
            one.close()
        rig.close()


def rows(rig, name):
    return {row["server"]: row for row in rig.ask(name)["sharing"]["rows"]}


def all_hold(rig, names, wanted, within, what):
    """Every one of these members holds rows for which `wanted` is true, sooner or later."""
    rig.wait(lambda: all(wanted(rows(rig, name)) for name in names), within, what)


def loads_right(echo):
    def right(held):
        return len(held) == len(echo) and all(
            held[f"s{n}"]["load"] is not None
            and abs(held[f"s{n}"]["load"] - one.base - one.each * one.open) < 0.02
            for n, one in enumerate(echo)
        )

    return right


def sums_right(echo):
    return lambda held: (
        len(held) == len(echo) and all(held[f"s{n}"]["held"] == one.open for n, one in enumerate(echo))
    )


def test_members_tell_one_another_loads_and_connections_and_go_on_through_stalls_cuts_and_kills(sharing):
    rig, echo, clients = sharing(6, 3)
    clients += [Client(rig.loop, rig.listen[rig.names[n % 6]], n) for n in range(24)]
    rig.wait(lambda: all(client.echoes > 2 for client in clients), 15, "sessions that echo")
    all_hold(rig, rig.names, loads_right(echo), 20, "all know each server's load")
    all_hold(rig, rig.names, sums_right(echo), 20, "all know each server's connections")

    # Asked by one member each, and now and then by another, instead of by six.
    before = [one.questions for one in echo]
    saved = sum(rig.ask(name)["counts"].get("sharing: probes saved", 0) for name in rig.names)
    asked = zip(echo, before, strict=True)
    rig.wait(lambda told=list(asked): all(one.questions >= count + 6 for one, count in told), 25, "asked")
    more = sum(rig.ask(name)["counts"].get("sharing: probes saved", 0) for name in rig.names) - saved
    keeper = rows(rig, "n0")["s0"]["by"]
    assert more > 0 and "s0" in rig.ask(keeper)["sharing"]["keeps"]

    # Its keeper stands still: the deputy tells what comes, and it is the keeper's again when that goes on.
    others = [name for name in rig.names if name != keeper]
    rig.stop(keeper)
    echo[0].base = 0.5
    told = lambda held: held["s0"]["by"] != keeper and (held["s0"]["load"] or 0.0) >= 0.5  # noqa: E731
    all_hold(rig, others, told, 25, "the deputy tells")
    rig.go_on(keeper)
    # Woken, it may tell its old report once more, and is doubted for half a minute by who has seen another.
    all_hold(rig, rig.names, lambda held: held["s0"]["by"] == keeper, 60, "the keeper again")

    # Zones that hear nothing of each other: each knows the loads all the same, and its own connections.
    sides = {zone: [name for name in rig.names if rig.zones[name] == zone] for zone in "ab"}
    rules = rig.cut(sides["a"], sides["b"])
    rig.wait(lambda: all(rig.there(rig.now_by[name]) == 3 for name in rig.names), 40, "halves")
    echo[1].base = 0.6
    all_hold(rig, rig.names, loads_right(echo), 30, "both halves know the loads")
    total = sum(one.open for one in echo)
    halves = [sum(row["held"] for row in rows(rig, side[0]).values()) for side in sides.values()]
    assert all(0 < half < total for half in halves)
    rig.mend(rules)
    rig.wait_members(within=60)
    all_hold(rig, rig.names, sums_right(echo), 30, "whole again")

    # Half of them killed at once: their connections are counted out, and servers of theirs kept by others.
    gone = rig.names[:3]
    stay = rig.names[3:]
    rig.kill(*gone)
    lost = [client for client in clients if rig.names[client.number % 6] in gone]
    for client in lost:
        client.close()
    kept = lambda held: sums_right(echo)(held) and {r["by"] for r in held.values()} <= set(stay)  # noqa: E731
    all_hold(rig, stay, kept, 40, "kept and counted by those left")
    rig.start(*gone)
    rig.wait_members(within=60)
    all_hold(rig, rig.names, loads_right(echo), 30, "new ones are told")
    assert not [one.odd for one in clients if one.wrong or (one.lost and one not in lost)]
    assert not rig.crashes and not rig.failures
    assert not [line.told for line in rig.lines if line.event == "failure"]


def test_a_server_that_falls_silent_is_doubted_by_all_and_own_eyes_come_back_when_nobody_tells(sharing):
    rig, echo, clients = sharing(4, 3)
    all_hold(rig, rig.names, loads_right(echo), 20, "all know each server's load")
    echo[2].silent = True
    all_hold(rig, rig.names, lambda held: held["s2"]["doubters"] >= 2, 25, "two have seen it for themselves")
    clients += [Client(rig.loop, rig.listen[rig.names[n % 4]], n) for n in range(12)]
    rig.wait(lambda: all(client.echoes > 2 for client in clients), 20, "sessions go elsewhere")
    assert not echo[2].open
    echo[2].silent = False
    all_hold(rig, rig.names, loads_right(echo), 25, "it is well again")
    # Every link is cut: each asks for itself, as without a fleet.
    rig.cut(rig.names, rig.names)
    rig.wait(lambda: all(rig.there(rig.now_by[name]) == 1 for name in rig.names), 60, "each alone")
    echo[0].base = 0.45
    all_hold(rig, rig.names, loads_right(echo), 30, "each has asked for itself")
    rig.mend()
    rig.wait_members(within=60)
    all_hold(rig, rig.names, sums_right(echo), 30, "together again")
    assert not rig.crashes and not rig.failures
