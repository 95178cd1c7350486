"""Two processes of one node: what is open goes from the old one to the new one, and has one owner at any time."""

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
from rosewheel.http.request_reader import RequestPhase
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import (
    WAIT_S,
    Client,
    FakeServer,
    Message,
    answer,
    config,
    entry,
    run,
    status,
    until,
)

LONG = bytes(range(256)) * 4096 * 12  # 12 MB: more than the system holds for one connection


class Bench:
    """The processes of one node, one after the other, and the port that they share."""

    def __init__(self, known: list[dict[str, Any]], folder: Path, **changes: Any) -> None:
        self.known, self.folder, self.changes = known, folder, changes
        self.held = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.held.getsockname()[1]
        self.made: list[Proxy] = []

    async def next(self) -> Proxy:
        """A process that has said yes; the one before it knows."""
        relay = process(self.known, self.folder, os.dup(self.held.fileno()), **self.changes)
        before = self.made[-1] if self.made else None
        self.made.append(relay)
        await relay.start()
        if before is not None:
            await until(lambda: before.hot_restart.successor_ready)
        return relay

    def client(self) -> Client:
        return Client(port=self.port)


@contextlib.asynccontextmanager
async def bench(known: list[dict[str, Any]], folder: Path, **changes: Any) -> AsyncIterator[Bench]:
    made = Bench(known, folder, **changes)
    try:
        yield made
    finally:
        made.held.close()
        for relay in made.made:
            end(relay)


def process(known: list[dict[str, Any]], folder: Path, inherited: int | None, **changes: Any) -> Proxy:
    relay = Proxy(config(known, inherited=inherited, state=str(folder), **changes))
    relay.discovery.start = relay.endpoints.list_received.set  # type: ignore[method-assign]
    return relay


def end(relay: Proxy) -> None:
    relay.hot_restart.close()
    relay.server.close()
    relay.upstream.close()
    relay.shared_state.close()
    relay.snapshots.close()


def send_long(pieces: list[bytes], gate: asyncio.Event, framing: str) -> Any:
    """A server's handler that gives its first pieces at once and the others once the gate is open."""

    async def handle(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.headers["request-class"] != "read" or message.headers["request-id"].startswith("small"):
            writer.write(answer())
            return
        total = sum(map(len, pieces))
        head = {
            "length": b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % total,
            "chunked": b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
            "close": b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n",
        }[framing]
        writer.write(head)
        for at, piece in enumerate(pieces):
            if at == len(pieces) - 5:
                await gate.wait()
            if framing == "chunked":
                # Cut in the middle of its line of size, so that also half a line has to be handed over.
                line = b"%x;a=b\r\n" % len(piece)
                writer.write(line[:2])
                await writer.drain()
                writer.write(line[2:] + piece[:100])
                await writer.drain()
                writer.write(piece[100:] + b"\r\n")
            else:
                writer.write(piece)
            await writer.drain()
        if framing == "chunked":
            writer.write(b"0\r\nA: b\r\n\r\n")
        if framing == "close":
            writer.close()

    return handle


async def read_long(reader: asyncio.StreamReader) -> bytes:
    """The body of an answer in whichever framing it comes."""
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
def test_a_long_answer_in_mid_passage_goes_on_in_the_new_process(framing: str, tmp_path: Path):
    """Guards a slow reader over an upgrade: the bytes that were read and not sent, those that the system holds at
    either end, and those that the server gives only later all arrive, once and in order."""

    async def main() -> None:
        gate = asyncio.Event()
        pieces = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(pieces, gate, framing)).up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                client = await slow_client(old, node.port)
                new = await node.next()
                await old.drain()
                assert not old.calls
                assert len(new.calls) == 1
                assert new.node.active_requests == 1
                gate.set()
                async with asyncio.timeout(20):
                    assert await read_long(client.reader) == LONG
                assert new.statistics().classes["read"].ok == 1
                assert old.statistics().classes["read"].ok == 0
                got = await client.ask(id="small-1")
                assert status(got) == 200
                assert len(new.server.connections) == 1
                assert server.connections >= 1
                await client.__aexit__()

    run(main())


