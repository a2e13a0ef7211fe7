"""State explorer of the lease protocol: the real voters and candidates under faults at every point.

Delay-bounded exploration (Emmi, Qadeer, Rakamaric, 2011): a run is deterministic except for a bounded number
of faults, and every run with that many faults at any point is explored. The faults are:

- a datagram lost, duplicated, or delayed by one tick or by more than a lease,
- a process stopped and resumed,
- a link cut in one direction or both, and healed,
- a voter restarted with or without its disk,
- a lease handed over.

A state that several runs reach is continued only once.

Time advances in ticks, and each process's clock has its own rate within the rate bound. Invariants of every
state: at most one candidate holds the lease at any true time, terms increase, a holder acts only within its
lease, and an action under an old term never takes effect. At the end of a run without further faults, the
lease must be held again.
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

TICK_UNITS = 10  # units of true time in a tick
LEASE_UNITS, RATE_BOUND = 40.0, 0.1
DELAY_TICKS = (1, 6)  # delays of a datagram: a short one, and one longer than a lease
VOTERS = ("v0", "v1", "v2")
CANDIDATES = ("c0", "c1")
DUTY = "d"
Datagram = tuple[str, str, Any]  # source, target, message
RECOVERY_TICKS = 40  # without faults, within which a candidate must become the holder


class MinimumRandom(Random):
    """Random numbers that are all the minimum, so that only the explorer varies a run."""

    def random(self) -> float:
        """Return 0.0."""
        return 0.0

    def uniform(self, a: float, b: float) -> float:  # the parameter names of the base class
        """Return the lower bound."""
        return a


MINIMUM_RANDOM = MinimumRandom(0)


def encode_messages(rows: tuple[tuple[Any, ...], ...]) -> tuple[tuple[Any, ...], ...]:
    """Return the rows with their last field, a message, encoded, so that they can be compared."""
    return tuple((*row[:-1], encode(row[-1])) for row in rows)


def voter_key(voter: Voter) -> tuple[Any, ...]:
    """Return what determines how a voter continues; its recovery state counts only while it recovers."""
    return (
        tuple(sorted(voter.slots.items(), key=lambda row: row[0])),
        voter.recovering,
        voter.recovering
        and (voter.no_grants_before, tuple(sorted(voter.peer_recovering.items())), voter.next_query_at),
    )


def candidate_key(candidate: Candidate) -> tuple[Any, ...]:
    """Return what determines how a candidate continues, with rounds numbered from its current one."""
    return (
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


class InvariantViolationError(Exception):
    """An invariant does not hold."""


@dataclass
class World:
    """A state: voters, candidates, the service that the holder acts on, datagrams in transit and faults."""

    rates: tuple[float, ...]  # of the clocks of the candidates, then of the voters
    tick: int = 0
    voters: list[Voter] = field(default_factory=list)
    disks: list[tuple[Message, ...]] = field(default_factory=list)
    candidates: list[Candidate] = field(default_factory=list)
    stopped: frozenset[str] = frozenset()
    cut: frozenset[tuple[str, str]] = frozenset()  # candidate and direction: "out", "in"
    delayed: tuple[tuple[int, str, str, Any], ...] = ()  # due tick, source, target, message
    unread: tuple[Datagram, ...] = ()  # that arrived while their target was stopped
    highest_term: int = 0  # of the actions that the service has received
    last_holder: tuple[int, str] = (0, "")  # term and name
    budget: int = 0  # faults that may still be caused
    blank_voters: frozenset[str] = frozenset()  # voters that were restarted without their disks
    # "restarts": the only faults are voters restarted with their disks, and a cut of the first candidate.
    only_faults: str = ""
    # Whether a majority of the voters recovered without their disks at the same time. Terms may then repeat.
    majority_blank: bool = False

    @staticmethod
    def new(rates: tuple[float, ...], budget: int, only_faults: str = "") -> World:
        """Return the initial state: nothing is granted, and the first candidate is due before the second."""
        voter_set = VoterSet(0, VOTERS)
        world = World(rates, budget=budget, only_faults=only_faults)
        for name in VOTERS:
            voter = Voter(name, voter_set, LEASE_UNITS, 0.0)
            voter.recovering = False
            world.voters.append(voter)
            world.disks.append(())
        for rank, name in enumerate(CANDIDATES):
            candidate = Candidate(
                DUTY, name, LeaseTiming(LEASE_UNITS, RATE_BOUND), voter_set, MINIMUM_RANDOM, 0.0
            )
            candidate.next_at = 15.0 * rank
            world.candidates.append(candidate)
        return world

    def copy(self) -> World:
        """Return a world that can advance independently; it shares only values that are never changed."""
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
        """Return the time of the process's own clock."""
        names = CANDIDATES + VOTERS
        return self.tick * TICK_UNITS * self.rates[names.index(name)]

    def key(self) -> Any:
        """Return the key of the state; states with equal keys continue in the same way."""
        in_transit = encode_messages(self.delayed), encode_messages(self.unread)
        return (
            self.tick,
            tuple(voter_key(voter) for voter in self.voters),
            tuple(candidate_key(candidate) for candidate in self.candidates),
            self.stopped,
            self.cut,
            in_transit,
            self.highest_term,
            self.last_holder,
            self.budget,
            tuple(disk[-1:] for disk in self.disks),
            self.blank_voters,
        )

    # Faults.

    def possible_faults(self) -> list[tuple[str, str]]:
        """Return the faults, as kind and process, that may start or end at this tick."""
        if self.only_faults == "restarts":
            cut = ("heal" if self.cut else "cut", CANDIDATES[0])
            return [cut, *(("restart", name) for name in VOTERS)]
        faults: list[tuple[str, str]] = []
        for name in CANDIDATES + VOTERS:
            faults.append(("resume" if name in self.stopped else "stop", name))
        for name in CANDIDATES:
            directions = {direction for candidate, direction in self.cut if candidate == name}
            faults += [("heal", name)] if directions else [("cut out", name), ("cut in", name), ("cut", name)]
        for name in VOTERS:
            faults += [("restart", name), ("restart blank", name)]
        faults += [
            ("hand over", name) for name in CANDIDATES if name not in self.stopped and self.holds(name)
        ]
        return faults

    def holds(self, name: str) -> bool:
        """Return whether the candidate holds the lease by its own clock."""
        return self.candidates[CANDIDATES.index(name)].holds(self.clock(name))

    def cause_fault(self, kind: str, name: str) -> list[Datagram]:
        """Start or end the fault; return the datagrams to deliver because of it."""
        if kind == "stop":
            self.stopped |= {name}
        elif kind == "resume":
            self.stopped -= {name}
            received = [row for row in self.unread if row[1] == name]
            self.unread = tuple(row for row in self.unread if row[1] != name)
            if name in CANDIDATES:
                self.act(name)  # stopped during an action: it continues before reading what has arrived
            return received
        elif kind == "heal":
            self.cut = frozenset(row for row in self.cut if row[0] != name)
        elif kind.startswith("cut"):
            self.cut |= {(name, direction) for direction in (kind[4:] or "in out").split()}
        elif kind.startswith("restart"):
            self.restart(name, blank=kind.endswith("blank"))
        elif kind == "hand over":
            candidate = self.candidates[CANDIDATES.index(name)]
            other = CANDIDATES[1 - CANDIDATES.index(name)]
            releases = candidate.end(self.clock(name), "operator")
            sent = [(name, voter, message) for voter, message in releases]
            return [*sent, (name, other, LeaseOffer(DUTY, candidate.term))]
        return []

    def restart(self, name: str, blank: bool) -> None:
        """Restart the voter from its disk, or without it."""
        index = VOTERS.index(name)
        now = self.clock(name)
        if blank:
            self.disks[index] = ()
            self.blank_voters |= {name}
            recovering = {
                other for other, voter in zip(VOTERS, self.voters, strict=True) if voter.recovering
            } | {name}
            self.majority_blank = self.majority_blank or len(recovering) >= 2
        voter = Voter(name, VoterSet(0, VOTERS), LEASE_UNITS, now)
        voter.restore(self.disks[index], now)
        # A disk that is still empty is complete: at the start of a run nothing has been granted.
        voter.recovering = voter.recovering and blank
        self.voters[index] = voter
        self.unread = tuple(row for row in self.unread if row[1] != name)
        self.stopped -= {name}

    # One tick.

    def advance(self, choose: Callable[[int], int]) -> None:
        """Run one tick; `choose` takes the number of options and returns one, 0 being no fault."""
        queue = self.choose_fault(choose)
        queue += self.take_due_datagrams()
        self.check()
        queue += self.tick_voters()
        queue += self.tick_candidates()
        self.check()
        position = 0
        while position < len(queue):
            queue += self.transmit(*queue[position], choose)
            position += 1
        self.tick += 1
        self.check()

    def choose_fault(self, choose: Callable[[int], int]) -> list[Datagram]:
        """Let `choose` select a fault of this tick, and return the datagrams to deliver because of it."""
        if not self.budget:
            return []
        faults = self.possible_faults()
        if not (chosen := choose(1 + len(faults))):
            return []
        self.budget -= 1
        return self.cause_fault(*faults[chosen - 1])

    def take_due_datagrams(self) -> list[Datagram]:
        """Remove the delayed datagrams that are due at this tick, and return them."""
        due = [row[1:] for row in self.delayed if row[0] <= self.tick]
        self.delayed = tuple(row for row in self.delayed if row[0] > self.tick)
        return due

    def tick_voters(self) -> list[Datagram]:
        """Run the voters that are not stopped, store their records and return their datagrams."""
        queue: list[Datagram] = []
        for index, name in enumerate(VOTERS):
            if name not in self.stopped:
                sent, records = self.voters[index].tick(self.clock(name))
                self.disks[index] += tuple(records)
                queue += [(name, target, message) for target, message in sent]
        return queue

    def tick_candidates(self) -> list[Datagram]:
        """Let the candidates that are not stopped act and run if due, and return their datagrams."""
        queue: list[Datagram] = []
        for rank, name in enumerate(CANDIDATES):
            if name not in self.stopped:
                self.act(name)
                candidate = self.candidates[rank]
                if self.clock(name) >= candidate.next_due():
                    requests = candidate.tick(self.clock(name), rank)
                    queue += [(name, voter, message) for voter, message in requests]
        return queue

    def transmit(
        self, source: str, target: str, message: Any, choose: Callable[[int], int]
    ) -> list[Datagram]:
        """Deliver a datagram unless a fault prevents it; return the datagrams sent in response.

        `choose` selects the fault of the datagram: 0 none, 1 lost, then one option for each delay, and one
        for each delay of a duplicate.
        """
        if (source, "out") in self.cut or (target, "in") in self.cut:
            return []
        chosen = choose(2 + 2 * len(DELAY_TICKS)) if self.budget and not self.only_faults else 0
        if chosen:
            self.budget -= 1
            if chosen == 1:
                return []
            delay = DELAY_TICKS[(chosen - 2) % len(DELAY_TICKS)]
            self.delayed += ((self.tick + delay, source, target, message),)
            duplicated = chosen >= 2 + len(DELAY_TICKS)
            if not duplicated:
                return []
        if target in self.stopped:
            self.unread += ((source, target, message),)
            return []
        responses = self.deliver(source, target, message)
        self.check()
        return responses

    def deliver(self, source: str, target: str, message: Any) -> list[Datagram]:
        """Deliver a datagram; return the datagrams sent in response."""
        now = self.clock(target)
        if target in VOTERS:
            index = VOTERS.index(target)
            responses, rows = self.voters[index].on_message(now, source, message)
            self.disks[index] += tuple(rows)
            return [(target, source, response) for response in responses]
        candidate = self.candidates[CANDIDATES.index(target)]
        sent: list[VoterMessage] = []
        if isinstance(message, VoteResponse):
            sent = candidate.on_response(now, source, message)
        elif isinstance(message, LeaseOffer):
            sent = candidate.on_offer(now, message.term)
        self.check_new_terms(candidate, target)
        return [(target, voter, voter_message) for voter, voter_message in sent]

    def check_new_terms(self, candidate: Candidate, name: str) -> None:
        """Check that each lease that the candidate has just acquired has a higher term than the one before.

        After a majority of the voters has recovered without disks, terms may repeat.
        """
        for transition in candidate.transitions:
            if transition.began:
                if transition.term <= self.last_holder[0] and not self.majority_blank:
                    raise InvariantViolationError(
                        f"tick {self.tick}: {name} holds under term {transition.term} "
                        f"after {self.last_holder}"
                    )
                self.last_holder = max(self.last_holder, (transition.term, name))
        candidate.transitions.clear()

    def act(self, name: str) -> None:
        """Perform an action under the candidate's term if it holds the lease."""
        candidate = self.candidates[CANDIDATES.index(name)]
        if not self.holds(name):
            return
        if self.clock(name) >= candidate.expires_at:
            raise InvariantViolationError(
                f"tick {self.tick}: {name} acts under term {candidate.term} past its lease"
            )
        if candidate.term >= self.highest_term:
            self.highest_term = candidate.term
        else:
            raise InvariantViolationError(
                f"tick {self.tick}: {name} acts under term {candidate.term} after {self.highest_term}"
            )

    def check(self) -> None:
        """Check that at most one candidate holds the lease; a stopped one counts, because it may resume."""
        if sum(self.holds(name) for name in CANDIDATES) > 1:
            states = [
                (candidate.term, candidate.expires_at, self.clock(candidate.process_id))
                for candidate in self.candidates
            ]
            raise InvariantViolationError(f"tick {self.tick}: two holders: {states}")

    def check_recovery(self) -> None:
        """End all faults and check that the lease is held within RECOVERY_TICKS."""
        self.budget, self.cut = 0, frozenset()
        for name in list(self.stopped):
            self.deliver_next_tick(self.cause_fault("resume", name))
        for _ in range(RECOVERY_TICKS):
            self.advance(lambda options: 0)
            if any(self.holds(name) for name in CANDIDATES):
                return
        raise InvariantViolationError(
            f"tick {self.tick}: no holder after {RECOVERY_TICKS} ticks without faults"
        )

    def deliver_next_tick(self, rows: list[Datagram]) -> None:
        """Queue the datagrams as due at the tick that runs next."""
        self.delayed += tuple((self.tick, *row) for row in rows)


