"""The rules that decide for each route, in made-up time."""

import msgspec
import pytest
from address_support import ADVERTISED, LOWERED, POLICY, WITHDRAWN

from onyxhollow.addresses.hysteresis import Hysteresis
from onyxhollow.addresses.routes import (
    ActiveOverrides,
    Cause,
    RouteState,
    SuppressionRule,
    apply_change,
)
from onyxhollow.addresses.rules import decide


def routes(now=1000.0, **sites):
    """Each site by its health, load and how long it has been so; all advertised."""
    made = []
    for site, (health, load, since) in sites.items():
        route = RouteState(
            "x",
            site,
            ADVERTISED,
            reachable=True,
            installed=True,
            load=load,
            capacity=100.0,
            changed_at=now - 500,
        )
        route.observe(health, "told", POLICY, now - since)
        made.append(route)
    return made


def decided(routes_now, overrides=None, now=1000.0, policy=POLICY):
    changes, suppressed = decide(policy, routes_now, overrides or {}, now)
    preferences = {(change.site, change.preference) for change in changes}
    rules = {(change.site, change.rule) for change in suppressed}
    return preferences, rules


def test_an_unhealthy_site_is_withdrawn_after_a_dwell_that_depends_on_its_health():
    for health, since, goes in (
        (0.0, 1.0, False),
        (0.0, 3.0, True),
        (0.5, 3.0, False),
        (0.5, 11.0, True),
        (0.7, 99.0, False),
        (None, 99.0, False),
    ):
        changes, _ = decided(routes(a=(health, 10, since), b=(1.0, 10, 99)))
        assert changes == ({("a", WITHDRAWN)} if goes else set())


def test_the_last_sites_stay_and_when_all_are_unhealthy_all_stay():
    assert decided(routes(a=(0.0, 10, 99))) == (set(), {("a", SuppressionRule.ALL_UNHEALTHY)})
    assert decided(routes(a=(0.0, 5, 99), b=(0.1, 5, 99))) == (set(), {("a", "all ill"), ("b", "all ill")})
    two = msgspec.structs.replace(POLICY, min_sites=2)
    assert decided(routes(a=(0.0, 5, 99), b=(1.0, 5, 99)), policy=two) == (
        set(),
        {("a", SuppressionRule.LAST_SITE)},
    )
    gone = routes(a=(0.0, 5, 99), b=(1.0, 5, 99))
    gone[1].installed = False  # its routing daemon has not taken it: nobody reaches it yet
    assert decided(gone) == (set(), {("a", SuppressionRule.LAST_SITE)})


def test_a_withdrawal_needs_capacity_elsewhere_else_the_route_is_lowered():
    assert decided(routes(a=(0.2, 60, 99), b=(1.0, 10, 99)))[0] == {("a", WITHDRAWN)}
    assert decided(routes(a=(0.2, 60, 99), b=(1.0, 50, 99)))[0] == {("a", LOWERED)}
    assert decided(routes(a=(0.2, 60, 99), b=(1.0, 80, 99))) == (set(), {("a", SuppressionRule.NO_CAPACITY)})


