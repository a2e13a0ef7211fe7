"""Tests of load gossip: the core in simulated time, and the emulator in virtual time."""

from collections import Counter
from random import Random

import msgspec
import pytest

from onyxhollow.gossip import messages
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.load_gossip import LoadGossip
from onyxhollow.gossip.messages import ConnectionCounts, EndpointCount, EndpointReport, ReportPage
from onyxhollow.gossip.ownership import MAX_ENDPOINTS, GossipMember, Ownership
from onyxhollow.lab import decisions, scenario, virtual
from onyxhollow.lab.simulated_gossip import GossipFaults

CONFIG = GossipConfig(push_interval=0.25, poll_interval=2.0, report_interval=1.0)


class SimulatedFleet:
    """Gossip cores in simulated time. Messages arrive at once except at stalled members and on cut links."""

    def __init__(self, count, endpoint_count, zones=("a",), seed=1, config=CONFIG, step=0.05):
        self.now, self.step, self.rng = 100.0, step, Random(seed)
        self.stalled, self.delayed_messages = set(), []
        self.loads = {f"s{n}": 0.08 * (n + 1) for n in range(endpoint_count)}
        self.failed, self.cut, self.polled, self.sent_bytes, self.false_loads = set(), set(), [], {}, {}
        member_zones = {n: zones[n % len(zones)] for n in range(count)}
        self.cores = {
            n: LoadGossip(
                GossipMember(n + 1, f"n{n}", member_zones[n]), config, Random(seed * 99 + n), self.now
            )
            for n in range(count)
        }
        self.own_connections = {n: {} for n in range(count)}
        self.estimates = {n: {} for n in range(count)}
        self.endpoint_zones = {name: zones[n % len(zones)] for n, name in enumerate(self.loads)}
        self.update_members()

    def update_members(self):
        live = [core.local for core in self.cores.values()]
        for core in self.cores.values():
            core.set_members(live)
            core.set_endpoints(self.endpoint_zones)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += self.step
            for n, core in list(self.cores.items()):
                if n in self.stalled:
                    continue
                if self.now >= core.next_due:
                    core.tick(self.own_connections[n], self.now)
                for endpoint in core.take_polls():
                    self.polled.append((n, endpoint))
                    load = None if endpoint in self.failed else self.false_loads.get(n, self.loads[endpoint])
                    core.on_poll_result(endpoint, load, self.now)
                for outgoing in core.take_outbox():
                    epoch = outgoing.receiver
                    encoded = messages.encode(outgoing.message)
                    assert len(encoded) <= messages.MAX_MESSAGE_BYTES + 20
                    self.sent_bytes[n] = self.sent_bytes.get(n, 0) + len(encoded)
                    if epoch - 1 in self.cores and (n, epoch - 1) not in self.cut:
                        message = messages.MESSAGE_DECODER.decode(encoded)
                        self.deliver(core.local.epoch, epoch - 1, message)
                for estimate in core.take_estimates():
                    self.estimates[n][estimate.endpoint] = estimate

    def deliver(self, sender, receiver, message):
        if receiver in self.stalled:
            self.delayed_messages.append((sender, receiver, message))
        else:
            self.cores[receiver].on_message(sender, message, self.now)

    def resume(self, n):
        self.stalled.remove(n)
        delayed, self.delayed_messages = self.delayed_messages, []
        for delivery in delayed:
            self.deliver(*delivery)


def test_all_members_get_loads_and_total_connections_although_few_members_poll_an_endpoint():
    fleet = SimulatedFleet(12, 6)
    for n in range(12):
        fleet.own_connections[n] = {"s1": 2, f"s{n % 6}": 1 + (n % 6 == 1) * 2}
    fleet.run(8.0)
    for n in range(12):
        estimates = fleet.estimates[n]
        assert estimates["s1"].connections == 2 * 10 + 2 * 3 and estimates["s0"].connections == 2
        load_estimates = {name: fleet.cores[n].load_estimate(name, fleet.now) for name in fleet.loads}
        assert all(
            load_estimates[name].load == pytest.approx(load, abs=0.001) for name, load in fleet.loads.items()
        )
    fleet.polled.clear()
    fleet.run(20.0)
    assert len(fleet.polled) <= 6 * (20.0 / CONFIG.poll_interval * 1.2 + 20.0 / CONFIG.audit_interval * 3)
    fleet.own_connections[3] = {}
    fleet.run(3.0)
    assert fleet.estimates[7]["s1"].connections == 24  # closed connections are not counted


