"""The node without its sockets: events in, effects out.

It drives the decision module as the simulator does: numbers attempts, says which outcome ends a request,
enforces deadlines and limits, answers what may not be sent with MOOT, and keeps the timers. All times are
milliseconds of one clock that only advances.
"""

from __future__ import annotations

import heapq
import logging
from collections import deque

from rosewheel.node.effects import (
    AbortAttempt,
    NodeEffect,
    OpenEndpointWatch,
    ResponseStatus,
    SendResponse,
    StartAttempt,
    StartHealthCheck,
)
from rosewheel.node.errors import DuplicateRequestError
from rosewheel.node.in_flight import Attempt, InFlightRequest
from rosewheel.node.limits import Limits
from rosewheel.node.statistics import RequestOutcome, Statistics
from rosewheel.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    StartTimer,
    WatchEndpoints,
)
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    CordonChanged,
    DiscoveryAddressChanged,
    EndpointListForm,
    EndpointListUpdate,
    Event,
    HealthCheckFinished,
    ProcessCountChanged,
    RequestCompleted,
    RequestReceived,
    ResponseStarted,
    Server,
    ServerState,
    SettingsChanged,
    SiblingProcessLoad,
    TimerFired,
)
from rosewheel.policy.learned_state import LearnedState
from rosewheel.policy.settings import Settings

log = logging.getLogger("rosewheel.node")

BACKSTOP_MS = 15.0  # how long after the deadline an unanswered request is answered without the module
TIMERS = 256
Report = dict[str, float]


