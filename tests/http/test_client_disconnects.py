"""Clients that disconnect while their request waits: it is not forwarded."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest

from rosewheel.http.body import CONNECTION_SHARE_DIVISOR
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.downstream_server import PAUSED_CHECK_INTERVAL_S
from tests.support.balancers import NON_IDEMPOTENT
from tests.support.loops import PatchedLoop
from tests.support.sockets import (
    Client,
    FakeServer,
    disconnect,
    entry,
    gated_handler,
    node,
    run,
    status,
    until,
)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("cancel", [True, False])
def test_request_of_disconnected_client_is_not_sent_on_a_new_connection(how: str, cancel: bool):
    """Seen by reading: where the settings allow no cancel, an attempt went out when its connection was up at last."""

    async def main() -> None:
        up, reached = asyncio.Event(), asyncio.Event()
        async with FakeServer().up() as server, node([entry("s", server.port)], may_cancel=cancel) as relay:
            connect = relay.loop.create_connection

            async def late(*args: object) -> object:
                reached.set()
                await up.wait()
                return await connect(*args)  # type: ignore[arg-type]

            relay.upstream.loop = PatchedLoop(relay.loop, create_connection=late)  # type: ignore[assignment]
            async with Client(relay) as client:
                client.send("post")
                await reached.wait()
                disconnect(client, how)
                await until(lambda: not relay.client_requests)
                up.set()
                await until(lambda: not relay.node.requests and not relay.upstream.exchanges)
                assert relay.upstream.connecting_count == 0
            async with Client(
                relay
            ) as other:  # the slot of the first is free again, and nothing of it is on its way
                assert status(await other.ask("post")) == 200
            assert len(server.got) == 1
            assert relay.node.active_requests == 0

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_incomplete_body_ends_its_attempt_when_the_client_disconnects(cancel: bool):
    """No deadline runs before a request's last byte, so that nothing else would ever end it."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)], may_cancel=cancel) as relay:
            async with Client(relay) as client:
                client.writer.write(
                    b"POST / HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
                    b"Content-Length: 4000000\r\n\r\n" + bytes(3_000_000)
                )
                await until(lambda: relay.upstream.open_count == 1)
                disconnect(client, "reset")
                await until(lambda: not relay.node.requests and relay.upstream.open_count == 0)
            assert not server.got

    run(main())


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_queued_request_of_disconnected_client_is_not_forwarded(how: str):
    """While its connection is not read the loop does not hear of its end: what waits there went out when the
    answer before it had come, however long the client had been gone."""

    async def main() -> None:
        free, slow = gated_handler()
        patient = dataclasses.replace(
            NON_IDEMPOTENT, latency_objective_ms=60000, deadline_ms=60000
        )  # no deadline ends the first one
        async with (
            FakeServer(slow).up() as server,  # type: ignore[arg-type]
            node([entry("s", server.port)], classes=(patient,)) as relay,
        ):
            async with Client(relay) as client:
                relay.budget.limit_bytes = CONNECTION_SHARE_DIVISOR * 16384
                for at in range(3):
                    client.send("post", id=f"r{at}", body=b"x" * 9000, timeout=60000)
                await until(lambda: len(server.got) == 1)
                connection = next(iter(relay.server.connections))
                await until(lambda: connection.reading_paused)
                disconnect(client, how)
                await until(lambda: not relay.server.connections)  # while its first request is still out
                assert not relay.client_requests
                assert not relay.node.requests
                assert relay.node.active_requests == relay.budget.used_bytes == 0
                free.set()
            async with Client(relay) as other:
                assert status(await other.ask("post")) == 200
            assert [message.headers["request-id"] for message in server.got[:1]] == ["r0"]
            assert len(server.got) == 2

    run(main())


def test_disconnect_is_seen_before_the_loop_reads_it(monkeypatch: pytest.MonkeyPatch):
    """A request and the end of its connection may lie side by side before a loop that is late."""
    monkeypatch.setattr("rosewheel.http.idle_connections.REUSE_QUIET_PERIOD_S", -1.0)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                assert status(await client.ask("post")) == 200  # so that a connection is at hand
            await until(lambda: not relay.server.connections)
            came: list[DownstreamConnection] = []
            joined = relay.server.connection_opened
            relay.server.connection_opened = lambda connection: (came.append(connection), joined(connection))[
                1
            ]  # type: ignore[method-assign]
            for ends in range(3):
                with socket.create_connection(
                    ("127.0.0.1", relay.server.port)
                ) as sock:  # no turn of the loop in here
                    sock.sendall(
                        b"POST / HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Class: post\r\n"
                        b"Request-Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n" % ends
                    )
                await until(lambda: bool(came) and not relay.server.connections)
                came.clear()
            async with Client(relay) as client:
                assert status(await client.ask("post")) == 200
            assert len(server.got) == 2

    run(main())


def test_half_close_counts_at_once_with_unsent_data():
    """The loop closes such a connection when all that was written has gone out, and tells of it only then."""

    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:  # type: ignore[arg-type]
            async with Client(relay) as client:
                client.send("post")
                await until(lambda: len(server.got) == 1)
                connection = next(iter(relay.server.connections))
                assert not connection.eof_received()  # so that the loop closes it
                assert not relay.client_requests
                assert not relay.node.requests
            free.set()

    run(main())


def test_many_disconnects_leave_nothing_behind():
    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:  # type: ignore[arg-type]
            clients = [Client(relay) for _ in range(40)]
            for client in clients:
                await client.__aenter__()
                client.send("read")
            await until(
                lambda: relay.node.active_requests + len(relay.server.idle_connections) >= len(clients)
            )
            for at, client in enumerate(clients):
                disconnect(client, ("close", "reset", "half")[at % 3])
            await until(
                lambda: not relay.client_requests and not relay.node.requests and not relay.upstream.exchanges
            )
            await until(lambda: relay.upstream.open_count == 0)
            assert relay.node.active_requests == 0
            assert relay.node.balancer.parts.shared.pool.load == 0.0
            free.set()
            for client in clients:
                client.writer.close()

    run(main())


def test_disconnect_is_noticed_within_request_timeouts():
    assert PAUSED_CHECK_INTERVAL_S * 2 < 0.3
