"""Real proxies as child processes: start, wait until ready, signal, kill and reap them."""

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

from onyxhollow.lab.interrupts import deferred_interrupts
from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.specs import ListenerSpec

SEMANTICS = {"repeatable": "read_like", "referenced": "idempotency_key", "once-only": "non_idempotent"}
READY_TIMEOUT_SECONDS = 10.0  # until a started proxy answers PING


def to_nanoseconds(seconds: float) -> int:
    """Return a time in whole nanoseconds, the unit of the settings that `serve` reads."""
    return round(seconds * 1e9)


def wire_settings(scenario: Scenario, quotas: list[float], number: int) -> dict[str, Any]:
    """Return the settings object that `serve` reads; times are in nanoseconds."""
    fleet, proxies = scenario.fleet, scenario.proxies
    return {
        "me": number,
        "peersTotal": fleet.proxies,
        "zone": fleet.zones[number % len(fleet.zones)],
        "discovery": "on_request",
        "overageUtility": proxies.overage_utility,
        "listeners": [_listener_settings(row) for row in scenario.listeners],
        "tenants": [{"name": row.name, "share": row.share} for row in scenario.customers],
        "extra": _extra_settings(scenario, quotas),
        "report": {"how": "probe", "fields": ["x0"]},
        "rules": _rule_settings(scenario),
        "ceilings": _limit_settings(scenario),
        "charges": {"probe": proxies.probe_price},
    }


def _listener_settings(listener: ListenerSpec) -> dict[str, Any]:
    return {
        "name": listener.name,
        "handshakeTargetNs": to_nanoseconds(listener.target),
        "dialTimeoutNs": to_nanoseconds(listener.timeout),
        "utility": listener.utility,
        "semantics": SEMANTICS[listener.repeat],
        "group": listener.scope,
        "windowNs": to_nanoseconds(listener.window),
        "stream": True,
    }


def _extra_settings(scenario: Scenario, quotas: list[float]) -> dict[str, Any]:
    return {
        "groups": scenario.clients.group_size > 1,
        "mode": "proxy",
        "tellsLoad": scenario.fleet.tells_load,
        "reportX0": "load asked of the server over what it can do",
        "messageAimNs": [to_nanoseconds(row.message_target) for row in scenario.listeners],
        "tenantQuotaConnections": quotas,
    }


def _rule_settings(scenario: Scenario) -> dict[str, Any]:
    fleet, proxies = scenario.fleet, scenario.proxies
    return {
        "askWithinNs": to_nanoseconds(proxies.ask_within),
        "coldShare": fleet.cold_share,
        "coldNs": to_nanoseconds(fleet.cold_time),
        "fallMultiple": fleet.fall_multiple,
        "fallNs": to_nanoseconds(fleet.fall_time),
        "drainGraceNs": to_nanoseconds(proxies.drain_grace),
        "graceToAnswerNs": to_nanoseconds(proxies.answer_grace),
    }


def _limit_settings(scenario: Scenario) -> dict[str, Any]:
    proxies, max_retry_after = scenario.proxies, scenario.clients.most_retry_after
    return {
        "mostDials": proxies.most_dials,
        "probes": proxies.probes,
        "cancelling": proxies.cancelling,
        "connectTimeoutNs": to_nanoseconds(scenario.network.connect_time),
        "retryAfter": max_retry_after > 0,
        "maxRetryAfterNs": to_nanoseconds(max_retry_after),
    }


def free_address(host: str, kind: int = socket.SOCK_STREAM) -> tuple[str, int]:
    """Return the host with a port that is free at the time of the call."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return host, int(sock.getsockname()[1])


class ProxyProcess:
    """One proxy; it may be started several times in a run."""

    def __init__(
        self, number: int, settings: dict[str, Any], list_address: tuple[str, int], folder: Path, sockets: int
    ) -> None:
        """Reserve an address, without starting the process; `sockets` limits its sockets."""
        self.number, self.settings, self.list_address, self.folder = number, settings, list_address, folder
        self.listen = free_address(f"127.0.1.{number % 250 + 1}")
        self.sockets, self.start_count = sockets, 0
        self.fleet = ""  # path of the fleet file; "": the proxy is in no fleet
        self.child: subprocess.Popen[bytes] | None = None
        self.crashes: list[int] = []  # exit codes of processes that ended unasked
        self.ending = False

    def start(self, seed: int, endpoint_list: dict[str, Any]) -> None:
        """Write the configuration and start the process, whose output is appended to its log."""
        config = self.folder / f"n{self.number}.json"
        config.write_bytes(
            orjson.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": ":".join(map(str, self.listen)),
                    "discovery": ":".join(map(str, self.list_address)),
                    "seed": f"{seed & 0xFFFFFFFFFFFFFFFF:x}",
                    "limits": {"memory_mb": 256, "sockets": self.sockets},
                    "known": endpoint_list,
                    "settings": self.settings,
                }
            )
        )
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        if self.fleet:
            environment["LB_FLEET"] = self.fleet
        self.start_count, self.ending = self.start_count + 1, False
        log = (self.folder / f"n{self.number}.log").open("ab")
        with log, deferred_interrupts():
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow", "serve", "--config", str(config)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=Path(__file__).resolve().parents[3],
                start_new_session=True,
            )

    def is_ready(self) -> bool:
        """Return whether the proxy answers PING."""
        try:
            with socket.create_connection(self.listen, timeout=0.5) as sock:
                sock.sendall(b"PING\r\n")
                return sock.recv(64).startswith(b"PONG")
        except OSError:
            return False

    def wait_ready(self, timeout: float = READY_TIMEOUT_SECONDS) -> bool:
        """Wait up to `timeout` seconds; return False if the process ended or did not answer."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self.child is None or self.child.poll() is not None:
                return False
            if self.is_ready():
                return True
            time.sleep(0.02)
        return False

    def send_signal(self, number: int) -> None:
        """Send a signal to the process; do nothing if it has ended."""
        if self.child is not None and self.child.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(number)

    def detect_crash(self) -> None:
        """Record the exit code if the process ended without being asked to."""
        if self.child is not None and not self.ending and (code := self.child.poll()) is not None:
            self.crashes.append(code)
            self.child = None

    def kill(self) -> None:
        """Kill the process and wait for it, so that none is left after the run."""
        self.ending = True
        if self.child is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.child.wait()
            self.child = None
