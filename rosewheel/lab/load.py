"""Open-loop load generator: each operation starts at its planned time, regardless of the state of earlier ones.

The latency of an operation is measured from its planned start to the end of its last attempt.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from rosewheel.lab.http_client import HttpClient, HttpResponse, PendingRequest
from rosewheel.lab.node_process import check_health
from rosewheel.lab.outcomes import AttemptFailure, AttemptOutcome
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import Arrival
from rosewheel.lab.plan_clock import PlanClock
from rosewheel.lab.random_streams import random_stream, weighted_choice
from rosewheel.lab.record_types import AttemptRecord, ClientsRecord, LatencyRecord, OperationRecord
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.request_codec import ClientRequest
from rosewheel.lab.retry import RESPONSE_SLACK_MS, retry_delay_ms
from rosewheel.lab.tables import ClassTable
from rosewheel.lab.wire import Address, now_ms

HTTP_OK = 200
HEALTH_POLL_S = 0.1  # interval between the health checks of the nodes
MAX_LATENCY_MS = 60_000
LATENCY_SIGNIFICANT_DIGITS = 3


class ClientDispatcher:
    """Load balancer in front of the nodes, which detects dead nodes with a delay.

    Attributes:
        nodes: addresses by name of the node.
        notice_ms: time for which a node must be dead before it is detected.
        clients: HTTP clients by name of the node.
        up: whether each node is considered up.
        allowed_nodes: the only nodes that receive requests, during an injected fault; empty for all nodes.
    """

    def __init__(self, nodes: dict[str, Address], notice_ms: float) -> None:
        self.nodes, self.notice_ms = nodes, notice_ms
        self.clients = {name: HttpClient(address) for name, address in nodes.items()}
        self.up = dict.fromkeys(nodes, True)
        self.allowed_nodes: tuple[str, ...] = ()
        self._changed_since_ms: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the health checks of the nodes."""
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def close(self) -> None:
        """Stop the health checks and close all connections."""
        if self._task is not None:
            self._task.cancel()
        for client in self.clients.values():
            client.close()

    def candidates(self) -> list[str]:
        """Return the allowed nodes that are up, or all allowed nodes if none is."""
        allowed = self.allowed_nodes or tuple(self.nodes)
        return [name for name in allowed if self.up[name]] or list(allowed)

    async def _watch(self) -> None:
        while True:
            for name, address in self.nodes.items():
                self._observe(name, alive=await check_health(address) != 0)
            await asyncio.sleep(HEALTH_POLL_S)

    def _observe(self, name: str, alive: bool) -> None:
        """Process a health check: mark a dead node as down after `notice_ms`, and a live node as up at once."""
        if alive is self.up[name]:
            self._changed_since_ms.pop(name, None)
            return
        changed_for_ms = now_ms() - self._changed_since_ms.setdefault(name, now_ms())
        if changed_for_ms >= (0.0 if alive else self.notice_ms):
            self.up[name] = alive
            self._changed_since_ms.pop(name)


