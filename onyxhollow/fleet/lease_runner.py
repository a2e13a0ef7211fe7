"""State of one role at a member, and changes of the role's holder."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhollow.fleet.leader_tasks import LeaderTask
from onyxhollow.leases.candidate import Candidate


@dataclass(slots=True)
class LeaseRunner:
    """State of one role at this member.

    Attributes:
        candidate: Candidate for the role's lease.
        zone: Zone to which the holder must belong; None for any zone.
        task: Leader task that runs while this process holds the lease; None if the role has no task.
        leading_since: Time at which the lease was acquired, or an operator last named a target member.
        candidacy_paused_until: Time before which this process is not a candidate.
        logged_expiry: Lease expiry that was logged last.
        failures: Consecutive failures of the task.
    """

    candidate: Candidate
    zone: str | None
    task: LeaderTask | None
    leading_since: float = 0.0
    candidacy_paused_until: float = 0.0
    logged_expiry: float = 0.0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class HolderChange:
    """New holder of a role.

    Attributes:
        role: Name of the role.
        term: Term of the holder's lease.
        process_id: Process id of the holder.
        known_at: Time at which this process received the change, in seconds on the loop's clock.
    """

    role: str
    term: int
    process_id: str
    known_at: float
