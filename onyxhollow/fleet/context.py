"""What a part of a fleet member may ask of that member.

The endpoint list, the shared addresses and the gossip of loads each run inside one member and use its socket,
clock and log. They depend on this protocol; only `onyxhollow.fleet.node`, which assembles the member, knows
all parts. So no part imports the assembly that imports it.
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
    """One member, as its parts see it. All attributes are read only for them."""

    @property
    def proxy(self) -> Proxy:
        """The proxy that this member is a part of."""

    @property
    def fleet(self) -> FleetConfig:
        """The fleet file, checked and read."""

    @property
    def loop(self) -> Loop:
        """The proxy's loop; its `now` is the time of everything that does not concern leases."""

    @property
    def name(self) -> str:
        """The member's name; a successor process has the same."""

    @property
    def zone(self) -> str:
        """The zone of the proxy's settings."""

    @property
    def epoch(self) -> int:
        """The incarnation of this process: higher for a later process of the same name."""

    @property
    def process_id(self) -> str:
        """Name and epoch, joined by `~`: one process, as roles' leases name their holder."""

    @property
    def rng(self) -> Random:
        """The member's only source of chance, seeded from the proxy's seed and the epoch."""

    @property
    def voters(self) -> VoterSet:
        """The newest voter set that this member knows of."""

    @property
    def membership(self) -> SwimMembership:
        """Live members, payloads to one of them, and broadcasts to all."""

    @property
    def counts(self) -> Counter[str]:
        """Counters shown by `/control/fleet`."""

    @property
    def task(self) -> Task:
        """The member's coroutine; `task.wake()` makes it look at what is due."""

    @property
    def closed(self) -> bool:
        """Whether the member has ended; its parts' coroutines end then."""

    def log_event(self, event: str, **values: Any) -> None:
        """Writes one line to the proxy's log, with the monotonic time in `at`."""

    def find_member(self, process: str) -> Member | None:
        """The member of that process id; None if it is not known."""
