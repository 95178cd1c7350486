"""A client of watches: one open HTTP/1.1 response with a JSON object in each line.

A watch that ended is opened again from the last revision that was valid. What the objects contain is up to the user of
the client: the endpoint list (`endpoint_list.py`), and the configuration of control.
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

# An empty line is received every 2 s. A change has to be known 6 s after discovery had it and could be reached,
# whatever failed until then. At that moment a watch is open and silent, is being opened, or its backoff runs. In each
# case the change is known after at most
#
#     max(SILENCE_TIMEOUT_S + w, FIRST_LINE_TIMEOUT_S + w, apart) + SILENCE_RECHECK_S, and a round trip
#
# where `apart` is the longest time between the starts of two watches, and `w` the longest backoff after a watch that
# took longer than that: 4.0 and 0.2 where the list is polled (`policy/discovery_polling.py`), 2.0 and 0 where it is
# pushed (`proxy/proxy.py`). Opening includes the connection. If the first watch after a silent one fails as well,
# SILENCE_TIMEOUT_S + w + FIRST_LINE_TIMEOUT_S + w and twice SILENCE_RECHECK_S are 5.44 s, under the same 6 s.
SILENCE_TIMEOUT_S = 2.8
CONNECT_TIMEOUT_S = 1.5  # the operating system sends again after 1 s
FIRST_LINE_TIMEOUT_S = 2.2  # from the start, connecting included: the agent answers at once, then every 2 s
SILENCE_RECHECK_S = 0.02  # in it, data received while the process was held up is read before a watch fails
TIMER_TOLERANCE_S = 0.01  # a silence that ends this soon has ended
MAX_LINE_BYTES = 4 << 20  # guards memory
MAX_LOGGED_BYTES = 200  # of an invalid line

JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

Update = TypeVar("Update", bound=Sized)


class WatchPhase(Enum):
    """What an open watch has received."""

    OPENING = auto()  # nothing valid
    ALIVE = auto()  # a valid line, which may have been empty
    UPDATED = auto()  # a valid object


@dataclass(slots=True, frozen=True)
class _Message(Generic[Update]):
    """One object of a watch."""

    revision: int
    is_snapshot: bool
    update: Update


class WatchClient(Generic[Update]):
    """Opens watches, one at a time.

    Each watch ends in exactly one call of `on_failure`, unless it is closed or replaced by a newer one.

    Attributes:
        address: Of the service.
        revision: Of the last valid object; the next watch begins behind it.
        path_for: The target of a watch that begins behind a revision.
        log: Where updates and failures are logged.
        subject: What is watched, for the log.
        silence_timeout_s: How long a watch may receive nothing.
        connect_timeout_s: How long a connection may take.
        first_line_timeout_s: How long a watch may take to its first line, connecting included.
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
        """Create a client without a watch. Timeouts that are None have their defaults; for the others see above.

        Args:
            address: Of the service.
            revision: Of what is known so far; 0 for nothing.
            path_for: The target of a watch that begins behind a revision.
            parse: Makes an update of an object. It raises KeyError, TypeError, ValueError or OverflowError if that is
                invalid.
            on_update: Called with whether it is a snapshot, and the update.
            on_failure: Called once when a watch has ended.
            on_first_line: Called for the first valid line of each watch, which may be empty.
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
        self._last_failure = ""  # reason, until an update is received
        self._connection: _WatchConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open a watch, in place of the one that is open."""
        self.close()
        loop = asyncio.get_running_loop()
        self.started_s = loop.time()
        self._connection = connection = _WatchConnection(self)
        self._connect_task = loop.create_task(self._connect(connection))

    def change_address(self, address: Address) -> None:
        """Use another address of the same service, with the same revisions; the watch is closed."""
        self.close()
        self.address = address

    def close(self) -> None:
        """Close the watch; nothing more is reported of it."""
        connection, self._connection = self._connection, None
        if self._connect_task is not None:
            self._connect_task.cancel()
        if connection is not None:
            connection.close()

    @property
    def is_open(self) -> bool:
        """Whether a watch is open, or being opened."""
        return self._connection is not None

    # ----------------------------------------------------------------------------------- reports of the connection

    def is_current(self, connection: _WatchConnection) -> bool:
        """Whether this is the connection of the open watch."""
        return connection is self._connection

    def connection_failed(self, connection: _WatchConnection, reason: str) -> None:
        """End the watch, if it is the current one."""
        if connection is not self._connection:
            return
        self._connection = None
        connection.close()
        if (
            reason != self._last_failure
        ):  # guards the log: while there is no discovery, one failure follows the other
            self.log.info("%s watch ended: reason=%s", self.subject, reason)
        self._last_failure = reason
        self._on_failure()

    def line_received(self, connection: _WatchConnection, text: bytes) -> None:
        """Process a line of the current watch."""
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
            # Guards against a service that counts from the start again: what it left out is not known.
            self.revision = 0
            self.connection_failed(connection, f"revision went back to {message.revision}")
            return
        self._apply(connection, message)

    def _join_partial(self, connection: _WatchConnection, text: bytes) -> bytes | None:
        """The object whose lines were received so far; None if it is incomplete, or the watch has failed.

        An object may be indented, and so have several lines. It is complete once its brackets are closed.
        """
        connection.partial_bytes += len(text)
        if not text.strip() or connection.partial_bytes > MAX_LINE_BYTES:
            beginning = connection.partial_lines[0][:MAX_LOGGED_BYTES]
            self.connection_failed(connection, f"incomplete object: {beginning!r}")
            return None
        connection.partial_lines.append(text)
        unclosed = _unclosed_brackets(text)
        if unclosed is not None and connection.unclosed_brackets + unclosed > 0:
            connection.unclosed_brackets += unclosed
            return None
        # Parsed only now: a long list would be parsed again from its beginning with each of its lines.
        lines, connection.partial_lines = connection.partial_lines, []
        return b"\n".join(lines)

    def _parse_line(self, connection: _WatchConnection, text: bytes) -> _Message[Update] | None:
        """The object of a line; None if it continues in the next one, or the watch has failed."""
        try:
            row = orjson.loads(text)
            if not isinstance(row, dict):
                raise TypeError("not an object")
            return _Message(int(row["seq"]), bool(row.get("whole")), self._parse(row))
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            unclosed = _unclosed_brackets(text) if text.lstrip().startswith(b"{") else None
            if isinstance(error, orjson.JSONDecodeError) and unclosed is not None and unclosed > 0:
                connection.partial_lines = [text]
                connection.unclosed_brackets, connection.partial_bytes = unclosed, len(text)
                return None
            # What was changed is unknown, so the next watch has to begin behind the last valid object.
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
            self.connection_failed(connection, f"no connection: {error or 'timed out'}")


