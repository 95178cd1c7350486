"""The model of an equipo: what goes in comes out once, no work out of nothing, cold and slowed as its figures say."""

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

CHOKE = OverloadSlowdown(
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
    slowdown=CHOKE,
)
PAUSES = dataclasses.replace(SPEC, pause_interval_ms=300.0, pause_ms=40.0, pause_growth=1.0, error_rate=0.1)
COLD = dataclasses.replace(PAUSES, warm_up_initial_share=0.2, warm_up_ms=3000.0, overload_slack_ms=1e9)


def made(
    spec: ServerSpec, cold: bool = False, seed: int = 1, memory: DedupTable | None = None
) -> EmulatedServer:
    return EmulatedServer(spec, memory or DedupTable(), random_stream(seed, "test"), 0.0, cold)


def play(equipo: EmulatedServer, until: float, step: float = math.inf) -> list[Action]:
    """Tick at every due moment up to this one."""
    acts: list[Action] = []
    while (due := equipo.next_due_ms()) <= until:
        acts += equipo.tick(max(due, equipo._now))
    return acts + equipo.tick(until)


class Machine(RuleBasedStateMachine):
    """Requests, repeats, calls, troubles and ticks in any order, at any pace."""

    @initialize(
        spec=st.sampled_from([SPEC, PAUSES, COLD]),
        cold=st.booleans(),
        seed=st.integers(0, 9),
        late=st.booleans(),
    )
    def begin(self, spec: ServerSpec, cold: bool, seed: int, late: bool) -> None:
        self.equipo, self.now, self.late = made(spec, cold, seed), 0.0, late
        self.sent: set[int] = set()
        self.replies: dict[int, JobResult] = {}
        self.began: set[int] = set()
        self.calls: list[int] = []
        self.keys: dict[str, int] = {}
        self.stopped = False

    def take(self, acts: list[Action]) -> None:
        for act in acts:
            match act:
                case Reply(id, verdict):
                    assert id in self.sent
                    assert id not in self.replies, "a second answer"
                    assert verdict is not JobResult.REJECTED or id not in self.began
                    self.replies[id] = verdict
                    self.equipo.finish_duplicate(id)
                case JobStarted(id):
                    assert id not in self.began, "run twice"
                    self.began.add(id)
                case CallNextTier(id):
                    self.calls.append(id)

    @rule(wait=st.floats(0.0, 400.0))
    def pass_time(self, wait: float) -> None:
        self.now += wait
        self.take(self.equipo.tick(self.now) if self.late else play(self.equipo, self.now))

    @rule(
        work=st.lists(st.floats(0.0, 300.0), min_size=1, max_size=3),
        key=st.sampled_from([None, "a", "b"]),
    )
    def ask(self, work: list[float], key: str | None) -> None:
        id = len(self.sent)
        self.sent.add(id)
        self.take(self.equipo.tick(self.now))
        self.take(self.equipo.arrive(self.now, Job(id, tuple(work), key, dedup_window_ms=1000.0)))

    @rule(ok=st.booleans())
    def call_returns(self, ok: bool) -> None:
        if self.calls:
            self.take(self.equipo.call_finished(self.now, self.calls.pop(0), ok))

    @rule(factor=st.sampled_from([1.0, 4.0]), share=st.sampled_from([0.0, 0.6]))
    def trouble(self, factor: float, share: float) -> None:
        self.equipo.set_slow_factor(self.now, factor)
        self.equipo.set_neighbour_share(self.now, share)

    @rule()
    def probe(self) -> None:
        assert self.equipo.check_health(self.now) is (self.equipo.state is LifecycleState.UP)

    @rule()
    def drain(self) -> None:
        self.equipo.drain(self.now)

    @invariant()
    def no_work_out_of_nothing(self) -> None:
        if hasattr(self, "equipo"):
            spec = self.equipo.spec
            assert self.equipo.work_done_ms <= spec.cores * spec.speed * self.now * (1 + 1e-9) + 1e-6

    @invariant()
    def all_that_came_is_here_or_answered(self) -> None:
        if hasattr(self, "equipo"):
            assert self.sent == set(self.replies) | set(self.equipo.jobs)
            assert not set(self.replies) & set(self.equipo.jobs)
            working = sum(1 for running in self.equipo.processor.running if running.job is not None)
            assert working + self.equipo.awaiting_calls <= self.equipo.spec.concurrency_limit
            assert len(self.equipo.queued) <= self.equipo.spec.queue_limit

    def teardown(self) -> None:
        if not hasattr(self, "equipo"):
            return
        # In the end, with every call answered and no more troubles, everything comes out.
        self.equipo.set_slow_factor(self.now, 1.0)
        self.equipo.set_neighbour_share(self.now, 0.0)
        for _ in range(200):
            while self.calls:
                self.call_returns(True)
            if not self.equipo.jobs:
                break
            self.now += 500.0
            self.take(play(self.equipo, self.now))
        assert not self.equipo.jobs
        assert set(self.replies) == self.sent


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


