"""What is attempted again, where, and for how long; one answer to a session."""

import pytest
from decision_setups import KEYED, NON_IDEMPOTENT

from onyxhollow.interface import (
    AttemptOutcome,
    EndpointListKind,
    EndpointState,
)


def test_rule_1_one_answer_and_nothing_after_it(host):
    host.servers("a", "b")
    sess = host.take(stands=False)
    for _ in range(3):
        sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert not host.asked("reject")
    sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert len(host.asked("reject")) == 1 and len(host.asked("start_attempt")) == 4
    sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert len(host.asked("reject")) == 1


def test_rule_1_nothing_is_sent_for_a_session_whose_client_is_gone(start):
    host = start(cancellation=True)
    a, b = host.servers("a", "b")
    gone = host.take(stands=False)
    gone.on_client_gone()
    assert host.asked("cancel_attempt") == [(gone.token, 0)]
    gone.on_attempt_ended(AttemptOutcome.TIMEOUT, False, 0.3)
    a.overloaded_at = b.overloaded_at = host.now
    host.take(stands=False).on_client_gone()
    host.wait(5.0)
    assert len(host.asked("start_attempt")) == 1 and not host.asked("reject")


def test_rule_2_a_non_idempotent_session_is_retried_only_if_it_never_ran(host, lost):
    host.servers("a", "b")
    sess = host.take(NON_IDEMPOTENT, stands=False)
    lost(sess, AttemptOutcome.CONNECT_FAILED)
    assert len(host.asked("start_attempt")) == 2
    lost(sess, AttemptOutcome.UNKNOWN)
    assert len(host.asked("start_attempt")) == 2
    assert host.asked("tear_down") == [(sess.token,)] and not host.asked("reject")


SAME, OTHER = (1, 1), (1, 2)


@pytest.mark.parametrize("cells, later, again", [(SAME, 0.5, True), (OTHER, 0.5, False), (SAME, 1.2, False)])
def test_rule_2_a_keyed_session_is_retried_only_in_its_scope_and_window(host, lost, cells, later, again):
    host.servers("a", cell=cells[0])
    sess = host.take(KEYED, stands=False)
    host.servers("b", kind=EndpointListKind.DELTA, cell=cells[1])
    host.servers("a", kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
    host.balancer.tracked["b"].arrival = None
    host.wait(later)
    lost(sess, AttemptOutcome.TIMEOUT)
    assert (len(host.asked("start_attempt")) == 2) is again
    assert host.asked("tear_down") == ([] if again else [(sess.token,)])


def test_a_store_too_slow_for_any_attempt_stretches_the_attempt_timeouts_too(host, lost):
    host.servers("a", "b")
    lost(host.take(stands=False), AttemptOutcome.TIMEOUT)
    assert [timeout for *_, timeout in host.asked("start_attempt")] == pytest.approx([0.3, 0.3])
    host.take(stands=False).on_attempt_ended(AttemptOutcome.TIMEOUT, False, 0.3)
    assert host.asked("start_attempt")[-1][-1] > 0.4


def test_a_slow_store_stretches_the_attempt_timeouts(host):
    host.servers("a", "b")
    host.take(took=0.01)
    host.take(took=0.5)
    host.take(stands=False)
    times = [timeout for *_, timeout in host.asked("start_attempt")]
    assert times == pytest.approx([0.3, 0.3, 3 * (0.01 + 0.3 * 0.49)])
