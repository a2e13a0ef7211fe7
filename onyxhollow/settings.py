"""Decodes the settings object of the wire."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from onyxhollow.interface import Customer, Listener, Repeat, Scope, Settings

DISCOVERY = ("on_request", "pushed")
WEIGHTS = ("none", "nominal", "rough", "live")
REPEATS = {
    "read_like": Repeat.REPEATABLE,
    "idempotency_key": Repeat.REFERENCED,
    "non_idempotent": Repeat.ONCE_ONLY,
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
    scope = one_of(row, "group", (s.value for s in Scope), "all")
    return Listener(
        name=text(row, "name"),
        handshake_target=number(row, "handshakeTargetNs", low=1.0) / 1e9,
        dial_timeout=number(row, "dialTimeoutNs", low=1.0) / 1e9,
        utility=number(row, "utility", 1.0),
        repeat=REPEATS[semantics],
        scope=Scope(scope),
        window=seconds(row, "windowNs", 0.0),
        message_target=message_target,
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
        customers.append(Customer(text(row, "name"), number(row, "share", 0.0), number(quota, "quota", 0.0)))
    discovery = one_of(options, "discovery", DISCOVERY, "on_request")
    weights = one_of(options, "weightKind", WEIGHTS, "nominal")
    fields = report.get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise WireError("setting fields: not a list of names")
    load_field = "x0" if "x0" in fields and "over" in str(extra.get("reportX0", "")) else ""
    settings = Settings(
        listeners={row.name: row for row in listeners},
        customers={row.name: row for row in customers},
        me=int(number(options, "me", 0)),
        balancers=int(number(options, "peersTotal", 1, low=1)),
        zone=text(options, "zone", ""),
        watched=discovery == "on_request",
        ask_within=seconds(rules, "askWithinNs", 10.0),
        cold_share=number(rules, "coldShare", 1.0),
        cold_time=seconds(rules, "coldNs", 0.0),
        fall_multiple=number(rules, "fallMultiple", 1.0),
        fall_time=seconds(rules, "fallNs", 1.0),
        most_dials=int(number(ceilings, "mostDials", 1, low=1)),
        probes=ceilings.get("probes") is True and report.get("how") in ("probe", "answers"),
        probe_price=number(section(options, "charges"), "probe", 0.0),
        crossing_price=number(section(options, "charges"), "crossZone", 0.0),
        cancelling=ceilings.get("cancelling") is True,
        retry_after=seconds(ceilings, "maxRetryAfterNs", 0.0) if ceilings.get("retryAfter") is True else 0.0,
        overage_utility=number(options, "overageUtility", 1.0),
        groups=extra.get("groups") is True,
        live_sizes=weights == "live",
        load_field=load_field,
    )
    return settings, fields
