"""Load gossip: the cores in simulated time, and the balancing decisions with what gossip estimates."""

from dataclasses import replace
from random import Random

import msgspec
import pytest
from peers import PLAIN

from onyxhollow.counters import Counters
from onyxhollow.decision_adapter import DecisionAdapter, report_shared
from onyxhollow.gossip import messages
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.evidence_table import EndpointEstimate
from onyxhollow.gossip.load_gossip import LoadGossip
from onyxhollow.gossip.messages import ConnectionCounts, EndpointCount, EndpointReport, ReportPage
from onyxhollow.gossip.ownership import GossipMember
from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState
from onyxhollow.lab import decisions, scenario, virtual
from onyxhollow.lab.together import Trouble

CONFIG = GossipConfig(push_interval=0.25, poll_interval=2.0, report_interval=1.0)


class Fleet:
    """Cores that receive one another's messages at once, unless cut; servers whose load any core may poll."""

    def __init__(self, count, servers, zones=("a",), seed=1):
        self.now, self.rng = 100.0, Random(seed)
        self.loads = {f"s{n}": 0.08 * (n + 1) for n in range(servers)}
        self.dead, self.cut, self.polled, self.bytes, self.lies = set(), set(), [], {}, {}
        zone = {n: zones[n % len(zones)] for n in range(count)}
        self.cores = {
            n: LoadGossip(GossipMember(n + 1, f"n{n}", zone[n]), CONFIG, Random(seed * 99 + n), self.now)
            for n in range(count)
        }
        self.own = {n: {} for n in range(count)}
        self.estimates = {n: {} for n in range(count)}
        self.where = {name: zones[n % len(zones)] for n, name in enumerate(self.loads)}
        self.connect()

    def connect(self):
        live = [core.local for core in self.cores.values()]
        for core in self.cores.values():
            core.set_members(live)
            core.set_endpoints(self.where)

    def play(self, span):
        until = self.now + span
        while self.now < until:
            self.now += 0.05
            for n, core in list(self.cores.items()):
                if self.now >= core.next_due:
                    core.tick(self.own[n], self.now)
                for server in core.take_polls():
                    self.polled.append((n, server))
                    seen = None if server in self.dead else self.lies.get(n, self.loads[server])
                    core.on_poll_result(server, seen, self.now)
                for outgoing in core.take_outbox():
                    epoch = outgoing.receiver
                    text = messages.encode(outgoing.message)
                    assert len(text) <= messages.MAX_MESSAGE_BYTES + 20
                    self.bytes[n] = self.bytes.get(n, 0) + len(text)
                    if epoch - 1 in self.cores and (n, epoch - 1) not in self.cut:
                        message = messages.MESSAGE_DECODER.decode(text)
                        self.cores[epoch - 1].on_message(core.local.epoch, message, self.now)
                for estimate in core.take_estimates():
                    self.estimates[n][estimate.endpoint] = estimate


def test_all_members_learn_each_servers_load_and_total_connections_and_few_poll_it():
    fleet = Fleet(12, 6)
    for n in range(12):
        fleet.own[n] = {"s1": 2, f"s{n % 6}": 1 + (n % 6 == 1) * 2}
    fleet.play(8.0)
    for n in range(12):
        estimates = fleet.estimates[n]
        assert estimates["s1"].connections == 2 * 10 + 2 * 3 and estimates["s0"].connections == 2
        report = {name: fleet.cores[n].load_estimate(name, fleet.now) for name in fleet.loads}
        assert all(report[name].load == pytest.approx(load, abs=0.001) for name, load in fleet.loads.items())
    fleet.polled.clear()
    fleet.play(20.0)
    assert len(fleet.polled) <= 6 * (20.0 / CONFIG.poll_interval * 1.2 + 20.0 / CONFIG.audit_interval * 3)
    by = {server: {n for n, name in fleet.polled if name == server} for server in fleet.loads}
    assert all(len(asking) <= 4 for asking in by.values())  # owner, deputy, an audit or two
    fleet.own[3] = {}
    fleet.play(3.0)
    assert fleet.estimates[7]["s1"].connections == 24  # connections that have ended do not count


def test_bytes_sent_by_a_member_do_not_grow_with_the_fleet():
    rates = []
    for count in (10, 40):
        fleet = Fleet(count, 20)
        fleet.play(4.0)
        fleet.bytes.clear()
        fleet.play(5.0)
        rates.append(max(fleet.bytes.values()) / 5.0)
    assert max(rates) < CONFIG.fanout / CONFIG.push_interval * 1000 and rates[1] < 1.5 * rates[0]


def test_a_deputy_takes_over_from_a_silent_owner_and_gives_back():
    fleet = Fleet(6, 3)
    fleet.play(4.0)
    owner = fleet.cores[0].ownership.owners["s0"][0] - 1
    gone = fleet.cores.pop(owner)  # membership has not detected it yet
    fleet.loads["s0"] = 0.7
    fleet.play(3 * CONFIG.report_interval + CONFIG.poll_interval + 3.0)
    other = next(iter(fleet.cores))
    assert fleet.cores[other].load_estimate("s0", fleet.now).load == pytest.approx(0.7)
    fleet.cores[owner] = gone
    fleet.play(4.0)
    assert fleet.cores[other].evidence["s0"].report.owner == owner + 1


