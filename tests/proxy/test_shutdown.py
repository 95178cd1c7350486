"""The end of a process: what crosses it, and that it is over before the platform's patience is."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest

from rosewheel.http import downstream_server as callers_module
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT
from tests.support.sockets import Client, FakeServer, Message, answer, entry, node, run, status, until

KILLED_S = 0.7  # so long after the longest patience, counted as 3 s where it is longer


def ask_bytes(id: str, timeout_ms: int) -> bytes:
    return (
        f"POST / HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: post\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class Clock:
    """The loop of a server, on a clock that only its own waits move."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.passed = loop, 0.0
        self._began = loop.time()

    def time(self) -> float:
        return self._began + self.passed

    async def sleep(self, seconds: float) -> None:
        self.passed += seconds
        for _ in range(20):  # what was written meanwhile is read
            await asyncio.sleep(0)

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)


def clocked(relay: Proxy, monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock(relay.loop)
    relay.server.loop = relay.loop = clock  # type: ignore[assignment]
    fake = type("asyncio", (), {"sleep": staticmethod(clock.sleep)})
    monkeypatch.setattr(callers_module, "asyncio", fake)
    return clock


@pytest.mark.parametrize("give_up_ms", [150.0, 300.0, 700.0, 2500.0, 6000.0, 60000.0])
def test_connections_are_closed_before_the_end_comes(monkeypatch: pytest.MonkeyPatch, give_up_ms: float):
    """Clients send on every connection that stays open. Where patience is short, connections stayed open for 2 s,
    past the platform's own end of the process: what came there at the last moment was taken and never answered."""
    classes = tuple(
        dataclasses.replace(
            kind, latency_objective_ms=min(kind.latency_objective_ms, give_up_ms), deadline_ms=give_up_ms
        )
        for kind in (IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT_WITH_KEY)
    )

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)], classes=classes) as relay:
            async with Client(relay) as idle, Client(relay) as half:
                assert status(await idle.ask("post", timeout=int(give_up_ms))) == 200
                half.writer.write(b"POST / HTTP/1.1\r\nRequest-Id: x")
                await until(lambda: any(caller.is_receiving for caller in relay.server.connections))
                clock = clocked(relay, monkeypatch)
                for caller in relay.server.connections:
                    caller.last_activity_s = clock.time()
                await relay.drain()
                assert not relay.server.connections
                assert clock.passed < min(give_up_ms / 1000.0, 3.0) + KILLED_S - 0.1
                assert (
                    clock.passed >= callers_module.ACCEPT_DURING_DRAIN_S
                )  # new connections go on coming for so long

    run(main())


@pytest.mark.parametrize("timeout_ms", [150, 6000])
def test_whatever_comes_after_sigterm_gets_its_answer(monkeypatch: pytest.MonkeyPatch, timeout_ms: int):
    """In flight, sent on a connection that is there, on a new one: each is served, or refused while there is time."""

    async def main() -> None:
        free = asyncio.Event()

        async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(answer())

        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as flying, Client(relay) as there:
                flying.send("post", timeout=2500)
                await until(lambda: len(server.got) == 1)
                stopping = asyncio.ensure_future(relay.drain())
                await until(lambda: relay.server.draining)
                there.send("post", timeout=timeout_ms)
                async with Client(relay) as fresh:
                    fresh.send("post", timeout=timeout_ms)
                    await until(
                        lambda: (
                            relay.node.active_requests + relay.server.rejected_count >= 3 or not relay.calls
                        )
                    )
                    free.set()
                    for client in (flying, there, fresh):
                        assert status(await client.answer()) in (200, 503, 504)
                    stopping.cancel()

    run(main())


def test_a_request_that_lies_unread_keeps_its_connection_open():
    """Closing on it would reset the connection: it was taken, and would get no answer."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            with socket.create_connection(("127.0.0.1", relay.server.port)) as sock:
                await until(lambda: len(relay.server.connections) == 1)
                caller: DownstreamConnection = next(iter(relay.server.connections))
                sock.sendall(ask_bytes("late", 2000))  # no turn of the loop between this and the next line
                assert not caller.close_if_idle(0.0)
                sock.setblocking(False)
                got = await asyncio.wait_for(relay.loop.sock_recv(sock, 4096), 20.0)
                assert got.startswith(b"HTTP/1.1 200 ")
                assert caller.close_if_idle(0.0)  # and with nothing there it is

    run(main())


def test_two_signals_and_a_new_configuration_during_a_stop_change_nothing_of_it():
    async def main() -> None:
        free = asyncio.Event()

        async def slow(message: Message, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(answer())

        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post")
                await until(lambda: len(server.got) == 1)
                stopping = asyncio.ensure_future(relay.drain())
                await until(lambda: relay.server.draining)
                relay.reload(dataclasses.replace(relay.config, discovery_address=("127.0.0.1", 2)))
                assert relay.config.discovery_address == ("127.0.0.1", 2)
                free.set()
                assert status(await client.answer()) == 200
                await stopping
                relay.reload(dataclasses.replace(relay.config, discovery_address=("127.0.0.1", 3)))
                assert not relay.discovery.is_open

    run(main())
