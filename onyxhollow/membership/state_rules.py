"""Rules by which reported states change the member table: incarnations, suspicion and its refutation.

Of two reports of a member the one with the higher incarnation counts; only the member itself raises it, to
refute a suspicion (SWIM, section 4.2). A suspicion ends in death after a timeout that shrinks with each
member that shares it (Lifeguard).
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

# Counters, by their names in /control/fleet.
REFUTED = "refuted"
INVALID_UPDATES = "bad news"
MEMBERS_REFUSED = "members not taken in"

# Causes, by their names in the log.
CAUSE_TIMEOUT = "no word"
CAUSE_REPORTED = "told so"


@dataclass(slots=True)
class Timer:
    """When the protocol has something to do next."""

    due: float  # seconds

    def due_by(self, at: float) -> None:
        """Make it due at a time or earlier."""
        self.due = min(self.due, at)


class StateRules:
    """Merges reports into the member table, and disseminates what they change."""

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
        """Merge a reported state: the higher incarnation wins; at equal ones, the worse state (SWIM, 4.2)."""
        key = update.name, update.epoch
        if key == self.table.local_key:
            self._refute(update)
            return
        if not _is_valid(update):
            self.counters[INVALID_UPDATES] += 1
            return
        member = self.table.members.get(key) or self._introduce(update, now)
        if member is None:
            return
        if update.state is MemberState.ALIVE:
            self._apply_alive(member, update, now)
        elif update.state is MemberState.SUSPECT:
            self.suspect(member, update.incarnation, update.suspected_by, now)
        elif member.can_become(update.state):
            # A member's own farewell needs no incarnation: nothing of that process follows it.
            if update.state is MemberState.LEFT or update.incarnation >= member.incarnation:
                incarnation = max(update.incarnation, member.incarnation)
                self._transition(member, update.state, incarnation, now, CAUSE_REPORTED)

    def suspect(self, member: Member, incarnation: int, by: str, now: float) -> None:
        """Suspect a live member, or add a further member that suspects it: the timeout becomes shorter."""
        if not member.is_live or incarnation < member.incarnation:
            return
        if member.state is MemberState.SUSPECT and incarnation == member.incarnation:
            if by in member.suspected_by or len(member.suspected_by) > self.config.indirect_probes:
                return
            member.suspected_by.add(by)
            self.outbox.queue.replace(member.key, replace(member.update(), suspected_by=by))
        else:
            member.suspected_by = {by}
            self._transition(member, MemberState.SUSPECT, incarnation, now, f"by {by}")
        member.deadline = member.state_since + self.suspicion_timeout(len(member.suspected_by) - 1)
        self.timer.due_by(max(now, member.deadline))

    def suspicion_timeout(self, confirmations: int) -> float:
        """Return seconds from suspicion to death: shorter the more members suspect it too (Lifeguard)."""
        size = self.table.live_count
        shortest = self.config.suspicion_multiplier * max(1.0, math.log10(size)) * self.config.period
        max_confirmations = min(self.config.indirect_probes, size - 2)
        if max_confirmations < 1:
            return shortest
        longest = shortest * self.config.max_suspicion_multiplier
        span = longest - shortest
        saved = span * math.log(confirmations + 1) / math.log(max_confirmations + 1)
        return max(shortest, longest - saved)

    def declare_dead(self, member: Member, now: float) -> None:
        """End a suspicion that was not refuted in time."""
        self._transition(member, MemberState.DEAD, member.incarnation, now, CAUSE_TIMEOUT)

    def renew_local(self, incarnation: int, flags: int) -> None:
        """Publish this member with another incarnation or other flags."""
        self.table.local = replace(self.table.local, incarnation=incarnation, flags=flags)
        self.outbox.queue.enqueue(self.table.local_key, self.table.local)

    def _refute(self, update: MemberUpdate) -> None:
        """Answer a suspicion of this process with a higher incarnation (SWIM, section 4.2)."""
        if update.state is MemberState.ALIVE or update.incarnation < self.table.local.incarnation:
            return
        self.counters[REFUTED] += 1
        self.failure_detector.local_health.degrade()
        self.renew_local(update.incarnation + 1, self.table.local.flags)

    def _introduce(self, update: MemberUpdate, now: float) -> Member | None:
        """Add a member that was not known; one that is gone already, or finds no space, is left out."""
        if update.state in (MemberState.DEAD, MemberState.LEFT):
            return None
        member = self.table.add(update, now)
        if member is None:
            self.counters[MEMBERS_REFUSED] += 1
            return None
        self.failure_detector.schedule_member(member.key)
        self.table.changes.append(MemberChange(member, None))
        self.outbox.queue.enqueue(member.key, member.update())
        # The process of this name before it has ended as a rule: it is probed next.
        for older in self.table.older_processes(member):
            self.failure_detector.schedule_next(older.key)
        return member

    def _apply_alive(self, member: Member, update: MemberUpdate, now: float) -> None:
        if update.incarnation > member.incarnation and member.can_become(MemberState.ALIVE):
            member.address = update.address
            member.zone = update.zone
            member.flags = update.flags
            self._transition(member, MemberState.ALIVE, update.incarnation, now)
        elif member.state is MemberState.DEAD:  # it does not know that it was declared dead
            row = [encode(member.update())]
            self.outbox.reply(OutgoingDatagram(member.address, member.epoch, row), now)

    def _transition(
        self, member: Member, state: MemberState, incarnation: int, now: float, cause: str = ""
    ) -> None:
        self.table.transition(member, state, incarnation, now, cause)
        self.outbox.queue.enqueue(member.key, member.update())


def _is_valid(update: MemberUpdate) -> bool:
    name_fits = 0 < len(update.name) <= MAX_NAME_CHARACTERS
    return name_fits and len(update.zone) <= MAX_NAME_CHARACTERS and update.epoch > 0