async def slow_client(old: Proxy, port: int, number: int = 0) -> Client:
    """One whose long answer is on its way through this process, and who reads nothing of it yet."""
    client = Client(port=port)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    client.reader, client.writer = await asyncio.open_connection(sock=sock, limit=4096)
    client.send(id=f"long-{number}")
    await until(lambda: f"long-{number}" in old.calls and old.calls[f"long-{number}"].response_started)
    caller = old.calls[f"long-{number}"].connection
    await until(lambda: caller.write_blocked)
    return client


def test_idle_callers_and_idle_connections_to_servers_move(tmp_path: Path):
    """What is asked of the new process goes out on the connections that the old one had opened."""

    async def main() -> None:
        together, gate = 8, asyncio.Event()

        async def serve(message: Message, writer: asyncio.StreamWriter) -> None:
            await gate.wait()  # all are in flight at once, so that each needs a connection of its own
            writer.write(answer())

        async def ask_at_once(node: Proxy, asking: list[Client], known: FakeServer) -> None:
            # One that has just answered is not used until it has rested a little: without the wait the number of
            # connections would depend on how fast the answers come.
            loop = node.upstream.loop
            await until(
                lambda: all(
                    conn.idle_since_s < loop.time() - REUSE_QUIET_PERIOD_S
                    for conn in node.upstream.idle_connections
                )
            )
            gate.clear()
            before = len(known.got)
            for client in asking:
                client.send()
            await until(lambda: len(known.got) == before + len(asking))
            gate.set()
            for client in asking:
                got = await client.answer()
                assert got is not None
                assert (status(got), got.headers.get("connection")) == (200, None)
            await until(lambda: len(node.upstream.idle_connections) == len(asking))

        async with FakeServer(serve).up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                clients = [node.client() for _ in range(40)]
                for client in clients:
                    await client.__aenter__()
                await until(lambda: len(old.server.connections) == 40)
                await ask_at_once(old, clients[:together], server)
                assert server.connections == together
                new = await node.next()
                await old.drain()
                assert old.hot_restart.sender is not None
                assert old.hot_restart.sender.migrated == {
                    ConnectionKind.CLIENT: 40,
                    ConnectionKind.UPSTREAM: together,
                }
                await until(lambda: len(new.server.connections) == 40)
                await until(lambda: len(new.upstream.idle_connections) == together)
                for at in range(0, 40, together):
                    await ask_at_once(new, clients[at : at + together], server)
                assert server.connections == together
                for client in clients:
                    await client.__aexit__()

    run(main())


def test_a_request_sent_while_its_connection_moves_is_answered_once(tmp_path: Path):
    """Whether its bytes come before the move, during it or after, whoever owns the connection then reads them."""

    async def main() -> None:
        async with FakeServer().up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                clients = [node.client() for _ in range(30)]
                for client in clients:
                    await client.__aenter__()
                await until(lambda: len(old.server.connections) == 30)
                await node.next()
                stop = asyncio.ensure_future(old.drain())
                for at, client in enumerate(clients):
                    client.send(id=f"x{at}")
                    if at % 3 == 0:
                        await asyncio.sleep(0)
                got = [await client.answer() for client in clients]
                await stop
                served = [one for one in got if status(one) == 200]
                assert len(served) >= 5
                assert {status(one) for one in got} <= {200, 503}, "refused at once, where there are too many"
                assert len(server.got) == len(served)
                assert len({one.headers["request-id"] for one in server.got}) == len(served)
                for client in clients:
                    await client.__aexit__()

    run(main())


def message_packet(message: dict[str, Any]) -> bytes:
    """A message as it stands on the wire, written down here without the code under test."""
    return b"M" + orjson.dumps(message)


def message_in(packet: bytes) -> dict[str, Any] | None:
    """The message of a packet; None where it is a part of an attachment."""
    if packet[:1] == b"P":
        return None
    assert packet[:1] == b"M"
    message = orjson.loads(packet[1:])
    assert isinstance(message, dict)
    return message


