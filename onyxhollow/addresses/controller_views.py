"""What operators are shown of the controller: the view of all routes, and the plan of an override. Pure.

The keys are those of `/control/addresses`; they stay whatever the attributes are called.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from onyxhollow.addresses.controller import Controller
from onyxhollow.addresses.messages import DecisionRecord, Override
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.addresses.routes import (
    MAX_AGE,
    NO_OVERRIDES,
    ActiveOverrides,
    Preference,
    RouteChange,
    RouteState,
    SuppressedChange,
)
from onyxhollow.addresses.rules import DecisionRound, decide

UNKNOWN = "unknown"  # the site has not reported its state to this controller
JsonObject = dict[str, Any]


def view(controller: Controller, now: float) -> JsonObject:
    """All that the controller goes by."""
    suppressed = {(change.address, change.site): change for change in controller.suppressed}
    overrides = controller.active_overrides(now)
    return {
        "term": controller.term,
        "ready": controller.ready(now),
        "rows": [
            view_route(controller, route, suppressed.get(key), overrides.get(key, NO_OVERRIDES), now)
            for key, route in sorted(controller.routes.items())
        ],
        "counts": dict(controller.counts),
        "waiting": len(controller.pending),
    }


def view_route(
    controller: Controller,
    route: RouteState,
    suppressed: SuppressedChange | None,
    overrides: ActiveOverrides,
    now: float,
) -> JsonObject:
    """One route."""
    # A new controller may never hear from a site whose members are all gone: its preference is not known
    # then, which is not the same as withdrawn.
    is_known = route.key in controller.reported_routes
    return {
        "address": route.address,
        "site": route.site,
        "standing": route.preference.label if is_known else UNKNOWN,
        "cause": route.cause,
        "for": round(max(0.0, min(MAX_AGE, now - route.since)), 1),
        "reached": route.reachable,
        "carried": route.installed,
        "health": None if route.health is None else round(route.health, 3),
        "evidence": route.health_reason,
        "load": route.load,
        "coming": round(route.arrival_rate, 2),
        "capacity": route.capacity,
        "flaps": round(route.flap_penalty(controller.policy, now), 2),
        "stays": describe_suppressed(suppressed) if suppressed else "",
        "last": controller.is_last(route, now),
        "drain": overrides.drain,
        "pin": overrides.pin,
        "exclude": overrides.exclude,
    }


def describe_suppressed(change: SuppressedChange) -> str:
    """The rule and its reason."""
    return f"{change.rule}: {change.reason}"


def plan(controller: Controller, override: Override, now: float, wall: float) -> JsonObject:
    """What an override would change, and where sessions would move; nothing is changed."""
    log = OverrideLog()
    for known in [*controller.overrides.overrides.values(), override]:
        log.add(known, now, wall)
    overrides = log.active({address for address, _ in controller.routes}, controller.capacity, now)
    routes = [replace(route) for route in controller.routes.values()]
    changes, suppressed = decide(controller.policy, routes, overrides, now)
    without, _ = decide(controller.policy, routes, controller.active_overrides(now), now)
    expected = {(change.address, change.site): change.preference for change in without}
    what_if = DecisionRound(controller.policy, routes, overrides, now)
    return {
        "would": [
            plan_row(change, controller.routes[change.address, change.site], what_if)
            for change in changes
            if expected.get((change.address, change.site)) is not change.preference  # else it comes anyway
        ],
        "hindered": [
            {"address": change.address, "site": change.site, "why": describe_suppressed(change)}
            for change in suppressed
            if change.site == override.site
        ],
        "term": controller.term,
    }


def plan_row(change: RouteChange, route: RouteState, what_if: DecisionRound) -> JsonObject:
    """One change of a plan, and the sites that its sessions move to."""
    receivers = what_if.usable_advertisers(route)
    moves = change.preference is not Preference.ADVERTISED
    return {
        "address": change.address,
        "site": change.site,
        "standing": change.preference.label,
        "why": change.reason,
        "load": route.load,
        "goes_to": {one.site: round(route.load / len(receivers), 1) for one in receivers} if moves else {},
    }


def decision_to_json(record: DecisionRecord) -> JsonObject:
    """A line of the history."""
    return {
        "term": record.term,
        "number": record.number,
        "at": record.decided_at,
        "address": record.address,
        "site": record.site,
        "standing": record.preference,
        "cause": record.cause,
        "why": record.reason,
        "evidence": record.evidence,
    }


def override_to_json(override: Override) -> JsonObject:
    """An override of the history."""
    return {
        "id": override.id,
        "number": override.number,
        "verb": override.verb,
        "address": override.address,
        "site": override.site,
        "who": override.operator,
        "why": override.reason,
        "given": override.given_at,
        "until": override.expires_at,
    }
