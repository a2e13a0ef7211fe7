"""The subscriber of the endpoint list: a member that takes the list from its zone's publisher. A pure core.

It suspends its own polling while it receives heartbeats of its own version, under a term that is not older
than one seen before. It polls for itself again when the publisher is silent, has lost the list service, or
sends what cannot be read; after a random wait, since all members of a zone do so at once. Now and then one
member polls all the same, and reports a publisher that is behind (an audit).
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

AUDIT_RATE = 0.2  # audits a second by all members of a zone together
MAX_PUBLISHER_LAG = 2.0  # seconds after which a publisher that is behind the list service is rejected
MISSED_HEARTBEATS = 3  # after so many intervals without a message the publisher counts as silent
SILENCE_MARGIN = 0.001  # seconds past the limit, so that a timer does not come just before it
MAX_CAUSE_CHARACTERS = 120

CAUSE_DISCONNECTED = "the publisher has lost the list"
CAUSE_BEHIND = "the publisher is behind"
CAUSE_SILENT = "the publisher is silent"
CAUSE_AUDIT = "audit"


@dataclass(frozen=True, slots=True)
class ListChange:
    """Records to be applied as if the list service had sent them."""

    records: list[Record]
    version: int | None  # None: some records of a newer version, whose other changes may be missing
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class UpdateId:
    """Which update parts belong to."""

    version: int
    base: int
    parts: int


class Subscriber:
    """Decides when this member polls the list service itself. Times are seconds."""

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
        self.term = 0  # the highest seen
        self.received_at = -math.inf  # when the publisher's last message came
        self.polling_suspended = False
        self.resume_at = math.inf  # when to poll again
        self.resume_cause = ""
        self.audit_at = math.inf
        self.audit_running = False
        self.parts: dict[int, bytes] = {}  # of an update that is not complete
        self.parts_of: UpdateId | None = None
        self.behind_since = math.inf
        self.rejected_term = 0  # of a publisher that sent what cannot be read, or was behind

    @property
    def silence_limit(self) -> float:
        """Seconds without a message after which the publisher counts as silent."""
        return MISSED_HEARTBEATS * self.heartbeat_interval

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float, version: int, members: int
    ) -> ResyncRequest | None:
        """Take a heartbeat, given the version known here; return a request if the publisher has a newer one.

        Args:
            heartbeat: The message.
            now: The time, seconds.
            version: The version known here; negative: none.
            members: Number of live members of the zone, this one included.
        """
        if not self._accepts(heartbeat):
            return None
        self.received_at = now
        if heartbeat.disconnected or heartbeat.version < 0:
            self._schedule_polling(now, CAUSE_DISCONNECTED)
            return None
        if heartbeat.version > version or version < 0:
            return self._resync_request(version)
        if heartbeat.version < version:
            self._on_lag(heartbeat.term, now)
            return None
        self.behind_since = math.inf
        if not self.audit_running:
            self._suspend_polling(now, members)
        return None

    def on_update(self, update: ListUpdate, now: float, version: int) -> ListChange | ResyncRequest | None:
        """Take a part of an update, given the version known here.

        Returns:
            A change once all parts are there, a request if the update builds on a version that is missing
            here, else None.
        """
        if not self._accepts(update) or not _has_valid_place(update):
            return None
        self.received_at = now
        if update.version <= version and version >= 0:
            return None
        if update.base >= 0 and update.base != version:
            return self._resync_request(version)
        bodies = self._collect(update)
        return None if bodies is None else self._decode(update, bodies, now)

    def reject_publisher(self, now: float, cause: str) -> None:
        """Ignore the publisher of this term: what it has sent cannot be read."""
        self.rejected_term = self.term
        self._schedule_polling(now, f"an update can't be read: {cause}"[:MAX_CAUSE_CHARACTERS])

    def on_own_answer(self) -> None:
        """Take note that the list service has answered this member: the next heartbeat ends an audit."""
        self.audit_running = False
        self.audit_at = math.inf

    def follow_source(self, source: str) -> None:
        """Follow another list service, as a reload names it: nothing received of the old one counts."""
        self.source = source
        self.polling_suspended = False

    def tick(self, now: float) -> bool:
        """Return whether this member polls for itself from now on."""
        if not self.polling_suspended:
            return False
        if now - self.received_at > self.silence_limit:
            self._schedule_polling(now, CAUSE_SILENT)
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
        """Return when `tick` is to be called next, seconds."""
        if not self.polling_suspended:
            return math.inf
        return min(self.resume_at, self.audit_at, self.received_at + self.silence_limit + SILENCE_MARGIN)

    def _accepts(self, message: ListMessage) -> bool:
        """Whether a message is of the list service that is followed, and of no outdated or rejected term."""
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

    def _on_lag(self, term: int, now: float) -> None:
        """Take note of a publisher that is behind: this member polls on until it has caught up."""
        self.behind_since = min(self.behind_since, now)
        if now - self.behind_since > MAX_PUBLISHER_LAG:
            self.rejected_term = term
            self._schedule_polling(now, CAUSE_BEHIND)

    def _suspend_polling(self, now: float, members: int) -> None:
        self.resume_at = math.inf
        if not self.polling_suspended:
            self.polling_suspended = True
            self.audit_at = now + self.rng.uniform(0.5, 1.5) * max(1, members) / AUDIT_RATE

    def _collect(self, update: ListUpdate) -> list[bytes] | None:
        """Store a part; return all of them, in order, once they are there."""
        update_id = UpdateId(update.version, update.base, update.parts)
        if self.parts_of != update_id:
            self.parts_of = update_id
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

    def _schedule_polling(self, now: float, cause: str) -> None:
        """Poll again after a random wait."""
        self.audit_running = False
        if self.polling_suspended and self.resume_at == math.inf:
            self.resume_at = now + self.rng.random() * self.max_resume_delay
            self.resume_cause = cause


def _has_valid_place(update: ListUpdate) -> bool:
    return 0 < update.parts <= MAX_PARTS and 0 <= update.part < update.parts
