"""Play one run (a scenario, a seed, a policy and an engine) and return its results as plain data."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from onyxhollow.lab import decisions
from onyxhollow.lab.scenario import Scenario, encode
from onyxhollow.lab.virtual import VirtualEngine
from onyxhollow.lab.world.world import World


class RunError(Exception):
    """A run that can't be played; the text is one line."""


def digest(scenario: Scenario) -> str:
    """Return a hash of the whole scenario."""
    return hashlib.blake2b(encode(scenario), digest_size=6).hexdigest()


def play(
    scenario: Scenario,
    seed: int,
    policy: str,
    series: bool = False,
    engine: str = "virtual",
    logs: Path | None = None,
    progress: Callable[[float, float], None] = lambda now, of: None,
    picture: tuple[Path, float] | None = None,
) -> dict[str, Any]:
    """Play a run and return its results.

    The engine is "virtual", or "sockets", which plays only the module, because `serve` runs no other
    policy. The proxies' logs go to `logs`. `picture` is the file for a snapshot for the topology tool and the
    second at which it is taken; it needs the module in virtual time (on sockets, draw the logs instead).
    The results of a virtual run hold nothing that differs between processes, such as wall time or paths.

    Raises:
        decisions.PolicyError: there is no such policy.
        RunError: the run can't be played for another reason.
    """
    policy_factory = decisions.find(policy)
    _check_options(policy, engine, picture)
    findings: dict[str, Any] = {}
    log: list[tuple[float, int, str]] = []
    try:
        if engine == "sockets":
            world, findings = _play_on_sockets(scenario, seed, logs, progress)
        else:
            world, log = _play_in_virtual_time(scenario, seed, policy_factory, picture)
    except (OSError, ValueError) as error:
        raise RunError(f"{scenario.title}: $.clients.record: {error}") from None
    except RuntimeError as error:
        raise RunError(f"{scenario.title}: {error}") from None
    result = _collect_results(world, policy, engine)
    if findings:
        result["sockets"] = findings
    if series:
        result |= {"series": world.metrics.series(), "log": [list(line) for line in log]}
    return result


def _check_options(policy: str, engine: str, picture: tuple[Path, float] | None) -> None:
    """Raise RunError if the engine can't play the policy or take the snapshot."""
    if picture and (engine != "virtual" or policy != "module"):
        raise RunError(
            "--picture: expected the module in virtual time; on sockets use --logs and draw the logs"
        )
    if engine == "sockets" and policy != "module":
        raise RunError(f"--policy: on sockets expected module, got {policy}")


def _play_on_sockets(
    scenario: Scenario, seed: int, logs: Path | None, progress: Callable[[float, float], None]
) -> tuple[World, dict[str, Any]]:
    """Play a run on sockets; return its world and the findings of the engine."""
    from onyxhollow.lab.sockets import engine

    return engine.play(scenario, seed, logs, progress)


def _play_in_virtual_time(
    scenario: Scenario, seed: int, policy_factory: decisions.PolicyFactory, picture: tuple[Path, float] | None
) -> tuple[World, list[tuple[float, int, str]]]:
    """Play a run, taking the snapshot if there is one; return its world and the modules' log."""
    virtual = VirtualEngine(scenario, seed, policy_factory)
    if not picture:
        return virtual.run(), virtual.logs
    path, taken_at = picture
    virtual.begin()
    virtual.world.event_queue.run_until(min(taken_at, scenario.seconds))
    save_snapshot(virtual, path)
    virtual.world.event_queue.run_until(scenario.seconds)
    return virtual.end(), virtual.logs


def _collect_results(world: World, policy: str, engine: str) -> dict[str, Any]:
    """Return the results of a run that has ended."""
    scenario, verdict, figures = world.scenario, world.checker.summary(), world.metrics.figures()
    return {
        "scenario": scenario.title,
        "digest": digest(scenario),
        "seed": world.seed,
        "policy": policy,
        "engine": engine,
        "score": figures["figure"] if verdict["clean"] else 0.0,
        **figures,
        "rules": verdict,
        "size": [scenario.fleet.proxies, scenario.fleet.servers],
        "clients": len(world.clients),
        "events": world.event_queue.executed,
        "list_lines": world.list_service.lines_sent,
        "crossings": world.crossings,
        "faults": [[begin, end, kind] for begin, end, kind in world.fault_spans],
    }


def save_snapshot(virtual: VirtualEngine, path: Path) -> None:
    """Write the current state for the topology tool; raise RunError if the file can't be written."""
    from onyxhollow.lab import topology_snapshot
    from onyxhollow.topology import snapshot_file

    try:
        snapshot_file.save(path, topology_snapshot.take_snapshot(virtual))
    except snapshot_file.SnapshotError as error:
        raise RunError(f"--picture: {error}") from None


def to_json(result: dict[str, Any]) -> bytes:
    """Return the results as JSON with sorted keys: the same results give the same bytes."""
    return msgspec.json.format(msgspec.json.encode(result, order="sorted"), indent=1)
