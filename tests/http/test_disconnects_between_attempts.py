"""Clients that disconnect before a retry, a hedged request, or the end of a slow connect."""

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
    disconnect,
    encode_response,
    entry,
    gated_handler,
    node,
    run,
    until,
)

# Deadlines and the dedup window are longer than any test takes.
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
def no_disconnect_polling(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable the polling of paused connections, so that a disconnect is noticed only where a test expects it."""
    monkeypatch.setattr("rosewheel.http.downstream_server.PAUSED_CHECK_INTERVAL_S", 3600.0)


async def pause_reading_with_pipelined(proxy: Proxy, client: Client) -> DownstreamConnection:
    """Pipeline requests behind the pending one until the node pauses reading."""
    (connection,) = proxy.server.connections
    for index in range(MAX_PIPELINED_REQUESTS):
        client.send("post", id=f"ahead-{index}", timeout=60000)
    await until(lambda: connection.reading_paused)
    return connection


async def fail_attempt(server: FakeServer, how: str) -> None:
    """Fail the attempt in flight so that the policy may start another one."""
    if how == "rejected":
        server.writers[-1].write(encode_response(503, b"", Not_Started="1"))
    else:
        server.writers[-1].transport.abort()  # type: ignore[union-attr]


@pytest.mark.usefixtures("no_disconnect_polling")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize(("service", "end"), [("post", "rejected"), ("read", "reset"), ("points", "reset")])
def test_no_retry_for_a_disconnected_client(how: str, service: str, end: str):
    """Guards against a retry that starts without a check that the client is still connected."""

    async def main() -> None:
        async def no_response(message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        async with FakeServer(no_response).up() as one, FakeServer(no_response).up() as two:
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=LONG_DEADLINE_CLASSES) as proxy, Client(proxy) as client:
                client.send(service, id="first", timeout=60000)
                await until(lambda: one.requests or two.requests)
                await pause_reading_with_pipelined(proxy, client)
                disconnect(client, how)
                await asyncio.sleep(0)  # lets the disconnect reach the operating system
                await fail_attempt(one if one.requests else two, end)
                await until(lambda: not proxy.node.requests and not proxy.upstream.exchanges)
                assert len(one.requests) + len(two.requests) == 1
                assert (
                    proxy.node.active_requests
                    == proxy.budget.used_bytes
                    == proxy.upstream.connecting_count
                    == 0
                )

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_no_retry_if_a_late_loop_reads_the_failure_first(cancel: bool, monkeypatch: pytest.MonkeyPatch):
    """A late event loop finds the failure of the attempt and the disconnect at the same time, the failure first."""
    monkeypatch.setattr("rosewheel.http.idle_connections.REUSE_QUIET_PERIOD_S", -1.0)

    async def main() -> None:
        sock = socket.socket()

        async def reject_and_disconnect(message: Message, writer: asyncio.StreamWriter) -> None:
            if message.start_line.startswith("GET /_load"):
                writer.write(encode_response())
                return
            # Both happen before the event loop runs again, so it finds them together.
            os.write(writer.get_extra_info("socket").fileno(), encode_response(503, b"", Not_Started="1"))
            sock.close()

        async with (
            FakeServer(reject_and_disconnect).up() as one,
            FakeServer(reject_and_disconnect).up() as two,
        ):
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=LONG_DEADLINE_CLASSES, may_cancel=cancel) as proxy:
                for host in ("one", "two"):  # leaves an idle connection to each server
                    proxy.upstream.check_health(host)
                await until(lambda: len(proxy.upstream.idle_connections) == 2)
                sock.connect(("127.0.0.1", proxy.server.port))
                sock.sendall(
                    b"POST / HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: post\r\n"
                    b"Request-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
                )
                await until(lambda: len(one.requests) + len(two.requests) >= 3)
                await until(lambda: not proxy.server.connections and not proxy.node.requests)
                assert len(one.requests) + len(two.requests) == 3
                assert not proxy.upstream.exchanges
                assert proxy.node.active_requests == 0

    run(main())


@pytest.mark.usefixtures("no_disconnect_polling")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_no_hedge_for_a_disconnected_client(how: str):
    async def main() -> None:
        gate, respond = gated_handler()
        async with FakeServer(respond).up() as one, FakeServer(respond).up() as two:  # type: ignore[arg-type]
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=LONG_DEADLINE_CLASSES) as proxy, Client(proxy) as client:
                client.send("read", id="first", timeout=60000)
                await until(lambda: one.requests or two.requests)
                await pause_reading_with_pipelined(proxy, client)
                disconnect(client, how)
                await asyncio.sleep(0)
                proxy.node.driver.apply(
                    now_ms(), [ForwardRequest("first", "two" if one.requests else "one", 50000.0)]
                )
                proxy.apply(proxy.node.driver.handle(now_ms()))
                await until(lambda: not proxy.node.requests and not proxy.upstream.exchanges)
                assert proxy.upstream.connecting_count == 0
                assert len(one.requests) + len(two.requests) == 1
            gate.set()

    run(main())


@contextlib.contextmanager
def full_backlog() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Return a listener with a full backlog, and the socket that fills it.

    The next connect succeeds once the backlog has space and the kernel has retried it, one second after the first try.
    """
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        listener.setblocking(False)
        yield listener, filler


async def accept_and_read(listener: socket.socket, proxy: Proxy) -> bytes:
    """Empty the backlog, accept the node's connection, and return all bytes that the node sends on it."""
    listener.accept()[0].close()
    loop = asyncio.get_running_loop()
    sock, _ = await loop.sock_accept(listener)
    with sock:
        sock.setblocking(False)
        await until(lambda: proxy.upstream.connecting_count == 0)
        received = b""
        with contextlib.suppress(ConnectionError):
            while part := await loop.sock_recv(sock, 65536):
                received += part
        return received


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_slow_connect_is_aborted_with_its_client(how: str, cancel: bool):
    async def main() -> None:
        with full_backlog() as (listener, _):
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


@pytest.mark.usefixtures("no_disconnect_polling")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_nothing_is_sent_on_a_connection_that_opens_late(how: str):
    """The connection to the server opens a second after the client's disconnect, which the loop has not reported."""

    async def main() -> None:
        with full_backlog() as (listener, _):
            port = listener.getsockname()[1]
            async with (
                node([entry("s", port)], classes=LONG_DEADLINE_CLASSES) as proxy,
                Client(proxy) as client,
            ):
                client.send("post", id="first", timeout=60000)
                await until(lambda: proxy.upstream.connecting_count == 1)
                await pause_reading_with_pipelined(proxy, client)
                disconnect(client, how)
                assert await accept_and_read(listener, proxy) == b""
                assert not proxy.node.requests
                assert not proxy.upstream.exchanges
                assert proxy.upstream.open_count == 0

    run(main())


async def send_without_blocking(sock: socket.socket, data: bytes, connection: DownstreamConnection) -> None:
    """Write all data, or as much as the operating system accepts while the node does not read."""
    sock.setblocking(False)
    view = memoryview(data)
    blocked_turns = 0
    while view and blocked_turns < 20:  # gives up after 20 failed writes while reading is paused
        try:
            view = view[sock.send(view) :]
            blocked_turns = 0
        except BlockingIOError:
            blocked_turns += connection.reading_paused
            await asyncio.sleep(0.002)


@pytest.mark.parametrize("sent", ["body", "ahead"])
def test_disconnect_behind_much_unread_data_is_seen(sent: str):
    """Guards against reading too little: a disconnect behind unread data is not visible, even to the system."""

    async def main() -> None:
        with full_backlog() as (listener, _), socket.socket() as sock:
            port = listener.getsockname()[1]
            async with node([entry("s", port)], classes=LONG_DEADLINE_CLASSES) as proxy:
                listening = proxy.server.listening_socket
                assert listening is not None
                # Accepted sockets inherit the size.
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                sock.connect(("127.0.0.1", proxy.server.port))
                head = b"POST / HTTP/1.1\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 60000\r\n"
                if sent == "body":
                    start = head + b"Request-Id: r\r\nContent-Length: 20000000\r\n\r\n" + bytes(1_100_000)
                    rest = bytes(3_000_000)
                else:
                    start = head + b"Request-Id: first\r\nContent-Length: 0\r\n\r\n"
                    request_bytes = (
                        head + b"Request-Id: %d\r\nContent-Length: 900000\r\n\r\n" + bytes(900_000)
                    )
                    rest = b"".join(request_bytes.replace(b"%d", b"%d" % index) for index in range(4))
                await until(lambda: bool(proxy.server.connections))
                (connection,) = proxy.server.connections
                await send_without_blocking(sock, start, connection)
                await until(lambda: proxy.upstream.connecting_count == 1)
                await send_without_blocking(sock, rest, connection)
                sock.close()
                await until(lambda: proxy.upstream.connecting_count == 0 or connection.reading_paused)
                listener.accept()[0].close()
                await until(lambda: not proxy.node.requests and not proxy.server.connections)
                await until(lambda: proxy.upstream.connecting_count == proxy.upstream.open_count == 0)
                with pytest.raises(BlockingIOError):
                    listener.accept()
                assert proxy.budget.used_bytes == 0

    run(main())
