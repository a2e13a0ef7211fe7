"""Which members own which endpoint: rendezvous hashing (Thaler, Ravishankar, 1998) over the live members.

An endpoint's owner polls it and reports on it; its deputy does so while the owner is silent; the reports of
one more member are accepted, since members do not all see the same fleet at the same time. Members of the
endpoint's own zone go first. No lease is needed: two owners of one endpoint cost a few polls and break
nothing.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random

import xxhash

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.messages import LOAD_UNITS, NO_LOAD

OWNERS = 2  # members that receive the counts of an endpoint: the owner and its deputy
ACCEPTED_OWNERS = 3  # members whose reports on an endpoint are accepted
MAX_ENDPOINTS = 4096  # of the list that are gossiped about; further ones are known by own measurements alone
RANKING_INTERVAL = 0.5  # seconds between rankings: a thousand members and endpoints take a third of a second
FIRST_REPORT_DELAY = 2.0  # report intervals from taking an endpoint over to the first report on it
MAX_LOAD = 20 * LOAD_UNITS  # a load beyond it is no load
MIN_CONNECTIONS_TO_EXTRAPOLATE = 4  # fewer do not show what load each brings


@dataclass(frozen=True, slots=True)
class GossipMember:
    """A live member."""

    epoch: int
    name: str
    zone: str


@dataclass(slots=True)
class OwnedEndpoint:
    """An endpoint that this member owns or is the deputy of. Times are seconds."""

    rank: int  # 0: the owner
    poll_at: float
    report_at: float
    first_report_at: float
    load_is_new: bool = False  # a load report has come since the last report
    load: int = NO_LOAD  # thousandths of capacity
    load_at: float = -math.inf
    polled_at: float = -math.inf
    connections: int = 0  # of all members when that load was reported

    @property
    def is_deputy(self) -> bool:
        """Whether another member is the owner."""
        return self.rank > 0

    def extrapolated_load(self, connections: int) -> int:
        """Return the load with connections that came or went since, at what each one loaded there."""
        more = 0.0
        if self.connections >= MIN_CONNECTIONS_TO_EXTRAPOLATE and self.load >= 0:
            more = (connections - self.connections) * self.load / self.connections
        return max(min(self.load, 0), min(MAX_LOAD, round(self.load + more)))


class Ownership:
    """Ranks the live members for each endpoint."""

    def __init__(self, local: GossipMember, config: GossipConfig, rng: Random, now: float) -> None:
        self.local = local
        self.config = config
        self.rng = rng
        self.members: dict[int, GossipMember] = {}  # the others, by epoch
        self.endpoints: dict[str, str] = {}  # in service: zone
        self.owners: dict[str, tuple[int, ...]] = {}  # epochs of accepted owners, the owner first
        self.owned: dict[str, OwnedEndpoint] = {}
        self.is_stale = True
        self.rank_at = now

    def set_members(self, members: Iterable[GossipMember]) -> None:
        """Replace the live members; this one may be among them."""
        self.members = {member.epoch: member for member in members if member.epoch != self.local.epoch}
        self.is_stale = True

    def set_endpoints(self, endpoints: Mapping[str, str]) -> bool:
        """Replace the endpoints in service, with their zones; return whether the names have changed."""
        if endpoints.keys() == self.endpoints.keys():
            return False
        self.endpoints = dict(list(endpoints.items())[:MAX_ENDPOINTS])
        self.is_stale = True
        return True

    def rank_if_due(self, now: float) -> bool:
        """Rank the members again if they or the endpoints have changed; return whether it was done."""
        if not self.is_stale or now < self.rank_at:
            return False
        self.is_stale = False
        self.rank_at = now + RANKING_INTERVAL
        everybody = [self.local, *self.members.values()]
        by_zone: dict[str, list[GossipMember]] = {}
        for member in everybody:
            by_zone.setdefault(member.zone, []).append(member)
        before = self.owned
        self.owned = {}
        self.owners = {}
        for endpoint, zone in self.endpoints.items():
            near = by_zone.get(zone, [])
            owners = _highest_ranked(endpoint, near if len(near) >= OWNERS else everybody)
            self.owners[endpoint] = owners
            if self.local.epoch in owners[:OWNERS]:
                rank = owners.index(self.local.epoch)
                self.owned[endpoint] = self._owned(before.get(endpoint), rank, now)
        return True

    def _owned(self, known: OwnedEndpoint | None, rank: int, now: float) -> OwnedEndpoint:
        if known is None:
            # The first report waits for the others' counts: a sum of a few looks like an empty endpoint.
            first = now + FIRST_REPORT_DELAY * self.config.report_interval
            return OwnedEndpoint(rank, self._random_poll_time(now), first, first)
        if known.rank != rank:
            known.rank = rank
            known.poll_at = self._random_poll_time(now)
        return known

    def _random_poll_time(self, now: float) -> float:
        return now + self.rng.random() * self.config.report_interval


def _highest_ranked(endpoint: str, members: Iterable[GossipMember]) -> tuple[int, ...]:
    best = heapq.nlargest(
        ACCEPTED_OWNERS, members, key=lambda member: xxhash.xxh3_64_intdigest(f"{endpoint}\0{member.name}")
    )
    return tuple(member.epoch for member in best)
