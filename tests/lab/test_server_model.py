"""Server model: each job is answered once, work is bounded by capacity, and warm-up and slowdown follow parameters."""

from __future__ import annotations

import dataclasses
import math

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rosewheel.lab.random_streams import random_stream
from rosewheel.lab.server_model import (
    Action,
    CallNextTier,
    DedupTable,
    EmulatedServer,
    Job,
    JobResult,
    JobStarted,
    LifecycleState,
    OverloadSlowdown,
    Reply,
    ServerCollapsed,
    ServerSpec,
)

SLOWDOWN = OverloadSlowdown(
    queue_per_core=2.0,
    trigger_ms=300.0,
    factor=3.0,
    recovery_ms=400.0,
    recovery_busy_share=0.3,
    max_ms=2000.0,
)
SPEC = ServerSpec(
    "e",
    0,
    cores=2,
    speed=1.5,
    concurrency_limit=4,
    queue_limit=3,
    contention_factor=0.1,
    contention_threshold=2.0,
    slowdown=SLOWDOWN,
)
PAUSES = dataclasses.replace(SPEC, pause_interval_ms=300.0, pause_ms=40.0, pause_growth=1.0, error_rate=0.1)
WARMING = dataclasses.replace(PAUSES, warm_up_initial_share=0.2, warm_up_ms=3000.0, overload_slack_ms=1e9)


def new_server(
    spec: ServerSpec, warming_up: bool = False, seed: int = 1, dedup_table: DedupTable | None = None
) -> EmulatedServer:
    return EmulatedServer(spec, dedup_table or DedupTable(), random_stream(seed, "test"), 0.0, warming_up)


def tick_until(server: EmulatedServer, until: float, step: float = math.inf) -> list[Action]:
    """Tick whenever the model is due, up to a time."""
    actions: list[Action] = []
    while (due := server.next_due_ms()) <= until:
        actions += server.tick(max(due, server._now))
    return actions + server.tick(until)


class Machine(RuleBasedStateMachine):
    """Requests, duplicates, calls, faults and ticks in any order and at any interval."""

    @initialize(
        spec=st.sampled_from([SPEC, PAUSES, WARMING]),
        warming_up=st.booleans(),
        seed=st.integers(0, 9),
        ticks_late=st.booleans(),
    )
    def begin(self, spec: ServerSpec, warming_up: bool, seed: int, ticks_late: bool) -> None:
        self.server, self.now, self.ticks_late = new_server(spec, warming_up, seed), 0.0, ticks_late
        self.sent: set[int] = set()
        self.replies: dict[int, JobResult] = {}
        self.started: set[int] = set()
        self.calls: list[int] = []
        self.keys: dict[str, int] = {}
        self.stopped = False

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Reply(id, result):
                    assert id in self.sent
                    assert id not in self.replies, "answered twice"
                    assert result is not JobResult.REJECTED or id not in self.started
                    self.replies[id] = result
                    self.server.finish_duplicate(id)
                case JobStarted(id):
                    assert id not in self.started, "executed twice"
                    self.started.add(id)
                case CallNextTier(id):
                    self.calls.append(id)

    @rule(wait=st.floats(0.0, 400.0))
    def pass_time(self, wait: float) -> None:
        self.now += wait
        self.apply(self.server.tick(self.now) if self.ticks_late else tick_until(self.server, self.now))

    @rule(
        work=st.lists(st.floats(0.0, 300.0), min_size=1, max_size=3),
        key=st.sampled_from([None, "a", "b"]),
    )
    def send_request(self, work: list[float], key: str | None) -> None:
        id = len(self.sent)
        self.sent.add(id)
        self.apply(self.server.tick(self.now))
        self.apply(self.server.submit(self.now, Job(id, tuple(work), key, dedup_window_ms=1000.0)))

    @rule(succeeded=st.booleans())
    def finish_call(self, succeeded: bool) -> None:
        if self.calls:
            self.apply(self.server.call_finished(self.now, self.calls.pop(0), succeeded))

    @rule(factor=st.sampled_from([1.0, 4.0]), share=st.sampled_from([0.0, 0.6]))
    def inject_faults(self, factor: float, share: float) -> None:
        self.server.set_slow_factor(self.now, factor)
        self.server.set_neighbour_share(self.now, share)

    @rule()
    def check_health(self) -> None:
        assert self.server.check_health(self.now) is (self.server.state is LifecycleState.UP)

    @rule()
    def drain(self) -> None:
        self.server.drain(self.now)

    @invariant()
    def work_is_bounded_by_capacity(self) -> None:
        if hasattr(self, "server"):
            spec = self.server.spec
            assert self.server.work_done_ms <= spec.cores * spec.speed * self.now * (1 + 1e-9) + 1e-6

    @invariant()
    def every_job_is_present_or_answered(self) -> None:
        if hasattr(self, "server"):
            assert self.sent == set(self.replies) | set(self.server.jobs)
            assert not set(self.replies) & set(self.server.jobs)
            running_jobs = sum(1 for running in self.server.processor.running if running.job is not None)
            assert running_jobs + self.server.awaiting_calls <= self.server.spec.concurrency_limit
            assert len(self.server.queued) <= self.server.spec.queue_limit

    def teardown(self) -> None:
        if not hasattr(self, "server"):
            return
        # Every job is answered once all calls have ended and no fault is active.
        self.server.set_slow_factor(self.now, 1.0)
        self.server.set_neighbour_share(self.now, 0.0)
        for _ in range(200):
            while self.calls:
                self.finish_call(True)
            if not self.server.jobs:
                break
            self.now += 500.0
            self.apply(tick_until(self.server, self.now))
        assert not self.server.jobs
        assert set(self.replies) == self.sent


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


