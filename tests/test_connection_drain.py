"""Paced migration of open connections whose addresses an override has withdrawn."""

from types import SimpleNamespace

from address_support import POLICY, two_site_config

from onyxhollow.addresses.file import AddressesFile, Service, Site
from onyxhollow.addresses.messages import DrainRequest
from onyxhollow.counters import Counters
from onyxhollow.fleet.shared_addresses.service import SharedAddresses


class FakeMember:
    """Fake fleet member whose open sessions count as moved as soon as they are stopped."""

    def __init__(self, config):
        self.name, self.zone, self.process_id, self.epoch = "a0", "a", "a0~1", 1
        self.loop = SimpleNamespace(now=0.0, spawn=lambda run: None)
        self.proxy = SimpleNamespace(
            counters=Counters(),
            decisions=SimpleNamespace(count_with_capacity=lambda zone: (1, 1)),
            service=SimpleNamespace(ready=True, replaced=False),
            sessions=SimpleNamespace(table=SimpleNamespace(live=[])),
            config=SimpleNamespace(settings=SimpleNamespace(listeners={"chat": None, "talk": None})),
        )
        self.proxy.counters.add_listeners(self.proxy.config.settings.listeners)
        self.live, self.moved = self.proxy.sessions.table.live, []
        self.addresses = SharedAddresses(self, config)

    def log_event(self, name, **values):
        pass

    def open_sessions(self, count, listener):
        for _ in range(count):
            session = SimpleNamespace(
                is_open=True, stopping=False, request=SimpleNamespace(listener=listener)
            )
            session.stop = lambda session=session: (self.live.remove(session), self.moved.append(session))
            self.live.append(session)

    def count_moved(self, second, *addresses):
        """Send the announcer's drain request, and return how many connections move in this second."""
        before = len(self.moved)
        request = DrainRequest("a", list(addresses))
        self.addresses.dispatch(request, "a1", "a1~1", float(second))
        self.addresses.drain.move_connections(float(second))
        return len(self.moved) - before


def test_connections_of_a_shared_listener_move_once_its_second_address_is_withdrawn():
    """Guard against a migration whose rate stays 0 after a step between the two withdrawals.

    Both addresses have one listener, and the routing daemon confirms their withdrawals one after the other.
    After the first one no connection has to move. A member that took a step at that time set its rate to 0
    and moved no connection as long as the override was active.
    """
    member = FakeMember(two_site_config("chat", "chat"))
    member.open_sessions(100, "chat")
    assert member.count_moved(0, "x0") == 0  # x1 uses the same listener and is still advertised
    assert [member.count_moved(second, "x0", "x1") for second in range(1, 7)] == [5, 5, 5, 5, 5, 10]
    for second in range(7, 13):
        member.count_moved(second, "x0", "x1")
    assert not member.live


def test_connections_that_open_during_a_drain_without_connections_move():
    member = FakeMember(two_site_config("chat", "talk"))
    assert member.count_moved(0, "x0") == 0
    member.open_sessions(12, "chat")
    assert [member.count_moved(second, "x0") for second in range(1, 4)] == [1, 1, 1]
    for second in range(4, 10):
        member.count_moved(second, "x0")
    assert not member.live


def test_a_second_address_drains_at_the_pace_of_all_its_connections():
    """Guard against a rate set by the 2 connections of the first address: 1 per second, also for 200 more."""
    member = FakeMember(two_site_config("chat", "talk"))
    member.open_sessions(2, "chat")
    member.open_sessions(200, "talk")
    assert member.count_moved(0, "x0") == 1
    assert member.count_moved(1, "x0", "x1") == 11  # 5 percent of 201, rounded up
    for second in range(2, 12):
        member.count_moved(second, "x0", "x1")
    assert not member.live


def test_connections_of_a_removed_listener_move_if_the_address_names_no_listeners():
    """They were counted as the address's load, but stayed open: a reload had removed their listener."""
    config = AddressesFile(
        services=[Service(name="x0", prefix="198.51.100.0/32")],
        sites=[Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    member = FakeMember(config)
    member.open_sessions(3, "chat")
    member.open_sessions(2, "talk")
    del member.proxy.config.settings.listeners["talk"]  # as a reload does
    assert [row.load for row in member.addresses.health.measure(0.0)] == [5.0]
    for second in range(10):
        member.count_moved(second, "x0")
    assert not member.live
