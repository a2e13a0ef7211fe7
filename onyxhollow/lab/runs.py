"""One run: a scenario, a seed, a policy, an engine; and what came of it, as plain data."""

from __future__ import annotations

import hashlib
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


def play(scenario: Scenario, seed: int, policy: str, series: bool = False) -> dict[str, Any]:
    """A run in virtual time. Raises decisions.PolicyError, and RunError for a bad record of arrivals.

    The figures hold nothing that differs from one process to another: no wall time, no memory, no path.
    """
    maker = decisions.find(policy)
    try:
        engine = Virtual(scenario, seed, maker)
    except (OSError, ValueError) as error:
        raise RunError(f"{scenario.title}: $.clients.record: {error}") from None
    world = engine.run()
    verdict = world.referee.verdict()
    figures = world.ledger.figures()
    told: dict[str, Any] = {
        "scenario": scenario.title,
        "digest": digest(scenario),
        "seed": seed,
        "policy": policy,
        "engine": "virtual",
        "score": figures["figure"] if verdict["clean"] else 0.0,
        **figures,
        "rules": verdict,
        "size": [scenario.fleet.proxies, scenario.fleet.servers],
        "clients": len(world.clients),
        "events": world.agenda.done,
        "list_lines": world.list.lines_sent,
        "crossings": world.crossings,
        "faults": [[begin, end, kind] for begin, end, kind in world.fault_marks],
    }
    if series:
        told["series"] = world.ledger.series()
        told["log"] = [list(line) for line in engine.logs]
    return told


def text(told: dict[str, Any]) -> bytes:
    """The run as JSON, always the same for the same run."""
    return msgspec.json.format(msgspec.json.encode(told, order="sorted"), indent=1)
