"""Crowds of clients that never finish a request, and a discovery that breaks off: who asks is served."""

from __future__ import annotations

import contextlib

import pytest

from rosewheel.discovery import backoff as rewatch
from rosewheel.discovery import watch_client as watch_module
from rosewheel.node.limits import Limits
from tests.support.loops import PatchedLoop
from tests.support.sockets import Client, FakeDiscovery, FakeServer, entry, node, run, status, until

HEAD = b"GET /x HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 900\r\n\r\n"


def test_longest_silent_partial_request_is_closed_and_a_slow_client_served():
    """Guards clients that write slowly: under a crowd the oldest is not the one to go."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            proxy.server.max_connections = 5
            async with Client(proxy) as slow, contextlib.AsyncExitStack() as stack:
                slow.writer.write(HEAD[:1])
                await until(lambda: len(proxy.server.partial_connections) == 1)
                (true,) = proxy.server.partial_connections
                for at in range(1, len(HEAD)):
                    for connection in proxy.server.partial_connections:
                        connection.last_received_s -= 1.0  # as if the pieces came one a second
                    slow.writer.write(HEAD[at : at + 1])
                    await until(lambda at=at: true.raw_bytes in (at + 1, 0))
                    if at % 4 == 0:
                        one = await stack.enter_async_context(Client(proxy))
                        one.writer.write(HEAD[:20])
                        await until(
                            lambda: all(connection.raw_bytes > 0 for connection in proxy.server.connections)
                        )
                assert status(await slow.answer()) == 200
                assert len(proxy.server.connections) <= 5

    run(main())


def test_closed_partial_request_gets_a_response():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as half:
                half.writer.write(HEAD[:20])
                await until(lambda: len(proxy.server.partial_connections) == 1)
                (connection,) = proxy.server.partial_connections
                connection.last_received_s -= 1.0
                proxy.server.max_connections = 1
                async with Client(proxy) as other:
                    assert status(await other.ask()) == 200
                assert status(await half.answer()) == 408

    run(main())


@pytest.mark.parametrize("sockets", [64, 192, 384, 1024])
def test_connection_limits_stay_within_the_descriptors(sockets: int):
    """Guards the limit also while a crowd is told that there is no room, and operators call."""

    async def main() -> None:
        async with node([], bounds=Limits(max_sockets=sockets)) as proxy:
            for processes in (1, 2):
                proxy.resources.process_count = processes
                proxy.resources.divide(sockets)
                assert proxy.server.max_connections < proxy.resources.max_descriptors
                assert (
                    processes * (proxy.resources.max_descriptors + proxy.server.max_over_limit + 12)
                    <= sockets
                )

    run(main())


def test_failing_discovery_is_retried_with_growing_backoff(
    monkeypatch: pytest.MonkeyPatch,
):
    waits: list[float] = []

    async def main() -> None:
        async with FakeServer().up() as server, FakeDiscovery(refuse=6).up() as discovery:
            async with node([entry("s", server.port)], pushed=discovery) as proxy, Client(proxy) as client:
                later = proxy.loop.call_later

                def noted(wait: float, call: object, *args: object) -> object:
                    if call == proxy.endpoints.reopen_watch:
                        waits.append(wait)
                        wait = 0.0
                    return later(wait, call, *args)  # type: ignore[arg-type]

                proxy.loop = PatchedLoop(proxy.loop, call_later=noted)  # type: ignore[assignment]
                await until(lambda: len(discovery.asked) == 7)
                assert status(await client.ask()) == 200  # by the list as it was held
                discovery.tell(9, entry("s", server.port), whole=True)
                await until(lambda: proxy.endpoints.backoff.failed_watches == 0)

    run(main())
    grace_s = Limits().drain_notice_ms / 1000.0
    assert waits[0] <= grace_s / rewatch.INITIAL_DELAY_DIVISOR
    assert max(waits) > grace_s / rewatch.INITIAL_DELAY_DIVISOR
    assert max(waits) <= grace_s / rewatch.MAX_DELAY_DIVISOR


def test_watch_without_response_fails_soon(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(watch_module, "FIRST_LINE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with FakeDiscovery(mute=True).up() as discovery, node([], pushed=discovery):
            await until(lambda: len(discovery.asked) >= 2)

    run(main())