def test_failures_count_by_the_number_of_members_that_have_seen_them():
    fleet = Fleet(6, 3)
    fleet.play(3.0)
    fleet.cores[1].record_failure("s2", fleet.now)
    fleet.play(2.5)
    assert fleet.estimates[4]["s2"].outlier_score == 0.0  # one, or one link, does not decide
    for n in (1, 2, 3):
        fleet.cores[n].record_failure("s2", fleet.now)
    fleet.play(2.5)
    assert fleet.estimates[4]["s2"].outlier_score == 1.5
    fleet.play(9.0)
    assert fleet.estimates[4]["s2"].outlier_score == 0.0
    fleet.dead.add("s1")  # answers no poll: owner and deputy both see it
    fleet.play(2 * CONFIG.poll_interval + 3.0)
    assert (
        fleet.estimates[5]["s1"].outlier_score >= 1.0
        and fleet.cores[5].load_estimate("s1", fleet.now) is None
    )


def test_invalid_reports_reports_of_non_owners_and_implausible_counts_are_dropped_or_cut():
    fleet = Fleet(8, 2)
    fleet.own = {n: {"s0": 3} for n in range(8)}
    fleet.play(4.0)
    core = fleet.cores[0]
    owner, strangers = core.ownership.owners["s0"][0], set(range(1, 9)) - set(core.ownership.owners["s0"])
    before = core.evidence["s0"].report
    fine = {
        "endpoint": "s0",
        "owner": owner,
        "sequence": 10**9,
        "age": 0,
        "load": 1,
        "load_age": 0,
        "connections": 1,
        "failing_members": 0,
    }
    wrong = [
        {"age": -1},
        {"age": 10**6},
        {"load": 10**6},
        {"connections": -1},
        {"owner": min(strangers)},
        {"endpoint": "nobody"},
        {"failing_members": -1},
        {"load_age": -5},
    ]
    for change in wrong:
        core.on_message(owner, ReportPage([EndpointReport(**(fine | change))]), fleet.now)
    assert core.evidence["s0"].report is before or owner == core.local.epoch
    for n, other in fleet.cores.items():  # one says that it has a thousand times as many
        if n != 5:
            counts = [EndpointCount("s0", 3000, 0), EndpointCount("s1", -1, 0)]
            other.on_message(6, ConnectionCounts(10**9, counts), fleet.now)
    fleet.own[5] = {"s0": 3000}
    fleet.play(3.0)
    assert fleet.estimates[2]["s0"].connections < 8 * 3 + 8 * 3 + 8


def test_an_owner_that_lies_is_found_by_audits():
    fleet = Fleet(6, 2)
    fleet.play(3.0)
    owner = fleet.cores[0].ownership.owners["s1"][0] - 1
    other = next(n for n in range(6) if n + 1 not in fleet.cores[0].ownership.owners["s1"])
    fleet.lies[owner] = 1.9
    fleet.play(CONFIG.poll_interval + 2.0)
    core = fleet.cores[other]
    assert core.load_estimate("s1", fleet.now).load == pytest.approx(1.9)
    core.audit("s1", fleet.now)
    fleet.play(0.5)
    assert core.counters["rows far off what was seen"] == 0  # loads do jump
    fleet.play(CONFIG.poll_interval + 1.0)
    assert core.load_estimate("s1", fleet.now) is None or core.evidence["s1"].report.owner != owner + 1
    assert core.counters["rows far off what was seen"] == 1


def test_partitioned_zones_go_on_each_with_its_own_reports_and_merge_again():
    fleet = Fleet(8, 4, zones=("a", "b"))
    fleet.own = {n: {"s0": 1} for n in range(8)}
    fleet.play(5.0)
    assert {fleet.estimates[n]["s0"].connections for n in range(8)} == {8}
    fleet.cut = {(a, b) for a in range(8) for b in range(8) if a % 2 != b % 2}
    for n, core in fleet.cores.items():  # as membership reports it after a while
        core.set_members([c.local for m, c in fleet.cores.items() if m % 2 == n % 2])
    fleet.play(8.0)
    assert {fleet.estimates[n]["s0"].connections for n in (0, 2, 4, 6)} == {4}
    assert all(fleet.cores[n].load_estimate("s0", fleet.now) for n in range(8))
    fleet.cut = set()
    fleet.connect()
    fleet.play(8.0)
    assert {fleet.estimates[n]["s0"].connections for n in range(8)} == {8}


# The balancing decisions.


FEW = {"health_checks": True, "health_check_price": 0.001, "instance_count": 100, "zone": "a"}


