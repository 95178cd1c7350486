"""The durable log: truncation and corruption at any byte, and failing writes."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.control import durable_log
from rosewheel.control.durable_log import LOG_FILE_NAME, RECORD_HEADER, DurableLog
from rosewheel.control.errors import LogDamagedError, LogLockedError, LogWriteError

OBJECTS = st.dictionaries(st.text(max_size=3), st.text(max_size=20), max_size=2)
RECORDS = st.lists(OBJECTS.map(orjson.dumps), min_size=1, max_size=6)


def write_log(directory: Path, records: list[bytes]) -> tuple[bytes, list[int]]:
    """Write a log; return the content of its file and the offset at which each record ends."""
    log = DurableLog(directory)
    ends = []
    for record in records:
        log.append([record])
        ends.append(log.size)
    log.close()
    return (directory / LOG_FILE_NAME).read_bytes(), ends


def read_log(directory: Path) -> list[bytes]:
    log = DurableLog(directory)
    try:
        return log.take_records()
    finally:
        log.close()


def read_log_of(directory: Path, content: bytes) -> list[bytes]:
    (directory / LOG_FILE_NAME).write_bytes(content)
    return read_log(directory)


@given(RECORDS, st.data())
@hypothesis_settings(deadline=None, max_examples=60)
def test_truncation_at_any_byte_loses_no_complete_record(records: list[bytes], data: st.DataObject):
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        content, ends = write_log(directory, records)
        cut = data.draw(st.integers(0, len(content)))
        zeros = data.draw(st.sampled_from([0, 1, RECORD_HEADER.size, 5000]))  # allocated but unwritten space
        complete = [record for record, end in zip(records, ends, strict=True) if end <= cut]
        assert read_log_of(directory, content[:cut] + bytes(zeros)) == complete
        # The next record replaces the incomplete one.
        log = DurableLog(directory)
        log.append([b'{"after":"it"}'])
        log.close()
        assert read_log(directory) == [*complete, b'{"after":"it"}']


@given(RECORDS, st.data())
@hypothesis_settings(deadline=None, max_examples=100)
def test_a_changed_byte_before_the_last_record_is_reported(records: list[bytes], data: st.DataObject):
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        content, ends = write_log(directory, [*records, b'{"the":"tail"}'])
        offset = data.draw(st.integers(0, ends[-2] - 1))
        other = data.draw(st.integers(0, 255).filter(lambda value: value != content[offset]))
        damaged = content[:offset] + bytes([other]) + content[offset + 1 :]
        with pytest.raises(
            LogDamagedError, match=r"control\.log: corrupt record at byte \d+, after \d+ valid records"
        ):
            read_log_of(directory, damaged)
        assert (directory / LOG_FILE_NAME).read_bytes() == damaged, "a damaged log is left unchanged"


def test_a_damaged_complete_last_record_is_not_truncated(tmp_path: Path):
    content, ends = write_log(tmp_path, [b'{"a":"1"}', b'{"b":"2"}'])
    for offset in range(ends[0], len(content)):
        with pytest.raises(LogDamagedError):
            read_log_of(tmp_path, content[:offset] + bytes([content[offset] ^ 1]) + content[offset + 1 :])


def test_a_rewrite_is_atomic(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    write_log(tmp_path, [b'{"a":%d}' % number for number in range(5)])
    log = DurableLog(tmp_path)

    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(durable_log.os, "rename", fail)
        with pytest.raises(OSError, match="No space"):
            log.rewrite([b'{"b":1}'])
    log.append([b'{"a":5}'])  # the old file stays in use
    log.rewrite([b'{"b":1}', b'{"b":2}'])
    log.append([b'{"b":3}'])
    log.close()
    assert DurableLog(tmp_path).take_records() == [b'{"b":1}', b'{"b":2}', b'{"b":3}']


@pytest.mark.parametrize("call", ["fsync", "pwrite"])
@pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
def test_accepted_records_survive_temporary_disk_failures_and_later_appends_succeed(
    call: str, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Failed records are discarded, and the accepted ones are rewritten to a new file before the next append."""
    log = DurableLog(tmp_path)
    log.append([b'{"a":1}'])
    first_file = os.stat(log.path).st_ino

    def fail(*_: object) -> None:
        raise OSError(code, os.strerror(code))

    with monkeypatch.context() as patch:
        patch.setattr(durable_log.os, call, fail)
        if call == "pwrite":
            patch.setattr(durable_log.os, "write", fail)
        for _ in range(3):
            with pytest.raises(LogWriteError, match=os.strerror(code)):
                log.append([b'{"a":2}'])
            assert log.failure is not None
    log.append([b'{"a":3}'])
    assert log.failure is None
    assert os.stat(log.path).st_ino != first_file
    log.append([b'{"a":4}'])
    log.close()
    assert DurableLog(tmp_path).take_records() == [b'{"a":1}', b'{"a":3}', b'{"a":4}']


def test_a_log_that_cannot_be_read_back_after_a_failure_accepts_no_records(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    log = DurableLog(tmp_path)
    log.append([b'{"a":1}'])

    def fail(*_: object) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(durable_log.os, "fsync", fail)
        with pytest.raises(LogWriteError):
            log.append([b'{"a":2}'])
    log.path.write_bytes(b"\x00" * log.size)
    with pytest.raises(LogWriteError):
        log.append([b'{"a":3}'])
    log.close()


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    log = DurableLog(tmp_path)
    pwrite = os.pwrite
    with monkeypatch.context() as patch:
        patch.setattr(
            durable_log.os, "pwrite", lambda file, data, offset: pwrite(file, bytes(data[:3]), offset)
        )
        log.append([b'{"a":"a long one"}'])
    log.close()
    assert DurableLog(tmp_path).take_records() == [b'{"a":"a long one"}']


def test_a_second_process_is_refused(tmp_path: Path):
    log = DurableLog(tmp_path / "new")
    with pytest.raises(LogLockedError, match="in use by another process"):
        DurableLog(tmp_path / "new")
    log.close()
    DurableLog(tmp_path / "new").close()
