"""Codec of the simulator's wire protocol: maps batches of JSON lines to events and actions of the policy.

A batch starts with FRAME, which contains the time and the number of the batch, and ends with GO. Each line between them
is an event of one node, or a CATALOG: a numbered list of servers to which later MEMBERSHIP events refer. The reply
contains the actions, and ends with READY.
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
IGNORED_EVENTS = ("PEER",)  # messages between nodes, which this implementation never sends
MAX_PANIC_TEXT_LENGTH = 500  # characters

# Any other code is an ERROR in the result of a health check, and invalid input in the result of an attempt.
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
    """Invalid input that can't be attributed to a node."""


@dataclass(slots=True, frozen=True)
class BatchStart:
    """The first line of a batch.

    Attributes:
        now_ms: The time of all events of the batch.
        sequence: The number of the batch, which the reply repeats unchanged.
    """

    now_ms: float
    sequence: object


@dataclass(slots=True, frozen=True)
class NodeStart:
    """The settings of a node that starts, and the seed of its random numbers."""

    settings: Settings
    seed: int


def decode_line(line: bytes) -> JsonObject:
    """Decode a line.

    Raises:
        SimulatorWireError: The line is not a JSON object.
    """
    try:
        row = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise SimulatorWireError(f"not a line of JSON: {error}: {line[:200]!r}") from error
    if not isinstance(row, dict):
        raise SimulatorWireError(f"not a JSON object: {line[:200]!r}")
    return row


def decode_batch_start(row: JsonObject) -> BatchStart:
    """Decode the first line of a batch.

    Raises:
        SimulatorWireError: The time or the number is missing.
    """
    if not isinstance(row.get("nowMs"), int | float) or "seq" not in row:
        raise SimulatorWireError("FRAME lacks nowMs or seq")
    return BatchStart(float(row["nowMs"]), row["seq"])


def decode_node_number(row: JsonObject) -> int:
    """Return the node number of an event.

    Raises:
        SimulatorWireError: The event has none.
    """
    number = row.get("node")
    if not isinstance(number, int):
        raise SimulatorWireError(f"event {row.get('kind')!r} has no node number")
    return number


def decode_catalog(row: JsonObject) -> tuple[int, tuple[Server, ...]]:
    """Decode a catalog: its number and its servers."""
    return row["ref"], tuple(_decode_server(server) for server in row["rows"])


def decode_node_start(row: JsonObject) -> NodeStart:
    """Decode the start of a node."""
    config, seed = row["config"], row["seed"]
    return NodeStart(settings_from_json(config), seed)


def decode_event(row: JsonObject, report_fields: tuple[str, ...], catalogs: Catalogs) -> Event:
    """Decode an event of a running node.

    Args:
        row: The decoded line of the event.
        report_fields: The names of the values in a load report, in order, as the settings of the node define them.
        catalogs: The catalogs received so far, by number.

    Raises:
        ValueError, KeyError, TypeError: The kind is unknown, or a value is missing or invalid.
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
        class_name=row["lane"],
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
    """Map the values of a load report to their names; values that are not numbers are left out."""
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
    """Encode an action of a node."""
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
    """Encode the report that a node has failed on an event and was stopped."""
    text = f"{kind}: {type(error).__name__}: {error}"
    return {"kind": "PANIC", "node": node, "bodyText": text[:MAX_PANIC_TEXT_LENGTH]}


def encode_ready(sequence: object) -> JsonObject:
    """Encode the end of a reply."""
    return {"kind": "READY", "seq": sequence}


def encode_line(row: JsonObject) -> bytes:
    """Encode a line, without the line break."""
    return orjson.dumps(row)
