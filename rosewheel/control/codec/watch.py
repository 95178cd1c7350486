"""Encoding of watch targets, of updates on a node's watch, and of acknowledgements and node statuses."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from urllib.parse import quote

import orjson

from rosewheel.control.codec.paths import CONFIG_PATH
from rosewheel.control.codec.values import (
    JsonArray,
    JsonObject,
    decode_document,
    decode_revision,
    encode_revision,
    malformed_on_error,
)
from rosewheel.control.errors import MalformedMessageError
from rosewheel.control.messages import ConfigurationUpdate, NodeAcknowledgement, NodeStatus, WatchRequest
from rosewheel.control.revisions import Revision

MAX_NAME_LENGTH = 200  # longest name of a node or service, in characters
MAX_NUMBER = 2**63 - 1  # largest number that the log and messages can encode
MAX_REASON_LENGTH = 300  # longest reason for a rejection, in characters; longer ones are truncated


# Opening a watch.


def encode_watch_target(request: WatchRequest) -> str:
    """Return the path and query that open a watch."""
    received = request.received
    since = f"since={received.number}&epoch={received.epoch_number}&writer={quote(received.leader)}"
    if request.peer:
        return f"{CONFIG_PATH}?follow=1&peer={request.peer}&{since}"
    node = (
        f"node={quote(request.node, safe='')}&service={quote(request.service, safe='')}&stamp={request.stamp}"
    )
    applied = "&held=1" if request.received_is_applied else ""
    return f"{CONFIG_PATH}?follow=1&{since}&{node}{applied}"


def is_watch_query(query: Mapping[str, str]) -> bool:
    """Return whether a query of `CONFIG_PATH` opens a watch."""
    return query.get("follow") == "1"


def decode_watch_request(query: Mapping[str, str]) -> WatchRequest:
    """Decode the query of a watch.

    Raises:
        MalformedMessageError: A number is invalid or too large, or a name is too long.
    """
    with malformed_on_error():
        epoch_number, number = _query_number(query, "epoch"), _query_number(query, "since")
        received = Revision(epoch_number, query.get("writer", ""), number)
        node, service = query.get("node", ""), query.get("service", "")
        if node:
            _check_names(node, service)
        return WatchRequest(
            received,
            peer=query.get("peer", ""),
            node=node,
            service=service,
            stamp=_query_number(query, "stamp"),
            received_is_applied=query.get("held") == "1",
        )


def _query_number(query: Mapping[str, str], key: str) -> int:
    number = int(query.get(key, 0))
    if abs(number) > MAX_NUMBER:
        raise MalformedMessageError(f"{key}: {number} is too large")
    return number


# Lines of a node's watch.


def encode_update(update: ConfigurationUpdate) -> bytes:
    """Encode a line of a node's watch, without its newline."""
    revision = update.revision
    return orjson.dumps(
        {
            "seq": revision.number,
            "epoch": revision.epoch_number,
            "writer": revision.leader,
            "whole": update.is_snapshot,
            "config": update.content,
        }
    )


def decode_update(row: JsonObject) -> ConfigurationUpdate:
    """Decode the JSON object of a line of a node's watch.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        revision = decode_revision([row["epoch"], row["writer"], row["seq"]])
        return ConfigurationUpdate(revision, bool(row.get("whole")), decode_document(row["config"]))


# Acknowledgements and node statuses.


def encode_acknowledgements(acknowledgements: Iterable[NodeAcknowledgement]) -> JsonObject:
    """Encode the body of an acknowledgement call."""
    return {"nodes": [_encode_acknowledgement(acknowledgement) for acknowledgement in acknowledgements]}


def decode_acknowledgements(row: JsonObject) -> list[NodeAcknowledgement]:
    """Decode the body of an acknowledgement call.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        return [_decode_acknowledgement(value) for value in row["nodes"]]


def _encode_acknowledgement(acknowledgement: NodeAcknowledgement) -> JsonArray:
    return [
        acknowledgement.node,
        acknowledgement.service,
        acknowledgement.stamp,
        encode_revision(acknowledgement.applied),
        _encode_optional_revision(acknowledgement.rejected),
        acknowledgement.reason,
    ]


def _decode_acknowledgement(value: object) -> NodeAcknowledgement:
    match value:
        case [str(node), str(service), int(stamp), applied, rejected, reason]:
            _check_names(node, service)
            return NodeAcknowledgement(
                node,
                service,
                stamp,
                decode_revision(applied),
                _decode_optional_revision(rejected),
                str(reason)[:MAX_REASON_LENGTH],
            )
    raise MalformedMessageError(f"{value!r} is not an acknowledgement")


def encode_node_status(status: NodeStatus) -> JsonArray:
    """Encode a node's status as machines forward it in heartbeats."""
    return [
        status.node,
        status.service,
        status.machine,
        status.stamp,
        encode_revision(status.applied),
        _encode_optional_revision(status.rejected),
        status.reason,
        status.connected,
    ]


def decode_node_status(value: object) -> NodeStatus:
    """Decode a node's status.

    Raises:
        MalformedMessageError: The value is not a node's status.
    """
    match value:
        case [str(node), str(service), str(machine), int(stamp), applied, rejected, reason, connected]:
            _check_names(node, service)
            return NodeStatus(
                node,
                service,
                machine,
                stamp,
                decode_revision(applied),
                _decode_optional_revision(rejected),
                str(reason)[:MAX_REASON_LENGTH],
                bool(connected),
            )
    raise MalformedMessageError(f"{value!r} is not a node's status")


def _encode_optional_revision(revision: Revision | None) -> JsonArray | None:
    return None if revision is None else encode_revision(revision)


def _decode_optional_revision(value: object) -> Revision | None:
    return None if value is None else decode_revision(value)


def _check_names(node: str, service: str) -> None:
    if not node or len(node) > MAX_NAME_LENGTH or len(service) > MAX_NAME_LENGTH:
        raise MalformedMessageError("node or service: name is empty or too long")
