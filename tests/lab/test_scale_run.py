"""A small scale run from its command: the fleet converges, and no process is left however the run ends."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

TEST_TIMEOUT_S = 120.0  # far more than any test here needs
SMALL = ("--nodes", "30", "--real", "2", "--services", "3", "--calls", "4", "--changes", "40")


def command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "rosewheel.cli", "scale", *arguments]


def descendants(pid: int) -> set[int]:
    """Children of this process, and their children."""
    parents: dict[int, int] = {}
    for path in Path("/proc").iterdir():
        if path.name.isdigit():
            with contextlib.suppress(OSError):
                parents[int(path.name)] = int((path / "stat").read_text().rpartition(")")[2].split()[1])
    found = {pid}
    while more := {child for child, parent in parents.items() if parent in found} - found:
        found |= more
    return found - {pid}


def running_processes(pids: set[int]) -> set[int]:
    """Those of the processes that still run; zombies do not."""
    left = set()
    for pid in pids:
        with contextlib.suppress(OSError):
            if Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z":
                left.add(pid)
    return left


@pytest.fixture
def running_scale_run(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[bytes], set[int]]]:
    """A run whose processes have all started, and their ids."""
    run = subprocess.Popen(
        command(*SMALL, "--seconds", "300", "--out", str(tmp_path)), stderr=subprocess.PIPE
    )
    try:
        deadline = time.monotonic() + TEST_TIMEOUT_S
        # servers, discovery, network, four control machines, simulated nodes, two real nodes, callers
        while len(pids := descendants(run.pid)) < 11:
            assert run.poll() is None
            assert time.monotonic() < deadline
            time.sleep(0.05)
        yield run, pids
    finally:
        if run.poll() is None:
            run.kill()
        run.communicate()


def all_end(pids: set[int]) -> bool:
    deadline = time.monotonic() + TEST_TIMEOUT_S
    while running_processes(pids) and time.monotonic() < deadline:
        time.sleep(0.05)
    return not running_processes(pids)


@pytest.mark.parametrize("name", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process(
    running_scale_run: tuple[subprocess.Popen[bytes], set[int]], name: signal.Signals
) -> None:
    run, pids = running_scale_run
    os.kill(run.pid, name)
    _, errors = run.communicate(timeout=TEST_TIMEOUT_S)
    assert not running_processes(pids)
    assert (run.returncode, errors.decode().splitlines()) == (130, ["rosewheel: interrupted"])


def test_a_killed_run_leaves_no_process(running_scale_run: tuple[subprocess.Popen[bytes], set[int]]) -> None:
    run, pids = running_scale_run
    run.kill()
    assert all_end(pids)


def test_a_small_run_ends_with_all_nodes_up_to_date(tmp_path: Path) -> None:
    arguments = (*SMALL, "--seconds", "8", "--seed", "5", "--troubles", "machine,restarts,region")
    done = subprocess.run(
        command(*arguments, "--out", str(tmp_path)), capture_output=True, text=True, timeout=TEST_TIMEOUT_S
    )
    last = json.loads(done.stdout.splitlines()[-1])
    targets = {check["target"]: check for check in last["targets"]}
    assert targets["stale nodes at the end"]["measured"] == 0
    for kind in ("lists", "config", "acked"):
        assert last[kind]["all"]["missing"] == 0
    assert last["lists"]["all"]["changes"] > 0
    assert last["acked"]["all"]["changes"] == 40
    assert last["calls"]["node"]["calls"] > 0
    assert last["calls"]["direct"]["calls"] > 0
    assert last["ok"] is all(check["holds"] is not False for check in last["targets"])
    assert done.returncode == (0 if last["ok"] else 1)
    rows = (tmp_path / "rows.csv").read_text().splitlines()
    phases = {row.split(",")[4] for row in rows[1:]}
    assert phases == {"rest", "changes", "machine", "restarts", "region"}


def test_bad_input_is_reported_in_one_line() -> None:
    for arguments, text in (
        (("--nodes", "0"), "rosewheel: --nodes: 0 is not from 1 to 2000"),
        (("--troubles", "flood"), "rosewheel: --troubles: 'flood' is not one of"),
    ):
        done = subprocess.run(command(*arguments), capture_output=True, text=True, timeout=TEST_TIMEOUT_S)
        assert done.returncode == 2
        assert done.stderr.startswith(text)
        assert len(done.stderr.splitlines()) == 1
        assert not done.stdout
