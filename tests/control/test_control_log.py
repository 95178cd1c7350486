"""The log of a control machine: cut anywhere, damaged anywhere, and a disk that does not keep its word."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.control import durable_log as module
from rosewheel.control.durable_log import LOG_FILE_NAME, RECORD_HEADER, DurableLog, LogDamagedError, LogRecord

RECORDS = st.lists(
    st.dictionaries(st.text(max_size=3), st.text(max_size=20), max_size=2), min_size=1, max_size=6
)


def written(folder: Path, records: list[LogRecord]) -> tuple[bytes, list[int]]:
    """The file, and where each record ends."""
    disk = DurableLog(folder)
    ends = []
    for record in records:
        disk.append([record])
        ends.append(disk.size)
    disk.close()
    return (folder / LOG_FILE_NAME).read_bytes(), ends


def reopened(folder: Path, data: bytes) -> list[LogRecord]:
    (folder / LOG_FILE_NAME).write_bytes(data)
    disk = DurableLog(folder)
    try:
        return disk.records
    finally:
        disk.close()


@given(RECORDS, st.data())
@hypothesis_settings(deadline=None, max_examples=60)
def test_a_tail_cut_at_any_byte_loses_nothing_that_was_whole(records: list[LogRecord], data: st.DataObject):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        whole, ends = written(folder, records)
        at = data.draw(st.integers(0, len(whole)))
        zeros = data.draw(
            st.sampled_from([0, 1, RECORD_HEADER.size, 5000])
        )  # space that was taken and not written
        kept = [record for record, end in zip(records, ends, strict=True) if end <= at]
        assert reopened(folder, whole[:at] + bytes(zeros)) == kept
        # What comes after the cut stands where the torn record stood.
        disk = DurableLog(folder)
        disk.append([{"after": "it"}])
        disk.close()
        assert reopened(folder, (folder / LOG_FILE_NAME).read_bytes()) == [*kept, {"after": "it"}]


@given(RECORDS, st.data())
@hypothesis_settings(deadline=None, max_examples=100)
def test_any_changed_byte_before_the_tail_stops_with_a_message(records: list[LogRecord], data: st.DataObject):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        whole, ends = written(folder, [*records, {"the": "tail"}])
        at = data.draw(st.integers(0, ends[-2] - 1))
        other = data.draw(st.integers(0, 255).filter(lambda value: value != whole[at]))
        damaged = whole[:at] + bytes([other]) + whole[at + 1 :]
        with pytest.raises(
            LogDamagedError, match=r"control\.log: damaged at byte \d+, after \d+ good records"
        ):
            reopened(folder, damaged)
        assert (folder / LOG_FILE_NAME).read_bytes() == damaged, "it is left for people to look at"


def test_a_damaged_last_record_that_was_whole_is_no_torn_tail(tmp_path: Path):
    whole, ends = written(tmp_path, [{"a": "1"}, {"b": "2"}])
    for at in range(ends[0], len(whole)):
        with pytest.raises(LogDamagedError):
            reopened(tmp_path, whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])


def test_a_rewrite_is_all_or_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    written(tmp_path, [{"a": at} for at in range(5)])
    disk = DurableLog(tmp_path)

    def fails(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(module.os, "rename", fails)
        with pytest.raises(OSError, match="No space"):
            disk.rewrite([{"b": 1}])
    disk.append([{"a": 5}])  # the old one goes on
    disk.rewrite([{"b": 1}, {"b": 2}])
    disk.append([{"b": 3}])
    disk.close()
    assert DurableLog(tmp_path).records == [{"b": 1}, {"b": 2}, {"b": 3}]


def test_after_a_failed_sync_nothing_more_is_taken_and_nothing_of_it_counts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    disk = DurableLog(tmp_path)
    disk.append([{"a": 1}])

    def fails(_: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(module.os, "fsync", fails)
        with pytest.raises(OSError, match="Input/output error: start again"):
            disk.append([{"a": 2}])
    with pytest.raises(OSError, match="start again"):
        disk.append([{"a": 3}])
    disk.close()
    assert DurableLog(tmp_path).records == [{"a": 1}]


def test_short_writes_are_carried_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    disk = DurableLog(tmp_path)
    write = os.pwrite
    with monkeypatch.context() as patch:
        patch.setattr(module.os, "pwrite", lambda file, data, at: write(file, bytes(data[:3]), at))
        disk.append([{"a": "a long one"}])
    disk.close()
    assert DurableLog(tmp_path).records == [{"a": "a long one"}]


def test_one_process_has_it(tmp_path: Path):
    disk = DurableLog(tmp_path / "new")
    with pytest.raises(LogDamagedError, match="another process has it"):
        DurableLog(tmp_path / "new")
    disk.close()
    DurableLog(tmp_path / "new").close()
