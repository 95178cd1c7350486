"""The translation of a node's settings, as the simulator and the configuration word them, to the module's."""

from __future__ import annotations

import re
from typing import Any

from rosewheel.decide.interface import Effect, Scope, ServiceClass, Settings, Tenant

Row = dict[str, Any]

# What the module's own checks call otherwise than the wire.
KEYS = {"classes": "categories", "tenants": "accounts", "worth": "credit", "memory_ms": "memorySpanMs"}

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
REPORTS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def table(row: Row, key: str) -> Row:
    """The object at this key; an empty one where there is none."""
    return _object(key, row.get(key) or {})


def flag(row: Row, key: str) -> bool | None:
    value = row.get(key)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{key}: {value!r} is neither true nor false")
    return value


def text(row: Row, key: str, default: str | None = None) -> str | None:
    value = row.get(key, default)
    if value is not None and not isinstance(value, str):
        raise ValueError(f"{key}: {value!r} is no text")
    return value


def named(row: Row, key: str) -> str:
    value = text(row, key)
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


def settings_from(config: Row) -> Settings:
    """The settings of a node from its first message; keys that are not known are ignored. A ValueError or KeyError
    names the key."""
    _object("settings", config)
    bounds, rules = table(config, "bounds"), table(config, "invariants")
    prices, feedback = table(config, "prices"), table(config, "feedback")
    tenants = [_object("accounts", row) for row in _list(config, "accounts")]
    fields = _list(feedback, "fields")
    if not all(isinstance(name, str) for name in fields):
        raise ValueError(f"fields: {fields!r} is not a list of names")
    given: Row = {
        "zone": text(config, "locality"),
        "tier": config.get("tier"),
        "siblings": config.get("siblings"),
        "ask_discovery": config.get("registryMode") == "ask",
        "worth_by_work": config.get("valueBy") == "work",
        "over_share_worth": config.get("overShareWorth"),
        "report_fields": tuple(REPORTS.get(name, name) for name in fields),
        "may_cancel": flag(bounds, "cancel"),
        "retry_after": flag(bounds, "retryAfter"),
        "max_retry_after_ms": bounds.get("maxRetryAfterMs"),
        "max_attempts": bounds.get("maxAttempts"),
        "cross_zone_price": prices.get("crossZone"),
        "cold_from": rules.get("coldFrom"),
        "cold_ms": rules.get("coldMs"),
        "overload_factor": rules.get("overloadFactor"),
        "tip_after_ms": rules.get("tipAfterMs"),
        "connect_ms": bounds.get("connectTimeoutMs"),
    }
    classes = tuple(_service_class(_object("categories", row)) for row in _list(config, "categories"))
    shares = tuple(
        Tenant(named(row, "name"), row["quotaPerS"]) for row in tenants if row.get("quotaPerS") is not None
    )
    try:
        return Settings(classes, shares, **{key: value for key, value in given.items() if value is not None})
    except ValueError as error:
        key, colon, rest = str(error).partition(":")
        told = re.sub(r"[a-z_]+", lambda word: KEYS.get(word[0], word[0]), key)
        raise ValueError(told + colon + rest) from error


def _service_class(row: Row) -> ServiceClass:
    effect, scope = row.get("effect"), row.get("keyScope") or "all"
    if not isinstance(effect, str) or effect not in EFFECTS:
        raise ValueError(f"categories.effect: {effect!r} is not one of {', '.join(EFFECTS)}")
    if scope not in [item.value for item in Scope]:
        raise ValueError(f"categories.keyScope: {scope!r} is not one of all, zone, cell")
    return ServiceClass(
        name=named(row, "name"),
        aim_ms=row["aimMs"],
        give_up_ms=row["giveUpMs"],
        worth=row.get("credit", 1.0),
        late_worth=row.get("lateWorth") or 0.0,
        effect=EFFECTS[effect],
        scope=Scope(scope),
        memory_ms=row.get("memorySpanMs") or 0.0,
        stream=flag(row, "stream") or False,
    )
