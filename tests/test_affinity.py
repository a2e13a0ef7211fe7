"""Where the sessions of a group meet."""

from bisect import bisect

from decision_setups import FEW_CONNECTIONS_SETTINGS, start_without_reports

from onyxhollow.interface import (
    EndpointListKind,
    EndpointState,
    Tenant,
)
from onyxhollow.policy.estimators import ArrivalRate, stable_uniform


def test_sessions_of_a_group_meet_on_one_endpoint_at_all_instances(make_host):
    meeting_points = set()
    for seed in (1, 2, 3):
        host = make_host(seed, group_affinity=True)
        host.list_endpoints(*"abcdef", weight=4.0)
        host.balancer.connections_at_capacity = 5.0
        meeting_points |= {host.admit(group="g7").endpoint.name for _ in range(3)}
    assert len(meeting_points) == 1


def test_a_group_whose_endpoints_are_full_waits_and_is_not_strewn(make_host):
    host = make_host(group_affinity=True, **FEW_CONNECTIONS_SETTINGS)
    servers = host.list_endpoints(*(f"s{n}" for n in range(60)))
    host.report_loads(**{s.name: 0.1 for s in servers})
    stretch = set()
    for _ in range(17):
        affinity = host.balancer.affinity_endpoint(host.admit(group="g", established=False))
        if affinity is not None:
            affinity.overloaded_at = host.now
            stretch.add(affinity)
    before = len(host.calls_to("start_attempt"))
    host.balancer.awaits_load_report = lambda *_: False
    sess = host.admit(group="g", established=False)
    assert 4 <= len(stretch) <= 16 and sess.endpoint is None and len(host.calls_to("start_attempt")) == before


def test_a_cold_endpoint_takes_its_groups_as_far_as_its_budget_goes(make_host):
    host = make_host(group_affinity=True)
    old = host.list_endpoints(*"abc", weight=4.0)
    cold = host.list_endpoints("x", weight=4.0, kind=EndpointListKind.DELTA, started_at=host.now)[0]
    balancer = host.balancer

    def first(group):
        return balancer.endpoints[
            balancer.ring[bisect(balancer.ring, (stable_uniform(group), 0)) % len(balancer.ring)][1]
        ]

    sess = host.admit(group=next(f"g{n}" for n in range(1000) if first(f"g{n}") is cold), established=False)
    balancer.affinity.clear()
    balancer.slow_start.tokens[cold], cold.arrival.credit = (1.0, host.now), 1
    assert balancer.affinity_endpoint(sess) is cold
    balancer.slow_start.tokens[cold] = (0.0, host.now)
    assert balancer.affinity_endpoint(sess) in old  # it does not wait for more: it meets at the next one


def test_a_group_is_not_strewn_over_arriving_endpoints_that_happen_to_have_a_turn(make_host):
    # Another one had a turn at each balancer and moment: the group's work was paid for at eight servers.
    meeting_points, tenants = set(), {"acme": Tenant("acme", connection_quota=4000.0)}
    for n in range(100):
        host = make_host(n, instance_count=200, instance_index=n, group_affinity=True, tenants=tenants)
        old = [f"s{n}" for n in range(12)]
        host.list_endpoints(*old)
        host.advance(1.0)
        host.list_endpoints(*(f"c{n}" for n in range(12)), kind=EndpointListKind.DELTA, started_at=host.now)
        host.list_endpoints(*old, kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
        host.advance(3.0 + n / 50)
        sess = host.admit(established=False)
        sess.group = "g"
        if (affinity := host.balancer.affinity_endpoint(sess)) is not None:
            meeting_points.add(affinity.name)
    assert 1 <= len(meeting_points) <= 2


def test_an_instance_that_starts_among_loaded_endpoints_places_groups_where_others_do(make_host):
    early, late = (
        make_host(1, live_weights=True, group_affinity=True),
        make_host(2, live_weights=True, group_affinity=True),
    )
    early.list_endpoints("a", "b", "c", weight=4.0, machine_type="m")
    late.list_endpoints("a", "b", "c", weight=0.5, machine_type="m")
    assert [s.ring_positions for s in early.balancer.endpoints] == [
        s.ring_positions for s in late.balancer.endpoints
    ]


def test_affinity_is_local_only_while_the_fleet_is_empty_by_a_zone_crossings_price(make_host):
    # Two in three attempts crossed zones for three points; strewn over zones a full fleet pays groups thrice.
    for price, load, near in ((0.03, 0.2, True), (0.03, 0.4, False), (0.01, 0.2, False)):
        host = make_host(group_affinity=True, zone="here", cross_zone_price=price)
        host.list_endpoints(*(f"far{n}" for n in range(30)), zone="there")
        host.list_endpoints(*(f"near{n}" for n in range(30)), kind=EndpointListKind.DELTA, zone="here")
        for server in host.balancer.endpoints:
            server.arrival = None
        host.report_loads(**{s.name: load for s in host.balancer.endpoints})
        host.balancer.rebalance_subset()
        meeting_points = [
            host.balancer.affinity_endpoint(host.admit(group=f"g{n}", established=False)) for n in range(20)
        ]
        assert (sum(s.zone == "here" for s in meeting_points) >= 16) is near


def test_sessions_of_one_group_are_the_crowd_at_its_endpoint(make_host):
    # Shared out as if over the fleet, the capacity at a meeting point went to all its sessions at once.
    placed = []
    for others in (2, 0):
        placed.append(0)
        for seed in range(200):
            host = make_host(seed, group_affinity=True, **FEW_CONNECTIONS_SETTINGS)
            host.list_endpoints(*(f"s{n}" for n in range(16)))
            host.report_loads(**{f"s{n}": 0.6 for n in range(16)})
            host.balancer.refresh_health()
            host.balancer.slow_start.decayed_count, host.balancer.connections_at_capacity = 1.0, 2.0
            host.balancer.group_rates["one"] = ArrivalRate(host.now)
            for _ in range(others):
                host.balancer.group_rates["one"].record_arrival(host.now)
            host.admit(group="one")
            placed[-1] += len(host.calls_to("start_attempt"))
    assert 0 < placed[0] < placed[1] / 2


def test_without_load_reports_a_group_has_one_endpoint_for_all_zones_and_a_shedding_one_rests_longer(
    make_host,
):
    meeting_points = set()
    for zone in ("north", "south"):
        host, _ = start_without_reports(make_host, group_affinity=True, zone=zone, cross_zone_price=0.1)
        for name in "abcd":
            host.list_endpoints(
                name, kind=EndpointListKind.DELTA, zone="north" if name in "ab" else "south", weight=4.0
            )
        host.balancer.refresh_health()
        meeting_points.add(host.admit(group="g7").endpoint.name)
    assert len(meeting_points) == 1
    server = host.balancer.tracked[meeting_points.pop()]
    server.overloaded_at = host.now
    host.advance(4.0)
    assert not host.balancer.eligible(server)
    host.advance(1.0)
    assert host.balancer.eligible(server)
