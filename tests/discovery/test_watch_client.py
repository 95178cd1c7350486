"""The watch client by itself: whatever its objects hold, it goes on from the last one that made sense."""

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


def _pairs(row: dict[str, Any]) -> dict[str, Any]:
    if not isinstance(row["pairs"], dict):
        raise TypeError("pairs is not an object")
    return row["pairs"]


@pytest.mark.parametrize(
    "second", [b'{"seq":9,"pairs":[]}\n', b'{"seq":9}\n', b"[]\n", b'"pairs"\n', b"\xff\n"]
)
def test_objects_of_any_kind_are_applied_and_invalid_ones_rejected(second: bytes):
    """The path is made anew for each watch, by the count of what made sense last."""

    async def main() -> None:
        took: list[tuple[bool, dict[str, Any]]] = []
        ended = asyncio.Event()
        first = b'{"seq":8,"whole":true,\n"pairs":{"a":1}}\n'
        async with ScriptedDiscovery(
            scripts={1: STREAM_HEAD + encode_chunk(b"\n") + encode_chunk(first) + encode_chunk(second)}
        ).up() as agent:
            watcher = WatchClient(
                ("127.0.0.1", agent.port),
                3,
                lambda since: f"/pairs?from={since}",
                _pairs,
                lambda whole, pairs: took.append((whole, pairs)),
                ended.set,
                LOG,
            )
            watcher.start()
            await ended.wait()
            assert not watcher.is_open
            watcher.start()
            await until(lambda: len(agent.asked) == 2)
            watcher.close()
        assert took == [(True, {"a": 1})]
        assert [line.split()[1] for line in agent.asked] == ["/pairs?from=3", "/pairs?from=8"]

    run(main())


def test_long_object_is_parsed_a_fixed_number_of_times(monkeypatch: pytest.MonkeyPatch):
    """Guards every request meanwhile. Found: read anew at each line, a list of 500 held the node up for 6 s."""
    reads: list[int] = []

    def loads(text: bytes) -> Any:
        reads.append(len(text))
        return orjson.loads(text)

    monkeypatch.setattr(
        watch_client, "orjson", SimpleNamespace(loads=loads, JSONDecodeError=orjson.JSONDecodeError)
    )
    given = {"seq": 9, "whole": True, "pairs": {f"a{at}": [{"b{[": '"'}, at] for at in range(500)}}

    async def main() -> None:
        text = json.dumps(given, indent=2).encode() + b"\n"
        async with ScriptedDiscovery(
            scripts={1: STREAM_HEAD + encode_chunk(text) + encode_chunk(text)}
        ).up() as agent:
            took: list[dict[str, Any]] = []
            failed: list[None] = []
            watcher = WatchClient(
                ("127.0.0.1", agent.port),
                3,
                lambda since: f"/pairs?from={since}",
                _pairs,
                lambda whole, pairs: took.append(pairs),
                lambda: failed.append(None),
                LOG,
            )
            watcher.start()
            await until(lambda: len(took) == 2 or bool(failed))
            watcher.close()
            assert took == [given["pairs"]] * 2

    run(main())
    assert len(reads) == 4  # each one's first line, and each whole
