"""The explorer: voters, candidates and the thing acted on, as they are, under faults put at every place.

Delay-bounded exploration (Emmi, Qadeer, Rakamaric, 2011): a run goes its plain way but for a bounded number
of faults, and each run with so many faults at any place is played: a datagram lost, late by one tick, or by
more than a term, or come twice; a process stopped and woken; a link cut one way or both, and mended; a
voter ended and started anew with its disk or without; a duty handed over. States that two runs share are
gone on from once.

Time goes in ticks; each process's clock runs at a rate of its own within the stated bound. Checked in every
state: one holder at any true time; terms rise; who acts is within its own lease; an act of an old term
never takes effect. Checked at the ends of runs: quiet again for a while, somebody holds.
"""

from __future__ import annotations

import contextlib
import copy
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from onyxhollow.lab.fleet import injected_bugs
from onyxhollow.leases.candidate import Candidate
from onyxhollow.leases.messages import LeaseOffer, Message, VoteResponse, VoterMessage, VoterSet, encode
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import Voter

TICK = 10  # units of true time
LEASE, BOUND = 40.0, 0.1
LATE = (1, 6)  # ticks by which a datagram may be late: a moment, and past a term
VOTERS = ("v0", "v1", "v2")
CANDIDATES = ("c0", "c1")
DUTY = "d"
QUIET = 40  # ticks of quiet in which somebody has to hold


class Still(Random):
    """No chance: the explorer puts the differences itself."""

    def random(self) -> float:
        return 0.0

    def uniform(self, a: float, b: float) -> float:
        return a


STILL = Still(0)


def keyed(rows: tuple[tuple[Any, ...], ...]) -> tuple[tuple[Any, ...], ...]:
    return tuple((*row[:-1], encode(row[-1])) for row in rows)


class Found(Exception):  # noqa: N818 (it is what is looked for)
    """A property does not hold."""


