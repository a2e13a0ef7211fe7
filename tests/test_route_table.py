"""Tests of a route guard's route table."""

import msgspec
import pytest
from address_support import ADVERTISED, LOWERED, WITHDRAWN

from onyxhollow.addresses.route_table import RouteTable, StaleTermError
from onyxhollow.lab.fleet import random_walk


def route_table():
    config = random_walk.CONFIG
    return RouteTable(config.services, config.sites[0], 64512)


def test_orphaned_routes_except_last_ones_are_withdrawn_when_announcer_and_members_are_silent():
    for cut_off, announcer_silent_for, members_silent_for, withdrawn in (
        ("withdraw", 4.0, 4.0, True),
        ("withdraw", 4.0, 2.0, False),
        ("withdraw", 2.0, 4.0, False),
        ("keep", 14.0, 99.0, False),
        ("keep", 16.0, 16.0, True),
        ("keep", 99.0, 1.0, False),
    ):
        config = random_walk.CONFIG
        table = RouteTable(config.services, msgspec.structs.replace(config.sites[0], cut_off=cut_off), 64512)
        table.claim(1, "n0", 0.0)
        table.set_preference(1, 1, 1, "x", ADVERTISED, 0.0)
        table.set_preference(1, 2, 1, "y", ADVERTISED, 0.0)
        table.heartbeat(1, {"y"}, 100.0)
        rows = table.withdraw_orphaned(15.0, set(), 100.0 + announcer_silent_for, members_silent_for, 3.0)
        assert [row.name for row in rows] == ["x"] * withdrawn


def test_a_route_table_rejects_older_terms_and_ignores_calls_out_of_order():
    table = route_table()
    assert table.claim(5, "n0", 1.0) and table.set_preference(5, 1, 3, "x", ADVERTISED, 1.0)
    with pytest.raises(StaleTermError):
        table.claim(4, "n1", 2.0)
    with pytest.raises(StaleTermError):
        table.set_preference(4, 9, 3, "x", WITHDRAWN, 2.0)
    with pytest.raises(StaleTermError):  # a higher term must be claimed first
        table.set_preference(6, 1, 3, "x", WITHDRAWN, 2.0)
    assert table.set_preference(5, 3, 3, "x", LOWERED, 2.0)
    assert table.set_preference(5, 2, 3, "x", WITHDRAWN, 3.0) == []
    assert table.preferences["x"] is LOWERED
    restored = route_table()
    restored.restore(table.records())
    assert restored.term == 5 and restored.preferences == table.preferences
    assert restored.set_preference(5, 3, 3, "x", WITHDRAWN, 4.0) == []
    assert table.claim(6, "n1", 5.0) and table.set_preference(6, 1, 4, "x", WITHDRAWN, 5.0)


def test_daemon_commands_follow_the_documented_text_api():
    table = route_table()
    table.claim(1, "n0", 0.0)
    table.set_preference(1, 1, 1, "x", ADVERTISED, 0.0)
    assert table.daemon_command("x") == "announce route 198.51.100.0/32 next-hop self med 100"
    table.set_preference(1, 2, 1, "x", LOWERED, 0.0)
    assert "community [65535:0] as-path [64512 64512 64512]" in table.daemon_command("x")
    assert table.daemon_command("y") == "withdraw route 198.51.100.1/32 next-hop self"
