"""Clients with incomplete requests at the connection limit, and a discovery service that fails."""

from __future__ import annotations

import contextlib

import pytest

from rosewheel.discovery import backoff, watch_client
from rosewheel.node.limits import Limits
from tests.support.loops import PatchedLoop
from tests.support.sockets import Client, FakeDiscovery, FakeServer, entry, node, run, status, until

HEAD = b"GET /x HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 900\r\n\r\n"


def test_longest_silent_partial_request_is_closed_and_a_slow_client_served():
    """Guards slow clients: at the connection limit the longest silent connection is closed, not the oldest."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            proxy.server.max_connections = 5
            async with Client(proxy) as slow, contextlib.AsyncExitStack() as stack:
                slow.writer.write(HEAD[:1])
                await until(lambda: len(proxy.server.partial_connections) == 1)
                (slow_connection,) = proxy.server.partial_connections
                for index in range(1, len(HEAD)):
                    for connection in proxy.server.partial_connections:
                        connection.last_received_s -= 1.0  # simulates one byte a second
                    slow.writer.write(HEAD[index : index + 1])
                    await until(lambda index=index: slow_connection.raw_bytes in (index + 1, 0))
                    if index % 4 == 0:
                        partial_client = await stack.enter_async_context(Client(proxy))
                        partial_client.writer.write(HEAD[:20])
                        await until(
                            lambda: all(connection.raw_bytes > 0 for connection in proxy.server.connections)
                        )
                assert status(await slow.read_response()) == 200
                assert len(proxy.server.connections) <= 5

    run(main())


def test_closed_partial_request_gets_a_response():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as partial_client:
                partial_client.writer.write(HEAD[:20])
                await until(lambda: len(proxy.server.partial_connections) == 1)
                (connection,) = proxy.server.partial_connections
                connection.last_received_s -= 1.0
                proxy.server.max_connections = 1
                async with Client(proxy) as other:
                    assert status(await other.request()) == 200
                assert status(await partial_client.read_response()) == 408

    run(main())


@pytest.mark.parametrize("sockets", [64, 192, 384, 1024])
def test_connection_limits_stay_within_the_descriptors(sockets: int):
    """The limits also leave descriptors for connections that get a 503 and for the admin server."""

    async def main() -> None:
        async with node([], limits=Limits(max_sockets=sockets)) as proxy:
            for processes in (1, 2):
                proxy.resources.process_count = processes
                proxy.resources.divide(sockets)
                assert proxy.server.max_connections < proxy.resources.max_descriptors
                assert (
                    processes * (proxy.resources.max_descriptors + proxy.server.max_over_limit + 12)
                    <= sockets
                )

    run(main())


def test_failing_discovery_is_retried_with_growing_backoff(monkeypatch: pytest.MonkeyPatch):
    delays_s: list[float] = []

    async def main() -> None:
        async with FakeServer().up() as server, FakeDiscovery(rejected_watches=6).up() as discovery:
            async with node([entry("s", server.port)], pushed=discovery) as proxy, Client(proxy) as client:
                call_later = proxy.loop.call_later

                def record_delay(delay_s: float, callback: object, *args: object) -> object:
                    if callback == proxy.endpoints.reopen_watch:
                        delays_s.append(delay_s)
                        delay_s = 0.0
                    return call_later(delay_s, callback, *args)  # type: ignore[arg-type]

                proxy.loop = PatchedLoop(proxy.loop, call_later=record_delay)  # type: ignore[assignment]
                await until(lambda: len(discovery.watch_requests) == 7)
                assert status(await client.request()) == 200  # served by the endpoint list known so far
                discovery.send_update(9, entry("s", server.port), whole=True)
                await until(lambda: proxy.endpoints.backoff.failed_watches == 0)

    run(main())
    grace_s = Limits().drain_notice_ms / 1000.0
    assert delays_s[0] <= grace_s / backoff.INITIAL_DELAY_DIVISOR
    assert max(delays_s) > grace_s / backoff.INITIAL_DELAY_DIVISOR
    assert max(delays_s) <= grace_s / backoff.MAX_DELAY_DIVISOR


def test_watch_without_response_fails_soon(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(watch_client, "FIRST_LINE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with FakeDiscovery(silent=True).up() as discovery, node([], pushed=discovery):
            await until(lambda: len(discovery.watch_requests) >= 2)

    run(main())
