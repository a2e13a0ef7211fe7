"""Broadcasts of draining endpoints, which all members need at once, even if their publisher is behind."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from onyxhollow.fleet.list_messages import ListUpdate, Record, draining_records, encode_records

DRAINS_PER_BROADCAST = 8


class DrainBroadcast:
    """Creates broadcasts for draining endpoints that this member has not broadcast yet."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.sent: set[tuple[str, Any]] = set()  # name and health state of endpoints

    def updates(self, records: Iterable[Record], source: str, version: int) -> list[ListUpdate]:
        """Return the broadcasts for new drains in the records that the list service sent to this member."""
        draining = draining_records(records)
        new_drains = [record for record in draining if _drain_key(record) not in self.sent]
        self.sent = {_drain_key(record) for record in draining}
        updates = []
        for start in range(0, len(new_drains), DRAINS_PER_BROADCAST):
            bodies = encode_records(new_drains[start : start + DRAINS_PER_BROADCAST])
            if len(bodies) == 1:  # more parts do not fit a broadcast; the publisher's update has them too
                updates.append(ListUpdate(self.role, 0, source, version, 0, 0, 1, bodies[0]))
        return updates


def _drain_key(record: Record) -> tuple[str, Any]:
    return record["host"], record.get("health")
