"""Attempts, queueing and rejections while no endpoint is eligible."""

from dataclasses import replace

import pytest
from peers import CALLS

from onyxhollow.interface import (
    EndpointListKind,
    EndpointState,
    Tenant,
)


def test_while_all_endpoints_are_cold_sessions_are_queued_and_rejected_at_half_time(host):
    host.list_endpoints("a")
    host.list_endpoints("a", kind=EndpointListKind.DELTA, started_at=host.now)
    host.balancer.slow_start.decayed_count = 0.0
    session = host.admit()
    host.advance(0.9)
    assert not host.calls_to("start_attempt") and not host.calls_to("reject")
    host.advance(0.3)
    assert host.calls_to("reject")[0][0] == session.token
    host.advance(5.0)
    assert len(host.calls_to("reject")) == 1 and not host.calls_to("start_attempt")


def test_a_full_endpoint_gets_no_sessions_and_placements_count_before_the_next_report(host):
    a, b = host.list_endpoints("a", "b")
    for _ in range(20):
        host.admit()
    host.advance(1.0)
    host.report_loads(a=0.9, b=0.4)
    host.advance(0.1)
    before = len(a.connections)
    waiting = [s for _ in range(40) if (s := host.admit()).endpoint is None]
    assert len(a.connections) == before and waiting and len(b.connections) > 10
    host.report_loads(b=0.1)
    host.advance(0.1)
    assert waiting[0].endpoint is b


def test_overload_admits_by_utility_and_within_the_tenants_quota(make_host):
    over, within = Tenant("over", connection_quota=1.0), Tenant("within", connection_quota=99.0)
    host = make_host(tenants={"over": over, "within": within}, over_quota_utility=0.2)
    host.list_endpoints("a", "b")
    for _ in range(6):
        host.admit(tenant=over)
    low_utility, high_utility = replace(CALLS, utility=2.0), replace(CALLS, utility=5.0)
    host.advance(1.0)
    host.report_loads(a=0.9, b=0.9)
    order = [(low_utility, within), (high_utility, over), (high_utility, within)]
    waiting = [host.admit(listener, tenant=tenant) for listener, tenant in order]
    host.report_loads(a=0.1, b=0.1)
    host.advance(0.1)
    assert [token for token, *_ in host.calls_to("start_attempt")[-3:]] == [
        waiting[n].token for n in (2, 0, 1)
    ]


def test_a_long_queue_keeps_no_session_past_its_attempt_timeout(host):
    (a,) = host.list_endpoints("a")
    low_utility, high_utility = replace(CALLS, utility=1.0), replace(CALLS, utility=5.0)
    for step in range(40):
        a.overloaded_at = host.now
        host.admit(low_utility if step < 10 else high_utility, established=False)
        host.advance(0.1)
    assert [token for token, _ in host.calls_to("reject")][:18] == [10001 + n for n in range(18)]


@pytest.mark.parametrize("jump_seconds", [5.0, 600.0])
def test_after_a_clock_jump_queued_sessions_are_answered_once_and_new_ones_are_placed(host, jump_seconds):
    host.list_endpoints("a", "b", state=EndpointState.DRAINING)
    waiting = [host.admit(established=False) for _ in range(5)]
    host.timers.clear()
    host.now += jump_seconds
    host.balancer.tick()
    assert all(session.answered for session in waiting) and len(host.calls_to("reject")) == 5
    host.list_endpoints("a", "b")
    host.advance(1.0)
    assert host.admit().established and len(host.calls_to("reject")) == 5
