"""The door for operators: one small HTTP/1.1 call a connection, on an address of its own.

It decides nothing. It reads a call, hands it to the `Desk`, and writes what that says. Callers that say
nothing must not keep others out, so each has a deadline and, where they are too many, the longest silent one
goes.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, cast
from urllib.parse import parse_qs

import httptools
import orjson

log = logging.getLogger("rosewheel.door")

MOST = 12  # connections; their descriptors are part of those that callers and servers never get
CALL_BYTES = 16 * 1024  # of one call, its body included
CALL_S = 2.0  # how long a call may take to arrive
ANSWER_S = 0.9  # and to be answered
TAKE_S = 2.0  # and its answer to be taken
BACKLOG = 256

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(slots=True)
class Reply:
    status: int
    body: Any = field(default_factory=dict)
    allow: str = ""


class Desk(Protocol):
    """What stands behind the door."""

    def serving(self) -> bool:
        """Whether this process takes callers."""

    def figures(self) -> dict[str, Any]:
        """The figures of this process, as they are now."""

    async def cordon(self, member: str) -> bool:
        """Take this server out by hand; False where no such server is known. Raises OSError where the
        cordon is in force here but would not outlive this process."""

    async def uncordon(self, member: str) -> bool:
        """Let it serve again; the same otherwise."""

    def out_by_fleet(self, member: str) -> bool:
        """Whether the fleet has taken it out, whatever is said by hand."""


async def _health(desk: Desk, _member: str) -> Reply:
    return Reply(200, {"serving": True}) if desk.serving() else Reply(503, {"serving": False})


async def _stats(desk: Desk, _member: str) -> Reply:
    return Reply(200, desk.figures())


async def _cordon(desk: Desk, member: str) -> Reply:
    known = await desk.cordon(member)
    return Reply(200, {"member": member, "cordoned": True}) if known else _unknown(member)


async def _uncordon(desk: Desk, member: str) -> Reply:
    known = await desk.uncordon(member)
    if not known:
        return _unknown(member)
    if desk.out_by_fleet(member):  # Guards operators: it does not serve yet
        return Reply(200, {"member": member, "cordoned": True, "by": "fleet"})
    return Reply(200, {"member": member, "cordoned": False})


def _unknown(member: str) -> Reply:
    return Reply(404, {"error": f"no equipo {member[:200]!r} in the list"})


@dataclass(slots=True, frozen=True)
class _Route:
    method: str
    call: Callable[[Desk, str], Awaitable[Reply]]
    member: bool = False  # it is about one server, named in the query


ROUTES = {
    "/admin/health": _Route("GET", _health),
    "/admin/stats": _Route("GET", _stats),
    "/admin/cordon": _Route("POST", _cordon, member=True),
    "/admin/uncordon": _Route("POST", _uncordon, member=True),
}


async def reply_to(desk: Desk, method: str, target: str) -> Reply:
    """What a call is told."""
    path, _, query = target.partition("?")
    route = ROUTES.get(path)
    if route is None:
        return Reply(404, {"error": "no such call; there are " + ", ".join(ROUTES)})
    if method != route.method:
        return Reply(405, {"error": f"{path} takes {route.method}"}, allow=route.method)
    members = parse_qs(query).get("member", []) if route.member else [""]
    if len(members) != 1 or (route.member and not members[0]):
        return Reply(400, {"error": f"{path} takes one member=ID"})
    try:
        async with asyncio.timeout(ANSWER_S):
            return await route.call(desk, members[0])
    except OSError as error:  # a timeout too
        why = str(error) or "timed out"
        log.error("%s %.200s: %s", method, target, why)
        return Reply(500, {"error": f"in force here, but not kept for the next process: {why}"})


class Admin:
    most = MOST

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.loop = asyncio.get_running_loop()
        self.callers: dict[_Caller, None] = {}  # the longest silent first
        self._listener: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        self._listener = await self.loop.create_server(lambda: _Caller(self), sock=sock, backlog=BACKLOG)

    @property
    def listening_socket(self) -> socket.socket | None:
        """For another process to accept from as well."""
        return self._listener.sockets[0] if self._listener is not None else None

    @property
    def port(self) -> int:
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for caller in list(self.callers):
            caller.abort()

    def joined(self, caller: _Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST:
            silent = next((one for one in self.callers if not one.called), next(iter(self.callers)))
            silent.abort()
            self.callers.pop(silent, None)  # at once: the next one to join must not count on it again


class _Caller(asyncio.Protocol):
    def __init__(self, owner: Admin) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.read = 0
        self.called = self.whole = self.replied = False
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.owner.loop.call_later(CALL_S, self._late)
        self.owner.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.callers.pop(self, None)
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _late(self) -> None:
        if self.called:  # it does not take its answer
            self.abort()
        else:
            self._write(Reply(408, {"error": "the call did not arrive in time"}))

    def data_received(self, data: bytes) -> None:
        if self.called or self.transport is None:
            return
        self.read += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # nothing to upgrade to: the call itself is a plain one, and answered as such
        except httptools.HttpParserError:
            if not self.whole:
                self._write(Reply(400, {"error": "not HTTP/1.1"}))
                return
        if self.whole:
            self.called = True
            method = self.parser.get_method().decode("latin-1")
            self.task = self.owner.loop.create_task(self._call(method, self.target.decode("latin-1")))
        elif self.read > CALL_BYTES:
            self._write(Reply(413, {"error": "a call without end"}))

    def eof_received(self) -> bool:
        return self.called  # who ends its sending behind the call still reads

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_message_complete(self) -> None:
        self.whole = True

    async def _call(self, method: str, target: str) -> None:
        try:
            reply = await reply_to(self.owner.desk, method, target)
        except Exception:
            log.exception("%s %.200s", method, target)
            reply = Reply(500, {"error": "a fault of the node"})
        self._write(reply)

    def _write(self, reply: Reply) -> None:
        self.called = True
        if self.transport is None or self.transport.is_closing() or self.replied:
            return
        self.replied = True
        body = orjson.dumps(reply.body) + b"\n"
        head = f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\nContent-Type: application/json\r\n"
        if reply.allow:
            head += f"Allow: {reply.allow}\r\n"
        head += f"Content-Length: {len(body)}\r\nCache-Control: no-store\r\nConnection: close\r\n\r\n"
        self.transport.write(head.encode() + body)
        self.transport.close()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.owner.loop.call_later(TAKE_S, self.abort)
