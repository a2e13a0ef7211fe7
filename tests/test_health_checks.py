"""When endpoints are asked for their load."""

from decision_setups import FEW_CONNECTIONS_SETTINGS


def test_endpoints_are_checked_often_only_while_one_is_overloaded(make_host):
    host = make_host(health_checks=True, health_check_price=0.01)
    host.balancer.awaits_load_report = lambda *_: False  # which has tests of its own
    a, *_ = host.list_endpoints(*"abcdefgh")

    def probes():
        before = len(host.calls_to("check_health"))
        for _ in range(40):
            host.admit()
            host.advance(0.25)
        return len(host.calls_to("check_health")) - before

    calm = probes()
    a.overloaded_at = host.now
    assert 4 <= calm <= 14 and probes() >= 2 * calm


def test_with_few_own_connections_an_endpoint_is_checked_before_an_attempt_and_a_silent_one_passed_over(
    make_host,
):
    host = make_host(seed=4, **FEW_CONNECTIONS_SETTINGS)  # whose chance for the room at the second is good
    a, b = host.list_endpoints("a", "b")
    sess = host.admit()
    asked = host.calls_to("check_health")[0][0]
    assert sess.endpoint is None and not host.calls_to("start_attempt")
    host.advance(0.2)
    host.report_loads(**{name: 0.1 for name in "ab" if name != asked})
    host.advance(0.2)
    assert sess.endpoint is (a if asked == "b" else b)


def test_an_instance_restarted_on_a_small_fleet_attempts_at_once(make_host):
    host = make_host(health_checks=True, health_check_price=0.001, instance_count=4)
    host.list_endpoints(*"abcd")
    assert host.admit().endpoint and not host.calls_to("check_health")


def test_capacity_that_all_instances_see_is_not_filled_by_all_at_once(make_host):
    def attempts(count):
        placed = 0
        for seed in range(count):
            host = make_host(seed, **FEW_CONNECTIONS_SETTINGS)
            host.list_endpoints("a", *(f"s{n}" for n in range(15)))
            host.report_loads(a=0.6, **{f"s{n}": 0.9 for n in range(15)})
            host.balancer.refresh_health()
            host.balancer.slow_start.decayed_count, host.balancer.connections_at_capacity = 1.0, 2.0
            host.admit()
            placed += len(host.calls_to("start_attempt"))
        return placed

    assert 0 < attempts(100) < 25


def test_endpoints_full_by_an_estimate_alone_are_checked_while_sessions_wait(make_host):
    # Back from a drain: few own connections where others hold many, so each new one looks like a tenth of it.
    host = make_host(health_checks=True, health_check_price=0.001, instance_count=2)
    host.list_endpoints("a", "b")
    host.report_loads(a=0.4, b=0.4)
    for _ in range(14):
        host.admit()
    host.advance(0.6)
    host.report_loads(a=0.4, b=0.4)
    before = [len(server.connections) for server in host.balancer.tracked.values()]
    asked = len(host.calls_to("check_health"))
    while not host.balancer.queue:
        host.admit()
    host.advance(0.45)
    grown = [len(server.connections) for server in host.balancer.tracked.values()]
    assert any(new > 1.5 * old for new, old in zip(grown, before, strict=True))
    assert 2 <= len(host.calls_to("check_health")) - asked <= 6
    host.report_loads(a=0.4, b=0.4)
    host.advance(0.1)
    assert not host.balancer.queue
