"""Broadcasts of draining endpoints: all members must know of them at once, whoever publishes to them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from onyxhollow.fleet.list_messages import ListUpdate, Record, draining_records, encode_records

DRAINS_PER_BROADCAST = 8


class DrainBroadcast:
    """Finds the drains that this member has not broadcast yet."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.sent: set[tuple[str, Any]] = set()  # name and state of endpoints

    def updates(self, records: Iterable[Record], source: str, version: int) -> list[ListUpdate]:
        """Return the broadcasts for what the list service has answered this member itself."""
        draining = draining_records(records)
        fresh = [record for record in draining if _state(record) not in self.sent]
        self.sent = {_state(record) for record in draining}
        updates = []
        for start in range(0, len(fresh), DRAINS_PER_BROADCAST):
            bodies = encode_records(fresh[start : start + DRAINS_PER_BROADCAST])
            if len(bodies) == 1:  # a larger one fits no broadcast: these come with the publisher's update
                updates.append(ListUpdate(self.role, 0, source, version, 0, 0, 1, bodies[0]))
        return updates


def _state(record: Record) -> tuple[str, Any]:
    return record["host"], record.get("health")
