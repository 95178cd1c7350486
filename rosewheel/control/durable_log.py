"""Append-only log on disk. Records survive a crash or power loss once `append` has returned.

A record on disk is a header (length of the body, checksum of that length, checksum of the body) and the body, which
ends with a newline. A crash can leave an incomplete last record: cut short, or with an unwritten end that reads as
zeros. Such a record was never acknowledged and is truncated on opening. Any other mismatch is corruption: the log
refuses to open and leaves the file unchanged for inspection.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

from rosewheel.control.errors import LogDamagedError, LogLockedError, LogWriteError

LOG_FILE_NAME = "control.log"
REWRITE_FILE_NAME = "control.part"  # new log content, renamed to the log once synced
LOCK_FILE_NAME = "control.lock"

RECORD_HEADER = struct.Struct("<III")  # length of the body, crc32 of the length, crc32 of the body
BODY_LENGTH = struct.Struct("<I")
BODY_END = b"\n"  # a body never ends in a zero byte, which distinguishes it from unwritten space
MAX_BODY_BYTES = 64 << 20  # limits memory use; no valid record is longer


class DurableLog:
    """The log in one directory, which only one process can have open.

    Attributes:
        directory: Directory of the log, created if missing.
        path: The log file.
        size: Total size of the records, in bytes.
        record_count: Number of records.
        truncated_bytes: Bytes of an incomplete last record that were truncated on opening.
        failure: Error after which the file must be rewritten before it accepts more records; None if there is none.
    """

    def __init__(self, directory: str | Path) -> None:
        """Open the log and read its records.

        Raises:
            LogDamagedError: A record does not match its checksum.
            LogLockedError: Another process has the log open.
            OSError: The directory or a file can't be used.
        """
        self.directory = Path(directory)
        self.path = self.directory / LOG_FILE_NAME
        if not self.directory.is_dir():
            self.directory.mkdir(parents=True)
            _sync_directory(self.directory.parent)
        self._lock = self._acquire_lock()
        self.failure: LogWriteError | None = None
        self.truncated_bytes = 0
        self._file = -1
        try:
            self._records = self._open()
        except BaseException:
            self.close()
            raise

    def _acquire_lock(self) -> int:
        lock = os.open(self.directory / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise LogLockedError(self.directory) from error
        return lock

    def _open(self) -> list[bytes]:
        created = not self.path.exists()
        self._file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        data = self.path.read_bytes()
        records, end = _read_records(data, self.path)
        self.size, self.record_count = end, len(records)
        if end < len(data):
            self.truncated_bytes = len(data) - end
            os.ftruncate(self._file, end)
        if created or self.truncated_bytes:
            os.fsync(self._file)
            _sync_directory(self.directory)
        return records

    def take_records(self) -> list[bytes]:
        """Return the records found on opening, oldest first, and release the log's reference to them."""
        records, self._records = self._records, []
        return records

    def append(self, records: Iterable[bytes]) -> None:
        """Write and sync records.

        Raises:
            LogWriteError: None of the records was accepted. The next call first rewrites all accepted records to a new
                file, since the content of the old one is unknown.
        """
        self._recover()
        framed = [_frame(record) for record in records]
        data = b"".join(framed)
        try:
            self._write(data)
            self._sync()
        except OSError as error:
            # After a failed fsync the kernel may have dropped dirty pages, so the content on disk is unknown.
            self.failure = LogWriteError(self.path, error.strerror or str(error))
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, self.size)
            raise self.failure from error
        self.size += len(data)
        self.record_count += len(framed)

    def _write(self, data: bytes) -> None:
        offset = self.size
        view = memoryview(data)
        while view:
            written = os.pwrite(self._file, view, offset)
            offset += written
            view = view[written:]

    def _sync(self) -> None:
        os.fsync(self._file)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replace all records atomically: after a crash the log has either all old or all new records.

        Raises:
            OSError: The new file could not be written. The old records stay, and more can be appended.
            LogWriteError: The rename could not be synced, so either version may survive a crash. The next call retries.
        """
        self._recover()
        framed = [_frame(record) for record in records]
        data = b"".join(framed)
        self._replace_file(data, len(framed))

    def _replace_file(self, data: bytes, record_count: int) -> None:
        file = self._write_replacement(data)
        os.close(self._file)
        self._file, self.size, self.record_count = file, len(data), record_count
        try:
            _sync_directory(self.directory)
        except OSError as error:
            self.failure = LogWriteError(self.directory, error.strerror or str(error))
            raise self.failure from error

    def _write_replacement(self, data: bytes) -> int:
        """Write and sync a new log file, rename it to the log, and return its descriptor."""
        replacement = self.directory / REWRITE_FILE_NAME
        file = os.open(replacement, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]
            os.fsync(file)
            os.rename(replacement, self.path)
        except OSError:
            os.close(file)
            raise
        return file

    def _recover(self) -> None:
        """Rewrite all accepted records to a new file if the last write failed.

        Raises:
            LogWriteError: The disk still fails, or the accepted records can't be read back.
        """
        if self.failure is None:
            return
        try:
            data = self.path.read_bytes()[: self.size]
            records, _ = _read_records(data, self.path)
            if len(records) != self.record_count:
                raise OSError(errno.EIO, "accepted records are missing")
            self._replace_file(data, self.record_count)
        except (OSError, LogDamagedError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            self.failure = LogWriteError(self.path, reason)
            raise self.failure from error
        self.failure = None

    def close(self) -> None:
        """Close the files and release the lock."""
        for file in (self._file, self._lock):
            if file >= 0:
                os.close(file)
        self._file = self._lock = -1


def _frame(record: bytes) -> bytes:
    body = record + BODY_END
    length = BODY_LENGTH.pack(len(body))
    return RECORD_HEADER.pack(len(body), zlib.crc32(length), zlib.crc32(body)) + body


def _read_records(data: bytes, path: Path) -> tuple[list[bytes], int]:
    """Return the complete records and the offset at which the last one ends."""
    records: list[bytes] = []
    offset, end = 0, len(data)
    while offset + RECORD_HEADER.size <= end:
        length, length_checksum, body_checksum = RECORD_HEADER.unpack_from(data, offset)
        body_offset = offset + RECORD_HEADER.size
        body = data[body_offset : body_offset + length]
        if zlib.crc32(BODY_LENGTH.pack(length)) != length_checksum or length > MAX_BODY_BYTES:
            if _is_unwritten(data, offset, RECORD_HEADER.size):
                break
            raise LogDamagedError(path, offset, len(records))
        if len(body) < length:
            break
        if zlib.crc32(body) != body_checksum:
            if _is_unwritten(data, offset, RECORD_HEADER.size + length):
                break
            raise LogDamagedError(path, offset, len(records))
        records.append(body.removesuffix(BODY_END))
        offset = body_offset + length
    return records, offset


def _is_unwritten(data: bytes, offset: int, size: int) -> bool:
    """Return whether a record of this size ends in zeros and only zeros follow, as in allocated but unwritten space."""
    return len(data[offset:].rstrip(b"\0")) < size


def _sync_directory(directory: Path) -> None:
    file = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(file)
    finally:
        os.close(file)
