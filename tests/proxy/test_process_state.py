"""What outlives a process, and what two processes of one node tell one another."""

from __future__ import annotations

import asyncio
import errno
import logging
from pathlib import Path

import orjson
import pytest

from rosewheel.proxy.shared_state import SharedState
from tests.support.sockets import run, until


class Reader:
    def __init__(self, folder: Path | None) -> None:
        self.sets: list[frozenset[str]] = []
        self.company: list[int] = []
        self.state = SharedState(str(folder) if folder else None, self.sets.append, self.company.append)


def test_the_next_process_is_told(tmp_path: Path):
    async def main() -> None:
        first = Reader(tmp_path)
        first.state.start()
        await first.state.set_cordon("s1", True)
        await first.state.set_cordon("s2", True)
        await first.state.set_cordon("s2", True)
        await first.state.set_cordon("s2", False)
        first.state.close()
        second = Reader(tmp_path)
        second.state.start()  # at once, before anything can be sent
        assert second.sets == [frozenset({"s1"})]
        second.state.close()
        assert not first.sets, "what a process put down itself it need not be told"

    run(main())


def test_two_processes_act_on_what_either_is_told(tmp_path: Path):
    """Guards an upgrade: both serve, and an operator's call reaches one of them."""

    async def main() -> None:
        old, new = Reader(tmp_path), Reader(tmp_path)
        old.state.start()
        new.state.start()
        await until(lambda: old.company == [2] and new.company == [2])
        await old.state.set_cordon("s1", True)
        assert new.sets[-1] == frozenset({"s1"}), "the yes comes once the other one knows"
        await new.state.set_cordon("s2", True)
        await new.state.set_cordon("s1", False)
        assert old.sets[-1] == frozenset({"s2"})
        old.state.close()
        await until(lambda: new.company == [2, 1])
        new.state.close()

    run(main())


def test_changes_of_both_at_once_are_all_kept(tmp_path: Path):
    async def main() -> None:
        readers = [Reader(tmp_path), Reader(tmp_path)]
        for reader in readers:
            reader.state.start()
        await asyncio.gather(*(readers[at % 2].state.set_cordon(f"s{at}", True) for at in range(10)))
        held = orjson.loads((tmp_path / "state.json").read_bytes())
        assert held == {"version": 1, "cordoned": sorted(f"s{at}" for at in range(10))}
        for reader in readers:
            reader.state.close()
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
def test_a_damaged_file_is_survived_and_logged(tmp_path: Path, text: bytes, caplog: pytest.LogCaptureFixture):
    """Guards the node against its own leavings: it starts, says so, and the next change mends the file."""
    caplog.set_level(logging.ERROR)
    (tmp_path / "state.json").write_bytes(text)

    async def main() -> None:
        reader = Reader(tmp_path)
        reader.state.start()
        assert reader.sets == []
        assert "state file ignored, left in place" in caplog.text
        await reader.state.set_cordon("s1", True)
        reader.state.close()
        following = Reader(tmp_path)
        following.state.start()
        assert following.sets == [frozenset({"s1"})]
        following.state.close()

    run(main())


def test_damage_under_a_running_process_changes_nothing(tmp_path: Path):
    async def main() -> None:
        reader = Reader(tmp_path)
        reader.state.start()
        await reader.state.set_cordon("s1", True)
        (tmp_path / "state.json").write_bytes(b"{")
        polls = reader.state._poll_count
        await until(lambda: reader.state._poll_count > polls + 1)
        assert reader.sets == []
        await reader.state.set_cordon("s2", True)
        held = orjson.loads((tmp_path / "state.json").read_bytes())
        assert held["cordoned"] == ["s1", "s2"]
        reader.state.close()

    run(main())


def test_without_a_folder_nothing_is_kept(tmp_path: Path):
    async def main() -> None:
        reader = Reader(None)
        reader.state.start()
        await reader.state.set_cordon("s1", True)
        reader.state.close()
        missing = Reader(tmp_path / "nowhere")
        missing.state.start()
        with pytest.raises(OSError, match="nowhere"):
            await missing.state.set_cordon("s1", True)
        missing.state.close()

    run(main())


def test_a_presence_lock_that_fails_at_the_start_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Two processes paced warming servers as if each were alone, as long as both lived."""

    async def main() -> None:
        old, new = Reader(tmp_path), Reader(tmp_path)
        old.state.start()
        with monkeypatch.context() as patch:

            def fail(*_: object, **__: object) -> int:
                raise OSError(errno.ENFILE, "Too many open files in system")

            patch.setattr("rosewheel.proxy.state_file.os.open", fail)
            new.state.start()
        await until(lambda: old.company == [2] and new.company == [2])
        new.state.close()
        await until(lambda: old.company == [2, 1])
        old.state.close()

    run(main())
