"""Requests while a node drains."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.sockets import (
    Client,
    FakeServer,
    entry,
    gated_handler,
    never_respond,
    node,
    read_message,
    run,
    status,
    until,
)


def test_drain_answers_all_accepted_requests():
    """Guards against losing requests at a restart: old and new connections are served until they end."""

    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as held, Client(proxy) as idle, Client(proxy) as quiet:
                held.send("post")
                await until(lambda: len(server.got) == 1)
                stop = asyncio.ensure_future(proxy.drain())
                await until(lambda: proxy.server.draining)
                async with Client(proxy) as fresh:
                    fresh.send()
                    idle.send()
                    await until(lambda: len(server.got) == 3)
                    free.set()
                    for client in (held, idle, fresh):
                        got = await client.answer()
                        assert status(got) == 200
                        assert await client.reader.read() == b""  # open until the end, then closed
                assert await read_message(quiet.reader) is None
                await stop
                with pytest.raises(OSError, match=r"refused|111"):
                    await asyncio.open_connection("127.0.0.1", held.port)

    run(main())


def test_drain_accepts_only_what_it_can_answer(monkeypatch: pytest.MonkeyPatch):
    """Guards requests against the end of the process: until then clients go on asking, however patient, but
    with less time than they would have, and with too little they are refused and nothing is sent."""
    monkeypatch.setattr("rosewheel.http.downstream_server.KEEP_OPEN_DURING_DRAIN_S", 60.0)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as early, Client(proxy) as late:
                for client in (early, late):
                    assert status(await client.ask(timeout=5000)) == 200
                stop = asyncio.ensure_future(proxy.drain())
                await until(lambda: proxy.server.draining)
                got = await early.ask("post", timeout=5000)
                assert (status(got), got.headers.get("connection")) == (200, None)
                proxy.server.drain_started_s -= 2.6  # as if so much of the 3.5 s had passed
                assert status(await late.ask("post", timeout=5000)) == 503
                assert await late.reader.read() == b""
                assert status(await early.ask("post", timeout=600)) == 200
                proxy.server.closing = True
                got = await early.ask("post", timeout=600)
                assert (status(got), got.headers["connection"]) == (200, "close")
                assert len(server.got) == 5
                stop.cancel()

    run(main())


def test_request_during_drain_is_answered_before_its_end(monkeypatch: pytest.MonkeyPatch):
    """Guards the one final answer: the process ends before the patience of who asks late in a stop does."""
    monkeypatch.setattr("rosewheel.http.downstream_server.KEEP_OPEN_DURING_DRAIN_S", 60.0)

    async def main() -> None:
        async with FakeServer(never_respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                started_s = proxy.loop.time()
                proxy.server.draining, proxy.server.drain_started_s = True, started_s - 1.7
                assert status(await client.ask("points", timeout=2400, Idempotency_Key="k")) == 504
                assert proxy.loop.time() - started_s < 2.0
                assert len(server.got) == 1

    run(main())
