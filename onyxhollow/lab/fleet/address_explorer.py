"""Systematic exploration of the shared-address protocol with one or two faults at every possible point.

This is delay-bounded exploration (Emmi, Qadeer, Rakamaric, 2011), as for duties (explore.py): a scenario is
deterministic except for one or two faults, and it is run with the faults at each point. A point is a message
within the window (lost, delayed past a dwell, or duplicated) or a step of it (controller or announcer stopped
past its lease and resumed, a site cut off, two voters away, a routing daemon restarted). Messages with
evidence get no fault: three members send it at each step, so that one message more or less has no effect.
The random walk (wander.py) does lose them.

The world and its invariants are those of the random walk, with three sites, two addresses and three voters.
Nothing is random here.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from random import Random

from onyxhollow.addresses.messages import HealthReport, Override
from onyxhollow.lab.fleet.wander import SITES, STEP, VOTERS, Member, World

SETTLE_STEPS = 24  # until all sites advertise all addresses
WINDOW_STEPS = 44  # in which faults may occur
RECOVERY_STEPS = 140  # without faults, after which `settled` checks the final state
FAULT_STEPS = 12  # duration of a fault at a step: longer than a lease and than each dwell
MESSAGE_FAULTS = ("lost", "late", "twice")
LONG_STOP_STEPS = 32  # for which an announcer may be stopped during a call
LATE_SECONDS = 8.0  # longer than a withdrawal and its restore
Fault = tuple[str, int]  # kind, number of the message or step


class ConstantRandom(Random):
    """A random stream that always returns 0.5, so that equal delays keep the order of messages."""

    def random(self) -> float:
        return 0.5


def set_health(site: str, health: float = 0.0) -> Callable[[World], None]:
    def change(world: World) -> None:
        world.places[site].health = health

    return change


def give_override(verb: str, site: str, number: int) -> Callable[[World], None]:
    def change(world: World) -> None:
        override = Override(f"o{number}", number, verb, "", site, "w", "y", world.now, world.now + 10.0)
        for voter in VOTERS[:2]:
            world.books[voter].add(override, world.now, world.now)

    return change


# Events of each scenario besides the faults, by step of the window.
SCENARIOS: dict[str, dict[int, Callable[[World], None]]] = {
    "one ill and back": {2: set_health("a"), 20: set_health("a", 1.0)},
    "two ill together": {2: set_health("a"), 3: set_health("b", 0.3), 24: set_health("b", 1.0)},
    "a drain, and another ill": {
        2: give_override("drain", "a", 1),
        6: set_health("b"),
        26: set_health("b", 1.0),
    },
    "all ill, one back": {
        2: set_health("a"),
        4: set_health("b"),
        6: set_health("c"),
        20: set_health("c", 1.0),
    },
    "orders for all": {
        2: give_override("drain", "a", 1),
        5: give_override("exclude", "b", 2),
        8: give_override("drain", "c", 3),
    },
    "two excluded, the last ill": {
        2: give_override("exclude", "b", 1),
        4: give_override("exclude", "c", 2),
        20: set_health("a"),
    },
}
STEP_FAULTS: tuple[str, ...] = (
    "stop keeper",
    "voters away",
    *(f"{what} {site}" for what in ("stop announcer", "long stop", "cut", "speaker") for site in SITES),
)


@dataclass
class Count:
    """Result of an exploration."""

    runs: int = 0
    messages: int = 0
    cut_off: bool = False  # the time limit was reached before all points were tried
    broken: list[str] = field(default_factory=list)


class ExploredWorld(World):
    """The world of the random walk, with faults at given points instead of random ones."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        super().__init__(0)
        self.rng = ConstantRandom(0)
        self.quiet = True  # no random faults
        self.window_open = False  # messages within the window are counted and may get a fault
        self.at_message = {number: fate for fate, number in faults if fate in MESSAGE_FAULTS}
        self.at_step: dict[int, list[str]] = {}
        for what, number in faults:
            if what not in MESSAGE_FAULTS:
                self.at_step.setdefault(number, []).append(what)
        self.fault_ends: dict[int, list[Callable[[], None]]] = {}
        self.sent = 0

    def fate(self) -> str:
        """Return the fault of the next message of the window, or an empty string."""
        self.sent += self.window_open
        return self.at_message.get(self.sent, "") if self.window_open else ""

    def send(self, call: Callable[[], None], cut: bool = False) -> None:
        if cut:
            return
        evidence = any(isinstance(argument, HealthReport) for argument in getattr(call, "args", ()))
        fate = "" if evidence else self.fate()
        if fate != "lost":
            self.later(LATE_SECONDS if fate == "late" else 0.05, call)
        if fate == "twice":
            self.later(LATE_SECONDS, call)

    def to_gate(self, holder: Member, arrive: Callable[[], None]) -> None:
        """Deliver a call to the route guard; a late one may arrive before or after other calls."""
        fate = self.fate()

        def when_resumed() -> None:
            if holder.stopped_until > self.now:  # stopped during the call: it continues on resume
                self.later(holder.stopped_until - self.now + STEP, when_resumed)
            else:
                arrive()

        for delay in {"": (0.01,), "lost": (), "late": (LATE_SECONDS,), "twice": (0.01, LATE_SECONDS)}[fate]:
            self.later(delay, when_resumed)

    def apply_step_fault(self, what: str, step: int) -> None:
        kind, _, name = what.rpartition(" ")
        ends = self.fault_ends.setdefault(step + FAULT_STEPS, [])
        if what == "stop keeper":
            if keeper := self.keeper():
                keeper.stopped_until = self.now + FAULT_STEPS * STEP
        elif what == "voters away":
            self.away = set(VOTERS[:2])
            ends.append(self.away.clear)
        elif kind in ("stop announcer", "long stop"):
            if holders := self.places[name].announcers:
                holders[-1].stopped_until = (
                    self.now + (LONG_STOP_STEPS if kind == "long stop" else FAULT_STEPS) * STEP
                )
        else:
            place, label = self.places[name], "cut" if kind == "cut" else "speaker"
            setattr(place, label, kind == "cut")
            ends.append(lambda: setattr(place, label, kind != "cut"))

    def run_scenario(self, name: str) -> list[str]:
        """Run a scenario with this world's faults, and return the violations."""
        for _ in range(SETTLE_STEPS):
            self.step()
        self.window_open = True
        for step in range(WINDOW_STEPS):
            if change := SCENARIOS[name].get(step):
                change(self)
            for what in self.at_step.get(step, ()):
                self.apply_step_fault(what, step)
            for end_fault in self.fault_ends.pop(step, ()):
                end_fault()
            self.step()
            if self.broken:
                return self.broken
        self.window_open = False
        for rows in self.fault_ends.values():
            for end_fault in rows:
                end_fault()
        for _ in range(RECOVERY_STEPS):
            self.step()
            if self.broken:
                return self.broken
        self.settled()
        return self.broken


