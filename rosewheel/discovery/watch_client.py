"""Client of a watch: an HTTP/1.1 response that stays open and has one JSON object per line.

A watch that ended is continued by a new one, from the last valid revision. The user of the client parses the objects:
the endpoint list (`endpoint_list.py`) or the configuration of a control machine.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Sized
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Generic, TypeVar, cast

import httptools
import orjson

from rosewheel.config.address import Address

# Discovery sends an empty line every 2 s. A node has to receive a change within 6 s of the time at which discovery has
# it and can be reached, whatever failed before. At that time the node has an open but silent watch, is opening one, or
# waits before it opens the next one. Unless the next watch fails too, the change is received after at most
#
#     max(SILENCE_TIMEOUT_S + backoff, FIRST_LINE_TIMEOUT_S + backoff, interval) + SILENCE_RECHECK_S + a round trip
#
# - `interval` is the longest time between the starts of two watches: 4.0 s if the list is polled
#   (`policy/discovery_polling.py`), 2.0 s if it is pushed (`discovery/backoff.py`).
# - `backoff` is the longest wait after a watch that lasted longer than `interval`: 0.2 s if polled, 0 if pushed.
#
# If the watch after a silent one fails too, the sum SILENCE_TIMEOUT_S + FIRST_LINE_TIMEOUT_S + 2 * backoff +
# 2 * SILENCE_RECHECK_S = 5.44 s is also below 6 s.
SILENCE_TIMEOUT_S = 2.8  # time without data after which a watch fails
CONNECT_TIMEOUT_S = 1.5  # allows for one retransmission, after 1 s
FIRST_LINE_TIMEOUT_S = 2.2  # connecting included; discovery sends a line at once, then every 2 s
SILENCE_RECHECK_S = 0.02  # extra time for a stalled process to read received data before a watch fails
TIMER_TOLERANCE_S = 0.01  # remaining time up to which a silence timeout counts as expired
MAX_LINE_BYTES = 4 << 20  # limit of memory for a line, or for an object of several lines
MAX_LOGGED_BYTES = 200  # length of the part of an invalid line that is logged

JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Update = TypeVar("Update", bound=Sized)


class WatchPhase(Enum):
    """What a watch has received so far."""

    OPENING = auto()  # no valid line
    ALIVE = auto()  # a valid line, possibly empty
    UPDATED = auto()  # a valid object


@dataclass(slots=True, frozen=True)
class _Message(Generic[Update]):
    """One parsed object of a watch."""

    revision: int
    is_snapshot: bool
    update: Update


class WatchClient(Generic[Update]):
    """Client that keeps at most one watch open.

    The end of each watch is reported by exactly one call of `on_failure`, unless `close` or `start` ended it.

    Attributes:
        address: Address of the service.
        revision: Revision of the last valid object; the next watch starts after it.
        path_for: Returns the request target of a watch that starts after a revision.
        log: Logger of updates and failures.
        subject: Name of the watched resource in the log.
        silence_timeout_s: Time that a watch may receive nothing.
        connect_timeout_s: Time that opening a connection may take.
        first_line_timeout_s: Time that a watch may take to its first line, connecting included.
        started_s: When the last watch was started, on the loop's clock.
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
        subject: str = "configuration",
        silence_timeout_s: float | None = None,
        connect_timeout_s: float | None = None,
        first_line_timeout_s: float | None = None,
        on_first_line: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a client without a watch. For other arguments see the attributes; None selects a default timeout.

        Args:
            address: Address of the service.
            revision: Revision of the current data; 0 if there is none.
            path_for: Returns the request target of a watch that starts after a revision.
            parse: Converts an object into an update. Raises KeyError, TypeError, ValueError or OverflowError if the
                object is invalid.
            on_update: Called with True for a snapshot or False for changes, and with the update.
            on_failure: Called once for each watch that has ended.
            on_first_line: Called for the first valid line of each watch; the line may be empty.
        """
        self.address, self.revision = address, revision
        self.path_for, self.log, self.subject = path_for, log, subject
        self.silence_timeout_s = SILENCE_TIMEOUT_S if silence_timeout_s is None else silence_timeout_s
        self.connect_timeout_s = CONNECT_TIMEOUT_S if connect_timeout_s is None else connect_timeout_s
        self.first_line_timeout_s = (
            FIRST_LINE_TIMEOUT_S if first_line_timeout_s is None else first_line_timeout_s
        )
        self.started_s = 0.0
        self._parse, self._on_update = parse, on_update
        self._on_failure, self._on_first_line = on_failure, on_first_line
        self._last_failure = ""  # reason of the last failure; empty once an update has been received
        self._connection: _WatchConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open a watch; it replaces one that is open."""
        self.close()
        loop = asyncio.get_running_loop()
        self.started_s = loop.time()
        self._connection = connection = _WatchConnection(self)
        self._connect_task = loop.create_task(self._connect(connection))

    def change_address(self, address: Address) -> None:
        """Close the watch and use another address of the same service, which has the same revisions."""
        self.close()
        self.address = address

    def close(self) -> None:
        """Close the watch without a call of `on_failure`."""
        connection, self._connection = self._connection, None
        if self._connect_task is not None:
            self._connect_task.cancel()
        if connection is not None:
            connection.close()

    @property
    def is_open(self) -> bool:
        """True if a watch is open or being opened."""
        return self._connection is not None

    # Called by the connection.

    def is_current(self, connection: _WatchConnection) -> bool:
        """Return True if this is the connection of the open watch."""
        return connection is self._connection

    def connection_failed(self, connection: _WatchConnection, reason: str) -> None:
        """End the watch of this connection, unless the watch is no longer the current one."""
        if connection is not self._connection:
            return
        self._connection = None
        connection.close()
        # A repeated reason is not logged: an outage would fill the log.
        if reason != self._last_failure:
            self.log.info("%s watch ended: reason=%s", self.subject, reason)
        self._last_failure = reason
        self._on_failure()

    def line_received(self, connection: _WatchConnection, text: bytes) -> None:
        """Process a line; ignored unless it belongs to the current watch."""
        if connection is not self._connection:
            return
        if connection.partial_lines:
            joined = self._join_partial(connection, text)
            if joined is None:
                return
            text = joined
        elif not text.strip():
            self._first_line_received(connection)
            return
        message = self._parse_line(connection, text)
        if message is None:
            return
        self._first_line_received(connection)
        if message.revision < self.revision and not message.is_snapshot:
            # The service restarted its count of revisions, so its changes do not follow the current data.
            self.revision = 0
            self.connection_failed(connection, f"revision decreased to {message.revision}")
            return
        self._apply(connection, message)

    def _join_partial(self, connection: _WatchConnection, text: bytes) -> bytes | None:
        """Append a line to an object of several lines, which is complete once its brackets are closed.

        Returns:
            The text of the object; None if it is incomplete, or if the watch has failed.
        """
        connection.partial_bytes += len(text)
        if not text.strip() or connection.partial_bytes > MAX_LINE_BYTES:
            prefix = connection.partial_lines[0][:MAX_LOGGED_BYTES]
            self.connection_failed(connection, f"incomplete or too long object: {prefix!r}")
            return None
        connection.partial_lines.append(text)
        unclosed = _unclosed_brackets(text)
        if unclosed is not None and connection.unclosed_brackets + unclosed > 0:
            connection.unclosed_brackets += unclosed
            return None
        # Only a complete object is parsed: to parse it after every line would take quadratic time.
        lines, connection.partial_lines = connection.partial_lines, []
        return b"\n".join(lines)

    def _parse_line(self, connection: _WatchConnection, text: bytes) -> _Message[Update] | None:
        """Return the object of a line; None if it continues on the next line, or if the watch has failed."""
        try:
            fields = orjson.loads(text)
            if not isinstance(fields, dict):
                raise TypeError("not an object")
            return _Message(int(fields["seq"]), bool(fields.get("whole")), self._parse(fields))
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            unclosed = _unclosed_brackets(text) if text.lstrip().startswith(b"{") else None
            if isinstance(error, orjson.JSONDecodeError) and unclosed is not None and unclosed > 0:
                connection.partial_lines = [text]
                connection.unclosed_brackets, connection.partial_bytes = unclosed, len(text)
                return None
            # The invalid object may hold a change, so the next watch continues from the last valid one.
            self.connection_failed(connection, f"invalid object: {error}: {text[:MAX_LOGGED_BYTES]!r}")
            return None

    def _apply(self, connection: _WatchConnection, message: _Message[Update]) -> None:
        if connection.phase is not WatchPhase.UPDATED:
            connection.phase = WatchPhase.UPDATED
            self.log.info(
                "%s updated: revision %d -> %d, form=%s, entries=%d",
                self.subject,
                self.revision,
                message.revision,
                "snapshot" if message.is_snapshot else "delta",
                len(message.update),
            )
        self.revision, self._last_failure = message.revision, ""
        self._on_update(message.is_snapshot, message.update)

    def _first_line_received(self, connection: _WatchConnection) -> None:
        if connection.phase is WatchPhase.OPENING:
            connection.phase = WatchPhase.ALIVE
            self._on_first_line()

    async def _connect(self, connection: _WatchConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError) as error:
            self.connection_failed(connection, f"connect failed: {error or 'timed out'}")


