"""Callers that leave while their request waits: nothing of it is sent on later, wherever it waited."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import socket
import struct
from collections.abc import Iterator

import pytest

from rosewheel.http.body import CONNECTION_SHARE_DIVISOR
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.downstream_server import PAUSED_CHECK_INTERVAL_S
from rosewheel.http.request_reader import MAX_PIPELINED_REQUESTS
from rosewheel.policy.actions import ForwardRequest
from rosewheel.proxy.proxy import Proxy, now_ms
from tests.support.balancers import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT
from tests.support.loops import PatchedLoop
from tests.support.sockets import (
    Client,
    FakeServer,
    Message,
    answer,
    entry,
    gated_handler,
    node,
    run,
    status,
    until,
)


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

            relay.upstream.loop = PatchedLoop(relay.loop, create_connection=late)  # type: ignore[assignment]
            async with Client(relay) as client:
                client.send("post")
                await reached.wait()
                leave(client, how)
                await until(lambda: not relay.calls)
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
def test_half_a_body_ends_its_attempt_with_its_caller(cancel: bool):
    """No deadline runs before a request's last byte, so that nothing else would ever end it."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)], may_cancel=cancel) as relay:
            async with Client(relay) as client:
                client.writer.write(
                    b"POST / HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
                    b"Content-Length: 4000000\r\n\r\n" + bytes(3_000_000)
                )
                await until(lambda: relay.upstream.open_count == 1)
                leave(client, "reset")
                await until(lambda: not relay.node.requests and relay.upstream.open_count == 0)
            assert not server.got

    run(main())


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_not_sent_on_when_it_waited_behind_another_and_nothing_was_read(how: str):
    """While its connection is not read the loop does not hear of its end: what waits there went out when the
    answer before it had come, however long the caller had been gone."""

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
                caller = next(iter(relay.server.connections))
                await until(lambda: caller.reading_paused)
                leave(client, how)
                await until(lambda: not relay.server.connections)  # while its first request is still out
                assert not relay.calls
                assert not relay.node.requests
                assert relay.node.active_requests == relay.budget.used_bytes == 0
                free.set()
            async with Client(relay) as other:
                assert status(await other.ask("post")) == 200
            assert [message.headers["request-id"] for message in server.got[:1]] == ["r0"]
            assert len(server.got) == 2

    run(main())


def test_one_that_has_left_is_not_asked_though_the_loop_has_not_read_so(monkeypatch: pytest.MonkeyPatch):
    """A request and the end of its connection may lie side by side before a loop that is late."""
    monkeypatch.setattr("rosewheel.http.idle_connections.REUSE_QUIET_PERIOD_S", -1.0)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                assert status(await client.ask("post")) == 200  # so that a connection is at hand
            await until(lambda: not relay.server.connections)
            came: list[DownstreamConnection] = []
            joined = relay.server.connection_opened
            relay.server.connection_opened = lambda caller: (came.append(caller), joined(caller))[1]  # type: ignore[method-assign]
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


def test_an_end_of_sending_counts_at_once_whatever_is_still_to_be_written():
    """The loop closes such a connection when all that was written has gone out, and tells of it only then."""

    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as server, node([entry("s", server.port)]) as relay:  # type: ignore[arg-type]
            async with Client(relay) as client:
                client.send("post")
                await until(lambda: len(server.got) == 1)
                caller = next(iter(relay.server.connections))
                assert not caller.eof_received()  # so that the loop closes it
                assert not relay.calls
                assert not relay.node.requests
            free.set()

    run(main())


def test_a_burst_of_leavers_leaves_nothing_behind():
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
                leave(client, ("close", "reset", "half")[at % 3])
            await until(lambda: not relay.calls and not relay.node.requests and not relay.upstream.exchanges)
            await until(lambda: relay.upstream.open_count == 0)
            assert relay.node.active_requests == 0
            assert relay.node.balancer.parts.shared.pool.load == 0.0
            free.set()
            for client in clients:
                client.writer.close()

    run(main())


