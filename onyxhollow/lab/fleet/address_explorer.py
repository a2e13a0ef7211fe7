"""State explorer of shared addresses: the components of the random walk with a bounded number of faults.

Delay-bounded exploration (Emmi, Qadeer, Rakamaric, 2011), as in state_explorer.py: each scenario runs with
at most one or two faults, and is repeated with them at every point. A point is a message of the fault window
(lost, duplicated, or delayed for longer than the policy's delays) or a step of it (a controller or announcer
stopped for longer than its lease, a site cut off, two voters unavailable, a routing daemon restarted).

Health reports are not among these messages: three members send them in each step, so one more or less has no
effect that the scenarios do not have already. The random walk does lose them.

The world and its invariants are those of the random walk (random_walk.py), but nothing is random.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from random import Random

from onyxhollow.addresses.messages import HealthReport, Override
from onyxhollow.lab.fleet.random_walk import SITES, STEP_SECONDS, VOTERS, LeaseHolder, World

STARTUP_STEPS = 24  # until all sites advertise all addresses
WINDOW_STEPS = 44  # in which faults may start
RECOVERY_STEPS = 140  # without faults after the window, before the final state is checked
FAULT_STEPS = 12  # duration of the faults of a step: longer than a lease and than each delay of the policy
MESSAGE_FAULTS = ("lost", "late", "twice")
LONG_STOP_STEPS = 32  # for which an announcer may be stopped during a call
DELAY_SECONDS = 8.0  # longer than a withdrawal and the restore after it
PlannedFault = tuple[str, int]  # kind, and the number of the message or step


class MedianRandom(Random):
    """Random numbers that are all the mean: every message takes half the longest delay, so none overtakes."""

    def random(self) -> float:
        """Return 0.5."""
        return 0.5


def set_health(site: str, health: float = 0.0) -> Callable[[World], None]:
    """Return a change that sets the true health of a site, from 0.0 to 1.0."""

    def change(world: World) -> None:
        world.sites[site].health = health

    return change


def give_override(verb: str, site: str, number: int) -> Callable[[World], None]:
    """Return a change that stores an override for 10 s at two of the voters."""

    def change(world: World) -> None:
        override = Override(f"o{number}", number, verb, "", site, "w", "y", world.now, world.now + 10.0)
        for voter in VOTERS[:2]:
            world.override_logs[voter].add(override, world.now, world.now)

    return change


# The changes that happen in every run of a scenario, by step of the window.
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
    *(f"{kind} {site}" for kind in ("stop announcer", "long stop", "cut", "speaker") for site in SITES),
)


@dataclass
class ExplorationResult:
    """The size of an exploration and the first violation of each of up to five runs."""

    runs: int = 0
    messages: int = 0  # sent within the fault windows, over all runs
    timed_out: bool = False  # the time ended before all points were tried
    violations: list[str] = field(default_factory=list)


class ExploredWorld(World):
    """The world of the random walk with planned faults instead of random ones."""

    def __init__(self, planned_faults: Iterable[PlannedFault]) -> None:
        super().__init__(0)
        self.rng = MedianRandom(0)
        self.network_reliable = True  # no random faults
        self.in_window = False  # whether messages are counted
        self.at_message = {number: fault for fault, number in planned_faults if fault in MESSAGE_FAULTS}
        self.at_step: dict[int, list[str]] = {}
        for kind, number in planned_faults:
            if kind not in MESSAGE_FAULTS:
                self.at_step.setdefault(number, []).append(kind)
        self.fault_ends: dict[int, list[Callable[[], None]]] = {}
        self.sent = 0

    def next_message_fault(self) -> str:
        """Count a message of the window and return its fault, "" for none."""
        self.sent += self.in_window
        return self.at_message.get(self.sent, "") if self.in_window else ""

    def send(self, call: Callable[[], None], cut_off: bool = False) -> None:
        """Deliver a message after 0.05 s unless it has a planned fault; health reports have none."""
        if cut_off:
            return
        is_evidence = any(isinstance(value, HealthReport) for value in getattr(call, "args", ()))
        fault = "" if is_evidence else self.next_message_fault()
        if fault != "lost":
            self.schedule(DELAY_SECONDS if fault == "late" else 0.05, call)
        if fault == "twice":
            self.schedule(DELAY_SECONDS, call)

    def send_to_guard(self, announcer: LeaseHolder, arrive: Callable[[], None]) -> None:
        """Schedule the arrival of a call; one without an answer may still arrive, before or after others."""
        fault = self.next_message_fault()

        def arrive_when_running() -> None:
            if announcer.stopped_until > self.now:  # stopped during the call; it continues on resume
                self.schedule(announcer.stopped_until - self.now + STEP_SECONDS, arrive_when_running)
            else:
                arrive()

        delays = {"": (0.01,), "lost": (), "late": (DELAY_SECONDS,), "twice": (0.01, DELAY_SECONDS)}
        for delay in delays[fault]:
            self.schedule(delay, arrive_when_running)

    def start_step_fault(self, fault: str, step: int) -> None:
        """Start a fault of a step and schedule its end."""
        kind, _, name = fault.rpartition(" ")
        ends = self.fault_ends.setdefault(step + FAULT_STEPS, [])
        if fault == "stop keeper":
            if controller := self.current_controller():
                controller.stopped_until = self.now + FAULT_STEPS * STEP_SECONDS
        elif fault == "voters away":
            self.unavailable_voters = set(VOTERS[:2])
            ends.append(self.unavailable_voters.clear)
        elif kind in ("stop announcer", "long stop"):
            if announcers := self.sites[name].announcers:
                announcers[-1].stopped_until = (
                    self.now + (LONG_STOP_STEPS if kind == "long stop" else FAULT_STEPS) * STEP_SECONDS
                )
        else:
            site, attribute = self.sites[name], "cut_off" if kind == "cut" else "daemon_running"
            setattr(site, attribute, kind == "cut")
            ends.append(lambda: setattr(site, attribute, kind != "cut"))

    def run_scenario(self, name: str) -> list[str]:
        """Run the scenario with the planned faults; return the violations."""
        for _ in range(STARTUP_STEPS):
            self.step()
        self.in_window = True
        for step in range(WINDOW_STEPS):
            if change := SCENARIOS[name].get(step):
                change(self)
            for fault in self.at_step.get(step, ()):
                self.start_step_fault(fault, step)
            for end_fault in self.fault_ends.pop(step, ()):
                end_fault()
            self.step()
            if self.violations:
                return self.violations
        self.in_window = False
        for ends in self.fault_ends.values():
            for end_fault in ends:
                end_fault()
        for _ in range(RECOVERY_STEPS):
            self.step()
            if self.violations:
                return self.violations
        self.check_final_state()
        return self.violations


def list_possible_faults(name: str) -> tuple[list[PlannedFault], list[PlannedFault]]:
    """Return all faults of one message and all of one step, from a run of the scenario without faults."""
    fault_free = ExploredWorld(())
    if fault_free.run_scenario(name):
        return [], []  # violates an invariant without faults; the empty plan reports it
    message_faults = [(fault, number + 1) for number in range(fault_free.sent) for fault in MESSAGE_FAULTS]
    return message_faults, [(fault, step) for step in range(WINDOW_STEPS) for fault in STEP_FAULTS]


def generate_plans(name: str, faults: int, stride: int) -> Iterator[tuple[PlannedFault, ...]]:
    """Yield the empty plan, each plan of one fault and, if `faults` allows, of two step faults."""
    message_faults, step_faults = list_possible_faults(name)
    yield ()
    singles = step_faults[::stride] + message_faults[::stride]
    for fault in singles:
        yield (fault,)
    if faults > 1:
        yield from combinations(step_faults[::stride], 2)


def explore(name: str, faults: int = 1, stride: int = 1, seconds: float = 1e9) -> ExplorationResult:
    """Run a scenario with up to `faults` faults (at most two) at each point.

    Pairs consist of step faults only. With a stride, only every n-th point is tried.
    """
    result, deadline = ExplorationResult(), time.monotonic() + seconds
    for plan in generate_plans(name, faults, stride):
        if time.monotonic() > deadline:
            result.timed_out = True
            break
        world = ExploredWorld(plan)
        violations = world.run_scenario(name)
        result.runs += 1
        result.messages += world.sent
        if violations and len(result.violations) < 5:
            result.violations.append(f"{name} {plan}: {violations[0]}")
    return result
