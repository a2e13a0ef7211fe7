"""Shared addresses: rules, evidence, orders, store, gate's table and the explorer, in made-up time."""

import msgspec
import pytest

from onyxhollow.addresses import file, rules
from onyxhollow.addresses.controller import Controller
from onyxhollow.addresses.health import HealthAggregator, ProbeTarget
from onyxhollow.addresses.messages import (
    AddressHealth,
    DecisionRecord,
    HealthReport,
    Override,
    OverrideQuery,
    OverrideResponse,
    RouteStatus,
    SiteReport,
    StoreAcknowledgement,
    StoreRequest,
    encode,
    paginate,
    record_id,
    truncate_utf8,
)
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.addresses.route_table import RouteTable, StaleTermError
from onyxhollow.addresses.rules import ActiveOverrides, Preference, RouteState, apply, decide
from onyxhollow.append_log import AppendLogError
from onyxhollow.fleet.advertise import OverrideStore
from onyxhollow.fleet.route_guard import read_guard_config
from onyxhollow.lab.fleet import places, wander

POLICY = file.Policy(
    min_sites=1, unhealthy_for=10.0, dead_for=2.0, healthy_for=20.0, recovery_step=5.0, withdrawal_window=30.0
)
A, L, W = Preference.ADVERTISED, Preference.LOWERED, Preference.WITHDRAWN


def cells(now=1000.0, **sites):
    """Each site by its health, load and how long it has been so; all advertised."""
    made = []
    for site, (health, load, since) in sites.items():
        cell = RouteState(
            "x", site, A, reachable=True, installed=True, load=load, capacity=100.0, since=now - 500
        )
        cell.observe(health, "told", POLICY, now - since)
        made.append(cell)
    return made


def decided(rows, orders=None, now=1000.0, policy=POLICY):
    found, stays = decide(policy, rows, orders or {}, now)
    return {(one.site, one.preference) for one in found}, {(one.site, one.rule) for one in stays}


def test_a_site_goes_after_a_dwell_that_depends_on_how_bad_it_is():
    for health, since, goes in (
        (0.0, 1.0, False),
        (0.0, 3.0, True),
        (0.5, 3.0, False),
        (0.5, 11.0, True),
        (0.7, 99.0, False),
        (None, 99.0, False),
    ):
        found, _ = decided(cells(a=(health, 10, since), b=(1.0, 10, 99)))
        assert found == ({("a", W)} if goes else set())


def test_the_last_ones_stay_and_when_all_look_ill_all_stay():
    assert decided(cells(a=(0.0, 10, 99))) == (set(), {("a", rules.ALL_ILL)})
    assert decided(cells(a=(0.0, 5, 99), b=(0.1, 5, 99))) == (set(), {("a", "all ill"), ("b", "all ill")})
    two = msgspec.structs.replace(POLICY, min_sites=2)
    assert decided(cells(a=(0.0, 5, 99), b=(1.0, 5, 99)), policy=two) == (set(), {("a", rules.LAST)})
    gone = cells(a=(0.0, 5, 99), b=(1.0, 5, 99))
    gone[1].installed = False  # its speaker has not taken it: nobody reaches it yet
    assert decided(gone) == (set(), {("a", rules.LAST)})


def test_a_withdrawal_needs_room_elsewhere_else_it_goes_in_part():
    assert decided(cells(a=(0.2, 60, 99), b=(1.0, 10, 99)))[0] == {("a", W)}
    assert decided(cells(a=(0.2, 60, 99), b=(1.0, 50, 99)))[0] == {("a", L)}
    assert decided(cells(a=(0.2, 60, 99), b=(1.0, 80, 99))) == (set(), {("a", rules.NO_ROOM)})


