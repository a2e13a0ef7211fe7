"""Sharing: what members tell one another of servers. Cores in made-up time; the module with what it hears."""

from dataclasses import replace
from random import Random

import msgspec
import pytest
from peers import PLAIN

from onyxhollow.counters import Counters
from onyxhollow.decision_adapter import DecisionAdapter, report_shared
from onyxhollow.gossip import messages
from onyxhollow.gossip.core import GossipConfig, LoadGossip, News
from onyxhollow.gossip.messages import Counts, Page, Row
from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState
from onyxhollow.lab import decisions, scenario, virtual
from onyxhollow.lab.together import Trouble

TERMS = GossipConfig(every=0.25, report=2.0, renew=1.0)


class Fleet:
    """Cores that hear one another after a moment, unless cut; servers with a load that anyone may ask for."""

    def __init__(self, count, servers, zones=("a",), seed=1):
        self.now, self.rng = 100.0, Random(seed)
        self.loads = {f"s{n}": 0.08 * (n + 1) for n in range(servers)}
        self.dead, self.cut, self.asked, self.bytes, self.lies = set(), set(), [], {}, {}
        zone = {n: zones[n % len(zones)] for n in range(count)}
        self.cores = {
            n: LoadGossip(f"n{n}", n + 1, zone[n], TERMS, Random(seed * 99 + n), self.now)
            for n in range(count)
        }
        self.own = {n: {} for n in range(count)}
        self.news = {n: {} for n in range(count)}
        self.where = {name: zones[n % len(zones)] for n, name in enumerate(self.loads)}
        self.meet()

    def meet(self):
        there = [(core.epoch, core.name, core.zone) for core in self.cores.values()]
        for core in self.cores.values():
            core.meet(there)
            core.listed(self.where)

    def play(self, span):
        until = self.now + span
        while self.now < until:
            self.now += 0.05
            for n, core in list(self.cores.items()):
                if self.now >= core.due:
                    core.tick(self.own[n], self.now)
                for server in core.ask:
                    self.asked.append((n, server))
                    seen = None if server in self.dead else self.lies.get(n, self.loads[server])
                    core.asked(server, seen, self.now)
                out, core.ask, core.out = core.out, [], []
                for epoch, message in out:
                    text = messages.encode(message)
                    assert len(text) <= messages.ROOM + 20
                    self.bytes[n] = self.bytes.get(n, 0) + len(text)
                    if epoch - 1 in self.cores and (n, epoch - 1) not in self.cut:
                        told = messages.MESSAGES.decode(text)
                        self.cores[epoch - 1].heard(core.epoch, told, self.now)
                for news in core.news:
                    self.news[n][news.server] = news
                core.news = []


def test_all_learn_each_servers_load_and_connections_in_sum_and_few_ask_for_them():
    fleet = Fleet(12, 6)
    for n in range(12):
        fleet.own[n] = {"s1": 2, f"s{n % 6}": 1 + (n % 6 == 1) * 2}
    fleet.play(8.0)
    for n in range(12):
        told = fleet.news[n]
        assert told["s1"].held == 2 * 10 + 2 * 3 and told["s0"].held == 2
        report = {name: fleet.cores[n].report(name, fleet.now) for name in fleet.loads}
        assert all(report[name][0] == pytest.approx(load, abs=0.001) for name, load in fleet.loads.items())
    fleet.asked.clear()
    fleet.play(20.0)
    assert len(fleet.asked) <= 6 * (20.0 / TERMS.report * 1.2 + 20.0 / TERMS.audit * 3)
    by = {server: {n for n, name in fleet.asked if name == server} for server in fleet.loads}
    assert all(len(asking) <= 4 for asking in by.values())  # keeper, deputy, an audit or two
    fleet.own[3] = {}
    fleet.play(3.0)
    assert fleet.news[7]["s1"].held == 24  # one whose connections have ended is counted out


def test_bytes_of_a_member_stay_the_same_however_many_there_are():
    rates = []
    for count in (10, 40):
        fleet = Fleet(count, 20)
        fleet.play(4.0)
        fleet.bytes.clear()
        fleet.play(5.0)
        rates.append(max(fleet.bytes.values()) / 5.0)
    assert max(rates) < TERMS.fan / TERMS.every * 1000 and rates[1] < 1.5 * rates[0]


def test_a_deputy_takes_over_from_a_keeper_that_has_gone_silent_and_gives_back():
    fleet = Fleet(6, 3)
    fleet.play(4.0)
    keeper = fleet.cores[0].ranked["s0"][0] - 1
    gone = fleet.cores.pop(keeper)  # the others have not noticed
    fleet.loads["s0"] = 0.7
    fleet.play(3 * TERMS.renew + TERMS.report + 3.0)
    other = next(iter(fleet.cores))
    assert fleet.cores[other].report("s0", fleet.now)[0] == pytest.approx(0.7)
    fleet.cores[keeper] = gone
    fleet.play(4.0)
    assert fleet.cores[other].table["s0"].row.by == keeper + 1


