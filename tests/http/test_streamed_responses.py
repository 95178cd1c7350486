"""Streamed responses: framing, backpressure, disconnects and stalls."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from rosewheel.http import closable_connection, response_timer
from tests.support.raw_messages import (
    RawServer,
    byte_pattern,
    encode_raw_response,
    encode_request_head,
    read_chunked_body,
)
from tests.support.sockets import Client, encode_response, entry, node, read_message, run, status, until


def test_long_response_is_streamed_without_deadline():
    """The first bytes are forwarded before the response is complete, and no deadline or timeout ends the rest."""
    gate = asyncio.Event()
    data = byte_pattern(200_000)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_raw_response(f"Content-Length: {len(data)}", data[:10_000]))
        await gate.wait()
        writer.write(data[10_000:])

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post", timeout=300)
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: 200000" in head
                assert await client.reader.readexactly(10_000) == data[:10_000]
                assert proxy.statistics().active_requests == 1
                await asyncio.sleep(0.4)  # longer than the client's timeout
                gate.set()
                assert await client.reader.readexactly(190_000) == data[10_000:]
                await until(lambda: proxy.statistics().active_requests == 0)
                assert proxy.node.statistics.classes["post"].ok == 1
                assert not proxy.node.requests
                assert not proxy.node.balancer.parts.shared.requests

    run(main())


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "Connection: close"])
def test_long_response_without_length_is_chunked(framing: str):
    data = byte_pattern(300_000)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while "chunked" in framing:  # the second request may use the same connection
            await reader.readuntil(b"\r\n\r\n")
            chunks = (data[offset : offset + 7000] for offset in range(0, len(data), 7000))
            body = b"".join(b"%x;a=b\r\n%b\r\n" % (len(part), part) for part in chunks)
            writer.write(encode_raw_response(framing, body + b"0\r\nX-T: 1\r\n\r\n"))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_raw_response(framing, data))
        writer.close()

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post")
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Transfer-Encoding: chunked" in head
                assert await read_chunked_body(client.reader) == data
            async with Client(proxy) as http_1_0_client:  # HTTP/1.0: the body ends with the connection
                http_1_0_client.writer.write(
                    encode_request_head("Content-Length: 0").replace(b"HTTP/1.1", b"HTTP/1.0")
                )
                head = await http_1_0_client.reader.readuntil(b"\r\n\r\n")
                assert b"hunked" not in head
                assert await http_1_0_client.reader.read() == data

    run(main())


@pytest.mark.parametrize("framing", ["Content-Length: 300000", "Transfer-Encoding: chunked"])
def test_interrupted_streamed_response_is_recognizable(framing: str):
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        part = byte_pattern(100_000)
        if "chunked" in framing:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        writer.write(encode_raw_response(framing, part))
        await writer.drain()
        writer.transport.abort()

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("read")
                await client.reader.readuntil(b"\r\n\r\n")
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                    await (
                        client.reader.readexactly(300_000)
                        if "300" in framing
                        else read_chunked_body(client.reader)
                    )
                statistics = proxy.node.statistics.classes["read"]
                assert (statistics.ok, statistics.errors) == (0, 1)
                assert server.connections == 1, (
                    "an idempotent request is not retried either: a part of the response was sent"
                )
                assert not proxy.node.requests

    run(main())


def test_slow_client_delays_only_its_own_response():
    """Guards memory and other clients: the server's response is read no faster than the client reads it."""
    written_bytes = 0
    data = byte_pattern(24 << 20)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal written_bytes
        head = await reader.readuntil(b"\r\n\r\n")
        if b"slow" not in head:
            writer.write(encode_response())
            return
        writer.write(encode_raw_response(f"Content-Length: {len(data)}", b""))
        for offset in range(0, len(data), 1 << 16):
            writer.write(data[offset : offset + (1 << 16)])
            await writer.drain()
            written_bytes = offset

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as slow, Client(proxy) as other:
                slow.send("post", id="slow")
                await slow.reader.readuntil(b"\r\n\r\n")
                await until(lambda: any(connection.write_blocked for connection in proxy.server.connections))
                assert status(await other.request("post")) == 200
                assert written_bytes < len(data) - (1 << 20), "the rest is not read from the server"
                (exchange,) = [one for one in proxy.upstream.exchanges.values()]
                assert exchange.connection is not None
                assert exchange.connection.reading_paused
                digest = hashlib.sha256()
                remaining_bytes = len(data)
                while remaining_bytes:
                    part = await slow.reader.read(1 << 20)
                    assert part
                    digest.update(part)
                    remaining_bytes -= len(part)
                assert digest.digest() == hashlib.sha256(data).digest()

    run(main())


def test_disconnect_within_a_streamed_response_ends_it_at_the_server():
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_raw_response("Content-Length: 20000000", b""))
        while True:
            writer.write(byte_pattern(1 << 16))
            await writer.drain()

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post")
                await client.reader.readuntil(b"\r\n\r\n")
            await until(lambda: not proxy.upstream.exchanges and not proxy.node.requests)
            await until(lambda: proxy.upstream.open_count == 0)
            assert proxy.statistics().active_requests == 0
            assert not proxy.node.balancer.parts.shared.requests

    run(main())


def test_client_that_does_not_read_is_disconnected(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(closable_connection, "SEND_STALL_TIMEOUT_S", 0.3)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_raw_response("Content-Length: 30000000", byte_pattern(30_000_000)))

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post")
                await until(lambda: bool(proxy.server.connections) and server.connections == 1)
                await until(lambda: not proxy.server.connections and not proxy.upstream.exchanges)

    run(main())


def test_stalled_streamed_response_is_aborted(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(response_timer, "STREAM_PAUSE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(response_timer, "RESPONSE_PAUSE_TIMEOUT_S", 0.1)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_raw_response("Content-Length: 30000000", byte_pattern(1000)))

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post")
                await client.reader.readuntil(b"\r\n\r\n")
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.reader.readexactly(30_000_000)

    run(main())


def test_streamed_responses_to_pipelined_requests_keep_their_order():
    data = byte_pattern(100_000)

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(encode_raw_response(f"Content-Length: {len(data)}", data))

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post")
                client.send("post")
                for _ in range(2):
                    response = await read_message(client.reader)
                    assert response is not None
                    assert response.body == data

    run(main())
