"""JSON codec of the learned state in a node's snapshot file, and the age of that file."""

from __future__ import annotations

from typing import Any

from rosewheel.policy.learned_state import LearnedServer, LearnedState

FORMAT_VERSION = 1
NUMBER_LIMIT = 1e12  # exclusive upper bound; larger numbers are never learned

# Largest difference between the ages by the two clocks. A larger one means that a clock was set, or that the
# machine has restarted.
CLOCK_TOLERANCE_MS = 5_000.0

JsonObject = dict[str, Any]


def snapshot_age_ms(saved: tuple[float, float], now: tuple[float, float]) -> float | None:
    """Return the age of a snapshot in ms, or None if neither clock gives a valid one.

    The monotonic clock is used if the wall clock agrees. It restarts with the machine.

    Args:
        saved: readings of the (monotonic, wall) clocks in ms when the snapshot was saved.
        now: present readings.
    """
    monotonic, wall = now[0] - saved[0], now[1] - saved[1]
    if monotonic >= 0.0 and abs(monotonic - wall) <= CLOCK_TOLERANCE_MS:
        return monotonic
    return wall if wall >= 0.0 and monotonic < 0.0 else None


def learned_state_to_json(state: LearnedState) -> JsonObject:
    """Return the JSON object of a learned state."""
    return {
        "servers": {address: _server_to_json(server) for address, server in state.servers.items()},
        "class_ms": state.class_latency_ms,
        "aims": state.objectives_ms,
        "base": state.baseline_ratio,
        "level": state.smoothed_ratio,
        "outcomes": state.baseline_outcomes,
        "cursor": state.cursor,
        "rate": state.completion_rate,
        "peak": state.peak_completion_rate,
        "asked_rate": state.request_rate,
        "erring": state.smoothed_error_share,
        "usual": state.baseline_error_share,
    }


def _server_to_json(server: LearnedServer) -> JsonObject:
    return {
        "started_ago_ms": server.started_ago_ms,
        "slow": server.relative_latency,
        "errs": server.error_rate,
        "heard_ago_ms": server.last_outcome_ago_ms,
        "queue": server.reported_queue,
        "told_ago_ms": server.last_report_ago_ms,
        "util": server.utilisation,
        "credit": server.credit,
        "returned_ago_ms": server.uncordoned_ago_ms,
    }


def learned_state_from_json(value: Any) -> LearnedState:
    """Return the learned state of a JSON object; missing keys have their defaults.

    Raises:
        ValueError: the object is malformed, or a number is out of range, which could make its server always
            or never the best. The text names the key.
    """
    data = _object("learned state", value)
    servers = _object("servers", data.get("servers"))
    return LearnedState(
        servers={str(address): _server_from_json(server) for address, server in servers.items()},
        class_latency_ms=_numbers_by_class(data, "class_ms", None),
        objectives_ms=_numbers_by_class(data, "aims", {}),
        baseline_ratio=_optional_number(data, "base"),
        smoothed_ratio=_number(data, "level"),
        baseline_outcomes=int(_number(data, "outcomes")),
        cursor=int(_number(data, "cursor")),
        completion_rate=_number(data, "rate"),
        peak_completion_rate=_number(data, "peak"),
        request_rate=_number(data, "asked_rate"),
        smoothed_error_share=_number(data, "erring"),
        baseline_error_share=_number(data, "usual"),
    )


def _server_from_json(value: Any) -> LearnedServer:
    data = _object("server", value)
    if "started_ago_ms" not in data:
        raise ValueError("started_ago_ms: missing")
    return LearnedServer(
        started_ago_ms=_optional_number(data, "started_ago_ms"),
        relative_latency=_optional_number(data, "slow"),
        error_rate=_number(data, "errs"),
        last_outcome_ago_ms=_optional_number(data, "heard_ago_ms"),
        reported_queue=_number(data, "queue"),
        last_report_ago_ms=_optional_number(data, "told_ago_ms"),
        utilisation=_optional_number(data, "util"),
        credit=_number(data, "credit"),
        uncordoned_ago_ms=_optional_number(data, "returned_ago_ms"),
    )


def _object(key: str, value: Any) -> JsonObject:
    if not isinstance(value, dict):
        raise ValueError(f"{key}: not an object")
    return value


def _numbers_by_class(data: JsonObject, key: str, default: JsonObject | None) -> dict[str, float]:
    numbers = _object(key, data.get(key, default))
    return {str(name): _number(numbers, name) for name in numbers}


def _optional_number(data: JsonObject, key: str) -> float | None:
    return None if data.get(key) is None else _number(data, key)


def _number(data: JsonObject, key: str) -> float:
    value = data.get(key, 0.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < NUMBER_LIMIT:
        raise ValueError(f"{key}: {value!r} is not a number from 0 to {NUMBER_LIMIT:g}")
    return float(value)