class Successor:
    """The new process's end of a link, played by hand: it says and does just what a test tells it."""

    def __init__(self, folder: Path) -> None:
        sock = unix_socket.connect(folder)
        assert sock is not None
        self.sock = sock
        self.fds: dict[int, list[int]] = {}

    def say(self, **message: Any) -> None:
        self.sock.send(message_packet(message))

    async def hear(self, kind: str) -> dict[str, Any]:
        """The next message of this kind; what others say is passed over."""
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    packet, fds, _, _ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, 4)
                except BlockingIOError:
                    await asyncio.sleep(0.002)
                    continue
                assert packet, "the link ended"
                message = message_in(packet)
                if message is not None and message["t"] == kind:
                    self.fds[int(message.get("n", 0))] = fds
                    return message
                unix_socket.close_descriptors(fds)

    async def greet(self, ready: bool = True, versions: tuple[int, ...] = PROTOCOL_VERSIONS) -> None:
        self.say(t="hello", versions=list(versions), node="t", pid=1)
        await self.hear("hello")
        if ready:
            self.say(t="ready")

    def die(self) -> None:
        """As kill -9 does: the system closes all that it held."""
        self.sock.close()
        for fds in self.fds.values():
            unix_socket.close_descriptors(fds)
        self.fds.clear()


STEPS = ("connected", "greeted", "ready", "offered", "took half", "hung", "hung after half")


@pytest.mark.parametrize("step", STEPS)
def test_a_new_process_that_dies_or_hangs_leaves_the_old_one_with_all_that_it_did_not_take(
    step: str, tmp_path: Path
):
    """At each step: what had no receipt is served to its end by the old process, what had one is not touched by it."""

    async def main() -> None:
        gate = asyncio.Event()
        pieces = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(pieces, gate, "chunked")).up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                slow = [await slow_client(old, node.port, at) for at in range(2)]
                idle = node.client()
                await idle.__aenter__()
                await until(lambda: len(old.server.connections) == 3)
                new = Successor(tmp_path)
                if step != "connected":
                    await new.greet(ready=step != "greeted")
                    if step != "greeted":
                        await until(lambda: old.hot_restart.successor_ready)
                if step in STEPS[:3]:
                    new.die()
                    await until(lambda: old.hot_restart.successor is None)
                stop = asyncio.ensure_future(old.drain())
                taken = 0
                if step in STEPS[3:]:
                    first = await new.hear("give")
                    assert first["kind"] == "passage", "what would be lost goes first"
                    if "half" in step:
                        new.say(t="took", n=first["n"])
                        taken = 1
                        assert old.hot_restart.sender is not None
                        await until(lambda: old.hot_restart.sender.transfers.accepted_count == 1)
                    if "hung" not in step:
                        new.die()
                gate.set()
                reads = [asyncio.ensure_future(read_long(client.reader)) for client in slow]

                def whole() -> int:
                    done = [one for one in reads if one.done() and one.exception() is None]
                    return sum(one.result() == LONG for one in done)

                await until(lambda: whole() == 2 - taken)
                await stop
                assert not old.calls
                assert whole() == 2 - taken, "what was given away is not touched"
                new.die()
                await asyncio.gather(*reads, return_exceptions=True)
                for client in (*slow, idle):
                    await client.__aexit__()

    run(main())


def test_a_receipt_that_was_sent_before_the_end_counts(tmp_path: Path):
    """The new process is killed right behind its receipt: the old one finds it, and leaves alone what is gone."""

    async def main() -> None:
        async with FakeServer().up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                async with node.client() as client:
                    assert status(await client.ask()) == 200
                    new = Successor(tmp_path)
                    await new.greet()
                    await until(lambda: old.hot_restart.successor_ready)
                    stop = asyncio.ensure_future(old.drain())
                    while (offer := await new.hear("give"))["kind"] != "caller":
                        new.say(t="no", n=offer["n"], why="of no use")
                    new.say(t="took", n=offer["n"])
                    new.die()
                    await stop
                    assert old.hot_restart.sender is not None
                    assert old.hot_restart.sender.migrated == {ConnectionKind.CLIENT: 1}
                    assert await client.answer() is None, "whoever took it is dead, and it with it"

    run(main())


