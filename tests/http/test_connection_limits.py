"""Many clients, silent ones among them, and the limit of descriptors."""

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
    """Guards against running out of descriptors: idle ones make room, and what finds none is refused."""

    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as proxy:
            proxy.resources.max_descriptors = 4
            async with Client(proxy) as one, Client(proxy) as two, Client(proxy):
                one.send("post")
                await until(lambda: len(server.got) == 1)
                await until(lambda: len(proxy.server.connections) == 3)
                assert status(await two.ask("post")) == 503  # no room for a connection to a server
                async with Client(proxy) as surplus:
                    surplus.send("post")
                    got = await surplus.answer()
                    assert status(got) == 503
                    assert got is not None
                    assert got.headers["connection"] == "close"
                free.set()
                assert status(await one.answer()) == 200
                for connection in proxy.server.connections:
                    connection.last_activity_s -= 5.0  # as if they had been idle that long
                async with Client(proxy) as later:
                    assert status(await later.ask("post")) == 200
                    assert status(await later.ask("post")) == 200
                assert await one.reader.read() == b""  # the oldest one made room

    run(main())


def test_many_clients_with_one_request_do_not_exclude_others():
    """Guards against refusing who asks because those that have been answered keep their connections."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(FakeServer().up())
            proxy = await stack.enter_async_context(node([entry("s", server.port)]))
            proxy.server.max_connections = 4
            for _ in range(12):
                client = await stack.enter_async_context(Client(proxy))
                got = await client.ask("post")
                assert (status(got), got.headers.get("connection")) == (200, None)
                for connection in proxy.server.connections:
                    connection.last_activity_s -= 0.1  # as if they came ten a second
            assert len(proxy.server.connections) <= 4

    run(main())


def test_silent_and_partial_clients_are_closed_and_active_ones_kept():
    """Guards the descriptors: within 3 s a silent client is closed and half a request is answered 408."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as silent, Client(proxy) as half, Client(proxy) as used:
                half.writer.write(TIMED_POST_HEAD)
                assert status(await used.ask()) == 200
                started_s = proxy.loop.time()
                assert await silent.reader.read() == b""
                assert status(await half.answer()) == 408
                assert await half.reader.read() == b""
                assert proxy.loop.time() - started_s < 2.9
                assert status(await used.ask()) == 200
                for connection in proxy.server.connections:
                    connection.last_activity_s -= 5.0  # as if it had asked that long ago
                assert await used.reader.read() == b""

    run(main())


def test_silent_clients_do_not_exclude_others():
    """Guards small nodes: idle clients make room for new ones, and past their share one more is closed."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(FakeServer().up())
            proxy = await stack.enter_async_context(node([entry("s", server.port)]))
            proxy.server.max_connections = 4
            kept = [await stack.enter_async_context(Client(proxy)) for _ in range(4)]
            for client in kept:
                assert status(await client.ask()) == 200
            for connection in proxy.server.connections:
                connection.last_activity_s -= 1.5
            async with Client(proxy) as fresh:
                assert status(await fresh.ask()) == 200
                assert await kept[0].reader.read() == b""
                assert len(proxy.server.connections) == 4

    run(main())
