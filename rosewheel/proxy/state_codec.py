"""Codec of the state file: JSON with a version and the ids of the cordoned servers."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from rosewheel.proxy.errors import StateFileError

VERSION = 1
MAX_FILE_BYTES = 1 << 20  # larger files are rejected, to limit the memory for reading one


@dataclass(slots=True, frozen=True)
class StateRecord:
    """The content of the state file.

    Attributes:
        cordoned: Ids of the servers that operators have cordoned.
    """

    cordoned: frozenset[str]


def encode_state(record: StateRecord) -> bytes:
    """Returns the content of a state file."""
    return orjson.dumps({"version": VERSION, "cordoned": sorted(record.cordoned)})


def decode_state(data: bytes) -> StateRecord:
    """Returns the record in a state file.

    Raises:
        StateFileError: The content is not a state file of this version.
    """
    if len(data) > MAX_FILE_BYTES:
        raise StateFileError(f"state file exceeds {MAX_FILE_BYTES} bytes")
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise StateFileError(str(error)) from error
    if not isinstance(content, dict) or content.get("version") != VERSION:
        raise StateFileError(f"not a state file of version {VERSION}")
    servers = content.get("cordoned")
    if not isinstance(servers, list) or not all(isinstance(server, str) for server in servers):
        raise StateFileError("cordoned is not a list of server ids")
    return StateRecord(frozenset(servers))
