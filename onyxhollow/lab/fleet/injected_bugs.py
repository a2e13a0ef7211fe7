"""Bugs put in on purpose: the explorer and the rig have to find each of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from onyxhollow.leases.candidate import Candidate
from onyxhollow.leases.candidate_states import CandidateState
from onyxhollow.leases.messages import Message, VoterMessage
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import Voter


def forgets() -> None:
    """A voter that starts anew as if nothing had been granted."""

    def restore(self: Voter, records: Iterable[Message], now: float) -> None:
        self.recovering = False

    Voter.restore = restore  # type: ignore[method-assign]


def no_margin() -> None:
    """A holder that trusts its clock to run as the voters' do."""
    LeaseTiming.holder_span = property(lambda self: self.duration)  # type: ignore[assignment]


def no_look() -> None:
    """An act without a look at the clock: what was held at the last turn is taken as held."""

    def holds(self: Candidate, now: float) -> bool:
        return self.state is CandidateState.HOLDING

    Candidate.holds = holds  # type: ignore[method-assign]


def overlaps() -> None:
    """A hand-over that tells the voters and goes on to the end of its lease."""

    def end(self: Candidate, now: float, cause: str, pause: float = 0.0) -> list[VoterMessage]:
        if cause == "lease ran out":
            return true_end(self, now, cause, pause)
        return self.release_notices() if self.state is CandidateState.HOLDING else []

    true_end = Candidate.end
    Candidate.end = end  # type: ignore[method-assign]


BUGS: dict[str, Callable[[], None]] = {
    "forgets": forgets,
    "no-margin": no_margin,
    "no-look": no_look,
    "overlaps": overlaps,
}


def inject(name: str) -> None:
    BUGS[name]()
