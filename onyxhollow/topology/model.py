"""Data model of a fleet's topology: the reports of its members, each with its age. No I/O.

A view is one member's report about itself and all other members. A snapshot is a set of views plus the
members that could not be polled. Views are not merged: where members disagree, the snapshot has both reports.

The structures are decoded from the responses of `GET /control/fleet` and `GET /control/addresses`, and are
the content of snapshot files. A field whose key there differs from its name states the key. States are plain
strings, because a newer member may report a state that this build does not define. The enums below list the
states that the code compares with.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from enum import StrEnum
from typing import Any

import msgspec

MAJOR_VERSION = 1  # of the snapshot file format; files of another major version are refused
MINOR_VERSION = 1  # a newer minor version only adds keys, which are ignored when decoding
NEVER_SECONDS = 1e6  # age that members report for an event that has not happened
NO_LOAD_AGE_SECONDS = 1e9  # age of a missing load report: older than any real report


class MemberState(StrEnum):
    """State of a member in the membership protocol, as reported by another member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


ALIVE = MemberState.ALIVE.value


class ServicePhase(StrEnum):
    """Phase of a member's service: whether it accepts new sessions."""

    IN_SERVICE = "in service"
    DRAINING = "leaving"
    OUT_OF_SERVICE = "out of service"
    STOPPING = "stopping"


class MemberStatus(msgspec.Struct, frozen=True):
    """State of one member as reported by a member; a restart raises the incarnation."""

    name: str
    incarnation: int = msgspec.field(default=0, name="epoch")
    state: str = msgspec.field(default=ALIVE, name="life")
    zone: str = ""
    is_voter: bool = msgspec.field(default=False, name="votes")
    holds_leases: bool = msgspec.field(default=False, name="holds")
    is_damped: bool = msgspec.field(
        default=False, name="damped"
    )  # flap damping applies: its state changes too often to be reliable


class LinkStatus(msgspec.Struct, frozen=True):
    """Statistics of one member's direct path to a peer and back; indirect probes are excluded."""

    peer: str = msgspec.field(name="to")
    incarnation: int = msgspec.field(default=0, name="epoch")
    received_ago: float = msgspec.field(
        default=NEVER_SECONDS, name="heard"
    )  # seconds since the last direct datagram
    probes: int = msgspec.field(default=0, name="asked")  # direct probes sent
    loss: float = msgspec.field(default=0.0, name="lost")  # share of probes without a direct answer, 0 to 1
    rtt_ms: float = 0.0  # round trip, milliseconds
    probed_ago: float = msgspec.field(default=NEVER_SECONDS, name="asked_ago")  # seconds since the last probe


class EndpointStatus(msgspec.Struct, frozen=True):
    """State of one endpoint as reported by a member."""

    name: str
    zone: str = ""
    state: str = "in service"
    connections: int = msgspec.field(default=0, name="own")  # from the reporting member only
    weight: float = msgspec.field(default=1.0, name="size")
    load: float | None = None  # fraction of capacity; None without a recent load report
    load_age: float | None = None  # seconds
    outlier_score: float = msgspec.field(default=0.0, name="distrust")
    is_warming_up: bool = msgspec.field(default=False, name="arrives")


class LeaseStatus(msgspec.Struct, frozen=True):
    """State of one role's lease as reported by a member."""

    role: str = msgspec.field(name="duty")
    term: int = 0
    holder: str = ""  # member id, name~incarnation
    local_state: str = msgspec.field(default="", name="here")  # state of the reporting member's candidate
    remaining: float | None = msgspec.field(default=None, name="left")  # seconds; set by the holder only

    @property
    def holder_name(self) -> str:
        """Name of the holder without its incarnation; empty if no holder is known."""
        return self.holder.rpartition("~")[0]


class AddressStatus(msgspec.Struct, frozen=True):
    """State of a shared address at one site, as reported by the address controller."""

    address: str
    site: str
    preference: str = msgspec.field(default="", name="standing")  # advertised, withdrawn, ...
    cause: str = ""
    health: float | None = None  # 0 to 1; None if the site has not reported
    reachable: bool = msgspec.field(
        default=True, name="reached"
    )  # the site's announcer answers the controller
    installed: bool = msgspec.field(default=True, name="carried")  # the routing daemon has installed it
    suppressed_by: str = msgspec.field(default="", name="stays")  # rule that suppresses the withdrawal
    # Reasons of operators' overrides; empty without an override.
    drain: str = ""
    pin: str = ""
    exclude: str = ""


