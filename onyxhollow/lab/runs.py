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
    if picture and (engine != "virtual" or policy != "module"):
        raise RunError(
            "--picture: expected the module in virtual time; on sockets use --logs and draw the logs"
        )
    findings: dict[str, Any] = {}
    log: list[Any] = []
    try:
        if engine == "sockets":
            from onyxhollow.lab.sockets.engine import play as play_on_sockets

            if policy != "module":
                raise RunError(f"--policy: on sockets expected module, got {policy}")
            world, findings = play_on_sockets(scenario, seed, logs, progress)
        else:
            virtual = VirtualEngine(scenario, seed, policy_factory)
            if picture:
                virtual.begin()
                virtual.world.event_queue.run_until(min(picture[1], scenario.seconds))
                save_snapshot(virtual, picture[0])
                virtual.world.event_queue.run_until(scenario.seconds)
                world, log = virtual.end(), virtual.logs
            else:
                world, log = virtual.run(), virtual.logs
    except (OSError, ValueError) as error:
        raise RunError(f"{scenario.title}: $.clients.record: {error}") from None
    except RuntimeError as error:
        raise RunError(f"{scenario.title}: {error}") from None
    verdict = world.checker.summary()
    figures = world.metrics.figures()
    result: dict[str, Any] = {
        "scenario": scenario.title,
        "digest": digest(scenario),
        "seed": seed,
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
    if findings:
        result["sockets"] = findings
    if series:
        result["series"] = world.metrics.series()
        result["log"] = [list(line) for line in log]
    return result


def save_snapshot(virtual: VirtualEngine, path: Path) -> None:
    from onyxhollow.lab import topology_snapshot
    from onyxhollow.topology import snapshot_file

    try:
        snapshot_file.save(path, topology_snapshot.take_snapshot(virtual))
    except snapshot_file.SnapshotError as error:
        raise RunError(f"--picture: {error}") from None


def to_json(result: dict[str, Any]) -> bytes:
    """Return the results as JSON with sorted keys: the same results give the same bytes."""
    return msgspec.json.format(msgspec.json.encode(result, order="sorted"), indent=1)
