"""What a request holds is released on every way out: bodies, heads, responses and Request-Ids."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosewheel.http.body import RequestBody
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.ended_request_ids import EndedRequestIds
from rosewheel.http.head_memory import HeadMemory
from rosewheel.http.held_requests import HeldRequests
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_ids import RequestIds
from rosewheel.node.memory_account import BufferBudget
from rosewheel.proxy.proxy import Proxy
from tests.support.sockets import Client, FakeServer, entry, gated_handler, node, run, status, until

LONG_BODY_BYTES = 30_000
STREAMED_BODY_BYTES = 3 << 20
TIMEOUT_MS = 60_000  # longer than the test, so that no time-out releases anything
UNREADABLE_TARGETS = [b"http://[/api", b"http://a]b/", b"HTTP://[::1/api", b"http://[x]/api"]
# Methods of the server and of the connection that a request passes on its way to its response.
STEPS = [
    "is_healthy",
    "request_received",
    "request_completed",
    "client_disconnected",
    "record_close",
    "record_rejection",
    "mark_idle",
    "mark_busy",
    "close_if_disconnected",
    "_dispatch_queued",
    "_update_backpressure",
    "_send_response",
]


def encode_request(id: str, target: bytes = b"/api", body_bytes: int = 0) -> bytes:
    """Encode a request with this target."""
    fields = f"Request-Id: {id}\r\nRequest-Class: post\r\nRequest-Timeout-Ms: {TIMEOUT_MS}\r\n"
    length = f"Content-Length: {body_bytes}\r\n\r\n"
    return b"POST %b HTTP/1.1\r\n" % target + (fields + length).encode() + bytes(body_bytes)


def is_all_released(proxy: Proxy) -> bool:
    """Return whether no request holds memory or an id."""
    memory = proxy.server.memory
    held = (memory.bodies.used_bytes, memory.heads.used_bytes, memory.responses.used_bytes)
    return held == (0, 0, 0) and not proxy.server.request_ids._requests


@pytest.mark.parametrize("target", UNREADABLE_TARGETS)
@pytest.mark.parametrize("body_bytes", [0, LONG_BODY_BYTES, STREAMED_BODY_BYTES])
def test_a_request_whose_target_cannot_be_read_is_answered_and_released(target: bytes, body_bytes: int):
    """Guards against requests that stay in memory for good, until the node is killed for memory (review case 6)."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("one", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(encode_request("bad", target, body_bytes))
                assert status(await client.read_response()) == 400
            await until(lambda: not proxy.server.connections)
            assert is_all_released(proxy)
            async with Client(proxy) as client:  # the id is free again
                assert status(await client.request("post", id="bad")) == 200

    run(main())


def test_an_unreadable_target_behind_an_active_request_is_answered_in_its_turn():
    """Guards against an error in a turn of its own, which left the connection open without a response."""

    async def main() -> None:
        gate, respond = gated_handler()
        async with FakeServer(respond).up() as server, node([entry("one", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.writer.write(
                    encode_request("good") + encode_request("bad", UNREADABLE_TARGETS[0], 100)
                )
                await until(lambda: bool(server.requests))
                gate.set()
                assert [status(await client.read_response()) for _ in range(2)] == [200, 400]
            await until(lambda: not proxy.server.connections)
            assert is_all_released(proxy)

    run(main())


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("target", [b"/api", b"/_health"])
@pytest.mark.parametrize("body_bytes", [0, LONG_BODY_BYTES, STREAMED_BODY_BYTES])
def test_a_failing_step_leaves_nothing_held(step: str, target: bytes, body_bytes: int):
    """Guards against a request that nobody owns while it moves from the queue to the server."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("one", server.port)]) as proxy:
            owner = DownstreamConnection if hasattr(DownstreamConnection, step) else proxy.server
            with patch.object(owner, step, side_effect=RuntimeError(step)) as failing:
                async with Client(proxy) as client:
                    client.writer.write(
                        encode_request("first", target, body_bytes) + encode_request("second")
                    )
                    response = asyncio.ensure_future(client.reader.read(1))
                    await until(lambda: failing.called or response.done())
                    for connection in list(proxy.server.connections):
                        connection.abort()
                    await until(lambda: not proxy.server.connections)
                    response.cancel()
            await until(lambda: is_all_released(proxy))

    run(main())


@given(
    sizes=st.lists(st.integers(0, 5000), max_size=8),
    order=st.lists(st.integers(0, 7), max_size=12),
)
def test_requests_are_released_once_in_any_order(sizes: list[int], order: list[int]):
    budget, heads = BufferBudget(1 << 20), BufferBudget(1 << 20)
    ids = RequestIds(lambda id: False, EndedRequestIds(lambda: 1.0, lambda: 0.0))
    head_memory = HeadMemory(heads)
    held, requests = HeldRequests(ids, head_memory), []
    for number, size in enumerate(sizes):
        body = RequestBody(budget, lambda: None)
        headers = [(b"request-id", b"%d" % (number // 2))]  # every second one has the id of another
        request = DownstreamRequest(None, b"GET", b"/", headers, body)  # type: ignore[arg-type]
        held.add(request)
        request.head_bytes = head_memory.add(size, 1)
        ids.reserve(request)
        body.append(bytes(size))
        requests.append(request)
    for index in order:
        if index < len(requests):
            held.release(requests[index])
    held.release_all()
    assert (budget.used_bytes, heads.used_bytes, len(held), ids._requests) == (0, 0, 0, {})