@pytest.mark.parametrize(("versions", "name"), [((99,), "t"), ((), "t"), ((1,), "another")])
def test_another_version_or_node_falls_back_to_an_upgrade_without_handover(
    versions: tuple[int, ...], name: str, tmp_path: Path
):
    async def main() -> None:
        async with FakeServer().up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                async with node.client() as client:
                    assert status(await client.ask(id="a")) == 200
                    new = Successor(tmp_path)
                    new.say(t="hello", versions=list(versions), node=name, pid=1)
                    await until(
                        lambda: old.hot_restart.successor is None and old.hot_restart.sender is not None
                    )
                    stop = asyncio.ensure_future(old.drain())
                    await until(lambda: old.server.draining)
                    got = await client.ask(id="b")
                    assert (status(got), got.headers.get("connection")) == (200, "close")
                    await stop
                    new.die()

    run(main())


def test_versions_are_the_newest_that_both_know():
    assert newest_common_version([1, 2, 3], ours=(2, 3, 4)) == 3
    assert newest_common_version([1], ours=(2,)) is None
    assert decode_message(b'{"t":"hello","versions":"1"}') == Hello((), "", None)
    assert newest_common_version((), ours=(1,)) is None


HALVES = {
    "half a head": (
        b"POST /api/k HTTP/1.1\r\nHost: a\r\nRequest-Id: h\r\nRequest-Cl",
        b"ass: post\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: 3\r\n\r\n",
        b"abc",
        3,
    ),
    "half a body": (
        b"POST /api/k HTTP/1.1\r\nRequest-Id: h\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Content-Length: 200000\r\n\r\n" + b"x" * 150_000,
        b"x" * 50_000,
        b"",
        200_000,
    ),
    "half a chunk": (
        b"POST /api/k HTTP/1.1\r\nRequest-Id: h\r\nRequest-Class: post\r\nRequest-Timeout-Ms: 2000\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10\r\n0123",
        b"456789abcdef\r\n0",
        b"\r\n\r\n",
        19,
    ),
}


@pytest.mark.parametrize("case", HALVES)
def test_half_a_request_moves_with_what_was_read_of_it(case: str, tmp_path: Path):
    """Guards a client that takes its time over a request: the process that read its first half is about to end."""
    first, second, third, size = HALVES[case]

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"chunked" in head.lower():
            while int(line := await reader.readuntil(b"\r\n"), 16):
                got.append(await reader.readexactly(int(line, 16)))
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            got.append(await reader.readexactly(length))
        writer.write(answer())

    got: list[bytes] = []

    async def main() -> None:
        server = await asyncio.start_server(take, "127.0.0.1", 0)
        async with bench([entry("s", server.sockets[0].getsockname()[1])], tmp_path) as node:
            old = await node.next()
            async with node.client() as client:
                client.writer.write(first)
                await until(
                    lambda: bool(old.server.connections) and next(iter(old.server.connections)).is_receiving
                )
                caller = next(iter(old.server.connections))
                await until(lambda: caller.raw_bytes >= len(first) or caller.phase is RequestPhase.BODY)
                if caller.incoming_request is not None:
                    await until(lambda: caller.incoming_request.body.received_bytes in (150_000, 7))
                await node.next()
                await old.drain()
                assert old.hot_restart.sender is not None
                assert old.hot_restart.sender.migrated == {ConnectionKind.CLIENT: 1}
                client.writer.write(second)
                await client.writer.drain()
                client.writer.write(third)
                assert status(await client.answer()) == 200
                assert sum(map(len, got)) == size
                assert size != 19 or b"".join(got) == b"abc0123456789abcdef"
        server.close()

    run(main())


class Predecessor:
    """The old process's end, played by hand."""

    def __init__(self, folder: Path) -> None:
        self.listener = unix_socket.listen(folder)

    async def meet(self) -> None:
        await until(self._accepted)
        there, self.flag = os.pipe()
        hello = {"t": "hello", "versions": list(PROTOCOL_VERSIONS), "node": "t", "pid": 1}
        socket.send_fds(self.sock, [message_packet(hello)], [there])
        os.close(there)

    def _accepted(self) -> bool:
        try:
            self.sock, _ = self.listener.accept()
        except BlockingIOError:
            return False
        return True

    def give(self, number: int, sock: socket.socket | None, **changes: Any) -> None:
        state = {"old": False, "last": False, "chunked": False, "asked": True, "closing": False, "unsent": 0}
        message = {"t": "give", "n": number, "kind": "caller", "state": state, "held": 1} | changes
        socket.send_fds(self.sock, [message_packet(message)], [] if sock is None else [sock.fileno()])

    async def hear(self, *kinds: str) -> dict[str, Any]:
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    packet = self.sock.recv(MAX_PACKET_BYTES)
                except BlockingIOError:
                    await asyncio.sleep(0.002)
                    continue
                assert packet, "the link ended"
                message = message_in(packet)
                if message is not None and message["t"] in kinds:
                    return message

    def revoke(self) -> None:
        os.write(self.flag, b"1")
        self.sock.shutdown(socket.SHUT_RD)

    def die(self) -> None:
        for sock in (self.sock, self.listener):
            sock.close()
        with contextlib.suppress(OSError):
            os.close(self.flag)


