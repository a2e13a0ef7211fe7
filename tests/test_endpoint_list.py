"""What answers and failures of the endpoint list change."""

from dataclasses import replace

import pytest
from peers import DEFAULT_SETTINGS

from onyxhollow.interface import (
    Endpoint,
    EndpointListKind,
    EndpointState,
)


def test_rule_3_an_endpoint_missing_from_a_snapshot_gets_nothing(host):
    host.list_endpoints("a", "b")
    host.list_endpoints("b")
    assert {host.admit().endpoint.name for _ in range(30)} == {"b"}


def test_a_list_that_failed_is_polled_again_before_silence_counts_as_notice(make_host):
    host = make_host(list_is_polled=True, max_poll_interval=10.0)
    host.list_endpoints("a", kind=EndpointListKind.CACHED)
    host.advance(0.5)
    assert len(host.calls_to("poll_endpoint_list")) == 1
    for _ in range(6):
        host.list_endpoints(kind=EndpointListKind.FAILED)
        asked = len(host.calls_to("poll_endpoint_list"))
        host.advance(2.6)
        assert len(host.calls_to("poll_endpoint_list")) > asked
    host.list_endpoints("a", kind=EndpointListKind.SNAPSHOT)
    asked = len(host.calls_to("poll_endpoint_list"))
    host.advance(20.0)
    assert len(host.calls_to("poll_endpoint_list")) == asked


def test_many_instances_poll_a_failing_list_no_more_often_than_it_can_answer_and_go_on_polling(make_host):
    def calls(count):
        """In the five seconds from a failure that all meet at once, each call failing after two seconds."""
        made = 0
        for seed in range(count):
            host = make_host(seed, list_is_polled=True, instance_count=count)
            host.advance(6.0)
            host.balancer.on_endpoint_list(EndpointListKind.FAILED, [])
            host.calls.clear()
            for _ in range(100):
                host.advance(0.05)
                if host.calls_to("poll_endpoint_list"):
                    made += 1
                    host.calls.clear()
                    host.advance(2.0)
                    host.balancer.on_endpoint_list(EndpointListKind.FAILED, [])
        return made

    assert calls(40) <= 40 * 2 and calls(4) >= 4 * 2
    host = make_host(list_is_polled=True, instance_count=40)  # from the first second on, and never answered
    for _ in range(20):
        host.advance(6.5)
        assert host.calls_to("poll_endpoint_list")  # the first within 5 s, the others within 6 s of a failure
        host.calls.clear()
        host.balancer.on_endpoint_list(EndpointListKind.FAILED, [])
    sess = host.admit(established=False)
    host.advance(2.0)
    assert sess.answered and len(host.calls_to("reject")) == 1