def test_only_the_owner_polls_an_endpoint_except_for_rare_audits():
    # Guards against endpoints polled by all members, and by owner and deputy both.
    polling_members = Counter()
    seeds = range(1, 11)
    for seed in seeds:
        fleet = SimulatedFleet(12, 6, seed=seed)
        for n in range(12):
            fleet.own_connections[n] = {"s1": 2, f"s{n % 6}": 1 + (n % 6 == 1) * 2}
        fleet.run(8.0)
        fleet.polled.clear()
        fleet.run(20.0)
        owners = {name: epochs[0] - 1 for name, epochs in fleet.cores[0].ownership.owners.items()}
        audits = Counter(n for n, endpoint in fleet.polled if n != owners[endpoint])
        # Two audits of one member are at least half a mean interval apart, which is 30 s here.
        assert all(count == 1 for count in audits.values())
        polling_members.update(endpoint for _, endpoint in set(fleet.polled))
    # The owner and one to three audits. In a single run the auditors may select one endpoint by chance.
    assert all(polling_members[endpoint] <= 4 * len(seeds) for endpoint in fleet.loads)


def test_bytes_sent_per_member_do_not_grow_with_the_fleet():
    rates = []
    for count in (10, 40):
        fleet = SimulatedFleet(count, 20)
        fleet.run(4.0)
        fleet.sent_bytes.clear()
        fleet.run(5.0)
        rates.append(max(fleet.sent_bytes.values()) / 5.0)
    assert max(rates) < CONFIG.fanout / CONFIG.push_interval * 1000 and rates[1] < 1.5 * rates[0]


def test_a_deputy_reports_until_a_silent_owner_returns():
    fleet = SimulatedFleet(6, 3)
    fleet.run(4.0)
    owner = fleet.cores[0].ownership.owners["s0"][0] - 1
    silent_core = fleet.cores.pop(owner)  # membership has not detected it yet
    fleet.loads["s0"] = 0.7
    fleet.run(3 * CONFIG.report_interval + CONFIG.poll_interval + 3.0)
    other = next(iter(fleet.cores))
    assert fleet.cores[other].load_estimate("s0", fleet.now).load == pytest.approx(0.7)
    fleet.cores[owner] = silent_core
    fleet.run(4.0)
    assert fleet.cores[other].evidence["s0"].report.owner == owner + 1


def test_a_resumed_owner_takes_over_from_its_deputy_whatever_the_phase_of_their_reports():
    # Guards against two reporters: the owner's reports were all created within a push interval after those of
    # the deputy, which took none of them and reported on.
    assert not phases_without_takeover()


def test_a_resumed_owner_takes_over_among_members_of_a_version_without_rank_order():
    # Guards against a deputy that reports on while a fleet is upgraded, since other members keep its reports.
    assert not phases_without_takeover(other_members_know_ranks=False)


def phases_without_takeover(other_members_know_ranks=True):
    """Stall an owner and return the phases after which its deputy polls on or its reports are not stored."""
    step = 1 / 64  # binary fractions, so that the phases stay the same
    config = GossipConfig(
        push_interval=12 * step, report_interval=0.5, poll_interval=1.0, audit_interval=10.0
    )
    steps_between_reports = 36  # the first multiple of the push interval after the report interval
    failed_phases = []
    for phase in range(steps_between_reports):
        fleet = SimulatedFleet(6, 1, zones=("a", "b"), config=config, step=step)
        for n, core in fleet.cores.items():
            core.next_due = fleet.now + 2 * n * step
        fleet.run(3.0)
        owner, deputy = (epoch - 1 for epoch in fleet.cores[0].ownership.owners["s0"][:2])
        others = [core for n, core in fleet.cores.items() if n not in (owner, deputy)]
        if not other_members_know_ranks:
            for core in others:
                core.table._min_lead = lambda report, stored: config.push_interval
        fleet.loads["s0"] = 0.6  # a high load, which is polled for each report
        fleet.stalled.add(owner)
        fleet.run(2.5 + phase * step)
        assert all(core.evidence["s0"].report.owner != owner + 1 for core in others)
        fleet.resume(owner)
        fleet.run(2.0)
        fleet.polled.clear()
        fleet.run(2.0)
        reporters = {core.evidence["s0"].report.owner - 1 for core in fleet.cores.values()}
        deputy_polls = fleet.polled.count((deputy, "s0"))
        if reporters != {owner} or deputy_polls:
            failed_phases.append((phase, reporters, deputy_polls))
    return failed_phases


