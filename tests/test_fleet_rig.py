"""Roles on real processes with injected faults; the invariant checker evaluates the record."""

import signal
import time
from dataclasses import replace
from types import SimpleNamespace

import orjson
import pytest

from onyxhollow.fleet import commands
from onyxhollow.lab.fleet import bug_detection, fault_scenario, injected_bugs
from onyxhollow.lab.fleet.configuration_files import format_address
from onyxhollow.lab.fleet.process_cluster import KEY, ClusterError, ProcessCluster, server_row
from onyxhollow.lab.fleet.record import (
    ACTION_TOLERANCE_SECONDS,
    ActionKey,
    Hold,
    LogLine,
    SlowWrite,
    check_holds,
)
from onyxhollow.lab.fleet.stand_ins import Action, ListService
from onyxhollow.lab.fleet.traffic import Client, EchoServer


@pytest.fixture
def make_cluster(tmp_path):
    clusters = []

    def make(**values):
        clusters.append(ProcessCluster(tmp_path / f"rig{len(clusters)}", **{"lease": 0.8, **values}))
        return clusters[-1]

    yield make
    for cluster in clusters:
        cluster.close()


def start_and_wait_for_holder(cluster):
    cluster.start()
    cluster.wait_members()
    return cluster.wait_holder()


def assert_clean(cluster):
    verdict = cluster.verdict()
    assert verdict.clean, verdict
    assert not cluster.crashes and not cluster.failures
    assert not [line.fields for line in cluster.lines if line.event == "failure"]
    return verdict


def acts_by_member(cluster, member):
    return [act for act in cluster.ledger.actions if act.member.startswith(f"{member}~")]


def test_a_role_gets_another_holder_when_its_holder_is_killed_stopped_isolated_or_terminated(make_cluster):
    cluster = make_cluster()
    first = start_and_wait_for_holder(cluster)
    cluster.kill(first)
    second = cluster.wait_holder(other_than=first)
    cluster.start(first)
    cluster.wait_members()
    cluster.stop(second)  # until after the end of its lease
    third = cluster.wait_holder(other_than=second)
    act_count = len(acts_by_member(cluster, second))
    cluster.resume(second)
    resumed = cluster.current[second].title
    cluster.wait(
        lambda: cluster.log_lines(resumed, "duty", change="ended"), 10, "the resumed process ends its lease"
    )
    assert len(acts_by_member(cluster, second)) == act_count
    cluster.cut([third], None)
    fourth = cluster.wait_holder(other_than=third)
    isolated = cluster.current[third].title
    cluster.wait(
        lambda: cluster.log_lines(isolated, "duty", change="ended"), 10, "the isolated holder ends its lease"
    )
    cluster.heal()
    cluster.wait_members()
    holds_before = cluster.holds()
    cluster.terminate(fourth)
    cluster.wait_holder(other_than=fourth)
    holds = [hold for hold in cluster.holds() if hold.duty == "ledger"]
    assert holds[-1].since - holds[-2].until < 0.4 < cluster.lease, (
        "a handed-over role must not wait for the end of the lease"
    )
    assert len(holds_before) < len(cluster.holds())
    verdict = assert_clean(cluster)
    assert verdict.holds >= 5


def test_a_holder_resumed_during_an_action_checks_its_lease_first(make_cluster):
    cluster = make_cluster(duties=[bug_detection.FREQUENT_DUTY])
    for _ in range(4):
        cluster.wait_members() if cluster.lines else start_and_wait_for_holder(cluster)
        holder = cluster.wait_holder()
        bug_detection.stop_isolated_holder(cluster, holder)
        cluster.wait(
            lambda name=cluster.current[holder].title: has_ended_lease(cluster, name),
            10,
            "its lease has ended",
        )
        cluster.heal()
    processes = [cluster.current[name] for name in cluster.names]
    for process in processes:
        process.send_signal(signal.SIGUSR1)
    cluster.wait(
        lambda: all(cluster.log_lines(process.title, "counters") for process in processes),
        10,
        "counters logged",
    )
    assert sum(line.fields.get("acts not done: the lease had ended", 0) for line in cluster.lines) >= 1
    assert_clean(cluster)


