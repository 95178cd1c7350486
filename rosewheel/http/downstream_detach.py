"""Detaches a client's connection from the event loop and restores it in another process (hot restart)."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_phase import RequestPhase
from rosewheel.http.response_sender import ResponseSender, ResponseSenderOwner


@dataclass(slots=True, eq=False)
class DetachedDownstream:
    """A client's connection that was removed from this process's event loop.

    Attributes:
        fd: A descriptor of its socket, owned by the receiver of this object.
        pending_bytes: The unsent bytes, followed by the received bytes of an incomplete request.
        state: See `DownstreamState.encode`.
        request: The request whose streamed response is in progress, if any.
    """

    fd: int
    pending_bytes: bytes
    state: dict[str, Any]
    request: DownstreamRequest | None


# Receives the connection, or None if it could not be detached and was closed.
DownstreamDetachCallback = Callable[[DetachedDownstream | None], None]


@dataclass(slots=True, frozen=True)
class DownstreamState:
    """State with which another process restores a connection, in addition to its pending bytes.

    Attributes:
        is_http_1_0: The last request is HTTP/1.0.
        close_after_response: The last request asks to close the connection after its response.
        response_chunked: The streamed response uses chunked encoding.
        has_sent_request: At least one complete request was received.
        closing: The connection is closed once its unsent bytes are sent.
        unsent_bytes: Number of pending bytes that are unsent; the rest were received.
    """

    is_http_1_0: bool
    close_after_response: bool
    response_chunked: bool
    has_sent_request: bool
    closing: bool
    unsent_bytes: int

    def encode(self) -> dict[str, Any]:
        """Encode the state for a message to another process."""
        return {
            "old": self.is_http_1_0,
            "last": self.close_after_response,
            "chunked": self.response_chunked,
            "asked": self.has_sent_request,
            "closing": self.closing,
            "unsent": self.unsent_bytes,
        }

    @classmethod
    def decode(cls, state: dict[str, Any]) -> DownstreamState:
        """Decode the state from a message of another process.

        Raises:
            KeyError: A key is missing.
            ValueError: `unsent` is text that is not a number.
            TypeError: `unsent` is neither a number nor text.
        """
        unsent_bytes = int(state["unsent"])
        return cls(
            is_http_1_0=bool(state["old"]),
            close_after_response=bool(state["last"]),
            response_chunked=bool(state["chunked"]),
            has_sent_request=bool(state["asked"]),
            closing=bool(state["closing"]),
            unsent_bytes=unsent_bytes,
        )


@dataclass(slots=True)
class RestoredBytes:
    """State from another process that is processed once the restored connection has a transport.

    Attributes:
        unsent: Bytes to send.
        received: Bytes of an incomplete request, to parse.
        closing: The connection is closed once the unsent bytes are sent. Also set when this process detaches it.
    """

    unsent: bytes = b""
    received: bytes = b""
    closing: bool = False


def duplicate_descriptor(transport: asyncio.Transport) -> int:
    """Duplicate the descriptor of the transport's socket; the event loop closes the original.

    Raises:
        OSError: The process has no descriptors left.
    """
    return os.dup(transport.get_extra_info("socket").fileno())


class DetachableConnection(ResponseSender):
    """A client's connection that can be detached from the event loop and restored in another process.

    Attributes:
        detach_declined: The other process refused the connection, so that it is not detached again.
    """

    __slots__ = (
        "_on_detached",
        "_restored",
        "detach_declined",
    )

    def __init__(self, server: ResponseSenderOwner) -> None:
        super().__init__(server)
        self.detach_declined = False
        self._on_detached: DownstreamDetachCallback | None = None  # set while detaching
        self._restored = RestoredBytes()

    @property
    def detachable(self) -> bool:
        """True if another process can restore the connection.

        No request may wait for the start of its response, an incomplete request has to be replayable, and the unsent
        bytes have to be buffered.
        """
        transport = self.transport
        if (
            transport is None
            or self.phase is RequestPhase.REJECTED
            or self.over_limit
            or self.detach_declined
        ):
            return False
        if self._on_detached is not None:
            return False
        if self.queued_requests or self.unparsed or self.closing_after_request:
            return False
        if self.expects_continue or self.upgrade_framing:
            return False
        if self.is_receiving and not self._partial.replayable(
            self.incoming_request, response_pending=self.active_request is not None
        ):
            return False
        if self.active_request is not None and not self.active_request.response_started:
            return False
        unsent_bytes = transport.get_write_buffer_size()
        if transport.is_closing() and not (unsent_bytes and self.active_request is None):
            return False
        return unsent_bytes <= self._unsent_writes.size

    def detach(self, on_detached: DownstreamDetachCallback) -> None:
        """Remove a detachable connection from the event loop; nothing more is read from it or written to it.

        Requires an event loop whose transports keep the unsent bytes until `connection_lost` returns, as in uvloop.

        Args:
            on_detached: Receives the connection, or None if it could not be detached and was closed.
        """
        if self.transport is None:
            on_detached(None)
            return
        self._on_detached = on_detached
        self._restored.closing = self.transport.is_closing()
        self.transport.abort()

    def _finish_detach(self, exc: Exception | None) -> bool:
        """Pass the detached connection to the callback; return False if it can't be detached.

        Called from `connection_lost`, after which the event loop closes the original descriptor.
        """
        transport, on_detached = self.transport, self._on_detached
        self._on_detached = None
        if transport is None or on_detached is None:
            return False
        unsent_bytes = transport.get_write_buffer_size()
        fd = self._duplicate_descriptor(transport, exc, unsent_bytes)
        if fd is None:
            on_detached(None)
            return False
        self.transport = None
        self._unsent.count(0)
        active, self.active_request = self.active_request, None
        state = DownstreamState(
            is_http_1_0=self.is_http_1_0,
            close_after_response=self.close_after_response,
            response_chunked=self.response_chunked,
            has_sent_request=self.has_sent_request,
            closing=self._restored.closing,
            unsent_bytes=unsent_bytes,
        )
        received = self._encode_incomplete_request()
        self.incoming_request = None
        self._held.release_all()
        self._drop_incomplete_head()
        del self.parser
        pending_bytes = self._unsent_writes.tail(unsent_bytes) + received
        on_detached(DetachedDownstream(fd, pending_bytes, state.encode(), active))
        return True

    def _duplicate_descriptor(
        self, transport: asyncio.Transport, exc: Exception | None, unsent_bytes: int
    ) -> int | None:
        if exc is not None or unsent_bytes > self._unsent_writes.size:
            return None
        try:
            return duplicate_descriptor(transport)
        except OSError:
            return None

    def _encode_incomplete_request(self) -> bytes:
        if not self.is_receiving:
            return b""
        return self._partial.encode(self.incoming_request, is_http_1_0=self.is_http_1_0)

    def restore(self, state: dict[str, Any], pending_bytes: bytes) -> None:
        """Restore the state of a detached connection, before this one has a transport.

        Args:
            state: See `DetachedDownstream`.
            pending_bytes: See `DetachedDownstream`.
        """
        decoded = DownstreamState.decode(state)
        unsent = pending_bytes[: decoded.unsent_bytes]
        self._restored = RestoredBytes(unsent, pending_bytes[len(unsent) :], decoded.closing)
        self.is_http_1_0 = decoded.is_http_1_0
        self.close_after_response = decoded.close_after_response
        self.response_chunked = decoded.response_chunked
        self.has_sent_request = decoded.has_sent_request
