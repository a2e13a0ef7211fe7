"""The state machine of a client's connection: its table alone, and an event that has no row."""

import pytest

from onyxhollow.wire.connection_states import OPEN_STATES, TRANSITIONS, ConnectionEvent, ConnectionState


def reachable(state):
    """All states that events lead to from here."""
    found, waiting = {state}, [state]
    while waiting:
        here = waiting.pop()
        fresh = {after for (before, _), after in TRANSITIONS.items() if before is here} - found
        found |= fresh
        waiting += fresh
    return found


def test_every_state_is_reached_and_every_one_can_end():
    assert reachable(ConnectionState.AWAITING_FIRST_LINE) == set(ConnectionState)
    assert all(ConnectionState.ENDED in reachable(state) for state in ConnectionState)


def test_every_event_has_a_row_and_nothing_leaves_the_end():
    assert {event for _, event in TRANSITIONS} == set(ConnectionEvent)
    assert reachable(ConnectionState.ENDED) == {ConnectionState.ENDED}


def test_only_an_open_connection_is_migrated_or_handed_off():
    for event in (ConnectionEvent.MIGRATED, ConnectionEvent.HANDOFF_SENT, ConnectionEvent.HANDOFF_ACCEPTED):
        assert {state for state, its in TRANSITIONS if its is event} <= OPEN_STATES


def test_an_event_without_a_row_is_counted_and_changes_nothing(loopback):
    proxy = loopback()
    client, _server = proxy.established()
    (live,) = proxy.proxy.sessions.table.live
    assert live.state is ConnectionState.ESTABLISHED and live.is_open
    with pytest.raises(AssertionError, match="'attempt started' in state 'established'"):
        live.advance(ConnectionEvent.ATTEMPT_STARTED)
    checks = []
    live.counters.must = lambda holds, what: checks.append((holds, what)) or holds  # as under python -O
    live.advance(ConnectionEvent.ATTEMPT_STARTED)
    assert checks == [(False, "a transition for 'attempt started' in state 'established'")]
    assert live.state is ConnectionState.ESTABLISHED and not client.end
