"""A watch: one open HTTP/1.1 answer of a JSON object a line, opened anew from where the last one made sense.

It says nothing of what the objects hold: the list of equipos (`catalog.py`) is one user of it.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Sized
from typing import Any, Generic, TypeVar, cast

import httptools
import orjson

from rosewheel.config.platform import Address

# All in seconds. An empty line comes every 2 s. A change counts as told 6 s after discovery had it and could be
# reached, whatever failed until then. At that moment a watch is open and silent, is being tried, or waits for the
# next try; whichever it is, the node has heard after no more than
#
#     max(SILENCE_S + w, FIRST_S + w, apart) + SETTLE_S, and the way there and back
#
# where `apart` is the longest time from one try's beginning to the next one's, and `w` the longest wait after a try
# that took longer than that: 4.0 and 0.2 where lists are asked for (`policy/balancer.py`), 2.0 and 0 where they are
# pushed (`proxy/proxy.py`). A try includes its connection. Where the first try behind a silent watch comes to nothing
# as well, SILENCE_S + w + FIRST_S + w and twice SETTLE_S are 5.44 s, under the same 6 s from the silence on.
SILENCE_S = 2.8
CONNECT_S = 1.5  # the system tries again after 1 s
FIRST_S = 2.2  # from the beginning, the connection included: the agent answers at once, and says something every 2 s
SETTLE_S = 0.02  # what has come while this process was held up is read before a watch is called silent
LINE_BYTES = 4 << 20  # Guards memory against a line that never ends

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Told = TypeVar("Told", bound=Sized)


class Watcher(Generic[Told]):
    """Opens a watch when told to; each one ends in exactly one `failed`, unless a newer one replaces it.

    `path` gives what is asked for, by the count of the last object that made sense. `read` makes of an object what
    `take` is then given, with whether it is the whole; it raises KeyError, TypeError, ValueError or OverflowError for
    one that is none. `spoke` hears of each watch's first line that makes sense, also of an empty one, which tells
    no more than that there is someone. In seconds: `silence_s` is how long a watch may say nothing, `connect_s` how
    long a connection may take, `first_s` how long a try may take in all, to the first line.
    """

    def __init__(
        self,
        address: Address,
        since: int,
        path: Callable[[int], str],
        read: Callable[[dict[str, Any]], Told],
        take: Callable[[bool, Told], None],
        failed: Callable[[], None],
        log: logging.Logger,
        silence_s: float | None = None,
        connect_s: float | None = None,
        first_s: float | None = None,
        spoke: Callable[[], None] = lambda: None,
    ) -> None:
        self.address, self.since, self.path, self.log = address, since, path, log
        self.silence_s = SILENCE_S if silence_s is None else silence_s
        self.connect_s = CONNECT_S if connect_s is None else connect_s
        self.first_s = FIRST_S if first_s is None else first_s
        self.opened_s = 0.0  # when the last watch was begun
        self._read, self._take, self._failed, self._spoke = read, take, failed, spoke
        self._why = ""  # why the last one ended, if nothing was heard since
        self._watch: _Watch | None = None
        self._task: asyncio.Task[None] | None = None

    def watch(self) -> None:
        self.close()
        self.opened_s = asyncio.get_running_loop().time()
        self._watch = watch = _Watch(self)
        self._task = asyncio.get_running_loop().create_task(self._connect(watch))

    def move(self, address: Address) -> None:
        """Another address of the same service from now on: it counts changes alike, so the next watch goes on
        from here. Nothing more is heard of the one on the old address."""
        self.close()
        self.address = address

    def close(self) -> None:
        watch, self._watch = self._watch, None
        if self._task is not None:
            self._task.cancel()
        if watch is not None:
            watch.close()

    @property
    def open(self) -> bool:
        return self._watch is not None

    def current(self, watch: _Watch) -> bool:
        return watch is self._watch

    async def _connect(self, watch: _Watch) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_s):
                await loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            self.failed(watch, f"no connection: {error or 'timed out'}")

    def failed(self, watch: _Watch, why: str) -> None:
        if watch is self._watch:
            self._watch = None
            watch.close()
            if why != self._why:  # Guards the log: while there is no discovery a try follows the other
                self.log.info("the watch ended: %s", why)
            self._why = why
            self._failed()

    def line(self, watch: _Watch, text: bytes) -> None:
        if watch is not self._watch:
            return
        if watch.half:
            # An object may be indented, and so go over several lines; it is whole where its brackets are.
            watch.held += len(text)
            if not text.strip() or watch.held > LINE_BYTES:
                self.failed(watch, f"cut short: {watch.half[0][:200]!r}")
                return
            watch.half.append(text)
            if (opens := _opens(text)) is not None and watch.opens + opens > 0:
                watch.opens += opens
                return
            # Not before: a long list would be read again from its beginning at each of its lines.
            text, watch.half = b"\n".join(watch.half), []
        elif not text.strip():
            self._speaks(watch)
            return
        try:
            row = orjson.loads(text)
            if not isinstance(row, dict):
                raise TypeError("not an object")
            seq, whole, told = int(row["seq"]), bool(row.get("whole")), self._read(row)
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            opens = _opens(text) if text.lstrip().startswith(b"{") else None
            if isinstance(error, orjson.JSONDecodeError) and opens is not None and opens > 0:
                watch.half, watch.opens, watch.held = [text], opens, len(text)
                return
            # What was changed is not known, so the next watch has to begin where this one still made sense.
            self.failed(watch, f"not what was asked for: {error}: {text[:200]!r}")
            return
        self._speaks(watch)
        if seq < self.since and not whole:
            # Guards against a service that has begun to count anew: what it left out is not known.
            self.since = 0
            self.failed(watch, f"it counts from {seq}")
            return
        if not watch.told:
            watch.told = True
            form = "whole" if whole else "changes"
            self.log.info("told from %d to %d: %s, %d entries", self.since, seq, form, len(told))
        self.since, self._why = seq, ""
        self._take(whole, told)

    def _speaks(self, watch: _Watch) -> None:
        if not watch.spoke:
            watch.spoke = True
            self._spoke()


def _opens(text: bytes) -> int | None:
    """How many more brackets this opens than it closes; None where a string is cut: no line's end stands within one."""
    bare = STRING.sub(b"", text)
    if b'"' in bare:
        return None
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class _Watch(asyncio.Protocol):
    def __init__(self, owner: Watcher[Any]) -> None:
        self.owner = owner
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.half: list[bytes] = []  # of an object that goes over several lines, those that have come,
        self.opens = self.held = 0  # the brackets that are open behind them, and their bytes
        self.told = self.spoke = self.settling = False
        self.loop = asyncio.get_running_loop()
        self.limit = owner.first_s  # how long it may be silent
        self.silence = self.loop.call_later(self.limit, self._silent)
        self.heard_at = self.loop.time()  # the last thing that counts as a sign of life

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = transport = cast(asyncio.Transport, transport)
        if not self.owner.current(self):  # it was replaced while the connection came up
            transport.abort()
            return
        host, port = self.owner.address
        path = self.owner.path(self.owner.since)
        transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.owner.failed(self, f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self.owner.failed(self, f"answered {status}")

    def on_body(self, data: bytes) -> None:
        self.heard_at = self.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        if lines:  # half a line is no sign that more will come
            self.limit = self.owner.silence_s
        for line in lines:
            self.owner.line(self, line)
        if len(self.buffer) > LINE_BYTES:
            self.owner.failed(self, "a line without end")

    def on_message_complete(self) -> None:
        self.owner.line(self, self.buffer)
        self.owner.failed(self, "the answer ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.silence.cancel()
        self.owner.failed(self, str(exc or "closed"))
        self.transport = None
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def _silent(self) -> None:
        left = self.heard_at + self.limit - self.loop.time()
        if left > 0.01:
            self.settling = False
            self.silence = self.loop.call_later(left, self._silent)
        elif not self.settling:  # Guards a busy machine: timers run before what has come meanwhile is read
            self.settling = True
            self.silence = self.loop.call_later(SETTLE_S, self._silent)
        else:
            self.owner.failed(self, f"silent for {self.limit:g} s")

    def close(self) -> None:
        self.silence.cancel()
        if self.transport is not None:
            self.transport.abort()