@dataclass
class World:
    rates: tuple[float, ...]  # of the candidates' and voters' clocks
    tick: int = 0
    voters: list[Voter] = field(default_factory=list)
    disks: list[tuple[Message, ...]] = field(default_factory=list)
    candidates: list[Candidate] = field(default_factory=list)
    paused: frozenset[str] = frozenset()
    cut: frozenset[tuple[str, str]] = frozenset()  # candidate and way: "out", "in"
    late: tuple[tuple[int, str, str, Any], ...] = ()  # due tick, from, to, what
    held: tuple[tuple[str, str, Any], ...] = ()  # come to a process that is stopped
    newest: int = 0  # the highest term that the thing has seen
    last: tuple[int, str] = (0, "")  # term and name of the last holder
    budget: int = 0
    lost: frozenset[str] = frozenset()  # voters that have lost their memory
    # "restarts": no faults but voters started anew with their disks, and the first candidate cut
    only: str = ""
    forgot: bool = False  # a majority had, at one time or another: terms rest on nothing then

    @staticmethod
    def new(rates: tuple[float, ...], budget: int, only: str = "") -> World:
        voter_set = VoterSet(0, VOTERS)
        world = World(rates, budget=budget, only=only)
        for name in VOTERS:
            voter = Voter(name, voter_set, LEASE, 0.0)
            voter.recovering = False
            world.voters.append(voter)
            world.disks.append(())
        for place, name in enumerate(CANDIDATES):
            candidate = Candidate(DUTY, name, LeaseTiming(LEASE, BOUND), voter_set, STILL, 0.0)
            candidate.next_at = 15.0 * place
            world.candidates.append(candidate)
        return world

    def copy(self) -> World:
        other = copy.copy(self)
        other.voters = [copy.copy(voter) for voter in self.voters]
        for voter in other.voters:
            voter.slots, voter.peer_recovering = dict(voter.slots), dict(voter.peer_recovering)
        other.candidates = [copy.copy(candidate) for candidate in self.candidates]
        for candidate in other.candidates:
            candidate.rounds, candidate.refusals, candidate.transitions = (
                dict(candidate.rounds),
                dict(candidate.refusals),
                [],
            )
        other.disks = list(self.disks)
        return other

    def clock(self, name: str) -> float:
        names = CANDIDATES + VOTERS
        return self.tick * TICK * self.rates[names.index(name)]

    def key(self) -> Any:
        voters = tuple(
            (
                tuple(sorted(voter.slots.items(), key=lambda row: row[0])),
                voter.recovering,
                voter.recovering
                and (
                    voter.no_grants_before,
                    tuple(sorted(voter.peer_recovering.items())),
                    voter.next_query_at,
                ),
            )
            for voter in self.voters
        )
        candidates = tuple(
            (
                candidate.state,
                candidate.term,
                candidate.highest_term,
                candidate.expires_at,
                candidate.next_at,
                candidate.retransmit_at,
                candidate.failed_attempts,
                tuple(
                    (number - candidate.round, sent.sent_at, sent.granted_by)
                    for number, sent in candidate.rounds.items()
                ),
                tuple(sorted((name, refusal.remaining) for name, refusal in candidate.refusals.items())),
            )
            for candidate in self.candidates
        )
        under_way = keyed(self.late), keyed(self.held)
        return (
            self.tick,
            voters,
            candidates,
            self.paused,
            self.cut,
            under_way,
            self.newest,
            self.last,
            self.budget,
            self.disks_key(),
            self.lost,
        )

    def disks_key(self) -> Any:
        return tuple(disk[-1:] for disk in self.disks)

    # what may happen

    def environment(self) -> list[tuple[str, str]]:
        """Faults that may begin or end now."""
        if self.only == "restarts":
            cut = ("mend" if self.cut else "cut", CANDIDATES[0])
            return [cut, *(("restart", name) for name in VOTERS)]
        told: list[tuple[str, str]] = []
        for name in CANDIDATES + VOTERS:
            told.append(("wake" if name in self.paused else "pause", name))
        for name in CANDIDATES:
            ways = {way for who, way in self.cut if who == name}
            told += [("mend", name)] if ways else [("cut out", name), ("cut in", name), ("cut", name)]
        for name in VOTERS:
            told += [("restart", name), ("restart blank", name)]
        told += [("hand over", name) for name in CANDIDATES if name not in self.paused and self.holds(name)]
        return told

    def holds(self, name: str) -> bool:
        return self.candidates[CANDIDATES.index(name)].holds(self.clock(name))

    def befall(self, what: str, name: str) -> list[tuple[str, str, Any]]:
        if what == "pause":
            self.paused |= {name}
        elif what == "wake":
            self.paused -= {name}
            mine = [row for row in self.held if row[1] == name]
            self.held = tuple(row for row in self.held if row[1] != name)
            if name in CANDIDATES:
                self.act(name)  # in the middle of an act: before anything that came meanwhile
            return mine
        elif what == "mend":
            self.cut = frozenset(row for row in self.cut if row[0] != name)
        elif what.startswith("cut"):
            self.cut |= {(name, way) for way in (what[4:] or "in out").split()}
        elif what.startswith("restart"):
            self.restart(name, blank=what.endswith("blank"))
        elif what == "hand over":
            candidate = self.candidates[CANDIDATES.index(name)]
            other = CANDIDATES[1 - CANDIDATES.index(name)]
            told = candidate.end(self.clock(name), "operator")
            sent = [(name, voter, message) for voter, message in told]
            return [*sent, (name, other, LeaseOffer(DUTY, candidate.term))]
        return []

    def restart(self, name: str, blank: bool) -> None:
        place = VOTERS.index(name)
        now = self.clock(name)
        if blank:
            self.disks[place] = ()
            self.lost |= {name}
            blanks = {each for each, voter in zip(VOTERS, self.voters, strict=True) if voter.recovering} | {
                name
            }
            self.forgot = self.forgot or len(blanks) >= 2
        voter = Voter(name, VoterSet(0, VOTERS), LEASE, now)
        voter.restore(self.disks[place], now)
        # at the start of a run nothing has been granted: that is a memory
        voter.recovering = voter.recovering and blank
        self.voters[place] = voter
        self.held = tuple(row for row in self.held if row[1] != name)
        self.paused -= {name}

    # one tick

    def advance(self, choose: Callable[[int], int]) -> None:
        queue: list[tuple[str, str, Any]] = []
        if self.budget:
            options = self.environment()
            if chosen := choose(1 + len(options)):
                self.budget -= 1
                queue += self.befall(*options[chosen - 1])
        now = self.tick
        queue += [(source, target, what) for due, source, target, what in self.late if due <= now]
        self.late = tuple(row for row in self.late if row[0] > now)
        self.check()
        for name in VOTERS:
            if name not in self.paused:
                voter = self.voters[VOTERS.index(name)]
                told, rows = voter.tick(self.clock(name))
                self.disks[VOTERS.index(name)] += tuple(rows)
                queue += [(name, target, message) for target, message in told]
        for rank, name in enumerate(CANDIDATES):
            if name not in self.paused:
                self.act(name)
                candidate = self.candidates[rank]
                if self.clock(name) >= candidate.next_due():
                    said = candidate.tick(self.clock(name), rank)
                    queue += [(name, voter, message) for voter, message in said]
        self.check()
        place = 0
        while place < len(queue):
            source, target, what = queue[place]
            place += 1
            if (source, "out") in self.cut or (target, "in") in self.cut:
                continue
            chosen = choose(2 + 2 * len(LATE)) if self.budget and not self.only else 0
            if chosen:
                self.budget -= 1
                if chosen == 1:
                    continue
                span, twice = LATE[(chosen - 2) % len(LATE)], chosen >= 2 + len(LATE)
                self.late += ((self.tick + span, source, target, what),)
                if not twice:
                    continue
            if target in self.paused:
                self.held += ((source, target, what),)
                continue
            queue += self.deliver(source, target, what)
            self.check()
        self.tick += 1
        self.check()

    def deliver(self, source: str, target: str, what: Any) -> list[tuple[str, str, Any]]:
        now = self.clock(target)
        if target in VOTERS:
            place = VOTERS.index(target)
            answers, rows = self.voters[place].on_message(now, source, what)
            self.disks[place] += tuple(rows)
            return [(target, source, answer) for answer in answers]
        candidate = self.candidates[CANDIDATES.index(target)]
        said: list[VoterMessage] = []
        if isinstance(what, VoteResponse):
            said = candidate.on_response(now, source, what)
        elif isinstance(what, LeaseOffer):
            said = candidate.on_offer(now, what.term)
        for transition in candidate.transitions:
            if transition.began:
                if transition.term <= self.last[0] and not self.forgot:
                    raise Found(
                        f"tick {self.tick}: {target} holds under term {transition.term} after {self.last}"
                    )
                self.last = max(self.last, (transition.term, target))
        candidate.transitions.clear()
        return [(target, voter, message) for voter, message in said]

    def act(self, name: str) -> None:
        """What a holder does: looks at the clock, and acts under its term."""
        candidate = self.candidates[CANDIDATES.index(name)]
        if not self.holds(name):
            return
        if self.clock(name) >= candidate.expires_at:
            raise Found(f"tick {self.tick}: {name} acts under term {candidate.term} past its lease")
        if candidate.term >= self.newest:
            self.newest = candidate.term
        else:
            raise Found(f"tick {self.tick}: {name} acts under term {candidate.term} after {self.newest}")

    def check(self) -> None:
        """A stopped process holds too, by its own clock: it may be woken in this very moment."""
        if sum(self.holds(name) for name in CANDIDATES) > 1:
            told = [
                (candidate.term, candidate.expires_at, self.clock(candidate.process_id))
                for candidate in self.candidates
            ]
            raise Found(f"tick {self.tick}: two holders: {told}")

    def calm(self) -> None:
        """All faults over: within a stated time somebody holds."""
        self.budget, self.cut = 0, frozenset()
        for name in list(self.paused):
            self.held_back(self.befall("wake", name))
        for _ in range(QUIET):
            self.advance(lambda options: 0)
            if any(self.holds(name) for name in CANDIDATES):
                return
        raise Found(f"tick {self.tick}: nobody holds after {QUIET} quiet ticks")

    def held_back(self, rows: list[tuple[str, str, Any]]) -> None:
        self.late += tuple((self.tick, *row) for row in rows)


