"""Limits on the connections of clients: descriptors, idle connections and incomplete requests."""

from __future__ import annotations

import contextlib

from tests.support.sockets import (
    TIMED_POST_HEAD,
    Client,
    FakeServer,
    entry,
    gated_handler,
    node,
    run,
    status,
    until,
)


def test_connections_over_the_descriptor_limit_are_rejected():
    """Guards against running out of descriptors: idle connections are closed first, further ones are rejected."""

    async def main() -> None:
        gate, respond = gated_handler()
        async with FakeServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            proxy.resources.max_descriptors = 4
            async with Client(proxy) as one, Client(proxy) as two, Client(proxy):
                one.send("post")
                await until(lambda: len(server.requests) == 1)
                await until(lambda: len(proxy.server.connections) == 3)
                assert (
                    status(await two.request("post")) == 503
                )  # no descriptor left for a connection to a server
                async with Client(proxy) as over_limit:
                    over_limit.send("post")
                    response = await over_limit.read_response()
                    assert status(response) == 503
                    assert response is not None
                    assert response.headers["connection"] == "close"
                gate.set()
                assert status(await one.read_response()) == 200
                for connection in proxy.server.connections:
                    connection.last_activity_s -= 5.0  # simulates idle time
                async with Client(proxy) as late_client:
                    assert status(await late_client.request("post")) == 200
                    assert status(await late_client.request("post")) == 200
                assert await one.reader.read() == b""  # the longest idle connection was closed

    run(main())


def test_many_clients_with_one_request_do_not_exclude_others():
    """Guards against rejecting new clients while others keep idle connections open."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(FakeServer().up())
            proxy = await stack.enter_async_context(node([entry("s", server.port)]))
            proxy.server.max_connections = 4
            for _ in range(12):
                client = await stack.enter_async_context(Client(proxy))
                response = await client.request("post")
                assert (status(response), response.headers.get("connection")) == (200, None)
                for connection in proxy.server.connections:
                    connection.last_activity_s -= 0.1  # simulates ten new clients a second
            assert len(proxy.server.connections) <= 4

    run(main())


def test_silent_and_partial_clients_are_closed_and_active_ones_kept():
    """Guards against clients that hold descriptors without sending a complete request."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as silent, Client(proxy) as partial, Client(proxy) as active:
                partial.writer.write(TIMED_POST_HEAD)
                assert status(await active.request()) == 200
                started_s = proxy.loop.time()
                assert await silent.reader.read() == b""
                assert status(await partial.read_response()) == 408
                assert await partial.reader.read() == b""
                assert proxy.loop.time() - started_s < 2.9
                assert status(await active.request()) == 200
                for connection in proxy.server.connections:
                    connection.last_activity_s -= 5.0  # simulates idle time
                assert await active.reader.read() == b""

    run(main())


def test_silent_clients_do_not_exclude_others():
    """Guards against idle clients that use up the connection limit: the longest idle one is closed."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(FakeServer().up())
            proxy = await stack.enter_async_context(node([entry("s", server.port)]))
            proxy.server.max_connections = 4
            idle = [await stack.enter_async_context(Client(proxy)) for _ in range(4)]
            for client in idle:
                assert status(await client.request()) == 200
            for connection in proxy.server.connections:
                connection.last_activity_s -= 1.5
            async with Client(proxy) as new_client:
                assert status(await new_client.request()) == 200
                assert await idle[0].reader.read() == b""
                assert len(proxy.server.connections) == 4

    run(main())
