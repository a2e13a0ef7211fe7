"""Capacity estimates with few load reports or none."""

import math

import pytest
from decision_setups import FEW_CONNECTIONS_SETTINGS, count_placements, start_without_reports

from onyxhollow.interface import (
    Tenant,
)
from onyxhollow.policy.migration import StagedMigration


def test_after_a_restart_among_many_an_endpoint_has_capacity_for_a_share_of_the_tenants_quotas(make_host):
    quotas = {"tenants": {"acme": Tenant("acme", 1.0, 600.0)}}
    placed = []
    for seed in range(20):
        host = make_host(seed, group_affinity=True, **FEW_CONNECTIONS_SETTINGS, **quotas)
        host.list_endpoints(*(f"s{n}" for n in range(12)), weight=4.0)
        host.report_loads(**{f"s{n}": 0.5 for n in range(12)})
        host.balancer.refresh_health()
        # Without own connections the quotas give the capacity.
        assert host.balancer.connections_at_capacity == pytest.approx(600 / 100 / 48)
        host.admit(group="g", established=False)
        placed.append(len(host.calls_to("start_attempt")))
    assert sum(placed) > 12  # an estimate from own connections would allow only a few


def test_an_absurdly_high_load_blocks_its_endpoint_and_all_estimates_stay_finite(make_host):
    host = make_host(**FEW_CONNECTIONS_SETTINGS)
    host.list_endpoints("a", "b", weight=4.0)
    for _ in range(20):
        host.report_loads(a=1e308, b=0.1)
        host.admit()
        host.advance(0.5)
    balancer = host.balancer
    assert set(count_placements(host)) == {"b"} and 0.0 < balancer.connections_at_capacity < math.inf
    host.report_loads(a=0.1)
    host.advance(2.0)
    assert balancer.eligible(balancer.tracked["a"])


def test_an_endpoint_that_hangs_does_not_lower_the_capacity_estimate_of_the_others(make_host):
    # While some endpoints hung and reported a load of 9, the others looked full and cold ones hardly got
    # sessions, so that clients were rejected although there was capacity.
    host = make_host()
    host.list_endpoints("a", "b", "c", "d")
    for _ in range(40):
        host.admit()
    host.report_loads(a=0.5, b=0.5, c=0.5, d=0.5)
    host.balancer.redraw_subset()
    capacity = host.balancer.connections_at_capacity
    host.report_loads(d=9.0)
    host.balancer.redraw_subset()
    assert host.balancer.connections_at_capacity == pytest.approx(capacity, rel=0.2)
    # If all are overloaded, their connections are explained by their loads.
    host.report_loads(a=2.0, b=2.0, c=2.0, d=2.0)
    host.balancer.redraw_subset()
    assert host.balancer.connections_at_capacity == pytest.approx(capacity / 4, rel=0.2)


def test_an_arrival_that_ends_between_two_redraws_leaves_the_capacity_estimate_finite(make_host):
    # Guards against a division by zero: the totals of the last redraw hold only the overloaded endpoint.
    host = make_host()
    a, b = host.list_endpoints("a", "b")
    for _ in range(10):
        host.admit()
    b.arrival = StagedMigration(1)
    host.balancer.redraw_subset()
    b.arrival = None
    host.report_loads(a=9.0, b=0.5)
    for session in list(a.connections)[:1]:
        session.release()
    host.balancer.refresh_health()
    assert 0.0 < host.balancer.connections_at_capacity < math.inf


def test_without_load_reports_this_instances_share_of_the_quotas_limits_an_endpoint(make_host):
    # With 200 proxies and no reports, a group's endpoint was filled until it dropped its connections.
    host, servers = start_without_reports(make_host, max_retry_after=1.0)
    for _ in range(200):
        host.admit()
        host.balancer.refresh_health()
    counts = count_placements(host)
    assert set(counts.values()) == {13} and len(counts) == 4  # 0.65 of 20 each
    host.advance(3.0)
    assert len(host.calls_to("reject")) == 200 - 52
    host.report_loads(a=0.1)  # the first report replaces the estimate
    host.balancer.refresh_health()
    assert not host.balancer.loads_unknown and host.balancer.eligible(servers[0])
