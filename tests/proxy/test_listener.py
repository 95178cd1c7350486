"""The listening socket: bound here or inherited, and let go of without a harm to who else has it."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import socket

import pytest

from rosewheel.config.errors import ConfigError
from rosewheel.listener import open_listener, start_listening
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import Client, FakeServer, closed_port, config, entry, run, status, until


def test_an_address_is_bound():
    with open_listener(("127.0.0.1", 0), None) as sock:
        assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        start_listening(sock)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)


def test_an_inherited_socket_is_used_as_it_is():
    with socket.create_server(("127.0.0.1", 0)) as held:
        with open_listener(("127.0.0.1", 1), os.dup(held.fileno())) as sock:
            assert sock.getsockname() == held.getsockname()


@pytest.mark.parametrize("make", [lambda: os.open(os.devnull, os.O_RDONLY), lambda: _plain(), lambda: 9999])
def test_what_is_no_listening_socket_is_one_plain_line(make):
    with pytest.raises(ConfigError, match=r"^LB_INHERITED_FD: \d+: [^\n]+$"):
        open_listener(("127.0.0.1", 1), make())


def _plain() -> int:
    return socket.socket().detach()


def test_an_address_in_use_is_one_plain_line():
    with socket.create_server(("127.0.0.1", 0)) as held:
        with pytest.raises(ConfigError, match=r"^LB_LISTEN: 127\.0\.0\.1:\d+: [^\n]+$"):
            open_listener(held.getsockname(), None)


def test_an_upgrade_turns_no_caller_away():
    """Guards callers while an old process ends beside a new one: what the old one took it answers, with
    `Connection: close`, and whoever connects from then on finds the new one."""

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as held:
            port = held.getsockname()[1]
            async with FakeServer().up() as server:
                known = [entry("s", server.port)]
                old = Proxy(config(known, inherited=os.dup(held.fileno())))
                new = Proxy(config(known, inherited=os.dup(held.fileno())))
                for relay in (old, new):
                    relay.discovery.start = relay.endpoints.list_received.set  # type: ignore[method-assign]
                await old.start()
                async with Client(port=port) as early, Client(port=port) as quiet:
                    assert status(await early.ask()) == 200
                    await until(lambda: len(old.server.connections) == 2)
                    assert (old.serving(), new.serving()) == (True, False)
                    await new.start()
                    assert new.serving()
                    stop = asyncio.ensure_future(old.drain())
                    await until(lambda: old.server.draining)
                    assert not old.serving()
                    for at in range(20):
                        async with Client(port=port) as client:
                            assert status(await client.ask(id=f"late-{at}")) == 200
                    assert len(old.server.connections) == 2
                    for client in (early, quiet):
                        got = await client.ask()
                        assert (status(got), got.headers.get("connection")) == (200, "close")
                    await stop
                    assert not old.server.connections
                async with Client(port=port) as client:
                    assert status(await client.ask()) == 200
                new.server.close()
                new.upstream.close()

    run(main())


def test_no_client_waits_for_a_process_that_does_not_accept_yet():
    """A request that lay in the system's queue was counted from when it was read, so servers were told too much."""

    async def main() -> None:
        gate, waiting = asyncio.Event(), asyncio.Event()

        async def wait_for_list(_shares_listener: bool) -> None:
            waiting.set()
            await gate.wait()

        port = closed_port()
        told = dataclasses.replace(config([]), listen_address=("127.0.0.1", port))
        relay = Proxy(told)
        relay.endpoints.wait_for_list = wait_for_list  # type: ignore[method-assign]
        start = asyncio.create_task(relay.start())
        await waiting.wait()
        try:
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            gate.set()
            await start
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
        finally:
            gate.set()
            await start
            relay.discovery.close()
            relay.upstream.close()
            relay.server.close()

    run(main())


def test_an_address_that_another_process_takes_meanwhile_is_a_bad_configuration():
    async def main() -> None:
        port = closed_port()
        relay = Proxy(dataclasses.replace(config([]), listen_address=("127.0.0.1", port)))
        other = socket.socket()

        async def wait_for_list(_shares_listener: bool) -> None:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", port))
            other.listen()

        relay.endpoints.wait_for_list = wait_for_list  # type: ignore[method-assign]
        with other, pytest.raises(ConfigError, match=f"LB_LISTEN: 127.0.0.1:{port}"):
            await relay.start()
        relay.discovery.close()
        relay.upstream.close()

    run(main())
