"""Publisher of the endpoint list: the member of a zone that follows the list service for all.

A pure core: it sends nothing itself, and reads no clock.
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

NO_VERSION = -1  # no list is known


class Publisher:
    """What the holder of the list's role sends: an update at each change, and its version at intervals."""

    def __init__(self, role: str, term: int, source: str) -> None:
        self.role = role
        self.term = term
        self.source = source
        self.records: dict[str, Record] = {}
        self.version = NO_VERSION
        self.disconnected = False  # the list service does not answer
        self.next_heartbeat_at = -math.inf  # seconds
        self.suspected_version = NO_VERSION  # the newest one that a subscriber has instead

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat of the present version."""
        return Heartbeat(self.role, self.term, self.source, self.version, self.disconnected)

    def update(self, records: Mapping[str, Record], version: int) -> list[ListUpdate]:
        """Take the list as the list service has answered; return what the subscribers need.

        That is a delta, or a snapshot if endpoints have gone or versions do not rise.
        """
        before = self.version
        changed = [record for name, record in records.items() if self.records.get(name) != record]
        gone = self.records.keys() - records.keys()
        self.disconnected = False
        self.records = dict(records)
        self.version = version
        if version == before and not changed and not gone:
            return []
        if before < 0 or gone or version <= before:
            return self.snapshot()
        return self._parts(changed, before)

    def snapshot(self) -> list[ListUpdate]:
        """Return the whole list, for a subscriber that has missed something; nothing without a list."""
        return self._parts(list(self.records.values()), SNAPSHOT_BASE) if self.version >= 0 else []

    def _parts(self, records: list[Record], base: int) -> list[ListUpdate]:
        bodies = encode_records(records)[:MAX_PARTS]
        return [
            ListUpdate(self.role, self.term, self.source, self.version, base, part, len(bodies), body)
            for part, body in enumerate(bodies)
        ]
