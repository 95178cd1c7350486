"""The time that a server is told is what its client has left when the attempt is written."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from rosewheel.proxy import clock
from rosewheel.proxy.proxy import Proxy
from tests.http.test_disconnects_between_attempts import PATIENT
from tests.http.test_pipelining import request
from tests.support.sockets import Client, FakeServer, Message, answer, entry, node, run, status, until

TIMEOUT_MS = 60_000
WAITED_MS = 20_000.0
SLACK_MS = 150.0  # what the operators allow


class SteppedClock:
    """The node's clock, which a test moves forward."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ahead_ms = 0.0
        real_now_ms = clock.now_ms
        monkeypatch.setattr(clock, "now_ms", lambda: real_now_ms() + self.ahead_ms)


def hold_connects(proxy: Proxy, monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Let no connection to a server come up before the returned event is set."""
    gate = asyncio.Event()
    connect = proxy.upstream._connect

    async def late(*arguments: Any) -> Any:
        await gate.wait()
        return await connect(*arguments)

    monkeypatch.setattr(proxy.upstream, "_connect", late)
    return gate


def told_ms(message: Message) -> int:
    return int(message.headers["request-timeout-ms"])


@pytest.mark.parametrize("body", [b"", b"x" * 60_000])
def test_a_connection_that_comes_up_late_costs_the_server_that_time(
    body: bytes, monkeypatch: pytest.MonkeyPatch
):
    async def main() -> None:
        time = SteppedClock(monkeypatch)
        async with FakeServer().up() as server, node([entry("one", server.port)], classes=PATIENT) as proxy:
            gate = hold_connects(proxy, monkeypatch)
            async with Client(proxy) as client:
                client.send("post" if body else "read", timeout=TIMEOUT_MS, body=body)
                await until(lambda: bool(proxy.upstream.exchanges))
                time.ahead_ms = WAITED_MS
                gate.set()
                assert status(await client.answer()) == 200
                assert told_ms(server.got[0]) <= TIMEOUT_MS - WAITED_MS + SLACK_MS

    run(main())


def test_nothing_is_sent_once_the_time_is_over(monkeypatch: pytest.MonkeyPatch):
    """A connection comes up after the deadline, before the timer of the deadline has fired."""

    async def main() -> None:
        time = SteppedClock(monkeypatch)
        async with FakeServer().up() as server, node([entry("one", server.port)], classes=PATIENT) as proxy:
            gate = hold_connects(proxy, monkeypatch)
            async with Client(proxy) as client:
                client.send("post", timeout=TIMEOUT_MS)
                await until(lambda: bool(proxy.upstream.exchanges))
                time.ahead_ms = TIMEOUT_MS
                gate.set()
                await until(lambda: not proxy.upstream.exchanges)
                assert status(await client.answer()) >= 500
                assert not server.got

    run(main())


def test_a_retry_is_told_less(monkeypatch: pytest.MonkeyPatch):
    async def main() -> None:
        time = SteppedClock(monkeypatch)

        async def refuse(message: Message, writer: asyncio.StreamWriter) -> None:
            time.ahead_ms += WAITED_MS
            writer.write(answer(503, b"", Not_Started="1"))

        async with FakeServer(refuse).up() as one, FakeServer(refuse).up() as two:
            async with node([entry("one", one.port), entry("two", two.port)], classes=PATIENT) as proxy:
                async with Client(proxy) as client:
                    client.send("read", timeout=TIMEOUT_MS)
                    await until(lambda: len(one.got) + len(two.got) >= 2)
                    told = sorted(told_ms(message) for message in one.got + two.got)
                    assert told[-2] <= TIMEOUT_MS - WAITED_MS + SLACK_MS

    run(main())


def test_a_request_that_waited_for_the_response_before_its_own_has_less_time():
    """Its client counts from when it sent the request, not from when the node came to it."""

    async def main() -> None:
        gate = asyncio.Event()

        async def respond(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer())

        async with (
            FakeServer(respond).up() as server,
            node([entry("one", server.port)], classes=PATIENT) as proxy,
        ):
            async with Client(proxy) as client:
                client.writer.write(request("r0", timeout=TIMEOUT_MS) + request("r1", timeout=TIMEOUT_MS))
                await until(lambda: len(server.got) == 1)
                (connection,) = proxy.server.connections
                (queued,) = connection.queued_requests
                queued.completed_s -= WAITED_MS / 1000.0
                gate.set()
                assert status(await client.answer()) == status(await client.answer()) == 200
                assert told_ms(server.got[1]) <= TIMEOUT_MS - WAITED_MS + SLACK_MS

    run(main())
