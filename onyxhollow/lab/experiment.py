"""Experiments: scenarios x policies x seeds over all cores, resumable; and paired comparison of two
policies.

Each run is a file of its own, written to a temporary name and renamed, so that a kill leaves whole
files only. Its name carries what it was made of (the scenario's text, the policy's text, the seed): a
changed scenario or policy is played anew, the rest is taken as it is. Runs are deterministic, so a
resumed experiment has the same figures.
"""

from __future__ import annotations

import concurrent.futures
import hashlib
import inspect
import json
import math
import multiprocessing
import os
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
from scipy.stats import bootstrap

from onyxhollow import policy
from onyxhollow.lab import baselines, decisions, runs
from onyxhollow.lab.scenario import Scenario

RESAMPLES = 4000
CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One run to be made."""

    scenario: Scenario
    policy: str
    seed: int

    def file(self, policy_text: str) -> str:
        names = f"{runs.digest(self.scenario)} {self.policy} {policy_text} {self.seed}"
        mark = hashlib.blake2b(names.encode(), digest_size=8).hexdigest()
        return f"{self.scenario.title}-{self.policy.replace('/', '_')}-{self.seed}-{mark}.json"


def policy_text(name: str) -> str:
    """What a policy's text hashes to: a run of another text under the same name is no run of this one."""
    decisions.find(name)
    other = baselines if name in baselines.BY_NAME else decisions
    if name not in decisions.names():
        return hashlib.blake2b(decisions.source_at(name).encode(), digest_size=8).hexdigest()
    modules = sorted(Path(path) for folder in policy.__path__ for path in Path(folder).glob("*.py"))
    texts = [*(module.read_text() for module in modules), inspect.getsource(other)]
    return hashlib.blake2b("".join(texts).encode(), digest_size=8).hexdigest()


def matrix(scenarios: Iterable[Scenario], policies: Sequence[str], seeds: Iterable[int]) -> list[PlannedRun]:
    seeds = list(seeds)
    return [PlannedRun(day, policy, seed) for day in scenarios for policy in policies for seed in seeds]


def play(cell: PlannedRun) -> dict[str, Any]:
    told = runs.play(cell.scenario, cell.seed, cell.policy)
    return json.loads(runs.to_json(told))  # type: ignore[no-any-return]


def kept(path: Path) -> dict[str, Any] | None:
    """A run made before; None if there is none or the file is no good, and it is made anew."""
    try:
        told = json.loads(path.read_bytes())
    except (OSError, ValueError):
        return None
    return told if isinstance(told, dict) and "score" in told else None


def save(path: Path, told: dict[str, Any]) -> None:
    part = path.with_suffix(f".{os.getpid()}.part")
    part.write_bytes(runs.to_json(told))
    part.replace(path)


