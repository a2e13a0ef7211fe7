"""Publisher of the endpoint list: the member of a zone that watches the list service for all members.

No I/O: it neither sends messages nor reads a clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from onyxhollow.fleet.list_messages import (
    MAX_PARTS,
    SNAPSHOT_BASE,
    Heartbeat,
    ListUpdate,
    Record,
    encode_records,
)

NO_VERSION = -1  # no list has been received


class Publisher:
    """Creates the messages of a publisher: updates after changes of the list, and periodic heartbeats."""

    def __init__(self, role: str, term: int, source: str) -> None:
        self.role = role
        self.term = term
        self.source = source
        self.records: dict[str, Record] = {}
        self.version = NO_VERSION
        self.disconnected = False  # whether the list service fails to answer
        self.next_heartbeat_at = -math.inf  # seconds
        self.suspected_version = NO_VERSION  # newest version reported in a Suspicion of a subscriber

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current version."""
        return Heartbeat(self.role, self.term, self.source, self.version, self.disconnected)

    def update(self, records: Mapping[str, Record], version: int) -> list[ListUpdate]:
        """Replace the list and return the updates that subscribers need.

        The updates are a delta, or a snapshot if endpoints were removed or the version has not increased.
        """
        previous_version = self.version
        changed = [record for name, record in records.items() if self.records.get(name) != record]
        removed = self.records.keys() - records.keys()
        self.disconnected = False
        self.records = dict(records)
        self.version = version
        if version == previous_version and not changed and not removed:
            return []
        if previous_version < 0 or removed or version <= previous_version:
            return self.snapshot()
        return self._update_parts(changed, previous_version)

    def snapshot(self) -> list[ListUpdate]:
        """Return the parts of a snapshot for a subscriber that missed an update; empty without a list."""
        return self._update_parts(list(self.records.values()), SNAPSHOT_BASE) if self.version >= 0 else []

    def _update_parts(self, records: list[Record], base: int) -> list[ListUpdate]:
        bodies = encode_records(records)[:MAX_PARTS]
        return [
            ListUpdate(self.role, self.term, self.source, self.version, base, part, len(bodies), body)
            for part, body in enumerate(bodies)
        ]
