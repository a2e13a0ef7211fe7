"""Evenness figures: they distinguish even, idle, swinging and herding fleets."""

import json

import pytest
from test_lab import fault_section, small_scenario

from onyxhollow.lab import experiment, report, runs
from onyxhollow.lab.evenness import Evenness, ServerLoad
from onyxhollow.lab.invariant_checker import InvariantChecker

NAMES = [f"s{n}" for n in range(10)]


def recorded_evenness(loads_at, seconds=20, age=1.2):
    even = Evenness(age)
    for second in range(seconds):
        even.record_loads(
            float(second), [ServerLoad(name, loads_at(second, n), 4.0) for n, name in enumerate(NAMES)]
        )
    return even


def test_even_load_has_no_variation_and_one_busy_server_raises_worst_over_mean():
    figures = recorded_evenness(lambda second, n: 0.5).figures()
    assert figures["variation"] == 0 and figures["worst_over_mean"] == 1 and not figures["idle_servers"]
    figures = recorded_evenness(lambda second, n: 1.4 if n == 3 else 0.4).figures()
    assert figures["worst_over_mean"] == pytest.approx(2.8) and figures["variation"] > 0.5


def test_a_server_far_below_the_mean_becomes_idle_but_not_in_an_unloaded_fleet():
    def loads(second, n):
        return 0.05 if n == 2 and 4 <= second < 12 or n == 5 and 4 <= second < 8 else 0.6

    even = recorded_evenness(loads)
    assert even.idle() == [("s2", 4.0, 12.0)] and even.figures()["idle_seconds"] == 8
    assert not recorded_evenness(lambda second, n: 0.001 * n).figures()["idle_servers"]
    assert recorded_evenness(lambda second, n: 0.01 if n == 0 and second > 10 else 0.6).idle() == [
        ("s0", 11.0, 19.0)
    ]


def test_swings_count_servers_that_cross_the_mean_within_a_few_report_ages():
    swinging = recorded_evenness(lambda second, n: 0.9 if (second // 2 + n) % 2 else 0.3)
    slow = recorded_evenness(lambda second, n: 0.9 if (second // 8 + n) % 2 else 0.3)
    assert swinging.swings() > 50 and not slow.swings()


def test_a_herd_exceeds_chance_on_one_server_and_counts_its_proxies():
    even = recorded_evenness(lambda second, n: 0.5)
    for number in range(400):  # round robin over the servers
        even.record_placement(number * 0.05, NAMES[number % 10], number % 50)
    assert even.figures()["herd_p99"] <= 1.0
    for proxy in range(40):  # all within one report age
        even.record_placement(10.9, "s7", proxy)
    worst = even.figures()["herd_worst"]
    assert worst["server"] == "s7" and worst["ratio"] > 2 and worst["proxies"] >= 40


def test_runs_report_evenness_and_reports_draw_it(tmp_path):
    spec = small_scenario(fault_section("vanish", at=2.0, lasts=4.0, part=0.3))
    results = [runs.play(spec, seed, policy, series=True) for seed, policy in ((1, "module"), (1, "random"))]
    for run in results:
        even = run["evenness"]
        assert even["worst_over_mean"] >= 1 and even["variation"] > 0
    means = experiment.evenness(results, ["module", "random"])
    assert means["worst_over_mean"] == [run["evenness"]["worst_over_mean"] for run in results]
    assert set(means) == set(experiment.EVENNESS_FIGURES)
    page = report.page([json.loads(runs.to_json(run)) for run in results])
    assert "How evenly it lies" in page and "over what chance explains" in page
    old = json.loads(runs.to_json(results[0]))
    del old["series"]["evenness"]
    assert "How evenly it lies" in report.page([old])


def test_a_returned_server_may_get_sessions_but_a_draining_one_may_not():
    # Without record_return_to_service the checker reported 16 violations in a run with the list down, for
    # proxies whose fleet had told them that the drain was over.
    for returned in (False, True):
        checker = InvariantChecker(0.25, 0.05, 10.0)
        checker.record_notification(5.0, 2, "s7", "draining", None)
        checker.set_watching(2, True)
        if returned:
            checker.record_return_to_service("s7")
        checker.record_session(8.0, 2, 1, 10.0, "repeatable", "all", 0.0)
        checker.record_attempt(8.0, 2, 1, "s7")
        assert checker.summary()["broken"] == ({} if returned else {"3": 1})
