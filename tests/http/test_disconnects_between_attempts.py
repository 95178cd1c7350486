"""Clients that disconnect before a retry, a hedge, or the end of a slow connect."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import socket
from collections.abc import Iterator

import pytest

from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.request_reader import MAX_PIPELINED_REQUESTS
from rosewheel.policy.actions import ForwardRequest
from rosewheel.proxy.clock import now_ms
from rosewheel.proxy.proxy import Proxy
from tests.support.balancers import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT
from tests.support.sockets import (
    Client,
    FakeServer,
    Message,
    answer,
    disconnect,
    entry,
    gated_handler,
    node,
    run,
    until,
)

# Patient enough that no deadline ends anything here; a key is remembered for longer than any test takes.
LONG_DEADLINE_CLASSES = tuple(
    dataclasses.replace(
        kind,
        latency_objective_ms=60000,
        deadline_ms=60000,
        dedup_window_ms=100_000 if kind is IDEMPOTENT_WITH_KEY else 0.0,
    )
    for kind in (IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT_WITH_KEY)
)


@pytest.fixture
def unasked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nobody asks the system for those that are not read: what holds then holds in between as well."""
    monkeypatch.setattr("rosewheel.http.downstream_server.PAUSED_CHECK_INTERVAL_S", 3600.0)


async def unread(proxy: Proxy, client: Client) -> DownstreamConnection:
    """Requests ahead of the answer that is due, until their connection is not read any more."""
    (connection,) = proxy.server.connections
    for at in range(MAX_PIPELINED_REQUESTS):
        client.send("post", id=f"ahead-{at}", timeout=60000)
    await until(lambda: connection.reading_paused)
    return connection


async def fail(server: FakeServer, how: str) -> None:
    """End the attempt that is out so that another one may follow."""
    if how == "full":
        server.writers[-1].write(answer(503, b"", Not_Started="1"))
    else:
        server.writers[-1].transport.abort()  # type: ignore[union-attr]


@pytest.mark.usefixtures("unasked")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize(("service", "end"), [("post", "full"), ("read", "cut"), ("points", "cut")])
def test_no_retry_for_a_disconnected_client(how: str, service: str, end: str):
    """A retry, or the repeat of a keyed request: nobody had asked whether its client was still there."""

    async def main() -> None:
        async def silent(message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        async with FakeServer(silent).up() as one, FakeServer(silent).up() as two:
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=LONG_DEADLINE_CLASSES) as proxy, Client(proxy) as client:
                client.send(service, id="first", timeout=60000)
                await until(lambda: one.got or two.got)
                await unread(proxy, client)
                disconnect(client, how)
                await asyncio.sleep(0)  # so that the system has been told
                await fail(one if one.got else two, end)
                await until(lambda: not proxy.node.requests and not proxy.upstream.exchanges)
                assert len(one.got) + len(two.got) == 1
                assert (
                    proxy.node.active_requests
                    == proxy.budget.used_bytes
                    == proxy.upstream.connecting_count
                    == 0
                )

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_no_retry_if_a_late_loop_reads_the_failure_first(cancel: bool, monkeypatch: pytest.MonkeyPatch):
    """The end of the client and that of the attempt lie side by side, the attempt's before."""
    monkeypatch.setattr("rosewheel.http.idle_connections.REUSE_QUIET_PERIOD_S", -1.0)

    async def main() -> None:
        sock = socket.socket()

        async def full(message: Message, writer: asyncio.StreamWriter) -> None:
            if message.first.startswith("GET /_load"):
                writer.write(answer())
                return
            # In one turn of the loop, which finds both at its next one.
            os.write(writer.get_extra_info("socket").fileno(), answer(503, b"", Not_Started="1"))
            sock.close()

        async with FakeServer(full).up() as one, FakeServer(full).up() as two:
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=LONG_DEADLINE_CLASSES, may_cancel=cancel) as proxy:
                for name in ("one", "two"):  # so that a connection is at hand
                    proxy.upstream.check_health(name)
                await until(lambda: len(proxy.upstream.idle_connections) == 2)
                sock.connect(("127.0.0.1", proxy.server.port))
                sock.sendall(
                    b"POST / HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: post\r\n"
                    b"Request-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
                )
                await until(lambda: len(one.got) + len(two.got) >= 3)
                await until(lambda: not proxy.server.connections and not proxy.node.requests)
                assert len(one.got) + len(two.got) == 3
                assert not proxy.upstream.exchanges
                assert proxy.node.active_requests == 0

    run(main())


@pytest.mark.usefixtures("unasked")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_no_hedge_for_a_disconnected_client(how: str):
    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as one, FakeServer(slow).up() as two:  # type: ignore[arg-type]
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=LONG_DEADLINE_CLASSES) as proxy, Client(proxy) as client:
                client.send("read", id="first", timeout=60000)
                await until(lambda: one.got or two.got)
                await unread(proxy, client)
                disconnect(client, how)
                await asyncio.sleep(0)
                proxy.node.driver.apply(
                    now_ms(), [ForwardRequest("first", "two" if one.got else "one", 50000.0)]
                )
                proxy.apply(proxy.node.driver.handle(now_ms()))
                await until(lambda: not proxy.node.requests and not proxy.upstream.exchanges)
                assert proxy.upstream.connecting_count == 0
                assert len(one.got) + len(two.got) == 1
            free.set()

    run(main())


