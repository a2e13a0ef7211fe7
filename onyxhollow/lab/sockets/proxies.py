"""Real proxies as child processes: started, waited for, stopped, killed, counted out at the end."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import orjson

from onyxhollow.lab.scenario import Scenario

SEMANTICS = {"repeatable": "read_like", "referenced": "idempotency_key", "once-only": "non_idempotent"}
READY_WITHIN = 10.0  # seconds for a proxy to answer PING


def wire_settings(scenario: Scenario, quotas: list[float], number: int) -> dict[str, Any]:
    """The settings object of the wire; times in nanoseconds."""

    def ns(seconds: float) -> int:
        return round(seconds * 1e9)

    fleet, proxies = scenario.fleet, scenario.proxies
    return {
        "me": number,
        "peersTotal": fleet.proxies,
        "zone": fleet.zones[number % len(fleet.zones)],
        "discovery": "on_request",
        "overageUtility": proxies.overage_utility,
        "listeners": [
            {
                "name": row.name,
                "handshakeTargetNs": ns(row.target),
                "dialTimeoutNs": ns(row.timeout),
                "utility": row.utility,
                "semantics": SEMANTICS[row.repeat],
                "group": row.scope,
                "windowNs": ns(row.window),
                "stream": True,
            }
            for row in scenario.listeners
        ],
        "tenants": [{"name": row.name, "share": row.share} for row in scenario.customers],
        "extra": {
            "groups": scenario.clients.group_size > 1,
            "mode": "proxy",
            "tellsLoad": fleet.tells_load,
            "reportX0": "load asked of the server over what it can do",
            "messageAimNs": [ns(row.message_target) for row in scenario.listeners],
            "tenantQuotaConnections": quotas,
        },
        "report": {"how": "probe", "fields": ["x0"]},
        "rules": {
            "askWithinNs": ns(proxies.ask_within),
            "coldShare": fleet.cold_share,
            "coldNs": ns(fleet.cold_time),
            "fallMultiple": fleet.fall_multiple,
            "fallNs": ns(fleet.fall_time),
            "drainGraceNs": ns(proxies.drain_grace),
            "graceToAnswerNs": ns(proxies.answer_grace),
        },
        "ceilings": {
            "mostDials": proxies.most_dials,
            "probes": proxies.probes,
            "cancelling": proxies.cancelling,
            "connectTimeoutNs": ns(scenario.network.connect_time),
            "retryAfter": scenario.clients.most_retry_after > 0,
            "maxRetryAfterNs": ns(scenario.clients.most_retry_after),
        },
        "charges": {"probe": proxies.probe_price},
    }


def free_address(host: str, kind: int = socket.SOCK_STREAM) -> tuple[str, int]:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return host, int(sock.getsockname()[1])


class Process:
    """One proxy and the lives it has had."""

    def __init__(
        self, number: int, settings: dict[str, Any], list_at: tuple[str, int], folder: Path, sockets: int
    ) -> None:
        self.number, self.settings, self.list_at, self.folder = number, settings, list_at, folder
        self.listen = free_address(f"127.0.1.{number % 250 + 1}")
        self.sockets, self.lives = sockets, 0
        self.fleet = ""  # the fleet file of this proxy; "": it is on its own
        self.child: subprocess.Popen[bytes] | None = None
        self.crashes: list[int] = []  # exit codes of lives that nobody ended
        self.ending = False

    def start(self, seed: int, known: dict[str, Any]) -> None:
        config = self.folder / f"n{self.number}.json"
        config.write_bytes(
            orjson.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": ":".join(map(str, self.listen)),
                    "discovery": ":".join(map(str, self.list_at)),
                    "seed": f"{seed & 0xFFFFFFFFFFFFFFFF:x}",
                    "limits": {"memory_mb": 256, "sockets": self.sockets},
                    "known": known,
                    "settings": self.settings,
                }
            )
        )
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        if self.fleet:
            environment["LB_FLEET"] = self.fleet
        self.lives, self.ending = self.lives + 1, False
        log = (self.folder / f"n{self.number}.log").open("ab")
        with log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow", "serve", "--config", str(config)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=Path(__file__).resolve().parents[3],
                start_new_session=True,
            )

    def ready(self) -> bool:
        """Whether it answers PING by now."""
        try:
            with socket.create_connection(self.listen, timeout=0.5) as sock:
                sock.sendall(b"PING\r\n")
                return sock.recv(64).startswith(b"PONG")
        except OSError:
            return False

    def wait_ready(self, within: float = READY_WITHIN) -> bool:
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.child is None or self.child.poll() is not None:
                return False
            if self.ready():
                return True
            time.sleep(0.02)
        return False

    def tell(self, number: int) -> None:
        if self.child is not None and self.child.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(number)

    def look(self) -> None:
        """Notes an end that nobody asked for."""
        if self.child is not None and not self.ending and (code := self.child.poll()) is not None:
            self.crashes.append(code)
            self.child = None

    def end(self) -> None:
        """At once, and waited for: no process is left over."""
        self.ending = True
        if self.child is not None:
            self.tell(signal.SIGCONT)
            self.tell(signal.SIGKILL)
            self.child.wait()
            self.child = None
