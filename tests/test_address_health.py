"""Tests of a site's health, computed from the reports of its members."""

from onyxhollow.addresses.health import HealthAggregator, HealthTracker
from onyxhollow.addresses.messages import (
    AddressHealth,
    HealthReport,
)


def rows(health):
    return [AddressHealth("x", health, "", 1.0, 1.0)]


def test_a_single_member_link_or_wrong_report_does_not_determine_the_health():
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
    assert pair.assess("s", "x", 14.0).health is None  # only one of two members has reported
    pair.record("a", HealthReport("s", rows(0.0)), 25.0)
    assert pair.assess("s", "x", 25.0).health == 0.0  # the other member is no longer counted as present
    assert pair.assess("s", "x", 99.0).health is None and pair.assess("nowhere", "x", 1.0).health is None
    pair.record("a", HealthReport("s", [AddressHealth("x", 7.0, "", -1.0, 0.0)]), 100.0)
    assert pair.assess("s", "x", 100.0).health is None  # numbers out of range


def test_a_tracker_reports_the_worst_of_its_measurements():
    tracker = HealthTracker()
    assert tracker.assess(True, 4, 4)[0] == 1.0 and tracker.assess(False, 4, 4) == (0.0, "accepts no clients")
    assert [tracker.assess(True, *endpoints)[0] for endpoints in ((10, 0), (8, 1), (0, 0))] == [0.0, 0.5, 0.0]
    tracker.record_outcomes(0.0, 0, 0)
    tracker.record_outcomes(5.0, 5, 20)
    assert (
        tracker.assess(True, 4, 4) == (0.25, "25% of sessions were accepted")
        and tracker.arrival_rate() == 4.0
    )
    for succeeded in (True, False, False, False, False):
        tracker.record_probe(succeeded)
    assert tracker.assess(True, 4, 4)[0] == 0.2
    tracker.record_outcomes(16.0, 100, 115)  # older samples are removed
    assert tracker.success_ratio() is None
