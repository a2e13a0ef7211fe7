"""Decodes the settings object of the wire, which names its keys as the operators' pages do.

Spans on the wire are nanoseconds; here all times are seconds. Each error names the setting, what was expected
and what was found.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from onyxhollow.interface import DeduplicationScope, Idempotency, Listener, Settings, Tenant

NANOSECONDS = 1e9  # in a second
DISCOVERY = ("on_request", "pushed")
WEIGHTS = ("none", "nominal", "rough", "live")
SEMANTICS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
REPORTING = ("probe", "answers")  # ways of reporting load that a health check gets an answer by
LOAD_FIELD = "x0"  # the report's field that may hold load over capacity


class WireError(Exception):
    """A line that does not follow the wire."""


class SettingError(WireError):
    """A value that is missing, or is not what its setting expects."""


def check_integer(value: Any, what: str, low: int = 0) -> int:
    """Return an integer from `low`.

    Raises:
        SettingError: it is none; the text begins with `what`.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < low:
        raise SettingError(f"{what}: expected a whole number from {low}, got {value!r}")
    return value


def get_number(values: Mapping[str, Any], name: str, default: float | None = None, low: float = 0.0) -> float:
    """Return a finite number from `low`.

    Raises:
        SettingError: it is none, or missing without a default.
    """
    value = values.get(name)
    if value is None:
        if default is None:
            raise SettingError(f"missing setting {name}: expected a number")
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < math.inf:
        raise SettingError(f"setting {name}: expected a number from {low:g}, got {value!r}")
    return float(value)


def get_seconds(values: Mapping[str, Any], name: str, default: float | None = None) -> float:
    """Return a span in seconds, given in nanoseconds; the default is in seconds. Raises SettingError."""
    return get_number(values, name, None if default is None else default * NANOSECONDS) / NANOSECONDS


def get_object(values: Mapping[str, Any], name: str, required: bool = False) -> Mapping[str, Any]:
    """Return an object, empty if it is missing and not needed.

    Raises:
        SettingError: it is none, or missing though needed.
    """
    value = values.get(name)
    if value is None:
        if required:
            raise SettingError(f"missing setting {name}: expected an object")
        return {}
    if not isinstance(value, Mapping):
        raise SettingError(f"setting {name}: expected an object, got {value!r:.40}")
    return value


def get_object_list(values: Mapping[str, Any], name: str, required: bool = False) -> list[Mapping[str, Any]]:
    """Return a list of objects, empty if it is missing and not needed.

    Raises:
        SettingError: it is none, or missing though needed.
    """
    value = values.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list) or not all(isinstance(row, Mapping) for row in value):
        got = "nothing" if value is None else f"{value!r:.40}"
        raise SettingError(f"setting {name}: expected a list of objects, got {got}")
    return value


def get_text(values: Mapping[str, Any], name: str, default: str | None = None) -> str:
    """Return a text.

    Raises:
        SettingError: it is none, or missing without a default.
    """
    value = values.get(name, default)
    if not isinstance(value, str):
        got = "nothing" if value is None else f"{value!r:.40}"
        raise SettingError(f"setting {name}: expected text, got {got}")
    return value


def get_choice(
    values: Mapping[str, Any], name: str, choices: Iterable[str], default: str | None = None
) -> str:
    """Return a text that is one of the choices.

    Raises:
        SettingError: it is none of them, or missing without a default.
    """
    value = get_text(values, name, default)
    known = list(choices)
    if value not in known:
        raise SettingError(f"setting {name}: expected one of {', '.join(known)}, got {value!r}")
    return value


def get_item(values: Any, place: int) -> Any:
    """Return the item at that place, None if the values are no list or too short."""
    return values[place] if isinstance(values, list) and place < len(values) else None


def read_listener(row: Mapping[str, Any], message_objective: float) -> Listener:
    """Return one listener; the message objective is in seconds. Raises SettingError."""
    semantics = get_choice(row, "semantics", SEMANTICS)
    scope = get_choice(row, "group", (choice.value for choice in DeduplicationScope), "all")
    return Listener(
        name=get_text(row, "name"),
        handshake_objective=get_number(row, "handshakeTargetNs", low=1.0) / NANOSECONDS,
        attempt_timeout=get_number(row, "dialTimeoutNs", low=1.0) / NANOSECONDS,
        utility=get_number(row, "utility", 1.0),
        idempotency=SEMANTICS[semantics],
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window=get_seconds(row, "windowNs", 0.0),
        message_objective=message_objective,
    )


