"""Connections to servers between two requests: when they may carry the next one."""

from __future__ import annotations

import asyncio

import pytest

from rosewheel.http import idle_connections
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm, Server, ServerState
from tests.support.sockets import Client, FakeServer, Message, answer, entry, node, run, status, until


def test_late_second_response_is_discarded(monkeypatch: pytest.MonkeyPatch):
    """Seen in join-brink by seed 13: one of 14 such answers, up to 4 ms late, crossed the next request on its
    connection. The server here holds it until the next request has come."""

    async def main() -> None:
        late: list[asyncio.StreamWriter] = []

        async def handler(message: Message, writer: asyncio.StreamWriter) -> None:
            if late:
                late.pop().write(answer(200, b"of the one before"))
            late.append(writer)
            writer.write(answer(200, message.headers["request-id"].encode()))

        async with FakeServer(handler).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                for at in range(2):  # the second right behind the answer to the first
                    got = await client.ask("post", id=f"r{at}")
                    assert got.body == b"r%d" % at

    # The order is caused, whatever the pace of the machine.
    monkeypatch.setattr(idle_connections, "REUSE_QUIET_PERIOD_S", 3600.0)
    run(main())


def test_quiet_period_exceeds_the_delay_of_second_responses():
    assert idle_connections.REUSE_QUIET_PERIOD_S >= 5 * 0.004


def test_data_within_the_quiet_period_closes_the_connection():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                assert status(await client.ask("post")) == 200
                server.writers[0].write(answer())
                await until(lambda: proxy.upstream.open_count == 0)
                assert status(await client.ask("post")) == 200
            assert server.connections == 2

    run(main())


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("rested_s", [0.0, 45.0])
def test_connection_past_its_idle_timeout_is_not_used(rested_s: float):
    """Where servers close soon, those too old were swept away half a second later, and used until then: what was
    written to them ended as a reset, and an unsafe request with it. 50 s are stated, of which 40 are used."""

    async def main() -> None:
        bounds = Limits(idle_timeout_ms=50_000.0, connect_timeout_ms=20_000.0)
        async with FakeServer().up() as server, node([entry("s", server.port)], bounds=bounds) as proxy:
            proxy.upstream._sweep_timer.cancel()
            async with Client(proxy) as client:
                assert status(await client.ask("post")) == 200
                (conn,) = proxy.upstream.idle_connections
                conn.idle_since_s = proxy.loop.time() - rested_s
                assert status(await client.ask("post")) == 200
            assert server.connections == (2 if rested_s else 1)

    run(main())


@pytest.fixture
def settled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_connections, "REUSE_QUIET_PERIOD_S", -1.0)


def test_reuse_limit_never_exceeds_the_configured_timeout():
    rest = IdleTimeout(0.5, large_fleet=True)
    assert rest.reusable_for_s == rest.configured_s < 0.5
    rest.new_connection_refused(1.0)
    assert (
        rest.reusable_for_s == rest.configured_s
    )  # what is given back to others may still be used until then
    rest.stale_connection_found(2.0, 0.2)
    assert rest.reusable_for_s == 0.1


@pytest.mark.usefixtures("settled")
def test_response_of_a_restarted_server_returns_no_connection():
    """At the same address stands another process by now: what its predecessor had open is of no use to it."""

    async def main() -> None:
        free = asyncio.Event()

        async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(answer())

        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as proxy:

            def told(state: ServerState) -> None:
                proxy.endpoints.list_updated(
                    EndpointListForm.DELTA, [(Server("s", "a", 0, state), ("127.0.0.1", server.port))]
                )

            async with Client(proxy) as client:
                client.send("post")
                await until(lambda: len(server.got) == 1)
                told(ServerState.REMOVED)
                told(ServerState.UP)
                free.set()
                assert status(await client.answer()) == 200
                assert status(await client.ask("post")) == 200
            assert server.connections == 2

    run(main())


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("again_ms", [None, 2000.0])
def test_active_connection_is_closed_by_the_start_it_was_opened_under(again_ms: float | None):
    """Its server drained while it answered, and came up again under a new start."""

    async def main() -> None:
        free = asyncio.Event()

        async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(answer())

        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as proxy:

            def told(state: ServerState, launched_ms: float | None) -> None:
                named = Server("s", "a", 0, state, launched_ms)
                proxy.endpoints.list_updated(EndpointListForm.DELTA, [(named, ("127.0.0.1", server.port))])

            async with Client(proxy) as client:
                first_ms = proxy.upstream.endpoints["s"].launched_ms
                client.send("post")
                await until(lambda: len(server.got) == 1)
                told(ServerState.DRAINING, first_ms)
                told(ServerState.UP, first_ms if again_ms is None else again_ms)
                free.set()
                assert status(await client.answer()) == 200
                assert status(await client.ask("post")) == 200
            assert server.connections == (1 if again_ms is None else 2)

    run(main())
