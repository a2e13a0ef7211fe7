"""Textual differences between two snapshots: what was added, removed and changed. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeVar

from onyxhollow.topology.faults import find_faults
from onyxhollow.topology.model import Snapshot

Key = TypeVar("Key", str, tuple[str, str])
Value = TypeVar("Value")


def differences(before: Snapshot, after: Snapshot) -> list[str]:
    """Return one line per difference of members, endpoints, leases, addresses and faults, each sorted."""
    return [
        *_member_differences(before, after),
        *_endpoint_differences(before, after),
        *_lease_differences(before, after),
        *_address_differences(before, after),
        *_fault_differences(before, after),
    ]


def _match_by_key(
    before: Mapping[Key, Value], after: Mapping[Key, Value]
) -> Iterator[tuple[Key, Value | None, Value | None]]:
    """Yield each key in sorted order with its values in both mappings; None for a missing value."""
    for key in sorted(before.keys() | after.keys()):
        yield key, before.get(key), after.get(key)


def _member_differences(before: Snapshot, after: Snapshot) -> Iterator[str]:
    for name, old, new in _match_by_key(before.members(), after.members()):
        if new is None:
            yield f"went: member {name}"
        elif old is None:
            yield f"came: member {name} in {new.zone or 'no zone'}"
        else:
            if old.state != new.state:
                yield f"member {name}: {old.state}, now {new.state}"
            if old.incarnation != new.incarnation:
                yield f"member {name}: another process"
            if old.zone != new.zone:
                yield f"member {name}: zone {old.zone}, now {new.zone}"


def _endpoint_differences(before: Snapshot, after: Snapshot) -> Iterator[str]:
    for name, old, new in _match_by_key(before.endpoints(), after.endpoints()):
        if new is None:
            yield f"went: server {name}"
        elif old is None:
            yield f"came: server {name}"
        elif old.state != new.state:
            yield f"server {name}: {old.state}, now {new.state}"


def _lease_differences(before: Snapshot, after: Snapshot) -> Iterator[str]:
    for role, old, new in _match_by_key(before.leases(), after.leases()):
        if new is None:
            yield f"went: duty {role}"
        elif old is None:
            yield f"came: duty {role}"
        elif (old.holder, old.term) != (new.holder, new.term):
            holders = f"{old.holder_name or 'nobody'}, now {new.holder_name or 'nobody'}"
            yield f"duty {role}: {holders}, term {new.term}"


def _address_differences(before: Snapshot, after: Snapshot) -> Iterator[str]:
    for (address, site), old, new in _match_by_key(before.addresses(), after.addresses()):
        old_preference = old.preference if old else "not known"
        new_preference = new.preference if new else "not known"
        if old is None or new is None or old_preference != new_preference:
            yield f"address {address} at {site}: {old_preference}, now {new_preference}"


def _fault_differences(before: Snapshot, after: Snapshot) -> Iterator[str]:
    old = {fault.description for fault in find_faults(before)}
    new = {fault.description for fault in find_faults(after)}
    yield from (f"new trouble: {description}" for description in sorted(new - old))
    yield from (f"over: {description}" for description in sorted(old - new))
