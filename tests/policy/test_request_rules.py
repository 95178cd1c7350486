"""Rules of requests, checked by a small model over random valid sequences of events."""

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

NOT_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
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
WARM_UP_MS, OVERLOAD_WINDOW_MS = 8000.0, 1500.0


@dataclass
class RequestModel:
    """State of one request in the model."""

    service_class: ServiceClass
    deadline_at_ms: float
    attempts: list[tuple[Server, float]] = field(default_factory=list)
    results: dict[int, AttemptResult] = field(default_factory=dict)
    ended: bool = False
    streaming: int | None = None

    def open_attempts(self) -> list[int]:
        return [at for at in range(len(self.attempts)) if at not in self.results]

    def possibly_executed(self) -> list[tuple[Server, float]]:
        return [item for at, item in enumerate(self.attempts) if self.results.get(at) not in NOT_EXECUTED]


class RuleChecker:
    """Sends events to a balancer and checks its actions against the rules of requests."""

    def __init__(self, seed: int, max_attempts: int, may_cancel: bool) -> None:
        self.now = 500.0
        self.settings = Settings(
            classes=CLASSES, zone="a", balancer_count=2, poll_discovery=True, may_cancel=may_cancel,
            max_attempts=max_attempts, warm_up_initial_share=0.25, warm_up_ms=WARM_UP_MS,
            overload_window_ms=OVERLOAD_WINDOW_MS,
        )  # fmt: skip
        self.balancer = Balancer(self.settings, seed, self.now)
        self.requests: dict[str, RequestModel] = {}
        self.listed: dict[str, Server] = {}
        self.sends_while_warming: dict[str, deque[float]] = {}
        self.request_count = 0

    def handle(self, event: Event) -> None:
        if isinstance(event, EndpointListUpdate) and event.form is not EndpointListForm.FAILED:
            if event.form is not EndpointListForm.DELTA:
                self.listed = {}
            self.listed.update({endpoint.address: endpoint for endpoint in event.servers})
        if isinstance(event, RequestReceived):
            service_class = next(each for each in CLASSES if each.name == event.class_name)
            self.requests[event.id] = RequestModel(service_class, event.deadline_at_ms)
        for action in self.balancer.handle(self.now, event):
            self.check(action)
        for name, request in self.requests.items():  # a request without attempts in flight would never end
            assert request.ended or request.open_attempts(), name

    def check(self, action: Action) -> None:
        if isinstance(action, ForwardRequest):
            self.check_forward(action)
        elif isinstance(action, RejectRequest | FailRequest):
            request = self.requests[action.id]
            assert not request.ended, "a second final response"
            possibly_executed = request.possibly_executed()
            if isinstance(action, RejectRequest) and possibly_executed:
                keyed_all = (
                    request.service_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                    and request.service_class.dedup_scope is DedupScope.ALL
                )
                assert request.service_class.idempotency is Idempotency.IDEMPOTENT or keyed_all, (
                    "a rejection of a request that may have been executed"
                )
            request.ended = True
        elif isinstance(action, CancelAttempt):
            assert self.settings.may_cancel
            assert action.attempt < len(self.requests[action.id].attempts)

    def check_forward(self, action: ForwardRequest) -> None:
        request, server = self.requests[action.id], self.listed[action.server]
        assert not request.ended, "an attempt after the final response"
        assert server.state is ServerState.UP, "an attempt at a server that is draining or removed"
        assert len(request.attempts) < self.settings.max_attempts
        assert action.timeout_ms >= 0
        possibly_executed = request.possibly_executed()
        if request.service_class.idempotency is not Idempotency.IDEMPOTENT and possibly_executed:
            assert request.service_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY, (
                "a retry of a non-idempotent request"
            )
            first, sent_ms = possibly_executed[0]
            assert self.now - sent_ms <= request.service_class.dedup_window_ms, (
                "a retry after the dedup window"
            )
            if request.service_class.dedup_scope is not DedupScope.ALL:
                assert server.zone == first.zone
            if request.service_class.dedup_scope is DedupScope.CELL:
                assert server.cell == first.cell
        request.attempts.append((server, self.now))
        if server.launched_ms is not None and self.now - server.launched_ms < WARM_UP_MS:
            window = self.sends_while_warming.setdefault(action.server, deque())
            window.append(self.now)
            while window[0] <= self.now - OVERLOAD_WINDOW_MS:
                window.popleft()

    # Steps of a sequence, by the names in STEPS.

    def receive_request(self, class_index: int, remaining_ms: float) -> None:
        self.request_count += 1
        name = f"q{self.request_count}"
        self.handle(RequestReceived(name, CLASSES[class_index % len(CLASSES)].name, self.now + remaining_ms))

    def finish_attempt(self, index: int, result: AttemptResult, report: bool) -> None:
        open_attempts = [
            (name, at) for name, request in self.requests.items() for at in request.open_attempts()
        ]
        if not open_attempts:
            return
        name, at = open_attempts[index % len(open_attempts)]
        request = self.requests[name]
        server, sent_ms = request.attempts[at]
        request.results[at] = result
        if not request.ended and (result is AttemptResult.OK or request.streaming == at):
            request.ended = True
        report_fields = {"queue": 2.0, "util": 0.97} if report else None
        self.handle(
            AttemptFinished(
                name, at, server.address, result, self.now - sent_ms, request.ended, report_fields
            )
        )

    def disconnect(self, index: int) -> None:
        if self.requests:
            name = list(self.requests)[index % len(self.requests)]
            self.requests[name].ended = True
            self.handle(ClientDisconnected(name))

    def start_response(self, index: int) -> None:
        names = [
            name
            for name, request in self.requests.items()
            if request.service_class.streaming and request.open_attempts() and not request.ended
        ]
        if names:
            request = self.requests[names[index % len(names)]]
            request.streaming = request.open_attempts()[0]
            self.handle(ResponseStarted(names[index % len(names)], request.streaming))

    def update_endpoints(
        self, form: EndpointListForm, index: int, state: ServerState, restarted: bool
    ) -> None:
        endpoints = [
            Server(
                f"s{at}",
                "ab"[at % 2],
                at % 3,
                launched_ms=self.now if restarted and at == index % 6 else None,
            )
            for at in range(6)
        ]
        endpoints[(index + 1) % 6].state = state
        if form is EndpointListForm.DELTA:
            endpoints = endpoints[index % 6 :]
        elif form is EndpointListForm.SNAPSHOT:
            endpoints = [endpoint for endpoint in endpoints if endpoint.state is not ServerState.REMOVED][
                : 1 + index % 6
            ]
        self.handle(EndpointListUpdate(form, () if form is EndpointListForm.FAILED else tuple(endpoints)))


