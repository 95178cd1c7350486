"""Request-Ids: while a request is received or served, a copy of it is rejected, whichever connection brings it."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.support.sockets import (
    POST_HEAD,
    Client,
    FakeServer,
    disconnect,
    entry,
    gated_handler,
    node,
    run,
    status,
    until,
)

UPLOAD = POST_HEAD + b"Request-Timeout-Ms: 9000\r\nContent-Length: 20\r\n\r\n" + b"x" * 15


def executions(server: FakeServer) -> Counter[str]:
    """Return how often the server received each request."""
    return Counter(request.headers["request-id"] for request in server.requests)


def test_copy_of_a_request_that_waits_behind_another_is_rejected():
    """Guards against an unsafe request that is executed twice because it was not dispatched when its copy came."""

    async def main() -> None:
        gate, respond = gated_handler()
        async with (
            FakeServer(respond).up() as server,
            node([entry("s", server.port)]) as proxy,
            Client(proxy) as client,
            Client(proxy) as other,
        ):
            client.send("post", id="first")
            await until(lambda: executions(server)["first"] == 1)
            client.send("post", id="second")
            (connection, _) = proxy.server.connections
            await until(lambda: bool(connection.queued_requests))
            assert status(await other.request("post", id="second")) == 409
            gate.set()
            assert [status(await client.read_response()) for _ in range(2)] == [200, 200]
            assert executions(server) == {"first": 1, "second": 1}

    run(main())


def test_copy_of_a_request_whose_body_is_incomplete_is_rejected():
    """Guards against an unsafe request that is executed twice because its copy came before its last bytes."""

    async def main() -> None:
        async with (
            FakeServer().up() as server,
            node([entry("s", server.port)]) as proxy,
            Client(proxy) as client,
            Client(proxy) as other,
        ):
            client.writer.write(UPLOAD)
            (connection, _) = proxy.server.connections
            await until(lambda: connection.incoming_request is not None)
            assert status(await other.request("post", id="a")) == 409
            client.writer.write(b"x" * 5)
            assert status(await client.read_response()) == 200
            assert executions(server) == {"a": 1}

    run(main())


@pytest.mark.parametrize("how", ["answered", "close", "reset", "half", "invalid"])
def test_id_of_an_ended_request_is_free_again(how: str):
    """Guards against ids that stay in use: a client may send a request again that the node has not forwarded."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(UPLOAD)
                await until(lambda: proxy.request_ids.is_in_use("a"))
                if how == "answered":
                    client.writer.write(b"x" * 5)
                elif how == "invalid":
                    client.writer.write(b"x" * 5 + b"\0noise\r\n\r\n")
                else:
                    disconnect(client, how)
                await until(lambda: not proxy.request_ids.is_in_use("a"))
            async with Client(proxy) as again:
                assert status(await again.request("post", id="a")) == 200

    run(main())
