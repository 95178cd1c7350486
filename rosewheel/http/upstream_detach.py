"""State of a connection to a server that is detached and continued by another process (hot restart)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from rosewheel.config.address import Address
from rosewheel.http.load_report import LoadReport


@dataclass(slots=True, eq=False)
class DetachedUpstream:
    """A connection to a server that was removed from this process's event loop.

    Attributes:
        fd: A descriptor of its socket, owned by the receiver of this object.
        state: See `UpstreamState.encode`.
    """

    fd: int
    state: dict[str, Any]


# Receives the connection, or None if it could not be detached and was closed.
UpstreamDetachCallback = Callable[[DetachedUpstream | None], None]


@dataclass(slots=True, frozen=True)
class UpstreamState:
    """State with which another process continues a connection.

    Attributes:
        host: Name of the server.
        address: Remote address of the connection.
        launched_ms: When the server started, on the monotonic clock; None if unknown.
        idle_s: How long the connection has been idle.
        received_bytes: Number of body bytes received of a streamed response.
        missing_bytes: Number of body bytes still to come; None if unknown.
        chunk_prefix: Bytes that bring a new parser to the position in a chunked body; None if the body is not chunked.
        load_report: The server's load report, if any.
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
        """Encode the state for a message to another process."""
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
        """Decode the state of an idle connection from a message of another process.

        Raises:
            KeyError: A key is missing.
            ValueError: A value is not a number.
        """
        address = cast(Address, tuple(state["dial"]))
        return cls(state["host"], address, state["launched"], float(state["rested_s"]))

    @classmethod
    def decode_response(cls, state: dict[str, Any]) -> UpstreamState:
        """Decode the state of a connection with a streamed response from a message of another process.

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
        """Return a response head for the rest of the body, followed by `chunk_prefix` if the body is chunked."""
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        if self.missing_bytes is not None:
            head += b"Content-Length: %d\r\n" % self.missing_bytes
        elif self.chunk_prefix is not None:
            head += b"Transfer-Encoding: chunked\r\n"
        return head + b"\r\n" + (self.chunk_prefix or b"")
