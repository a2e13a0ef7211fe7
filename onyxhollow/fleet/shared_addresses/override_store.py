"""A voter's durable store of overrides and decisions; records are acknowledged only once they are on disk."""

from __future__ import annotations

import time

import msgspec

from onyxhollow.addresses.messages import (
    STORED_RECORDS,
    DecisionRecord,
    Override,
    OverrideQuery,
    OverrideResponse,
    StoreAcknowledgement,
    StoredRecord,
    StoreRequest,
    encode,
    paginate,
    record_id,
)
from onyxhollow.addresses.overrides import MAX_OVERRIDES, OverrideLog
from onyxhollow.append_log import AppendLog, AppendLogError, AppendLogLockedError
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.messenger import AddressMessenger

FILE_NAME = "addresses"
MAX_RECORDS = 3000  # the file is compacted instead of growing beyond this number
MAX_DECISIONS = 1000  # kept by a compaction
OPEN_RETRY_SECONDS = 0.5  # between attempts while another process, such as a predecessor, has it open
OPEN_RETRY_AFTER_FAILURE_SECONDS = 5.0  # if the store is damaged or the disk fails


class OverrideStore:
    """The append log of a voter's records, and the records by id.

    Raises:
        AppendLogError: another process has the file open, or it is not an append log.
        msgspec.DecodeError: a record is neither an override nor a decision.
    """

    def __init__(self, folder: str) -> None:
        self.log = AppendLog(folder, FILE_NAME)
        try:
            records = [STORED_RECORDS.decode(body) for body in self.log.bodies]
        except msgspec.DecodeError:
            self.log.close()
            raise
        self.records: dict[str, StoredRecord] = {record_id(record): record for record in records}

    def append(self, records: list[StoredRecord]) -> list[str]:
        """Store records that are not stored yet, and return the ids of all given records.

        Raises:
            OSError: writing to disk failed; none of the records may be acknowledged.
        """
        new_records = [record for record in records if record_id(record) not in self.records]
        if new_records:
            if len(self.log.bodies) + len(new_records) > MAX_RECORDS:
                retained = [*self.retained_overrides(), *self.decisions()[-MAX_DECISIONS:], *new_records]
                self.log.rewrite([encode(record) for record in retained])
                self.records = {record_id(record): record for record in retained}
            else:
                self.log.append(*(encode(record) for record in new_records))
                self.records |= {record_id(record): record for record in new_records}
        return [record_id(record) for record in records]

    def retained_overrides(self) -> list[Override]:
        """Return the overrides that a compaction keeps, in the order of storage.

        These are all that are in force, and the newest of the others, up to MAX_OVERRIDES together.
        """
        overrides = self.overrides()
        log = OverrideLog()
        wall = time.time()
        for override in overrides:
            log.add(override, 0.0, wall)
        in_force = {override.id for override in log.newest_active(0.0)}
        others = sorted(
            (override.number, override.id) for override in overrides if override.id not in in_force
        )
        obsolete_count = max(0, len(overrides) - MAX_OVERRIDES)
        obsolete = {override_id for _, override_id in others[:obsolete_count]}
        return [override for override in overrides if override.id not in obsolete]

    def overrides(self) -> list[Override]:
        """Return all overrides, oldest first."""
        return [record for record in self.records.values() if isinstance(record, Override)]

    def decisions(self) -> list[DecisionRecord]:
        """Return all decisions, oldest first."""
        return [record for record in self.records.values() if isinstance(record, DecisionRecord)]

    def close(self) -> None:
        """Close the file and release its lock."""
        self.log.close()


class VoterStore:
    """Opens this member's store, and answers requests to it while the member is a voter.

    Attributes:
        store: None until it has been opened; a predecessor process may still have it open.
    """

    def __init__(self, member: MemberContext, messenger: AddressMessenger, overrides: OverrideLog) -> None:
        self.member = member
        self.messenger = messenger
        self.overrides = overrides
        self.store: OverrideStore | None = None
        self.next_open_at = clock.now()
        self.open_error = ""  # as last logged

    def tick(self, now: float) -> None:
        """Open the store if it is not open and an attempt is due."""
        if self.member.fleet.folder and self.store is None and now >= self.next_open_at:
            self.open(now)

    def open(self, now: float) -> None:
        """Try to open the store; repeat a failed attempt later, and log it if its reason has changed."""
        try:
            self.store = OverrideStore(self.member.fleet.folder)
        except (AppendLogError, msgspec.DecodeError) as error:
            is_locked = isinstance(error, AppendLogLockedError)
            self.next_open_at = now + (OPEN_RETRY_SECONDS if is_locked else OPEN_RETRY_AFTER_FAILURE_SECONDS)
            self.on_open_failed(str(error)[:200])
            return
        for override in self.store.overrides():
            self.overrides.add(override, now, time.time())
        self.member.log_event(
            "store",
            orders=len(self.store.overrides()),
            decided=len(self.store.decisions()),
            cut=self.store.log.torn_tail,
        )

    def on_open_failed(self, reason: str) -> None:
        """Count a failed attempt to open the store, and log its reason if it differs from the last one."""
        self.member.counts["addresses: store can't be had"] += 1
        if reason != self.open_error:
            self.open_error = reason
            self.member.log_event("store unavailable", why=reason)

    def voting_store(self) -> OverrideStore | None:
        """Return the store if it is open and this member is a voter, else None."""
        return self.store if self.member.name in self.member.voters.names else None

    def on_store_request(self, message: StoreRequest, sender: str) -> None:
        """Store records and acknowledge them to the process `sender`."""
        store = self.voting_store()
        if store is None:
            return
        try:
            ids = store.append(message.rows)
        except OSError as error:
            self.member.counts["addresses: disk failures"] += 1
            self.member.log_event("store disk", why=f"{error.strerror}"[:200])
            return
        now = clock.now()
        wall = time.time()
        for record in message.rows:
            if isinstance(record, Override):
                self.overrides.add(record, now, wall)
        self.messenger.send_to_process(sender, StoreAcknowledgement(self.member.name, ids))

    def on_override_query(self, message: OverrideQuery, sender: str) -> None:
        """Send the overrides to the process `sender` in pages; one empty page if its digest is the same."""
        if self.voting_store() is None:
            return
        overrides = sorted(self.overrides.overrides.values(), key=lambda override: override.number)
        count = len(overrides)
        if message.digest == self.overrides.digest:
            overrides = []
        for page in paginate(overrides) if overrides else [overrides]:
            response = OverrideResponse(self.member.name, self.overrides.digest, count, page)
            self.messenger.send_to_process(sender, response)

    def close(self) -> None:
        """Close the store if it is open."""
        if self.store:
            self.store.close()
