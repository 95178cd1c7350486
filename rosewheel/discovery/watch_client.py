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
# that took longer than that: 4.0 and 0.2 where lists are asked for (`policy/discovery_polling.py`), 2.0 and 0 where
# they are pushed (`proxy/proxy.py`). A try includes its connection. Where the first try behind a silent watch comes to
# nothing as well, SILENCE_S + w + FIRST_S + w and twice SETTLE_S are 5.44 s, under the same 6 s from the silence on.
SILENCE_TIMEOUT_S = 2.8
CONNECT_TIMEOUT_S = 1.5  # the system tries again after 1 s
FIRST_LINE_TIMEOUT_S = 2.2  # from the start, connecting included: the agent answers at once, then every 2 s
SILENCE_RECHECK_S = (
    0.02  # what has come while this process was held up is read before a watch is called silent
)
MAX_LINE_BYTES = 4 << 20  # Guards memory against a line that never ends

JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Update = TypeVar("Update", bound=Sized)


class WatchClient(Generic[Update]):
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
        revision: int,
        path_for: Callable[[int], str],
        parse: Callable[[dict[str, Any]], Update],
        on_update: Callable[[bool, Update], None],
        on_failure: Callable[[], None],
        log: logging.Logger,
        silence_timeout_s: float | None = None,
        connect_timeout_s: float | None = None,
        first_line_timeout_s: float | None = None,
        on_first_line: Callable[[], None] = lambda: None,
    ) -> None:
        self.address, self.revision, self.path_for, self.log = address, revision, path_for, log
        self.silence_timeout_s = SILENCE_TIMEOUT_S if silence_timeout_s is None else silence_timeout_s
        self.connect_timeout_s = CONNECT_TIMEOUT_S if connect_timeout_s is None else connect_timeout_s
        self.first_line_timeout_s = (
            FIRST_LINE_TIMEOUT_S if first_line_timeout_s is None else first_line_timeout_s
        )
        self.started_s = 0.0  # when the last watch was begun
        self._parse, self._on_update, self._on_failure, self._on_first_line = (
            parse,
            on_update,
            on_failure,
            on_first_line,
        )
        self._last_failure = ""  # why the last one ended, if nothing was heard since
        self._connection: _WatchConnection | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.close()
        self.started_s = asyncio.get_running_loop().time()
        self._connection = watch = _WatchConnection(self)
        self._task = asyncio.get_running_loop().create_task(self._connect(watch))

    def change_address(self, address: Address) -> None:
        """Another address of the same service from now on: it counts changes alike, so the next watch goes on
        from here. Nothing more is heard of the one on the old address."""
        self.close()
        self.address = address

    def close(self) -> None:
        watch, self._connection = self._connection, None
        if self._task is not None:
            self._task.cancel()
        if watch is not None:
            watch.close()

    @property
    def is_open(self) -> bool:
        return self._connection is not None

    def is_current(self, watch: _WatchConnection) -> bool:
        return watch is self._connection

    async def _connect(self, watch: _WatchConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            self.connection_failed(watch, f"no connection: {error or 'timed out'}")

    def connection_failed(self, watch: _WatchConnection, why: str) -> None:
        if watch is self._connection:
            self._connection = None
            watch.close()
            if (
                why != self._last_failure
            ):  # Guards the log: while there is no discovery a try follows the other
                self.log.info("the watch ended: %s", why)
            self._last_failure = why
            self._on_failure()

    def line_received(self, watch: _WatchConnection, text: bytes) -> None:
        if watch is not self._connection:
            return
        if watch.partial_lines:
            # An object may be indented, and so go over several lines; it is whole where its brackets are.
            watch.partial_bytes += len(text)
            if not text.strip() or watch.partial_bytes > MAX_LINE_BYTES:
                self.connection_failed(watch, f"cut short: {watch.partial_lines[0][:200]!r}")
                return
            watch.partial_lines.append(text)
            if (opens := _unclosed_brackets(text)) is not None and watch.unclosed_brackets + opens > 0:
                watch.unclosed_brackets += opens
                return
            # Not before: a long list would be read again from its beginning at each of its lines.
            text, watch.partial_lines = b"\n".join(watch.partial_lines), []
        elif not text.strip():
            self._first_line_received(watch)
            return
        try:
            row = orjson.loads(text)
            if not isinstance(row, dict):
                raise TypeError("not an object")
            seq, whole, told = int(row["seq"]), bool(row.get("whole")), self._parse(row)
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            opens = _unclosed_brackets(text) if text.lstrip().startswith(b"{") else None
            if isinstance(error, orjson.JSONDecodeError) and opens is not None and opens > 0:
                watch.partial_lines, watch.unclosed_brackets, watch.partial_bytes = [text], opens, len(text)
                return
            # What was changed is not known, so the next watch has to begin where this one still made sense.
            self.connection_failed(watch, f"not what was asked for: {error}: {text[:200]!r}")
            return
        self._first_line_received(watch)
        if seq < self.revision and not whole:
            # Guards against a service that has begun to count anew: what it left out is not known.
            self.revision = 0
            self.connection_failed(watch, f"it counts from {seq}")
            return
        if not watch.update_received:
            watch.update_received = True
            form = "whole" if whole else "changes"
            self.log.info("told from %d to %d: %s, %d entries", self.revision, seq, form, len(told))
        self.revision, self._last_failure = seq, ""
        self._on_update(whole, told)

    def _first_line_received(self, watch: _WatchConnection) -> None:
        if not watch.first_line_seen:
            watch.first_line_seen = True
            self._on_first_line()


def _unclosed_brackets(text: bytes) -> int | None:
    """How many more brackets this opens than it closes; None where a string is cut: no line's end stands within one."""
    bare = JSON_STRING.sub(b"", text)
    if b'"' in bare:
        return None
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class _WatchConnection(asyncio.Protocol):
    def __init__(self, owner: WatchClient[Any]) -> None:
        self.owner = owner
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.partial_lines: list[
            bytes
        ] = []  # of an object that goes over several lines, those that have come,
        self.unclosed_brackets = self.partial_bytes = (
            0  # the brackets that are open behind them, and their bytes
        )
        self.update_received = self.first_line_seen = self.rechecking = False
        self.loop = asyncio.get_running_loop()
        self.silence_limit_s = owner.first_line_timeout_s  # how long it may be silent
        self._silence_timer = self.loop.call_later(self.silence_limit_s, self._check_silence)
        self.last_received_s = self.loop.time()  # the last thing that counts as a sign of life

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A cast: the transports of uvloop are none of asyncio's classes.
        self.transport = transport = cast(asyncio.Transport, transport)
        if not self.owner.is_current(self):  # it was replaced while the connection came up
            transport.abort()
            return
        host, port = self.owner.address
        path = self.owner.path_for(self.owner.revision)
        transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.owner.connection_failed(self, f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self.owner.connection_failed(self, f"answered {status}")

    def on_body(self, data: bytes) -> None:
        self.last_received_s = self.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        if lines:  # half a line is no sign that more will come
            self.silence_limit_s = self.owner.silence_timeout_s
        for line in lines:
            self.owner.line_received(self, line)
        if len(self.buffer) > MAX_LINE_BYTES:
            self.owner.connection_failed(self, "a line without end")

    def on_message_complete(self) -> None:
        self.owner.line_received(self, self.buffer)
        self.owner.connection_failed(self, "the answer ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self._silence_timer.cancel()
        self.owner.connection_failed(self, str(exc or "closed"))
        self.transport = None
        # Guards memory: the parser and this object hold one another, and the collector comes seldom.
        del self.parser

    def _check_silence(self) -> None:
        left = self.last_received_s + self.silence_limit_s - self.loop.time()
        if left > 0.01:
            self.rechecking = False
            self._silence_timer = self.loop.call_later(left, self._check_silence)
        elif not self.rechecking:  # Guards a busy machine: timers run before what has come meanwhile is read
            self.rechecking = True
            self._silence_timer = self.loop.call_later(SILENCE_RECHECK_S, self._check_silence)
        else:
            self.owner.connection_failed(self, f"silent for {self.silence_limit_s:g} s")

    def close(self) -> None:
        self._silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
