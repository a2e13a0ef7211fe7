"""Evenness as figures: even, idle, swinging and herding fleets are told apart."""

import json

import pytest
from test_lab import fault_section, small_scenario

from onyxhollow.lab import experiment, report, runs
from onyxhollow.lab.evenness import Evenness, Seen
from onyxhollow.lab.invariant_checker import InvariantChecker

NAMES = [f"s{n}" for n in range(10)]


def looked(loads_at, seconds=20, age=1.2):
    even = Evenness(age)
    for second in range(seconds):
        even.look(float(second), [Seen(name, loads_at(second, n), 4.0) for n, name in enumerate(NAMES)])
    return even


def test_even_load_has_no_spread_and_one_busy_server_shows_as_worst_over_mean():
    told = looked(lambda second, n: 0.5).figures()
    assert told["variation"] == 0 and told["worst_over_mean"] == 1 and not told["idle_servers"]
    told = looked(lambda second, n: 1.4 if n == 3 else 0.4).figures()
    assert told["worst_over_mean"] == pytest.approx(2.8) and told["variation"] > 0.5


def test_a_server_is_idle_after_a_while_far_under_the_mean_and_not_on_a_fleet_with_nothing_to_do():
    def loads(second, n):
        return 0.05 if n == 2 and 4 <= second < 12 or n == 5 and 4 <= second < 8 else 0.6

    even = looked(loads)
    assert even.idle() == [("s2", 4.0, 12.0)] and even.figures()["idle_seconds"] == 8
    assert not looked(lambda second, n: 0.001 * n).figures()["idle_servers"]
    assert looked(lambda second, n: 0.01 if n == 0 and second > 10 else 0.6).idle() == [("s0", 11.0, 19.0)]


def test_swings_count_servers_that_go_over_and_under_within_a_few_reports():
    swinging = looked(lambda second, n: 0.9 if (second // 2 + n) % 2 else 0.3)
    slow = looked(lambda second, n: 0.9 if (second // 8 + n) % 2 else 0.3)
    assert swinging.swings() > 50 and not slow.swings()


def test_a_herd_is_more_on_one_server_than_chance_explains_and_says_how_many_proxies():
    even = looked(lambda second, n: 0.5)
    for number in range(400):  # spread by turns
        even.placed(number * 0.05, NAMES[number % 10], number % 50)
    assert even.figures()["herd_p99"] <= 1.0
    for proxy in range(40):  # all of them within one report's age
        even.placed(10.9, "s7", proxy)
    worst = even.figures()["herd_worst"]
    assert worst["server"] == "s7" and worst["ratio"] > 2 and worst["proxies"] >= 40


def test_runs_tell_evenness_and_reports_draw_it(tmp_path):
    day = small_scenario(fault_section("vanish", at=2.0, lasts=4.0, part=0.3))
    told = [runs.play(day, seed, policy, series=True) for seed, policy in ((1, "module"), (1, "random"))]
    for run in told:
        even = run["evenness"]
        assert even["worst_over_mean"] >= 1 and even["variation"] > 0
    means = experiment.evenness(told, ["module", "random"])
    assert means["worst_over_mean"] == [run["evenness"]["worst_over_mean"] for run in told]
    assert set(means) == set(experiment.EVEN)
    page = report.page([json.loads(runs.text(run)) for run in told])
    assert "How evenly it lies" in page and "over what chance explains" in page
    old = json.loads(runs.text(told[0]))
    del old["series"]["evenness"]
    assert "How evenly it lies" in report.page([old])


def test_a_server_that_is_back_may_get_sessions_of_all_whose_fleet_was_told_a_draining_one_none():
    # A day with the list down judged 16 breaches of proxies whose fleet had told them that a drain was over.
    for back in (False, True):
        checker = InvariantChecker(0.25, 0.05, 10.0)
        checker.record_notification(5.0, 2, "s7", "draining", None)
        checker.set_watching(2, True)
        if back:
            checker.record_return_to_service("s7")
        checker.record_session(8.0, 2, 1, 10.0, "repeatable", "all", 0.0)
        checker.record_attempt(8.0, 2, 1, "s7")
        assert checker.summary()["broken"] == ({} if back else {"3": 1})
