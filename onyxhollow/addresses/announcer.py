"""A site's announcer: takes the keeper's grants and makes the gate's table so. Pure.

It holds its own duty, and its term goes with all that it tells the gate. What stands at the gate is where it
begins: a new holder changes nothing that is right. It never newly advertises without a grant.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from onyxhollow.addresses.file import AddressesFile, Site
from onyxhollow.addresses.messages import Grant, Report, Row
from onyxhollow.addresses.rules import ORDER, Standing


@dataclass(slots=True)
class Address:
    name: str
    wanted: Standing
    stands: Standing  # what the gate holds it to be
    told: Standing | None  # what the speaker has taken, as the gate says; None: not known
    cause: str = ""
    since: float = -math.inf
    flaps: float = 0.0
    last: bool = False
    dead_since: float = math.inf  # what this site's own members see


class Announcer:
    def __init__(self, told: AddressesFile, site: Site, term: int, now: float) -> None:
        self.told, self.policy, self.site, self.term = told, told.policy, site, term
        self.rows: dict[str, Address] = {}
        self.read = False  # whether the gate has said what stands
        self.keeper, self.number = 0, 0  # term and number of the newest grant
        self.heard_at = now
        self.speaker = False  # as the gate says
        self.gate_at = -math.inf  # when it last answered
        self.calls = 0  # to the gate, counted: it passes over what has been overtaken

    def stands(
        self, table: dict[str, tuple[int, int | None]], keeper: int, speaker: bool, now: float
    ) -> None:
        """The gate's answer: of each address what it holds it to be and what the speaker has taken; keeper:
        the highest keeper's term that it knows of."""
        self.gate_at, self.speaker = now, speaker
        if keeper > self.keeper:
            self.keeper, self.number = keeper, 0
        for service in self.told.service:
            held, taken = table.get(service.name, (0, None))
            found = Standing(held)
            row = self.rows.get(service.name)
            if row is None:
                row = self.rows[service.name] = Address(service.name, found, found, None, since=now)
            row.stands, row.told = found, None if taken is None else Standing(taken)
        self.read = True

    def granted(self, grant: Grant, now: float) -> None:
        """Words of earlier keepers, and earlier words of this one, are passed over."""
        if grant.site != self.site.name or (grant.term, grant.number) <= (self.keeper, self.number):
            return
        if grant.term > self.keeper:
            self.number = 0
        self.keeper, self.number, self.heard_at = grant.term, grant.number, now
        if not self.read:
            return
        for row in grant.rows:
            if (known := self.rows.get(row.address)) is None:
                continue
            known.wanted, known.cause, known.last = Standing(row.standing), row.cause, row.last
            known.since, known.flaps = now - row.age, row.flaps

    def seen(self, address: str, health: float | None, now: float) -> None:
        """What this site's own members say of it."""
        if (known := self.rows.get(address)) is not None:
            dead = health is not None and health < self.policy.dead
            known.dead_since = min(known.dead_since, now) if dead else math.inf

    def tick(self, now: float) -> list[str]:
        """What it has decided by itself, in words (rule 4)."""
        told = []
        cut_off = now - self.heard_at
        for row in self.rows.values() if self.read else ():
            if row.wanted is Standing.WITHDRAWN or row.last:
                continue
            dead = now - row.dead_since >= self.policy.dead_for
            if cut_off >= self.policy.cut_off_after and (self.site.cut_off == "withdraw" or dead):
                why = "its service is dead" if dead else "its file says so"
                told.append(f"{row.name}: withdrawn, no keeper for {cut_off:.1f} s and {why}")
                row.wanted, row.cause, row.since = Standing.WITHDRAWN, "health", now
        return told

    def call(self) -> int:
        self.calls += 1
        return self.calls

    def due(self) -> list[Address]:
        """What the gate has to be told: the least that makes it right, what is newly advertised first."""
        rows = [row for row in self.rows.values() if row.wanted is not row.stands] if self.read else []
        return sorted(rows, key=lambda row: (-row.wanted, row.name))

    def left(self) -> list[str]:
        """Addresses that an order has withdrawn, as the speaker has taken it."""
        return [
            row.name
            for row in self.rows.values()
            if row.cause == ORDER and row.wanted is row.told is Standing.WITHDRAWN
        ]

    def report(self, now: float) -> Report | None:
        if not self.read:
            return None
        rows = [
            Row(
                row.name,
                int(row.wanted),
                row.cause,
                max(0.0, min(1e9, now - row.since)),
                row.flaps,
                row.last,
                row.wanted is row.told,
            )
            for row in self.rows.values()
        ]
        gate = self.speaker and now - self.gate_at <= self.policy.fresh
        return Report(self.site.name, self.keeper, self.number, self.term, gate, rows)