def _unclosed_brackets(text: bytes) -> int | None:
    """Return how many more brackets a line opens than it closes; None if it ends within a string, which is invalid."""
    unquoted = JSON_STRING.sub(b"", text)
    if b'"' in unquoted:
        return None
    return unquoted.count(b"{") + unquoted.count(b"[") - unquoted.count(b"}") - unquoted.count(b"]")


class _WatchConnection(asyncio.Protocol):
    """Connection of one watch.

    Attributes:
        owner: The client that opened it.
        parser: Parser of the HTTP response.
        transport: The open connection; None before and after.
        buffer: Data of a line that is not complete yet.
        partial_lines: Lines received so far of an object of several lines.
        unclosed_brackets: Number of brackets in `partial_lines` that are still open.
        partial_bytes: Size of `partial_lines`.
        phase: What has been received so far.
        rechecking: The silence timeout has expired, and data that was received meanwhile is being read.
        silence_limit_s: Time that the watch may receive nothing at present.
        last_received_s: When data was last received, on the loop's clock.
    """

    def __init__(self, owner: WatchClient[Any]) -> None:
        self.owner = owner
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.partial_lines: list[bytes] = []
        self.unclosed_brackets = self.partial_bytes = 0
        self.phase = WatchPhase.OPENING
        self.rechecking = False
        self.loop = asyncio.get_running_loop()
        self.silence_limit_s = owner.first_line_timeout_s
        self._silence_timer = self.loop.call_later(self.silence_limit_s, self._check_silence)
        self.last_received_s = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        # A cast, because uvloop's transports are not subclasses of asyncio's.
        self.transport = transport = cast(asyncio.Transport, transport)
        if not self.owner.is_current(self):  # the watch was closed or replaced while connecting
            transport.abort()
            return
        host, port = self.owner.address
        path = self.owner.path_for(self.owner.revision)
        transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.owner.connection_failed(self, f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        """End the watch if its status is not 200. Called by the parser."""
        status = self.parser.get_status_code()
        if status != 200:
            self.owner.connection_failed(self, f"HTTP status {status}")

    def on_body(self, data: bytes) -> None:
        """Split the body into lines. Called by the parser."""
        self.last_received_s = self.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        if lines:  # an incomplete line does not end the timeout for the first line
            self.silence_limit_s = self.owner.silence_timeout_s
        for line in lines:
            self.owner.line_received(self, line)
        if len(self.buffer) > MAX_LINE_BYTES:
            self.owner.connection_failed(self, f"line longer than {MAX_LINE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """End the watch: its response is complete, which is not expected. Called by the parser."""
        self.owner.line_received(self, self.buffer)
        self.owner.connection_failed(self, "response ended by the service")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, because its connection is closed."""
        self._silence_timer.cancel()
        self.owner.connection_failed(self, str(exc or "connection closed"))
        self.transport = None
        # Breaks the reference cycle with the parser, because the garbage collector runs rarely.
        del self.parser

    def _check_silence(self) -> None:
        remaining_s = self.last_received_s + self.silence_limit_s - self.loop.time()
        if remaining_s > TIMER_TOLERANCE_S:
            self.rechecking = False
            self._silence_timer = self.loop.call_later(remaining_s, self._check_silence)
        elif not self.rechecking:
            # After a stall of the process, timers run before received data is read.
            self.rechecking = True
            self._silence_timer = self.loop.call_later(SILENCE_RECHECK_S, self._check_silence)
        else:
            self.owner.connection_failed(self, f"no data received for {self.silence_limit_s:g} s")

    def close(self) -> None:
        """Close the connection at once."""
        self._silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
