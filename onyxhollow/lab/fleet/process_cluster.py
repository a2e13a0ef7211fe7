"""A cluster of `serve` processes with a fleet file each, the proxied links between them and stand-ins.

All sockets are on loopback, and `close` ends every process that the cluster started. Each wait has a
condition and a timeout; `ClusterError` names the condition that was not met.
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

from onyxhollow.lab.fleet.configuration_files import format_address, write_configuration
from onyxhollow.lab.fleet.proxied_links import LinkFault, LinkRule, ProxiedLinks
from onyxhollow.lab.fleet.record import Hold, HoldTracker, LogLine, Verdict, check_holds
from onyxhollow.lab.fleet.stand_ins import LedgerService, ListService
from onyxhollow.lab.interrupts import deferred_interrupts
from onyxhollow.lab.sockets.proxies import free_address
from onyxhollow.loop import Loop

ROOT = Path(__file__).resolve().parents[3]
KEY = "6f6e7978686f6c6c6f772d747269616c"
MAX_TURN_SECONDS = 0.02
LOG_READ_INTERVAL_SECONDS = 0.05
CUT = LinkFault(cut=True)
MAX_MEMBERS_WITH_MEMBER_LINES = 20  # in larger clusters, `lines` omits "member" events


class ClusterError(Exception):
    """A condition was not met within its timeout, or a process did not start."""


def server_row(number: int, zones: tuple[str, ...]) -> dict[str, Any]:
    """Return the endpoint list row of a server that does not exist; no proxy can connect to it."""
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
    """One process of a member; each restart or replacement is a new `Process`."""

    def __init__(self, cluster: ProcessCluster, name: str, run_number: int, successor: bool = False) -> None:
        self.cluster, self.name, self.run_number, self.successor = cluster, name, run_number, successor
        self.slot = f"{name}+" if successor else name
        self.title = f"{name}.{run_number}"
        self.log_path = cluster.folder / f"{self.title}.log"
        self.fault_file = cluster.folder / f"{self.title}.trial"
        self.management = free_address(cluster.host(name, 2), socket.SOCK_STREAM)
        self.child: subprocess.Popen[bytes] | None = None
        self.read_offset, self.partial_line = 0, b""
        self.stopped = False
        self.resumptions: list[float] = []  # when `resume` continued it
        self.ended_at = 0.0
        self.expected_end = False

    def start(self, environment: Mapping[str, str], fds: Iterable[int] = ()) -> None:
        """Run `serve` with its management address and fault file in the environment; it inherits `fds`."""
        with self.log_path.open("wb") as log, deferred_interrupts():
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
        """The process id; only valid after `start`."""
        assert self.child is not None
        return self.child.pid

    @property
    def alive(self) -> bool:
        """Whether the process was started and has not ended; a stopped one is alive."""
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)


class ProcessCluster:
    """A fleet of real processes with injectable faults, driven by an event loop in the calling process."""

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
        """Allocate all addresses, but start no process; the fleet file gets `extra_fleet_settings` too."""
        self.folder, self.seed, self.lease = folder, seed, lease
        self._prepare_folder()
        self._create_network([server_row(number, zones) for number in range(servers)])
        self.names = [f"n{number}" for number in range(members)]
        self.zones = {name: zones[number % len(zones)] for number, name in enumerate(self.names)}
        self.voters = self.names[:voters]
        self.spare_voters: tuple[str, ...] = ()  # members with a state folder that are not voters yet
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
        self._create_process_records()
        self._allocate_addresses()

    def _prepare_folder(self) -> None:
        """Create the folder with the key of the fleet, and delete the state of an earlier run in it."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "key").write_text(KEY + "\n")
        for stale_folder in self.folder.glob("state-*"):
            shutil.rmtree(stale_folder)

    def _create_network(self, server_rows: list[dict[str, Any]]) -> None:
        """Create the event loop, the proxied links and the stand-ins; the list service has these rows."""
        self.failures: list[str] = []
        self.loop = Loop(lambda where, error: self.failures.append(f"{where}: {error!r}"))
        self.rng = Random(self.seed)
        self.links = ProxiedLinks(self.loop, self.rng)
        self.list_service = ListService(self.loop, self.links, server_rows)
        self.ledger = LedgerService(self.loop, self.links)
        self.stand_ins = (self.list_service, self.ledger)

    def _create_process_records(self) -> None:
        """Create the records of processes and of what their logs tell, all empty."""
        self.processes: list[Process] = []
        self.current: dict[str, Process] = {}  # current process, by member
        self.lines: list[LogLine] = []
        self.clock_rates: dict[str, float] = {}
        self.hold_tracker = HoldTracker(self.clock_rates)
        self.member_counts: dict[str, int] = {}  # by process: number of members that it sees
        self.process_faults: dict[str, dict[str, Any]] = {}
        self.next_log_read_at = 0.0
        self.crashes: list[str] = []

    def _allocate_addresses(self) -> None:
        """Reserve the listener, process and proxied addresses of all members."""
        self.advertised_addresses: dict[str, tuple[str, int]] = {}  # proxied addresses, by slot
        self.process_addresses: dict[str, tuple[str, int]] = {}
        self.held_sockets: dict[str, socket.socket] = {}  # listener sockets passed to members, by name
        self.listen_addresses: dict[str, tuple[str, int]] = {}
        for name in self.names:
            self.give_addresses(name, name)
            self.listen_addresses[name] = free_address(self.host(name, 1), socket.SOCK_STREAM)

    def host(self, name: str, net: int) -> str:
        """Return a loopback host of the member: in net 1 for its listener, in 2 process, in 3 proxy."""
        number = int(name.rstrip("+")[1:])
        return f"127.{net}.{number // 200}.{number % 200 + 1}"

    def give_addresses(self, name: str, slot: str) -> None:
        """Reserve the addresses of a slot, and open the proxy socket between them."""
        self.process_addresses[slot] = free_address(self.host(name, 2), socket.SOCK_DGRAM)
        self.advertised_addresses[slot] = free_address(self.host(name, 3), socket.SOCK_DGRAM)
        self.links.add(slot, self.process_addresses[slot], self.advertised_addresses[slot])

    # Processes

    def environment(self, name: str, config: Path, fleet: Path) -> dict[str, str]:
        """Return the environment of a member, without inherited LB_ variables; create its TMPDIR."""
        variables = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        scratch = self.folder / f"tmp-{name}"
        scratch.mkdir(exist_ok=True)
        variables |= {"LB_CONFIG": str(config), "TMPDIR": str(scratch), "PYTHONDONTWRITEBYTECODE": "1"}
        return variables | ({"LB_FLEET": str(fleet)} if self.fleet else {})

    def replace(self, name: str) -> Process:
        """Start a successor that takes over the listener socket, and terminate the current process."""
        predecessor = self.current[name]
        successor = Process(
            self, name, 1 + sum(process.name == name for process in self.processes), not predecessor.successor
        )
        if successor.slot not in self.process_addresses:
            self.give_addresses(name, successor.slot)
        self.launch(successor)
        self.wait(
            lambda: self.log_lines(successor.title, "successor"),
            10,
            f"{successor.title} has taken over the listener socket",
        )
        self.current[name] = successor
        predecessor.expected_end = True
        predecessor.send_signal(signal.SIGTERM)
        self.wait(lambda: not predecessor.alive, 10, f"{predecessor.title} has ended")
        predecessor.ended_at = time.monotonic()
        return successor

    def launch(self, process: Process) -> None:
        """Start a process; pass it the listener socket if the cluster holds one for its member."""
        name = process.name
        config, fleet = write_configuration(self, process)
        variables = self.environment(name, config, fleet)
        fds: tuple[int, ...] = ()
        if name in self.held_sockets:
            variables["LB_LISTEN_FD"] = str(self.held_sockets[name].fileno())
            fds = (self.held_sockets[name].fileno(),)
        self.processes.append(process)  # before the start, so that `close` ends it after an interrupt
        process.start(variables, fds)
        if rate := self.process_faults.get(name, {}).get("rate"):
            self.clock_rates[process.title] = rate

    def start(self, *names: str, wait: bool = True) -> None:
        """Start a new process for each of these members, or for all; with `wait`, until all have started."""
        for name in names or self.names:
            process = Process(self, name, 1 + sum(process.name == name for process in self.processes))
            self.launch(process)
            self.current[name] = process
        if wait:
            wanted = [self.current[name] for name in names or self.names]
            self.wait(
                lambda: all(self.log_lines(process.title, "start") for process in wanted),
                20 + len(wanted) / 4,
                "all started",
            )

    def set_process_faults(self, name: str, **values: Any) -> None:
        """Change the faults that are injected into a member's process and into its later processes."""
        self.process_faults[name] = {**self.process_faults.get(name, {}), **values}
        if process := self.current.get(name):
            new_file = process.fault_file.with_suffix(".new")
            new_file.write_bytes(orjson.dumps(self.process_faults[name]))
            new_file.rename(process.fault_file)

    def hold_socket(self, name: str) -> None:
        """Open a member's listener socket here, so that it outlives the process; call before `start`."""
        sock = socket.create_server(self.listen_addresses[name], backlog=256)
        sock.set_inheritable(True)
        self.held_sockets[name] = sock

    def stop(self, name: str) -> None:
        """Suspend a member's process with SIGSTOP; `resume` continues it."""
        self.current[name].stopped = True
        self.current[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a stopped process with SIGCONT, and record the time for the check of late actions."""
        process = self.current[name]
        process.stopped = False
        process.resumptions.append(time.monotonic())
        process.send_signal(signal.SIGCONT)

    def kill(self, *names: str) -> None:
        """Kill the processes of these members, stopped ones too, and wait for their ends."""
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
        """Shut down a member with SIGTERM and wait for the end of its process."""
        process = self.current[name]
        process.expected_end = True
        process.send_signal(signal.SIGTERM)
        self.wait(lambda: not process.alive, within, f"{name} has ended")
        process.ended_at = time.monotonic()

    def delete_state_folder(self, name: str) -> None:
        """Delete what a voter has stored; its process must have ended."""
        shutil.rmtree(self.folder / f"state-{name}", ignore_errors=True)

    # Links

    def cut(
        self, source: Iterable[str] | None, target: Iterable[str] | None, both: bool = True
    ) -> list[LinkRule]:
        """Cut the links from `source` to `target`, and with `both` those back; `heal` ends it."""
        return self.add_link_fault(CUT, source, target, both)

    def add_link_fault(
        self, fault: LinkFault, source: Iterable[str] | None, target: Iterable[str] | None, both: bool = True
    ) -> list[LinkRule]:
        """Add a fault to the links from `source` to `target`, and with `both` to those back.

        None stands for any name.
        """
        source_names, target_names = (None if side is None else list(side) for side in (source, target))
        rules = [self.links.add_rule(fault, source_names, target_names)]
        if both and (source_names, target_names) != (target_names, source_names):
            rules.append(self.links.add_rule(fault, target_names, source_names))
        self.apply_link_faults()
        return rules

    def heal(self, rules: Iterable[LinkRule] = ()) -> None:
        """Remove these link faults, or all if none are given."""
        self.links.remove_rules(*rules)
        self.apply_link_faults()

    def apply_link_faults(self) -> None:
        """Make the TCP connections to the stand-ins follow the link faults."""
        for stand_in in self.stand_ins:
            stand_in.apply_link_faults()

    # Event loop and logs

    def run_once(self, longest: float = MAX_TURN_SECONDS) -> None:
        """Run one turn of the event loop, for at most `longest` seconds, and read the logs if due."""
        for stand_in in self.stand_ins:
            stand_in.last_polled_at = self.loop.now
        self.loop.turn(longest)
        if time.monotonic() >= self.next_log_read_at:
            self.read_logs()
            self.next_log_read_at = time.monotonic() + LOG_READ_INTERVAL_SECONDS

    def run_for(self, seconds: float) -> None:
        """Run the cluster for some seconds without waiting for a condition."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.run_once(min(MAX_TURN_SECONDS, max(0.0, until - time.monotonic())))

    def wait(self, condition: Callable[[], Any], within: float, description: str) -> Any:
        """Run the cluster until `condition` returns a true value, and return that value."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if result := condition():
                return result
            self.run_once()
        self.read_logs()
        if result := condition():
            return result
        raise ClusterError(f"expected within {within:g} s: {description}; {self.describe_state()}")

    def describe_state(self) -> str:
        """Return the states of members, the latest duty changes and the first failures as one text."""
        member_states = [
            f"{name}: {'stopped' if process.stopped else 'up' if process.alive else 'down'}"
            for name, process in self.current.items()
        ]
        duty_changes = [
            f"{line.process} {line.fields['change']} {line.fields['duty']} {line.fields['term']}"
            for line in self.lines
            if line.event == "duty"
        ]
        failures = [
            f"{line.process}: {line.fields.get('trace', '')[-300:]}"
            for line in self.lines
            if line.event == "failure"
        ]
        return "; ".join([", ".join(member_states[:12]), *duty_changes[-6:], *failures[:2]])

    def read_logs(self) -> None:
        """Process the new rows of all logs, and record processes that ended unexpectedly."""
        for process in self.processes:
            if process.child is None:
                continue
            if not process.alive and not process.ended_at:
                process.ended_at = time.monotonic()
                if not process.expected_end:
                    self.crashes.append(f"{process.title}: exit {process.child.returncode}")
            with contextlib.suppress(OSError), process.log_path.open("rb") as file:
                file.seek(process.read_offset)
                data = file.read()
                process.read_offset += len(data)
                *rows, process.partial_line = (process.partial_line + data).split(b"\n")
                for row in rows:
                    self.process_log_row(process, row)

    def process_log_row(self, process: Process, row: bytes) -> None:
        """Record the event of a log row; a row that is not JSON, such as a traceback, counts as a crash."""
        try:
            fields = orjson.loads(row)
        except ValueError:
            self.crashes.append(f"{process.title}: {row[:200].decode(errors='replace')}")
            return
        line = LogLine(fields.get("at", time.monotonic()), process.title, fields["event"], fields)
        self.hold_tracker.process_line(line)
        if line.event == "member":
            self.member_counts[process.title] = fields["there"]
        if line.event != "lease" and (
            line.event != "member" or len(self.names) <= MAX_MEMBERS_WITH_MEMBER_LINES
        ):
            self.lines.append(line)

    # State from the logs and the management API

    def log_lines(self, process: str, event: str, **values: Any) -> list[LogLine]:
        """Return the log lines of a process for an event, with these values in their fields."""
        return [
            line
            for line in self.lines
            if line.process == process
            and line.event == event
            and all(line.fields.get(name) == value for name, value in values.items())
        ]

    def polling_suspended(self) -> list[bool]:
        """Return for each running member whether it has suspended its own list polling.

        A member that becomes the publisher polls again, and logs this only as the start of its duty.
        """
        list_duties = {duty["name"] for duty in self.duties if duty["work"] == "list"}
        suspended: dict[str, bool] = {}
        for line in self.lines:
            if line.event in ("list polling suspended", "list polling resumed"):
                suspended[line.process] = line.event == "list polling suspended"
            elif line.event == "duty" and line.fields["change"] == "held":
                if line.fields["duty"].partition("/")[0] in list_duties:
                    suspended[line.process] = False
        return [suspended.get(process.title, False) for process in self.current.values() if process.alive]

    def holds(self) -> list[Hold]:
        """Return the holds of all duties by start time, as far as the logs have been read."""
        ends = {process.title: process.ended_at for process in self.processes if process.ended_at}
        return self.hold_tracker.sorted_holds(ends)

    def holder(self, duty: str = "ledger") -> str:
        """Return the member that holds a duty now according to its own log, or an empty string."""
        now = time.monotonic()
        current_holds = [
            hold for hold in self.holds() if hold.duty == duty and not hold.ended and hold.until > now
        ]
        return current_holds[-1].process.partition(".")[0] if current_holds else ""

    def wait_holder(self, duty: str = "ledger", other_than: str = "", within: float = 0.0) -> str:
        """Wait until a duty has a holder, and return its member; by default for 8 leases and 5 s."""
        timeout = within or 8 * self.lease + 5
        return str(
            self.wait(
                lambda: (holder := self.holder(duty)) and holder != other_than and holder,
                timeout,
                f"a holder of {duty}" + (f" other than {other_than}" if other_than else ""),
            )
        )

    def wait_until_holder_known(self, name: str, duty: str, holder: str = "", within: float = 10.0) -> None:
        """Wait until a member's status shows the holder of a duty.

        The holder's own log has it earlier than the status of the other members.
        """

        def is_holder_known() -> bool:
            holders = {row["duty"]: row["holder"].rpartition("~")[0] for row in self.query(name)["duties"]}
            return bool(known_holder := holders.get(duty)) and known_holder == (holder or known_holder)

        self.wait(is_holder_known, within, f"{name} shows the holder of {duty}")

    def wait_members(self, count: int = 0, within: float = 15.0) -> None:
        """Wait until all running members see all members, or `count` of them."""
        expected_count = count or len(self.names)

        def all_see_all() -> bool:
            return all(
                self.visible_members(process) == expected_count
                for process in self.current.values()
                if process.alive and not process.stopped
            )

        self.wait(all_see_all, within + expected_count / 8, f"{expected_count} members seen by all")

    def wait_lists(self, within: float = 15.0) -> None:
        """Wait until all running members have the endpoint list; before that they reject clients.

        The members of a fleet poll the list one after another.
        """
        running = [process for process in self.current.values() if process.alive and not process.stopped]
        self.wait(
            lambda: all(self.log_lines(process.title, "list") for process in running),
            within,
            "all have the list",
        )

    def visible_members(self, process: Process) -> int:
        """Return the number of members that the process sees, itself included."""
        return self.member_counts.get(process.title, 1)

    def http_request(self, name: str, target: str, method: str = "GET") -> tuple[bytes, bytes]:
        """Send a request to a member's management API; return the status line and the body.

        The cluster keeps running while the request is in flight.
        """
        host, port = self.current[name].management
        with socket.create_connection((host, port), timeout=2.0) as sock:
            sock.sendall(f"{method} {target} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
            sock.setblocking(False)
            received = bytearray()

            def is_closed_by_peer() -> bool:
                with contextlib.suppress(BlockingIOError):
                    while data := sock.recv(65536):
                        received.extend(data)
                    return True
                return False

            self.wait(is_closed_by_peer, 3.0, f"{name} answers {target}")
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        return head.split(b"\r\n")[0], body

    def query(self, name: str, path: str = "", method: str = "GET", base: str = "/control/fleet") -> Any:
        """Return the decoded JSON answer of the management API, or the text of an answer that is not JSON."""
        status, body = self.http_request(name, f"{base}{path}", method)
        if b" 200 " not in status:
            return body.decode()
        return orjson.loads(body) if body[:1] in b"{[" else body.decode()

    def verdict(self) -> Verdict:
        """Check all holds and ledger actions so far."""
        self.read_logs()
        resumptions = {process.title: process.resumptions for process in self.processes}
        return check_holds(self.holds(), self.ledger.actions, self.hold_tracker.slow_writes, resumptions)

    def close(self) -> None:
        """Kill all processes, wait for their ends and close all sockets."""
        for process in self.processes:
            process.expected_end = True
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            if process.child is not None:
                process.child.wait()
        for stand_in in self.stand_ins:
            stand_in.close()
        for sock in self.held_sockets.values():
            sock.close()
        self.links.close()
        self.loop.epoll.close()

    def __enter__(self) -> ProcessCluster:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