def choices(play: Callable[[Callable[[int], int]], None]) -> Iterator[list[int]]:
    """Plays every sequence of choices, each to its end."""
    prefix: list[int] = []
    while True:
        taken: list[tuple[int, int]] = []

        def choose(options: int, prefix: list[int] = prefix, taken: list[tuple[int, int]] = taken) -> int:
            chosen = prefix[len(taken)] if len(taken) < len(prefix) else 0
            taken.append((chosen, options))
            return chosen

        play(choose)
        yield [chosen for chosen, _ in taken]
        while taken and taken[-1][0] + 1 >= taken[-1][1]:
            taken.pop()
        if not taken:
            return
        prefix = [chosen for chosen, _ in taken[:-1]] + [taken[-1][0] + 1]


@dataclass
class Explored:
    states: int = 0
    steps: int = 0
    found: str = ""
    whole: bool = True  # nothing was left out
    ends: int = 0  # runs that were looked at for a holder in the end
    seconds: float = 0.0


RATES = {
    "even": (1.0, 1.0, 1.0, 1.0, 1.0),
    "apart": (1.0 - BOUND, 1.0, 1.0 + BOUND, 1.0 + BOUND, 1.0 + BOUND),
}


def explore(
    budget: int,
    ticks: int,
    rates: str = "apart",
    most: int = 10**9,
    seconds: float = 1e9,
    seed: int = 1,
    only: str = "",
) -> Explored:
    """Every run of so many ticks with at most so many faults, level by level. most, seconds: where it is cut
    off; which states of a level are gone on from is then drawn by the seed."""
    told, began, rng = Explored(), time.monotonic(), Random(seed)
    level: dict[Any, World] = {"": World.new(RATES[rates], budget, only)}
    try:
        for number in range(ticks):
            after: dict[Any, World] = {}
            worlds = list(level.values())
            left = max(1, most - told.states)
            # each level has its part, so that late ones are seen
            share = max(1, left // max(1, ticks - number))
            if len(worlds) > 1 and share < most:
                rng.shuffle(worlds)
            for world in worlds:
                if len(after) >= share or time.monotonic() - began > seconds * (number + 1) / ticks:
                    told.whole = False
                    break
                here: list[World] = []

                def play(
                    choose: Callable[[int], int], world: World = world, here: list[World] = here
                ) -> None:
                    other = world.copy()
                    other.advance(choose)
                    here.append(other)

                for _ in choices(play):
                    told.steps += 1
                    other = here.pop()
                    after.setdefault(other.key(), other)
            told.states += len(after)
            level = after
        rows = list(level.values())
        for world in rng.sample(rows, min(len(rows), max(50, len(rows) // 20))):
            told.ends += 1
            world.copy().calm()
    except Found as error:
        told.found = str(error)
    told.seconds = time.monotonic() - began
    return told


@contextlib.contextmanager
def bug(name: str) -> Iterator[None]:
    """One of broken.py put in, and taken out again."""
    kept = Voter.restore, LeaseTiming.holder_span, Candidate.holds, Candidate.end
    injected_bugs.inject(name)
    try:
        yield
    finally:
        Voter.restore, LeaseTiming.holder_span, Candidate.holds, Candidate.end = kept  # type: ignore[method-assign]
