"""Deliberate bugs that the state explorer and the process cluster have to detect."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from onyxhollow.leases.candidate import Candidate
from onyxhollow.leases.candidate_states import CandidateState
from onyxhollow.leases.messages import Message, VoterMessage
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import Voter


def forgets() -> None:
    """Let a restarted voter forget its grants and serve without recovery."""

    def restore(self: Voter, records: Iterable[Message], now: float) -> None:
        self.recovering = False

    Voter.restore = restore  # type: ignore[method-assign]


def no_margin() -> None:
    """Let a holder use the full lease duration, without the margin for clocks of different rates."""
    LeaseTiming.holder_span = property(lambda self: self.duration)  # type: ignore[assignment]


def no_look() -> None:
    """Let a holder act without checking whether its lease has expired since the last tick."""

    def holds(self: Candidate, now: float) -> bool:
        return self.state is CandidateState.HOLDING

    Candidate.holds = holds  # type: ignore[method-assign]


def overlaps() -> None:
    """Let a holder send its release to the voters, but keep acting until its lease expires."""

    def end(self: Candidate, now: float, cause: str, pause: float = 0.0) -> list[VoterMessage]:
        if cause == "lease ran out":
            return original_end(self, now, cause, pause)
        return self.release_notices() if self.state is CandidateState.HOLDING else []

    original_end = Candidate.end
    Candidate.end = end  # type: ignore[method-assign]


BUGS: dict[str, Callable[[], None]] = {
    "forgets": forgets,
    "no-margin": no_margin,
    "no-look": no_look,
    "overlaps": overlaps,
}


def inject(name: str) -> None:
    """Patch the code of this process with the named bug."""
    BUGS[name]()