def is_suspended(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
        return file.read().rpartition(")")[2].split()[0] == "T"


def test_an_action_of_a_process_suspended_between_check_and_write_is_refused_by_its_term(make_cluster):
    """Guards against a ledger that accepts such an action, and against a checker that counts it as late.

    The member suspends itself between its check of the lease and the write, until another one holds the role.
    """
    cluster = make_cluster(duties=[bug_detection.FREQUENT_DUTY])
    holder = start_and_wait_for_holder(cluster)
    process = cluster.current[holder]
    cluster.cut([holder], cluster.names)
    cluster.set_process_faults(holder, stop_after_check=1)
    cluster.wait(lambda: is_suspended(process), 5, "suspended after its check")
    cluster.stop(holder)
    successor = cluster.wait_holder(other_than=holder)
    cluster.wait(lambda: acts_by_member(cluster, successor), 5, "an action of the successor")
    cluster.run_for(2 * ACTION_TOLERANCE_SECONDS)  # longer than the tolerance for late actions
    action_count = len(acts_by_member(cluster, holder))
    cluster.resume(holder)
    cluster.wait(lambda: len(acts_by_member(cluster, holder)) > action_count, 5, "the suspended action")
    cluster.wait(lambda: has_ended_lease(cluster, process.title), 5, "its lease has ended")
    cluster.heal()
    action = acts_by_member(cluster, holder)[action_count]
    assert not action.accepted and action.term < action.newest_term
    verdict = assert_clean(cluster)
    assert len(verdict.suspended) == 1 and len(acts_by_member(cluster, holder)) == action_count + 1


LATE_ACTION = Action(12.0, 12.0, "ledger", 3, "n0~7", 29, accepted=False, newest_term=4)
LATE_KEY = ActionKey("ledger", 3, "n0~7", 29)


@pytest.mark.parametrize(
    ("action", "checked_at", "resumed_at", "is_excused"),
    [
        (LATE_ACTION, 9.9, 11.9, True),
        (replace(LATE_ACTION, accepted=True, newest_term=3), 9.9, 11.9, True),
        (replace(LATE_ACTION, accepted=True), 9.9, 11.9, False),
        (LATE_ACTION, 10.1, 11.9, False),
        (LATE_ACTION, 9.9, 9.8, False),
        (LATE_ACTION, 9.9, 12.5, False),
        (LATE_ACTION, 9.9, None, False),
        (LATE_ACTION, None, 11.9, False),
    ],
    ids=[
        "refused",
        "no newer term",
        "accepted after a newer term",
        "checked after the lease",
        "resumed before the check",
        "resumed after the write",
        "never resumed",
        "not observed",
    ],
)
def test_a_late_action_counts_unless_its_process_was_suspended_between_check_and_write(
    action, checked_at, resumed_at, is_excused
):
    """Guards against an excuse for late actions that a program could have withheld."""
    hold = Hold("ledger", 3, "n0~7", "n0.1", since=5.0, until=10.0)
    slow_writes = {} if checked_at is None else {LATE_KEY: SlowWrite("n0.1", checked_at, 12.0)}
    resumptions = {"n1.1": [11.9]} if resumed_at is None else {"n0.1": [resumed_at]}
    verdict = check_holds([hold], [action], slow_writes, resumptions)
    assert (bool(verdict.suspended), bool(verdict.late)) == (is_excused, not is_excused)
    assert verdict.clean is is_excused


def has_ended_lease(cluster, process):
    last_change = [line for line in cluster.log_lines(process, "duty") if line.fields["duty"] == "ledger"][-1]
    return last_change.fields["change"] == "ended"


def test_a_role_has_no_holder_without_a_majority_and_one_again_once_it_is_restored(make_cluster):
    cluster = make_cluster()
    first = start_and_wait_for_holder(cluster)
    for name in cluster.names:
        cluster.cut([name], None)
    cluster.wait(lambda: not cluster.holder(), 10, "no holder")
    with pytest.raises(ClusterError):
        cluster.wait_holder(within=2 * cluster.lease)
    cluster.heal()
    assert cluster.wait_holder()
    assert first in cluster.names
    assert_clean(cluster)


LIST_ROLE = {"name": "list", "work": "list", "per": "zone", "every": 0.3}


def test_a_member_that_becomes_the_publisher_no_longer_counts_as_suspended(make_cluster):
    """Guards against a wait for suspended subscribers that a change of the publisher keeps from ending."""
    cluster = make_cluster(members=3, duties=[LIST_ROLE])
    cluster.current = {
        name: SimpleNamespace(title=f"{name}.1", alive=True, expected_end=True) for name in cluster.names
    }

    def log(name, event, **fields):
        cluster.lines.append(LogLine(float(len(cluster.lines)), f"{name}.1", event, fields))

    log("n0", "duty", duty="list/a", change="held", term=1)
    for name in ("n1", "n2"):
        log(name, "list polling suspended", duty="list/a", term=1)
    assert cluster.polling_suspended() == [False, True, True]
    log("n0", "duty", duty="list/a", change="ended", term=1)
    log("n1", "duty", duty="voters", change="held", term=1)
    assert cluster.polling_suspended() == [False, True, True]
    log("n1", "duty", duty="list/a", change="held", term=2)
    log("n0", "list polling suspended", duty="list/a", term=2)
    assert cluster.polling_suspended() == [True, False, True]
    log("n2", "list polling resumed", duty="list/a", why="audit")
    assert cluster.polling_suspended() == [True, False, False]


def start_list_publisher(make_cluster, **values):
    cluster = make_cluster(members=5, duties=[LIST_ROLE], **values)
    cluster.start()
    cluster.wait_members()
    cluster.wait_holder("list/a")
    cluster.wait(
        lambda: sum(cluster.polling_suspended()) == 4,
        15,
        "polling suspended by all members but the publisher",
    )
    return cluster, cluster.wait_holder("list/a")  # a busy machine may have changed the first holder


def processes_with_drain(cluster, host):
    """Return the processes whose log has the drain of an endpoint."""
    return {
        line.process
        for line in cluster.lines
        if (line.event == "list" and any(f"{host} draining" in row for row in line.fields["rows"]))
        or (line.event == "drains received" and host in line.fields["hosts"])
    }


def running_processes(cluster):
    return {process.title for process in cluster.current.values() if process.alive and not process.stopped}


def test_members_resume_polling_when_the_publisher_is_stopped_or_cannot_reach_the_list_service(make_cluster):
    cluster, publisher = start_list_publisher(make_cluster)
    call_count = len(cluster.list_service.calls)
    cluster.list_service.update_row("s1", health="leaving")
    cluster.wait(
        lambda: processes_with_drain(cluster, "s1") == running_processes(cluster),
        6,
        "all processes have logged the drain",
    )
    assert {member for _, member in cluster.list_service.calls[call_count:]} <= {publisher}
    cluster.stop(publisher)  # the others poll until another member publishes
    cluster.list_service.update_row("s2", health="leaving")
    cluster.wait(
        lambda: processes_with_drain(cluster, "s2") >= running_processes(cluster),
        8.0,
        "all running processes have logged the drain",
    )
    second = cluster.wait_holder("list/a", other_than=publisher)
    cluster.resume(publisher)
    cluster.wait(lambda: sum(cluster.polling_suspended()) == 4, 15, "polling suspended again")
    cluster.cut([second], ["list"])  # it keeps the lease but cannot reach the list service
    cluster.list_service.update_row("s3", health="leaving")
    # A watch that is already open fails 3.5 s after its wait of 4 s. The others then resume polling after a
    # random delay of up to a quarter of the maximum poll interval of 8 s.
    within = 4.0 + 3.5 + 8.0 / 4 + 2.0
    cluster.wait(
        lambda: (
            processes_with_drain(cluster, "s3")
            >= running_processes(cluster) - {cluster.current[second].title}
        ),
        within,
        "all others have logged the drain",
    )
    cluster.heal()
    assert cluster.wait_holder("list/a")
    assert_clean(cluster)


def test_a_drain_polled_by_one_member_is_broadcast_to_all_others(make_cluster):
    cluster, publisher = start_list_publisher(make_cluster, ask_within=30.0)
    other = next(name for name in cluster.names if name != publisher)
    title = cluster.current[other].title
    resumed_before = len(cluster.log_lines(title, "list polling resumed"))  # because of audits
    cluster.cut([publisher], ["list"])
    cluster.cut([other], [publisher], both=True)  # without heartbeats it resumes polling
    cluster.wait(
        lambda: len(cluster.log_lines(title, "list polling resumed")) > resumed_before, 15, "polling resumed"
    )
    calls = cluster.list_service.calls_by_member()[other]
    cluster.wait(
        lambda: (
            cluster.list_service.calls_by_member()[other] > calls
            or other in cluster.list_service.waiting_members()
        ),
        5,
        "a poll by the member",
    )
    cluster.list_service.update_row("s4", health="leaving")
    cluster.wait(
        lambda: (
            processes_with_drain(cluster, "s4")
            >= running_processes(cluster) - {cluster.current[publisher].title}
        ),
        12,
        "all have logged the drain",
    )
    assert_clean(cluster)


def all_received_more_echoes(clients, counts_before):
    return all(client.echoes > count + 3 for client, count in zip(clients, counts_before, strict=True))


def test_after_a_reload_members_poll_the_new_list_service_at_once(make_cluster):
    cluster, publisher = start_list_publisher(make_cluster, ask_within=60.0)
    new_service = ListService(cluster.loop, cluster.links, [server_row(9, ("a",))])
    names = [name for name in cluster.names if name != publisher]
    for name in names:
        path = cluster.folder / f"{name}.1.json"
        settings = orjson.loads(path.read_bytes()) | {
            "discovery": format_address(new_service.listener_for(name).address)
        }
        path.write_bytes(orjson.dumps(settings))
        cluster.current[name].send_signal(signal.SIGHUP)
    cluster.wait(lambda: set(new_service.calls_by_member()) == set(names), 8, "the new service is polled")
    cluster.wait(
        lambda: all(
            "s9 in service" in line.fields["rows"]
            for name in names
            for line in cluster.log_lines(f"{name}.1", "list")[-1:]
        ),
        8,
        "the list of the new service is applied",
    )
    assert_clean(cluster)
    new_service.close()


def test_a_holder_process_is_replaced_under_load_and_its_successor_gets_the_role(make_cluster):
    cluster = make_cluster(servers=2)
    echo_servers = [EchoServer(cluster.loop) for _ in range(2)]
    for number, server in enumerate(echo_servers):
        cluster.list_service.rows[f"s{number}"]["dial"] = f"{server.address[0]}:{server.address[1]}"
    for name in cluster.names:
        cluster.hold_socket(name)
    first = start_and_wait_for_holder(cluster)
    cluster.wait_lists()
    clients = [Client(cluster.loop, cluster.listen_addresses[first], number) for number in range(25)]
    cluster.wait(lambda: all(client.echoes > 3 for client in clients), 10, "echoes received by all clients")
    assert cluster.holder() == first
    for _ in range(2):
        holder = cluster.wait_holder()
        echo_counts = [client.echoes for client in clients]
        cluster.replace(holder if holder == first else first)
        cluster.wait_holder()
        cluster.wait(
            lambda counts=echo_counts: all_received_more_echoes(clients, counts),
            10,
            "further echoes received by all clients",
        )
    holds = [hold for hold in cluster.holds() if hold.duty == "ledger"]
    gaps = [
        next_hold.since - hold.until
        for hold, next_hold in zip(holds, holds[1:], strict=False)
        if hold.cause in ("replaced", "stopped")
    ]
    assert (
        gaps
        and max(gaps) < cluster.lease / 2
        and not any(client.unexpected_lines or client.lost_sessions for client in clients)
    )
    assert_clean(cluster)
    for connection in [*clients, *echo_servers]:
        connection.close()


def test_a_voter_is_replaced_by_command_and_the_role_keeps_a_holder(make_cluster, capfd):
    cluster = make_cluster(members=4)
    cluster.spare_voters = ("n3",)
    start_and_wait_for_holder(cluster)
    address = f"127.2.0.1:{cluster.current['n0'].management[1]}"
    cluster.wait_until_holder_known("n0", "voters", cluster.wait_holder("voters"))
    assert commands.main("voters", ["--at", address, "replace", "n2", "n3"]) == 0
    cluster.wait(lambda: cluster.log_lines("n3.1", "voter recovered"), 10, "the new voter has recovered")
    cluster.wait(
        lambda: all(cluster.log_lines(f"{name}.1", "voters", version=1) for name in cluster.names),
        10,
        "all have the new voter set",
    )
    cluster.kill("n2")  # no longer a voter: n0 and n3 remain a majority of n0, n1 and n3
    cluster.kill("n1")
    cluster.wait_holder()
    cluster.start("n1")  # its fleet file still has the old voters
    cluster.wait(
        lambda: cluster.log_lines("n1.2", "voter", council=1),
        10,
        "the new voter set is restored from the voter log",
    )
    cluster.kill("n0")
    cluster.wait(lambda: cluster.holder() in ("n1", "n3"), 10, "a holder elected with the new voter's grant")
    assert commands.main("voters", ["--at", address, "replace", "n9", "n2"]) == 2
    assert_clean(cluster)
    capfd.readouterr()


def test_commands_show_and_hand_over_roles(make_cluster, capfd):
    cluster = make_cluster()
    first = start_and_wait_for_holder(cluster)
    address = ":".join(map(str, cluster.current[first].management))
    other = next(name for name in cluster.names if name != first)
    for argv in (["members"], ["duties"], ["duties", "show"], ["duties", "history"], ["voters"]):
        assert commands.main(argv[0], ["--at", address, *argv[1:]]) == 0
    output = capfd.readouterr().out
    assert all(expected in output for expected in (other, "ledger", "voters", "alive", "holder"))
    assert commands.main("duties", ["--at", address, "hand-over", "ledger", "--to", other]) == 0
    cluster.wait(lambda: cluster.holder() == other, 8, "the role is handed over")
    cluster.wait_until_holder_known(first, "ledger", other)
    assert commands.main("duties", ["--at", address, "release", "ledger"]) == 0  # forwarded to the new holder
    cluster.wait_holder(other_than=other)
    assert commands.main("duties", ["--at", address, "hand-over", "ledger", "--to", "nobody"]) == 2
    assert commands.main("members", ["--at", "127.0.0.1:1"]) == 2
    assert "expected a live member" in capfd.readouterr().err
    assert cluster.query(first, "/hand-over?name=nothing", "POST").startswith("name: expected a duty")
    assert_clean(cluster)


def test_a_role_is_handed_back_to_its_preferred_member_after_the_stability_period(make_cluster):
    cluster = make_cluster(steady=2.0, members=4)
    first = start_and_wait_for_holder(cluster)
    cluster.wait(lambda: cluster.log_lines(cluster.current[first].title, "start"), 1, "the start is logged")
    preferred = cluster.query(first)["duties"][0]["order"][0]
    cluster.wait_holder(other_than="")
    cluster.wait(lambda: cluster.holder() == preferred, 10, "the preferred member holds it")
    cluster.kill(preferred)
    second = cluster.wait_holder(other_than=preferred)
    restarted_at = time.monotonic()
    cluster.start(preferred)
    cluster.wait(lambda: cluster.holder() == preferred, 15, "the role is handed back")
    last_hold = [hold for hold in cluster.holds() if hold.duty == "ledger"][-1]
    assert last_hold.since - restarted_at > 2.0 and second != preferred
    assert_clean(cluster)


def test_the_key_is_rotated_by_restarting_the_processes_one_by_one(make_cluster):
    cluster = make_cluster()
    start_and_wait_for_holder(cluster)
    for keys in (KEY + "\n" + "ab" * 16, "ab" * 16 + "\n" + KEY, "ab" * 16):
        (cluster.folder / "key").write_text(keys + "\n")
        for name in cluster.names:
            cluster.terminate(name)
            cluster.start(name)
            cluster.wait_members()
            cluster.wait_holder()
    assert_clean(cluster)
    assert all("seal" not in cluster.query(name)["dropped"] for name in cluster.names)


@pytest.mark.parametrize(
    "name", [name for name in fault_scenario.shipped_scenarios() if not name.endswith("minute")]
)
def test_fault_scenarios_violate_no_invariant_and_end_with_a_holder(name, tmp_path):
    report = fault_scenario.ScenarioRunner(
        fault_scenario.scale(fault_scenario.read(name), 0.6), tmp_path / "rig"
    ).run()
    assert report.clean and report.faults >= 1 and report.verdict.holds >= 2, report.figures()


@pytest.mark.parametrize("name", sorted(injected_bugs.BUGS))
def test_the_invariant_checker_detects_each_injected_bug_on_real_processes(name, tmp_path):
    assert bug_detection.detect_bug(name, tmp_path / "rig")
