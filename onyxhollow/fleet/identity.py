"""Process ids of a fleet and the flags in a member's state.

Imports no other module, so that the commands start without loading the libraries of the fleet.
"""

from __future__ import annotations

SEPARATOR = "~"  # between the name and the epoch of a process id

# Flags that a member sends with its state.
MAY_HOLD_ROLES = 1  # serves clients and has no successor process
VOTES = 2  # has the log of a voter open


def make_process_id(name: str, epoch: int) -> str:
    """Return the process id of a member's name and epoch."""
    return f"{name}{SEPARATOR}{epoch}"


def member_name(process_id: str) -> str:
    """Return the name of the member that the process belongs to."""
    return process_id.rpartition(SEPARATOR)[0]


def split_process_id(process_id: str) -> tuple[str, int] | None:
    """Return name and epoch; None if the text is not a process id."""
    name, _, epoch = process_id.rpartition(SEPARATOR)
    return (name, int(epoch)) if epoch.isascii() and epoch.isdigit() else None
