"""A voter: gives its word for a duty to one at a time, for a lease, under a term that only rises.

Pure: told the time (seconds on its own clock, which no step of the wall clock moves) and what was heard, it
returns what to answer and what must be on the disk before that is sent. What it rests on:

- Its word runs out on its own clock, `lease` seconds after it was asked. The asker counts from before it
  asked and stops earlier by the stated bound on clock rates, so no bound on delays is needed.
- A term is given to one candidate, once, and only if higher than all before. Two majorities share a voter,
  which orders their terms; so terms rise from holder to holder.
- What it gave its word for outlives the process. One that starts with that memory takes each lease as given
  just now. One without it has forgotten which terms are used up: it waits out the longest lease, and asks
  the other voters; until enough of them have said what they know, it gives no word.
- Changing the voters is a proposal under the term of the duty VOTERS (single-decree Paxos with that term as
  its number). A voter that has accepted one gives its word under the old council no more.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from onyxhollow.leases.messages import (
    VOTERS,
    Accepted,
    Accepting,
    Answer,
    Ask,
    Council,
    Granted,
    Learn,
    Message,
    Proposal,
    Propose,
    Recall,
    Recalled,
    Release,
    Released,
    Remembers,
    Seated,
)

MOST_DUTIES = 256  # that a voter gives its word for
LONGEST_LEASE = 60.0  # seconds
RECALL_EVERY = 0.25  # seconds between askings of a voter without memory


class Seat(msgspec.Struct, frozen=True):
    """One duty at one voter."""

    term: int = 0
    holder: str = ""
    until: float = -math.inf

    def left(self, now: float) -> float:
        return max(0.0, self.until - now) if self.holder else 0.0


def decide(seat: Seat, ask: Ask, now: float) -> tuple[Seat | None, str]:
    """What becomes of the seat if the answer is yes; None and the reason if it is no."""
    if ask.who == seat.holder and ask.term == seat.term:  # goes on; or asked twice, which harms nobody
        return Seat(seat.term, seat.holder, max(seat.until, now + ask.lease)), ""
    if seat.holder != ask.who and seat.left(now) > 0.0:
        return None, "held"
    if ask.term <= seat.term:
        return None, "term"
    return Seat(ask.term, ask.who, now + ask.lease), ""


class Voter:
    def __init__(self, me: str, council: Council, lease: float, now: float) -> None:
        self.me, self.council, self.lease = me, council, lease
        self.seats: dict[str, Seat] = {}
        self.pending: Proposal | None = None
        self.blank = True
        self.waits_until = now + lease
        self.recalled: dict[str, bool] = {}  # which other voters have said what they know; whether blank
        self.round = 0
        self.next_recall = now
        self.before: tuple[str, Seat | None, Proposal | None] | None = None

    # memory

    def remember(self, rows: Iterable[Message], now: float) -> None:
        """What was written before this process; each lease is taken as given just now."""
        for row in rows:
            if isinstance(row, Granted):
                self.seats[row.duty] = Seat(row.term, row.who, now + row.lease if row.lease else -math.inf)
            elif isinstance(row, Released):
                if (seat := self.seats.get(row.duty)) and seat.term == row.term:
                    self.seats[row.duty] = Seat(row.term)
            elif isinstance(row, Seated):
                self.seat(row.council, now)
            elif isinstance(row, Accepting):
                self.pending = row.proposal
            elif isinstance(row, Remembers):
                self.blank = False

    def rows(self) -> list[Message]:
        """The same in as few records as it takes."""
        told: list[Message] = [Seated(self.council)]
        for duty, seat in sorted(self.seats.items()):
            given = seat.holder and seat.until > -math.inf
            told.append(Granted(duty, seat.term, seat.holder, self.lease if given else 0.0))
        if self.pending:
            told.append(Accepting(self.pending))
        return told if self.blank else [*told, Remembers()]

    def undo(self) -> None:
        """The disk has not taken it: nothing was said, and nothing holds."""
        if self.before is not None:
            duty, seat, self.pending = self.before
            if seat is None:
                self.seats.pop(duty, None)
            else:
                self.seats[duty] = seat
            self.before = None

    def seat(self, council: Council, now: float) -> None:
        """The voters from now on. One who was none knows nothing of what was granted meanwhile."""
        if self.me in council.names and self.me not in self.council.names:
            self.blank, self.waits_until, self.recalled = True, now + self.lease, {}
        self.council = council
        if self.pending and self.pending.council.version <= council.version:
            self.pending = None

    # without memory

    @property
    def others(self) -> list[str]:
        return [name for name in self.council.names if name != self.me]

    def able(self) -> bool:
        return not self.blank and self.me in self.council.names

    def tick(self, now: float) -> tuple[list[tuple[str, Message]], list[Message]]:
        """What to say to other voters, and what to write first; a voter with its memory does nothing here."""
        if not self.blank or self.me not in self.council.names:
            return [], []
        # Any majority that this voter was part of has another member among so many of the others. When all
        # others have lost their memory too, their word that it is lost is as much as there is to be had.
        know = sum(1 for name in self.others if self.recalled.get(name) is False)
        all_told = all(name in self.recalled for name in self.others)
        if now >= self.waits_until and (know >= self.council.majority or all_told):
            self.blank = False
            return [], self.rows()
        if now < self.next_recall:
            return [], []
        self.next_recall = now + RECALL_EVERY
        self.round += 1
        return [(name, Recall(self.round)) for name in self.others], []

    def due(self) -> float:
        return self.next_recall if self.blank and self.me in self.council.names else math.inf

    def recall(self, name: str, told: Recalled, now: float) -> None:
        if not self.blank or name not in self.others:
            return
        if told.council.version > self.council.version:
            self.seat(told.council, now)
        self.recalled[name] = told.blank
        for duty, (term, holder) in told.terms.items():
            if len(self.seats) < MOST_DUTIES and term > self.seats.get(duty, Seat()).term:
                self.seats[duty] = Seat(term, holder)

    # asked

    def heard(self, now: float, source: str, told: Message) -> tuple[list[Message], list[Message]]:
        """What to answer, and what has to be written before."""
        self.before = None
        if isinstance(told, Ask):
            return self.asked(now, told)
        if isinstance(told, Release):
            seat = self.seats.get(told.duty, Seat())
            if seat.holder == told.who and seat.term == told.term:
                self.seats[told.duty] = Seat(seat.term)
                return [], [Released(told.duty, told.term)]
        elif isinstance(told, Recall):
            terms = {duty: (seat.term, seat.holder) for duty, seat in self.seats.items()}
            return [Recalled(told.round, self.blank, terms, self.council)], []
        elif isinstance(told, Recalled):
            self.recall(source, told, now)
        elif isinstance(told, Propose):
            return self.proposed(told)
        elif isinstance(told, Learn) and told.council.version > self.council.version:
            self.seat(told.council, now)
            return [], [Seated(self.council)]
        return [], []

    def asked(self, now: float, ask: Ask) -> tuple[list[Message], list[Message]]:
        seat = self.seats.get(ask.duty, Seat())

        def no(why: str) -> tuple[list[Message], list[Message]]:
            left = self.waits_until - now if why == "no memory yet" else seat.left(now)
            newer = self.council if self.council.version > ask.version else None
            pending = self.pending if ask.duty == VOTERS else None
            holder = seat.holder if seat.left(now) else ""
            told = Answer(
                ask.duty, ask.term, ask.round, False, seat.term, holder, max(0.0, left), why, newer, pending
            )
            return [told], []

        if self.council.version != ask.version:
            return no("council" if self.council.version > ask.version else "behind")
        if self.me not in self.council.names:
            return no("no voter")
        if self.blank:
            return no("no memory yet")
        if self.pending and ask.duty != VOTERS:
            return no("voters change")
        if ask.duty not in self.seats and len(self.seats) >= MOST_DUTIES or not 0.0 < ask.lease <= self.lease:
            return no("bounds")
        after, why = decide(seat, ask, now)
        if after is None:
            return no(why)
        pending = self.pending if ask.duty == VOTERS else None
        yes = Answer(ask.duty, ask.term, ask.round, True, seat.term, pending=pending)
        if ask.look:
            return [yes], []
        self.before = ask.duty, self.seats.get(ask.duty), self.pending
        self.seats[ask.duty] = after
        # A lease that goes on is not written: after a restart it is taken as given just now.
        known = (seat.term, seat.holder) == (after.term, after.holder) and seat.until > -math.inf
        return [yes], [] if known else [Granted(ask.duty, after.term, after.holder, self.lease)]

    def proposed(self, told: Propose) -> tuple[list[Message], list[Message]]:
        seat = self.seats.get(VOTERS, Seat())
        fits = told.council.version == self.council.version + 1 and self.able()
        if not fits or told.term < seat.term or (self.pending and self.pending.term > told.term):
            return [Accepted(told.round, False, seat.term, self.council.version)], []
        self.before = VOTERS, self.seats.get(VOTERS), self.pending
        self.pending = Proposal(told.term, told.council)
        return [Accepted(told.round, True, seat.term, self.council.version)], [Accepting(self.pending)]
