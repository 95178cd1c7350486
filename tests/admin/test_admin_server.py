"""The operators' door: what it answers, and that those who keep silent do not keep others out."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import orjson
import pytest

from rosewheel.admin import server as admin
from rosewheel.admin.server import AdminServer, respond_to
from rosewheel.listener import bind
from tests.support.sockets import Message, read_message, run, until


class Desk:
    """Knows one server."""

    def __init__(self) -> None:
        self.up = True
        self.out = False
        self.fleet: set[str] = set()
        self.fails: Exception | None = None

    def serving(self) -> bool:
        return self.up

    def statistics(self) -> dict[str, Any]:
        return {"active": 3}

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


@contextlib.asynccontextmanager
async def door(desk: Desk) -> AsyncIterator[AdminServer]:
    admin = AdminServer(desk)
    await admin.start(bind(("127.0.0.1", 0), "LB_OPS"))
    try:
        yield admin
    finally:
        admin.close()


async def call(port: int, raw: bytes) -> tuple[int, Message, bytes]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw)
    got = await read_message(reader)
    assert got is not None
    rest = await reader.read()  # to the end: one call a connection
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
def test_each_call_has_its_answer(method: str, target: str, status: int):
    async def main() -> None:
        reply = await respond_to(Desk(), method, target)
        assert reply.status == status
        assert bool(reply.allow) is (status == 405)

    run(main())


def test_a_process_that_takes_no_callers_says_so():
    async def main() -> None:
        desk = Desk()
        desk.up = False
        assert (await respond_to(desk, "GET", "/admin/health")).status == 503

    run(main())


def test_a_cordon_that_cannot_be_kept_is_a_no():
    """Guards operators who rely on it over an upgrade."""

    async def main() -> None:
        desk = Desk()
        desk.fails = PermissionError("read-only")
        assert (await respond_to(desk, "POST", "/admin/cordon?member=s%201")).status == 500

    run(main())


def test_a_call_on_a_socket():
    async def main() -> None:
        desk = Desk()
        async with door(desk) as admin:
            status, got, rest = await call(admin.port, b"GET /admin/stats HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (status, rest, got.headers["connection"]) == (200, b"", "close")
            assert orjson.loads(got.body) == {"active": 3}
            raw = b"POST /admin/cordon?member=s%201 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
            assert (await call(admin.port, raw))[0] == 200
            assert desk.out
            assert (await call(admin.port, b"\x00\x01nonsense\r\n\r\n"))[0] == 400
            assert (await call(admin.port, b"GET /admin/health HTTP/1.1\r\nX: " + b"a" * 20000))[0] == 413
            desk.fails = RuntimeError("a fault")
            assert (await call(admin.port, raw))[0] == 500

    run(main())


def test_a_call_in_small_pieces_is_answered():
    async def main() -> None:
        async with door(Desk()) as admin:
            reader, writer = await asyncio.open_connection("127.0.0.1", admin.port)
            for byte in b"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n":
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            writer.write_eof()  # who has said all may end its sending
            got = await read_message(reader)
            assert got is not None
            assert got.first == "HTTP/1.1 200 OK"
            writer.close()

    run(main())


def test_silent_callers_do_not_keep_others_out():
    """Guards operators behind a crowd that connects and says nothing: the cap holds, a call is answered."""

    async def main() -> None:
        async with door(Desk()) as box, contextlib.AsyncExitStack() as stack:
            for at in range(4 * admin.MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection("127.0.0.1", box.port)
                stack.callback(writer.close)
                writer.write(b"GET /admin" if at % 2 else b"")
            assert (await call(box.port, b"GET /admin/health HTTP/1.1\r\n\r\n"))[0] == 200
            assert len(box.connections) <= admin.MAX_CONNECTIONS

    run(main())


def test_half_a_call_is_told_so_in_the_end(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(admin, "RECEIVE_TIMEOUT_S", 0.05)

    async def main() -> None:
        async with door(Desk()) as box:
            assert (await call(box.port, b"GET /admin"))[0] == 408
            await until(lambda: not box.connections)

    run(main())
