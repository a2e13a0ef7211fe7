"""What each part of the process may use of the limits that the configuration gives.

The parts get shares: fixed sizes that suit a thousand descriptors would leave nothing of few.
"""

from __future__ import annotations

import resource
from typing import NamedTuple

from onyxhollow.lifecycle.config import Config

OWN_DESCRIPTORS = 12  # that are no connections: the loop's, the listener, standard ones, signals, the file
MAX_STOP_TIME = 3.0  # seconds from SIGTERM to SIGKILL, as far as the longest attempt timeout counts ...
STOP_TIME_MORE = 0.7  # ... and these more
STOP_MARGIN_SECONDS = 0.6  # seconds before SIGKILL by which all clients have been sent MOVE
MANAGEMENT_CONNECTIONS = (8, 64)  # at least and at most: a sixteenth of the descriptors
MANAGEMENT_DESCRIPTORS = 2  # of the management address besides: its listener and its poll
MAX_HEALTH_CHECK_CONNECTIONS = 64
HIGH_WATER_MARK = (4096, 32768)  # bytes, at least and at most


class Limits(NamedTuple):
    """What the parts of the process may use."""

    stop_time: float  # seconds that a stop takes at most
    accepted_connections: (
        int  # past them accepting pauses: the last are for attempts, health checks and the list
    )
    client_connections: int  # past them room is made among the clients
    management_connections: int
    health_check_connections: int  # cached ones
    high_water_mark: int  # unsent bytes of one side of a session past which the other is not read on


def shares_of(config: Config, has_management: bool) -> Limits:
    """Divides what the configuration and the system allow.

    Operators are answered when sessions have used up all the rest: their descriptors are set aside first.
    """
    longest = max(row.attempt_timeout for row in config.settings.listeners.values())
    descriptors = min(config.max_sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - OWN_DESCRIPTORS
    management = 0
    if has_management:
        least, most = MANAGEMENT_CONNECTIONS
        management = max(least, min(most, descriptors // 16))
        descriptors -= management + MANAGEMENT_DESCRIPTORS
    least, most = HIGH_WATER_MARK
    return Limits(
        stop_time=min(MAX_STOP_TIME, longest) + STOP_TIME_MORE - STOP_MARGIN_SECONDS,
        accepted_connections=descriptors - descriptors // 16,
        client_connections=descriptors - descriptors // 8,
        management_connections=management,
        health_check_connections=min(MAX_HEALTH_CHECK_CONNECTIONS, descriptors // 8),
        high_water_mark=max(least, min(most, config.memory_bytes // 8 // descriptors)),
    )


def raise_descriptor_limit() -> None:
    """Takes as many descriptors as the system allows this process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
