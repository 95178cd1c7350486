"""The admin server: its responses, and that silent clients do not keep others out."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import orjson
import pytest

from rosewheel.admin import server as admin_server
from rosewheel.admin.json_http import ConnectionLimits
from rosewheel.admin.server import AdminServer, respond_to
from rosewheel.listener import bind
from rosewheel.node.statistics import ClassCounters, StatisticsSnapshot
from tests.support.sockets import Message, read_message, run, until


class FakeBackend:
    """Knows one server, `s 1`."""

    def __init__(self) -> None:
        self.up = True
        self.out = False
        self.fleet: set[str] = set()
        self.fails: Exception | None = None

    def serving(self) -> bool:
        return self.up

    def statistics(self) -> StatisticsSnapshot:
        return STATISTICS

    async def cordon(self, member: str) -> bool:
        return self._set(member, True)

    async def uncordon(self, member: str) -> bool:
        return self._set(member, False)

    def cordoned_by_fleet(self, member: str) -> bool:
        return member in self.fleet

    def _set(self, member: str, out: bool) -> bool:
        if self.fails is not None:
            raise self.fails
        if member == "s 1":
            self.out = out
        return member == "s 1"


STATISTICS = StatisticsSnapshot(
    {"read": ClassCounters(ok=5, shed=2, errors=1)},
    attempts=9,
    active_requests=3,
    endpoints=4,
    cordoned_endpoints=1,
)


@contextlib.asynccontextmanager
async def running(
    backend: FakeBackend, limits: ConnectionLimits = admin_server.LIMITS
) -> AsyncIterator[AdminServer]:
    server = AdminServer(backend, limits)
    await server.start(bind(("127.0.0.1", 0), "LB_OPS"))
    try:
        yield server
    finally:
        server.close()


async def call(port: int, raw: bytes) -> tuple[int, Message, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw)
    got = await read_message(reader)
    assert got is not None
    rest = await reader.read()  # to the end: one request per connection
    writer.close()
    return int(got.first.split()[1]), got, rest


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/admin/health", 200),
        ("GET", "/admin/stats?x=1", 200),
        ("POST", "/admin/cordon?member=s%201", 200),
        ("POST", "/admin/uncordon?member=s+1", 200),
        ("GET", "/", 404),
        ("GET", "/admin/nothing", 404),
        ("POST", "/admin/health", 405),
        ("GET", "/admin/cordon?member=s%201", 405),
        ("POST", "/admin/cordon", 400),
        ("POST", "/admin/cordon?member=", 400),
        ("POST", "/admin/uncordon?member=a&member=b", 400),
        ("POST", "/admin/cordon?member=nobody", 404),
        ("POST", "/admin/uncordon?member=nobody", 404),
    ],
)
def test_status_of_each_request(method: str, target: str, status: int):
    async def main() -> None:
        reply = await respond_to(FakeBackend(), method, target)
        assert reply.status == status
        assert bool(reply.allow) is (status == 405)

    run(main())


def test_a_process_that_does_not_serve_is_not_healthy():
    async def main() -> None:
        backend = FakeBackend()
        backend.up = False
        assert (await respond_to(backend, "GET", "/admin/health")).status == 503

    run(main())


def test_a_cordon_that_cannot_be_saved_is_an_error():
    """Guards operators who rely on it over an upgrade."""

    async def main() -> None:
        backend = FakeBackend()
        backend.fails = PermissionError("read-only")
        assert (await respond_to(backend, "POST", "/admin/cordon?member=s%201")).status == 500

    run(main())


def test_requests_on_a_socket():
    async def main() -> None:
        backend = FakeBackend()
        async with running(backend) as server:
            status, got, rest = await call(server.port, b"GET /admin/stats HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (status, rest, got.headers["connection"]) == (200, b"", "close")
            assert orjson.loads(got.body) == {
                "responses": {"read": {"ok": 5, "shed": 2, "errors": 1}},
                "tries": 9,
                "active": 3,
                "pool_size": 4,
                "pool_ejected": 1,
                "verdicts": {},
                "violations": {},
            }
            raw = b"POST /admin/cordon?member=s%201 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
            assert (await call(server.port, raw))[0] == 200
            assert backend.out
            assert (await call(server.port, b"\x00\x01nonsense\r\n\r\n"))[0] == 400
            assert (await call(server.port, b"GET /admin/health HTTP/1.1\r\nX: " + b"a" * 20000))[0] == 413
            backend.fails = RuntimeError("a fault")
            assert (await call(server.port, raw))[0] == 500

    run(main())


def test_a_request_in_small_pieces_is_answered():
    async def main() -> None:
        async with running(FakeBackend()) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            for byte in b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            writer.write_eof()  # a client that has sent its request may close its side
            got = await read_message(reader)
            assert got is not None
            assert got.first == "HTTP/1.1 200 OK"
            writer.close()

    run(main())


def test_silent_clients_do_not_keep_others_out():
    """Guards operators behind many clients that connect and send nothing: the limit holds, a request is answered."""

    async def main() -> None:
        async with running(FakeBackend()) as server, contextlib.AsyncExitStack() as stack:
            for at in range(4 * admin_server.MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection("127.0.0.1", server.port)
                stack.callback(writer.close)
                writer.write(b"GET /admin" if at % 2 else b"")
            assert (await call(server.port, b"GET /admin/health HTTP/1.1\r\n\r\n"))[0] == 200
            assert len(server.connections) <= admin_server.MAX_CONNECTIONS

    run(main())


def test_an_incomplete_request_times_out():
    limits = dataclasses.replace(admin_server.LIMITS, receive_timeout_s=0.05)

    async def main() -> None:
        async with running(FakeBackend(), limits) as server:
            assert (await call(server.port, b"GET /admin"))[0] == 408
            await until(lambda: not server.connections)

    run(main())