def run_all(
    cells: list[PlannedRun],
    folder: Path | None,
    jobs: int,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> list[dict[str, Any]]:
    """All runs, in the order of cells. folder: where runs are kept; None: nowhere. jobs: processes.

    Raises decisions.PolicyError before anything is played, and RunError.
    """
    texts = {name: policy_text(name) for name in {cell.policy for cell in cells}}
    results: dict[int, dict[str, Any]] = {}
    paths = [folder / cell.file(texts[cell.policy]) if folder else None for cell in cells]
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    for place, path in enumerate(paths):
        if path and (told := kept(path)) is not None:
            results[place] = told
    progress(len(results), len(cells))
    left = [place for place in range(len(cells)) if place not in results]
    if left and jobs == 1:
        for place in left:
            results[place] = play(cells[place])
            finish(paths[place], results[place])
            progress(len(results), len(cells))
        left = []
    # Started anew rather than forked: a child must not inherit what the parent holds open.
    context = multiprocessing.get_context("spawn")
    if left:
        with concurrent.futures.ProcessPoolExecutor(min(jobs, len(left)), mp_context=context) as pool:
            waiting = {pool.submit(play, cells[place]): place for place in left}
            try:
                for future in concurrent.futures.as_completed(waiting):
                    place = waiting[future]
                    results[place] = future.result()
                    finish(paths[place], results[place])
                    progress(len(results), len(cells))
            except BaseException:
                pool.shutdown(wait=False, cancel_futures=True)
                raise
    return [results[place] for place in range(len(cells))]


def finish(path: Path | None, told: dict[str, Any]) -> None:
    if path:
        save(path, told)


EVENNESS_FIGURES = (
    "variation",
    "worst_over_mean",
    "worst_over_mean_p90",
    "idle_servers",
    "swings",
    "herd_p99",
)


def evenness(results: list[dict[str, Any]], policies: list[str]) -> dict[str, list[float]]:
    """Means over all runs of each policy, by figure. Runs kept from before these figures say nothing."""
    by = {
        policy: [run["evenness"] for run in results if run["policy"] == policy and "evenness" in run]
        for policy in policies
    }
    return {
        name: [
            float(np.mean([row[name] for row in by[policy]])) if by[policy] else float("nan")
            for policy in policies
        ]
        for name in EVENNESS_FIGURES
    }


@dataclass(frozen=True, slots=True)
class Difference:
    """Of B over A, paired by seed: mean, and a bootstrap interval of 95%."""

    title: str
    mean_a: float
    mean_b: float
    difference: float
    low: float
    high: float
    seeds: int
    broken_a: int
    broken_b: int

    @property
    def verdict(self) -> str:
        return "better" if self.low > 0 else "worse" if self.high < 0 else "no difference shown"


def interval(rows: Sequence[Sequence[float]], seed: int = 1) -> tuple[float, float]:
    """Percentile bootstrap of the mean of the rows' means, resampled within each row (each scenario
    apart)."""
    samples = [np.asarray(row, dtype=float) for row in rows]
    if all(len(row) < 2 or np.ptp(row) == 0 for row in samples):
        same = float(np.mean([row.mean() for row in samples]))
        return (same, same) if all(len(row) > 1 for row in samples) else (-math.inf, math.inf)

    def mean(*drawn: Any, axis: int = -1) -> Any:
        return np.mean([row.mean(axis=axis) for row in drawn], axis=0)

    told = bootstrap(
        samples,
        mean,
        n_resamples=RESAMPLES,
        confidence_level=CONFIDENCE,
        method="percentile",
        vectorized=True,
        rng=np.random.default_rng(seed),
    )
    return float(told.confidence_interval.low), float(told.confidence_interval.high)


def compare(told: list[dict[str, Any]], a: str, b: str, what: str = "score") -> list[Difference]:
    """A difference for each scenario and one in all, from the runs of an experiment that holds both."""
    by: dict[str, dict[str, dict[int, dict[str, Any]]]] = {}
    for run in told:
        by.setdefault(run["scenario"], {}).setdefault(run["policy"], {})[run["seed"]] = run
    rows, found = [], []
    for title, policies in by.items():
        seeds = sorted(set(policies.get(a, {})) & set(policies.get(b, {})))
        if not seeds:
            continue
        ones, others = ([policies[name][seed] for seed in seeds] for name in (a, b))
        rows.append([float(y[what] - x[what]) for x, y in zip(ones, others, strict=True)])
        found.append(difference(title, ones, others, what, [rows[-1]]))
    if found:
        count = len(found)
        low, high = interval(rows)
        found.append(
            Difference(
                f"all {count}",
                sum(d.mean_a for d in found) / count,
                sum(d.mean_b for d in found) / count,
                sum(d.difference for d in found) / count,
                low,
                high,
                sum(d.seeds for d in found),
                sum(d.broken_a for d in found),
                sum(d.broken_b for d in found),
            )
        )
    return found


def difference(
    title: str, ones: list[dict[str, Any]], others: list[dict[str, Any]], what: str, rows: list[list[float]]
) -> Difference:
    low, high = interval(rows)
    mean_a, mean_b = (float(np.mean([run[what] for run in side])) for side in (ones, others))
    broken = [sum(not run["rules"]["clean"] for run in side) for side in (ones, others)]
    return Difference(title, mean_a, mean_b, float(np.mean(rows[0])), low, high, len(ones), *broken)
