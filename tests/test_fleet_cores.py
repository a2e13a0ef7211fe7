"""The fleet's pure cores, in made-up time: membership, seals, votes, what is told of the list; and the
records."""

import errno
import heapq
import time
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from onyxhollow import append_log as records_module
from onyxhollow.__main__ import main
from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.fleet import clock, telling
from onyxhollow.fleet.file import FleetError, read_fleet
from onyxhollow.fleet.node import Node
from onyxhollow.lab.fleet import broken, explore
from onyxhollow.leases.change import Changer
from onyxhollow.leases.claim import Claim, Rules, State
from onyxhollow.leases.messages import (
    VOTERS,
    Accepted,
    Answer,
    Ask,
    Change,
    Council,
    Granted,
    Learn,
    Propose,
    Recalled,
    Release,
    Remembers,
)
from onyxhollow.leases.voter import Voter
from onyxhollow.membership.config import ProtocolConfig
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator, read_keys
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES, MemberState, MemberUpdate, Packet, Ping
from onyxhollow.membership.swim import SwimMembership

KEYS = [b"k" * 16]
COUNCIL = Council(0, ("a", "b", "c"))


class Net:
    """Members in made-up time: datagrams take a moment, and links can be cut."""

    def __init__(self, count, seed=1, terms=None):
        self.now, self.rng, self.due, self.number = 100.0, Random(seed), [], 0
        self.terms = terms or ProtocolConfig()
        self.swims, self.authenticators, self.down, self.stalled, self.cut = {}, {}, set(), set(), set()
        self.sent, self.largest = 0, 0
        for number in range(count):
            self.add(f"m{number}")

    def add(self, name, epoch=1, address=None):
        key = f"{name}~{epoch}"
        address = address or (key, 1)
        me = MemberUpdate(name, epoch, 0, MemberState.ALIVE, address, "z", 3)
        self.swims[key] = SwimMembership(
            me, self.terms, Random(hash_of(key)), [("m0~1", 1), ("m1~1", 1)], self.now
        )
        self.authenticators[key] = DatagramAuthenticator("f", name, epoch, KEYS)
        return self.swims[key]

    def flush(self, key):
        swim = self.swims[key]
        for out in swim.outbox:
            datagram = self.authenticators[key].sign(out.messages, out.receiver_epoch)
            self.largest = max(self.largest, len(datagram))
            self.sent += len(datagram)
            target = out.address[0]
            if target in self.swims and (key, target) not in self.cut:
                self.number += 1
                heapq.heappush(
                    self.due, (self.now + self.rng.uniform(0.001, 0.01), self.number, key, target, datagram)
                )
        swim.outbox.clear()

    def run(self, seconds):
        until = self.now + seconds
        while True:
            runs = [key for key in self.swims if key not in self.down and key not in self.stalled]
            ticks = min((self.swims[key].next_due for key in runs), default=until)
            self.now = max(self.now, min(until, ticks, self.due[0][0] if self.due else until))
            if self.now >= until:
                for swim in self.swims.values():  # what is kept beside the members is a part of them
                    assert swim.table.live == {m.key: m for m in swim.members.values() if m.is_live}
                    assert swim.table.suspects == {
                        w: m for w, m in swim.table.live.items() if m.state is MemberState.SUSPECT
                    }
                return
            while self.due and self.due[0][0] <= self.now:
                _, _, source, target, datagram = heapq.heappop(self.due)
                if target in self.down or target in self.stalled:
                    continue
                if packet := self.authenticators[target].verify(datagram):
                    self.swims[target].on_message(self.now, packet, (source, 1))
                self.flush(target)
            for key in runs:
                if self.swims[key].next_due <= self.now:
                    self.swims[key].tick(self.now)
                    self.flush(key)

    def sees(self, key):
        return {f"{member.name}~{member.epoch}" for member in self.swims[key].live_members()}


def test_news_reaches_all_though_most_datagrams_go_to_one():
    """Leases are asked for at the same voters all the time: news rode there and was spent, and one member of
    five did not hear of a drain."""
    net = Net(5)
    net.run(5.0)
    one = net.swims["m0~1"]
    one.broadcast(7, b"a drain")
    voter = next(member for member in one.live_members() if member.name == "m1")
    for _ in range(40):
        one.send_payload(voter, 1, b"give me your word")
    one.outbox.clear()  # and none of these arrives
    net.run(4.0)
    heard = {
        key for key, swim in net.swims.items() if any(event.kind == 7 for event in swim.received_broadcasts)
    }
    assert heard >= {"m2~1", "m3~1", "m4~1"}


