"""Time limits of one response: how long its server may pause, and how long its first bytes are held back."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Protocol

# Longest pause within a buffered response whose request can be sent again. Sound servers pause for 1.6 s.
RESPONSE_PAUSE_TIMEOUT_S = 1.8
# Such a pause takes at most this share of the time that the attempt had left, so that a retry has some of it.
PAUSE_TIMEOUT_SHARE = 0.7
STREAM_PAUSE_TIMEOUT_S = 15.0  # longest pause within a streamed response; longer, since it can't be retried
PAUSE_CHECK_TOLERANCE_S = 0.01  # a timeout this close to its end has expired: the loop's clock is coarse
# A response of unknown length may become long, and the first bytes of a long one must not be held back for 2 s.
MAX_HOLD_S = 1.0
# Time before the end of its attempt at which a response of unknown length is forwarded, so that it is not cut off.
HOLD_MARGIN_S = 0.06


class ResponseState(Enum):
    """How much of a response has come, as far as its time limits depend on it."""

    SHORT = auto()  # its head is incomplete, or it is buffered until it is complete
    UNKNOWN_LENGTH = auto()  # buffered so far; it may become too long for that
    STREAMED = auto()  # passed on as it arrives


class TimedResponse(Protocol):
    """The connection of a response, as `ResponseTimer` uses it."""

    last_received_s: float
    reading_paused: bool

    @property
    def response_state(self) -> ResponseState:
        """How much of the response has come."""

    def attempt_left_s(self) -> float:
        """Return the time left to the attempt in seconds."""

    def may_repeat(self) -> bool:
        """Return whether the request could be sent again if this attempt failed."""

    def is_usable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""

    def forward_held_response(self) -> None:
        """Pass on what was received, and the rest as it arrives."""

    def fail_stalled_response(self) -> None:
        """Fail the attempt."""


class ResponseTimer:
    """The timer of the response on one connection."""

    __slots__ = ("_head_complete_s", "_loop", "_response", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop, response: TimedResponse) -> None:
        self._loop, self._response = loop, response
        self._timer: asyncio.TimerHandle | None = None
        self._head_complete_s: float | None = None

    def data_received(self) -> None:
        """Handle received bytes that did not complete the response."""
        self._note_head()
        if self._timer is None:
            self._start(self._left_s())

    def cancel(self) -> None:
        """End the measurement, once the response is complete or no longer expected."""
        self._head_complete_s = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _note_head(self) -> None:
        if self._head_complete_s is None and self._response.response_state is ResponseState.UNKNOWN_LENGTH:
            self._head_complete_s = self._response.last_received_s
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    def _start(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(max(PAUSE_CHECK_TOLERANCE_S, delay_s), self._check)

    def _left_s(self) -> float:
        """Return the time to the next limit in seconds."""
        response, now_s = self._response, self._loop.time()
        state = response.response_state
        if state is ResponseState.UNKNOWN_LENGTH and self._head_complete_s is not None:
            hold_left_s = self._head_complete_s + MAX_HOLD_S - now_s
            return min(hold_left_s, response.attempt_left_s() - HOLD_MARGIN_S)
        if state is ResponseState.STREAMED:
            if response.reading_paused:
                return STREAM_PAUSE_TIMEOUT_S
            return response.last_received_s + STREAM_PAUSE_TIMEOUT_S - now_s
        paused_s = now_s - response.last_received_s
        share_s = PAUSE_TIMEOUT_SHARE * (paused_s + response.attempt_left_s())
        return min(RESPONSE_PAUSE_TIMEOUT_S, share_s) - paused_s

    def _check(self) -> None:
        self._timer = None
        response, left_s = self._response, self._left_s()
        if left_s > PAUSE_CHECK_TOLERANCE_S:
            self._start(left_s)
        elif not response.is_usable():  # the socket has unread bytes: the event loop is late, not the server
            self._start(PAUSE_CHECK_TOLERANCE_S)
        elif response.response_state is ResponseState.UNKNOWN_LENGTH:
            response.forward_held_response()
            if response.is_usable():
                self._start(STREAM_PAUSE_TIMEOUT_S)
        elif response.response_state is ResponseState.STREAMED or response.may_repeat():
            response.fail_stalled_response()
        # Otherwise the end of the attempt is the only limit.
