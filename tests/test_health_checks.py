"""When endpoints are asked for their load."""

from decision_setups import FEW_CONNECTIONS_SETTINGS


def test_endpoints_are_checked_often_only_while_one_is_overloaded(start):
    host = start(health_checks=True, health_check_price=0.01)
    host.balancer.awaits_load_report = lambda *_: False  # which has tests of its own
    a, *_ = host.servers(*"abcdefgh")

    def probes():
        before = len(host.asked("check_health"))
        for _ in range(40):
            host.take()
            host.wait(0.25)
        return len(host.asked("check_health")) - before

    calm = probes()
    a.overloaded_at = host.now
    assert 4 <= calm <= 14 and probes() >= 2 * calm


def test_with_few_own_connections_an_endpoint_is_checked_before_an_attempt_and_a_silent_one_passed_over(
    start,
):
    host = start(seed=4, **FEW_CONNECTIONS_SETTINGS)  # whose chance for the room at the second is good
    a, b = host.servers("a", "b")
    sess = host.take()
    asked = host.asked("check_health")[0][0]
    assert sess.endpoint is None and not host.asked("start_attempt")
    host.wait(0.2)
    host.loads(**{name: 0.1 for name in "ab" if name != asked})
    host.wait(0.2)
    assert sess.endpoint is (a if asked == "b" else b)


def test_an_instance_restarted_on_a_small_fleet_attempts_at_once(start):
    host = start(health_checks=True, health_check_price=0.001, instance_count=4)
    host.servers(*"abcd")
    assert host.take().endpoint and not host.asked("check_health")


def test_capacity_that_all_instances_see_is_not_filled_by_all_at_once(start):
    def attempts(count):
        placed = 0
        for seed in range(count):
            host = start(seed, **FEW_CONNECTIONS_SETTINGS)
            host.servers("a", *(f"s{n}" for n in range(15)))
            host.loads(a=0.6, **{f"s{n}": 0.9 for n in range(15)})
            host.balancer.refresh_health()
            host.balancer.slow_start.decayed_count, host.balancer.connections_at_capacity = 1.0, 2.0
            host.take()
            placed += len(host.asked("start_attempt"))
        return placed

    assert 0 < attempts(100) < 25


def test_endpoints_full_by_an_estimate_alone_are_checked_while_sessions_wait(start):
    # Back from a drain: few own connections where others hold many, so each new one looks like a tenth of it.
    host = start(health_checks=True, health_check_price=0.001, instance_count=2)
    host.servers("a", "b")
    host.loads(a=0.4, b=0.4)
    for _ in range(14):
        host.take()
    host.wait(0.6)
    host.loads(a=0.4, b=0.4)
    before = [len(server.connections) for server in host.balancer.tracked.values()]
    asked = len(host.asked("check_health"))
    while not host.balancer.queue:
        host.take()
    host.wait(0.45)
    grown = [len(server.connections) for server in host.balancer.tracked.values()]
    assert any(new > 1.5 * old for new, old in zip(grown, before, strict=True))
    assert 2 <= len(host.asked("check_health")) - asked <= 6
    host.loads(a=0.4, b=0.4)
    host.wait(0.1)
    assert not host.balancer.queue
