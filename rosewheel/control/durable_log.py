"""An append-only log on disk: what `append` has returned from is there after any loss of power.

A record is its length, a checksum of that, a checksum of the body, and the body: one JSON object. What a crash can
leave is a last record that is cut short, or whose end was never written and reads as zeros. That was acknowledged to
nobody and is cut off. Whatever else does not add up is damage, and is left for people to look at.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import orjson

LOG_FILE_NAME, PART, LOCK = "control.log", "control.part", "control.lock"
RECORD_HEADER = struct.Struct("<III")  # length of the body, crc32 of that length, crc32 of the body
LENGTH = struct.Struct("<I")
BODY_BYTES = 64 << 20  # Guards memory: a longer record was not written here

LogRecord = dict[str, Any]


class LogDamagedError(Exception):
    """The log can't be used as it is; the text is one plain line."""


class DurableLog:
    """One process at a time. Raises DamagedError where the log is damaged or another process has it, OSError where
    the folder can't be used."""

    def __init__(self, folder: str | Path) -> None:
        self.directory = Path(folder)
        self.path = self.directory / LOG_FILE_NAME
        if not self.directory.is_dir():
            self.directory.mkdir(parents=True)
            _sync_folder(self.directory.parent)
        self._lock = os.open(self.directory / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise LogDamagedError(f"{self.directory}: another process has it") from error
        self.failure = ""  # why nothing more can be written
        self.truncated_bytes = 0  # bytes that were cut off at the start
        self._file = -1
        try:
            self.records = self._open()  # as found; whoever reads them may drop them
        except BaseException:
            self.close()
            raise

    def _open(self) -> list[LogRecord]:
        fresh = not self.path.exists()
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        data = self.path.read_bytes()
        records, good = _read(data, str(self.path))
        self.size, self.record_count = good, len(records)
        if good < len(data):
            self.truncated_bytes = len(data) - good
            os.ftruncate(self._file, good)
        if fresh or self.truncated_bytes:
            os.fsync(self._file)
            _sync_folder(self.directory)
        return records

    def append(self, records: Iterable[LogRecord]) -> None:
        """Write and sync. OSError: nothing of it counts; where that can't be made sure, nothing more is taken."""
        if self.failure:
            raise OSError(self.failure)
        packed = [_packed(record) for record in records]
        data = b"".join(packed)
        try:
            self._write(data)
            self._sync()
        except OSError as error:
            # After a failed sync the system may have dropped what it had, so what is on the disk is not known.
            self.failure = f"{self.path}: {error.strerror or error}: start again"
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, self.size)
            raise OSError(self.failure) from error
        self.size += len(data)
        self.record_count += len(packed)

    def _write(self, data: bytes) -> None:
        at = self.size
        view = memoryview(data)
        while view:
            written = os.pwrite(self._file, view, at)
            at += written
            view = view[written:]

    def _sync(self) -> None:
        os.fsync(self._file)

    def rewrite(self, records: Iterable[LogRecord]) -> None:
        """These in place of all there was; after a crash it is all of the one or all of the other."""
        if self.failure:
            raise OSError(self.failure)
        packed = [_packed(record) for record in records]
        part = self.directory / PART
        file = os.open(part, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            data = memoryview(b"".join(packed))
            size = len(data)
            while data:
                data = data[os.write(file, data) :]
            os.fsync(file)
            os.rename(part, self.path)
        except OSError:
            os.close(file)
            raise
        os.close(self._file)
        self._file, self.size, self.record_count = file, size, len(packed)
        try:
            _sync_folder(self.directory)
        except OSError as error:
            self.failure = f"{self.directory}: {error.strerror or error}: start again"
            raise OSError(self.failure) from error

    def close(self) -> None:
        for file in (self._file, self._lock):
            if file >= 0:
                os.close(file)
        self._file = self._lock = -1


def _packed(record: LogRecord) -> bytes:
    body = orjson.dumps(record, default=tuple) + b"\n"
    length = LENGTH.pack(len(body))
    return RECORD_HEADER.pack(len(body), zlib.crc32(length), zlib.crc32(body)) + body


def _read(data: bytes, name: str) -> tuple[list[LogRecord], int]:
    """The records, and where the good ones end."""
    records: list[LogRecord] = []
    at, end = 0, len(data)
    while at < end:
        if at + RECORD_HEADER.size > end:
            break
        length, head_sum, body_sum = RECORD_HEADER.unpack_from(data, at)
        body = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
        if zlib.crc32(LENGTH.pack(length)) != head_sum or length > BODY_BYTES:
            if _unwritten(data, at, RECORD_HEADER.size):
                break
            raise LogDamagedError(f"{name}: damaged at byte {at}, after {len(records)} good records")
        if len(body) < length:
            break
        if zlib.crc32(body) != body_sum:
            if _unwritten(data, at, RECORD_HEADER.size + length):
                break
            raise LogDamagedError(f"{name}: damaged at byte {at}, after {len(records)} good records")
        records.append(orjson.loads(body))
        at += RECORD_HEADER.size + length
    return records, at


def _unwritten(data: bytes, at: int, size: int) -> bool:
    """Whether these bytes end in zeros, and nothing but zeros follows, as space does that was taken and not written.
    No record ends so."""
    return len(data[at:].rstrip(b"\0")) < size


def _sync_folder(folder: Path) -> None:
    file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(file)
    finally:
        os.close(file)
