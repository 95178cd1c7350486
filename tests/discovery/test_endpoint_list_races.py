"""The list at its rare moments: silence, returns, breaks, lines that are cut or indented, a new process."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.discovery import backoff as rewatch
from rosewheel.discovery import watch_client
from rosewheel.discovery.endpoint_list import DiscoveryWatch, Endpoint
from rosewheel.discovery.watch_client import WatchPhase
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm
from rosewheel.proxy import endpoints as endpoints_module
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import settings
from tests.support.loops import PatchedLoop
from tests.support.scripted_discovery import STREAM_HEAD, ScriptedDiscovery, encode_chunk
from tests.support.sockets import FakeServer, answer, config, entry, run, until

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
async def pushed(agent: ScriptedDiscovery, known: list[dict[str, object]]) -> AsyncIterator[Proxy]:
    """A node whose lists are pushed; its start is left to the test."""
    told = dataclasses.replace(config(known), discovery_address=("127.0.0.1", agent.port))
    relay = Proxy(dataclasses.replace(told, settings=settings(poll_discovery=False)))
    try:
        yield relay
    finally:
        relay.stopped = True
        relay.discovery.close()
        relay.upstream.close()
        relay.server.close()


def test_new_process_accepts_clients_only_after_the_first_update(monkeypatch: pytest.MonkeyPatch):
    """What the agent has counts as told from the first moment: by an old list it would send to who drains."""
    monkeypatch.setattr(endpoints_module, "PUSHED_LIST_WAIT_S", 60.0)

    async def main() -> None:
        async with ScriptedDiscovery().up() as agent, FakeServer().up() as server:
            async with pushed(agent, [entry("s", server.port)]) as relay:
                starting = asyncio.ensure_future(relay.start())
                await until(lambda: len(agent.asked) == 1)
                assert not relay.server.listening
                gone = b'{"seq":9,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:9","health":"leaving"}]}\n'
                agent.writers[0].write(STREAM_HEAD + encode_chunk(gone))
                await starting
                assert relay.server.listening
                assert not relay.node.can_serve

    run(main())


def test_silent_discovery_does_not_prevent_a_start(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(endpoints_module, "PUSHED_LIST_WAIT_S", 0.0)

    async def main() -> None:
        async with ScriptedDiscovery().up() as agent, FakeServer().up() as server:
            async with pushed(agent, [entry("s", server.port)]) as relay:
                await relay.start()
                assert relay.server.listening
                assert relay.node.can_serve

    run(main())


@pytest.mark.parametrize(
    "said",
    [
        pytest.param(b"", id="at open"),
        pytest.param(STREAM_HEAD, id="after its head"),
        pytest.param(STREAM_HEAD + encode_chunk(EMPTY[:9]), id="mid-line"),
        pytest.param(STREAM_HEAD + encode_chunk(EMPTY) + encode_chunk(b"\n") * 5, id="after many lines"),
    ],
)
def test_silent_watch_is_reopened_at_once(monkeypatch: pytest.MonkeyPatch, said: bytes):
    """What discovery has at its return counts as told at once: no wait may lie between one watch and the next.
    Seen: a wait of up to a second, in which a return went unheard for 0.45 s of the 0.4 that a drain allows."""
    monkeypatch.setattr(watch_client, "FIRST_LINE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(watch_client, "SILENCE_TIMEOUT_S", 0.05)
    waits: list[float] = []

    async def main() -> None:
        async with ScriptedDiscovery(scripts=dict.fromkeys(range(1, 9), said)).up() as agent:
            async with pushed(agent, []) as relay:
                later = relay.loop.call_later

                def noted(wait: float, call: object, *args: object) -> object:
                    if call == relay.endpoints.reopen_watch:
                        waits.append(wait)
                    return later(wait, call, *args)  # type: ignore[arg-type]

                monkeypatch.setattr(endpoints_module, "PUSHED_LIST_WAIT_S", 0.0)
                relay.loop = PatchedLoop(relay.loop, call_later=noted)  # type: ignore[assignment]
                relay.config = _grace(relay.config, 1.0)  # by which one of 50 ms has lasted long
                await relay.start()
                await until(lambda: len(agent.asked) >= 4)
                assert agent.ended >= 3

    run(main())
    assert max(waits) == 0.0


def test_backoff_between_failing_watches_fits_the_drain_notice():
    """Of several in a row; the time in which one was open counts as waited."""

    async def main() -> None:
        async with ScriptedDiscovery().up() as agent, pushed(agent, []) as relay:
            waits: list[float] = []
            relay.loop = PatchedLoop(relay.loop, call_later=lambda wait, *_: waits.append(wait))  # type: ignore[assignment]
            for grace_ms in (50.0, 400.0, 3000.0):
                relay.config = _grace(relay.config, grace_ms)
                relay.endpoints.backoff.failed_watches = 0
                waits.clear()
                for _ in range(12):
                    relay.discovery.started_s = relay.loop.time()
                    relay.endpoints.list_updated(EndpointListForm.FAILED, [])
                assert 0.0 < waits[0] <= max(rewatch.MIN_DELAY_S, grace_ms / 1000.0 / 8)
                assert max(waits) <= max(rewatch.MIN_DELAY_S, grace_ms / 1000.0 / 3)
                relay.discovery.started_s = relay.loop.time() - 3.0
                relay.endpoints.list_updated(EndpointListForm.FAILED, [])
                assert waits[-1] == 0.0

    run(main())


def test_timeouts_of_a_silent_watch_fit_six_seconds():
    """Of a watch that falls silent, and of the next one that is silent too: noticed, opened, and heard."""
    assert watch_client.SILENCE_TIMEOUT_S > 2.5  # an empty line comes every 2 s, and may be late
    assert (
        watch_client.SILENCE_TIMEOUT_S + watch_client.FIRST_LINE_TIMEOUT_S < 5.5
    )  # where lists are asked for, the module's waits come to these: test_rewatch


def _grace(config: object, grace_ms: float) -> object:
    return dataclasses.replace(config, limits=Limits(drain_notice_ms=grace_ms))  # type: ignore[type-var]


# ------------------------------------------------------------------- what comes


def heard_of(
    pieces: list[bytes], since: int = 5
) -> tuple[list[tuple[EndpointListForm, list[Endpoint]]], list[str]]:
    """What a watch makes of these pieces, and of the requests that it took: the second one is left silent."""
    heard: list[tuple[EndpointListForm, list[Endpoint]]] = []
    asked: list[str] = []

    async def main() -> None:
        script = STREAM_HEAD + b"".join(encode_chunk(piece) for piece in pieces)
        async with ScriptedDiscovery(scripts={1: script}).up() as agent:
            done = asyncio.Event()

            def took(form: EndpointListForm, entries: list[Endpoint]) -> None:
                heard.append((form, entries))
                if form is EndpointListForm.FAILED or entries:
                    done.set()

            discovery = DiscoveryWatch(("127.0.0.1", agent.port), since, took)
            discovery.start()
            await done.wait()
            if heard[-1][0] is EndpointListForm.FAILED:
                discovery.start()
                await until(lambda: len(agent.asked) == 2)
            discovery.close()
            asked.extend(agent.asked)

    run(main())
    return heard, asked


@pytest.mark.parametrize("text", [ONE, b"   " + ONE, INDENTED, INDENTED.replace(b"\n", b"\r\n")])
@pytest.mark.parametrize("at", [0, 1, 30])
def test_list_is_parsed_however_it_is_indented_and_split(text: bytes, at: int):
    """Guards every drain: a list over several lines was taken for a bad one, and asked for anew for ever."""
    heard, _ = heard_of([b"\n", text[:at] or b"\n", text[at:] + b"\n"])
    assert [form for form, _ in heard] == [EndpointListForm.SNAPSHOT]
    assert [server.address[0] for server, _ in heard[0][1]] == ["s"]


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param([ONE[:40] + b"\n", ONE + b"\n"], id="cut, then a whole one"),
        pytest.param([INDENTED[:60] + b"\n", b"\n"], id="cut, then the line of a quiet watch"),
        pytest.param([b"noise\n"], id="noise"),
        pytest.param([b"[1]\n"], id="another kind of value"),
        pytest.param([b'{"seq":7,"hosts":null}\n'], id="no list"),
        pytest.param([b'{"seq":1e999,"hosts":[]}\n'], id="no count"),
        pytest.param([b'{"seq":3,"whole":false,"hosts":[]}\n'], id="changes from before"),
    ],
)
def test_invalid_line_ends_the_watch_and_the_next_continues_from_the_last_valid_one(pieces: list[bytes]):
    heard, asked = heard_of(pieces)
    assert [form for form, _ in heard] == [EndpointListForm.FAILED]
    since = 0 if b'"seq":3' in pieces[0] else 5
    assert asked[1].startswith(f"GET /catalog/members?follow=1&since={since} ")


@given(st.binary(max_size=80), st.binary(max_size=80))
def test_no_line_raises_an_exception(first: bytes, second: bytes):
    """Guards the node: an exception here would end the watch without a word, and no other would follow."""

    class Watch:
        def __init__(self) -> None:
            self.phase = WatchPhase.OPENING
            self.partial_lines: list[bytes] = []

        def close(self) -> None: ...

    ends: list[EndpointListForm] = []
    discovery = DiscoveryWatch(("127.0.0.1", 1), 5, lambda form, _: ends.append(form))
    discovery._connection = connection = Watch()  # type: ignore[assignment]
    for text in (first, second, b"{" + first, b'{"seq":7,"hosts":[' + second):
        discovery.line_received(connection, text)  # type: ignore[arg-type]
    assert ends.count(EndpointListForm.FAILED) <= 1


def test_other_status_codes_end_the_watch():
    async def main() -> None:
        async with ScriptedDiscovery(scripts={1: answer(503, b"")}).up() as agent, pushed(agent, []) as relay:
            relay.discovery.start()
            await until(lambda: len(agent.asked) == 2)

    run(main())
