"""Sites on the rig: members of several zones, a gate and a speaker each, partners who come by address."""

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

from onyxhollow.lab.fleet.process_cluster import ROOT, ClusterError, ProcessCluster, format_address
from onyxhollow.lab.fleet.routing_daemons import Internet, Partner, RoutingDaemon
from onyxhollow.lab.fleet.traffic import Client, EchoServer
from onyxhollow.lab.sockets.proxies import free_address

ASKED = {
    "ceilings": {"mostDials": 3, "probes": True, "cancelling": True, "connectTimeoutNs": 250000000},
    "report": {"how": "probe", "fields": ["x0"]},
    # What customers may hold tells many balancers with few connections what fills a server.
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
COUNTS = ("least", "most_at_once")  # keys of QUICK that are no seconds
ECHOES = 0.7  # seconds without an echo past which a partner is not served
TOO_LATE = 5.0  # seconds for each time of its capacity that a server is over: 1.2 of it is not served
LOOK = 0.05  # seconds between the internet's looks


class RouteGuardProcess:
    def __init__(self, folder: Path, site: str, daemon: RoutingDaemon, orphaned_after: float) -> None:
        self.folder, self.site = folder, site
        # An address of its own: on 127.0.0.1 its port could go to somebody's outgoing connection meanwhile.
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
        self.path.write_text(tomli_w.dumps(self.config))
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow", "route-guard", "--config", str(self.path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                start_new_session=True,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )

    def end(self, how: int = signal.SIGKILL) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(how)
            self.child.wait()

    def events(self, name: str = "") -> list[dict[str, Any]]:
        rows = [orjson.loads(row) for row in self.log.read_bytes().splitlines() if row.startswith(b"{")]
        return [row for row in rows if name in ("", row["event"])]


class Sites:
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
        site, `partners` the number for each address. `load_per_session` is a session's share of a server's
        capacity. With `own_servers`, the proxies of a site use only its own servers, and a server above its
        capacity answers too late. `time_scale` multiplies all intervals and timeouts, for fleets that load
        one machine heavily.
        """
        self.zones = tuple("abcdefghijklmnopqrst"[:sites])
        self.cluster = ProcessCluster(
            folder,
            members=sites * members_per_site,
            zones=self.zones,
            servers=sites * servers,
            duties=[],
            settings=ASKED,
            extra_fleet_settings={"addresses": "addresses.toml"},
            **values,
        )
        cluster = self.cluster
        self.routing_daemons = {zone: RoutingDaemon(cluster.loop, zone) for zone in self.zones}
        self.route_guards = {
            zone: RouteGuardProcess(folder, zone, daemon, orphaned_after)
            for zone, daemon in self.routing_daemons.items()
        }
        self.prefixes = {f"addr{n}": f"198.51.100.{n}/32" for n in range(addresses)}
        self.config = {
            "service": [
                {"name": name, "prefix": prefix, "listeners": ["chat"], "owner": "voice"}
                for name, prefix in self.prefixes.items()
            ],
            "site": [
                {
                    "name": zone,
                    "gate": format_address(self.route_guards[zone].address),
                    "capacity": capacity,
                    "cut_off": "keep" if zone == self.zones[-1] else cut_off,
                }
                for zone in self.zones
            ],
            "policy": {
                key: value * time_scale if key not in COUNTS else value for key, value in QUICK.items()
            }
            | (policy or {}),
            "every": 0.25 * time_scale,
            "synthetic": 0.5 * time_scale * time_scale,
        }
        (folder / "addresses.toml").write_text(tomli_w.dumps(self.config))
        late = TOO_LATE if own_servers else 0.0
        self.echo_servers = [
            EchoServer(cluster.loop, 0.1, load_per_session, late) for _ in range(sites * servers)
        ]
        if own_servers:
            cluster.list_service.sites = dict(cluster.zones)
        for number, server in enumerate(self.echo_servers):
            cluster.list_service.rows[f"s{number}"]["dial"] = format_address(server.address)
        self.internet = Internet(self.routing_daemons, self.carried)
        self.clients: dict[int, Client] = {}  # by the partner's id()
        for prefix in self.prefixes.values():
            for number in range(partners):
                near = [self.zones[(number + place) % sites] for place in range(sites)]
                self.internet.partners.append(Partner(prefix, near, 0.1 + 0.1 * (number % 4)))
        self.looked = 0.0
        cluster.loop.spawn(self.look())

    def look(self) -> Generator[float, None, None]:
        while True:
            self.internet.look()
            yield from self.cluster.loop.sleep(LOOK)

    def carried(self, partner: Partner) -> None:
        """The network takes a partner elsewhere: its connection is lost, and it comes again there."""
        if (client := self.clients.pop(id(partner), None)) is not None:
            client.close()
        members = [name for name in self.cluster.names if self.cluster.zones[name] == partner.site]
        if members:
            number = len(self.clients) + partner.moved
            at = self.cluster.listen_addresses[members[number % len(members)]]
            self.clients[id(partner)] = Client(self.cluster.loop, at, 1000 + number)

    def served_share(self, prefix: str = "") -> float:
        """Share of the partners whose lines come back now."""
        rows = [partner for partner in self.internet.partners if prefix in ("", partner.prefix)]
        clients = [client for one in rows if (client := self.clients.get(id(one))) is not None and client.up]
        since = self.cluster.loop.now - ECHOES
        return sum(client.echoed_at >= since for client in clients) / max(1, len(rows))

    def servers_at(self, zone: str) -> list[EchoServer]:
        return self.echo_servers[self.zones.index(zone) :: len(self.zones)]

    def members(self, zone: str) -> list[str]:
        return [name for name in self.cluster.names if self.cluster.zones[name] == zone]

    def start(self) -> None:
        for gate in self.route_guards.values():
            gate.start()
        self.cluster.wait(
            lambda: all(gate.events("route guard") for gate in self.route_guards.values()),
            20,
            "guards are up",
        )
        self.cluster.start()
        self.cluster.wait_members(within=40)
        self.cluster.wait_holder("addresses", within=40)

    def route_states(self, zone: str) -> list[int]:
        """At the speaker, in the order of addresses."""
        return [self.routing_daemons[zone].route_state(prefix) for prefix in self.prefixes.values()]

    def wait_for_route_states(self, within: float = 25.0, **wanted: int) -> None:
        """All addresses stand so at these sites."""

        def so() -> bool:
            return all(set(self.route_states(zone)) == {state} for zone, state in wanted.items())

        try:
            self.cluster.wait(so, within, f"standings {wanted}")
        except ClusterError as error:
            now = {zone: self.route_states(zone) for zone in self.zones}
            said = [line.fields["why"] for line in self.cluster.lines if line.event == "address"][-6:]
            raise ClusterError(f"{error}; they are {now}; {said}") from None

    def wait_until_all_reported(self, within: float = 25.0) -> None:
        """The keeper has heard that what is advertised at each site is taken there: it plans by what it has
        heard, and that comes a moment after the daemons have taken it."""
        self.cluster.wait(self.all_reported, within, "the keeper has heard of all")

    def all_reported(self) -> bool:
        rows = self.query(self.cluster.names[0])["rows"]
        return all(row["reached"] and row["carried"] and row["standing"] == "advertised" for row in rows)

    def query(self, name: str, path: str = "", **query: str) -> Any:
        """As the commands do: asked again until it is there. A process that has just been started says first
        that its addresses are not there yet, or nothing at all."""
        words = "&".join(f"{key}={value}" for key, value in query.items())

        def begun() -> Any:
            with contextlib.suppress(OSError):
                return self.request(name, path, words).get("id")
            return None

        id = self.cluster.wait(begun, 15, f"{name} takes {path}")

        def answer() -> Any:
            told = self.request(name, path, f"id={id}")
            return "id" not in told and told

        return self.cluster.wait(answer, 8, f"an answer to {path}")

    def request(self, name: str, path: str, words: str, method: str = "GET") -> Any:
        target = f"/control/addresses{path}" + (f"?{words}" if words else "")
        _, body = self.cluster.http_request(name, target, method)
        return orjson.loads(body) if body[:1] in b"{[" else {"error": body.decode()}

    def status_row(self, address: str, zone: str, name: str = "") -> dict[str, Any]:
        up = [one for one, process in self.cluster.current.items() if process.alive and not process.stopped]
        rows = self.query(name or up[0])["rows"]
        return next(row for row in rows if (row["address"], row["site"]) == (address, zone))

    def decisions(self) -> list[dict[str, Any]]:
        return [line.fields for line in self.cluster.lines if line.event == "address"]

    def close(self) -> None:
        for client in self.clients.values():
            client.close()
        for gate in self.route_guards.values():
            gate.end()
        for server in self.echo_servers:
            server.close()
        for daemon in self.routing_daemons.values():
            daemon.close()
        self.cluster.close()

    def __enter__(self) -> Sites:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