def test_a_deputys_report_is_stored_only_if_the_owners_is_stale_quarantined_or_without_a_load():
    # Guards against an owner that is silent, wrong or cannot poll and whose rank hides its deputy's reports.
    for owners_load, min_lead in ((300, 2 * CONFIG.report_interval), (-1, CONFIG.push_interval)):
        core, owner, deputy, third = core_without_reports()
        receive_report(core, owner, load=owners_load)
        receive_report(core, deputy, 100.0 + min_lead - 0.01)
        receive_report(core, third, 100.0 + min_lead - 0.01)
        assert core.evidence["s0"].report.owner == owner
        receive_report(core, deputy, 100.0 + min_lead + 0.01)
        assert core.evidence["s0"].report.owner == deputy
    core, owner, deputy, third = core_without_reports()
    receive_report(core, owner)
    core.table.quarantine(("s0", owner), 100.0)
    receive_report(core, deputy, 100.1)
    receive_report(core, owner, 100.2)
    assert core.evidence["s0"].report.owner == deputy
    core, owner, deputy, third = core_without_reports()
    receive_report(core, owner, load_age=round(1500 * CONFIG.poll_interval) + 1)  # as of a resumed owner
    receive_report(core, deputy, 100.0 + CONFIG.push_interval + 0.01)
    assert core.evidence["s0"].report.owner == deputy


def test_an_owners_report_is_stored_over_a_newer_one_of_a_deputy_unless_it_is_stale():
    # Guards against old reports of a silent owner that other members forward after its deputy has taken over.
    core, owner, deputy, third = core_without_reports()
    receive_report(core, third)
    receive_report(core, deputy, age=900)
    assert core.evidence["s0"].report.owner == deputy
    receive_report(core, owner, age=900 + round(2000 * CONFIG.report_interval))
    assert core.evidence["s0"].report.owner == deputy
    receive_report(core, owner, age=850 + round(2000 * CONFIG.report_interval))
    assert core.evidence["s0"].report.owner == owner


def test_no_report_of_one_time_blocks_the_other_owners_for_longer_than_it_blocks_its_own():
    # Guards against forged reports: with the newest age and a huge sequence, of the highest-ranked owner.
    core, owner, deputy, third = core_without_reports()
    receive_report(core, owner, sequence=10**9)
    receive_report(core, owner, 100.0 + 4 * CONFIG.report_interval - 0.01)
    assert core.evidence["s0"].report.sequence == 10**9
    receive_report(core, third, 100.0 + 4 * CONFIG.report_interval + 0.01)
    assert core.evidence["s0"].report.owner == third
    receive_report(core, owner, 100.0 + 4 * CONFIG.report_interval + 0.02)
    assert core.evidence["s0"].report.owner == owner


def core_without_reports():
    """Return the core of a member that does not own s0, and the epochs of the accepted owners by rank."""
    fleet = SimulatedFleet(6, 1)
    for core in fleet.cores.values():
        core.ownership.rank_if_due(fleet.now)
        owners = core.ownership.owners["s0"]
        if core.local.epoch not in owners:
            return core, *owners
    raise AssertionError("each member owns s0")


def receive_report(core, owner, now=100.0, age=0, sequence=1, load=300, load_age=0):
    report = EndpointReport("s0", owner, sequence, age, load, load_age, 0, 0)
    core.on_message(owner, ReportPage([report]), now)


def test_the_outlier_score_depends_on_the_number_of_members_that_report_failures():
    fleet = SimulatedFleet(6, 3)
    fleet.run(3.0)
    fleet.cores[1].record_failure("s2", fleet.now)
    fleet.run(2.5)
    assert fleet.estimates[4]["s2"].outlier_score == 0.0  # the cause may be one member or its link
    for n in (1, 2, 3):
        fleet.cores[n].record_failure("s2", fleet.now)
    fleet.run(2.5)
    assert fleet.estimates[4]["s2"].outlier_score == 1.5
    fleet.run(9.0)
    assert fleet.estimates[4]["s2"].outlier_score == 0.0
    fleet.failed.add("s1")  # fails the polls of both owner and deputy
    fleet.run(2 * CONFIG.poll_interval + 3.0)
    assert (
        fleet.estimates[5]["s1"].outlier_score >= 1.0
        and fleet.cores[5].load_estimate("s1", fleet.now) is None
    )


