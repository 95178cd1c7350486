"""The account of a node's memory: what is counted is given back, and incomplete requests are shed first."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from rosewheel.node.memory_account import CONNECTION_BYTES, MIN_AVAILABLE_BYTES, MemoryAccount
from tests.support.memory import exhaust
from tests.support.raw_messages import RawServer, encode_raw_response, encode_request_head
from tests.support.sockets import Client, FakeServer, entry, gated_handler, node, run, status, until

HALF_UPLOAD = encode_request_head("Content-Length: 200000").replace(b"big", b"half") + bytes(100_000)


@pytest.mark.parametrize("size", [0, 10, 60_000, 500_000])
@pytest.mark.parametrize("framing", ["length", "close", "interrupted"])
def test_responses_are_counted_until_they_are_sent(size: int, framing: str):
    """Guards against bytes that stay counted, which would end in a node that refuses everything."""

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        declared = {"length": size, "interrupted": size + 1}.get(framing)
        line = "X-Framing: close" if declared is None else f"Content-Length: {declared}"
        writer.write(encode_raw_response(line, bytes(size)))
        if framing != "length":
            await writer.drain()
            writer.close()

    async def main() -> None:
        async with RawServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as client:
                client.send("post", Connection="close")
                with contextlib.suppress(ConnectionError):  # an interrupted response ends with a reset
                    await client.reader.read()
            await until(lambda: not proxy.server.connections and not proxy.upstream.exchanges)
            await until(lambda: proxy.memory.responses.used_bytes == 0)
            proxy.upstream.close()  # idle connections to the server count as well
            await until(lambda: proxy.memory.used_bytes == 0)

    run(main())


def test_incomplete_requests_are_shed_and_complete_ones_kept():
    """Guards against a crowd of half uploads that takes the memory of requests that were received completely."""

    async def main() -> None:
        gate, respond = gated_handler()
        async with FakeServer(respond).up() as server, node([entry("s", server.port)]) as proxy:
            async with Client(proxy) as complete, Client(proxy) as incomplete:
                complete.send("read", timeout=9000)
                incomplete.writer.write(HALF_UPLOAD)
                await until(lambda: len(server.requests) == 1)
                await until(lambda: proxy.budget.used_bytes >= 100_000)
                exhaust(proxy.memory)
                proxy.server.shed()
                assert status(await incomplete.read_response()) == 503
                gate.set()
                assert status(await complete.read_response()) == 200

    run(main())


def test_account_leaves_a_reserve_and_counts_connections():
    account = MemoryAccount()
    account.baseline_bytes = 26 << 20
    account.divide(32 << 20, 1)
    assert account.available_bytes + account.reserve_bytes + account.baseline_bytes == 32 << 20
    assert not account.is_scarce
    account.connection_count = account.available_bytes // CONNECTION_BYTES + 1
    assert account.is_scarce
    assert account.is_exhausted


def test_two_processes_share_the_limit_and_pages_of_files():
    """Guards against a process that refuses all uploads during a hot restart since its half is less than its size."""
    account = MemoryAccount()
    account.baseline_bytes = account.resident_bytes = 26 << 20
    account.shared_bytes = 11 << 20
    account.divide(48 << 20, 2)
    assert 2 * (account.limit_bytes - account.shared_bytes) + account.shared_bytes <= 48 << 20
    account.divide(32 << 20, 2)  # less than the baseline of each
    assert account.available_bytes == MIN_AVAILABLE_BYTES
    assert account.max_connections > 0
    assert not account.is_exhausted
    account.resident_bytes += 2 * MIN_AVAILABLE_BYTES
    assert account.is_exhausted


def test_resident_memory_without_holders_is_no_excess():
    """Guards against a node that refuses uploads for good: the allocator keeps what its clients have freed."""
    account = MemoryAccount()
    account.baseline_bytes = 26 << 20
    account.divide(32 << 20, 1)
    account.bodies.used_bytes = account.available_bytes
    account.record_resident(account.limit_bytes)
    assert account.is_exhausted
    account.bodies.used_bytes = account.available_bytes // 4
    account.record_resident(account.limit_bytes)
    assert not account.is_exhausted
    account.bodies.used_bytes = account.available_bytes
    account.record_resident(account.limit_bytes)
    assert account.is_exhausted


def test_memory_that_was_given_back_is_not_counted_as_free_again():
    account = MemoryAccount()
    account.baseline_bytes = 26 << 20
    account.divide(32 << 20, 1)
    account.bodies.used_bytes = account.available_bytes
    account.record_resident(account.limit_bytes)
    account.bodies.used_bytes = 0
    account.record_resident(account.baseline_bytes)
    assert account.resident_bytes == account.baseline_bytes


def test_process_is_full_before_it_reaches_its_limit():
    account = MemoryAccount()
    account.baseline_bytes = 28 << 20
    account.divide(32 << 20, 1)
    account.bodies.used_bytes = account.available_bytes + 1
    assert account.is_exhausted
    assert not account.is_full
    account.resident_bytes = account.limit_bytes
    assert account.is_full
    account.resident_bytes = account.baseline_bytes
    account.bodies.used_bytes += account.reserve_bytes
    assert account.is_full
    account.resident_bytes = account.limit_bytes
    account.bodies.used_bytes = account.available_bytes // 4
    assert not account.is_full