class Node:
    def __init__(self, settings: Settings, limits: Limits, seed: int, now: float) -> None:
        self.settings, self.limits = settings, limits
        self.balancer = Balancer(settings, seed, now)
        self.servers: dict[str, ServerState] = {}
        self.cordoned: set[str] = set()  # taken out by hand; also ids that the list does not name just now
        self.requests: dict[str, InFlightRequest] = {}
        self.service_names = frozenset(item.name for item in settings.classes)
        self.statistics = Statistics(item.name for item in settings.classes)
        self._unanswered = 0
        self._timers: list[tuple[float, int, str, str, int]] = []  # due, order, kind, id or name, attempt
        self._crowded = TIMERS  # how many timers are looked through for those of what is over
        self._order = 0
        self._delays: dict[str, float] = {}
        self._queue: deque[Event] = deque()
        self._effects: list[NodeEffect] = []

    # ---------------------------------------------------------------- events

    @property
    def can_serve(self) -> bool:
        return any(self._may_send(server) for server in self.servers)

    @property
    def cordoned_endpoint_count(self) -> int:
        """Listed servers that are sent nothing, though the list would allow it."""
        return sum(1 for server in self.servers if server in self.cordoned)

    def _may_send(self, server: str) -> bool:
        return self.servers.get(server) is ServerState.UP and server not in self.cordoned

    @property
    def active_requests(self) -> int:
        """Requests that are taken and not ended."""
        return self._unanswered

    def receive_request(self, now: float, request: RequestReceived) -> list[NodeEffect]:
        if request.id in self.requests:
            raise DuplicateRequestError(request.id)
        if self._unanswered >= self.limits.max_open_requests:
            self.statistics.count_request(request.service, RequestOutcome.SHED)
            return [
                SendResponse(request.id, ResponseStatus.REJECTED)
            ]  # the module never sees it, so it is never sent
        most, copies = self.settings.max_attempts, self.limits.hedging_allowed
        self.requests[request.id] = InFlightRequest(
            request.service, request.deadline_at_ms, most, copies, complete=request.complete
        )
        self._unanswered += 1
        if request.complete:
            self._timer(request.deadline_at_ms + BACKSTOP_MS, "backstop", request.id)
        return self._run(now, request)

    def request_completed(self, now: float, id: str, deadline_at_ms: float) -> list[NodeEffect]:
        """The last byte of a request that was not whole: deadlines count from now."""
        entry = self.requests.get(id)
        if entry is None or entry.finished or entry.complete:
            return []
        entry.complete, entry.deadline_ms = True, deadline_at_ms
        self._timer(deadline_at_ms + BACKSTOP_MS, "backstop", id)
        for number, item in enumerate(entry.attempts):
            if item.result is None:
                item.sent_ms = now
                self._timer(now + min(item.timeout_ms, deadline_at_ms - now), "attempt", id, number)
        return self._run(now, RequestCompleted(id, deadline_at_ms))

    def request_body_discarded(self, id: str) -> None:
        """A part of this request is no longer held, so no other attempt of it can be written."""
        entry = self.requests.get(id)
        if entry is not None:
            entry.body_discarded = True

    def response_started(self, now: float, id: str, attempt: int) -> list[NodeEffect] | None:
        """An attempt's answer is too long to be held and is passed on from now; None where nobody wants it.
        From here on no deadline ends it: its caller gets what the server gives."""
        entry = self.requests.get(id)
        if entry is None or entry.finished or entry.streaming_attempt is not None:
            return None
        if attempt >= len(entry.attempts) or entry.attempts[attempt].result is not None:
            return None
        entry.streaming_attempt, entry.attempts[attempt].response_started_ms = attempt, now
        return self._run(now, ResponseStarted(id, attempt))

    def response_migrated(self, now: float, id: str) -> list[NodeEffect]:
        """Another process of this node goes on with the long answer of this request: for this one it is over, and
        its server has done its work. Counted there, where it ends."""
        entry = self.requests.get(id)
        if entry is None or entry.finished or entry.streaming_attempt is None:
            return []
        item = entry.attempts[entry.streaming_attempt]
        item.result = AttemptResult.OK
        latency = (now if item.response_started_ms is None else item.response_started_ms) - item.sent_ms
        self._queue.append(
            AttemptFinished(id, entry.streaming_attempt, item.server, AttemptResult.OK, latency, True)
        )
        self._finish(id, entry)
        return self._run(now)

    def configure(self, now: float, settings: Settings, limits: Limits) -> list[NodeEffect]:
        """These hold from now on, but for requests that are open: they keep their class, its effect and deadlines, the
        attempts that they may have, and whether these may overlap or be taken back. Raises ValueError that names the
        key where they can't hold in a running node; nothing has changed then. The same ones again change nothing."""
        try:
            actions = self.balancer.handle(now, SettingsChanged(settings))
        except ValueError:
            raise
        except Exception as error:
            log.exception("the module failed on other settings")
            why = f"a fault of the module: {type(error).__name__}: {error}"
            raise ValueError(f"settings: {why}") from error
        self.settings, self.limits = settings, limits
        self.service_names = frozenset(item.name for item in settings.classes)
        self.statistics.configure(item.name for item in settings.classes)
        for action in actions:
            self._act(now, action)
        return self._run(now)

    def longest_remaining_deadline_ms(self, now: float) -> float:
        """How long an answer can still be owed: the longest patience of the classes, or more where a request was
        taken under another one."""
        open_ms = (
            entry.deadline_ms - now
            for entry in self.requests.values()
            if not entry.finished and entry.complete
        )
        return max(max(kind.deadline_ms for kind in self.settings.classes), max(open_ms, default=0.0))

    def adopt_response(self, now: float, id: str, service: str, server: str) -> bool:
        """The other side of it: from here on this is attempt 0 of that request, which the module never hears of.
        Its class may be one that this process never had, or has no more. False where the id is open here already."""
        if id in self.requests:
            return False
        self.statistics.track_class(service)
        attempt = Attempt(server, now, response_started_ms=now)
        self.requests[id] = InFlightRequest(service, now, attempts=[attempt], streaming_attempt=0)
        self._unanswered += 1
        return True

    def response_in_progress(self, id: str) -> tuple[str, str, int] | None:
        """Class, server and attempt of the long answer that is being passed on for this request."""
        entry = self.requests.get(id)
        if entry is None or entry.finished or entry.streaming_attempt is None:
            return None
        return entry.service, entry.attempts[entry.streaming_attempt].server, entry.streaming_attempt

    def attempts_in_flight(self, id: str) -> list[int]:
        """The attempts of this request that have no outcome."""
        entry = self.requests.get(id)
        items = entry.attempts if entry is not None else ()
        return [number for number, item in enumerate(items) if item.result is None]

    def client_disconnected(self, now: float, id: str) -> list[NodeEffect]:
        entry = self.requests.get(id)
        if entry is None or entry.finished:
            return []
        self._finish(id, entry)
        if entry.streaming_attempt is not None and self._settle(
            now, id, entry.streaming_attempt, AttemptResult.CANCELLED
        ):
            self._effects.append(
                AbortAttempt(id, entry.streaming_attempt)
            )  # the module leaves it to the client
        return self._run(now, ClientDisconnected(id))

    def attempt_finished(
        self,
        now: float,
        id: str,
        attempt: int,
        result: AttemptResult,
        report: Report | None = None,
        body: bytes = b"",
    ) -> list[NodeEffect]:
        """How an attempt ended on its socket; one that is settled already is ignored."""
        self._settle(now, id, attempt, result, report, body)
        return self._run(now)

    def update_endpoints(
        self, now: float, form: EndpointListForm, servers: tuple[Server, ...] = ()
    ) -> list[NodeEffect]:
        if form in (EndpointListForm.SNAPSHOT, EndpointListForm.CACHED):
            self.servers = {}
        for server in servers:
            if server.state is ServerState.REMOVED:
                self.servers.pop(server.address, None)
            else:
                self.servers[server.address] = server.state
        return self._run(now, EndpointListUpdate(form, servers))

    def is_known_server(self, server: str) -> bool:
        """Whether there is such a server: one that was taken out stays known, whatever the list says."""
        return server in self.servers or server in self.cordoned

    def set_cordon(self, now: float, server: str, cordoned: bool) -> list[NodeEffect]:
        """Operators take this server out, or let it serve again. Saying either twice changes nothing."""
        if cordoned is (server in self.cordoned):
            return []
        (self.cordoned.add if cordoned else self.cordoned.discard)(server)
        return self._run(now, CordonChanged(server, cordoned))

    def learned_state(self, now: float) -> LearnedState:
        return self.balancer.capture_learned_state(now)

    def restore_learned_state(self, now: float, state: LearnedState, age_ms: float) -> int:
        """What an earlier process of this node had learned; returns how many of the servers it knew."""
        return self.balancer.restore_learned_state(now, state, age_ms)

    @property
    def server_loads(self) -> dict[str, float]:
        """Calls in flight from here, by weight, at each server that has any."""
        return self.balancer.loads_by_server()

    def sibling_process_load(self, now: float, loads: dict[str, float]) -> list[NodeEffect]:
        """The same of another process of this node."""
        return self._run(now, SiblingProcessLoad(loads))

    def process_count_changed(self, now: float, processes: int) -> list[NodeEffect]:
        """So many processes of this node decide just now, this one included."""
        return self._run(now, ProcessCountChanged(processes))

    def discovery_address_changed(self, now: float) -> list[NodeEffect]:
        """Discovery has another address from now on."""
        return self._run(now, DiscoveryAddressChanged())

    def health_check_finished(
        self, now: float, server: str, result: AttemptResult, latency_ms: float, report: Report | None
    ) -> list[NodeEffect]:
        return self._run(now, HealthCheckFinished(server, result, latency_ms, report))

    def next_timer_ms(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def tick(self, now: float) -> list[NodeEffect]:
        """Everything that has come due."""
        effects: list[NodeEffect] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, name, attempt = heapq.heappop(self._timers)
            if kind == "alarm":
                effects += self._run(now, TimerFired(name))
            elif kind == "attempt":
                entry = self.requests.get(name)
                if entry is not None and entry.streaming_attempt == attempt:
                    continue
                if self._settle(now, name, attempt, AttemptResult.TIMEOUT):
                    self._effects.append(AbortAttempt(name, attempt))
                effects += self._run(now)
            else:
                effects += self._overdue(now, name)
        return effects

    # ---------------------------------------------------------------- driving

    def _run(self, now: float, event: Event | None = None) -> list[NodeEffect]:
        """Give the module this event and what follows from its actions, then return the effects."""
        if event is not None:
            self._queue.append(event)
        while self._queue:
            event = self._queue.popleft()
            try:
                for action in self.balancer.handle(now, event):
                    self._act(now, action)
            except Exception:
                log.exception("the module failed on %s", type(event).__name__)
                self._rescue(now, event)
        effects, self._effects = self._effects, []
        return effects

    def _act(self, now: float, action: Action) -> None:
        match action:
            case ForwardRequest():
                self._send(now, action)
            case RejectRequest():
                self._answer(
                    action.id, SendResponse(action.id, ResponseStatus.REJECTED, b"", action.retry_after_ms)
                )
            case FailRequest():
                entry = self.requests.get(action.id)
                late = entry is not None and any(
                    one.result is AttemptResult.TIMEOUT for one in entry.attempts
                )
                self._answer(
                    action.id,
                    SendResponse(action.id, ResponseStatus.TIMED_OUT if late else ResponseStatus.FAILED),
                )
            case CancelAttempt():
                if self._settle(now, action.id, action.attempt, AttemptResult.CANCELLED):
                    self._effects.append(AbortAttempt(action.id, action.attempt))
            case StartTimer():
                self._delays[action.name] = action.delay_ms
                self._timer(now + action.delay_ms, "alarm", action.name)
            case WatchEndpoints():
                self._effects.append(OpenEndpointWatch())
            case CheckHealth():
                if self.limits.health_checks_allowed and action.server in self.servers:
                    self._effects.append(StartHealthCheck(action.server))

    def _send(self, now: float, action: ForwardRequest) -> None:
        entry = self.requests.get(action.id)
        if entry is None:
            log.error("a send for a request that is not open: %s", action.id)
            return
        number = len(entry.attempts)
        left = entry.deadline_ms - now if entry.complete else action.timeout_ms or entry.deadline_ms - now
        may = not entry.finished and left > 0 and number < entry.max_attempts
        may = may and not entry.body_discarded and entry.streaming_attempt is None
        may = may and self._may_send(action.server)
        may = may and (entry.hedging_allowed or not entry.has_attempt_in_flight())
        timeout = min(left, action.timeout_ms) if action.timeout_ms else left
        entry.attempts.append(Attempt(action.server, now, timeout))
        if not may:
            self._settle(now, action.id, number, AttemptResult.NOT_SENT)
            return
        if entry.complete:
            self._timer(now + timeout, "attempt", action.id, number)
        self._effects.append(StartAttempt(action.id, number, action.server, timeout))

    def _settle(
        self,
        now: float,
        id: str,
        attempt: int,
        result: AttemptResult,
        report: Report | None = None,
        body: bytes = b"",
    ) -> bool:
        """Take down an attempt's one outcome and queue it for the module; False if it had one already."""
        entry = self.requests.get(id)
        if entry is None or attempt >= len(entry.attempts) or entry.attempts[attempt].result is not None:
            return False
        item = entry.attempts[attempt]
        item.result = result
        if result is AttemptResult.OK and not entry.finished:
            self._answer(id, SendResponse(id, ResponseStatus.OK, body))
        elif entry.streaming_attempt == attempt:
            self._answer(
                id, SendResponse(id, ResponseStatus.INTERNAL_ERROR)
            )  # what has been passed on can't be taken back
        # What comes behind the first bytes of a long answer goes at its caller's pace, not at the server's.
        latency = (now if item.response_started_ms is None else item.response_started_ms) - item.sent_ms
        self._queue.append(AttemptFinished(id, attempt, item.server, result, latency, entry.finished, report))
        if entry.finished and not entry.has_attempt_in_flight():
            self.requests.pop(id, None)
        return True

    def _answer(self, id: str, answer: SendResponse) -> None:
        entry = self.requests.get(id)
        if entry is None or entry.finished:  # Guards the caller against a second answer
            return
        self._effects.append(answer)
        how = {ResponseStatus.OK: RequestOutcome.OK, ResponseStatus.REJECTED: RequestOutcome.SHED}.get(
            answer.status, RequestOutcome.ERRORS
        )
        self.statistics.count_request(entry.service, how)
        self._finish(id, entry)

    def _finish(self, id: str, entry: InFlightRequest) -> None:
        entry.finished = True
        self._unanswered -= 1
        if not entry.has_attempt_in_flight():
            del self.requests[id]

    # --------------------------------------------------------------- failures

    def _overdue(self, now: float, id: str) -> list[NodeEffect]:
        """Guards against a request that the module has left without an answer past its deadline."""
        entry = self.requests.get(id)
        if entry is None or entry.finished or entry.streaming_attempt is not None:
            return []
        log.error("no answer from the module by the deadline: %s", id)
        self._give_up(now, id, entry)
        return self._run(now, ClientDisconnected(id))

    def _give_up(self, now: float, id: str, entry: InFlightRequest) -> None:
        """Answer without the module: a refusal only if nothing of the request can have run."""
        ran = any(item.result is None or not item.result.not_executed for item in entry.attempts)
        self._answer(id, SendResponse(id, ResponseStatus.INTERNAL_ERROR if ran else ResponseStatus.REJECTED))
        for number, item in enumerate(entry.attempts):
            if item.result is None and self._settle(now, id, number, AttemptResult.CANCELLED):
                self._effects.append(AbortAttempt(id, number))

    def _rescue(self, now: float, event: Event) -> None:
        """A fault in the module fails the request it concerned and nothing else."""
        if isinstance(
            event, TimerFired
        ):  # Guards the module's clockwork: its next alarm was lost with the fault
            self._timer(now + self._delays.get(event.name, 1000.0), "alarm", event.name)
        elif isinstance(event, RequestReceived | AttemptFinished):
            entry = self.requests.get(event.id)
            if entry is not None and not entry.finished:
                self._give_up(now, event.id, entry)

    def _live(self, kind: str, name: str, attempt: int) -> bool:
        """Whether this timer still has something to do."""
        entry = self.requests.get(name)
        if kind == "alarm" or entry is None:
            return kind == "alarm"
        if entry.streaming_attempt is not None:
            return False
        return not entry.finished if kind == "backstop" else entry.attempts[attempt].result is None

    def _timer(self, due: float, kind: str, name: str, attempt: int = 0) -> None:
        self._order += 1
        heapq.heappush(self._timers, (due, self._order, kind, name, attempt))
        if len(self._timers) > self._crowded:
            # Guards memory: what is over early, with a far deadline, would stay here until that.
            self._timers = [timer for timer in self._timers if self._live(*timer[2:])]
            heapq.heapify(self._timers)
            self._crowded = max(TIMERS, 2 * len(self._timers))
