"""Hot restart of one node: open connections migrate to the new process, and have one owner at any time."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from rosewheel.hot_restart import unix_socket
from rosewheel.hot_restart.messages import (
    PROTOCOL_VERSIONS,
    ConnectionKind,
    Hello,
    newest_common_version,
)
from rosewheel.hot_restart.messages_codec import decode_message
from rosewheel.hot_restart.packets import MAX_PACKET_BYTES
from rosewheel.http.idle_connections import REUSE_QUIET_PERIOD_S
from rosewheel.http.request_phase import RequestPhase
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import (
    WAIT_S,
    Client,
    FakeServer,
    Message,
    config,
    encode_response,
    entry,
    run,
    status,
    until,
)

LONG = bytes(range(256)) * 4096 * 12  # 12 MiB: more than the kernel buffers for one connection


class NodeProcesses:
    """Successive processes of one node that accept clients from the same inherited socket."""

    def __init__(self, known: list[dict[str, Any]], folder: Path, **changes: Any) -> None:
        self.known, self.folder, self.changes = known, folder, changes
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.started: list[Proxy] = []

    async def start_next(self) -> Proxy:
        """Start a process, and wait until its predecessor is notified that it accepts clients."""
        proxy = create_process(self.known, self.folder, os.dup(self.listener.fileno()), **self.changes)
        predecessor = self.started[-1] if self.started else None
        self.started.append(proxy)
        await proxy.start()
        if predecessor is not None:
            await until(lambda: predecessor.hot_restart.successor_ready)
        return proxy

    def client(self) -> Client:
        return Client(port=self.port)


@contextlib.asynccontextmanager
async def node_processes(
    known: list[dict[str, Any]], folder: Path, **changes: Any
) -> AsyncIterator[NodeProcesses]:
    """Yield the processes of one node, and close all of them at the end."""
    processes = NodeProcesses(known, folder, **changes)
    try:
        yield processes
    finally:
        processes.listener.close()
        for proxy in processes.started:
            close_process(proxy)


def create_process(known: list[dict[str, Any]], folder: Path, inherited: int | None, **changes: Any) -> Proxy:
    proxy = Proxy(config(known, inherited_descriptor=inherited, state=str(folder), **changes))
    proxy.discovery.start = proxy.endpoints.list_received.set  # type: ignore[method-assign]
    return proxy


def close_process(proxy: Proxy) -> None:
    proxy.hot_restart.close()
    proxy.server.close()
    proxy.upstream.close()
    proxy.shared_state.close()
    proxy.request_id_sharing.close()
    proxy.snapshots.close()


def send_long(chunks: list[bytes], gate: asyncio.Event, framing: str) -> Any:
    """Return a handler that sends the last five chunks of a response only after the gate is open."""

    async def handle(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.headers["request-class"] != "read" or message.headers["request-id"].startswith("small"):
            writer.write(encode_response())
            return
        total = sum(map(len, chunks))
        head = {
            "length": b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % total,
            "chunked": b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
            "close": b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n",
        }[framing]
        writer.write(head)
        for index, chunk in enumerate(chunks):
            if index == len(chunks) - 5:
                await gate.wait()
            if framing == "chunked":
                # Split within the size line, so that a partial size line may have to be migrated.
                line = b"%x;a=b\r\n" % len(chunk)
                writer.write(line[:2])
                await writer.drain()
                writer.write(line[2:] + chunk[:100])
                await writer.drain()
                writer.write(chunk[100:] + b"\r\n")
            else:
                writer.write(chunk)
            await writer.drain()
        if framing == "chunked":
            writer.write(b"0\r\nA: b\r\n\r\n")
        if framing == "close":
            writer.close()

    return handle


async def read_long(reader: asyncio.StreamReader) -> bytes:
    """Return the body of a response with a Content-Length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"content-length" in head:
        size = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        return await reader.readexactly(size)
    assert b"chunked" in head
    body = bytearray()
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return bytes(body)


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_a_response_in_progress_continues_in_the_new_process(framing: str, tmp_path: Path):
    """Bytes buffered by the process or the kernel, and bytes that the server sends later, arrive once and in order."""

    async def main() -> None:
        gate = asyncio.Event()
        chunks = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(chunks, gate, framing)).up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                client = await slow_client(old, processes.port)
                new = await processes.start_next()
                await old.drain()
                assert not old.client_requests
                assert len(new.client_requests) == 1
                assert new.node.active_requests == 1
                gate.set()
                async with asyncio.timeout(20):
                    assert await read_long(client.reader) == LONG
                assert new.statistics().classes["read"].ok == 1
                assert old.statistics().classes["read"].ok == 0
                response = await client.request(id="small-1")
                assert status(response) == 200
                assert len(new.server.connections) == 1
                assert server.connections >= 1
                await client.__aexit__()

    run(main())