def run_all_choices(run: Callable[[Callable[[int], int]], None]) -> Iterator[list[int]]:
    """Call `run` once for every sequence of choices, and yield each sequence."""
    prefix: list[int] = []
    while True:
        taken: list[tuple[int, int]] = []

        def choose(options: int, prefix: list[int] = prefix, taken: list[tuple[int, int]] = taken) -> int:
            chosen = prefix[len(taken)] if len(taken) < len(prefix) else 0
            taken.append((chosen, options))
            return chosen

        run(choose)
        yield [chosen for chosen, _ in taken]
        while taken and taken[-1][0] + 1 >= taken[-1][1]:
            taken.pop()
        if not taken:
            return
        prefix = [chosen for chosen, _ in taken[:-1]] + [taken[-1][0] + 1]


@dataclass
class ExplorationResult:
    """The size of an exploration and the first violation that it found."""

    states: int = 0  # distinct ones, over all ticks
    steps: int = 0  # ticks that were run, including those that reached a known state
    violation: str = ""  # the first one
    complete: bool = True  # whether no state was left out
    checked_ends: int = 0  # final states from which the recovery was checked
    seconds: float = 0.0


RATES = {
    "even": (1.0, 1.0, 1.0, 1.0, 1.0),
    "apart": (1.0 - RATE_BOUND, 1.0, 1.0 + RATE_BOUND, 1.0 + RATE_BOUND, 1.0 + RATE_BOUND),
}


