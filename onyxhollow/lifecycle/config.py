"""What a proxy is told: the JSON of $LB_CONFIG, checked whole, at its start and at each reload."""

from __future__ import annotations

import os
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from onyxhollow.interface import Settings
from onyxhollow.settings import WireError, read_settings, rows, seconds, section, text, whole
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import (
    EndpointList,
    EndpointListError,
    decode_address,
    decode_endpoint_list,
)
from onyxhollow.wire.remote_clock import RemoteClock


class ConfigError(ValueError):
    """A configuration that can't be used; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    management: Address | None  # where operators call
    seed: int
    max_sockets: int
    memory_bytes: int  # bytes
    known: EndpointList
    settings: Settings
    connect_timeout: float  # seconds for a connection to come up
    health_check_timeout: float  # seconds for a probe to be answered
    clock: RemoteClock = field(default_factory=RemoteClock, compare=False)  # that the known list was read by
    keys: frozenset[str] = frozenset()  # all that the file names, but the servers known


def read_config(path: str, again: bool = False) -> Config:
    """again: for a reload; the file says then which list to follow, $LB_DISCOVERY only at the start."""
    environment = {name: value for name, value in os.environ.items() if not again or name != "LB_DISCOVERY"}
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(told, Mapping):
        raise ConfigError(f"{path}: not an object")
    try:
        return decode(told, environment)
    except (WireError, EndpointListError) as error:
        raise ConfigError(f"{path}: {error}") from None


def needs_restart(old: Config, new: Config) -> str:
    """What no running proxy can change and was changed. Seed and known list belong to a start alone."""
    for name in ("name", "listen", "management"):
        if (was := getattr(old, name)) != (told := getattr(new, name)):
            return f"{name}: expected {was!r} until a restart, got {told!r}"
    if lacking := sorted(old.keys - new.keys):
        return f"{lacking[0]}: expected, as in the file in force, got nothing"
    return ""


def key_paths(told: Mapping[str, Any], within: str = "") -> frozenset[str]:
    """The names of all that is told. Of a list of objects those that each of them has: listeners come and go,
    and one that lacks what all others have is half-written."""
    found: set[str] = set()
    for name, value in told.items():
        path = f"{within}{name}"
        found.add(path)
        if isinstance(value, Mapping):
            found |= key_paths(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(row, Mapping) for row in value):
            found |= frozenset.intersection(*(key_paths(row, f"{path}[].") for row in value))
    return frozenset(found)


def decode(told: Mapping[str, Any], environment: Mapping[str, str]) -> Config:
    options = section(told, "settings", needed=True)
    settings, _ = read_settings(options)
    seed = text(told, "seed", "0")
    try:
        start = int(seed, 16)
    except ValueError:
        raise WireError(f"seed: impossible value {seed[:40]!r}") from None
    limits, clock = section(told, "limits"), RemoteClock()
    management = environment.get("LB_MANAGEMENT") or told.get("management")
    return Config(
        name=environment.get("LB_NAME") or text(told, "name", "proxy"),
        listen=decode_address(environment.get("LB_LISTEN") or told.get("listen")),
        discovery=decode_address(environment.get("LB_DISCOVERY") or told.get("discovery")),
        management=decode_address(management) if management else None,
        seed=start,
        max_sockets=whole(limits.get("sockets", 1024), "limits: sockets", 64),
        memory_bytes=whole(limits.get("memory_mb", 64), "limits: memory_mb", 16) << 20,
        known=decode_endpoint_list(told.get("known") or {"seq": -1, "hosts": []}, clock, time.monotonic()),
        clock=clock,
        settings=settings,
        connect_timeout=seconds(section(options, "ceilings"), "connectTimeoutNs", 1.0) or 1.0,
        health_check_timeout=min(seconds(row, "handshakeTargetNs") for row in rows(options, "listeners")),
        keys=key_paths({name: None if name == "known" else value for name, value in told.items()}),
    )
