"""Decoder of a node's settings from the JSON of the platform and of the simulator."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from rosewheel.policy.settings import (
    DedupScope,
    Idempotency,
    InvalidSettingError,
    ServiceClass,
    Settings,
    Tenant,
)

JsonObject = dict[str, Any]

# Keys of the platform's JSON, for settings whose names differ.
WIRE_KEYS = {
    "classes": "categories",
    "latency_objective_ms": "aimMs",
    "deadline_ms": "giveUpMs",
    "priority_weight": "credit",
    "late_weight": "lateWorth",
    "dedup_window_ms": "memorySpanMs",
    "tenants": "accounts",
    "quota_per_s": "quotaPerS",
    "balancer_count": "siblings",
    "over_quota_weight": "overShareWorth",
    "max_retry_after_ms": "maxRetryAfterMs",
    "max_attempts": "maxAttempts",
    "cross_zone_cost": "crossZone",
    "warm_up_initial_share": "coldFrom",
    "warm_up_ms": "coldMs",
    "overload_factor": "overloadFactor",
    "overload_window_ms": "tipAfterMs",
    "connect_timeout_ms": "connectTimeoutMs",
}

IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENT_WITH_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
# Fields of a load report: names on the wire, and in this package.
REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def optional_object(data: JsonObject, key: str) -> JsonObject:
    """Return the object at a key, or an empty one if there is none. Raises ValueError for another type."""
    return _object(key, data.get(key) or {})


def optional_flag(data: JsonObject, key: str) -> bool | None:
    """Return the boolean at a key, or None if there is none. Raises ValueError for another type."""
    value = data.get(key)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{key}: {value!r} is not a boolean")
    return value


def optional_text(data: JsonObject, key: str, default: str | None = None) -> str | None:
    """Return the string at a key, or the default. Raises ValueError for another type."""
    value = data.get(key, default)
    if value is not None and not isinstance(value, str):
        raise ValueError(f"{key}: {value!r} is not a string")
    return value


def required_text(data: JsonObject, key: str) -> str:
    """Return the string at a key. Raises KeyError if there is none, ValueError for another type."""
    value = optional_text(data, key)
    if value is None:
        raise KeyError(key)
    return value


def _object(key: str, value: Any) -> JsonObject:
    if not isinstance(value, dict):
        raise ValueError(f"{key}: {value!r} is not an object")
    return value


def _list(data: JsonObject, key: str) -> list[Any]:
    value = data.get(key) or []
    if not isinstance(value, list):
        raise ValueError(f"{key}: {value!r} is not a list")
    return value


def settings_from_json(config: JsonObject) -> Settings:
    """Return the settings of a node from the platform's JSON; unknown keys are ignored.

    Raises:
        KeyError: a value is missing. The text names its key in the JSON.
        ValueError: a value is invalid. The text names its key in the JSON.
    """
    _object("settings", config)
    bounds, rules = optional_object(config, "bounds"), optional_object(config, "invariants")
    prices, feedback = optional_object(config, "prices"), optional_object(config, "feedback")
    fields = _list(feedback, "fields")
    if not all(isinstance(name, str) for name in fields):
        raise ValueError(f"fields: {fields!r} is not a list of strings")
    values: JsonObject = {
        "zone": optional_text(config, "locality"),
        "tier": config.get("tier"),
        "balancer_count": config.get("siblings"),
        "poll_discovery": config.get("registryMode") == "ask",
        "weight_by_work": config.get("valueBy") == "work",
        "over_quota_weight": config.get("overShareWorth"),
        "report_fields": tuple(REPORT_FIELDS.get(name, name) for name in fields),
        "may_cancel": optional_flag(bounds, "cancel"),
        "retry_after": optional_flag(bounds, "retryAfter"),
        "max_retry_after_ms": bounds.get("maxRetryAfterMs"),
        "max_attempts": bounds.get("maxAttempts"),
        "cross_zone_cost": prices.get("crossZone"),
        "warm_up_initial_share": rules.get("coldFrom"),
        "warm_up_ms": rules.get("coldMs"),
        "overload_factor": rules.get("overloadFactor"),
        "overload_window_ms": rules.get("tipAfterMs"),
        "connect_timeout_ms": bounds.get("connectTimeoutMs"),
    }
    classes = tuple(_service_class(_object("categories", data)) for data in _list(config, "categories"))
    tenants = tuple(_tenants(config))
    try:
        return Settings(
            classes, tenants, **{key: value for key, value in values.items() if value is not None}
        )
    except InvalidSettingError as error:
        raise ValueError(f"{_wire_path(error.key)}: {error.reason}") from error


def _wire_path(path: str) -> str:
    """Return the path in the JSON of a setting: `categories[0].giveUpMs` for `classes[0].deadline_ms`."""
    return re.sub(r"[a-z_]+", lambda name: WIRE_KEYS.get(name[0], name[0]), path)


def _tenants(config: JsonObject) -> Iterator[Tenant]:
    """Yield the tenants that have a quota."""
    for data in [_object("accounts", data) for data in _list(config, "accounts")]:
        if data.get("quotaPerS") is not None:
            yield Tenant(required_text(data, "name"), data["quotaPerS"])


def _service_class(data: JsonObject) -> ServiceClass:
    effect, scope = data.get("effect"), data.get("keyScope") or "all"
    if not isinstance(effect, str) or effect not in IDEMPOTENCY:
        raise ValueError(f"categories.effect: {effect!r} is not one of {', '.join(IDEMPOTENCY)}")
    if scope not in [item.value for item in DedupScope]:
        raise ValueError(f"categories.keyScope: {scope!r} is not one of all, zone, cell")
    return ServiceClass(
        name=required_text(data, "name"),
        latency_objective_ms=data["aimMs"],
        deadline_ms=data["giveUpMs"],
        priority_weight=data.get("credit", 1.0),
        late_weight=data.get("lateWorth") or 0.0,
        idempotency=IDEMPOTENCY[effect],
        dedup_scope=DedupScope(scope),
        dedup_window_ms=data.get("memorySpanMs") or 0.0,
        streaming=optional_flag(data, "stream") or False,
    )