async def slow_client(old: Proxy, port: int, number: int = 0) -> Client:
    """Return a client that has requested a long response and has not read any of it yet."""
    client = Client(port=port)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    client.reader, client.writer = await asyncio.open_connection(sock=sock, limit=4096)
    client.send(id=f"long-{number}")
    await until(
        lambda: (
            f"long-{number}" in old.client_requests and old.client_requests[f"long-{number}"].response_started
        )
    )
    connection = old.client_requests[f"long-{number}"].connection
    await until(lambda: connection.write_blocked)
    return client


def test_idle_clients_and_idle_connections_to_servers_are_migrated(tmp_path: Path):
    """The new process forwards requests on the connections that the old one had opened."""

    async def main() -> None:
        concurrency, gate = 8, asyncio.Event()

        async def serve(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()  # keeps all requests in flight, so that each needs its own connection
            writer.write(encode_response())

        async def send_at_once(proxy: Proxy, senders: list[Client], server: FakeServer) -> None:
            # A connection is not reused until it has been idle for a while. Without this wait the number of connections
            # would depend on the timing of the responses.
            loop = proxy.upstream.loop
            await until(
                lambda: all(
                    conn.idle_since_s < loop.time() - REUSE_QUIET_PERIOD_S
                    for conn in proxy.upstream.idle_connections
                )
            )
            gate.clear()
            before = len(server.requests)
            for client in senders:
                client.send()
            await until(lambda: len(server.requests) == before + len(senders))
            gate.set()
            for client in senders:
                response = await client.read_response()
                assert response is not None
                assert (status(response), response.headers.get("connection")) == (200, None)
            await until(lambda: len(proxy.upstream.idle_connections) == len(senders))

        async with FakeServer(serve).up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                clients = [processes.client() for _ in range(40)]
                for client in clients:
                    await client.__aenter__()
                await until(lambda: len(old.server.connections) == 40)
                await send_at_once(old, clients[:concurrency], server)
                assert server.connections == concurrency
                new = await processes.start_next()
                await old.drain()
                assert old.hot_restart.sender is not None
                assert old.hot_restart.sender.migrated == {
                    ConnectionKind.CLIENT: 40,
                    ConnectionKind.UPSTREAM: concurrency,
                }
                await until(lambda: len(new.server.connections) == 40)
                await until(lambda: len(new.upstream.idle_connections) == concurrency)
                for at in range(0, 40, concurrency):
                    await send_at_once(new, clients[at : at + concurrency], server)
                assert server.connections == concurrency
                for client in clients:
                    await client.__aexit__()

    run(main())


def test_a_request_sent_while_its_connection_migrates_is_answered_once(tmp_path: Path):
    """The owner of the connection reads the request, whether it arrives before, during or after the migration."""

    async def main() -> None:
        async with FakeServer().up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                clients = [processes.client() for _ in range(30)]
                for client in clients:
                    await client.__aenter__()
                await until(lambda: len(old.server.connections) == 30)
                await processes.start_next()
                draining = asyncio.ensure_future(old.drain())
                for at, client in enumerate(clients):
                    client.send(id=f"x{at}")
                    if at % 3 == 0:
                        await asyncio.sleep(0)
                responses = [await client.read_response() for client in clients]
                await draining
                served = [one for one in responses if status(one) == 200]
                assert len(served) >= 5
                assert {status(one) for one in responses} <= {200, 503}, (
                    "further requests are rejected at once"
                )
                assert len(server.requests) == len(served)
                assert len({one.headers["request-id"] for one in server.requests}) == len(served)
                for client in clients:
                    await client.__aexit__()

    run(main())


def message_packet(message: dict[str, Any]) -> bytes:
    """Encode a message without the code under test."""
    return b"M" + orjson.dumps(message)


def message_in(packet: bytes) -> dict[str, Any] | None:
    """Decode the message of a packet; return None if the packet is a part of an attachment."""
    if packet[:1] == b"P":
        return None
    assert packet[:1] == b"M"
    message = orjson.loads(packet[1:])
    assert isinstance(message, dict)
    return message


class FakeSuccessor:
    """A fake successor whose messages are sent by the test."""

    def __init__(self, folder: Path) -> None:
        sock = unix_socket.connect(folder)
        assert sock is not None
        self.sock = sock
        self.fds: dict[int, list[int]] = {}

    def send(self, **message: Any) -> None:
        self.sock.send(message_packet(message))

    async def receive(self, kind: str) -> dict[str, Any]:
        """Return the next message of this kind, and skip others."""
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    packet, fds, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, 4)
                except BlockingIOError:
                    await asyncio.sleep(0.002)
                    continue
                assert packet, "the channel ended"
                message = message_in(packet)
                if message is not None and message["t"] == kind:
                    self.fds[int(message.get("n", 0))] = fds
                    return message
                unix_socket.close_descriptors(fds)

    async def handshake(self, ready: bool = True, versions: tuple[int, ...] = PROTOCOL_VERSIONS) -> None:
        self.send(t="hello", versions=list(versions), node="t", pid=1)
        await self.receive("hello")
        if ready:
            self.send(t="ready")

    def kill(self) -> None:
        """Close all descriptors, as SIGKILL does."""
        self.sock.close()
        for fds in self.fds.values():
            unix_socket.close_descriptors(fds)
        self.fds.clear()


