"""Tests of when the policy requests health checks of endpoints."""

from decision_setups import FEW_CONNECTIONS_SETTINGS


def test_endpoints_are_checked_often_only_while_one_is_overloaded(start):
    host = start(health_checks=True, health_check_price=0.01)
    host.balancer.awaits_load_report = lambda *_: False  # tested elsewhere
    a, *_ = host.servers(*"abcdefgh")

    def count_checks():
        before = len(host.asked("check_health"))
        for _ in range(40):
            host.take()
            host.wait(0.25)
        return len(host.asked("check_health")) - before

    calm = count_checks()
    a.overloaded_at = host.now
    assert 4 <= calm <= 14 and count_checks() >= 2 * calm


def test_with_few_own_connections_an_endpoint_is_checked_first_and_skipped_if_it_does_not_answer(start):
    host = start(seed=4, **FEW_CONNECTIONS_SETTINGS)  # this seed admits the session to the second endpoint
    a, b = host.servers("a", "b")
    session = host.take()
    checked = host.asked("check_health")[0][0]
    assert session.endpoint is None and not host.asked("start_attempt")
    host.wait(0.2)
    host.loads(**{name: 0.1 for name in "ab" if name != checked})
    host.wait(0.2)
    assert session.endpoint is (a if checked == "b" else b)


def test_an_instance_of_a_small_fleet_makes_attempts_at_once_after_a_restart(start):
    host = start(health_checks=True, health_check_price=0.001, instance_count=4)
    host.servers(*"abcd")
    assert host.take().endpoint and not host.asked("check_health")


def test_free_capacity_that_all_instances_see_is_not_used_by_all_at_once(start):
    def count_attempts(count):
        attempts = 0
        for seed in range(count):
            host = start(seed, **FEW_CONNECTIONS_SETTINGS)
            host.servers("a", *(f"s{n}" for n in range(15)))
            host.loads(a=0.6, **{f"s{n}": 0.9 for n in range(15)})
            host.balancer.refresh_health()
            host.balancer.slow_start.decayed_count, host.balancer.connections_at_capacity = 1.0, 2.0
            host.take()
            attempts += len(host.asked("start_attempt"))
        return attempts

    assert 0 < count_attempts(100) < 25


def test_endpoints_that_are_full_only_by_an_estimate_are_checked_while_sessions_wait(start):
    # Guards against sessions that wait although endpoints have capacity. After a drain this instance has few
    # of an endpoint's many connections, so the estimate counts each new one as a tenth of the capacity.
    host = start(health_checks=True, health_check_price=0.001, instance_count=2)
    host.servers("a", "b")
    host.loads(a=0.4, b=0.4)
    for _ in range(14):
        host.take()
    host.wait(0.6)
    host.loads(a=0.4, b=0.4)
    counts_before = [len(server.connections) for server in host.balancer.tracked.values()]
    checks_before = len(host.asked("check_health"))
    while not host.balancer.queue:
        host.take()
    host.wait(0.45)
    counts = [len(server.connections) for server in host.balancer.tracked.values()]
    assert any(new > 1.5 * old for new, old in zip(counts, counts_before, strict=True))
    assert 2 <= len(host.asked("check_health")) - checks_before <= 6
    host.loads(a=0.4, b=0.4)
    host.wait(0.1)
    assert not host.balancer.queue
