"""Tests of the controller's messages and its view."""

from address_support import ADVERTISED, POLICY, WITHDRAWN

from onyxhollow.addresses import file
from onyxhollow.addresses.announcer import Announcer, GuardedRoute, GuardState
from onyxhollow.addresses.controller import Controller, ToVoter
from onyxhollow.addresses.controller_views import plan, view
from onyxhollow.addresses.messages import (
    AddressHealth,
    HealthReport,
    Override,
    OverrideQuery,
    OverrideResponse,
    RouteAssignment,
    RouteStatus,
    SiteReport,
    StoreAcknowledgement,
    StoreRequest,
    encode,
    paginate,
    record_id,
    truncate_utf8,
)


def test_every_message_fits_into_a_datagram_however_many_routes_there_are():
    """A message with eight decisions exceeded a datagram: it was never sent, and the controller hung."""
    name = "n" * 60
    names = [f"{name}{number:02}" for number in range(24)]
    config = file.AddressesFile(
        services=[
            file.Service(name=address, prefix=f"198.51.100.{number}/32")
            for number, address in enumerate(names)
        ],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    controller = Controller(config, ("v0", "v1", "v2"), 1, 0.0)
    for number in range(120):
        now, outbox, controller.outbox = number * 0.5, controller.outbox, []
        for outgoing in outbox:
            message = outgoing.message
            assert len(encode(message)) < 1000
            voter = outgoing.voter if isinstance(outgoing, ToVoter) else ""
            if isinstance(message, OverrideQuery):
                controller.on_message(OverrideResponse(voter, message.digest, 0, []), voter, now, now)
            elif isinstance(message, StoreRequest):
                controller.on_message(
                    StoreAcknowledgement(voter, [record_id(row) for row in message.rows]), voter, now, now
                )
        for site in "ab":
            statuses = [
                RouteStatus(key[0], int(route.preference), route.cause, 0.0, 0.0)
                for key, route in controller.routes.items()
                if key[1] == site
            ]
            for rows in paginate(statuses):
                controller.on_message(SiteReport(site, 1, number, 1, True, rows), f"{site}0", now, now)
                controller.tick(now, now)  # also between two pages, while some routes are not reported yet
            health_rows = [AddressHealth(address, 1.0, "w" * 200, 1.0, 1.0) for address in names]
            for member in ("0", "1", "2"):
                controller.on_message(HealthReport(site, health_rows), f"{site}{member}", now, now)
        controller.tick(now, now)
    assert {route.preference for route in controller.routes.values()} == {ADVERTISED}
    assert not controller.pending
    truncated = truncate_utf8("\N{LATIN SMALL LETTER U WITH DIAERESIS}" * 9, 5)
    assert truncated == "\N{LATIN SMALL LETTER U WITH DIAERESIS}" * 2


def test_a_new_controller_shows_a_route_as_unknown_until_its_site_has_reported():
    """A site without running members never reported to a new controller, which showed it as withdrawn."""
    config = file.AddressesFile(
        services=[file.Service(name="x", prefix="198.51.100.1/32")],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    controller = Controller(config, ("v0",), 2, 0.0)
    controller.on_message(
        SiteReport("a", 2, 1, 1, True, [RouteStatus("x", int(ADVERTISED), "", 0.0, 0.0)]), "a0", 1.0, 1.0
    )
    preferences = {row["site"]: row["standing"] for row in view(controller, 1.0)["rows"]}
    assert preferences == {"a": "advertised", "b": "unknown"}
    controller.on_message(
        SiteReport("b", 2, 1, 1, True, [RouteStatus("x", int(WITHDRAWN), "health", 0.0, 0.0)]), "b0", 2.0, 2.0
    )
    assert {row["site"]: row["standing"] for row in view(controller, 2.0)["rows"]}["b"] == "withdrawn"


def test_a_plan_divides_the_sessions_of_a_drained_site_among_the_other_sites_alone():
    """The plan counted the drained site among the receivers, and showed too few sessions for the others."""
    config = file.AddressesFile(
        services=[file.Service(name="x", prefix="198.51.100.1/32")],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1", capacity=100.0) for site in "abc"],
        policy=POLICY,
    )
    controller = Controller(config, ("v0",), 1, 0.0)
    for site in "abc":
        status = RouteStatus("x", int(ADVERTISED), "", 0.0, 0.0)
        controller.on_message(SiteReport(site, 1, 1, 1, True, [status]), f"{site}0", 1.0, 1.0)
        health = AddressHealth("x", 1.0, "", 30.0, 1.0)
        controller.on_message(HealthReport(site, [health]), f"{site}0", 1.0, 1.0)
    controller.tick(1.0, 1.0)
    drain = Override("1-1", 1, "drain", "", "a", "op", "power", 1.0, 0.0)
    (row,) = plan(controller, drain, 1.0, 1.0)["would"]
    assert row["site"] == "a" and row["goes_to"] == {"b": 15.0, "c": 15.0}


def test_a_new_controller_assigns_no_route_that_its_site_has_not_reported_yet():
    """Between two pages of a site's report, the routes of the second page were assigned as withdrawn."""
    names = [f"address-{number:03}" for number in range(40)]
    config = file.AddressesFile(
        services=[file.Service(name=name, prefix=f"198.51.100.{n}/32") for n, name in enumerate(names)],
        sites=[file.Site(name=site, route_guard="127.0.0.1:1") for site in "ab"],
        policy=POLICY,
    )
    controller = Controller(config, ("v0",), 1, 0.0)
    statuses = [RouteStatus(name, int(ADVERTISED), "", 0.0, 0.0) for name in names]
    first_page, *other_pages = paginate(statuses)
    assert other_pages
    controller.on_message(SiteReport("a", 1, 1, 1, True, first_page), "a0", 1.0, 1.0)
    controller.tick(1.0, 1.0)
    assigned = [row for outgoing in controller.outbox for row in getattr(outgoing.message, "rows", [])]
    assert {row.address for row in assigned} == {row.address for row in first_page}
    assert {row.preference for row in assigned} == {int(ADVERTISED)}
    announcer = Announcer(config, config.sites[0], 1, 0.0)
    guarded = {name: GuardedRoute(ADVERTISED, ADVERTISED) for name in names}
    announcer.on_guard_state(GuardState(guarded, 1, True), 0.5)
    for outgoing in controller.outbox:
        if isinstance(outgoing.message, RouteAssignment):
            announcer.on_assignment(outgoing.message, 1.0)
    assert announcer.pending_routes() == []  # no route changes at the guard
