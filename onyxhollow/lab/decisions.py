"""What can be played: the module as it stands, as it stood at an earlier commit, or a baseline."""

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

# host, settings, seed, the world (for the policy that sees it) -> something with the Balancer's calls
PolicyFactory = Callable[[Host, Settings, int, "World"], Any]


class PolicyError(Exception):
    """No such policy."""


def ablation(name: str) -> type[policy.Balancer]:
    """The module without one of its mechanisms."""

    class Without(policy.Balancer):
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
    for method, instead in changes[name].items():
        setattr(Without, method, instead)
    return Without


ABLATIONS = ("no-distrust", "no-hand-off", "no-cold-budget", "no-probing", "no-gate")


def read_files_at(revision: str) -> dict[str, str]:
    """The texts of onyxhollow/policy/ as they stood at a commit of this repository, by file name.

    Raises:
        PolicyError: there is no such commit, or the package was not there yet.
    """
    wanted = f"policy {revision}: expected a name of onyxhollow lab list, or a commit with onyxhollow/policy/"
    if not re.fullmatch(r"[0-9A-Za-z][0-9A-Za-z_./~^-]{0,80}", revision):
        raise PolicyError(wanted)  # an option of git's, for one
    root = str(Path(__file__).resolve().parents[2])
    asked = ["git", "-C", root, "archive", "--format=tar", revision, "onyxhollow/policy"]
    try:
        got = subprocess.run(asked, capture_output=True, timeout=20, check=False)
    except OSError as error:
        raise PolicyError(f"policy {revision}: git: {error.strerror}") from None
    if got.returncode:
        raise PolicyError(wanted)
    with tarfile.open(fileobj=io.BytesIO(got.stdout)) as files:
        texts = {Path(row.name).name: files.extractfile(row) for row in files if row.isfile()}
        return {name: text.read().decode() for name, text in sorted(texts.items()) if text}


def source_at(revision: str) -> str:
    """All texts of the module at a commit, one after another. Raises PolicyError."""
    return "".join(read_files_at(revision).values())


def load_at_revision(revision: str) -> type[policy.Balancer]:
    """The module of an earlier commit, on today's interface. Raises PolicyError.

    Its files are loaded as a package of another name, beside today's.
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
            raise PolicyError(f"policy {revision}: does not fit today's interface: {error}") from None
        finally:
            sys.path.remove(folder)
    return balancer


def find(name: str) -> PolicyFactory:
    """Raises PolicyError."""
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
    return ["module", *baselines.BY_NAME, *ABLATIONS]