class ClientOperation:
    """One operation of a client and its attempts.

    Attributes:
        arrival: planned start, class and work of the operation.
        attempts: records of the finished attempts.
        pending: the attempt in flight.
        timeout_ms: timeout of each attempt.
        request_id: request ID of the attempt in flight.
        node: name of the node to which the attempt in flight was sent.
        sent_ms: start of the attempt in flight, in ms of the plan.
        timer: timeout of the attempt in flight.
    """

    def __init__(self, load: LoadGenerator, arrival: Arrival, table: ClassTable) -> None:
        self.load, self.arrival, self.table = load, arrival, table
        self.attempts: list[AttemptRecord] = []
        self.pending: PendingRequest | None = None
        self.timeout_ms = table.deadline_ms * load.plan.attempt_timeout_share
        self.request_id, self.node, self.sent_ms = "", "", 0.0
        self.timer: asyncio.TimerHandle | None = None

    def start_attempt(self) -> None:
        """Send the request to a random node."""
        load, table, arrival = self.load, self.table, self.arrival
        self.node = load.pick_node()
        self.request_id = f"{arrival.operation_id}.{len(self.attempts)}"
        self.sent_ms = load.clock.plan_time()
        request = ClientRequest(
            class_name=table.name,
            idempotency=table.idempotency,
            request_id=self.request_id,
            timeout_ms=self.timeout_ms,
            sender=self.node,
            operation_id=arrival.operation_id,
            total_work_ms=arrival.work_ms,
            dedup_key=arrival.operation_id,
            body_bytes=table.body_bytes,
        )
        new_connection = load.draw_new_connection()
        timeout_s = (self.timeout_ms + RESPONSE_SLACK_MS) / 1000.0
        self.timer = load.loop.call_later(timeout_s, self._abandon)
        client = load.dispatcher.clients[self.node]
        self.pending = client.send(request.encode(), self._attempt_finished, new_connection)

    def _abandon(self) -> None:
        if self.pending is not None:
            self.pending.abandon()
        self._attempt_finished(HttpResponse(0, failure=AttemptFailure.CLIENT_TIMEOUT))

    def _attempt_finished(self, response: HttpResponse) -> None:
        if self.timer is not None:
            self.timer.cancel()
        expected_prefix = self.request_id.encode() + b"\n"
        served = response.status == HTTP_OK
        self.attempts.append(
            AttemptRecord(
                request_id=self.request_id,
                node=self.node,
                sent_ms=self.sent_ms,
                timeout_ms=round(self.timeout_ms, 1),
                ended_ms=self.load.clock.plan_time(),
                status=response.status,
                failure=response.failure.value,
                resent=self.pending is not None and self.pending.resent,
                foreign_response=served and not response.body.startswith(expected_prefix),
            )
        )
        if served or not self._schedule_retry(response):
            self.load.operation_finished(self)

    def _schedule_retry(self, response: HttpResponse) -> bool:
        delay_ms = self.load.retry_delay_ms(self, response)
        if delay_ms is None:
            return False
        self.load.call_later(delay_ms, self.start_attempt)
        return True


class OperationWeight(NamedTuple):
    """Weight of a finished operation: its priority weight times its work.

    Attributes:
        planned_ms: planned start, in ms of the plan.
        offered: weight of the operation.
        earned: the same weight if it was served in time, else 0.
    """

    planned_ms: float
    offered: float
    earned: float


