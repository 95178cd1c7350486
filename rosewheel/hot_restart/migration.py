"""Taking what is open off the loop of one process, and going on with it in another, or in the same one again."""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rosewheel.hot_restart.channel import close_descriptors
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.downstream_detach import DetachedDownstream
from rosewheel.http.upstream_connection import UpstreamConnection
from rosewheel.http.upstream_detach import DetachedUpstream

if TYPE_CHECKING:
    from rosewheel.proxy.proxy import Proxy

log = logging.getLogger("rosewheel.hot_restart")

CALLER, EQUIPO, PASSAGE = "caller", "equipo", "passage"
FDS = {CALLER: 1, EQUIPO: 1, PASSAGE: 2}


@dataclass(slots=True, eq=False)
class MigratedConnection:
    """One thing that moves: of no loop, its descriptors held by whoever holds this."""

    kind: str
    state: dict[str, Any]
    fds: list[int]
    held: bytes = b""  # bytes to be sent, then bytes that were read; the state says how many are to be sent

    def message(self, number: int) -> dict[str, Any]:
        return {"t": "give", "n": number, "kind": self.kind, "state": self.state}


OnDetached = Callable[
    [MigratedConnection | None], None
]  # None: it ended while it was being taken off the loop


class Migration:
    """Of one process."""

    def __init__(self, relay: Proxy) -> None:
        self.relay = relay
        self.loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def arriving(self) -> int:
        """Those that have not arrived on this loop yet."""
        return len(self._tasks)

    @property
    def busy(self) -> bool:
        return bool(self._tasks)

    # ---------------------------------------------------------------- lifting

    def detach_next(self, done: OnDetached) -> bool:
        """Begin with what would be lost first: long answers, then callers, and connections to equipos among them,
        since what those callers ask next needs them. False where nothing is left that can be moved by now."""
        relay = self.relay
        for caller in relay.server.connections:
            if (
                caller.active_request is not None
                and caller.detachable
                and self._detach_response(caller, done)
            ):
                return True
        if relay.random.random() < 0.5 and self._detach_idle(done):
            return True
        for caller in relay.server.connections:
            if caller.active_request is None and caller.detachable:
                caller.detach(functools.partial(self._one, CALLER, done))
                return True
        return self._detach_idle(done)

    def _detach_idle(self, done: OnDetached) -> bool:
        return self.relay.upstream.detach_idle(functools.partial(self._one, EQUIPO, done))

    def _one(
        self,
        kind: str,
        done: OnDetached,
        lifted: DetachedDownstream | DetachedUpstream | None,
    ) -> None:
        if lifted is None:
            done(None)
        elif isinstance(lifted, DetachedDownstream):
            done(MigratedConnection(kind, lifted.state, [lifted.fd], lifted.pending_bytes))
        else:
            done(MigratedConnection(kind, lifted.state, [lifted.fd]))

    def _detach_response(self, caller: DownstreamConnection, done: OnDetached) -> bool:
        """Both ends at once: neither is read or written from here on."""
        relay, call = self.relay, caller.active_request
        passing = relay.node.response_in_progress(call.id) if call is not None else None
        if call is None or passing is None:
            return False
        service, server, attempt = passing
        ends: dict[str, DetachedDownstream | DetachedUpstream | None] = {}

        def one(end: str, lifted: DetachedDownstream | DetachedUpstream | None) -> None:
            ends[end] = lifted
            if len(ends) == 2:
                self._passage(call.id, service, server, ends, done)

        if not relay.upstream.detach_response(call.id, attempt, functools.partial(one, "equipo")):
            return False
        caller.detach(functools.partial(one, "caller"))
        return True

    def _passage(
        self,
        id: str,
        service: str,
        server: str,
        ends: dict[str, DetachedDownstream | DetachedUpstream | None],
        done: OnDetached,
    ) -> None:
        relay, out, back = self.relay, ends["caller"], ends["equipo"]
        if isinstance(out, DetachedDownstream) and isinstance(back, DetachedUpstream):
            relay.calls.pop(id, None)
            relay.apply(relay.node.response_migrated(time.monotonic() * 1000.0, id))
            state = {
                "id": id,
                "service": service,
                "server": server,
                "caller": out.state,
                "equipo": back.state,
            }
            done(MigratedConnection(PASSAGE, state, [out.fd, back.fd], out.pending_bytes))
            return
        # One end went while the other was lifted: the answer is cut off. Where the caller is still there, the end of
        # its connection says so.
        close_descriptors([end.fd for end in (out, back) if end is not None])
        call = relay.calls.pop(id, None)
        if call is not None:
            relay.apply(relay.node.client_disconnected(time.monotonic() * 1000.0, id))
        done(None)

    # --------------------------------------------------------------- going on

    def rejection_reason(self, item: MigratedConnection) -> str:
        """Why this process can't go on with it; empty where it can."""
        relay = self.relay
        if len(item.fds) != FDS.get(item.kind, 0):
            return "descriptors are missing"
        if relay.server.draining or relay.stopped:
            return "this process stops too"
        if not relay.room_for(len(item.fds), idle=item.kind == EQUIPO):
            return "no room"
        if item.kind == EQUIPO and not relay.upstream.accepts_idle(item.state):
            return "no use for it"
        if item.kind == PASSAGE and item.state["id"] in relay.node.requests:
            return "its request can't be open here"
        return ""

    def resume(self, item: MigratedConnection, kept: bool = False) -> None:
        """The item is this process's from here on. `kept`: it was before, and nobody else wants it."""
        task = self.loop.create_task(self._go_on(item, kept))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _go_on(self, item: MigratedConnection, kept: bool) -> None:
        socks = [socket.socket(fileno=fd) for fd in item.fds]
        try:
            for sock in socks:
                sock.setblocking(False)
            if item.kind == EQUIPO:
                await self.relay.upstream.adopt_idle(socks[0], item.state)
            elif item.kind == CALLER:
                caller = self._caller(item.state, item.held, kept)
                await self.loop.connect_accepted_socket(lambda: caller, socks[0])
            else:
                await self._go_on_passing(item, socks, kept)
        except Exception:  # Guards the others: whatever this one is, it ends here
            log.exception("a connection could not be gone on with")
            for sock in socks:
                sock.close()

    def _caller(self, state: dict[str, Any], held: bytes, kept: bool) -> DownstreamConnection:
        caller = DownstreamConnection(self.relay.server)
        caller.restore(state, held)
        if kept:
            caller.detach_declined = caller.close_after_response = True
        return caller

    async def _go_on_passing(self, item: MigratedConnection, socks: list[socket.socket], kept: bool) -> None:
        relay, state = self.relay, item.state
        id = str(state["id"])
        caller = self._caller(state["caller"], item.held, kept)
        if not relay.node.adopt_response(
            time.monotonic() * 1000.0, id, str(state["service"]), state["server"]
        ):
            raise ValueError(f"{id} is open here already")
        conn: UpstreamConnection | None = None

        def eased() -> None:
            if conn is not None:
                conn.resume_response()

        call = caller.restore_response(id, eased)
        relay.calls[id] = call
        conn = relay.upstream.adopt_response(
            id, state["equipo"], functools.partial(caller.send_response_data, call)
        )
        await self.loop.connect_accepted_socket(lambda: caller, socks[0])
        if relay.calls.get(id) is not call:  # it left just now
            socks[1].close()
            return
        await relay.upstream.attach_socket(conn, socks[1])
        if caller.write_blocked:
            conn.pause_response()
