"""Balancing decisions based on the estimates of load gossip."""

from dataclasses import replace

import pytest
from conftest import DEFAULT_SETTINGS

from onyxhollow.counters import Counters
from onyxhollow.decision_adapter import DecisionAdapter, report_shared
from onyxhollow.gossip.evidence_table import EndpointEstimate
from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState

FEW_CONNECTIONS_SETTINGS = {
    "health_checks": True,
    "health_check_price": 0.001,
    "instance_count": 100,
    "zone": "a",
}


def report_zones(host, **names):
    entries = [Endpoint(name, EndpointState.IN_SERVICE, zone=zone) for name, zone in names.items()]
    host.balancer.on_endpoint_list(EndpointListKind.SNAPSHOT, entries)
    return [host.balancer.tracked[name] for name in names]


def test_with_few_own_connections_local_endpoints_are_preferred_unless_their_load_is_much_higher(make_host):
    host = make_host(seed=3, **FEW_CONNECTIONS_SETTINGS)
    servers = report_zones(host, **{f"s{n}": "a" if n < 5 else "b" for n in range(20)})
    host.balancer.awaits_load_report = lambda *_: False
    counts = {"a": 0, "b": 0}
    for _ in range(40):
        host.report_loads(**{s.name: 0.3 for s in servers})
        session = host.admit()
        counts[session.endpoint.zone] += 1
        session.on_attempt_ended(AttemptOutcome.OK, True, 0.0)
    assert counts["a"] >= 35
    for endpoint in servers:  # the estimates of the local endpoints are far higher
        load, connections = (0.6, 60) if endpoint.zone == "a" else (0.2, 20)
        report_shared(host.balancer, EndpointEstimate(endpoint.name, load, 0.0, connections, 0.0, 0.0))
    for _ in range(40):
        counts[(session := host.admit()).endpoint.zone] += 1
        session.on_attempt_ended(AttemptOutcome.OK, True, 0.0)
    assert counts["b"] >= 25


def test_estimates_replace_load_reports_and_health_checks_resume_when_they_expire(make_host):
    host = make_host(**FEW_CONNECTIONS_SETTINGS)
    a, b = report_zones(host, a="a", b="a")
    for name, load in (("a", 0.5), ("b", 0.1)):
        report_shared(host.balancer, EndpointEstimate(name, load, 1.0, round(load * 100), 0.5, 0.0))
    host.balancer.slow_start.since -= 20.0  # a low arrival rate, so that capacity is hardly ever denied
    assert host.admit().endpoint is b and not host.calls_to("check_health")
    # Many connections were opened since that report.
    report_shared(host.balancer, EndpointEstimate("b", None, 3.0, 40, 0.0, 0.0))
    assert host.balancer.load_of(b) == pytest.approx(0.4, abs=0.01)
    host.advance(9.0)  # the estimates have expired
    before = len(host.calls_to("check_health"))
    host.admit(established=False)
    assert len(host.calls_to("check_health")) > before


def test_failures_seen_by_others_raise_the_outlier_score_but_do_not_eject_alone(make_host):
    host = make_host(**FEW_CONNECTIONS_SETTINGS)
    a, *_ = report_zones(host, a="a", b="a", c="a")
    for _ in range(5):
        report_shared(host.balancer, EndpointEstimate("a", 0.1, 0.0, 10, 0.0, 1.5))
    assert a.outlier_score(host.now) == pytest.approx(1.5) and host.balancer.eligible(a)
    host.balancer.record_failure(a, 1.0)
    assert not host.balancer.eligible(a)


def test_an_endpoint_skipped_at_random_counts_as_having_capacity_and_a_full_one_does_not():
    settings = replace(DEFAULT_SETTINGS, **FEW_CONNECTIONS_SETTINGS)
    decisions = DecisionAdapter(
        lambda: 100.0, settings, 1, Counters(), lambda line: None, lambda name: None, lambda: None
    )
    entries = [Endpoint(name, EndpointState.IN_SERVICE, zone="a") for name in "xy"]
    decisions.report_list(EndpointListKind.SNAPSHOT, entries)
    servers = decisions.balancer.tracked
    servers["x"].overloaded_at = 100.0
    assert not decisions.balancer.eligible(servers["x"]) and decisions.count_with_capacity("a") == (2, 2)
    decisions.report_health_check("y", AttemptOutcome.OK, 0.0, 0.9)
    assert decisions.count_with_capacity("a") == (2, 1)
