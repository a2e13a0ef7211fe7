"""Load gossip on real processes, with faults between them; each member's table is read over HTTP."""

import pytest

from onyxhollow.lab.fleet.rig import Rig
from onyxhollow.lab.fleet.traffic import Client, EchoServer

GOSSIP = {"on": True, "every": 0.2, "renew": 0.5, "report": 1.0, "audit": 10.0}
ASKED = {
    "ceilings": {"mostDials": 3, "probes": True, "cancelling": True, "connectTimeoutNs": 250000000},
    "report": {"how": "probe", "fields": ["x0"]},
    "extra": {"reportX0": "load asked of the server over what it can do", "tellsLoad": True},
}


@pytest.fixture
def gossip(tmp_path):
    made = []

    def make(members, servers, **values):
        rig = Rig(
            tmp_path / f"rig{len(made)}",
            members=members,
            zones=("a", "b"),
            servers=servers,
            duties=[],
            settings=ASKED,
            more={"sharing": GOSSIP},
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


def reports(rig, name):
    return {row["server"]: row for row in rig.ask(name)["sharing"]["rows"]}


def wait_all(rig, names, wanted, within, what):
    """Wait until each of these members has reports for which `wanted` is true."""
    rig.wait(lambda: all(wanted(reports(rig, name)) for name in names), within, what)


def loads_right(echo):
    def right(table):
        return len(table) == len(echo) and all(
            table[f"s{n}"]["load"] is not None
            and abs(table[f"s{n}"]["load"] - one.base - one.each * one.open) < 0.02
            for n, one in enumerate(echo)
        )

    return right


def sums_right(echo):
    return lambda table: (
        len(table) == len(echo) and all(table[f"s{n}"]["held"] == one.open for n, one in enumerate(echo))
    )


def test_members_share_loads_and_connections_through_stalls_partitions_and_kills(gossip):
    rig, echo, clients = gossip(6, 3)
    clients += [Client(rig.loop, rig.listen[rig.names[n % 6]], n) for n in range(24)]
    rig.wait(lambda: all(client.echoes > 2 for client in clients), 15, "sessions that echo")
    wait_all(rig, rig.names, loads_right(echo), 20, "all know each server's load")
    wait_all(rig, rig.names, sums_right(echo), 20, "all know each server's connections")

    # Each is polled by one member, and now and then audited by another, instead of by six.
    before = [one.questions for one in echo]
    saved = sum(rig.ask(name)["counts"].get("sharing: probes saved", 0) for name in rig.names)
    polled = zip(echo, before, strict=True)
    rig.wait(
        lambda polled=list(polled): all(one.questions >= count + 6 for one, count in polled), 25, "polled"
    )
    more = sum(rig.ask(name)["counts"].get("sharing: probes saved", 0) for name in rig.names) - saved
    owner = reports(rig, "n0")["s0"]["by"]
    assert more > 0 and "s0" in rig.ask(owner)["sharing"]["keeps"]

    # Its owner stalls: the deputy reports, and the owner again once it goes on.
    others = [name for name in rig.names if name != owner]
    rig.stop(owner)
    echo[0].base = 0.5

    def deputy_reports(table):
        return table["s0"]["by"] != owner and (table["s0"]["load"] or 0.0) >= 0.5

    wait_all(rig, others, deputy_reports, 25, "the deputy reports")
    rig.go_on(owner)
    # Resumed, it may send its old report once more; members that know better ignore it for half a minute.
    wait_all(rig, rig.names, lambda table: table["s0"]["by"] == owner, 60, "the owner again")

    # A partition between the zones: each knows the loads all the same, and its own connections.
    sides = {zone: [name for name in rig.names if rig.zones[name] == zone] for zone in "ab"}
    rules = rig.cut(sides["a"], sides["b"])
    rig.wait(lambda: all(rig.there(rig.now_by[name]) == 3 for name in rig.names), 40, "halves")
    echo[1].base = 0.6
    wait_all(rig, rig.names, loads_right(echo), 30, "both halves know the loads")
    total = sum(one.open for one in echo)
    halves = [sum(row["held"] for row in reports(rig, side[0]).values()) for side in sides.values()]
    assert all(0 < half < total for half in halves)
    rig.mend(rules)
    rig.wait_members(within=60)
    wait_all(rig, rig.names, sums_right(echo), 30, "whole again")

    # Half of them killed at once: their connections no longer count, and others own their servers.
    gone = rig.names[:3]
    survivors = rig.names[3:]
    rig.kill(*gone)
    lost = [client for client in clients if rig.names[client.number % 6] in gone]
    for client in lost:
        client.close()

    def owned_by_survivors(table):
        return sums_right(echo)(table) and {row["by"] for row in table.values()} <= set(survivors)

    wait_all(rig, survivors, owned_by_survivors, 40, "owned and counted by those left")
    rig.start(*gone)
    rig.wait_members(within=60)
    wait_all(rig, rig.names, loads_right(echo), 30, "new ones have the loads")
    assert not [one.odd for one in clients if one.wrong or (one.lost and one not in lost)]
    assert not rig.crashes and not rig.failures
    assert not [line.told for line in rig.lines if line.event == "failure"]


def test_a_silent_server_is_avoided_by_all_and_members_poll_for_themselves_when_cut_off(gossip):
    rig, echo, clients = gossip(4, 3)
    wait_all(rig, rig.names, loads_right(echo), 20, "all know each server's load")
    echo[2].silent = True
    wait_all(rig, rig.names, lambda table: table["s2"]["doubters"] >= 2, 25, "two have seen it fail")
    clients += [Client(rig.loop, rig.listen[rig.names[n % 4]], n) for n in range(12)]
    rig.wait(lambda: all(client.echoes > 2 for client in clients), 20, "sessions go elsewhere")
    assert not echo[2].open
    echo[2].silent = False
    wait_all(rig, rig.names, loads_right(echo), 25, "it is healthy again")
    # Every link is cut: each polls for itself, as without a fleet.
    rig.cut(rig.names, rig.names)
    rig.wait(lambda: all(rig.there(rig.now_by[name]) == 1 for name in rig.names), 60, "each alone")
    echo[0].base = 0.45
    wait_all(rig, rig.names, loads_right(echo), 30, "each has polled for itself")
    rig.mend()
    rig.wait_members(within=60)
    wait_all(rig, rig.names, sums_right(echo), 30, "together again")
    assert not rig.crashes and not rig.failures
