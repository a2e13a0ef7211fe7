"""What is known of a fleet, by which member and how long ago. Pure.

A view is what one member reports of itself and of all others; a snapshot is a set of views, with the members
that could not be polled. Nothing is merged away: where members disagree, both views remain.

The structures are read from `GET /control/fleet` and `/control/addresses`, and are the content of a snapshot
file. Their keys there are older than the names of the fields, so each renamed field states its key. States
stay strings, since a newer member may report one that this build doesn't know; those that are acted on are in
the enums below.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec

MAJOR = 1  # version of the snapshot file; another major version is refused
MINOR = 1  # newer minor versions only add keys, which are ignored
NEVER = 1e6  # seconds; an age reported for what has not happened yet
NO_LOAD_AGE = 1e9  # seconds; an endpoint without a load report counts as older than any other


class MemberState(StrEnum):
    """State of a member in the membership protocol, as another member sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


ALIVE = MemberState.ALIVE.value


class ServicePhase(StrEnum):
    """Whether a member takes clients."""

    IN_SERVICE = "in service"
    DRAINING = "leaving"
    OUT_OF_SERVICE = "out of service"
    STOPPING = "stopping"


class MemberStatus(msgspec.Struct, frozen=True):
    """One member as another (or itself) sees it; after a restart it has a higher incarnation."""

    name: str
    incarnation: int = msgspec.field(default=0, name="epoch")
    state: str = msgspec.field(default=ALIVE, name="life")
    zone: str = ""
    is_voter: bool = msgspec.field(default=False, name="votes")
    holds_leases: bool = msgspec.field(default=False, name="holds")
    is_damped: bool = msgspec.field(
        default=False, name="damped"
    )  # its state changes too often to be relied on


class LinkStatus(msgspec.Struct, frozen=True):
    """What one member has seen of the direct path to a peer and back, without indirect probes."""

    peer: str = msgspec.field(name="to")
    incarnation: int = msgspec.field(default=0, name="epoch")
    received_ago: float = msgspec.field(default=NEVER, name="heard")  # seconds since the last direct datagram
    probes: int = msgspec.field(default=0, name="asked")  # direct probes sent
    loss: float = msgspec.field(default=0.0, name="lost")  # share of probes without a direct answer, 0 to 1
    rtt_ms: float = 0.0  # round trip, milliseconds
    probed_ago: float = msgspec.field(default=NEVER, name="asked_ago")  # seconds since the last probe


class EndpointStatus(msgspec.Struct, frozen=True):
    """One endpoint as a member sees it."""

    name: str
    zone: str = ""
    state: str = "in service"
    connections: int = msgspec.field(default=0, name="own")  # of the reporting member
    weight: float = msgspec.field(default=1.0, name="size")
    load: float | None = None  # share of its capacity; None without a recent load report
    load_age: float | None = None  # seconds
    outlier_score: float = msgspec.field(default=0.0, name="distrust")
    is_warming_up: bool = msgspec.field(default=False, name="arrives")


class LeaseStatus(msgspec.Struct, frozen=True):
    """The lease of one role as a member sees it."""

    role: str = msgspec.field(name="duty")
    term: int = 0
    holder: str = ""  # member id, name~incarnation
    local_state: str = msgspec.field(default="", name="here")  # of the reporting member's candidate
    remaining: float | None = msgspec.field(default=None, name="left")  # seconds, if the reporter holds it

    @property
    def holder_name(self) -> str:
        """Name of the holder without its incarnation; empty if nobody is known."""
        return self.holder.rpartition("~")[0]


class AddressStatus(msgspec.Struct, frozen=True):
    """A shared address at one site, as the controller of addresses sees it."""

    address: str
    site: str
    preference: str = msgspec.field(default="", name="standing")  # advertised, withdrawn, ...
    cause: str = ""
    health: float | None = None  # 0 to 1; None if the site has not reported
    reachable: bool = msgspec.field(default=True, name="reached")  # its announcer answers the controller
    installed: bool = msgspec.field(default=True, name="carried")  # the routing daemon has taken it
    suppressed_by: str = msgspec.field(default="", name="stays")  # rule that suppresses its withdrawal
    drain: str = ""  # reason of an operator's override; empty without one, here and below
    pin: str = ""
    exclude: str = ""


class EndpointListStatus(msgspec.Struct, frozen=True):
    """How a member gets the endpoint list."""

    version: int = -1
    polling_suspended: bool = msgspec.field(default=False, name="rests")  # another member polls in its place
    is_publisher: bool = msgspec.field(
        default=False, name="tells"
    )  # it polls in their place and passes the list on


