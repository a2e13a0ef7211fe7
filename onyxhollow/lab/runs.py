"""One run: a scenario, a seed, a policy, an engine; and what came of it, as plain data."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from onyxhollow.lab import decisions
from onyxhollow.lab.scenario import Scenario, encode
from onyxhollow.lab.virtual import Virtual


class RunError(Exception):
    """A run that can't be played, in one line."""


def digest(scenario: Scenario) -> str:
    """Which scenario it was, to the last figure."""
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
    """A run. Raises decisions.PolicyError, and RunError for what else can't be played.

    engine: virtual, or sockets (which plays what serve is made of: the module). logs: where the
    proxies' logs go. picture: where a snapshot for the topology tool goes, and at which second it is
    taken; in virtual time, of the module (on sockets the logs tell as much). The figures of a virtual
    run hold nothing that differs from one process to another: no wall time, no path.
    """
    maker = decisions.find(policy)
    if picture and (engine != "virtual" or policy != "module"):
        raise RunError("--picture: expected the module in virtual time; on sockets --logs can be drawn")
    found: dict[str, Any] = {}
    log: list[Any] = []
    try:
        if engine == "sockets":
            from onyxhollow.lab.sockets.engine import play as play_on_sockets

            if policy != "module":
                raise RunError(f"--policy {policy}: on sockets expected module, which serve carries")
            world, found = play_on_sockets(scenario, seed, logs, progress)
        else:
            virtual = Virtual(scenario, seed, maker)
            if picture:
                virtual.begin()
                virtual.world.event_queue.run_until(min(picture[1], scenario.seconds))
                take(virtual, picture[0])
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
    told: dict[str, Any] = {
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
    if found:
        told["sockets"] = found
    if series:
        told["series"] = world.metrics.series()
        told["log"] = [list(line) for line in log]
    return told


def take(virtual: Virtual, path: Path) -> None:
    from onyxhollow.lab import pictures
    from onyxhollow.topology import snapshot_file

    try:
        snapshot_file.save(path, pictures.taken(virtual))
    except snapshot_file.SnapshotError as error:
        raise RunError(f"--picture: {error}") from None


def text(told: dict[str, Any]) -> bytes:
    """The run as JSON, always the same for the same run."""
    return msgspec.json.format(msgspec.json.encode(told, order="sorted"), indent=1)