STEPS = ("connected", "negotiated", "ready", "offered", "accepted half", "hung", "hung after half")


@pytest.mark.parametrize("step", STEPS)
def test_the_old_process_keeps_what_a_killed_or_hung_successor_has_not_accepted(step: str, tmp_path: Path):
    """The old process finishes the responses that were not acknowledged, and no longer touches the others."""

    async def main() -> None:
        gate = asyncio.Event()
        chunks = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(chunks, gate, "chunked")).up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                slow = [await slow_client(old, processes.port, at) for at in range(2)]
                idle = processes.client()
                await idle.__aenter__()
                await until(lambda: len(old.server.connections) == 3)
                new = FakeSuccessor(tmp_path)
                if step != "connected":
                    await new.handshake(ready=step != "negotiated")
                    if step != "negotiated":
                        await until(lambda: old.hot_restart.successor_ready)
                if step in STEPS[:3]:
                    new.kill()
                    await until(lambda: old.hot_restart.successor is None)
                draining = asyncio.ensure_future(old.drain())
                accepted = 0
                if step in STEPS[3:]:
                    first = await new.receive("give")
                    assert first["kind"] == "passage", "responses in progress are offered first"
                    if "half" in step:
                        new.send(t="took", n=first["n"])
                        accepted = 1
                        assert old.hot_restart.sender is not None
                        await until(lambda: old.hot_restart.sender.transfers.accepted_count == 1)
                    if "hung" not in step:
                        new.kill()
                gate.set()
                reads = [asyncio.ensure_future(read_long(client.reader)) for client in slow]

                def complete_count() -> int:
                    done = [one for one in reads if one.done() and one.exception() is None]
                    return sum(one.result() == LONG for one in done)

                await until(lambda: complete_count() == 2 - accepted)
                await draining
                assert not old.client_requests
                assert complete_count() == 2 - accepted, "an accepted response is not continued"
                new.kill()
                await asyncio.gather(*reads, return_exceptions=True)
                for client in (*slow, idle):
                    await client.__aexit__()

    run(main())


def test_an_acknowledgement_counts_if_the_successor_is_killed_after_it(tmp_path: Path):
    """The old process reads the acknowledgement after the end of the channel, and does not use the connection."""

    async def main() -> None:
        async with FakeServer().up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                async with processes.client() as client:
                    assert status(await client.request()) == 200
                    new = FakeSuccessor(tmp_path)
                    await new.handshake()
                    await until(lambda: old.hot_restart.successor_ready)
                    draining = asyncio.ensure_future(old.drain())
                    while (offer := await new.receive("give"))["kind"] != "caller":
                        new.send(t="no", n=offer["n"], why="of no use")
                    new.send(t="took", n=offer["n"])
                    new.kill()
                    await draining
                    assert old.hot_restart.sender is not None
                    assert old.hot_restart.sender.migrated == {ConnectionKind.CLIENT: 1}
                    assert await client.read_response() is None, (
                        "the connection ends with the process that owns it"
                    )

    run(main())


