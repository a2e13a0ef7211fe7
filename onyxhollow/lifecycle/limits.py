"""Division of the configured limits among the parts of the process.

Each part gets a share of the limit. Fixed sizes that suit a thousand descriptors would use up a small limit.
A process that can be replaced keeps sockets free for its successor, since the limit holds for both together.
"""

from __future__ import annotations

import resource
from typing import NamedTuple

from onyxhollow.lifecycle.config import Config

OWN_DESCRIPTORS = 12  # other than connections: loop, listener, standard streams, signals, configuration file
# Sockets among these: two of the signal queue, two of the hand-off, the client listener, the list connection.
OWN_SOCKETS = 6
SIMULTANEOUS_CONNECTIONS = 1  # the other process may open a connection at the moment of a check here
# From SIGTERM to SIGKILL: the longest attempt timeout, up to this maximum, plus the extra time.
MAX_STOP_SECONDS = 3.0
EXTRA_STOP_SECONDS = 0.7
STOP_MARGIN_SECONDS = 0.6  # before SIGKILL, by when all clients must have been sent MOVE
MANAGEMENT_CONNECTION_RANGE = (8, 64)  # minimum and maximum of a sixteenth of the descriptors
MANAGEMENT_DESCRIPTORS = 2  # of the management API in addition: its listener and its epoll descriptor
MANAGEMENT_SOCKETS = 1  # among these: its listener
MAX_HEALTH_CHECK_CONNECTIONS = 64
HIGH_WATER_MARK_RANGE_BYTES = (4096, 32768)  # minimum and maximum


class Limits(NamedTuple):
    """Limits of the parts of the process."""

    stop_time: float  # maximum duration of a graceful shutdown, seconds
    connections: int  # maximum of all connections but those of the management API
    shared_connections: int  # the same maximum by the limit that both processes of a replacement share
    own_sockets: int  # sockets set aside for other uses, also those of a successor
    accepted_connections: int  # accepting pauses above it; the rest serves attempts, health checks, the list
    client_connections: int  # idle client connections are closed above it
    management_connections: int
    health_check_connections: int  # cached connections of health checks
    high_water_mark: int  # unsent bytes to one side of a session above which the other side is not read


def compute_limits(config: Config, has_management: bool) -> Limits:
    """Divide the limits of the configuration and the system among the parts of the process.

    Descriptors of the management API are set aside first, so that it works when sessions use up all others.
    """
    longest_timeout = max(listener.attempt_timeout for listener in config.settings.listeners.values())
    descriptors = min(config.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - OWN_DESCRIPTORS
    own_sockets = OWN_SOCKETS
    management = 0
    if has_management:
        lowest, highest = MANAGEMENT_CONNECTION_RANGE
        management = max(lowest, min(highest, descriptors // 16))
        descriptors -= management + MANAGEMENT_DESCRIPTORS
        own_sockets += management + MANAGEMENT_SOCKETS
    lowest, highest = HIGH_WATER_MARK_RANGE_BYTES
    return Limits(
        stop_time=min(MAX_STOP_SECONDS, longest_timeout) + EXTRA_STOP_SECONDS - STOP_MARGIN_SECONDS,
        connections=descriptors,
        shared_connections=config.max_sockets - own_sockets - SIMULTANEOUS_CONNECTIONS,
        own_sockets=own_sockets,
        accepted_connections=descriptors - descriptors // 16,
        client_connections=descriptors - descriptors // 8,
        management_connections=management,
        health_check_connections=min(MAX_HEALTH_CHECK_CONNECTIONS, descriptors // 8),
        high_water_mark=max(lowest, min(highest, config.memory_bytes // 8 // descriptors)),
    )


def raise_descriptor_limit() -> None:
    """Raise the soft limit on descriptors of this process to the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
