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

# An empty line comes every 2 s. What a silent watch has to tell counts as told 6 s after it fell silent, heard or not:
# by then it must have been noticed, and another one opened and heard. Where lists are asked for a call costs the one
# service something, so two lines have to be missed; where they are pushed it is free, and after one there is time left
# for a second try that is silent as well.
SILENCE_S = 4.5
SILENCE_PUSHED_S = 3.2
CONNECT_S = 2.0
FIRST_S = 2.5  # the agent answers at once, and says something every 2 s
LINE_BYTES = 4 << 20  # Guards memory against a line that never ends

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Told = TypeVar("Told", bound=Sized)


class Watcher(Generic[Told]):
    """Opens a watch when told to; each one ends in exactly one `failed`, unless a newer one replaces it.

    `path` gives what is asked for, by the count of the last object that made sense. `read` makes of an object what
    `take` is then given, with whether it is the whole; it raises KeyError, TypeError, ValueError or OverflowError for
    one that is none. `silence_s` is how long a watch may say nothing, in seconds, `connect_s` how long a connection may
    take, `first_s` how long it all may take to the first byte of what is told.
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
        silence_s: float = SILENCE_S,
        connect_s: float | None = None,
        first_s: float | None = None,
    ) -> None:
        self.address, self.since, self.path, self.log = address, since, path, log
        self.silence_s = silence_s
        self.connect_s = CONNECT_S if connect_s is None else connect_s
        self.first_s = FIRST_S if first_s is None else first_s
        self.opened_s = 0.0  # when the last watch was begun
        self._read, self._take, self._failed = read, take, failed
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
            if not text.strip() or len(watch.half) > LINE_BYTES:
                self.failed(watch, f"cut short: {watch.half[:200]!r}")
                return
            text, watch.half = watch.half + b"\n" + text, b""
        elif not text.strip():
            return
        try:
            row = orjson.loads(text)
            if not isinstance(row, dict):
                raise TypeError("not an object")
            seq, whole, told = int(row["seq"]), bool(row.get("whole")), self._read(row)
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            if isinstance(error, orjson.JSONDecodeError) and _goes_on(text):
                watch.half = text
                return
            # What was changed is not known, so the next watch has to begin where this one still made sense.
            self.failed(watch, f"not what was asked for: {error}: {text[:200]!r}")
            return
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


def _goes_on(text: bytes) -> bool:
    """Whether this is the beginning of an object whose end may be in the lines that follow."""
    if not text.lstrip().startswith(b"{"):
        return False
    bare = STRING.sub(b"", text)
    opens = bare.count(b"{") + bare.count(b"[")
    # A string that is not closed here was cut: no line's end stands within one.
    return b'"' not in bare and opens > bare.count(b"}") + bare.count(b"]")


class _Watch(asyncio.Protocol):
    def __init__(self, owner: Watcher[Any]) -> None:
        self.owner = owner
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.half = b""  # of an object that goes over several lines, those that have come
        self.told = False
        self.loop = asyncio.get_running_loop()
        self.limit = owner.first_s  # how long it may be silent
        self.silence = self.loop.call_later(self.limit, self._silent)
        self.heard_at = self.loop.time()

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
        self.heard_at = self.loop.time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.owner.failed(self, f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self.owner.failed(self, f"answered {status}")

    def on_body(self, data: bytes) -> None:
        self.limit = self.owner.silence_s
        *lines, self.buffer = (self.buffer + data).split(b"\n")
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
            self.silence = self.loop.call_later(left, self._silent)
        else:
            self.owner.failed(self, f"silent for {self.limit:g} s")

    def close(self) -> None:
        self.silence.cancel()
        if self.transport is not None:
            self.transport.abort()