@pytest.mark.parametrize(("versions", "name"), [((99,), "t"), ((), "t"), ((1,), "another")])
def test_without_a_common_version_or_node_name_the_restart_migrates_nothing(
    versions: tuple[int, ...], name: str, tmp_path: Path
):
    async def main() -> None:
        async with FakeServer().up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                async with processes.client() as client:
                    assert status(await client.request(id="a")) == 200
                    new = FakeSuccessor(tmp_path)
                    new.send(t="hello", versions=list(versions), node=name, pid=1)
                    await until(
                        lambda: old.hot_restart.successor is None and old.hot_restart.sender is not None
                    )
                    draining = asyncio.ensure_future(old.drain())
                    await until(lambda: old.server.draining)
                    response = await client.request(id="b")
                    assert (status(response), response.headers.get("connection")) == (200, "close")
                    await draining
                    new.kill()

    run(main())


def test_the_newest_common_version_is_chosen():
    assert newest_common_version([1, 2, 3], ours=(2, 3, 4)) == 3
    assert newest_common_version([1], ours=(2,)) is None
    assert decode_message(b'{"t":"hello","versions":"1"}') == Hello((), "", None)
    assert newest_common_version((), ours=(1,)) is None


PARTIAL_REQUESTS = {
    "partial head": (
        b"POST /api/k HTTP/1.1\r\nHost: a\r\nRequest-Id: h\r\nRequest-Cl",
        b"ass: post\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: 3\r\n\r\n",
        b"abc",
        3,
    ),
    "partial body": (
        b"POST /api/k HTTP/1.1\r\nRequest-Id: h\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Content-Length: 200000\r\n\r\n" + b"x" * 150_000,
        b"x" * 50_000,
        b"",
        200_000,
    ),
    "partial chunk": (
        b"POST /api/k HTTP/1.1\r\nRequest-Id: h\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123",
        b"456789abcdef\r\n0",
        b"\r\n\r\n",
        19,
    ),
}


@pytest.mark.parametrize("case", PARTIAL_REQUESTS)
def test_a_partial_request_is_migrated_with_the_part_already_read(case: str, tmp_path: Path):
    """A client may send a request so slowly that the process ends before the request is complete."""
    first, second, third, size = PARTIAL_REQUESTS[case]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"chunked" in head.lower():
            while int(line := await reader.readuntil(b"\r\n"), 16):
                bodies.append(await reader.readexactly(int(line, 16)))
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            bodies.append(await reader.readexactly(length))
        writer.write(encode_response())

    bodies: list[bytes] = []

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with node_processes([entry("s", server.sockets[0].getsockname()[1])], tmp_path) as processes:
            old = await processes.start_next()
            async with processes.client() as client:
                client.writer.write(first)
                await until(
                    lambda: bool(old.server.connections) and next(iter(old.server.connections)).is_receiving
                )
                connection = next(iter(old.server.connections))
                await until(
                    lambda: connection.raw_bytes >= len(first) or connection.phase is RequestPhase.BODY
                )
                if connection.incoming_request is not None:
                    await until(lambda: connection.incoming_request.body.received_bytes in (150_000, 7))
                await processes.start_next()
                await old.drain()
                assert old.hot_restart.sender is not None
                assert old.hot_restart.sender.migrated == {ConnectionKind.CLIENT: 1}
                client.writer.write(second)
                await client.writer.drain()
                client.writer.write(third)
                assert status(await client.read_response()) == 200
                assert sum(map(len, bodies)) == size
                assert size != 19 or b"".join(bodies) == b"abc0123456789abcdef"
        server.close()

    run(main())


