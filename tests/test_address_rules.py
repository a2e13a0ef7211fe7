"""Tests of the rules that decide for each route, in virtual time."""

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


def make_routes(now=1000.0, **sites):
    """Return advertised routes; each site is given by its health, load and the duration of that health."""
    routes = []
    for site, (health, load, duration) in sites.items():
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
        route.observe(health, "measured", POLICY, now - duration)
        routes.append(route)
    return routes


def decide_all(routes, overrides=None, now=1000.0, policy=POLICY):
    """Return the decided preferences and the rules of suppressed changes, each with its site."""
    changes, suppressed = decide(policy, routes, overrides or {}, now)
    preferences = {(change.site, change.preference) for change in changes}
    rules = {(change.site, change.rule) for change in suppressed}
    return preferences, rules


def test_an_unhealthy_site_is_withdrawn_after_a_delay_that_depends_on_its_health():
    for health, duration, is_withdrawn in (
        (0.0, 1.0, False),
        (0.0, 3.0, True),
        (0.5, 3.0, False),
        (0.5, 11.0, True),
        (0.7, 99.0, False),
        (None, 99.0, False),
    ):
        preferences, _ = decide_all(make_routes(a=(health, 10, duration), b=(1.0, 10, 99)))
        assert preferences == ({("a", WITHDRAWN)} if is_withdrawn else set())


def test_the_last_sites_are_not_withdrawn_nor_any_site_when_all_are_unhealthy():
    assert decide_all(make_routes(a=(0.0, 10, 99))) == (set(), {("a", SuppressionRule.ALL_UNHEALTHY)})
    assert decide_all(make_routes(a=(0.0, 5, 99), b=(0.1, 5, 99))) == (
        set(),
        {("a", "all ill"), ("b", "all ill")},
    )
    two_sites = msgspec.structs.replace(POLICY, min_sites=2)
    assert decide_all(make_routes(a=(0.0, 5, 99), b=(1.0, 5, 99)), policy=two_sites) == (
        set(),
        {("a", SuppressionRule.LAST_SITE)},
    )
    not_installed = make_routes(a=(0.0, 5, 99), b=(1.0, 5, 99))
    not_installed[1].installed = False  # not yet confirmed by its routing daemon, so it serves no clients
    assert decide_all(not_installed) == (set(), {("a", SuppressionRule.LAST_SITE)})


def test_a_withdrawal_needs_capacity_elsewhere_else_the_route_is_lowered():
    assert decide_all(make_routes(a=(0.2, 60, 99), b=(1.0, 10, 99)))[0] == {("a", WITHDRAWN)}
    assert decide_all(make_routes(a=(0.2, 60, 99), b=(1.0, 50, 99)))[0] == {("a", LOWERED)}
    assert decide_all(make_routes(a=(0.2, 60, 99), b=(1.0, 80, 99))) == (
        set(),
        {("a", SuppressionRule.NO_CAPACITY)},
    )


