"""What a voter stores of shared addresses: overrides and decisions, on disk before they are acknowledged."""

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
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.messenger import AddressMessenger

FILE_NAME = "addresses"
MAX_RECORDS = 3000  # in the file; past them it is rewritten
MAX_DECISIONS = 1000  # that a rewrite keeps
OPEN_RETRY = 0.5  # seconds until the first attempt to open the store is repeated
OPEN_RETRY_AFTER_FAILURE = 5.0  # seconds, where another process holds the store or it is damaged


class OverrideStore:
    """The file, and its records by id.

    Raises:
        AppendLogError: another process holds the file, or it is not a store.
        msgspec.DecodeError: a record is not one of ours.
    """

    def __init__(self, folder: str) -> None:
        self.log = AppendLog(folder, FILE_NAME)
        self.records: dict[str, StoredRecord] = {}
        for body in self.log.bodies:
            record = STORED_RECORDS.decode(body)
            self.records[record_id(record)] = record

    def append(self, records: list[StoredRecord]) -> list[str]:
        """Stores what is new; the ids of all of them, which are on disk now.

        Raises:
            OSError: the disk fails; nothing is acknowledged.
        """
        fresh = [record for record in records if record_id(record) not in self.records]
        if fresh:
            if len(self.log.bodies) + len(fresh) > MAX_RECORDS:
                self.compact()
                self.log.rewrite([encode(record) for record in [*self.records.values(), *fresh]])
            else:
                self.log.append(*(encode(record) for record in fresh))
            self.records |= {record_id(record): record for record in fresh}
        return [record_id(record) for record in records]

    def compact(self) -> None:
        """Forgets the oldest records past the limits."""
        retained: list[StoredRecord] = [
            *self.overrides()[-MAX_OVERRIDES:],
            *self.decisions()[-MAX_DECISIONS:],
        ]
        self.records = {record_id(record): record for record in retained}

    def overrides(self) -> list[Override]:
        """All overrides, oldest first."""
        return [record for record in self.records.values() if isinstance(record, Override)]

    def decisions(self) -> list[DecisionRecord]:
        """All decisions, oldest first."""
        return [record for record in self.records.values() if isinstance(record, DecisionRecord)]

    def close(self) -> None:
        """Closes the file and gives up its lock."""
        self.log.close()


class VoterStore:
    """This member's part as a voter: opens the store when it can, and answers the controller.

    Attributes:
        store: None until it could be opened; a predecessor may still hold it.
    """

    def __init__(self, member: MemberContext, messenger: AddressMessenger, overrides: OverrideLog) -> None:
        self.member = member
        self.messenger = messenger
        self.overrides = overrides
        self.store: OverrideStore | None = None
        self.open_at = clock.now()

    def tick(self, now: float) -> None:
        """Opens the store if it is due."""
        if self.member.fleet.folder and self.store is None and now >= self.open_at:
            self.open(now)

    def open(self, now: float) -> None:
        """Opens the store; where that fails, it is tried again later."""
        self.open_at = now + OPEN_RETRY
        try:
            self.store = OverrideStore(self.member.fleet.folder)
        except (AppendLogError, msgspec.DecodeError) as error:
            self.member.counts["addresses: store can't be had"] += 1
            self.member.log_event("store unavailable", why=str(error)[:200])
            self.open_at = now + OPEN_RETRY_AFTER_FAILURE
            return
        for override in self.store.overrides():
            self.overrides.add(override, now, time.time())
        self.member.log_event(
            "store",
            orders=len(self.store.overrides()),
            decided=len(self.store.decisions()),
            cut=self.store.log.torn_tail,
        )

    def voting_store(self) -> OverrideStore | None:
        """The store, if this member is a voter and has it open."""
        return self.store if self.member.name in self.member.voters.names else None

    def on_store_request(self, message: StoreRequest, sender: str) -> None:
        """Stores records, and acknowledges them to the process `sender`."""
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
        """Sends the overrides to the process `sender`, in pages; none if it has the same."""
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
        """Closes the store."""
        if self.store:
            self.store.close()
