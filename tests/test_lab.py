"""The emulator in virtual time: utility accounts, faults, determinism, invariant checker, scenario files."""

import os
import subprocess
import sys
from unittest import mock

import msgspec
import numpy as np
import pytest

pytest.importorskip("msgspec")

from onyxhollow.lab import broken_policies, decisions, runs, scenario  # noqa: E402
from onyxhollow.lab.invariant_checker import InvariantChecker  # noqa: E402
from onyxhollow.lab.run_metrics import merge_quantiles  # noqa: E402
from onyxhollow.lab.virtual import VirtualEngine  # noqa: E402
from onyxhollow.lab.world import faults  # noqa: E402
from onyxhollow.lab.world.servers import ServerState  # noqa: E402
from onyxhollow.lab.world.streams import random_stream  # noqa: E402
from onyxhollow.lab.world.types import LossCause  # noqa: E402
from onyxhollow.lab.world.world import World  # noqa: E402
from onyxhollow.policy import Balancer  # noqa: E402

SMALL_SCENARIO = """
title = "small"
seconds = 14.0
[fleet]
servers = 6
proxies = 2
zones = ["north", "south"]
"""


def small_scenario(sections="", **changes):
    """Return the small scenario with more TOML sections and with changed settings."""
    decoded = scenario.decode((SMALL_SCENARIO + sections).encode(), "small")
    return msgspec.structs.replace(decoded, **changes)


def fault_section(kind, **values):
    """Return a fault as TOML."""
    rows = [
        f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {str(value).lower()}"
        for key, value in values.items()
    ]
    return f'\n[[faults]]\nkind = "{kind}"\n' + "\n".join(rows) + "\n"


def started_engine(spec, seed=1, policy="module"):
    """Return a started engine and its world; the test runs the event queue step by step."""
    engine = VirtualEngine(spec, seed, decisions.find(policy))
    engine.begin()
    return engine, engine.world


def test_a_run_gives_the_same_bytes_in_every_process():
    code = (
        "import sys; from onyxhollow.lab import runs, scenario; sys.stdout.buffer.write("
        "runs.to_json(runs.play(scenario.read('reload'), 3, 'module', series=True)))"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            timeout=120,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "77")
    ]
    assert outputs[0] == outputs[1] and b'"score"' in outputs[0]
    assert outputs[0] != runs.to_json(runs.play(scenario.read("reload"), 4, "module", series=True))


def test_the_servers_of_sessions_that_exist_at_the_start_depend_on_the_seed_alone():
    # Guards against a change of the draws, which would change the results of every recorded seed.
    world = World(small_scenario(), 1)
    world.engine = mock.Mock()
    sessions = world.create_preexisting_sessions()
    rng = random_stream(1, "standing")
    rng.random(16)
    weights = np.array([server.weight for server in world.servers])
    drawn = rng.choice(len(world.servers), size=len(sessions), p=weights / weights.sum())
    assert len(sessions) > 20
    assert [sess.server for sess in sessions] == [world.servers[number] for number in drawn]


def test_a_restarted_proxy_gets_clients_only_once_it_is_ready(monkeypatch):
    """Guards against sending clients to a proxy that does not listen yet.

    When 150 of 300 processes restarted at once on one machine, connections were refused and 1,820 sessions
    counted as unanswered.
    """
    spec = small_scenario(fault_section("proxy_crash", at=1.0, lasts=1.0, part=1.0, one_by_one=2.0))
    engine, world = started_engine(spec)
    monkeypatch.setattr(engine, "is_ready", lambda number: world.event_queue.now >= 6.0)
    submitted_at, submit = [], engine.submit
    monkeypatch.setattr(
        engine, "submit", lambda sess: (submitted_at.append(world.event_queue.now), submit(sess))
    )
    restarted_at = []
    restart = engine.restart
    monkeypatch.setattr(
        engine, "restart", lambda number: (restarted_at.append(world.event_queue.now), restart(number))
    )
    world.event_queue.run_until(8.0)
    assert restarted_at == pytest.approx([2.0, 4.0])
    out_of_rotation_at = 1.0 + spec.front.notice
    assert not [time for time in submitted_at if out_of_rotation_at < time < 6.0] and [
        time for time in submitted_at if time >= 6.0
    ]


