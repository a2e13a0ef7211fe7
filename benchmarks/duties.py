"""Duties on real processes: how long without a holder, what it costs, and whether each bug put in is found.

    python benchmarks/duties.py [--quick] [--out FILE]

The last line is one JSON object. In full some 20 minutes on 8 cores, quick 3; nothing else should run
beside it.
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

from onyxhollow.lab.fleet import broken, explore  # noqa: E402
from onyxhollow.lab.fleet.bugs import found  # noqa: E402
from onyxhollow.lab.fleet.record import Hold  # noqa: E402
from onyxhollow.lab.fleet.rig import Rig, RigError  # noqa: E402

LEASE = 1.0
KINDS = ("kill", "stop", "cut", "planned", "term", "one-way")
SETTLE = 0.6  # seconds from a fault's end to the next


def percentile(values: list[float], share: float) -> float:
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(share * len(rows)))] if rows else 0.0


class Gaps:
    """Faults one after another on one rig; the gap each of them left."""

    def __init__(self, folder: Path, members: int, seed: int) -> None:
        period = 0.4 if members <= 20 else 1.0
        zones = ("a", "b") if members >= 20 else ("a",)
        self.rig = Rig(
            folder,
            members=members,
            zones=zones,
            lease=LEASE,
            period=period,
            seed=seed,
            voters=5 if members >= 20 else 3,
        )
        self.rng = Random(seed)
        self.gaps: dict[str, list[float]] = {kind: [] for kind in KINDS}
        self.notes: list[str] = []

    def last_hold(self) -> Hold:
        return max((hold for hold in self.rig.holds() if hold.duty == "ledger"), key=lambda hold: hold.since)

    def begin(self) -> None:
        self.rig.start()
        self.rig.wait_members(within=60)
        self.rig.wait_holder(within=60)
        self.rig.play(1.0)

    def fault(self, kind: str) -> None:
        rig = self.rig
        name = rig.wait_holder()
        before, began = self.last_hold(), time.monotonic()
        rules: list[Any] = []
        if kind == "kill":
            rig.kill(name)
        elif kind == "stop":
            rig.stop(name)
        elif kind == "cut":
            rules = rig.cut([name], None)
        elif kind == "one-way":
            rules = rig.cut([name], None, both=False)
        elif kind == "term":
            rig.now_by[name].expected_end = True
            rig.now_by[name].child.terminate()  # type: ignore[union-attr]
        else:
            others = [other for other in rig.names if other != name and rig.now_by[other].alive]
            rig.ask(name, f"/hand-over?name=ledger&to={self.rng.choice(others)}", "POST")
        rig.wait(
            lambda: self.last_hold().since > before.since, 20 * LEASE, f"a holder after {kind} of {name}"
        )
        after = self.last_hold()
        told = next(hold for hold in rig.holds() if hold.since == before.since and hold.duty == "ledger")
        start = {"kill": began, "stop": began}.get(kind, told.until)
        self.gaps[kind].append(max(0.0, after.since - start))
        rig.play(SETTLE if kind != "stop" else LEASE)
        if kind == "stop":
            rig.go_on(name)
        rig.mend(rules) if rules else None
        if kind == "kill":
            rig.start(name)
        elif kind == "term":
            rig.wait(lambda: not rig.now_by[name].alive, 10, f"{name} has ended")
            rig.start(name)
        rig.wait(lambda: rig.there(rig.now_by[name]) > 1, 10, f"{name} is back among the others")
        rig.play(SETTLE)

    def run(self, faults: int) -> None:
        """Kinds in turn."""
        try:
            self.begin()
            for number in range(faults):
                try:
                    self.fault(KINDS[number % len(KINDS)])
                except RigError as error:
                    self.notes.append(str(error)[:300])
                    self.rig.mend()
                    for name, process in self.rig.now_by.items():
                        if process.stopped:
                            self.rig.go_on(name)
                        if not process.alive:
                            self.rig.start(name)
                    self.rig.wait_holder(within=30)
        finally:
            self.rig.close()


def costs(folder: Path, members: int, fleet: bool, seconds: float) -> dict[str, float]:
    """Of a quiet fleet with the duty of the list: per member and second."""
    duties = [
        {"name": "ledger", "work": "call", "every": 0.5},
        {"name": "list", "work": "list", "per": "zone", "every": 1.0},
    ]
    rig = Rig(
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
        rig.start()
        if fleet:
            rig.wait_members(within=90)
            rig.wait_holder(within=60)
            tells = len(rig.names) - 2
            rig.wait(lambda: sum(rig.ask_rests()) >= 0.9 * tells, 60, "the list told to all")
        rig.play(12.0)  # the news of the start have gone round
        calls = len(rig.list.calls)
        sent, size = sum(rig.links.sent.values()), sum(rig.links.bytes.values())
        began = time.monotonic()
        processes = [psutil.Process(process.pid) for process in rig.now_by.values()]
        cpu = sum(sum(process.cpu_times()[:2]) for process in processes)
        rig.play(seconds)
        span = time.monotonic() - began
        cpu = sum(sum(process.cpu_times()[:2]) for process in processes) - cpu
        memory = statistics.median(process.memory_info().rss for process in processes) / 2**20
        return {
            "datagrams": (sum(rig.links.sent.values()) - sent) / span / members,
            "bytes": (sum(rig.links.bytes.values()) - size) / span / members,
            "cpu_ms": 1000 * cpu / span / members,
            "memory_mb": memory,
            "list_callers": rig.list.callers(began, time.monotonic()),
            "list_calls": (len(rig.list.calls) - calls) / span,
        }
    finally:
        rig.close()


def days(folder: Path, quick: bool) -> tuple[int, list[str]]:
    """Rules that proxies in a fleet break in days on sockets, judged by the lab's checker."""
    from msgspec.structs import replace

    from onyxhollow.lab import scenario
    from onyxhollow.lab.sockets.engine import SocketEngine

    broken_rules, told = 0, []
    for name in ("deploy",) if quick else ("deploy", "list-down"):
        day = scenario.read(name)
        day = replace(
            day,
            seconds=min(day.seconds, 30.0),
            fleet=replace(day.fleet, servers=12, proxies=6, zones=day.fleet.zones[:2]),
        )
        (folder / name).mkdir()
        engine = SocketEngine(day, 1, folder / name, in_fleet=True)
        world = engine.run()
        rules = world.checker.summary()
        count = sum(rules["broken"].values())  # type: ignore[attr-defined]
        broken_rules += count + len(engine.findings()["crashes"])
        rests = sum("list polling suspended" in (folder / name / f"n{n}.log").read_text() for n in range(6))
        told.append(
            f"day {name}: rules broken {count}, proxies that were told the list {rests} of 6, "
            f"void {engine.findings()['void'] or 'no'}"
        )
    return broken_rules, told