def test_a_wave_of_losses_is_stopped_by_the_number_at_once_and_by_what_has_moved_already():
    rows = cells(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    assert decided(rows) == ({("a", W), ("b", L)}, set())  # ill before a went: it steps aside
    apply(POLICY, rows[0], decide(POLICY, rows, {}, 1000.0)[0][0], 1000.0)
    rows[1].unhealthy_since = 1001.0
    assert decided(rows, now=1020.0) == (set(), {("b", rules.TOO_MANY)})  # ill since: it may be a's load
    rows[1].unhealthy_since = 901.0
    for one in decide(POLICY, rows, {}, 1001.0)[0]:
        apply(POLICY, rows[1], one, 1001.0)
    assert rows[1].preference is L and decided(rows, now=1002.0) == (set(), {("b", rules.TOO_MANY)})
    assert decided(rows, now=1000.0 + POLICY.withdrawal_window)[0] == {("b", W)}  # once the window is over
    rows = cells(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    both = msgspec.structs.replace(POLICY, max_concurrent_withdrawals=2)
    assert decided(rows, policy=both)[0] == {("a", W), ("b", W)}
    rows = cells(a=(0.0, 50, 99), b=(0.1, 50, 99), c=(1.0, 30, 99))  # the second finds the room taken
    assert decided(rows, policy=both) == ({("a", W)}, {("b", rules.NO_ROOM)})


def test_a_site_comes_back_in_steps_and_later_with_each_flap():
    a, b = cells(a=(1.0, 0, 0), b=(1.0, 10, 99))
    now, waits = 1000.0, []
    for _ in range(4):
        a.observe(0.0, "", POLICY, now)
        found, _ = decide(POLICY, [a, b], {}, now + 3.0)
        assert [one.preference for one in found] == [W]
        apply(POLICY, a, found[0], now + 3.0)
        now += 3.0
        a.observe(1.0, "", POLICY, now)
        began = now
        while a.preference is W:
            now += 0.5
            for one in decide(POLICY, [a, b], {}, now)[0]:
                apply(POLICY, a, one, now)
        waits.append(now - began)
        assert a.preference is L
        while a.preference is L:
            now += 0.5
            for one in decide(POLICY, [a, b], {}, now)[0]:
                apply(POLICY, a, one, now)
        now += 31.0  # the number at once counts for a window
        a.installed = True
    assert waits[0] == pytest.approx(20, abs=1) and waits[1] < waits[2] < waits[3] <= POLICY.max_healthy_for
    assert rules.restore_delay(POLICY, a, now + 3000) == POLICY.healthy_for  # it fades


def test_the_best_of_those_out_comes_back_at_once_where_none_is_left():
    a, b, c = cells(a=(1.0, 10, 1), b=(0.9, 10, 1), c=(0.0, 10, 99))
    for cell in (a, b):
        cell.preference, cell.cause, cell.since = W, rules.HEALTH, 999.0
    assert decided([a, b, c])[0] == {("a", A)}


def test_orders_drain_in_steps_pin_and_exclude_and_never_the_last():
    a, b = cells(a=(1.0, 10, 99), b=(1.0, 10, 99))
    drain = {("x", "a"): ActiveOverrides(drain="op: work")}
    a.arrival_rate = 4.0
    found, _ = decide(POLICY, [a, b], drain, 1000.0)
    assert [(one.preference, one.cause) for one in found] == [(L, rules.ORDER)]
    apply(POLICY, a, found[0], 1000.0)
    a.arrival_rate = 2.0
    assert decided([a, b], drain, 1010.0)[0] == set()  # new sessions still come
    a.arrival_rate = 0.3
    assert decided([a, b], drain, 1010.0)[0] == {("a", W)}
    a.arrival_rate = 2.0
    assert decided([a, b], drain, 1000.0 + POLICY.drain_for)[0] == {("a", W)}
    both = drain | {("x", "b"): ActiveOverrides(exclude="op: no")}
    a, b = cells(a=(1.0, 10, 99), b=(1.0, 10, 99))
    found, stays = decided([a, b], both)
    assert len(found) == 1 and len(stays) == 1 and next(iter(stays))[1] in (rules.LAST, rules.NO_ROOM)
    pinned = {("x", "a"): ActiveOverrides(pin="op: keep")}
    a, b = cells(a=(0.0, 10, 99), b=(1.0, 10, 99))
    assert decided([a, b], pinned) == (set(), {("a", rules.PINNED)})


def test_a_site_that_is_to_come_back_is_none_of_those_that_advertise_until_its_speaker_has_taken_it():
    """Its announcer was stopped: the keeper held what had been withdrawn there for carried out as advertised,
    and let the last one go."""
    a, b = cells(a=(0.0, 10, 99), b=(1.0, 10, 99))
    b.preference, b.cause = W, rules.ORDER
    (back,) = decide(POLICY, [a, b], {}, 1000.0)[0]
    assert (back.site, back.preference) == ("b", A)
    apply(POLICY, b, back, 1000.0)
    assert decided([a, b], now=1001.0) == (set(), {("a", rules.LAST)})
    b.installed = True
    assert decided([a, b], now=1001.0)[0] == {("a", W)}


def test_a_site_that_is_not_reached_is_decided_nothing_for():
    a, b = cells(a=(0.0, 10, 99), b=(1.0, 10, 99))
    a.reachable = False
    assert decided([a, b]) == (set(), set())


# evidence


def seen(health):
    return [AddressHealth("x", health, "", 1.0, 1.0)]


def test_one_member_one_link_or_one_bad_report_does_not_decide():
    heard = HealthAggregator(max_age=3.0)
    for member, health in (("a", 0.0), ("b", 1.0), ("c", 0.9)):
        heard.record(member, HealthReport("s", seen(health)), 10.0)
    assert heard.assess("s", "x", 10.0).health == 0.9
    heard.record("b", HealthReport("s", seen(0.1)), 11.0)
    assert heard.assess("s", "x", 11.0).health == 0.1
    two = HealthAggregator(max_age=3.0)
    two.record("a", HealthReport("s", seen(0.0)), 10.0)
    two.record("b", HealthReport("s", seen(1.0)), 10.0)
    assert two.assess("s", "x", 10.0).health == 1.0
    two.record("a", HealthReport("s", seen(0.0)), 14.0)
    assert two.assess("s", "x", 14.0).health is None  # only one speaks of two
    two.record("a", HealthReport("s", seen(0.0)), 25.0)
    assert two.assess("s", "x", 25.0).health == 0.0  # the other has been gone for long
    assert two.assess("s", "x", 99.0).health is None and two.assess("nowhere", "x", 1.0).health is None
    two.record("a", HealthReport("s", [AddressHealth("x", 7.0, "", -1.0, 0.0)]), 100.0)
    assert two.assess("s", "x", 100.0).health is None  # absurd


def test_a_door_is_as_well_as_the_worst_of_what_it_shows():
    door = ProbeTarget()
    assert door.assess(True, 4, 4)[0] == 1.0 and door.assess(False, 4, 4) == (0.0, "takes no clients")
    assert [door.assess(True, *servers)[0] for servers in ((10, 0), (8, 1), (0, 0))] == [0.0, 0.5, 0.0]
    door.record_outcomes(0.0, 0, 0)
    door.record_outcomes(5.0, 5, 20)
    assert door.assess(True, 4, 4) == (0.25, "25% of sessions were put up") and door.arrival_rate() == 4.0
    for went in (True, False, False, False, False):
        door.record_probe(went)
    assert door.assess(True, 4, 4)[0] == 0.2
    door.record_outcomes(16.0, 100, 115)  # what was before is forgotten
    assert door.success_ratio() is None


# orders and store


def order(id, number, verb, site="a", address="", until=0.0):
    return Override(id, number, verb, address, site, "op", "why", 1000.0, until)


def test_orders_merge_in_any_order_and_count_once():
    rows = [
        order("1", 1, "drain"),
        order("2", 2, "undrain"),
        order("3", 3, "drain", until=1050.0),
        order("4", 4, "pin", site="b", address="x"),
    ]
    books = []
    for arranged in (rows, rows[::-1], rows + rows):
        book = OverrideLog()
        for row in arranged:
            book.add(row, 10.0, 1000.0)
        books.append(book)
    assert len({book.digest for book in books}) == 1 and books[2].highest_number == 4
    found = books[1].active(["x", "y"], ["a", "b"], 20.0)
    assert found["x", "a"].drain == found["y", "a"].drain == "op: why" and found["x", "b"].pin
    assert ("y", "b") not in found
    many = OverrideLog()
    for number in range(1000):
        many.add(order(f"{number}", number, "drain" if number % 2 else "undrain"), 10.0, 1000.0)
    many.compact(20.0)
    assert (
        len(many.overrides) == 512
        and "999" in many.overrides
        and many.active(["x"], ["a"], 20.0)["x", "a"].drain
    )
    # It is over 50 s after it was learnt, whatever the wall clock says by then.
    assert not books[0].active(["x"], ["a"], 61.0)["x", "a"].drain


@pytest.mark.parametrize("cut", range(0, 60, 7))
def test_a_store_cut_off_at_any_byte_keeps_what_was_said_to_be_kept(tmp_path, cut):
    store = OverrideStore(str(tmp_path))
    first, second = (
        order("1", 1, "drain"),
        DecisionRecord(3, 1, 1000.0, "x", "a", 0, "health", "why", "evidence"),
    )
    assert store.store([first]) == ["1"] and store.store([second, first]) == ["3.1", "1"]
    store.records.close()
    path = tmp_path / "addresses"
    whole = path.read_bytes()
    third = OverrideStore(str(tmp_path))
    third.store([order("5", 5, "pin")])
    third.records.close()
    path.write_bytes(path.read_bytes()[: len(whole) + cut])
    again = OverrideStore(str(tmp_path))
    assert again.overrides()[0] == first and again.decisions() == [second]
    assert len(again.rows) == 2 or len(path.read_bytes()) > len(whole) + 40
    again.records.close()


def test_a_store_whose_disk_fails_says_nothing_is_kept(tmp_path, monkeypatch):
    store = OverrideStore(str(tmp_path))
    monkeypatch.setattr("os.fsync", lambda fd: (_ for _ in ()).throw(OSError(5, "no")))
    with pytest.raises(OSError):
        store.store([order("1", 1, "drain")])
    monkeypatch.undo()
    assert not store.rows and store.store([order("1", 1, "drain")]) == ["1"]
    store.records.close()
    with pytest.raises(AppendLogError):
        held, other = OverrideStore(str(tmp_path)), OverrideStore(str(tmp_path))
        held.records.close()
        other.records.close()


def test_what_is_said_fits_into_a_datagram_however_much_there_is():
    """Eight decisions in one message were never sent, and a keeper waited for them for ever."""
    name = "n" * 60
    names = [f"{name}{number:02}" for number in range(24)]
    told = file.AddressesFile(
        services=[file.Service(name=one, prefix=f"198.51.100.{at}/32") for at, one in enumerate(names)],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    keeper = Controller(told, ("v0", "v1", "v2"), 1, 0.0, 0.0)
    for number in range(120):
        now, out, keeper.outbox = number * 0.5, keeper.outbox, []
        for to, message in out:
            assert len(encode(message)) < 1000
            voter = to.removeprefix("voter ")
            if isinstance(message, OverrideQuery):
                keeper.on_message(OverrideResponse(voter, message.digest, 0, []), voter, now, now)
            elif isinstance(message, StoreRequest):
                keeper.on_message(
                    StoreAcknowledgement(voter, [record_id(row) for row in message.rows]), voter, now, now
                )
        for site in "ab":
            stands = [
                RouteStatus(key[0], int(cell.preference), cell.cause, 0.0, 0.0)
                for key, cell in keeper.routes.items()
                if key[1] == site
            ]
            for rows in paginate(stands):
                keeper.on_message(SiteReport(site, 1, number, 1, True, rows), f"{site}0", now, now)
                keeper.tick(now, now)  # between two pages as well: what was not told of is not taken as known
            evidence = [AddressHealth(one, 1.0, "w" * 200, 1.0, 1.0) for one in names]
            for member in ("0", "1", "2"):
                keeper.on_message(HealthReport(site, evidence), f"{site}{member}", now, now)
        keeper.tick(now, now)
    assert {cell.preference for cell in keeper.routes.values()} == {A} and not keeper.pending
    cut = truncate_utf8("\N{LATIN SMALL LETTER U WITH DIAERESIS}" * 9, 5)
    assert cut == "\N{LATIN SMALL LETTER U WITH DIAERESIS}" * 2


def test_a_keeper_that_has_just_begun_does_not_call_withdrawn_what_no_site_has_told_it_of():
    """The members of a site were gone when the keeper changed; the picture named its addresses withdrawn."""
    told = file.AddressesFile(
        services=[file.Service(name="x", prefix="198.51.100.1/32")],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    keeper = Controller(told, ("v0",), 2, 0.0, 0.0)
    keeper.on_message(
        SiteReport("a", 2, 1, 1, True, [RouteStatus("x", int(A), "", 0.0, 0.0)]), "a0", 1.0, 1.0
    )
    shown = {row["site"]: row["standing"] for row in keeper.view(1.0)["rows"]}
    assert shown == {"a": "advertised", "b": "unknown"}
    keeper.on_message(
        SiteReport("b", 2, 1, 1, True, [RouteStatus("x", int(W), "health", 0.0, 0.0)]), "b0", 2.0, 2.0
    )
    assert {row["site"]: row["standing"] for row in keeper.view(2.0)["rows"]}["b"] == "withdrawn"


def test_a_gate_whose_members_have_all_fallen_silent_goes_sooner_or_at_all():
    for cut_off, alone, silent, goes in (
        ("withdraw", 4.0, 4.0, True),
        ("withdraw", 4.0, 2.0, False),
        ("withdraw", 2.0, 4.0, False),
        ("keep", 14.0, 99.0, False),
        ("keep", 16.0, 16.0, True),
        ("keep", 99.0, 1.0, False),
    ):
        told = wander.TOLD
        table = RouteTable(told.services, msgspec.structs.replace(told.sites[0], cut_off=cut_off), 64512)
        table.claim(1, "n0", 0.0)
        table.set_preference(1, 1, 1, "x", A, 0.0)
        table.set_preference(1, 2, 1, "y", A, 0.0)
        table.heartbeat(1, {"y"}, 100.0)
        assert [row.name for row in table.withdraw_orphaned(15.0, set(), 100.0 + alone, silent, 3.0)] == [
            "x"
        ] * goes


# the gate's table


def gate():
    told = wander.TOLD
    return RouteTable(told.services, told.sites[0], 64512)


def test_a_gate_takes_no_older_term_and_no_overtaken_call():
    table = gate()
    assert table.claim(5, "n0", 1.0) and table.set_preference(5, 1, 3, "x", A, 1.0)
    assert isinstance(table.claim(4, "n1", 2.0), StaleTermError)
    assert isinstance(table.set_preference(4, 9, 3, "x", W, 2.0), StaleTermError)
    assert isinstance(table.set_preference(6, 1, 3, "x", W, 2.0), StaleTermError)  # a higher one claims first
    assert table.set_preference(5, 3, 3, "x", L, 2.0) and table.set_preference(5, 2, 3, "x", W, 3.0) == []
    assert table.preferences["x"] is L
    again = gate()
    again.restore(table.records())
    assert (
        again.term == 5
        and again.preferences == table.preferences
        and again.set_preference(5, 3, 3, "x", W, 4.0) == []
    )
    assert table.claim(6, "n1", 5.0) and table.set_preference(6, 1, 4, "x", W, 5.0)


def test_commands_are_the_published_ones():
    table = gate()
    table.claim(1, "n0", 0.0)
    table.set_preference(1, 1, 1, "x", A, 0.0)
    assert table.daemon_command("x") == "announce route 198.51.100.0/32 next-hop self med 100"
    table.set_preference(1, 2, 1, "x", L, 0.0)
    assert "community [65535:0] as-path [64512 64512 64512]" in table.daemon_command("x")
    assert table.daemon_command("y") == "withdraw route 198.51.100.1/32 next-hop self"


# the file


GOOD = """
[[service]]
name = "voice"
prefix = "198.51.100.7/32"
[[site]]
name = "north"
gate = "127.0.0.1:7"
"""


@pytest.mark.parametrize(
    ("change", "says"),
    [
        (("7/32", "7/33"), "service[0].prefix: expected a prefix"),
        (('"127.0.0.1:7"', '"nowhere"'), "site[0].gate: expected HOST:PORT, got 'nowhere'"),
        (("[[site]]", "[policy]\nleast = 3\n[[site]]"), "policy.least: expected at most 1"),
        (('name = "north"', 'name = "north"\ncut_off = "withdraw"'), "site: expected at least 1 with"),
        (('name = "north"', 'name = "no rth"'), "site[0].name: expected"),
        (("gate =", "door ="), "site[0]"),
        (("[[site]]", "[policy]\nill = 2\n[[site]]"), "policy.ill: expected"),
        (("[[service]]", "[[service"), "expected TOML"),
    ],
)
def test_a_file_of_addresses_is_checked_whole(tmp_path, change, says):
    path = tmp_path / "addresses.toml"
    path.write_text(GOOD)
    assert file.read_addresses(str(path)).sites[0].capacity == 1000.0
    path.write_text(GOOD.replace(*change))
    with pytest.raises(file.AddressesError) as caught:
        file.read_addresses(str(path))
    assert says in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)


def test_the_sample_files_are_read_as_they_stand():
    told, addresses, site = read_guard_config("deploy/gate.toml")
    assert site.name == "north" and addresses.policy.min_sites == 1 and told.own_as == 64512


# all of it, through schedules


def test_no_schedule_of_faults_breaks_what_must_hold():
    assert wander.explore(range(12)) == []


@pytest.mark.parametrize("name", sorted(places.COURSES))
def test_no_fault_at_any_place_of_a_course_breaks_what_must_hold(name):
    found = places.explore(name, every=61)  # the benchmark plays them all
    assert found.runs > 40 and found.broken == []


def test_an_announcer_stopped_while_its_site_is_to_come_back_leaves_the_last_one():
    assert places.Placed((("stop announcer b", 19),)).course("two excluded, the last ill") == []


# A schedule by which each bug shows: the first of wander.found(name, range(400)).
SHOWS = {
    "no least": 24,
    "no budget": 33,
    "old terms": 119,
    "overtaken calls": 318,
    "told at once": 1,
    "no look at what stands": 0,
}


@pytest.mark.parametrize("name", sorted(wander.BUGS))
def test_each_bug_put_in_is_found(name):
    only = range(SHOWS[name], SHOWS[name] + 1)
    assert wander.found(name, only) and not wander.explore(only)
