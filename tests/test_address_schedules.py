"""Tests of controller, announcers and route guards together, under schedules of faults in virtual time."""

import pytest

from onyxhollow.lab.fleet import address_explorer, wander


def test_no_schedule_of_faults_breaks_an_invariant():
    assert wander.explore(range(12)) == []


@pytest.mark.parametrize("name", sorted(address_explorer.SCENARIOS))
def test_no_fault_at_any_point_of_a_scenario_breaks_an_invariant(name):
    result = address_explorer.explore(name, every=61)  # the benchmark runs every point
    assert result.runs > 40 and result.broken == []


def test_an_announcer_stopped_during_a_restore_does_not_cause_the_last_site_to_be_withdrawn():
    assert (
        address_explorer.ExploredWorld((("stop announcer b", 19),)).run_scenario("two excluded, the last ill")
        == []
    )


# By injected bug: the first seed in range(400) whose schedule reveals it, according to wander.found.
REVEALING_SEEDS = {
    "no least": 24,
    "no budget": 33,
    "old terms": 119,
    "overtaken calls": 318,
    "told at once": 1,
    "no look at what stands": 0,
}


@pytest.mark.parametrize("name", sorted(wander.BUGS))
def test_each_injected_bug_is_found(name):
    seeds = range(REVEALING_SEEDS[name], REVEALING_SEEDS[name] + 1)
    assert wander.found(name, seeds) and not wander.explore(seeds)
