"""What several members' evidence makes of a site. Pure.

A member says how clients fare at its own door: whether it takes clients, whether its servers have room, what
share of its sessions were served in time, and how its own session through that door went. The middle of what
they say counts, so that one member, one link or one bad report does not decide.
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field

from onyxhollow.addresses.messages import Evidence, Seen

MOST = 1e9  # a count past it is none
FEW = 5  # sessions under which their share in time says nothing
SPAN = 10.0  # seconds over which a member looks back
SYNTHETIC = 5  # own sessions that are remembered


@dataclass(slots=True)
class Door:
    """What one member sees at its own door, for each address."""

    ends: deque[tuple[float, float, float]] = field(
        default_factory=deque
    )  # time, sessions ended well, and all
    tries: deque[bool] = field(default_factory=lambda: deque(maxlen=SYNTHETIC))

    def counted(self, now: float, well: float, everything: float) -> None:
        """Counters of answers so far: accepted, and all."""
        self.ends.append((now, well, everything))
        while self.ends and now - self.ends[0][0] > SPAN:
            self.ends.popleft()

    def tried(self, went: bool) -> None:
        self.tries.append(went)

    def share(self) -> float | None:
        """Of the sessions answered of late, those put up; None where there were few."""
        if len(self.ends) < 2:
            return None
        (_, well, every), (_, well_now, every_now) = self.ends[0], self.ends[-1]
        if every_now - every < FEW:
            return None
        return max(0.0, min(1.0, (well_now - well) / (every_now - every)))

    def coming(self) -> float:
        """New sessions a second."""
        if len(self.ends) < 2 or self.ends[-1][0] <= self.ends[0][0]:
            return 0.0
        return max(0.0, self.ends[-1][2] - self.ends[0][2]) / (self.ends[-1][0] - self.ends[0][0])

    def see(self, ready: bool, servers: int, with_room: int) -> tuple[float, str]:
        """Health from 0 to 1, the least of all, and what it was. servers: that this site may use; with_room:
        of them those that take something new."""
        if not ready:
            return 0.0, "takes no clients"
        found = [(1.0, "well")]
        if servers:
            # A quarter of them with room is enough to place what comes; below, it gets tight.
            found.append((min(1.0, 4.0 * with_room / servers), f"{with_room} of {servers} servers have room"))
        else:
            found.append((0.0, "no server is listed"))
        if (share := self.share()) is not None:
            found.append((share, f"{share:.0%} of sessions were put up"))
        if self.tries:
            went = sum(self.tries) / len(self.tries)
            found.append((went, f"{sum(self.tries)} of {len(self.tries)} own sessions went through"))
        return min(found)


@dataclass(frozen=True, slots=True)
class Judged:
    health: float | None  # None: nobody has said anything of late
    reason: str
    load: float
    coming: float
    members: int


class Witnesses:
    """The evidence that has come, by site and member."""

    def __init__(self, fresh: float) -> None:
        self.fresh = fresh
        self.heard: dict[str, dict[str, tuple[float, dict[str, Seen]]]] = {}
        self.last: dict[str, dict[str, float]] = {}  # by site and member: when it last said anything

    def take(self, member: str, evidence: Evidence, now: float) -> None:
        rows = {
            row.address: row
            for row in evidence.rows
            if 0.0 <= row.health <= 1.0 and 0.0 <= min(row.load, row.coming) < MOST
        }
        self.heard.setdefault(evidence.site, {})[member] = now, rows
        self.last.setdefault(evidence.site, {})[member] = now

    def judge(self, site: str, address: str, now: float) -> Judged:
        by = self.heard.get(site, {})
        for member in [name for name, (at, _) in by.items() if now - at > self.fresh]:
            del by[member]
        rows = [(rows[address], member) for member, (_, rows) in sorted(by.items()) if address in rows]
        if not rows:
            return Judged(None, "no word of any member there", 0.0, 0.0, 0)
        last = self.last[site]
        for member in [name for name, at in last.items() if now - at > SPAN]:
            del last[member]
        if len(rows) == 1 and len(last) > 1 and rows[0][0].health < 1.0:
            return Judged(
                None,
                f"only {rows[0][1]} speaks, of {len(last)} of late",
                rows[0][0].load,
                rows[0][0].coming,
                1,
            )
        # With two, both have to be ill: the better one counts. Past that the middle one does.
        all_say = [row.health for row, _ in rows]
        health = max(all_say) if len(rows) == 2 else statistics.median_low(all_say)
        worst = sorted(rows, key=lambda row: row[0].health)[:3]
        reason = "; ".join(f"{member} {row.health:.2f} {row.reason}" for row, member in worst)
        return Judged(
            health,
            f"{len(rows)} said: {reason}"[:240],
            sum(row.load for row, _ in rows),
            sum(row.coming for row, _ in rows),
            len(rows),
        )
