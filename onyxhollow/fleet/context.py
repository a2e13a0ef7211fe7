"""Interface through which the parts of a fleet member use the member.

List replication, shared addresses and load gossip run inside one member and use its socket, clock and log.
They depend on this protocol instead of `onyxhollow.fleet.node`, which imports all parts. This avoids import
cycles.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any, Protocol

from onyxhollow.fleet.file import FleetConfig
from onyxhollow.leases.messages import VoterSet
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.loop import Loop, Task
from onyxhollow.membership.member_table import Member
from onyxhollow.membership.swim import SwimMembership


class MemberContext(Protocol):
    """Member that a part belongs to. Parts must not assign any attribute."""

    @property
    def proxy(self) -> Proxy:
        """Proxy that runs this member."""

    @property
    def fleet(self) -> FleetConfig:
        """Validated contents of the fleet file."""

    @property
    def loop(self) -> Loop:
        """Event loop of the proxy. Its `now` is the time for everything except leases."""

    @property
    def name(self) -> str:
        """Name of the member, shared by its successor process."""

    @property
    def zone(self) -> str:
        """Zone from the proxy's settings."""

    @property
    def epoch(self) -> int:
        """Epoch of this process: higher for a later process of the same name."""

    @property
    def process_id(self) -> str:
        """Name and epoch joined by `~`, which identify the holder of a lease."""

    @property
    def rng(self) -> Random:
        """Only random generator of the member, seeded from the proxy's seed and the epoch."""

    @property
    def voters(self) -> VoterSet:
        """Newest voter set that this member has received."""

    @property
    def membership(self) -> SwimMembership:
        """Membership protocol: live members, payloads to one member and broadcasts to all."""

    @property
    def counts(self) -> Counter[str]:
        """Counters that `/control/fleet` reports."""

    @property
    def task(self) -> Task:
        """Coroutine of the member; `task.wake()` makes it run its next step at once."""

    @property
    def closed(self) -> bool:
        """Whether the member is closed. Coroutines of its parts must then return."""

    def log_event(self, event: str, **values: Any) -> None:
        """Write an event to the proxy's log, with the monotonic time in `at`."""

    def find_member(self, process: str) -> Member | None:
        """Return the member entry of a process id; None if it is unknown."""
