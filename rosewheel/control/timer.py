"""A one-shot timer that can be started again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Timer:
    """Calls back once after each start, unless it is cancelled or started again before."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether a call is due."""
        return self._handle is not None

    def start(self, wait_s: float, callback: Callable[[], None]) -> None:
        """Call back after `wait_s` seconds, in place of any call that is due."""
        self.cancel()
        self._handle = asyncio.get_running_loop().call_later(wait_s, self._expire, callback)

    def _expire(self, callback: Callable[[], None]) -> None:
        self._handle = None
        callback()

    def cancel(self) -> None:
        """Drop the call that is due."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
