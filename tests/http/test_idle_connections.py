"""Idle connections to servers: when they are closed, and when they are used again."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from rosewheel.node.limits import Limits
from tests.support.sockets import (
    Client,
    FakeServer,
    Message,
    answer,
    entry,
    node,
    run,
    serve_ok,
    status,
    until,
)


def test_idle_connection_is_closed_before_its_server_closes_it():
    """Guards against a write to a connection that is being closed: it is a reset, lost for a posting."""

    async def main() -> None:
        bounds = Limits(idle_timeout_ms=1.0)
        async with FakeServer().up() as server, node([entry("s", server.port)], bounds=bounds) as proxy:
            async with Client(proxy) as client:
                assert status(await client.ask("post")) == 200
                await until(lambda: server.closed == 1)
                assert proxy.upstream.open_count == 0
                assert status(await client.ask("post")) == 200
                assert server.connections == 2

    run(main())


@pytest.mark.parametrize(("siblings", "gives_back"), [(10, True), (4, False)])
def test_idle_connections_are_closed_at_a_server_without_free_ones(
    monkeypatch: pytest.MonkeyPatch, siblings: int, gives_back: bool
):
    """Guards the other nodes: what each of many keeps for later shuts them out of a server that has nothing to do."""
    monkeypatch.setattr("rosewheel.node.idle_timeout.REFUSAL_SHARE", 0.0)
    monkeypatch.setattr("rosewheel.node.idle_timeout.MIN_REFUSAL_LIMIT_S", 0.0)

    async def main() -> None:
        gate = asyncio.Event()

        async def bears_two(message: Message, writer: asyncio.StreamWriter) -> None:
            if message.connection > 2:
                writer.write(answer(503, b"", Not_Started="1"))
                return
            await gate.wait()
            writer.write(answer())

        async with FakeServer(bears_two).up() as server:
            async with (
                node([entry("s", server.port)], balancer_count=siblings) as proxy,
                contextlib.AsyncExitStack() as stack,
            ):
                clients = [await stack.enter_async_context(Client(proxy)) for _ in range(3)]
                for at, client in enumerate(clients):
                    client.send("post")
                    await until(lambda at=at: len(server.got) == at + 1)
                assert status(await clients[2].answer()) == 503
                assert status(await clients[2].ask("post")) == 503, "a refusal, and no failure"
                gate.set()
                for client in clients[:2]:
                    assert status(await client.answer()) == 200
                if gives_back:
                    await until(lambda: server.closed == server.connections)
                assert (proxy.upstream.idle_timeout.close_after_s == 0.0) is gives_back

    run(main())


@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 408 X\r\n\r\n"])
def test_idle_connection_that_receives_data_or_ends_is_closed(data: bytes):
    """Guards the next request against a stale answer or a dead connection."""

    async def main() -> None:
        async with (
            FakeServer().up() as server,
            node([entry("s", server.port)]) as proxy,
            Client(proxy) as client,
        ):
            assert status(await client.ask("post")) == 200
            if data:
                server.writers[0].write(data)
            else:
                server.writers[0].close()
            await until(lambda: proxy.upstream.open_count == 0)
            assert status(await client.ask("post")) == 200

    run(main())


@pytest.mark.usefixtures("no_quiet_period")
def test_idle_timeout_is_reduced_after_stale_connections(monkeypatch: pytest.MonkeyPatch):
    """Guards unsafe requests where connections are forgotten without a word: one is lost, not each time."""
    # A busy machine may be late to report the reset.
    monkeypatch.setattr("rosewheel.http.upstream_connection.STALE_RESET_WINDOW_S", 1.0)

    async def main() -> None:
        seen: dict[int, float] = {}

        async def forgetful(message: Message, writer: asyncio.StreamWriter) -> None:
            now = asyncio.get_running_loop().time()
            rested = now - seen.get(message.connection, now)
            seen[message.connection] = now
            if rested >= 0.1:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
            else:
                writer.write(answer())

        async with FakeServer(forgetful).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                assert status(await client.ask("post")) == 200
                await asyncio.sleep(0.15)
                assert status(await client.ask("post")) == 502, "it may have run, whatever is likely"
                assert 0.05 <= proxy.upstream.idle_timeout.stale_limit_s < 5.0
                proxy.upstream.idle_timeout.stale_limit_s = 0.07
                for _ in range(3):
                    assert status(await client.ask("post")) == 200
                    await asyncio.sleep(0.15)
                assert proxy.upstream.idle_timeout.stale_limit_s == 0.07
                proxy.upstream.idle_timeout.stale_changed_at_s -= 60.0
                await until(
                    lambda: proxy.upstream.idle_timeout.stale_limit_s > 0.1
                )  # it is tried again in time

    run(main())


@pytest.mark.usefixtures("no_quiet_period")
def test_unresponsive_server_receives_nothing_on_old_connections():
    """Guards postings against a machine that vanished: its old connections swallow them, and then they may
    have run; a new one never comes up, and then they did not."""

    async def main() -> None:
        silent = False

        async def handler(message: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.got) >= 2 and not silent:  # both at once, so that there are two connections
                for each in server.writers:
                    each.write(answer())

        server = FakeServer(handler)
        async with server.up(), node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as one, Client(proxy) as two:
                one.send("post")
                two.send("post")
                assert status(await one.answer()) == status(await two.answer()) == 200
                assert proxy.upstream.open_count == 2
                silent = True
                assert status(await one.ask("post", timeout=700)) == 504
                await until(lambda: proxy.upstream.open_count == 0)
                assert server.connections == 2

    run(main())


def test_connection_end_is_seen_before_the_loop_reads_it():
    """Guards the next request: between a server's close and the loop's reading of it a write is lost."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            async with node([entry("s", listener.getsockname()[1])]) as proxy, Client(proxy) as client:
                client.send("post")
                peer, _ = await loop.sock_accept(listener)
                await loop.sock_recv(peer, 4096)
                await loop.sock_sendall(peer, answer())
                assert status(await client.answer()) == 200
                idle = proxy.upstream.endpoints["s"].idle_connections[0]
                assert idle.is_usable()
                peer.close()  # no turn of the loop between this and the next line
                assert not idle.is_usable()

    run(main())


