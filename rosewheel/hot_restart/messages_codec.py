"""Codec of hot restart messages: JSON objects, with the kind of a message under the key `t`.

Unknown kinds and fields are ignored, so that a later version may add some.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from rosewheel.hot_restart.errors import MigrationError, ProtocolError
from rosewheel.hot_restart.messages import (
    Accepted,
    ConnectionKind,
    EndedRequests,
    Hello,
    InFlight,
    ListenersRequest,
    ListenersResponse,
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
        case EndedRequests(ids):
            return {"t": "ended", "ids": list(ids)}
        case ListenersRequest():
            return {"t": "lend"}
        case ListenersResponse():
            return {"t": "lent"}
        case UnknownMessage(kind):
            return {"t": kind}


def decode_message(content: bytes) -> Message:
    """Decodes a message.

    Raises:
        ProtocolError: The content is not a message, or is an offer without a valid number or state.
    """
    try:
        fields = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ProtocolError("message is not JSON") from error
    if not isinstance(fields, dict) or not isinstance(fields.get("t"), str):
        raise ProtocolError("message has no kind")
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
        case "ended" if isinstance(fields.get("ids"), list):
            return EndedRequests(tuple(id for id in fields["ids"] if isinstance(id, str)))
        case "lend":
            return ListenersRequest()
        case "lent":
            return ListenersResponse()
    return UnknownMessage(kind)


def _hello_from(fields: dict[str, Any]) -> Hello:
    versions, node, pid = fields.get("versions"), fields.get("node"), fields.get("pid")
    supported = versions if isinstance(versions, list) else []
    return Hello(
        tuple(version for version in supported if isinstance(version, int)),
        node if isinstance(node, str) else "",
        pid if isinstance(pid, int) else None,
    )


def _offer_from(fields: dict[str, Any]) -> Offer:
    number, state = fields.get("n"), fields.get("state") or {}
    if not isinstance(number, int) or not isinstance(state, dict):
        raise ProtocolError("offer has no valid number or state")
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
    """The state of a response in progress.

    Attributes:
        request_id: The id of the request.
        class_name: The class of the request.
        server: The server that sends the response.
        client: The state of the client's connection.
        upstream: The state of the connection to the server.
    """

    request_id: str
    class_name: str
    server: str
    client: WireState
    upstream: WireState


def encode_response_state(state: ResponseState) -> WireState:
    """Returns the state as an offer contains it."""
    return {
        "id": state.request_id,
        "service": state.class_name,
        "server": state.server,
        "caller": state.client,
        "equipo": state.upstream,
    }


def decode_response_state(state: WireState) -> ResponseState:
    """Returns the state in an offer.

    Raises:
        MigrationError: A field is missing.
    """
    try:
        return ResponseState(
            str(state["id"]), str(state["service"]), str(state["server"]), state["caller"], state["equipo"]
        )
    except KeyError as error:
        raise MigrationError(f"state of a response lacks {error}") from error


def request_id_of(state: WireState) -> str | None:
    """Returns the request id in the state of a response in progress, or None."""
    request_id = state.get("id")
    return request_id if isinstance(request_id, str) else None
