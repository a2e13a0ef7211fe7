"""Which of the endpoints drawn a session goes to."""

import pytest
from decision_setups import FEW_CONNECTIONS_SETTINGS, count_placements

from onyxhollow.interface import (
    EndpointListKind,
)


def test_own_connections_even_out_per_registered_size(host):
    host.list_endpoints("a", "b", "c", weight=1.0)
    host.list_endpoints("d", kind=EndpointListKind.DELTA, weight=3.0)
    host.balancer.tracked["d"].arrival = None
    for _ in range(120):
        host.admit()
    counts = count_placements(host)
    assert 45 <= counts["d"] <= 75 and all(15 <= counts[n] <= 27 for n in "abc")


def test_the_remembered_best_is_compared_with_the_two_drawn(host):
    servers = host.list_endpoints(*"abcdefghij")
    for server in servers[1:]:
        host.admit().endpoint.ever_used = True
        server.ever_used = True
        host.balancer.record_failure(server, 1.0)
    host.balancer.affinity[None] = servers[0]
    servers[0].connections.clear()
    assert host.admit().endpoint is servers[0]


def test_an_endpoint_never_used_starts_at_the_mean(host):
    old = host.list_endpoints("a", "b")
    for _ in range(20):
        host.admit()
    host.balancer.rebalance_subset()
    host.list_endpoints("c", kind=EndpointListKind.DELTA)
    host.balancer.tracked["c"].arrival = None
    weigh = [host.balancer.cost(s, None, None) for s in (*old, host.balancer.tracked["c"])]
    assert weigh[2] == pytest.approx(sum(weigh[:2]) / 2)


def test_the_work_for_a_session_does_not_grow_with_the_fleet(make_host):
    def looks(size):
        host = make_host(group_affinity=True, **FEW_CONNECTIONS_SETTINGS)
        host.report_loads(**{s.name: 0.1 for s in host.list_endpoints(*(f"s{n}" for n in range(size)))})
        well, seen = host.balancer.eligible, []
        host.balancer.eligible = lambda *what: seen.append(what) or well(*what)
        for n in range(50):
            host.admit(group=f"g{n}")
        return len(seen)

    assert looks(1000) <= 1.5 * looks(30)
