"""Decodes the settings object of the wire."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from onyxhollow.interface import DeduplicationScope, Idempotency, Listener, Settings, Tenant

DISCOVERY = ("on_request", "pushed")
WEIGHTS = ("none", "nominal", "rough", "live")
REPEATS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


class WireError(Exception):
    """A line that does not follow the wire."""


def whole(value: Any, what: str, low: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < low:
        raise WireError(f"{what}: expected a whole number from {low}, got {value!r}")
    return value


def number(values: Mapping[str, Any], name: str, default: float | None = None, low: float = 0.0) -> float:
    value = values.get(name)
    if value is None:
        if default is None:
            raise WireError(f"missing setting {name}: expected a number")
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < float("inf"):
        raise WireError(f"setting {name}: expected a number from {low:g}, got {value!r}")
    return float(value)


def seconds(values: Mapping[str, Any], name: str, default: float | None = None) -> float:
    return number(values, name, None if default is None else default * 1e9) / 1e9


def section(values: Mapping[str, Any], name: str, needed: bool = False) -> Mapping[str, Any]:
    value = values.get(name)
    if value is None and not needed:
        return {}
    if not isinstance(value, Mapping):
        said = f"missing setting {name}: expected an object"
        raise WireError(said if value is None else f"setting {name}: expected an object, got {value!r:.40}")
    return value


def rows(values: Mapping[str, Any], name: str, needed: bool = False) -> list[Mapping[str, Any]]:
    value = values.get(name)
    if value is None and not needed:
        return []
    if not isinstance(value, list) or not all(isinstance(row, Mapping) for row in value):
        got = "nothing" if value is None else f"{value!r:.40}"
        raise WireError(f"setting {name}: expected a list of objects, got {got}")
    return value


def text(values: Mapping[str, Any], name: str, default: str | None = None) -> str:
    value = values.get(name, default)
    if not isinstance(value, str):
        got = "nothing" if value is None else f"{value!r:.40}"
        raise WireError(f"setting {name}: expected text, got {got}")
    return value


def one_of(values: Mapping[str, Any], name: str, choices: Iterable[str], default: str | None = None) -> str:
    value, known = text(values, name, default), list(choices)
    if value not in known:
        raise WireError(f"setting {name}: expected one of {', '.join(known)}, got {value!r}")
    return value


def read_listener(row: Mapping[str, Any], message_target: float) -> Listener:
    semantics = one_of(row, "semantics", REPEATS)
    scope = one_of(row, "group", (s.value for s in DeduplicationScope), "all")
    return Listener(
        name=text(row, "name"),
        handshake_objective=number(row, "handshakeTargetNs", low=1.0) / 1e9,
        attempt_timeout=number(row, "dialTimeoutNs", low=1.0) / 1e9,
        utility=number(row, "utility", 1.0),
        idempotency=REPEATS[semantics],
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window=seconds(row, "windowNs", 0.0),
        message_objective=message_target,
    )


def read_settings(options: Any) -> tuple[Settings, list[str]]:
    """The settings and the names of the load report's fields."""
    if not isinstance(options, Mapping):
        raise WireError("settings: expected an object")
    ceilings, rules = section(options, "ceilings"), section(options, "rules", needed=True)
    extra, report = section(options, "extra"), section(options, "report")
    targets = extra.get("messageAimNs") or []
    listeners = []
    for place, row in enumerate(rows(options, "listeners", needed=True)):
        told = targets[place] if isinstance(targets, list) and place < len(targets) else 0
        listeners.append(read_listener(row, told / 1e9 if isinstance(told, int | float) else 0.0))
    if not listeners:
        raise WireError("setting listeners: expected one at least, got none")
    quotas = extra.get("tenantQuotaConnections") or []
    customers = []
    for place, row in enumerate(rows(options, "tenants")):
        quota = {"quota": quotas[place] if isinstance(quotas, list) and place < len(quotas) else None}
        customers.append(Tenant(text(row, "name"), number(row, "share", 0.0), number(quota, "quota", 0.0)))
    discovery = one_of(options, "discovery", DISCOVERY, "on_request")
    weights = one_of(options, "weightKind", WEIGHTS, "nominal")
    fields = report.get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise WireError("setting fields: not a list of names")
    load_field = "x0" if "x0" in fields and "over" in str(extra.get("reportX0", "")) else ""
    settings = Settings(
        listeners={row.name: row for row in listeners},
        tenants={row.name: row for row in customers},
        instance_index=int(number(options, "me", 0)),
        instance_count=int(number(options, "peersTotal", 1, low=1)),
        zone=text(options, "zone", ""),
        list_is_polled=discovery == "on_request",
        max_poll_interval=seconds(rules, "askWithinNs", 10.0),
        slow_start_share=number(rules, "coldShare", 1.0),
        slow_start_time=seconds(rules, "coldNs", 0.0),
        overload_multiple=number(rules, "fallMultiple", 1.0),
        overload_window=seconds(rules, "fallNs", 1.0),
        max_attempts=int(number(ceilings, "mostDials", 1, low=1)),
        health_checks=ceilings.get("probes") is True and report.get("how") in ("probe", "answers"),
        health_check_price=number(section(options, "charges"), "probe", 0.0),
        cross_zone_price=number(section(options, "charges"), "crossZone", 0.0),
        cancellation=ceilings.get("cancelling") is True,
        max_retry_after=seconds(ceilings, "maxRetryAfterNs", 0.0)
        if ceilings.get("retryAfter") is True
        else 0.0,
        over_quota_utility=number(options, "overageUtility", 1.0),
        group_affinity=extra.get("groups") is True,
        live_weights=weights == "live",
        load_field=load_field,
    )
    return settings, fields
