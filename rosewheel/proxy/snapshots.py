"""What a node has learned, written down now and then so that the next process need not begin as if it knew nothing.

One file in the folder that outlives a process: a line with the format, a checksum and the length, then JSON. It is
replaced as a whole, so that a reader finds the old one or the new one. What can't be used is set aside under another
name, with a line in the log: it may be wanted to find out why, and must not be read again at every start.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import os
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.learned_state_codec import (
    FORMAT_VERSION,
    learned_state_from_json,
    learned_state_to_json,
    snapshot_age_ms,
)

log = logging.getLogger("rosewheel.snapshots")

SNAPSHOT_NAME, REJECTED_NAME = "learned.snap", "learned.aside"
MAGIC = b"rosewheel-learned"
PERIOD_S = 1.0  # how often one is written,
MAX_TIME_SHARE = 0.005  # or so seldom that taking and writing it stays under this share of the time
FILE_BYTES = 16 << 20  # Guards memory: a longer file was not written here


@dataclass(slots=True, frozen=True)
class Snapshot:
    """What a file holds: the module's part, and how long connections to equipos may rest."""

    learned: LearnedState
    age_ms: float
    rest_s: float = math.inf


Taken = Callable[[], tuple[LearnedState, float]]


def read_clocks() -> tuple[float, float]:
    """Milliseconds of the monotonic clock, and of the time of day."""
    return time.monotonic() * 1000.0, time.time() * 1000.0


def encode_snapshot(node: str, learned: LearnedState, rest_s: float, now: tuple[float, float]) -> bytes:
    row = {
        "node": node,
        "monotonic_ms": now[0],
        "wall_ms": now[1],
        "rest_s": rest_s if math.isfinite(rest_s) else None,
        "learned": learned_state_to_json(learned),
    }
    body = orjson.dumps(row)
    return b"%b %d %08x %d\n" % (MAGIC, FORMAT_VERSION, zlib.crc32(body), len(body)) + body


def decode_snapshot(data: bytes, node: str, now: tuple[float, float]) -> Snapshot:
    """What such a file holds for this node; ValueError with the reason where it is of no use."""
    head, newline, body = data.partition(b"\n")
    parts = head.split(b" ")
    if not newline or len(parts) != 4 or parts[0] != MAGIC:
        raise ValueError("not a snapshot")
    if parts[1] != b"%d" % FORMAT_VERSION:
        raise ValueError(f"of version {parts[1].decode('ascii', 'replace')}, not {FORMAT_VERSION}")
    if parts[3] != b"%d" % len(body):
        raise ValueError("not whole")
    if parts[2] != b"%08x" % zlib.crc32(body):
        raise ValueError("damaged")
    row: Any = orjson.loads(body)
    if row.get("node") != node:
        raise ValueError(f"of another node, {row.get('node')!r}")
    saved = float(row["monotonic_ms"]), float(row["wall_ms"])
    old = snapshot_age_ms(saved, now)
    if old is None:
        raise ValueError("from the future, by both clocks")
    rest = row.get("rest_s")
    if rest is not None and not (isinstance(rest, float | int) and 0.0 < rest < 1e6):
        raise ValueError("rest_s is no figure")
    return Snapshot(learned_state_from_json(row["learned"]), old, math.inf if rest is None else float(rest))


class SnapshotWriter:
    """Writes one now and then from `start` on, until `close`. Without a folder it does nothing. `on_disk`: a write may
    take tens of milliseconds on a busy disk, so a thread does it; elsewhere the folder is memory and costs no wait."""

    def __init__(self, folder: str | None, node: str, take: Taken, on_disk: bool = False) -> None:
        self.path = os.path.join(folder, SNAPSHOT_NAME) if folder else None
        self.node, self.take = node, take
        self.last_cost_s = 0.0  # of the last one
        self.failing = False
        self.on_disk = on_disk
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def read(self) -> Snapshot | None:
        """What an earlier process left, if it is of use."""
        if self.path is None:
            return None
        try:
            with open(self.path, "rb") as file:
                data = file.read(FILE_BYTES + 1)
            if len(data) > FILE_BYTES:
                raise ValueError("too long")
            return decode_snapshot(data, self.node, read_clocks())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("what was learned before is not used: %s", error)
            self._set_aside()
            return None

    def _set_aside(self) -> None:
        assert self.path is not None
        try:
            os.replace(self.path, os.path.join(os.path.dirname(self.path), REJECTED_NAME))
        except OSError as error:
            log.warning("it could not be set aside: %s", error)

    def start(self) -> None:
        if self.path is not None:
            self._later()

    def close(self) -> None:
        """No more of them. What is there stays: the process that follows has written its own since."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def write(self) -> None:
        """One now. A folder that is full or gone costs a line in the log, the first time, and nothing else."""
        if self.path is not None:
            began = time.perf_counter()
            self._written(
                began, self._put(self.path, encode_snapshot(self.node, *self.take(), read_clocks()))
            )

    def _put(self, path: str, data: bytes) -> OSError | None:
        """Replace the file, or say why not."""
        part = os.path.join(os.path.dirname(path), f"learned.{os.getpid()}.part")
        try:
            with open(part, "wb") as file:
                file.write(data)
            # Guards what the process that follows has written; should it do so right here, its next one mends it.
            if self._closed:
                os.unlink(part)
            else:
                os.replace(part, path)
        except OSError as error:
            with contextlib.suppress(OSError):
                os.unlink(part)
            return error
        return None

    def _written(self, began: float, error: OSError | None) -> None:
        if error is not None and not self.failing:
            log.error("what is learned is not kept: %s", error)
        self.failing = error is not None
        self.last_cost_s = time.perf_counter() - began

    def _later(self) -> None:
        wait = max(PERIOD_S, self.last_cost_s / MAX_TIME_SHARE)
        self._timer = asyncio.get_running_loop().call_later(wait, self._due)

    def _due(self) -> None:
        if not self.on_disk:
            self.write()
            self._later()
            return
        assert self.path is not None
        began, loop = time.perf_counter(), asyncio.get_running_loop()
        data = encode_snapshot(self.node, *self.take(), read_clocks())

        def ended(done: asyncio.Future[OSError | None]) -> None:
            if not done.cancelled():
                self._written(began, done.result())
            if not self._closed:
                self._later()

        loop.run_in_executor(None, self._put, self.path, data).add_done_callback(ended)
