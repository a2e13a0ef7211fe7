"""In which order members are candidates for a role."""

from types import SimpleNamespace

from membership_network import Net

from onyxhollow.fleet import clock
from onyxhollow.fleet.node import Node


def test_members_that_come_and_go_rank_last_and_are_not_left_out(monkeypatch):
    # With all of them left out a duty had no candidate, after a hundred faults one after another.
    net = Net(5)
    net.run(8.0)
    swim = net.swims["m0~1"]
    monkeypatch.setattr(clock, "now", lambda: net.now)
    for member in swim.live_members():
        member.flags = 1
    runner = SimpleNamespace(zone=None, claim=SimpleNamespace(role="d"))

    def order():
        node = SimpleNamespace(membership=swim, ranks={}, fit=lambda: True, name="m0", process_id="m0~1")
        return Node.order(node, runner)

    first = next(who for who in order() if who != "m0~1")
    for _ in range(4):
        swim.flap_damping.record_failure(first.partition("~")[0], net.now)
    assert order()[-1] == first
    for name in ("m1", "m2", "m3", "m4") * 4:
        swim.flap_damping.record_failure(name, net.now)
    assert sorted(order()) == [f"m{n}~1" for n in range(5)] and order()[0] == "m0~1"
