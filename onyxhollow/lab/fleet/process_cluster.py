"""N `serve` processes with a fleet file of their own, the relay between them, the stand-ins that they call.

Everything is on loopback, is started and ended here, and is gone when `close` returns. Waits are for
conditions, with a bound: `ClusterError` says what was not seen.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from random import Random
from typing import Any

import orjson
import tomli_w

from onyxhollow.lab.fleet.proxied_links import LinkFault, LinkRule, ProxiedLinks
from onyxhollow.lab.fleet.record import Hold, HoldTracker, LogLine, Verdict, check_holds
from onyxhollow.lab.fleet.stand_ins import LedgerService, ListService
from onyxhollow.lab.sockets.proxies import free_address
from onyxhollow.loop import Loop

ROOT = Path(__file__).resolve().parents[3]
KEY = "6f6e7978686f6c6c6f772d747269616c"
TURN = 0.02  # seconds of one turn of the rig at the most
READ_EVERY = 0.05  # seconds between readings of the logs
CUT = LinkFault(cut=True)
MANY = 20  # members past which what each sees of each is not kept line by line


class ClusterError(Exception):
    """What was waited for did not come, or a process did not start."""


def format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def server_row(number: int, zones: tuple[str, ...]) -> dict[str, Any]:
    """As the list service tells of a server; nobody dials it."""
    return {
        "host": f"s{number}",
        "dial": f"127.0.0.1:{9000 + number}",
        "site": zones[number % len(zones)],
        "class": "rig",
        "block": number,
        "health": "active",
        "share": 1.0,
        "born_ms": 0,
    }


class Process:
    """One life of one member."""

    def __init__(self, cluster: ProcessCluster, name: str, life: int, successor: bool = False) -> None:
        self.cluster, self.name, self.life, self.successor = cluster, name, life, successor
        self.slot = f"{name}+" if successor else name
        self.title = f"{name}.{life}"
        self.log = cluster.folder / f"{self.title}.log"
        self.fault_file = cluster.folder / f"{self.title}.trial"
        self.management = free_address(cluster.host(name, 2), socket.SOCK_STREAM)
        self.child: subprocess.Popen[bytes] | None = None
        self.read_to, self.rest = 0, b""
        self.stopped = False
        self.ended_at = 0.0
        self.expected_end = False

    def start(self, environment: Mapping[str, str], fds: Iterable[int] = ()) -> None:
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow.lab.fleet.member", "serve"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **environment,
                    "LB_MANAGEMENT": format_address(self.management),
                    "ONYX_TRIAL": str(self.fault_file),
                },
                cwd=ROOT,
                start_new_session=True,
                pass_fds=tuple(fds),
            )

    @property
    def pid(self) -> int:
        assert self.child is not None
        return self.child.pid

    @property
    def alive(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number: int) -> None:
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)


class ProcessCluster:
    def __init__(
        self,
        folder: Path,
        members: int = 3,
        voters: int = 3,
        zones: tuple[str, ...] = ("a",),
        seed: int = 1,
        lease: float = 1.0,
        rate_bound: float = 0.01,
        steady: float = 3600.0,
        patience: float = 3.0,
        period: float = 0.4,
        duties: list[dict[str, Any]] | None = None,
        servers: int = 6,
        ask_within: float = 8.0,
        fleet: bool = True,
        settings: dict[str, Any] | None = None,
        extra_fleet_settings: dict[str, Any] | None = None,
    ) -> None:
        """more: further keys of the fleet file."""
        self.folder, self.seed, self.lease = folder, seed, lease
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "key").write_text(KEY + "\n")
        for left in folder.glob("state-*"):  # of a run before, in the same folder
            shutil.rmtree(left)
        self.failures: list[str] = []
        self.loop = Loop(lambda where, error: self.failures.append(f"{where}: {error!r}"))
        self.rng = Random(seed)
        self.links = ProxiedLinks(self.loop, self.rng)
        rows = [server_row(number, zones) for number in range(servers)]
        self.list_service = ListService(self.loop, self.links, rows)
        self.ledger = LedgerService(self.loop, self.links)
        self.stand_ins = (self.list_service, self.ledger)
        self.names = [f"n{number}" for number in range(members)]
        self.zones = {name: zones[number % len(zones)] for number, name in enumerate(self.names)}
        self.voters = self.names[:voters]
        self.duties = [{"name": "ledger", "work": "call", "every": 0.1}] if duties is None else duties
        self.fleet, self.ask_within, self.settings = fleet, ask_within, settings or {}
        self.extra_fleet_settings = extra_fleet_settings or {}
        self.lease_settings = {
            "lease": lease,
            "rate_bound": rate_bound,
            "steady": steady,
            "patience": patience,
        }
        self.membership = {"period": period, "timeout": period / 3, "sync": max(1.0, 5 * period)}
        self.advertised_addresses: dict[str, tuple[str, int]] = {}  # where the others find a member
        self.process_addresses: dict[str, tuple[str, int]] = {}
        self.processes: list[Process] = []
        self.current: dict[str, Process] = {}
        self.lines: list[LogLine] = []
        self.clock_rates: dict[str, float] = {}
        self.hold_tracker = HoldTracker(self.clock_rates)
        self.member_counts: dict[str, int] = {}  # by process: how many it sees
        self.process_faults: dict[str, dict[str, Any]] = {}
        self.read_at = 0.0
        self.crashes: list[str] = []
        self.held_sockets: dict[
            str, socket.socket
        ] = {}  # clients' sockets that are held for members, by name
        self.listen_addresses: dict[str, tuple[str, int]] = {}
        for name in self.names:
            self.give_addresses(name, name)
            self.listen_addresses[name] = free_address(self.host(name, 1), socket.SOCK_STREAM)

    def host(self, name: str, net: int) -> str:
        number = int(name.rstrip("+")[1:])
        return f"127.{net}.{number // 200}.{number % 200 + 1}"

    def give_addresses(self, name: str, slot: str) -> None:
        self.process_addresses[slot] = free_address(self.host(name, 2), socket.SOCK_DGRAM)
        self.advertised_addresses[slot] = free_address(self.host(name, 3), socket.SOCK_DGRAM)
        self.links.add(slot, self.process_addresses[slot], self.advertised_addresses[slot])

    # processes

    def write_files(self, process: Process) -> tuple[Path, Path]:
        name, slot = process.name, process.slot
        settings: dict[str, Any] = {
            "me": int(name[1:]),
            "peersTotal": len(self.names),
            "zone": self.zones[name],
            "discovery": "on_request",
            "listeners": [
                {
                    "name": "chat",
                    "semantics": "read_like",
                    "handshakeTargetNs": 300000000,
                    "dialTimeoutNs": 2000000000,
                }
            ],
            "ceilings": {"mostDials": 3, "probes": False, "cancelling": True, "connectTimeoutNs": 250000000},
            "rules": {
                "askWithinNs": round(self.ask_within * 1e9),
                "coldNs": 1000000000,
                "coldShare": 1.0,
                "fallMultiple": 3.0,
                "fallNs": 2000000000,
            },
        }
        config = self.folder / f"{process.title}.json"
        config.write_bytes(
            orjson.dumps(
                {
                    "name": name,
                    "listen": format_address(self.listen_addresses[name]),
                    "discovery": format_address(self.list_service.listener_for(name).address),
                    "seed": f"{self.seed * 7919 + int(name[1:]) * 31 + process.life:x}",
                    "limits": {"memory_mb": 64, "sockets": 256},
                    "known": {"seq": -1, "hosts": []},
                    "settings": settings | self.settings,
                }
            )
        )
        call = format_address(self.ledger.listener_for(name).address)
        duties = [
            duty | ({"call": call} if duty["work"] == "call" else {"service": "rig"}) for duty in self.duties
        ]
        told: dict[str, Any] = {
            "fleet": "rig",
            "key_file": "key",
            "listen": format_address(self.process_addresses[slot]),
            "advertise": format_address(self.advertised_addresses[slot]),
            "voters": self.voters,
            "seeds": [format_address(self.advertised_addresses[seed]) for seed in self.names[:3]],
            "record": True,
            "membership": self.membership,
            "leases": self.lease_settings,
            "duty": duties,
        } | self.extra_fleet_settings
        if name in self.voters or name in self.spare_voters:
            told["folder"] = f"state-{name}"
        fleet = self.folder / f"{process.title}.toml"
        fleet.write_text(tomli_w.dumps(told))
        process.fault_file.write_bytes(orjson.dumps(self.process_faults.get(name, {})))
        return config, fleet

    spare_voters: tuple[str, ...] = ()  # members with a folder who are no voters yet

    def environment(self, name: str, config: Path, fleet: Path) -> dict[str, str]:
        told = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        scratch = self.folder / f"tmp-{name}"
        scratch.mkdir(exist_ok=True)
        told |= {"LB_CONFIG": str(config), "TMPDIR": str(scratch), "PYTHONDONTWRITEBYTECODE": "1"}
        return told | ({"LB_FLEET": str(fleet)} if self.fleet else {})

    def replace(self, name: str) -> Process:
        """A second process of a member takes the clients' socket over, and the first is told to stop."""
        first = self.current[name]
        second = Process(
            self, name, 1 + sum(known.name == name for known in self.processes), not first.successor
        )
        if second.slot not in self.process_addresses:
            self.give_addresses(name, second.slot)
        self.launch(second)
        self.wait(lambda: self.log_lines(second.title, "successor"), 10, f"{second.title} takes clients")
        self.current[name] = second
        first.expected_end = True
        first.send_signal(signal.SIGTERM)
        self.wait(lambda: not first.alive, 10, f"{first.title} has ended")
        first.ended_at = time.monotonic()
        return second

    def launch(self, process: Process) -> None:
        """With the clients' socket, which outlives it where a successor may come."""
        name = process.name
        config, fleet = self.write_files(process)
        told = self.environment(name, config, fleet)
        fds: tuple[int, ...] = ()
        if name in self.held_sockets:
            told["LB_LISTEN_FD"] = str(self.held_sockets[name].fileno())
            fds = (self.held_sockets[name].fileno(),)
        process.start(told, fds)
        self.processes.append(process)
        if rate := self.process_faults.get(name, {}).get("rate"):
            self.clock_rates[process.title] = rate

    def start(self, *names: str, wait: bool = True) -> None:
        for name in names or self.names:
            process = Process(self, name, 1 + sum(known.name == name for known in self.processes))
            self.launch(process)
            self.current[name] = process
        if wait:
            wanted = [self.current[name] for name in names or self.names]
            self.wait(
                lambda: all(self.log_lines(p.title, "start") for p in wanted),
                20 + len(wanted) / 4,
                "all started",
            )

    def set_process_faults(self, name: str, **values: Any) -> None:
        """What the shim under a member's process does from now on, and under later ones of that name."""
        self.process_faults[name] = {**self.process_faults.get(name, {}), **values}
        if process := self.current.get(name):
            beside = process.fault_file.with_suffix(".new")
            beside.write_bytes(orjson.dumps(self.process_faults[name]))
            beside.rename(process.fault_file)

    def hold_socket(self, name: str) -> None:
        """As a platform that replaces processes does; before the member starts."""
        sock = socket.create_server(self.listen_addresses[name], backlog=256)
        sock.set_inheritable(True)
        self.held_sockets[name] = sock

    def stop(self, name: str) -> None:
        self.current[name].stopped = True
        self.current[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.current[name].stopped = False
        self.current[name].send_signal(signal.SIGCONT)

    def kill(self, *names: str) -> None:
        for name in names:
            process = self.current[name]
            process.expected_end = True
            process.send_signal(signal.SIGKILL)
            process.send_signal(signal.SIGCONT)
        for name in names:
            if (child := self.current[name].child) is not None:
                child.wait()
            self.current[name].ended_at = time.monotonic()

    def terminate(self, name: str, within: float = 8.0) -> None:
        process = self.current[name]
        process.expected_end = True
        process.send_signal(signal.SIGTERM)
        self.wait(lambda: not process.alive, within, f"{name} has ended")
        process.ended_at = time.monotonic()

    def delete_state_folder(self, name: str) -> None:
        shutil.rmtree(self.folder / f"state-{name}", ignore_errors=True)

    # links

    def cut(
        self, source: Iterable[str] | None, target: Iterable[str] | None, both: bool = True
    ) -> list[LinkRule]:
        return self.add_link_fault(CUT, source, target, both)

    def add_link_fault(
        self, harm: LinkFault, source: Iterable[str] | None, target: Iterable[str] | None, both: bool = True
    ) -> list[LinkRule]:
        first, second = (None if side is None else list(side) for side in (source, target))
        rules = [self.links.put(harm, first, second)]
        if both and (first, second) != (second, first):
            rules.append(self.links.put(harm, second, first))
        self.apply_link_faults()
        return rules

    def heal(self, rules: Iterable[LinkRule] = ()) -> None:
        self.links.mend(*rules)
        self.apply_link_faults()

    def apply_link_faults(self) -> None:
        for stand in self.stand_ins:
            stand.look()

    # time goes on

    def run_once(self, longest: float = TURN) -> None:
        for stand in self.stand_ins:
            stand.polled = self.loop.now
        self.loop.turn(longest)
        if time.monotonic() >= self.read_at:
            self.read_logs()
            self.read_at = time.monotonic() + READ_EVERY

    def run_for(self, seconds: float) -> None:
        """Lets a fault last; nothing is concluded from it alone."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.run_once(min(TURN, max(0.0, until - time.monotonic())))

    def wait(self, seen: Callable[[], Any], within: float, what: str) -> Any:
        until = time.monotonic() + within
        while time.monotonic() < until:
            if found := seen():
                return found
            self.run_once()
        self.read_logs()
        if found := seen():
            return found
        raise ClusterError(f"expected within {within:g} s: {what}; {self.state()}")

    def state(self) -> str:
        told = [
            f"{name}: {'stopped' if p.stopped else 'up' if p.alive else 'down'}"
            for name, p in self.current.items()
        ]
        turns = [
            f"{line.process} {line.fields['change']} {line.fields['duty']} {line.fields['term']}"
            for line in self.lines
            if line.event == "duty"
        ]
        bad = [
            f"{line.process}: {line.fields.get('trace', '')[-300:]}"
            for line in self.lines
            if line.event == "failure"
        ]
        return "; ".join([", ".join(told[:12]), *turns[-6:], *bad[:2]])

    def read_logs(self) -> None:
        for process in self.processes:
            if process.child is None:
                continue
            if not process.alive and not process.ended_at:
                process.ended_at = time.monotonic()
                if not process.expected_end:
                    self.crashes.append(f"{process.title}: exit {process.child.returncode}")
            with contextlib.suppress(OSError), process.log.open("rb") as file:
                file.seek(process.read_to)
                data = file.read()
                process.read_to += len(data)
                *whole, process.rest = (process.rest + data).split(b"\n")
                for row in whole:
                    self.take_line(process, row)

    def take_line(self, process: Process, row: bytes) -> None:
        try:
            told = orjson.loads(row)
        except ValueError:
            self.crashes.append(f"{process.title}: {row[:200].decode(errors='replace')}")
            return
        line = LogLine(told.get("at", time.monotonic()), process.title, told["event"], told)
        self.hold_tracker.feed(line)
        if line.event == "member":
            self.member_counts[process.title] = told["there"]
        if line.event != "lease" and (line.event != "member" or len(self.names) <= MANY):
            self.lines.append(line)

    # what is seen

    def log_lines(self, process: str, event: str, **values: Any) -> list[LogLine]:
        return [
            line
            for line in self.lines
            if line.process == process
            and line.event == event
            and all(line.fields.get(name) == value for name, value in values.items())
        ]

    def polling_suspended(self) -> list[bool]:
        """Of each member that is up, whether it is told the list and does not ask for itself."""
        last: dict[str, str] = {}
        for line in self.lines:
            if line.event in ("list polling suspended", "list polling resumed"):
                last[line.process] = line.event
        return [
            last.get(process.title) == "list polling suspended"
            for process in self.current.values()
            if process.alive
        ]

    def holds(self) -> list[Hold]:
        ends = {p.title: p.ended_at for p in self.processes if p.ended_at}
        return self.hold_tracker.rows(ends)

    def holder(self, duty: str = "ledger") -> str:
        """The member that holds a duty now, by its own log; "": none."""
        now = time.monotonic()
        found = [hold for hold in self.holds() if hold.duty == duty and not hold.ended and hold.until > now]
        return found[-1].process.partition(".")[0] if found else ""

    def wait_holder(self, duty: str = "ledger", other_than: str = "", within: float = 0.0) -> str:
        span = within or 8 * self.lease + 5
        return str(
            self.wait(
                lambda: (who := self.holder(duty)) and who != other_than and who,
                span,
                f"a holder of {duty}" + (f" other than {other_than}" if other_than else ""),
            )
        )

    def wait_until_holder_known(self, name: str, duty: str, who: str = "", within: float = 10.0) -> None:
        """This member has heard who holds a duty: its log says so before the news is round."""

        def heard() -> bool:
            holders = {row["duty"]: row["holder"].rpartition("~")[0] for row in self.query(name)["duties"]}
            return bool(held := holders.get(duty)) and held == (who or held)

        self.wait(heard, within, f"{name} has heard who holds {duty}")

    def wait_members(self, count: int = 0, within: float = 15.0) -> None:
        """All see all."""
        wanted = count or len(self.names)

        def seen() -> bool:
            return all(
                self.visible_members(p) == wanted for p in self.current.values() if p.alive and not p.stopped
            )

        self.wait(seen, within + wanted / 8, f"{wanted} members seen by all")

    def wait_lists(self, within: float = 15.0) -> None:
        """All have the list: a proxy of a fleet asks for it in its turn, and refuses its clients before."""
        up = [process for process in self.current.values() if process.alive and not process.stopped]
        self.wait(lambda: all(self.log_lines(p.title, "list") for p in up), within, "all have the list")

    def visible_members(self, process: Process) -> int:
        return self.member_counts.get(process.title, 1)

    def http_request(self, name: str, target: str, method: str = "GET") -> tuple[bytes, bytes]:
        """A call to a member's management address, answered while the rig goes on: status line and body."""
        host, port = self.current[name].management
        with socket.create_connection((host, port), timeout=2.0) as sock:
            sock.sendall(f"{method} {target} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
            sock.setblocking(False)
            got = bytearray()

            def whole() -> bool:
                with contextlib.suppress(BlockingIOError):
                    while data := sock.recv(65536):
                        got.extend(data)
                    return True
                return False

            self.wait(whole, 3.0, f"{name} answers {target}")
        head, _, body = bytes(got).partition(b"\r\n\r\n")
        return head.split(b"\r\n")[0], body

    def query(self, name: str, path: str = "", method: str = "GET", base: str = "/control/fleet") -> Any:
        """What a member tells; as text if it says no."""
        status, body = self.http_request(name, f"{base}{path}", method)
        if b" 200 " not in status:
            return body.decode()
        return orjson.loads(body) if body[:1] in b"{[" else body.decode()

    def verdict(self) -> Verdict:
        self.read_logs()
        return check_holds(self.holds(), self.ledger.actions)

    def close(self) -> None:
        for process in self.processes:
            process.expected_end = True
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            if process.child is not None:
                process.child.wait()
        for stand in self.stand_ins:
            stand.close()
        for sock in self.held_sockets.values():
            sock.close()
        self.links.close()
        self.loop.epoll.close()

    def __enter__(self) -> ProcessCluster:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