@contextlib.asynccontextmanager
async def newcomer(
    folder: Path, **changes: Any
) -> AsyncIterator[tuple[Predecessor, Proxy, socket.socket, Client]]:
    """A new process that has met its predecessor, and a client's connection that the latter holds."""
    old = Predecessor(folder)
    async with FakeServer().up() as server:
        async with bench([entry("s", server.port)], folder, **changes) as node:
            meeting = asyncio.ensure_future(old.meet())
            new = await node.next()
            await meeting
            old.sock.setblocking(False)
            await old.hear("ready")
            with socket.create_server(("127.0.0.1", 0)) as door:
                client = Client(port=door.getsockname()[1])
                await client.__aenter__()
                held, _ = door.accept()
                yield old, new, held, client
                await client.__aexit__()
                old.die()


def test_what_a_killed_process_had_offered_is_taken(tmp_path: Path):
    """It can't hear the receipt, and has not said that it keeps the connection: so nobody else owns it."""

    async def main() -> None:
        async with newcomer(tmp_path) as (old, new, held, client):
            old.give(1, held)
            held.close()
            old.die()
            assert status(await client.ask()) == 200
            assert len(new.server.connections) == 1

    run(main())


def test_what_was_revoked_is_not_touched(tmp_path: Path):
    """The offer is read after the giver has lost patience: it serves the connection itself, and nobody beside it."""

    async def main() -> None:
        async with newcomer(tmp_path) as (old, new, held, client):
            old.revoke()
            old.give(1, held)
            old.sock.close()
            await until(lambda: new.hot_restart.predecessor is None)
            client.send()
            held.setblocking(False)
            asked = await asyncio.get_running_loop().sock_recv(held, 65536)
            assert asked.startswith(b"GET /api/k")
            assert not new.server.connections
            held.close()

    run(main())


@pytest.mark.parametrize(
    "case", ["no descriptors", "no room", "unknown kind", "half a passage", "it stops too"]
)
def test_what_can_not_be_gone_on_with_is_refused(case: str, tmp_path: Path):
    async def main() -> None:
        async with newcomer(tmp_path) as (old, new, held, client):
            changes: dict[str, Any] = {}
            if case == "no room":
                new.siblings.predecessor_descriptors_reported = lambda held: None  # type: ignore[method-assign]
                new.server.max_connections = 0
            if case == "it stops too":
                new.server.draining = True
            if case == "unknown kind":
                changes = {"kind": "parcel"}
            if case == "half a passage":
                changes = {"kind": "passage", "state": {"id": "x", "service": "nope", "server": "s"}}
            old.give(4, None if case == "no descriptors" else held, **changes)
            assert (await old.hear("no", "took"))["t"] == "no"
            client.send()
            held.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(held, 65536), "it is still the old process's"
            held.close()

    run(main())


def test_a_caller_that_the_new_process_has_no_room_for_is_ended_in_order(tmp_path: Path):
    """Descriptors near the limit: refused, it comes back to the old process, is answered there, and told to close."""

    async def main() -> None:
        async with FakeServer().up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                async with node.client() as client:
                    assert status(await client.ask(id="a")) == 200
                    new = await node.next()
                    new.server.max_connections = 0
                    new.siblings.predecessor_descriptors_reported = lambda held: None  # type: ignore[method-assign]
                    stop = asyncio.ensure_future(old.drain())
                    await until(
                        lambda: (
                            old.hot_restart.sender is not None
                            and old.hot_restart.sender.transfers.returned_count > 0
                        )
                    )
                    got = await client.ask(id="b")
                    assert (status(got), got.headers.get("connection")) == (200, "close")
                    await stop

    run(main())


