"""Attempts and health checks in progress, their servers, and the interfaces of connections and of their pool."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rosewheel.config.address import Address
from rosewheel.http.body import RequestBody
from rosewheel.http.load_report import LoadReport
from rosewheel.http.response_reader import ResponseSink
from rosewheel.http.upstream_detach import UpstreamDetachCallback
from rosewheel.node.memory_account import MemoryAccount
from rosewheel.policy.events import AttemptResult


class PooledConnection(Protocol):
    """Interface of a connection to a server, as the pool uses it; see `UpstreamConnection`."""

    endpoint: UpstreamEndpoint
    address: Address
    launched_ms: float | None
    idle_since_s: float

    @property
    def detachable(self) -> bool:
        """True if another process can continue with its streamed response."""

    def is_usable(self) -> bool:
        """Return whether it is open and nothing was received on it."""

    def send(self, exchange: Exchange) -> None:
        """Send a request."""

    def release_exchange(self) -> None:
        """Stop reporting on its exchange."""

    def fail_if_write_stalled(self) -> None:
        """Fail its exchange if the server has stopped reading the request."""

    def detach(self, on_detached: UpstreamDetachCallback) -> None:
        """Remove it from the event loop, so that another process can continue with it."""

    def close(self) -> None:
        """Close it at once, and discard its unsent bytes."""


@dataclass(slots=True, frozen=True)
class AttemptChecks:
    """What a connection asks about an attempt while it is in progress.

    Attributes:
        is_wanted: Returns whether the request may still be sent; called after a connection was opened for it.
        time_left_ms: Returns the time left to the attempt in milliseconds.
        may_repeat: Returns whether the request could be sent again if this attempt failed.
    """

    is_wanted: Callable[[], bool] = lambda: True
    time_left_ms: Callable[[], float] = lambda: math.inf
    may_repeat: Callable[[], bool] = lambda: True


UNCHECKED = AttemptChecks()


@dataclass(slots=True, eq=False)
class Exchange:
    """An attempt or health check in progress.

    Attributes:
        encode_head: Returns the head of the request; called right before it is written, as it contains the
            remaining time.
        on_done: Called once with the result, the server's load report, and the body of a complete response.
        started_s: When the exchange started, on the loop's clock.
        on_sent: Called when the last byte of the request was written.
        on_response_started: Called when the response has to be streamed, with its declared length, if any, and a
            function that resumes the response. Returns the sink, or None if the response is no longer expected.
        checks: What the connection asks about the attempt while it is in progress.
        body: The body of the request, if any.
        chunked: The body is sent in chunked encoding.
        next_segment: Index of the next segment of the body to send.
        request_sent: The last byte was written, so the server may execute the request.
        connection: The connection on which the request is sent.
        connect_task: The task that opens a connection for it.
    """

    encode_head: Callable[[], bytes]
    on_done: Callable[[AttemptResult, LoadReport | None, bytes], None]
    started_s: float = 0.0
    on_sent: Callable[[], None] = lambda: None
    on_response_started: Callable[[int | None, Callable[[], None]], ResponseSink | None] | None = None
    checks: AttemptChecks = UNCHECKED
    body: RequestBody | None = None
    chunked: bool = False
    next_segment: int = 0
    request_sent: bool = False
    connection: PooledConnection | None = None
    connect_task: asyncio.Task[None] | None = None

    @property
    def can_stream(self) -> bool:
        """True if the response may be passed on before it is complete."""
        return self.request_sent and self.on_response_started is not None


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """A server and its idle connections.

    Attributes:
        host: Name of the server.
        address: Address to connect to.
        launched_ms: When the server started, on the monotonic clock; None if unknown.
        available: The server may receive requests.
        idle_connections: Its idle connections, the most recently used last.
        last_received_s: When any of its connections last received bytes, on the loop's clock.
    """

    host: str
    address: Address
    launched_ms: float | None
    available: bool
    idle_connections: list[PooledConnection] = field(default_factory=list)
    last_received_s: float = 0.0


class ConnectionPool(Protocol):
    """Interface of the pool, as its connections use it."""

    @property
    def memory(self) -> MemoryAccount:
        """The memory of the process."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the connections."""

    def connection_opened(self) -> None:
        """Count an opened connection."""

    def connection_closed(self) -> None:
        """Stop counting a connection that was closed or detached."""

    def release(self, connection: PooledConnection, /) -> None:
        """Return a connection to the pool once it is idle."""

    def remove_idle(self, connection: PooledConnection, /) -> None:
        """Remove a connection from the idle ones, if it is idle."""

    def record_stale(self, idle_s: float, /) -> None:
        """Record that a request on a connection was reset after the connection had been idle for `idle_s`."""

    def record_rejection(self) -> None:
        """Record that the server rejected the first request on a new connection."""

    def record_forwarded(self, server: str, /) -> None:
        """Record that a response of unknown length is passed on before it is complete."""

    def record_invalid_response(self, reason: str, /) -> None:
        """Count an invalid response for the next log line."""
