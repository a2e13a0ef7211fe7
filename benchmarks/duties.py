"""Benchmark of leases on real processes: time without a holder, cost, and detection of seeded bugs.

    python benchmarks/duties.py [--quick] [--out FILE]

The last line is one JSON object. A full run takes about 20 minutes on 8 cores, --quick about 3. Run it on an
otherwise idle machine.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import psutil

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from onyxhollow.lab.fleet import explore, injected_bugs  # noqa: E402
from onyxhollow.lab.fleet.bug_detection import detect_bug  # noqa: E402
from onyxhollow.lab.fleet.process_cluster import ClusterError, ProcessCluster  # noqa: E402
from onyxhollow.lab.fleet.record import Hold  # noqa: E402

LEASE_SECONDS = 1.0
FAULT_KINDS = ("kill", "stop", "cut", "planned", "term", "one-way")
SETTLE_SECONDS = 0.6  # from a fault's end to the next fault


def percentile(values: list[float], share: float) -> float:
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(share * len(rows)))] if rows else 0.0


class Gaps:
    """Causes faults one after another on one cluster and records the time without a holder after each."""

    def __init__(self, folder: Path, members: int, seed: int) -> None:
        period = 0.4 if members <= 20 else 1.0
        zones = ("a", "b") if members >= 20 else ("a",)
        self.cluster = ProcessCluster(
            folder,
            members=members,
            zones=zones,
            lease=LEASE_SECONDS,
            period=period,
            seed=seed,
            voters=5 if members >= 20 else 3,
        )
        self.rng = Random(seed)
        self.gaps: dict[str, list[float]] = {kind: [] for kind in FAULT_KINDS}
        self.errors: list[str] = []

    def find_last_hold(self) -> Hold:
        return max(
            (hold for hold in self.cluster.holds() if hold.duty == "ledger"), key=lambda hold: hold.since
        )

    def start(self) -> None:
        self.cluster.start()
        self.cluster.wait_members(within=60)
        self.cluster.wait_holder(within=60)
        self.cluster.run_for(1.0)

    def cause_fault(self, kind: str) -> None:
        """Cause one fault at the holder, record the gap until the next holder, and repair the fault."""
        cluster = self.cluster
        name = cluster.wait_holder()
        previous, fault_at = self.find_last_hold(), time.monotonic()
        rules: list[Any] = []
        if kind == "kill":
            cluster.kill(name)
        elif kind == "stop":
            cluster.stop(name)
        elif kind == "cut":
            rules = cluster.cut([name], None)
        elif kind == "one-way":
            rules = cluster.cut([name], None, both=False)
        elif kind == "term":
            cluster.current[name].expected_end = True
            cluster.current[name].child.terminate()  # type: ignore[union-attr]
        else:
            others = [other for other in cluster.names if other != name and cluster.current[other].alive]
            cluster.query(name, f"/hand-over?name=ledger&to={self.rng.choice(others)}", "POST")
        cluster.wait(
            lambda: self.find_last_hold().since > previous.since,
            20 * LEASE_SECONDS,
            f"a holder after {kind} of {name}",
        )
        current = self.find_last_hold()
        ended = next(
            hold for hold in cluster.holds() if hold.since == previous.since and hold.duty == "ledger"
        )
        gap_start = {"kill": fault_at, "stop": fault_at}.get(kind, ended.until)
        self.gaps[kind].append(max(0.0, current.since - gap_start))
        cluster.run_for(SETTLE_SECONDS if kind != "stop" else LEASE_SECONDS)
        if kind == "stop":
            cluster.resume(name)
        cluster.heal(rules) if rules else None
        if kind == "kill":
            cluster.start(name)
        elif kind == "term":
            cluster.wait(lambda: not cluster.current[name].alive, 10, f"{name} has ended")
            cluster.start(name)
        cluster.wait(
            lambda: cluster.visible_members(cluster.current[name]) > 1, 10, f"{name} has rejoined the fleet"
        )
        cluster.run_for(SETTLE_SECONDS)

    def run(self, faults: int) -> None:
        """Cause the given number of faults, cycling through the kinds."""
        try:
            self.start()
            for number in range(faults):
                try:
                    self.cause_fault(FAULT_KINDS[number % len(FAULT_KINDS)])
                except ClusterError as error:
                    self.errors.append(str(error)[:300])
                    self.cluster.heal()
                    for name, process in self.cluster.current.items():
                        if process.stopped:
                            self.cluster.resume(name)
                        if not process.alive:
                            self.cluster.start(name)
                    self.cluster.wait_holder(within=30)
        finally:
            self.cluster.close()


def measure_cost(folder: Path, members: int, fleet: bool, seconds: float) -> dict[str, float]:
    """Measure the traffic, CPU time and memory per member of an idle fleet with a lease for the list."""
    duties = [
        {"name": "ledger", "work": "call", "every": 0.5},
        {"name": "list", "work": "list", "per": "zone", "every": 1.0},
    ]
    cluster = ProcessCluster(
        folder,
        members=members,
        zones=("a", "b"),
        lease=3.0,
        period=1.0,
        duties=duties,
        fleet=fleet,
        voters=5 if members >= 5 else 3,
        ask_within=8.0,
    )
    try:
        cluster.start()
        if fleet:
            cluster.wait_members(within=90)
            cluster.wait_holder(within=60)
            receivers = len(cluster.names) - 2
            cluster.wait(
                lambda: sum(cluster.polling_suspended()) >= 0.9 * receivers, 60, "the list published to all"
            )
        cluster.run_for(12.0)  # until gossip about the start has ended
        calls = len(cluster.list_service.calls)
        sent, size = sum(cluster.links.sent.values()), sum(cluster.links.bytes.values())
        started_at = time.monotonic()
        processes = [psutil.Process(process.pid) for process in cluster.current.values()]
        cpu = sum(sum(process.cpu_times()[:2]) for process in processes)
        cluster.run_for(seconds)
        duration = time.monotonic() - started_at
        cpu = sum(sum(process.cpu_times()[:2]) for process in processes) - cpu
        memory = statistics.median(process.memory_info().rss for process in processes) / 2**20
        return {
            "datagrams": (sum(cluster.links.sent.values()) - sent) / duration / members,
            "bytes": (sum(cluster.links.bytes.values()) - size) / duration / members,
            "cpu_ms": 1000 * cpu / duration / members,
            "memory_mb": memory,
            "list_callers": cluster.list_service.count_callers(started_at, time.monotonic()),
            "list_calls": (len(cluster.list_service.calls) - calls) / duration,
        }
    finally:
        cluster.close()


def run_scenarios(folder: Path, quick: bool) -> tuple[int, list[str]]:
    """Run scenarios on sockets; return the number of rules that the proxies broke and a line for each run."""
    from msgspec.structs import replace

    from onyxhollow.lab import scenario
    from onyxhollow.lab.sockets.engine import Sockets

    broken_rules, lines = 0, []
    for name in ("deploy",) if quick else ("deploy", "list-down"):
        selected = scenario.read(name)
        selected = replace(
            selected,
            seconds=min(selected.seconds, 30.0),
            fleet=replace(selected.fleet, servers=12, proxies=6, zones=selected.fleet.zones[:2]),
        )
        (folder / name).mkdir()
        engine = Sockets(selected, 1, folder / name, in_fleet=True)
        world = engine.run()
        rules = world.checker.summary()
        count = sum(rules["broken"].values())  # type: ignore[attr-defined]
        broken_rules += count + len(engine.findings()["crashes"])
        receivers = sum(
            "list polling suspended" in (folder / name / f"n{n}.log").read_text() for n in range(6)
        )
        lines.append(
            f"scenario {name}: rules broken {count}, "
            f"proxies that received the list from a member {receivers} of 6, "
            f"void {engine.findings()['void'] or 'no'}"
        )
    return broken_rules, lines


def run_explorer(plan: tuple[int, int, str, str, int, float]) -> tuple[str, explore.Explored]:
    budget, ticks, rates, only, seed, seconds = plan
    return f"{budget}/{ticks}/{rates}/{only}", explore.explore(
        budget, ticks, rates, seconds=seconds, seed=seed, only=only
    )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="30 faults, 5 and 20 processes")
    parser.add_argument("--out", type=Path, help="also write the figures to this file as JSON")
    args = parser.parse_args()
    sizes = {5: 24, 20: 6} if args.quick else {5: 120, 50: 90, 200: 90}  # faults by number of members
    scratch = tempfile.TemporaryDirectory(prefix="onyxhollow-duties-")
    folder = Path(scratch.name)
    gaps: dict[int, Gaps] = {}
    report: Callable[[str], None] = lambda text: print(text, flush=True)  # noqa: E731
    overlaps = stale = late = faults = 0
    crashes: list[str] = []
    errors: list[str] = []
    for members, count in sizes.items():
        started_at = time.monotonic()
        run = gaps[members] = Gaps(folder / f"gaps{members}", members, seed=members)
        run.run(count)
        verdict = run.cluster.verdict()
        faults += sum(map(len, run.gaps.values()))
        overlaps, stale, late = (
            overlaps + len(verdict.overlaps),
            stale + len(verdict.stale),
            late + len(verdict.late),
        )
        crashes += run.cluster.crashes
        errors += run.errors
        count = sum(map(len, run.gaps.values()))
        report(
            f"{members} processes, {count} faults, {time.monotonic() - started_at:.0f} s; "
            f"overlaps {len(verdict.overlaps)}, late actions {len(verdict.late)}, "
            f"stale {len(verdict.stale)}, decreasing terms {len(verdict.falling)}"
        )
        for kind, rows in run.gaps.items():
            if rows:
                report(
                    f"  {kind:8} n {len(rows):3}  median {statistics.median(rows) / LEASE_SECONDS:.3f}  "
                    f"p99 {percentile(rows, 0.99) / LEASE_SECONDS:.3f}  worst {max(rows) / LEASE_SECONDS:.3f}"
                )
        for row in (
            verdict.overlaps
            + verdict.late
            + verdict.stale
            + verdict.falling
            + run.cluster.crashes
            + run.errors
        )[:5]:
            report(f"  {row}")
    cost: dict[str, dict[str, float]] = {}
    cost_plans = (
        [(20, True), (20, False)] if args.quick else [(20, True), (20, False), (200, True), (200, False)]
    )
    for members, fleet in cost_plans:
        row = cost[f"{members}{'' if fleet else ' off'}"] = measure_cost(
            folder / f"cost{members}{fleet}", members, fleet, 10.0
        )
        report(
            f"{members} members, fleet {'on' if fleet else 'off'}: "
            + ", ".join(f"{name} {value:.3g}" for name, value in row.items())
        )
    by_rig = {name: detect_bug(name, folder / f"bug-{name}") for name in injected_bugs.BUGS}
    explorer_plans = [
        (1, 14, "apart", "", 1, 60.0),
        (1, 14, "even", "", 1, 60.0),
        (3, 12, "apart", "restarts", 1, 120.0),
    ]
    explorer_plans += [
        (2, 14, rates, "", seed, 40.0 if args.quick else 75.0)
        for rates in explore.RATES
        for seed in ((1,) if args.quick else (1, 2))
    ]
    explorer_plans += (
        [] if args.quick else [(3, 14, rates, "", seed, 75.0) for rates in explore.RATES for seed in (3, 4)]
    )
    broken_rules, lines = run_scenarios(folder, args.quick)
    for line in lines:
        report(line)
    states, explorer_found = 0, []
    with ProcessPoolExecutor(max_workers=7) as pool:
        for title, done in pool.map(run_explorer, explorer_plans):
            states += done.states
            explorer_found += [done.found] if done.found else []
            report(
                f"explored {title}: {done.states} states, {done.steps} steps, {done.seconds:.0f} s, "
                f"{'complete' if done.whole else 'incomplete'} {done.found and 'FOUND ' + done.found}"
            )
    by_explorer = {}
    for name in injected_bugs.BUGS:
        with explore.bug(name):
            only = "restarts" if name == "forgets" else ""
            by_explorer[name] = explore.explore(3 if only else 1, 12, only=only).found
    for name in injected_bugs.BUGS:
        report(
            f"bug {name}: explorer: {by_explorer[name] or 'NOT FOUND'}; rig: {by_rig[name] or 'NOT FOUND'}"
        )
    fault_gaps = [
        gap for run in gaps.values() for kind in ("kill", "stop", "cut", "one-way") for gap in run.gaps[kind]
    ]
    planned_gaps = [gap for run in gaps.values() for kind in ("planned", "term") for gap in run.gaps[kind]]
    largest = max(members for members, fleet in cost_plans)
    on, off = cost[f"{largest}"], cost[f"{largest} off"]
    figures = {
        "processes": max(sizes),
        "faults": faults,
        "overlaps": overlaps,
        "stale_acts_effective": stale,
        "late_acts": late,
        "gap_median_leases": round(statistics.median(fault_gaps) / LEASE_SECONDS, 3) if fault_gaps else None,
        "gap_p99_leases": round(percentile(fault_gaps, 0.99) / LEASE_SECONDS, 3),
        "planned_gap_ms_p99": round(1000 * percentile(planned_gaps, 0.99), 1),
        "list_callers": on["list_callers"],
        "list_callers_off": off["list_callers"],
        "list_callers_ratio": round(on["list_callers"] / max(1, off["list_callers"]), 4),
        "bytes_per_s_member": {name: round(row["bytes"], 1) for name, row in cost.items()},
        "bytes_per_s_member_ratio": round(cost["200"]["bytes"] / cost["20"]["bytes"], 3)
        if "200" in cost
        else None,
        "cpu_ms_per_s_member": {name: round(row["cpu_ms"], 2) for name, row in cost.items()},
        "memory_mb_member": {name: round(row["memory_mb"], 1) for name, row in cost.items()},
        "rules_broken": broken_rules + len(explorer_found) + len(crashes),
        "crashes": crashes[:5],
        "not_seen": errors[:5],
        "states_explored": states,
        "seeded_bugs": len(injected_bugs.BUGS),
        "seeded_bugs_found": sum(bool(by_rig[name] and by_explorer[name]) for name in injected_bugs.BUGS),
        "by": Counter(
            {"rig": sum(map(bool, by_rig.values())), "explorer": sum(map(bool, by_explorer.values()))}
        ),
    }
    if args.out:
        args.out.write_text(json.dumps(figures, indent=1))
    scratch.cleanup()
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