class FakePredecessor:
    """A fake predecessor whose messages are sent by the test."""

    def __init__(self, folder: Path) -> None:
        self.listener = unix_socket.listen(folder)

    async def connect(self) -> None:
        await until(self._accepted)
        reading_end, self.revocation_pipe = os.pipe()
        hello = {"t": "hello", "versions": list(PROTOCOL_VERSIONS), "node": "t", "pid": 1}
        socket.send_fds(self.sock, [message_packet(hello)], [reading_end])
        os.close(reading_end)

    def _accepted(self) -> bool:
        try:
            self.sock, _ = self.listener.accept()
        except BlockingIOError:
            return False
        return True

    def offer(self, number: int, sock: socket.socket | None, **changes: Any) -> None:
        state = {"old": False, "last": False, "chunked": False, "asked": True, "closing": False, "unsent": 0}
        message = {"t": "give", "n": number, "kind": "caller", "state": state, "held": 1} | changes
        socket.send_fds(self.sock, [message_packet(message)], [] if sock is None else [sock.fileno()])

    async def receive(self, *kinds: str) -> dict[str, Any]:
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    packet = self.sock.recv(MAX_PACKET_BYTES)
                except BlockingIOError:
                    await asyncio.sleep(0.002)
                    continue
                assert packet, "the channel ended"
                message = message_in(packet)
                if message is not None and message["t"] in kinds:
                    return message

    def revoke(self) -> None:
        os.write(self.revocation_pipe, b"1")
        self.sock.shutdown(socket.SHUT_RD)

    def kill(self) -> None:
        for sock in (self.sock, self.listener):
            sock.close()
        with contextlib.suppress(OSError):
            os.close(self.revocation_pipe)


@contextlib.asynccontextmanager
async def new_process(
    folder: Path, **changes: Any
) -> AsyncIterator[tuple[FakePredecessor, Proxy, socket.socket, Client]]:
    """Yield a fake predecessor, a process connected to it, and both ends of a connection that the predecessor owns."""
    old = FakePredecessor(folder)
    async with FakeServer().up() as server:
        async with node_processes([entry("s", server.port)], folder, **changes) as processes:
            connecting = asyncio.ensure_future(old.connect())
            new = await processes.start_next()
            await connecting
            old.sock.setblocking(False)
            await old.receive("ready")
            with socket.create_server(("127.0.0.1", 0)) as listener:
                client = Client(port=listener.getsockname()[1])
                await client.__aenter__()
                client_socket, _ = listener.accept()
                yield old, new, client_socket, client
                await client.__aexit__()
                old.kill()


def test_the_offer_of_a_killed_predecessor_is_accepted(tmp_path: Path):
    """The predecessor can't read the acknowledgement and didn't revoke the offer, so no other process owns it."""

    async def main() -> None:
        async with new_process(tmp_path) as (old, new, client_socket, client):
            old.offer(1, client_socket)
            client_socket.close()
            old.kill()
            assert status(await client.request()) == 200
            assert len(new.server.connections) == 1

    run(main())


def test_a_revoked_offer_is_not_accepted(tmp_path: Path):
    """The offer is read after its revocation, so the predecessor keeps the connection."""

    async def main() -> None:
        async with new_process(tmp_path) as (old, new, client_socket, client):
            old.revoke()
            old.offer(1, client_socket)
            old.sock.close()
            await until(lambda: new.hot_restart.predecessor is None)
            client.send()
            client_socket.setblocking(False)
            request = await asyncio.get_running_loop().sock_recv(client_socket, 65536)
            assert request.startswith(b"GET /api/k")
            assert not new.server.connections
            client_socket.close()

    run(main())


@pytest.mark.parametrize(
    "case", ["no descriptors", "no room", "unknown kind", "one of two descriptors", "shutting down"]
)
def test_an_offer_that_cannot_be_resumed_is_rejected(case: str, tmp_path: Path):
    async def main() -> None:
        async with new_process(tmp_path) as (old, new, client_socket, client):
            changes: dict[str, Any] = {}
            if case == "no room":
                new.siblings.predecessor_descriptors_reported = lambda descriptors: None  # type: ignore[method-assign]
                new.server.max_connections = 0
            if case == "shutting down":
                new.server.draining = True
            if case == "unknown kind":
                changes = {"kind": "parcel"}
            if case == "one of two descriptors":
                changes = {"kind": "passage", "state": {"id": "x", "service": "nope", "server": "s"}}
            old.offer(4, None if case == "no descriptors" else client_socket, **changes)
            assert (await old.receive("no", "took"))["t"] == "no"
            client.send()
            client_socket.setblocking(False)
            received = await asyncio.get_running_loop().sock_recv(client_socket, 65536)
            assert received, "the predecessor still owns the connection"
            client_socket.close()

    run(main())


def test_a_client_rejected_by_the_new_process_is_served_by_the_old_one(tmp_path: Path):
    """Near the descriptor limit the connection returns to the old process, which responds with `Connection: close`."""

    async def main() -> None:
        async with FakeServer().up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                async with processes.client() as client:
                    assert status(await client.request(id="a")) == 200
                    new = await processes.start_next()
                    new.server.max_connections = 0
                    new.siblings.predecessor_descriptors_reported = lambda descriptors: None  # type: ignore[method-assign]
                    draining = asyncio.ensure_future(old.drain())
                    await until(
                        lambda: (
                            old.hot_restart.sender is not None
                            and old.hot_restart.sender.transfers.returned_count > 0
                        )
                    )
                    response = await client.request(id="b")
                    assert (status(response), response.headers.get("connection")) == (200, "close")
                    await draining

    run(main())


