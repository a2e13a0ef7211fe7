"""The configuration of a proxy: the JSON of $LB_CONFIG, checked whole at its start and at each reload."""

from __future__ import annotations

import os
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from onyxhollow.interface import Settings
from onyxhollow.settings import (
    WireError,
    check_integer,
    get_object,
    get_object_list,
    get_seconds,
    get_text,
    read_settings,
)
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
    """All that one configuration file, and the environment beside it, say."""

    name: str
    listen: Address  # where clients connect
    discovery: Address
    management: Address | None  # where operators call
    seed: int
    max_sockets: int  # descriptors of this process
    memory_bytes: int
    known: EndpointList  # the endpoints known before discovery was polled
    settings: Settings
    connect_timeout: float  # seconds for a connection to an endpoint to come up
    health_check_timeout: float  # seconds for a health check to be answered
    clock: RemoteClock = field(default_factory=RemoteClock, compare=False)  # that the known list was read by
    keys: frozenset[str] = frozenset()  # all that the file names, but the endpoints known


def read_config(path: str, again: bool = False) -> Config:
    """Reads the file and checks it whole.

    Args:
        path: Of the JSON file.
        again: Whether this is a reload: the file says then which list to follow; $LB_DISCOVERY holds only at
            the start.

    Raises:
        ConfigError: It is missing, not JSON, or something in it can't be used.
    """
    environment = {name: value for name, value in os.environ.items() if not again or name != "LB_DISCOVERY"}
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(document, Mapping):
        raise ConfigError(f"{path}: not an object")
    try:
        return decode(document, environment)
    except (WireError, EndpointListError) as error:
        raise ConfigError(f"{path}: {error}") from None


def needs_restart(old: Config, new: Config) -> str:
    """What was changed and no running proxy can change; empty if there is nothing of that.

    Seed and known list belong to a start alone.
    """
    for name in ("name", "listen", "management"):
        before = getattr(old, name)
        after = getattr(new, name)
        if before != after:
            return f"{name}: expected {before!r} until a restart, got {after!r}"
    missing = sorted(old.keys - new.keys)
    if missing:
        return f"{missing[0]}: expected, as in the file in force, got nothing"
    return ""


def key_paths(document: Mapping[str, Any], within: str = "") -> frozenset[str]:
    """The paths of all keys of a document.

    Of a list of objects those that each of them has: listeners come and go, and one that lacks what all
    others have is half-written.
    """
    found: set[str] = set()
    for name, value in document.items():
        path = f"{within}{name}"
        found.add(path)
        if isinstance(value, Mapping):
            found |= key_paths(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(row, Mapping) for row in value):
            found |= frozenset.intersection(*(key_paths(row, f"{path}[].") for row in value))
    return frozenset(found)


def decode(document: Mapping[str, Any], environment: Mapping[str, str]) -> Config:
    """Reads a parsed file; WireError or EndpointListError for what can't be used."""
    options = get_object(document, "settings", required=True)
    settings, _ = read_settings(options)
    seed = decode_seed(get_text(document, "seed", "0"))
    limits = get_object(document, "limits")
    clock = RemoteClock()
    management = environment.get("LB_MANAGEMENT") or document.get("management")
    known = document.get("known") or {"seq": -1, "hosts": []}
    return Config(
        name=environment.get("LB_NAME") or get_text(document, "name", "proxy"),
        listen=decode_address(environment.get("LB_LISTEN") or document.get("listen")),
        discovery=decode_address(environment.get("LB_DISCOVERY") or document.get("discovery")),
        management=decode_address(management) if management else None,
        seed=seed,
        max_sockets=check_integer(limits.get("sockets", 1024), "limits: sockets", 64),
        memory_bytes=check_integer(limits.get("memory_mb", 64), "limits: memory_mb", 16) << 20,
        known=decode_endpoint_list(known, clock, time.monotonic()),
        clock=clock,
        settings=settings,
        connect_timeout=get_seconds(get_object(options, "ceilings"), "connectTimeoutNs", 1.0) or 1.0,
        health_check_timeout=min(
            get_seconds(row, "handshakeTargetNs") for row in get_object_list(options, "listeners")
        ),
        keys=key_paths({name: None if name == "known" else value for name, value in document.items()}),
    )


def decode_seed(text: str) -> int:
    """Reads a hexadecimal seed; WireError for anything else."""
    try:
        return int(text, 16)
    except ValueError:
        raise WireError(f"seed: impossible value {text[:40]!r}") from None