class LoadGenerator:
    """All clients of a plan, which send their requests to the given nodes.

    Attributes:
        latency: latency histogram by class.
        counts: for each class, the numbers of finished, served and in-time operations.
        weights: weights of the finished operations.
        open_operations: operations without a final outcome.
        extra_retries: retries allowed on top of the configured number, during an injected fault.
        lag_max_ms: largest delay between the planned and the actual start of an operation.
    """

    def __init__(self, plan: Plan, nodes: dict[str, Address], records: RecordWriter) -> None:
        self.plan, self.records = plan, records
        self.loop = asyncio.get_running_loop()
        self.clock = PlanClock()
        self.dispatcher = ClientDispatcher(nodes, plan.node_notice_ms)
        self.classes = {row.name: row for row in plan.scenario.classes}
        self.latency = {
            name: HdrHistogram(1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS) for name in self.classes
        }
        self.counts = {name: {"asked": 0, "served": 0, "in_time": 0} for name in self.classes}
        self.weights: list[OperationWeight] = []
        self.open_operations: set[ClientOperation] = set()
        self.extra_retries = 0
        self.lag_max_ms = 0.0
        self._stopping = False
        self._random = random_stream(plan.seed, "run", "clients")
        self._next_arrival = 0
        self._done = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()

    async def run(self, start_ms: float) -> None:
        """Start all operations of the plan, and wait until each has its final outcome.

        Args:
            start_ms: start of the plan, in ms of `wire.now_ms`.
        """
        self.clock.start(start_ms)
        self.dispatcher.start()
        self._start_due_operations()
        try:
            await self._done.wait()
        finally:
            self.close()

    def stop(self) -> None:
        """Start no more operations or retries; attempts in flight continue."""
        self._stopping = True
        self._next_arrival = len(self.plan.arrivals)
        self._check_done()

    def close(self) -> None:
        """Stop the clients and record their statistics."""
        for timer in self._timers:
            timer.cancel()
        self.dispatcher.close()
        for name, histogram in self.latency.items():
            quantiles = [histogram.get_value_at_percentile(q) for q in (50.0, 90.0, 99.0, 99.9)]
            counts = self.counts[name]
            record = LatencyRecord(name, counts["asked"], counts["served"], counts["in_time"], *quantiles)
            self.records.write(record)
        surplus = sum(client.surplus_responses for client in self.dispatcher.clients.values())
        self.records.write(ClientsRecord(surplus, round(self.lag_max_ms, 2)))
        self.records.flush()

    def service(self, begin_ms: float | None = None, end_ms: float = math.inf) -> float:
        """Return the weight served in time divided by the offered weight, of operations planned in an interval.

        Args:
            begin_ms: start of the interval, in ms of the plan; None for the end of the warm-up.
            end_ms: end of the interval, in ms of the plan.
        """
        begin = self.plan.scenario.warm_up_s * 1000.0 if begin_ms is None else begin_ms
        weights = [weight for weight in self.weights if begin <= weight.planned_ms < end_ms]
        offered = sum(weight.offered for weight in weights)
        return sum(weight.earned for weight in weights) / offered if offered else 1.0

    def pick_node(self) -> str:
        """Return the name of a random node."""
        nodes = self.plan.scenario.nodes
        weight = nodes.client_share if nodes.client_shares else None
        return weighted_choice(self._random, self.dispatcher.candidates(), weight)

    def draw_new_connection(self) -> bool:
        """Decide at random whether a request is sent on a new connection."""
        return self.plan.scenario.clients.new_connection_share > self._random.random()

    def retry_delay_ms(self, operation: ClientOperation, response: HttpResponse) -> float | None:
        """Return the time until the next attempt, in ms; None if the client gives up."""
        if self._stopping:
            return None
        return retry_delay_ms(
            self.plan,
            operation.table,
            AttemptOutcome(response.status, response.failure, response.retry_after_s),
            len(operation.attempts),
            self.clock.elapsed_ms() - operation.arrival.at_ms,
            self._random,
            self.extra_retries,
        )

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` after a delay, unless the load generator is closed before."""

        def run() -> None:
            self._timers.discard(handle)
            callback()

        handle = self.loop.call_later(delay_ms / 1000.0, run)
        self._timers.add(handle)

    def _start_due_operations(self) -> None:
        arrivals, elapsed_ms = self.plan.arrivals, self.clock.elapsed_ms()
        while self._next_arrival < len(arrivals) and arrivals[self._next_arrival].at_ms <= elapsed_ms:
            arrival = arrivals[self._next_arrival]
            self.lag_max_ms = max(self.lag_max_ms, elapsed_ms - arrival.at_ms)
            operation = ClientOperation(self, arrival, self.classes[arrival.class_name])
            self.open_operations.add(operation)
            operation.start_attempt()
            self._next_arrival += 1
        if self._next_arrival < len(arrivals):
            delay_ms = max(0.0, arrivals[self._next_arrival].at_ms - elapsed_ms)
            self.call_later(delay_ms, self._start_due_operations)
        else:
            self._check_done()

    def operation_finished(self, operation: ClientOperation) -> None:
        """Count and record an operation that has its final outcome."""
        last, table, arrival = operation.attempts[-1], operation.table, operation.arrival
        duration_ms = last.ended_ms - arrival.at_ms
        served = last.status == HTTP_OK
        in_time = served and duration_ms <= table.latency_objective_ms
        counts = self.counts[table.name]
        counts["asked"] += 1
        counts["served"] += served
        counts["in_time"] += in_time
        weight = table.priority_weight * arrival.work_ms
        self.weights.append(OperationWeight(arrival.at_ms, weight, weight * in_time))
        if served:
            self.latency[table.name].record_value(max(1, round(duration_ms)))
        self.records.write(
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
        self.open_operations.discard(operation)
        self._check_done()

    def _check_done(self) -> None:
        if self._next_arrival >= len(self.plan.arrivals) and not self.open_operations:
            self._done.set()
