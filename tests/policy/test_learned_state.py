"""Learned state: restoration with decay by age, atomic snapshots, and rejection of invalid ones."""

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
    """Return a balancer that has learned that one of four servers is slow."""
    harness = BalancerHarness()
    for _ in range(120):
        name, actions = harness.receive_request()
        server = forwarded(actions)[0].server
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
    """Return a new balancer, with its own clock, that has restored the state."""
    harness = BalancerHarness(count=4)
    if servers is not None:
        harness.handle(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers))
    harness.balancer.restore_learned_state(harness.now, learned, age_ms)
    return harness


def chosen_share(harness: BalancerHarness, server: str, requests: int = 200) -> float:
    """Return the share of requests that a server gets with nothing else in flight."""
    chosen = 0
    for _ in range(requests):
        name, actions = harness.receive_request()
        chosen += forwarded(actions)[0].server == server
        harness.handle(ClientDisconnected(name))
        harness.finish_attempt(name, forwarded(actions)[0].server, AttemptResult.CANCELLED, 1.0, done=True)
    return chosen / requests


def test_relative_latency_is_restored():
    learned = harness_with_slow_server().balancer.capture_learned_state(harness_with_slow_server().now)
    assert chosen_share(restored_harness(learned, 500.0), "s0") == 0.0
    assert chosen_share(BalancerHarness(count=4), "s0") > 0.1


def test_baseline_is_restored_with_fewer_outcomes_the_older_it_is():
    harness = harness_with_slow_server()
    learned = harness.balancer.capture_learned_state(harness.now)
    new, old = restored_harness(learned, 0.0).balancer, restored_harness(learned, 200_000.0).balancer
    assert new.parts.pool_load.baseline_ratio == old.parts.pool_load.baseline_ratio
    assert old.parts.pool_load.baseline_ratio == harness.parts.pool_load.baseline_ratio
    assert new.parts.pool_load.baseline_outcomes == BASELINE_LEARNING_OUTCOMES
    assert old.parts.pool_load.baseline_outcomes < BASELINE_LEARNING_OUTCOMES / 3


@given(st.floats(0.0, 2 * MAX_AGE_MS))
@hypothesis_settings(deadline=None, max_examples=50)
def test_no_restored_value_grows_with_its_age(age_ms: float):
    harness = harness_with_slow_server()
    learned = dataclasses.replace(
        harness.balancer.capture_learned_state(harness.now), cursor=12, baseline_error_share=0.5
    )
    younger, older = (
        restored_harness(learned, age_ms).balancer,
        restored_harness(learned, age_ms + 500.0).balancer,
    )
    assert younger.parts.table.cursor >= older.parts.table.cursor
    for name in ("completion_rate", "peak_completion_rate", "request_rate"):
        assert getattr(younger.parts.throughput, name) >= getattr(older.parts.throughput, name) >= 0.0
    for name in ("baseline_error_share", "baseline_outcomes"):
        assert getattr(younger.parts.pool_load, name) >= getattr(older.parts.pool_load, name) >= 0.0
    servers, later_servers = younger.parts.shared.pool.servers, older.parts.shared.pool.servers
    assert all(servers[name].error_rate >= later_servers[name].error_rate for name in servers)
    if age_ms > MAX_AGE_MS:
        fresh = BalancerHarness(count=4).servers
        assert (younger.parts.pool_load.baseline_ratio, younger.parts.table.cursor) == (None, 0)
        assert (younger.parts.throughput.peak_completion_rate, younger.parts.shared.class_latency_ms) == (
            0.0,
            {},
        )
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
    new.now = 50_000.0  # a different clock
    started = new.now - 3_000.0  # 1000 ms before the capture, which was 2000 ms ago
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
        server_stats.relative_latency is None
        and server_stats.error_rate == 0.0
        and not server_stats.reported_queue
        for server_stats in new.parts.shared.pool.servers.values()
    )
    assert new.parts.table.cursor == 0
    assert new.parts.pool_load.baseline_ratio is None, "a baseline ten minutes old has no weight left"


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
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 11_900.0)) == 2000.0  # wall clock adjusted slightly
    assert snapshot_age_ms((9e6, 9000.0), (3000.0, 11_000.0)) == 2000.0  # machine restarted
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 900_000.0)) is None  # wall clock set far ahead
    assert snapshot_age_ms((9e6, 9000.0), (3000.0, 8000.0)) is None


