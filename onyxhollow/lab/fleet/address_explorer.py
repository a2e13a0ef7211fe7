"""The cores of shared addresses under a bounded number of faults put at every place.

Delay-bounded exploration (Emmi, Qadeer, Rakamaric, 2011), as for duties: a course goes its plain way but for
a fault or two, and each run with the faults at any place is played. A place is a message of the window (lost,
late past a dwell, twice) or a step of it (keeper or announcer stopped past its lease and woken, a site cut
off, two voters away, a daemon that restarts). Evidence is left out of the messages: three members tell it
each step, so that one more or less changes nothing that the courses do not; the walk (random_walk.py)
loses it.

Three sites, two addresses, three voters, as in the walk, whose world and properties these are; no chance.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from random import Random

from onyxhollow.addresses.messages import HealthReport, Override
from onyxhollow.lab.fleet.random_walk import SITES, STEP, VOTERS, Member, World

SETTLE = 24  # steps until all advertise all
WINDOW = 44  # steps in which faults may come
REST = 140  # steps of quiet after it, at the end of which all has to be as it should
SPAN = 12  # steps for which a fault of a step lasts: past a lease, and past each dwell
FATES = ("lost", "late", "twice")
LONG_STOP = 32  # steps for which an announcer may be stopped in the middle of a call
LATE = 8.0  # seconds: past a withdrawal and the way back
Harm = tuple[str, int]  # what, and at which message or step


class Plain(Random):
    """No chance: messages come in the middle of their time, in the order in which they went."""

    def random(self) -> float:
        return 0.5


def ill(site: str, health: float = 0.0) -> Callable[[World], None]:
    def change(world: World) -> None:
        world.places[site].health = health

    return change


def told(verb: str, site: str, number: int) -> Callable[[World], None]:
    def change(world: World) -> None:
        order = Override(f"o{number}", number, verb, "", site, "w", "y", world.now, world.now + 10.0)
        for voter in VOTERS[:2]:
            world.books[voter].add(order, world.now, world.now)

    return change


# What happens in the window anyhow, by step.
SCENARIOS: dict[str, dict[int, Callable[[World], None]]] = {
    "one ill and back": {2: ill("a"), 20: ill("a", 1.0)},
    "two ill together": {2: ill("a"), 3: ill("b", 0.3), 24: ill("b", 1.0)},
    "a drain, and another ill": {2: told("drain", "a", 1), 6: ill("b"), 26: ill("b", 1.0)},
    "all ill, one back": {2: ill("a"), 4: ill("b"), 6: ill("c"), 20: ill("c", 1.0)},
    "orders for all": {2: told("drain", "a", 1), 5: told("exclude", "b", 2), 8: told("drain", "c", 3)},
    "two excluded, the last ill": {2: told("exclude", "b", 1), 4: told("exclude", "c", 2), 20: ill("a")},
}
STEPS: tuple[str, ...] = (
    "stop keeper",
    "voters away",
    *(f"{what} {site}" for what in ("stop announcer", "long stop", "cut", "speaker") for site in SITES),
)


@dataclass
class Count:
    runs: int = 0
    messages: int = 0
    cut_off: bool = False  # time ended before all places were tried
    violations: list[str] = field(default_factory=list)


class ExploredWorld(World):
    def __init__(self, harms: Iterable[Harm]) -> None:
        super().__init__(0)
        self.rng = Plain(0)
        self.quiet = True  # the world's own chance is off
        self.open = False  # whether places are counted
        self.at_message = {number: fate for fate, number in harms if fate in FATES}
        self.at_step: dict[int, list[str]] = {}
        for what, number in harms:
            if what not in FATES:
                self.at_step.setdefault(number, []).append(what)
        self.ends: dict[int, list[Callable[[], None]]] = {}
        self.sent = 0

    def fate(self) -> str:
        """Of the next message of the window; "": it comes as it should."""
        self.sent += self.open
        return self.at_message.get(self.sent, "") if self.open else ""

    def send(self, call: Callable[[], None], cut: bool = False) -> None:
        if cut:
            return
        evidence = any(isinstance(one, HealthReport) for one in getattr(call, "args", ()))
        fate = "" if evidence else self.fate()
        if fate != "lost":
            self.later(LATE if fate == "late" else 0.05, call)
        if fate == "twice":
            self.later(LATE, call)

    def to_gate(self, holder: Member, arrive: Callable[[], None]) -> None:
        """A call that is not answered at once may still come, before others or after them."""
        fate = self.fate()

        def when_woken() -> None:
            if holder.stopped_until > self.now:  # stopped in the middle of it: it goes on when it is woken
                self.later(holder.stopped_until - self.now + STEP, when_woken)
            else:
                arrive()

        for late in {"": (0.01,), "lost": (), "late": (LATE,), "twice": (0.01, LATE)}[fate]:
            self.later(late, when_woken)

    def harm(self, what: str, step: int) -> None:
        kind, _, name = what.rpartition(" ")
        over = self.ends.setdefault(step + SPAN, [])
        if what == "stop keeper":
            if keeper := self.keeper():
                keeper.stopped_until = self.now + SPAN * STEP
        elif what == "voters away":
            self.away = set(VOTERS[:2])
            over.append(self.away.clear)
        elif kind in ("stop announcer", "long stop"):
            if holders := self.places[name].announcers:
                holders[-1].stopped_until = self.now + (LONG_STOP if kind == "long stop" else SPAN) * STEP
        else:
            place, label = self.places[name], "cut" if kind == "cut" else "speaker"
            setattr(place, label, kind == "cut")
            over.append(lambda: setattr(place, label, kind != "cut"))

    def run_scenario(self, name: str) -> list[str]:
        for _ in range(SETTLE):
            self.step()
        self.open = True
        for step in range(WINDOW):
            if change := SCENARIOS[name].get(step):
                change(self)
            for what in self.at_step.get(step, ()):
                self.harm(what, step)
            for over in self.ends.pop(step, ()):
                over()
            self.step()
            if self.broken:
                return self.broken
        self.open = False
        for rows in self.ends.values():
            for over in rows:
                over()
        for _ in range(REST):
            self.step()
            if self.broken:
                return self.broken
        self.settled()
        return self.broken


def places(name: str) -> tuple[list[Harm], list[Harm]]:
    """All faults of one message, and all of one step, for a course as it goes without any."""
    plain = ExploredWorld(())
    if plain.run_scenario(name):
        return [], []  # it breaks without any: the plan of none tells
    messages = [(fate, number + 1) for number in range(plain.sent) for fate in FATES]
    return messages, [(what, step) for step in range(WINDOW) for what in STEPS]


def plans(name: str, faults: int, every: int) -> Iterator[tuple[Harm, ...]]:
    messages, steps = places(name)
    yield ()
    singles = steps[::every] + messages[::every]
    for one in singles:
        yield (one,)
    if faults > 1:
        yield from combinations(steps[::every], 2)


def explore(name: str, faults: int = 1, stride: int = 1, seconds: float = 1e9) -> Count:
    """Plays a course with up to `faults` faults at each place (of two, both of steps); stride: only each n-th
    place, for a quick look."""
    found, until = Count(), time.monotonic() + seconds
    for plan in plans(name, faults, stride):
        if time.monotonic() > until:
            found.cut_off = True
            break
        world = ExploredWorld(plan)
        broken = world.run_scenario(name)
        found.runs += 1
        found.messages += world.sent
        if broken and len(found.violations) < 5:
            found.violations.append(f"{name} {plan}: {broken[0]}")
    return found
