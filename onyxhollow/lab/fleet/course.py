"""A course: a fleet and the faults that befall it, as a TOML file; played on real processes and judged."""

from __future__ import annotations

import signal
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, Literal

import msgspec
from msgspec.structs import replace

from onyxhollow.fleet.file import explain_validation_error
from onyxhollow.lab.fleet.process_cluster import ClusterError, ProcessCluster
from onyxhollow.lab.fleet.proxied_links import LinkFault, LinkRule
from onyxhollow.lab.fleet.record import Hold, Verdict

HERE = Path(__file__).parent / "courses"
Processes = Literal["kill", "stop", "term", "restart", "disk", "fsync", "wall"]
Others = Literal["cut", "loss", "delay", "copies", "list", "ledger", "hand-over", "release", "drain"]


class CourseError(Exception):
    """A course file that can't be used; the text says where, what was expected and what was got."""


class Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file."""


class Fault(Table, frozen=True):
    """What befalls whom. who, to: members by name, or "holder:DUTY", "zone:NAME", "voters", "random:N",
    "all"; of links also "list" and "ledger"."""

    kind: Processes | Others
    at: float  # seconds from when all see all
    lasts: float = 0.0  # seconds; 0: to the end (kill, term: not started again)
    every: float = 0.0  # seconds after which it befalls again, until the end
    who: tuple[str, ...] = ("all",)
    to: tuple[str, ...] = ("all",)
    way: Literal["both", "out", "in"] = "both"
    value: float = 0.0  # loss, copies: share; wall: seconds
    between: tuple[float, float] = (0.0, 0.0)  # delay, of copies that of the copy: seconds
    folder: bool = True  # whether a voter keeps its memory over it
    how: Literal["down", "silent", "frozen"] = "down"  # of the list service


class Course(Table, frozen=True):
    about: str
    seconds: float
    members: int = 3
    voters: int = 3
    zones: tuple[str, ...] = ("a",)
    seed: int = 1
    lease: float = 1.0
    rate_bound: float = 0.01
    rates: dict[str, float] = {}  # of members' lease clocks
    broken: str = ""  # a bug of broken.py, in every member
    steady: float = 3600.0
    patience: float = 3.0
    period: float = 0.4
    listing: bool = False  # whether the duty of the list is there too
    fault: list[Fault] = []


def shipped() -> list[str]:
    return sorted(path.stem for path in HERE.glob("*.toml"))


def read(name: str) -> Course:
    """A shipped course by its name, or a file."""
    path = Path(name) if name.endswith(".toml") else HERE / f"{name}.toml"
    try:
        course = msgspec.toml.decode(path.read_bytes(), type=Course)
    except OSError as error:
        raise CourseError(f"{path}: {error.strerror}; shipped: {', '.join(shipped())}") from None
    except msgspec.ValidationError as error:
        raise CourseError(f"{path}: {explain_validation_error(error)}") from None
    except msgspec.DecodeError as error:
        raise CourseError(f"{path}: expected TOML, got something else: {error}") from None
    for key, value, low, high in (
        ("seconds", course.seconds, 1.0, 3600.0),
        ("members", course.members, 3, 400),
        ("lease", course.lease, 0.2, 60.0),
    ):
        if not low <= value <= high:
            raise CourseError(f"{path}: {key}: expected {low:g} to {high:g}, got {value:g}")
    if course.voters not in (3, 5, 7) or course.voters > course.members:
        raise CourseError(f"{path}: voters: expected 3, 5 or 7 of the members, got {course.voters}")
    return course


def scaled(course: Course, factor: float) -> Course:
    """The same course in a share of its time, leases and all."""
    faults = [
        replace(
            fault,
            at=fault.at * factor,
            lasts=fault.lasts * factor,
            every=fault.every * factor,
            between=(fault.between[0] * factor, fault.between[1] * factor),
        )
        for fault in course.fault
    ]
    times = {name: getattr(course, name) * factor for name in ("seconds", "lease", "patience", "period")}
    return replace(course, fault=faults, **times)


@dataclass
class Report:
    verdict: Verdict
    faults: int = 0
    gaps: list[float] = field(default_factory=list)  # seconds without a holder, of each change
    planned: list[float] = field(default_factory=list)  # the same, of hand-overs
    holder: bool = False  # whether every duty had a holder in the end
    crashes: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    list_callers: int = 0  # members that called the list service in the last 5 s

    @property
    def clean(self) -> bool:
        return self.verdict.clean and self.holder and not self.crashes and not self.failures

    def figures(self) -> dict[str, Any]:
        return {
            "clean": self.clean,
            "holds": self.verdict.holds,
            "faults": self.faults,
            "overlaps": self.verdict.overlaps[:5],
            "stale": self.verdict.stale[:5],
            "late": self.verdict.late[:5],
            "falling": self.verdict.falling[:5],
            "gap_median_s": round(statistics.median(self.gaps), 3) if self.gaps else None,
            "gap_worst_s": round(max(self.gaps), 3) if self.gaps else None,
            "planned_gap_worst_ms": round(1000 * max(self.planned), 1) if self.planned else None,
            "holder_at_end": self.holder,
            "list_callers": self.list_callers,
            "crashes": self.crashes[:5],
            "failures": self.failures[:5],
        }


def gaps(found: list[Hold]) -> tuple[list[float], list[float]]:
    """Seconds from the end of one hold to the next one's begin: of all changes, and of the planned ones."""
    by_duty: dict[str, list[Hold]] = {}
    for hold in sorted(found, key=lambda hold: hold.since):
        by_duty.setdefault(hold.duty, []).append(hold)
    every: list[float] = []
    planned: list[float] = []
    for rows in by_duty.values():
        for one, other in zip(rows, rows[1:], strict=False):
            gap = max(0.0, other.since - one.until)
            every.append(gap)
            if one.ended and one.cause in ("operator", "leaving", "stopped", "replaced", "preferred"):
                planned.append(gap)
    return every, planned


