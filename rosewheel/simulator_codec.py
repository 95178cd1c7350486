"""Codec of the simulator's wire: JSON lines in batches, as events and actions of the policy.

A batch begins with FRAME, which holds its time and number, and ends with GO; the reply ends with READY. In between
each line is an event of one node, or a CATALOG: a list of servers that later MEMBERSHIP events refer to by number.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from rosewheel.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    StartTimer,
    WatchEndpoints,
)
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    EndpointListForm,
    EndpointListUpdate,
    Event,
    HealthCheckFinished,
    RequestReceived,
    ResponseStarted,
    Server,
    ServerState,
    TimerFired,
)
from rosewheel.policy.settings import Settings
from rosewheel.policy.settings_codec import settings_from_json

JsonObject = dict[str, Any]
Catalogs = Mapping[int, tuple[Server, ...]]

FRAME, GO, CATALOG = "FRAME", "GO", "CATALOG"
POWER_ON, STOP = "POWER_ON", "STOP"
IGNORED_EVENTS = ("PEER",)  # messages between nodes: none are sent
MAX_PANIC_TEXT = 500  # characters of the text of a PANIC

# Codes of results; an unknown one is an error for a health check, and a fault of the simulator for an attempt.
RESULT_BY_CODE = {
    0: AttemptResult.OK,
    255: AttemptResult.ERROR,
    254: AttemptResult.OVERLOADED,
    253: AttemptResult.TIMEOUT,
    252: AttemptResult.CONNECT_FAILED,
    251: AttemptResult.RESET,
    250: AttemptResult.CANCELLED,
    249: AttemptResult.NOT_SENT,
}


class SimulatorWireError(Exception):
    """Input that is not the simulator's wire, and that can't be attributed to a node."""


@dataclass(slots=True, frozen=True)
class BatchStart:
    """The first line of a batch.

    Attributes:
        now_ms: The time of all its events.
        sequence: Its number, in whatever form it was received; the reply repeats it.
    """

    now_ms: float
    sequence: object


@dataclass(slots=True, frozen=True)
class NodeStart:
    """A node starts: its settings and the seed of its random draws."""

    settings: Settings
    seed: int


def decode_line(line: bytes) -> JsonObject:
    """The object of one line.

    Raises:
        SimulatorWireError: it is not an object in JSON.
    """
    try:
        row = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise SimulatorWireError(f"not a line of JSON: {error}: {line[:200]!r}") from error
    if not isinstance(row, dict):
        raise SimulatorWireError(f"not an object: {line[:200]!r}")
    return row


def decode_batch_start(row: JsonObject) -> BatchStart:
    """The time and the number of a batch.

    Raises:
        SimulatorWireError: one of them is missing.
    """
    if not isinstance(row.get("nowMs"), int | float) or "seq" not in row:
        raise SimulatorWireError("FRAME lacks nowMs or seq")
    return BatchStart(float(row["nowMs"]), row["seq"])


def decode_node_number(row: JsonObject) -> int:
    """The node that an event is about.

    Raises:
        SimulatorWireError: the event names none.
    """
    number = row.get("node")
    if not isinstance(number, int):
        raise SimulatorWireError(f"event {row.get('kind')!r} names no node")
    return number


def decode_catalog(row: JsonObject) -> tuple[int, tuple[Server, ...]]:
    """The number of a catalog, and its servers."""
    return row["ref"], tuple(_decode_server(server) for server in row["rows"])


def decode_node_start(row: JsonObject) -> NodeStart:
    """The settings and the seed of a node that starts."""
    config, seed = row["config"], row["seed"]
    return NodeStart(settings_from_json(config), seed)


def decode_event(row: JsonObject, report_fields: tuple[str, ...], catalogs: Catalogs) -> Event:
    """An event of a running node.

    Args:
        row: The event's line.
        report_fields: Names of the values in a load report, in order; they are a setting of the node.
        catalogs: The catalogs so far, by number.

    Raises:
        ValueError, KeyError, TypeError: the line is no event, or a value in it is missing or wrong.
    """
    kind = str(row.get("kind"))
    match kind:
        case "MEMBERSHIP":
            return _decode_endpoint_list(row, catalogs)
        case "RETURNED":
            return _decode_attempt_finished(row, report_fields)
        case "HEALTH":
            return _decode_health_check_finished(row, report_fields)
    decode = _DECODERS.get(kind)
    if decode is None:
        raise ValueError("unknown kind of event")
    return decode(row)


def _decode_server(row: JsonObject) -> Server:
    return Server(
        address=row["server"],
        zone=row.get("zone") or "",
        cell=row.get("bay") or 0,
        state=ServerState(row["stageState"]),
        launched_ms=row.get("launchedMs") or None,
    )


def _decode_endpoint_list(row: JsonObject, catalogs: Catalogs) -> Event:
    form = EndpointListForm(row["form"])
    servers = () if form is EndpointListForm.FAILED else catalogs[row["ref"]]
    return EndpointListUpdate(form, servers)


def _decode_request(row: JsonObject) -> Event:
    return RequestReceived(
        id=row["txn"],
        service=row["lane"],
        deadline_at_ms=row["giveUpAtMs"],
        tenant=row.get("billing") or None,
        cost_hint_ms=row.get("expectedMs"),
        is_retry=bool(row.get("isRetry")),
    )


def _decode_attempt_finished(row: JsonObject, report_fields: tuple[str, ...]) -> Event:
    return AttemptFinished(
        id=row["txn"],
        attempt=row["attempt"],
        server=row["server"],
        result=RESULT_BY_CODE[row["rc"]],
        latency_ms=row["latencyMs"],
        request_ended=bool(row.get("doneFlag")),
        report=_decode_report(row.get("telemetry"), report_fields),
    )


def _decode_health_check_finished(row: JsonObject, report_fields: tuple[str, ...]) -> Event:
    result = RESULT_BY_CODE.get(row["rc"], AttemptResult.ERROR)
    report = _decode_report(row.get("telemetry"), report_fields)
    return HealthCheckFinished(row["server"], result, row["latencyMs"], report)


def _decode_report(values: list[object] | None, report_fields: tuple[str, ...]) -> dict[str, float] | None:
    """A load report by the names of its values; what is not a number is left out."""
    if not values:
        return None
    pairs = zip(report_fields, values, strict=False)
    return {name: value for name, value in pairs if isinstance(value, int | float)}


_DECODERS: dict[str, Callable[[JsonObject], Event]] = {
    "NEW_REQUEST": _decode_request,
    "FIRST": lambda row: ResponseStarted(row["txn"], row["attempt"]),
    "LAPSED": lambda row: ClientDisconnected(row["txn"]),
    "ALARM": lambda row: TimerFired(row["name"]),
}


def encode_action(node: int, action: Action) -> JsonObject:
    """The line of an action of this node."""
    match action:
        case ForwardRequest():
            row: JsonObject = {"kind": "ISSUE", "txn": action.id, "server": action.server}
            row["timeoutMs"] = action.timeout_ms
        case RejectRequest():
            row = {"kind": "DECLINE", "txn": action.id, "stayAwayMs": action.retry_after_ms}
        case FailRequest():
            row = {"kind": "FINISH_ERROR", "txn": action.id}
        case CancelAttempt():
            row = {"kind": "RETRACT", "txn": action.id, "attempt": action.attempt}
        case StartTimer():
            row = {"kind": "SLEEP", "delayMs": action.delay_ms, "name": action.name}
        case CheckHealth():
            row = {"kind": "TOUCH", "server": action.server}
        case WatchEndpoints():
            row = {"kind": "OBSERVE", "enable": True}
    row["node"] = node
    return row


def encode_panic(node: int, kind: object, error: Exception) -> JsonObject:
    """The line that says that a node failed on an event, and stopped."""
    text = f"{kind}: {type(error).__name__}: {error}"
    return {"kind": "PANIC", "node": node, "bodyText": text[:MAX_PANIC_TEXT]}


def encode_ready(sequence: object) -> JsonObject:
    """The last line of a reply."""
    return {"kind": "READY", "seq": sequence}


def encode_line(row: JsonObject) -> bytes:
    """One line, without its end."""
    return orjson.dumps(row)
