"""Loads a node's configuration on the platform: `LB_` variables and the JSON file that LB_CONFIG names."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

import orjson

from rosewheel.config.address import Address, parse_address
from rosewheel.config.environment import (
    ENVIRONMENT_KEYS,
    available_descriptors,
    inherited_descriptor,
    random_seed,
)
from rosewheel.config.errors import ConfigError, InvalidValueError
from rosewheel.config.node_config import InitialEndpoints, NodeConfig
from rosewheel.node.limits import Limits
from rosewheel.policy.settings_codec import optional_flag, optional_object, settings_from_json

JsonObject = dict[str, Any]

DEFAULT_SOCKETS = 1024
MAX_NUMBER = 1e15  # sums of larger times lose precision in a float


def load_platform_config(environ: Mapping[str, str] = os.environ, reload: bool = False) -> NodeConfig:
    """Load the platform's configuration.

    Args:
        environ: the environment variables.
        reload: whether the node is already running. The file is then newer than the environment, so its discovery
            address overrides LB_DISCOVERY.

    Raises:
        ConfigError: the configuration is invalid; the message is one line.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set", "LB_CONFIG")
    document = _read_json(path)
    for variable, key in ENVIRONMENT_KEYS:
        if environ.get(variable) and not (reload and key == "discovery" and document.get(key)):
            document[key] = environ[variable]
    try:
        return _node_config(document, inherited_descriptor(environ), environ.get("TMPDIR") or None)
    except InvalidValueError as error:
        raise _file_error(path, str(error), error.key) from error
    except KeyError as error:
        raise _file_error(path, f"missing key {error}", str(error.args[0])) from error
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise _file_error(path, str(error)) from error


def _read_json(path: str) -> JsonObject:
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error}", "LB_CONFIG") from error
    if not isinstance(document, dict):
        raise ConfigError(f"LB_CONFIG: {path}: not an object", "LB_CONFIG")
    return document


def _file_error(path: str, reason: str, key: str = "") -> ConfigError:
    return ConfigError(" ".join(f"LB_CONFIG: {path}: {reason}".split()), key)


def _node_config(document: JsonObject, descriptor: int | None, state_folder: str | None) -> NodeConfig:
    # The first invalid key is the one that is reported: settings come before limits, and both before the rest.
    settings_data: JsonObject = document["settings"]
    settings = settings_from_json(settings_data)
    limits = _limits(settings_data, optional_object(document, "limits"))
    initial_endpoints = _initial_endpoints(document.get("known"))
    return NodeConfig(
        name=str(document.get("name") or ""),
        listen_address=_address(document, "listen"),
        discovery_address=_address(document, "discovery"),
        seed=_seed(document.get("seed")),
        settings=settings,
        limits=limits,
        initial_endpoints=initial_endpoints,
        admin_address=_address(document, "ops") if document.get("ops") else None,
        inherited_descriptor=descriptor,
        state_folder=state_folder,
        hot_restart_allowed=descriptor is not None,
    )


def _limits(settings_data: JsonObject, limits_data: JsonObject) -> Limits:
    """Return the limits of the node; absent keys have the default."""
    bounds = optional_object(settings_data, "bounds")
    invariants = optional_object(settings_data, "invariants")
    values: dict[str, Any] = {
        "idle_timeout_ms": _number(bounds, "connIdleMs"),
        "connect_timeout_ms": _number(bounds, "connectTimeoutMs"),
        "drain_notice_ms": _number(invariants, "drainGraceMs"),
        "max_open_requests": _integer(bounds, "maxOpen"),
        "hedging_allowed": optional_flag(bounds, "secondCopies"),
        "health_checks_allowed": optional_flag(bounds, "mayProbe"),
        "memory_limit_mb": _number(limits_data, "memory_mb"),
        "max_sockets": available_descriptors(_integer(limits_data, "sockets") or DEFAULT_SOCKETS),
    }
    return Limits(**{name: value for name, value in values.items() if value is not None})


def _initial_endpoints(data: object) -> InitialEndpoints:
    if not data:
        return InitialEndpoints()
    if not isinstance(data, dict):
        raise InvalidValueError("known", "not an object")
    revision = data.get("seq")
    return InitialEndpoints(revision if isinstance(revision, int) else 0, data.get("hosts"))


def _number(data: JsonObject, key: str) -> float | None:
    value = data.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise InvalidValueError(key, f"{value!r} is not a number from 0 to {MAX_NUMBER:g}")
    return float(value)


def _integer(data: JsonObject, key: str) -> int | None:
    value = _number(data, key)
    if value is not None and value % 1:
        raise InvalidValueError(key, f"{data[key]!r} is not a whole number")
    return None if value is None else int(value)


def _address(data: JsonObject, key: str) -> Address:
    try:
        return parse_address(data[key])
    except ValueError as error:
        raise InvalidValueError(key, str(error)) from error


def _seed(value: object) -> int:
    """Return the seed, given as an integer or in hexadecimal, or a random one if it is absent."""
    if isinstance(value, int):
        return value
    if not isinstance(value, str) or not value:
        return random_seed()
    try:
        return int(value, 16)
    except ValueError as error:
        raise InvalidValueError("seed", f"{value!r} is not hexadecimal") from error