@given(st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(1.0, 400.0)), min_size=1, max_size=30))
@settings(deadline=None, max_examples=50)
def test_a_late_tick_changes_no_response(arrivals: list[tuple[float, float]]):
    """The timers of the emulator may be late, so responses must not depend on when the model is ticked."""
    replies = []
    for step in (math.inf, 7.0):
        server, now, actions = new_server(SPEC), 0.0, []
        for id, (wait, work) in enumerate(arrivals):
            now += wait
            actions += server.tick(now) if step == math.inf else tick_until(server, now)
            actions += server.submit(now, Job(id, (work,)))
        actions += tick_until(server, now + 1e5)
        replies.append([action for action in actions if isinstance(action, Reply)])
    assert replies[0] == replies[1]


def send_jobs(server: EmulatedServer, now: float, count: int, work: float = 1e6) -> None:
    for id in range(count):
        server.submit(now, Job(id, (work,)))


def test_the_overload_slowdown_begins_and_ends_by_its_parameters():
    spec = dataclasses.replace(SPEC, concurrency_limit=50, contention_factor=0.0)
    server = new_server(spec)
    send_jobs(server, 0.0, 6)  # 4 wait for 2 cores, which is not above 2 per core
    tick_until(server, 1000.0)
    assert server.slowed_since_ms is None
    full = server.capacity
    server.submit(1000.0, Job(100, (1e6,)))
    tick_until(server, 1000.0 + SLOWDOWN.trigger_ms - 1.0)
    assert server.slowed_since_ms is None
    tick_until(server, 1000.0 + SLOWDOWN.trigger_ms)
    assert server.slowed_since_ms == 1000.0 + SLOWDOWN.trigger_ms
    assert math.isclose(server.capacity, full / SLOWDOWN.factor)
    tick_until(server, server.slowed_since_ms + SLOWDOWN.max_ms - 60.0)
    assert server.slowed_since_ms is not None, "recovered while busy"
    tick_until(server, server.slowed_since_ms + SLOWDOWN.max_ms + 60.0)
    assert server.slowed_since_ms is None or server.slowed_since_ms > 3000.0


def test_a_slowed_server_recovers_once_it_is_mostly_idle():
    spec = dataclasses.replace(SPEC, concurrency_limit=50, contention_factor=0.0)
    server = new_server(spec)
    send_jobs(server, 0.0, 10, work=150.0)  # ends soon after the slowdown has begun
    tick_until(server, 310.0)
    assert server.slowed_since_ms is not None
    tick_until(server, 3000.0)
    assert not server.jobs
    assert server.slowed_since_ms is None


@given(st.floats(0.0, 3000.0))
def test_the_capacity_of_a_warming_server_starts_at_its_share_and_grows(at_ms: float):
    server = new_server(dataclasses.replace(WARMING, pause_ms=0.0, error_rate=0.0), warming_up=True)
    send_jobs(server, 0.0, 2)
    tick_until(server, at_ms)
    share = server.capacity / (WARMING.cores * WARMING.speed)
    assert WARMING.warm_up_initial_share - 1e-9 <= share <= server.warm_up_share(at_ms) + 1e-9
    assert server.warm_up_share(at_ms) >= WARMING.warm_up_initial_share
    assert server.warm_up_share(3000.0) == 1.0


