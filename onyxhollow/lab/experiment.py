"""Resumable experiments (scenarios x policies x seeds) over all cores, and paired comparison of two policies.

Each run is stored in its own file, which is written under a temporary name and renamed, so that a killed
experiment leaves complete files only. The file name contains a hash of the scenario, the policy's source and
the seed: runs of a changed scenario or policy are played again, the others are reused. Runs are
deterministic, so a resumed experiment has the same figures.
"""

from __future__ import annotations

import concurrent.futures
import contextlib
import hashlib
import inspect
import json
import math
import multiprocessing
import os
from collections.abc import Callable, Generator, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np
from scipy.stats import bootstrap

from onyxhollow import policy
from onyxhollow.lab import baselines, decisions, runs
from onyxhollow.lab.scenario import Scenario

BOOTSTRAP_RESAMPLES = 4000
CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One run of an experiment: scenario, policy and seed."""

    scenario: Scenario
    policy: str
    seed: int

    def file(self, policy_text: str) -> str:
        """Return the name under which the result is stored; it changes with scenario and policy."""
        names = f"{runs.digest(self.scenario)} {self.policy} {policy_text} {self.seed}"
        mark = hashlib.blake2b(names.encode(), digest_size=8).hexdigest()
        return f"{self.scenario.title}-{self.policy.replace('/', '_')}-{self.seed}-{mark}.json"


def policy_text(name: str) -> str:
    """Return a hash of a policy's source, so that stored runs of a changed policy are not reused."""
    decisions.find(name)
    other = baselines if name in baselines.BY_NAME else decisions
    if name not in decisions.names():
        return hashlib.blake2b(decisions.source_at(name).encode(), digest_size=8).hexdigest()
    modules = sorted(Path(path) for folder in policy.__path__ for path in Path(folder).glob("*.py"))
    texts = [*(module.read_text() for module in modules), inspect.getsource(other)]
    return hashlib.blake2b("".join(texts).encode(), digest_size=8).hexdigest()


def matrix(scenarios: Iterable[Scenario], policies: Sequence[str], seeds: Iterable[int]) -> list[PlannedRun]:
    """Return all combinations of scenarios, policies and seeds as planned runs."""
    seeds = list(seeds)
    return [
        PlannedRun(scenario, policy, seed) for scenario in scenarios for policy in policies for seed in seeds
    ]


def play_planned(run: PlannedRun) -> dict[str, Any]:
    """Play a run; return its results as a stored file gives them, through JSON."""
    result = runs.play(run.scenario, run.seed, run.policy)
    return json.loads(runs.to_json(result))  # type: ignore[no-any-return]


def read_result(path: Path) -> dict[str, Any] | None:
    """Return a stored result, or None if there is none or the file is damaged."""
    try:
        result = json.loads(path.read_bytes())
    except (OSError, ValueError):
        return None
    return result if isinstance(result, dict) and "score" in result else None


def save(path: Path, result: dict[str, Any]) -> None:
    """Write a result through a temporary file, so that no partial file is ever read."""
    temporary = path.with_suffix(f".{os.getpid()}.part")
    temporary.write_bytes(runs.to_json(result))
    temporary.replace(path)


