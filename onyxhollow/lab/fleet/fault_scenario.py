"""Fault scenarios: a fleet and its faults from a TOML file, run on a process cluster and checked."""

from __future__ import annotations

import signal
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, Literal

import msgspec
from msgspec.structs import replace

from onyxhollow.fleet.file import explain_validation_error
from onyxhollow.lab.fleet.process_cluster import ClusterError, ProcessCluster
from onyxhollow.lab.fleet.proxied_links import LinkFault, LinkRule
from onyxhollow.lab.fleet.record import Hold, Verdict

SCENARIO_FOLDER = Path(__file__).parent / "courses"
ProcessFaultKind = Literal["kill", "stop", "term", "restart", "disk", "fsync", "wall"]
OtherFaultKind = Literal["cut", "loss", "delay", "copies", "list", "ledger", "hand-over", "release", "drain"]


class FaultScenarioError(Exception):
    """A fault scenario is invalid; the text gives the place, the expected value and the actual value."""


class ScenarioTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of the tables of a scenario file; the fields are the keys of the table."""


class Fault(ScenarioTable, frozen=True):
    """One fault of a scenario and its targets.

    `who` and `to` name members, or groups: "holder:DUTY", "zone:NAME", "voters", "random:N", "all". For
    faults of links they may also name the stand-ins "list" and "ledger".
    """

    kind: ProcessFaultKind | OtherFaultKind
    at: float  # seconds after all members see each other
    lasts: float = 0.0  # seconds; 0: until the end (after kill and term, the process is not started again)
    every: float = 0.0  # seconds between repetitions, until the end; 0: not repeated
    who: tuple[str, ...] = ("all",)
    to: tuple[str, ...] = ("all",)
    way: Literal["both", "out", "in"] = "both"
    value: float = 0.0  # loss, copies: share of the datagrams; wall: seconds
    between: tuple[float, float] = (0.0, 0.0)  # seconds; delay: of the datagram, copies: of the copy
    folder: bool = True  # whether the process keeps its state folder when it is started again
    how: Literal["down", "silent", "frozen"] = "down"  # of the list service


class FaultScenario(ScenarioTable, frozen=True):
    """The settings of a fleet and the faults to cause."""

    about: str
    seconds: float
    members: int = 3
    voters: int = 3
    zones: tuple[str, ...] = ("a",)
    seed: int = 1
    lease: float = 1.0
    rate_bound: float = 0.01
    rates: dict[str, float] = {}  # rates of the lease clocks, by member
    broken: str = ""  # an injected bug (injected_bugs.py) for every member
    steady: float = 3600.0
    patience: float = 3.0
    period: float = 0.4
    listing: bool = False  # whether there is also a lease for the endpoint list
    fault: list[Fault] = []


def shipped_scenarios() -> list[str]:
    """Return the names of the scenarios in SCENARIO_FOLDER, which `read` accepts."""
    return sorted(path.stem for path in SCENARIO_FOLDER.glob("*.toml"))


def read(name: str) -> FaultScenario:
    """Read a shipped scenario by its name, or a scenario file by its path."""
    path = Path(name) if name.endswith(".toml") else SCENARIO_FOLDER / f"{name}.toml"
    try:
        scenario = msgspec.toml.decode(path.read_bytes(), type=FaultScenario)
    except OSError as error:
        raise FaultScenarioError(
            f"{path}: {error.strerror}; shipped: {', '.join(shipped_scenarios())}"
        ) from None
    except msgspec.ValidationError as error:
        raise FaultScenarioError(f"{path}: {explain_validation_error(error)}") from None
    except msgspec.DecodeError as error:
        raise FaultScenarioError(f"{path}: expected TOML, got a file that does not parse: {error}") from None
    for key, value, low, high in (
        ("seconds", scenario.seconds, 1.0, 3600.0),
        ("members", scenario.members, 3, 400),
        ("lease", scenario.lease, 0.2, 60.0),
    ):
        if not low <= value <= high:
            raise FaultScenarioError(f"{path}: {key}: expected {low:g} to {high:g}, got {value:g}")
    if scenario.voters not in (3, 5, 7) or scenario.voters > scenario.members:
        raise FaultScenarioError(
            f"{path}: voters: expected 3, 5 or 7 and at most the number of members, got {scenario.voters}"
        )
    return scenario


def scale(scenario: FaultScenario, factor: float) -> FaultScenario:
    """Return the scenario with all its times, including the lease, multiplied by the factor."""
    faults = [
        replace(
            fault,
            at=fault.at * factor,
            lasts=fault.lasts * factor,
            every=fault.every * factor,
            between=(fault.between[0] * factor, fault.between[1] * factor),
        )
        for fault in scenario.fault
    ]
    times = {name: getattr(scenario, name) * factor for name in ("seconds", "lease", "patience", "period")}
    return replace(scenario, fault=faults, **times)


@dataclass
class Report:
    """The result of a run."""

    verdict: Verdict
    faults: int = 0
    gaps: list[float] = field(default_factory=list)  # seconds without a holder, for each change of holder
    planned_gaps: list[float] = field(default_factory=list)  # those of planned changes, such as hand-overs
    holder_at_end: bool = False  # whether the ledger lease had a holder at the end
    crashes: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    list_callers: int = 0  # members that called the list service in the last 5 s

    @property
    def clean(self) -> bool:
        """Whether no invariant was violated, no process failed and the ledger lease has a holder."""
        return self.verdict.clean and self.holder_at_end and not self.crashes and not self.failures

    def figures(self) -> dict[str, Any]:
        """Return the report for output as JSON; lists are cut to their first five entries."""
        return {
            "clean": self.clean,
            "holds": self.verdict.holds,
            "faults": self.faults,
            "overlaps": self.verdict.overlaps[:5],
            "stale": self.verdict.stale[:5],
            "late": self.verdict.late[:5],
            "falling": self.verdict.falling[:5],
            "suspended": self.verdict.suspended[:5],
            "gap_median_s": round(statistics.median(self.gaps), 3) if self.gaps else None,
            "gap_worst_s": round(max(self.gaps), 3) if self.gaps else None,
            "planned_gap_worst_ms": round(1000 * max(self.planned_gaps), 1) if self.planned_gaps else None,
            "holder_at_end": self.holder_at_end,
            "list_callers": self.list_callers,
            "crashes": self.crashes[:5],
            "failures": self.failures[:5],
        }


def compute_gaps(holds: list[Hold]) -> tuple[list[float], list[float]]:
    """Return the seconds between consecutive holds of a lease: for all changes, and for the planned ones."""
    by_duty: dict[str, list[Hold]] = {}
    for hold in sorted(holds, key=lambda hold: hold.since):
        by_duty.setdefault(hold.duty, []).append(hold)
    gaps: list[float] = []
    planned_gaps: list[float] = []
    for rows in by_duty.values():
        for previous, following in zip(rows, rows[1:], strict=False):
            gap = max(0.0, following.since - previous.until)
            gaps.append(gap)
            if previous.ended and previous.cause in (
                "operator",
                "leaving",
                "stopped",
                "replaced",
                "preferred",
            ):
                planned_gaps.append(gap)
    return gaps, planned_gaps


class ScenarioRunner:
    """Runs a fault scenario on a process cluster."""

    def __init__(self, scenario: FaultScenario, folder: Path) -> None:
        self.scenario, self.rng = scenario, Random(scenario.seed)
        duties: list[dict[str, Any]] = [{"name": "ledger", "work": "call", "every": 0.1}]
        if scenario.listing:
            duties.append({"name": "list", "work": "list", "per": "zone", "every": 0.5})
        self.cluster = ProcessCluster(
            folder,
            members=scenario.members,
            voters=scenario.voters,
            zones=scenario.zones,
            seed=scenario.seed,
            lease=scenario.lease,
            rate_bound=scenario.rate_bound,
            steady=scenario.steady,
            patience=scenario.patience,
            period=scenario.period,
            duties=duties,
        )
        for name in self.cluster.names:
            faults = {"rate": scenario.rates[name]} if name in scenario.rates else {}
            self.cluster.process_faults[name] = faults | (
                {"broken": scenario.broken} if scenario.broken else {}
            )
        self.faults = 0
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0

    def schedule(self, due: float, action: Callable[[], None]) -> None:
        """Schedule the action for the given time of the run, in seconds."""
        self.event_number += 1
        self.event_queue.append((due, self.event_number, action))

    def resolve_names(self, targets: tuple[str, ...]) -> list[str]:
        """Return the names of the members and stand-ins that the targets currently refer to."""
        names: list[str] = []
        for target in targets:
            kind, _, value = target.partition(":")
            if target == "all":
                names += self.cluster.names
            elif target == "voters":
                names += self.cluster.voters
            elif kind == "holder":
                names += [name for name in [self.cluster.holder(value)] if name]
            elif kind == "zone":
                names += [name for name in self.cluster.names if self.cluster.zones[name] == value]
            elif kind == "random":
                names += self.rng.sample(self.cluster.names, min(len(self.cluster.names), int(value)))
            elif target in self.cluster.names or target in ("list", "ledger"):
                names.append(target)
            else:
                raise FaultScenarioError(
                    "who, to: expected a member, list, ledger, all, voters, holder:DUTY, zone:NAME or "
                    f"random:N, got {target!r}"
                )
        return list(dict.fromkeys(names))

    def cause_fault(self, fault: Fault, now: float) -> None:
        """Start the fault, and schedule its end and its next repetition."""
        if fault.every:
            self.schedule(now + fault.every, lambda: self.cause_fault(fault, now + fault.every))
        names = self.resolve_names(fault.who)
        if not names and fault.kind not in ("list", "ledger", "drain"):
            return
        self.faults += 1
        undo = self.start_fault(fault, names)
        if fault.lasts and undo:
            self.schedule(now + fault.lasts, undo)

    def start_fault(self, fault: Fault, names: list[str]) -> Callable[[], None] | None:
        """Start the fault at the named members; return the function that ends it, if it has an end."""
        cluster, kind = self.cluster, fault.kind
        if kind in ("kill", "restart", "term"):
            return self.end_processes(fault, names)
        if kind == "stop":
            self.call_for_each(names, cluster.stop)
            return lambda: self.call_for_each(names, cluster.resume)
        if kind in ("cut", "loss", "delay", "copies"):
            return self.start_link_fault(fault, names)
        if kind in ("disk", "fsync", "wall"):
            return self.start_process_fault(fault, names)
        if kind == "list":
            setattr(cluster.list_service, fault.how, True)
            return lambda: setattr(cluster.list_service, fault.how, False)
        if kind == "ledger":
            cluster.ledger.silent = True
            return lambda: setattr(cluster.ledger, "silent", False)
        if kind == "drain":
            host = self.rng.choice(sorted(cluster.list_service.rows))
            cluster.list_service.update_row(host, health="leaving")
        else:
            self.end_lease(fault, names[0])
        return None

    def end_processes(self, fault: Fault, names: list[str]) -> Callable[[], None] | None:
        """Kill, terminate or restart the members; return the function that starts them again, if needed."""
        if fault.kind == "term":
            for name in names:
                self.cluster.current[name].expected_end = True
                self.cluster.current[name].send_signal(signal.SIGTERM)
        else:
            self.cluster.kill(*names)
        if fault.kind == "restart":
            self.restart(names, fault.folder)
            return None
        return lambda: self.restart(names, fault.folder)

    def start_process_fault(self, fault: Fault, names: list[str]) -> Callable[[], None]:
        """Start a fault of the disk or the wall clock of the members; return the function that ends it."""
        settings = {"disk": ("write", "full"), "fsync": ("fsync", "fails"), "wall": ("wall", fault.value)}
        key, value = settings[fault.kind]
        no_fault = 0 if fault.kind == "wall" else ""
        set_faults = self.cluster.set_process_faults
        self.call_for_each(names, lambda name: set_faults(name, **{key: value}))
        return lambda: self.call_for_each(names, lambda name: set_faults(name, **{key: no_fault}))

    def end_lease(self, fault: Fault, member: str) -> None:
        """Have the member hand over its lease to a random other member that is alive, or release it."""
        cluster = self.cluster
        duty = fault.to[0] if fault.to != ("all",) else "ledger"
        if fault.kind == "hand-over":
            holder = cluster.holder(duty)
            others = [name for name in cluster.names if name != holder and cluster.current[name].alive]
            cluster.query(member, f"/hand-over?name={duty}&to={self.rng.choice(others)}", "POST")
        else:
            cluster.query(member, f"/release?name={duty}", "POST")

    @staticmethod
    def call_for_each(names: list[str], call: Callable[[str], None]) -> None:
        """Call a function with each name; a statement for the lambdas that end a fault."""
        for name in names:
            call(name)

    def restart(self, names: list[str], keep_folder: bool) -> None:
        """Kill the members that are alive and start all; without `keep_folder`, delete their state first."""
        for name in names:
            if self.cluster.current[name].alive:
                self.cluster.kill(name)
            if not keep_folder:
                self.cluster.delete_state_folder(name)
            self.cluster.start(name, wait=False)

    def start_link_fault(self, fault: Fault, names: list[str]) -> Callable[[], None]:
        """Start a fault of the links of the named members; return the function that ends it."""
        link_fault = {
            "cut": LinkFault(cut=True),
            "loss": LinkFault(loss=fault.value),
            "delay": LinkFault(delay=fault.between),
            "copies": LinkFault(copies=fault.value, copy_delay=fault.between),
        }[fault.kind]
        targets = None if fault.to == ("all",) else self.resolve_names(fault.to)
        rules: list[LinkRule] = []
        if fault.way in ("both", "out"):
            rules += self.cluster.add_link_fault(link_fault, names, targets, both=False)
        if fault.way in ("both", "in"):
            rules += self.cluster.add_link_fault(link_fault, targets, names, both=False)
        return lambda: self.cluster.heal(rules)

    def run(self, progress: Callable[[ScenarioRunner, float], None] = lambda runner, now: None) -> Report:
        """Run the scenario, end all faults, and return the report; `progress` is called every 0.5 s."""
        cluster = self.cluster
        try:
            cluster.start()
            cluster.wait_members(within=30)
            cluster.wait_holder("ledger", within=30)
            self.run_events(progress)
            self.end_faults()
            holder_at_end = self.wait_for_final_holder()
            cluster.read_logs()
            return self.create_report(holder_at_end)
        finally:
            cluster.close()

    def run_events(self, progress: Callable[[ScenarioRunner, float], None]) -> None:
        """Run the cluster for the time of the scenario, and start and end the faults when they are due."""
        cluster, scenario = self.cluster, self.scenario
        started_at = cluster.loop.now
        for fault in scenario.fault:
            self.schedule(fault.at, partial(self.cause_fault, fault, fault.at))
        reported_at = 0.0
        while (now := cluster.loop.now - started_at) < scenario.seconds:
            for event in sorted(event for event in self.event_queue if event[0] <= now):
                self.event_queue.remove(event)
                event[2]()
            cluster.run_once()
            if now - reported_at >= 0.5:
                reported_at = now
                progress(self, now)

    def end_faults(self) -> None:
        """End the faults of all links and stand-ins; the processes keep theirs."""
        self.cluster.heal()
        list_service = self.cluster.list_service
        list_service.down = list_service.silent = list_service.frozen = False
        self.cluster.ledger.silent = False

    def create_report(self, holder_at_end: bool) -> Report:
        """Return the report from the logs that have been read."""
        cluster = self.cluster
        gaps, planned_gaps = compute_gaps(cluster.holds())
        logged_failures = [
            f"{line.process}: {line.fields.get('error')}" for line in cluster.lines if line.event == "failure"
        ]
        list_callers = cluster.list_service.count_callers(cluster.loop.now - 5.0, cluster.loop.now + 1.0)
        return Report(
            cluster.verdict(),
            self.faults,
            gaps,
            planned_gaps,
            holder_at_end,
            cluster.crashes,
            [*logged_failures, *cluster.failures],
            list_callers,
        )

    def wait_for_final_holder(self) -> bool:
        """Resume all processes; return whether the ledger lease has a holder within 20 leases and 10 s."""
        for name, process in self.cluster.current.items():
            if process.stopped:
                self.cluster.resume(name)
        try:
            self.cluster.wait_holder("ledger", within=20 * self.scenario.lease + 10)
        except ClusterError:
            return False
        return True
