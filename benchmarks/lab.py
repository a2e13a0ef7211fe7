"""Benchmark of the lab: speed for large fleets, virtual time against sockets, ranking against the bench.

    python benchmarks/lab.py [--quick] [--seeds N] [--ranking]

The last line is one JSON object. --quick (under 45 s) runs shorter scenarios and fewer seeds. The figures of
the operators' bench are read from journal/: each entry names a version of the decisions and has the scores of
its scenarios.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import multiprocessing
import os
import resource
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from scipy.stats import spearmanr

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from onyxhollow.lab import broken, decisions, runs, scenario  # noqa: E402
from onyxhollow.lab.virtual import Virtual  # noqa: E402

# Scenarios that resemble the twelve of the bench: the same faults and sizes, similar loads.
SCENARIO_TEMPLATE = """
title = "{title}"
[fleet]
zones = ["a", "b", "c", "d"]
servers = {servers}
proxies = {proxies}
group_cost = 2.0
cold_share = 0.45
[[fleet.kinds]]
name = "four"
share = 0.55
speed = 0.97
spread = 0.12
[[fleet.kinds]]
name = "five"
share = 0.45
cores = 5.0
speed = 0.75
spread = 0.12
[clients]
load = {load}
group_size = 40.0
swing = 0.24
zone_skew = 0.45
leaves_early = 0.04
honours = 0.2
retry = "fixed"
backoff = 0.04
[network]
cross = 0.015
{fault}
"""
RECONNECT = '[[faults]]\nkind = "reconnect"\nat = 19.0\nlasts = 1.5\nshare = 0.4\n'
SLOW = '[[faults]]\nkind = "slow"\nat = 12.0\nlasts = 25.0\npart = 0.15\ntimes = 6.0\n'
COSTLY = '[[faults]]\nkind = "costly"\nat = 12.0\nlasts = 18.0\nshare = 0.02\ntimes = 14.0\n'
SHRINK = '[[faults]]\nkind = "shrink"\nat = 12.0\nlasts = 16.0\npart = 0.35\ndrain = 4.0\n'
SCENARIOS = {  # servers, proxies, load, fault
    "reconnect-13": (13, 4, 0.38, RECONNECT),
    "reconnect-14": (13, 4, 0.40, RECONNECT),
    "reconnect-15": (15, 4, 0.42, RECONNECT),
    "reconnect-16": (16, 5, 0.42, RECONNECT),
    "shrink-15": (15, 6, 0.40, SHRINK),
    "shrink-17": (17, 6, 0.40, SHRINK),
    "shrink-19": (19, 4, 0.40, SHRINK),
    "slow-12": (12, 4, 0.38, SLOW),
    "slow-16": (16, 6, 0.42, SLOW),
    "overload-12": (12, 4, 0.70, COSTLY),
    "overload-13": (13, 4, 0.70, COSTLY),
    "overload-14": (13, 4, 0.65, SHRINK),
}
QUICK_SCENARIOS = ("reconnect-13", "shrink-15", "slow-12", "slow-16")
ENTRY_PREFIX = "Ranking for the lab on further days"
POLICY_OF_VERSION = {
    "plain": "module",
    "nodistrust": "no-distrust",
    "nohandoff": "no-hand-off",
    "noprobe": "no-probing",
    "nogate": "no-gate",
}
BASELINES = ("random",)  # not a version of the decisions, therefore excluded from the correlation
SOCKET_SCENARIOS = ("calm", "crash", "vanish", "deploy", "partition")


def make_bench_scenarios() -> list[scenario.Scenario]:
    texts = {
        title: SCENARIO_TEMPLATE.format(title=title, servers=servers, proxies=proxies, load=load, fault=fault)
        for title, (servers, proxies, load, fault) in SCENARIOS.items()
    }
    return [scenario.decode(text.encode(), title) for title, text in texts.items()]


def read_bench_scores() -> dict[str, float]:
    """Read the mean score of each version of the decisions from the journal's entries."""
    scores_by_name: dict[str, list[float]] = {}
    for path in sorted((ROOT / "journal").glob("*.json")):
        entry = json.loads(path.read_bytes())
        why = entry.get("why") or ""
        if why.startswith(ENTRY_PREFIX) and entry.get("ok"):
            name = why.split()[-1]
            scores_by_name.setdefault(POLICY_OF_VERSION.get(name, name), []).extend(
                day["score"] for day in entry["days"]
            )
    return {name: float(np.mean(scores)) for name, scores in scores_by_name.items()}


