"""Codec of snapshot files: a header line with magic, format version, checksum and length, then JSON."""

from __future__ import annotations

import math
import time
import zlib
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.learned_state_codec import (
    FORMAT_VERSION,
    learned_state_from_json,
    learned_state_to_json,
    snapshot_age_ms,
)
from rosewheel.proxy.errors import SnapshotDamagedError, SnapshotMismatchError

MAGIC = b"rosewheel-learned"
MAX_FILE_BYTES = 16 << 20  # larger files are rejected, to limit the memory for reading one
MAX_STALE_LIMIT_S = 1e6


class ClockReading(NamedTuple):
    """Readings of both clocks at one moment, in milliseconds.

    The age of a snapshot needs both: the wall clock may be changed, and the monotonic clock restarts with the machine.
    """

    monotonic_ms: float
    wall_ms: float


class LearnedValues(NamedTuple):
    """The values that one process has learned.

    Attributes:
        learned: The learned state of the balancing policy.
        stale_limit_s: The limit on the idle time of connections to servers; see `IdleTimeout`. Infinite without one.
    """

    learned: LearnedState
    stale_limit_s: float


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The values that an earlier process had learned.

    Attributes:
        learned: The learned state of the balancing policy.
        age_ms: The age of the snapshot.
        stale_limit_s: The limit on the idle time of connections to servers; see `IdleTimeout`. Infinite without one.
    """

    learned: LearnedState
    age_ms: float
    stale_limit_s: float = math.inf


def read_clocks() -> ClockReading:
    """Returns the current readings of both clocks."""
    return ClockReading(time.monotonic() * 1000.0, time.time() * 1000.0)


def encode_snapshot(node: str, learned: LearnedState, stale_limit_s: float, now: ClockReading) -> bytes:
    """Returns the content of a snapshot file of this node."""
    content = {
        "node": node,
        "monotonic_ms": now.monotonic_ms,
        "wall_ms": now.wall_ms,
        "rest_s": stale_limit_s if math.isfinite(stale_limit_s) else None,
        "learned": learned_state_to_json(learned),
    }
    body = orjson.dumps(content)
    return b"%b %d %08x %d\n" % (MAGIC, FORMAT_VERSION, zlib.crc32(body), len(body)) + body


def decode_snapshot(data: bytes, node: str, now: ClockReading) -> Snapshot:
    """Returns the snapshot in a file of this node.

    Args:
        data: The content of the file.
        node: The name of this node. Snapshots of other nodes are rejected.
        now: The current readings of both clocks.

    Raises:
        SnapshotDamagedError: The file is not a complete snapshot.
        SnapshotMismatchError: The snapshot has another format version or node, or a time in the future.
    """
    content = _checked_content(data)
    try:
        return _snapshot_from(content, node, now)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SnapshotDamagedError(f"{type(error).__name__}: {error}") from error


def _checked_content(data: bytes) -> Any:
    """Checks the header line, and returns the JSON content."""
    if len(data) > MAX_FILE_BYTES:
        raise SnapshotDamagedError(f"snapshot exceeds {MAX_FILE_BYTES} bytes")
    header, newline, body = data.partition(b"\n")
    fields = header.split(b" ")
    if not newline or len(fields) != 4 or fields[0] != MAGIC:
        raise SnapshotDamagedError("not a snapshot")
    _, version, checksum, length = fields
    if version != b"%d" % FORMAT_VERSION:
        raise SnapshotMismatchError(
            f"snapshot has format version {version.decode('ascii', 'replace')}, not {FORMAT_VERSION}"
        )
    if length != b"%d" % len(body):
        raise SnapshotDamagedError(
            f"snapshot body has {len(body)} bytes, its header declares {length.decode('ascii', 'replace')}"
        )
    if checksum != b"%08x" % zlib.crc32(body):
        raise SnapshotDamagedError("snapshot does not match its checksum")
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise SnapshotDamagedError(str(error)) from error


def _snapshot_from(content: Any, node: str, now: ClockReading) -> Snapshot:
    if content.get("node") != node:
        raise SnapshotMismatchError(f"snapshot belongs to another node, {content.get('node')!r}")
    saved = ClockReading(float(content["monotonic_ms"]), float(content["wall_ms"]))
    age_ms = snapshot_age_ms(saved, now)
    if age_ms is None:
        raise SnapshotMismatchError("snapshot time is in the future on both clocks")
    return Snapshot(
        learned_state_from_json(content["learned"]), age_ms, _stale_limit_from(content.get("rest_s"))
    )


def _stale_limit_from(value: Any) -> float:
    if value is None:
        return math.inf
    if not (isinstance(value, float | int) and 0.0 < value < MAX_STALE_LIMIT_S):
        raise ValueError(f"rest_s is not a number between 0 and {MAX_STALE_LIMIT_S:.0f}")
    return float(value)
