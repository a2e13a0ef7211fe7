"""The clock on which tests of a proxy and its peers run without the stalls of their process."""

import time

import pytest
from peers import StallFreeClock

STALL_SECONDS = 30.0


@pytest.fixture
def machine(monkeypatch):
    """Return the readings of the machine's clock and of this thread's processor time, to be changed."""
    readings = {"machine": 1000.0, "processor": 5.0}
    monkeypatch.setattr(time, "monotonic", lambda: readings["machine"])
    monkeypatch.setattr(time, "thread_time", lambda: readings["processor"])
    return readings


def test_the_clock_leaves_out_stalls_but_counts_waits_and_processor_time(machine):
    """Guards against a clock that hides slow code, and against one that a stall advances."""
    clock = StallFreeClock()
    machine["machine"] += 0.005
    assert clock() == pytest.approx(1000.005)
    machine["machine"] += 60.0
    assert clock() == pytest.approx(1000.005 + StallFreeClock.MAX_WAIT_SECONDS)
    before = clock()
    machine["machine"] += 2.0
    machine["processor"] += 2.0
    assert clock() - before == pytest.approx(2.0)


@pytest.mark.usefixtures("stall_free_clock")
@pytest.mark.parametrize("stalled_turn", range(1, 9))
def test_a_session_is_established_although_the_process_stalls_in_any_turn(
    loopback, monkeypatch, stalled_turn
):
    """Guards against tests that fail on a busy machine: a stall must not expire the proxy's time limits."""
    proxy = loopback()
    clock, turn, turns = time.monotonic, proxy.proxy.loop.turn, []
    machine_clock = clock.machine_clock

    def turn_with_stall(*values):
        turns.append(None)
        if len(turns) == stalled_turn:
            clock.machine_clock = lambda: machine_clock() + STALL_SECONDS
        turn(*values)

    monkeypatch.setattr(proxy.proxy.loop, "turn", turn_with_stall)
    proxy.establish()
    proxy.run_for(0.1)
    assert len(turns) >= stalled_turn and proxy.counts["dials"] == 1
