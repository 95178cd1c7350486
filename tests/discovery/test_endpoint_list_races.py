"""Tests of the endpoint list in rare cases: a new process, silent or failing watches, split and invalid lines."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.discovery import backoff, watch_client
from rosewheel.discovery.endpoint_list import DiscoveryWatch, Endpoint
from rosewheel.discovery.watch_client import WatchPhase
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm
from rosewheel.proxy import endpoints as endpoints_module
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import settings
from tests.support.loops import PatchedLoop
from tests.support.scripted_discovery import STREAM_HEAD, ScriptedDiscovery, encode_chunk
from tests.support.sockets import FakeServer, config, encode_response, entry, run, until

EMPTY = b'{"seq":5,"whole":false,"hosts":[]}\n'
ONE = b'{"seq":7,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:9","health":"active"}]}'
INDENTED = b"""{
  "seq": 7,
  "whole": true,
  "hosts": [
    {
      "host": "s{[",
      "dial": "127.0.0.1:9",
      "health": "active"
    }
  ]
}"""


@contextlib.asynccontextmanager
async def node_with_pushed_lists(
    discovery: ScriptedDiscovery, known: list[dict[str, object]]
) -> AsyncIterator[Proxy]:
    """Create a node to which lists are pushed, without starting it."""
    node_config = dataclasses.replace(config(known), discovery_address=("127.0.0.1", discovery.port))
    proxy = Proxy(dataclasses.replace(node_config, settings=settings(poll_discovery=False)))
    try:
        yield proxy
    finally:
        proxy.stopped = True
        proxy.discovery.close()
        proxy.upstream.close()
        proxy.server.close()


def test_new_process_accepts_clients_only_after_the_first_update(monkeypatch: pytest.MonkeyPatch):
    """A new process must not send requests to servers that have started to drain since its list was stored."""
    monkeypatch.setattr(endpoints_module, "PUSHED_LIST_WAIT_S", 60.0)

    async def main() -> None:
        async with ScriptedDiscovery().up() as discovery, FakeServer().up() as server:
            async with node_with_pushed_lists(discovery, [entry("s", server.port)]) as proxy:
                start = asyncio.ensure_future(proxy.start())
                await until(lambda: len(discovery.watch_requests) == 1)
                assert not proxy.server.listening
                draining = b'{"seq":9,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:9","health":"leaving"}]}\n'
                discovery.writers[0].write(STREAM_HEAD + encode_chunk(draining))
                await start
                assert proxy.server.listening
                assert not proxy.node.can_serve

    run(main())


def test_silent_discovery_does_not_prevent_a_start(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(endpoints_module, "PUSHED_LIST_WAIT_S", 0.0)

    async def main() -> None:
        async with ScriptedDiscovery().up() as discovery, FakeServer().up() as server:
            async with node_with_pushed_lists(discovery, [entry("s", server.port)]) as proxy:
                await proxy.start()
                assert proxy.server.listening
                assert proxy.node.can_serve

    run(main())


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"", id="before the head"),
        pytest.param(STREAM_HEAD, id="after the head"),
        pytest.param(STREAM_HEAD + encode_chunk(EMPTY[:9]), id="within a line"),
        pytest.param(STREAM_HEAD + encode_chunk(EMPTY) + encode_chunk(b"\n") * 5, id="after several lines"),
    ],
)
def test_silent_watch_is_reopened_at_once(monkeypatch: pytest.MonkeyPatch, sent: bytes):
    """A delay before the next watch would miss changes for longer than the drain notice allows."""
    monkeypatch.setattr(watch_client, "FIRST_LINE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_S", 0.05)
    delays_s: list[float] = []

    async def main() -> None:
        async with ScriptedDiscovery(scripts=dict.fromkeys(range(1, 9), sent)).up() as discovery:
            async with node_with_pushed_lists(discovery, []) as proxy:
                call_later = proxy.loop.call_later

                def record_delay(delay_s: float, callback: object, *args: object) -> object:
                    if callback == proxy.endpoints.reopen_watch:
                        delays_s.append(delay_s)
                    return call_later(delay_s, callback, *args)  # type: ignore[arg-type]

                monkeypatch.setattr(endpoints_module, "PUSHED_LIST_WAIT_S", 0.0)
                proxy.loop = PatchedLoop(proxy.loop, call_later=record_delay)  # type: ignore[assignment]
                proxy.config = _with_drain_notice(proxy.config, 1.0)  # short, so that 50 ms outlast any delay
                await proxy.start()
                await until(lambda: len(discovery.watch_requests) >= 4)
                assert discovery.ended >= 3

    run(main())
    assert max(delays_s) == 0.0


def test_backoff_between_failing_watches_fits_the_drain_notice():
    """The delays must be short enough to learn of a drain in time; the duration of a watch is subtracted."""

    async def main() -> None:
        async with ScriptedDiscovery().up() as discovery, node_with_pushed_lists(discovery, []) as proxy:
            delays_s: list[float] = []
            proxy.loop = PatchedLoop(proxy.loop, call_later=lambda delay_s, *_: delays_s.append(delay_s))  # type: ignore[assignment]
            for notice_ms in (50.0, 400.0, 3000.0):
                proxy.config = _with_drain_notice(proxy.config, notice_ms)
                proxy.endpoints.backoff.failed_watches = 0
                delays_s.clear()
                for _ in range(12):
                    proxy.discovery.started_s = proxy.loop.time()
                    proxy.endpoints.list_updated(EndpointListForm.FAILED, [])
                assert 0.0 < delays_s[0] <= max(backoff.MIN_DELAY_S, notice_ms / 1000.0 / 8)
                assert max(delays_s) <= max(backoff.MIN_DELAY_S, notice_ms / 1000.0 / 3)
                proxy.discovery.started_s = proxy.loop.time() - 3.0
                proxy.endpoints.list_updated(EndpointListForm.FAILED, [])
                assert delays_s[-1] == 0.0

    run(main())


def test_timeouts_of_a_silent_watch_fit_six_seconds():
    """A change must be known within 6 s even if two watches in a row are silent.

    For polled lists, whose backoff adds to these timeouts, see `test_watch_backoff.py`.
    """
    assert watch_client.SILENCE_TIMEOUT_S > 2.5, "an empty line is sent every 2 s and may be delayed"
    assert watch_client.SILENCE_TIMEOUT_S + watch_client.FIRST_LINE_TIMEOUT_S < 5.5


def _with_drain_notice(config: object, notice_ms: float) -> object:
    return dataclasses.replace(config, limits=Limits(drain_notice_ms=notice_ms))  # type: ignore[type-var]


# ------------------------------------------------------------------- received data


def watch_pieces(
    pieces: list[bytes], since: int = 5
) -> tuple[list[tuple[EndpointListForm, list[Endpoint]]], list[str]]:
    """Send the pieces to a watch until its first update or failure; a watch after a failure receives nothing.

    Returns:
        The updates and failures, and the request lines of all watches.
    """
    updates: list[tuple[EndpointListForm, list[Endpoint]]] = []
    requests: list[str] = []

    async def main() -> None:
        script = STREAM_HEAD + b"".join(encode_chunk(piece) for piece in pieces)
        async with ScriptedDiscovery(scripts={1: script}).up() as discovery:
            done = asyncio.Event()

            def record(form: EndpointListForm, endpoints: list[Endpoint]) -> None:
                updates.append((form, endpoints))
                if form is EndpointListForm.FAILED or endpoints:
                    done.set()

            watch = DiscoveryWatch(("127.0.0.1", discovery.port), since, record)
            watch.start()
            await done.wait()
            if updates[-1][0] is EndpointListForm.FAILED:
                watch.start()
                await until(lambda: len(discovery.watch_requests) == 2)
            watch.close()
            requests.extend(discovery.watch_requests)

    run(main())
    return updates, requests


@pytest.mark.parametrize("text", [ONE, b"   " + ONE, INDENTED, INDENTED.replace(b"\n", b"\r\n")])
@pytest.mark.parametrize("at", [0, 1, 30])
def test_list_is_parsed_however_it_is_indented_and_split(text: bytes, at: int):
    """A list over several lines must not count as invalid, or it would be requested again and again."""
    updates, _ = watch_pieces([b"\n", text[:at] or b"\n", text[at:] + b"\n"])
    assert [form for form, _ in updates] == [EndpointListForm.SNAPSHOT]
    assert [server.address[0] for server, _ in updates[0][1]] == ["s"]


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param([ONE[:40] + b"\n", ONE + b"\n"], id="cut off, then a complete line"),
        pytest.param([INDENTED[:60] + b"\n", b"\n"], id="cut off, then an empty line"),
        pytest.param([b"noise\n"], id="not JSON"),
        pytest.param([b"[1]\n"], id="not an object"),
        pytest.param([b'{"seq":7,"hosts":null}\n'], id="hosts is not a list"),
        pytest.param([b'{"seq":1e999,"hosts":[]}\n'], id="invalid revision"),
        pytest.param([b'{"seq":3,"whole":false,"hosts":[]}\n'], id="changes of an earlier revision"),
    ],
)
def test_invalid_line_ends_the_watch_and_the_next_continues_from_the_last_valid_one(pieces: list[bytes]):
    updates, requests = watch_pieces(pieces)
    assert [form for form, _ in updates] == [EndpointListForm.FAILED]
    since = 0 if b'"seq":3' in pieces[0] else 5
    assert requests[1].startswith(f"GET /catalog/members?follow=1&since={since} ")


@given(st.binary(max_size=80), st.binary(max_size=80))
def test_no_line_raises_an_exception(first: bytes, second: bytes):
    """An exception would end the watch without a call of its failure callback, and no other would be opened."""

    class FakeConnection:
        def __init__(self) -> None:
            self.phase = WatchPhase.OPENING
            self.partial_lines: list[bytes] = []

        def close(self) -> None: ...

    forms: list[EndpointListForm] = []
    watch = DiscoveryWatch(("127.0.0.1", 1), 5, lambda form, _: forms.append(form))
    watch._connection = connection = FakeConnection()  # type: ignore[assignment]
    for text in (first, second, b"{" + first, b'{"seq":7,"hosts":[' + second):
        watch.line_received(connection, text)  # type: ignore[arg-type]
    assert forms.count(EndpointListForm.FAILED) <= 1


def test_other_status_codes_end_the_watch():
    async def main() -> None:
        async with (
            ScriptedDiscovery(scripts={1: encode_response(503, b"")}).up() as discovery,
            node_with_pushed_lists(discovery, []) as proxy,
        ):
            proxy.discovery.start()
            await until(lambda: len(discovery.watch_requests) == 2)

    run(main())