@given(st.lists(st.tuples(st.floats(0.0, 500.0), st.floats(1.0, 400.0)), min_size=1, max_size=30))
@settings(deadline=None, max_examples=50)
def test_a_late_tick_changes_no_answer(asks: list[tuple[float, float]]):
    """Guards a run against the emulator's own timers: what is done does not depend on when it is looked at."""
    ends = []
    for step in (math.inf, 7.0):
        equipo, now, got = made(SPEC), 0.0, []
        for id, (wait, work) in enumerate(asks):
            now += wait
            got += equipo.tick(now) if step == math.inf else play(equipo, now)
            got += equipo.arrive(now, Job(id, (work,)))
        got += play(equipo, now + 1e5)
        ends.append([act for act in got if isinstance(act, Reply)])
    assert ends[0] == ends[1]


def crowd(equipo: EmulatedServer, now: float, count: int, work: float = 1e6) -> None:
    for id in range(count):
        equipo.arrive(now, Job(id, (work,)))


def test_the_lasting_slowdown_begins_and_ends_by_its_figures():
    spec = dataclasses.replace(SPEC, concurrency_limit=50, contention_factor=0.0)
    equipo = made(spec)
    crowd(equipo, 0.0, 6)  # 4 wait for 2 cores: not more than 2 for each
    play(equipo, 1000.0)
    assert equipo.slowed_since_ms is None
    full = equipo.capacity
    equipo.arrive(1000.0, Job(100, (1e6,)))
    play(equipo, 1000.0 + CHOKE.trigger_ms - 1.0)
    assert equipo.slowed_since_ms is None
    play(equipo, 1000.0 + CHOKE.trigger_ms)
    assert equipo.slowed_since_ms == 1000.0 + CHOKE.trigger_ms
    assert math.isclose(equipo.capacity, full / CHOKE.factor)
    play(equipo, equipo.slowed_since_ms + CHOKE.max_ms - 60.0)
    assert equipo.slowed_since_ms is not None, "it stays while it is busy"
    play(equipo, equipo.slowed_since_ms + CHOKE.max_ms + 60.0)
    assert equipo.slowed_since_ms is None or equipo.slowed_since_ms > 3000.0


def test_a_slowed_equipo_recovers_once_it_is_mostly_idle():
    spec = dataclasses.replace(SPEC, concurrency_limit=50, contention_factor=0.0)
    equipo = made(spec)
    crowd(equipo, 0.0, 10, work=150.0)  # done soon after it has turned slow
    play(equipo, 310.0)
    assert equipo.slowed_since_ms is not None
    play(equipo, 3000.0)
    assert not equipo.jobs
    assert equipo.slowed_since_ms is None


@given(st.floats(0.0, 3000.0))
def test_a_cold_equipo_has_its_share_and_no_less_later(at: float):
    equipo = made(dataclasses.replace(COLD, pause_ms=0.0, error_rate=0.0), cold=True)
    crowd(equipo, 0.0, 2)
    play(equipo, at)
    share = equipo.capacity / (COLD.cores * COLD.speed)
    assert COLD.warm_up_initial_share - 1e-9 <= share <= equipo.warm_up_share(at) + 1e-9
    assert equipo.warm_up_share(at) >= COLD.warm_up_initial_share
    assert equipo.warm_up_share(3000.0) == 1.0


