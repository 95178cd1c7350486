"""Request bodies that are buffered, streamed, interrupted or stalled."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.http import body as body_module
from rosewheel.http import closable_connection, turns, upstream_connection, upstream_pool
from rosewheel.node.memory_account import CONNECTION_SHARE_DIVISOR
from tests.support.raw_messages import (
    LARGE_BODY_BYTES,
    RawServer,
    byte_pattern,
    encode_request_head,
    read_chunked_body,
)
from tests.support.sockets import Client, FakeServer, encode_response, entry, node, run, status, until


@pytest.mark.parametrize("chunked", [False, True])
def test_body_larger_than_the_buffer_arrives_unchanged(chunked: bool):
    """Guards against a streamed body that loses bytes, or is buffered beyond the limit for one connection."""
    received: list[tuple[str, bytes]] = []
    max_used_bytes = 0

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        body = await (read_chunked_body(reader) if chunked else reader.readexactly(LARGE_BODY_BYTES))
        received.append((head, hashlib.sha256(body).digest()))
        writer.write(encode_response())

    async def main() -> None:
        nonlocal max_used_bytes
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            # Limits what the client's connection buffers while the one to the server is being opened.
            proxy.budget.limit_bytes = CONNECTION_SHARE_DIVISOR * body_module.MAX_BUFFERED_BODY_BYTES
            async with Client(proxy) as client:
                data = byte_pattern(LARGE_BODY_BYTES)
                framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {LARGE_BODY_BYTES}"
                client.writer.write(encode_request_head(framing))
                for offset in range(0, LARGE_BODY_BYTES, 100_000):
                    part = data[offset : offset + 100_000]
                    framed = b"%x;ext=1\r\n%b\r\n" % (len(part), part)
                    client.writer.write(framed if chunked else part)
                    await client.writer.drain()
                    max_used_bytes = max(max_used_bytes, proxy.budget.used_bytes)
                if chunked:
                    client.writer.write(b"0\r\nX-Trailer: y\r\n\r\n")
                assert status(await client.read_response()) == 200
                assert received[0][1] == hashlib.sha256(data).digest()
                framing_line = (
                    "transfer-encoding: chunked" if chunked else f"content-length: {LARGE_BODY_BYTES}"
                )
                assert framing_line in received[0][0]
                assert "x-trailer" not in received[0][0]
                assert max_used_bytes <= body_module.MAX_BUFFERED_BODY_BYTES + (1 << 20)
                assert proxy.budget.used_bytes == 0

    run(main())


@pytest.mark.parametrize("max_turn_s", [turns.MAX_TURN_S, 0.0])
def test_timeout_of_a_slow_body_starts_at_its_last_byte(max_turn_s: float, monkeypatch: pytest.MonkeyPatch):
    """Guards against a timeout that includes the time of the body, for a buffered and for a streamed one.

    Also if each read takes so long that the connection lets others read first.
    """
    monkeypatch.setattr(turns, "MAX_TURN_S", max_turn_s)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            for max_buffered in (1 << 20, 10):
                monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", max_buffered)
                async with Client(proxy) as client:
                    request = (
                        encode_request_head("Content-Length: 40")
                        .replace(b"2000", b"250")
                        .replace(b"big", b"%d" % max_buffered)
                    )
                    client.writer.write(request)
                    for _ in range(40):
                        client.writer.write(b"x")
                        await asyncio.sleep(0.01)
                    assert status(await client.read_response()) == 200
            assert [len(message.body) for message in server.requests] == [40, 40]

    run(main())


def test_interrupted_non_idempotent_request_is_rejected_as_not_executed(monkeypatch: pytest.MonkeyPatch):
    """Guards against retrying a body of which segments were dropped, and against a 502 for an unexecuted request."""
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 1000)

    async def close_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(50_000)
        writer.transport.abort()

    async def main() -> None:
        async with RawServer(close_early).up() as one, FakeServer().up() as two:
            async with node([entry("s1", one.port)]) as proxy, Client(proxy) as client:
                client.writer.write(encode_request_head("Content-Length: 1000000") + byte_pattern(100_000))
                await until(lambda: one.connections == 1)
                response = await client.read_response()  # sent before the rest of the request is received
                assert status(response) == 503
                client.writer.write(byte_pattern(900_000))
                proxy.endpoints.list_updated(
                    EndpointListForm.SNAPSHOT,
                    discovery.parse_endpoints([entry("s2", two.port)], ServerStartTimes()),
                )
                assert status(await client.request("post")) == 200  # the rest of the body was skipped
                assert proxy.node.statistics.classes["post"].shed == 1
                assert proxy.budget.used_bytes == 0

    from rosewheel.discovery import endpoint_list as discovery
    from rosewheel.policy.events import EndpointListForm

    run(main())


def test_buffered_body_is_retried_elsewhere_if_not_executed():
    async def reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_response(503, b"", Not_Started="1", Connection="close"))

    async def main() -> None:
        async with RawServer(reject).up() as one, FakeServer().up() as two:
            servers = [entry("s1", one.port), entry("s2", two.port)]
            async with node(servers) as proxy, Client(proxy) as client:
                for index in range(6):
                    assert (
                        status(await client.request("post", body=byte_pattern(300_000), id=f"r{index}"))
                        == 200
                    )
                assert [len(message.body) for message in two.requests] == [300_000] * 6
                assert one.connections > 0

    run(main())


def test_stalled_body_is_answered_408(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(closable_connection, "RECEIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 10)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            for size in (5, 500):  # buffered, and streamed to the server
                async with Client(proxy) as client:
                    client.writer.write(
                        encode_request_head("Content-Length: 1000").replace(b"big", b"%d" % size)
                    )
                    client.writer.write(b"x" * size)
                    assert status(await client.read_response()) == 408
            await until(lambda: not proxy.node.requests and not proxy.upstream.exchanges)
            assert server.requests == []
            assert proxy.budget.used_bytes == 0

    run(main())


def test_server_that_does_not_read_a_body_is_abandoned(monkeypatch: pytest.MonkeyPatch):
    """Guards against a request that never ends, since a deadline starts only at its last byte."""
    monkeypatch.setattr(upstream_connection, "WRITE_STALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(upstream_pool, "SWEEP_INTERVAL_S", 0.05)

    async def stop_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]

    async def main() -> None:
        async with RawServer(stop_reading).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(encode_request_head(f"Content-Length: {30 << 20}"))
                sending = asyncio.ensure_future(send_body(client.writer, 30 << 20))
                assert status(await client.read_response()) == 503, "it was not executed"
                await sending  # the rest of the body is skipped
                assert status(await client.request("post", id="next")) == 504
                assert proxy.budget.used_bytes == 0

    run(main())


async def send_body(writer: asyncio.StreamWriter, size: int) -> None:
    for _ in range(0, size, 1 << 16):
        writer.write(byte_pattern(1 << 16))
        await writer.drain()


def test_answered_request_gets_no_second_response(monkeypatch: pytest.MonkeyPatch):
    """Guards the order of responses: a rejected request whose body then stalls gets no second error."""
    monkeypatch.setattr(closable_connection, "RECEIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 10)

    async def main() -> None:
        async with node([entry("down", 1)]) as proxy, Client(proxy) as client:
            client.writer.write(encode_request_head("Content-Length: 1000") + b"x" * 500)
            assert status(await client.read_response()) == 503
            assert await client.reader.read() == b""

    run(main())
