"""The socket engine: real proxies between emulated clients, servers and list service on loopback."""

import os
import signal
import subprocess
import sys
import time

import msgspec
import pytest
from test_lab import fault_section, small_scenario

from onyxhollow.lab import runs
from onyxhollow.lab.sockets.engine import SocketEngine
from onyxhollow.lab.sockets.processor_time import processor_seconds

MAX_OWN_CORES_BUSY = 0.4


def remaining_processes(folder):
    """Return the ids of `serve` processes whose command line names the run's folder."""
    process_ids = []
    for entry in os.scandir("/proc"):
        if entry.name.isdigit():
            try:
                with open(f"/proc/{entry.name}/cmdline", "rb") as file:
                    command = file.read()
            except OSError:
                continue
            if str(folder).encode() in command and b"serve" in command:
                process_ids.append(entry.name)
    return process_ids


def test_proxies_keep_the_rules_under_faults_and_no_process_remains(tmp_path):
    spec = small_scenario(
        fault_section("proxy_crash", at=1.5, lasts=1.0, part=0.5)
        + fault_section("vanish", at=2.0, lasts=4.0, part=0.2)
        + fault_section("shrink", at=3.0, lasts=1.0, part=0.2, drain=2.0)
        + fault_section("reset", at=4.0, part=0.2)
        + fault_section("watch_ended", at=5.0),
        seconds=8.0,
    )
    engine = SocketEngine(spec, 1, tmp_path)
    world = engine.run()
    result, counts = engine.findings(), world.metrics.counts
    assert world.checker.summary() == {"clean": True, "broken": {}, "first": []}
    assert not result["crashes"] and not result["complaints"] and not result["failures"]
    assert counts["up"] > 20 and counts["cut: torn down"] > 3 and counts["proxy crashes"] == 1
    assert result["bad_clients"] >= 6 and engine.proxies[0].start_count + engine.proxies[1].start_count == 3
    assert 0.5 < world.metrics.figures()["service"] < 1
    assert not remaining_processes(tmp_path)
    # A run in which the engine itself was late is void.
    engine.lateness = [0.2] * 2 + [0.0] * 98
    assert engine.findings()["void"] == "2 of 100 entries over 0.1 s late"
    # A run on busy cores is void: 300 proxies that waited for a core broke the rule on answers.
    engine.lateness, engine.slow_turn_seconds, engine.cores_busy = [0.0], 0.0, 97.0
    assert engine.findings()["void"] == "the machine's cores were 97 % busy"
    engine.cores_busy = 84.9
    assert not engine.findings()["void"]
    # Two proxies with few clients use little processor time; one that spins would use a core.
    assert 0.0 < result["own_cores_busy"] < MAX_OWN_CORES_BUSY, result


BURN_PROCESSOR = """
import sys, time
while time.process_time() < 0.3:
    pass
print("done", flush=True)
sys.stdin.read()
"""


def test_the_processor_time_of_a_run_counts_its_own_processes_only():
    """Guards against a figure that other processes change, and against one that misses a child."""
    used_before = processor_seconds([])
    children = [
        subprocess.Popen(
            [sys.executable, "-c", BURN_PROCESSOR], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        for _ in range(2)
    ]
    try:
        for child in children:
            assert child.stdout.readline() == b"done\n"
        own, other = children
        assert processor_seconds([]) - used_before < 0.2, "a process that is not of the run is counted"
        while_running = processor_seconds([own.pid]) - used_before
        assert 0.25 < while_running < 0.5
        own.communicate()
        assert 0.25 < processor_seconds([]) - used_before < 0.5, "the time of an ended child is lost"
    finally:
        for child in children:
            child.kill()
            child.communicate()


def test_a_drain_migrates_clients_with_move_lines(tmp_path):
    # Connections from before the start are not migrated, so all clients reconnect first.
    reconnect = fault_section("reconnect", at=0.2, lasts=0.8, share=1.0)
    spec = small_scenario(
        reconnect + fault_section("shrink", at=2.0, lasts=0.0, part=0.2, drain=6.0), seconds=7.0
    )
    fleet = msgspec.structs.replace(spec.fleet, drain="keeps")
    spec = msgspec.structs.replace(
        spec, fleet=fleet, server_list=msgspec.structs.replace(spec.server_list, notice=0.2)
    )
    result = runs.play(spec, 2, "module", engine="sockets", logs=tmp_path)
    # The number depends on the pace: it falls to a quarter if handshakes at the other servers take three
    # times as long as at the source, which on loopback is chance. At the slowest pace each proxy migrates one
    # client in four seconds.
    assert result["rules"]["clean"] and result["counts"]["moves"] >= 2
    assert result["lost"]["torn down"] < 0.01 and b'"hand-off' in (tmp_path / "n0.log").read_bytes()


def test_an_interrupted_run_leaves_no_process(tmp_path):
    command = [
        sys.executable,
        "-m",
        "onyxhollow",
        "lab",
        "run",
        "calm",
        "--engine",
        "sockets",
        "--logs",
        tmp_path,
    ]
    # A shell starts background processes with SIGINT ignored, and child processes inherit that.
    run = subprocess.Popen(
        command,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    deadline = time.monotonic() + 30
    while len(remaining_processes(tmp_path)) < 4 and time.monotonic() < deadline:
        time.sleep(0.05)
    run.send_signal(signal.SIGINT)
    assert run.communicate(timeout=30)[1].strip().endswith(b"ended by hand") and run.returncode == 130
    assert not remaining_processes(tmp_path)


def test_sockets_play_only_the_module():
    with pytest.raises(runs.RunError, match="expected module"):
        runs.play(small_scenario(), 1, "random", engine="sockets")