def test_a_cold_equipo_tips_over_past_its_multiple_and_not_before():
    spec = dataclasses.replace(
        COLD, pause_ms=0.0, overload_slack_ms=0.0, concurrency_limit=500, slowdown=None
    )
    bound = (
        spec.overload_factor * spec.cores * spec.speed * spec.warm_up_initial_share * spec.overload_window_ms
    )
    equipo = made(spec, cold=True)
    assert not any(isinstance(act, ServerCollapsed) for act in equipo.arrive(0.0, Job(1, (bound * 0.99,))))
    acts = equipo.arrive(0.0, Job(2, (bound * 0.02,), sender_informed=False))
    fell = [act for act in acts if isinstance(act, ServerCollapsed)]
    assert len(fell) == 1
    assert fell[0].informed_share > 0.9
    assert equipo.state is LifecycleState.DOWN
    assert equipo.arrive(1.0, Job(3, (1.0,))) == [Reply(3, JobResult.REJECTED)]


def test_what_came_before_the_window_does_not_tip():
    spec = dataclasses.replace(
        COLD, pause_ms=0.0, overload_slack_ms=0.0, concurrency_limit=500, slowdown=None
    )
    bound = (
        spec.overload_factor * spec.cores * spec.speed * spec.warm_up_initial_share * spec.overload_window_ms
    )
    equipo = made(spec, cold=True)
    for number in range(5):
        acts = equipo.arrive(number * spec.overload_window_ms, Job(number, (bound * 0.9,)))
        assert not any(isinstance(act, ServerCollapsed) for act in acts)


def test_a_repeat_within_the_grupo_runs_once_and_both_are_answered():
    memory = DedupTable()
    one, two = made(SPEC, memory=memory), made(SPEC, memory=memory, seed=2)
    acts = one.arrive(0.0, Job(1, (150.0,), "k", dedup_window_ms=1000.0))
    assert acts == [JobStarted(1)]
    assert two.arrive(10.0, Job(2, (150.0,), "k", dedup_window_ms=1000.0)) == []
    ended = play(one, 200.0)
    assert ended == [Reply(1, JobResult.SERVED), Reply(2, JobResult.SERVED)]
    assert two.finish_duplicate(2)
    assert two.arrive(300.0, Job(3, (150.0,), "k", dedup_window_ms=1000.0)) == [Reply(3, JobResult.SERVED)]
    # Past the time for which the key is remembered it runs anew.
    assert two.arrive(1001.0, Job(4, (150.0,), "k", dedup_window_ms=1000.0)) == [JobStarted(4)]


def test_reports_are_refreshed_now_and_then_and_come_late():
    spec = dataclasses.replace(SPEC, concurrency_limit=50, report_period_ms=100.0, report_delay_ms=30.0)
    equipo = made(spec)
    crowd(equipo, 50.0, 12)
    assert equipo.reported_queue(60.0) == 0.0
    assert equipo.reported_queue(129.0) == 0.0
    assert equipo.reported_queue(130.0) == 10.0


@given(st.floats(1e3, 1e5), st.floats(100.0, 2000.0))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_what_is_due_comes_about_at_that_moment_and_not_for_ever(start: float, over_ms: float) -> None:
    spec = dataclasses.replace(
        SPEC, concurrency_limit=40, slowdown=dataclasses.replace(CHOKE, trigger_ms=over_ms)
    )
    equipo = made(spec)
    for number in range(30):
        equipo.arrive(start, Job(number, (100_000.0,)))
    equipo.tick(equipo.next_due_ms())
    assert equipo.slowed_since_ms is not None


def test_an_equipo_that_fails_answers_its_share_at_once_and_works_on_the_rest() -> None:
    equipo = made(SPEC)
    equipo.forced_error_share = 0.5
    at_once = 0
    for id in range(100):
        acts = equipo.arrive(id * 100.0, Job(id, (10.0,)))
        at_once += any(isinstance(act, Reply) and act.result is JobResult.ERROR for act in acts)
        play(equipo, id * 100.0 + 99.0)
    assert 30 < at_once < 70
    assert equipo.work_done_ms > 0.0