def test_wanted_utility_does_not_depend_on_the_policy_and_accounts_balance():
    spec = small_scenario(
        fault_section("crash", at=3.0, lasts=3.0, part=0.5) + fault_section("reconnect", at=8.0, share=0.5)
    )
    worlds = {
        name: VirtualEngine(spec, 2, decisions.find(name)).run()
        for name in ("module", "random", "true-state")
    }
    assert len({tuple(world.metrics.wanted) for world in worlds.values()}) == 1
    assert len({tuple(world.metrics.earned) for world in worlds.values()}) == 3
    for world in worlds.values():
        figures = world.metrics.figures()  # raises unless wanted = earned + lost
        assert sum(figures["lost"].values()) == pytest.approx(1 - figures["service"], abs=1e-6)
        assert figures["lost"]["torn down"] > 0 and figures["lost"]["dropped"] > 0
        by_listener = sum(world.metrics.earned_by_listener)
        assert by_listener == pytest.approx(sum(world.metrics.earned))


@pytest.mark.parametrize("rule", [1, 2, 3, 4])
def test_the_checker_reports_the_policy_that_breaks_a_rule_and_not_the_module(rule):
    kind, spec = broken_policies.scenarios_by_rule()[rule]
    violating = (
        VirtualEngine(spec, 1, lambda host, settings, seed, _: kind(host, settings, seed)).run().checker
    )
    compliant = (
        VirtualEngine(spec, 1, lambda host, settings, seed, _: Balancer(host, settings, seed)).run().checker
    )
    assert violating.violation_counts[rule] and compliant.is_clean


