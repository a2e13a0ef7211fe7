"""Assigns endpoints to owners by rendezvous hashing (Thaler, Ravishankar, 1998) over the live members.

The owner polls an endpoint and reports on it. The deputy does so while the owner is silent. Reports of one
further member are accepted because members may disagree on the live members for a short time. Members in the
endpoint's zone are preferred. No lease is needed, since two owners of one endpoint only cause some extra
polls.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

import xxhash

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.messages import LOAD_UNITS, NO_LOAD

OWNERS_PER_ENDPOINT = 2  # owner and deputy, which receive the connection counts
ACCEPTED_OWNERS_PER_ENDPOINT = 3  # members whose reports are accepted
MAX_ENDPOINTS = 4096  # for further endpoints a proxy has only its own measurements, none from gossip
MIN_RANKING_INTERVAL_SECONDS = 0.5  # ranking 1000 members for 1000 endpoints takes a third of a second
FIRST_REPORT_DELAY_INTERVALS = 2.0  # report intervals between taking over an endpoint and the first report
MAX_LOAD_UNITS = 20 * LOAD_UNITS  # higher loads are invalid
MIN_CONNECTIONS_TO_EXTRAPOLATE = 4  # with fewer, the load per connection is unreliable


@dataclass(frozen=True, slots=True)
class GossipMember:
    """A live member of the fleet."""

    epoch: int
    name: str
    zone: str


@dataclass(slots=True)
class OwnedEndpoint:
    """An endpoint of which this process is the owner or deputy. Times are seconds."""

    rank: int  # 0: the owner
    poll_at: float
    report_at: float
    first_report_at: float
    has_new_load: bool = False  # whether a poll returned a load since the last report
    load: int = NO_LOAD  # thousandths of capacity
    load_received_at: float = -math.inf
    polled_at: float = -math.inf
    connections: int = 0  # of all members at the first report with that load

    @property
    def is_deputy(self) -> bool:
        """Whether this process is the deputy."""
        return self.rank > 0

    def extrapolated_load(self, connections: int) -> int:
        """Return the load adjusted for the change in connections, at the mean load per connection."""
        added_load = 0.0
        if self.connections >= MIN_CONNECTIONS_TO_EXTRAPOLATE and self.load >= 0:
            added_load = (connections - self.connections) * self.load / self.connections
        return max(min(self.load, 0), min(MAX_LOAD_UNITS, round(self.load + added_load)))


class Ownership:
    """Ranks the live members by endpoint."""

    def __init__(self, local: GossipMember, config: GossipConfig, rng: Random, now: float) -> None:
        self.local = local
        self.config = config
        self.rng = rng
        self.members: dict[int, GossipMember] = {}  # other members by epoch
        self.endpoints: dict[str, str] = {}  # zones of the endpoints in service
        self.owners: dict[str, tuple[int, ...]] = {}  # epochs of accepted owners, the owner first
        self.owned: dict[str, OwnedEndpoint] = {}
        self.is_stale = True
        self.rank_at = now

    def set_members(self, members: Iterable[GossipMember]) -> None:
        """Replace the live members, which may include this process."""
        self.members = {member.epoch: member for member in members if member.epoch != self.local.epoch}
        self.is_stale = True

    def set_endpoints(self, endpoints: Mapping[str, str]) -> bool:
        """Replace the endpoints in service, given as zones by name; return whether they have changed."""
        kept_endpoints = dict(itertools.islice(endpoints.items(), MAX_ENDPOINTS))
        if kept_endpoints == self.endpoints:
            return False
        self.endpoints = kept_endpoints
        self.is_stale = True
        return True

    def rank_if_due(self, now: float) -> bool:
        """Rank the members if they or the endpoints have changed; return whether a ranking was done."""
        if not self.is_stale or now < self.rank_at:
            return False
        self.is_stale = False
        self.rank_at = now + MIN_RANKING_INTERVAL_SECONDS
        all_members = [self.local, *self.members.values()]
        by_zone: dict[str, list[GossipMember]] = {}
        for member in all_members:
            by_zone.setdefault(member.zone, []).append(member)
        previous = self.owned
        self.owned = {}
        self.owners = {}
        for endpoint, zone in self.endpoints.items():
            same_zone = by_zone.get(zone, [])
            owners = _highest_ranked(
                endpoint, same_zone if len(same_zone) >= OWNERS_PER_ENDPOINT else all_members
            )
            self.owners[endpoint] = owners
            if self.local.epoch in owners[:OWNERS_PER_ENDPOINT]:
                rank = owners.index(self.local.epoch)
                self.owned[endpoint] = self._owned_endpoint(previous.get(endpoint), rank, now)
        return True

    def _owned_endpoint(self, previous: OwnedEndpoint | None, rank: int, now: float) -> OwnedEndpoint:
        if previous is None:
            # Delay the first report until the counts of the other members have arrived. A partial sum would
            # make the endpoint look empty.
            first_report_at = now + FIRST_REPORT_DELAY_INTERVALS * self.config.report_interval
            return OwnedEndpoint(rank, self._random_poll_time(now), first_report_at, first_report_at)
        if previous.rank != rank:
            previous.rank = rank
            previous.poll_at = self._random_poll_time(now)
        return previous

    def _random_poll_time(self, now: float) -> float:
        return now + self.rng.random() * self.config.report_interval


def _highest_ranked(endpoint: str, members: Iterable[GossipMember]) -> tuple[int, ...]:
    highest = heapq.nlargest(
        ACCEPTED_OWNERS_PER_ENDPOINT,
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(f"{endpoint}\0{member.name}"),
    )
    return tuple(member.epoch for member in highest)
