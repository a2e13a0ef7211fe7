"""Selection among the drawn endpoints and the affinity endpoint."""

from random import Random

import pytest
from decision_setups import FEW_CONNECTIONS_SETTINGS, count_placements

from onyxhollow.interface import (
    EndpointListKind,
)
from onyxhollow.policy.selection import sample


def test_own_connections_are_balanced_by_registered_size(host):
    host.list_endpoints("a", "b", "c", weight=1.0)
    host.list_endpoints("d", kind=EndpointListKind.DELTA, weight=3.0)
    host.balancer.tracked["d"].arrival = None
    for _ in range(120):
        host.admit()
    counts = count_placements(host)
    assert 45 <= counts["d"] <= 75 and all(15 <= counts[n] <= 27 for n in "abc")


def test_the_affinity_endpoint_is_compared_with_the_two_drawn(host):
    servers = host.list_endpoints(*"abcdefghij")
    for endpoint in servers[1:]:
        host.admit().endpoint.ever_used = True
        endpoint.ever_used = True
        host.balancer.record_failure(endpoint, 1.0)
    host.balancer.affinity[None] = servers[0]
    servers[0].connections.clear()
    assert host.admit().endpoint is servers[0]


def test_an_endpoint_that_was_never_used_has_the_mean_cost(host):
    used = host.list_endpoints("a", "b")
    for _ in range(20):
        host.admit()
    host.balancer.rebalance_subset()
    host.list_endpoints("c", kind=EndpointListKind.DELTA)
    host.balancer.tracked["c"].arrival = None
    costs = [host.balancer.cost(s, None, None) for s in (*used, host.balancer.tracked["c"])]
    assert costs[2] == pytest.approx(sum(costs[:2]) / 2)


def test_eligibility_checks_per_session_do_not_grow_with_the_fleet(make_host):
    def count_checks(size):
        host = make_host(group_affinity=True, **FEW_CONNECTIONS_SETTINGS)
        host.report_loads(**{s.name: 0.1 for s in host.list_endpoints(*(f"s{n}" for n in range(size)))})
        eligible, checks = host.balancer.eligible, []
        host.balancer.eligible = lambda *arguments: checks.append(arguments) or eligible(*arguments)
        for n in range(50):
            host.admit(group=f"g{n}")
        return len(checks)

    assert count_checks(1000) <= 1.5 * count_checks(30)


class UnsearchableList(list):
    """A list that fails a test that searches it or iterates over it."""

    def __contains__(self, item):
        raise AssertionError("searched")

    def __iter__(self):
        raise AssertionError("iterated over")


def test_no_selection_searches_the_list_of_local_endpoints(make_host):
    # Guards against a cost per session that grows with the fleet: with few connections, the list holds all
    # endpoints of the own zone.
    host = make_host(zone="z", **FEW_CONNECTIONS_SETTINGS)
    host.report_loads(**{s.name: 0.1 for s in host.list_endpoints(*(f"s{n}" for n in range(100)), zone="z")})
    assert len(host.balancer.local_endpoints) == 100
    host.balancer.local_endpoints = UnsearchableList(host.balancer.local_endpoints)
    for _ in range(20):
        host.admit()
    assert count_placements(host)


def test_samples_are_those_of_the_standard_library_with_the_same_seed():
    # Guards against other decisions with the same seed, as any other use of the generator would cause.
    for size in range(100):
        population = [f"s{n}" for n in range(size)]
        for count in range(min(9, size + 1)):
            quick, standard = Random(7 * size + count), Random(7 * size + count)
            assert sample(quick, population, count) == standard.sample(population, count)
            assert quick.getstate() == standard.getstate()