def test_the_checker_applies_the_exact_limits_of_each_rule():
    def broken_rules(record):
        """Return the rules that the recorded events break."""
        checker = InvariantChecker(drain_grace=0.25, answer_grace=0.016, ask_within=10.0)
        checker.server_locations = {"a": (0, 0), "b": (0, 1), "c": (1, 1)}
        checker.set_watching(0, True)
        record(checker)
        checker.finish(100.0)
        return [rule for rule, count in checker.violation_counts.items() if count]

    def receive_session(checker, repeat="repeatable", scope="all", window=0.0):
        checker.record_session(1.0, 0, 7, 3.0, repeat, scope, window)

    def answered_at(when):
        return broken_rules(
            lambda checker: (receive_session(checker), checker.record_answer(when, 0, 7, "refused"))
        )

    assert answered_at(3.015) == [] and answered_at(3.02) == [1]
    assert broken_rules(receive_session) == [1]  # never answered
    assert broken_rules(lambda checker: (receive_session(checker), checker.record_client_gone(2.0, 7))) == []
    assert broken_rules(lambda checker: (receive_session(checker), checker.record_client_gone(3.2, 7))) == [1]
    answered_twice = broken_rules(
        lambda checker: (
            receive_session(checker),
            checker.record_answer(2.0, 0, 7, "up"),
            checker.record_answer(2.1, 1, 7, "refused"),
        )
    )
    assert answered_twice == [1]  # by two proxies
    assert 2 in broken_rules(
        lambda checker: (
            receive_session(checker),
            checker.record_session(1.5, 1, 7, 3.0, "repeatable", "all", 0.0),
        )
    )

    def attempted_again(repeat, never_ran, scope="all", second="b", when=1.5, window=0.0):
        return broken_rules(
            lambda checker: (
                receive_session(checker, repeat, scope, window),
                checker.record_attempt(1.1, 0, 7, "a"),
                checker.record_attempt_end(1.4, 7, 1.1, never_ran),
                checker.record_attempt(when, 0, 7, second),
                checker.record_answer(2.0, 0, 7, "up"),
            )
        )

    assert attempted_again("once-only", True) == [] and attempted_again("once-only", False) == [2]
    assert attempted_again("referenced", False, "zone", "b", window=1.0) == []
    assert attempted_again("referenced", False, "zone", "c", window=1.0) == [2]
    assert attempted_again("referenced", False, "cell", "b", window=1.0) == [2]
    assert attempted_again("referenced", False, "all", "c", when=2.15, window=1.0) == [2]
    concurrent_attempts = broken_rules(
        lambda checker: (
            receive_session(checker),
            checker.record_attempt(1.1, 0, 7, "a"),
            checker.record_attempt(1.2, 0, 7, "b"),
            checker.record_answer(2.0, 0, 7, "up"),
        )
    )
    assert concurrent_attempts == [2]

    def attempted_at(when):
        return broken_rules(
            lambda checker: (
                checker.record_notification(1.0, 0, "a", "draining", None),
                receive_session(checker),
                checker.record_attempt(when, 0, 7, "a"),
                checker.record_answer(2.0, 0, 7, "up"),
            )
        )

    assert attempted_at(1.25) == [] and attempted_at(1.26) == [3]

    def attempted_unwatched_at(when):
        """Without a watch or a poll, a change listed at 1.0 counts as notified at 11.0."""
        return broken_rules(
            lambda checker: (
                checker.set_watching(0, False),
                checker.record_listing(1.0, "a", "gone", None),
                checker.record_session(when, 0, 7, when + 1, "repeatable", "all", 0.0),
                checker.record_attempt(when, 0, 7, "a"),
                checker.record_answer(when, 0, 7, "up"),
            )
        )

    assert attempted_unwatched_at(11.2) == [] and attempted_unwatched_at(11.3) == [3]

    def overload_failure(share):
        return broken_rules(
            lambda checker: (
                checker.record_notification(1.0, 0, "a", "in service", 0.9),
                checker.record_overload_failure(2.0, "a", 0.9, {0: share, 1: 1.0}),
            )
        )

    assert overload_failure(2.1) == [4] and overload_failure(1.9) == []


# Conditions that hold in the middle of a fault, and neither before nor after it.
ACTIVE_CONDITIONS = {
    "slow": lambda world: any(server.capacity_factors for server in world.servers),
    "hung": lambda world: any(server.hung_by for server in world.servers),
    "fast_errors": lambda world: any(server.error_shares for server in world.servers),
    "noisy_neighbour": lambda world: (
        world.affected_servers
        and any(server.capacity(5.9) < 0.5 * server.full_capacity for server in world.servers)
    ),
    "vanish": lambda world: any(server.vanished_by for server in world.servers),
    "zone_lost": lambda world: sum(bool(server.vanished_by) for server in world.servers) == 3,
    "crash": lambda world: any(server.state is ServerState.STOPPED for server in world.servers),
    "partition": lambda world: any(
        world.blocked_direction(proxy.number, server) == "both"
        for proxy in world.proxies
        for server in world.servers
    ),
    "lying_reports": lambda world: any(server.report_factors for server in world.servers),
    "list_down": lambda world: world.list_service.down_by and not world.list_service.watchers,
    "list_stale": lambda world: world.list_service.delay_by_fault,
    "proxy_crash": lambda world: not all(proxy.alive for proxy in world.proxies),
}
EXTRA_SETTINGS = {"zone_lost": {"zone": "north"}, "noisy_neighbour": {"on": 10.0, "takes": 0.8}}


