"""What stands at a gate, under which term. Pure: the gate writes `rows` down before it answers."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from onyxhollow.addresses.file import Service, Site
from onyxhollow.addresses.rules import Standing

GRACEFUL_SHUTDOWN = "65535:0"  # the community of RFC 8326
LONGER = 3  # times that the own AS number is put before the path, at a lesser preference


class Term(msgspec.Struct, array_like=True, frozen=True, tag=1):
    term: int
    member: str


class Stands(msgspec.Struct, array_like=True, frozen=True, tag=2):
    name: str
    standing: int
    keeper: int  # term of the keeper that decided it
    number: int = 0  # of the announcer's call


RECORDS = msgspec.msgpack.Decoder(Term | Stands)
encode = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class Refused:
    """An older term: 409."""

    seen: int


class Table:
    def __init__(self, services: list[Service], site: Site, own_as: int) -> None:
        self.services = {service.name: service for service in services}
        self.site, self.own_as = site, own_as
        self.term, self.member, self.keeper = 0, "", 0
        self.number = 0  # of the last call under this term: one that comes late changes nothing
        self.stands = {name: Standing.WITHDRAWN for name in self.services}
        self.last: set[str] = set()
        self.alive_at = -math.inf

    def remember(self, rows: list[Term | Stands]) -> None:
        for row in rows:
            if isinstance(row, Term):
                self.term, self.member, self.number = max(self.term, row.term), row.member, 0
            elif row.name in self.stands:
                self.stands[row.name] = Standing(row.standing)
                self.keeper, self.number = max(self.keeper, row.keeper), max(self.number, row.number)

    def rows(self) -> list[Term | Stands]:
        """All of it, written anew."""
        stands = [
            Stands(name, int(standing), self.keeper, self.number) for name, standing in self.stands.items()
        ]
        return [Term(self.term, self.member), *stands]

    def claim(self, term: int, member: str, now: float) -> Refused | list[Term | Stands]:
        """What is to be written down before the call is answered."""
        if term < self.term or term == self.term and self.member not in ("", member):
            return Refused(self.term)
        self.alive_at = now
        if term == self.term:
            return []
        self.term, self.member, self.number = term, member, 0
        return [Term(term, member)]

    def put(
        self, term: int, number: int, keeper: int, name: str, standing: Standing, now: float
    ) -> Refused | list[Term | Stands]:
        if term != self.term:  # a higher one has to claim first
            return Refused(self.term)
        self.alive_at = now
        if number <= self.number:  # stopped on its way, and overtaken by a later call of the same announcer
            return []
        self.number, self.keeper = number, max(self.keeper, keeper)
        if self.stands[name] is standing:
            return []
        self.stands[name] = standing
        return [Stands(name, int(standing), self.keeper, number)]

    def alive(self, term: int, last: set[str], now: float) -> Refused | None:
        if term != self.term:
            return Refused(self.term)
        self.alive_at, self.last = now, last
        return None

    def orphaned(
        self, after: float, dead: set[str], now: float, silent: float = 0.0, fresh: float = math.inf
    ) -> list[Stands]:
        """What goes once no announcer has called for `after`: all, if the site's file says so or if no member
        there has said a word for as long (`silent`), else what they see as dead. If the file says so and all
        are silent, evidence's own time, `fresh`, is enough: there is nobody left to serve. The last ones
        stay."""
        every, alone = self.site.cut_off == "withdraw", now - self.alive_at
        nobody = min(silent, alone) >= (min(after, fresh) if every else after)
        if alone < after and not nobody:
            return []
        every = every or nobody
        gone = [
            name
            for name, standing in self.stands.items()
            if standing is not Standing.WITHDRAWN and name not in self.last and (every or name in dead)
        ]
        for name in gone:
            self.stands[name] = Standing.WITHDRAWN
        return [Stands(name, 0, self.keeper, self.number) for name in gone]

    def command(self, name: str) -> str:
        """The daemon's line that makes an address stand as it is to."""
        service, standing = self.services[name], self.stands[name]
        route = f"route {service.prefix} next-hop {self.site.next_hop}"
        if standing is Standing.WITHDRAWN:
            return f"withdraw {route}"
        if standing is Standing.ADVERTISED:
            return f"announce {route} med {self.site.preference}"
        path = " ".join([str(self.own_as)] * LONGER)
        less = self.site.preference + 1000
        return f"announce {route} med {less} community [{GRACEFUL_SHUTDOWN}] as-path [{path}]"
