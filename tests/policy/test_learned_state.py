"""What a module has learned: taken back as far as its age allows, written whole, and not trusted blindly."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import os
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointListForm,
    EndpointListUpdate,
    ProcessCountChanged,
    Server,
    SiblingProcessLoad,
)
from rosewheel.policy.learned_state import LearnedServer, LearnedState
from rosewheel.policy.learned_state_codec import (
    learned_state_from_json,
    learned_state_to_json,
    snapshot_age_ms,
)
from rosewheel.policy.learned_state_restore import MAX_AGE_MS, is_same_start, retained_share
from rosewheel.policy.pool_load import BASELINE_LEARNING_OUTCOMES
from rosewheel.proxy import snapshots
from rosewheel.proxy.errors import SnapshotError
from rosewheel.proxy.snapshot_codec import (
    ClockReading,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    read_clocks,
)
from rosewheel.proxy.snapshots import SnapshotWriter
from tests.support.balancers import BalancerHarness, forwarded, settings
from tests.support.sockets import FakeServer, entry, node, run

ROOT = Path(__file__).parent.parent.parent


def harness_with_slow_server(slow: str = "s0") -> BalancerHarness:
    """A module that has learned that one of four servers is slow."""
    harness = BalancerHarness()
    for _ in range(120):
        name, acts = harness.receive_request()
        server = forwarded(acts)[0].server
        latency = 400.0 if server == slow else 50.0
        harness.now += 20.0
        harness.finish_attempt(name, server, AttemptResult.OK, latency)
        if len(harness.parts.pool_load.latency_ratios) >= 10:
            harness.end_period()
    harness.end_period()
    return harness


def restored_harness(
    learned: LearnedState, age_ms: float, servers: tuple[Server, ...] | None = None
) -> BalancerHarness:
    """A new module that is given this, on a clock of its own."""
    harness = BalancerHarness(count=4)
    if servers is not None:
        harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers))
    harness.balancer.restore_learned_state(harness.now, learned, age_ms)
    return harness


def chosen_share(harness: BalancerHarness, server: str, asks: int = 200) -> float:
    """How often it is picked, with nothing else in flight."""
    picked = 0
    for _ in range(asks):
        name, acts = harness.receive_request()
        picked += forwarded(acts)[0].server == server
        harness.handle(ClientDisconnected(name))
        harness.finish_attempt(name, forwarded(acts)[0].server, AttemptResult.CANCELLED, 1.0, done=True)
    return picked / asks


def test_relative_latency_is_restored():
    learned = harness_with_slow_server().balancer.capture_learned_state(harness_with_slow_server().now)
    assert chosen_share(restored_harness(learned, 500.0), "s0") == 0.0
    assert chosen_share(BalancerHarness(count=4), "s0") > 0.1


def test_baseline_is_restored_with_fewer_outcomes_the_older_it_is():
    harness = harness_with_slow_server()
    learned = harness.balancer.capture_learned_state(harness.now)
    young, old = restored_harness(learned, 0.0).balancer, restored_harness(learned, 200_000.0).balancer
    assert young.parts.pool_load.baseline_ratio == old.parts.pool_load.baseline_ratio
    assert old.parts.pool_load.baseline_ratio == harness.parts.pool_load.baseline_ratio
    assert young.parts.pool_load.baseline_outcomes == BASELINE_LEARNING_OUTCOMES
    assert old.parts.pool_load.baseline_outcomes < BASELINE_LEARNING_OUTCOMES / 3


@given(st.floats(0.0, 2 * MAX_AGE_MS))
@hypothesis_settings(deadline=None, max_examples=50)
def test_no_restored_value_grows_with_its_age(age_ms: float):
    harness = harness_with_slow_server()
    learned = dataclasses.replace(
        harness.balancer.capture_learned_state(harness.now), cursor=12, baseline_error_share=0.5
    )
    here, later = (
        restored_harness(learned, age_ms).balancer,
        restored_harness(learned, age_ms + 500.0).balancer,
    )
    assert here.parts.table.cursor >= later.parts.table.cursor
    for name in ("completion_rate", "peak_completion_rate", "request_rate"):
        assert getattr(here.parts.throughput, name) >= getattr(later.parts.throughput, name) >= 0.0
    for name in ("baseline_error_share", "baseline_outcomes"):
        assert getattr(here.parts.pool_load, name) >= getattr(later.parts.pool_load, name) >= 0.0
    servers, later_servers = here.parts.shared.pool.servers, later.parts.shared.pool.servers
    assert all(servers[name].error_rate >= later_servers[name].error_rate for name in servers)
    if age_ms > MAX_AGE_MS:
        fresh = BalancerHarness(count=4).servers
        assert (here.parts.pool_load.baseline_ratio, here.parts.table.cursor) == (None, 0)
        assert (here.parts.throughput.peak_completion_rate, here.parts.shared.class_latency_ms) == (0.0, {})
        assert all(server.error_rate == fresh[name].error_rate for name, server in servers.items())


def test_only_a_server_that_has_not_restarted_is_restored():
    harness = BalancerHarness(count=0)
    harness.handle(
        EndpointListUpdate(
            EndpointListForm.SNAPSHOT, (Server("a", launched_ms=0.0), Server("b", launched_ms=0.0))
        )
    )
    for name in ("a", "b"):
        harness.servers[name].relative_latency, harness.servers[name].last_outcome_ms = 5.0, harness.now
    learned = harness.balancer.capture_learned_state(harness.now)  # both started 1000 ms ago
    new = BalancerHarness(count=0)
    new.now = 50_000.0  # another clock
    started = new.now - 3_000.0  # 1000 ms, and 2000 ms since then
    servers = (Server("a", launched_ms=started + 100.0), Server("b", launched_ms=started + 1_900.0))
    new.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers))
    assert new.balancer.restore_learned_state(new.now, learned, 2_000.0) == 1
    assert new.balancer.parts.shared.pool.servers["a"].relative_latency == 5.0
    assert new.balancer.parts.shared.pool.servers["b"].relative_latency is None


def test_nothing_is_restored_for_replaced_servers():
    harness = harness_with_slow_server()
    replaced = tuple(Server(f"new{at}") for at in range(4))
    new = restored_harness(harness.balancer.capture_learned_state(harness.now), 599_000.0, replaced).balancer
    assert all(
        stats.relative_latency is None and stats.error_rate == 0.0 and not stats.reported_queue
        for stats in new.parts.shared.pool.servers.values()
    )
    assert new.parts.table.cursor == 0
    assert new.parts.pool_load.baseline_ratio is None, "ten minutes old: no better than none"


def test_newer_statistics_are_not_overwritten():
    harness = harness_with_slow_server()
    learned = harness.balancer.capture_learned_state(harness.now)
    new = BalancerHarness(count=4)
    server = new.serve_request()
    slow = new.balancer.parts.shared.pool.servers[server].relative_latency
    new.balancer.restore_learned_state(new.now, learned, 0.0)
    assert new.balancer.parts.shared.pool.servers[server].relative_latency == slow


def test_snapshot_age_by_the_clock_that_is_valid():
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 11_000.0)) == 2000.0
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 11_900.0)) == 2000.0  # the time of day is set a little
    assert snapshot_age_ms((9e6, 9000.0), (3000.0, 11_000.0)) == 2000.0  # the machine started anew
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 900_000.0)) is None  # the time of day was set by far
    assert snapshot_age_ms((9e6, 9000.0), (3000.0, 8000.0)) is None


def test_start_times_and_retained_shares():
    assert is_same_start(1000.0, 500.0, 1500.0)
    assert not is_same_start(1000.0, 500.0, 300.0)
    assert is_same_start(None, 500.0, None)
    assert not is_same_start(None, 500.0, 300.0)
    assert retained_share(0.0, 1000.0) == 1.0
    assert retained_share(-1.0, 1000.0) == retained_share(MAX_AGE_MS + 1.0, 1e12) == 0.0


# ------------------------------------------------------------------ the file


def encoded_state() -> bytes:
    harness = harness_with_slow_server()
    return encode_snapshot("n0", harness.balancer.capture_learned_state(harness.now), 0.25, read_clocks())


def test_snapshot_round_trip():
    harness = harness_with_slow_server()
    learned = harness.balancer.capture_learned_state(harness.now)
    data = encode_snapshot("n0", learned, math.inf, ClockReading(5.0, 7.0))
    kept = decode_snapshot(data, "n0", ClockReading(6.0, 8.0))
    assert kept == Snapshot(learned, 1.0, math.inf)


def test_keys_of_the_file_stay():
    """Guards what earlier versions have written, and what they read after a downgrade."""
    server = {
        "started_ago_ms": None,
        "slow": 1.5,
        "errs": 0.1,
        "heard_ago_ms": 2.0,
        "queue": 3.0,
        "told_ago_ms": 4.0,
        "util": 0.5,
        "credit": 0.25,
        "returned_ago_ms": 6.0,
    }
    row = {
        "servers": {"s0": server},
        "class_ms": {"read": 7.0},
        "aims": {"read": 1000.0},
        "base": 0.2,
        "level": 0.3,
        "outcomes": 8,
        "cursor": 9,
        "rate": 0.4,
        "peak": 0.5,
        "asked_rate": 0.6,
        "erring": 0.01,
        "usual": 0.02,
    }
    state = learned_state_from_json(row)
    assert state.servers["s0"] == LearnedServer(None, 1.5, 0.1, 2.0, 3.0, 4.0, 0.5, 0.25, 6.0)
    assert (state.class_latency_ms, state.objectives_ms) == ({"read": 7.0}, {"read": 1000.0})
    assert (state.baseline_ratio, state.smoothed_ratio, state.baseline_outcomes) == (0.2, 0.3, 8)
    assert (state.completion_rate, state.peak_completion_rate, state.request_rate) == (0.4, 0.5, 0.6)
    assert (state.cursor, state.smoothed_error_share, state.baseline_error_share) == (9, 0.01, 0.02)
    assert orjson.dumps(learned_state_to_json(state)) == orjson.dumps(row)


@given(st.data())
@hypothesis_settings(deadline=None, max_examples=200)
def test_damaged_snapshot_is_rejected(data: st.DataObject):
    whole = GOOD
    at = data.draw(st.integers(0, len(whole) - 1))
    if data.draw(st.booleans()):
        broken = whole[:at]  # half written
    else:
        broken = whole[:at] + bytes([whole[at] ^ data.draw(st.integers(1, 255))]) + whole[at + 1 :]
    with pytest.raises(SnapshotError, match=r"."):
        decode_snapshot(broken, "n0", read_clocks())


GOOD = encoded_state()


@pytest.mark.parametrize("key", ["errs", "queue", "credit", "heard_ago_ms"])
@pytest.mark.parametrize("value", [-1.0, 1e300, True, "1", [1]])
def test_number_out_of_range_is_rejected(key: str, value: Any):
    row = orjson.loads(
        orjson.dumps(learned_state_to_json(harness_with_slow_server().balancer.capture_learned_state(5000.0)))
    )
    row["servers"]["s0"][key] = value
    with pytest.raises(ValueError, match=key):
        learned_state_from_json(row)


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "not a snapshot"),
        (b"something else\n{}", "not a snapshot"),
        (GOOD.replace(b"learned 1 ", b"learned 2 ", 1), "of version 2, not 1"),
        (GOOD[:-20], "incomplete"),
        (encode_snapshot("n7", LearnedState(), 1.0, read_clocks()), "of another node, 'n7'"),
        (encode_snapshot("n0", LearnedState(), 1.0, ClockReading(1e15, 1e15)), "from the future"),
    ],
)
def test_unusable_snapshot_is_logged_and_renamed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, data: bytes, why: str
):
    (tmp_path / snapshots.SNAPSHOT_NAME).write_bytes(data)
    assert SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read() is None
    assert why in caplog.text
    assert (tmp_path / snapshots.REJECTED_NAME).read_bytes() == data
    assert not (tmp_path / snapshots.SNAPSHOT_NAME).exists()


def test_missing_folder_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture):
    kept = SnapshotWriter(str(tmp_path / "gone"), "n0", lambda: (LearnedState(), 1.0))
    assert kept.read() is None
    kept.write()
    kept.write()
    assert caplog.text.count("snapshot not written") == 1


def test_node_restores_the_snapshot_of_the_previous_process(tmp_path: Path):
    async def main() -> None:
        async with FakeServer().up() as server:
            hosts = [entry("s", server.port)]
            async with node(hosts, state=str(tmp_path)) as old:
                old.node.balancer.parts.shared.pool.servers["s"].error_rate = 0.5
                old.node.balancer.parts.pool_load.baseline_ratio = 0.125
                old.upstream.record_stale(0.3)
                old.snapshots.write()
            async with node(hosts, state=str(tmp_path)) as new:
                assert 0.0 < new.node.balancer.parts.shared.pool.servers["s"].error_rate <= 0.5
                assert new.node.balancer.parts.pool_load.baseline_ratio == 0.125
                assert new.upstream.idle_timeout.stale_limit_s == old.upstream.idle_timeout.stale_limit_s
            # Where nothing outlives a process, nothing is read or written.
            async with node(hosts) as bare:
                assert bare.node.balancer.parts.pool_load.baseline_ratio is None

    run(main())


WRITER = """
import sys
from rosewheel.policy.learned_state import LearnedServer, LearnedState
from rosewheel.proxy.snapshots import SnapshotWriter
learned = LearnedState({f"equipo-{at}": LearnedServer(None, relative_latency=1.0) for at in range(2000)})
kept = SnapshotWriter(sys.argv[1], "n0", lambda: (learned, 1.0))
while True:
    kept.write()
    print(flush=True)
