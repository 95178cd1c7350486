"""Tests of the watch client with objects of any kind: it continues from the last valid one."""

from __future__ import annotations

import asyncio
import json
import logging
from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from rosewheel.discovery import watch_client
from rosewheel.discovery.watch_client import WatchClient
from tests.support.scripted_discovery import STREAM_HEAD, ScriptedDiscovery, encode_chunk
from tests.support.sockets import run, until

LOG = logging.getLogger("rosewheel.test")


def _pairs_field(message: dict[str, Any]) -> dict[str, Any]:
    if not isinstance(message["pairs"], dict):
        raise TypeError("pairs is not an object")
    return message["pairs"]


@pytest.mark.parametrize(
    "second", [b'{"seq":9,"pairs":[]}\n', b'{"seq":9}\n', b"[]\n", b'"pairs"\n', b"\xff\n"]
)
def test_objects_of_any_kind_are_applied_and_invalid_ones_rejected(second: bytes):
    """Each watch must request what follows the last valid revision."""

    async def main() -> None:
        updates: list[tuple[bool, dict[str, Any]]] = []
        ended = asyncio.Event()
        first = b'{"seq":8,"whole":true,\n"pairs":{"a":1}}\n'
        async with ScriptedDiscovery(
            scripts={1: STREAM_HEAD + encode_chunk(b"\n") + encode_chunk(first) + encode_chunk(second)}
        ).up() as discovery:
            client = WatchClient(
                ("127.0.0.1", discovery.port),
                3,
                lambda since: f"/pairs?from={since}",
                _pairs_field,
                lambda is_snapshot, pairs: updates.append((is_snapshot, pairs)),
                ended.set,
                LOG,
            )
            client.start()
            await ended.wait()
            assert not client.is_open
            client.start()
            await until(lambda: len(discovery.watch_requests) == 2)
            client.close()
        assert updates == [(True, {"a": 1})]
        assert [line.split()[1] for line in discovery.watch_requests] == ["/pairs?from=3", "/pairs?from=8"]

    run(main())


def test_long_object_is_parsed_a_fixed_number_of_times(monkeypatch: pytest.MonkeyPatch):
    """An indented list must not be parsed again after each of its lines, which would block all requests."""
    parsed_sizes: list[int] = []

    def loads(text: bytes) -> Any:
        parsed_sizes.append(len(text))
        return orjson.loads(text)

    monkeypatch.setattr(
        watch_client, "orjson", SimpleNamespace(loads=loads, JSONDecodeError=orjson.JSONDecodeError)
    )
    message = {"seq": 9, "whole": True, "pairs": {f"a{at}": [{"b{[": '"'}, at] for at in range(500)}}

    async def main() -> None:
        text = json.dumps(message, indent=2).encode() + b"\n"
        async with ScriptedDiscovery(
            scripts={1: STREAM_HEAD + encode_chunk(text) + encode_chunk(text)}
        ).up() as discovery:
            updates: list[dict[str, Any]] = []
            failures: list[None] = []
            client = WatchClient(
                ("127.0.0.1", discovery.port),
                3,
                lambda since: f"/pairs?from={since}",
                _pairs_field,
                lambda is_snapshot, pairs: updates.append(pairs),
                lambda: failures.append(None),
                LOG,
            )
            client.start()
            await until(lambda: len(updates) == 2 or bool(failures))
            client.close()
            assert updates == [message["pairs"]] * 2

    run(main())
    assert len(parsed_sizes) == 4, "for each of two objects, its first line and its whole text"
