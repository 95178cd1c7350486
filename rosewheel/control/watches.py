"""The watches on a control machine: of nodes, told of what concerns their service, and of the other machines."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import orjson

from rosewheel.admin.calls import Caller, chunk
from rosewheel.control.machine_selection import ConnectionPacer
from rosewheel.control.node_registry import NodeRegistry
from rosewheel.control.replica import Replica, encode_log_suffix
from rosewheel.control.revisions import Document, Revision, document_for_service, make_patch

log = logging.getLogger("rosewheel.control")

KEEPALIVE_INTERVAL_S = 2.0  # how often those that follow hear an empty line
EMPTY = chunk(b"\n")
GONE_S = 10.0  # without an answer of the system at the other end: its machine is gone, though nothing says so
UNSENT_BYTES = 4 << 20  # of one that does not take what it is told


class Watch:
    """One watch."""

    def __init__(
        self, caller: Caller, position: Revision, service: str, node: str = "", peer: str = ""
    ) -> None:
        self.caller, self.position = (
            caller,
            position,
        )  # the position that it has been told, this stream included
        self.service, self.node, self.peer = service, node, peer
        self.waits = True  # for its turn


class WatchPublisher:
    """Tells each watch what it lacks; what is the same for many is made once."""

    def __init__(self, replica: Replica, fleet: NodeRegistry, loop: asyncio.AbstractEventLoop) -> None:
        self.replica, self.fleet, self.loop = replica, fleet, loop
        self.watches: dict[Caller, Watch] = {}
        self.watch_by_node: dict[str, Caller] = {}  # the newest watch of each
        self.pace = ConnectionPacer()
        self._lines: dict[tuple[str, Revision], bytes] = {}
        self._shown: Revision | None = None
        self._projections: dict[str, Document] = {}
        self._timer = loop.call_later(KEEPALIVE_INTERVAL_S, self._empty)

    def open(self, stream: Watch) -> None:
        """The answer begins at once, what it says when its turn has come: a crowd is taken on at a pace."""
        caller = stream.caller
        self.watches[caller] = stream
        if stream.node:
            self.watch_by_node[stream.node] = caller
        caller.stream()
        caller.unheard_after(GONE_S)
        caller.write(EMPTY)
        wait = 0.0 if stream.peer else self.pace.reserve(self.loop.time())
        if wait > 0.0:
            self.loop.call_later(wait, self._turn, stream)
        else:
            self._turn(stream)

    def _turn(self, stream: Watch) -> None:
        stream.waits = False
        self._tell(stream)

    def left(self, caller: Caller) -> Watch | None:
        stream = self.watches.pop(caller, None)
        if stream is not None and self.watch_by_node.get(stream.node) is caller:
            del self.watch_by_node[stream.node]
            return stream
        return None

    def close(self) -> None:
        self._timer.cancel()
        for caller in list(self.watches):
            caller.abort()

    def publish(self) -> None:
        for stream in list(self.watches.values()):
            if not stream.waits:
                self._tell(stream)

    def _tell(self, stream: Watch) -> None:
        if stream.peer:
            tail = self.replica.log_suffix(stream.position)
            if tail is not None:
                stream.caller.write(chunk(orjson.dumps(encode_log_suffix(tail), default=tuple) + b"\n"))
                stream.position = tail.last
            return
        shown = self.replica.committed
        if stream.position < shown:
            stream.caller.write(self._line(stream.service, stream.position))
            stream.position = shown

    def _line(self, service: str, position: Revision) -> bytes:
        shown = self.replica.committed
        if shown != self._shown:
            self._shown = shown
            self._lines.clear()
            self._projections.clear()
        line = self._lines.get((service, position))
        if line is None:
            line = chunk(orjson.dumps(self.row(service, position)) + b"\n")
            self._lines[service, position] = line
        return line

    def row(self, service: str, position: Revision) -> dict[str, Any]:
        """What a node of this service lacks that holds this."""
        shown = self.replica.committed
        new = self._projections.get(service)
        if new is None or shown != self._shown:
            new = document_for_service(self.replica.committed_document, service)
            if shown == self._shown:
                self._projections[service] = new
        old = self.replica.history.document_at(position)
        row: dict[str, Any] = {"seq": shown.number, "epoch": shown.epoch_number, "writer": shown.leader}
        row["whole"] = old is None
        row["config"] = new if old is None else make_patch(document_for_service(old, service), new)
        return row

    def _empty(self) -> None:
        self._timer = self.loop.call_later(KEEPALIVE_INTERVAL_S, self._empty)
        for caller in list(self.watches):
            if caller.unsent > UNSENT_BYTES:
                caller.abort()
            else:
                caller.write(EMPTY)
