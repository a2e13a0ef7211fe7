"""Detect injected bugs on a process cluster, with the faults that make each bug violate an invariant."""

from __future__ import annotations

from pathlib import Path

from onyxhollow.lab.fleet.process_cluster import ProcessCluster
from onyxhollow.lab.fleet.record import ACTION_TOLERANCE_SECONDS, Verdict

MAX_ATTEMPTS = 8
FREQUENT_DUTY = {
    "name": "ledger",
    "work": "call",
    "every": 0.02,
}  # a resumed holder's next event is an action


def stop_isolated_holder(cluster: ProcessCluster, holder: str) -> None:
    """Stop an isolated holder until after its lease, and resume it.

    No datagram is waiting when it resumes, so the first thing that it does is its next action.
    """
    cluster.cut([holder], cluster.names)
    cluster.run_for(0.05)
    cluster.stop(holder)
    cluster.wait_holder(other_than=holder)
    cluster.run_for(2 * ACTION_TOLERANCE_SECONDS)  # longer than the tolerance for late actions
    cluster.resume(holder)


def hand_to(cluster: ProcessCluster, holder: str, to: str) -> str:
    """Hand the lease over to a member, and return the next holder.

    A member with a fast clock ends its lease before its voters do, with or without a margin, and fast members
    usually win the election after an expired lease. Only a slow holder reveals a missing margin.
    """
    cluster.query(holder, f"/hand-over?name=ledger&to={to}", "POST")
    return cluster.wait_holder(other_than=holder, within=30)


def first_violation(verdict: Verdict) -> str:
    """Return the first violation of the verdict, or an empty string."""
    return next(iter(verdict.overlaps + verdict.late + verdict.stale + verdict.falling), "")


def cause_revealing_faults(cluster: ProcessCluster, name: str, holder: str) -> None:
    """Cause and end the faults at the holder under which the bug of this name may violate an invariant."""
    if name == "overlaps":
        to = next(member for member in cluster.names if member != holder)
        cluster.query(holder, f"/hand-over?name=ledger&to={to}", "POST")
        cluster.run_for(1.5)
    elif name == "no-look":
        stop_isolated_holder(cluster, holder)
        cluster.run_for(1.0)
        cluster.heal()
    else:
        rules = cluster.cut([holder], None)
        if name == "forgets":
            voters = [voter for voter in cluster.voters if voter != holder]
            cluster.kill(*voters)
            cluster.start(*voters, wait=False)
        cluster.run_for(2.5)
        cluster.heal(rules)
        cluster.run_for(1.0)


def detect_bug(name: str, folder: Path) -> str:
    """Return the first violation of a fleet with this bug in every member, or an empty string."""
    rates = {"n0": 0.9, "n1": 1.1, "n2": 1.1, "n3": 0.9}
    cluster = ProcessCluster(
        folder, members=4, lease=1.0, rate_bound=0.1 if name == "no-margin" else 0.01, duties=[FREQUENT_DUTY]
    )
    for member in cluster.names:
        cluster.process_faults[member] = {"broken": name} | (
            {"rate": rates[member]} if name == "no-margin" else {}
        )

    try:
        cluster.start()
        cluster.wait_members()
        cluster.wait_holder()
        for _ in range(MAX_ATTEMPTS):
            holder = cluster.wait_holder(within=30)
            if name == "no-margin" and rates[holder] > 1.0:
                holder = hand_to(cluster, holder, "n0")
            cause_revealing_faults(cluster, name, holder)
            if violation := first_violation(cluster.verdict()):
                return violation
        return ""
    finally:
        cluster.close()
