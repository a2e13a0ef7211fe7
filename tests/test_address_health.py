"""Health of a site from the reports of its members."""

from onyxhollow.addresses.health import HealthAggregator, HealthTracker
from onyxhollow.addresses.messages import (
    AddressHealth,
    HealthReport,
)


def rows(health):
    return [AddressHealth("x", health, "", 1.0, 1.0)]


def test_one_member_one_link_or_one_bad_report_does_not_decide():
    aggregator = HealthAggregator(max_age=3.0)
    for member, health in (("a", 0.0), ("b", 1.0), ("c", 0.9)):
        aggregator.record(member, HealthReport("s", rows(health)), 10.0)
    assert aggregator.assess("s", "x", 10.0).health == 0.9
    aggregator.record("b", HealthReport("s", rows(0.1)), 11.0)
    assert aggregator.assess("s", "x", 11.0).health == 0.1
    pair = HealthAggregator(max_age=3.0)
    pair.record("a", HealthReport("s", rows(0.0)), 10.0)
    pair.record("b", HealthReport("s", rows(1.0)), 10.0)
    assert pair.assess("s", "x", 10.0).health == 1.0
    pair.record("a", HealthReport("s", rows(0.0)), 14.0)
    assert pair.assess("s", "x", 14.0).health is None  # only one of two has reported
    pair.record("a", HealthReport("s", rows(0.0)), 25.0)
    assert pair.assess("s", "x", 25.0).health == 0.0  # the other has been gone for long
    assert pair.assess("s", "x", 99.0).health is None and pair.assess("nowhere", "x", 1.0).health is None
    pair.record("a", HealthReport("s", [AddressHealth("x", 7.0, "", -1.0, 0.0)]), 100.0)
    assert pair.assess("s", "x", 100.0).health is None  # absurd


def test_a_probe_target_is_as_healthy_as_the_worst_of_its_signs():
    target = HealthTracker()
    assert target.assess(True, 4, 4)[0] == 1.0 and target.assess(False, 4, 4) == (0.0, "takes no clients")
    assert [target.assess(True, *endpoints)[0] for endpoints in ((10, 0), (8, 1), (0, 0))] == [0.0, 0.5, 0.0]
    target.record_outcomes(0.0, 0, 0)
    target.record_outcomes(5.0, 5, 20)
    assert target.assess(True, 4, 4) == (0.25, "25% of sessions were put up") and target.arrival_rate() == 4.0
    for succeeded in (True, False, False, False, False):
        target.record_probe(succeeded)
    assert target.assess(True, 4, 4)[0] == 0.2
    target.record_outcomes(16.0, 100, 115)  # what was before is forgotten
    assert target.success_ratio() is None