def test_invalid_reports_and_reports_of_non_owners_are_dropped_and_implausible_counts_limited():
    fleet = SimulatedFleet(8, 2)
    fleet.own_connections = {n: {"s0": 3} for n in range(8)}
    fleet.run(4.0)
    core = fleet.cores[0]
    owner, non_owners = core.ownership.owners["s0"][0], set(range(1, 9)) - set(core.ownership.owners["s0"])
    report_before = core.evidence["s0"].report
    valid_fields = {
        "endpoint": "s0",
        "owner": owner,
        "sequence": 10**9,
        "age": 0,
        "load": 1,
        "load_age": 0,
        "connections": 1,
        "failing_members": 0,
    }
    invalid_changes = [
        {"age": -1},
        {"age": 10**6},
        {"load": 10**6},
        {"connections": -1},
        {"owner": min(non_owners)},
        {"endpoint": "nobody"},
        {"failing_members": -1},
        {"load_age": -5},
    ]
    for change in invalid_changes:
        core.on_message(owner, ReportPage([EndpointReport(**(valid_fields | change))]), fleet.now)
    assert core.evidence["s0"].report is report_before or owner == core.local.epoch
    for n, other in fleet.cores.items():  # member 5 sends a count 1000 times too high
        if n != 5:
            counts = [EndpointCount("s0", 3000, 0), EndpointCount("s1", -1, 0)]
            other.on_message(6, ConnectionCounts(10**9, counts), fleet.now)
    fleet.own_connections[5] = {"s0": 3000}
    fleet.run(3.0)
    assert fleet.estimates[2]["s0"].connections < 8 * 3 + 8 * 3 + 8


def test_audits_detect_an_owner_that_reports_false_loads():
    fleet = SimulatedFleet(6, 2)
    fleet.run(3.0)
    owner = fleet.cores[0].ownership.owners["s1"][0] - 1
    other = next(n for n in range(6) if n + 1 not in fleet.cores[0].ownership.owners["s1"])
    fleet.false_loads[owner] = 1.9
    fleet.run(CONFIG.poll_interval + 2.0)
    core = fleet.cores[other]
    assert core.load_estimate("s1", fleet.now).load == pytest.approx(1.9)
    core.audit("s1", fleet.now)
    fleet.run(0.5)
    assert (
        core.counters["rows far off what was seen"] == 0
    )  # one difference is tolerated: loads change quickly
    fleet.run(CONFIG.poll_interval + 1.0)
    assert core.load_estimate("s1", fleet.now) is None or core.evidence["s1"].report.owner != owner + 1
    assert core.counters["rows far off what was seen"] == 1


def test_counts_that_do_not_fit_one_message_are_sent_with_the_next_ones():
    # Guards against counts recorded as sent that were cut from the only message, at each refresh again.
    fleet = SimulatedFleet(2, 200)
    fleet.run(3.0)
    fleet.own_connections[0] = {name: 5 for name in fleet.loads}
    fleet.run(2.5)  # less than until a refresh has sent them again
    received = fleet.cores[1].aggregator.received
    assert {name: received[name][1].connections for name in fleet.loads} == fleet.own_connections[0]


def test_each_count_is_sent_although_all_change_before_each_message():
    # Guards against counts that never arrive because others that change as often are always sent before them.
    fleet = SimulatedFleet(2, 200)
    fleet.run(3.0)
    for connections in range(10, 20):
        fleet.own_connections[0] = {name: connections for name in fleet.loads}
        fleet.run(CONFIG.push_interval)
    received = fleet.cores[1].aggregator.received
    assert all(received[name][1].connections >= 10 for name in fleet.loads)
    fleet.own_connections[0] = {}
    fleet.run(2.5)
    assert not any(received[name][1].connections for name in fleet.loads)


def test_a_count_for_an_endpoint_that_is_no_longer_owned_is_not_sent():
    # Guards against messages to a former owner, and to a member that has left, from its queue.
    fleet = SimulatedFleet(2, 200)
    fleet.run(3.0)
    core = fleet.cores[0]
    fleet.own_connections[0] = {name: 5 for name in fleet.loads}
    core.tick(fleet.own_connections[0], fleet.now)
    assert core.publisher.queues
    core.set_members([core.local])
    core.take_outbox()
    core.tick(fleet.own_connections[0], fleet.now + 1.0)
    assert not core.publisher.queues
    assert not [out for out in core.take_outbox() if isinstance(out.message, ConnectionCounts)]


def test_counts_for_known_endpoints_are_updated_when_no_further_endpoint_is_accepted():
    # Guards against counts that expire at an owner of as many endpoints as it accepts.
    core = SimulatedFleet(2, 1).cores[0]
    names = [f"s{n}" for n in range(MAX_ENDPOINTS + 1)]
    core.on_message(2, ConnectionCounts(1, [EndpointCount(name, 1, 0) for name in names]), 100.0)
    core.on_message(2, ConnectionCounts(2, [EndpointCount("s0", 7, 0)]), 100.0)
    assert core.aggregator.received["s0"][2].connections == 7
    assert len(core.aggregator.received) == MAX_ENDPOINTS


