"""Tests of a client connection's state machine: the transition table, and an event without a row."""

import pytest

from onyxhollow.wire.connection_states import OPEN_STATES, TRANSITIONS, ConnectionEvent, ConnectionState


def reachable_states(state):
    """Return the state and all states that a sequence of events leads to from it."""
    reached, pending = {state}, [state]
    while pending:
        current = pending.pop()
        new_states = {after for (before, _), after in TRANSITIONS.items() if before is current} - reached
        reached |= new_states
        pending += new_states
    return reached


def test_every_state_is_reachable_and_can_reach_the_end():
    assert reachable_states(ConnectionState.AWAITING_FIRST_LINE) == set(ConnectionState)
    assert all(ConnectionState.ENDED in reachable_states(state) for state in ConnectionState)


def test_every_event_has_a_row_and_the_ended_state_is_final():
    assert {event for _, event in TRANSITIONS} == set(ConnectionEvent)
    assert reachable_states(ConnectionState.ENDED) == {ConnectionState.ENDED}


def test_only_an_open_connection_is_migrated_or_handed_off():
    for event in (ConnectionEvent.MIGRATED, ConnectionEvent.HANDOFF_SENT, ConnectionEvent.HANDOFF_ACCEPTED):
        assert {state for state, row_event in TRANSITIONS if row_event is event} <= OPEN_STATES


def test_an_event_without_a_row_is_counted_and_changes_no_state(loopback):
    proxy = loopback()
    client, _server = proxy.establish()
    (connection,) = proxy.proxy.sessions.table.live
    assert connection.state is ConnectionState.ESTABLISHED and connection.is_open
    with pytest.raises(AssertionError, match="'attempt started' in state 'established'"):
        connection.advance(ConnectionEvent.ATTEMPT_STARTED)
    checks = []
    # Under python -O `must` counts a failed check and raises nothing.
    connection.counters.must = lambda holds, rule: checks.append((holds, rule)) or holds
    connection.advance(ConnectionEvent.ATTEMPT_STARTED)
    assert checks == [(False, "a transition for 'attempt started' in state 'established'")]
    assert connection.state is ConnectionState.ESTABLISHED and not client.end
