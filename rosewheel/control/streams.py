"""The watches on a control machine: of nodes, told of what concerns their service, and of the other machines."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import orjson

from rosewheel.admin.calls import Caller, chunk
from rosewheel.control.fleet import Fleet
from rosewheel.control.placement import Pace
from rosewheel.control.replica import Replica, tail_row
from rosewheel.control.versions import Document, Position, difference, projection

log = logging.getLogger("rosewheel.control")

EMPTY_S = 2.0  # how often those that follow hear an empty line
EMPTY = chunk(b"\n")
GONE_S = 10.0  # without an answer of the system at the other end: its machine is gone, though nothing says so
UNSENT_BYTES = 4 << 20  # of one that does not take what it is told


class Stream:
    """One watch."""

    def __init__(
        self, caller: Caller, position: Position, service: str, node: str = "", peer: str = ""
    ) -> None:
        self.caller, self.position = (
            caller,
            position,
        )  # the position that it has been told, this stream included
        self.service, self.node, self.peer = service, node, peer
        self.waits = True  # for its turn


class Streams:
    """Tells each watch what it lacks; what is the same for many is made once."""

    def __init__(self, replica: Replica, fleet: Fleet, loop: asyncio.AbstractEventLoop) -> None:
        self.replica, self.fleet, self.loop = replica, fleet, loop
        self.streams: dict[Caller, Stream] = {}
        self.nodes: dict[str, Caller] = {}  # the newest watch of each
        self.pace = Pace()
        self._lines: dict[tuple[str, Position], bytes] = {}
        self._shown: Position | None = None
        self._projections: dict[str, Document] = {}
        self._timer = loop.call_later(EMPTY_S, self._empty)

    def open(self, stream: Stream) -> None:
        """The answer begins at once, what it says when its turn has come: a crowd is taken on at a pace."""
        caller = stream.caller
        self.streams[caller] = stream
        if stream.node:
            self.nodes[stream.node] = caller
        caller.stream()
        caller.unheard_after(GONE_S)
        caller.write(EMPTY)
        wait = 0.0 if stream.peer else self.pace.turn(self.loop.time())
        if wait > 0.0:
            self.loop.call_later(wait, self._turn, stream)
        else:
            self._turn(stream)

    def _turn(self, stream: Stream) -> None:
        stream.waits = False
        self._tell(stream)

    def left(self, caller: Caller) -> Stream | None:
        stream = self.streams.pop(caller, None)
        if stream is not None and self.nodes.get(stream.node) is caller:
            del self.nodes[stream.node]
            return stream
        return None

    def close(self) -> None:
        self._timer.cancel()
        for caller in list(self.streams):
            caller.abort()

    def publish(self) -> None:
        for stream in list(self.streams.values()):
            if not stream.waits:
                self._tell(stream)

    def _tell(self, stream: Stream) -> None:
        if stream.peer:
            tail = self.replica.tail(stream.position)
            if tail is not None:
                stream.caller.write(chunk(orjson.dumps(tail_row(tail), default=tuple) + b"\n"))
                stream.position = tail.top
            return
        shown = self.replica.shown
        if stream.position < shown:
            stream.caller.write(self._line(stream.service, stream.position))
            stream.position = shown

    def _line(self, service: str, position: Position) -> bytes:
        shown = self.replica.shown
        if shown != self._shown:
            self._shown = shown
            self._lines.clear()
            self._projections.clear()
        line = self._lines.get((service, position))
        if line is None:
            line = chunk(orjson.dumps(self.row(service, position)) + b"\n")
            self._lines[service, position] = line
        return line

    def row(self, service: str, position: Position) -> dict[str, Any]:
        """What a node of this service lacks that holds this."""
        shown = self.replica.shown
        new = self._projections.get(service)
        if new is None or shown != self._shown:
            new = projection(self.replica.document, service)
            if shown == self._shown:
                self._projections[service] = new
        old = self.replica.versions.at(position)
        row: dict[str, Any] = {"seq": shown.version, "epoch": shown.number, "writer": shown.writer}
        row["whole"] = old is None
        row["config"] = new if old is None else difference(projection(old, service), new)
        return row

    def _empty(self) -> None:
        self._timer = self.loop.call_later(EMPTY_S, self._empty)
        for caller in list(self.streams):
            if caller.unsent > UNSENT_BYTES:
                caller.abort()
            else:
                caller.write(EMPTY)
