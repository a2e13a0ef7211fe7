"""Membership (SWIM) in simulated time, and the authentication of its datagrams."""

import time

import pytest
from membership_network import KEYS, MembershipNetwork, all_see_all

from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator, read_keys
from onyxhollow.membership.member_table import InvalidTransitionError
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES, MemberState, MemberUpdate, Packet, Ping


def test_a_broadcast_reaches_all_members_although_most_datagrams_go_to_one():
    """Lease requests go to the same voters all the time: changes piggybacked there until they were used up,
    and one member of five did not receive a drain."""
    net = MembershipNetwork(5)
    net.run(5.0)
    one = net.members["m0~1"]
    one.broadcast(7, b"a drain")
    voter = next(member for member in one.live_members() if member.name == "m1")
    for _ in range(40):
        one.send_payload(voter, 1, b"vote for me")
    one.outbox.clear()  # and none of these arrives
    net.run(4.0)
    received = {
        key for key, swim in net.members.items() if any(event.kind == 7 for event in swim.received_broadcasts)
    }
    assert received >= {"m2~1", "m3~1", "m4~1"}


def test_members_join_by_seeds_and_all_detect_one_that_dies():
    net = MembershipNetwork(12)
    net.run(8.0)
    assert all_see_all(net)
    net.down.add("m5~1")
    net.run(30.0)
    assert all_see_all(net)
    assert net.largest <= MAX_DATAGRAM_BYTES


def test_a_datagram_costs_no_more_among_a_thousand_members_than_among_ten():
    # Each datagram scanned all members several times: 300 processes took 8 cores and did not come up.
    def cost(count):
        net = MembershipNetwork(1)
        swim = net.members["m0~1"]
        for number in range(1, count):
            swim.state_rules.apply_update(
                MemberUpdate(f"m{number}", 1, 0, MemberState.ALIVE, (f"a{number}", 1), "z", 3), net.now
            )
        swim.dissemination_queue.messages.clear()
        packet = Packet("f", "m1", 1, 1, 1, [Ping(1)])
        spans = []
        for _ in range(9):
            began = time.perf_counter()
            for _ in range(200):
                swim.on_message(net.now, packet, ("a1", 1))
                swim.next_due = swim.next_event_at()
            spans.append(time.perf_counter() - began)
        return min(spans)

    assert cost(1000) < 4 * cost(10)  # 40 times as much before


def test_a_stalled_member_declares_nobody_dead():
    # Without compensation it would take its own 2 s of stall for a silence of all the others.
    net = MembershipNetwork(8)
    net.run(8.0)
    net.members["m3~1"].changes.clear()
    net.stalled.add("m3~1")
    net.run(2.0)
    net.stalled.clear()
    swim = net.members["m3~1"]
    swim.compensate_for_stall(net.now)
    assert swim.counters["stalls"] == 1 and swim.local_health.score >= 1
    net.run(20.0)
    assert not [change for change in swim.changes if change.member.state is MemberState.DEAD]
    assert all_see_all(net)


def test_two_halves_of_a_partition_that_declared_each_other_dead_merge_again():
    net = MembershipNetwork(8)
    net.run(8.0)
    keys = sorted(net.members)
    net.cut = {(a, b) for a in keys[:4] for b in keys[4:]} | {(b, a) for a in keys[:4] for b in keys[4:]}
    net.run(40.0)
    assert net.sees(keys[0]) == set(keys[1:4]) and net.sees(keys[7]) == set(keys[4:7])
    net.cut = set()
    net.run(40.0)
    assert all_see_all(net)


def test_a_member_suspected_by_mistake_refutes_and_remains_alive():
    net = MembershipNetwork(5)
    net.run(8.0)
    swim = net.members["m1~1"]
    member = swim.members["m2", 1]
    swim.state_rules.suspect(member, member.incarnation, "m1", net.now)
    net.run(10.0)
    assert member.state is MemberState.ALIVE and member.incarnation == 1
    assert net.members["m2~1"].counters["refuted"] == 1


def test_two_processes_of_one_name_are_two_members_and_a_flapping_name_is_damped():
    net = MembershipNetwork(4)
    net.run(8.0)
    net.add("m2", epoch=2)
    net.run(5.0)
    assert {"m2~1", "m2~2"} <= net.sees("m0~1") and net.members["m0~1"].newest("m2").epoch == 2
    for epoch in (1, 2, 3, 4):
        if epoch > 2:
            net.add("m2", epoch=epoch)
            net.run(4.0)
        net.down.add(f"m2~{epoch}")
        net.run(16.0)
    assert net.members["m0~1"].flap_damping.is_damped("m2", net.now)
    assert not net.members["m0~1"].flap_damping.is_damped("m1", net.now)
    net.run(200.0)
    assert not net.members["m0~1"].flap_damping.is_damped("m2", net.now)


def test_a_transition_without_a_row_in_the_table_is_an_error():
    net = MembershipNetwork(2)
    net.run(4.0)
    swim = net.members["m0~1"]
    member = swim.members["m1", 1]
    for state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.ALIVE, MemberState.LEFT):
        swim.table.transition(member, state, member.incarnation, net.now)
    assert not member.is_live and member.key not in swim.table.live
    with pytest.raises(InvalidTransitionError, match=r"m1~1: expected one of the states that follow LEFT"):
        swim.table.transition(member, MemberState.ALIVE, 9, net.now)


def test_bytes_sent_by_a_member_hardly_grow_with_the_fleet():
    rates = []
    for count in (10, 60):
        net = MembershipNetwork(count)
        net.run(10.0)
        before = net.sent
        net.run(20.0)
        rates.append((net.sent - before) / count / 20.0)
    assert rates[1] < 2.0 * rates[0]


def test_foreign_replayed_and_malformed_datagrams_are_counted_and_dropped(tmp_path):
    one, other = (
        DatagramAuthenticator("f", "a", 5, KEYS),
        DatagramAuthenticator("f", "b", 7, [b"n" * 16, *KEYS]),
    )
    datagram = one.sign([], 0)
    assert other.verify(datagram).name == "a"  # the old key still verifies
    assert other.verify(datagram) is None and one.verify(other.sign([], 0)) is None
    assert other.verify(datagram[:-1] + b"x") is None and other.verify(b"x" * 2000) is None
    assert DatagramAuthenticator("g", "c", 1, KEYS).verify(datagram) is None
    assert other.verify(one.sign([], 6)) is None  # meant for the process before this one
    assert other.verify(one.sign([], 7)) is not None
    late = [one.sign([], 0) for _ in range(1100)]
    assert all(other.verify(each) for each in reversed(late[100:]))  # any order within the window
    assert other.verify(late[0]) is None
    assert other.dropped == {"repeated": 2, "seal": 1, "size": 1, "for another": 1}
    (tmp_path / "key").write_text("00ff" * 8 + "\n" + "aa" * 16 + "\n")
    assert [len(key) for key in read_keys(str(tmp_path / "key"))] == [16, 16]
