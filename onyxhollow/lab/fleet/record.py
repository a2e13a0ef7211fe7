"""Check the leases of a process cluster, from the processes' logs and the stand-ins' records alone.

All times are on the machine's monotonic clock. The field `at` of a log line is the time when it was written.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from onyxhollow.lab.fleet.stand_ins import Action

# An action may arrive this long after the end of its lease without being counted as late.
ACTION_TOLERANCE_SECONDS = 0.25


@dataclass(frozen=True)
class LogLine:
    """One line of a process's log."""

    at: float
    process: str  # title of the process: member and run number
    event: str
    fields: dict[str, Any]


@dataclass
class Hold:
    """An interval in which one process held a duty by its own clock."""

    duty: str
    term: int
    holder: str
    process: str
    since: float
    until: float  # end of the lease by the process's own clock, or earlier
    cause: str = ""  # empty if the lease expired or the process was killed
    ended: bool = False


@dataclass(frozen=True)
class ActionKey:
    """Identifies one action of a duty's holder."""

    duty: str
    term: int
    member: str  # process id
    number: int


@dataclass(frozen=True)
class SlowWrite:
    """A request of a holder for which the check of the lease and the write took unusually long together.

    The check and the write belong to one call, in which the process waits for nothing.
    """

    process: str  # title of the process
    checked_at: float  # when the call of the check began
    written_at: float  # when the write had returned


@dataclass
class Verdict:
    """Violations that were found, as one text each."""

    holds: int = 0
    overlaps: list[str] = field(default_factory=list)  # two holders of a duty at one time
    # actions of an older term that were accepted after one of a newer term
    stale: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)  # actions that arrived after the end of the holder's lease
    falling: list[str] = field(default_factory=list)  # holds whose term is not above that of the hold before
    # Late actions of processes that the cluster suspended between the check of the lease and the write, and
    # that no newer term preceded unless the ledger refused them. No program can prevent these, so they are
    # no violations.
    suspended: list[str] = field(default_factory=list)

    @property
    def clean(self) -> bool:
        """Whether nothing was found that violates an invariant; suspended actions do not."""
        return not (self.overlaps or self.stale or self.late or self.falling)


class HoldTracker:
    """Reconstructs the holds of all processes from their log lines.

    `rates` has the rates of lease clocks that run fast or slow, by process.
    """

    def __init__(self, rates: dict[str, float]) -> None:
        self.rates = rates
        self.all_holds: list[Hold] = []
        self.open_holds: dict[tuple[str, str], Hold] = {}
        self.holder_names: dict[str, str] = {}
        self.slow_writes: dict[ActionKey, SlowWrite] = {}

    def process_line(self, line: LogLine) -> None:
        """Update the holds by one log line; the lines of a process must come in order."""
        fields, rate = line.fields, self.rates.get(line.process, 1.0)
        if line.event == "fleet":
            self.holder_names[line.process] = f"{fields['proxy']}~{fields['epoch']}"
        elif line.event == "slow write":
            key = ActionKey(fields["duty"], fields["term"], fields["member"], fields["number"])
            self.slow_writes[key] = SlowWrite(line.process, fields["checked"], line.at)
        elif line.event == "duty" and fields["change"] == "held":
            holder, until = self.holder_names.get(line.process, line.process), line.at + fields["left"] / rate
            hold = Hold(fields["duty"], fields["term"], holder, line.process, line.at, until)
            self.all_holds.append(hold)
            self.open_holds[line.process, fields["duty"]] = hold
        elif line.event == "lease" and (open_hold := self.open_holds.get((line.process, fields["duty"]))):
            open_hold.until = line.at + fields["left"] / rate
        elif line.event == "duty" and fields["change"] == "ended":
            if open_hold := self.open_holds.pop((line.process, fields["duty"]), None):
                open_hold.until, open_hold.cause, open_hold.ended = (
                    min(open_hold.until, line.at),
                    fields["cause"],
                    True,
                )

    def sorted_holds(self, ends: dict[str, float]) -> list[Hold]:
        """Return all holds by start time, each cut off at the time in `ends` at which its process ended."""
        for hold in self.all_holds:
            hold.until = min(hold.until, ends.get(hold.process, math.inf))
        return sorted(self.all_holds, key=lambda hold: hold.since)


def was_suspended_between_check_and_write(
    action: Action, until: float, write: SlowWrite | None, resumptions: Mapping[str, Sequence[float]]
) -> bool:
    """Return whether a late action was checked within its lease and could not be withheld afterwards.

    The process did not run from its suspension to its resumption. If it was resumed between the check and the
    end of the write, it was suspended between them too. Terms exclude such an action: it must have been
    refused, or no newer term may have acted yet.
    """
    if write is None or write.checked_at > until:
        return False
    if action.accepted and action.term < action.newest_term:
        return False
    return any(
        write.checked_at < resumed_at <= write.written_at for resumed_at in resumptions.get(write.process, ())
    )


def check_holds(
    holds: list[Hold],
    actions: list[Action],
    slow_writes: Mapping[ActionKey, SlowWrite] = MappingProxyType({}),
    resumptions: Mapping[str, Sequence[float]] = MappingProxyType({}),
) -> Verdict:
    """Return the violations among the holds and the actions recorded by the ledger stand-in.

    `slow_writes` come from the members' logs; `resumptions` has the times at which the cluster resumed each
    process, by its title.
    """
    verdict = Verdict(holds=len(holds))
    by_duty: dict[str, list[Hold]] = {}
    for hold in holds:
        by_duty.setdefault(hold.duty, []).append(hold)
    for duty, rows in by_duty.items():
        rows.sort(key=lambda hold: hold.since)
        for index, hold in enumerate(rows):
            for other in rows[index + 1 :]:
                if other.since >= hold.until:
                    continue
                verdict.overlaps.append(
                    f"{duty}: {hold.holder} term {hold.term} until {hold.until:.3f}, "
                    f"{other.holder} term {other.term} from {other.since:.3f}"
                )
            if index and hold.term <= rows[index - 1].term:
                verdict.falling.append(f"{duty}: term {hold.term} after {rows[index - 1].term}")
    ends = {(hold.duty, hold.term, hold.holder): hold.until for hold in holds}
    for action in actions:
        if action.accepted and action.term < action.newest_term:
            verdict.stale.append(
                f"{action.duty}: {action.member} term {action.term} after {action.newest_term}"
            )
        until = ends.get((action.duty, action.term, action.member))
        if until is None or action.not_before > until + ACTION_TOLERANCE_SECONDS:
            reason = "never held" if until is None else f"{action.not_before - until:.3f} s over"
            write = slow_writes.get(ActionKey(action.duty, action.term, action.member, action.number))
            is_excused = until is not None and was_suspended_between_check_and_write(
                action, until, write, resumptions
            )
            (verdict.suspended if is_excused else verdict.late).append(
                f"{action.duty}: {action.member} term {action.term} number {action.number}: {reason}"
            )
    return verdict
