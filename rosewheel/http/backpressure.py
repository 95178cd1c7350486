"""Backpressure on a client: when its input is read, and when the time of an unread upload is over."""

from __future__ import annotations

from rosewheel.http import connection_close
from rosewheel.http.downstream_detach import DetachableConnection
from rosewheel.http.input_clock import MAX_UNREAD_WITH_SPACE_BYTES
from rosewheel.http.reading import SMALL_READ_BYTES
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.response_sender import ResponseSenderOwner
from rosewheel.http.turns import TurnQuota
from rosewheel.http.write_buffer import stream_window

# Time for which a disconnect may stay unseen behind unread bytes before attempts are refused. An attempt must not begin
# later than 0.1 s after the disconnect.
MAX_UNSEEN_S = 0.08


class BackpressuredConnection(DetachableConnection):
    """Pauses and resumes reading, depending on what is buffered.

    Attributes:
        reading_paused: Reading is paused, since too much is buffered.
    """

    __slots__ = (
        "_has_yielded",
        "_is_transport_paused",
        "_turn_quota",
        "reading_paused",
    )

    def __init__(self, server: ResponseSenderOwner) -> None:
        super().__init__(server)
        self.reading_paused = False
        self._has_yielded = False  # reading is paused until other connections were served
        self._is_transport_paused = False
        self._turn_quota = TurnQuota()

    # Hooks for subclasses.

    def _on_reading_paused(self) -> None:
        """Poll for a disconnect, which the event loop does not report while reading is paused."""
        raise NotImplementedError

    def _on_request_blocking(self, request: DownstreamRequest) -> None:
        """End the active request, behind which another one has no time left."""
        raise NotImplementedError

    def _on_request_overdue(self, request: DownstreamRequest) -> None:
        """End the active request, whose body is incomplete: its client's time may be over."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Apply backpressure: the transport's write buffer is full."""
        self.write_blocked = True
        self._update_backpressure()

    def resume_writing(self) -> None:
        """Continue the streamed response: the transport's write buffer has space."""
        self.write_blocked = False
        self.count_unsent()
        if self._on_writable is not None:
            self._on_writable()
        self._update_backpressure()

    def update_backpressure(self) -> None:
        """Pause or resume reading, after the memory of the process has changed."""
        self._update_backpressure()

    def _update_backpressure(self) -> None:
        """Pause or resume reading, depending on what is buffered.

        Bounds the memory taken by a client that pipelines requests, does not read its responses, or sends a streamed
        body faster than the server reads it. Before an attempt starts, bytes are read up to the connection's share of
        the budget, since a disconnect is detected only after the bytes before it have arrived.
        """
        pause = self._must_pause_reading()
        if self.transport is None or self.transport.is_closing() or pause is self.reading_paused:
            return
        self.reading_paused = pause
        self._apply_pause()
        if pause:
            self._input_clock.paused(self.server.loop.time())
            self._on_reading_paused()
        else:
            self._check_for_unread_input()
            self._input_clock.resumed(self.server.loop.time())

    def _time_spent(self, spent_s: float) -> None:
        """Read no more bytes until other connections were served, if this one has taken too much time."""
        loop, quota = self.server.loop, self._turn_quota
        quota.count(loop.time(), spent_s)
        if self._has_yielded or not quota.is_turn_over:
            return
        self._has_yielded = True
        self._input_clock.paused(loop.time())
        self._apply_pause()
        if quota.is_used_up:
            loop.call_later(self.server.turns.delay_s(spent_s), self._end_yield)
        else:
            loop.call_soon(self._end_yield)

    def _end_yield(self) -> None:
        self._has_yielded = False
        if not self.reading_paused:
            if self.transport is not None and not connection_close.unread_bytes(self.transport):
                self._input_clock.found_nothing_written()
            self._input_clock.resumed(self.server.loop.time())
        self._apply_pause()

    def _apply_pause(self) -> None:
        """Pause or resume the transport."""
        transport, pause = self.transport, self.reading_paused or self._has_yielded
        if transport is None or transport.is_closing() or pause is self._is_transport_paused:
            return
        self._is_transport_paused = pause
        if pause:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _check_for_unread_input(self) -> None:
        """Note if all that the client has written was read, or is known not to complete the incoming request."""
        if self.transport is None:
            return
        unread_bytes, incoming = connection_close.unread_bytes(self.transport), self.incoming_request
        is_all_read = not unread_bytes
        if incoming is not None and incoming.content_length is not None and not self.unparsed:
            missing_bytes = incoming.content_length - incoming.body.received_bytes
            is_all_read = unread_bytes < min(missing_bytes, MAX_UNREAD_WITH_SPACE_BYTES)
        if is_all_read:
            self._input_clock.found_empty(self.server.loop.time(), self.last_received_s)

    def may_have_left(self) -> bool:
        """Return whether the client may have disconnected unseen: its disconnect may be behind unread bytes."""
        if self.transport is None or not self._input_clock.has_unread:
            return False
        self._check_for_unread_input()
        now_s = self.server.loop.time()
        return now_s - self._input_clock.written_s(now_s) >= MAX_UNSEEN_S

    def check_queued_deadlines(self, now_s: float) -> None:
        """End the active request if one that waits behind it has no time left: responses keep their order.

        Not if its response has begun, which must not be cut off.

        Args:
            now_s: The loop's time.
        """
        active = self.active_request
        if active is None or active.response_started or not self.queued_requests:
            return
        if any(queued.is_overdue(now_s) for queued in self.queued_requests):
            self._on_request_blocking(active)

    def check_upload_deadline(self, now_s: float) -> None:
        """End the active request if its client's time may be over although its body is incomplete.

        That happens while its server reads the body slowly or not at all, so that the last byte waits unread.

        Args:
            now_s: The loop's time.
        """
        request = self.active_request
        if request is None or request is not self.incoming_request or request.response_started:
            return
        self._check_for_unread_input()
        ended_s = self._earliest_end_s(request)
        if ended_s is not None and now_s - ended_s >= request.timeout_ms / 1000.0:
            self._on_request_overdue(request)

    def _earliest_end_s(self, request: DownstreamRequest) -> float | None:
        received_bytes = request.body.received_bytes
        now_s = self.server.loop.time()
        return self._input_clock.earliest_end_s(now_s, received_bytes, request.content_length)

    def _must_pause_reading(self) -> bool:
        if self.unparsed:
            return True
        incoming = self.incoming_request
        if incoming is not None and self.server.memory.is_exhausted and not incoming.body.released:
            # A short rest is read at once: a pause for each of several requests sent at once would add up.
            return not 0 < incoming.missing_bytes <= SMALL_READ_BYTES
        if incoming is None or not incoming.body.streaming:
            return self.write_blocked or self._queue_is_full()
        budget = self.server.memory.bodies
        share_bytes = 0 if budget.exceeded else budget.connection_share_bytes
        body = incoming.body
        stream_window_bytes = stream_window(self.server.memory)
        window_bytes = stream_window_bytes if body.reading_started else max(stream_window_bytes, share_bytes)
        pause = self.write_blocked or body.buffered_bytes > window_bytes
        if self.reading_paused and not pause:
            self.last_activity_s = self.server.loop.time()  # the client was not inactive during the pause
        return pause
