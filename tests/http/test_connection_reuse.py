"""When a connection to a server may be reused for the next request."""

from __future__ import annotations

import asyncio

import pytest

from rosewheel.http import idle_connections
from rosewheel.node.idle_timeout import IdleTimeout
from rosewheel.node.limits import Limits
from rosewheel.policy.events import EndpointListForm, Server, ServerState
from tests.support.sockets import (
    Client,
    FakeServer,
    Message,
    encode_response,
    entry,
    node,
    run,
    status,
    until,
)


def test_late_second_response_is_discarded(monkeypatch: pytest.MonkeyPatch):
    """Guards against taking a surplus response for the response to the next request on its connection.

    The server sends it once it has received the next request.
    """

    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def handler(message: Message, writer: asyncio.StreamWriter) -> None:
            if writers:
                writers.pop().write(encode_response(200, b"surplus"))
            writers.append(writer)
            writer.write(encode_response(200, message.headers["request-id"].encode()))

        async with FakeServer(handler).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                for index in range(2):  # the second one is sent directly after the first response
                    response = await client.request("post", id=f"r{index}")
                    assert response.body == b"r%d" % index

    # The quiet period never ends, so the result does not depend on the speed of the machine.
    monkeypatch.setattr(idle_connections, "REUSE_QUIET_PERIOD_S", 3600.0)
    run(main())


def test_quiet_period_exceeds_the_delay_of_second_responses():
    assert idle_connections.REUSE_QUIET_PERIOD_S >= 5 * 0.004


def test_data_within_the_quiet_period_closes_the_connection():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                assert status(await client.request("post")) == 200
                server.writers[0].write(encode_response())
                await until(lambda: proxy.upstream.open_count == 0)
                assert status(await client.request("post")) == 200
            assert server.connections == 2

    run(main())


@pytest.mark.usefixtures("immediate_reuse")
@pytest.mark.parametrize("idle_s", [0.0, 45.0])
def test_connection_past_its_idle_timeout_is_not_used(idle_s: float):
    """Guards against reusing an expired connection before the sweep closes it. 40 of the configured 50 s are used."""

    async def main() -> None:
        limits = Limits(idle_timeout_ms=50_000.0, connect_timeout_ms=20_000.0)
        async with FakeServer().up() as server, node([entry("s", server.port)], limits=limits) as proxy:
            proxy.upstream._sweep_timer.cancel()
            async with Client(proxy) as client:
                assert status(await client.request("post")) == 200
                (connection,) = proxy.upstream.idle_connections
                connection.idle_since_s = proxy.loop.time() - idle_s
                assert status(await client.request("post")) == 200
            assert server.connections == (2 if idle_s else 1)

    run(main())


@pytest.fixture
def immediate_reuse(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(idle_connections, "REUSE_QUIET_PERIOD_S", -1.0)


def test_reuse_limit_never_exceeds_the_configured_timeout():
    idle_timeout = IdleTimeout(0.5, large_fleet=True)
    assert idle_timeout.reusable_for_s == idle_timeout.configured_s < 0.5
    idle_timeout.new_connection_rejected(1.0)
    # After a rejection idle connections are closed earlier, but they may be reused until then.
    assert idle_timeout.reusable_for_s == idle_timeout.configured_s
    idle_timeout.stale_connection_found(2.0, 0.2)
    assert idle_timeout.reusable_for_s == 0.1


@pytest.mark.usefixtures("immediate_reuse")
def test_connection_to_a_replaced_server_is_not_reused():
    """A server that was removed and added again at its address is another process, which has other connections."""

    async def main() -> None:
        gate = asyncio.Event()

        async def respond(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(encode_response())

        async with FakeServer(respond).up() as server, node([entry("s", server.port)]) as proxy:

            def update_server(state: ServerState) -> None:
                proxy.endpoints.list_updated(
                    EndpointListForm.DELTA, [(Server("s", "a", 0, state), ("127.0.0.1", server.port))]
                )

            async with Client(proxy) as client:
                client.send("post")
                await until(lambda: len(server.requests) == 1)
                update_server(ServerState.REMOVED)
                update_server(ServerState.UP)
                gate.set()
                assert status(await client.read_response()) == 200
                assert status(await client.request("post")) == 200
            assert server.connections == 2

    run(main())


@pytest.mark.usefixtures("immediate_reuse")
@pytest.mark.parametrize("restarted_ms", [None, 2000.0])
def test_active_connection_is_reused_only_if_its_server_did_not_restart(restarted_ms: float | None):
    """The server drains during a request, and is then listed with the same or another start time."""

    async def main() -> None:
        gate = asyncio.Event()

        async def respond(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(encode_response())

        async with FakeServer(respond).up() as server, node([entry("s", server.port)]) as proxy:

            def update_server(state: ServerState, launched_ms: float | None) -> None:
                server_update = Server("s", "a", 0, state, launched_ms)
                proxy.endpoints.list_updated(
                    EndpointListForm.DELTA, [(server_update, ("127.0.0.1", server.port))]
                )

            async with Client(proxy) as client:
                launched_at_ms = proxy.upstream.endpoints["s"].launched_ms
                client.send("post")
                await until(lambda: len(server.requests) == 1)
                update_server(ServerState.DRAINING, launched_at_ms)
                update_server(ServerState.UP, launched_at_ms if restarted_ms is None else restarted_ms)
                gate.set()
                assert status(await client.read_response()) == 200
                assert status(await client.request("post")) == 200
            assert server.connections == (1 if restarted_ms is None else 2)

    run(main())
