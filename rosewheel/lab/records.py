"""Records of a run: one JSON object a line, readable up to the last whole line whatever ended the writer."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

FLUSH_BYTES = 1 << 16


class RecordWriter:
    """Lines are kept until there are some, or until `flush`; a run flushes twice a second."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("wb")
        self.encode = msgspec.json.Encoder().encode
        self.held: list[bytes] = []
        self.bytes = 0

    def write(self, row: dict[str, Any]) -> None:
        self.put(self.encode(row))

    def put(self, line: bytes) -> None:
        """A record that is encoded already."""
        self.held.append(line)
        self.bytes += len(line)
        if self.bytes > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        if self.held:
            self.file.write(b"\n".join(self.held) + b"\n")
            self.file.flush()
            self.held, self.bytes = [], 0

    def close(self) -> None:
        self.flush()
        self.file.close()


def read_records(path: Path) -> Iterator[dict[str, Any]]:
    """Every whole line; what a crash left of the last one is passed over."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    try:
        file = path.open("rb")
    except FileNotFoundError:
        return
    with file:
        for line in file:
            try:
                row = decode(line)
            except msgspec.DecodeError:
                continue
            yield row
