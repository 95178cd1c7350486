"""Callers that leave while their request waits: nothing of it is sent on later, wherever it waited."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct

import pytest
from helpers import UNSAFE
from sockets import Client, FakeServer, Message, answer, entry, node, run, status, until

from rosewheel.http.caller import Caller
from rosewheel.http.callers import UNREAD_S


def held_back() -> tuple[asyncio.Event, object]:
    free = asyncio.Event()

    async def handler(message: Message, writer: asyncio.StreamWriter) -> None:
        await free.wait()
        writer.write(answer())

    return free, handler


def leave(client: Client, how: str) -> None:
    """End the connection as a client may: in order, with a reset, or just its sending."""
    sock = client.writer.get_extra_info("socket")
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half":
        client.writer.write_eof()
    else:
        client.writer.transport.abort()  # type: ignore[union-attr]


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("cancel", [True, False])
def test_not_sent_on_once_its_connection_comes_up(how: str, cancel: bool):
    """Seen by reading: where the settings allow no cancel, an attempt went out when its connection was up at last."""

    async def main() -> None:
        up, reached = asyncio.Event(), asyncio.Event()
        async with FakeServer().up() as server, node([entry("s", server.port)], may_cancel=cancel) as relay:
            connect = relay.loop.create_connection

            async def late(*args: object) -> object:
                reached.set()
                await up.wait()
                return await connect(*args)  # type: ignore[arg-type]

            relay.upstream.loop = _Loop(relay.loop, late)  # type: ignore[assignment]
            async with Client(relay) as client:
                client.send("post")
                await reached.wait()
                leave(client, how)
                await until(lambda: not relay.calls)
                up.set()
                await until(lambda: not relay.node.open and not relay.upstream.live)
                assert relay.upstream.coming == 0
            async with Client(
                relay
            ) as other:  # the slot of the first is free again, and nothing of it is on its way
                assert status(await other.ask("post")) == 200
            assert len(server.got) == 1
            assert relay.node.active == 0

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_half_a_body_ends_its_attempt_with_its_caller(cancel: bool):
    """No deadline runs before a request's last byte, so that nothing else would ever end it."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)], may_cancel=cancel) as relay:
            async with Client(relay) as client:
                client.writer.write(
                    b"POST / HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
                    b"Content-Length: 4000000\r\n\r\n" + bytes(3_000_000)
                )
                await until(lambda: relay.upstream.opened == 1)
                leave(client, "reset")
                await until(lambda: not relay.node.open and relay.upstream.opened == 0)
            assert not server.got

    run(main())


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_not_sent_on_when_it_waited_behind_another_and_nothing_was_read(how: str):
    """While its connection is not read the loop does not hear of its end: what waits there went out when the
    answer before it had come, however long the caller had been gone."""

    async def main() -> None:
        free, slow = held_back()
        patient = dataclasses.replace(
            UNSAFE, aim_ms=60000, give_up_ms=60000
        )  # no deadline ends the first one
        async with (
            FakeServer(slow).up() as server,  # type: ignore[arg-type]
            node([entry("s", server.port)], classes=(patient,)) as relay,
        ):
            async with Client(relay) as client:
                for at in range(3):
                    client.send("post", id=f"r{at}", body=b"x" * 9000, timeout=60000)
                await until(lambda: len(server.got) == 1)
                caller = next(iter(relay.server.callers))
                await until(lambda: caller.paused)
                leave(client, how)
                await until(lambda: not relay.server.callers)  # while its first request is still out
                assert not relay.calls
                assert not relay.node.open
                assert relay.node.active == relay.budget.used == 0
                free.set()
            async with Client(relay) as other:
                assert status(await other.ask("post")) == 200
            assert [message.headers["request-id"] for message in server.got[:1]] == ["r0"]
            assert len(server.got) == 2

    run(main())


def test_one_that_has_left_is_not_asked_though_the_loop_has_not_read_so(monkeypatch: pytest.MonkeyPatch):
    """A request and the end of its connection may lie side by side before a loop that is late."""
    monkeypatch.setattr("rosewheel.http.equipos.SETTLE_S", -1.0)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                assert status(await client.ask("post")) == 200  # so that a connection is at hand
            await until(lambda: not relay.server.callers)
            came: list[Caller] = []
            joined = relay.server.joined
            relay.server.joined = lambda caller: (came.append(caller), joined(caller))[1]  # type: ignore[method-assign]
            for ends in range(3):
                with socket.create_connection(
                    ("127.0.0.1", relay.server.port)
                ) as sock:  # no turn of the loop in here
                    sock.sendall(
                        b"POST / HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Class: post\r\n"
                        b"Request-Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n" % ends
                    )
                await until(lambda: bool(came) and not relay.server.callers)
                came.clear()
            async with Client(relay) as client:
                assert status(await client.ask("post")) == 200
            assert len(server.got) == 2

    run(main())


def test_an_end_of_sending_counts_at_once_whatever_is_still_to_be_written():
    """The loop closes such a connection when all that was written has gone out, and tells of it only then."""

    async def main() -> None:
        free, slow = held_back()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:  # type: ignore[arg-type]
            async with Client(relay) as client:
                client.send("post")
                await until(lambda: len(server.got) == 1)
                caller = next(iter(relay.server.callers))
                assert not caller.eof_received()  # so that the loop closes it
                assert not relay.calls
                assert not relay.node.open
            free.set()

    run(main())


def test_a_burst_of_leavers_leaves_nothing_behind():
    async def main() -> None:
        free, slow = held_back()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:  # type: ignore[arg-type]
            clients = [Client(relay) for _ in range(40)]
            for client in clients:
                await client.__aenter__()
                client.send("read")
            await until(lambda: relay.node.active + len(relay.server.quiet) >= len(clients))
            for at, client in enumerate(clients):
                leave(client, ("close", "reset", "half")[at % 3])
            await until(lambda: not relay.calls and not relay.node.open and not relay.upstream.live)
            await until(lambda: relay.upstream.opened == 0)
            assert relay.node.active == 0
            assert relay.node.balancer.pool.load == 0.0
            free.set()
            for client in clients:
                client.writer.close()

    run(main())


def test_leaving_is_noticed_well_within_what_a_request_may_wait():
    assert UNREAD_S * 2 < 0.3


class _Loop:
    def __init__(self, loop: object, create_connection: object) -> None:
        self._loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)