def test_start_times_and_retained_shares():
    assert is_same_start(1000.0, 500.0, 1500.0)
    assert not is_same_start(1000.0, 500.0, 300.0)
    assert is_same_start(None, 500.0, None)
    assert not is_same_start(None, 500.0, 300.0)
    assert retained_share(0.0, 1000.0) == 1.0
    assert retained_share(-1.0, 1000.0) == retained_share(MAX_AGE_MS + 1.0, 1e12) == 0.0


# ------------------------------------------------------------- snapshot file


def encoded_state() -> bytes:
    harness = harness_with_slow_server()
    return encode_snapshot("n0", harness.balancer.capture_learned_state(harness.now), 0.25, read_clocks())


def test_snapshot_round_trip():
    harness = harness_with_slow_server()
    learned = harness.balancer.capture_learned_state(harness.now)
    data = encode_snapshot("n0", learned, math.inf, ClockReading(5.0, 7.0))
    decoded = decode_snapshot(data, "n0", ClockReading(6.0, 8.0))
    assert decoded == Snapshot(learned, 1.0, math.inf)


def test_keys_of_the_snapshot_file_are_stable():
    """Other versions must read the file after an upgrade or a downgrade."""
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
    snapshot = VALID_SNAPSHOT
    at = data.draw(st.integers(0, len(snapshot) - 1))
    if data.draw(st.booleans()):
        damaged = snapshot[:at]  # truncated
    else:
        damaged = snapshot[:at] + bytes([snapshot[at] ^ data.draw(st.integers(1, 255))]) + snapshot[at + 1 :]
    with pytest.raises(SnapshotError, match=r"."):
        decode_snapshot(damaged, "n0", read_clocks())


VALID_SNAPSHOT = encoded_state()


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
    ("data", "reason"),
    [
        (b"", "not a snapshot"),
        (b"something else\n{}", "not a snapshot"),
        (VALID_SNAPSHOT.replace(b"learned 1 ", b"learned 2 ", 1), "has format version 2, not 1"),
        (VALID_SNAPSHOT[:-20], "bytes, its header declares"),
        (encode_snapshot("n7", LearnedState(), 1.0, read_clocks()), "belongs to another node, 'n7'"),
        (
            encode_snapshot("n0", LearnedState(), 1.0, ClockReading(1e15, 1e15)),
            "in the future on both clocks",
        ),
    ],
)
def test_unusable_snapshot_is_logged_and_renamed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, data: bytes, reason: str
):
    (tmp_path / snapshots.SNAPSHOT_NAME).write_bytes(data)
    assert SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read() is None
    assert reason in caplog.text
    assert (tmp_path / snapshots.REJECTED_NAME).read_bytes() == data
    assert not (tmp_path / snapshots.SNAPSHOT_NAME).exists()


def test_missing_folder_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture):
    writer = SnapshotWriter(str(tmp_path / "gone"), "n0", lambda: (LearnedState(), 1.0))
    assert writer.read() is None
    writer.write()
    writer.write()
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
            # Without a state folder nothing is read or written.
            async with node(hosts) as stateless:
                assert stateless.node.balancer.parts.pool_load.baseline_ratio is None

    run(main())


WRITER_SCRIPT = """
import sys
from rosewheel.policy.learned_state import LearnedServer, LearnedState
from rosewheel.proxy.snapshots import SnapshotWriter
learned = LearnedState({f"server-{at}": LearnedServer(None, relative_latency=1.0) for at in range(2000)})
writer = SnapshotWriter(sys.argv[1], "n0", lambda: (learned, 1.0))
while True:
    writer.write()
    print(flush=True)
"""


@pytest.mark.parametrize("writes", [1, 2, 5])
def test_snapshot_is_complete_after_its_writer_is_killed(tmp_path: Path, writes: int):
    """The writer is killed during its next write, which must not leave a truncated file."""
    command = [sys.executable, "-c", WRITER_SCRIPT, str(tmp_path)]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        for _ in range(writes):
            process.stdout.readline()
        process.kill()
    restored = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read()
    assert restored is not None
    assert len(restored.learned.servers) == 2000


