"""Bugs put in on purpose: the explorer and the rig have to find each of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from onyxhollow.leases.claim import Claim, Rules, Said, State
from onyxhollow.leases.messages import Message
from onyxhollow.leases.voter import Voter


def forgets() -> None:
    """A voter that starts anew as if nothing had been granted."""

    def remember(self: Voter, rows: Iterable[Message], now: float) -> None:
        self.blank = False

    Voter.remember = remember  # type: ignore[method-assign]


def no_margin() -> None:
    """A holder that trusts its clock to run as the voters' do."""
    Rules.span = property(lambda self: self.lease)  # type: ignore[assignment]


def no_look() -> None:
    """An act without a look at the clock: what was held at the last turn is taken as held."""

    def holds(self: Claim, now: float) -> bool:
        return self.state is State.HOLDING

    Claim.holds = holds  # type: ignore[method-assign]


def overlaps() -> None:
    """A hand-over that tells the voters and goes on to the end of its lease."""

    def end(self: Claim, now: float, cause: str, rest: float = 0.0) -> Said:
        if cause == "lease ran out":
            return true_end(self, now, cause, rest)
        return self.give_back() if self.state is State.HOLDING else []

    true_end = Claim.end
    Claim.end = end  # type: ignore[method-assign]


BUGS: dict[str, Callable[[], None]] = {
    "forgets": forgets,
    "no-margin": no_margin,
    "no-look": no_look,
    "overlaps": overlaps,
}


def put_in(name: str) -> None:
    BUGS[name]()
