"""Bodies of requests: buffered, streamed, interrupted and stalled."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.http import body as body_module
from rosewheel.http import downstream_connection as server_module
from rosewheel.http import upstream_connection as connection_module
from rosewheel.http import upstream_pool as upstream_module
from tests.support.raw_messages import (
    LARGE_BODY_BYTES,
    RawServer,
    byte_pattern,
    encode_request_head,
    read_chunked_body,
)
from tests.support.sockets import Client, FakeServer, answer, entry, node, run, status, until


@pytest.mark.parametrize("chunked", [False, True])
def test_body_larger_than_the_buffer_arrives_unchanged(chunked: bool):
    """Guards memory and the body: never more held than the bound of one connection, every byte passed on."""
    got: list[tuple[str, bytes]] = []
    most = 0

    async def taking(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        whole = await (read_chunked_body(reader) if chunked else reader.readexactly(LARGE_BODY_BYTES))
        got.append((head, hashlib.sha256(whole).digest()))
        writer.write(answer())

    async def main() -> None:
        nonlocal most
        async with RawServer(taking).up() as server, node([entry("s", server.port)]) as proxy:
            # What one connection may hold while that to the server comes up.
            proxy.budget.limit_bytes = (
                body_module.CONNECTION_SHARE_DIVISOR * body_module.MAX_BUFFERED_BODY_BYTES
            )
            async with Client(proxy) as client:
                data = byte_pattern(LARGE_BODY_BYTES)
                framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {LARGE_BODY_BYTES}"
                client.writer.write(encode_request_head(framing))
                for at in range(0, LARGE_BODY_BYTES, 100_000):
                    piece = data[at : at + 100_000]
                    framed = b"%x;ext=1\r\n%b\r\n" % (len(piece), piece)
                    client.writer.write(framed if chunked else piece)
                    await client.writer.drain()
                    most = max(most, proxy.budget.used_bytes)
                if chunked:
                    client.writer.write(b"0\r\nX-Trailer: y\r\n\r\n")
                assert status(await client.answer()) == 200
                assert got[0][1] == hashlib.sha256(data).digest()
                framing_line = (
                    "transfer-encoding: chunked" if chunked else f"content-length: {LARGE_BODY_BYTES}"
                )
                assert framing_line in got[0][0]
                assert "x-trailer" not in got[0][0]
                assert most <= body_module.MAX_BUFFERED_BODY_BYTES + (1 << 20)
                assert proxy.budget.used_bytes == 0

    run(main())


def test_timeout_of_a_slow_body_starts_at_its_last_byte(monkeypatch: pytest.MonkeyPatch):
    """Guards slow clients: a body that takes longer than the client's patience for the answer is no late one,
    whether it is held or passes through."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            for hold in (1 << 20, 10):
                monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", hold)
                async with Client(proxy) as client:
                    raw = (
                        encode_request_head("Content-Length: 40")
                        .replace(b"2000", b"250")
                        .replace(b"big", b"%d" % hold)
                    )
                    client.writer.write(raw)
                    for _ in range(40):
                        client.writer.write(b"x")
                        await asyncio.sleep(0.01)
                    assert status(await client.answer()) == 200
            assert [len(message.body) for message in server.got] == [40, 40]

    run(main())


def test_interrupted_non_idempotent_request_is_rejected_as_not_executed(monkeypatch: pytest.MonkeyPatch):
    """Guards against a second sending of what is no longer here, and against a failure that is none."""
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 1000)

    async def breaking(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(50_000)
        writer.transport.abort()

    async def main() -> None:
        async with RawServer(breaking).up() as one, FakeServer().up() as two:
            async with node([entry("s1", one.port)]) as proxy, Client(proxy) as client:
                client.writer.write(encode_request_head("Content-Length: 1000000") + byte_pattern(100_000))
                await until(lambda: one.connections == 1)
                got = await client.answer()  # at once: the rest of the request is still to come
                assert status(got) == 503
                client.writer.write(byte_pattern(900_000))
                proxy.endpoints.list_updated(
                    EndpointListForm.SNAPSHOT,
                    discovery.parse_endpoints([entry("s2", two.port)], ServerStartTimes()),
                )
                assert status(await client.ask("post")) == 200  # the rest was read past
                assert proxy.node.statistics.classes["post"].shed == 1
                assert proxy.budget.used_bytes == 0

    from rosewheel.discovery import endpoint_list as discovery
    from rosewheel.policy.events import EndpointListForm

    run(main())


def test_buffered_body_is_retried_elsewhere_if_not_executed():
    async def breaking(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer(503, b"", Not_Started="1", Connection="close"))

    async def main() -> None:
        async with RawServer(breaking).up() as one, FakeServer().up() as two:
            servers = [entry("s1", one.port), entry("s2", two.port)]
            async with node(servers) as proxy, Client(proxy) as client:
                for at in range(6):
                    assert status(await client.ask("post", body=byte_pattern(300_000), id=f"r{at}")) == 200
                assert [len(message.body) for message in two.got] == [300_000] * 6
                assert one.connections > 0

    run(main())


def test_stalled_body_is_answered_408(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(server_module, "RECEIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 10)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            for size in (5, 500):  # held, and on its way to the server
                async with Client(proxy) as client:
                    client.writer.write(
                        encode_request_head("Content-Length: 1000").replace(b"big", b"%d" % size)
                    )
                    client.writer.write(b"x" * size)
                    assert status(await client.answer()) == 408
            await until(lambda: not proxy.node.requests and not proxy.upstream.exchanges)
            assert server.got == []
            assert proxy.budget.used_bytes == 0

    run(main())


def test_server_that_does_not_read_a_body_is_abandoned(monkeypatch: pytest.MonkeyPatch):
    """Guards clients: before the last byte no deadline runs, so nothing else would end this."""
    monkeypatch.setattr(connection_module, "WRITE_STALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(upstream_module, "SWEEP_INTERVAL_S", 0.05)

    async def ignoring(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]

    async def main() -> None:
        async with RawServer(ignoring).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(encode_request_head(f"Content-Length: {30 << 20}"))
                sending = asyncio.ensure_future(_send(client.writer, 30 << 20))
                assert status(await client.answer()) == 503, "it never ran"
                await sending  # and the rest is read past
                assert status(await client.ask("post", id="next")) == 504
                assert proxy.budget.used_bytes == 0

    run(main())


async def _send(writer: asyncio.StreamWriter, size: int) -> None:
    for _ in range(0, size, 1 << 16):
        writer.write(byte_pattern(1 << 16))
        await writer.drain()


def test_answered_request_gets_no_second_response(monkeypatch: pytest.MonkeyPatch):
    """Guards the order of answers: the rest of a refused body stops on its way, and that is all."""
    monkeypatch.setattr(server_module, "RECEIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 10)

    async def main() -> None:
        async with node([entry("down", 1)]) as proxy, Client(proxy) as client:
            client.writer.write(encode_request_head("Content-Length: 1000") + b"x" * 500)
            assert status(await client.answer()) == 503
            assert await client.reader.read() == b""

    run(main())
