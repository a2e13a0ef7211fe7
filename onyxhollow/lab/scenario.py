"""Scenarios in typed TOML, validated as a whole; errors name the file, the key path and the expected value.

Times are in seconds, rates per second. A load is in cores: core seconds of work per second on a core of
speed 1.
"""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from onyxhollow.lab.specs import (
    Clients,
    Fleet,
    FrontEndSettings,
    ListenerSpec,
    ListServiceSettings,
    Name,
    Network,
    Proxies,
    ScenarioSection,
    ScoreWeights,
    SessionStoreSettings,
    TenantSpec,
)
from onyxhollow.lab.world.faults import Fault

Model = TypeVar("Model")


class ScenarioError(Exception):
    """An invalid scenario; the text is one line with the file, the key path and the expected value."""


class Scenario(ScenarioSection, frozen=True):
    """A scenario file: fleet, network, clients, faults and the weights of the score."""

    title: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=86400)] = 50.0
    fleet: Fleet = Fleet()
    store: SessionStoreSettings = SessionStoreSettings()
    network: Network = Network()
    server_list: ListServiceSettings = ListServiceSettings()
    front: FrontEndSettings = FrontEndSettings()
    clients: Clients = Clients()
    proxies: Proxies = Proxies()
    goal: ScoreWeights = ScoreWeights()
    listeners: Annotated[list[ListenerSpec], Meta(min_length=1, max_length=64)] = msgspec.field(
        default_factory=lambda: [
            ListenerSpec(name="balance", share=0.42, target=0.3, timeout=1.8, utility=2.0, load=1.0),
            ListenerSpec(name="lookup", share=0.36, target=0.5, timeout=3.0, utility=1.0, load=3.0, life=1.6),
            ListenerSpec(
                name="update",
                share=0.22,
                target=0.8,
                timeout=4.8,
                utility=5.0,
                load=5.0,
                life=1.6,
                message_target=0.06,
            ),
        ]
    )
    customers: Annotated[list[TenantSpec], Meta(min_length=1, max_length=1000)] = msgspec.field(
        default_factory=lambda: [
            TenantSpec(name=f"c{index + 1}", share=share, usage=usage)
            for index, (share, usage) in enumerate(
                [(0.3, 1.1), (0.25, 0.9), (0.2, 1.0), (0.15, 1.1), (0.1, 0.8)]
            )
        ]
    )
    faults: Annotated[list[Fault], Meta(max_length=200)] = msgspec.field(default_factory=list)


class Experiment(ScenarioSection, frozen=True):
    """A matrix of runs: scenarios x policies x seeds, with seeds from 1 to the given number."""

    scenarios: Annotated[list[str], Meta(min_length=1, max_length=1000)]
    policies: Annotated[list[str], Meta(min_length=1, max_length=100)]
    seeds: Annotated[int, Meta(ge=1, le=100000)] = 5


def shipped_scenarios() -> dict[str, Path]:
    """Return the files of the scenarios that come with the package, by name."""
    folder = Path(str(resources.files("onyxhollow.lab") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def read(name: str) -> Scenario:
    """Read a shipped scenario by name, or a file. Raises ScenarioError."""
    path = shipped_scenarios().get(name) or Path(name)
    try:
        raw = path.read_bytes()
    except OSError as error:
        hint = "; known names: onyxhollow lab list" if "/" not in name else ""
        raise ScenarioError(f"{name}: {error.strerror}{hint}") from None
    return decode(raw, str(path.name))


def decode_toml(raw: bytes, where: str, kind: type[Model]) -> Model:
    """Decode TOML into a type. Raises ScenarioError on the first error; where names the file in it."""
    try:
        return msgspec.toml.decode(raw, type=kind)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at ")
        raise ScenarioError(f"{where}: {path.strip('`') or '$'}: {reason}") from None
    except (msgspec.DecodeError, ValueError) as error:
        raise ScenarioError(f"{where}: not TOML: {error}") from None


def decode(raw: bytes, where: str) -> Scenario:
    """Decode and validate a scenario. Raises ScenarioError."""
    scenario = decode_toml(raw, where, Scenario)
    check(scenario, where)
    return scenario


def read_experiment(name: str) -> Experiment:
    """Read an experiment from a file. Raises ScenarioError."""
    path = Path(name)
    try:
        return decode_toml(path.read_bytes(), path.name, Experiment)
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}") from None


def check(scenario: Scenario, where: str) -> None:
    """Validate what the types cannot express. Raises ScenarioError."""

    def fail(path: str, expected: str, got: object) -> None:
        raise ScenarioError(f"{where}: $.{path}: expected {expected}, got {got!r}")

    for path, names in (
        ("listeners", [row.name for row in scenario.listeners]),
        ("customers", [row.name for row in scenario.customers]),
        ("fleet.zones", scenario.fleet.zones),
        ("fleet.kinds", [row.name for row in scenario.fleet.kinds]),
    ):
        if len(set(names)) != len(names):
            fail(path, "names that differ", names)
    for index, row in enumerate(scenario.listeners):
        if row.target > row.timeout:
            fail(f"listeners[{index}].target", f"at most the timeout {row.timeout}", row.target)
    if scenario.goal.whole + scenario.goal.window + scenario.goal.listener + scenario.goal.customer <= 0:
        fail("goal", "weights that are not all 0", 0)
    for index, fault in enumerate(scenario.faults):
        if fault.at >= scenario.seconds:
            fail(f"faults[{index}].at", f"a time before the end at {scenario.seconds}", fault.at)
        if (
            invalid := fault.find_invalid_key(scenario.fleet.zones, [row.name for row in scenario.listeners])
        ) is not None:
            fail(f"faults[{index}].{invalid[0]}", invalid[1], invalid[2])


def encode(scenario: Scenario) -> bytes:
    """Encode the whole scenario as TOML; decoding it gives an equal scenario."""
    import tomli_w

    return tomli_w.dumps(msgspec.to_builtins(scenario)).encode()
