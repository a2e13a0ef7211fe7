"""Decodes the settings object of the configuration and of the simulator's protocol.

Durations are encoded in nanoseconds and decoded to seconds. Each error names the setting, the expected value
and the value found.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from onyxhollow.interface import DeduplicationScope, Idempotency, Listener, Settings, Tenant

NANOSECONDS_PER_SECOND = 1e9
DISCOVERY_MODES = ("on_request", "pushed")
WEIGHT_KINDS = ("none", "nominal", "rough", "live")
IDEMPOTENCY_BY_SEMANTICS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
HEALTH_CHECK_REPORTS = ("probe", "answers")  # kinds of load reports that answer a health check
LOAD_FIELD = "x0"  # the only field of a load report that can hold load over capacity


class WireError(Exception):
    """A message or setting that does not follow the protocol."""


class SettingError(WireError):
    """A setting that is missing or has an invalid value."""


def check_integer(value: Any, place: str, minimum: int = 0) -> int:
    """Return the value if it is an integer of at least `minimum`.

    Raises:
        SettingError: It is not. The message starts with `place`.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
        raise SettingError(f"{place}: expected a whole number from {minimum}, got {value!r}")
    return value


def get_number(
    values: Mapping[str, Any], name: str, default: float | None = None, minimum: float = 0.0
) -> float:
    """Return the finite number under `name`, or the default if it is missing.

    Raises:
        SettingError: It is not a number of at least `minimum`, or is missing without a default.
    """
    value = values.get(name)
    if value is None:
        if default is None:
            raise SettingError(f"setting {name}: expected a number, got nothing")
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < math.inf:
        raise SettingError(f"setting {name}: expected a number from {minimum:g}, got {value!r}")
    return float(value)


def get_seconds(values: Mapping[str, Any], name: str, default: float | None = None) -> float:
    """Return a duration in seconds, decoded from nanoseconds. The default is in seconds.

    Raises:
        SettingError: As `get_number`.
    """
    return (
        get_number(values, name, None if default is None else default * NANOSECONDS_PER_SECOND)
        / NANOSECONDS_PER_SECOND
    )


def get_object(values: Mapping[str, Any], name: str, required: bool = False) -> Mapping[str, Any]:
    """Return the object under `name`; an empty one if it is missing and not required.

    Raises:
        SettingError: It is not an object, or is missing although required.
    """
    value = values.get(name)
    if value is None:
        if required:
            raise SettingError(f"setting {name}: expected an object, got nothing")
        return {}
    if not isinstance(value, Mapping):
        raise SettingError(f"setting {name}: expected an object, got {value!r:.40}")
    return value


def get_object_list(values: Mapping[str, Any], name: str, required: bool = False) -> list[Mapping[str, Any]]:
    """Return the list of objects under `name`; an empty one if it is missing and not required.

    Raises:
        SettingError: It is not a list of objects, or is missing although required.
    """
    value = values.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list) or not all(isinstance(row, Mapping) for row in value):
        found = "nothing" if value is None else f"{value!r:.40}"
        raise SettingError(f"setting {name}: expected a list of objects, got {found}")
    return value


def get_text(values: Mapping[str, Any], name: str, default: str | None = None) -> str:
    """Return the text under `name`, or the default if it is missing.

    Raises:
        SettingError: It is not a text, or is missing without a default.
    """
    value = values.get(name, default)
    if not isinstance(value, str):
        found = "nothing" if value is None else f"{value!r:.40}"
        raise SettingError(f"setting {name}: expected text, got {found}")
    return value


def get_choice(
    values: Mapping[str, Any], name: str, choices: Iterable[str], default: str | None = None
) -> str:
    """Return the text under `name`, which has to be one of the choices.

    Raises:
        SettingError: It is not one of them, or is missing without a default.
    """
    value = get_text(values, name, default)
    allowed = list(choices)
    if value not in allowed:
        raise SettingError(f"setting {name}: expected one of {', '.join(allowed)}, got {value!r}")
    return value


def get_item(values: Any, index: int) -> Any:
    """Return the item at that index; None if `values` is not a list or is too short."""
    return values[index] if isinstance(values, list) and index < len(values) else None


def get_number_at(values: Mapping[str, Any], name: str, index: int) -> float:
    """Return the finite number from 0 at that index of the list under `name`; 0 if there is none.

    Raises:
        SettingError: It is not a number from 0. The message names the list and the index.
    """
    place = f"{name}[{index}]"
    return get_number({place: get_item(values.get(name), index)}, place, 0.0)


