"""A snapshot from logs: what each process has written of itself and of the others, by a moment. Pure.

Logs are lines of JSON, as the proxy writes them: one process a file or many in one, in any order of files. A
log tells less than a running member: no links, connections only as sums of sessions that have ended (none are
drawn), servers by the list's first two dozen rows. A process that has ended in order, or that others hold for
dead since its last line, has no view of its own: it is told as silent.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from onyxhollow.topology.model import Address, Duty, ListState, Member, Server, Silent, Snapshot, View

LARGEST = 1 << 30  # bytes of one file
# Log events that earlier versions wrote under another name: the reader knows both, so that old logs stay
# readable.
EVENT_ALIASES: dict[str, str] = {
    "address alone": "address cut off",
    "address leaves": "address drain",
    "gate": "route guard",
    "gate disk": "route guard disk",
    "order": "override",
    "refused": "stale term",
    "speaker": "routing daemon",
    "store waits": "store unavailable",
    "told": "routing command",
    "sharing": "gossip",
    "list rests": "list polling suspended",
    "list asks": "list polling resumed",
    "drains told": "drains received",
    "voter remembers": "voter recovered",
    "voter waits": "voter log unavailable",
}
SERVICE = {"out of service": "leaving", "in service": "in service", "stop": "stopping"}


class LogError(Exception):
    """Nothing that can be used; one line."""


@dataclass
class Life:
    """One process, as its lines tell."""

    name: str
    where: str
    at: float
    epoch: int = 0
    zone: str = ""
    version: str = ""
    service: str = "in service"
    ended: bool = False
    begun: bool = False
    voters: list[str] = field(default_factory=list)
    members: dict[str, Member] = field(default_factory=dict)
    duties: dict[str, Duty] = field(default_factory=dict)
    servers: dict[str, str] = field(default_factory=dict)
    loads: dict[str, tuple[float, float]] = field(default_factory=dict)
    addresses: dict[tuple[str, str], Address] = field(default_factory=dict)
    list_version: int = -1
    rests: bool = False
    stalled: float = 0.0
    stalled_at: float = -math.inf

    @property
    def me(self) -> str:
        return f"{self.name}~{self.epoch}" if self.epoch else self.name

    def take(self, at: float, event: str, told: dict[str, Any]) -> None:
        self.at = at
        event = EVENT_ALIASES.get(event, event)
        if event == "fleet":
            self.epoch, self.voters = int(told["epoch"]), [str(name) for name in told.get("voters", [])]
            self.zone, self.version = str(told.get("zone", "")), str(told.get("version", ""))
        elif event == "member":
            name = str(told["member"])
            known = self.members.get(name)
            if known is None or int(told["epoch"]) >= known.epoch:
                self.members[name] = Member(name, int(told["epoch"]), str(told["life"]))
        elif event == "duty":
            duty, holds = str(told["duty"]), told["change"] == "held"
            left = self.duties.get(duty, Duty(duty)).holder if told["change"] == "kept" else ""
            here = "holding" if holds or left else "idle"
            self.duties[duty] = Duty(duty, int(told.get("term", 0)), self.me if holds else left, here)
        elif event == "list":
            if told.get("whole"):
                self.servers.clear()
            for row in told.get("rows", []):
                name, _, state = str(row).partition(" ")
                self.servers[name] = state.partition(",")[0] or "in service"
            self.list_version = int(told.get("version", -1))
        elif event == "probe" and told.get("load") is not None:
            self.loads[str(told["server"])] = float(told["load"]), at
        elif event in ("list polling suspended", "list polling resumed"):
            self.rests = event == "list polling suspended"
        elif event == "address":
            key = str(told["address"]), str(told["site"])
            self.addresses[key] = Address(*key, str(told["standing"]), str(told.get("cause", "")))
        elif event == "stalled":
            self.stalled, self.stalled_at = self.stalled + float(told["seconds"]), at
        elif event in SERVICE:
            self.service = SERVICE[event]
        elif event == "stopped":
            self.ended = True

    def view(self, now: float) -> View:
        servers = [
            Server(name, state=state, load=load, load_age=None if load is None else round(now - at, 1))
            for name, state in self.servers.items()
            if state != "gone"
            for load, at in [self.loads.get(name, (None, 0.0))]
        ]
        members = [
            msgspec.structs.replace(row, votes=row.name in self.voters)
            for row in [Member(self.name, self.epoch, "alive", self.zone), *self.members.values()]
        ]
        ago = now - self.stalled_at
        return View(
            self.me,
            self.zone,
            self.version,
            self.service,
            stalled=self.stalled,
            stalled_ago=ago if math.isfinite(ago) else None,
            members=members,
            servers=servers,
            duties=list(self.duties.values()),
            list_state=ListState(self.list_version, self.rests),
            addresses=list(self.addresses.values()),
        )


def lines(paths: Iterable[Path], until: float) -> list[tuple[float, str, dict[str, Any]]]:
    """Time, file and what was told, in the order of time. What is no line of a proxy is passed over."""
    found: list[tuple[float, str, dict[str, Any]]] = []
    for path in paths:
        try:
            if path.stat().st_size > LARGEST:
                raise LogError(f"{path}: expected at most {LARGEST >> 20} MiB")
            body = path.read_bytes()
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from None
        for row in body.splitlines():
            try:
                told = json.loads(row)
                at = float(told["t"])
                if isinstance(told["event"], str) and isinstance(told["proxy"], str) and at <= until:
                    found.append((at, str(path), told))
            except (ValueError, TypeError, KeyError, RecursionError):
                continue
    found.sort(key=lambda one: one[0])
    return found


def read(paths: Iterable[Path], until: float = math.inf) -> Snapshot:
    """until: Unix seconds; what was written later is passed over. Raises LogError if no line is left."""
    asked = list(paths)
    rows = lines(asked, until)
    if not rows:
        raise LogError(f"{', '.join(map(str, asked))[:200]}: expected lines of a proxy's log, got none")
    lives: list[Life] = []
    now_by: dict[str, Life] = {}
    for at, where, told in rows:
        name, event = told["proxy"], told["event"]
        life = now_by.get(name)
        if life is None or event == "fleet" or (event == "start" and life.begun):
            life = now_by[name] = Life(name, where, at)
            lives.append(life)
        life.begun = life.begun or event == "start"
        try:
            life.take(at, event, told)
        except (ValueError, TypeError, KeyError):
            continue  # a line of another build
    now = rows[-1][0]
    views, silent = [], []
    for life in now_by.values():
        seen = [
            other.members[life.name]
            for other in now_by.values()
            if life.name in other.members and other.members[life.name].epoch == life.epoch
        ]
        dead = bool(seen) and all(row.life in ("dead", "left") for row in seen)
        if life.ended or dead:
            why = "stopped in order" if life.ended else "held for dead by all that speak of it"
            who = f"{life.name} ({life.where})"
            silent.append(Silent(who, f"{why}, {now - life.at:.0f} s since its last line"))
        else:
            views.append(life.view(now))
    return Snapshot(now, views, silent)