STEPS = st.one_of(
    st.tuples(st.just("receive_request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("receive_request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(
        st.just("finish_attempt"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()
    ),
    st.tuples(
        st.just("finish_attempt"), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()
    ),
    st.tuples(st.just("disconnect"), st.integers(0, 40)),
    st.tuples(st.just("start_response"), st.integers(0, 5)),
    st.tuples(
        st.just("update_endpoints"),
        st.sampled_from([form for form in EndpointListForm if form is not EndpointListForm.CACHED]),
        st.integers(0, 11),
        st.sampled_from(list(ServerState)),
        st.booleans(),
    ),
    st.tuples(st.just("timer"), st.sampled_from(["period", "watch", "other"])),
    st.tuples(st.just("wait"), st.floats(0.0, 600.0)),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    max_attempts=st.integers(1, 4),
    may_cancel=st.booleans(),
    steps=st.lists(STEPS, min_size=10, max_size=120),
)
def test_request_rules_hold_over_any_valid_sequence(seed, max_attempts, may_cancel, steps):
    checker = RuleChecker(seed, max_attempts, may_cancel)
    endpoints = tuple(Server(f"s{at}", "ab"[at % 2], at % 3) for at in range(6))
    checker.handle(EndpointListUpdate(EndpointListForm.CACHED, endpoints))
    for name, *arguments in steps:
        if name == "wait":
            checker.now += arguments[0]
        elif name == "timer":
            checker.handle(TimerFired(arguments[0]))
        else:
            getattr(checker, name)(*arguments)
    for _ in range(600):  # ends all attempts, as the protocol requires
        if not any(request.open_attempts() for request in checker.requests.values()):
            break
        checker.now += 1.0
        checker.finish_attempt(0, AttemptResult.TIMEOUT, False)
    assert all(request.ended for request in checker.requests.values())
    assert checker.balancer.parts.shared.requests == {}


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    intervals_ms=st.lists(st.floats(0.5, 40.0), min_size=200, max_size=400),
    latency=st.floats(5.0, 80.0),
)
def test_warming_server_never_gets_more_than_its_share(seed, intervals_ms, latency):
    """Whatever the traffic, a warming server gets at most its present share of what warm ones get."""
    checker = RuleChecker(seed, 2, True)
    endpoints = [Server(f"s{at}", "a", 0) for at in range(5)]
    checker.handle(EndpointListUpdate(EndpointListForm.CACHED, tuple(endpoints)))
    start_ms = checker.now + 200.0
    sends: dict[str, deque[float]] = {endpoint.address: deque() for endpoint in endpoints} | {"cold": deque()}
    in_flight: deque[tuple[float, str]] = deque()
    peak = 1.0
    for at, interval_ms in enumerate(intervals_ms):
        checker.now += interval_ms
        if checker.now >= start_ms and "cold" not in checker.listed:
            endpoint = Server("cold", "a", 0, launched_ms=start_ms)
            checker.handle(EndpointListUpdate(EndpointListForm.DELTA, (endpoint,)))
        checker.receive_request(0, 2000.0)
        name = f"q{checker.request_count}"
        for server, sent_ms in checker.requests[name].attempts:
            sends[server.address].append(sent_ms)
            in_flight.append((sent_ms + latency, name))
        while in_flight and in_flight[0][0] <= checker.now:
            finished = in_flight.popleft()[1]
            open_attempts = [
                (one, item) for one, request in checker.requests.items() for item in request.open_attempts()
            ]
            checker.finish_attempt(open_attempts.index((finished, 0)), AttemptResult.OK, False)
        if at % 5 == 0:
            checker.handle(TimerFired("period"))
        for window in sends.values():
            while window and window[0] <= checker.now - OVERLOAD_WINDOW_MS:
                window.popleft()
        peak = max(peak, *(len(sends[endpoint.address]) for endpoint in endpoints))
        capacity_share = 0.25 + 0.75 * max(0.0, checker.now - start_ms) / WARM_UP_MS
        assert len(sends["cold"]) <= max(1.0, capacity_share * peak + 1.0)
