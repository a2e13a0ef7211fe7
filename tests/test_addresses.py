"""Shared addresses: rules, evidence, orders, store, gate's table and the explorer, in made-up time."""

from types import SimpleNamespace

import msgspec
import pytest

from onyxhollow.addresses import file, rules
from onyxhollow.addresses.health import Door, Witnesses
from onyxhollow.addresses.keeper import Keeper
from onyxhollow.addresses.messages import (
    Decided,
    Evidence,
    Have,
    Keep,
    Kept,
    Leave,
    Order,
    Report,
    Row,
    Seen,
    Want,
    encode,
    mark,
    pages,
    short,
)
from onyxhollow.addresses.orders import Book
from onyxhollow.addresses.rules import Cell, Orders, Standing, apply, decide
from onyxhollow.addresses.table import Refused, Table
from onyxhollow.append_log import AppendLogError
from onyxhollow.fleet.advertise import Addresses, Store
from onyxhollow.fleet.gate import read_gate
from onyxhollow.lab.fleet import places, wander

POLICY = file.Policy(least=1, ill_for=10.0, dead_for=2.0, well_for=20.0, step=5.0, window=30.0)
A, L, W = Standing.ADVERTISED, Standing.LESSER, Standing.WITHDRAWN


def cells(now=1000.0, **sites):
    """Each site by its health, load and how long it has been so; all advertised."""
    made = []
    for site, (health, load, since) in sites.items():
        cell = Cell("x", site, A, reached=True, carried=True, load=load, capacity=100.0, since=now - 500)
        cell.observe(health, "told", POLICY, now - since)
        made.append(cell)
    return made


def decided(rows, orders=None, now=1000.0, policy=POLICY):
    found, stays = decide(policy, rows, orders or {}, now)
    return {(one.site, one.standing) for one in found}, {(one.site, one.rule) for one in stays}


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
    two = msgspec.structs.replace(POLICY, least=2)
    assert decided(cells(a=(0.0, 5, 99), b=(1.0, 5, 99)), policy=two) == (set(), {("a", rules.LAST)})
    gone = cells(a=(0.0, 5, 99), b=(1.0, 5, 99))
    gone[1].carried = False  # its speaker has not taken it: nobody reaches it yet
    assert decided(gone) == (set(), {("a", rules.LAST)})


def test_a_withdrawal_needs_room_elsewhere_else_it_goes_in_part():
    assert decided(cells(a=(0.2, 60, 99), b=(1.0, 10, 99)))[0] == {("a", W)}
    assert decided(cells(a=(0.2, 60, 99), b=(1.0, 50, 99)))[0] == {("a", L)}
    assert decided(cells(a=(0.2, 60, 99), b=(1.0, 80, 99))) == (set(), {("a", rules.NO_ROOM)})


