"""The node without its sockets: events in, effects out.

It drives the decision module as the simulator does: numbers attempts, says which outcome ends a request,
enforces deadlines and limits, answers what may not be sent with MOOT, and keeps the timers. All times are
milliseconds of one clock that only advances.
"""

from __future__ import annotations

import heapq
import logging
from collections import deque
from dataclasses import dataclass

from rosewheel.node.in_flight import Attempt, Open
from rosewheel.node.limits import Bounds
from rosewheel.node.statistics import Ended, Figures
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
from rosewheel.policy.learned_state import Learned
from rosewheel.policy.settings import Settings

log = logging.getLogger("rosewheel.node")

SERVED, REFUSED, FAILED, TIMED_OUT, BROKEN = 200, 503, 502, 504, 500
BACKSTOP_MS = 15.0  # how long after the deadline an unanswered request is answered without the module
TIMERS = 256
Report = dict[str, float]


class HeldAlreadyError(Exception):
    """A request whose id is still open here."""


# ------------------------------------------------------------------- effects


@dataclass(slots=True)
class Dispatch:
    """Start attempt `attempt` of request `id` on this server."""

    id: str
    attempt: int
    server: str
    timeout_ms: float


@dataclass(slots=True)
class Abort:
    """Give this attempt up; its outcome is settled already."""

    id: str
    attempt: int


@dataclass(slots=True)
class Answer:
    """The one final answer to a caller."""

    id: str
    status: int
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class StartWatch:
    """Open the watch on discovery, in place of the one that is open."""


@dataclass(slots=True)
class StartProbe:
    server: str


Effect = Dispatch | Abort | Answer | StartWatch | StartProbe


