"""Requests that are malformed, ambiguous or too long."""

from __future__ import annotations

import contextlib

import pytest

from rosewheel.http.request_phase import RequestPhase
from tests.support.sockets import (
    POST_HEAD,
    TIMED_POST_HEAD,
    Client,
    FakeServer,
    entry,
    gated_handler,
    node,
    run,
    status,
    until,
)


@pytest.mark.parametrize(
    ("request_bytes", "code"),
    [
        (b"no HTTP\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: read\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: odd\r\nRequest-Timeout-Ms: 9\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: read\r\nRequest-Timeout-Ms: nan\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: read\r\nRequest-Timeout-Ms: x\r\n\r\n", 400),
        (b"PUT /x HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", 405),
        (b"POST /x HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n" + b"a" * 65537, 413),
        (b"GET /x HTTP/1.1\r\nX: " + b"a" * 20000 + b"\r\n\r\n", 431),
        (b"GET /x HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    ],
)
def test_invalid_request_gets_an_error_response(request_bytes: bytes, code: int):
    """Guards against a traceback, and against a 429 or 503 in place of the error, for an invalid request."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(request_bytes)
                assert status(await client.read_response()) == code
            async with Client(proxy) as client:
                assert status(await client.request()) == 200
            assert len(server.requests) == 1

    run(main())


CHUNKED = b"Transfer-Encoding: chunked\r\n"
SMUGGLED = b"GET /y HTTP/1.1\r\nRequest-Id: b\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 900\r\n\r\n"


@pytest.mark.parametrize(
    "request_bytes",
    [
        TIMED_POST_HEAD + CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Content-Length: 5\r\n" + CHUNKED + b"\r\n0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Content-Length: -4\r\n\r\nabcd" + SMUGGLED,
        TIMED_POST_HEAD + b"Content-Length: +4\r\n\r\nabcd" + SMUGGLED,
        TIMED_POST_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + CHUNKED + b"\r\nzz\r\nabcd\r\n0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + CHUNKED + b"\r\n4\nabcd\n0\n\n" + SMUGGLED,
        TIMED_POST_HEAD.replace(b"1.1", b"1.0", 1) + CHUNKED + b"\r\n0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD.replace(b"1.1", b"2.0", 1) + b"Content-Length: 0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD.replace(b"\r\n", b"\n") + b"Content-Length: 0\n\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Request-Id: c\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Content-Length: 60000000\r\n\r\n" + b"a" * 1000,
        POST_HEAD + b"Request-Timeout-Ms: 1_0\r\n\r\n" + SMUGGLED,
        POST_HEAD + b"Request-Timeout-Ms: 1e3\r\n\r\n" + SMUGGLED,
        POST_HEAD + b"Request-Timeout-Ms: 99999999999\r\n\r\n" + SMUGGLED,
        TIMED_POST_HEAD + b"Work-Hint: inf\r\n\r\n" + SMUGGLED,
    ],
)
def test_ambiguous_request_is_rejected(request_bytes: bytes):
    """Guards against request smuggling: one error and a close; nothing of it or behind it reaches a server."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(request_bytes)
                assert 400 <= status(await client.read_response()) < 500
                assert await client.reader.read() == b""
            assert not server.requests
            assert not proxy.node.requests
            await until(lambda: not proxy.server.connections)

    run(main())


NOISE = b"\x00\xff noise\r\n\r\n"


@pytest.mark.parametrize("in_one_read", [True, False])
def test_invalid_bytes_after_a_pending_request_are_rejected_behind_its_response(in_one_read: bool):
    """Guards the response to the valid request, and against serving what follows the invalid bytes."""

    async def main() -> None:
        gate, respond = gated_handler()
        async with FakeServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                valid_request = TIMED_POST_HEAD.replace(b"900", b"60000") + b"Content-Length: 0\r\n\r\n"
                client.writer.write(valid_request + NOISE + SMUGGLED if in_one_read else valid_request)
                await until(lambda: len(server.requests) == 1)
                if not in_one_read:
                    client.writer.write(NOISE + SMUGGLED)
                (connection,) = proxy.server.connections
                await until(lambda: connection.phase is RequestPhase.REJECTED)
                gate.set()
                assert status(await client.read_response()) == 200
                assert status(await client.read_response()) == 400
                assert await client.reader.read() == b""
                assert len(server.requests) == 1
                assert not proxy.node.requests
                await until(lambda: not proxy.server.connections)

    run(main())


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /x HTTP/1.1\r\nX: ",  # an endless header
        b"GET /",  # an endless target
        TIMED_POST_HEAD + CHUNKED + b"\r\n4;a=",  # an endless chunk extension
        b"",  # endless blank lines
    ],
)
def test_endless_head_is_rejected(request_bytes: bytes):
    """Guards memory: the parser reports a header only once it is complete, so its size is limited before."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(request_bytes)
                with contextlib.suppress(ConnectionError):
                    for _ in range(400):
                        client.writer.write((b"a" if request_bytes else b"\r\n") * 4096)
                        await client.writer.drain()
                        if client.reader.at_eof():
                            break
                if request_bytes:
                    assert status(await client.read_response()) in (413, 431)
                await until(lambda: not proxy.server.connections)

    run(main())