def test_without_a_unix_socket_a_restart_migrates_nothing(tmp_path: Path):
    """If the socket can't be created, for example on a full disk, the node still serves and restarts."""

    async def main() -> None:
        (tmp_path / unix_socket.SOCKET_NAME / "in the way").mkdir(parents=True)
        async with FakeServer().up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                async with processes.client() as client:
                    assert status(await client.request(id="a")) == 200
                    new = create_process(processes.known, tmp_path, os.dup(processes.listener.fileno()))
                    processes.started.append(new)
                    await new.start()
                    draining = asyncio.ensure_future(old.drain())
                    await until(lambda: old.server.draining)
                    response = await client.request(id="b")
                    assert (status(response), response.headers.get("connection")) == (200, "close")
                    await draining
        assert not list(tmp_path.glob("handover.*.part"))

    run(main())


def test_a_process_without_an_inherited_socket_receives_that_of_its_predecessor(tmp_path: Path):
    async def main() -> None:
        async with FakeServer().up() as server:
            known = [entry("s", server.port)]
            old = create_process(known, tmp_path, None)
            await old.start()
            address = ("127.0.0.1", old.server.port)
            new = Proxy(dataclasses.replace(config(known, state=str(tmp_path)), listen_address=address))
            new.discovery.start = new.endpoints.list_received.set  # type: ignore[method-assign]
            async with Client(port=address[1]) as client:
                assert status(await client.request(id="a")) == 200
                await new.start()
                assert new.server.port == address[1]
                await until(lambda: old.hot_restart.successor_ready)
                await old.drain()
                response = await client.request(id="b")
                assert (status(response), response.headers.get("connection")) == (200, None)
                async with Client(port=address[1]) as other:
                    assert status(await other.request(id="c")) == 200
            close_process(new)

    run(main())


def test_a_predecessor_in_shutdown_does_not_count_for_pacing(tmp_path: Path):
    """The predecessor still runs, but starts no requests. A later successor counts again."""

    async def main() -> None:
        async with node_processes([entry("s", 1)], tmp_path) as processes:
            proxy = await processes.start_next()
            proxy.siblings.process_count_changed(2)
            assert proxy.node.balancer.parts.shared.process_count == 2
            half = proxy.resources.max_descriptors
            proxy.siblings.predecessor_shutting_down(5)
            assert proxy.node.balancer.parts.shared.process_count == 1
            assert proxy.resources.max_descriptors > half, (
                "the descriptors that the predecessor gives up are available"
            )
            proxy.siblings.process_count_changed(2)
            assert proxy.node.balancer.parts.shared.process_count == 1
            await processes.start_next()
            assert proxy.resources.predecessor_descriptors is None
            proxy.siblings.process_count_changed(2)
            assert proxy.node.balancer.parts.shared.process_count == 2
            assert proxy.resources.max_descriptors == half

    run(main())


def test_ten_hot_restarts_keep_connections_and_leak_no_descriptors(tmp_path: Path):
    """One client sends requests to eleven processes on one connection; another has a long response in progress."""

    async def main() -> None:
        gate = asyncio.Event()
        chunks = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(chunks, gate, "chunked")).up() as server:
            async with node_processes([entry("s", server.port)], tmp_path) as processes:
                old = await processes.start_next()
                slow = await slow_client(old, processes.port)
                descriptor_counts: list[int] = []
                async with processes.client() as client:
                    for at in range(10):
                        assert status(await client.request(id=f"small-{at}")) == 200
                        old, new = processes.started[-1], await processes.start_next()
                        await old.drain()
                        assert not old.server.connections
                        await until(lambda new=new: len(new.server.connections) == 2)
                        descriptor_counts.append(len(os.listdir("/proc/self/fd")))
                    gate.set()
                    assert await read_long(slow.reader) == LONG
                    await slow.__aexit__()
                assert max(descriptor_counts[2:]) <= descriptor_counts[1] + 2, (
                    f"descriptors grow: {descriptor_counts}"
                )

    run(main())