def fault_points(name: str) -> tuple[list[Fault], list[Fault]]:
    """Return all single faults of messages and all of steps that are possible in a scenario."""
    baseline = ExploredWorld(())
    if baseline.run_scenario(name):
        return [], []  # a violation without faults: the empty plan reports it
    messages = [(fate, number + 1) for number in range(baseline.sent) for fate in MESSAGE_FAULTS]
    return messages, [(what, step) for step in range(WINDOW_STEPS) for what in STEP_FAULTS]


def plans(name: str, faults: int, every: int) -> Iterator[tuple[Fault, ...]]:
    """Yield the empty plan, then all single faults, then pairs of step faults."""
    messages, steps = fault_points(name)
    yield ()
    singles = steps[::every] + messages[::every]
    for fault in singles:
        yield (fault,)
    if faults > 1:
        yield from combinations(steps[::every], 2)


def explore(name: str, faults: int = 1, every: int = 1, seconds: float = 1e9) -> Count:
    """Run a scenario with up to `faults` faults at each point; pairs are of step faults only.

    With `every` above 1, only each n-th point is tried.
    """
    result, until = Count(), time.monotonic() + seconds
    for plan in plans(name, faults, every):
        if time.monotonic() > until:
            result.cut_off = True
            break
        world = ExploredWorld(plan)
        violations = world.run_scenario(name)
        result.runs += 1
        result.messages += world.sent
        if violations and len(result.broken) < 5:
            result.broken.append(f"{name} {plan}: {violations[0]}")
    return result
