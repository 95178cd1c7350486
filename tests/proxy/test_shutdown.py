"""The drain of a process: every request gets a response, and the drain ends before the platform kills the process."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest

from rosewheel.http import downstream_server
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT
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

KILL_DELAY_S = 0.7  # after the longest request timeout, limited to 3 s, the platform kills the process


def request_bytes(id: str, timeout_ms: int) -> bytes:
    return (
        f"POST / HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: post\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class Clock:
    """The event loop of a server, on a simulated clock that only `sleep` advances."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.elapsed_s = loop, 0.0
        self._started_s = loop.time()

    def time(self) -> float:
        return self._started_s + self.elapsed_s

    async def sleep(self, seconds: float) -> None:
        self.elapsed_s += seconds
        for _ in range(20):  # lets the event loop process pending I/O
            await asyncio.sleep(0)

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)


def simulate_clock(proxy: Proxy, monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock(proxy.loop)
    proxy.server.loop = proxy.loop = clock  # type: ignore[assignment]
    fake = type("asyncio", (), {"sleep": staticmethod(clock.sleep)})
    monkeypatch.setattr(downstream_server, "asyncio", fake)
    return clock


@pytest.mark.parametrize("deadline_ms", [150.0, 300.0, 700.0, 2500.0, 6000.0, 60000.0])
def test_connections_are_closed_before_the_platform_kills_the_process(
    monkeypatch: pytest.MonkeyPatch, deadline_ms: float
):
    """A request on a connection that is still open when the process is killed would never get a response."""
    classes = tuple(
        dataclasses.replace(
            kind, latency_objective_ms=min(kind.latency_objective_ms, deadline_ms), deadline_ms=deadline_ms
        )
        for kind in (IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT_WITH_KEY)
    )

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)], classes=classes) as proxy:
            async with Client(proxy) as idle, Client(proxy) as partial:
                assert status(await idle.request("post", timeout=int(deadline_ms))) == 200
                partial.writer.write(b"POST / HTTP/1.1\r\nRequest-Id: x")
                await until(lambda: any(connection.is_receiving for connection in proxy.server.connections))
                clock = simulate_clock(proxy, monkeypatch)
                for connection in proxy.server.connections:
                    connection.last_activity_s = clock.time()
                await proxy.drain()
                assert not proxy.server.connections
                assert clock.elapsed_s < min(deadline_ms / 1000.0, 3.0) + KILL_DELAY_S - 0.1
                # New connections are accepted for this long.
                assert clock.elapsed_s >= downstream_server.ACCEPT_DURING_DRAIN_S

    run(main())


@pytest.mark.parametrize("timeout_ms", [150, 6000])
def test_every_request_during_a_drain_gets_a_response(monkeypatch: pytest.MonkeyPatch, timeout_ms: int):
    """This holds for a request in flight, one on an open connection and one on a new connection."""

    async def main() -> None:
        gate = asyncio.Event()

        async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(encode_response())

        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as in_flight, Client(proxy) as connected:
                in_flight.send("post", timeout=2500)
                await until(lambda: len(server.requests) == 1)
                draining = asyncio.ensure_future(proxy.drain())
                await until(lambda: proxy.server.draining)
                connected.send("post", timeout=timeout_ms)
                async with Client(proxy) as new:
                    new.send("post", timeout=timeout_ms)
                    await until(
                        lambda: (
                            proxy.node.active_requests + proxy.server.rejected_count >= 3
                            or not proxy.client_requests
                        )
                    )
                    gate.set()
                    for client in (in_flight, connected, new):
                        assert status(await client.read_response()) in (200, 503, 504)
                    draining.cancel()

    run(main())


def test_a_connection_with_an_unread_request_is_not_closed_as_idle():
    """Closing it would reset the connection, and the request would get no response."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            with socket.create_connection(("127.0.0.1", proxy.server.port)) as sock:
                await until(lambda: len(proxy.server.connections) == 1)
                connection: DownstreamConnection = next(iter(proxy.server.connections))
                sock.sendall(request_bytes("late", 2000))  # the event loop does not run before the next line
                assert not connection.close_if_idle(0.0)
                sock.setblocking(False)
                response = await asyncio.wait_for(proxy.loop.sock_recv(sock, 4096), 20.0)
                assert response.startswith(b"HTTP/1.1 200 ")
                assert connection.close_if_idle(0.0)  # no unread request any more

    run(main())


def test_reloads_during_and_after_a_drain_do_not_affect_it():
    async def main() -> None:
        gate = asyncio.Event()

        async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(encode_response())

        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post")
                await until(lambda: len(server.requests) == 1)
                draining = asyncio.ensure_future(proxy.drain())
                await until(lambda: proxy.server.draining)
                proxy.reload(dataclasses.replace(proxy.config, discovery_address=("127.0.0.1", 2)))
                assert proxy.config.discovery_address == ("127.0.0.1", 2)
                gate.set()
                assert status(await client.read_response()) == 200
                await draining
                proxy.reload(dataclasses.replace(proxy.config, discovery_address=("127.0.0.1", 3)))
                assert not proxy.discovery.is_open

    run(main())