def test_a_wave_of_losses_is_stopped_by_the_number_at_once_and_by_what_has_moved_already():
    rows = cells(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    assert decided(rows) == ({("a", W), ("b", L)}, set())  # ill before a went: it steps aside
    apply(POLICY, rows[0], decide(POLICY, rows, {}, 1000.0)[0][0], 1000.0)
    rows[1].ill_since = 1001.0
    assert decided(rows, now=1020.0) == (set(), {("b", rules.TOO_MANY)})  # ill since: it may be a's load
    rows[1].ill_since = 901.0
    for one in decide(POLICY, rows, {}, 1001.0)[0]:
        apply(POLICY, rows[1], one, 1001.0)
    assert rows[1].standing is L and decided(rows, now=1002.0) == (set(), {("b", rules.TOO_MANY)})
    assert decided(rows, now=1000.0 + POLICY.window)[0] == {("b", W)}  # once the window is over
    rows = cells(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    both = msgspec.structs.replace(POLICY, most_at_once=2)
    assert decided(rows, policy=both)[0] == {("a", W), ("b", W)}
    rows = cells(a=(0.0, 50, 99), b=(0.1, 50, 99), c=(1.0, 30, 99))  # the second finds the room taken
    assert decided(rows, policy=both) == ({("a", W)}, {("b", rules.NO_ROOM)})


def test_a_site_comes_back_in_steps_and_later_with_each_flap():
    a, b = cells(a=(1.0, 0, 0), b=(1.0, 10, 99))
    now, waits = 1000.0, []
    for _ in range(4):
        a.observe(0.0, "", POLICY, now)
        found, _ = decide(POLICY, [a, b], {}, now + 3.0)
        assert [one.standing for one in found] == [W]
        apply(POLICY, a, found[0], now + 3.0)
        now += 3.0
        a.observe(1.0, "", POLICY, now)
        began = now
        while a.standing is W:
            now += 0.5
            for one in decide(POLICY, [a, b], {}, now)[0]:
                apply(POLICY, a, one, now)
        waits.append(now - began)
        assert a.standing is L
        while a.standing is L:
            now += 0.5
            for one in decide(POLICY, [a, b], {}, now)[0]:
                apply(POLICY, a, one, now)
        now += 31.0  # the number at once counts for a window
        a.carried = True
    assert waits[0] == pytest.approx(20, abs=1) and waits[1] < waits[2] < waits[3] <= POLICY.well_most
    assert rules.dwell(POLICY, a, now + 3000) == POLICY.well_for  # it fades


def test_the_best_of_those_out_comes_back_at_once_where_none_is_left():
    a, b, c = cells(a=(1.0, 10, 1), b=(0.9, 10, 1), c=(0.0, 10, 99))
    for cell in (a, b):
        cell.standing, cell.cause, cell.since = W, rules.HEALTH, 999.0
    assert decided([a, b, c])[0] == {("a", A)}


def test_orders_drain_in_steps_pin_and_exclude_and_never_the_last():
    a, b = cells(a=(1.0, 10, 99), b=(1.0, 10, 99))
    drain = {("x", "a"): Orders(drain="op: work")}
    a.coming = 4.0
    found, _ = decide(POLICY, [a, b], drain, 1000.0)
    assert [(one.standing, one.cause) for one in found] == [(L, rules.ORDER)]
    apply(POLICY, a, found[0], 1000.0)
    a.coming = 2.0
    assert decided([a, b], drain, 1010.0)[0] == set()  # new sessions still come
    a.coming = 0.3
    assert decided([a, b], drain, 1010.0)[0] == {("a", W)}
    a.coming = 2.0
    assert decided([a, b], drain, 1000.0 + POLICY.drain_for)[0] == {("a", W)}
    both = drain | {("x", "b"): Orders(exclude="op: no")}
    a, b = cells(a=(1.0, 10, 99), b=(1.0, 10, 99))
    found, stays = decided([a, b], both)
    assert len(found) == 1 and len(stays) == 1 and next(iter(stays))[1] in (rules.LAST, rules.NO_ROOM)
    pinned = {("x", "a"): Orders(pin="op: keep")}
    a, b = cells(a=(0.0, 10, 99), b=(1.0, 10, 99))
    assert decided([a, b], pinned) == (set(), {("a", rules.PINNED)})


def test_a_site_that_is_to_come_back_is_none_of_those_that_advertise_until_its_speaker_has_taken_it():
    """Its announcer was stopped: the keeper held what had been withdrawn there for carried out as advertised,
    and let the last one go."""
    a, b = cells(a=(0.0, 10, 99), b=(1.0, 10, 99))
    b.standing, b.cause = W, rules.ORDER
    (back,) = decide(POLICY, [a, b], {}, 1000.0)[0]
    assert (back.site, back.standing) == ("b", A)
    apply(POLICY, b, back, 1000.0)
    assert decided([a, b], now=1001.0) == (set(), {("a", rules.LAST)})
    b.carried = True
    assert decided([a, b], now=1001.0)[0] == {("a", W)}


def test_a_site_that_is_not_reached_is_decided_nothing_for():
    a, b = cells(a=(0.0, 10, 99), b=(1.0, 10, 99))
    a.reached = False
    assert decided([a, b]) == (set(), set())


# evidence


def seen(health):
    return [Seen("x", health, "", 1.0, 1.0)]


def test_one_member_one_link_or_one_bad_report_does_not_decide():
    heard = Witnesses(fresh=3.0)
    for member, health in (("a", 0.0), ("b", 1.0), ("c", 0.9)):
        heard.take(member, Evidence("s", seen(health)), 10.0)
    assert heard.judge("s", "x", 10.0).health == 0.9
    heard.take("b", Evidence("s", seen(0.1)), 11.0)
    assert heard.judge("s", "x", 11.0).health == 0.1
    two = Witnesses(fresh=3.0)
    two.take("a", Evidence("s", seen(0.0)), 10.0)
    two.take("b", Evidence("s", seen(1.0)), 10.0)
    assert two.judge("s", "x", 10.0).health == 1.0
    two.take("a", Evidence("s", seen(0.0)), 14.0)
    assert two.judge("s", "x", 14.0).health is None  # only one speaks of two
    two.take("a", Evidence("s", seen(0.0)), 25.0)
    assert two.judge("s", "x", 25.0).health == 0.0  # the other has been gone for long
    assert two.judge("s", "x", 99.0).health is None and two.judge("nowhere", "x", 1.0).health is None
    two.take("a", Evidence("s", [Seen("x", 7.0, "", -1.0, 0.0)]), 100.0)
    assert two.judge("s", "x", 100.0).health is None  # absurd


def test_a_door_is_as_well_as_the_worst_of_what_it_shows():
    door = Door()
    assert door.see(True, 4, 4)[0] == 1.0 and door.see(False, 4, 4) == (0.0, "takes no clients")
    assert [door.see(True, *servers)[0] for servers in ((10, 0), (8, 1), (0, 0))] == [0.0, 0.5, 0.0]
    door.counted(0.0, 0, 0)
    door.counted(5.0, 5, 20)
    assert door.see(True, 4, 4) == (0.25, "25% of sessions were put up") and door.coming() == 4.0
    for went in (True, False, False, False, False):
        door.tried(went)
    assert door.see(True, 4, 4)[0] == 0.2
    door.counted(16.0, 100, 115)  # what was before is forgotten
    assert door.share() is None


# orders and store


def order(id, number, verb, site="a", address="", until=0.0):
    return Order(id, number, verb, address, site, "op", "why", 1000.0, until)


def test_orders_merge_in_any_order_and_count_once():
    rows = [
        order("1", 1, "drain"),
        order("2", 2, "undrain"),
        order("3", 3, "drain", until=1050.0),
        order("4", 4, "pin", site="b", address="x"),
    ]
    books = []
    for arranged in (rows, rows[::-1], rows + rows):
        book = Book()
        for row in arranged:
            book.add(row, 10.0, 1000.0)
        books.append(book)
    assert len({book.digest for book in books}) == 1 and books[2].highest == 4
    found = books[1].in_force(["x", "y"], ["a", "b"], 20.0)
    assert found["x", "a"].drain == found["y", "a"].drain == "op: why" and found["x", "b"].pin
    assert ("y", "b") not in found
    many = Book()
    for number in range(1000):
        many.add(order(f"{number}", number, "drain" if number % 2 else "undrain"), 10.0, 1000.0)
    many.tidy(20.0)
    assert len(many.rows) == 512 and "999" in many.rows and many.in_force(["x"], ["a"], 20.0)["x", "a"].drain
    # It is over 50 s after it was learnt, whatever the wall clock says by then.
    assert not books[0].in_force(["x"], ["a"], 61.0)["x", "a"].drain


@pytest.mark.parametrize("cut", range(0, 60, 7))
def test_a_store_cut_off_at_any_byte_keeps_what_was_said_to_be_kept(tmp_path, cut):
    store = Store(str(tmp_path))
    first, second = order("1", 1, "drain"), Decided(3, 1, 1000.0, "x", "a", 0, "health", "why", "evidence")
    assert store.keep([first]) == ["1"] and store.keep([second, first]) == ["3.1", "1"]
    store.records.close()
    path = tmp_path / "addresses"
    whole = path.read_bytes()
    third = Store(str(tmp_path))
    third.keep([order("5", 5, "pin")])
    third.records.close()
    path.write_bytes(path.read_bytes()[: len(whole) + cut])
    again = Store(str(tmp_path))
    assert again.orders()[0] == first and again.decided() == [second]
    assert len(again.rows) == 2 or len(path.read_bytes()) > len(whole) + 40
    again.records.close()


def test_a_store_whose_disk_fails_says_nothing_is_kept(tmp_path, monkeypatch):
    store = Store(str(tmp_path))
    monkeypatch.setattr("os.fsync", lambda fd: (_ for _ in ()).throw(OSError(5, "no")))
    with pytest.raises(OSError):
        store.keep([order("1", 1, "drain")])
    monkeypatch.undo()
    assert not store.rows and store.keep([order("1", 1, "drain")]) == ["1"]
    store.records.close()
    with pytest.raises(AppendLogError):
        held, other = Store(str(tmp_path)), Store(str(tmp_path))
        held.records.close()
        other.records.close()


def test_what_is_said_fits_into_a_datagram_however_much_there_is():
    """Eight decisions in one message were never sent, and a keeper waited for them for ever."""
    name = "n" * 60
    names = [f"{name}{number:02}" for number in range(24)]
    told = file.AddressesFile(
        service=[file.Service(name=one, prefix=f"198.51.100.{at}/32") for at, one in enumerate(names)],
        site=[file.Site(name=site, gate="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    keeper = Keeper(told, ("v0", "v1", "v2"), 1, 0.0, 0.0)
    for number in range(120):
        now, out, keeper.out = number * 0.5, keeper.out, []
        for to, message in out:
            assert len(encode(message)) < 1000
            voter = to.removeprefix("voter ")
            if isinstance(message, Want):
                keeper.heard(Have(voter, message.known, 0, []), voter, now, now)
            elif isinstance(message, Keep):
                keeper.heard(Kept(voter, [mark(row) for row in message.rows]), voter, now, now)
        for site in "ab":
            stands = [
                Row(key[0], int(cell.standing), cell.cause, 0.0, 0.0)
                for key, cell in keeper.cells.items()
                if key[1] == site
            ]
            for rows in pages(stands):
                keeper.heard(Report(site, 1, number, 1, True, rows), f"{site}0", now, now)
                keeper.tick(now, now)  # between two pages as well: what was not told of is not taken as known
            evidence = [Seen(one, 1.0, "w" * 200, 1.0, 1.0) for one in names]
            for member in ("0", "1", "2"):
                keeper.heard(Evidence(site, evidence), f"{site}{member}", now, now)
        keeper.tick(now, now)
    assert {cell.standing for cell in keeper.cells.values()} == {A} and not keeper.waiting
    cut = short("\N{LATIN SMALL LETTER U WITH DIAERESIS}" * 9, 5)
    assert cut == "\N{LATIN SMALL LETTER U WITH DIAERESIS}" * 2


def test_a_keeper_that_has_just_begun_does_not_call_withdrawn_what_no_site_has_told_it_of():
    """The members of a site were gone when the keeper changed; the picture named its addresses withdrawn."""
    told = file.AddressesFile(
        service=[file.Service(name="x", prefix="198.51.100.1/32")],
        site=[file.Site(name=site, gate="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    keeper = Keeper(told, ("v0",), 2, 0.0, 0.0)
    keeper.heard(Report("a", 2, 1, 1, True, [Row("x", int(A), "", 0.0, 0.0)]), "a0", 1.0, 1.0)
    shown = {row["site"]: row["standing"] for row in keeper.view(1.0)["rows"]}
    assert shown == {"a": "advertised", "b": "unknown"}
    keeper.heard(Report("b", 2, 1, 1, True, [Row("x", int(W), "health", 0.0, 0.0)]), "b0", 2.0, 2.0)
    assert {row["site"]: row["standing"] for row in keeper.view(2.0)["rows"]}["b"] == "withdrawn"


class Member:
    """What stands for a member's node: its open sessions, each one moved as soon as it is told to."""

    def __init__(self, told):
        self.name, self.zone, self.process_id = "a0", "a", "a0~1"
        self.loop = SimpleNamespace(now=0.0, spawn=lambda run: None)
        self.proxy = SimpleNamespace(
            sessions=SimpleNamespace(table=SimpleNamespace(live=[])),
            config=SimpleNamespace(settings=SimpleNamespace(listeners={"chat": None, "talk": None})),
        )
        self.live, self.moved = self.proxy.sessions.table.live, []
        self.addresses = Addresses(self, told)

    def log_event(self, name, **values):
        pass

    def opens(self, count, listener):
        for _ in range(count):
            sess = SimpleNamespace(open=True, stopping=False, opening=SimpleNamespace(listener=listener))
            sess.stop = lambda sess=sess: (self.live.remove(sess), self.moved.append(sess))
            self.live.append(sess)

    def hears(self, second, *names):
        """The announcer's word, said again each moment, and how many are moved in this second."""
        before = len(self.moved)
        self.addresses.take(Leave("a", list(names)), "a1", "a1~1", float(second))
        self.addresses.send_away(float(second))
        return len(self.moved) - before


def two_addresses(*listeners):
    return file.AddressesFile(
        service=[
            file.Service(name=f"x{at}", prefix=f"198.51.100.{at}/32", listeners=[name])
            for at, name in enumerate(listeners)
        ],
        site=[file.Site(name=site, gate="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )


def test_connections_go_though_none_had_to_when_the_first_of_two_addresses_left():
    """Both are reached by one listener, and the daemon takes their withdrawals one after the other: a member
    that looked in between went by a pace for none, and moved nobody as long as the order stood."""
    member = Member(two_addresses("chat", "chat"))
    member.opens(100, "chat")
    assert member.hears(0, "x0") == 0  # x1 is reached by it too, and stays
    assert [member.hears(second, "x0", "x1") for second in range(1, 7)] == [5, 5, 5, 5, 5, 10]
    for second in range(7, 13):
        member.hears(second, "x0", "x1")
    assert not member.live


def test_connections_that_come_while_an_address_has_left_are_moved_though_there_were_none():
    member = Member(two_addresses("chat", "talk"))
    assert member.hears(0, "x0") == 0
    member.opens(12, "chat")
    assert [member.hears(second, "x0") for second in range(1, 4)] == [1, 1, 1]
    for second in range(4, 10):
        member.hears(second, "x0")
    assert not member.live


def test_a_second_address_leaves_at_the_pace_of_all_its_connections():
    """One had two connections and the other two hundred: they left one a second."""
    member = Member(two_addresses("chat", "talk"))
    member.opens(2, "chat")
    member.opens(200, "talk")
    assert member.hears(0, "x0") == 1
    assert member.hears(1, "x0", "x1") == 11  # a twentieth of 201, rounded up
    for second in range(2, 12):
        member.hears(second, "x0", "x1")
    assert not member.live


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
        table = Table(told.service, msgspec.structs.replace(told.site[0], cut_off=cut_off), 64512)
        table.claim(1, "n0", 0.0)
        table.put(1, 1, 1, "x", A, 0.0)
        table.put(1, 2, 1, "y", A, 0.0)
        table.alive(1, {"y"}, 100.0)
        assert [row.name for row in table.orphaned(15.0, set(), 100.0 + alone, silent, 3.0)] == ["x"] * goes


# the gate's table


def gate():
    told = wander.TOLD
    return Table(told.service, told.site[0], 64512)


def test_a_gate_takes_no_older_term_and_no_overtaken_call():
    table = gate()
    assert table.claim(5, "n0", 1.0) and table.put(5, 1, 3, "x", A, 1.0)
    assert isinstance(table.claim(4, "n1", 2.0), Refused)
    assert isinstance(table.put(4, 9, 3, "x", W, 2.0), Refused)
    assert isinstance(table.put(6, 1, 3, "x", W, 2.0), Refused)  # a higher one claims first
    assert table.put(5, 3, 3, "x", L, 2.0) and table.put(5, 2, 3, "x", W, 3.0) == []
    assert table.stands["x"] is L
    again = gate()
    again.remember(table.rows())
    assert again.term == 5 and again.stands == table.stands and again.put(5, 3, 3, "x", W, 4.0) == []
    assert table.claim(6, "n1", 5.0) and table.put(6, 1, 4, "x", W, 5.0)


def test_commands_are_the_published_ones():
    table = gate()
    table.claim(1, "n0", 0.0)
    table.put(1, 1, 1, "x", A, 0.0)
    assert table.command("x") == "announce route 198.51.100.0/32 next-hop self med 100"
    table.put(1, 2, 1, "x", L, 0.0)
    assert "community [65535:0] as-path [64512 64512 64512]" in table.command("x")
    assert table.command("y") == "withdraw route 198.51.100.1/32 next-hop self"


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
    assert file.read_addresses(str(path)).site[0].capacity == 1000.0
    path.write_text(GOOD.replace(*change))
    with pytest.raises(file.AddressesError) as caught:
        file.read_addresses(str(path))
    assert says in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)


def test_the_sample_files_are_read_as_they_stand():
    told, addresses, site = read_gate("deploy/gate.toml")
    assert site.name == "north" and addresses.policy.least == 1 and told.own_as == 64512


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
