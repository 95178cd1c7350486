"""Reads the resident memory of this process, and has requests shed before the process reaches its limit."""

from __future__ import annotations

import asyncio
import logging
import os
from typing import NamedTuple

from rosewheel.proxy.context import ProxyContext

log = logging.getLogger("rosewheel.memory")

INTERVAL_S = 0.05  # time between two readings
LOG_INTERVAL_S = 1.0  # shortest time between two log lines


class ResidentMemory(NamedTuple):
    """Resident memory of this process in bytes.

    Attributes:
        total_bytes: All of it.
        shared_bytes: Pages of files, which other processes may share.
    """

    total_bytes: int
    shared_bytes: int


def read_resident_memory() -> ResidentMemory:
    """Return the resident memory of this process; zeros if the system does not tell it."""
    try:
        with open("/proc/self/statm", "rb", buffering=0) as file:
            _, resident, shared, *_ = (int(pages) for pages in file.read().split())
    except (OSError, ValueError):
        return ResidentMemory(0, 0)
    page_bytes = os.sysconf("SC_PAGE_SIZE")
    return ResidentMemory(resident * page_bytes, shared * page_bytes)


class MemoryWatch:
    """Reports the resident memory of this process to its account."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._logged_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Take the present memory as that of a process without clients, and read it from now on."""
        memory = self._context.memory
        memory.baseline_bytes, memory.shared_bytes = read_resident_memory()
        memory.resident_bytes = memory.baseline_bytes
        log.info(
            "memory measured: baseline_kb=%d, limit_kb=%d, available_kb=%d",
            memory.baseline_bytes >> 10,
            memory.limit_bytes >> 10,
            memory.available_bytes >> 10,
        )
        self._read()

    def close(self) -> None:
        """Stop reading."""
        if self._timer is not None:
            self._timer.cancel()

    def _read(self) -> None:
        loop, memory = self._context.loop, self._context.memory
        self._timer = loop.call_later(INTERVAL_S, self._read)
        resident_bytes = read_resident_memory().total_bytes
        memory.record_resident(resident_bytes)
        if not memory.is_exhausted:
            return
        if loop.time() - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = loop.time()
            log.warning(
                "memory exhausted: resident_kb=%d, limit_kb=%d, bodies_kb=%d, heads_kb=%d, responses_kb=%d, clients=%d",
                resident_bytes >> 10,
                memory.limit_bytes >> 10,
                memory.bodies.used_bytes >> 10,
                memory.heads.used_bytes >> 10,
                memory.responses.used_bytes >> 10,
                memory.connection_count,
            )
        self._context.server.shed()
