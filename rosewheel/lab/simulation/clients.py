"""Open-loop clients of a simulated run, and the dispatcher that assigns their requests to nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from rosewheel.lab.outcomes import AttemptFailure, AttemptOutcome
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import Arrival
from rosewheel.lab.random_streams import random_stream, weighted_choice
from rosewheel.lab.record_types import AttemptRecord, OperationRecord
from rosewheel.lab.retry import RESPONSE_SLACK_MS, retry_delay_ms
from rosewheel.lab.simulation.events import EventQueue, ScheduledEvent
from rosewheel.lab.simulation.network import NodeRequest
from rosewheel.lab.simulation.node import SimulatedNode
from rosewheel.lab.tables import ClassTable

HTTP_OK = 200


class SimulatedDispatcher:
    """Load balancer in front of the nodes, which detects dead nodes with a delay.

    Attributes:
        notice_ms: time until a dead node is detected.
        up: whether each node is considered alive, by name.
        allowed_nodes: nodes to which an injected fault limits all requests; empty for no limit.
    """

    def __init__(self, queue: EventQueue, nodes: dict[str, SimulatedNode], notice_ms: float) -> None:
        self.queue, self.nodes, self.notice_ms = queue, nodes, notice_ms
        self.up = dict.fromkeys(nodes, True)
        self.allowed_nodes: tuple[str, ...] = ()
        self._candidates: list[str] = []
        self.update_candidates()

    def update_candidates(self) -> None:
        """Update the candidates: the allowed nodes that are up, or all allowed nodes if none is."""
        allowed = list(self.allowed_nodes or self.nodes)
        self._candidates = [name for name in allowed if self.up[name]] or allowed

    def candidates(self) -> list[str]:
        """Return the names of the nodes to which requests are assigned."""
        return self._candidates

    def node_changed(self, name: str) -> None:
        """Schedule the detection of a node that has died or is back. The latter is detected at once."""
        alive = not self.nodes[name].dead
        self.queue.call_later(0.0 if alive else self.notice_ms, self._detect_change, name, alive)

    def _detect_change(self, name: str, alive: bool) -> None:
        if self.nodes[name].dead is not alive:
            self.up[name] = alive
            self.update_candidates()


class OperationOwner(Protocol):
    """Interface of `SimulatedClients` to its operations."""

    plan: Plan
    queue: EventQueue
    dispatcher: SimulatedDispatcher

    def pick_node(self) -> str:
        """Return the name of a random node."""

    def retry_delay_ms(self, operation: SimulatedOperation, outcome: AttemptOutcome) -> float | None:
        """Return the time until the next attempt; None if the client gives up."""

    def operation_finished(self, operation: SimulatedOperation) -> None:
        """Record an operation that has its final outcome."""


class SimulatedOperation:
    """One operation of a client and its attempts.

    Attributes:
        table: request class.
        attempts: records of the attempts that have ended.
        request: request of the attempt in flight, if any.
        target: node of the attempt in flight, if any.
        sent_ms: when the last attempt was sent.
        timeout_ms: timeout of each attempt.
        timer: timeout of the last attempt.
    """

    __slots__ = (
        "arrival",
        "attempts",
        "owner",
        "request",
        "sent_ms",
        "table",
        "target",
        "timeout_ms",
        "timer",
    )

    def __init__(self, owner: OperationOwner, arrival: Arrival, table: ClassTable) -> None:
        self.owner, self.arrival, self.table = owner, arrival, table
        self.attempts: list[AttemptRecord] = []
        self.request: NodeRequest | None = None
        self.target: SimulatedNode | None = None
        self.sent_ms = 0.0
        self.timeout_ms = table.deadline_ms * owner.plan.attempt_timeout_share
        self.timer: ScheduledEvent | None = None

    def start_attempt(self) -> None:
        """Send the request to a random node."""
        owner, arrival = self.owner, self.arrival
        node = owner.dispatcher.nodes[owner.pick_node()]
        self.sent_ms = owner.queue.now
        self.target = node
        self.request = NodeRequest(
            request_id=f"{arrival.operation_id}.{len(self.attempts)}",
            class_name=self.table.name,
            operation_id=arrival.operation_id,
            work_ms=arrival.work_ms,
            dedup_key=arrival.operation_id,
            timeout_ms=self.timeout_ms,
            on_done=self._attempt_finished,
        )
        self.timer = owner.queue.call_later(self.timeout_ms + RESPONSE_SLACK_MS, self._abandon)
        node.submit(self.request)

    def _abandon(self) -> None:
        if self.request is not None and self.target is not None:
            self.target.abandon(self.request)
        self._attempt_finished(AttemptOutcome(failure=AttemptFailure.CLIENT_TIMEOUT))

    def _attempt_finished(self, outcome: AttemptOutcome) -> None:
        request, target = self.request, self.target
        if request is None or target is None:  # abandoned before
            return
        if self.timer is not None:
            self.owner.queue.cancel(self.timer)
        self.request = self.target = None
        self.attempts.append(
            AttemptRecord(
                request_id=request.request_id,
                node=target.name,
                sent_ms=round(self.sent_ms, 1),
                timeout_ms=round(self.timeout_ms, 1),
                ended_ms=round(self.owner.queue.now, 1),
                status=outcome.status,
                failure=outcome.failure.value,
            )
        )
        if outcome.status == HTTP_OK or not self._schedule_retry(outcome):
            self.owner.operation_finished(self)

    def _schedule_retry(self, outcome: AttemptOutcome) -> bool:
        delay_ms = self.owner.retry_delay_ms(self, outcome)
        if delay_ms is None:
            return False
        self.owner.queue.call_later(delay_ms, self.start_attempt)
        return True


class SimulatedClients:
    """All clients of a run, which start an operation at each arrival of the plan.

    Attributes:
        on_finished: called with each finished operation and whether it was served in time.
        classes: request classes by name.
        open_operations: number of operations without a final outcome.
        extra_retries: number of retries that an injected fault adds to the usual limit.
    """

    def __init__(
        self,
        plan: Plan,
        queue: EventQueue,
        dispatcher: SimulatedDispatcher,
        record: Callable[[OperationRecord], None],
        on_finished: Callable[[SimulatedOperation, bool], None],
    ) -> None:
        self.plan, self.queue, self.dispatcher = plan, queue, dispatcher
        self.on_finished = on_finished
        self.classes = {row.name: row for row in plan.scenario.classes}
        self.open_operations = 0
        self.extra_retries = 0
        self._record = record
        self._rng = random_stream(plan.seed, "run", "clients")
        self._next_arrival = 0
        if plan.arrivals:
            queue.call_at(plan.arrivals[0].at_ms, self._start_next)

    @property
    def done(self) -> bool:
        """Whether every operation of the plan has its final outcome."""
        return self._next_arrival >= len(self.plan.arrivals) and self.open_operations == 0

    def pick_node(self) -> str:
        """Return the name of a random node."""
        nodes = self.plan.scenario.nodes
        weight = nodes.client_share if nodes.client_shares else None
        return weighted_choice(self._rng, self.dispatcher.candidates(), weight)

    def retry_delay_ms(self, operation: SimulatedOperation, outcome: AttemptOutcome) -> float | None:
        """Return the time until the next attempt; None if the client gives up."""
        elapsed_ms = self.queue.now - operation.arrival.at_ms
        return retry_delay_ms(
            self.plan,
            operation.table,
            outcome,
            len(operation.attempts),
            elapsed_ms,
            self._rng,
            self.extra_retries,
        )

    def _start_next(self) -> None:
        arrivals = self.plan.arrivals
        arrival = arrivals[self._next_arrival]
        self._next_arrival += 1
        self.open_operations += 1
        if self._next_arrival < len(arrivals):
            self.queue.call_at(arrivals[self._next_arrival].at_ms, self._start_next)
        SimulatedOperation(self, arrival, self.classes[arrival.class_name]).start_attempt()

    def operation_finished(self, operation: SimulatedOperation) -> None:
        """Record an operation that has its final outcome."""
        last, table, arrival = operation.attempts[-1], operation.table, operation.arrival
        duration_ms = last.ended_ms - arrival.at_ms
        in_time = last.status == HTTP_OK and duration_ms <= table.latency_objective_ms
        self._record(
            OperationRecord(
                operation_id=arrival.operation_id,
                class_name=table.name,
                planned_ms=arrival.at_ms,
                work_ms=arrival.work_ms,
                in_time=in_time,
                duration_ms=round(duration_ms, 1),
                attempts=operation.attempts,
            )
        )
        self.open_operations -= 1
        self.on_finished(operation, in_time)
