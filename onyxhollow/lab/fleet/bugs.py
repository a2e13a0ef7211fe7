"""Whether the rig finds a bug that was put in: faults that make it bite, until the judge says so."""

from __future__ import annotations

from pathlib import Path

from onyxhollow.lab.fleet.record import LATE, Verdict
from onyxhollow.lab.fleet.rig import Rig

TRIES = 8
BUSY = {"name": "ledger", "work": "call", "every": 0.02}  # so often that an act is what comes next


def stop_unheard(rig: Rig, holder: str) -> None:
    """Stopped past its lease, with nothing waiting to be read when it is woken: what it finds first is its
    act."""
    rig.cut([holder], rig.names)
    rig.play(0.05)
    rig.stop(holder)
    rig.wait_holder(other_than=holder)
    rig.play(2 * LATE)  # so that the judge can tell
    rig.go_on(holder)


def hand_to(rig: Rig, holder: str, to: str) -> str:
    """The holder after a hand-over.

    A member whose clock is fast holds for less than its voters grant, whatever margin it keeps, and fast ones
    win the races for leases that have run out: only a slow one shows that the margin is missing.
    """
    rig.ask(holder, f"/hand-over?name=ledger&to={to}", "POST")
    return rig.wait_holder(other_than=holder, within=30)


def found(name: str, folder: Path) -> str:
    """What the judge says of a fleet with a bug in it; "": nothing."""
    rates = {"n0": 0.9, "n1": 1.1, "n2": 1.1, "n3": 0.9}
    rig = Rig(folder, members=4, lease=1.0, rate_bound=0.1 if name == "no-margin" else 0.01, duties=[BUSY])
    for member in rig.names:
        rig.trials[member] = {"broken": name} | ({"rate": rates[member]} if name == "no-margin" else {})

    def said(verdict: Verdict) -> str:
        return next(iter(verdict.overlaps + verdict.late + verdict.stale + verdict.falling), "")

    try:
        rig.start()
        rig.wait_members()
        rig.wait_holder()
        for _ in range(TRIES):
            holder = rig.wait_holder(within=30)
            if name == "overlaps":
                to = next(member for member in rig.names if member != holder)
                rig.ask(holder, f"/hand-over?name=ledger&to={to}", "POST")
                rig.play(1.5)
            elif name == "no-look":
                stop_unheard(rig, holder)
                rig.play(1.0)
                rig.mend()
            else:
                if name == "no-margin" and rates[holder] > 1.0:
                    holder = hand_to(rig, holder, "n0")
                rules = rig.cut([holder], None)
                if name == "forgets":
                    voters = [voter for voter in rig.voters if voter != holder]
                    rig.kill(*voters)
                    rig.start(*voters, wait=False)
                rig.play(2.5)
                rig.mend(rules)
                rig.play(1.0)
            if told := said(rig.verdict()):
                return told
        return ""
    finally:
        rig.close()