def test_leaving_is_noticed_well_within_what_a_request_may_wait():
    assert PAUSED_CHECK_INTERVAL_S * 2 < 0.3


# Patient enough that no deadline ends anything here; a key is remembered for longer than any test takes.
PATIENT = tuple(
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


async def unread(relay: Proxy, client: Client) -> DownstreamConnection:
    """Requests ahead of the answer that is due, until their connection is not read any more."""
    (caller,) = relay.server.connections
    for at in range(MAX_PIPELINED_REQUESTS):
        client.send("post", id=f"ahead-{at}", timeout=60000)
    await until(lambda: caller.reading_paused)
    return caller


async def fail(server: FakeServer, how: str) -> None:
    """End the attempt that is out so that another one may follow."""
    if how == "full":
        server.writers[-1].write(answer(503, b"", Not_Started="1"))
    else:
        server.writers[-1].transport.abort()  # type: ignore[union-attr]


@pytest.mark.usefixtures("unasked")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize(("service", "end"), [("post", "full"), ("read", "cut"), ("points", "cut")])
def test_no_further_attempt_after_one_that_failed(how: str, service: str, end: str):
    """A retry, or the repeat of a keyed request: nobody had asked whether its caller was still there."""

    async def main() -> None:
        async def silent(message: Message, writer: asyncio.StreamWriter) -> None:
            pass

        async with FakeServer(silent).up() as one, FakeServer(silent).up() as two:
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=PATIENT) as relay, Client(relay) as client:
                client.send(service, id="first", timeout=60000)
                await until(lambda: one.got or two.got)
                await unread(relay, client)
                leave(client, how)
                await asyncio.sleep(0)  # so that the system has been told
                await fail(one if one.got else two, end)
                await until(lambda: not relay.node.requests and not relay.upstream.exchanges)
                assert len(one.got) + len(two.got) == 1
                assert (
                    relay.node.active_requests
                    == relay.budget.used_bytes
                    == relay.upstream.connecting_count
                    == 0
                )

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_no_further_attempt_where_a_late_loop_reads_the_failure_first(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
):
    """The end of the caller and that of the attempt lie side by side, the attempt's before."""
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
            async with node(entries, classes=PATIENT, may_cancel=cancel) as relay:
                for name in ("one", "two"):  # so that a connection is at hand
                    relay.upstream.check_health(name)
                await until(lambda: len(relay.upstream.idle_connections) == 2)
                sock.connect(("127.0.0.1", relay.server.port))
                sock.sendall(
                    b"POST / HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: post\r\n"
                    b"Request-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
                )
                await until(lambda: len(one.got) + len(two.got) >= 3)
                await until(lambda: not relay.server.connections and not relay.node.requests)
                assert len(one.got) + len(two.got) == 3
                assert not relay.upstream.exchanges
                assert relay.node.active_requests == 0

    run(main())


@pytest.mark.usefixtures("unasked")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_no_second_copy(how: str):
    async def main() -> None:
        free, slow = gated_handler()
        async with FakeServer(slow).up() as one, FakeServer(slow).up() as two:  # type: ignore[arg-type]
            entries = [entry("one", one.port), entry("two", two.port)]
            async with node(entries, classes=PATIENT) as relay, Client(relay) as client:
                client.send("read", id="first", timeout=60000)
                await until(lambda: one.got or two.got)
                await unread(relay, client)
                leave(client, how)
                await asyncio.sleep(0)
                relay.node._act(now_ms(), ForwardRequest("first", "two" if one.got else "one", 50000.0))
                relay.apply(relay.node._run(now_ms()))
                await until(lambda: not relay.node.requests and not relay.upstream.exchanges)
                assert relay.upstream.connecting_count == 0
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