def hash_of(text):
    return sum(ord(letter) * 31**place for place, letter in enumerate(text))


def all_see_all(net):
    up = set(net.swims) - net.down
    return all(net.sees(key) == up - {key} for key in up)


def test_members_join_by_seeds_and_one_that_dies_is_known_dead_by_all():
    net = Net(12)
    net.run(8.0)
    assert all_see_all(net)
    net.down.add("m5~1")
    net.run(30.0)
    assert all_see_all(net)
    assert net.largest <= MAX_DATAGRAM_BYTES


def test_a_datagram_costs_no_more_among_a_thousand_members_than_among_ten():
    # All members were gone through several times for each: 300 processes took 8 cores and did not come up.
    def cost(count):
        net = Net(1)
        swim = net.swims["m0~1"]
        for number in range(1, count):
            swim.apply_update(
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
    # Without a look at its own lateness it wakes to a world that was silent for 20 s, and says so.
    net = Net(8)
    net.run(8.0)
    net.swims["m3~1"].changes.clear()
    net.stalled.add("m3~1")
    net.run(2.0)
    net.stalled.clear()
    swim = net.swims["m3~1"]
    swim.compensate_for_stall(net.now)
    assert swim.counters["stalls"] == 1 and swim.local_health.score >= 1
    net.run(20.0)
    assert not [change for change in swim.changes if change.member.state is MemberState.DEAD]
    assert all_see_all(net)


def test_two_halves_that_held_each_other_for_dead_find_each_other_again():
    net = Net(8)
    net.run(8.0)
    keys = sorted(net.swims)
    net.cut = {(a, b) for a in keys[:4] for b in keys[4:]} | {(b, a) for a in keys[:4] for b in keys[4:]}
    net.run(40.0)
    assert net.sees(keys[0]) == set(keys[1:4]) and net.sees(keys[7]) == set(keys[4:7])
    net.cut = set()
    net.run(40.0)
    assert all_see_all(net)


def test_one_that_is_suspected_by_mistake_says_so_and_stays():
    net = Net(5)
    net.run(8.0)
    swim = net.swims["m1~1"]
    member = swim.members["m2", 1]
    swim.suspect(member, member.incarnation, "m1", net.now)
    net.run(10.0)
    assert member.state is MemberState.ALIVE and member.incarnation == 1
    assert net.swims["m2~1"].counters["refuted"] == 1


def test_two_processes_of_one_name_are_told_apart_and_one_that_flaps_is_damped():
    net = Net(4)
    net.run(8.0)
    net.add("m2", epoch=2)
    net.run(5.0)
    assert {"m2~1", "m2~2"} <= net.sees("m0~1") and net.swims["m0~1"].newest("m2").epoch == 2
    for epoch in (1, 2, 3, 4):
        if epoch > 2:
            net.add("m2", epoch=epoch)
            net.run(4.0)
        net.down.add(f"m2~{epoch}")
        net.run(16.0)
    assert net.swims["m0~1"].flap_damping.is_damped("m2", net.now)
    assert not net.swims["m0~1"].flap_damping.is_damped("m1", net.now)
    net.run(200.0)
    assert not net.swims["m0~1"].flap_damping.is_damped("m2", net.now)


def test_members_that_come_and_go_rank_last_and_are_not_left_out(monkeypatch):
    # With all of them left out a duty had no candidate, after a hundred faults one after another.
    net = Net(5)
    net.run(8.0)
    swim = net.swims["m0~1"]
    monkeypatch.setattr(clock, "now", lambda: net.now)
    for member in swim.live_members():
        member.flags = 1
    runner = SimpleNamespace(zone=None, claim=SimpleNamespace(duty="d"))

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


def test_bytes_of_a_member_hardly_grow_with_the_fleet():
    told = []
    for count in (10, 60):
        net = Net(count)
        net.run(10.0)
        before = net.sent
        net.run(20.0)
        told.append((net.sent - before) / count / 20.0)
    assert told[1] < 2.0 * told[0]


def test_what_is_foreign_repeated_or_rubbish_is_counted_and_dropped(tmp_path):
    one, other = (
        DatagramAuthenticator("f", "a", 5, KEYS),
        DatagramAuthenticator("f", "b", 7, [b"n" * 16, *KEYS]),
    )
    datagram = one.sign([], 0)
    assert other.verify(datagram).name == "a"  # the old key still opens
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


# votes


def voter(name="a", now=0.0, blank=False):
    made = Voter(name, COUNCIL, 4.0, now)
    made.blank = blank
    return made


def ask(term, who, duty="d", version=0, look=False):
    return Ask(duty, term, who, 1, 4.0, version, look)


def test_a_voter_gives_its_word_to_one_for_a_lease_and_terms_only_rise():
    made = voter()
    (yes,), rows = made.heard(0.0, "x", ask(1, "x"))
    assert yes.yes and rows == [Granted("d", 1, "x", 4.0)]
    (no,), rows = made.heard(1.0, "y", ask(2, "y"))
    assert not no.yes and no.left == 3.0 and not rows
    assert made.heard(2.0, "x", ask(1, "x"))[1] == []  # goes on; nothing new to write
    assert not made.heard(5.9, "y", ask(2, "y"))[0][0].yes
    assert not made.heard(6.1, "y", ask(1, "y"))[0][0].yes  # that term is used up
    assert made.heard(6.1, "y", ask(2, "y", look=True))[0][0].yes
    assert made.heard(6.1, "y", ask(2, "y"))[0][0].yes
    assert not made.heard(6.2, "x", ask(1, "x"))[0][0].yes
    made.heard(6.3, "y", Release("d", 2, "y"))
    assert not made.heard(6.4, "y", ask(2, "y"))[0][0].yes  # a late one of a term that was given back
    assert made.heard(6.4, "x", ask(3, "x"))[0][0].yes


def test_a_voter_started_anew_waits_a_lease_with_its_memory_and_asks_the_others_without():
    made = voter()
    _, rows = made.heard(0.0, "x", ask(7, "x"))
    again = Voter("a", COUNCIL, 4.0, 50.0)
    again.remember([*made.rows(), *rows], 50.0)
    assert not again.blank
    assert not again.heard(53.9, "y", ask(8, "y"))[0][0].yes and again.heard(51.0, "x", ask(7, "x"))[0][0].yes
    blank = Voter("a", COUNCIL, 4.0, 50.0)
    assert not blank.heard(60.0, "y", ask(8, "y"))[0][0].yes
    blank.heard(60.0, "b", Recalled(1, False, {"d": (7, "x")}, COUNCIL))
    blank.tick(60.0)
    assert blank.blank  # any two of three may have granted: one other's word is not enough
    blank.heard(60.0, "c", Recalled(1, True, {}, COUNCIL))
    _, rows = blank.tick(60.0)
    assert not blank.blank and rows
    assert not blank.heard(60.0, "y", ask(7, "y"))[0][0].yes and blank.heard(60.0, "x", ask(7, "x"))[0][0].yes


def test_what_the_disk_has_not_taken_does_not_hold():
    made = voter()
    made.heard(0.0, "x", ask(1, "x"))
    made.undo()
    answers, rows = made.heard(0.1, "y", ask(1, "y"))
    assert answers[0].yes and rows


def test_a_voter_that_has_accepted_other_voters_gives_no_word_under_the_old_ones():
    made = voter()
    made.heard(0.0, "x", ask(3, "x", duty="voters"))
    after = Council(1, ("a", "b", "z"))
    assert not made.heard(0.1, "x", Propose(2, 1, after))[0][0].yes
    assert made.heard(0.1, "x", Propose(3, 1, after))[0][0].yes
    assert made.heard(0.2, "x", ask(1, "x"))[0][0].why == "voters change"
    told = made.heard(9.0, "y", ask(4, "y", duty="voters"))[0][0]
    assert told.yes and told.pending.council == after  # whoever holds VOTERS next has to go on with it
    made.heard(9.1, "y", Learn(after))
    assert made.heard(9.2, "x", ask(1, "x"))[0][0].why == "council"
    assert made.heard(9.2, "x", ask(1, "x", version=1))[0][0].yes
    newcomer = Voter("z", COUNCIL, 4.0, 0.0)
    newcomer.blank = False
    newcomer.heard(9.1, "y", Learn(after))
    assert newcomer.blank and newcomer.waits_until == 13.1


def test_a_lease_counts_from_before_it_was_asked_for_and_less_the_bound_on_clocks():
    claim = Claim("d", "x", Rules(4.0, 0.1), COUNCIL, Random(1), 0.0)
    claim.take(10.0)
    for name in ("a", "b"):
        claim.heard(11.0, name, Answer("d", 1, claim.round, True, 0))
    assert claim.holds(13.2) and not claim.holds(13.3)  # 10 + 4 * 0.9 / 1.1
    claim.tick(13.3, 0)
    assert claim.state is State.IDLE and [turn.cause for turn in claim.turns] == ["granted", "lease ran out"]
    claim.take(20.0)
    for name in ("a", "b"):
        claim.heard(23.5, name, Answer("d", 2, claim.round, True, 1))
    assert not claim.holds(23.5)  # the answers were too long on their way


def test_the_explorer_finds_nothing_with_one_fault_and_each_bug_put_in():
    told = explore.explore(1, 12)
    assert told.whole and not told.found and told.states > 1000 and told.ends
    told = explore.explore(3, 8, only="restarts")
    assert told.whole and not told.found
    for name in broken.BUGS:
        with explore.bug(name):
            only = "restarts" if name == "forgets" else ""
            assert explore.explore(3 if only else 1, 12, only=only).found, name


class Votes(RuleBasedStateMachine):
    """Five voters and two more to come, three candidates for a duty and for changing the voters, in any order
    of loss, repetition, delay, restarts with and without the disk, hand-overs and changes."""

    @initialize()
    def begin(self):
        self.now, self.under_way = 0.0, []
        self.cut, self.stopped = frozenset(), frozenset()
        self.council = Council(0, tuple("abcde"))
        self.voters = {name: Voter(name, self.council, 4.0, 0.0) for name in "abcdefg"}
        self.disks = {name: [] for name in "abcdefg"}
        for name in "abcde":
            self.voters[name].blank = False
            self.disks[name] = [Remembers()]
        duties = ("d", VOTERS)
        self.claims = {
            (who, duty): Claim(duty, who, Rules(4.0, 0.01), self.council, Random(1), 0.0)
            for who in "xyz"
            for duty in duties
        }
        self.changers = {who: Changer() for who in "xyz"}
        self.terms = dict.fromkeys(duties, 0)

    def put(self, source, told):
        self.under_way += [(source, target, what) for target, what in told]

    def tick(self, span):
        self.now += span
        for (who, _), claim in self.claims.items():
            if who not in self.stopped and self.now >= claim.due():
                self.put(who, claim.tick(self.now, "xyz".index(who)))

    @rule(span=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, span):
        self.tick(span)

    @rule(seconds=st.integers(1, 6))
    def go_on(self, seconds):
        """Time in which whatever is not cut off arrives at once."""
        for _ in range(4 * seconds):
            self.tick(0.25)
            for name in "abcdefg":
                self.recall(name)
            while self.under_way:
                self.deliver(*self.under_way.pop(0))

    @rule(who=st.sampled_from("xyz"))
    def stop_or_wake(self, who):
        self.stopped ^= {who}

    @rule(name=st.sampled_from("abcdefgxyz"))
    def cut_or_mend(self, name):
        self.cut ^= {name}

    def deliver(self, source, target, what):
        if source in self.cut or target in self.cut or target in self.stopped:
            return
        if target in self.voters:
            answers, rows = self.voters[target].heard(self.now, source, what)
            self.disks[target] += rows
            self.put(target, [(source, answer) for answer in answers])
        elif isinstance(what, Accepted):
            claim = self.claims[target, VOTERS]
            if made := self.changers[target].accepted(self.now, claim, claim.council, source, what):
                self.learn(target, made)
                self.put(target, [(name, Learn(made)) for name in "abcdefg"])
        else:
            claim = self.claims[target, what.duty]
            self.put(target, claim.heard(self.now, source, what))
            self.learn(target, claim.council)

    def learn(self, who, council):
        for duty in self.terms:
            if council.version > self.claims[who, duty].council.version:
                self.claims[who, duty].council = council

    @precondition(lambda self: self.under_way)
    @rule(data=st.data(), fate=st.sampled_from(["comes", "comes", "comes", "comes twice", "lost"]))
    def travel(self, data, fate):
        place = data.draw(st.integers(0, min(5, len(self.under_way) - 1)))
        told = self.under_way[place] if fate == "comes twice" else self.under_way.pop(place)
        if fate != "lost":
            self.deliver(*told)

    @rule(name=st.sampled_from("abcdefg"), blank=st.booleans())
    def restart(self, name, blank):
        if blank and any(made.blank and each in made.council.names for each, made in self.voters.items()):
            return  # two without memory at once: terms rest on the others then (docs/duties.md)
        made = Voter(name, Council(0, tuple("abcde")), 4.0, self.now)
        if blank:
            self.disks[name] = []
        made.remember(self.disks[name], self.now)
        self.voters[name] = made

    def recall(self, name):
        told, rows = self.voters[name].tick(self.now)
        self.disks[name] += rows
        self.put(name, told)

    @rule(who=st.sampled_from("xyz"), duty=st.sampled_from(["d", VOTERS]))
    def hand_over(self, who, duty):
        self.put(who, self.claims[who, duty].end(self.now, "operator"))

    @precondition(lambda self: any(self.claims[who, VOTERS].holds(self.now) for who in "xyz"))
    @rule(remove=st.integers(0, 4), add=st.integers(0, 1))
    def change(self, remove, add):
        who = next(who for who in "xyz" if self.claims[who, VOTERS].holds(self.now))
        claim, changer = self.claims[who, VOTERS], self.changers[who]
        names = claim.council.names
        if not changer.busy:
            changer.wish = Change(names[remove], sorted(set("abcdefg") - set(names))[add])
        self.put(who, changer.propose(self.now, claim, claim.council))

    @invariant()
    def one_holder_and_terms_rise(self):
        if not hasattr(self, "claims"):
            return
        for duty in self.terms:
            claims = [claim for (_, each), claim in self.claims.items() if each == duty]
            assert sum(claim.holds(self.now) for claim in claims) <= 1
            for claim in claims:
                for turn in claim.turns:
                    if turn.held:
                        assert turn.term > self.terms[duty]
                        self.terms[duty] = turn.term
                claim.turns.clear()

    @invariant()
    def one_council_a_version(self):
        if hasattr(self, "claims"):
            known = [claim.council for claim in self.claims.values()]
            known += [made.council for made in self.voters.values()]
            assert len({council.version for council in known}) == len(set(known))


Votes.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestVotes = Votes.TestCase


# records


def test_each_write_fsync_and_rename_that_fails_leaves_what_counted_before(tmp_path, monkeypatch):
    for place, name in enumerate(("pwrite", "fsync", "rename", "fsync folder")):
        folder = str(tmp_path / str(place))
        kept = AppendLog(folder, "r")
        kept.append(b"one", b"two")

        def fail(*_, **__):
            raise OSError(errno.ENOSPC, "full")

        with monkeypatch.context() as patch:
            if name == "fsync folder":
                patch.setattr(kept, "sync_folder", fail)
            else:
                patch.setattr(records_module.os, name, fail)
            with pytest.raises(OSError):
                kept.rewrite([b"three"]) if name in ("rename", "fsync folder") else kept.append(b"three")
        kept.append(b"four")  # written anew, since nobody knows what the disk holds
        kept.close()
        assert AppendLog(folder, "r").rows == [b"one", b"two", b"four"], name


def test_what_a_crash_cut_off_is_named_and_written_over(tmp_path):
    kept = AppendLog(str(tmp_path), "r")
    with pytest.raises(AppendLogError, match="another process"):
        AppendLog(str(tmp_path), "r")
    kept.append(b"one", b"two", b"three")
    kept.close()
    whole = (tmp_path / "r").read_bytes()
    for cut, told in ((1, "half a record"), (len(b"three") + 3, "half a head")):
        (tmp_path / "r").write_bytes(whole[:-cut])
        again = AppendLog(str(tmp_path), "r")
        assert again.rows == [b"one", b"two"] and told in again.cut
        again.close()
    (tmp_path / "r").write_bytes(whole[:-1] + b"X")
    again = AppendLog(str(tmp_path), "r")
    assert "checksum" in again.cut
    again.append(b"new")
    again.close()
    assert AppendLog(str(tmp_path), "r").rows == [b"one", b"two", b"new"]
    (tmp_path / "s").write_bytes(b"something else")
    with pytest.raises(AppendLogError, match="expected records"):
        AppendLog(str(tmp_path), "s")


# the list


def listener(now=0.0):
    return telling.Listener("list", "s", 0.5, 2.0, Random(1), now)


def row(name, health="active"):
    return {"host": name, "health": health}


def test_who_hears_its_own_version_rests_and_asks_again_by_chance_when_the_teller_is_silent():
    teller, one = telling.Teller("list", 3, "s", 0.5), listener()
    (told,) = teller.told({"s1": row("s1")}, 7)
    taken = one.rows(told, 0.0, -1)
    assert taken.rows == [row("s1")] and taken.version == 7 and taken.whole
    assert one.beat(teller.beat(), 0.1, 7, 4) is None and one.resting
    (told,) = teller.told({"s1": row("s1", "leaving"), "s2": row("s2")}, 8)
    assert told.base == 7 and one.rows(told, 0.2, 7).rows == [row("s1", "leaving"), row("s2")]
    assert isinstance(one.rows(told, 0.2, 6), telling.Want)  # one that missed 7 wants it all
    assert not one.tick(1.6) and not one.tick(1.71)
    assert 1.7 < one.ask_at <= 3.75
    assert one.tick(3.75) and not one.resting


def test_a_teller_that_lost_the_list_is_outdated_behind_or_tells_rubbish_is_left():
    for told in ("lost", "rubbish", "behind", "outdated"):
        teller, one = telling.Teller("list", 3, "s", 0.5), listener()
        teller.told({"s1": row("s1")}, 7)
        one.beat(teller.beat(), 0.0, 7, 4)
        if told == "lost":
            teller.lost = True
            one.beat(teller.beat(), 0.1, 7, 4)
        elif told == "rubbish":
            one.rows(telling.Rows("list", 3, "s", 8, 7, 0, 1, b"x"), 0.1, 7)
        elif told == "behind":
            one.beat(teller.beat(), 0.1, 8, 4)
            one.beat(teller.beat(), 0.1 + telling.BEHIND + 0.1, 8, 4)
        else:
            one.beat(telling.Beat("list", 4, "s", 7, False), 0.1, 7, 4)
            assert one.beat(teller.beat(), 0.2, 6, 4) is None  # a Want else
            assert one.heard_at == 0.1
            continue
        assert one.ask_at <= 0.1 + telling.BEHIND + 0.1 + 2.0, told
        assert one.tick(one.ask_at)


# the file

GOOD = """fleet = "f"
key_file = "key"
listen = "127.0.0.1:7946"
voters = ["a", "b", "c"]
[[duty]]
name = "list"
work = "list"
per = "zone"
"""


@pytest.mark.parametrize(
    "change, told",
    [
        (("", ""), ""),
        (('["a", "b", "c"]', '["a", "b"]'), "voters: expected 3, 5 or 7 different names, got a, b"),
        (('per = "zone"', 'per = "town"'), "duty[0].per: expected one of fleet, zone, got 'town'"),
        (('per = "zone"', "every = 100.0"), "duty[0].every: expected 0.02 to 60, got 100"),
        (('work = "list"', 'work = "call"'), "duty[0].call: expected HOST:PORT, got ''"),
        (('"f"', "3"), "fleet: expected `str`, got `int`"),
        (('fleet = "f"', 'fleet = "f"\nfolders = 1'), "top: Object contains unknown field `folders`"),
        (('"key"', '"keys"'), "keys: No such file"),
        (('"127.0.0.1:7946"', '"here"'), "listen: expected HOST:PORT, got 'here'"),
        (('name = "list"', 'name = "voters"'), "none of them 'voters'"),
    ],
)
def test_the_fleet_file_is_checked_whole_and_says_where_it_is_wrong(tmp_path, change, told):
    (tmp_path / "key").write_text("ab" * 16)
    path = tmp_path / "fleet.toml"
    path.write_text(GOOD.replace(*change))
    if not told:
        assert read_fleet(str(path), lambda _: None).told.duty[0].per == "zone"
        assert read_fleet(str(path), lambda _: "127.0.0.1:1").listen == ("127.0.0.1", 1)
        return
    with pytest.raises(FleetError) as error:
        read_fleet(str(path), lambda _: None)
    assert (
        told in str(error.value) and "\n" not in str(error.value) and str(error.value).startswith(str(path))
    )


def test_check_reads_the_fleet_file_too(tmp_path, capfd):
    (tmp_path / "key").write_text("ab" * 16)
    (tmp_path / "fleet.toml").write_text(GOOD)
    words = ["check", "--config", "example/config.json", "--fleet", str(tmp_path / "fleet.toml")]
    assert main(words) == 0
    told = capfd.readouterr().out
    assert "voters a, b, c, lease 3 s" in told and "list (list, one a zone)" in told
    (tmp_path / "key").write_text("ab")
    assert main(words) == 2
    told = capfd.readouterr().err
    assert "expected one or two keys of 16 bytes or more, got 1 of 1 bytes" in told and told.count("\n") == 1
