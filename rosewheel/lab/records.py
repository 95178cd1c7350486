"""Files of records: one JSON object a line, readable up to the last complete line whatever ended the writer."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.record_types import Record, RecordFile

FLUSH_BYTES = 1 << 16


class RecordWriter:
    """Writes records to a file. Lines are buffered up to `FLUSH_BYTES`, or until `flush`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []
        self._buffered_bytes = 0

    def write(self, record: Record) -> None:
        """Write a record."""
        self.write_line(self._encode(record))

    def write_line(self, line: bytes) -> None:
        """Write a record that is already encoded."""
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Pass buffered lines to the system."""
        if self._lines:
            self._file.write(b"\n".join(self._lines) + b"\n")
            self._file.flush()
            self._lines, self._buffered_bytes = [], 0

    def close(self) -> None:
        """Flush and close the file."""
        self.flush()
        self._file.close()


def read_records(path: Path) -> Iterator[dict[str, Any]]:
    """Every complete line as a plain object by the keys of the stored form; nothing where there is no file."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    for line in _lines(path):
        try:
            record = decode(line)
        except msgspec.DecodeError:  # the torn last line of a writer that was killed
            continue
        yield record


def load_records(folder: Path, name: RecordFile) -> Iterator[Record]:
    """Every record of one file of a run.

    Raises:
        msgspec.ValidationError: a complete line is no record.
    """
    decode = msgspec.json.Decoder(Record).decode
    for line in _lines(folder / f"{name}.jsonl"):
        try:
            record = decode(line)
        except msgspec.ValidationError:
            raise
        except msgspec.DecodeError:  # the torn last line of a writer that was killed
            continue
        yield record


def _lines(path: Path) -> Iterator[bytes]:
    try:
        file = path.open("rb")
    except FileNotFoundError:
        return
    with file:
        yield from file
