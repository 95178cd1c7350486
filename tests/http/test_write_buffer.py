"""Unsent writes of a transport, and detection of peers that do not read."""

from __future__ import annotations

import pytest

from rosewheel.http.write_buffer import UnsentWrites, WriteProgress, stream_window
from rosewheel.node.memory_account import MemoryAccount


@pytest.mark.parametrize("unsent", [0, 1, 3, 4, 6])
def test_kept_writes_include_all_unsent_bytes(unsent: int):
    writes = UnsentWrites()
    writes.append(b"ab", 2)
    writes.append(b"cdef", unsent)
    assert writes.tail(unsent) == b"abcdef"[6 - unsent :]
    assert unsent <= writes.size <= 6


def test_sent_writes_are_dropped():
    writes = UnsentWrites()
    for _ in range(1000):
        writes.append(b"a" * 10, 0)
    assert writes.size == 0
    assert writes.tail(0) == b""


def test_stall_is_measured_from_the_last_change():
    progress = WriteProgress()
    progress.restart(10.0)
    assert progress.stalled_s(50, True, 11.0) == 0.0
    assert progress.stalled_s(50, True, 13.5) == 2.5
    assert progress.stalled_s(40, True, 14.0) == 0.0
    assert progress.stalled_s(40, True, 14.5) == 0.5
    assert progress.stalled_s(40, False, 20.0) == 0.0  # no bytes wait for the peer
    assert progress.stalled_s(40, True, 21.0) == 1.0


def test_connections_buffer_less_as_memory_runs_out():
    """Guards against responses to slow readers that take far more than their share of the memory."""
    account = MemoryAccount()
    account.divide(64 << 20, 1)
    account.responses.used_bytes = account.responses.limit_bytes
    plenty = stream_window(account)
    account.responses.used_bytes += 1
    scarce = stream_window(account)
    account.responses.used_bytes = account.available_bytes + 1
    assert plenty > scarce > stream_window(account)