class Player:
    """Plays a course on a rig."""

    def __init__(self, course: Course, folder: Path) -> None:
        self.course, self.rng = course, Random(course.seed)
        duties: list[dict[str, Any]] = [{"name": "ledger", "work": "call", "every": 0.1}]
        if course.listing:
            duties.append({"name": "list", "work": "list", "per": "zone", "every": 0.5})
        self.cluster = ProcessCluster(
            folder,
            members=course.members,
            voters=course.voters,
            zones=course.zones,
            seed=course.seed,
            lease=course.lease,
            rate_bound=course.rate_bound,
            steady=course.steady,
            patience=course.patience,
            period=course.period,
            duties=duties,
        )
        for name in self.cluster.names:
            told = {"rate": course.rates[name]} if name in course.rates else {}
            self.cluster.process_faults[name] = told | ({"broken": course.broken} if course.broken else {})
        self.faults = 0
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.number += 1
        self.agenda.append((when, self.number, call))

    def names(self, told: tuple[str, ...]) -> list[str]:
        found: list[str] = []
        for word in told:
            kind, _, rest = word.partition(":")
            if word == "all":
                found += self.cluster.names
            elif word == "voters":
                found += self.cluster.voters
            elif kind == "holder":
                found += [name for name in [self.cluster.holder(rest)] if name]
            elif kind == "zone":
                found += [name for name in self.cluster.names if self.cluster.zones[name] == rest]
            elif kind == "random":
                found += self.rng.sample(self.cluster.names, min(len(self.cluster.names), int(rest)))
            elif word in self.cluster.names or word in ("list", "ledger"):
                found.append(word)
            else:
                raise CourseError(f"who, to: expected a member or a group, got {word!r}")
        return list(dict.fromkeys(found))

    def befall(self, fault: Fault, now: float) -> None:
        if fault.every:
            self.at(now + fault.every, lambda: self.befall(fault, now + fault.every))
        who = self.names(fault.who)
        if not who and fault.kind not in ("list", "ledger", "drain"):
            return
        self.faults += 1
        undo = self.begin(fault, who)
        if fault.lasts and undo:
            self.at(now + fault.lasts, undo)

    def begin(self, fault: Fault, who: list[str]) -> Callable[[], None] | None:
        cluster, kind = self.cluster, fault.kind
        if kind in ("kill", "restart", "term"):
            if kind == "term":
                for name in who:
                    cluster.current[name].expected_end = True
                    cluster.current[name].send_signal(signal.SIGTERM)
            else:
                cluster.kill(*who)
            if kind == "restart":
                self.again(who, fault.folder)
                return None
            return lambda: self.again(who, fault.folder)
        if kind == "stop":
            for name in who:
                cluster.stop(name)
            return lambda: self.each(who, cluster.resume)
        if kind in ("cut", "loss", "delay", "copies"):
            return self.harm(fault, who)
        if kind in ("disk", "fsync", "wall"):
            at_work = {"disk": ("write", "full"), "fsync": ("fsync", "fails"), "wall": ("wall", fault.value)}
            key, value = at_work[kind]
            self.each(who, lambda name: cluster.set_process_faults(name, **{key: value}))
            return lambda: self.each(
                who, lambda name: cluster.set_process_faults(name, **{key: 0 if kind == "wall" else ""})
            )
        if kind == "list":
            setattr(cluster.list_service, fault.how, True)
            return lambda: setattr(cluster.list_service, fault.how, False)
        if kind == "ledger":
            cluster.ledger.silent = True
            return lambda: setattr(cluster.ledger, "silent", False)
        if kind == "drain":
            cluster.list_service.update_row(
                self.rng.choice(sorted(cluster.list_service.rows)), health="leaving"
            )
            return None
        duty = fault.to[0] if fault.to != ("all",) else "ledger"
        if kind == "hand-over":
            others = [
                name for name in cluster.names if name != cluster.holder(duty) and cluster.current[name].alive
            ]
            cluster.query(who[0], f"/hand-over?name={duty}&to={self.rng.choice(others)}", "POST")
        else:
            cluster.query(who[0], f"/release?name={duty}", "POST")
        return None

    @staticmethod
    def each(who: list[str], call: Callable[[str], None]) -> None:
        for name in who:
            call(name)

    def again(self, who: list[str], folder: bool) -> None:
        for name in who:
            if self.cluster.current[name].alive:
                self.cluster.kill(name)
            if not folder:
                self.cluster.delete_state_folder(name)
            self.cluster.start(name, wait=False)

    def harm(self, fault: Fault, who: list[str]) -> Callable[[], None]:
        harm = {
            "cut": LinkFault(cut=True),
            "loss": LinkFault(loss=fault.value),
            "delay": LinkFault(delay=fault.between),
            "copies": LinkFault(copies=fault.value, copy_delay=fault.between),
        }[fault.kind]
        to = None if fault.to == ("all",) else self.names(fault.to)
        rules: list[LinkRule] = []
        if fault.way in ("both", "out"):
            rules += self.cluster.add_link_fault(harm, who, to, both=False)
        if fault.way in ("both", "in"):
            rules += self.cluster.add_link_fault(harm, to, who, both=False)
        return lambda: self.cluster.heal(rules)

    def play(self, progress: Callable[[Player, float], None] = lambda player, now: None) -> Report:
        cluster, course = self.cluster, self.course
        try:
            cluster.start()
            cluster.wait_members(within=30)
            cluster.wait_holder("ledger", within=30)
            began = cluster.loop.now
            for fault in course.fault:
                self.at(fault.at, lambda fault=fault: self.befall(fault, fault.at))  # type: ignore[misc]
            shown = 0.0
            while (now := cluster.loop.now - began) < course.seconds:
                for row in sorted(row for row in self.agenda if row[0] <= now):
                    self.agenda.remove(row)
                    row[2]()
                cluster.run_once()
                if now - shown >= 0.5:
                    shown = now
                    progress(self, now)
            cluster.heal()
            cluster.list_service.down = cluster.list_service.silent = cluster.list_service.frozen = (
                cluster.ledger.silent
            ) = False
            holder = self.holder_comes()
            cluster.read_logs()
            found = cluster.holds()
            every, planned = gaps(found)
            failed = [
                f"{line.process}: {line.fields.get('error')}"
                for line in cluster.lines
                if line.event == "failure"
            ]
            callers = cluster.list_service.count_callers(cluster.loop.now - 5.0, cluster.loop.now + 1.0)
            return Report(
                cluster.verdict(),
                self.faults,
                every,
                planned,
                holder,
                cluster.crashes,
                [*failed, *cluster.failures],
                callers,
            )
        finally:
            cluster.close()

    def holder_comes(self) -> bool:
        """All faults over, somebody holds within some leases."""
        for name, process in self.cluster.current.items():
            if process.stopped:
                self.cluster.resume(name)
        try:
            self.cluster.wait_holder("ledger", within=20 * self.course.lease + 10)
        except ClusterError:
            return False
        return True
