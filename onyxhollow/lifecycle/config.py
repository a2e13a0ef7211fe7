"""What a proxy is told at its start: the JSON of $LB_CONFIG, checked."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from onyxhollow.interface import Settings
from onyxhollow.memory.tables import Address
from onyxhollow.settings import WireError, read_settings, rows, seconds, section, text
from onyxhollow.wire.discovery import ListError, ServerList, read_address, read_list


class ConfigError(Exception):
    """A configuration that can't be used; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: ServerList
    settings: Settings
    connect_time: float  # seconds for a connection to come up
    probe_time: float  # seconds for a probe to be answered


def read_config(path: str, clock_ahead: float) -> Config:
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
        return decode(told, clock_ahead)
    except (WireError, ListError) as error:
        raise ConfigError(f"{path}: {error}") from None


def decode(told: Mapping[str, Any], clock_ahead: float) -> Config:
    options = section(told, "settings", needed=True)
    settings, _ = read_settings(options)
    seed = text(told, "seed", "0")
    try:
        start = int(seed, 16)
    except ValueError:
        raise WireError(f"seed: impossible value {seed[:40]!r}") from None
    limits = section(told, "limits")
    sockets = limits.get("sockets", 1024)
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 16:
        raise WireError(f"limits: impossible sockets {sockets!r}")
    return Config(
        name=os.environ.get("LB_NAME") or text(told, "name", "proxy"),
        listen=read_address(os.environ.get("LB_LISTEN") or told.get("listen")),
        discovery=read_address(os.environ.get("LB_DISCOVERY") or told.get("discovery")),
        seed=start,
        sockets=sockets,
        known=read_list(told.get("known") or {"seq": -1, "hosts": []}, clock_ahead),
        settings=settings,
        connect_time=seconds(section(options, "ceilings"), "connectTimeoutNs", 1.0) or 1.0,
        probe_time=min(seconds(row, "handshakeTargetNs") for row in rows(options, "listeners")),
    )
