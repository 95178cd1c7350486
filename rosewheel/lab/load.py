"""Open-loop clients: each request is sent at its planned moment, whatever became of those before it.

The latency of an operation counts from that moment, over all its attempts.
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
HEALTH_POLL_S = 0.1  # how often the dispatcher checks the health of its nodes
MAX_LATENCY_MS = 60_000
LATENCY_DIGITS = 3


class ClientDispatcher:
    """The layer that assigns clients to nodes; it learns late which of them are dead.

    Attributes:
        allowed_nodes: an injected fault; the nodes that get all clients, any node where it is empty.
    """

    def __init__(self, nodes: dict[str, Address], notice_ms: float) -> None:
        self.nodes, self.notice_ms = nodes, notice_ms
        self.clients = {name: HttpClient(address) for name, address in nodes.items()}
        self.up = dict.fromkeys(nodes, True)
        self.allowed_nodes: tuple[str, ...] = ()
        self._changed_since_ms: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to check the health of the nodes."""
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def close(self) -> None:
        """Stop the checks and close all connections."""
        if self._task is not None:
            self._task.cancel()
        for client in self.clients.values():
            client.close()

    def candidates(self) -> list[str]:
        """The nodes to which clients are assigned; all allowed ones, where all of them seem dead."""
        allowed = self.allowed_nodes or tuple(self.nodes)
        return [name for name in allowed if self.up[name]] or list(allowed)

    async def _watch(self) -> None:
        while True:
            for name, address in self.nodes.items():
                self._observe(name, alive=await check_health(address) != 0)
            await asyncio.sleep(HEALTH_POLL_S)

    def _observe(self, name: str, alive: bool) -> None:
        """A dead node is noticed after `notice_ms`, one that is back at once."""
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
        attempts: the attempts that have ended.
        pending: the attempt in flight.
    """

    def __init__(self, load: LoadGenerator, arrival: Arrival, table: ClassTable) -> None:
        self.load, self.arrival, self.table = load, arrival, table
        self.attempts: list[AttemptRecord] = []
        self.pending: PendingRequest | None = None
        self.timeout_ms = table.deadline_ms * load.plan.attempt_timeout_share
        self.request_id, self.node, self.sent_ms = "", "", 0.0  # of the attempt in flight
        self.timer: asyncio.TimerHandle | None = None

    def start_attempt(self) -> None:
        """Send the request once more."""
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
        self.pending = client.send(request.encode(), self._answered, new_connection)

    def _abandon(self) -> None:
        if self.pending is not None:
            self.pending.abandon()
        self._answered(HttpResponse(0, failure=AttemptFailure.CLIENT_TIMEOUT))

    def _answered(self, response: HttpResponse) -> None:
        if self.timer is not None:
            self.timer.cancel()
        expected_start = self.request_id.encode() + b"\n"
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
                foreign_response=served and not response.body.startswith(expected_start),
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
    """Priority weight times work of an operation, offered and served in time."""

    planned_ms: float
    offered: float
    earned: float


class LoadGenerator:
    """All clients of a plan against these nodes.

    Attributes:
        counts: operations of each class that were asked, served, and served in time.
        outcomes: the weight of each finished operation.
        open_operations: operations without a final outcome.
        extra_retries: an injected fault; retries above the usual number.
        lag_max_ms: how late an operation was started at most.
    """

    def __init__(self, plan: Plan, nodes: dict[str, Address], records: RecordWriter) -> None:
        self.plan, self.records = plan, records
        self.loop = asyncio.get_running_loop()
        self.clock = PlanClock()
        self.dispatcher = ClientDispatcher(nodes, plan.node_notice_ms)
        self.classes = {row.name: row for row in plan.scenario.classes}
        self.latency = {name: HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS) for name in self.classes}
        self.counts = {name: {"asked": 0, "served": 0, "in_time": 0} for name in self.classes}
        self.outcomes: list[OperationWeight] = []
        self.open_operations: set[ClientOperation] = set()
        self.extra_retries = 0
        self.lag_max_ms = 0.0
        self._stopping = False
        self._random = random_stream(plan.seed, "run", "clients")
        self._next_arrival = 0
        self._done = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()

    async def run(self, start_ms: float) -> None:
        """Send everything, the plan beginning at `start_ms`; returns when every operation has its outcome."""
        self.clock.start(start_ms)
        self.dispatcher.start()
        self._start_due()
        try:
            await self._done.wait()
        finally:
            self.close()

    def stop(self) -> None:
        """Start nothing more; attempts in flight still get their responses."""
        self._stopping = True
        self._next_arrival = len(self.plan.arrivals)
        self._check_done()

    def close(self) -> None:
        """Close all connections and record the statistics."""
        for timer in self._timers:
            timer.cancel()
        self.dispatcher.close()
        for name, histogram in self.latency.items():
            quantiles = [histogram.get_value_at_percentile(q) for q in (50.0, 90.0, 99.0, 99.9)]
            counts = self.counts[name]
            record = LatencyRecord(name, counts["asked"], counts["served"], counts["in_time"], *quantiles)
            self.records.write(record)
        surplus = sum(client.surplus_answers for client in self.dispatcher.clients.values())
        self.records.write(ClientsRecord(surplus, round(self.lag_max_ms, 2)))
        self.records.flush()

    def service(self, begin_ms: float | None = None, end_ms: float = math.inf) -> float:
        """Weight served in time over weight offered, of what was planned between these moments.

        Args:
            begin_ms: the end of the warm-up where it is None.
        """
        begin = self.plan.scenario.warm_up_s * 1000.0 if begin_ms is None else begin_ms
        outcomes = [outcome for outcome in self.outcomes if begin <= outcome.planned_ms < end_ms]
        offered = sum(outcome.offered for outcome in outcomes)
        return sum(outcome.earned for outcome in outcomes) / offered if offered else 1.0

    # ------------------------------------------------------------- operations

    def pick_node(self) -> str:
        """Draw a node."""
        nodes = self.plan.scenario.nodes
        weight = nodes.client_share if nodes.client_shares else None
        return weighted_choice(self._random, self.dispatcher.candidates(), weight)

    def draw_new_connection(self) -> bool:
        """Draw whether a request is sent on a connection of its own."""
        return self.plan.scenario.clients.new_connection_share > self._random.random()

    def retry_delay_ms(self, operation: ClientOperation, response: HttpResponse) -> float | None:
        """Time until the next attempt; None where the client gives up."""
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
        """Call this after a delay, unless the clients are closed."""

        def run() -> None:
            self._timers.discard(handle)
            callback()

        handle = self.loop.call_later(delay_ms / 1000.0, run)
        self._timers.add(handle)

    def _start_due(self) -> None:
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
            self.call_later(delay_ms, self._start_due)
        else:
            self._check_done()

    def operation_finished(self, operation: ClientOperation) -> None:
        """Count and record a finished operation."""
        last, table, arrival = operation.attempts[-1], operation.table, operation.arrival
        duration_ms = last.ended_ms - arrival.at_ms
        served = last.status == HTTP_OK
        in_time = served and duration_ms <= table.latency_objective_ms
        counts = self.counts[table.name]
        counts["asked"] += 1
        counts["served"] += served
        counts["in_time"] += in_time
        weight = table.priority_weight * arrival.work_ms
        self.outcomes.append(OperationWeight(arrival.at_ms, weight, weight * in_time))
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