def test_a_folder_that_takes_no_socket_leaves_upgrades_as_they_were(tmp_path: Path):
    """As a full one does: the node serves, and an upgrade goes without a handover."""

    async def main() -> None:
        (tmp_path / unix_socket.SOCKET_NAME / "in the way").mkdir(parents=True)
        async with FakeServer().up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                async with node.client() as client:
                    assert status(await client.ask(id="a")) == 200
                    new = process(node.known, tmp_path, os.dup(node.held.fileno()))
                    node.made.append(new)
                    await new.start()
                    stop = asyncio.ensure_future(old.drain())
                    await until(lambda: old.server.draining)
                    got = await client.ask(id="b")
                    assert (status(got), got.headers.get("connection")) == (200, "close")
                    await stop
        assert not list(tmp_path.glob("handover.*.part"))

    run(main())


def test_a_process_without_an_inherited_socket_borrows_that_of_the_one_before_it(tmp_path: Path):
    async def main() -> None:
        async with FakeServer().up() as server:
            known = [entry("s", server.port)]
            old = process(known, tmp_path, None)
            await old.start()
            address = ("127.0.0.1", old.server.port)
            new = Proxy(dataclasses.replace(config(known, state=str(tmp_path)), listen_address=address))
            new.discovery.start = new.endpoints.list_received.set  # type: ignore[method-assign]
            async with Client(port=address[1]) as client:
                assert status(await client.ask(id="a")) == 200
                await new.start()
                assert new.server.port == address[1]
                await until(lambda: old.hot_restart.successor_ready)
                await old.drain()
                got = await client.ask(id="b")
                assert (status(got), got.headers.get("connection")) == (200, None)
                async with Client(port=address[1]) as other:
                    assert status(await other.ask(id="c")) == 200
            end(new)

    run(main())


def test_beside_one_that_leaves_a_process_paces_alone_and_the_next_is_met_afresh(tmp_path: Path):
    """Whenever the look at who is there comes: the old process still is, but sends nothing new."""

    async def main() -> None:
        async with bench([entry("s", 1)], tmp_path) as node:
            relay = await node.next()
            relay.siblings.process_count_changed(2)
            assert relay.node.balancer.parts.shared.process_count == 2
            half = relay.resources.max_descriptors
            relay.siblings.predecessor_shutting_down(5)
            assert relay.node.balancer.parts.shared.process_count == 1
            assert relay.resources.max_descriptors > half, "what the old one gives up is this one's"
            relay.siblings.process_count_changed(2)
            assert relay.node.balancer.parts.shared.process_count == 1
            await node.next()
            assert relay.resources.predecessor_descriptors is None
            relay.siblings.process_count_changed(2)
            assert relay.node.balancer.parts.shared.process_count == 2
            assert relay.resources.max_descriptors == half

    run(main())


def test_ten_upgrades_in_a_row_keep_a_connection_and_every_descriptor(tmp_path: Path):
    """One client asks through eleven processes on one connection, another takes a long answer meanwhile."""

    async def main() -> None:
        gate = asyncio.Event()
        pieces = [LONG[at : at + 100_000] for at in range(0, len(LONG), 100_000)]
        async with FakeServer(send_long(pieces, gate, "chunked")).up() as server:
            async with bench([entry("s", server.port)], tmp_path) as node:
                old = await node.next()
                slow = await slow_client(old, node.port)
                held: list[int] = []
                async with node.client() as client:
                    for at in range(10):
                        assert status(await client.ask(id=f"small-{at}")) == 200
                        old, new = node.made[-1], await node.next()
                        await old.drain()
                        assert not old.server.connections
                        await until(lambda new=new: len(new.server.connections) == 2)
                        held.append(len(os.listdir("/proc/self/fd")))
                    gate.set()
                    assert await read_long(slow.reader) == LONG
                    await slow.__aexit__()
                assert max(held[2:]) <= held[1] + 2, f"descriptors grow: {held}"

    run(main())
