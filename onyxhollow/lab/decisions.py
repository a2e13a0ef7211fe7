"""The policies that can be played: the current module, the module at an earlier commit, and baselines."""

from __future__ import annotations

import importlib
import io
import re
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from onyxhollow import policy
from onyxhollow.interface import Host, Settings
from onyxhollow.lab import baselines

if TYPE_CHECKING:
    from onyxhollow.lab.world.world import World

# Creates a policy with the interface of Balancer. Only TrueState reads the world.
PolicyFactory = Callable[[Host, Settings, int, "World"], Any]


class PolicyError(Exception):
    """There is no such policy."""


def ablation(name: str) -> type[policy.Balancer]:
    """Return the module without one of its mechanisms."""

    class AblatedBalancer(policy.Balancer):
        pass

    def nothing(*_: Any, **__: Any) -> None:
        return None

    changes: dict[str, dict[str, Any]] = {
        "no-distrust": {"record_failure": nothing},
        "no-hand-off": {"start_migration": nothing},
        "no-cold-budget": {"within_slow_start": lambda *_: True},
        "no-probing": {"health_check_round": nothing, "awaits_load_report": lambda *_: False},
        "no-gate": {"load_of": lambda *_: 0.0},
    }
    for method, replacement in changes[name].items():
        setattr(AblatedBalancer, method, replacement)
    return AblatedBalancer


ABLATIONS = ("no-distrust", "no-hand-off", "no-cold-budget", "no-probing", "no-gate")


def read_files_at(revision: str) -> dict[str, str]:
    """Return the files of onyxhollow/policy/ at a commit of this repository, by file name.

    Raises:
        PolicyError: there is no such commit, or it has no such package.
    """
    expected = (
        f"policy {revision}: expected a name of onyxhollow lab list, or a commit with onyxhollow/policy/"
    )
    if not re.fullmatch(r"[0-9A-Za-z][0-9A-Za-z_./~^-]{0,80}", revision):
        raise PolicyError(expected)  # git would read a leading "-" as an option
    root = str(Path(__file__).resolve().parents[2])
    command = ["git", "-C", root, "archive", "--format=tar", revision, "onyxhollow/policy"]
    try:
        archive = subprocess.run(command, capture_output=True, timeout=20, check=False)
    except OSError as error:
        raise PolicyError(f"policy {revision}: git: {error.strerror}") from None
    if archive.returncode:
        raise PolicyError(expected)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        texts = {Path(row.name).name: files.extractfile(row) for row in files if row.isfile()}
        return {name: text.read().decode() for name, text in sorted(texts.items()) if text}


def source_at(revision: str) -> str:
    """Return the concatenated source files of the module at a commit. Raises PolicyError."""
    return "".join(read_files_at(revision).values())


def load_at_revision(revision: str) -> type[policy.Balancer]:
    """Return the module of an earlier commit, on the current interface. Raises PolicyError.

    Its files are loaded as a package of another name, beside the current one.
    """
    texts = read_files_at(revision)
    package = "onyxhollow_policy_" + re.sub(r"\W", "_", revision)
    with tempfile.TemporaryDirectory() as folder:
        place = Path(folder) / package
        place.mkdir()
        for name, text in texts.items():
            (place / name).write_text(re.sub(r"\bonyxhollow\.policy\b", package, text))
        sys.path.insert(0, folder)
        try:
            importlib.invalidate_caches()
            balancer: type[policy.Balancer] = importlib.import_module(package).Balancer
        except ImportError as error:
            raise PolicyError(f"policy {revision}: expected the current interface: {error}") from None
        finally:
            sys.path.remove(folder)
    return balancer


def find(name: str) -> PolicyFactory:
    """Return the factory of a policy by name or commit. Raises PolicyError."""
    if name in baselines.BY_NAME:
        baseline = baselines.BY_NAME[name]
        return lambda host, settings, seed, world: baseline(host, settings, seed, world)
    if name == "module":
        kind: type[policy.Balancer] = policy.Balancer
    elif name in ABLATIONS:
        kind = ablation(name)
    else:
        kind = load_at_revision(name)
    return lambda host, settings, seed, _: kind(host, settings, seed)


def names() -> list[str]:
    """Return the names of all policies that can be selected, revisions aside."""
    return ["module", *baselines.BY_NAME, *ABLATIONS]