def _unclosed_brackets(text: bytes) -> int | None:
    """How many brackets a line opens more than it closes; None if a string is cut off, which no line end may do."""
    bare = JSON_STRING.sub(b"", text)
    if b'"' in bare:
        return None
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class _WatchConnection(asyncio.Protocol):
    """The connection of one watch.

    Attributes:
        partial_lines: Lines received of an object that has several.
        unclosed_brackets: Of these lines.
        partial_bytes: Size of these lines.
        phase: What was received so far.
        rechecking: The silence timeout has passed, and what was received meanwhile is being read.
        silence_limit_s: How long it may receive nothing.
        last_received_s: When something was last received, on the loop's clock.
    """

    def __init__(self, owner: WatchClient[Any]) -> None:
        self.owner = owner
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = b""  # of an incomplete line
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
        # A cast: the transports of uvloop do not derive from asyncio's classes.
        self.transport = transport = cast(asyncio.Transport, transport)
        if not self.owner.is_current(self):  # it was replaced while the connection was being opened
            transport.abort()
            return
        host, port = self.owner.address
        path = self.owner.path_for(self.owner.revision)
        transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Parse what was received."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.owner.connection_failed(self, f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        """Callback of the parser."""
        status = self.parser.get_status_code()
        if status != 200:
            self.owner.connection_failed(self, f"status {status}")

    def on_body(self, data: bytes) -> None:
        """Callback of the parser: split the body into lines."""
        self.last_received_s = self.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        if lines:  # a part of a line does not show that more will follow
            self.silence_limit_s = self.owner.silence_timeout_s
        for line in lines:
            self.owner.line_received(self, line)
        if len(self.buffer) > MAX_LINE_BYTES:
            self.owner.connection_failed(self, "line too long")

    def on_message_complete(self) -> None:
        """Callback of the parser: a watch never ends by itself."""
        self.owner.line_received(self, self.buffer)
        self.owner.connection_failed(self, "response ended")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        self._silence_timer.cancel()
        self.owner.connection_failed(self, str(exc or "closed"))
        self.transport = None
        # Guards memory: the parser and this object refer to one another, and the collector runs rarely.
        del self.parser

    def _check_silence(self) -> None:
        left_s = self.last_received_s + self.silence_limit_s - self.loop.time()
        if left_s > TIMER_TOLERANCE_S:
            self.rechecking = False
            self._silence_timer = self.loop.call_later(left_s, self._check_silence)
        elif (
            not self.rechecking
        ):  # guards a busy machine: timers run before what was received meanwhile is read
            self.rechecking = True
            self._silence_timer = self.loop.call_later(SILENCE_RECHECK_S, self._check_silence)
        else:
            self.owner.connection_failed(self, f"silent for {self.silence_limit_s:g} s")

    def close(self) -> None:
        """Close the connection at once."""
        self._silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
