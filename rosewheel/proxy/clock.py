"""Monotonic clock of a node. Modules call `clock.now_ms()` so that a test can replace it in one place."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0