def zoned(host, **names):
    entries = [Endpoint(name, EndpointState.IN_SERVICE, zone=zone) for name, zone in names.items()]
    host.balancer.on_endpoint_list(EndpointListKind.SNAPSHOT, entries)
    return [host.balancer.tracked[name] for name in names]


def test_with_few_own_connections_near_servers_come_first_unless_they_are_much_fuller(start):
    host = start(seed=3, **FEW)
    servers = zoned(host, **{f"s{n}": "a" if n < 5 else "b" for n in range(20)})
    host.balancer.awaits_load_report = lambda *_: False
    counts = {"a": 0, "b": 0}
    for _ in range(40):
        host.loads(**{s.name: 0.3 for s in servers})
        sess = host.take()
        counts[sess.endpoint.zone] += 1
        sess.on_attempt_ended(AttemptOutcome.OK, True, 0.0)
    assert counts["a"] >= 35
    for server in servers:  # by the estimates the near ones have far more
        load, connections = (0.6, 60) if server.zone == "a" else (0.2, 20)
        report_shared(host.balancer, EndpointEstimate(server.name, load, 0.0, connections, 0.0, 0.0))
    for _ in range(40):
        counts[(sess := host.take()).endpoint.zone] += 1
        sess.on_attempt_ended(AttemptOutcome.OK, True, 0.0)
    assert counts["b"] >= 25


def test_estimates_replace_load_reports_and_health_checks_return_without_them(start):
    host = start(**FEW)
    a, b = zoned(host, a="a", b="a")
    for name, load in (("a", 0.5), ("b", 0.1)):
        report_shared(host.balancer, EndpointEstimate(name, load, 1.0, round(load * 100), 0.5, 0.0))
    host.balancer.slow_start.since -= 20.0  # so few come that the room is hardly ever shared out
    assert host.take().endpoint is b and not host.asked("check_health")
    report_shared(
        host.balancer, EndpointEstimate("b", None, 3.0, 40, 0.0, 0.0)
    )  # many have come since that report
    assert host.balancer.load_of(b) == pytest.approx(0.4, abs=0.01)
    host.wait(9.0)  # nobody tells any more
    before = len(host.asked("check_health"))
    host.take(stands=False)
    assert len(host.asked("check_health")) > before


def test_failures_seen_by_others_divert_traffic_but_do_not_eject_by_themselves(start):
    host = start(**FEW)
    a, *_ = zoned(host, a="a", b="a", c="a")
    for _ in range(5):
        report_shared(host.balancer, EndpointEstimate("a", 0.1, 0.0, 10, 0.0, 1.5))
    assert a.outlier_score(host.now) == pytest.approx(1.5) and host.balancer.eligible(a)
    host.balancer.record_failure(a, 1.0)
    assert not host.balancer.eligible(a)


def test_a_server_skipped_at_random_has_room_for_a_sites_health_and_a_full_one_has_not():
    settings = replace(PLAIN, **FEW)
    decisions = DecisionAdapter(
        lambda: 100.0, settings, 1, Counters(), lambda line: None, lambda name: None, lambda: None
    )
    entries = [Endpoint(name, EndpointState.IN_SERVICE, zone="a") for name in "xy"]
    decisions.report_list(EndpointListKind.SNAPSHOT, entries)
    servers = decisions.balancer.tracked
    servers["x"].overloaded_at = 100.0
    assert not decisions.balancer.eligible(servers["x"]) and decisions.count_with_capacity("a") == (2, 2)
    decisions.report_health_check("y", AttemptOutcome.OK, 0.0, 0.9)
    assert decisions.count_with_capacity("a") == (2, 1)


# In virtual time.


def test_in_virtual_time_gossip_polls_less_and_a_partition_or_a_liar_breaks_no_rule():
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
    assert probes[1] < 0.7 * probes[0], probes  # hot servers are polled each second all the same


def test_in_a_surge_each_member_uses_its_own_measurements_and_afterwards_the_reports_again():
    """150 of 300 killed: all chose by the same old reports, which still counted the dead's connections."""
    fleet = Fleet(8, 4)
    for n in range(8):
        fleet.own[n] = {name: 3 for name in fleet.loads}
    fleet.play(12.0)
    one = fleet.cores[0]
    assert not one.surge.active and one.load_estimate("s1", fleet.now) is not None
    fleet.own[0] = {name: 5 for name in fleet.loads}  # 8 more on 12
    fleet.play(0.5)
    assert one.surge.active and one.counters["rushes"] == 1
    assert all(one.load_estimate(name, fleet.now) is None for name in fleet.loads)
    estimates = fleet.estimates[0]
    assert all(min(estimates[name].load_age, estimates[name].connections_age) > 8.0 for name in fleet.loads)
    assert not fleet.cores[5].surge.active and fleet.cores[5].load_estimate("s1", fleet.now) is not None
    fleet.play(5.0)
    assert not one.surge.active and one.load_estimate("s1", fleet.now) is not None
    assert all(
        max(estimates[name].connections_age, estimates[name].load_age - CONFIG.poll_interval) < 3.0
        for name in fleet.loads
    )