def compute_figure(cell: tuple[scenario.Scenario, int, str]) -> float:
    selected, seed, policy = cell
    result = runs.play(selected, seed, policy)
    return float(result["figure"]) if result["rules"]["clean"] else 0.0


def measure_ranking(seeds: int, quick: bool = False) -> dict[str, Any]:
    """Compute Spearman's rank correlation of the versions' scores between the bench and the lab."""
    bench, scenarios = read_bench_scores(), make_bench_scenarios()
    if quick:  # scenarios without heavy retries take a tenth of the time
        scenarios = [selected for selected in scenarios if selected.title in QUICK_SCENARIOS]
    names = [name for name in bench if name not in BASELINES]
    cells = [
        (selected, seed, name) for name in names for selected in scenarios for seed in range(1, seeds + 1)
    ]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count(), mp_context=context) as pool:
        figures = list(pool.map(compute_figure, cells, chunksize=2))
    figures_by_name: dict[str, list[float]] = {}
    for (_, _, name), figure in zip(cells, figures, strict=True):
        figures_by_name.setdefault(name, []).append(figure)
    lab = {name: float(np.mean(row)) for name, row in figures_by_name.items()}
    print(
        f"{'version':16}{'bench':>8}{'lab':>8}   simulated; lab: {len(scenarios)} scenarios x {seeds} seeds"
    )
    for name in sorted(names, key=lambda name: -bench[name]):
        print(f"{name:16}{bench[name]:8.3f}{lab[name]:8.4f}")
    table = np.array([figures_by_name[name] for name in names]).reshape(len(names), len(scenarios), seeds)
    for index, selected in enumerate(scenarios):
        row = " ".join(f"{value:6.3f}" for value in table[:, index].mean(axis=1))
        print(f"{selected.title:14}{row}")
    print(f"{'':14}{' '.join(f'{name[:6]:>6}' for name in names)}")
    correlation = spearmanr([bench[name] for name in names], [lab[name] for name in names])
    # Confidence interval by bootstrap over the seeds.
    rng, width = np.random.default_rng(1), len(scenarios) * seeds
    resampled = [
        spearmanr(
            [bench[name] for name in names],
            table[:, :, rng.integers(0, seeds, seeds)].reshape(len(names), width).mean(axis=1),
        ).statistic
        for _ in range(300)
    ]
    low, high = np.quantile(resampled, [0.025, 0.975])
    print(
        f"rank correlation {correlation.statistic:.3f} ({low:.3f} to {high:.3f} by seeds), "
        f"{len(names)} versions"
    )
    return {"rank_correlation": round(float(correlation.statistic), 3), "rank_versions": len(names)}


def measure_large_run(name: str, seconds: float | None) -> tuple[float, int, int]:
    """Run a scenario in a separate process; return its CPU seconds, memory in MB and number of events."""
    code = """
import resource, sys, time
import msgspec
from onyxhollow.lab import runs, scenario
selected, limit = scenario.read(sys.argv[1]), float(sys.argv[2])
if limit:
    faults = [fault for fault in selected.faults if fault.at < limit]
    selected = msgspec.structs.replace(selected, seconds=limit, faults=faults)
started_at = time.process_time()
result = runs.play(selected, 1, "module")
assert result["rules"]["clean"]
memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
print(time.process_time() - started_at, memory, result["events"])
"""
    command = [sys.executable, "-c", code, name, str(seconds or 0)]
    output = subprocess.run(command, capture_output=True, text=True, check=True, cwd=ROOT).stdout.split()
    print(
        f"{name}{f' (first {seconds:g} s)' if seconds else ''}: {float(output[0]):.1f} s, {output[1]} MB, "
        f"{output[2]} events; one core, virtual"
    )
    return float(output[0]), int(output[1]), int(output[2])


def measure_linearity() -> float:
    """Return the cost of four times the sessions and ticks, divided by four times the cost; 1 is linear.

    The number of servers is constant, because the work of the decisions per tick, which is not the lab's,
    grows with it up to their working set of 64.
    """

    def measure_cost(factor: int) -> float:
        text = (
            f'title = "x"\nseconds = 20.0\n[fleet]\nservers = 24\nproxies = {8 * factor}\n'
            f"[clients]\nper_core = {18.0 * factor}\n"
        )
        selected = scenario.decode(text.encode(), "x")
        started_at = time.process_time()
        runs.play(selected, 1, "module")
        return time.process_time() - started_at

    small, large = min(measure_cost(1) for _ in range(3)), measure_cost(4)
    return large / small / 4.0


