"""Controller, announcers and route guards together, under schedules of faults in made-up time."""

import pytest

from onyxhollow.lab.fleet import places, wander


def test_no_schedule_of_faults_breaks_an_invariant():
    assert wander.explore(range(12)) == []


@pytest.mark.parametrize("name", sorted(places.COURSES))
def test_no_fault_at_any_place_of_a_scenario_breaks_an_invariant(name):
    found = places.explore(name, every=61)  # the benchmark plays them all
    assert found.runs > 40 and found.broken == []


def test_an_announcer_stopped_while_its_site_is_restored_leaves_the_last_site():
    assert places.Placed((("stop announcer b", 19),)).course("two excluded, the last ill") == []


# A schedule by which each bug shows: the first of wander.found(name, range(400)).
SHOWS = {
    "no least": 24,
    "no budget": 33,
    "old terms": 119,
    "overtaken calls": 318,
    "told at once": 1,
    "no look at what stands": 0,
}


@pytest.mark.parametrize("name", sorted(wander.BUGS))
def test_each_injected_bug_is_found(name):
    only = range(SHOWS[name], SHOWS[name] + 1)
    assert wander.found(name, only) and not wander.explore(only)