"""


@pytest.mark.parametrize("writes", [1, 2, 5])
def test_snapshot_is_complete_after_its_writer_is_killed(tmp_path: Path, writes: int):
    """Guards against half a file: the writer is killed somewhere within its next write."""
    command = [sys.executable, "-c", WRITER, str(tmp_path)]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        for _ in range(writes):
            process.stdout.readline()
        process.kill()
    kept = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read()
    assert kept is not None
    assert len(kept.learned.servers) == 2000


def test_costly_snapshots_are_written_less_often(tmp_path: Path):
    async def main() -> None:
        kept = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0))
        kept.last_cost_s = 0.1
        kept.start()
        assert kept._timer is not None
        assert kept._timer.when() - asyncio_time() > 10.0
        kept.close()

    def asyncio_time() -> float:
        return asyncio.get_running_loop().time()

    asyncio.run(main())


def test_restoration_of_an_empty_state():
    one = Balancer(settings(), seed=1, now_ms=0.0)
    assert one.restore_learned_state(10.0, LearnedState(), 5.0) == 0


# ------------------------------------------------------------------ two processes


def test_credit_is_shared_between_two_processes():
    """Both together may send a cold server no more than the one process could before the other came."""
    harness = BalancerHarness(4)
    for stats in harness.servers.values():
        stats.credit = 1.6
    harness.handle(ProcessCountChanged(2))
    assert [stats.credit for stats in harness.servers.values()] == [0.8] * 4
    harness.handle(ProcessCountChanged(2))
    harness.handle(ProcessCountChanged(1))
    assert [stats.credit for stats in harness.servers.values()] == [0.8] * 4, "none comes from nothing"


def test_load_of_a_sibling_process_counts_once():
    """It ranks a server down as one's own calls do, and no more where the server's own report has it in it."""
    harness = BalancerHarness(2)
    harness.handle(SiblingProcessLoad({"s0": 6.0}))
    assert {harness.serve_request() for _ in range(4)} == {"s1"}
    first, second = harness.servers["s0"], harness.servers["s1"]
    first.relative_latency = second.relative_latency = None
    first.load = second.load = 0.0
    second.reported_queue, second.last_report_ms = 6.0, harness.now
    first.reported_queue, first.last_report_ms = 6.0, harness.now
    ratio = harness.parts.ranking.rank(harness.now, first) / harness.parts.ranking.rank(harness.now, second)
    assert 0.8 < ratio < 1.25
    harness.handle(SiblingProcessLoad({}))
    assert first.sibling_load == 0.0


class HeldDisk:
    """A disk on which a file's replacement waits until it is let go, or for long enough to see that nobody does."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.began, self.go = threading.Event(), threading.Event()
        self.let_go: list[bool] = []
        plain = os.replace

        def held(path: str, target: str) -> None:
            self.began.set()
            self.let_go.append(self.go.wait(5.0))
            plain(path, target)

        monkeypatch.setattr(snapshots.os, "replace", held)


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0.001)


