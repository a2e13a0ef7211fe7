"""What is attempted again, where, and for how long; one answer to a session."""

import pytest
from decision_setups import KEYED, NON_IDEMPOTENT

from onyxhollow.interface import (
    AttemptOutcome,
    EndpointListKind,
    EndpointState,
)


def test_rule_1_one_answer_and_nothing_after_it(host):
    host.list_endpoints("a", "b")
    sess = host.admit(established=False)
    for _ in range(3):
        sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert not host.calls_to("reject")
    sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert len(host.calls_to("reject")) == 1 and len(host.calls_to("start_attempt")) == 4
    sess.on_attempt_ended(AttemptOutcome.CONNECT_FAILED, False, 0.001)
    assert len(host.calls_to("reject")) == 1


def test_rule_1_nothing_is_sent_for_a_session_whose_client_is_gone(make_host):
    host = make_host(cancellation=True)
    a, b = host.list_endpoints("a", "b")
    gone = host.admit(established=False)
    gone.on_client_gone()
    assert host.calls_to("cancel_attempt") == [(gone.token, 0)]
    gone.on_attempt_ended(AttemptOutcome.TIMEOUT, False, 0.3)
    a.overloaded_at = b.overloaded_at = host.now
    host.admit(established=False).on_client_gone()
    host.advance(5.0)
    assert len(host.calls_to("start_attempt")) == 1 and not host.calls_to("reject")


def test_rule_2_a_non_idempotent_session_is_retried_only_if_it_never_ran(host, end_attempt):
    host.list_endpoints("a", "b")
    sess = host.admit(NON_IDEMPOTENT, established=False)
    end_attempt(sess, AttemptOutcome.CONNECT_FAILED)
    assert len(host.calls_to("start_attempt")) == 2
    end_attempt(sess, AttemptOutcome.UNKNOWN)
    assert len(host.calls_to("start_attempt")) == 2
    assert host.calls_to("tear_down") == [(sess.token,)] and not host.calls_to("reject")


SAME, OTHER = (1, 1), (1, 2)


@pytest.mark.parametrize("cells, later, again", [(SAME, 0.5, True), (OTHER, 0.5, False), (SAME, 1.2, False)])
def test_rule_2_a_keyed_session_is_retried_only_in_its_scope_and_window(
    host, end_attempt, cells, later, again
):
    host.list_endpoints("a", cell=cells[0])
    sess = host.admit(KEYED, established=False)
    host.list_endpoints("b", kind=EndpointListKind.DELTA, cell=cells[1])
    host.list_endpoints("a", kind=EndpointListKind.DELTA, state=EndpointState.REMOVED)
    host.balancer.tracked["b"].arrival = None
    host.advance(later)
    end_attempt(sess, AttemptOutcome.TIMEOUT)
    assert (len(host.calls_to("start_attempt")) == 2) is again
    assert host.calls_to("tear_down") == ([] if again else [(sess.token,)])


def test_a_store_too_slow_for_any_attempt_stretches_the_attempt_timeouts_too(host, end_attempt):
    host.list_endpoints("a", "b")
    end_attempt(host.admit(established=False), AttemptOutcome.TIMEOUT)
    assert [timeout for *_, timeout in host.calls_to("start_attempt")] == pytest.approx([0.3, 0.3])
    host.admit(established=False).on_attempt_ended(AttemptOutcome.TIMEOUT, False, 0.3)
    assert host.calls_to("start_attempt")[-1][-1] > 0.4


def test_a_slow_store_stretches_the_attempt_timeouts(host):
    host.list_endpoints("a", "b")
    host.admit(handshake_seconds=0.01)
    host.admit(handshake_seconds=0.5)
    host.admit(established=False)
    times = [timeout for *_, timeout in host.calls_to("start_attempt")]
    assert times == pytest.approx([0.3, 0.3, 3 * (0.01 + 0.3 * 0.49)])
