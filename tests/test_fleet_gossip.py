"""Tests of load gossip between real processes with faults. The gossip status is read over HTTP."""

import pytest

from onyxhollow.lab.fleet.process_cluster import ProcessCluster
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
        cluster = ProcessCluster(
            tmp_path / f"rig{len(started)}",
            members=members,
            zones=("a", "b"),
            servers=servers,
            duties=[],
            settings=SETTINGS,
            extra_fleet_settings={"sharing": GOSSIP},
            **values,
        )
        echo = [EchoServer(cluster.loop, base_load=0.1 * (number + 1)) for number in range(servers)]
        for number, server in enumerate(echo):
            cluster.list_service.rows[f"s{number}"]["dial"] = f"{server.address[0]}:{server.address[1]}"
        started.append((cluster, echo, []))
        cluster.start()
        cluster.wait_members()
        cluster.wait_lists()
        return started[-1]

    yield make
    for cluster, echo, clients in started:
        for closable in [*clients, *echo]:
            closable.close()
        cluster.close()


def gossip_rows(cluster, name):
    return {row["server"]: row for row in cluster.query(name)["sharing"]["rows"]}


def wait_for_rows(cluster, names, condition, within, what):
    """Wait until `condition` is true for the gossip rows of each of these members."""
    cluster.wait(lambda: all(condition(gossip_rows(cluster, name)) for name in names), within, what)


def has_current_loads(echo):
    def check(table):
        return len(table) == len(echo) and all(
            table[f"s{n}"]["load"] is not None
            and abs(
                table[f"s{n}"]["load"] - server.base_load - server.load_per_session * server.open_sessions
            )
            < 0.02
            for n, server in enumerate(echo)
        )

    return check


def has_current_counts(echo):
    return lambda table: (
        len(table) == len(echo)
        and all(table[f"s{n}"]["held"] == server.open_sessions for n, server in enumerate(echo))
    )


def test_members_share_loads_and_connection_counts_despite_stalls_partitions_and_kills(gossip):
    cluster, echo, clients = gossip(6, 3)
    clients += [Client(cluster.loop, cluster.listen_addresses[cluster.names[n % 6]], n) for n in range(24)]
    cluster.wait(lambda: all(client.echoes > 2 for client in clients), 15, "sessions that echo")
    wait_for_rows(cluster, cluster.names, has_current_loads(echo), 20, "all members have current loads")
    wait_for_rows(cluster, cluster.names, has_current_counts(echo), 20, "all members have current counts")

    # Each endpoint is polled by one member and occasionally audited by another, instead of polled by all six.
    polls_before = [server.health_checks for server in echo]
    saved_before = sum(
        cluster.query(name)["counts"].get("sharing: probes saved", 0) for name in cluster.names
    )
    polled = zip(echo, polls_before, strict=True)
    cluster.wait(
        lambda polled=list(polled): all(server.health_checks >= count + 6 for server, count in polled),
        25,
        "six more polls of each endpoint",
    )
    saved = (
        sum(cluster.query(name)["counts"].get("sharing: probes saved", 0) for name in cluster.names)
        - saved_before
    )
    owner = gossip_rows(cluster, "n0")["s0"]["by"]
    assert saved > 0 and "s0" in cluster.query(owner)["sharing"]["keeps"]

    # The owner stalls: the deputy reports until the owner has resumed.
    others = [name for name in cluster.names if name != owner]
    cluster.stop(owner)
    echo[0].base_load = 0.5

    def deputy_reports(table):
        return table["s0"]["by"] != owner and (table["s0"]["load"] or 0.0) >= 0.5

    wait_for_rows(cluster, others, deputy_reports, 25, "reports by the deputy")
    cluster.resume(owner)
    # The resumed owner may send its old report again, and members that audit it quarantine it for 30 s.
    wait_for_rows(
        cluster, cluster.names, lambda table: table["s0"]["by"] == owner, 60, "reports by the owner"
    )

    # Partition the zones: each still has all loads, but only the connections of its own members.
    sides = {zone: [name for name in cluster.names if cluster.zones[name] == zone] for zone in "ab"}
    rules = cluster.cut(sides["a"], sides["b"])
    cluster.wait(
        lambda: all(cluster.visible_members(cluster.current[name]) == 3 for name in cluster.names),
        40,
        "members see only their own zone",
    )
    echo[1].base_load = 0.6
    wait_for_rows(cluster, cluster.names, has_current_loads(echo), 30, "current loads in both zones")
    total = sum(server.open_sessions for server in echo)
    halves = [sum(row["held"] for row in gossip_rows(cluster, side[0]).values()) for side in sides.values()]
    assert all(0 < half < total for half in halves)
    cluster.heal(rules)
    cluster.wait_members(within=60)
    wait_for_rows(cluster, cluster.names, has_current_counts(echo), 30, "current counts after the partition")

    # Kill half of the members at once: their connections are no longer counted and their endpoints get new
    # owners.
    killed = cluster.names[:3]
    survivors = cluster.names[3:]
    cluster.kill(*killed)
    lost = [client for client in clients if cluster.names[client.number % 6] in killed]
    for client in lost:
        client.close()

    def owned_by_survivors(table):
        return has_current_counts(echo)(table) and {row["by"] for row in table.values()} <= set(survivors)

    wait_for_rows(cluster, survivors, owned_by_survivors, 40, "owners and counts of the survivors only")
    cluster.start(*killed)
    cluster.wait_members(within=60)
    wait_for_rows(
        cluster, cluster.names, has_current_loads(echo), 30, "current loads on the restarted members"
    )
    assert not [
        client.anomalies
        for client in clients
        if client.unexpected_lines or (client.lost_sessions and client not in lost)
    ]
    assert not cluster.crashes and not cluster.failures
    assert not [line.fields for line in cluster.lines if line.event == "failure"]


def test_all_members_avoid_a_silent_endpoint_and_isolated_members_poll_by_themselves(gossip):
    cluster, echo, clients = gossip(4, 3)
    wait_for_rows(cluster, cluster.names, has_current_loads(echo), 20, "all members have current loads")
    echo[2].silent = True
    wait_for_rows(
        cluster,
        cluster.names,
        lambda table: table["s2"]["doubters"] >= 2,
        25,
        "failures reported by two members",
    )
    clients += [Client(cluster.loop, cluster.listen_addresses[cluster.names[n % 4]], n) for n in range(12)]
    cluster.wait(lambda: all(client.echoes > 2 for client in clients), 20, "sessions on the other endpoints")
    assert not echo[2].open_sessions
    echo[2].silent = False
    wait_for_rows(cluster, cluster.names, has_current_loads(echo), 25, "current loads after the recovery")
    # Cut every link: each member polls all endpoints itself, as without a fleet.
    cluster.cut(cluster.names, cluster.names)
    cluster.wait(
        lambda: all(cluster.visible_members(cluster.current[name]) == 1 for name in cluster.names),
        60,
        "isolated members",
    )
    echo[0].base_load = 0.45
    wait_for_rows(
        cluster, cluster.names, has_current_loads(echo), 30, "current loads on each isolated member"
    )
    cluster.heal()
    cluster.wait_members(within=60)
    wait_for_rows(cluster, cluster.names, has_current_counts(echo), 30, "current counts after the isolation")
    assert not cluster.crashes and not cluster.failures