def test_a_subset_is_part_of_a_large_fleet_and_is_refilled_without_migrations(host):
    servers = host.list_endpoints(*(f"s{n}" for n in range(80)))
    first = set(host.balancer.subset)
    assert len(first) == 16
    for _ in range(40):
        host.admit()
    gone = {s.name for s in servers if s in first and s is not servers[-1]}
    host.list_endpoints(*gone, kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
    assert len(host.balancer.subset) == 16 and not gone & {s.name for s in host.balancer.subset}
    before = set(host.balancer.subset)
    host.advance(60.0)
    assert set(host.balancer.subset) != before and not host.calls_to("migrate")


def test_a_list_with_an_endpoint_twice_a_thousand_or_none_and_one_back_with_another_size(host):
    host.list_endpoints()
    sess = host.admit()
    host.list_endpoints("a", "a")
    host.advance(0.1)
    assert sess.endpoint is host.balancer.tracked["a"] and len(host.balancer.endpoints) == 1
    host.list_endpoints(*(f"s{n}" for n in range(1000)))
    host.list_endpoints("a", kind=EndpointListKind.DELTA, weight=3.0, zone="z")
    assert len(host.balancer.endpoints) == 1001 and len(host.balancer.tracked["a"].ring_positions) == 6
    host.list_endpoints(kind=EndpointListKind.SNAPSHOT)
    assert not host.balancer.subset and host.admit(established=False).endpoint is None


def test_a_live_weight_is_read_as_connections_and_not_as_a_size(make_host):
    # Taken for a size, the ring wandered with it and the fullest server looked smallest.
    host = make_host(live_weights=True, group_affinity=True, instance_count=8)
    servers = host.list_endpoints("a", "b", "c", weight=4.0, machine_type="m")
    host.list_endpoints("d", kind=EndpointListKind.DELTA, weight=2.0, machine_type="n")
    places = {s.name: list(s.ring_positions) for s in host.balancer.endpoints}
    host.list_endpoints("a", kind=EndpointListKind.DELTA, weight=0.4, machine_type="m")
    host.list_endpoints("b", kind=EndpointListKind.DELTA, weight=1.0, machine_type="m")
    assert [s.size for s in host.balancer.endpoints] == [4.0, 4.0, 4.0, 2.0]
    assert {s.name: list(s.ring_positions) for s in host.balancer.endpoints} == places
    assert [round(s.shared_connections, 6) for s in servers] == [9.0, 3.0, 0.0]
    host.report_loads(a=0.9)
    assert host.balancer.load_of(servers[1]) == pytest.approx(0.3)  # reported of one: of all of its type
    host.list_endpoints("a", kind=EndpointListKind.DELTA, weight=0.5, machine_type="m")
    assert host.balancer.load_of(servers[0]) == pytest.approx(0.7)  # its report is carried on
    weigh = [host.balancer.cost(s, None, None) for s in servers]
    assert weigh == sorted(weigh, reverse=True) and len(set(weigh)) == 3
    host.list_endpoints("a", kind=EndpointListKind.DELTA, weight=0.0, machine_type="m")  # says nothing
    assert servers[0].size == 4.0 and host.balancer.load_of(servers[0]) == pytest.approx(0.7)


def test_a_switch_to_live_weights_and_back_reads_nothing_old_as_new(make_host):
    # A load reported under sizes was carried on by all connections at the first live weight.
    host = make_host(group_affinity=True)
    a, b = host.list_endpoints("a", "b", weight=4.0, machine_type="m")
    sess, live = host.admit(), replace(DEFAULT_SETTINGS, group_affinity=True, live_weights=True)
    host.report_loads(a=0.4, b=0.2)
    host.balancer.reconfigure(live)
    host.list_endpoints("a", "b", weight=0.4, machine_type="m")
    host.list_endpoints("b", kind=EndpointListKind.DELTA, weight=4.0, machine_type="m")
    assert host.balancer.load_of(a) == pytest.approx(0.4) and (a.size, a.shared_connections) == (4.0, 9.0)
    host.report_loads(a=0.5)
    host.balancer.reconfigure(replace(DEFAULT_SETTINGS, group_affinity=True))
    assert not host.balancer.load_calibration and host.balancer.load_of(a) == pytest.approx(0.5)
    host.list_endpoints("a", "b", weight=2.0, machine_type="m")
    assert (a.size, a.shared_connections, b.size) == (2.0, 0.0, 2.0)
    assert (
        sess.endpoint in (a, b)
        and sess in sess.endpoint.connections
        and len(host.calls_to("start_attempt")) == 1
    )


def test_six_in_ten_endpoints_replaced_in_one_answer_get_nothing_more_and_every_session_is_answered(
    make_host,
):
    host = make_host(instance_count=40)
    host.list_endpoints(*(f"s{n}" for n in range(10)), weight=4.0)
    for _ in range(40):
        host.admit()
    old, before = {f"s{n}" for n in range(6)}, len(host.calls_to("start_attempt"))
    host.balancer.on_endpoint_list(
        EndpointListKind.DELTA,
        [
            *(Endpoint(name, EndpointState.REMOVED) for name in sorted(old)),
            *(Endpoint(f"t{n}", EndpointState.IN_SERVICE, weight=4.0, started_at=host.now) for n in range(6)),
        ],
    )
    late = []
    for _ in range(40):
        late.append(host.admit())
        host.advance(0.2)
    fresh = [server for _, server, _ in host.calls_to("start_attempt")[before:]]
    assert not old & set(fresh) and any(name.startswith("t") for name in fresh)
    assert all(sess.established or sess.answered for sess in late)
    assert len(fresh) + len(host.calls_to("reject")) == 40