class EndpointListStatus(msgspec.Struct, frozen=True):
    """How a member receives the endpoint list."""

    version: int = -1
    polling_suspended: bool = msgspec.field(default=False, name="rests")  # another member polls for it
    is_publisher: bool = msgspec.field(
        default=False, name="tells"
    )  # it polls for other members and sends them the list


class MemberView(msgspec.Struct, frozen=True):
    """One member's report about itself and all other members."""

    member_id: str = msgspec.field(name="me")  # name~incarnation; only the name in virtual time
    zone: str = ""
    version: str = ""
    service_phase: str = msgspec.field(default="", name="service")
    local_health: int = msgspec.field(default=0, name="health")  # 0 is best (Lifeguard's multiplier)
    stalled_seconds: float = msgspec.field(default=0.0, name="stalled")  # total since the process started
    stalled_ago: float | None = None  # seconds since the last stall; None without a stall
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
        """Incarnation of the reporting process; 0 if its id has none."""
        suffix = self.member_id.rpartition("~")[2]
        return int(suffix) if suffix.isascii() and suffix.isdigit() else 0


class UnreachableMember(msgspec.Struct, frozen=True):
    """A polled member that sent no answer or one that cannot be decoded."""

    target: str = msgspec.field(name="at")  # HOST:PORT, or the process and file of a log
    reason: str = msgspec.field(name="why")


class Snapshot(msgspec.Struct, frozen=True):
    """The views of a fleet's members at one time, with queries over all of them."""

    taken_at: float = msgspec.field(name="at")  # Unix seconds
    views: list[MemberView] = []
    unreachable: list[UnreachableMember] = msgspec.field(default_factory=list, name="silent")
    major: int = MAJOR_VERSION
    minor: int = MINOR_VERSION

    def members(self) -> dict[str, MemberStatus]:
        """Return the newest incarnation of each member; a member's own report takes precedence."""
        newest: dict[str, MemberStatus] = {}
        # Incarnation and whether alive, stored per name for speed: a large fleet has many rows.
        freshness: dict[str, tuple[int, bool]] = {}
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
        """Return the views by the name of the reporting member."""
        return {view.name: view for view in self.views}

    def endpoints(self) -> dict[str, EndpointStatus]:
        """Return each endpoint with its newest load report and its connections from all polled members."""
        newest: dict[str, EndpointStatus] = {}
        ages: dict[str, float] = {}
        connections: dict[str, int] = {}
        for view in self.views:
            for row in view.endpoints:
                connections[row.name] = connections.get(row.name, 0) + row.connections
                age = NO_LOAD_AGE_SECONDS if row.load_age is None else row.load_age
                if row.name not in ages or age < ages[row.name]:
                    ages[row.name] = age
                    newest[row.name] = row
        return {
            name: msgspec.structs.replace(row, connections=connections[name]) for name, row in newest.items()
        }

    def connections_by_zone(self) -> dict[str, dict[str, int]]:
        """Return the polled members' connections by their zone, then the endpoint's zone, largest first."""
        endpoint_zones = {name: row.zone for name, row in self.endpoints().items()}
        counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for view in self.views:
            for row in view.endpoints:
                if row.connections:
                    counts[view.zone][endpoint_zones[row.name]] += row.connections
        return {zone: dict(rows.most_common()) for zone, rows in sorted(counts.items())}

    def leases(self) -> dict[str, LeaseStatus]:
        """Return each role's lease as reported under the highest term or by a member that holds it."""
        newest: dict[str, LeaseStatus] = {}
        for view in self.views:
            for row in view.leases:
                current = newest.get(row.role)
                if current is None or row.term > current.term or row.local_state == "holding":
                    newest[row.role] = row
        return newest

    def addresses(self) -> dict[tuple[str, str], AddressStatus]:
        """Return the shared addresses by (address, site)."""
        return {(row.address, row.site): row for view in self.views for row in view.addresses}


def decode_view(body: Mapping[str, Any], addresses: list[dict[str, Any]] | None = None) -> MemberView:
    """Decode a response of `GET /control/fleet` and rows of `/control/addresses`; ignore unknown keys.

    Raises:
        msgspec.ValidationError: a value is missing or has a wrong type.
    """
    return msgspec.convert({**body, "addresses": addresses or []}, MemberView, strict=False)
