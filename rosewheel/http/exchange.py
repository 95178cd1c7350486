"""An attempt or a health check on its way, the server that it is sent to, and what both need of a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rosewheel.config.address import Address
from rosewheel.http.body import RequestBody
from rosewheel.http.load_report import LoadReport
from rosewheel.http.response_reader import ResponseSink
from rosewheel.http.upstream_detach import UpstreamDetachCallback
from rosewheel.policy.events import AttemptResult


class PooledConnection(Protocol):
    """A connection to a server, as the pool uses it; see `UpstreamConnection`."""

    endpoint: UpstreamEndpoint
    address: Address
    launched_ms: float | None
    idle_since_s: float

    @property
    def detachable(self) -> bool:
        """Whether another process could continue with its response."""

    def is_usable(self) -> bool:
        """Whether it is open and nothing was received."""

    def send(self, exchange: Exchange) -> None:
        """Send a request."""

    def release_exchange(self) -> None:
        """Report nothing more of its exchange."""

    def fail_if_write_stalled(self) -> None:
        """Fail its exchange if the server has not read from it for long."""

    def detach(self, on_detached: UpstreamDetachCallback) -> None:
        """Take it off the loop."""

    def close(self) -> None:
        """Close it at once."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt or health check.

    Attributes:
        encode_head: Returns the request's head; called right before its first byte, since it tells the time left.
        on_done: Called once with the result, the server's load report, and the body of a complete response.
        started_s: When it began, on the loop's clock.
        on_sent: Called once the last byte was written.
        on_response_started: Called with the declared length, if any, and a function that resumes the response, once a
            long response begins. Returns its sink, or None if it is no longer expected.
        is_wanted: Asked right before the first byte, if a connection had to be opened: whether the attempt may begin.
        body: The request's body.
        chunked: The body is sent in chunks.
        next_segment: Number of the next segment of the body.
        request_sent: The last byte was written: from here on the server may execute the request.
        connection: Where it is sent.
        connect_task: The task that opens a connection for it.
    """

    encode_head: Callable[[], bytes]
    on_done: Callable[[AttemptResult, LoadReport | None, bytes], None]
    started_s: float = 0.0
    on_sent: Callable[[], None] = lambda: None
    on_response_started: Callable[[int | None, Callable[[], None]], ResponseSink | None] | None = None
    is_wanted: Callable[[], bool] = lambda: True
    body: RequestBody | None = None
    chunked: bool = False
    next_segment: int = 0
    request_sent: bool = False
    connection: PooledConnection | None = None
    connect_task: asyncio.Task[None] | None = None


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """A server and its idle connections.

    Attributes:
        host: Name of the server.
        address: Where to connect.
        launched_ms: When the server started, on the monotonic clock; None if that is unknown.
        available: It may receive requests.
        idle_connections: The last used one last.
        last_received_s: When any of its connections last received anything, on the loop's clock.
    """

    host: str
    address: Address
    launched_ms: float | None
    available: bool
    idle_connections: list[PooledConnection] = field(default_factory=list)
    last_received_s: float = 0.0


class ConnectionPool(Protocol):
    """What a connection needs of the pool."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the connections."""

    def connection_opened(self) -> None:
        """A connection was opened."""

    def connection_closed(self) -> None:
        """A connection has ended, or was detached."""

    def release(self, connection: PooledConnection, /) -> None:
        """A connection is idle."""

    def remove_idle(self, connection: PooledConnection, /) -> None:
        """A connection is not idle, or about to end."""

    def record_stale(self, idle_s: float, /) -> None:
        """A connection was reset under a request after it had been idle for so long."""

    def record_rejection(self) -> None:
        """The first request on a new connection was rejected."""

    def record_invalid_response(self, reason: str, /) -> None:
        """Count an invalid response for the log."""
