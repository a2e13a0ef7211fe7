"""Tests of the order of candidates for a role."""

from membership_network import MembershipNetwork

from onyxhollow.fleet import clock
from onyxhollow.fleet.identity import MAY_HOLD_ROLES
from onyxhollow.fleet.role_ranking import RoleRanking


def test_damped_members_rank_last_but_stay_candidates(monkeypatch):
    # Guards against a role without any candidate, which happened when damped members were excluded and
    # a hundred consecutive faults had caused every member to be damped.
    net = MembershipNetwork(5)
    net.run(8.0)
    membership = net.members["m0~1"]
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