class MemberView(msgspec.Struct, frozen=True):
    """What one member reports, of itself and of all others."""

    member_id: str = msgspec.field(name="me")  # name~incarnation; the name alone in virtual time
    zone: str = ""
    version: str = ""
    service_phase: str = msgspec.field(default="", name="service")
    local_health: int = msgspec.field(default=0, name="health")  # 0 is best (Lifeguard's multiplier)
    stalled_seconds: float = msgspec.field(default=0.0, name="stalled")  # of late, in sum
    stalled_ago: float | None = None  # seconds since the last stall; None without one
    members: list[MemberStatus] = []
    links: list[LinkStatus] = []
    endpoints: list[EndpointStatus] = msgspec.field(default_factory=list, name="servers")
    leases: list[LeaseStatus] = msgspec.field(default_factory=list, name="duties")
    endpoint_list: EndpointListStatus | None = msgspec.field(default=None, name="list")
    addresses: list[AddressStatus] = []

    @property
    def name(self) -> str:
        """Name of the member without its incarnation."""
        return self.member_id.rpartition("~")[0] or self.member_id

    @property
    def incarnation(self) -> int:
        """Incarnation of the reporting process; 0 if its id carries none."""
        suffix = self.member_id.rpartition("~")[2]
        return int(suffix) if suffix.isdigit() else 0


class UnreachableMember(msgspec.Struct, frozen=True):
    """A member that was polled and did not answer, or not with anything that can be read."""

    target: str = msgspec.field(name="at")  # HOST:PORT, or a log's member and file
    reason: str = msgspec.field(name="why")


class Snapshot(msgspec.Struct, frozen=True):
    """The views of a fleet's members at one time, and what they amount to."""

    taken_at: float = msgspec.field(name="at")  # Unix seconds
    views: list[MemberView] = []
    unreachable: list[UnreachableMember] = msgspec.field(default_factory=list, name="silent")
    major: int = MAJOR
    minor: int = MINOR

    def members(self) -> dict[str, MemberStatus]:
        """Every member in any view, of each the newest incarnation; a member's own report comes first."""
        newest: dict[str, MemberStatus] = {}
        freshness: dict[str, tuple[int, bool]] = {}  # incarnation, whether alive; a large fleet has many rows
        for view in self.views:
            for row in view.members:
                row_freshness = (row.incarnation, row.state == ALIVE)
                if row.name not in freshness or row_freshness > freshness[row.name]:
                    freshness[row.name] = row_freshness
                    newest[row.name] = row
        for view in self.views:
            if view.name not in newest or view.incarnation >= newest[view.name].incarnation:
                reported = newest.get(view.name, MemberStatus(view.name))
                newest[view.name] = msgspec.structs.replace(
                    reported, incarnation=view.incarnation, state=ALIVE, zone=view.zone
                )
        return newest

    def views_by_name(self) -> dict[str, MemberView]:
        """The views by the name of the member that reports it."""
        return {view.name: view for view in self.views}

    def endpoints(self) -> dict[str, EndpointStatus]:
        """Each endpoint with its newest load report, and its connections in sum over the polled members."""
        newest: dict[str, EndpointStatus] = {}
        ages: dict[str, float] = {}
        connections: dict[str, int] = {}
        for view in self.views:
            for row in view.endpoints:
                connections[row.name] = connections.get(row.name, 0) + row.connections
                age = NO_LOAD_AGE if row.load_age is None else row.load_age
                if row.name not in ages or age < ages[row.name]:
                    ages[row.name] = age
                    newest[row.name] = row
        return {
            name: msgspec.structs.replace(row, connections=connections[name]) for name, row in newest.items()
        }

    def connections_by_zone(self) -> dict[str, dict[str, int]]:
        """Connections of the polled members: zone of the member, zone of the endpoint, count; most first."""
        endpoint_zones = {name: row.zone for name, row in self.endpoints().items()}
        counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for view in self.views:
            for row in view.endpoints:
                if row.connections:
                    counts[view.zone][endpoint_zones[row.name]] += row.connections
        return {zone: dict(rows.most_common()) for zone, rows in sorted(counts.items())}

    def leases(self) -> dict[str, LeaseStatus]:
        """The lease of each role under the highest term that any member knows."""
        newest: dict[str, LeaseStatus] = {}
        for view in self.views:
            for row in view.leases:
                known = newest.get(row.role)
                if known is None or row.term > known.term or row.local_state == "holding":
                    newest[row.role] = row
        return newest

    def addresses(self) -> dict[tuple[str, str], AddressStatus]:
        """Shared addresses by (address, site)."""
        return {(row.address, row.site): row for view in self.views for row in view.addresses}


def decode_view(body: Mapping[str, Any], addresses: list[dict[str, Any]] | None = None) -> MemberView:
    """Reads the answer of `GET /control/fleet` and rows of `/control/addresses`; unknown keys are ignored.

    Raises:
        msgspec.ValidationError: a value is missing or of another type.
    """
    return msgspec.convert({**body, "addresses": addresses or []}, MemberView, strict=False)