@pytest.mark.parametrize("kind", sorted(ACTIVE_CONDITIONS))
def test_a_fault_takes_effect_while_it_lasts_and_is_fully_reverted(kind):
    values = {"at": 4.0, "lasts": 3.0, **EXTRA_SETTINGS.get(kind, {})}
    engine, world = started_engine(small_scenario(fault_section(kind, **values)))
    world.event_queue.run_until(3.9)
    assert not ACTIVE_CONDITIONS[kind](world)
    world.event_queue.run_until(5.9)
    assert ACTIVE_CONDITIONS[kind](world)
    world.event_queue.run_until(13.5)
    assert not ACTIVE_CONDITIONS[kind](world) and not world.affected_servers
    assert all(server.is_running for server in world.servers) and all(
        proxy.alive and proxy.in_rotation for proxy in world.proxies
    )
    engine.end()


# Faults without a lasting state: extra settings, and a condition that only a run with the fault meets.
RESULT_CONDITIONS = {
    "reset": ({}, lambda world: world.metrics.counts["cut: torn down"] >= 5),
    "reconnect": ({"share": 0.5}, lambda world: world.metrics.counts["cut: dropped"] >= 20),
    "grow": (
        {"servers": 3},
        lambda world: len(world.servers) == 9 and all(server.sessions for server in world.servers),
    ),
    "shrink": (
        {"part": 0.5, "drain": 2.0},
        lambda world: sum(server.is_running for server in world.servers) == 3,
    ),
    "deploy": (
        {"part": 1.0, "batch": 0.5, "drain": 1.0},
        lambda world: all(server.started > 0 for server in world.servers),
    ),
    "clock_step": (
        {"part": 1.0, "step": 60.0},
        lambda world: all((row.started or 0) > 60 for row in world.list_service.rows.values()),
    ),
    "proxy_restart": (
        {"part": 1.0, "apart": 0.2, "stop": 2.0},
        lambda world: world.metrics.counts["proxy restarts"] == 2,
    ),
    "proxy_stall": (
        {"at": 3.0, "part": 1.0, "lasts": 2.0},
        lambda world: world.metrics.counts["up late"] >= 3,
    ),
    "watch_ended": (
        {},
        lambda world: world.list_service.calls == 4 and len(world.list_service.watchers) == 2,
    ),
    "burst": (
        {"times": 4.0},
        lambda world: sum(4 <= client.request.due < 7 for client in world.clients) > 30,
    ),
    "costly": (
        {"share": 1.0, "times": 50.0},
        lambda world: max(client.request.load for client in world.clients) > 50 * world.average_load,
    ),
}


@pytest.mark.parametrize("kind", sorted(RESULT_CONDITIONS))
def test_a_fault_changes_the_results_of_a_run(kind):
    values, condition = RESULT_CONDITIONS[kind]
    with_fault = VirtualEngine(
        small_scenario(fault_section(kind, **{"at": 4.0, "lasts": 3.0, **values})),
        1,
        decisions.find("module"),
    ).run()
    without = VirtualEngine(small_scenario(), 1, decisions.find("module")).run()
    without.metrics.counts = dict.fromkeys(
        ["cut: torn down", "cut: dropped", "proxy restarts", "up late"], 0
    ) | (without.metrics.counts)
    assert condition(with_fault) and not condition(without)
    assert with_fault.checker.is_clean


def test_every_fault_kind_is_tested():
    kinds = {kind.__struct_config__.tag for kind in faults.Fault.__args__}
    assert kinds == set(ACTIVE_CONDITIONS) | set(RESULT_CONDITIONS)


def test_two_faults_of_one_server_are_reverted_independently():
    overlapping = fault_section("slow", at=2.0, lasts=6.0, part=1.0, times=4.0) + fault_section(
        "slow", at=4.0, lasts=2.0, part=1.0, times=2.0
    )
    engine, world = started_engine(small_scenario(overlapping))
    slowdowns = []
    for when in (3.0, 5.0, 7.0, 9.0):
        world.event_queue.run_until(when)
        slowdowns.append(1 / world.servers[0].capacity(when) * world.servers[0].full_capacity)
    assert [round(slowdown) for slowdown in slowdowns] == [4, 8, 4, 1]


