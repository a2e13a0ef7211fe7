"""Stand-ins for what lies outside: routing daemons beside the sites, and an internet that chooses a site.

A speaker takes the published line commands on its local socket and answers `done` or `error`. Its routes
vanish a hold time after it has gone. Each client sees a route later or sooner, prefers the shorter path and
then the nearer site, and leaves out a route that flaps (RFC 2439). When its site changes, its session is
lost, as with anycast.
"""

from __future__ import annotations

import re
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from onyxhollow.lab.sockets.line_connection import LineConnection, accept_connections, open_listener
from onyxhollow.loop import Loop

HOLD = 1.5  # seconds after which routes of a daemon that has gone are gone (scaled down from 90)
ROUTE = re.compile(r"(announce|withdraw) route (\S+) next-hop (\S+)(.*)")


@dataclass(frozen=True)
class Change:
    at: float
    prefix: str
    state: int  # 0 withdrawn, 1 lesser, 2 advertised


class Speaker:
    def __init__(self, loop: Loop, site: str) -> None:
        self.loop, self.site = loop, site
        host = f"127.4.1.{ord(site[0]) % 100 + 1}"  # its own, so that its port is free when it comes back
        self.sock: socket.socket | None = open_listener((host, 0))
        self.address: tuple[str, int] = (host, self.sock.getsockname()[1])
        self.routes: dict[str, int] = {}
        self.changes: list[Change] = []
        self.owners: list[LineConnection] = []
        self.most_owners = self.commands = 0
        self.bad: list[str] = []  # lines that are no whole command
        self.refuses, self.lag = False, 0.0
        accept_connections(loop, self.sock, self.took)

    def took(self, sock: socket.socket) -> None:
        lines = LineConnection(
            self.loop, sock, lambda line: self.got(lines, line), lambda _: self.left(lines)
        )
        self.owners.append(lines)
        self.most_owners = max(self.most_owners, len(self.owners))

    def left(self, lines: LineConnection) -> None:
        if lines in self.owners:
            self.owners.remove(lines)

    def got(self, lines: LineConnection, line: bytes) -> None:
        self.commands += 1
        found = ROUTE.fullmatch(line.decode(errors="replace").strip())
        if found is None or self.refuses:
            if found is None:
                self.bad.append(line.decode(errors="replace"))
            lines.send(b"error\n")
            return
        verb, prefix, _, rest = found.groups()
        state = 0 if verb == "withdraw" else 1 if "community [65535:0]" in rest else 2
        if self.routes.get(prefix, 0) != state:
            self.routes[prefix] = state
            self.changes.append(Change(time.monotonic(), prefix, state))
        if self.lag:
            self.loop.spawn(self.late(lines))
        else:
            lines.send(b"done\n")

    def late(self, lines: LineConnection) -> Generator[float, None, None]:
        yield from self.loop.sleep(self.lag)
        if lines.open:
            lines.send(b"done\n")

    def stands(self, prefix: str) -> int:
        return self.routes.get(prefix, 0)

    def down(self) -> None:
        """The daemon has ended: its sessions go, and its routes a hold time later; it remembers nothing."""
        for lines in list(self.owners):
            lines.close()
        self.owners.clear()
        if self.sock is not None:
            self.loop.watch(self.sock.fileno(), 0, None)
            self.sock.close()
            self.sock = None
        now = time.monotonic()
        self.changes += [Change(now + HOLD, prefix, 0) for prefix, state in self.routes.items() if state]
        self.routes.clear()

    def up(self) -> None:
        self.sock = open_listener(self.address)
        accept_connections(self.loop, self.sock, self.took)

    def close(self) -> None:
        if self.sock is not None:
            self.down()


@dataclass
class Partner:
    """One client of an address: where the network takes it."""

    prefix: str
    near: list[str]  # sites, the nearest first
    delay: float  # seconds until it sees a change
    site: str = ""
    moved: int = 0  # times that its site changed under it
    moves: deque[tuple[float, str]] = field(default_factory=lambda: deque(maxlen=64))


class Internet:
    def __init__(self, speakers: dict[str, Speaker], carried: Callable[[Partner], None]) -> None:
        """carried: called when a partner's site has changed."""
        self.speakers, self.carried = speakers, carried
        self.partners: list[Partner] = []
        self.damped_after, self.damped_for = 6, 20.0  # changes within so many seconds, and then left out

    def sees(self, partner: Partner, site: str, now: float) -> int:
        """A route as this partner sees it: what was true its delay ago, left out while it flaps."""
        state, lately = 0, 0
        for change in self.speakers[site].changes:
            if change.prefix == partner.prefix and change.at <= now - partner.delay:
                state = change.state
                lately += now - change.at < self.damped_for
        return 0 if lately > self.damped_after else state

    def look(self) -> None:
        now = time.monotonic()
        for partner in self.partners:
            seen = [(-self.sees(partner, site, now), place, site) for place, site in enumerate(partner.near)]
            best = min((row for row in seen if row[0]), default=(0, 0, ""))
            if best[2] != partner.site:
                partner.moved += bool(partner.site)
                partner.site = best[2]
                partner.moves.append((now, partner.site))
                self.carried(partner)
