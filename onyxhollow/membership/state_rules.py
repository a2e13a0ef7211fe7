"""Rules for applying reported states to the member table: incarnations, suspicion and refutation.

Of two reports on a member, the one with the higher incarnation wins. Only the member itself increases its
incarnation, to refute a suspicion (SWIM, section 4.2). A suspect is declared dead after a timeout that
decreases with each further member that suspects it (Lifeguard).
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from msgspec.structs import replace

from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.failure_detector import FailureDetector
from onyxhollow.membership.member_table import Member, MemberChange, MemberTable
from onyxhollow.membership.messages import MAX_NAME_CHARACTERS, MemberState, MemberUpdate, encode
from onyxhollow.membership.outbox import Outbox, OutgoingDatagram

# Counter names in /control/fleet.
REFUTED = "refuted"
INVALID_UPDATES = "bad news"
MEMBERS_REFUSED = "members not taken in"

# Causes of state changes, as written to the log.
CAUSE_TIMEOUT = "no word"
CAUSE_REPORTED = "told so"


@dataclass(slots=True)
class Timer:
    """Time of the next protocol action."""

    due_at: float  # seconds

    def schedule_by(self, at: float) -> None:
        """Move the next action to `at` if it is due later."""
        self.due_at = min(self.due_at, at)


class StateRules:
    """Merges reports into the member table and disseminates the resulting changes."""

    def __init__(
        self,
        config: ProtocolConfig,
        table: MemberTable,
        outbox: Outbox,
        failure_detector: FailureDetector,
        timer: Timer,
        counters: Counter[str],
    ) -> None:
        self.config = config
        self.table = table
        self.outbox = outbox
        self.failure_detector = failure_detector
        self.timer = timer
        self.counters = counters

    def apply_update(self, update: MemberUpdate, now: float) -> None:
        """Merge a reported state: the higher incarnation wins, then the worse state (SWIM, section 4.2)."""
        key = update.name, update.epoch
        if key == self.table.local_key:
            self._refute(update)
            return
        if not _is_valid(update):
            self.counters[INVALID_UPDATES] += 1
            return
        member = self.table.members.get(key) or self._add_new_member(update, now)
        if member is None:
            return
        if update.state is MemberState.ALIVE:
            self._apply_alive(member, update, now)
        elif update.state is MemberState.SUSPECT:
            self.suspect(member, update.incarnation, update.suspected_by, now)
        elif member.can_become(update.state):
            # LEFT is applied whatever its incarnation, because it is the last update of that process.
            if update.state is MemberState.LEFT or update.incarnation >= member.incarnation:
                incarnation = max(update.incarnation, member.incarnation)
                self._transition(member, update.state, incarnation, now, CAUSE_REPORTED)

    def suspect(self, member: Member, incarnation: int, suspected_by: str, now: float) -> None:
        """Suspect a live member, or confirm an existing suspicion, which shortens its timeout."""
        if not member.is_live or incarnation < member.incarnation:
            return
        if member.state is MemberState.SUSPECT and incarnation == member.incarnation:
            if suspected_by in member.suspected_by or len(member.suspected_by) > self.config.indirect_probes:
                return
            member.suspected_by.add(suspected_by)
            self.outbox.queue.enqueue(member.key, replace(member.update(), suspected_by=suspected_by))
        else:
            member.suspected_by = {suspected_by}
            self._transition(member, MemberState.SUSPECT, incarnation, now, f"by {suspected_by}")
        member.deadline = member.state_since + self.suspicion_timeout(len(member.suspected_by) - 1)
        self.timer.schedule_by(max(now, member.deadline))

    def suspicion_timeout(self, confirmations: int) -> float:
        """Return the seconds until a suspect is declared dead, fewer with more confirmations (Lifeguard)."""
        size = self.table.live_count
        minimum = self.config.suspicion_multiplier * max(1.0, math.log10(size)) * self.config.period
        max_confirmations = min(self.config.indirect_probes, size - 2)
        if max_confirmations < 1:
            return minimum
        maximum = minimum * self.config.max_suspicion_multiplier
        span = maximum - minimum
        reduction = span * math.log(confirmations + 1) / math.log(max_confirmations + 1)
        return max(minimum, maximum - reduction)

    def declare_dead(self, member: Member, now: float) -> None:
        """Declare a suspect dead that has not refuted in time."""
        self._transition(member, MemberState.DEAD, member.incarnation, now, CAUSE_TIMEOUT)

    def renew_local(self, incarnation: int, flags: int) -> None:
        """Publish this process with a new incarnation or new flags."""
        self.table.local = replace(self.table.local, incarnation=incarnation, flags=flags)
        self.outbox.queue.enqueue(self.table.local_key, self.table.local)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute a suspicion of this process with a higher incarnation (SWIM, section 4.2)."""
        if update.state is MemberState.ALIVE or update.incarnation < self.table.local.incarnation:
            return
        self.counters[REFUTED] += 1
        self.failure_detector.local_health.degrade()
        self.renew_local(update.incarnation + 1, self.table.local.flags)

    def _add_new_member(self, update: MemberUpdate, now: float) -> Member | None:
        """Add an unknown member; return None if it is dead or has left, or if the table is full."""
        if update.state in (MemberState.DEAD, MemberState.LEFT):
            return None
        member = self.table.add(update, now)
        if member is None:
            self.counters[MEMBERS_REFUSED] += 1
            return None
        self.failure_detector.schedule_member(member.key)
        self.table.changes.append(MemberChange(member, None))
        self.outbox.queue.enqueue(member.key, member.update())
        # A new process usually replaces one of the same name that has ended, so the old one is probed next.
        for older in self.table.older_processes(member):
            self.failure_detector.schedule_next(older.key)
        return member

    def _apply_alive(self, member: Member, update: MemberUpdate, now: float) -> None:
        if update.incarnation > member.incarnation and member.can_become(MemberState.ALIVE):
            member.address = update.address
            member.zone = update.zone
            member.flags = update.flags
            self._transition(member, MemberState.ALIVE, update.incarnation, now)
        elif member.state is MemberState.DEAD:  # notify it so that it can refute this
            messages = [encode(member.update())]
            self.outbox.reply(OutgoingDatagram(member.address, member.epoch, messages), now)

    def _transition(
        self, member: Member, state: MemberState, incarnation: int, now: float, cause: str = ""
    ) -> None:
        self.table.transition(member, state, incarnation, now, cause)
        self.outbox.queue.enqueue(member.key, member.update())


def _is_valid(update: MemberUpdate) -> bool:
    has_valid_name = 0 < len(update.name) <= MAX_NAME_CHARACTERS
    return has_valid_name and len(update.zone) <= MAX_NAME_CHARACTERS and update.epoch > 0
