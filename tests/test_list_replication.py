"""Replication of the endpoint list between members."""

from random import Random

from onyxhollow.fleet import telling


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
