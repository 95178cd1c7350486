"""Messages of a hot restart as JSON: the one place that knows the words of the wire.

The kind of a message is under `t`. What a process does not know it ignores, so that a later version may say more.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from rosewheel.hot_restart.errors import MigrationError, ProtocolError
from rosewheel.hot_restart.messages import (
    Accepted,
    BorrowListeners,
    ConnectionKind,
    Hello,
    InFlight,
    LentListeners,
    Message,
    Offer,
    Rejected,
    Serving,
    ShuttingDown,
    UnknownMessage,
    WireState,
)


def encode_message(message: Message) -> bytes:
    """Returns a message as JSON."""
    return orjson.dumps(_fields_of(message))


def _fields_of(message: Message) -> dict[str, Any]:
    match message:
        case Hello(versions, node, pid):
            return {"t": "hello", "versions": list(versions), "node": node, "pid": pid}
        case Serving():
            return {"t": "ready"}
        case ShuttingDown(descriptors_held):
            return {"t": "leaving", "held": descriptors_held}
        case Offer(number, kind, state, descriptors_held):
            name = None if kind is None else kind.value
            return {"t": "give", "n": number, "kind": name, "state": state, "held": descriptors_held}
        case Accepted(number):
            return {"t": "took", "n": number}
        case Rejected(number, reason):
            return {"t": "no", "n": number, "why": reason}
        case InFlight(loads):
            return {"t": "beside", "loads": loads}
        case BorrowListeners():
            return {"t": "lend"}
        case LentListeners():
            return {"t": "lent"}
        case UnknownMessage(kind):
            return {"t": kind}


def decode_message(content: bytes) -> Message:
    """Returns the message that this JSON is.

    Raises:
        ProtocolError: It is no message, or an offer that can't be answered.
    """
    try:
        fields = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("a message that is not JSON") from error
    if not isinstance(fields, dict) or not isinstance(fields.get("t"), str):
        raise ProtocolError("a message without a kind")
    return _message_from(fields["t"], fields)


def _message_from(kind: str, fields: dict[str, Any]) -> Message:
    match kind:
        case "hello":
            return _hello_from(fields)
        case "ready":
            return Serving()
        case "leaving":
            return ShuttingDown(_descriptor_count(fields))
        case "give":
            return _offer_from(fields)
        case "took" if isinstance(fields.get("n"), int):
            return Accepted(fields["n"])
        case "no" if isinstance(fields.get("n"), int):
            return Rejected(fields["n"], str(fields.get("why")))
        case "beside" if isinstance(fields.get("loads"), dict):
            loads = fields["loads"].items()
            return InFlight({name: float(load) for name, load in loads if isinstance(load, int | float)})
        case "lend":
            return BorrowListeners()
        case "lent":
            return LentListeners()
    return UnknownMessage(kind)


def _hello_from(fields: dict[str, Any]) -> Hello:
    versions, node, pid = fields.get("versions"), fields.get("node"), fields.get("pid")
    known = versions if isinstance(versions, list) else []
    return Hello(
        tuple(version for version in known if isinstance(version, int)),
        node if isinstance(node, str) else "",
        pid if isinstance(pid, int) else None,
    )


def _offer_from(fields: dict[str, Any]) -> Offer:
    number, state = fields.get("n"), fields.get("state") or {}
    if not isinstance(number, int) or not isinstance(state, dict):
        raise ProtocolError("an offer without a number or a state")
    return Offer(number, _connection_kind(fields.get("kind")), state, _descriptor_count(fields))


def _connection_kind(word: object) -> ConnectionKind | None:
    try:
        return ConnectionKind(word)
    except ValueError:
        return None


def _descriptor_count(fields: dict[str, Any]) -> int | None:
    count = fields.get("held")
    return count if isinstance(count, int) and count >= 0 else None


@dataclass(slots=True, frozen=True)
class ResponseState:
    """Where a response in progress stands.

    Attributes:
        request_id: The id of the request that it answers.
        service: The class of that request.
        server: The server that the response comes from.
        client: The state of the client's connection.
        upstream: The state of the connection to the server.
    """

    request_id: str
    service: str
    server: str
    client: WireState
    upstream: WireState


def encode_response_state(state: ResponseState) -> WireState:
    """Returns the state as it stands in an offer."""
    return {
        "id": state.request_id,
        "service": state.service,
        "server": state.server,
        "caller": state.client,
        "equipo": state.upstream,
    }


def decode_response_state(state: WireState) -> ResponseState:
    """Returns the state that an offer holds.

    Raises:
        MigrationError: A field is missing.
    """
    try:
        return ResponseState(
            str(state["id"]), str(state["service"]), str(state["server"]), state["caller"], state["equipo"]
        )
    except KeyError as error:
        raise MigrationError(f"the state of a response lacks {error}") from error


def request_id_of(state: WireState) -> str | None:
    """Returns the id of the request to which a response in progress belongs, if its state names one."""
    request_id = state.get("id")
    return request_id if isinstance(request_id, str) else None
