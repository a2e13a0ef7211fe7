"""A candidate for one duty: looks, asks, holds, goes on, hands over. Pure, as voter.py; it is told its rank.

The lease is counted from before the voters were asked, on this process's own clock, and ends `span` seconds
later: `lease` less the stated bound on clock rates. With rates within 1 - bound and 1 + bound of true time,
a voter's word lasts at least lease / (1 + bound), and span ends at the latest after span / (1 - bound): the
same. Whoever acts looks at the clock first (`holds`), and every act carries the term.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from random import Random

from onyxhollow.leases.messages import Answer, Ask, Council, Learn, Message, Proposal, Release

ROUNDS = 4  # askings of a holder whose answers still count
STANDBY = 3  # candidates that look out for the end of a lease, the first by rank


@dataclass(frozen=True, slots=True)
class Rules:
    lease: float = 3.0  # seconds
    rate_bound: float = 0.01  # by which any clock's rate may be off

    @property
    def span(self) -> float:
        """Seconds for which the holder takes a lease to last, from before it asked."""
        return self.lease * (1.0 - self.rate_bound) / (1.0 + self.rate_bound)

    @property
    def renew(self) -> float:
        return self.lease / 3.0

    @property
    def again(self) -> float:
        """Seconds after which those are asked once more who have not answered."""
        return self.lease / 16.0

    @property
    def patience(self) -> float:
        """Seconds for which a candidate waits for answers."""
        return self.lease / 4.0


class State(Enum):
    IDLE = "idle"
    LOOKING = "looking"
    ASKING = "asking"
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class Turn:
    """What has become of a claim, for the log and the work."""

    held: bool
    term: int
    cause: str
    waited: float = 0.0  # seconds since it was first seen free


Said = list[tuple[str, Message]]  # to which voter, and what


class Claim:
    def __init__(self, duty: str, me: str, rules: Rules, council: Council, rng: Random, now: float) -> None:
        self.duty, self.me, self.rules, self.council, self.rng = duty, me, rules, council, rng
        self.state = State.IDLE
        self.term = self.highest = 0
        self.round = 0
        self.until = -math.inf  # the own lease's end
        self.sent: dict[int, tuple[float, frozenset[str]]] = {}  # by round: when asked, who said yes
        self.denied: dict[str, Answer] = {}
        self.again_at = math.inf  # when those who have not answered are asked once more
        self.next_at = now + rng.random() * rules.renew
        self.tries = self.rank = 0
        self.free_since = math.inf
        self.holder = ""  # as far as known
        self.pending: Proposal | None = None  # the latest that a voter told of, to one who asks for VOTERS
        self.turns: list[Turn] = []

    def holds(self, now: float) -> bool:
        """now: looked at just before the act, on this process's own clock."""
        return self.state is State.HOLDING and now < self.until

    def voters(self) -> tuple[str, ...]:
        return self.council.names

    def ask(self, now: float, look: bool) -> Said:
        self.round += 1
        self.sent[self.round] = now, frozenset()
        while len(self.sent) > ROUNDS:
            del self.sent[min(self.sent)]
        self.again_at = now + self.rules.again
        return [(voter, self.asked(look)) for voter in self.voters()]

    def asked(self, look: bool) -> Ask:
        return Ask(self.duty, self.term, self.me, self.round, self.rules.lease, self.council.version, look)

    def ask_again(self, now: float) -> Said:
        """Datagrams get lost. It is the same asking: its lease counts from when it was first sent."""
        yes = self.sent[self.round][1] if self.round in self.sent else frozenset()
        if self.state is State.IDLE or len(yes) >= self.council.majority:
            self.again_at = math.inf
            return []
        self.again_at = now + self.rules.again
        asked = self.asked(look=self.state is State.LOOKING)
        return [(voter, asked) for voter in self.voters() if voter not in yes and voter not in self.denied]

    def tick(self, now: float, rank: int | None) -> Said:
        """rank: this member's place among those who may hold it; None: it must not."""
        if self.state is State.HOLDING:
            if now >= self.until:
                return self.end(now, "lease ran out")
            if now >= self.next_at:
                self.next_at, self.denied = now + self.rules.renew, {}
                return self.ask(now, look=False)
            return self.ask_again(now) if now >= self.again_at else []
        if self.state in (State.LOOKING, State.ASKING):
            if now >= self.next_at:
                return self.fall_back(now)
            return self.ask_again(now) if now >= self.again_at else []
        if now < self.next_at:
            return []
        self.rank = rank or 0
        if rank is None or rank >= STANDBY:
            self.next_at = now + self.rules.renew
            return []
        return self.look(now)

    def look(self, now: float) -> Said:
        """Asked first without effect: who asks in earnest and loses costs the holder a voter."""
        self.state, self.denied, self.sent = State.LOOKING, {}, {}
        self.term = self.highest + 1
        self.next_at = now + self.rules.patience
        return self.ask(now, look=True)

    def take(self, now: float) -> Said:
        """At once: it was offered, or looks free."""
        self.state, self.denied, self.sent = State.ASKING, {}, {}
        self.term = self.highest + 1
        self.next_at = now + self.rules.patience
        return self.ask(now, look=False)

    def offered(self, now: float, term: int) -> Said:
        """By the holder, who has let go of it."""
        self.highest = max(self.highest, term)
        if self.state is State.HOLDING:
            return []
        self.tries, self.free_since = 0, min(self.free_since, now)
        return self.take(now)

    def heard(self, now: float, voter: str, told: Answer) -> Said:
        self.highest = max(self.highest, told.highest)
        if told.pending and (self.pending is None or told.pending.term > self.pending.term):
            self.pending = told.pending
        if told.council and told.council.version > self.council.version:
            self.council = told.council
            if self.state is not State.HOLDING:
                return self.fall_back(now, soon=True)
            self.next_at = now
            return []
        if told.why == "behind":
            return [(voter, Learn(self.council))]
        asked = self.sent.get(told.round)
        if asked is None or voter not in self.voters() or told.term != self.term:
            return []
        if not told.yes:
            self.denied[voter] = told
            if self.state is State.HOLDING:
                return []
            if len(self.voters()) - len(self.denied) < self.council.majority:
                return self.fall_back(now)
            return []
        at, yes = asked[0], asked[1] | {voter}
        self.sent[told.round] = at, yes
        if len(yes) < self.council.majority:
            return []
        if self.state is State.LOOKING:
            self.free_since = min(self.free_since, now)
            return self.take(now)
        until = at + self.rules.span
        if self.state is State.ASKING:
            if now >= until:  # the answers were too long on their way
                return self.fall_back(now)
            self.state, self.holder, self.tries = State.HOLDING, self.me, 0
            waited = now - min(self.free_since, now)
            self.turns.append(Turn(True, self.term, "granted", waited))
            self.free_since = math.inf
            self.next_at = at + self.rules.renew
        if self.state is State.HOLDING:
            self.until = max(self.until, until)
        return []

    def fall_back(self, now: float, soon: bool = False) -> Said:
        """Not enough have said yes: gives their word back, and waits until it may be free."""
        said = self.give_back() if self.state is State.ASKING else []
        self.state = State.IDLE
        lefts = sorted(told.left for told in self.denied.values())
        spare = len(self.voters()) - self.council.majority  # that may go on saying no
        left = lefts[-1 - spare] if len(lefts) > spare else 0.0
        self.holder = next((told.holder for told in self.denied.values() if told.holder), "")
        if left > 0.0:
            self.free_since, self.tries = math.inf, 0
            self.next_at = now + left + (self.rank + self.rng.random()) * self.rules.lease / 20
        elif soon:
            self.next_at = now
        else:
            self.tries = min(self.tries + 1, 4)
            self.next_at = now + self.rng.uniform(0.1, 1.0) * self.rules.lease / 20 * 2**self.tries
        return said

    def give_back(self) -> Said:
        told = Release(self.duty, self.term, self.me)
        return [(voter, told) for voter in self.voters()]

    def end(self, now: float, cause: str, rest: float = 0.0) -> Said:
        """Lets go of it: from here on this process does not act under its term; then the voters are told.
        rest: seconds for which it does not ask again."""
        if self.state is not State.HOLDING:
            return []
        self.state, self.until, self.holder = State.IDLE, -math.inf, ""
        self.turns.append(Turn(False, self.term, cause))
        self.next_at = now + max(rest, self.rules.lease / 2)
        return self.give_back()

    def due(self) -> float:
        if self.state is State.IDLE:
            return self.next_at
        return min(self.next_at, self.again_at, self.until if self.state is State.HOLDING else math.inf)
