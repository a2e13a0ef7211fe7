"""Slow start: sessions on a warming endpoint from one instance and from all instances."""

import math

import pytest
from decision_setups import count_placements

from onyxhollow.interface import (
    EndpointListKind,
    EndpointState,
    Tenant,
)


def test_a_cold_endpoint_gets_no_more_than_the_instances_share_of_the_fleets_budget(make_host):
    host = make_host(instance_count=4, instance_index=0)
    host.list_endpoints("a", "b", "c")
    for _ in range(40):
        host.advance(0.25)
        host.admit()
    host.list_endpoints("d", kind=EndpointListKind.DELTA, started_at=host.now)
    before = len(host.calls_to("start_attempt"))
    for _ in range(8):
        host.advance(0.25)
        host.admit()
    cold = [s for _, s, _ in host.calls_to("start_attempt")[before:]].count("d")
    # A warm endpoint takes one session per second from this instance, a cold one a quarter of that. It bears
    # twice that for 2 s.
    assert cold <= 2
    for _ in range(160):
        host.advance(0.25)
        host.admit()
    assert host.balancer.tracked["d"].arrival is None and count_placements(host)["d"] >= 30


def test_queued_sessions_may_exceed_the_pace_of_a_warm_arrival_but_not_of_a_cold_one(make_host):
    # After a deploy with warm replacements, sessions were queued for a second and then rejected while these
    # endpoints were idle.
    for start_time, min_placed, max_placed in ((None, 12, 12), (999.9, 0, 3)):
        host = make_host()
        host.list_endpoints("a")
        for _ in range(40):
            host.admit()
        host.advance(0.6)
        host.report_loads(a=0.7)
        waiting = [host.admit(established=False) for _ in range(12)]
        host.advance(0.1)
        host.list_endpoints("b", kind=EndpointListKind.DELTA, started_at=start_time)
        host.advance(0.2)
        assert min_placed <= sum(session.attempt_in_flight for session in waiting) <= max_placed


def test_an_endpoint_cold_in_the_first_list_starts_slowly(host):
    host.balancer.on_endpoint_list(EndpointListKind.CACHED, [])
    a, b = host.list_endpoints("a", started_at=host.now - 1.0) + host.list_endpoints(
        "b", kind=EndpointListKind.DELTA
    )
    assert (
        a.arrival
        and host.balancer.slow_start.warming_up(a, host.now)
        and not host.balancer.slow_start.warming_up(b, host.now)
    )


def test_many_instances_together_use_a_cold_endpoints_budget_and_stay_within_it(make_host):
    hosts = [make_host(seed, instance_count=100, instance_index=seed) for seed in range(100)]
    for host in hosts:
        host.list_endpoints(*(f"s{n}" for n in range(20)))
        host.balancer.checks_per_session = 0.1
        for _ in range(10):
            host.admit()
            host.advance(2.0)
            host.report_loads(**{f"s{n}": 0.5 for n in range(20)})
        host.advance(1.0)
        host.list_endpoints("c", "d", kind=EndpointListKind.DELTA, started_at=host.now)
    # A warm endpoint has 50 connections at half load, so 100 fill it over 10 s. A cold one bears a quarter.
    before = [len(host.calls_to("start_attempt")) for host in hosts]
    for second in range(1, 11):
        for host in hosts:
            host.advance(1.0)
            host.report_loads(c=0.3, d=0.3)
            host.admit()
        sent = sum(
            s == "c"
            for h, n in zip(hosts, before, strict=True)
            for _, s, _ in h.calls_to("start_attempt")[n:]
        )
        warmth = 0.25 * second + 0.75 * second * second / 20.0
        assert sent <= 2.0 * 10.0 * warmth + 5
    assert sent >= 20


@pytest.mark.parametrize("count", [1, 3, 30, 200])
def test_a_burst_from_all_instances_after_an_idle_period_does_not_overload_a_cold_endpoint(make_host, count):
    # Unused tokens did not expire: after an idle period 200 instances used theirs at once.
    tenants = {"acme": Tenant("acme", connection_quota=4000.0)}
    hosts = [make_host(n, instance_count=count, instance_index=n, tenants=tenants) for n in range(count)]
    for host in hosts:
        warm = host.list_endpoints(*(f"s{n}" for n in range(20)))
        host.advance(1.0)
        host.list_endpoints("c", kind=EndpointListKind.DELTA, started_at=host.now)
        host.advance(5.0)
        for endpoint in warm:
            endpoint.overloaded_at = math.inf  # so that only the cold endpoint is eligible
    started_at = hosts[0].now - 5.0
    for step in range(20):
        for host in hosts:
            for _ in range(max(1, 200 // count) if step % 3 == 0 else 0):
                host.admit(established=False)
            host.advance(0.1)
    sent = sum(endpoint == "c" for host in hosts for _, endpoint, _ in host.calls_to("start_attempt"))
    # 200 connections fill it over 10 s, at first a quarter of that rate. It bears twice that for 2 s.
    allowed = 2.0 * 2.0 * 20.0 * (0.25 + 0.75 * (hosts[0].now - started_at) / 10.0)
    assert 0 < sent <= allowed + 2.0 * math.sqrt(allowed) + 2.0


def test_a_rolling_deploy_does_not_increase_the_slow_start_budget(host):
    host.list_endpoints("a", "b", "c", "d")
    for _ in range(80):
        host.admit()
    host.balancer.rebalance_subset()
    mean_before = host.balancer.mean_connections
    host.list_endpoints("a", "b", "c", kind=EndpointListKind.DELTA, state=EndpointState.DRAINING)
    assert host.balancer.mean_connections <= 1.2 * mean_before
