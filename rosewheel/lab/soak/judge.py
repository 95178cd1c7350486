"""Judges the records of a soak by the operators' rules. It knows nothing of the node's code."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from rosewheel.lab.soak.records import (
    ClientRecord,
    ExecutionEnd,
    RequestKind,
    ServerRecord,
    SoakRecords,
)

LATE_ANSWER_S = 0.5  # after its time an answer only earns nothing; later it is lost
LIMIT_GROWTH_S = 0.05  # each limit of the rules grows by it on sockets
DRAIN_GRACE_S = 0.4
DISCONNECT_GRACE_S = 0.1
TOLD_SLACK_S = 0.15
DEDUP_WINDOW_S = 0.9
BAD_CLIENT_S = 3.0
READY_S = 10.0
ACCEPT_AFTER_TERM_S = 0.7
REFUSALS = (429, 503)


@dataclass(slots=True, frozen=True)
class Breach:
    """A rule that was broken.

    Attributes:
        rule: Its name.
        request: Id of the request, or name of the node.
        detail: What was seen.
    """

    rule: str
    request: str
    detail: str


class Judge:
    """Looks for breaches in the records of one run."""

    def __init__(self, records: SoakRecords) -> None:
        self._records = records
        self._attempts: defaultdict[str, list[ServerRecord]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.id].append(attempt)
        self._tolerance_s = LIMIT_GROWTH_S + records.max_lag_s
        self._ends = {end.node: end for end in records.node_ends}

    def breaches(self) -> list[Breach]:
        """All breaches."""
        found: list[Breach] = []
        for request in self._records.requests.values():
            found += self._answer_breaches(request)
            found += self._attempt_breaches(request)
        found += self._unknown_ids()
        found += self._node_breaches()
        return found

    # -------------------------------------------------------------------------------------------------- answers

    def _answer_breaches(self, request: ClientRecord) -> Iterator[Breach]:
        if len(request.answers) > 1:
            yield Breach("one-answer", request.id, f"{len(request.answers)} answers")
        if not request.answers:
            if request.sent_s is not None and request.left_s is None and not self._is_excused(request):
                ran = [attempt.end.value for attempt in self._attempts[request.id]]
                yield Breach("lost", request.id, f"no answer, attempts={ran}, {self._circumstances(request)}")
            return
        at_s, status, body = request.answers[0]
        if request.sent_s is not None:
            late_s = at_s - request.sent_s - request.timeout_ms / 1000.0
            if late_s > LATE_ANSWER_S + self._tolerance_s:
                yield Breach("lost", request.id, f"answered {late_s:.3f} s after its time")
        executions = [a for a in self._attempts[request.id] if a.end is not ExecutionEnd.NOT_STARTED]
        if status == 200 and body not in [a.body for a in executions]:
            yield Breach("foreign", request.id, f"body {body[:60]!r}")
        if status in REFUSALS and executions and request.kind is not RequestKind.READ:
            yield Breach("refused-ran", request.id, f"status {status}, executed at {executions[0].server}")

    def _circumstances(self, request: ClientRecord) -> str:
        """What surrounds a lost request, as spans from when it was sent."""
        sent_s, end = request.sent_s or 0.0, self._ends.get(request.node)
        spans = {"closed": request.closed_s}
        if end is not None:
            spans |= {"term": end.term_s, "node ended": end.ended_s}
        told = ", ".join(f"{name} {at_s - sent_s:+.3f} s" for name, at_s in spans.items() if at_s is not None)
        return f"node={request.node}, reused={request.is_reused}, {told}"

    def _is_excused(self, request: ClientRecord) -> bool:
        end = self._ends.get(request.node)
        if end is not None and request.sent_s is not None:
            if end.term_s is None or request.sent_s > end.ended_s:
                return True  # it was killed, or had ended when the request was written
            if request.sent_s > end.term_s + ACCEPT_AFTER_TERM_S:
                return not self._attempts[request.id]  # of a close that crossed it
        # A close between two requests may cross the next one, which the node then must not have read.
        return request.is_reused and request.closed_s is not None and not self._attempts[request.id]

    # ------------------------------------------------------------------------------------------------- attempts

    def _attempt_breaches(self, request: ClientRecord) -> Iterator[Breach]:
        attempts = self._attempts[request.id]
        yield from self._repeat_breaches(request, attempts)
        for attempt in attempts:
            if request.left_s is not None:
                late_s = attempt.first_byte_s - request.left_s
                if late_s > DISCONNECT_GRACE_S + self._tolerance_s:
                    yield Breach("client-left", request.id, f"attempt {late_s:.3f} s after the end")
            if request.sent_s is not None:
                left_s = request.timeout_ms / 1000.0 - (attempt.first_byte_s - request.sent_s)
                excess_s = attempt.told_ms / 1000.0 - left_s
                if excess_s > TOLD_SLACK_S + self._tolerance_s:
                    yield Breach("told-deadline", request.id, f"{excess_s:.3f} s over what was left")
            notified_s = self._records.notified_drains.get((attempt.node, attempt.server))
            if notified_s is not None:
                late_s = attempt.first_byte_s - notified_s
                if late_s > DRAIN_GRACE_S + self._tolerance_s:
                    yield Breach(
                        "drain", request.id, f"to {attempt.server} {late_s:.3f} s after notification"
                    )

    def _repeat_breaches(self, request: ClientRecord, attempts: list[ServerRecord]) -> Iterator[Breach]:
        ran = [attempt for attempt in attempts if attempt.end is not ExecutionEnd.NOT_STARTED]
        if len(ran) < 2 or request.kind is RequestKind.READ:
            return
        span_s = ran[-1].first_byte_s - ran[0].last_byte_s
        if request.kind is RequestKind.POST:
            yield Breach("executed-twice", request.id, f"{len(ran)} times within {span_s:.3f} s")
        elif span_s > DEDUP_WINDOW_S + self._tolerance_s:
            yield Breach("window", request.id, f"repeated after {span_s:.3f} s")

    def _unknown_ids(self) -> Iterator[Breach]:
        for id, attempts in self._attempts.items():
            if id not in self._records.requests:
                yield Breach("unknown-id", id, f"at {attempts[0].server}")

    # ---------------------------------------------------------------------------------------------------- nodes

    def _node_breaches(self) -> Iterator[Breach]:
        records = self._records
        for end in records.node_ends:
            if end.term_s is not None and end.code != 0:
                yield Breach("exit-code", end.node, f"ended with {end.code}")
        for node, ready_s in records.ready_s.items():
            if ready_s > READY_S:
                yield Breach("ready", node, f"after {ready_s:.1f} s")
        for waited_s in records.stopped_clients:
            if waited_s > BAD_CLIENT_S + self._tolerance_s:
                yield Breach("bad-client", "", f"no error and no close in {waited_s:.2f} s")
        for line in records.log_faults:
            yield Breach("log", "", line)
        for node, statistics in records.statistics.items():
            if statistics.get("violations"):
                yield Breach("violation-counter", node, str(statistics["violations"]))
            if statistics.get("active"):
                yield Breach("not-at-rest", node, f"{statistics['active']} requests in flight")
