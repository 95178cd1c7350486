"""Writes what a node has learned to a file at intervals, and reads it when the next process starts.

The file lies in the folder that outlives a process, and is replaced in one step: a reader finds the old version or the
new one. A file that can't be used is renamed and logged, so that it can be examined and is not read again.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import time
from collections.abc import Callable

from rosewheel.proxy.errors import SnapshotError
from rosewheel.proxy.snapshot_codec import (
    MAX_FILE_BYTES,
    LearnedValues,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    read_clocks,
)

log = logging.getLogger("rosewheel.snapshots")

SNAPSHOT_NAME = "learned.snap"
REJECTED_NAME = "learned.aside"
PERIOD_S = 1.0  # the shortest time between two snapshots
MAX_TIME_SHARE = 0.005  # of the process's time for snapshots: an expensive one is taken less often

TakeValues = Callable[[], LearnedValues]


class SnapshotWriter:
    """Writes snapshots from `start` until `close`. Without a folder it does nothing.

    Args:
        folder: The folder that outlives a process.
        node: The name of this node: only snapshots of the same one are read.
        take: Returns what this process has learned.
        on_disk: Whether the folder lies on a disk, where a write may take tens of milliseconds: then a thread
            does it. Elsewhere the folder is in memory, and a write does not block the loop.

    Attributes:
        last_cost_s: How long the last snapshot took to take and write.
        failing: Whether the last write failed.
    """

    def __init__(self, folder: str | None, node: str, take: TakeValues, on_disk: bool = False) -> None:
        self.last_cost_s = 0.0
        self.failing = False
        self._path = os.path.join(folder, SNAPSHOT_NAME) if folder else None
        self._node = node
        self._take = take
        self._on_disk = on_disk
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def read(self) -> Snapshot | None:
        """Returns the snapshot of an earlier process; None where there is none, or where it can't be used."""
        if self._path is None:
            return None
        try:
            with open(self._path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            return decode_snapshot(data, self._node, read_clocks())
        except FileNotFoundError:
            return None
        except (OSError, SnapshotError) as error:
            log.warning("snapshot rejected: error=%s", error)
            _rename_rejected(self._path)
            return None

    def start(self) -> None:
        """Writes the first snapshot after one period, and others from then on."""
        if self._path is not None:
            self._schedule()

    def close(self) -> None:
        """Writes no more. The file stays: a successor may have replaced it with its own by now."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def write(self) -> None:
        """Writes one snapshot now. A failure is logged once, until a write succeeds again."""
        if self._path is not None:
            started = time.perf_counter()
            self._written(started, self._replace_file(self._path, self._encode()))

    def _encode(self) -> bytes:
        learned, idle_timeout_s = self._take()
        return encode_snapshot(self._node, learned, idle_timeout_s, read_clocks())

    def _replace_file(self, path: str, data: bytes) -> OSError | None:
        """Replaces the file, or returns why it could not. Runs in a thread where the folder lies on a disk."""
        part = os.path.join(os.path.dirname(path), f"learned.{os.getpid()}.part")
        try:
            with open(part, "wb") as file:
                file.write(data)
            # A write that was delayed past `close` must not replace the file of the successor. Where `close`
            # happens between this check and the replacement, the successor's next snapshot restores its file.
            if self._closed:
                os.unlink(part)
            else:
                os.replace(part, path)
        except OSError as error:
            with contextlib.suppress(OSError):
                os.unlink(part)
            return error
        return None

    def _written(self, started: float, error: OSError | None) -> None:
        if error is not None and not self.failing:
            log.error("snapshot not written: error=%s", error)
        self.failing = error is not None
        self.last_cost_s = time.perf_counter() - started

    def _schedule(self) -> None:
        wait_s = max(PERIOD_S, self.last_cost_s / MAX_TIME_SHARE)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._write_scheduled)

    def _write_scheduled(self) -> None:
        if not self._on_disk or self._path is None:
            self.write()
            self._schedule()
            return
        started, loop = time.perf_counter(), asyncio.get_running_loop()

        def finished(done: asyncio.Future[OSError | None]) -> None:
            if not done.cancelled():
                self._written(started, done.result())
            if not self._closed:
                self._schedule()

        writing = loop.run_in_executor(None, self._replace_file, self._path, self._encode())
        writing.add_done_callback(finished)


def _rename_rejected(path: str) -> None:
    """Moves a file aside that can't be used."""
    try:
        os.replace(path, os.path.join(os.path.dirname(path), REJECTED_NAME))
    except OSError as error:
        log.warning("rejected snapshot not renamed: error=%s", error)
