"""JSON encoding of the calls between machines, the calls of operators, and their responses."""

from __future__ import annotations

from typing import Any

from rosewheel.control.codec.paths import HISTORY_PATH
from rosewheel.control.codec.values import (
    JsonObject,
    decode_epoch,
    decode_response_revision,
    decode_revision,
    encode_epoch,
    encode_response_revision,
    encode_revision,
    malformed_on_error,
)
from rosewheel.control.codec.watch import decode_node_status, encode_node_status
from rosewheel.control.documents import Document
from rosewheel.control.errors import MalformedMessageError
from rosewheel.control.messages import (
    ChangeResponse,
    ErrorResponse,
    Heartbeat,
    HistoryResponse,
    MachineState,
    PromoteRequest,
    PutRequest,
    RollbackRequest,
)
from rosewheel.control.revisions import Change, Epoch, Revision

DEFAULT_HISTORY_LENGTH = 20

# Calls between machines.


def encode_heartbeat(heartbeat: Heartbeat) -> JsonObject:
    """Encode the body of a heartbeat."""
    row: JsonObject = {
        "machine": heartbeat.machine,
        "seen": encode_epoch(heartbeat.highest_epoch_seen),
        "at": encode_revision(heartbeat.last),
    }
    if heartbeat.digest:
        row["digest"] = heartbeat.digest
    if heartbeat.node_statuses is not None:
        row["whole"] = heartbeat.includes_all_nodes
        row["nodes"] = [encode_node_status(status) for status in heartbeat.node_statuses]
    return row


def decode_heartbeat(row: JsonObject) -> Heartbeat:
    """Decode the body of a heartbeat.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        return Heartbeat(
            machine=str(row["machine"]),
            highest_epoch_seen=decode_epoch(row["seen"]),
            last=decode_revision(row["at"]),
            node_statuses=tuple(decode_node_status(value) for value in row.get("nodes", ())),
            includes_all_nodes=bool(row.get("whole")),
            digest=str(row.get("digest", "")),
        )


def encode_machine_state(state: MachineState) -> JsonObject:
    """Encode the response to a heartbeat."""
    row: JsonObject = {
        "machine": state.machine,
        "boot": state.process_id,
        "seen": encode_epoch(state.highest_epoch_seen),
        "at": encode_revision(state.last),
    }
    if state.digest:
        row["digest"] = state.digest
    return row


def encode_fence_response(state: MachineState) -> JsonObject:
    """Encode the response to a fence."""
    return encode_machine_state(state) | {"fenced": state.is_fenced}


def decode_machine_state(row: JsonObject) -> MachineState:
    """Decode the response to a heartbeat or fence.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        return MachineState(
            machine=str(row["machine"]),
            process_id=str(row["boot"]),
            highest_epoch_seen=decode_epoch(row["seen"]),
            last=decode_revision(row["at"]),
            is_fenced=bool(row.get("fenced")),
            digest=str(row.get("digest", "")),
        )


def encode_fence(epoch: Epoch) -> JsonObject:
    """Encode the body of a fence, after which the receiver rejects everything below this epoch."""
    return {"epoch": encode_epoch(epoch)}


def decode_fence(row: JsonObject) -> Epoch:
    """Decode the body of a fence.

    Raises:
        MalformedMessageError: The epoch is missing or invalid.
    """
    with malformed_on_error():
        return decode_epoch(row["epoch"])


# Requests of operators.


def encode_put(request: PutRequest) -> JsonObject:
    """Encode the body of a put."""
    return {
        "patch": request.patch,
        "version": request.expected,
        "by": request.author,
        "note": request.note,
        "alone": request.unreplicated,
    }


