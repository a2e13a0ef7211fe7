"""Tests of operators' overrides and the voters' store of them."""

from collections import Counter
from types import SimpleNamespace

import msgspec
import pytest

from onyxhollow.addresses.messages import (
    DecisionRecord,
    Override,
    encode,
)
from onyxhollow.addresses.overrides import MAX_OVERRIDES, OverrideLog
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.fleet.shared_addresses import override_store
from onyxhollow.fleet.shared_addresses.override_store import FILE_NAME, OverrideStore, VoterStore


def override(override_id, number, verb, site="a", address="", expires_at=0.0):
    return Override(override_id, number, verb, address, site, "op", "why", 1000.0, expires_at)


def test_overrides_merge_in_any_order_and_apply_once():
    overrides = [
        override("1", 1, "drain"),
        override("2", 2, "undrain"),
        override("3", 3, "drain", expires_at=1050.0),
        override("4", 4, "pin", site="b", address="x"),
    ]
    logs = []
    for ordered in (overrides, overrides[::-1], overrides + overrides):
        log = OverrideLog()
        for row in ordered:
            log.add(row, 10.0, 1000.0)
        logs.append(log)
    assert len({log.digest for log in logs}) == 1 and logs[2].highest_number == 4
    active = logs[1].active(["x", "y"], ["a", "b"], 20.0)
    assert active["x", "a"].drain == active["y", "a"].drain == "op: why" and active["x", "b"].pin
    assert ("y", "b") not in active
    many = OverrideLog()
    for number in range(1000):
        many.add(override(f"{number}", number, "drain" if number % 2 else "undrain"), 10.0, 1000.0)
    many.compact(20.0)
    assert len(many.overrides) == 512 and "999" in many.overrides
    assert many.active(["x"], ["a"], 20.0)["x", "a"].drain
    # It expires 50 s after it was added, regardless of the wall clock.
    assert not logs[0].active(["x"], ["a"], 61.0)["x", "a"].drain


@pytest.mark.parametrize("extra_bytes", range(0, 60, 7))
def test_a_store_truncated_at_any_byte_keeps_all_acknowledged_records(tmp_path, extra_bytes):
    store = OverrideStore(str(tmp_path))
    first = override("1", 1, "drain")
    second = DecisionRecord(3, 1, 1000.0, "x", "a", 0, "health", "why", "evidence")
    assert store.append([first]) == ["1"] and store.append([second, first]) == ["3.1", "1"]
    store.close()
    path = tmp_path / "addresses"
    intact = path.read_bytes()
    extended = OverrideStore(str(tmp_path))
    extended.append([override("5", 5, "pin")])
    extended.close()
    path.write_bytes(path.read_bytes()[: len(intact) + extra_bytes])
    reopened = OverrideStore(str(tmp_path))
    assert reopened.overrides()[0] == first and reopened.decisions() == [second]
    assert len(reopened.records) == 2 or len(path.read_bytes()) > len(intact) + 40
    reopened.close()


def test_a_store_whose_disk_fails_acknowledges_nothing(tmp_path, monkeypatch):
    store = OverrideStore(str(tmp_path))
    monkeypatch.setattr("os.fsync", lambda fd: (_ for _ in ()).throw(OSError(5, "no")))
    with pytest.raises(OSError):
        store.append([override("1", 1, "drain")])
    monkeypatch.undo()
    assert not store.records and store.append([override("1", 1, "drain")]) == ["1"]
    store.close()
    with pytest.raises(AppendLogError):
        first, second = OverrideStore(str(tmp_path)), OverrideStore(str(tmp_path))
        first.close()
        second.close()


def test_a_store_with_an_undecodable_record_is_closed_and_opens_once_it_is_repaired(tmp_path):
    """The failed attempt left the file locked, so each later one of the process found it locked."""
    log = AppendLog(str(tmp_path), FILE_NAME)
    log.append(encode([99, "of an unknown kind"]))
    log.close()
    for _ in range(2):
        with pytest.raises(msgspec.DecodeError):
            OverrideStore(str(tmp_path))
    (tmp_path / FILE_NAME).unlink()
    OverrideStore(str(tmp_path)).close()


def test_a_compaction_keeps_an_old_override_that_is_in_force(tmp_path, monkeypatch):
    """It kept the 512 stored last, and removed an old drain that nothing had replaced."""
    monkeypatch.setattr(override_store, "MAX_RECORDS", MAX_OVERRIDES + 2)
    store = OverrideStore(str(tmp_path))
    in_force = override("drain", 1, "drain", site="b")
    unknown = override("unknown", 2, "verb of a later version", site="b")
    replaced = [override(f"{number}", number, "drain") for number in range(3, MAX_OVERRIDES + 3)]
    store.append([in_force, unknown, *replaced])
    assert len(store.records) == MAX_OVERRIDES + 2
    newest = override("newest", MAX_OVERRIDES + 3, "undrain")
    store.append([newest])
    store.close()
    reopened = OverrideStore(str(tmp_path))
    # The two with the lowest numbers of those not in force are removed.
    assert reopened.overrides() == [in_force, *replaced[1:], newest]
    reopened.close()


def test_a_compaction_that_fails_keeps_all_records(tmp_path, monkeypatch):
    """The records were removed from memory before the file was rewritten, and stayed on disk alone."""
    monkeypatch.setattr(override_store, "MAX_RECORDS", MAX_OVERRIDES + 8)
    store = OverrideStore(str(tmp_path))
    overrides = [override(f"{number}", number, "drain") for number in range(MAX_OVERRIDES + 8)]
    store.append(overrides)
    with monkeypatch.context() as patch:
        patch.setattr(store.log, "sync_folder", lambda: (_ for _ in ()).throw(OSError(5, "no")))
        with pytest.raises(OSError, match="no"):
            store.append([override("newest", 9999, "undrain")])
    assert store.overrides() == overrides
    assert store.append([override("newest", 9999, "undrain")]) == ["newest"]
    assert len(store.records) == MAX_OVERRIDES + 1
    store.close()


def test_a_locked_store_is_retried_soon_and_a_damaged_one_later(tmp_path):
    """A store that a predecessor had open was retried after 5 s; the shorter delay was never applied."""
    events = []
    member = SimpleNamespace(
        fleet=SimpleNamespace(folder=str(tmp_path)),
        counts=Counter(),
        log_event=lambda event, **values: events.append(event),
    )
    voter_store = VoterStore(member, None, OverrideLog())
    voter_store.next_open_at = 100.0
    predecessor = AppendLog(str(tmp_path), FILE_NAME)
    for now in (100.0, 100.5, 101.0):
        voter_store.tick(now)
    assert member.counts["addresses: store can't be had"] == 3 and events == ["store unavailable"]
    predecessor.append(encode([99, "of an unknown kind"]))
    predecessor.close()
    voter_store.tick(101.5)
    (tmp_path / FILE_NAME).unlink()
    voter_store.tick(106.4)
    assert voter_store.store is None
    voter_store.tick(106.5)
    assert events == ["store unavailable"] * 2 + ["store"]
    voter_store.close()
