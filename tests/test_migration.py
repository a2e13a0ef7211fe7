"""Migration: the rate of each stage, the order of connections, and the end."""

from peers import CALLS

from onyxhollow.interface import (
    AttemptOutcome,
    EndpointListKind,
    EndpointState,
)
from onyxhollow.policy.migration import StagedMigration


def test_the_rate_of_each_stage_depends_on_both_latencies():
    def rate(moved, source=None, receiver=None):
        migration = StagedMigration(40)
        migration.moved = moved
        return sum(migration.allowance(source, receiver) for _ in range(4)) / 4

    assert [rate(count) for count in (0, 10, 20, 30)] == [2, 4, 6, 8]
    assert [rate(0, 1.0, r) for r in (1.9, 2.0, 3.0)] == [2, 1, 0.5]
    assert [rate(30, 1.0, r) for r in (2.0, 3.0)] == [8, 8]  # no throttle in the last stage
    assert rate(0, 1.1, 1.0) == 4 and rate(30, 1.1, 1.0) == 16


def test_a_drain_migrates_own_connections_idle_first_and_counts_natural_ends(host):
    (a,) = host.list_endpoints("a")
    sessions = [host.admit() for _ in range(40)]
    for load, session in enumerate(sessions):
        session.on_load(float(40 - load))
    host.balancer.adopt(7, CALLS, None, None, 0.0, "a")
    host.list_endpoints("b", kind=EndpointListKind.DELTA)
    host.list_endpoints("a", kind=EndpointListKind.DELTA, state=EndpointState.DRAINING)
    assert host.admit(established=False).endpoint is not a
    host.advance(2.2)
    moved = [token for (token,) in host.calls_to("migrate")]
    assert moved[:6] == [s.token for s in sessions[:-7:-1]] and 7 not in moved
    sessions[0].on_attempt_ended(AttemptOutcome.OK, True, 9.0)
    assert a.migration.moved == len(moved) + 1


def test_a_receiver_slower_than_the_source_before_the_drain_halves_the_rate(host):
    a, b = host.list_endpoints("a", "b")
    for _ in range(80):
        host.admit(handshake_seconds=0.01)
    host.list_endpoints("a", kind=EndpointListKind.DELTA, state=EndpointState.DRAINING)
    first_step = len(host.calls_to("migrate"))
    b.handshake_time.add(0.1, host.now)
    host.advance(2.2)
    assert first_step and len(host.calls_to("migrate")) - first_step <= first_step


def test_an_overloaded_endpoint_migrates_adopted_connections_while_most_others_have_capacity(make_host):
    # With nearly all connections adopted, an endpoint stayed overloaded until it shed them or failed.
    for loads, is_migrated in (({"b": 0.3, "c": 0.3}, True), ({"b": 0.8, "c": 0.8}, False), (None, False)):
        host = make_host()
        host.list_endpoints("a", "b", "c")
        for token in range(20):
            host.balancer.adopt(token, CALLS, None, None, 0.0, "a")
        host.report_loads(**loads or {})
        host.advance(0.6)
        if loads:
            host.report_loads(a=1.3)
        else:
            # A drain does not migrate adopted connections.
            host.list_endpoints("a", kind=EndpointListKind.DELTA, state=EndpointState.DRAINING)
        host.advance(1.5)
        assert bool(host.calls_to("migrate")) is is_migrated


def test_an_overloaded_source_counts_as_slow_if_no_message_delay_is_reported(make_host):
    # By earlier handshake times a distant receiver was slower than the source, so that only two connections
    # left an overloaded endpoint in four seconds.
    moved = []
    for load in (1.3, 0.9):
        host = make_host()
        a, *others = host.list_endpoints("a", "b", "c")
        for _ in range(60):
            host.admit()
        for endpoint in others:
            endpoint.handshake_time.add(0.2, host.now)  # distant: twenty times the source's
        host.report_loads(b=0.3, c=0.3)
        host.advance(0.6)
        a.load, a.load_reported_at, a.connections_at_report = load, host.now, len(a.connections)
        host.balancer.start_migration(a, "for a test")
        moved.append(len(host.calls_to("migrate")))
    assert moved == [2, 0] and len(a.connections) >= 18


def test_an_overloaded_endpoint_migrates_until_its_load_is_below_capacity(host):
    a, _ = host.list_endpoints("a", "b")
    for _ in range(60):
        host.admit()
    host.report_loads(b=0.5, a=1.2)
    host.advance(20.0)
    moved = len(host.calls_to("migrate"))
    assert 4 <= moved < 30 and a.migration is None


def test_messages_late_for_over_a_second_start_a_migration_that_ends_with_the_delay(host):
    a, *_ = host.list_endpoints(*"abcde")
    late_session = next(session for session in [host.admit() for _ in range(50)] if session.endpoint is a)
    late_session.on_message_delay(1.0)
    host.advance(0.5)
    assert not host.calls_to("migrate")
    host.advance(0.5)
    late_session.on_message_delay(1.0)
    host.advance(0.1)
    assert host.calls_to("migrate")
    host.advance(5.0)
    assert a.migration is None and a.connections
