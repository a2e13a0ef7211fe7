"""Tests of operators' overrides and the voters' store of them."""

import pytest

from onyxhollow.addresses.messages import (
    DecisionRecord,
    Override,
)
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.append_log import AppendLogError
from onyxhollow.fleet.shared_addresses.override_store import OverrideStore


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
