"""The wall clock of this machine may be stepped at any time: no age, wait or budget goes by it."""

import json
import time

import pytest

from onyxhollow.wire.endpoint_list import decode_endpoint_list
from onyxhollow.wire.remote_clock import RemoteClock

HOUR = 3600.0


def row(name, born, health="active"):
    return {
        "host": name,
        "dial": "127.0.0.1:9",
        "health": health,
        "share": 1.0,
        "born_ms": round(born * 1000),
    }


def whole(seq, *rows):
    return {"seq": seq, "whole": True, "hosts": list(rows)}


def starts(clock, now, *rows):
    return [entry.started_at for entry in decode_endpoint_list(whole(1, *rows), clock, now).endpoints]


def test_in_the_first_lists_a_server_is_so_much_older_than_the_latest_start():
    clock = RemoteClock()
    assert starts(clock, 100.0, row("a", 5000.0), row("b", 4990.0), row("c", 0.0)) == [100.0, 90.0, None]
    assert starts(clock, 105.0, row("a", 5000.0), row("d", 5001.0)) == [100.0, 101.0]


@pytest.mark.parametrize("step", [-HOUR, -3.0, 0.0, 3.0, HOUR])
def test_what_is_new_in_a_followed_list_is_young_whatever_its_clock_says(step):
    clock = RemoteClock()
    starts(clock, 100.0, row("a", 5000.0), row("b", 4900.0))
    clock.known_until = 130.0
    (new,) = starts(clock, 130.0, row("n", 5029.0 + step))
    assert 127.5 <= new <= 130.0
    clock.known_until = 140.0
    again, known = starts(clock, 140.0, row("b", 5039.0 + step), row("a", 5000.0))
    assert 137.5 <= again <= 140.0 and known == 100.0  # what was known keeps its age
    assert starts(clock, 150.0, row("n", 5029.0 + step)) == [new]
    # Nothing was heard from 140 on: what is new may be as old as that, and no older.
    (unheard,) = starts(clock, 160.0, row("m", 5045.0 + step))
    assert 137.5 <= unheard <= 160.0


@pytest.mark.parametrize("step", [-HOUR, -5.0, 5.0, HOUR])
def test_a_server_first_seen_is_cold_and_an_old_one_warm_wherever_this_machines_clock_stands(
    loopback, monkeypatch, step
):
    # Its wall clock was taken once, at the start: an hour ahead every new server counted as warm at once.
    true = time.time
    monkeypatch.setattr(time, "time", lambda: true() + step)
    proxy = loopback("abc", has_cached_list=False)
    old, new = true() - 500.0, true()
    rows = [
        {**proxy.list_record("a"), "born_ms": round(old * 1000)},
        {**proxy.list_record("b"), "born_ms": round(new * 1000)},
        proxy.list_record("c"),
    ]
    proxy.answer_list(json.dumps(whole(8, *rows)).encode())
    proxy.until(lambda: proxy.proxy.discovery.version == 8)
    balancer, now = proxy.proxy.decisions.balancer, proxy.proxy.loop.now
    cold = [name for name, server in balancer.tracked.items() if balancer.slow_start.warming_up(server, now)]
    assert cold == ["b"] and balancer.tracked["b"].started_at == pytest.approx(now, abs=0.5)
    # Started anew, it is cold again; the same start told once more changes nothing.
    monkeypatch.setattr(time, "time", lambda: true() - step)
    proxy.run_for(0.05)
    rows[0]["born_ms"] = round((new + 0.05) * 1000)
    arrival = balancer.tracked["b"].arrival
    proxy.answer_list(json.dumps({"seq": 9, "whole": False, "hosts": rows[:2]}).encode())
    proxy.until(lambda: proxy.proxy.discovery.version == 9)
    assert balancer.slow_start.warming_up(balancer.tracked["a"], proxy.proxy.loop.now)
    assert balancer.tracked["b"].arrival is arrival


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_what_is_handed_over_keeps_its_age_when_the_wall_clock_is_stepped_between(
    tmp_path, monkeypatch, step
):
    from onyxhollow.lifecycle.handover import Handover

    old = Handover(str(tmp_path))
    new = Handover(str(tmp_path))
    true = time.time
    old.write_state(new.token, {"x": 1}, [])
    monkeypatch.setattr(time, "time", lambda: true() + step)
    assert new.read_state() == ({"x": 1}, [])


def test_a_successor_takes_over_the_ages_that_the_one_before_it_has_read():
    old, new = RemoteClock(), RemoteClock()
    starts(old, 100.0, row("a", 5000.0))
    new.restore(json.loads(json.dumps(old.starts)))
    assert starts(new, 160.0, row("a", 5000.0), row("b", 5060.0)) == [100.0, 160.0]
    for broken in ({"a": 4}, {"a": ["x", 1.0]}, {"a": [1.0]}):
        with pytest.raises((TypeError, ValueError)):
            new.restore(broken)
