"""What can be played: the module as it stands, as it stood at an earlier commit, or a baseline."""

from __future__ import annotations

import inspect
import re
import subprocess
import sys
import types
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from onyxhollow import policy
from onyxhollow.interface import Host, Settings
from onyxhollow.lab import baselines

if TYPE_CHECKING:
    from onyxhollow.lab.world.world import World

# host, settings, seed, the world (for the policy that sees it) -> something with the Balancer's calls
Maker = Callable[[Host, Settings, int, "World"], Any]


class PolicyError(Exception):
    """No such policy."""


def ablation(name: str) -> type[policy.Balancer]:
    """The module without one of its mechanisms."""

    class Without(policy.Balancer):
        pass

    def nothing(*_: Any, **__: Any) -> None:
        return None

    changes: dict[str, dict[str, Any]] = {
        "no-distrust": {"blame": nothing},
        "no-hand-off": {"hand_off": nothing},
        "no-cold-budget": {"eased": lambda *_: True},
        "no-probing": {"probe_round": nothing, "asking": lambda *_: False},
        "no-gate": {"load_of": lambda *_: 0.0},
    }
    for method, instead in changes[name].items():
        setattr(Without, method, instead)
    return Without


ABLATIONS = ("no-distrust", "no-hand-off", "no-cold-budget", "no-probing", "no-gate")


def text_at(revision: str) -> str:
    """policy.py as it stood at a commit of this repository. Raises PolicyError."""
    wanted = f"policy {revision}: expected a name of onyxhollow lab list, or a commit with policy.py"
    if not re.fullmatch(r"[0-9A-Za-z][0-9A-Za-z_./~^-]{0,80}", revision):
        raise PolicyError(wanted)  # an option of git's, for one
    root = str(Path(__file__).resolve().parents[2])
    asked = ["git", "-C", root, "show", f"{revision}:onyxhollow/policy.py"]
    try:
        got = subprocess.run(asked, capture_output=True, text=True, timeout=20, check=False)
    except OSError as error:
        raise PolicyError(f"policy {revision}: git: {error.strerror}") from None
    if got.returncode:
        raise PolicyError(wanted)
    return got.stdout


def at_revision(revision: str) -> type[policy.Balancer]:
    """The module of an earlier commit, on today's interface. Raises PolicyError."""
    source = text_at(revision)
    module = types.ModuleType(f"onyxhollow_policy_{revision}")
    sys.modules[module.__name__] = module
    try:
        exec(compile(source, f"{revision}:onyxhollow/policy.py", "exec"), module.__dict__)
    except ImportError as error:
        raise PolicyError(f"policy {revision}: does not fit today's interface: {error}") from None
    balancer: type[policy.Balancer] = module.Balancer
    if "came_back" in inspect.signature(balancer.take).parameters:
        return with_came_back(balancer)
    return balancer


def with_came_back(old: type[policy.Balancer]) -> type[policy.Balancer]:
    """Earlier modules were told with each session whether its client had been cut off or moved before."""

    class Told(old):  # type: ignore[misc, valid-type]
        def take(self, token: Any, *values: Any) -> Any:
            return super().take(token, *values, token.came_back)

    return Told


def find(name: str) -> Maker:
    """Raises PolicyError."""
    if name in baselines.BY_NAME:
        baseline = baselines.BY_NAME[name]
        return lambda host, settings, seed, world: baseline(host, settings, seed, world)
    if name == "module":
        kind: type[policy.Balancer] = policy.Balancer
    elif name in ABLATIONS:
        kind = ablation(name)
    else:
        kind = at_revision(name)
    return lambda host, settings, seed, _: kind(host, settings, seed)


def names() -> list[str]:
    return ["module", *baselines.BY_NAME, *ABLATIONS]