def test_a_fault_of_no_duration_does_not_change_the_service():
    spec = small_scenario(
        fault_section("slow", at=4.0, lasts=0.0) + fault_section("hung", at=4.0, lasts=0.0, part=1.0)
    )
    result, plain = runs.play(spec, 1, "module"), runs.play(small_scenario(), 1, "module")
    assert result["service"] == plain["service"] and result["faults"][0][2] == "slow"


def test_a_request_that_ends_at_the_moment_of_a_drain_is_answered_once():
    for early in (0.0, 1e-9):  # the request ends before the drain, and after it
        engine, world = started_engine(small_scenario())
        client = next(client for client in world.clients if 3.0 < client.request.end < 8.0 and client.session)
        sess, server = client.session, client.session.server
        world.event_queue.schedule_at(
            client.request.end - early, world.drain_server, server, 2.0, False, False
        )
        world.event_queue.schedule_at(client.request.end - early, world.drop_client, client)
        world.event_queue.schedule_at(client.request.end - early, world.end_by_server, sess, True)
        world.event_queue.run_until(world.scenario.seconds)
        engine.end()
        assert sess.ended and client.finished and client.session is None and sess not in server.sessions
        assert world.checker.is_clean and world.metrics.figures()["service"] > 0.9


def test_a_proxy_crash_with_attempts_in_flight_breaks_no_rule_and_clients_reconnect():
    spec = small_scenario(
        fault_section("hung", at=2.0, lasts=4.0, part=1.0)
        + fault_section("proxy_crash", at=3.5, lasts=1.0, part=1.0)
    )
    engine, world = started_engine(spec)
    world.event_queue.run_until(3.45)
    in_flight = [
        token.sess
        for instance in engine.instances.values()
        for token in instance.tokens.values()
        if token.attempt_in_flight and not token.established
    ]
    assert in_flight
    world.event_queue.run_until(spec.seconds)
    engine.end()
    assert world.checker.is_clean
    assert all(sess.client.finished or sess.client.was_connected or sess.client.session for sess in in_flight)


@pytest.mark.parametrize("name", ["one-server", "no-server", "one-proxy", "once-only", "partition-one-way"])
@pytest.mark.parametrize("policy", ["module", "true-state", "round-robin"])
def test_unusual_fleets_complete_the_run(name, policy):
    result = runs.play(scenario.read(name), 1, policy)
    assert result["rules"]["clean"] and 0 < result["service"] <= 1


def test_blocked_links_blackhole_their_connections_until_they_are_restored():
    engine, world = started_engine(
        small_scenario(fault_section("partition", at=2.0, lasts=3.0, part=1.0, proxies=0.5, one_way=True))
    )
    world.event_queue.run_until(2.5)
    blackholed = [sess for server in world.servers for sess in server.sessions if sess.blackholed]
    assert blackholed and {sess.proxy for sess in blackholed} == set(world.blocked_links[0].proxies)
    world.event_queue.run_until(5.5)
    assert not any(sess.blackholed for server in world.servers for sess in server.sessions)
    world.event_queue.run_until(world.scenario.seconds)
    engine.end()
    assert world.metrics.figures()["lost"][LossCause.UNREACHABLE.value] > 0.05 and world.checker.is_clean


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("title = 3", "$.title: Expected `str`"),
        ("lenght = 3.0", "$: Object contains unknown field `lenght`"),
        ("[fleet]\nproxies = 0", "$.fleet.proxies: Expected `int` >= 1"),
        ('[[faults]]\nkind = "fire"\nat = 1.0', "$.faults[0].kind: Invalid value 'fire'"),
        (
            '[[faults]]\nkind = "slow"\nat = 900.0',
            "$.faults[0].at: expected a time before the end",
        ),
        (
            '[[faults]]\nkind = "zone_lost"\nat = 1.0\nzone = "mars"',
            "$.faults[0].zone: expected one of",
        ),
        (
            '[[listeners]]\nname = "a"\n[[listeners]]\nname = "a"',
            "$.listeners: expected names that differ",
        ),
        (
            '[[listeners]]\nname = "a"\ntarget = 5.0',
            "$.listeners[0].target: expected at most the timeout",
        ),
        ("title = ", "not TOML"),
    ],
)
def test_a_scenario_error_is_one_line_with_file_key_path_and_expected_value(text, expected, tmp_path, capfd):
    path = tmp_path / "bad.toml"
    path.write_text(text if text.startswith("title") else 'title = "x"\n' + text)
    from onyxhollow.__main__ import main

    assert main(["lab", "run", str(path)]) == 2
    error = capfd.readouterr().err
    assert error.count("\n") == 1 and error.startswith("onyxhollow: bad.toml: ") and expected in error


