"""What a member knows of one role: its candidacy and task, and the holders that were announced."""

from __future__ import annotations

from dataclasses import dataclass

from onyxhollow.fleet.leader_tasks import LeaderTask
from onyxhollow.leases.candidate import Candidate


@dataclass(slots=True)
class LeaseRunner:
    """One role at this member.

    Attributes:
        candidate: This process's candidacy.
        zone: The zone that the holder has to be of; None: any.
        task: What the holder does; None: nothing but holding.
        leading_since: When this process last got the lease, or an operator named its member as the target.
        quiet_until: Before this the process is no candidate.
        logged_expiry: The end of the lease that was last logged.
        failures: Of the task, in a row.
    """

    candidate: Candidate
    zone: str | None
    task: LeaderTask | None
    leading_since: float = 0.0
    quiet_until: float = 0.0
    logged_expiry: float = 0.0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class HolderChange:
    """A new holder of a role, as it became known to this process.

    Attributes:
        role: Name of the role.
        term: Of the holder's lease.
        process_id: Of the holder.
        at: When it became known, seconds on the loop's clock.
    """

    role: str
    term: int
    process_id: str
    at: float