def test_costly_snapshots_are_written_less_often(tmp_path: Path):
    async def main() -> None:
        writer = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0))
        writer.last_cost_s = 0.1
        writer.start()
        assert writer._timer is not None
        assert writer._timer.when() - asyncio_time() > 10.0
        writer.close()

    def asyncio_time() -> float:
        return asyncio.get_running_loop().time()

    asyncio.run(main())


def test_restoration_of_an_empty_state():
    balancer = Balancer(settings(), seed=1, now_ms=0.0)
    assert balancer.restore_learned_state(10.0, LearnedState(), 5.0) == 0


# ------------------------------------------------------------ sibling processes


def test_credit_is_shared_between_two_processes():
    """Two processes together may send a warming server no more than one could."""
    harness = BalancerHarness(4)
    for server_stats in harness.servers.values():
        server_stats.credit = 1.6
    harness.handle(ProcessCountChanged(2))
    assert [server_stats.credit for server_stats in harness.servers.values()] == [0.8] * 4
    harness.handle(ProcessCountChanged(2))
    harness.handle(ProcessCountChanged(1))
    assert [server_stats.credit for server_stats in harness.servers.values()] == [0.8] * 4, (
        "a process that ends adds no credit"
    )


def test_load_of_a_sibling_process_counts_once():
    """It worsens a rank like own load, and only once if the server's report includes it."""
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


class BlockedDisk:
    """Patches os.replace to wait until it is released, or for 5 s."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.started, self.release = threading.Event(), threading.Event()
        self.released: list[bool] = []
        original_replace = os.replace

        def blocked(path: str, target: str) -> None:
            self.started.set()
            self.released.append(self.release.wait(5.0))
            original_replace(path, target)

        monkeypatch.setattr(snapshots.os, "replace", blocked)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def test_slow_disk_does_not_block_the_event_loop(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshots, "PERIOD_S", 0.001)
    disk = BlockedDisk(monkeypatch)

    async def main() -> None:
        writer = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0), on_disk=True)
        writer.start()
        await until(disk.started.is_set)
        assert not disk.release.is_set()
        disk.release.set()  # reached only if the event loop is not blocked
        await until(lambda: (tmp_path / snapshots.SNAPSHOT_NAME).exists())
        # The cost is recorded and the next write is scheduled.
        await until(lambda: writer._timer is not None and writer.last_cost_s > 0.0)
        writer.close()

    asyncio.run(main())
    assert all(disk.released)
    assert SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read() is not None


def test_write_that_ends_after_close_replaces_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A later process may have written its own snapshot by then."""
    monkeypatch.setattr(snapshots, "PERIOD_S", 0.001)
    started, release = threading.Event(), threading.Event()

    def blocked(path: str, mode: str) -> IO[bytes]:
        started.set()
        release.wait(5.0)
        return open(path, mode)

    async def main() -> None:
        writer = SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0), on_disk=True)
        writer.start()
        await until(started.is_set)
        writer.close()
        (tmp_path / snapshots.SNAPSHOT_NAME).write_bytes(b"of the next one")
        release.set()

    monkeypatch.setattr(snapshots, "open", blocked, raising=False)
    asyncio.run(main())  # waits for its threads
    assert [path.name for path in tmp_path.iterdir()] == [snapshots.SNAPSHOT_NAME]
    assert (tmp_path / snapshots.SNAPSHOT_NAME).read_bytes() == b"of the next one"


@pytest.mark.parametrize("on_disk", [False, True])
def test_folder_that_disappears_is_logged_once_and_used_again(
    on_disk: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(snapshots, "PERIOD_S", 0.001)
    monkeypatch.setattr(snapshots, "MAX_TIME_SHARE", 1.0)
    folder = tmp_path / "state"
    captures = 0

    def capture() -> tuple[LearnedState, float]:
        nonlocal captures
        captures += 1
        return LearnedState(), 1.0

    async def main() -> None:
        writer = SnapshotWriter(str(folder), "n0", capture, on_disk)
        writer.start()
        await until(lambda: captures > 3)
        assert writer.failing
        folder.mkdir()
        await until((folder / snapshots.SNAPSHOT_NAME).exists)
        await until(lambda: not writer.failing)
        writer.close()

    asyncio.run(main())
    assert caplog.text.count("snapshot not written") == 1
