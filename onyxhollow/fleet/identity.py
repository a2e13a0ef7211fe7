"""How a fleet names its processes, and the flags that a member announces of itself."""

from __future__ import annotations

from onyxhollow.membership.member_table import Member

SEPARATOR = "~"  # between the name and the epoch of a process id

# Flags of a member, sent with its state.
MAY_HOLD_ROLES = 1  # it serves clients, and no successor process does
VOTES = 2  # it has a voter's records open


def process_id_of(member: Member) -> str:
    """The id of a member's process: its name and epoch."""
    return f"{member.name}{SEPARATOR}{member.epoch}"


def member_name(process_id: str) -> str:
    """The name of the member whose process has this id."""
    return process_id.rpartition(SEPARATOR)[0]


def split_process_id(process_id: str) -> tuple[str, int] | None:
    """Name and epoch; None if the text is no process id."""
    name, _, epoch = process_id.rpartition(SEPARATOR)
    return (name, int(epoch)) if epoch.isdigit() else None
