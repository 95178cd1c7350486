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
from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.learned_state_codec import (
    learned_state_from_json,
    learned_state_to_json,
    snapshot_age_ms,
)
from rosewheel.policy.learned_state_restore import OLDEST_MS, is_same_start, retained_share
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
from tests.support.balancers import Bed, sent, settings
from tests.support.sockets import FakeServer, entry, node, run

ROOT = Path(__file__).parent.parent.parent


def taught(slow: str = "s0") -> Bed:
    """A module that has learned that one of four servers is slow."""
    bed = Bed()
    for _ in range(120):
        name, acts = bed.ask()
        server = sent(acts)[0].server
        latency = 400.0 if server == slow else 50.0
        bed.now += 20.0
        bed.end(name, server, AttemptResult.OK, latency)
        if len(bed.parts.pool_load.latency_ratios) >= 10:
            bed.period()
    bed.period()
    return bed


def heir(learned: LearnedState, age_ms: float, servers: tuple[Server, ...] | None = None) -> Bed:
    """A new module that is given this, on a clock of its own."""
    bed = Bed(count=4)
    if servers is not None:
        bed.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers))
    bed.balancer.restore_learned_state(bed.now, learned, age_ms)
    return bed


def share_of(bed: Bed, server: str, asks: int = 200) -> float:
    """How often it is picked, with nothing else in flight."""
    picked = 0
    for _ in range(asks):
        name, acts = bed.ask()
        picked += sent(acts)[0].server == server
        bed.give(ClientDisconnected(name))
        bed.end(name, sent(acts)[0].server, AttemptResult.CANCELLED, 1.0, done=True)
    return picked / asks


def test_a_slow_server_stays_known_as_slow_over_a_restart():
    learned = taught().balancer.capture_learned_state(taught().now)
    assert share_of(heir(learned, 500.0), "s0") == 0.0
    assert share_of(Bed(count=4), "s0") > 0.1


def test_the_baseline_is_taken_back_and_new_outcomes_replace_it_sooner_the_older_it_is():
    bed = taught()
    learned = bed.balancer.capture_learned_state(bed.now)
    young, old = heir(learned, 0.0).balancer, heir(learned, 200_000.0).balancer
    assert young.parts.pool_load.baseline_ratio == old.parts.pool_load.baseline_ratio
    assert old.parts.pool_load.baseline_ratio == bed.parts.pool_load.baseline_ratio
    assert young.parts.pool_load.baseline_outcomes == BASELINE_LEARNING_OUTCOMES
    assert old.parts.pool_load.baseline_outcomes < BASELINE_LEARNING_OUTCOMES / 3


@given(st.floats(0.0, 2 * OLDEST_MS))
@hypothesis_settings(deadline=None, max_examples=50)
def test_nothing_counts_more_as_it_ages(age_ms: float):
    bed = taught()
    learned = dataclasses.replace(
        bed.balancer.capture_learned_state(bed.now), cursor=12, baseline_error_share=0.5
    )
    here, later = heir(learned, age_ms).balancer, heir(learned, age_ms + 500.0).balancer
    assert here.parts.table.cursor >= later.parts.table.cursor
    for name in ("completion_rate", "peak_completion_rate", "request_rate"):
        assert getattr(here.parts.throughput, name) >= getattr(later.parts.throughput, name) >= 0.0
    for name in ("baseline_error_share", "baseline_outcomes"):
        assert getattr(here.parts.pool_load, name) >= getattr(later.parts.pool_load, name) >= 0.0
    servers, later_servers = here.parts.shared.pool.servers, later.parts.shared.pool.servers
    assert all(servers[name].error_rate >= later_servers[name].error_rate for name in servers)
    if age_ms > OLDEST_MS:
        fresh = Bed(count=4).servers
        assert (here.parts.pool_load.baseline_ratio, here.parts.table.cursor) == (None, 0)
        assert (here.parts.throughput.peak_completion_rate, here.parts.shared.class_latency_ms) == (0.0, {})
        assert all(server.error_rate == fresh[name].error_rate for name, server in servers.items())


