"""A restartable one-shot timer on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Timer:
    """Calls a function once after a delay, unless it is cancelled or restarted first."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether a call is pending."""
        return self._handle is not None

    def start(self, wait_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `wait_s` seconds, instead of a pending call."""
        self.cancel()
        self._handle = asyncio.get_running_loop().call_later(wait_s, self._expire, callback)

    def _expire(self, callback: Callable[[], None]) -> None:
        self._handle = None
        callback()

    def cancel(self) -> None:
        """Cancel the pending call, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