def test_a_warming_server_collapses_above_its_overload_factor_only():
    spec = dataclasses.replace(
        WARMING, pause_ms=0.0, overload_slack_ms=0.0, concurrency_limit=500, slowdown=None
    )
    limit_ms = (
        spec.overload_factor * spec.cores * spec.speed * spec.warm_up_initial_share * spec.overload_window_ms
    )
    server = new_server(spec, warming_up=True)
    assert not any(
        isinstance(action, ServerCollapsed) for action in server.submit(0.0, Job(1, (limit_ms * 0.99,)))
    )
    actions = server.submit(0.0, Job(2, (limit_ms * 0.02,), sender_informed=False))
    collapses = [action for action in actions if isinstance(action, ServerCollapsed)]
    assert len(collapses) == 1
    assert collapses[0].informed_share > 0.9
    assert server.state is LifecycleState.DOWN
    assert server.submit(1.0, Job(3, (1.0,))) == [Reply(3, JobResult.REJECTED)]


def test_load_before_the_window_does_not_count_towards_a_collapse():
    spec = dataclasses.replace(
        WARMING, pause_ms=0.0, overload_slack_ms=0.0, concurrency_limit=500, slowdown=None
    )
    limit_ms = (
        spec.overload_factor * spec.cores * spec.speed * spec.warm_up_initial_share * spec.overload_window_ms
    )
    server = new_server(spec, warming_up=True)
    for number in range(5):
        actions = server.submit(number * spec.overload_window_ms, Job(number, (limit_ms * 0.9,)))
        assert not any(isinstance(action, ServerCollapsed) for action in actions)


def test_a_duplicate_within_the_cell_is_executed_once_and_both_are_answered():
    dedup_table = DedupTable()
    first = new_server(SPEC, dedup_table=dedup_table)
    second = new_server(SPEC, dedup_table=dedup_table, seed=2)
    actions = first.submit(0.0, Job(1, (150.0,), "k", dedup_window_ms=1000.0))
    assert actions == [JobStarted(1)]
    assert second.submit(10.0, Job(2, (150.0,), "k", dedup_window_ms=1000.0)) == []
    actions = tick_until(first, 200.0)
    assert actions == [Reply(1, JobResult.SERVED), Reply(2, JobResult.SERVED)]
    assert second.finish_duplicate(2)
    assert second.submit(300.0, Job(3, (150.0,), "k", dedup_window_ms=1000.0)) == [Reply(3, JobResult.SERVED)]
    # The request is executed again after the deduplication window.
    assert second.submit(1001.0, Job(4, (150.0,), "k", dedup_window_ms=1000.0)) == [JobStarted(4)]


def test_load_reports_are_periodic_and_delayed():
    spec = dataclasses.replace(SPEC, concurrency_limit=50, report_period_ms=100.0, report_delay_ms=30.0)
    server = new_server(spec)
    send_jobs(server, 50.0, 12)
    assert server.reported_queue(60.0) == 0.0
    assert server.reported_queue(129.0) == 0.0
    assert server.reported_queue(130.0) == 10.0


@given(st.floats(1e3, 1e5), st.floats(100.0, 2000.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_due_slowdown_begins_at_once(start: float, trigger_ms: float) -> None:
    """Rounding must not keep the model due at the same time without beginning the slowdown."""
    spec = dataclasses.replace(
        SPEC, concurrency_limit=40, slowdown=dataclasses.replace(SLOWDOWN, trigger_ms=trigger_ms)
    )
    server = new_server(spec)
    for number in range(30):
        server.submit(start, Job(number, (100_000.0,)))
    server.tick(server.next_due_ms())
    assert server.slowed_since_ms is not None


def test_a_server_with_forced_errors_fails_that_share_at_once() -> None:
    server = new_server(SPEC)
    server.forced_error_share = 0.5
    at_once = 0
    for id in range(100):
        actions = server.submit(id * 100.0, Job(id, (10.0,)))
        at_once += any(isinstance(action, Reply) and action.result is JobResult.ERROR for action in actions)
        tick_until(server, id * 100.0 + 99.0)
    assert 30 < at_once < 70
    assert server.work_done_ms > 0.0
