"""Subscriber of the endpoint list: a member that receives the list from the publisher of its zone.

No I/O: it neither sends messages nor reads a clock. A subscriber suspends its own polling of the list
service while it receives heartbeats with its own version and a term that is not outdated. It resumes polling
when the publisher is silent, has lost the list service, or sends an invalid update. It does so after a random
delay, because all members of a zone would otherwise resume at the same time. Periodically one member polls
although the publisher works (an audit), and reports a publisher whose list is outdated.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from onyxhollow.fleet.list_messages import (
    MAX_PARTS,
    Heartbeat,
    ListMessage,
    ListRecordsError,
    ListUpdate,
    Record,
    ResyncRequest,
    decode_records,
)

ZONE_AUDIT_RATE = 0.2  # audits per second by all members of a zone together
MAX_PUBLISHER_LAG_SECONDS = 2.0  # a publisher that is behind the list service for longer is rejected
MAX_MISSED_HEARTBEATS = 3  # a publisher without a message for more intervals counts as silent
SILENCE_MARGIN_SECONDS = 0.001  # added to the timer, so that it does not expire just before the limit
MAX_CAUSE_CHARACTERS = 120

CAUSE_DISCONNECTED = "the publisher has lost the list"
CAUSE_BEHIND = "the publisher is behind"
CAUSE_SILENT = "the publisher is silent"
CAUSE_AUDIT = "audit"


@dataclass(frozen=True, slots=True)
class ListChange:
    """Records to apply in the same way as an answer of the list service."""

    records: list[Record]
    version: int | None  # None: records of a newer version whose other changes may be missing
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class UpdateId:
    """Identity of the update that a part belongs to."""

    version: int
    base: int
    parts: int


class Subscriber:
    """Decides when this member polls the list service itself. All times are in seconds."""

    def __init__(
        self,
        role: str,
        source: str,
        heartbeat_interval: float,
        max_resume_delay: float,
        rng: Random,
    ) -> None:
        self.role = role
        self.source = source
        self.heartbeat_interval = heartbeat_interval
        self.max_resume_delay = max_resume_delay
        self.rng = rng
        self.term = 0  # highest term received
        self.received_at = -math.inf  # time of the publisher's last message
        self.polling_suspended = False
        self.resume_at = math.inf  # time at which to resume polling
        self.resume_cause = ""
        self.audit_at = math.inf
        self.audit_running = False
        self.parts: dict[int, bytes] = {}  # bodies of an incomplete update, by part number
        self.parts_update_id: UpdateId | None = None
        self.behind_since = math.inf  # time since which the publisher's version is outdated
        self.rejected_term = 0  # term of a publisher that sent an invalid update or was outdated

    @property
    def silence_limit(self) -> float:
        """Seconds without a message after which the publisher counts as silent."""
        return MAX_MISSED_HEARTBEATS * self.heartbeat_interval

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float, version: int, members: int
    ) -> ResyncRequest | None:
        """Process a heartbeat; return a request for a snapshot if the publisher has a newer version.

        Args:
            heartbeat: Received heartbeat.
            now: Current time.
            version: Version of this member's list; negative if it has none.
            members: Number of live members of the zone, including this one.
        """
        if not self._accepts(heartbeat):
            return None
        self.received_at = now
        if heartbeat.disconnected or heartbeat.version < 0:
            self._schedule_resume(now, CAUSE_DISCONNECTED)
            return None
        if heartbeat.version > version or version < 0:
            return self._resync_request(version)
        if heartbeat.version < version:
            self._on_outdated_heartbeat(heartbeat.term, now)
            return None
        self.behind_since = math.inf
        if not self.audit_running:
            self._suspend_polling(now, members)
        return None

    def on_update(self, update: ListUpdate, now: float, version: int) -> ListChange | ResyncRequest | None:
        """Process a part of an update.

        Args:
            update: Received part.
            now: Current time.
            version: Version of this member's list; negative if it has none.

        Returns:
            A change once all parts have been received, a request for a snapshot if the update is a delta to
            another version than `version`, else None.
        """
        if not self._accepts(update) or not _has_valid_part_number(update):
            return None
        self.received_at = now
        if update.version <= version and version >= 0:
            return None
        if update.base >= 0 and update.base != version:
            return self._resync_request(version)
        bodies = self._add_part(update)
        return None if bodies is None else self._decode(update, bodies, now)

    def reject_publisher(self, now: float, cause: str) -> None:
        """Ignore the publisher for the rest of its term because it sent an invalid update."""
        self.rejected_term = self.term
        self._schedule_resume(now, f"invalid update: {cause}"[:MAX_CAUSE_CHARACTERS])

    def on_own_answer(self) -> None:
        """End an audit after an answer of the list service; the next heartbeat may suspend polling again."""
        self.audit_running = False
        self.audit_at = math.inf

    def follow_source(self, source: str) -> None:
        """Change to the list service that a reload has configured; ignore messages about the former one."""
        self.source = source
        self.polling_suspended = False

    def tick(self, now: float) -> bool:
        """Run expired timers and return whether this member must resume polling now."""
        if not self.polling_suspended:
            return False
        if now - self.received_at > self.silence_limit:
            self._schedule_resume(now, CAUSE_SILENT)
        if now >= self.audit_at and self.resume_at == math.inf:
            self.audit_running = True
            self.resume_at = now
            self.resume_cause = CAUSE_AUDIT
        if now < self.resume_at:
            return False
        self.polling_suspended = False
        self.resume_at = math.inf
        return True

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next."""
        if not self.polling_suspended:
            return math.inf
        return min(
            self.resume_at, self.audit_at, self.received_at + self.silence_limit + SILENCE_MARGIN_SECONDS
        )

    def _accepts(self, message: ListMessage) -> bool:
        """Return whether a message is for the current list service and a valid term.

        Outdated and rejected terms are invalid. A newer term discards the parts of the former one.
        """
        if message.source != self.source or message.term < self.term:
            return False
        if message.term == self.rejected_term:
            return False
        if message.term > self.term:
            self.term = message.term
            self.parts = {}
            self.behind_since = math.inf
        return True

    def _resync_request(self, version: int) -> ResyncRequest:
        return ResyncRequest(self.role, self.term, self.source, version)

    def _on_outdated_heartbeat(self, term: int, now: float) -> None:
        """Reject a publisher that has been outdated for too long; its heartbeats do not suspend polling."""
        self.behind_since = min(self.behind_since, now)
        if now - self.behind_since > MAX_PUBLISHER_LAG_SECONDS:
            self.rejected_term = term
            self._schedule_resume(now, CAUSE_BEHIND)

    def _suspend_polling(self, now: float, members: int) -> None:
        self.resume_at = math.inf
        if not self.polling_suspended:
            self.polling_suspended = True
            self.audit_at = now + self.rng.uniform(0.5, 1.5) * max(1, members) / ZONE_AUDIT_RATE

    def _add_part(self, update: ListUpdate) -> list[bytes] | None:
        """Store a part; return the bodies of all parts, in order, once the update is complete."""
        update_id = UpdateId(update.version, update.base, update.parts)
        if self.parts_update_id != update_id:
            self.parts_update_id = update_id
            self.parts = {}
        self.parts[update.part] = update.body
        if len(self.parts) < update.parts:
            return None
        bodies = [self.parts[part] for part in range(update.parts)]
        self.parts = {}
        return bodies

    def _decode(self, update: ListUpdate, bodies: list[bytes], now: float) -> ListChange | None:
        try:
            return ListChange(decode_records(bodies), update.version, update.base < 0)
        except ListRecordsError as error:
            self.reject_publisher(now, str(error))
            return None

    def _schedule_resume(self, now: float, cause: str) -> None:
        """Schedule the end of the suspension after a random delay."""
        self.audit_running = False
        if self.polling_suspended and self.resume_at == math.inf:
            self.resume_at = now + self.rng.random() * self.max_resume_delay
            self.resume_cause = cause


def _has_valid_part_number(update: ListUpdate) -> bool:
    return 0 < update.parts <= MAX_PARTS and 0 <= update.part < update.parts
