"""JSON encoding of the log records, and of the log suffixes that machines send to followers."""

from __future__ import annotations

from typing import Any

import orjson

from rosewheel.control.codec.values import (
    JsonObject,
    decode_document,
    decode_epoch,
    decode_revision,
    encode_epoch,
    encode_revision,
    malformed_on_error,
)
from rosewheel.control.errors import MalformedMessageError
from rosewheel.control.revisions import Change, EpochObserved, LogRecord, LogSuffix, Snapshot


def encode_log_record(record: LogRecord) -> bytes:
    """Encode the body of a log record."""
    match record:
        case Change():
            return orjson.dumps(_encode_change(record))
        case Snapshot():
            return orjson.dumps(_encode_snapshot(record))
        case EpochObserved():
            return orjson.dumps({"kind": "seen", "epoch": encode_epoch(record.epoch)})


def decode_log_record(body: bytes) -> LogRecord:
    """Decode the body of a log record.

    Raises:
        MalformedMessageError: The kind is unknown, or a field is missing or invalid.
    """
    with malformed_on_error():
        row: JsonObject = orjson.loads(body)
        match row["kind"]:
            case "change":
                return _decode_change(row)
            case "base":
                return _decode_snapshot(row)
            case "seen":
                return EpochObserved(decode_epoch(row["epoch"]))
            case kind:
                raise MalformedMessageError(f"kind: {kind!r} is unknown")


def encode_log_suffix(suffix: LogSuffix) -> bytes:
    """Encode a line of a follower's watch, without its newline."""
    row: JsonObject = {"seq": suffix.last.number, "whole": suffix.snapshot is not None}
    row["changes"] = [_encode_change(change) for change in suffix.changes]
    if suffix.snapshot is not None:
        row["base"] = _encode_snapshot(suffix.snapshot)
    return orjson.dumps(row)


def decode_log_suffix(row: JsonObject) -> LogSuffix:
    """Decode the JSON object of a line of a follower's watch.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    with malformed_on_error():
        snapshot = row.get("base")
        changes = tuple(_decode_change(change) for change in row["changes"])
        return LogSuffix(changes, None if snapshot is None else _decode_snapshot(snapshot))


def _encode_change(change: Change) -> JsonObject:
    row: JsonObject = {
        "kind": "change",
        "at": encode_revision(change.revision),
        "patch": change.patch,
        "at_s": change.created_at_s,
    }
    optional = {"by": change.author, "note": change.note, "alone": change.unreplicated}
    return row | {key: value for key, value in optional.items() if value}


def _decode_change(row: Any) -> Change:
    return Change(
        revision=decode_revision(row["at"]),
        patch=decode_document(row["patch"]),
        author=str(row.get("by", "")),
        note=str(row.get("note", "")),
        created_at_s=float(row["at_s"]),
        unreplicated=bool(row.get("alone")),
    )


def _encode_snapshot(snapshot: Snapshot) -> JsonObject:
    return {
        "kind": "base",
        "at": encode_revision(snapshot.revision),
        "document": snapshot.document or {},
        "at_s": snapshot.created_at_s,
    }


def _decode_snapshot(row: Any) -> Snapshot:
    return Snapshot(decode_revision(row["at"]), decode_document(row["document"]), float(row["at_s"]))
