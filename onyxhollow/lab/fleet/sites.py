"""Sites of a process cluster, each with members, a route guard and a routing daemon, and their clients."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Generator
from pathlib import Path
from typing import Any

import orjson
import tomli_w

from onyxhollow.lab.fleet.configuration_files import format_address
from onyxhollow.lab.fleet.process_cluster import ROOT, ClusterError, ProcessCluster
from onyxhollow.lab.fleet.routing_daemons import Internet, Partner, RoutingDaemon
from onyxhollow.lab.fleet.traffic import Client, EchoServer
from onyxhollow.lab.interrupts import deferred_interrupts
from onyxhollow.lab.sockets.proxies import free_address

PROXY_SETTINGS = {
    "ceilings": {"mostDials": 3, "probes": True, "cancelling": True, "connectTimeoutNs": 250000000},
    "report": {"how": "probe", "fields": ["x0"]},
    # With tenant quotas, balancers with few connections each can tell what fills a server.
    "tenants": [{"name": "partners", "share": 1.0}],
    "extra": {
        "reportX0": "load asked of the server over what it can do",
        "tellsLoad": True,
        "tenantQuotaConnections": [8000.0],
    },
}
QUICK = {
    "least": 1,
    "most_at_once": 1,
    "window": 3.0,
    "ill_for": 1.5,
    "dead_for": 1.0,
    "well_for": 2.0,
    "step": 0.8,
    "drain_for": 4.0,
    "cut_off_after": 3.0,
    "fresh": 1.5,
    "flap_half_life": 30.0,
}
COUNT_KEYS = ("least", "most_at_once")  # keys of QUICK that are not in seconds
MAX_ECHO_AGE_SECONDS = 0.7
OVERLOAD_DELAY_SECONDS = 5.0  # echo delay per excess load: at a load of 1.2 clients count as not served
ROUTING_INTERVAL_SECONDS = 0.05


class RouteGuardProcess:
    """The `route-guard` process of one site, with its files."""

    def __init__(self, folder: Path, site: str, daemon: RoutingDaemon, orphaned_after: float) -> None:
        self.folder, self.site = folder, site
        # Not 127.0.0.1, where an outgoing connection of another process could take the port meanwhile.
        self.address = free_address(f"127.4.0.{ord(site[0]) % 100 + 1}", socket.SOCK_STREAM)
        self.path, self.log = folder / f"gate-{site}.toml", folder / f"gate-{site}.log"
        self.config = {
            "addresses": "addresses.toml",
            "site": site,
            "listen": format_address(self.address),
            "speaker": format_address(daemon.address),
            "folder": f"gate-{site}",
            "orphaned_after": orphaned_after,
        }
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the configuration file and start the process; its output is appended to the log."""
        self.path.write_text(tomli_w.dumps(self.config))
        with self.log.open("ab") as log, deferred_interrupts():
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow", "route-guard", "--config", str(self.path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                start_new_session=True,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )

    def end(self, signal_number: int = signal.SIGKILL) -> None:
        """Send the signal and wait for the end of the process, if it is running."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal_number)
            self.child.wait()

    def events(self, name: str = "") -> list[dict[str, Any]]:
        """Return the logged events with this name, or all; lines that are not JSON are left out."""
        rows = [orjson.loads(row) for row in self.log.read_bytes().splitlines() if row.startswith(b"{")]
        return [row for row in rows if name in ("", row["event"])]


class Sites:
    """A process cluster with one zone per site, and everything around it that shared addresses need."""

    def __init__(
        self,
        folder: Path,
        sites: int = 3,
        members_per_site: int = 2,
        addresses: int = 2,
        servers: int = 2,
        capacity: float = 100.0,
        policy: dict[str, Any] | None = None,
        cut_off: str = "keep",
        orphaned_after: float = 4.0,
        partners: int = 0,
        load_per_session: float = 0.002,
        own_servers: bool = False,
        time_scale: float = 1.0,
        **values: Any,
    ) -> None:
        """Create the processes of all sites without starting them.

        `cut_off` applies to all sites but the last, which keeps its routes. `servers` is the number for each
        site, `partners` that for each address, and `load_per_session` a share of a server's capacity. With
        `own_servers`, a site's proxies use only its own servers, which answer too late above their capacity.
        `time_scale` multiplies all intervals and timeouts, for fleets that load one machine heavily.
        """
        self.zones = tuple("abcdefghijklmnopqrst"[:sites])
        self.cluster = ProcessCluster(
            folder,
            members=sites * members_per_site,
            zones=self.zones,
            servers=sites * servers,
            duties=[],
            settings=PROXY_SETTINGS,
            extra_fleet_settings={"addresses": "addresses.toml"},
            **values,
        )
        self.prefixes = {f"addr{number}": f"198.51.100.{number}/32" for number in range(addresses)}
        self._create_routing(orphaned_after)
        self._write_addresses_file(capacity, policy or {}, cut_off, time_scale)
        self._create_echo_servers(sites * servers, load_per_session, own_servers)
        self._create_clients(partners)

    def _create_routing(self, orphaned_after: float) -> None:
        """Create a routing daemon and a route guard for each site."""
        self.routing_daemons = {zone: RoutingDaemon(self.cluster.loop, zone) for zone in self.zones}
        self.route_guards = {
            zone: RouteGuardProcess(self.cluster.folder, zone, daemon, orphaned_after)
            for zone, daemon in self.routing_daemons.items()
        }

    def _write_addresses_file(
        self, capacity: float, policy: dict[str, Any], cut_off: str, time_scale: float
    ) -> None:
        """Write the addresses file; `policy` replaces settings of the default policy, without scaling."""
        services = [
            {"name": name, "prefix": prefix, "listeners": ["chat"], "owner": "voice"}
            for name, prefix in self.prefixes.items()
        ]
        sites = [
            {
                "name": zone,
                "gate": format_address(self.route_guards[zone].address),
                "capacity": capacity,
                "cut_off": "keep" if zone == self.zones[-1] else cut_off,
            }
            for zone in self.zones
        ]
        scaled_policy = {
            key: value * time_scale if key not in COUNT_KEYS else value for key, value in QUICK.items()
        }
        self.config = {
            "service": services,
            "site": sites,
            "policy": scaled_policy | policy,
            "every": 0.25 * time_scale,
            "synthetic": 0.5 * time_scale * time_scale,
        }
        (self.cluster.folder / "addresses.toml").write_text(tomli_w.dumps(self.config))

    def _create_echo_servers(self, count: int, load_per_session: float, own_servers: bool) -> None:
        """Create the echo servers and list their addresses; `own_servers` splits the list by site."""
        overload_delay = OVERLOAD_DELAY_SECONDS if own_servers else 0.0
        self.echo_servers = [
            EchoServer(self.cluster.loop, 0.1, load_per_session, overload_delay) for _ in range(count)
        ]
        list_service = self.cluster.list_service
        if own_servers:
            list_service.sites = dict(self.cluster.zones)
        for number, server in enumerate(self.echo_servers):
            list_service.rows[f"s{number}"]["dial"] = format_address(server.address)

    def _create_clients(self, partners: int) -> None:
        """Create the partners of each address, whose nearest sites take turns, and start their routing."""
        self.internet = Internet(self.routing_daemons, self.on_site_changed)
        self.clients: dict[int, Client] = {}  # by id() of the partner
        site_count = len(self.zones)
        for prefix in self.prefixes.values():
            for number in range(partners):
                near = [self.zones[(number + place) % site_count] for place in range(site_count)]
                self.internet.partners.append(Partner(prefix, near, 0.1 + 0.1 * (number % 4)))
        self.cluster.loop.spawn(self.update_client_sites())

    def update_client_sites(self) -> Generator[float, None, None]:
        """Route the clients by the current routes at a fixed interval, as a task of the event loop."""
        while True:
            self.internet.update_sites()
            yield from self.cluster.loop.sleep(ROUTING_INTERVAL_SECONDS)

    def on_site_changed(self, partner: Partner) -> None:
        """Close a client's connection and open a new one to a member of its present site."""
        if (client := self.clients.pop(id(partner), None)) is not None:
            client.close()
        members = [name for name in self.cluster.names if self.cluster.zones[name] == partner.site]
        if members:
            number = len(self.clients) + partner.moved
            address = self.cluster.listen_addresses[members[number % len(members)]]
            self.clients[id(partner)] = Client(self.cluster.loop, address, 1000 + number)

    def served_share(self, prefix: str = "") -> float:
        """Return the share of clients that have received an echo recently."""
        rows = [partner for partner in self.internet.partners if prefix in ("", partner.prefix)]
        clients = [
            client
            for partner in rows
            if (client := self.clients.get(id(partner))) is not None and client.established
        ]
        since = self.cluster.loop.now - MAX_ECHO_AGE_SECONDS
        return sum(client.echoed_at >= since for client in clients) / max(1, len(rows))

    def servers_at(self, zone: str) -> list[EchoServer]:
        """Return the echo servers whose rows in the endpoint list belong to the site."""
        return self.echo_servers[self.zones.index(zone) :: len(self.zones)]

    def members(self, zone: str) -> list[str]:
        """Return the names of the site's members, also of those that are not running."""
        return [name for name in self.cluster.names if self.cluster.zones[name] == zone]

    def start(self) -> None:
        """Start all processes and wait for the controller; the route guards start before the members."""
        for guard in self.route_guards.values():
            guard.start()
        self.cluster.wait(
            lambda: all(guard.events("route guard") for guard in self.route_guards.values()),
            20,
            "all route guards have started",
        )
        self.cluster.start()
        self.cluster.wait_members(within=40)
        self.cluster.wait_holder("addresses", within=40)

    def route_states(self, zone: str) -> list[int]:
        """Return the route states at the site's routing daemon, in the order of addresses."""
        return [self.routing_daemons[zone].route_state(prefix) for prefix in self.prefixes.values()]

    def wait_for_route_states(self, within: float = 25.0, **wanted: int) -> None:
        """Wait until all addresses have these route states at these sites."""

        def is_reached() -> bool:
            return all(set(self.route_states(zone)) == {state} for zone, state in wanted.items())

        try:
            self.cluster.wait(is_reached, within, f"route states {wanted}")
        except ClusterError as error:
            now = {zone: self.route_states(zone) for zone in self.zones}
            reasons = [line.fields["why"] for line in self.cluster.lines if line.event == "address"][-6:]
            raise ClusterError(f"{error}; got {now}; {reasons}") from None

    def wait_until_all_reported(self, within: float = 25.0) -> None:
        """Wait until the controller has the site reports that all routes are installed.

        It plans by those reports, which arrive shortly after the routing daemons have accepted the routes.
        """
        self.cluster.wait(self.all_reported, within, "the controller has reports of all routes")

    def all_reported(self) -> bool:
        """Return whether the status has every route as advertised, reported and installed."""
        rows = self.query(self.cluster.names[0])["rows"]
        return all(row["reached"] and row["carried"] and row["standing"] == "advertised" for row in rows)

    def query(self, name: str, path: str = "", **query: str) -> Any:
        """Send a query and poll for its answer, as the command-line tools do.

        A process that has just started refuses connections first, and then answers that its addresses are
        not ready yet; the query is repeated until it is accepted.
        """
        parameters = "&".join(f"{key}={value}" for key, value in query.items())

        def send_query() -> Any:
            with contextlib.suppress(OSError):
                return self.request(name, path, parameters).get("id")
            return None

        query_id = self.cluster.wait(send_query, 15, f"{name} accepts {path}")

        def answer() -> Any:
            response = self.request(name, path, f"id={query_id}")
            return "id" not in response and response

        return self.cluster.wait(answer, 8, f"an answer to {path}")

    def request(self, name: str, path: str, parameters: str, method: str = "GET") -> Any:
        """Return the decoded JSON answer to one request, or {"error": text} if the answer is not JSON."""
        target = f"/control/addresses{path}" + (f"?{parameters}" if parameters else "")
        _, body = self.cluster.http_request(name, target, method)
        return orjson.loads(body) if body[:1] in b"{[" else {"error": body.decode()}

    def status_row(self, address: str, zone: str, name: str = "") -> dict[str, Any]:
        """Return the status of an address at a site, from any running member or from the named one."""
        running = [
            member
            for member, process in self.cluster.current.items()
            if process.alive and not process.stopped
        ]
        rows = self.query(name or running[0])["rows"]
        return next(row for row in rows if (row["address"], row["site"]) == (address, zone))

    def decisions(self) -> list[dict[str, Any]]:
        """Return the logged decisions of all controllers."""
        return [line.fields for line in self.cluster.lines if line.event == "address"]

    def close(self) -> None:
        """Close the clients, end all processes and close the sockets of the stand-ins."""
        for client in self.clients.values():
            client.close()
        for guard in self.route_guards.values():
            guard.end()
        for server in self.echo_servers:
            server.close()
        for daemon in self.routing_daemons.values():
            daemon.close()
        self.cluster.close()

    def __enter__(self) -> Sites:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
