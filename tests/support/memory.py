"""Fills the memory of a node in the same process, as other holders would."""

from __future__ import annotations

from rosewheel.node.memory_account import MemoryAccount


def exhaust(memory: MemoryAccount) -> None:
    """Have responses hold all the available memory, for as long as the test lasts."""
    memory.responses.used_bytes += memory.available_bytes
    memory.resident_bytes = memory.limit_bytes - 3 * memory.reserve_bytes // 4