def run_all(
    planned: list[PlannedRun],
    folder: Path | None,
    jobs: int,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> list[dict[str, Any]]:
    """Return the results of all planned runs in their order, reusing results stored in folder.

    Without a folder nothing is stored. `jobs` is the number of processes.

    Raises:
        decisions.PolicyError: a policy doesn't exist; nothing has been played.
        RunError: a run can't be played.
    """
    texts = {name: policy_text(name) for name in {run.policy for run in planned}}
    results: dict[int, dict[str, Any]] = {}
    paths = [folder / run.file(texts[run.policy]) if folder else None for run in planned]
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    for index, path in enumerate(paths):
        if path and (result := read_result(path)) is not None:
            results[index] = result
    progress(len(results), len(planned))
    pending = [index for index in range(len(planned)) if index not in results]
    # Closed at once on an error or an interrupt, which cancels the runs that have not begun.
    with contextlib.closing(_play_pending(planned, pending, jobs)) as played:
        for index, result in played:
            results[index] = result
            _save_if_stored(paths[index], result)
            progress(len(results), len(planned))
    return [results[index] for index in range(len(planned))]


def _play_pending(
    planned: list[PlannedRun], pending: list[int], jobs: int
) -> Generator[tuple[int, dict[str, Any]], None, None]:
    """Play the pending runs and yield the index and result of each as it ends."""
    if not pending:
        return
    if jobs == 1:
        for index in pending:
            yield index, play_planned(planned[index])
        return
    # Workers are spawned, not forked: a child must not inherit what the parent has open.
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(min(jobs, len(pending)), mp_context=context) as pool:
        waiting = {pool.submit(play_planned, planned[index]): index for index in pending}
        try:
            for future in concurrent.futures.as_completed(waiting):
                yield waiting[future], future.result()
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise


def _save_if_stored(path: Path | None, result: dict[str, Any]) -> None:
    if path:
        save(path, result)


EVENNESS_FIGURES = (
    "variation",
    "worst_over_mean",
    "worst_over_mean_p90",
    "idle_servers",
    "swings",
    "herd_p99",
)


def evenness(results: list[dict[str, Any]], policies: list[str]) -> dict[str, list[float]]:
    """Return the mean of each evenness figure for each policy, skipping stored runs without figures."""
    by_policy = {
        policy: [run["evenness"] for run in results if run["policy"] == policy and "evenness" in run]
        for policy in policies
    }
    return {
        name: [
            float(np.mean([row[name] for row in by_policy[policy]])) if by_policy[policy] else float("nan")
            for policy in policies
        ]
        for name in EVENNESS_FIGURES
    }


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference of policy B over A, paired by seed: mean and 95% bootstrap interval."""

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
        """Whether B is better or worse than A: the interval excludes 0 or not."""
        return "better" if self.low > 0 else "worse" if self.high < 0 else "no difference shown"


def interval(rows: Sequence[Sequence[float]], seed: int = 1) -> tuple[float, float]:
    """Return the percentile bootstrap interval of the mean of the rows' means.

    Each row (the differences of one scenario) is resampled separately.
    """
    samples = [np.asarray(row, dtype=float) for row in rows]
    if all(len(row) < 2 or np.ptp(row) == 0 for row in samples):
        constant = float(np.mean([row.mean() for row in samples]))
        return (constant, constant) if all(len(row) > 1 for row in samples) else (-math.inf, math.inf)

    def mean(*drawn: Any, axis: int = -1) -> Any:
        return np.mean([row.mean(axis=axis) for row in drawn], axis=0)

    result = bootstrap(
        samples,
        mean,
        n_resamples=BOOTSTRAP_RESAMPLES,
        confidence_level=CONFIDENCE,
        method="percentile",
        vectorized=True,
        rng=np.random.default_rng(seed),
    )
    return float(result.confidence_interval.low), float(result.confidence_interval.high)


def compare(
    results: list[dict[str, Any]], policy_a: str, policy_b: str, figure: str = "score"
) -> list[Difference]:
    """Return the difference for each scenario and over all, from the results of runs of both policies."""
    by_policy: dict[str, dict[str, dict[int, dict[str, Any]]]] = {}
    for run in results:
        by_policy.setdefault(run["scenario"], {}).setdefault(run["policy"], {})[run["seed"]] = run
    rows, differences = [], []
    for title, policies in by_policy.items():
        seeds = sorted(set(policies.get(policy_a, {})) & set(policies.get(policy_b, {})))
        if not seeds:
            continue
        runs_a, runs_b = ([policies[name][seed] for seed in seeds] for name in (policy_a, policy_b))
        rows.append(
            [float(run_b[figure] - run_a[figure]) for run_a, run_b in zip(runs_a, runs_b, strict=True)]
        )
        differences.append(difference(title, runs_a, runs_b, figure, [rows[-1]]))
    if differences:
        differences.append(overall_difference(differences, rows))
    return differences


def overall_difference(differences: list[Difference], rows: list[list[float]]) -> Difference:
    """Return the mean over all scenarios, each with the same weight; rows hold the paired differences."""
    count = len(differences)
    low, high = interval(rows)
    return Difference(
        f"all {count}",
        sum(row.mean_a for row in differences) / count,
        sum(row.mean_b for row in differences) / count,
        sum(row.difference for row in differences) / count,
        low,
        high,
        sum(row.seeds for row in differences),
        sum(row.broken_a for row in differences),
        sum(row.broken_b for row in differences),
    )


def difference(
    title: str,
    runs_a: list[dict[str, Any]],
    runs_b: list[dict[str, Any]],
    figure: str,
    rows: list[list[float]],
) -> Difference:
    """Return the difference of two policies on one scenario, from runs paired by seed."""
    low, high = interval(rows)
    mean_a, mean_b = (float(np.mean([run[figure] for run in side])) for side in (runs_a, runs_b))
    broken = [sum(not run["rules"]["clean"] for run in side) for side in (runs_a, runs_b)]
    return Difference(title, mean_a, mean_b, float(np.mean(rows[0])), low, high, len(runs_a), *broken)
