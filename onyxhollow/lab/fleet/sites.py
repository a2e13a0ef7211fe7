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

from onyxhollow.lab.fleet.rig import ROOT, Rig, RigError, text
from onyxhollow.lab.fleet.speakers import Internet, Partner, Speaker
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


class Gate:
    def __init__(self, folder: Path, site: str, speaker: Speaker, orphaned_after: float) -> None:
        self.folder, self.site = folder, site
        # An address of its own: on 127.0.0.1 its port could go to somebody's outgoing connection meanwhile.
        self.address = free_address(f"127.4.0.{ord(site[0]) % 100 + 1}", socket.SOCK_STREAM)
        self.path, self.log = folder / f"gate-{site}.toml", folder / f"gate-{site}.log"
        self.told = {
            "addresses": "addresses.toml",
            "site": site,
            "listen": text(self.address),
            "speaker": text(speaker.address),
            "folder": f"gate-{site}",
            "orphaned_after": orphaned_after,
        }
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self.path.write_text(tomli_w.dumps(self.told))
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
        each: int = 2,
        addresses: int = 2,
        servers: int = 2,
        capacity: float = 100.0,
        policy: dict[str, Any] | None = None,
        cut_off: str = "keep",
        orphaned_after: float = 4.0,
        partners: int = 0,
        each_load: float = 0.002,
        own_servers: bool = False,
        slower: float = 1.0,
        **values: Any,
    ) -> None:
        """cut_off: of all sites but the last, which keeps; servers: of each site; partners: of each address;
        each_load: what a session is of a server's capacity; own_servers: a site's proxies know of no others,
        and full ones answer too late to serve; slower: times by which all that is told and awaited is slower,
        for as many as one machine can hold."""
        self.zones = tuple("abcdefghijklmnopqrst"[:sites])
        self.rig = Rig(
            folder,
            members=sites * each,
            zones=self.zones,
            servers=sites * servers,
            duties=[],
            settings=ASKED,
            more={"addresses": "addresses.toml"},
            **values,
        )
        rig = self.rig
        self.speakers = {zone: Speaker(rig.loop, zone) for zone in self.zones}
        self.gates = {
            zone: Gate(folder, zone, speaker, orphaned_after) for zone, speaker in self.speakers.items()
        }
        self.prefixes = {f"addr{n}": f"198.51.100.{n}/32" for n in range(addresses)}
        self.told = {
            "service": [
                {"name": name, "prefix": prefix, "listeners": ["chat"], "owner": "voice"}
                for name, prefix in self.prefixes.items()
            ],
            "site": [
                {
                    "name": zone,
                    "gate": text(self.gates[zone].address),
                    "capacity": capacity,
                    "cut_off": "keep" if zone == self.zones[-1] else cut_off,
                }
                for zone in self.zones
            ],
            "policy": {key: value * slower if key not in COUNTS else value for key, value in QUICK.items()}
            | (policy or {}),
            "every": 0.25 * slower,
            "synthetic": 0.5 * slower * slower,
        }
        (folder / "addresses.toml").write_text(tomli_w.dumps(self.told))
        late = TOO_LATE if own_servers else 0.0
        self.echo = [EchoServer(rig.loop, 0.1, each_load, late) for _ in range(sites * servers)]
        if own_servers:
            rig.list.sites = dict(rig.zones)
        for number, server in enumerate(self.echo):
            rig.list.rows[f"s{number}"]["dial"] = text(server.address)
        self.internet = Internet(self.speakers, self.carried)
        self.clients: dict[int, Client] = {}  # by the partner's id()
        for prefix in self.prefixes.values():
            for number in range(partners):
                near = [self.zones[(number + place) % sites] for place in range(sites)]
                self.internet.partners.append(Partner(prefix, near, 0.1 + 0.1 * (number % 4)))
        self.looked = 0.0
        rig.loop.spawn(self.look())

    def look(self) -> Generator[float, None, None]:
        while True:
            self.internet.look()
            yield from self.rig.loop.sleep(LOOK)

    def carried(self, partner: Partner) -> None:
        """The network takes a partner elsewhere: its connection is lost, and it comes again there."""
        if (client := self.clients.pop(id(partner), None)) is not None:
            client.close()
        members = [name for name in self.rig.names if self.rig.zones[name] == partner.site]
        if members:
            number = len(self.clients) + partner.moved
            at = self.rig.listen[members[number % len(members)]]
            self.clients[id(partner)] = Client(self.rig.loop, at, 1000 + number)

    def served(self, prefix: str = "") -> float:
        """Share of the partners whose lines come back now."""
        rows = [partner for partner in self.internet.partners if prefix in ("", partner.prefix)]
        clients = [client for one in rows if (client := self.clients.get(id(one))) is not None and client.up]
        since = self.rig.loop.now - ECHOES
        return sum(client.echoed_at >= since for client in clients) / max(1, len(rows))

    def of(self, zone: str) -> list[EchoServer]:
        return self.echo[self.zones.index(zone) :: len(self.zones)]

    def members(self, zone: str) -> list[str]:
        return [name for name in self.rig.names if self.rig.zones[name] == zone]

    def start(self) -> None:
        for gate in self.gates.values():
            gate.start()
        self.rig.wait(
            lambda: all(gate.events("route guard") for gate in self.gates.values()), 20, "guards are up"
        )
        self.rig.start()
        self.rig.wait_members(within=40)
        self.rig.wait_holder("addresses", within=40)

    def standing(self, zone: str) -> list[int]:
        """At the speaker, in the order of addresses."""
        return [self.speakers[zone].stands(prefix) for prefix in self.prefixes.values()]

    def wait_standing(self, within: float = 25.0, **wanted: int) -> None:
        """All addresses stand so at these sites."""

        def so() -> bool:
            return all(set(self.standing(zone)) == {state} for zone, state in wanted.items())

        try:
            self.rig.wait(so, within, f"standings {wanted}")
        except RigError as error:
            now = {zone: self.standing(zone) for zone in self.zones}
            said = [line.told["why"] for line in self.rig.lines if line.event == "address"][-6:]
            raise RigError(f"{error}; they are {now}; {said}") from None

    def wait_known(self, within: float = 25.0) -> None:
        """The keeper has heard that what is advertised at each site is taken there: it plans by what it has
        heard, and that comes a moment after the daemons have taken it."""
        self.rig.wait(self.known, within, "the keeper has heard of all")

    def known(self) -> bool:
        rows = self.ask(self.rig.names[0])["rows"]
        return all(row["reached"] and row["carried"] and row["standing"] == "advertised" for row in rows)

    def ask(self, name: str, path: str = "", **query: str) -> Any:
        """As the commands do: asked again until it is there. A process that has just been started says first
        that its addresses are not there yet, or nothing at all."""
        words = "&".join(f"{key}={value}" for key, value in query.items())

        def begun() -> Any:
            with contextlib.suppress(OSError):
                return self.call(name, path, words).get("id")
            return None

        id = self.rig.wait(begun, 15, f"{name} takes {path}")

        def answer() -> Any:
            told = self.call(name, path, f"id={id}")
            return "id" not in told and told

        return self.rig.wait(answer, 8, f"an answer to {path}")

    def call(self, name: str, path: str, words: str, method: str = "GET") -> Any:
        target = f"/control/addresses{path}" + (f"?{words}" if words else "")
        _, body = self.rig.call(name, target, method)
        return orjson.loads(body) if body[:1] in b"{[" else {"error": body.decode()}

    def row(self, address: str, zone: str, name: str = "") -> dict[str, Any]:
        up = [one for one, process in self.rig.now_by.items() if process.alive and not process.stopped]
        rows = self.ask(name or up[0])["rows"]
        return next(row for row in rows if (row["address"], row["site"]) == (address, zone))

    def decided(self) -> list[dict[str, Any]]:
        return [line.told for line in self.rig.lines if line.event == "address"]

    def close(self) -> None:
        for client in self.clients.values():
            client.close()
        for gate in self.gates.values():
            gate.end()
        for server in self.echo:
            server.close()
        for speaker in self.speakers.values():
            speaker.close()
        self.rig.close()

    def __enter__(self) -> Sites:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
