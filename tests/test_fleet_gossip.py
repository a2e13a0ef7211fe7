"""Tests of load gossip between real processes with faults. The gossip status is read over HTTP."""

import pytest

from onyxhollow.lab.fleet.rig import Rig
from onyxhollow.lab.fleet.traffic import Client, EchoServer

GOSSIP = {"on": True, "every": 0.2, "renew": 0.5, "report": 1.0, "audit": 10.0}
SETTINGS = {
    "ceilings": {"mostDials": 3, "probes": True, "cancelling": True, "connectTimeoutNs": 250000000},
    "report": {"how": "probe", "fields": ["x0"]},
    "extra": {"reportX0": "load asked of the server over what it can do", "tellsLoad": True},
}


@pytest.fixture
def gossip(tmp_path):
    started = []

    def make(members, servers, **values):
        rig = Rig(
            tmp_path / f"rig{len(started)}",
            members=members,
            zones=("a", "b"),
            servers=servers,
            duties=[],
            settings=SETTINGS,
            more={"sharing": GOSSIP},
            **values,
        )
        echo = [EchoServer(rig.loop, base=0.1 * (number + 1)) for number in range(servers)]
        for number, server in enumerate(echo):
            rig.list.rows[f"s{number}"]["dial"] = f"{server.address[0]}:{server.address[1]}"
        started.append((rig, echo, []))
        rig.start()
        rig.wait_members()
        rig.wait_lists()
        return started[-1]

    yield make
    for rig, echo, clients in started:
        for closable in [*clients, *echo]:
            closable.close()
        rig.close()


def gossip_rows(rig, name):
    return {row["server"]: row for row in rig.ask(name)["sharing"]["rows"]}


def wait_for_rows(rig, names, condition, within, what):
    """Wait until `condition` is true for the gossip rows of each of these members."""
    rig.wait(lambda: all(condition(gossip_rows(rig, name)) for name in names), within, what)


def has_current_loads(echo):
    def check(table):
        return len(table) == len(echo) and all(
            table[f"s{n}"]["load"] is not None
            and abs(table[f"s{n}"]["load"] - server.base - server.each * server.open) < 0.02
            for n, server in enumerate(echo)
        )

    return check


def has_current_counts(echo):
    return lambda table: (
        len(table) == len(echo)
        and all(table[f"s{n}"]["held"] == server.open for n, server in enumerate(echo))
    )


def test_members_share_loads_and_connection_counts_despite_stalls_partitions_and_kills(gossip):
    rig, echo, clients = gossip(6, 3)
    clients += [Client(rig.loop, rig.listen[rig.names[n % 6]], n) for n in range(24)]
    rig.wait(lambda: all(client.echoes > 2 for client in clients), 15, "sessions that echo")
    wait_for_rows(rig, rig.names, has_current_loads(echo), 20, "all members have current loads")
    wait_for_rows(rig, rig.names, has_current_counts(echo), 20, "all members have current counts")

    # Each endpoint is polled by one member and occasionally audited by another, instead of polled by all six.
    polls_before = [server.questions for server in echo]
    saved_before = sum(rig.ask(name)["counts"].get("sharing: probes saved", 0) for name in rig.names)
    polled = zip(echo, polls_before, strict=True)
    rig.wait(
        lambda polled=list(polled): all(server.questions >= count + 6 for server, count in polled),
        25,
        "six more polls of each endpoint",
    )
    saved = sum(rig.ask(name)["counts"].get("sharing: probes saved", 0) for name in rig.names) - saved_before
    owner = gossip_rows(rig, "n0")["s0"]["by"]
    assert saved > 0 and "s0" in rig.ask(owner)["sharing"]["keeps"]

    # The owner stalls: the deputy reports until the owner has resumed.
    others = [name for name in rig.names if name != owner]
    rig.stop(owner)
    echo[0].base = 0.5

    def deputy_reports(table):
        return table["s0"]["by"] != owner and (table["s0"]["load"] or 0.0) >= 0.5

    wait_for_rows(rig, others, deputy_reports, 25, "reports by the deputy")
    rig.go_on(owner)
    # The resumed owner may send its old report again, and members that audit it quarantine it for 30 s.
    wait_for_rows(rig, rig.names, lambda table: table["s0"]["by"] == owner, 60, "reports by the owner")

    # Partition the zones: each still has all loads, but only the connections of its own members.
    sides = {zone: [name for name in rig.names if rig.zones[name] == zone] for zone in "ab"}
    rules = rig.cut(sides["a"], sides["b"])
    rig.wait(
        lambda: all(rig.there(rig.now_by[name]) == 3 for name in rig.names),
        40,
        "members see only their own zone",
    )
    echo[1].base = 0.6
    wait_for_rows(rig, rig.names, has_current_loads(echo), 30, "current loads in both zones")
    total = sum(server.open for server in echo)
    halves = [sum(row["held"] for row in gossip_rows(rig, side[0]).values()) for side in sides.values()]
    assert all(0 < half < total for half in halves)
    rig.mend(rules)
    rig.wait_members(within=60)
    wait_for_rows(rig, rig.names, has_current_counts(echo), 30, "current counts after the partition")

    # Kill half of the members at once: their connections are no longer counted and their endpoints get new
    # owners.
    killed = rig.names[:3]
    survivors = rig.names[3:]
    rig.kill(*killed)
    lost = [client for client in clients if rig.names[client.number % 6] in killed]
    for client in lost:
        client.close()

    def owned_by_survivors(table):
        return has_current_counts(echo)(table) and {row["by"] for row in table.values()} <= set(survivors)

    wait_for_rows(rig, survivors, owned_by_survivors, 40, "owners and counts of the survivors only")
    rig.start(*killed)
    rig.wait_members(within=60)
    wait_for_rows(rig, rig.names, has_current_loads(echo), 30, "current loads on the restarted members")
    assert not [client.odd for client in clients if client.wrong or (client.lost and client not in lost)]
    assert not rig.crashes and not rig.failures
    assert not [line.told for line in rig.lines if line.event == "failure"]


def test_all_members_avoid_a_silent_endpoint_and_isolated_members_poll_by_themselves(gossip):
    rig, echo, clients = gossip(4, 3)
    wait_for_rows(rig, rig.names, has_current_loads(echo), 20, "all members have current loads")
    echo[2].silent = True
    wait_for_rows(
        rig, rig.names, lambda table: table["s2"]["doubters"] >= 2, 25, "failures reported by two members"
    )
    clients += [Client(rig.loop, rig.listen[rig.names[n % 4]], n) for n in range(12)]
    rig.wait(lambda: all(client.echoes > 2 for client in clients), 20, "sessions on the other endpoints")
    assert not echo[2].open
    echo[2].silent = False
    wait_for_rows(rig, rig.names, has_current_loads(echo), 25, "current loads after the recovery")
    # Cut every link: each member polls all endpoints itself, as without a fleet.
    rig.cut(rig.names, rig.names)
    rig.wait(lambda: all(rig.there(rig.now_by[name]) == 1 for name in rig.names), 60, "isolated members")
    echo[0].base = 0.45
    wait_for_rows(rig, rig.names, has_current_loads(echo), 30, "current loads on each isolated member")
    rig.mend()
    rig.wait_members(within=60)
    wait_for_rows(rig, rig.names, has_current_counts(echo), 30, "current counts after the isolation")
    assert not rig.crashes and not rig.failures
