"""Tests of controller, announcers and route guards together, under schedules of faults in virtual time."""

import pytest
from address_support import WITHDRAWN

from onyxhollow.addresses.messages import DrainRequest, Override
from onyxhollow.addresses.routes import Cause
from onyxhollow.lab.fleet import address_explorer, random_walk
from onyxhollow.lab.fleet.random_walk import STEP_SECONDS, VOTERS


def test_no_schedule_of_faults_breaks_an_invariant():
    assert random_walk.find_violations(range(12)) == []


@pytest.mark.parametrize("name", sorted(address_explorer.SCENARIOS))
def test_no_fault_at_any_point_of_a_scenario_breaks_an_invariant(name):
    result = address_explorer.explore(name, stride=61)  # the benchmark runs every point
    assert result.runs > 40 and result.violations == []


def test_an_announcer_stopped_during_a_restore_does_not_cause_the_last_site_to_be_withdrawn():
    assert (
        address_explorer.ExploredWorld((("stop announcer b", 19),)).run_scenario("two excluded, the last ill")
        == []
    )


class DrainedWorld(address_explorer.ExploredWorld):
    """The explorer's world without faults, in which overrides do not expire."""

    def __init__(self):
        super().__init__(())
        self.requested = []  # drain requests of controllers
        self.run_until(lambda: {self.preference(site, name) for site in "abc" for name in "xy"} == {2})

    def run_until(self, condition, within=40.0):
        for _ in range(round(within / STEP_SECONDS)):
            if condition():
                return
            self.step()
        raise AssertionError(f"not reached within {within} simulated seconds")

    def send_outbox(self, holder):
        self.requested += [row.message for row in holder.core.outbox if isinstance(row.message, DrainRequest)]
        super().send_outbox(holder)

    def preference(self, site, name):
        return self.sites[site].table.preferences[name]

    def drain(self, site):
        for voter in VOTERS[:2]:
            override = Override("o1", 1, "drain", "", site, "op", "power", self.now, 0.0)
            self.override_logs[voter].add(override, self.now, self.now)

    def run_until_withdrawn(self, site):
        self.run_until(lambda: {self.preference(site, name) for name in "xy"} == {WITHDRAWN})

    def drained_addresses(self, site):
        return self.sites[site].announcers[-1].core.drained_addresses()


def test_a_drain_continues_under_a_new_controller_and_a_new_announcer():
    """Open connections stayed: both had forgotten that an override had withdrawn the site's routes."""
    world = DrainedWorld()
    world.drain("a")
    world.run_until_withdrawn("a")
    world.run_until(lambda: world.drained_addresses("a") == ["x", "y"])
    world.controllers.clear()
    world.sites["a"].announcers.clear()
    world.step()
    assert world.drained_addresses("a") == []  # the new announcer has not received an assignment yet
    world.run_until(lambda: world.drained_addresses("a") == ["x", "y"])


def test_a_drain_continues_under_an_announcer_that_starts_after_the_site_was_out_of_reach():
    """The controller adopted the new announcer's report, which has no causes, and forgot its own."""
    world = DrainedWorld()
    world.drain("a")
    world.run_until_withdrawn("a")
    world.run_until(lambda: world.drained_addresses("a") == ["x", "y"])
    controller = world.current_controller()
    world.sites["a"].announcers[-1].stopped_until = world.now + 8.0
    world.run_until(lambda: not controller.core.routes["x", "a"].reachable)
    world.sites["a"].announcers.clear()
    world.run_until(lambda: controller.core.routes["x", "a"].reachable)
    world.run_until(lambda: world.drained_addresses("a") == ["x", "y"])
    assert world.current_controller() is controller


def test_open_connections_move_off_a_site_that_was_out_for_its_health_before_its_drain():
    """They never moved: the site's announcer requests it only for routes that an override has withdrawn."""
    world = DrainedWorld()
    world.sites["a"].health = 0.0
    world.run_until_withdrawn("a")
    world.run_until(lambda: world.current_controller().core.routes["y", "a"].installed)
    for _ in range(20):
        world.step()
    assert world.drained_addresses("a") == [] and world.requested == []  # no override is in force
    world.drain("a")
    world.run_until(lambda: world.requested)
    assert world.requested == [DrainRequest("a", ["x", "y"])]
    route = world.current_controller().core.routes["x", "a"]
    assert route.cause == Cause.HEALTH  # still counts towards the withdrawal limit


# By injected bug: the first seed in range(400) whose schedule reveals it (random_walk.detect_bug).
REVEALING_SEEDS = {
    "no least": 24,
    "no budget": 33,
    "old terms": 119,
    "overtaken calls": 318,
    "told at once": 1,
    "no look at what stands": 0,
}


@pytest.mark.parametrize("name", sorted(random_walk.BUGS))
def test_each_injected_bug_is_found(name):
    seeds = range(REVEALING_SEEDS[name], REVEALING_SEEDS[name] + 1)
    assert random_walk.detect_bug(name, seeds) and not random_walk.find_violations(seeds)
