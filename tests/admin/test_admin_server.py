"""The admin server: its responses, its timeouts, and its limit of connections."""

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
    """A backend that knows one server, `s 1`."""

    def __init__(self) -> None:
        self.is_serving = True
        self.cordoned = False
        self.fleet_cordons: set[str] = set()
        self.error: Exception | None = None

    def serving(self) -> bool:
        return self.is_serving

    def statistics(self) -> StatisticsSnapshot:
        return STATISTICS

    async def cordon(self, server: str) -> bool:
        return self._set_cordon(server, True)

    async def uncordon(self, server: str) -> bool:
        return self._set_cordon(server, False)

    def cordoned_by_fleet(self, server: str) -> bool:
        return server in self.fleet_cordons

    def _set_cordon(self, server: str, cordoned: bool) -> bool:
        if self.error is not None:
            raise self.error
        if server == "s 1":
            self.cordoned = cordoned
        return server == "s 1"


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


async def send_request(port: int, raw: bytes) -> tuple[int, Message, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw)
    response = await read_message(reader)
    assert response is not None
    rest = await reader.read()  # until the connection is closed after the response
    writer.close()
    return int(response.start_line.split()[1]), response, rest


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
        response = await respond_to(FakeBackend(), method, target)
        assert response.status == status
        assert bool(response.allow) is (status == 405)

    run(main())


def test_a_process_that_does_not_serve_is_not_healthy():
    async def main() -> None:
        backend = FakeBackend()
        backend.is_serving = False
        assert (await respond_to(backend, "GET", "/admin/health")).status == 503

    run(main())


def test_a_cordon_that_cannot_be_saved_is_an_error():
    """Operators must learn that the cordon would be lost at the next restart."""

    async def main() -> None:
        backend = FakeBackend()
        backend.error = PermissionError("read-only")
        assert (await respond_to(backend, "POST", "/admin/cordon?member=s%201")).status == 500

    run(main())


def test_requests_on_a_socket():
    async def main() -> None:
        backend = FakeBackend()
        async with running(backend) as server:
            status, response, rest = await send_request(
                server.port, b"GET /admin/stats HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            assert (status, rest, response.headers["connection"]) == (200, b"", "close")
            assert orjson.loads(response.body) == {
                "responses": {"read": {"ok": 5, "shed": 2, "errors": 1}},
                "tries": 9,
                "active": 3,
                "pool_size": 4,
                "pool_ejected": 1,
                "verdicts": {},
                "violations": {},
            }
            raw = b"POST /admin/cordon?member=s%201 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
            assert (await send_request(server.port, raw))[0] == 200
            assert backend.cordoned
            assert (await send_request(server.port, b"\x00\x01nonsense\r\n\r\n"))[0] == 400
            assert (await send_request(server.port, b"GET /admin/health HTTP/1.1\r\nX: " + b"a" * 20000))[
                0
            ] == 413
            backend.error = RuntimeError("a fault")
            assert (await send_request(server.port, raw))[0] == 500

    run(main())


def test_a_request_in_small_pieces_is_answered():
    async def main() -> None:
        async with running(FakeBackend()) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            for byte in b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            writer.write_eof()  # a client may close its sending side after the request
            response = await read_message(reader)
            assert response is not None
            assert response.start_line == "HTTP/1.1 200 OK"
            writer.close()

    run(main())


def test_clients_that_send_no_request_do_not_block_others():
    """The limit of connections holds, and a further client still gets a response."""

    async def main() -> None:
        async with running(FakeBackend()) as server, contextlib.AsyncExitStack() as stack:
            for index in range(4 * admin_server.MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection("127.0.0.1", server.port)
                stack.callback(writer.close)
                writer.write(b"GET /admin" if index % 2 else b"")
            assert (await send_request(server.port, b"GET /admin/health HTTP/1.1\r\n\r\n"))[0] == 200
            assert len(server.connections) <= admin_server.MAX_CONNECTIONS

    run(main())


def test_an_incomplete_request_times_out():
    limits = dataclasses.replace(admin_server.LIMITS, receive_timeout_s=0.05)

    async def main() -> None:
        async with running(FakeBackend(), limits) as server:
            assert (await send_request(server.port, b"GET /admin"))[0] == 408
            await until(lambda: not server.connections)

    run(main())
