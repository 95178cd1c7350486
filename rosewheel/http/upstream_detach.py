"""Detaching a connection to a server from the event loop, for another process to continue (hot restart)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from rosewheel.config.address import Address
from rosewheel.http.load_report import LoadReport


@dataclass(slots=True, eq=False)
class DetachedUpstream:
    """A connection to a server that is no longer on this process's loop.

    Attributes:
        fd: A descriptor of its socket, owned by the receiver of this object.
        state: See `UpstreamState.encode`.
    """

    fd: int
    state: dict[str, Any]


UpstreamDetachCallback = Callable[[DetachedUpstream | None], None]  # None: the connection ended meanwhile


@dataclass(slots=True, frozen=True)
class UpstreamState:
    """What another process needs to know of a connection.

    Attributes:
        host: Name of the server.
        address: Where the connection leads.
        launched_ms: When the server started, on the monotonic clock; None if that is unknown.
        idle_s: How long the connection has been idle.
        received_bytes: Of the body of a streamed response.
        missing_bytes: Still to come of it; None if that is unknown.
        chunk_prefix: What a new parser has to read first to reach the position in a chunked body.
        load_report: The server's report on its load.
    """

    host: str
    address: Address
    launched_ms: float | None
    idle_s: float
    received_bytes: int = 0
    missing_bytes: int | None = None
    chunk_prefix: bytes | None = None
    load_report: LoadReport | None = None

    def encode(self) -> dict[str, Any]:
        """The state by the keys of the messages between processes."""
        return {
            "host": self.host,
            "dial": list(self.address),
            "launched": self.launched_ms,
            "rested_s": self.idle_s,
            "size": self.received_bytes,
            "left": self.missing_bytes,
            "chunks": None if self.chunk_prefix is None else self.chunk_prefix.decode("latin-1"),
            "report": self.load_report,
        }

    @classmethod
    def decode_idle(cls, state: dict[str, Any]) -> UpstreamState:
        """The opposite of `encode`, for an idle connection.

        Raises:
            KeyError: A key is missing.
            ValueError: A value is not a number.
        """
        address = cast(Address, tuple(state["dial"]))
        return cls(state["host"], address, state["launched"], float(state["rested_s"]))

    @classmethod
    def decode_response(cls, state: dict[str, Any]) -> UpstreamState:
        """The opposite of `encode`, for a connection with a streamed response.

        Raises:
            KeyError: A key is missing.
            ValueError: A value is not a number.
        """
        missing, prefix = state["left"], state["chunks"]
        return cls(
            host=state["host"],
            address=cast(Address, tuple(state["dial"])),
            launched_ms=None,
            idle_s=0.0,
            received_bytes=int(state["size"]),
            missing_bytes=None if missing is None else int(missing),
            chunk_prefix=None if prefix is None else prefix.encode("latin-1"),
            load_report=state["report"],
        )

    def resume_head(self) -> bytes:
        """A head for the bytes that are still to come, with the beginning of a chunk if they are within one."""
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        if self.missing_bytes is not None:
            head += b"Content-Length: %d\r\n" % self.missing_bytes
        elif self.chunk_prefix is not None:
            head += b"Transfer-Encoding: chunked\r\n"
        return head + b"\r\n" + (self.chunk_prefix or b"")