def read_listeners(options: Mapping[str, Any], extra: Mapping[str, Any]) -> dict[str, Listener]:
    """Return the listeners by name.

    Raises:
        SettingError: one is not as expected, or there is none.
    """
    listeners = []
    for place, row in enumerate(get_object_list(options, "listeners", required=True)):
        objective = get_item(extra.get("messageAimNs"), place) or 0
        objective = objective / NANOSECONDS if isinstance(objective, int | float) else 0.0
        listeners.append(read_listener(row, objective))
    if not listeners:
        raise SettingError("setting listeners: expected one at least, got none")
    return {listener.name: listener for listener in listeners}


def read_tenants(options: Mapping[str, Any], extra: Mapping[str, Any]) -> dict[str, Tenant]:
    """Return the tenants by name. Raises SettingError."""
    tenants = []
    for place, row in enumerate(get_object_list(options, "tenants")):
        quota = {"quota": get_item(extra.get("tenantQuotaConnections"), place)}
        tenants.append(
            Tenant(get_text(row, "name"), get_number(row, "share", 0.0), get_number(quota, "quota", 0.0))
        )
    return {tenant.name: tenant for tenant in tenants}


def read_report_fields(options: Mapping[str, Any]) -> list[str]:
    """Return the names of the load report's fields, in their order.

    Raises:
        SettingError: they are no list of names.
    """
    fields = get_object(options, "report").get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise SettingError("setting fields: not a list of names")
    return fields


def read_settings(options: Any) -> tuple[Settings, list[str]]:
    """Return the settings, and the names of the load report's fields.

    Raises:
        SettingError: a value is missing, or is not what its setting expects.
    """
    if not isinstance(options, Mapping):
        raise SettingError("settings: expected an object")
    ceilings = get_object(options, "ceilings")
    rules = get_object(options, "rules", required=True)
    extra = get_object(options, "extra")
    report = get_object(options, "report")
    listeners = read_listeners(options, extra)
    tenants = read_tenants(options, extra)
    discovery = get_choice(options, "discovery", DISCOVERY, "on_request")
    weights = get_choice(options, "weightKind", WEIGHTS, "nominal")
    fields = read_report_fields(options)
    reports_load = LOAD_FIELD in fields and "over" in str(extra.get("reportX0", ""))
    heeds_retry_after = ceilings.get("retryAfter") is True
    settings = Settings(
        listeners=listeners,
        tenants=tenants,
        instance_index=int(get_number(options, "me", 0)),
        instance_count=int(get_number(options, "peersTotal", 1, low=1)),
        zone=get_text(options, "zone", ""),
        list_is_polled=discovery == "on_request",
        max_poll_interval=get_seconds(rules, "askWithinNs", 10.0),
        slow_start_share=get_number(rules, "coldShare", 1.0),
        slow_start_time=get_seconds(rules, "coldNs", 0.0),
        overload_multiple=get_number(rules, "fallMultiple", 1.0),
        overload_window=get_seconds(rules, "fallNs", 1.0),
        max_attempts=int(get_number(ceilings, "mostDials", 1, low=1)),
        health_checks=ceilings.get("probes") is True and report.get("how") in REPORTING,
        health_check_price=get_number(get_object(options, "charges"), "probe", 0.0),
        cross_zone_price=get_number(get_object(options, "charges"), "crossZone", 0.0),
        cancellation=ceilings.get("cancelling") is True,
        max_retry_after=get_seconds(ceilings, "maxRetryAfterNs", 0.0) if heeds_retry_after else 0.0,
        over_quota_utility=get_number(options, "overageUtility", 1.0),
        group_affinity=extra.get("groups") is True,
        live_weights=weights == "live",
        load_field=LOAD_FIELD if reports_load else "",
    )
    return settings, fields