def decode_put(row: JsonObject) -> PutRequest:
    """Decode the body of a put.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        patch = row["patch"]
        if not isinstance(patch, dict):
            raise MalformedMessageError("patch: not an object")
        return PutRequest(
            patch,
            _revision_number(row, "version"),
            author=str(row.get("by", "")),
            note=str(row.get("note", "")),
            unreplicated=row.get("alone") is True,
        )


def encode_rollback(request: RollbackRequest) -> JsonObject:
    """Encode the body of a rollback."""
    return {
        "to": request.target,
        "version": request.expected,
        "by": request.author,
        "alone": request.unreplicated,
    }


def decode_rollback(row: JsonObject) -> RollbackRequest:
    """Decode the body of a rollback.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        return RollbackRequest(
            _revision_number(row, "to"),
            _revision_number(row, "version"),
            author=str(row.get("by", "")),
            unreplicated=row.get("alone") is True,
        )


def encode_promote(request: PromoteRequest) -> JsonObject:
    """Encode the body of a promotion."""
    return {"force": request.force, "by": request.author}


def decode_promote(row: JsonObject) -> PromoteRequest:
    """Decode the body of a promotion."""
    return PromoteRequest(force=row.get("force") is True, author=str(row.get("by", "")))


def decode_config_service(query: JsonObject) -> str:
    """Decode the service whose document is requested; empty for the complete document."""
    return str(query.get("service", ""))


def history_target(limit: int) -> str:
    """Return the path and query of a history call."""
    return f"{HISTORY_PATH}?most={limit}"


def decode_history_limit(query: JsonObject) -> int:
    """Decode the number of changes that a history call requests.

    Raises:
        MalformedMessageError: The value is not a number.
    """
    with malformed_on_error():
        return max(1, int(query.get("most", DEFAULT_HISTORY_LENGTH)))


def _revision_number(row: JsonObject, key: str) -> int:
    value = row[key]
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedMessageError(f"{key}: {value!r} is not a version")
    return value


# Responses to operators.


def encode_configuration(revision: Revision, document: Document) -> JsonObject:
    """Encode the response to a call for the document."""
    return encode_response_revision(revision) | {"config": document}


def encode_change_response(response: ChangeResponse) -> JsonObject:
    """Encode the response to a put, rollback or promotion."""
    row = encode_response_revision(response.revision) | {"changed": response.changed}
    if response.lost is not None:
        row["lost"] = list(response.lost)
    return row


def decode_change_response(row: JsonObject) -> ChangeResponse:
    """Decode the response to a put, rollback or promotion.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        lost = row.get("lost")
        return ChangeResponse(
            decode_response_revision(row), bool(row["changed"]), None if lost is None else tuple(lost)
        )


def encode_history(response: HistoryResponse) -> JsonObject:
    """Encode the response to a history call."""
    return {
        "machine": response.machine,
        "oldest": response.oldest,
        "versions": [_encode_history_change(change) for change in response.changes],
    }


def decode_history(row: JsonObject) -> HistoryResponse:
    """Decode the response to a history call.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        changes = tuple(_decode_history_change(value) for value in row["versions"])
        return HistoryResponse(str(row["machine"]), int(row["oldest"]), changes)


def _encode_history_change(change: Change) -> JsonObject:
    return encode_response_revision(change.revision) | {
        "at_s": change.created_at_s,
        "by": change.author,
        "note": change.note,
        "patch": change.patch,
    }


def _decode_history_change(row: Any) -> Change:
    return Change(decode_response_revision(row), row["patch"], row["by"], row["note"], row["at_s"])


def encode_error(response: ErrorResponse) -> JsonObject:
    """Encode the response to a failed call."""
    row: JsonObject = {"error": response.text}
    if response.leader is not None:
        row["writer"] = response.leader
    if response.leader_address:
        row["address"] = response.leader_address
    if response.current is not None:
        row["version"] = response.current
    return row


def decode_error(row: object) -> ErrorResponse:
    """Decode the response to a failed call; a response in another form gives an empty text."""
    if not isinstance(row, dict):
        return ErrorResponse("")
    return ErrorResponse(
        str(row.get("error", "")), row.get("writer"), row.get("address") or "", row.get("version")
    )