def explored(told: tuple[int, int, str, str, int, float]) -> tuple[str, explore.Explored]:
    budget, ticks, rates, only, seed, seconds = told
    return f"{budget}/{ticks}/{rates}/{only}", explore.explore(
        budget, ticks, rates, seconds=seconds, seed=seed, only=only
    )


def main() -> int:
    top = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    top.add_argument("--quick", action="store_true", help="30 faults, 5 and 20 processes")
    top.add_argument("--out", type=Path, help="where the figures go as JSON too")
    told = top.parse_args()
    sizes = {5: 24, 20: 6} if told.quick else {5: 120, 50: 90, 200: 90}
    scratch = tempfile.TemporaryDirectory(prefix="onyxhollow-duties-")
    folder = Path(scratch.name)
    gaps: dict[int, Gaps] = {}
    say: Callable[[str], None] = lambda text: print(text, flush=True)  # noqa: E731
    overlaps = stale = late = faults = 0
    crashes: list[str] = []
    notes: list[str] = []
    for members, count in sizes.items():
        began = time.monotonic()
        run = gaps[members] = Gaps(folder / f"gaps{members}", members, seed=members)
        run.run(count)
        verdict = run.rig.verdict()
        faults += sum(map(len, run.gaps.values()))
        overlaps, stale, late = (
            overlaps + len(verdict.overlaps),
            stale + len(verdict.stale),
            late + len(verdict.late),
        )
        crashes += run.rig.crashes
        notes += run.notes
        count = sum(map(len, run.gaps.values()))
        say(
            f"{members} processes, {count} faults, {time.monotonic() - began:.0f} s; "
            f"overlaps {len(verdict.overlaps)}, late acts {len(verdict.late)}, stale {len(verdict.stale)}, "
            f"falling terms {len(verdict.falling)}"
        )
        for kind, rows in run.gaps.items():
            if rows:
                say(
                    f"  {kind:8} n {len(rows):3}  median {statistics.median(rows) / LEASE:.3f}  "
                    f"p99 {percentile(rows, 0.99) / LEASE:.3f}  worst {max(rows) / LEASE:.3f}"
                )
        for row in (
            verdict.overlaps + verdict.late + verdict.stale + verdict.falling + run.rig.crashes + run.notes
        )[:5]:
            say(f"  {row}")
    cost: dict[str, dict[str, float]] = {}
    plan = [(20, True), (20, False)] if told.quick else [(20, True), (20, False), (200, True), (200, False)]
    for members, fleet in plan:
        row = cost[f"{members}{'' if fleet else ' off'}"] = costs(
            folder / f"cost{members}{fleet}", members, fleet, 10.0
        )
        say(
            f"{members} members, fleet {'on' if fleet else 'off'}: "
            + ", ".join(f"{name} {value:.3g}" for name, value in row.items())
        )
    by_rig = {name: found(name, folder / f"bug-{name}") for name in broken.BUGS}
    plans = [
        (1, 14, "apart", "", 1, 60.0),
        (1, 14, "even", "", 1, 60.0),
        (3, 12, "apart", "restarts", 1, 120.0),
    ]
    plans += [
        (2, 14, rates, "", seed, 40.0 if told.quick else 75.0)
        for rates in explore.RATES
        for seed in ((1,) if told.quick else (1, 2))
    ]
    plans += (
        [] if told.quick else [(3, 14, rates, "", seed, 75.0) for rates in explore.RATES for seed in (3, 4)]
    )
    rules, lines = days(folder, told.quick)
    for line in lines:
        say(line)
    states, explorer_found = 0, []
    with ProcessPoolExecutor(max_workers=7) as pool:
        for title, done in pool.map(explored, plans):
            states += done.states
            explorer_found += [done.found] if done.found else []
            say(
                f"explored {title}: {done.states} states, {done.steps} steps, {done.seconds:.0f} s, "
                f"{'whole' if done.whole else 'cut off'} {done.found and 'FOUND ' + done.found}"
            )
    by_explorer = {}
    for name in broken.BUGS:
        with explore.bug(name):
            only = "restarts" if name == "forgets" else ""
            by_explorer[name] = explore.explore(3 if only else 1, 12, only=only).found
    for name in broken.BUGS:
        say(f"bug {name}: explorer: {by_explorer[name] or 'NOT FOUND'}; rig: {by_rig[name] or 'NOT FOUND'}")
    lost = [
        gap for run in gaps.values() for kind in ("kill", "stop", "cut", "one-way") for gap in run.gaps[kind]
    ]
    planned = [gap for run in gaps.values() for kind in ("planned", "term") for gap in run.gaps[kind]]
    most = max(members for members, fleet in plan)
    on, off = cost[f"{most}"], cost[f"{most} off"]
    figures = {
        "processes": max(sizes),
        "faults": faults,
        "overlaps": overlaps,
        "stale_acts_effective": stale,
        "late_acts": late,
        "gap_median_leases": round(statistics.median(lost) / LEASE, 3) if lost else None,
        "gap_p99_leases": round(percentile(lost, 0.99) / LEASE, 3),
        "planned_gap_ms_p99": round(1000 * percentile(planned, 0.99), 1),
        "list_callers": on["list_callers"],
        "list_callers_off": off["list_callers"],
        "list_callers_ratio": round(on["list_callers"] / max(1, off["list_callers"]), 4),
        "bytes_per_s_member": {name: round(row["bytes"], 1) for name, row in cost.items()},
        "bytes_per_s_member_ratio": round(cost["200"]["bytes"] / cost["20"]["bytes"], 3)
        if "200" in cost
        else None,
        "cpu_ms_per_s_member": {name: round(row["cpu_ms"], 2) for name, row in cost.items()},
        "memory_mb_member": {name: round(row["memory_mb"], 1) for name, row in cost.items()},
        "rules_broken": rules + len(explorer_found) + len(crashes),
        "crashes": crashes[:5],
        "not_seen": notes[:5],
        "states_explored": states,
        "seeded_bugs": len(broken.BUGS),
        "seeded_bugs_found": sum(bool(by_rig[name] and by_explorer[name]) for name in broken.BUGS),
        "by": Counter(
            {"rig": sum(map(bool, by_rig.values())), "explorer": sum(map(bool, by_explorer.values()))}
        ),
    }
    if told.out:
        told.out.write_text(json.dumps(figures, indent=1))
    scratch.cleanup()
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