class Node:
    def __init__(self, settings: Settings, bounds: Bounds, seed: int, now: float) -> None:
        self.settings, self.bounds = settings, bounds
        self.balancer = Balancer(settings, seed, now)
        self.servers: dict[str, ServerState] = {}
        self.cordoned: set[str] = set()  # taken out by hand; also ids that the list does not name just now
        self.open: dict[str, Open] = {}
        self.classes = frozenset(item.name for item in settings.classes)
        self.figures = Figures(item.name for item in settings.classes)
        self._unanswered = 0
        self._timers: list[tuple[float, int, str, str, int]] = []  # due, order, kind, id or name, attempt
        self._crowded = TIMERS  # how many timers are looked through for those of what is over
        self._order = 0
        self._delays: dict[str, float] = {}
        self._queue: deque[Event] = deque()
        self._effects: list[Effect] = []

    # ---------------------------------------------------------------- events

    @property
    def can_serve(self) -> bool:
        return any(self._may_send(server) for server in self.servers)

    @property
    def avoided(self) -> int:
        """Listed servers that are sent nothing, though the list would allow it."""
        return sum(1 for server in self.servers if server in self.cordoned)

    def _may_send(self, server: str) -> bool:
        return self.servers.get(server) is ServerState.UP and server not in self.cordoned

    @property
    def active(self) -> int:
        """Requests that are taken and not ended."""
        return self._unanswered

    def request(self, now: float, request: RequestReceived) -> list[Effect]:
        if request.id in self.open:
            raise HeldAlreadyError(request.id)
        if self._unanswered >= self.bounds.max_open:
            self.figures.ended(request.service, Ended.SHED)
            return [Answer(request.id, REFUSED)]  # the module never sees it, so it is never sent
        most, copies = self.settings.max_attempts, self.bounds.second_copies
        self.open[request.id] = Open(
            request.service, request.deadline_at_ms, most, copies, whole=request.complete
        )
        self._unanswered += 1
        if request.complete:
            self._timer(request.deadline_at_ms + BACKSTOP_MS, "backstop", request.id)
        return self._run(now, request)

    def arrived(self, now: float, id: str, give_up_at_ms: float) -> list[Effect]:
        """The last byte of a request that was not whole: deadlines count from now."""
        entry = self.open.get(id)
        if entry is None or entry.over or entry.whole:
            return []
        entry.whole, entry.give_up_ms = True, give_up_at_ms
        self._timer(give_up_at_ms + BACKSTOP_MS, "backstop", id)
        for number, item in enumerate(entry.attempts):
            if item.result is None:
                item.sent_ms = now
                self._timer(now + min(item.timeout_ms, give_up_at_ms - now), "attempt", id, number)
        return self._run(now, RequestCompleted(id, give_up_at_ms))

    def spent(self, id: str) -> None:
        """A part of this request is no longer held, so no other attempt of it can be written."""
        entry = self.open.get(id)
        if entry is not None:
            entry.spent = True

    def began(self, now: float, id: str, attempt: int) -> list[Effect] | None:
        """An attempt's answer is too long to be held and is passed on from now; None where nobody wants it.
        From here on no deadline ends it: its caller gets what the server gives."""
        entry = self.open.get(id)
        if entry is None or entry.over or entry.begun is not None:
            return None
        if attempt >= len(entry.attempts) or entry.attempts[attempt].result is not None:
            return None
        entry.begun, entry.attempts[attempt].began_ms = attempt, now
        return self._run(now, ResponseStarted(id, attempt))

    def handed(self, now: float, id: str) -> list[Effect]:
        """Another process of this node goes on with the long answer of this request: for this one it is over, and
        its server has done its work. Counted there, where it ends."""
        entry = self.open.get(id)
        if entry is None or entry.over or entry.begun is None:
            return []
        item = entry.attempts[entry.begun]
        item.result = AttemptResult.OK
        latency = (now if item.began_ms is None else item.began_ms) - item.sent_ms
        self._queue.append(AttemptFinished(id, entry.begun, item.server, AttemptResult.OK, latency, True))
        self._finish(id, entry)
        return self._run(now)

    def configure(self, now: float, settings: Settings, bounds: Bounds) -> list[Effect]:
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
        self.settings, self.bounds = settings, bounds
        self.classes = frozenset(item.name for item in settings.classes)
        self.figures.configure(item.name for item in settings.classes)
        for action in actions:
            self._act(now, action)
        return self._run(now)

    def longest_ms(self, now: float) -> float:
        """How long an answer can still be owed: the longest patience of the classes, or more where a request was
        taken under another one."""
        open_ms = (entry.give_up_ms - now for entry in self.open.values() if not entry.over and entry.whole)
        return max(max(kind.deadline_ms for kind in self.settings.classes), max(open_ms, default=0.0))

    def adopt(self, now: float, id: str, service: str, server: str) -> bool:
        """The other side of it: from here on this is attempt 0 of that request, which the module never hears of.
        Its class may be one that this process never had, or has no more. False where the id is open here already."""
        if id in self.open:
            return False
        self.figures.keep(service)
        attempt = Attempt(server, now, began_ms=now)
        self.open[id] = Open(service, now, attempts=[attempt], begun=0)
        self._unanswered += 1
        return True

    def passing(self, id: str) -> tuple[str, str, int] | None:
        """Class, server and attempt of the long answer that is being passed on for this request."""
        entry = self.open.get(id)
        if entry is None or entry.over or entry.begun is None:
            return None
        return entry.service, entry.attempts[entry.begun].server, entry.begun

    def out(self, id: str) -> list[int]:
        """The attempts of this request that have no outcome."""
        entry = self.open.get(id)
        items = entry.attempts if entry is not None else ()
        return [number for number, item in enumerate(items) if item.result is None]

    def client_gone(self, now: float, id: str) -> list[Effect]:
        entry = self.open.get(id)
        if entry is None or entry.over:
            return []
        self._finish(id, entry)
        if entry.begun is not None and self._settle(now, id, entry.begun, AttemptResult.CANCELLED):
            self._effects.append(Abort(id, entry.begun))  # the module leaves it to the client
        return self._run(now, ClientDisconnected(id))

    def ended(
        self,
        now: float,
        id: str,
        attempt: int,
        result: AttemptResult,
        report: Report | None = None,
        body: bytes = b"",
    ) -> list[Effect]:
        """How an attempt ended on its socket; one that is settled already is ignored."""
        self._settle(now, id, attempt, result, report, body)
        return self._run(now)

    def members(self, now: float, form: EndpointListForm, servers: tuple[Server, ...] = ()) -> list[Effect]:
        if form in (EndpointListForm.SNAPSHOT, EndpointListForm.CACHED):
            self.servers = {}
        for server in servers:
            if server.state is ServerState.REMOVED:
                self.servers.pop(server.address, None)
            else:
                self.servers[server.address] = server.state
        return self._run(now, EndpointListUpdate(form, servers))

    def knows(self, server: str) -> bool:
        """Whether there is such a server: one that was taken out stays known, whatever the list says."""
        return server in self.servers or server in self.cordoned

    def cordon(self, now: float, server: str, out: bool) -> list[Effect]:
        """Operators take this server out, or let it serve again. Saying either twice changes nothing."""
        if out is (server in self.cordoned):
            return []
        (self.cordoned.add if out else self.cordoned.discard)(server)
        return self._run(now, CordonChanged(server, out))

    def learned(self, now: float) -> Learned:
        return self.balancer.learned(now)

    def recall(self, now: float, learned: Learned, age_ms: float) -> int:
        """What an earlier process of this node had learned; returns how many of the servers it knew."""
        return self.balancer.recall(now, learned, age_ms)

    @property
    def loads(self) -> dict[str, float]:
        """Calls in flight from here, by weight, at each server that has any."""
        return self.balancer.loads()

    def beside(self, now: float, loads: dict[str, float]) -> list[Effect]:
        """The same of another process of this node."""
        return self._run(now, SiblingProcessLoad(loads))

    def company(self, now: float, processes: int) -> list[Effect]:
        """So many processes of this node decide just now, this one included."""
        return self._run(now, ProcessCountChanged(processes))

    def moved(self, now: float) -> list[Effect]:
        """Discovery has another address from now on."""
        return self._run(now, DiscoveryAddressChanged())

    def probed(
        self, now: float, server: str, result: AttemptResult, latency_ms: float, report: Report | None
    ) -> list[Effect]:
        return self._run(now, HealthCheckFinished(server, result, latency_ms, report))

    def next_due(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def tick(self, now: float) -> list[Effect]:
        """Everything that has come due."""
        effects: list[Effect] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, name, attempt = heapq.heappop(self._timers)
            if kind == "alarm":
                effects += self._run(now, TimerFired(name))
            elif kind == "attempt":
                entry = self.open.get(name)
                if entry is not None and entry.begun == attempt:
                    continue
                if self._settle(now, name, attempt, AttemptResult.TIMEOUT):
                    self._effects.append(Abort(name, attempt))
                effects += self._run(now)
            else:
                effects += self._overdue(now, name)
        return effects

    # ---------------------------------------------------------------- driving

    def _run(self, now: float, event: Event | None = None) -> list[Effect]:
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
                self._answer(action.id, Answer(action.id, REFUSED, b"", action.retry_after_ms))
            case FailRequest():
                entry = self.open.get(action.id)
                late = entry is not None and any(
                    one.result is AttemptResult.TIMEOUT for one in entry.attempts
                )
                self._answer(action.id, Answer(action.id, TIMED_OUT if late else FAILED))
            case CancelAttempt():
                if self._settle(now, action.id, action.attempt, AttemptResult.CANCELLED):
                    self._effects.append(Abort(action.id, action.attempt))
            case StartTimer():
                self._delays[action.name] = action.delay_ms
                self._timer(now + action.delay_ms, "alarm", action.name)
            case WatchEndpoints():
                self._effects.append(StartWatch())
            case CheckHealth():
                if self.bounds.may_probe and action.server in self.servers:
                    self._effects.append(StartProbe(action.server))

    def _send(self, now: float, action: ForwardRequest) -> None:
        entry = self.open.get(action.id)
        if entry is None:
            log.error("a send for a request that is not open: %s", action.id)
            return
        number = len(entry.attempts)
        left = entry.give_up_ms - now if entry.whole else action.timeout_ms or entry.give_up_ms - now
        may = not entry.over and left > 0 and number < entry.most
        may = may and not entry.spent and entry.begun is None
        may = may and self._may_send(action.server)
        may = may and (entry.copies or not entry.out())
        timeout = min(left, action.timeout_ms) if action.timeout_ms else left
        entry.attempts.append(Attempt(action.server, now, timeout))
        if not may:
            self._settle(now, action.id, number, AttemptResult.NOT_SENT)
            return
        if entry.whole:
            self._timer(now + timeout, "attempt", action.id, number)
        self._effects.append(Dispatch(action.id, number, action.server, timeout))

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
        entry = self.open.get(id)
        if entry is None or attempt >= len(entry.attempts) or entry.attempts[attempt].result is not None:
            return False
        item = entry.attempts[attempt]
        item.result = result
        if result is AttemptResult.OK and not entry.over:
            self._answer(id, Answer(id, SERVED, body))
        elif entry.begun == attempt:
            self._answer(id, Answer(id, BROKEN))  # what has been passed on can't be taken back
        # What comes behind the first bytes of a long answer goes at its caller's pace, not at the server's.
        latency = (now if item.began_ms is None else item.began_ms) - item.sent_ms
        self._queue.append(AttemptFinished(id, attempt, item.server, result, latency, entry.over, report))
        if entry.over and not entry.out():
            self.open.pop(id, None)
        return True

    def _answer(self, id: str, answer: Answer) -> None:
        entry = self.open.get(id)
        if entry is None or entry.over:  # Guards the caller against a second answer
            return
        self._effects.append(answer)
        how = {SERVED: Ended.OK, REFUSED: Ended.SHED}.get(answer.status, Ended.ERRORS)
        self.figures.ended(entry.service, how)
        self._finish(id, entry)

    def _finish(self, id: str, entry: Open) -> None:
        entry.over = True
        self._unanswered -= 1
        if not entry.out():
            del self.open[id]

    # --------------------------------------------------------------- failures

    def _overdue(self, now: float, id: str) -> list[Effect]:
        """Guards against a request that the module has left without an answer past its deadline."""
        entry = self.open.get(id)
        if entry is None or entry.over or entry.begun is not None:
            return []
        log.error("no answer from the module by the deadline: %s", id)
        self._give_up(now, id, entry)
        return self._run(now, ClientDisconnected(id))

    def _give_up(self, now: float, id: str, entry: Open) -> None:
        """Answer without the module: a refusal only if nothing of the request can have run."""
        ran = any(item.result is None or not item.result.not_executed for item in entry.attempts)
        self._answer(id, Answer(id, BROKEN if ran else REFUSED))
        for number, item in enumerate(entry.attempts):
            if item.result is None and self._settle(now, id, number, AttemptResult.CANCELLED):
                self._effects.append(Abort(id, number))

    def _rescue(self, now: float, event: Event) -> None:
        """A fault in the module fails the request it concerned and nothing else."""
        if isinstance(
            event, TimerFired
        ):  # Guards the module's clockwork: its next alarm was lost with the fault
            self._timer(now + self._delays.get(event.name, 1000.0), "alarm", event.name)
        elif isinstance(event, RequestReceived | AttemptFinished):
            entry = self.open.get(event.id)
            if entry is not None and not entry.over:
                self._give_up(now, event.id, entry)

    def _live(self, kind: str, name: str, attempt: int) -> bool:
        """Whether this timer still has something to do."""
        entry = self.open.get(name)
        if kind == "alarm" or entry is None:
            return kind == "alarm"
        if entry.begun is not None:
            return False
        return not entry.over if kind == "backstop" else entry.attempts[attempt].result is None

    def _timer(self, due: float, kind: str, name: str, attempt: int = 0) -> None:
        self._order += 1
        heapq.heappush(self._timers, (due, self._order, kind, name, attempt))
        if len(self._timers) > self._crowded:
            # Guards memory: what is over early, with a far deadline, would stay here until that.
            self._timers = [timer for timer in self._timers if self._live(*timer[2:])]
            heapq.heapify(self._timers)
            self._crowded = max(TIMERS, 2 * len(self._timers))