def test_a_wave_of_losses_is_stopped_by_the_withdrawal_limit_and_by_moved_load():
    routes_now = routes(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    # b was unhealthy before a was withdrawn: it steps aside.
    assert decided(routes_now) == ({("a", WITHDRAWN), ("b", LOWERED)}, set())
    apply_change(POLICY, routes_now[0], decide(POLICY, routes_now, {}, 1000.0)[0][0], 1000.0)
    routes_now[1].unhealthy_since = 1001.0
    # Unhealthy since then: it may be a's load.
    assert decided(routes_now, now=1020.0) == (set(), {("b", SuppressionRule.TOO_MANY)})
    routes_now[1].unhealthy_since = 901.0
    for change in decide(POLICY, routes_now, {}, 1001.0)[0]:
        apply_change(POLICY, routes_now[1], change, 1001.0)
    assert routes_now[1].preference is LOWERED
    assert decided(routes_now, now=1002.0) == (set(), {("b", SuppressionRule.TOO_MANY)})
    window_end = 1000.0 + POLICY.withdrawal_window
    assert decided(routes_now, now=window_end)[0] == {("b", WITHDRAWN)}
    routes_now = routes(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    both = msgspec.structs.replace(POLICY, max_concurrent_withdrawals=2)
    assert decided(routes_now, policy=both)[0] == {("a", WITHDRAWN), ("b", WITHDRAWN)}
    routes_now = routes(
        a=(0.0, 50, 99), b=(0.1, 50, 99), c=(1.0, 30, 99)
    )  # the second finds the capacity taken
    assert decided(routes_now, policy=both) == ({("a", WITHDRAWN)}, {("b", SuppressionRule.NO_CAPACITY)})


def test_a_site_is_restored_in_steps_and_later_with_each_flap():
    a, b = routes(a=(1.0, 0, 0), b=(1.0, 10, 99))
    now, waits = 1000.0, []
    for _ in range(4):
        a.observe(0.0, "", POLICY, now)
        changes, _ = decide(POLICY, [a, b], {}, now + 3.0)
        assert [change.preference for change in changes] == [WITHDRAWN]
        apply_change(POLICY, a, changes[0], now + 3.0)
        now += 3.0
        a.observe(1.0, "", POLICY, now)
        began = now
        while a.preference is WITHDRAWN:
            now += 0.5
            for change in decide(POLICY, [a, b], {}, now)[0]:
                apply_change(POLICY, a, change, now)
        waits.append(now - began)
        assert a.preference is LOWERED
        while a.preference is LOWERED:
            now += 0.5
            for change in decide(POLICY, [a, b], {}, now)[0]:
                apply_change(POLICY, a, change, now)
        now += 31.0  # the withdrawal limit counts for a window
        a.installed = True
    assert waits[0] == pytest.approx(20, abs=1) and waits[1] < waits[2] < waits[3] <= POLICY.max_healthy_for
    assert Hysteresis(POLICY).restore_delay(a, now + 3000) == POLICY.healthy_for  # it fades


def test_the_healthiest_withdrawn_site_is_restored_at_once_where_none_is_left():
    a, b, c = routes(a=(1.0, 10, 1), b=(0.9, 10, 1), c=(0.0, 10, 99))
    for route in (a, b):
        route.preference, route.cause, route.changed_at = WITHDRAWN, Cause.HEALTH, 999.0
    assert decided([a, b, c])[0] == {("a", ADVERTISED)}


def test_overrides_drain_in_steps_pin_and_exclude_and_never_the_last_site():
    a, b = routes(a=(1.0, 10, 99), b=(1.0, 10, 99))
    drain = {("x", "a"): ActiveOverrides(drain="op: work")}
    a.arrival_rate = 4.0
    changes, _ = decide(POLICY, [a, b], drain, 1000.0)
    assert [(change.preference, change.cause) for change in changes] == [(LOWERED, Cause.OVERRIDE)]
    apply_change(POLICY, a, changes[0], 1000.0)
    a.arrival_rate = 2.0
    assert decided([a, b], drain, 1010.0)[0] == set()  # new sessions still come
    a.arrival_rate = 0.3
    assert decided([a, b], drain, 1010.0)[0] == {("a", WITHDRAWN)}
    a.arrival_rate = 2.0
    assert decided([a, b], drain, 1000.0 + POLICY.drain_for)[0] == {("a", WITHDRAWN)}
    both = drain | {("x", "b"): ActiveOverrides(exclude="op: no")}
    a, b = routes(a=(1.0, 10, 99), b=(1.0, 10, 99))
    changes, suppressed = decided([a, b], both)
    assert len(changes) == 1 and len(suppressed) == 1
    assert next(iter(suppressed))[1] in (SuppressionRule.LAST_SITE, SuppressionRule.NO_CAPACITY)
    pinned = {("x", "a"): ActiveOverrides(pin="op: keep")}
    a, b = routes(a=(0.0, 10, 99), b=(1.0, 10, 99))
    assert decided([a, b], pinned) == (set(), {("a", SuppressionRule.PINNED)})


def test_a_restored_site_does_not_count_as_advertising_until_its_daemon_has_taken_the_route():
    """The last site was withdrawn while another's announcer, still to restore its route, was stopped."""
    a, b = routes(a=(0.0, 10, 99), b=(1.0, 10, 99))
    b.preference, b.cause = WITHDRAWN, Cause.OVERRIDE
    (back,) = decide(POLICY, [a, b], {}, 1000.0)[0]
    assert (back.site, back.preference) == ("b", ADVERTISED)
    apply_change(POLICY, b, back, 1000.0)
    assert decided([a, b], now=1001.0) == (set(), {("a", SuppressionRule.LAST_SITE)})
    b.installed = True
    assert decided([a, b], now=1001.0)[0] == {("a", WITHDRAWN)}


def test_nothing_is_decided_for_an_unreachable_site():
    a, b = routes(a=(0.0, 10, 99), b=(1.0, 10, 99))
    a.reachable = False
    assert decided([a, b]) == (set(), set())