def test_idle_connections_free_descriptors_longest_idle_first():
    """What rests is known by pool and over all pools; the two must never say different things."""

    async def main() -> None:
        async with FakeServer(serve_ok).up() as server:
            async with (
                node([entry(f"s{at}", server.port) for at in range(100)]) as proxy,
                Client(proxy) as client,
            ):
                proxy.resources.max_descriptors = 9
                upstream = proxy.upstream

                def agrees() -> bool:
                    by_pool = [conn for pool in upstream.endpoints.values() for conn in pool.idle_connections]
                    times = [conn.idle_since_s for conn in upstream.idle_connections]
                    return set(upstream.idle_connections) == set(by_pool) and times == sorted(times)

                for _ in range(60):
                    assert status(await client.ask()) == 200
                    assert agrees()
                    assert proxy.resources.descriptor_count <= proxy.resources.max_descriptors
                assert len(upstream.idle_connections) > 1
                out = next(iter(upstream.idle_connections)).endpoint.host
                upstream.set_cordoned(out, True)
                assert agrees()
                assert not upstream.endpoints[out].idle_connections
                first = next(iter(upstream.idle_connections))
                assert upstream.close_longest_idle()
                assert first not in upstream.idle_connections
                assert agrees()
                upstream.update([], is_snapshot=True)
                assert not upstream.idle_connections

    run(main())


def test_connection_is_not_reused_within_the_quiet_period():
    """Guards the next request: a second copy may come a moment later, and is no answer to it."""

    async def main() -> None:
        async def handler(message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(body=message.body))
            await writer.drain()
            asyncio.get_running_loop().call_later(0.0005, writer.write, answer(body=message.body))

        async with FakeServer(handler).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                for at in range(20):
                    got = await client.ask("post", body=b"%d" % at)
                    assert (status(got), got.body) == (200, b"%d" % at)

    run(main())
