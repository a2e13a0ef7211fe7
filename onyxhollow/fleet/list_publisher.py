"""Publisher of the endpoint list: the member of a zone that watches the list service for all members.

No I/O: it neither sends messages nor reads a clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from onyxhollow.fleet.list_messages import (
    SNAPSHOT_BASE,
    Heartbeat,
    ListTooLargeError,
    ListUpdate,
    Record,
    encode_update,
)

NO_VERSION = -1  # no list has been received


class Publisher:
    """Creates the messages of a publisher: updates after changes of the list, and periodic heartbeats.

    A list that does not fit into an update is not published. The heartbeats then report the publisher as
    disconnected, so that every subscriber polls the list service itself.
    """

    def __init__(self, role: str, term: int, source: str) -> None:
        self.role = role
        self.term = term
        self.source = source
        self.records: dict[str, Record] = {}
        self.version = NO_VERSION
        self.disconnected = False  # whether the list service fails to answer
        self.too_large_count: int | None = None  # number of records of a list that did not fit into an update
        self.next_heartbeat_at = -math.inf  # seconds
        self.suspected_version = NO_VERSION  # newest version reported in a Suspicion of a subscriber

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current version."""
        is_unusable = self.disconnected or self.too_large_count is not None
        return Heartbeat(self.role, self.term, self.source, self.version, is_unusable)

    def update(self, records: Mapping[str, Record], version: int) -> list[ListUpdate]:
        """Replace the list and return the updates that subscribers need.

        The updates are a delta, or a snapshot if endpoints were removed or the version has not increased.

        Raises:
            ListTooLargeError: The updates do not fit. The list has been replaced.
        """
        previous_version = self.version
        changed = [record for name, record in records.items() if self.records.get(name) != record]
        removed = self.records.keys() - records.keys()
        self.disconnected = False
        self.records = dict(records)
        self.version = version
        if self.too_large_count is not None:
            return self.snapshot()
        if version == previous_version and not changed and not removed:
            return []
        if previous_version < 0 or removed or version <= previous_version:
            return self.snapshot()
        return self._update_parts(changed, previous_version)

    def snapshot(self) -> list[ListUpdate]:
        """Return the parts of a snapshot for a subscriber that missed an update; empty without a list.

        Raises:
            ListTooLargeError: They do not fit.
        """
        return self._update_parts(list(self.records.values()), SNAPSHOT_BASE) if self.version >= 0 else []

    def _update_parts(self, records: list[Record], base: int) -> list[ListUpdate]:
        count = len(self.records)
        if self.too_large_count is not None and count >= self.too_large_count:
            # It does not fit either, so it is not encoded again.
            raise ListTooLargeError(f"expected fewer than {self.too_large_count} records, got {count}")
        try:
            bodies = encode_update(records)
        except ListTooLargeError:
            self.too_large_count = count
            raise
        self.too_large_count = None
        return [
            ListUpdate(self.role, self.term, self.source, self.version, base, part, len(bodies), body)
            for part, body in enumerate(bodies)
        ]
