"""The shared state: kept for later processes, and exchanged between two processes of one node."""

from __future__ import annotations

import asyncio
import errno
import logging
from pathlib import Path

import orjson
import pytest

from rosewheel.proxy.shared_state import SharedState
from tests.support.sockets import run, until


class Process:
    """The shared state of one process, and the calls of its two callbacks."""

    def __init__(self, folder: Path | None) -> None:
        self.cordons: list[frozenset[str]] = []
        self.process_counts: list[int] = []
        self.state = SharedState(
            str(folder) if folder else None, self.cordons.append, self.process_counts.append
        )


def test_the_next_process_applies_saved_cordons(tmp_path: Path):
    async def main() -> None:
        first = Process(tmp_path)
        first.state.start()
        await first.state.set_cordon("s1", True)
        await first.state.set_cordon("s2", True)
        await first.state.set_cordon("s2", True)
        await first.state.set_cordon("s2", False)
        first.state.close()
        second = Process(tmp_path)
        second.state.start()  # applied before it returns
        assert second.cordons == [frozenset({"s1"})]
        second.state.close()
        assert not first.cordons, "a process is not called back for its own changes"

    run(main())


def test_two_processes_apply_each_others_changes(tmp_path: Path):
    """During a hot restart both serve, and an operator's request reaches only one of them."""

    async def main() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        old.state.start()
        new.state.start()
        await until(lambda: old.process_counts == [2] and new.process_counts == [2])
        await old.state.set_cordon("s1", True)
        assert new.cordons[-1] == frozenset({"s1"}), (
            "the call returns after the other process has applied the change"
        )
        await new.state.set_cordon("s2", True)
        await new.state.set_cordon("s1", False)
        assert old.cordons[-1] == frozenset({"s2"})
        old.state.close()
        await until(lambda: new.process_counts == [2, 1])
        new.state.close()

    run(main())


def test_concurrent_changes_of_two_processes_are_all_saved(tmp_path: Path):
    async def main() -> None:
        processes = [Process(tmp_path), Process(tmp_path)]
        for process in processes:
            process.state.start()
        await asyncio.gather(*(processes[at % 2].state.set_cordon(f"s{at}", True) for at in range(10)))
        saved = orjson.loads((tmp_path / "state.json").read_bytes())
        assert saved == {"version": 1, "cordoned": sorted(f"s{at}" for at in range(10))}
        for process in processes:
            process.state.close()
        assert not list(tmp_path.glob("*.part"))

    run(main())


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b'{"version":2,"cordoned":[]}',
        b'{"version":1,"cordoned":[1]}',
        b"\xff" * 100,
        b" " * (1 << 21),
    ],
)
def test_a_damaged_file_is_ignored_and_logged(tmp_path: Path, text: bytes, caplog: pytest.LogCaptureFixture):
    """A damaged file must not keep a node from starting. The next change replaces it."""
    caplog.set_level(logging.ERROR)
    (tmp_path / "state.json").write_bytes(text)

    async def main() -> None:
        process = Process(tmp_path)
        process.state.start()
        assert process.cordons == []
        assert "state file ignored, left in place" in caplog.text
        await process.state.set_cordon("s1", True)
        process.state.close()
        following = Process(tmp_path)
        following.state.start()
        assert following.cordons == [frozenset({"s1"})]
        following.state.close()

    run(main())


def test_damage_to_the_file_of_a_running_process_lifts_no_cordon(tmp_path: Path):
    async def main() -> None:
        process = Process(tmp_path)
        process.state.start()
        await process.state.set_cordon("s1", True)
        (tmp_path / "state.json").write_bytes(b"{")
        polls = process.state._poll_count
        await until(lambda: process.state._poll_count > polls + 1)
        assert process.cordons == []
        await process.state.set_cordon("s2", True)
        saved = orjson.loads((tmp_path / "state.json").read_bytes())
        assert saved["cordoned"] == ["s1", "s2"]
        process.state.close()

    run(main())


def test_without_a_folder_nothing_is_saved(tmp_path: Path):
    async def main() -> None:
        process = Process(None)
        process.state.start()
        await process.state.set_cordon("s1", True)
        process.state.close()
        missing = Process(tmp_path / "nowhere")
        missing.state.start()
        with pytest.raises(OSError, match="nowhere"):
            await missing.state.set_cordon("s1", True)
        missing.state.close()

    run(main())


def test_a_presence_lock_that_fails_at_the_start_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """If neither process detects the other, both pace servers in slow start as if there were only one."""

    async def main() -> None:
        old, new = Process(tmp_path), Process(tmp_path)
        old.state.start()
        with monkeypatch.context() as patch:

            def fail(*_: object, **__: object) -> int:
                raise OSError(errno.ENFILE, "Too many open files in system")

            patch.setattr("rosewheel.proxy.state_file.os.open", fail)
            new.state.start()
        await until(lambda: old.process_counts == [2] and new.process_counts == [2])
        new.state.close()
        await until(lambda: old.process_counts == [2, 1])
        old.state.close()

    run(main())
