"""Files of records with one JSON object per line, readable up to the last complete line after a crash."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.record_types import Record, RecordFile

FLUSH_BYTES = 1 << 16


class RecordWriter:
    """Writes records to a file, with a buffer of up to `FLUSH_BYTES`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._encode = msgspec.json.Encoder().encode
        self._lines: list[bytes] = []
        self._buffered_bytes = 0

    def write(self, record: Record) -> None:
        """Write a record."""
        self.write_line(self._encode(record))

    def write_line(self, line: bytes) -> None:
        """Write an encoded record."""
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines to the file."""
        if self._lines:
            self._file.write(b"\n".join(self._lines) + b"\n")
            self._file.flush()
            self._lines, self._buffered_bytes = [], 0

    def close(self) -> None:
        """Flush and close the file."""
        self.flush()
        self._file.close()


def read_records(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the records of a file as dictionaries with the keys of the stored form; none if the file is missing."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    for line in _lines(path):
        try:
            record = decode(line)
        except msgspec.DecodeError:  # last line, incomplete because the writer was killed
            continue
        yield record


def load_records(folder: Path, name: RecordFile) -> Iterator[Record]:
    """Yield the records of one file of a run; none if the file is missing.

    Raises:
        msgspec.ValidationError: a complete line is not a record.
    """
    decode = msgspec.json.Decoder(Record).decode
    for line in _lines(folder / f"{name}.jsonl"):
        try:
            record = decode(line)
        except msgspec.ValidationError:
            raise
        except msgspec.DecodeError:  # last line, incomplete because the writer was killed
            continue
        yield record


def _lines(path: Path) -> Iterator[bytes]:
    try:
        file = path.open("rb")
    except FileNotFoundError:
        return
    with file:
        yield from file
