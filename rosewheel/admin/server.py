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

from rosewheel.admin.json_http import ConnectionLimits, JsonConnection, JsonRequest, JsonResponse

log = logging.getLogger("rosewheel.door")

MAX_CONNECTIONS = 12  # connections; their descriptors are part of those that callers and servers never get
MAX_REQUEST_BYTES = 16 * 1024  # of one call, its body included
RECEIVE_TIMEOUT_S = 2.0  # how long a call may take to arrive
HANDLER_TIMEOUT_S = 0.9  # and to be answered
SEND_TIMEOUT_S = 2.0  # and its answer to be taken
BACKLOG = 256
LIMITS = ConnectionLimits(MAX_REQUEST_BYTES, RECEIVE_TIMEOUT_S, SEND_TIMEOUT_S)


class AdminBackend(Protocol):
    """What stands behind the door."""

    def serving(self) -> bool:
        """Whether this process takes callers."""

    def statistics(self) -> dict[str, Any]:
        """The figures of this process, as they are now."""

    async def cordon(self, member: str) -> bool:
        """Take this server out by hand; False where no such server is known. Raises OSError where the
        cordon is in force here but would not outlive this process."""

    async def uncordon(self, member: str) -> bool:
        """Let it serve again; the same otherwise."""

    def cordoned_by_fleet(self, member: str) -> bool:
        """Whether the fleet has taken it out, whatever is said by hand."""


async def _health(desk: AdminBackend, _member: str) -> JsonResponse:
    return JsonResponse(200, {"serving": True}) if desk.serving() else JsonResponse(503, {"serving": False})


async def _stats(desk: AdminBackend, _member: str) -> JsonResponse:
    return JsonResponse(200, desk.statistics())


async def _cordon(desk: AdminBackend, member: str) -> JsonResponse:
    known = await desk.cordon(member)
    return JsonResponse(200, {"member": member, "cordoned": True}) if known else _unknown(member)


async def _uncordon(desk: AdminBackend, member: str) -> JsonResponse:
    known = await desk.uncordon(member)
    if not known:
        return _unknown(member)
    if desk.cordoned_by_fleet(member):  # Guards operators: it does not serve yet
        return JsonResponse(200, {"member": member, "cordoned": True, "by": "fleet"})
    return JsonResponse(200, {"member": member, "cordoned": False})


def _unknown(member: str) -> JsonResponse:
    return JsonResponse(404, {"error": f"no equipo {member[:200]!r} in the list"})


@dataclass(slots=True, frozen=True)
class _Route:
    method: str
    call: Callable[[AdminBackend, str], Awaitable[JsonResponse]]
    member: bool = False  # it is about one server, named in the query


ROUTES = {
    "/admin/health": _Route("GET", _health),
    "/admin/stats": _Route("GET", _stats),
    "/admin/cordon": _Route("POST", _cordon, member=True),
    "/admin/uncordon": _Route("POST", _uncordon, member=True),
}


async def respond_to(desk: AdminBackend, method: str, target: str) -> JsonResponse:
    """What a call is told."""
    path, _, query = target.partition("?")
    route = ROUTES.get(path)
    if route is None:
        return JsonResponse(404, {"error": "no such call; there are " + ", ".join(ROUTES)})
    if method != route.method:
        return JsonResponse(405, {"error": f"{path} takes {route.method}"}, allow=route.method)
    members = parse_qs(query).get("member", []) if route.member else [""]
    if len(members) != 1 or (route.member and not members[0]):
        return JsonResponse(400, {"error": f"{path} takes one member=ID"})
    try:
        async with asyncio.timeout(HANDLER_TIMEOUT_S):
            return await route.call(desk, members[0])
    except OSError as error:  # a timeout too
        why = str(error) or "timed out"
        log.error("%s %.200s: %s", method, target, why)
        return JsonResponse(500, {"error": f"in force here, but not kept for the next process: {why}"})


class AdminServer:
    max_connections = MAX_CONNECTIONS

    def __init__(self, desk: AdminBackend) -> None:
        self.backend = desk
        self.loop = asyncio.get_running_loop()
        self.connections: dict[JsonConnection, None] = {}  # the longest silent first
        self._listener: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        self._listener = await self.loop.create_server(
            lambda: JsonConnection(self, LIMITS, self.loop), sock=sock, backlog=BACKLOG
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
        for caller in list(self.connections):
            caller.abort()

    def connection_opened(self, caller: JsonConnection) -> None:
        self.connections[caller] = None
        if len(self.connections) > MAX_CONNECTIONS:
            silent = next(
                (one for one in self.connections if not one.request_received), next(iter(self.connections))
            )
            silent.abort()
            self.connections.pop(silent, None)  # at once: the next one to join must not count on it again

    def connection_closed(self, caller: JsonConnection) -> None:
        self.connections.pop(caller, None)

    async def handle(self, call: JsonRequest, caller: JsonConnection) -> JsonResponse:
        return await respond_to(self.backend, call.method, call.target)
