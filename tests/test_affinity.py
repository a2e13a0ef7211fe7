"""Affinity: on which endpoint the sessions of a group are placed."""

from bisect import bisect

from decision_setups import FEW_CONNECTIONS_SETTINGS, start_without_reports

from onyxhollow.interface import (
    EndpointListKind,
    EndpointState,
    Tenant,
)
from onyxhollow.policy.estimators import ArrivalRate, stable_uniform


def test_all_instances_place_a_group_on_the_same_endpoint(make_host):
    group_endpoints = set()
    for seed in (1, 2, 3):
        host = make_host(seed, group_affinity=True)
        host.list_endpoints(*"abcdef", weight=4.0)
        host.balancer.connections_at_capacity = 5.0
        group_endpoints |= {host.admit(group="g7").endpoint.name for _ in range(3)}
    assert len(group_endpoints) == 1


def test_a_group_waits_while_its_endpoints_are_overloaded(make_host):
    host = make_host(group_affinity=True, **FEW_CONNECTIONS_SETTINGS)
    servers = host.list_endpoints(*(f"s{n}" for n in range(60)))
    host.report_loads(**{s.name: 0.1 for s in servers})
    endpoints_tried = set()
    for _ in range(17):
        affinity = host.balancer.affinity_endpoint(host.admit(group="g", established=False))
        if affinity is not None:
            affinity.overloaded_at = host.now
            endpoints_tried.add(affinity)
    before = len(host.calls_to("start_attempt"))
    host.balancer.awaits_load_report = lambda *_: False
    session = host.admit(group="g", established=False)
    assert (
        4 <= len(endpoints_tried) <= 16
        and session.endpoint is None
        and len(host.calls_to("start_attempt")) == before
    )


def test_a_cold_endpoint_gets_its_groups_within_its_slow_start_budget(make_host):
    host = make_host(group_affinity=True)
    warm = host.list_endpoints(*"abc", weight=4.0)
    cold = host.list_endpoints("x", weight=4.0, kind=EndpointListKind.DELTA, started_at=host.now)[0]
    balancer = host.balancer

    def first_on_ring(group):
        return balancer.endpoints[
            balancer.ring[bisect(balancer.ring, (stable_uniform(group), 0)) % len(balancer.ring)][1]
        ]

    session = host.admit(
        group=next(f"g{n}" for n in range(1000) if first_on_ring(f"g{n}") is cold), established=False
    )
    balancer.affinity.clear()
    balancer.slow_start.tokens[cold], cold.arrival.credit = (1.0, host.now), 1
    assert balancer.affinity_endpoint(session) is cold
    balancer.slow_start.tokens[cold] = (0.0, host.now)
    # Without a token the group uses the next endpoint on the ring.
    assert balancer.affinity_endpoint(session) in warm


def test_a_group_is_not_spread_over_the_arriving_endpoints_that_have_a_slow_start_token(make_host):
    # Each instance had a token for a different arriving endpoint, so the group's work was repeated on eight.
    group_endpoints, tenants = set(), {"acme": Tenant("acme", connection_quota=4000.0)}
    for n in range(100):
        host = make_host(n, instance_count=200, instance_index=n, group_affinity=True, tenants=tenants)
        warm = [f"s{n}" for n in range(12)]
        host.list_endpoints(*warm)
        host.advance(1.0)
        host.list_endpoints(*(f"c{n}" for n in range(12)), kind=EndpointListKind.DELTA, started_at=host.now)
        host.list_endpoints(*warm, kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
        host.advance(3.0 + n / 50)
        session = host.admit(established=False)
        session.group = "g"
        if (affinity := host.balancer.affinity_endpoint(session)) is not None:
            group_endpoints.add(affinity.name)
    assert 1 <= len(group_endpoints) <= 2


def test_an_instance_started_later_places_groups_on_the_same_endpoints_despite_live_weights(make_host):
    early_host, late_host = (
        make_host(1, live_weights=True, group_affinity=True),
        make_host(2, live_weights=True, group_affinity=True),
    )
    early_host.list_endpoints("a", "b", "c", weight=4.0, machine_type="m")
    late_host.list_endpoints("a", "b", "c", weight=0.5, machine_type="m")
    assert [s.ring_positions for s in early_host.balancer.endpoints] == [
        s.ring_positions for s in late_host.balancer.endpoints
    ]


def test_affinity_is_local_only_while_the_load_is_low_relative_to_the_cross_zone_price(make_host):
    # Without local affinity two of three attempts crossed zones, at a cost of three points. In a full fleet,
    # local affinity would repeat the work of each group in all three zones.
    for price, load, is_local in ((0.03, 0.2, True), (0.03, 0.4, False), (0.01, 0.2, False)):
        host = make_host(group_affinity=True, zone="here", cross_zone_price=price)
        host.list_endpoints(*(f"far{n}" for n in range(30)), zone="there")
        host.list_endpoints(*(f"near{n}" for n in range(30)), kind=EndpointListKind.DELTA, zone="here")
        for endpoint in host.balancer.endpoints:
            endpoint.arrival = None
        host.report_loads(**{s.name: load for s in host.balancer.endpoints})
        host.balancer.rebalance_subset()
        group_endpoints = [
            host.balancer.affinity_endpoint(host.admit(group=f"g{n}", established=False)) for n in range(20)
        ]
        assert (sum(s.zone == "here" for s in group_endpoints) >= 16) is is_local


def test_the_arrival_rate_of_a_group_limits_claims_of_capacity_on_its_endpoint(make_host):
    # With the rate averaged over the fleet, all sessions of a group claimed its endpoint's capacity at once.
    placed = []
    for other_sessions in (2, 0):
        placed.append(0)
        for seed in range(200):
            host = make_host(seed, group_affinity=True, **FEW_CONNECTIONS_SETTINGS)
            host.list_endpoints(*(f"s{n}" for n in range(16)))
            host.report_loads(**{f"s{n}": 0.6 for n in range(16)})
            host.balancer.refresh_health()
            host.balancer.slow_start.decayed_count, host.balancer.connections_at_capacity = 1.0, 2.0
            host.balancer.group_rates["one"] = ArrivalRate(host.now)
            for _ in range(other_sessions):
                host.balancer.group_rates["one"].record_arrival(host.now)
            host.admit(group="one")
            placed[-1] += len(host.calls_to("start_attempt"))
    assert 0 < placed[0] < placed[1] / 2


def test_without_load_reports_affinity_ignores_zones_and_an_overloaded_endpoint_is_blocked_for_longer(
    make_host,
):
    group_endpoints = set()
    for zone in ("north", "south"):
        host, _ = start_without_reports(make_host, group_affinity=True, zone=zone, cross_zone_price=0.1)
        for name in "abcd":
            host.list_endpoints(
                name, kind=EndpointListKind.DELTA, zone="north" if name in "ab" else "south", weight=4.0
            )
        host.balancer.refresh_health()
        group_endpoints.add(host.admit(group="g7").endpoint.name)
    assert len(group_endpoints) == 1
    endpoint = host.balancer.tracked[group_endpoints.pop()]
    endpoint.overloaded_at = host.now
    host.advance(4.0)
    assert not host.balancer.eligible(endpoint)
    host.advance(1.0)
    assert host.balancer.eligible(endpoint)
