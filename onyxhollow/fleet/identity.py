"""How a fleet names its processes, and the flags that a member announces of itself.

Imports nothing, so that the commands start without the fleet's libraries.
"""

from __future__ import annotations

SEPARATOR = "~"  # between the name and the epoch of a process id

# Flags of a member, sent with its state.
MAY_HOLD_ROLES = 1  # it serves clients, and no successor process does
VOTES = 2  # it has a voter's records open


def make_process_id(name: str, epoch: int) -> str:
    """The id of a member's process."""
    return f"{name}{SEPARATOR}{epoch}"


def member_name(process_id: str) -> str:
    """The name of the member whose process has this id."""
    return process_id.rpartition(SEPARATOR)[0]


def split_process_id(process_id: str) -> tuple[str, int] | None:
    """Name and epoch; None if the text is no process id."""
    name, _, epoch = process_id.rpartition(SEPARATOR)
    return (name, int(epoch)) if epoch.isdigit() else None
