"""What happened, and the verdict on it: from the processes' logs and the stand-ins' records alone.

All times are on the machine's one monotonic clock: a log line says in `at` when it was written.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from onyxhollow.lab.fleet.stand_ins import Action

# seconds after the end of its lease by which an act may still come in
ACTION_TOLERANCE_SECONDS = 0.25


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log."""

    at: float
    process: str  # member and which of its lives
    event: str
    fields: dict[str, Any]


@dataclass
class Hold:
    """A span for which one process believed that it held a duty."""

    duty: str
    term: int
    holder: str
    process: str
    since: float
    until: float  # at the latest, by its own clock
    cause: str = ""  # why it ended; "": it just ran out, or its process was ended
    ended: bool = False


@dataclass
class Verdict:
    holds: int = 0
    overlaps: list[str] = field(default_factory=list)
    # acts of an older term that took effect after a newer one's
    stale: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)  # acts that came in when their holder's lease had ended
    falling: list[str] = field(default_factory=list)  # terms that did not rise

    @property
    def clean(self) -> bool:
        return not (self.overlaps or self.stale or self.late or self.falling)


class HoldTracker:
    """Who held what, read off log lines as they come. rates: of clocks that run fast or slow, by process."""

    def __init__(self, rates: dict[str, float]) -> None:
        self.rates = rates
        self.found: list[Hold] = []
        self.open_ones: dict[tuple[str, str], Hold] = {}
        self.whos: dict[str, str] = {}

    def feed(self, line: LogLine) -> None:
        told, rate = line.fields, self.rates.get(line.process, 1.0)
        if line.event == "fleet":
            self.whos[line.process] = f"{told['proxy']}~{told['epoch']}"
        elif line.event == "duty" and told["change"] == "held":
            who, until = self.whos.get(line.process, line.process), line.at + told["left"] / rate
            hold = Hold(told["duty"], told["term"], who, line.process, line.at, until)
            self.found.append(hold)
            self.open_ones[line.process, told["duty"]] = hold
        elif line.event == "lease" and (known := self.open_ones.get((line.process, told["duty"]))):
            known.until = line.at + told["left"] / rate
        elif line.event == "duty" and told["change"] == "ended":
            if known := self.open_ones.pop((line.process, told["duty"]), None):
                known.until, known.cause, known.ended = min(known.until, line.at), told["cause"], True

    def rows(self, ends: dict[str, float]) -> list[Hold]:
        """In order of their beginnings. ends: when a process was ended from outside."""
        for hold in self.found:
            hold.until = min(hold.until, ends.get(hold.process, math.inf))
        return sorted(self.found, key=lambda hold: hold.since)


def check_holds(found: list[Hold], acts: list[Action]) -> Verdict:
    verdict = Verdict(holds=len(found))
    by_duty: dict[str, list[Hold]] = {}
    for hold in found:
        by_duty.setdefault(hold.duty, []).append(hold)
    for duty, rows in by_duty.items():
        rows.sort(key=lambda hold: hold.since)
        for place, one in enumerate(rows):
            for other in rows[place + 1 :]:
                if other.since >= one.until:
                    continue
                verdict.overlaps.append(
                    f"{duty}: {one.holder} term {one.term} until {one.until:.3f}, "
                    f"{other.holder} term {other.term} from {other.since:.3f}"
                )
            if place and one.term <= rows[place - 1].term:
                verdict.falling.append(f"{duty}: term {one.term} after {rows[place - 1].term}")
    ends = {(hold.duty, hold.term, hold.holder): hold.until for hold in found}
    for act in acts:
        if act.accepted and act.term < act.newest_term:
            verdict.stale.append(f"{act.duty}: {act.member} term {act.term} after {act.newest_term}")
        until = ends.get((act.duty, act.term, act.member))
        if until is None or act.not_before > until + ACTION_TOLERANCE_SECONDS:
            over = "never held" if until is None else f"{act.not_before - until:.3f} s over"
            verdict.late.append(f"{act.duty}: {act.member} term {act.term} number {act.number}: {over}")
    return verdict
