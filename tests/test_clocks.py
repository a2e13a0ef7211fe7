"""Guards against ages, waits and budgets that change when a machine's wall clock is stepped."""

import json
import time

import pytest

from onyxhollow.wire.endpoint_list import decode_endpoint_list
from onyxhollow.wire.remote_clock import RemoteClock

HOUR = 3600.0


def record(name, started_at, health="active"):
    """Return an endpoint in the list service's format, with its start as wall time in seconds."""
    return {
        "host": name,
        "dial": "127.0.0.1:9",
        "health": health,
        "share": 1.0,
        "born_ms": round(started_at * 1000),
    }


def snapshot(version, *records):
    """Return a snapshot in the list service's format."""
    return {"seq": version, "whole": True, "hosts": list(records)}


def decode_starts(clock, now, *records):
    """Return the monotonic start times that are decoded from a snapshot."""
    return [entry.started_at for entry in decode_endpoint_list(snapshot(1, *records), clock, now).endpoints]


def test_in_the_first_lists_an_age_is_the_difference_to_the_latest_start():
    clock = RemoteClock()
    assert decode_starts(clock, 100.0, record("a", 5000.0), record("b", 4990.0), record("c", 0.0)) == [
        100.0,
        90.0,
        None,
    ]
    assert decode_starts(clock, 105.0, record("a", 5000.0), record("d", 5001.0)) == [100.0, 101.0]


@pytest.mark.parametrize("step", [-HOUR, -3.0, 0.0, 3.0, HOUR])
def test_an_endpoint_new_in_a_known_list_is_young_even_if_its_clock_is_stepped(step):
    clock = RemoteClock()
    decode_starts(clock, 100.0, record("a", 5000.0), record("b", 4900.0))
    clock.known_until = 130.0
    (new,) = decode_starts(clock, 130.0, record("n", 5029.0 + step))
    assert 127.5 <= new <= 130.0
    clock.known_until = 140.0
    restarted, cached = decode_starts(clock, 140.0, record("b", 5039.0 + step), record("a", 5000.0))
    assert 137.5 <= restarted <= 140.0 and cached == 100.0  # a start that was returned before is kept
    assert decode_starts(clock, 150.0, record("n", 5029.0 + step)) == [new]
    # The list was known up to 140 only: an endpoint new since then may have started then, but not earlier.
    (after_gap,) = decode_starts(clock, 160.0, record("m", 5045.0 + step))
    assert 137.5 <= after_gap <= 160.0


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_only_a_new_endpoint_warms_up_when_this_machines_clock_is_stepped(loopback, monkeypatch, step):
    # Guards against ages from this machine's wall clock: with a clock an hour ahead, every new endpoint would
    # count as warmed up at once.
    real_time = time.time
    monkeypatch.setattr(time, "time", lambda: real_time() + step)
    proxy = loopback("abc", has_cached_list=False)
    old, new = real_time() - 500.0, real_time()
    records = [
        {**proxy.list_record("a"), "born_ms": round(old * 1000)},
        {**proxy.list_record("b"), "born_ms": round(new * 1000)},
        proxy.list_record("c"),
    ]
    proxy.answer_list(json.dumps(snapshot(8, *records)).encode())
    proxy.until(lambda: proxy.proxy.discovery.version == 8)
    balancer, now = proxy.proxy.decisions.balancer, proxy.proxy.loop.now
    warming_up = [
        name for name, server in balancer.tracked.items() if balancer.slow_start.warming_up(server, now)
    ]
    assert warming_up == ["b"] and balancer.tracked["b"].started_at == pytest.approx(now, abs=0.5)
    # A restarted endpoint warms up again. A repeated record with the same start changes nothing.
    monkeypatch.setattr(time, "time", lambda: real_time() - step)
    proxy.run_for(0.05)
    records[0]["born_ms"] = round((new + 0.05) * 1000)
    arrival = balancer.tracked["b"].arrival
    proxy.answer_list(json.dumps({"seq": 9, "whole": False, "hosts": records[:2]}).encode())
    proxy.until(lambda: proxy.proxy.discovery.version == 9)
    assert balancer.slow_start.warming_up(balancer.tracked["a"], proxy.proxy.loop.now)
    assert balancer.tracked["b"].arrival is arrival


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_successor_reads_the_state_if_the_wall_clock_is_stepped_after_the_write(
    tmp_path, monkeypatch, step
):
    from onyxhollow.lifecycle.handover import Handover

    old = Handover(str(tmp_path))
    new = Handover(str(tmp_path))
    real_time = time.time
    old.write_state(new.token, {"x": 1}, [])
    monkeypatch.setattr(time, "time", lambda: real_time() + step)
    assert new.read_state() == ({"x": 1}, [])


def test_a_successor_restores_the_start_times_of_its_predecessor():
    old, new = RemoteClock(), RemoteClock()
    decode_starts(old, 100.0, record("a", 5000.0))
    new.restore(json.loads(json.dumps(old.starts)))
    assert decode_starts(new, 160.0, record("a", 5000.0), record("b", 5060.0)) == [100.0, 160.0]
    for malformed in ({"a": 4}, {"a": ["x", 1.0]}, {"a": [1.0]}):
        with pytest.raises((TypeError, ValueError)):
            new.restore(malformed)
