"""Tests of how the policy processes updates and failures of the endpoint list."""

from dataclasses import replace

import pytest
from peers import DEFAULT_SETTINGS

from onyxhollow.interface import (
    Endpoint,
    EndpointListKind,
    EndpointState,
)


def test_an_endpoint_missing_from_a_snapshot_gets_no_attempts(host):
    host.servers("a", "b")
    host.servers("b")
    assert {host.take().endpoint.name for _ in range(30)} == {"b"}


def test_a_failed_list_is_polled_again_before_missed_changes_count_as_notified(start):
    host = start(list_is_polled=True, max_poll_interval=10.0)
    host.servers("a", kind=EndpointListKind.CACHED)
    host.wait(0.5)
    assert len(host.asked("poll_endpoint_list")) == 1
    for _ in range(6):
        host.servers(kind=EndpointListKind.FAILED)
        polls_before = len(host.asked("poll_endpoint_list"))
        host.wait(2.6)
        assert len(host.asked("poll_endpoint_list")) > polls_before
    host.servers("a", kind=EndpointListKind.SNAPSHOT)
    polls_before = len(host.asked("poll_endpoint_list"))
    host.wait(20.0)
    assert len(host.asked("poll_endpoint_list")) == polls_before


def test_the_polls_of_many_instances_do_not_overload_a_failing_list_service_and_continue(start):
    def count_polls(count):
        """Count the polls in 5 s after a failure for all instances; each poll fails after 2 s."""
        polls = 0
        for seed in range(count):
            host = start(seed, list_is_polled=True, instance_count=count)
            host.wait(6.0)
            host.balancer.on_endpoint_list(EndpointListKind.FAILED, [])
            host.did.clear()
            for _ in range(100):
                host.wait(0.05)
                if host.asked("poll_endpoint_list"):
                    polls += 1
                    host.did.clear()
                    host.wait(2.0)
                    host.balancer.on_endpoint_list(EndpointListKind.FAILED, [])
        return polls

    assert count_polls(40) <= 40 * 2 and count_polls(4) >= 4 * 2
    # The list is never answered: the first poll starts within 5 s, later ones within 6 s of a failure.
    host = start(list_is_polled=True, instance_count=40)
    for _ in range(20):
        host.wait(6.5)
        assert host.asked("poll_endpoint_list")
        host.did.clear()
        host.balancer.on_endpoint_list(EndpointListKind.FAILED, [])
    session = host.take(stands=False)
    host.wait(2.0)
    assert session.answered and len(host.asked("reject")) == 1


