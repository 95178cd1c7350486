"""Periodically writes the learned state of a node to a snapshot file, which the next process reads at its start.

The file is replaced atomically. A file that can't be used is renamed, so that it can be examined and is not read again.
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
PERIOD_S = 1.0  # minimum time between two snapshots
MAX_TIME_SHARE = 0.005  # maximum share of time spent on snapshots; slow ones are written less often

CaptureValues = Callable[[], LearnedValues]


class SnapshotWriter:
    """Writes snapshots between `start` and `close`. Does nothing without a folder.

    Args:
        folder: The state folder of the node.
        node: The name of this node. Snapshots of other nodes are rejected.
        capture: Returns the values that this process has learned.
        on_disk: Whether the folder is on a disk, where a write may block for tens of milliseconds. It then runs in a
            thread. If not, the folder is in memory, and the write runs on the event loop.

    Attributes:
        last_cost_s: How long it took to capture and write the last snapshot, in seconds.
        failing: Whether the last write failed.
    """

    def __init__(self, folder: str | None, node: str, capture: CaptureValues, on_disk: bool = False) -> None:
        self.last_cost_s = 0.0
        self.failing = False
        self._path = os.path.join(folder, SNAPSHOT_NAME) if folder else None
        self._node = node
        self._capture = capture
        self._on_disk = on_disk
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def read(self) -> Snapshot | None:
        """Returns the snapshot of an earlier process, or None if there is no usable one."""
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
        """Starts to write snapshots, the first one after one period."""
        if self._path is not None:
            self._schedule()

    def close(self) -> None:
        """Stops writing. The file stays, since it may already be the successor's."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def write(self) -> None:
        """Writes a snapshot now. Of consecutive failures only the first is logged."""
        if self._path is not None:
            started_s = time.perf_counter()
            self._write_finished(started_s, self._replace_file(self._path, self._encode()))

    def _encode(self) -> bytes:
        learned, stale_limit_s = self._capture()
        return encode_snapshot(self._node, learned, stale_limit_s, read_clocks())

    def _replace_file(self, path: str, data: bytes) -> OSError | None:
        """Replaces the file, and returns the error if that fails. Runs in a thread if the folder is on a disk."""
        temporary = os.path.join(os.path.dirname(path), f"learned.{os.getpid()}.part")
        try:
            with open(temporary, "wb") as file:
                file.write(data)
            # A write that is still running after `close` must not replace the successor's file. If `close` happens
            # between this check and the replacement, the successor's next snapshot replaces the file again.
            if self._closed:
                os.unlink(temporary)
            else:
                os.replace(temporary, path)
        except OSError as error:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            return error
        return None

    def _write_finished(self, started_s: float, error: OSError | None) -> None:
        if error is not None and not self.failing:
            log.error("snapshot not written: error=%s", error)
        self.failing = error is not None
        self.last_cost_s = time.perf_counter() - started_s

    def _schedule(self) -> None:
        wait_s = max(PERIOD_S, self.last_cost_s / MAX_TIME_SHARE)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._write_scheduled)

    def _write_scheduled(self) -> None:
        if not self._on_disk or self._path is None:
            try:
                self.write()
            finally:
                self._schedule()
            return
        started_s, loop = time.perf_counter(), asyncio.get_running_loop()

        def finished(done: asyncio.Future[OSError | None]) -> None:
            if not done.cancelled():
                self._write_finished(started_s, done.result())
            if not self._closed:
                self._schedule()

        writing = loop.run_in_executor(None, self._replace_file, self._path, self._encode())
        writing.add_done_callback(finished)


def _rename_rejected(path: str) -> None:
    """Renames a file that can't be used."""
    try:
        os.replace(path, os.path.join(os.path.dirname(path), REJECTED_NAME))
    except OSError as error:
        log.warning("rejected snapshot not renamed: error=%s", error)
