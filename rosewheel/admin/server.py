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
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import parse_qs

from rosewheel.admin.calls import Call, Caller, Limits, Reply

log = logging.getLogger("rosewheel.door")

MOST = 12  # connections; their descriptors are part of those that callers and servers never get
CALL_BYTES = 16 * 1024  # of one call, its body included
CALL_S = 2.0  # how long a call may take to arrive
ANSWER_S = 0.9  # and to be answered
TAKE_S = 2.0  # and its answer to be taken
BACKLOG = 256
LIMITS = Limits(CALL_BYTES, CALL_S, TAKE_S)


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
        self.callers: dict[Caller, None] = {}  # the longest silent first
        self._listener: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        self._listener = await self.loop.create_server(
            lambda: Caller(self, LIMITS, self.loop), sock=sock, backlog=BACKLOG
        )

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

    def joined(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST:
            silent = next((one for one in self.callers if not one.called), next(iter(self.callers)))
            silent.abort()
            self.callers.pop(silent, None)  # at once: the next one to join must not count on it again

    def left(self, caller: Caller) -> None:
        self.callers.pop(caller, None)

    async def answer(self, call: Call, caller: Caller) -> Reply:
        return await reply_to(self.desk, call.method, call.target)