def test_a_subset_of_a_large_fleet_is_refilled_without_migrations(host):
    servers = host.servers(*(f"s{n}" for n in range(80)))
    first_subset = set(host.balancer.subset)
    assert len(first_subset) == 16
    for _ in range(40):
        host.take()
    removed = {s.name for s in servers if s in first_subset and s is not servers[-1]}
    host.servers(*removed, kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
    assert len(host.balancer.subset) == 16 and not removed & {s.name for s in host.balancer.subset}
    refilled = set(host.balancer.subset)
    host.wait(60.0)
    assert set(host.balancer.subset) != refilled and not host.asked("migrate")


def test_lists_with_a_duplicate_a_thousand_endpoints_a_changed_size_or_none_are_applied(host):
    host.servers()
    session = host.take()
    host.servers("a", "a")
    host.wait(0.1)
    assert session.endpoint is host.balancer.tracked["a"] and len(host.balancer.endpoints) == 1
    host.servers(*(f"s{n}" for n in range(1000)))
    host.servers("a", kind=EndpointListKind.DELTA, weight=3.0, zone="z")
    assert len(host.balancer.endpoints) == 1001 and len(host.balancer.tracked["a"].ring_positions) == 6
    host.servers(kind=EndpointListKind.SNAPSHOT)
    assert not host.balancer.subset and host.take(stands=False).endpoint is None


def test_a_live_weight_changes_the_connections_and_not_the_size(start):
    # Used as a size, a live weight would move the endpoint's ring positions, and the fullest endpoint would
    # count as the smallest.
    host = start(live_weights=True, group_affinity=True, instance_count=8)
    servers = host.servers("a", "b", "c", weight=4.0, machine_type="m")
    host.servers("d", kind=EndpointListKind.DELTA, weight=2.0, machine_type="n")
    ring_positions = {s.name: list(s.ring_positions) for s in host.balancer.endpoints}
    host.servers("a", kind=EndpointListKind.DELTA, weight=0.4, machine_type="m")
    host.servers("b", kind=EndpointListKind.DELTA, weight=1.0, machine_type="m")
    assert [s.size for s in host.balancer.endpoints] == [4.0, 4.0, 4.0, 2.0]
    assert {s.name: list(s.ring_positions) for s in host.balancer.endpoints} == ring_positions
    assert [round(s.shared_connections, 6) for s in servers] == [9.0, 3.0, 0.0]
    host.loads(a=0.9)
    assert host.balancer.load_of(servers[1]) == pytest.approx(
        0.3
    )  # calibrated by the report of its machine type
    host.servers("a", kind=EndpointListKind.DELTA, weight=0.5, machine_type="m")
    assert host.balancer.load_of(servers[0]) == pytest.approx(0.7)  # the report is extrapolated
    costs = [host.balancer.cost(s, None, None) for s in servers]
    assert costs == sorted(costs, reverse=True) and len(set(costs)) == 3
    host.servers("a", kind=EndpointListKind.DELTA, weight=0.0, machine_type="m")  # 0 is no measurement
    assert servers[0].size == 4.0 and host.balancer.load_of(servers[0]) == pytest.approx(0.7)


def test_a_switch_to_live_weights_and_back_does_not_use_earlier_weights(start):
    # Guards against extrapolating a load that was reported under sizes by all connections of the first live
    # weight.
    host = start(group_affinity=True)
    a, b = host.servers("a", "b", weight=4.0, machine_type="m")
    session, live = host.take(), replace(DEFAULT_SETTINGS, group_affinity=True, live_weights=True)
    host.loads(a=0.4, b=0.2)
    host.balancer.reconfigure(live)
    host.servers("a", "b", weight=0.4, machine_type="m")
    host.servers("b", kind=EndpointListKind.DELTA, weight=4.0, machine_type="m")
    assert host.balancer.load_of(a) == pytest.approx(0.4) and (a.size, a.shared_connections) == (4.0, 9.0)
    host.loads(a=0.5)
    host.balancer.reconfigure(replace(DEFAULT_SETTINGS, group_affinity=True))
    assert not host.balancer.load_calibration and host.balancer.load_of(a) == pytest.approx(0.5)
    host.servers("a", "b", weight=2.0, machine_type="m")
    assert (a.size, a.shared_connections, b.size) == (2.0, 0.0, 2.0)
    assert (
        session.endpoint in (a, b)
        and session in session.endpoint.connections
        and len(host.asked("start_attempt")) == 1
    )


def test_sessions_avoid_endpoints_that_one_delta_replaces_and_all_are_answered(start):
    host = start(instance_count=40)
    host.servers(*(f"s{n}" for n in range(10)), weight=4.0)
    for _ in range(40):
        host.take()
    replaced, attempts_before = {f"s{n}" for n in range(6)}, len(host.asked("start_attempt"))
    host.balancer.on_endpoint_list(
        EndpointListKind.DELTA,
        [
            *(Endpoint(name, EndpointState.REMOVED) for name in sorted(replaced)),
            *(Endpoint(f"t{n}", EndpointState.IN_SERVICE, weight=4.0, started_at=host.now) for n in range(6)),
        ],
    )
    sessions = []
    for _ in range(40):
        sessions.append(host.take())
        host.wait(0.2)
    endpoints = [endpoint for _, endpoint, _ in host.asked("start_attempt")[attempts_before:]]
    assert not replaced & set(endpoints) and any(name.startswith("t") for name in endpoints)
    assert all(session.established or session.answered for session in sessions)
    assert len(endpoints) + len(host.asked("reject")) == 40