def explore_tick(
    worlds: list[World], max_states: int, deadline: float, result: ExplorationResult
) -> list[World]:
    """Run one tick of each world with every choice of faults, and return the distinct states reached.

    Worlds are left out once `max_states` states are reached or the deadline, in monotonic time, has passed.
    """
    next_worlds: dict[Any, World] = {}
    for world in worlds:
        if len(next_worlds) >= max_states or time.monotonic() > deadline:
            result.complete = False
            break
        for successor in successors(world):
            result.steps += 1
            next_worlds.setdefault(successor.key(), successor)
    return list(next_worlds.values())


def successors(world: World) -> Iterator[World]:
    """Yield the state after one tick for every choice of faults; the given world is not changed."""
    reached: list[World] = []

    def run_tick(choose: Callable[[int], int]) -> None:
        successor = world.copy()
        successor.advance(choose)
        reached.append(successor)

    for _ in run_all_choices(run_tick):
        yield reached.pop()


def check_recoveries(final_worlds: list[World], rng: Random, result: ExplorationResult) -> None:
    """Check the recovery from a sample of the final states: 5 %, but at least 50 if there are as many."""
    sample_size = min(len(final_worlds), max(50, len(final_worlds) // 20))
    for world in rng.sample(final_worlds, sample_size):
        result.checked_ends += 1
        world.copy().check_recovery()


def explore(
    budget: int,
    ticks: int,
    rates: str = "apart",
    max_states: int = 10**9,
    seconds: float = 1e9,
    seed: int = 1,
    only_faults: str = "",
) -> ExplorationResult:
    """Explore every run of `ticks` ticks with at most `budget` faults, one tick after another.

    `max_states` and `seconds` limit the exploration. The seed then selects the states that are continued.
    """
    result, started_at, rng = ExplorationResult(), time.monotonic(), Random(seed)
    worlds = [World.new(RATES[rates], budget, only_faults)]
    try:
        for tick in range(ticks):
            remaining = max(1, max_states - result.states)
            # Each tick has a share of the limits, so that the later ones are explored too.
            share = max(1, remaining // max(1, ticks - tick))
            if len(worlds) > 1 and share < max_states:
                rng.shuffle(worlds)
            tick_ends_at = started_at + seconds * (tick + 1) / ticks
            worlds = explore_tick(worlds, share, tick_ends_at, result)
            result.states += len(worlds)
        check_recoveries(worlds, rng, result)
    except InvariantViolationError as error:
        result.violation = str(error)
    result.seconds = time.monotonic() - started_at
    return result


@contextlib.contextmanager
def injected_bug(name: str) -> Iterator[None]:
    """Inject a bug of injected_bugs.py and remove it at the end."""
    originals = Voter.restore, LeaseTiming.holder_span, Candidate.holds, Candidate.end
    injected_bugs.inject(name)
    try:
        yield
    finally:
        Voter.restore, LeaseTiming.holder_span, Candidate.holds, Candidate.end = originals  # type: ignore[method-assign]