def run_on_sockets(cell: tuple[scenario.Scenario, int]) -> dict[str, Any]:
    selected, seed = cell
    for _ in range(3):  # repeat a run that is void because the lab itself was late
        result = runs.play(selected, seed, "module", engine="sockets")
        if not result["sockets"]["void"]:
            break
    return result


def measure_engine_gaps(seconds: float | None, names: tuple[str, ...]) -> dict[str, Any]:
    """Compare the service on sockets with that in virtual time for the same scenarios and seeds."""
    scenarios = [scenario.read(name) for name in names]
    if seconds:
        scenarios = [
            msgspec.structs.replace(
                selected,
                seconds=seconds,
                faults=[
                    msgspec.structs.replace(
                        fault,
                        at=fault.at * seconds / selected.seconds,
                        lasts=fault.lasts * seconds / selected.seconds,
                    )
                    for fault in selected.faults
                ],
            )
            for selected in scenarios
        ]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(3, mp_context=context) as pool:
        results = list(pool.map(run_on_sockets, [(selected, 1) for selected in scenarios]))
    worst = 0.0
    for selected, real in zip(scenarios, results, strict=True):
        virtual = runs.play(selected, 1, "module")
        gap = real["service"] - virtual["service"]
        worst = max(worst, abs(gap))
        print(
            f"{selected.title:12} service on sockets {real['service']:.4f}, "
            f"virtual {virtual['service']:.4f}, {gap:+.4f}; "
            f"rules {'kept' if real['rules']['clean'] else real['rules']['broken']}, "
            f"latest entry {real['sockets']['latest_ms']:.0f} ms {real['sockets']['void']}"
        )
    clean = all(real["rules"]["clean"] and not real["sockets"]["crashes"] for real in results)
    return {"sockets_gap_max": round(worst, 4), "sockets_clean": clean}


def is_deterministic() -> bool:
    """Return whether the output is the same for different hash seeds."""
    code = (
        "import sys; from onyxhollow.lab import runs, scenario; sys.stdout.buffer.write("
        "runs.text(runs.play(scenario.read('deploy'), 5, 'module', series=True)))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("0", "1", "4242")
    }
    return len(outputs) == 1


def count_caught_policies() -> int:
    """Count the broken policies that their rule detects and the correct policy passes."""
    count = 0
    for rule, (kind, selected) in broken.days().items():
        checker = (
            Virtual(selected, 1, lambda host, settings, seed, _, kind=kind: kind(host, settings, seed))
            .run()
            .checker
        )
        correct = Virtual(selected, 1, decisions.find("module")).run().checker
        count += bool(checker.violation_counts[rule]) and correct.is_clean
    return count


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--ranking", action="store_true", help="measure only the ranking")
    args = parser.parse_args()
    started_at, result = time.monotonic(), dict[str, Any]()
    if args.ranking:
        print(json.dumps(measure_ranking(args.seeds)))
        return
    result["deterministic"] = is_deterministic()
    result["broken_policies_caught"] = count_caught_policies()
    result["scenarios"] = len(scenario.shipped_scenarios())
    result["cost_linear"] = round(measure_linearity(), 2)
    result |= measure_ranking(1, quick=True) if args.quick else measure_ranking(args.seeds)
    result |= (
        measure_engine_gaps(8.0, ("calm", "crash"))
        if args.quick
        else measure_engine_gaps(None, SOCKET_SCENARIOS)
    )
    result["virtual_300x100_s"] = round(
        measure_large_run("grown-300x100", 10.0 if args.quick else None)[0], 1
    )
    if args.quick:
        result["virtual_300x100_played_s"] = 10.0
        result["virtual_1000x1000_s"] = None
    else:
        seconds, memory, events = measure_large_run("grown-1000x1000", None)
        result |= {"virtual_1000x1000_s": round(seconds, 1), "virtual_1000x1000_mb": memory, "events": events}
    result["took_s"] = round(time.monotonic() - started_at, 1)
    result["own_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    print(json.dumps(result))


if __name__ == "__main__":
    main()