async def comes_up(listener: socket.socket, relay: Proxy) -> bytes:
    """Take who fills the queue, and then what the node opens: all that it writes there."""
    listener.accept()[0].close()
    loop = asyncio.get_running_loop()
    sock, _ = await loop.sock_accept(listener)
    with sock:
        sock.setblocking(False)
        await until(lambda: relay.upstream.connecting_count == 0)
        got = b""
        with contextlib.suppress(ConnectionError):
            while piece := await loop.sock_recv(sock, 65536):
                got += piece
        return got


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_a_connection_that_is_late_is_given_up_with_its_caller(how: str, cancel: bool):
    async def main() -> None:
        with crowded() as (listener, _):
            port = listener.getsockname()[1]
            async with node([entry("s", port)], classes=PATIENT, may_cancel=cancel) as relay:
                async with Client(relay) as client:
                    client.send("post", timeout=60000)
                    await until(lambda: relay.upstream.connecting_count == 1)
                    leave(client, how)
                    await until(lambda: relay.upstream.connecting_count == 0)
                listener.accept()[0].close()
                with pytest.raises(BlockingIOError):
                    listener.accept()
                assert not relay.node.requests
                assert not relay.upstream.exchanges

    run(main())


@pytest.mark.usefixtures("unasked")
@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_nothing_goes_out_on_a_connection_that_comes_up_late(how: str):
    """It comes up a second after the caller has left, and nobody has heard of that."""

    async def main() -> None:
        with crowded() as (listener, _):
            port = listener.getsockname()[1]
            async with node([entry("s", port)], classes=PATIENT) as relay, Client(relay) as client:
                client.send("post", id="first", timeout=60000)
                await until(lambda: relay.upstream.connecting_count == 1)
                await unread(relay, client)
                leave(client, how)
                assert await comes_up(listener, relay) == b""
                assert not relay.node.requests
                assert not relay.upstream.exchanges
                assert relay.upstream.open_count == 0

    run(main())


async def push(sock: socket.socket, data: bytes, caller: DownstreamConnection) -> None:
    """Hand all of it to the system, or as much as it takes while the node does not read."""
    sock.setblocking(False)
    view = memoryview(data)
    full = 0
    while view and full < 20:  # it takes no more for so many turns while nothing is read
        try:
            view = view[sock.send(view) :]
            full = 0
        except BlockingIOError:
            full += caller.reading_paused
            await asyncio.sleep(0.002)


@pytest.mark.parametrize("way", ["body", "ahead"])
def test_an_end_behind_much_that_was_sent_is_heard(way: str):
    """The end of a connection stands behind all that its caller has sent: while that is not read, not even the
    system of this machine has been told of it."""

    async def main() -> None:
        with crowded() as (listener, _), socket.socket() as sock:
            port = listener.getsockname()[1]
            async with node([entry("s", port)], classes=PATIENT) as relay:
                listening = relay.server.listening_socket
                assert listening is not None
                # The same for those whom it accepts.
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                sock.connect(("127.0.0.1", relay.server.port))
                head = b"POST / HTTP/1.1\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 60000\r\n"
                if way == "body":
                    start = head + b"Request-Id: r\r\nContent-Length: 20000000\r\n\r\n" + bytes(1_100_000)
                    rest = bytes(3_000_000)
                else:
                    start = head + b"Request-Id: first\r\nContent-Length: 0\r\n\r\n"
                    more = head + b"Request-Id: %d\r\nContent-Length: 900000\r\n\r\n" + bytes(900_000)
                    rest = b"".join(more.replace(b"%d", b"%d" % at) for at in range(4))
                await until(lambda: bool(relay.server.connections))
                (caller,) = relay.server.connections
                await push(sock, start, caller)
                await until(lambda: relay.upstream.connecting_count == 1)
                await push(sock, rest, caller)
                sock.close()
                await until(lambda: relay.upstream.connecting_count == 0 or caller.reading_paused)
                listener.accept()[0].close()
                await until(lambda: not relay.node.requests and not relay.server.connections)
                await until(lambda: relay.upstream.connecting_count == relay.upstream.open_count == 0)
                with pytest.raises(BlockingIOError):
                    listener.accept()
                assert relay.budget.used_bytes == 0

    run(main())
