"""JSON responses about the controller: the view of all routes, and the plan of an override. No I/O.

The keys are part of the management API (`/control/addresses`) and independent of the attributes' names.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from onyxhollow.addresses.controller import Controller
from onyxhollow.addresses.messages import DecisionRecord, Override
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.addresses.routes import (
    MAX_AGE_SECONDS,
    NO_OVERRIDES,
    ActiveOverrides,
    Preference,
    RouteChange,
    RouteState,
    SuppressedChange,
)
from onyxhollow.addresses.rules import DecisionRound, decide

UNKNOWN_PREFERENCE = "unknown"  # the site has not reported its state to this controller
JsonObject = dict[str, Any]


def view(controller: Controller, now: float) -> JsonObject:
    """Return the state of all routes and the inputs of the controller's decisions."""
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
    """Return one route of the view."""
    # A site without running members never reports to a new controller. The preference of its routes is
    # then unknown, which differs from withdrawn.
    is_known = route.key in controller.reported_routes
    return {
        "address": route.address,
        "site": route.site,
        "standing": route.preference.label if is_known else UNKNOWN_PREFERENCE,
        "cause": route.cause,
        "for": round(max(0.0, min(MAX_AGE_SECONDS, now - route.changed_at)), 1),
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
    """Return the rule that forbids a change, and its reason."""
    return f"{change.rule}: {change.reason}"


def plan(controller: Controller, override: Override, now: float, wall: float) -> JsonObject:
    """Return what an override would change and where sessions would move, without applying it."""
    log = OverrideLog()
    for logged in [*controller.overrides.overrides.values(), override]:
        log.add(logged, now, wall)
    overrides = log.active({address for address, _ in controller.routes}, controller.capacity, now)
    routes = {key: replace(route) for key, route in controller.routes.items()}
    changes, suppressed = decide(controller.policy, routes.values(), overrides, now)
    changes_without, _ = decide(controller.policy, routes.values(), controller.active_overrides(now), now)
    expected = {(change.address, change.site): change.preference for change in changes_without}
    planned_round = DecisionRound(controller.policy, routes.values(), overrides, now)
    return {
        "would": [
            plan_row(change, routes[change.address, change.site], planned_round)
            for change in changes
            if expected.get((change.address, change.site))
            is not change.preference  # else it is made without the override too
        ],
        "hindered": [
            {"address": change.address, "site": change.site, "why": describe_suppressed(change)}
            for change in suppressed
            if change.site == override.site
        ],
        "term": controller.term,
    }


def plan_row(change: RouteChange, route: RouteState, planned_round: DecisionRound) -> JsonObject:
    """Return one change of a plan, with the sites that its sessions would move to.

    The route must be one of those of the round, which leaves out this very object as a receiver.
    """
    receivers = planned_round.usable_advertisers(route)
    moves_sessions = change.preference is not Preference.ADVERTISED
    return {
        "address": change.address,
        "site": change.site,
        "standing": change.preference.label,
        "why": change.reason,
        "load": route.load,
        "goes_to": {receiver.site: round(route.load / len(receivers), 1) for receiver in receivers}
        if moves_sessions
        else {},
    }


def decision_to_json(record: DecisionRecord) -> JsonObject:
    """Return a decision as an entry of the history."""
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
    """Return an override as an entry of the history."""
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
