"""The four rules over random legal sequences of events, against a small referee of the wire's rules."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from rosewheel.policy.actions import Action, CancelAttempt, FailRequest, ForwardRequest, RejectRequest
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    EndpointListForm,
    EndpointListUpdate,
    Event,
    RequestReceived,
    ResponseStarted,
    Server,
    ServerState,
    TimerFired,
)
from rosewheel.policy.settings import DedupScope, Idempotency, ServiceClass, Settings

NEVER = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
CLASSES = (
    ServiceClass("safe", 1000, 2500, priority_weight=5, idempotency=Idempotency.IDEMPOTENT),
    ServiceClass("late", 1000, 2500, priority_weight=2, late_weight=0.4, idempotency=Idempotency.IDEMPOTENT),
    ServiceClass("unsafe", 800, 2000, idempotency=Idempotency.NON_IDEMPOTENT),
    ServiceClass(
        "all",
        800,
        2000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_scope=DedupScope.ALL,
        dedup_window_ms=400,
    ),
    ServiceClass(
        "zone",
        800,
        2000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_scope=DedupScope.ZONE,
        dedup_window_ms=900,
    ),
    ServiceClass(
        "cell",
        800,
        2000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        dedup_scope=DedupScope.CELL,
        dedup_window_ms=900,
    ),
    ServiceClass("stream", 800, 2000, streaming=True, idempotency=Idempotency.NON_IDEMPOTENT),
)
COLD_MS, TIP_MS = 8000.0, 1500.0


@dataclass
class Call:
    """What the referee knows of one request."""

    kind: ServiceClass
    give_up: float
    tries: list[tuple[Server, float]] = field(default_factory=list)
    results: dict[int, AttemptResult] = field(default_factory=dict)
    ended: bool = False
    streaming: int | None = None

    def out(self) -> list[int]:
        return [at for at in range(len(self.tries)) if at not in self.results]

    def may_have_run(self) -> list[tuple[Server, float]]:
        return [item for at, item in enumerate(self.tries) if self.results.get(at) not in NEVER]


class Referee:
    def __init__(self, seed: int, max_attempts: int, cancel: bool) -> None:
        self.now = 500.0
        self.cfg = Settings(
            classes=CLASSES, zone="a", balancer_count=2, poll_discovery=True, may_cancel=cancel,
            max_attempts=max_attempts, warm_up_initial_share=0.25, warm_up_ms=COLD_MS, overload_window_ms=TIP_MS,
        )  # fmt: skip
        self.balancer = Balancer(self.cfg, seed, self.now)
        self.calls: dict[str, Call] = {}
        self.listed: dict[str, Server] = {}
        self.cold: dict[str, deque[float]] = {}
        self.names = 0

    def give(self, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and event.form is not EndpointListForm.FAILED:
            if event.form is not EndpointListForm.DELTA:
                self.listed = {}
            self.listed.update({row.address: row for row in event.servers})
        if isinstance(event, RequestReceived):
            kind = next(kind for kind in CLASSES if kind.name == event.service)
            self.calls[event.id] = Call(kind, event.deadline_at_ms)
        for act in self.balancer.handle(self.now, event):
            self.check(act)
        for name, call in self.calls.items():  # an open request with nothing out would never be answered
            assert call.ended or call.out(), name

    def check(self, act: Action) -> None:
        if isinstance(act, ForwardRequest):
            self.check_send(act)
        elif isinstance(act, RejectRequest | FailRequest):
            call = self.calls[act.id]
            assert not call.ended, "a second final answer"
            ran = call.may_have_run()
            if isinstance(act, RejectRequest) and ran:
                keyed_all = (
                    call.kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                    and call.kind.dedup_scope is DedupScope.ALL
                )
                assert call.kind.idempotency is Idempotency.IDEMPOTENT or keyed_all, (
                    "a refusal that is not true"
                )
            call.ended = True
        elif isinstance(act, CancelAttempt):
            assert self.cfg.may_cancel
            assert act.attempt < len(self.calls[act.id].tries)

    def check_send(self, act: ForwardRequest) -> None:
        call, server = self.calls[act.id], self.listed[act.server]
        assert not call.ended, "a send after the end"
        assert server.state is ServerState.UP, "a send to a server that drains or is gone"
        assert len(call.tries) < self.cfg.max_attempts
        assert act.timeout_ms >= 0
        ran = call.may_have_run()
        if call.kind.idempotency is not Idempotency.IDEMPOTENT and ran:
            assert call.kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY, "an unsafe request sent twice"
            first, then = ran[0]
            assert self.now - then <= call.kind.dedup_window_ms, "sent after the key may be forgotten"
            if call.kind.dedup_scope is not DedupScope.ALL:
                assert server.zone == first.zone
            if call.kind.dedup_scope is DedupScope.CELL:
                assert server.cell == first.cell
        call.tries.append((server, self.now))
        if server.launched_ms is not None and self.now - server.launched_ms < COLD_MS:
            window = self.cold.setdefault(act.server, deque())
            window.append(self.now)
            while window[0] <= self.now - TIP_MS:
                window.popleft()

    # the moves that a day may make

    def request(self, kind: int, patience: float) -> None:
        self.names += 1
        name = f"q{self.names}"
        self.give(RequestReceived(name, CLASSES[kind % len(CLASSES)].name, self.now + patience))

    def outcome(self, pick: int, result: AttemptResult, report: bool) -> None:
        waiting = [(name, at) for name, call in self.calls.items() for at in call.out()]
        if not waiting:
            return
        name, at = waiting[pick % len(waiting)]
        call = self.calls[name]
        server, then = call.tries[at]
        call.results[at] = result
        if not call.ended and (result is AttemptResult.OK or call.streaming == at):
            call.ended = True
        told = {"queue": 2.0, "util": 0.97} if report else None
        self.give(AttemptFinished(name, at, server.address, result, self.now - then, call.ended, told))

    def lapse(self, pick: int) -> None:
        if self.calls:
            name = list(self.calls)[pick % len(self.calls)]
            self.calls[name].ended = True
            self.give(ClientDisconnected(name))

    def stream(self, pick: int) -> None:
        waiting = [
            name for name, call in self.calls.items() if call.kind.streaming and call.out() and not call.ended
        ]
        if waiting:
            call = self.calls[waiting[pick % len(waiting)]]
            call.streaming = call.out()[0]
            self.give(ResponseStarted(waiting[pick % len(waiting)], call.streaming))

    def members(self, form: EndpointListForm, pick: int, state: ServerState, fresh: bool) -> None:
        rows = [
            Server(f"s{at}", "ab"[at % 2], at % 3, launched_ms=self.now if fresh and at == pick % 6 else None)
            for at in range(6)
        ]
        rows[(pick + 1) % 6].state = state
        if form is EndpointListForm.DELTA:
            rows = rows[pick % 6 :]
        elif form is EndpointListForm.SNAPSHOT:
            rows = [row for row in rows if row.state is not ServerState.REMOVED][: 1 + pick % 6]
        self.give(EndpointListUpdate(form, () if form is EndpointListForm.FAILED else tuple(rows)))


MOVES = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()),
    st.tuples(st.just("lapse"), st.integers(0, 40)),
    st.tuples(st.just("stream"), st.integers(0, 5)),
    st.tuples(
        st.just("members"),
        st.sampled_from([form for form in EndpointListForm if form is not EndpointListForm.CACHED]),
        st.integers(0, 11),
        st.sampled_from(list(ServerState)),
        st.booleans(),
    ),
    st.tuples(st.just("alarm"), st.sampled_from(["period", "watch", "other"])),
    st.tuples(st.just("wait"), st.floats(0.0, 600.0)),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    attempts=st.integers(1, 4),
    cancel=st.booleans(),
    moves=st.lists(MOVES, min_size=10, max_size=120),
)
def test_request_rules_hold_over_any_legal_sequence(seed, attempts, cancel, moves):
    referee = Referee(seed, attempts, cancel)
    rows = tuple(Server(f"s{at}", "ab"[at % 2], at % 3) for at in range(6))
    referee.give(EndpointListUpdate(EndpointListForm.CACHED, rows))
    for name, *given_ in moves:
        if name == "wait":
            referee.now += given_[0]
        elif name == "alarm":
            referee.give(TimerFired(given_[0]))
        else:
            getattr(referee, name)(*given_)
    for _ in range(600):  # at last every attempt ends, as the wire promises
        if not any(call.out() for call in referee.calls.values()):
            break
        referee.now += 1.0
        referee.outcome(0, AttemptResult.TIMEOUT, False)
    assert all(call.ended for call in referee.calls.values())
    assert referee.balancer.parts.shared.requests == {}


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    gaps=st.lists(st.floats(0.5, 40.0), min_size=200, max_size=400),
    latency=st.floats(5.0, 80.0),
)
def test_warming_server_never_gets_more_than_its_share(seed, gaps, latency):
    """Whatever the traffic, a cold server stays under its present share of what warm ones get."""
    referee = Referee(seed, 2, True)
    rows = [Server(f"s{at}", "a", 0) for at in range(5)]
    referee.give(EndpointListUpdate(EndpointListForm.CACHED, tuple(rows)))
    born = referee.now + 200.0
    sends: dict[str, deque[float]] = {row.address: deque() for row in rows} | {"cold": deque()}
    flying: deque[tuple[float, str]] = deque()
    peak = 1.0
    for at, gap in enumerate(gaps):
        referee.now += gap
        if referee.now >= born and "cold" not in referee.listed:
            row = Server("cold", "a", 0, launched_ms=born)
            referee.give(EndpointListUpdate(EndpointListForm.DELTA, (row,)))
        referee.request(0, 2000.0)
        name = f"q{referee.names}"
        for server, then in referee.calls[name].tries:
            sends[server.address].append(then)
            flying.append((then + latency, name))
        while flying and flying[0][0] <= referee.now:
            done = flying.popleft()[1]
            waiting = [(one, item) for one, call in referee.calls.items() for item in call.out()]
            referee.outcome(waiting.index((done, 0)), AttemptResult.OK, False)
        if at % 5 == 0:
            referee.give(TimerFired("period"))
        for window in sends.values():
            while window and window[0] <= referee.now - TIP_MS:
                window.popleft()
        peak = max(peak, *(len(sends[row.address]) for row in rows))
        warmth = 0.25 + 0.75 * max(0.0, referee.now - born) / COLD_MS
        assert len(sends["cold"]) <= max(1.0, warmth * peak + 1.0)