def test_failures_are_evidence_of_as_many_as_have_seen_them():
    fleet = Fleet(6, 3)
    fleet.play(3.0)
    fleet.cores[1].failed("s2", fleet.now)
    fleet.play(2.5)
    assert fleet.news[4]["s2"].doubt == 0.0  # one, or one link, does not decide
    for n in (1, 2, 3):
        fleet.cores[n].failed("s2", fleet.now)
    fleet.play(2.5)
    assert fleet.news[4]["s2"].doubt == 1.5
    fleet.play(9.0)
    assert fleet.news[4]["s2"].doubt == 0.0
    fleet.dead.add("s1")  # answers no question: keeper and deputy both see for themselves
    fleet.play(2 * TERMS.report + 3.0)
    assert fleet.news[5]["s1"].doubt >= 1.0 and fleet.cores[5].report("s1", fleet.now) is None


def test_absurd_rows_those_of_strangers_and_unlikely_counts_are_dropped_or_cut():
    fleet = Fleet(8, 2)
    fleet.own = {n: {"s0": 3} for n in range(8)}
    fleet.play(4.0)
    core = fleet.cores[0]
    keeper, strangers = core.ranked["s0"][0], set(range(1, 9)) - set(core.ranked["s0"])
    before = core.table["s0"].row
    fine = {
        "server": "s0",
        "by": keeper,
        "number": 10**9,
        "age": 0,
        "load": 1,
        "load_age": 0,
        "held": 1,
        "doubters": 0,
    }
    wrong = [
        {"age": -1},
        {"age": 10**6},
        {"load": 10**6},
        {"held": -1},
        {"by": min(strangers)},
        {"server": "nobody"},
        {"doubters": -1},
        {"load_age": -5},
    ]
    for change in wrong:
        core.heard(keeper, Page([Row(**(fine | change))]), fleet.now)
    assert core.table["s0"].row is before or keeper == core.epoch
    for n, other in fleet.cores.items():  # one says that it has a thousand times as many
        if n != 5:
            other.heard(6, Counts(10**9, [("s0", 3000, 0), ("s1", -1, 0)]), fleet.now)
    fleet.own[5] = {"s0": 3000}
    fleet.play(3.0)
    assert fleet.news[2]["s0"].held < 8 * 3 + 8 * 3 + 8


def test_a_keeper_that_lies_is_found_by_those_who_look_for_themselves():
    fleet = Fleet(6, 2)
    fleet.play(3.0)
    keeper = fleet.cores[0].ranked["s1"][0] - 1
    other = next(n for n in range(6) if n + 1 not in fleet.cores[0].ranked["s1"])
    fleet.lies[keeper] = 1.9
    fleet.play(TERMS.report + 2.0)
    core = fleet.cores[other]
    assert core.report("s1", fleet.now)[0] == pytest.approx(1.9)
    core.look("s1", fleet.now)
    fleet.play(0.5)
    assert core.counts["rows far off what was seen"] == 0  # loads do jump
    fleet.play(TERMS.report + 1.0)
    assert core.report("s1", fleet.now) is None or core.table["s1"].row.by != keeper + 1
    assert core.counts["rows far off what was seen"] == 1


def test_zones_cut_from_one_another_go_on_each_with_its_own_and_find_together_again():
    fleet = Fleet(8, 4, zones=("a", "b"))
    fleet.own = {n: {"s0": 1} for n in range(8)}
    fleet.play(5.0)
    assert {fleet.news[n]["s0"].held for n in range(8)} == {8}
    fleet.cut = {(a, b) for a in range(8) for b in range(8) if a % 2 != b % 2}
    for n, core in fleet.cores.items():  # as membership tells it, in the end
        core.meet([(c.epoch, c.name, c.zone) for m, c in fleet.cores.items() if m % 2 == n % 2])
    fleet.play(8.0)
    assert {fleet.news[n]["s0"].held for n in (0, 2, 4, 6)} == {4}
    assert all(fleet.cores[n].report("s0", fleet.now) for n in range(8))
    fleet.cut = set()
    fleet.meet()
    fleet.play(8.0)
    assert {fleet.news[n]["s0"].held for n in range(8)} == {8}


# the module


FEW = {"health_checks": True, "health_check_price": 0.001, "instance_count": 100, "zone": "a"}


def zoned(host, **names):
    entries = [Endpoint(name, EndpointState.IN_SERVICE, zone=zone) for name, zone in names.items()]
    host.balancer.server_list(EndpointListKind.SNAPSHOT, entries)
    return [host.balancer.servers[name] for name in names]