def test_slow_disk_does_not_block_the_event_loop(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshots, "PERIOD_S", 0.001)
    disk = HeldDisk(monkeypatch)

    async def main() -> None:
        kept = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0), on_disk=True)
        kept.start()
        await until(disk.began.is_set)
        assert not disk.go.is_set()
        disk.go.set()  # only a loop that goes on gets here while the file is held
        await until(lambda: (tmp_path / snapshots.SNAPSHOT_NAME).exists())
        # What it cost is known, and the next one is due after it.
        await until(lambda: kept._timer is not None and kept.last_cost_s > 0.0)
        kept.close()

    asyncio.run(main())
    assert all(disk.let_go)
    assert SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read() is not None


def test_write_that_ends_after_close_replaces_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process that follows has written its own by then."""
    monkeypatch.setattr(snapshots, "PERIOD_S", 0.001)
    began, go = threading.Event(), threading.Event()

    def held(path: str, mode: str) -> IO[bytes]:
        began.set()
        go.wait(5.0)
        return open(path, mode)

    async def main() -> None:
        kept = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0), on_disk=True)
        kept.start()
        await until(began.is_set)
        kept.close()
        (tmp_path / snapshots.SNAPSHOT_NAME).write_bytes(b"of the next one")
        go.set()

    monkeypatch.setattr(snapshots, "open", held, raising=False)
    asyncio.run(main())  # waits for what it still has in threads
    assert [path.name for path in tmp_path.iterdir()] == [snapshots.SNAPSHOT_NAME]
    assert (tmp_path / snapshots.SNAPSHOT_NAME).read_bytes() == b"of the next one"


@pytest.mark.parametrize("on_disk", [False, True])
def test_folder_that_disappears_is_logged_once_and_used_again(
    on_disk: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(snapshots, "PERIOD_S", 0.001)
    monkeypatch.setattr(snapshots, "MAX_TIME_SHARE", 1.0)
    folder = tmp_path / "state"
    tries = 0

    def take() -> tuple[LearnedState, float]:
        nonlocal tries
        tries += 1
        return LearnedState(), 1.0

    async def main() -> None:
        kept = SnapshotWriter(str(folder), "n0", take, on_disk)
        kept.start()
        await until(lambda: tries > 3)
        assert kept.failing
        folder.mkdir()
        await until((folder / snapshots.SNAPSHOT_NAME).exists)
        await until(lambda: not kept.failing)
        kept.close()

    asyncio.run(main())
    assert caplog.text.count("snapshot not written") == 1
