"""Codec of learned state: the JSON of the file in which a node keeps it, and the age of that file."""

from __future__ import annotations

from typing import Any

from rosewheel.policy.learned_state import LearnedServer, LearnedState

FORMAT_VERSION = 1
NUMBER_LIMIT = 1e12  # exclusive; no balancer learns a larger one

# Two clocks that differ by more about an age: one of them was set, or the machine has restarted.
CLOCK_TOLERANCE_MS = 5_000.0

Row = dict[str, Any]


def snapshot_age_ms(saved: tuple[float, float], now: tuple[float, float]) -> float | None:
    """Age by (monotonic, time of day) in ms, then and now; None where neither clock can say.

    The monotonic clock is used where the other agrees; it begins anew when the machine restarts.
    """
    monotonic, wall = now[0] - saved[0], now[1] - saved[1]
    if monotonic >= 0.0 and abs(monotonic - wall) <= CLOCK_TOLERANCE_MS:
        return monotonic
    return wall if wall >= 0.0 and monotonic < 0.0 else None


def learned_state_to_json(state: LearnedState) -> Row:
    """The object of the file."""
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


def _server_to_json(server: LearnedServer) -> Row:
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
    """The state in an object of the file; keys that are missing have their defaults.

    Raises:
        ValueError: it is not such an object, or a number is one that no balancer learns: it would make its server
            always best or never used. The text names the key.
    """
    row = _object("learned state", value)
    servers = _object("servers", row.get("servers"))
    return LearnedState(
        servers={str(address): _server_from_json(server) for address, server in servers.items()},
        class_latency_ms=_numbers_by_class(row, "class_ms", None),
        objectives_ms=_numbers_by_class(row, "aims", {}),
        baseline_ratio=_optional_number(row, "base"),
        smoothed_ratio=_number(row, "level"),
        baseline_outcomes=int(_number(row, "outcomes")),
        cursor=int(_number(row, "cursor")),
        completion_rate=_number(row, "rate"),
        peak_completion_rate=_number(row, "peak"),
        request_rate=_number(row, "asked_rate"),
        smoothed_error_share=_number(row, "erring"),
        baseline_error_share=_number(row, "usual"),
    )


def _server_from_json(value: Any) -> LearnedServer:
    row = _object("server", value)
    if "started_ago_ms" not in row:
        raise ValueError("started_ago_ms: missing")
    return LearnedServer(
        started_ago_ms=_optional_number(row, "started_ago_ms"),
        relative_latency=_optional_number(row, "slow"),
        error_rate=_number(row, "errs"),
        last_outcome_ago_ms=_optional_number(row, "heard_ago_ms"),
        reported_queue=_number(row, "queue"),
        last_report_ago_ms=_optional_number(row, "told_ago_ms"),
        utilisation=_optional_number(row, "util"),
        credit=_number(row, "credit"),
        uncordoned_ago_ms=_optional_number(row, "returned_ago_ms"),
    )


def _object(key: str, value: Any) -> Row:
    if not isinstance(value, dict):
        raise ValueError(f"{key}: not an object")
    return value


def _numbers_by_class(row: Row, key: str, default: Row | None) -> dict[str, float]:
    numbers = _object(key, row.get(key, default))
    return {str(name): _number(numbers, name) for name in numbers}


def _optional_number(row: Row, key: str) -> float | None:
    return None if row.get(key) is None else _number(row, key)


def _number(row: Row, key: str) -> float:
    value = row.get(key, 0.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < NUMBER_LIMIT:
        raise ValueError(f"{key}: {value!r} is not a number from 0 to {NUMBER_LIMIT:g}")
    return float(value)
