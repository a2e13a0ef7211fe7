"""The configuration of a proxy: a JSON file, validated as a whole at startup and at each reload."""

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
    """An invalid configuration; the message names the place, what was expected and what was found."""


@dataclass(frozen=True, slots=True)
class Config:
    """The values of one configuration file, with the overrides of the environment applied."""

    name: str
    listen: Address  # of the client listener
    discovery: Address  # of the list service
    management: Address | None  # of the management API
    seed: int
    max_sockets: int  # limit on the descriptors of this process
    memory_bytes: int
    known: EndpointList  # the endpoints to use before the first poll of the list service
    settings: Settings
    connect_timeout: float  # seconds to connect to an endpoint
    health_check_timeout: float  # seconds for a health check to be answered
    clock: RemoteClock = field(default_factory=RemoteClock, compare=False)  # maps the start times in `known`
    key_paths: frozenset[str] = frozenset()  # of all keys in the file except those within `known`


def read_config(path: str, is_reload: bool = False) -> Config:
    """Read and validate a configuration file.

    Args:
        path: Of the JSON file.
        is_reload: Whether to ignore $LB_DISCOVERY, which overrides the list service of the file only at
            startup.

    Raises:
        ConfigError: The file cannot be read, is not JSON, or holds an invalid value.
    """
    environment = {
        name: value for name, value in os.environ.items() if not is_reload or name != "LB_DISCOVERY"
    }
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: expected JSON, got invalid text: {error}") from None
    if not isinstance(document, Mapping):
        raise ConfigError(f"{path}: expected a JSON object, got {type(document).__name__}")
    try:
        return decode_config(document, environment)
    except (WireError, EndpointListError) as error:
        raise ConfigError(f"{path}: {error}") from None


def find_restart_reason(old: Config, new: Config) -> str:
    """Return why a reload from `old` to `new` needs a restart, or an empty string.

    Changes of the seed and of the known list are accepted: only a start uses them.
    """
    for name in ("name", "listen", "management"):
        before = getattr(old, name)
        after = getattr(new, name)
        if before != after:
            return f"{name}: expected {before!r} (a change needs a restart), got {after!r}"
    missing = sorted(old.key_paths - new.key_paths)
    if missing:
        return f"{missing[0]}: expected this key, as in the configuration in use, got nothing"
    return ""


def collect_key_paths(document: Mapping[str, Any], prefix: str = "") -> frozenset[str]:
    """Return the paths of all keys in a document.

    For a list of objects, only keys present in every object count: a reload may add and remove listeners,
    but a key that disappears from one of them indicates an incomplete file.
    """
    paths: set[str] = set()
    for name, value in document.items():
        path = f"{prefix}{name}"
        paths.add(path)
        if isinstance(value, Mapping):
            paths |= collect_key_paths(value, f"{path}.")
        elif isinstance(value, list) and value and all(isinstance(row, Mapping) for row in value):
            paths |= frozenset.intersection(*(collect_key_paths(row, f"{path}[].") for row in value))
    return frozenset(paths)


def decode_config(document: Mapping[str, Any], environment: Mapping[str, str]) -> Config:
    """Decode a parsed configuration file.

    Raises:
        WireError: A setting is missing or invalid.
        EndpointListError: An address or the known list is invalid.
    """
    options = get_object(document, "settings", required=True)
    settings, _ = read_settings(options)
    seed = decode_seed(get_text(document, "seed", "0"))
    limits = get_object(document, "limits")
    clock = RemoteClock()
    management = environment.get("LB_MANAGEMENT") or document.get("management")
    known = document.get("known") or {"seq": -1, "hosts": []}
    return Config(
        name=environment.get("LB_NAME") or get_text(document, "name", "proxy"),
        listen=decode_address(environment.get("LB_LISTEN") or document.get("listen"), "listen address"),
        discovery=decode_address(
            environment.get("LB_DISCOVERY") or document.get("discovery"), "discovery address"
        ),
        management=decode_address(management, "management address") if management else None,
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
        key_paths=collect_key_paths(
            {name: None if name == "known" else value for name, value in document.items()}
        ),
    )


def decode_seed(text: str) -> int:
    """Return the value of a hexadecimal seed.

    Raises:
        WireError: The text is not a hexadecimal number.
    """
    try:
        return int(text, 16)
    except ValueError:
        raise WireError(f"seed: expected a hexadecimal number, got {text[:40]!r}") from None
