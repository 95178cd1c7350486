"""Codec of a node's settings: the JSON of the platform and of the simulator, as `Settings` of the module."""

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

Row = dict[str, Any]

# Keys of the platform's JSON where a setting of the module has another name.
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
# Fields of a server's load report: names on the wire and in the module.
REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def optional_object(row: Row, key: str) -> Row:
    """The object at this key; an empty one where there is none."""
    return _object(key, row.get(key) or {})


def optional_flag(row: Row, key: str) -> bool | None:
    """The flag at this key; None where there is none. Raises ValueError where it is something else."""
    value = row.get(key)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{key}: {value!r} is neither true nor false")
    return value


def optional_text(row: Row, key: str, default: str | None = None) -> str | None:
    """The text at this key, or the default. Raises ValueError where it is something else."""
    value = row.get(key, default)
    if value is not None and not isinstance(value, str):
        raise ValueError(f"{key}: {value!r} is no text")
    return value


def required_text(row: Row, key: str) -> str:
    """The text at this key. Raises KeyError where there is none, ValueError where it is something else."""
    value = optional_text(row, key)
    if value is None:
        raise KeyError(key)
    return value


def _object(key: str, value: Any) -> Row:
    if not isinstance(value, dict):
        raise ValueError(f"{key}: {value!r} is not an object")
    return value


def _list(row: Row, key: str) -> list[Any]:
    value = row.get(key) or []
    if not isinstance(value, list):
        raise ValueError(f"{key}: {value!r} is not a list")
    return value


def settings_from_json(config: Row) -> Settings:
    """The settings of a node from the platform's JSON; unknown keys are ignored.

    Raises:
        ValueError, KeyError: a value is missing or wrong; the text names the key of the JSON.
    """
    _object("settings", config)
    bounds, rules = optional_object(config, "bounds"), optional_object(config, "invariants")
    prices, feedback = optional_object(config, "prices"), optional_object(config, "feedback")
    fields = _list(feedback, "fields")
    if not all(isinstance(name, str) for name in fields):
        raise ValueError(f"fields: {fields!r} is not a list of names")
    given: Row = {
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
    classes = tuple(_service_class(_object("categories", row)) for row in _list(config, "categories"))
    tenants = tuple(_tenants(config))
    try:
        return Settings(classes, tenants, **{key: value for key, value in given.items() if value is not None})
    except InvalidSettingError as error:
        raise ValueError(f"{_wire_path(error.key)}: {error.reason}") from error


def _wire_path(path: str) -> str:
    """A setting's path by the keys of the JSON: `classes[0].deadline_ms` is `categories[0].giveUpMs`."""
    return re.sub(r"[a-z_]+", lambda name: WIRE_KEYS.get(name[0], name[0]), path)


def _tenants(config: Row) -> Iterator[Tenant]:
    """The tenants that have a quota."""
    for row in [_object("accounts", row) for row in _list(config, "accounts")]:
        if row.get("quotaPerS") is not None:
            yield Tenant(required_text(row, "name"), row["quotaPerS"])


def _service_class(row: Row) -> ServiceClass:
    effect, scope = row.get("effect"), row.get("keyScope") or "all"
    if not isinstance(effect, str) or effect not in IDEMPOTENCY:
        raise ValueError(f"categories.effect: {effect!r} is not one of {', '.join(IDEMPOTENCY)}")
    if scope not in [item.value for item in DedupScope]:
        raise ValueError(f"categories.keyScope: {scope!r} is not one of all, zone, cell")
    return ServiceClass(
        name=required_text(row, "name"),
        latency_objective_ms=row["aimMs"],
        deadline_ms=row["giveUpMs"],
        priority_weight=row.get("credit", 1.0),
        late_weight=row.get("lateWorth") or 0.0,
        idempotency=IDEMPOTENCY[effect],
        dedup_scope=DedupScope(scope),
        dedup_window_ms=row.get("memorySpanMs") or 0.0,
        streaming=optional_flag(row, "stream") or False,
    )
