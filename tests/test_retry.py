"""Retries: allowed endpoints, attempt timeouts, and one final answer per session."""

import pytest
from decision_setups import KEYED, NON_IDEMPOTENT

from onyxhollow.interface import (
    AttemptOutcome,
    EndpointListKind,
    EndpointState,
)


def test_rule_1_a_session_gets_one_answer_and_no_attempt_after_it(host):
    host.servers("a", "b")
    session = host.take(stands=False)
    for _ in range(3):
        session.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert not host.asked("reject")
    session.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert len(host.asked("reject")) == 1 and len(host.asked("start_attempt")) == 4
    session.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert len(host.asked("reject")) == 1


def test_rule_1_no_attempt_starts_after_the_client_left(start):
    host = start(cancellation=True)
    a, b = host.servers("a", "b")
    disconnected = host.take(stands=False)
    disconnected.on_client_gone()
    assert host.asked("cancel_attempt") == [(disconnected.token, 0)]
    disconnected.on_attempt_ended(AttemptOutcome.TIMEOUT, False, 0.3)
    a.overloaded_at = b.overloaded_at = host.now
    host.take(stands=False).on_client_gone()
    host.wait(5.0)
    assert len(host.asked("start_attempt")) == 1 and not host.asked("reject")


def test_rule_2_a_non_idempotent_session_is_retried_only_if_it_never_ran(host, lost):
    host.servers("a", "b")
    session = host.take(NON_IDEMPOTENT, stands=False)
    lost(session, AttemptOutcome.CONNECT_FAILED)
    assert len(host.asked("start_attempt")) == 2
    lost(session, AttemptOutcome.UNKNOWN)
    assert len(host.asked("start_attempt")) == 2
    assert host.asked("tear_down") == [(session.token,)] and not host.asked("reject")


SAME_CELL, OTHER_CELL = (1, 1), (1, 2)


@pytest.mark.parametrize(
    "cells, elapsed, is_retried", [(SAME_CELL, 0.5, True), (OTHER_CELL, 0.5, False), (SAME_CELL, 1.2, False)]
)
def test_rule_2_a_keyed_session_is_retried_only_in_its_scope_and_window(
    host, lost, cells, elapsed, is_retried
):
    host.servers("a", cell=cells[0])
    session = host.take(KEYED, stands=False)
    host.servers("b", kind=EndpointListKind.DELTA, cell=cells[1])
    host.servers("a", kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
    host.balancer.tracked["b"].arrival = None
    host.wait(elapsed)
    lost(session, AttemptOutcome.TIMEOUT)
    assert (len(host.asked("start_attempt")) == 2) is is_retried
    assert host.asked("tear_down") == ([] if is_retried else [(session.token,)])


def test_attempt_timeouts_grow_if_a_slow_backing_store_makes_every_attempt_time_out(host, lost):
    host.servers("a", "b")
    lost(host.take(stands=False), AttemptOutcome.TIMEOUT)
    assert [timeout for *_, timeout in host.asked("start_attempt")] == pytest.approx([0.3, 0.3])
    host.take(stands=False).on_attempt_ended(AttemptOutcome.TIMEOUT, False, 0.3)
    assert host.asked("start_attempt")[-1][-1] > 0.4


def test_attempt_timeouts_grow_with_the_handshake_times_of_a_slow_backing_store(host):
    host.servers("a", "b")
    host.take(took=0.01)
    host.take(took=0.5)
    host.take(stands=False)
    timeouts = [timeout for *_, timeout in host.asked("start_attempt")]
    assert timeouts == pytest.approx([0.3, 0.3, 3 * (0.01 + 0.3 * 0.49)])
