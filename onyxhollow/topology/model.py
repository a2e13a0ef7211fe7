"""What is known of a fleet, by whom and how long ago. Pure.

A view is what one member said of itself and of all others; a snapshot is some views, those asked in vain
among them. Nothing is merged away: where members disagree, both views stay.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

MAJOR, MINOR = 1, 1


class Member(msgspec.Struct, frozen=True):
    name: str
    epoch: int = 0
    life: str = "alive"
    zone: str = ""
    votes: bool = False
    holds: bool = False
    damped: bool = False


class Link(msgspec.Struct, frozen=True):
    """What one member has seen of the way to another and back, without helpers."""

    to: str
    epoch: int = 0
    heard: float = 1e6  # seconds since anything came straight from it
    asked: int = 0
    lost: float = 0.0
    rtt_ms: float = 0.0
    asked_ago: float = 1e6  # seconds since it was last asked


class Server(msgspec.Struct, frozen=True):
    name: str
    zone: str = ""
    state: str = "in service"
    own: int = 0  # connections of the member that says so
    size: float = 1.0
    load: float | None = None
    load_age: float | None = None
    distrust: float = 0.0
    arrives: bool = False


class Duty(msgspec.Struct, frozen=True):
    duty: str
    term: int = 0
    holder: str = ""  # name~epoch
    here: str = ""
    left: float | None = None


class Address(msgspec.Struct, frozen=True):
    address: str
    site: str
    standing: str = ""
    cause: str = ""
    health: float | None = None
    reached: bool = True
    carried: bool = True
    stays: str = ""
    drain: str = ""
    pin: str = ""
    exclude: str = ""


class ListState(msgspec.Struct, frozen=True):
    version: int = -1
    rests: bool = False
    tells: bool = False


class View(msgspec.Struct, frozen=True):
    """What one member says."""

    me: str
    zone: str = ""
    version: str = ""
    service: str = ""
    health: int = 0
    stalled: float = 0.0
    stalled_ago: float | None = None
    members: list[Member] = []
    links: list[Link] = []
    servers: list[Server] = []
    duties: list[Duty] = []
    list_state: ListState | None = msgspec.field(default=None, name="list")
    addresses: list[Address] = []

    @property
    def name(self) -> str:
        return self.me.rpartition("~")[0] or self.me


class Silent(msgspec.Struct, frozen=True):
    """One that was asked and did not answer, or not with anything that can be read."""

    at: str
    why: str


class Snapshot(msgspec.Struct, frozen=True):
    at: float  # Unix seconds
    views: list[View] = []
    silent: list[Silent] = []
    major: int = MAJOR
    minor: int = MINOR

    def members(self) -> dict[str, Member]:
        """Every name that anyone speaks of, the newest process of it; what it says of itself first."""
        found: dict[str, Member] = {}
        for view in self.views:
            for row in view.members:
                known = found.get(row.name)
                if known is None or (row.epoch, row.life == "alive") > (known.epoch, known.life == "alive"):
                    found[row.name] = row
        for view in self.views:
            epoch = int(view.me.rpartition("~")[2]) if view.me.rpartition("~")[2].isdigit() else 0
            if view.name not in found or epoch >= found[view.name].epoch:
                seen = found.get(view.name, Member(view.name))
                found[view.name] = msgspec.structs.replace(seen, epoch=epoch, life="alive", zone=view.zone)
        return found

    def by_name(self) -> dict[str, View]:
        return {view.name: view for view in self.views}

    def servers(self) -> dict[str, Server]:
        """The one with the newest load, its connections in sum over the members asked."""
        found: dict[str, Server] = {}
        total: dict[str, int] = {}
        for view in self.views:
            for row in view.servers:
                total[row.name] = total.get(row.name, 0) + row.own
                known = found.get(row.name)
                age = 1e9 if row.load_age is None else row.load_age
                if known is None or age < (1e9 if known.load_age is None else known.load_age):
                    found[row.name] = row
        return {name: msgspec.structs.replace(row, own=total[name]) for name, row in found.items()}

    def flows(self) -> dict[str, dict[str, int]]:
        """Connections of the members asked, in sum from each zone to each zone, the most first."""
        zones = {name: row.zone for name, row in self.servers().items()}
        found: dict[str, Counter[str]] = {}
        for view in self.views:
            for row in view.servers:
                if row.own:
                    found.setdefault(view.zone, Counter())[zones[row.name]] += row.own
        return {zone: dict(rows.most_common()) for zone, rows in sorted(found.items())}

    def duties(self) -> dict[str, Duty]:
        """Of each the highest term that anyone knows of."""
        found: dict[str, Duty] = {}
        for view in self.views:
            for row in view.duties:
                known = found.get(row.duty)
                if known is None or row.term > known.term or row.here == "holding":
                    found[row.duty] = row
        return found

    def addresses(self) -> dict[tuple[str, str], Address]:
        return {(row.address, row.site): row for view in self.views for row in view.addresses}


def view_of(told: dict[str, Any], addresses: list[dict[str, Any]] | None = None) -> View:
    """From GET /control/fleet. Raises msgspec.ValidationError; keys that it does not know are passed over."""
    return msgspec.convert({**told, "addresses": addresses or []}, View, strict=False)