def test_a_server_that_restarted_meanwhile_is_fresh_and_one_that_did_not_is_as_cold_as_it_was():
    bed = Bed(count=0)
    bed.give(
        EndpointListUpdate(
            EndpointListForm.SNAPSHOT, (Server("a", launched_ms=0.0), Server("b", launched_ms=0.0))
        )
    )
    for name in ("a", "b"):
        bed.servers[name].relative_latency, bed.servers[name].last_outcome_ms = 5.0, bed.now
    learned = bed.balancer.capture_learned_state(bed.now)  # both started 1000 ms ago
    new = Bed(count=0)
    new.now = 50_000.0  # another clock
    started = new.now - 3_000.0  # 1000 ms, and 2000 ms since then
    servers = (Server("a", launched_ms=started + 100.0), Server("b", launched_ms=started + 1_900.0))
    new.give(EndpointListUpdate(EndpointListForm.SNAPSHOT, servers))
    assert new.balancer.restore_learned_state(new.now, learned, 2_000.0) == 1
    assert new.balancer.parts.shared.pool.servers["a"].relative_latency == 5.0
    assert new.balancer.parts.shared.pool.servers["b"].relative_latency is None


def test_a_fleet_that_has_been_replaced_takes_nothing_of_the_old_servers():
    bed = taught()
    replaced = tuple(Server(f"new{at}") for at in range(4))
    new = heir(bed.balancer.capture_learned_state(bed.now), 599_000.0, replaced).balancer
    assert all(
        peer.relative_latency is None and peer.error_rate == 0.0 and not peer.reported_queue
        for peer in new.parts.shared.pool.servers.values()
    )
    assert new.parts.table.cursor == 0
    assert new.parts.pool_load.baseline_ratio is None, "ten minutes old: no better than none"


def test_what_was_heard_here_since_is_not_overwritten():
    bed = taught()
    learned = bed.balancer.capture_learned_state(bed.now)
    new = Bed(count=4)
    server = new.serve()
    slow = new.balancer.parts.shared.pool.servers[server].relative_latency
    new.balancer.restore_learned_state(new.now, learned, 0.0)
    assert new.balancer.parts.shared.pool.servers[server].relative_latency == slow


def test_the_age_is_told_by_the_clock_that_can():
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 11_000.0)) == 2000.0
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 11_900.0)) == 2000.0  # the time of day is set a little
    assert snapshot_age_ms((9e6, 9000.0), (3000.0, 11_000.0)) == 2000.0  # the machine started anew
    assert snapshot_age_ms((1000.0, 9000.0), (3000.0, 900_000.0)) is None  # the time of day was set by far
    assert snapshot_age_ms((9e6, 9000.0), (3000.0, 8000.0)) is None


def test_starts_and_weights():
    assert is_same_start(1000.0, 500.0, 1500.0)
    assert not is_same_start(1000.0, 500.0, 300.0)
    assert is_same_start(None, 500.0, None)
    assert not is_same_start(None, 500.0, 300.0)
    assert retained_share(0.0, 1000.0) == 1.0
    assert retained_share(-1.0, 1000.0) == retained_share(OLDEST_MS + 1.0, 1e12) == 0.0


# ------------------------------------------------------------------ the file


def written() -> bytes:
    bed = taught()
    return encode_snapshot("n0", bed.balancer.capture_learned_state(bed.now), 0.25, read_clocks())


def test_what_is_written_is_read_back_the_same():
    bed = taught()
    learned = bed.balancer.capture_learned_state(bed.now)
    data = encode_snapshot("n0", learned, math.inf, ClockReading(5.0, 7.0))
    kept = decode_snapshot(data, "n0", ClockReading(6.0, 8.0))
    assert kept == Snapshot(learned, 1.0, math.inf)


