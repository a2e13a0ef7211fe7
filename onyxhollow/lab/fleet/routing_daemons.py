"""Stand-ins for the network outside the fleet: a routing daemon per site, and the routing of its clients.

A routing daemon accepts the published line commands on its local socket and answers `done` or `error`. Its
routes are removed one hold time after it has stopped. Each client sees a route change after a delay of its
own, prefers advertised over lowered routes and then the nearer site, and ignores a route that flaps (RFC
2439). When its site changes, its session is lost, as with anycast.
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

HOLD_SECONDS = 1.5  # hold time of a stopped daemon's routes, scaled down from 90 s
ROUTE_COMMAND = re.compile(r"(announce|withdraw) route (\S+) next-hop (\S+)(.*)")


@dataclass(frozen=True)
class RouteChange:
    """A change of a daemon's route, in monotonic time."""

    at: float
    prefix: str
    state: int  # 0 withdrawn, 1 lowered, 2 advertised


class RoutingDaemon:
    """The routing daemon of one site, with its routes and all their changes."""

    def __init__(self, loop: Loop, site: str) -> None:
        self.loop, self.site = loop, site
        host = f"127.4.1.{ord(site[0]) % 100 + 1}"  # not shared, so that the port is still free at a restart
        self.sock: socket.socket | None = open_listener((host, 0))
        self.address: tuple[str, int] = (host, self.sock.getsockname()[1])
        self.routes: dict[str, int] = {}
        self.changes: list[RouteChange] = []
        self.connections: list[LineConnection] = []
        self.max_connections = self.commands = 0
        self.invalid_commands: list[str] = []  # lines that do not parse
        self.rejects_commands, self.reply_delay = False, 0.0
        accept_connections(loop, self.sock, self.on_accepted)

    def on_accepted(self, sock: socket.socket) -> None:
        """Serve a connection of a route guard, and count how many are open at the same time."""
        lines = LineConnection(
            self.loop, sock, lambda line: self.on_command(lines, line), lambda _: self.on_closed(lines)
        )
        self.connections.append(lines)
        self.max_connections = max(self.max_connections, len(self.connections))

    def on_closed(self, lines: LineConnection) -> None:
        """Remove a connection that its route guard has closed."""
        if lines in self.connections:
            self.connections.remove(lines)

    def on_command(self, lines: LineConnection, line: bytes) -> None:
        """Apply a command and answer it; invalid and rejected ones get `error` and change nothing."""
        self.commands += 1
        match = ROUTE_COMMAND.fullmatch(line.decode(errors="replace").strip())
        if match is None or self.rejects_commands:
            if match is None:
                self.invalid_commands.append(line.decode(errors="replace"))
            lines.send(b"error\n")
            return
        verb, prefix, _, rest = match.groups()
        state = 0 if verb == "withdraw" else 1 if "community [65535:0]" in rest else 2
        if self.routes.get(prefix, 0) != state:
            self.routes[prefix] = state
            self.changes.append(RouteChange(time.monotonic(), prefix, state))
        if self.reply_delay:
            self.loop.spawn(self.reply_later(lines))
        else:
            lines.send(b"done\n")

    def reply_later(self, lines: LineConnection) -> Generator[float, None, None]:
        """Answer `done` after `reply_delay` seconds, as a task of the event loop."""
        yield from self.loop.sleep(self.reply_delay)
        if lines.open:
            lines.send(b"done\n")

    def route_state(self, prefix: str) -> int:
        """Return 0 if the route is withdrawn, 1 if lowered, 2 if advertised."""
        return self.routes.get(prefix, 0)

    def stop(self) -> None:
        """Close all connections and drop the routes, which count as withdrawn after the hold time."""
        for lines in list(self.connections):
            lines.close()
        self.connections.clear()
        if self.sock is not None:
            self.loop.watch(self.sock.fileno(), 0, None)
            self.sock.close()
            self.sock = None
        now = time.monotonic()
        self.changes += [
            RouteChange(now + HOLD_SECONDS, prefix, 0) for prefix, state in self.routes.items() if state
        ]
        self.routes.clear()

    def start(self) -> None:
        """Start the daemon again, without routes."""
        self.sock = open_listener(self.address)
        accept_connections(self.loop, self.sock, self.on_accepted)

    def close(self) -> None:
        """Stop the daemon if it is running."""
        if self.sock is not None:
            self.stop()


@dataclass
class Partner:
    """One client of a shared address, and the site that it is routed to."""

    prefix: str
    near: list[str]  # sites by distance, nearest first
    delay: float  # seconds after which it sees a route change
    site: str = ""
    moved: int = 0  # number of changes from one site to another
    site_changes: deque[tuple[float, str]] = field(default_factory=lambda: deque(maxlen=64))


class Internet:
    """Chooses a site for each client from the routes that it sees."""

    def __init__(self, daemons: dict[str, RoutingDaemon], on_site_changed: Callable[[Partner], None]) -> None:
        """Create a network without clients; `on_site_changed` is called after a client's site has changed."""
        self.daemons, self.on_site_changed = daemons, on_site_changed
        self.partners: list[Partner] = []
        # Flap damping: a route with more changes within this time is ignored.
        self.max_changes, self.damping_seconds = 6, 20.0

    def visible_state(self, partner: Partner, site: str, now: float) -> int:
        """Return the route state that a client sees: the state `delay` seconds ago, or 0 while it flaps."""
        state, recent_changes = 0, 0
        for change in self.daemons[site].changes:
            if change.prefix == partner.prefix and change.at <= now - partner.delay:
                state = change.state
                recent_changes += now - change.at < self.damping_seconds
        return 0 if recent_changes > self.max_changes else state

    def update_sites(self) -> None:
        """Choose the site of each client again, and report those that have changed."""
        now = time.monotonic()
        for partner in self.partners:
            ranked_sites = [
                (-self.visible_state(partner, site, now), distance, site)
                for distance, site in enumerate(partner.near)
            ]
            best = min((row for row in ranked_sites if row[0]), default=(0, 0, ""))
            if best[2] != partner.site:
                partner.moved += bool(partner.site)
                partner.site = best[2]
                partner.site_changes.append((now, partner.site))
                self.on_site_changed(partner)
