"""In which order members are candidates for a role."""

from membership_network import Net

from onyxhollow.fleet import clock
from onyxhollow.fleet.identity import MAY_HOLD_ROLES
from onyxhollow.fleet.role_ranking import RoleRanking


def test_members_that_come_and_go_rank_last_and_are_not_left_out(monkeypatch):
    # With all of them left out a role had no candidate, after a hundred faults one after another.
    net = Net(5)
    net.run(8.0)
    membership = net.swims["m0~1"]
    monkeypatch.setattr(clock, "now", lambda: net.now)
    for member in membership.live_members():
        member.flags = MAY_HOLD_ROLES

    def order():
        return RoleRanking(membership, "m0", "m0~1", lambda: True).candidate_order("d", None)

    first = next(process for process in order() if process != "m0~1")
    for _ in range(4):
        membership.flap_damping.record_failure(first.partition("~")[0], net.now)
    assert order()[-1] == first
    for name in ("m1", "m2", "m3", "m4") * 4:
        membership.flap_damping.record_failure(name, net.now)
    assert sorted(order()) == [f"m{n}~1" for n in range(5)] and order()[0] == "m0~1"