def read_listener(row: Mapping[str, Any], message_objective: float) -> Listener:
    """Decode one listener. The message objective is in seconds.

    Raises:
        SettingError: A value is missing or invalid.
    """
    semantics = get_choice(row, "semantics", IDEMPOTENCY_BY_SEMANTICS)
    scope = get_choice(row, "group", (choice.value for choice in DeduplicationScope), "all")
    return Listener(
        name=get_text(row, "name"),
        handshake_objective=get_number(row, "handshakeTargetNs", minimum=1.0) / NANOSECONDS_PER_SECOND,
        attempt_timeout=get_number(row, "dialTimeoutNs", minimum=1.0) / NANOSECONDS_PER_SECOND,
        utility=get_number(row, "utility", 1.0),
        idempotency=IDEMPOTENCY_BY_SEMANTICS[semantics],
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window=get_seconds(row, "windowNs", 0.0),
        message_objective=message_objective,
    )


def read_listeners(options: Mapping[str, Any], extra: Mapping[str, Any]) -> dict[str, Listener]:
    """Decode the listeners, by name.

    Raises:
        SettingError: A listener is invalid, or there is none.
    """
    listeners = []
    for index, row in enumerate(get_object_list(options, "listeners", required=True)):
        objective_ns = get_number_at(extra, "messageAimNs", index)
        listeners.append(read_listener(row, objective_ns / NANOSECONDS_PER_SECOND))
    if not listeners:
        raise SettingError("setting listeners: expected at least one listener, got none")
    return {listener.name: listener for listener in listeners}


def read_tenants(options: Mapping[str, Any], extra: Mapping[str, Any]) -> dict[str, Tenant]:
    """Decode the tenants, by name.

    Raises:
        SettingError: A value is missing or invalid.
    """
    tenants = []
    for index, row in enumerate(get_object_list(options, "tenants")):
        quota = get_number_at(extra, "tenantQuotaConnections", index)
        tenants.append(Tenant(get_text(row, "name"), get_number(row, "share", 0.0), quota))
    return {tenant.name: tenant for tenant in tenants}


def read_report_fields(options: Mapping[str, Any]) -> list[str]:
    """Return the names of the load report's fields, in the order of the report.

    Raises:
        SettingError: They are not a list of names.
    """
    fields = get_object(options, "report").get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise SettingError(f"setting fields: expected a list of names, got {fields!r:.40}")
    return fields


def read_settings(options: Any) -> tuple[Settings, list[str]]:
    """Decode the settings, and the names of the load report's fields.

    Raises:
        SettingError: A value is missing or invalid.
    """
    if not isinstance(options, Mapping):
        raise SettingError(f"settings: expected an object, got {options!r:.40}")
    ceilings = get_object(options, "ceilings")
    rules = get_object(options, "rules", required=True)
    extra = get_object(options, "extra")
    report = get_object(options, "report")
    listeners = read_listeners(options, extra)
    tenants = read_tenants(options, extra)
    discovery = get_choice(options, "discovery", DISCOVERY_MODES, "on_request")
    weights = get_choice(options, "weightKind", WEIGHT_KINDS, "nominal")
    fields = read_report_fields(options)
    reports_load = LOAD_FIELD in fields and "over" in str(extra.get("reportX0", ""))
    sends_retry_after = ceilings.get("retryAfter") is True
    settings = Settings(
        listeners=listeners,
        tenants=tenants,
        instance_index=int(get_number(options, "me", 0)),
        instance_count=int(get_number(options, "peersTotal", 1, minimum=1)),
        zone=get_text(options, "zone", ""),
        list_is_polled=discovery == "on_request",
        max_poll_interval=get_seconds(rules, "askWithinNs", 10.0),
        slow_start_share=get_number(rules, "coldShare", 1.0),
        slow_start_time=get_seconds(rules, "coldNs", 0.0),
        overload_multiple=get_number(rules, "fallMultiple", 1.0),
        overload_window=get_seconds(rules, "fallNs", 1.0),
        max_attempts=int(get_number(ceilings, "mostDials", 1, minimum=1)),
        health_checks=ceilings.get("probes") is True and report.get("how") in HEALTH_CHECK_REPORTS,
        health_check_price=get_number(get_object(options, "charges"), "probe", 0.0),
        cross_zone_price=get_number(get_object(options, "charges"), "crossZone", 0.0),
        cancellation=ceilings.get("cancelling") is True,
        max_retry_after=get_seconds(ceilings, "maxRetryAfterNs", 0.0) if sends_retry_after else 0.0,
        over_quota_utility=get_number(options, "overageUtility", 1.0),
        group_affinity=extra.get("groups") is True,
        live_weights=weights == "live",
        load_field=LOAD_FIELD if reports_load else "",
    )
    return settings, fields
