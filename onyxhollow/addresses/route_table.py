"""What stands at a gate, under which term. Pure: the gate writes `rows` down before it answers."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from onyxhollow.addresses.file import Service, Site
from onyxhollow.addresses.rules import Preference

GRACEFUL_SHUTDOWN = "65535:0"  # the community of RFC 8326
LONGER = 3  # times that the own AS number is put before the path, at a lesser preference


class ClaimedTerm(msgspec.Struct, array_like=True, frozen=True, tag=1):
    term: int
    member: str


class InstalledRoute(msgspec.Struct, array_like=True, frozen=True, tag=2):
    name: str
    preference: int
    controller_term: int  # term of the keeper that decided it
    call_number: int = 0  # of the announcer's call


RECORDS = msgspec.msgpack.Decoder(ClaimedTerm | InstalledRoute)
encode = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class StaleTermError:
    """An older term: 409."""

    seen: int


class RouteTable:
    def __init__(self, services: list[Service], site: Site, own_as: int) -> None:
        self.services = {service.name: service for service in services}
        self.site, self.own_as = site, own_as
        self.term, self.member, self.controller_term = 0, "", 0
        self.call_number = 0  # of the last call under this term: one that comes late changes nothing
        self.preferences = {name: Preference.WITHDRAWN for name in self.services}
        self.last_addresses: set[str] = set()
        self.announcer_seen_at = -math.inf

    def restore(self, rows: list[ClaimedTerm | InstalledRoute]) -> None:
        for row in rows:
            if isinstance(row, ClaimedTerm):
                self.term, self.member, self.call_number = max(self.term, row.term), row.member, 0
            elif row.name in self.preferences:
                self.preferences[row.name] = Preference(row.preference)
                self.controller_term, self.call_number = (
                    max(self.controller_term, row.controller_term),
                    max(self.call_number, row.call_number),
                )

    def records(self) -> list[ClaimedTerm | InstalledRoute]:
        """All of it, written anew."""
        stands = [
            InstalledRoute(name, int(standing), self.controller_term, self.call_number)
            for name, standing in self.preferences.items()
        ]
        return [ClaimedTerm(self.term, self.member), *stands]

    def claim(
        self, term: int, member: str, now: float
    ) -> StaleTermError | list[ClaimedTerm | InstalledRoute]:
        """What is to be written down before the call is answered."""
        if term < self.term or term == self.term and self.member not in ("", member):
            return StaleTermError(self.term)
        self.announcer_seen_at = now
        if term == self.term:
            return []
        self.term, self.member, self.call_number = term, member, 0
        return [ClaimedTerm(term, member)]

    def set_preference(
        self, term: int, number: int, keeper: int, name: str, standing: Preference, now: float
    ) -> StaleTermError | list[ClaimedTerm | InstalledRoute]:
        if term != self.term:  # a higher one has to claim first
            return StaleTermError(self.term)
        self.announcer_seen_at = now
        if (
            number <= self.call_number
        ):  # stopped on its way, and overtaken by a later call of the same announcer
            return []
        self.call_number, self.controller_term = number, max(self.controller_term, keeper)
        if self.preferences[name] is standing:
            return []
        self.preferences[name] = standing
        return [InstalledRoute(name, int(standing), self.controller_term, number)]

    def heartbeat(self, term: int, last: set[str], now: float) -> StaleTermError | None:
        if term != self.term:
            return StaleTermError(self.term)
        self.announcer_seen_at, self.last_addresses = now, last
        return None

    def withdraw_orphaned(
        self, after: float, dead: set[str], now: float, silent: float = 0.0, fresh: float = math.inf
    ) -> list[InstalledRoute]:
        """What goes once no announcer has called for `after`: all, if the site's file says so or if no member
        there has said a word for as long (`silent`), else what they see as dead. If the file says so and all
        are silent, evidence's own time, `fresh`, is enough: there is nobody left to serve. The last ones
        stay."""
        every, alone = self.site.cut_off == "withdraw", now - self.announcer_seen_at
        nobody = min(silent, alone) >= (min(after, fresh) if every else after)
        if alone < after and not nobody:
            return []
        every = every or nobody
        gone = [
            name
            for name, standing in self.preferences.items()
            if standing is not Preference.WITHDRAWN
            and name not in self.last_addresses
            and (every or name in dead)
        ]
        for name in gone:
            self.preferences[name] = Preference.WITHDRAWN
        return [InstalledRoute(name, 0, self.controller_term, self.call_number) for name in gone]

    def daemon_command(self, name: str) -> str:
        """The daemon's line that makes an address stand as it is to."""
        service, standing = self.services[name], self.preferences[name]
        route = f"route {service.prefix} next-hop {self.site.next_hop}"
        if standing is Preference.WITHDRAWN:
            return f"withdraw {route}"
        if standing is Preference.ADVERTISED:
            return f"announce {route} med {self.site.med}"
        path = " ".join([str(self.own_as)] * LONGER)
        less = self.site.med + 1000
        return f"announce {route} med {less} community [{GRACEFUL_SHUTDOWN}] as-path [{path}]"