def test_cascading_withdrawals_are_stopped_by_the_limit_and_by_moved_load():
    routes = make_routes(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    # b was unhealthy before a was withdrawn, so it is lowered.
    assert decide_all(routes) == ({("a", WITHDRAWN), ("b", LOWERED)}, set())
    apply_change(POLICY, routes[0], decide(POLICY, routes, {}, 1000.0)[0][0], 1000.0)
    routes[1].unhealthy_since = 1001.0
    # b became unhealthy afterwards, so the load moved from a may be the cause.
    assert decide_all(routes, now=1020.0) == (set(), {("b", SuppressionRule.TOO_MANY)})
    routes[1].unhealthy_since = 901.0
    for change in decide(POLICY, routes, {}, 1001.0)[0]:
        apply_change(POLICY, routes[1], change, 1001.0)
    assert routes[1].preference is LOWERED
    assert decide_all(routes, now=1002.0) == (set(), {("b", SuppressionRule.TOO_MANY)})
    window_end = 1000.0 + POLICY.withdrawal_window
    assert decide_all(routes, now=window_end)[0] == {("b", WITHDRAWN)}
    routes = make_routes(a=(0.0, 20, 99), b=(0.1, 20, 99), c=(1.0, 20, 99), d=(1.0, 20, 99))
    limit_of_two = msgspec.structs.replace(POLICY, max_concurrent_withdrawals=2)
    assert decide_all(routes, policy=limit_of_two)[0] == {("a", WITHDRAWN), ("b", WITHDRAWN)}
    routes = make_routes(
        a=(0.0, 50, 99), b=(0.1, 50, 99), c=(1.0, 30, 99)
    )  # no capacity is left for the second site
    assert decide_all(routes, policy=limit_of_two) == (
        {("a", WITHDRAWN)},
        {("b", SuppressionRule.NO_CAPACITY)},
    )


def test_a_site_is_restored_in_steps_and_later_with_each_flap():
    a, b = make_routes(a=(1.0, 0, 0), b=(1.0, 10, 99))
    now, delays = 1000.0, []
    for _ in range(4):
        a.observe(0.0, "", POLICY, now)
        changes, _ = decide(POLICY, [a, b], {}, now + 3.0)
        assert [change.preference for change in changes] == [WITHDRAWN]
        apply_change(POLICY, a, changes[0], now + 3.0)
        now += 3.0
        a.observe(1.0, "", POLICY, now)
        healthy_at = now
        while a.preference is WITHDRAWN:
            now += 0.5
            for change in decide(POLICY, [a, b], {}, now)[0]:
                apply_change(POLICY, a, change, now)
        delays.append(now - healthy_at)
        assert a.preference is LOWERED
        while a.preference is LOWERED:
            now += 0.5
            for change in decide(POLICY, [a, b], {}, now)[0]:
                apply_change(POLICY, a, change, now)
        now += 31.0  # past the window of the withdrawal limit
        a.installed = True
    assert (
        delays[0] == pytest.approx(20, abs=1) and delays[1] < delays[2] < delays[3] <= POLICY.max_healthy_for
    )
    assert Hysteresis(POLICY).restore_delay(a, now + 3000) == POLICY.healthy_for  # flaps decay over time


def test_the_healthiest_withdrawn_site_is_restored_at_once_if_no_other_is_advertised():
    a, b, c = make_routes(a=(1.0, 10, 1), b=(0.9, 10, 1), c=(0.0, 10, 99))
    for route in (a, b):
        route.preference, route.cause, route.changed_at = WITHDRAWN, Cause.HEALTH, 999.0
    assert decide_all([a, b, c])[0] == {("a", ADVERTISED)}


def test_overrides_drain_in_steps_pin_and_exclude_but_never_withdraw_the_last_site():
    a, b = make_routes(a=(1.0, 10, 99), b=(1.0, 10, 99))
    drain = {("x", "a"): ActiveOverrides(drain="op: work")}
    a.arrival_rate = 4.0
    changes, _ = decide(POLICY, [a, b], drain, 1000.0)
    assert [(change.preference, change.cause) for change in changes] == [(LOWERED, Cause.OVERRIDE)]
    apply_change(POLICY, a, changes[0], 1000.0)
    a.arrival_rate = 2.0
    assert decide_all([a, b], drain, 1010.0)[0] == set()  # new sessions still arrive
    a.arrival_rate = 0.3
    assert decide_all([a, b], drain, 1010.0)[0] == {("a", WITHDRAWN)}
    a.arrival_rate = 2.0
    assert decide_all([a, b], drain, 1000.0 + POLICY.drain_for)[0] == {("a", WITHDRAWN)}
    drain_and_exclude = drain | {("x", "b"): ActiveOverrides(exclude="op: no")}
    a, b = make_routes(a=(1.0, 10, 99), b=(1.0, 10, 99))
    changes, suppressed = decide_all([a, b], drain_and_exclude)
    assert len(changes) == 1 and len(suppressed) == 1
    assert next(iter(suppressed))[1] in (SuppressionRule.LAST_SITE, SuppressionRule.NO_CAPACITY)
    pinned = {("x", "a"): ActiveOverrides(pin="op: keep")}
    a, b = make_routes(a=(0.0, 10, 99), b=(1.0, 10, 99))
    assert decide_all([a, b], pinned) == (set(), {("a", SuppressionRule.PINNED)})


def test_a_restored_site_does_not_count_as_advertising_until_its_daemon_has_confirmed_the_route():
    """The last advertising site was withdrawn while the announcer of the site to restore was stopped."""
    a, b = make_routes(a=(0.0, 10, 99), b=(1.0, 10, 99))
    b.preference, b.cause = WITHDRAWN, Cause.OVERRIDE
    (restore,) = decide(POLICY, [a, b], {}, 1000.0)[0]
    assert (restore.site, restore.preference) == ("b", ADVERTISED)
    apply_change(POLICY, b, restore, 1000.0)
    assert decide_all([a, b], now=1001.0) == (set(), {("a", SuppressionRule.LAST_SITE)})
    b.installed = True
    assert decide_all([a, b], now=1001.0)[0] == {("a", WITHDRAWN)}


def test_no_change_is_decided_for_an_unreachable_site():
    a, b = make_routes(a=(0.0, 10, 99), b=(1.0, 10, 99))
    a.reachable = False
    assert decide_all([a, b]) == (set(), set())


def test_a_drain_of_a_withdrawn_site_shows_why_its_open_connections_cannot_move():
    """The drain had no effect and showed no reason, since the route itself was withdrawn already."""
    drain = {("x", "a"): ActiveOverrides(drain="op: work")}
    for load_elsewhere, suppressed in ((10, set()), (80, {("a", SuppressionRule.NO_CAPACITY)})):
        a, b = make_routes(a=(0.0, 60, 99), b=(1.0, load_elsewhere, 99))
        a.preference, a.cause = WITHDRAWN, Cause.HEALTH
        assert decide_all([a, b], drain) == (set(), suppressed)
    a.cause = Cause.OVERRIDE  # withdrawn by the drain itself, whose obstacles were checked before
    assert decide_all([a, b], drain) == (set(), set())
