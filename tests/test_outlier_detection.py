"""Outlier detection: which endpoints are ejected."""

import pytest
from decision_setups import count_placements

from onyxhollow.interface import (
    AttemptOutcome,
)


def test_an_outlier_gets_no_sessions_and_its_connections_are_migrated(host, end_attempt):
    a, *_ = host.list_endpoints(*"abcde")
    for _ in range(50):
        host.admit()
    own = [s for s in a.connections if s.placed_here]
    for session in own[:6]:
        session.on_message_delay(1.0)
        host.balancer.record_failure(a, 1.0)
        host.balancer.rebalance_subset()
    before = count_placements(host)["a"]
    host.advance(1.2)
    assert {token for (token,) in host.calls_to("migrate")} <= {s.token for s in own} and host.calls_to(
        "migrate"
    )
    for _ in range(10):
        host.admit()
    assert count_placements(host)["a"] == before
    host.advance(60.0)
    assert a.migration is None


def test_a_backing_store_that_is_slow_for_all_endpoints_ejects_none(host, end_attempt):
    servers = host.list_endpoints(*"abcd")
    for _ in range(6):
        for endpoint in servers:
            host.balancer.record_failure(endpoint, 1.0)
        host.advance(0.1)
    assert host.admit().endpoint in servers and not any(s.migration for s in servers)


@pytest.mark.parametrize("is_late", [False, True])
def test_an_endpoint_that_resets_a_connection_or_is_late_gets_no_sessions_for_a_while(
    host, end_attempt, is_late
):
    a, _ = host.list_endpoints("a", "b")
    sessions = [host.admit() for _ in range(10)]
    placed = [s for s in sessions if s.endpoint is a]
    if is_late:
        placed[0].on_message_delay(0.5)
    else:
        end_attempt(placed[0])
    before = count_placements(host)["a"]
    for _ in range(10):
        host.admit()
    assert count_placements(host)["a"] == before
    host.advance(2.0)
    for _ in range(30):
        host.admit()
    assert count_placements(host)["a"] > before


def test_an_endpoint_that_closes_a_connection_or_refuses_one_is_ejected_at_once(host, end_attempt):
    # With an outdated list, clients were sent to one draining endpoint after another, and to closed ports.
    servers = host.list_endpoints("a", "b", "c")
    session = host.admit()
    closing = session.endpoint
    session.on_attempt_ended(AttemptOutcome.CANCELLED, True, 20.0)
    assert not host.balancer.eligible(closing)
    assert {host.admit().endpoint for _ in range(20)} == {*servers} - {closing}
    host.advance(4.0)  # the ejection ends as the score decays
    assert host.balancer.eligible(closing)
    host.advance(40.0)
    end_attempt(
        host.admit(established=False), AttemptOutcome.CONNECT_FAILED
    )  # after 0.1 s the endpoint may only be slow
    assert all(host.balancer.eligible(endpoint) for endpoint in servers)
    session = host.admit(established=False)
    refusing = session.endpoint
    session.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert not host.balancer.eligible(refusing) and session.endpoint is not refusing


def test_a_client_that_leaves_or_is_migrated_is_no_evidence_against_its_endpoint(host):
    host.list_endpoints("a")
    client_left, migrated = host.admit(), host.admit()
    client_left.on_client_gone()
    client_left.on_attempt_ended(AttemptOutcome.CANCELLED, True, 20.0)
    migrated.endpoint.overloaded_at = host.now
    host.balancer.start_migration(migrated.endpoint, "for a test")
    assert host.calls_to("migrate")
    migrated.on_attempt_ended(AttemptOutcome.CANCELLED, True, 20.0)
    assert migrated.endpoint.outlier_score(host.now) == 0.0