@contextlib.contextmanager
def crowded() -> Iterator[tuple[socket.socket, socket.socket]]:
    """A listener whose queue is full, and who fills it: the next connection comes up when the queue is shorter and
    the system has tried again, a second after its first try."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        listener.setblocking(False)
        yield listener, filler


async def comes_up(listener: socket.socket, proxy: Proxy) -> bytes:
    """Take who fills the queue, and then what the node opens: all that it writes there."""
    listener.accept()[0].close()
    loop = asyncio.get_running_loop()
    sock, _ = await loop.sock_accept(listener)
    with sock:
        sock.setblocking(False)
        await until(lambda: proxy.upstream.connecting_count == 0)
        got = b""
        with contextlib.suppress(ConnectionError):
            while piece := await loop.sock_recv(sock, 65536):
                got += piece
        return got


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_slow_connect_is_aborted_with_its_client(how: str, cancel: bool):
    async def main() -> None:
        with crowded() as (listener, _):
            port = listener.getsockname()[1]
            async with node([entry("s", port)], classes=LONG_DEADLINE_CLASSES, may_cancel=cancel) as proxy:
                async with Client(proxy) as client:
                    client.send("post", timeout=60000)
                    await until(lambda: proxy.upstream.connecting_count == 1)
                    disconnect(client, how)
                    await until(lambda: proxy.upstream.connecting_count == 0)
                listener.accept()[0].close()
                with pytest.raises(BlockingIOError):
                    listener.accept()
                assert not proxy.node.requests
                assert not proxy.upstream.exchanges

    run(main())


@pytest.mark.usefixtures("unasked")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_nothing_is_sent_on_a_connection_that_opens_late(how: str):
    """It comes up a second after the client has left, and nobody has heard of that."""

    async def main() -> None:
        with crowded() as (listener, _):
            port = listener.getsockname()[1]
            async with (
                node([entry("s", port)], classes=LONG_DEADLINE_CLASSES) as proxy,
                Client(proxy) as client,
            ):
                client.send("post", id="first", timeout=60000)
                await until(lambda: proxy.upstream.connecting_count == 1)
                await unread(proxy, client)
                disconnect(client, how)
                assert await comes_up(listener, proxy) == b""
                assert not proxy.node.requests
                assert not proxy.upstream.exchanges
                assert proxy.upstream.open_count == 0

    run(main())


async def push(sock: socket.socket, data: bytes, connection: DownstreamConnection) -> None:
    """Hand all of it to the system, or as much as it takes while the node does not read."""
    sock.setblocking(False)
    view = memoryview(data)
    full = 0
    while view and full < 20:  # it takes no more for so many turns while nothing is read
        try:
            view = view[sock.send(view) :]
            full = 0
        except BlockingIOError:
            full += connection.reading_paused
            await asyncio.sleep(0.002)


@pytest.mark.parametrize("way", ["body", "ahead"])
def test_disconnect_behind_much_unread_data_is_seen(way: str):
    """The end of a connection stands behind all that its client has sent: while that is not read, not even the
    system of this machine has been told of it."""

    async def main() -> None:
        with crowded() as (listener, _), socket.socket() as sock:
            port = listener.getsockname()[1]
            async with node([entry("s", port)], classes=LONG_DEADLINE_CLASSES) as proxy:
                listening = proxy.server.listening_socket
                assert listening is not None
                # The same for those whom it accepts.
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                sock.connect(("127.0.0.1", proxy.server.port))
                head = b"POST / HTTP/1.1\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 60000\r\n"
                if way == "body":
                    start = head + b"Request-Id: r\r\nContent-Length: 20000000\r\n\r\n" + bytes(1_100_000)
                    rest = bytes(3_000_000)
                else:
                    start = head + b"Request-Id: first\r\nContent-Length: 0\r\n\r\n"
                    more = head + b"Request-Id: %d\r\nContent-Length: 900000\r\n\r\n" + bytes(900_000)
                    rest = b"".join(more.replace(b"%d", b"%d" % at) for at in range(4))
                await until(lambda: bool(proxy.server.connections))
                (connection,) = proxy.server.connections
                await push(sock, start, connection)
                await until(lambda: proxy.upstream.connecting_count == 1)
                await push(sock, rest, connection)
                sock.close()
                await until(lambda: proxy.upstream.connecting_count == 0 or connection.reading_paused)
                listener.accept()[0].close()
                await until(lambda: not proxy.node.requests and not proxy.server.connections)
                await until(lambda: proxy.upstream.connecting_count == proxy.upstream.open_count == 0)
                with pytest.raises(BlockingIOError):
                    listener.accept()
                assert proxy.budget.used_bytes == 0

    run(main())
