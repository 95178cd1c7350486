"""What a node is told at its start: the environment and the JSON file, as typed values."""

from __future__ import annotations

import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from rosewheel.node.limits import Limits
from rosewheel.policy.settings import Settings
from rosewheel.policy.settings_codec import optional_flag, optional_object, settings_from_json

Address = tuple[str, int]
# What the environment says before the file does.
VARIABLES = (
    ("LB_NAME", "name"),
    ("LB_LISTEN", "listen"),
    ("LB_DISCOVERY", "discovery"),
    ("LB_OPS", "ops"),
)


class ConfigError(Exception):
    """The node can't start; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Control:
    """Where the fleet's configuration comes from. Only the operator's file has this."""

    machines: dict[str, Address]
    service: str  # of the node: what concerns it
    own: Any = None  # the node's own file, over which what is told is laid


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    bounds: Limits
    known: dict[str, Any]  # the server list as last had, in discovery's form
    ops: Address | None = None  # where operators call; without it there is no such door
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds
    state: str | None = None  # the folder for what outlives a process
    on_disk: bool = False  # it lies on a disk, which may hold a write up; on the platform it is memory
    # Whether another process of this node may take over, by a Unix socket in that folder. On the platform only where it
    # holds the callers' socket: elsewhere no second process can be there, and nobody comes to such a socket.
    handover: bool = True
    control: Control | None = None


def parse_address(text: object) -> Address:
    """`host:port`, the host a numeric address: there is no DNS where a node runs."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not address:port")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """The configuration, or a ConfigError that says in one line what is wrong with it. When it is read
    again, the file is newer than the environment, so its discovery comes before LB_DISCOVERY."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            row = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error}") from error
    if not isinstance(row, dict):
        raise ConfigError(f"LB_CONFIG: {path}: not an object")
    for variable, key in VARIABLES:
        if environ.get(variable) and not (again and key == "discovery" and row.get(key)):
            row[key] = environ[variable]
    try:
        return _typed(row, descriptor(environ.get("LB_INHERITED_FD")), environ.get("TMPDIR") or None)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        kind = "missing key " if isinstance(error, KeyError) else ""
        raise ConfigError(" ".join(f"LB_CONFIG: {path}: {kind}{error}".split())) from error


def descriptors(stated: int) -> int:
    """How many a process may hold: what is stated, or less where the system gives less."""
    return min(stated, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not a descriptor's number")
    return int(text)


def _typed(row: dict[str, Any], inherited: int | None, state: str | None) -> Config:
    settings: dict[str, Any] = row["settings"]
    asked = settings_from_json(settings)
    allowed, rules, limits = (
        optional_object(settings, "bounds"),
        optional_object(settings, "invariants"),
        optional_object(row, "limits"),
    )
    given = {
        "idle_timeout_ms": _number(allowed, "connIdleMs"),
        "connect_timeout_ms": _number(allowed, "connectTimeoutMs"),
        "drain_notice_ms": _number(rules, "drainGraceMs"),
        "max_open_requests": _whole(allowed, "maxOpen"),
        "hedging_allowed": optional_flag(allowed, "secondCopies"),
        "health_checks_allowed": optional_flag(allowed, "mayProbe"),
        "memory_limit_mb": _number(limits, "memory_mb"),
        "max_sockets": descriptors(_whole(limits, "sockets") or 1024),
    }
    known = row.get("known") or {"seq": 0, "hosts": []}
    if not isinstance(known, dict):
        raise ValueError("known: not an object")
    return Config(
        name=str(row.get("name") or ""),
        listen=_address(row, "listen"),
        discovery=_address(row, "discovery"),
        seed=_seed(row.get("seed")),
        settings=asked,
        bounds=Limits(**{key: value for key, value in given.items() if value is not None}),  # type: ignore[arg-type]
        known=known,
        ops=_address(row, "ops") if row.get("ops") else None,
        inherited=inherited,
        state=state,
        handover=inherited is not None,
    )


def _number(row: dict[str, Any], key: str) -> float | None:
    value = row.get(key)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
        raise ValueError(f"{key}: {value!r} is not a number from 0 on")
    return float(value)


def _whole(row: dict[str, Any], key: str) -> int | None:
    value = _number(row, key)
    if value is not None and value % 1:
        raise ValueError(f"{key}: {row[key]!r} is not a whole number")
    return None if value is None else int(value)


def _address(row: dict[str, Any], key: str) -> Address:
    try:
        return parse_address(row[key])
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from error


def _seed(given: object) -> int:
    """Hexadecimal text or a whole number; without one, the system's random source."""
    if isinstance(given, int):
        return given
    try:
        return int(given, 16) if isinstance(given, str) and given else int.from_bytes(os.urandom(8), "big")
    except ValueError as error:
        raise ValueError(f"seed: {given!r} is not hexadecimal") from error
