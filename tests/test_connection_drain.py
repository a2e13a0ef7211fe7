"""The paced move of open connections whose addresses an override has withdrawn."""

from types import SimpleNamespace

from address_support import two_site_config

from onyxhollow.addresses.messages import DrainRequest
from onyxhollow.fleet.shared_addresses.service import SharedAddresses


class FakeMember:
    """A fleet member: its open sessions, each one moved as soon as it is stopped."""

    def __init__(self, config):
        self.name, self.zone, self.process_id, self.epoch = "a0", "a", "a0~1", 1
        self.loop = SimpleNamespace(now=0.0, spawn=lambda run: None)
        self.proxy = SimpleNamespace(
            sessions=SimpleNamespace(table=SimpleNamespace(live=[])),
            config=SimpleNamespace(settings=SimpleNamespace(listeners={"chat": None, "talk": None})),
        )
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

    def count_moved(self, second, *names):
        """The announcer's request, repeated every second, and how many are moved in this second."""
        before = len(self.moved)
        request = DrainRequest("a", list(names))
        self.addresses.dispatch(request, "a1", "a1~1", float(second))
        self.addresses.drain.move_connections(float(second))
        return len(self.moved) - before


def test_connections_move_though_none_had_to_when_the_first_of_two_addresses_was_withdrawn():
    """Both have one listener, and the routing daemon takes their withdrawals one after the other.

    A member that looked in between had a pace for none, and moved none as long as the override stood.
    """
    member = FakeMember(two_site_config("chat", "chat"))
    member.open_sessions(100, "chat")
    assert member.count_moved(0, "x0") == 0  # x1 has the same listener, and stays
    assert [member.count_moved(second, "x0", "x1") for second in range(1, 7)] == [5, 5, 5, 5, 5, 10]
    for second in range(7, 13):
        member.count_moved(second, "x0", "x1")
    assert not member.live


def test_connections_that_open_while_an_address_is_withdrawn_move_though_there_were_none():
    member = FakeMember(two_site_config("chat", "talk"))
    assert member.count_moved(0, "x0") == 0
    member.open_sessions(12, "chat")
    assert [member.count_moved(second, "x0") for second in range(1, 4)] == [1, 1, 1]
    for second in range(4, 10):
        member.count_moved(second, "x0")
    assert not member.live


def test_a_second_address_drains_at_the_pace_of_all_its_connections():
    """One had two connections and the other two hundred: they moved one a second."""
    member = FakeMember(two_site_config("chat", "talk"))
    member.open_sessions(2, "chat")
    member.open_sessions(200, "talk")
    assert member.count_moved(0, "x0") == 1
    assert member.count_moved(1, "x0", "x1") == 11  # a twentieth of 201, rounded up
    for second in range(2, 12):
        member.count_moved(second, "x0", "x1")
    assert not member.live
