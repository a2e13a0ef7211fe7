"""Tests of when the policy requests health checks of endpoints."""

from decision_setups import FEW_CONNECTIONS_SETTINGS


def test_endpoints_are_checked_often_only_while_one_is_overloaded(make_host):
    host = make_host(health_checks=True, health_check_price=0.01)
    host.balancer.awaits_load_report = lambda *_: False  # tested elsewhere
    a, *_ = host.list_endpoints(*"abcdefgh")

    def count_checks():
        before = len(host.calls_to("check_health"))
        for _ in range(40):
            host.admit()
            host.advance(0.25)
        return len(host.calls_to("check_health")) - before

    calm = count_checks()
    a.overloaded_at = host.now
    assert 4 <= calm <= 14 and count_checks() >= 2 * calm


def test_with_few_own_connections_an_endpoint_is_checked_first_and_skipped_if_it_does_not_answer(make_host):
    host = make_host(
        seed=4, **FEW_CONNECTIONS_SETTINGS
    )  # this seed admits the session to the second endpoint
    a, b = host.list_endpoints("a", "b")
    session = host.admit()
    checked = host.calls_to("check_health")[0][0]
    assert session.endpoint is None and not host.calls_to("start_attempt")
    host.advance(0.2)
    host.report_loads(**{name: 0.1 for name in "ab" if name != checked})
    host.advance(0.2)
    assert session.endpoint is (a if checked == "b" else b)


def test_an_instance_of_a_small_fleet_makes_attempts_at_once_after_a_restart(make_host):
    host = make_host(health_checks=True, health_check_price=0.001, instance_count=4)
    host.list_endpoints(*"abcd")
    assert host.admit().endpoint and not host.calls_to("check_health")


def test_free_capacity_that_all_instances_see_is_not_used_by_all_at_once(make_host):
    def count_attempts(count):
        attempts = 0
        for seed in range(count):
            host = make_host(seed, **FEW_CONNECTIONS_SETTINGS)
            host.list_endpoints("a", *(f"s{n}" for n in range(15)))
            host.report_loads(a=0.6, **{f"s{n}": 0.9 for n in range(15)})
            host.balancer.refresh_health()
            host.balancer.slow_start.decayed_count, host.balancer.connections_at_capacity = 1.0, 2.0
            host.admit()
            attempts += len(host.calls_to("start_attempt"))
        return attempts

    assert 0 < count_attempts(100) < 25


def test_endpoints_that_are_full_only_by_an_estimate_are_checked_while_sessions_wait(make_host):
    # Guards against sessions that wait although endpoints have capacity. After a drain this instance has few
    # of an endpoint's many connections, so the estimate counts each new one as a tenth of the capacity.
    host = make_host(health_checks=True, health_check_price=0.001, instance_count=2)
    host.list_endpoints("a", "b")
    host.report_loads(a=0.4, b=0.4)
    for _ in range(14):
        host.admit()
    host.advance(0.6)
    host.report_loads(a=0.4, b=0.4)
    counts_before = [len(server.connections) for server in host.balancer.tracked.values()]
    checks_before = len(host.calls_to("check_health"))
    while not host.balancer.queue:
        host.admit()
    host.advance(0.45)
    counts = [len(server.connections) for server in host.balancer.tracked.values()]
    assert any(new > 1.5 * old for new, old in zip(counts, counts_before, strict=True))
    assert 2 <= len(host.calls_to("check_health")) - checks_before <= 6
    host.report_loads(a=0.4, b=0.4)
    host.advance(0.1)
    assert not host.balancer.queue