def test_with_few_own_connections_near_servers_come_first_while_they_are_not_much_fuller(start):
    host = start(seed=3, **FEW)
    servers = zoned(host, **{f"s{n}": "a" if n < 5 else "b" for n in range(20)})
    host.balancer.asking = lambda *_: False
    counts = {"a": 0, "b": 0}
    for _ in range(40):
        host.loads(**{s.name: 0.3 for s in servers})
        sess = host.take()
        counts[sess.server.zone] += 1
        sess.dial_ended(AttemptOutcome.OK, True, 0.0)
    assert counts["a"] >= 35
    for server in servers:  # told for the fleet: the near ones hold far more
        load, held = (0.6, 60) if server.zone == "a" else (0.2, 20)
        report_shared(host.balancer, News(server.name, load, 0.0, held, 0.0, 0.0))
    for _ in range(40):
        counts[(sess := host.take()).server.zone] += 1
        sess.dial_ended(AttemptOutcome.OK, True, 0.0)
    assert counts["b"] >= 25


def test_what_the_fleet_knows_stands_for_reports_and_without_it_own_eyes_come_back(start):
    host = start(**FEW)
    a, b = zoned(host, a="a", b="a")
    for name, load in (("a", 0.5), ("b", 0.1)):
        report_shared(host.balancer, News(name, load, 1.0, round(load * 100), 0.5, 0.0))
    host.balancer.budget.since -= 20.0  # so few come that the room is hardly ever shared out
    assert host.take().server is b and not host.asked("check_health")
    report_shared(host.balancer, News("b", None, 3.0, 40, 0.0, 0.0))  # many have come since that report
    assert host.balancer.load_of(b) == pytest.approx(0.4, abs=0.01)
    host.wait(9.0)  # nobody tells any more
    before = len(host.asked("check_health"))
    host.take(stands=False)
    assert len(host.asked("check_health")) > before


def test_evidence_of_others_turns_traffic_away_and_bars_nobody_by_itself(start):
    host = start(**FEW)
    a, *_ = zoned(host, a="a", b="a", c="a")
    for _ in range(5):
        report_shared(host.balancer, News("a", 0.1, 0.0, 10, 0.0, 1.5))
    assert a.score(host.now) == pytest.approx(1.5) and host.balancer.well(a)
    host.balancer.blame(a, 1.0)
    assert not host.balancer.well(a)


def test_a_server_passed_over_by_chance_has_room_for_a_sites_health_and_a_full_one_has_not():
    told = replace(PLAIN, **FEW)
    decisions = DecisionAdapter(
        lambda: 100.0, told, 1, Counters(), lambda line: None, lambda name: None, lambda: None
    )
    entries = [Endpoint(name, EndpointState.IN_SERVICE, zone="a") for name in "xy"]
    decisions.report_list(EndpointListKind.SNAPSHOT, entries)
    servers = decisions.balancer.servers
    servers["x"].strained_at = 100.0
    assert not decisions.balancer.well(servers["x"]) and decisions.room("a") == (2, 2)
    decisions.report_probe("y", AttemptOutcome.OK, 0.0, 0.9)
    assert decisions.room("a") == (2, 1)


# in virtual time


def test_in_virtual_time_sharing_asks_less_and_a_cut_or_a_liar_breaks_no_rule():
    day = scenario.read("many-20x50")
    day = msgspec.structs.replace(day, seconds=12.0)
    probes = []
    for terms, trouble in (
        (None, None),
        (GossipConfig(), None),
        (GossipConfig(), Trouble(4.0, 8.0, liars=3)),
    ):
        engine = virtual.Virtual(day, 1, decisions.find("module"), terms, trouble)
        world = engine.run()
        assert world.referee.verdict()["clean"] and world.ledger.figures()["service"] > 0.9
        probes.append(world.ledger.counts["probes"])
    assert probes[1] < 0.7 * probes[0], probes  # servers that are hot are asked each second all the same


def test_in_a_rush_each_goes_by_its_own_eyes_and_by_what_is_told_again_after_it():
    """150 of 300 killed: all chose by the same old rows, and the dead ones' counts were still among them."""
    fleet = Fleet(8, 4)
    for n in range(8):
        fleet.own[n] = {name: 3 for name in fleet.loads}
    fleet.play(12.0)
    one = fleet.cores[0]
    assert not one.rush and one.report("s1", fleet.now) is not None
    fleet.own[0] = {name: 5 for name in fleet.loads}  # 8 more on 12
    fleet.play(0.5)
    assert one.rush and one.counts["rushes"] == 1
    assert all(one.report(name, fleet.now) is None for name in fleet.loads)
    told = fleet.news[0]
    assert all(min(told[name].age, told[name].held_age) > 8.0 for name in fleet.loads)
    assert not fleet.cores[5].rush and fleet.cores[5].report("s1", fleet.now) is not None
    fleet.play(5.0)
    assert not one.rush and one.report("s1", fleet.now) is not None
    assert all(max(told[name].held_age, told[name].age - TERMS.report) < 3.0 for name in fleet.loads)