def test_a_changed_zone_of_an_endpoint_ranks_the_owners_again():
    # Guards against an endpoint that keeps owners in the zone that it has left.
    members = [GossipMember(n + 1, f"n{n}", "ab"[n % 2]) for n in range(8)]
    ownership = Ownership(members[0], CONFIG, Random(1), 100.0)
    ownership.set_members(members)
    for zone, now in (("a", 100.0), ("b", 101.0)):
        assert ownership.set_endpoints({"s0": zone})
        assert ownership.rank_if_due(now)
        assert {members[epoch - 1].zone for epoch in ownership.owners["s0"]} == {zone}


def test_more_endpoints_than_are_ranked_do_not_cause_repeated_rankings():
    # Guards against a ranking every half second, because the limited endpoints never equal the given ones.
    member = GossipMember(1, "n0", "a")
    ownership = Ownership(member, CONFIG, Random(1), 100.0)
    endpoints = {f"s{n}": "a" for n in range(MAX_ENDPOINTS + 1)}
    assert ownership.set_endpoints(endpoints) and ownership.rank_if_due(100.0)
    assert len(ownership.owners) == MAX_ENDPOINTS
    assert not ownership.set_endpoints(endpoints)
    assert not ownership.rank_if_due(101.0)


def test_partitioned_zones_use_their_own_reports_and_merge_afterwards():
    fleet = SimulatedFleet(8, 4, zones=("a", "b"))
    fleet.own_connections = {n: {"s0": 1} for n in range(8)}
    fleet.run(5.0)
    assert {fleet.estimates[n]["s0"].connections for n in range(8)} == {8}
    fleet.cut = {(a, b) for a in range(8) for b in range(8) if a % 2 != b % 2}
    for n, core in fleet.cores.items():  # as membership does after it has detected the partition
        core.set_members([c.local for m, c in fleet.cores.items() if m % 2 == n % 2])
    fleet.run(8.0)
    assert {fleet.estimates[n]["s0"].connections for n in (0, 2, 4, 6)} == {4}
    assert all(fleet.cores[n].load_estimate("s0", fleet.now) for n in range(8))
    fleet.cut = set()
    fleet.update_members()
    fleet.run(8.0)
    assert {fleet.estimates[n]["s0"].connections for n in range(8)} == {8}


def test_in_virtual_time_gossip_reduces_polls_and_tolerates_a_partition_and_false_reports():
    test_scenario = scenario.read("many-20x50")
    test_scenario = msgspec.structs.replace(test_scenario, seconds=12.0)
    probe_counts = []
    for gossip_config, trouble in (
        (None, None),
        (GossipConfig(), None),
        (GossipConfig(), GossipFaults(4.0, 8.0, liars=3)),
    ):
        engine = virtual.VirtualEngine(test_scenario, 1, decisions.find("module"), gossip_config, trouble)
        world = engine.run()
        assert world.checker.summary()["clean"] and world.metrics.figures()["service"] > 0.9
        probe_counts.append(world.metrics.counts["probes"])
    # The reduction is limited because endpoints with a high load are polled each second with gossip too.
    assert probe_counts[1] < 0.7 * probe_counts[0], probe_counts


def test_members_ignore_reports_only_during_a_surge():
    # Guards against a herd: after 150 of 300 processes were killed, the others all selected by the same old
    # reports, which still included the connections of the killed ones.
    fleet = SimulatedFleet(8, 4)
    for n in range(8):
        fleet.own_connections[n] = {name: 3 for name in fleet.loads}
    fleet.run(12.0)
    core = fleet.cores[0]
    assert not core.surge.active and core.load_estimate("s1", fleet.now) is not None
    fleet.own_connections[0] = {name: 5 for name in fleet.loads}  # adds 8 to the previous 12
    fleet.run(0.5)
    assert core.surge.active and core.counters["rushes"] == 1
    assert all(core.load_estimate(name, fleet.now) is None for name in fleet.loads)
    estimates = fleet.estimates[0]
    assert all(min(estimates[name].load_age, estimates[name].connections_age) > 8.0 for name in fleet.loads)
    assert not fleet.cores[5].surge.active and fleet.cores[5].load_estimate("s1", fleet.now) is not None
    fleet.run(5.0)
    assert not core.surge.active and core.load_estimate("s1", fleet.now) is not None
    assert all(
        max(estimates[name].connections_age, estimates[name].load_age - CONFIG.poll_interval) < 3.0
        for name in fleet.loads
    )
