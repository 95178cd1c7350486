"""Small runs of the command `scale`: all nodes converge, and a run that is interrupted or killed leaves no process."""

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

TEST_TIMEOUT_S = 120.0  # fails a test that hangs
SMALL = ("--nodes", "30", "--real", "2", "--services", "3", "--calls", "4", "--changes", "40")
# Servers, discovery, network, four control machines, simulated nodes, two real nodes and callers.
PROCESSES = 11


def command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "rosewheel.cli", "scale", *arguments]


def descendants(pid: int) -> set[int]:
    """Return the ids of all descendants of a process."""
    parents: dict[int, int] = {}
    for path in Path("/proc").iterdir():
        if path.name.isdigit():
            with contextlib.suppress(OSError):
                parents[int(path.name)] = int((path / "stat").read_text().rpartition(")")[2].split()[1])
    known = {pid}
    while children := {child for child, parent in parents.items() if parent in known} - known:
        known |= children
    return known - {pid}


def running_processes(pids: set[int]) -> set[int]:
    """Return the processes that are still running; zombies are not."""
    running = set()
    for pid in pids:
        with contextlib.suppress(OSError):
            if Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z":
                running.add(pid)
    return running


@pytest.fixture
def running_scale_run(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[bytes], set[int]]]:
    """A run whose processes have all started, and the ids of its processes."""
    run = subprocess.Popen(
        command(*SMALL, "--seconds", "300", "--out", str(tmp_path)), stderr=subprocess.PIPE
    )
    try:
        deadline = time.monotonic() + TEST_TIMEOUT_S
        while len(pids := descendants(run.pid)) < PROCESSES:
            assert run.poll() is None
            assert time.monotonic() < deadline
            time.sleep(0.05)
        yield run, pids
    finally:
        if run.poll() is None:
            run.kill()
        run.communicate()


def wait_until_ended(pids: set[int]) -> bool:
    """Return whether all processes end before the timeout."""
    deadline = time.monotonic() + TEST_TIMEOUT_S
    while running_processes(pids) and time.monotonic() < deadline:
        time.sleep(0.05)
    return not running_processes(pids)


@pytest.mark.parametrize("sent_signal", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process(
    running_scale_run: tuple[subprocess.Popen[bytes], set[int]], sent_signal: signal.Signals
) -> None:
    run, pids = running_scale_run
    os.kill(run.pid, sent_signal)
    _, errors = run.communicate(timeout=TEST_TIMEOUT_S)
    assert not running_processes(pids)
    assert (run.returncode, errors.decode().splitlines()) == (130, ["rosewheel: interrupted"])


def test_a_killed_run_leaves_no_process(running_scale_run: tuple[subprocess.Popen[bytes], set[int]]) -> None:
    run, pids = running_scale_run
    run.kill()
    assert wait_until_ended(pids)


def test_a_small_run_ends_with_all_nodes_up_to_date(tmp_path: Path) -> None:
    arguments = (*SMALL, "--seconds", "8", "--seed", "5", "--troubles", "machine,restarts,region")
    completed = subprocess.run(
        command(*arguments, "--out", str(tmp_path)), capture_output=True, text=True, timeout=TEST_TIMEOUT_S
    )
    result = json.loads(completed.stdout.splitlines()[-1])
    targets = {check["target"]: check for check in result["targets"]}
    assert targets["stale nodes at the end"]["measured"] == 0
    for kind in ("lists", "config", "acked"):
        assert result[kind]["all"]["missing"] == 0
    assert result["lists"]["all"]["changes"] > 0
    assert result["acked"]["all"]["changes"] == 40
    assert result["calls"]["node"]["calls"] > 0
    assert result["calls"]["direct"]["calls"] > 0
    assert result["ok"] is all(check["holds"] is not False for check in result["targets"])
    assert completed.returncode == (0 if result["ok"] else 1)
    rows = (tmp_path / "rows.csv").read_text().splitlines()
    phases = {row.split(",")[4] for row in rows[1:]}
    assert phases == {"rest", "changes", "machine", "restarts", "region"}


def test_bad_input_is_reported_in_one_line() -> None:
    for arguments, text in (
        (("--nodes", "0"), "rosewheel: --nodes: 0 is not from 1 to 2000"),
        (("--troubles", "flood"), "rosewheel: --troubles: 'flood' is not one of"),
    ):
        completed = subprocess.run(
            command(*arguments), capture_output=True, text=True, timeout=TEST_TIMEOUT_S
        )
        assert completed.returncode == 2
        assert completed.stderr.startswith(text)
        assert len(completed.stderr.splitlines()) == 1
        assert not completed.stdout