def test_shipped_scenarios_are_valid_and_survive_encoding():
    names = scenario.shipped_scenarios()
    assert len(names) >= 24
    for name in names:
        spec = scenario.read(name)
        assert spec.title == name and spec.about
        assert scenario.decode(scenario.encode(spec), name) == spec


def test_recorded_arrivals_are_replayed_and_a_malformed_file_is_an_error(tmp_path, capfd):
    from onyxhollow.__main__ import main

    record = tmp_path / "arrivals"
    record.write_text("1.0\n2.5\n2.6\n")
    clients = msgspec.structs.replace(small_scenario().clients, record=str(record))
    world = World(small_scenario(clients=clients), 1)
    assert [request.due for request in world.requests if not request.preexisting] == [1.0, 2.5, 2.6]
    record.write_text("soon\n")
    path = tmp_path / "day.toml"
    path.write_bytes(scenario.encode(small_scenario(clients=clients)))
    assert main(["lab", "run", str(path)]) == 2
    assert "$.clients.record" in capfd.readouterr().err
    assert main(["lab", "run", "calm", "--policy", "no such; thing"]) == 2


def test_serve_imports_neither_the_lab_nor_the_fleet_nor_their_libraries():
    code = (
        "import sys, onyxhollow.__main__, onyxhollow.lifecycle.serve\n"
        "print(*sorted({name.partition('.')[0] for name in sys.modules if not name.startswith('_')}"
        " - set(sys.stdlib_module_names)), sum(name.startswith(('onyxhollow.lab', 'onyxhollow.fleet',"
        " 'onyxhollow.leases', 'onyxhollow.membership', 'onyxhollow.append_log')) for name in sys.modules),"
        " 'urllib.parse' in sys.modules)"
    )
    finished = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert finished.stdout.split() == ["h11", "onyxhollow", "orjson", "0", "False"]


def test_daily_arrivals_have_a_trough_at_night_and_a_peak_at_noon():
    spec = small_scenario(
        seconds=240.0, clients=msgspec.structs.replace(small_scenario().clients, shape="daily", swing=0.9)
    )
    due = [request.due for request in World(spec, 1).requests if not request.preexisting]
    night, noon = (sum(begin <= time < begin + 40 for time in due) for begin in (20, 100))
    assert noon > 4 * night > 0
    assert max(spec.clients.swing, 0) < 1 and all(0 <= time < 240 for time in due)


def test_latency_histograms_of_several_runs_are_merged_not_averaged():
    results = [runs.play(small_scenario(), seed, "module") for seed in (1, 2)]
    results.append(runs.play(small_scenario(fault_section("hung", at=2.0, lasts=8.0, part=0.9)), 3, "random"))
    p99s = [result["setup_ms"]["p99"] for result in results]
    assert merge_quantiles(results, "setup")["p50"] < 100 and p99s[2] > 10 * p99s[0]
    assert merge_quantiles(results, "setup")["p99"] != pytest.approx(sum(p99s) / 3, rel=0.02)
    assert merge_quantiles(results[:1], "setup") == results[0]["setup_ms"]