@given(st.data())
@hypothesis_settings(deadline=None, max_examples=200)
def test_no_damage_is_taken_for_good(data: st.DataObject):
    whole = GOOD
    at = data.draw(st.integers(0, len(whole) - 1))
    if data.draw(st.booleans()):
        broken = whole[:at]  # half written
    else:
        broken = whole[:at] + bytes([whole[at] ^ data.draw(st.integers(1, 255))]) + whole[at + 1 :]
    with pytest.raises(SnapshotError, match=r"."):
        decode_snapshot(broken, "n0", read_clocks())


GOOD = written()


@pytest.mark.parametrize("key", ["errs", "queue", "credit", "heard_ago_ms"])
@pytest.mark.parametrize("value", [-1.0, 1e300, True, "1", [1]])
def test_a_figure_that_no_module_can_have_is_refused(key: str, value: Any):
    row = orjson.loads(orjson.dumps(learned_state_to_json(taught().balancer.capture_learned_state(5000.0))))
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
def test_what_is_of_no_use_is_logged_and_set_aside(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, data: bytes, why: str
):
    (tmp_path / snapshots.SNAPSHOT_NAME).write_bytes(data)
    assert SnapshotWriter(str(tmp_path), "n0", lambda: (LearnedState(), 1.0)).read() is None
    assert why in caplog.text
    assert (tmp_path / snapshots.REJECTED_NAME).read_bytes() == data
    assert not (tmp_path / snapshots.SNAPSHOT_NAME).exists()


def test_a_folder_that_is_gone_costs_one_line_and_no_more(tmp_path: Path, caplog: pytest.LogCaptureFixture):
    kept = SnapshotWriter(str(tmp_path / "gone"), "n0", lambda: (LearnedState(), 1.0))
    assert kept.read() is None
    kept.write()
    kept.write()
    assert caplog.text.count("snapshot not written") == 1


def test_a_node_begins_with_what_the_one_before_it_had_learned(tmp_path: Path):
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
def test_whatever_kills_the_writer_the_file_is_whole(tmp_path: Path, writes: int):
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


def test_one_is_written_seldom_where_it_costs_much(tmp_path: Path):
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


def test_recalling_is_a_part_of_the_module_that_reads_no_clock():
    one = Balancer(settings(), seed=1, now_ms=0.0)
    assert one.restore_learned_state(10.0, LearnedState(), 5.0) == 0


# ------------------------------------------------------------------ two processes


def test_the_credit_for_cold_servers_is_shared_out_between_two_processes():
    """Both together may send a cold server no more than the one process could before the other came."""
    bed = Bed(4)
    for peer in bed.servers.values():
        peer.credit = 1.6
    bed.give(ProcessCountChanged(2))
    assert [peer.credit for peer in bed.servers.values()] == [0.8] * 4
    bed.give(ProcessCountChanged(2))
    bed.give(ProcessCountChanged(1))
    assert [peer.credit for peer in bed.servers.values()] == [0.8] * 4, "none comes from nothing"


def test_what_the_other_process_has_in_flight_counts_once():
    """It ranks a server down as one's own calls do, and no more where the server's own report has it in it."""
    bed = Bed(2)
    bed.give(SiblingProcessLoad({"s0": 6.0}))
    assert {bed.serve() for _ in range(4)} == {"s1"}
    first, second = bed.servers["s0"], bed.servers["s1"]
    first.relative_latency = second.relative_latency = None
    first.load = second.load = 0.0
    second.reported_queue, second.last_report_ms = 6.0, bed.now
    first.reported_queue, first.last_report_ms = 6.0, bed.now
    ratio = bed.parts.ranking.rank(bed.now, first) / bed.parts.ranking.rank(bed.now, second)
    assert 0.8 < ratio < 1.25
    bed.give(SiblingProcessLoad({}))
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


def test_a_disk_that_holds_a_file_up_does_not_hold_the_loop_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
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


def test_one_that_a_disk_holds_up_past_the_end_replaces_nothing(
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
def test_a_folder_that_goes_under_way_costs_one_line_and_is_written_again_once_back(
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
