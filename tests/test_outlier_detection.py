"""Which endpoints are ejected, and which are not."""

import pytest
from decision_setups import count_placements

from onyxhollow.interface import (
    AttemptOutcome,
)


def test_an_outlier_that_nobody_drains_gets_nothing_and_is_migrated(host, end_attempt):
    a, *_ = host.list_endpoints(*"abcde")
    for _ in range(50):
        host.admit()
    mine = [s for s in a.connections if s.placed_here]
    for sess in mine[:6]:
        sess.on_message_delay(1.0)
        host.balancer.record_failure(a, 1.0)
        host.balancer.rebalance_subset()
    before = count_placements(host)["a"]
    host.advance(1.2)
    assert {token for (token,) in host.calls_to("migrate")} <= {s.token for s in mine} and host.calls_to(
        "migrate"
    )
    for _ in range(10):
        host.admit()
    assert count_placements(host)["a"] == before
    host.advance(60.0)
    assert a.migration is None


def test_a_store_that_is_slow_for_all_ejects_no_endpoint(host, end_attempt):
    servers = host.list_endpoints(*"abcd")
    for _ in range(6):
        for server in servers:
            host.balancer.record_failure(server, 1.0)
        host.advance(0.1)
    assert host.admit().endpoint in servers and not any(s.migration for s in servers)


@pytest.mark.parametrize("late", [False, True])
def test_an_endpoint_that_sheds_or_is_late_is_not_refilled_at_once(host, end_attempt, late):
    a, _ = host.list_endpoints("a", "b")
    sessions = [host.admit() for _ in range(10)]
    mine = [s for s in sessions if s.endpoint is a]
    if late:
        mine[0].on_message_delay(0.5)
    else:
        end_attempt(mine[0])
    before = count_placements(host)["a"]
    for _ in range(10):
        host.admit()
    assert count_placements(host)["a"] == before
    host.advance(2.0)
    for _ in range(30):
        host.admit()
    assert count_placements(host)["a"] > before


def test_an_endpoint_that_sends_a_client_away_or_refuses_connections_is_ejected_at_once(host, end_attempt):
    """The list was late: clients went from one draining server to the next, and to ports that were shut."""
    servers = host.list_endpoints("a", "b", "c")
    sess = host.admit()
    away = sess.endpoint
    sess.on_attempt_ended(AttemptOutcome.CANCELLED, True, 20.0)
    assert not host.balancer.eligible(away)
    assert {host.admit().endpoint for _ in range(20)} == {*servers} - {away}
    host.advance(4.0)  # no verdict for good
    assert host.balancer.eligible(away)
    host.advance(40.0)
    end_attempt(host.admit(established=False), AttemptOutcome.CONNECT_FAILED)  # 0.1 s: it may only be slow
    assert all(host.balancer.eligible(server) for server in servers)
    sess = host.admit(established=False)
    shut = sess.endpoint
    sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert not host.balancer.eligible(shut) and sess.endpoint is not shut


def test_a_client_that_leaves_or_is_migrated_is_no_evidence_against_its_endpoint(host):
    host.list_endpoints("a")
    left, moved = host.admit(), host.admit()
    left.on_client_gone()
    left.on_attempt_ended(AttemptOutcome.CANCELLED, True, 20.0)
    moved.endpoint.overloaded_at = host.now
    host.balancer.start_migration(moved.endpoint, "for a test")
    assert host.calls_to("migrate")
    moved.on_attempt_ended(AttemptOutcome.CANCELLED, True, 20.0)
    assert moved.endpoint.outlier_score(host.now) == 0.0
