"""HTTP/1.1 features: expectations, upgrades, absolute targets and trailers."""

from __future__ import annotations

import pytest

from tests.support.raw_messages import (
    encode_request_head,
)
from tests.support.sockets import Client, FakeServer, entry, node, run, status


@pytest.mark.parametrize("framing", [b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"])
def test_expect_continue_is_answered(framing: bytes):
    """Guards against a client that waits for `100 Continue` in vain before it sends its body."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(encode_request_head("Expect: 100-Continue")[:-2] + framing + b"\r\n")
                assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
                client.writer.write(b"ab" if b"2" in framing else b"2\r\nab\r\n0\r\n\r\n")
                assert status(await client.read_response()) == 200
                assert "expect" not in server.requests[0].headers
                assert server.requests[0].body == b"ab"
                client.writer.write(encode_request_head("Expect: the-best").replace(b"big", b"other"))
                assert status(await client.read_response()) == 417

    run(main())


def test_upgrade_is_declined_and_hides_no_request():
    """Guards against request smuggling in the body of a request that offers an upgrade; it is forwarded as a body."""
    hidden = (
        b"GET /api/hidden HTTP/1.1\r\nRequest-Id: h\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 900\r\n\r\n"
    )

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                upgrade_headers = {
                    "Connection": "Upgrade, HTTP2-Settings",
                    "Upgrade": "h2c",
                    "HTTP2_Settings": "AAMA",
                }
                client.writer.write(
                    encode_request_head(f"Content-Length: {len(hidden)}", **upgrade_headers) + hidden
                )
                assert status(await client.read_response()) == 200
                assert [message.body for message in server.requests] == [hidden]
                assert "upgrade" not in server.requests[0].headers
                assert "http2-settings" not in server.requests[0].headers
                client.writer.write(
                    encode_request_head("Content-Length: 0", **upgrade_headers).replace(b"big", b"two")
                )
                client.writer.write(encode_request_head("Content-Length: 1").replace(b"big", b"three") + b"x")
                assert [status(await client.read_response()) for _ in range(2)] == [200, 200]
                assert [message.body for message in server.requests[1:]] == [b"", b"x"]

    run(main())


def test_absolute_target_is_forwarded_in_origin_form():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                request = encode_request_head("Content-Length: 0").replace(
                    b"/api/k", b"http://app.svc:80/api/k?x=1"
                )
                client.writer.write(request)
                assert status(await client.read_response()) == 200
                assert server.requests[0].start_line == "POST /api/k?x=1 HTTP/1.1"
                assert server.requests[0].headers["host"] == "app.svc:80"

    run(main())


def test_trailer_is_not_a_header():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                request = encode_request_head("Transfer-Encoding: chunked") + b"2;a=b\r\nab\r\n0\r\n"
                request += b"Request-Id: x\r\nX-T: 1\r\n\r\n"
                client.writer.write(
                    request + encode_request_head("Content-Length: 0").replace(b"big", b"next")
                )
                assert [status(await client.read_response()) for _ in range(2)] == [200, 200]
                assert [message.headers["request-id"] for message in server.requests] == ["big", "next"]
                assert not any("x-t" in message.headers for message in server.requests)
                assert [message.body for message in server.requests] == [b"ab", b""]

    run(main())
