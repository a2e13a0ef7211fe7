"""Whether the rig finds a bug that was put in: faults that make it bite, until the judge says so."""

from __future__ import annotations

from pathlib import Path

from onyxhollow.lab.fleet.process_cluster import ProcessCluster
from onyxhollow.lab.fleet.record import ACTION_TOLERANCE_SECONDS, Verdict

TRIES = 8
FREQUENT_DUTY = {"name": "ledger", "work": "call", "every": 0.02}  # so often that an act is what comes next


def stop_isolated_holder(cluster: ProcessCluster, holder: str) -> None:
    """Stopped past its lease, with nothing waiting to be read when it is woken: what it finds first is its
    act."""
    cluster.cut([holder], cluster.names)
    cluster.run_for(0.05)
    cluster.stop(holder)
    cluster.wait_holder(other_than=holder)
    cluster.run_for(2 * ACTION_TOLERANCE_SECONDS)  # so that the judge can tell
    cluster.resume(holder)


def hand_to(cluster: ProcessCluster, holder: str, to: str) -> str:
    """The holder after a hand-over.

    A member whose clock is fast holds for less than its voters grant, whatever margin it keeps, and fast ones
    win the races for leases that have run out: only a slow one shows that the margin is missing.
    """
    cluster.query(holder, f"/hand-over?name=ledger&to={to}", "POST")
    return cluster.wait_holder(other_than=holder, within=30)


def detect_bug(name: str, folder: Path) -> str:
    """What the judge says of a fleet with a bug in it; "": nothing."""
    rates = {"n0": 0.9, "n1": 1.1, "n2": 1.1, "n3": 0.9}
    cluster = ProcessCluster(
        folder, members=4, lease=1.0, rate_bound=0.1 if name == "no-margin" else 0.01, duties=[FREQUENT_DUTY]
    )
    for member in cluster.names:
        cluster.process_faults[member] = {"broken": name} | (
            {"rate": rates[member]} if name == "no-margin" else {}
        )

    def said(verdict: Verdict) -> str:
        return next(iter(verdict.overlaps + verdict.late + verdict.stale + verdict.falling), "")

    try:
        cluster.start()
        cluster.wait_members()
        cluster.wait_holder()
        for _ in range(TRIES):
            holder = cluster.wait_holder(within=30)
            if name == "overlaps":
                to = next(member for member in cluster.names if member != holder)
                cluster.query(holder, f"/hand-over?name=ledger&to={to}", "POST")
                cluster.run_for(1.5)
            elif name == "no-look":
                stop_isolated_holder(cluster, holder)
                cluster.run_for(1.0)
                cluster.heal()
            else:
                if name == "no-margin" and rates[holder] > 1.0:
                    holder = hand_to(cluster, holder, "n0")
                rules = cluster.cut([holder], None)
                if name == "forgets":
                    voters = [voter for voter in cluster.voters if voter != holder]
                    cluster.kill(*voters)
                    cluster.start(*voters, wait=False)
                cluster.run_for(2.5)
                cluster.heal(rules)
                cluster.run_for(1.0)
            if told := said(cluster.verdict()):
                return told
        return ""
    finally:
        cluster.close()
