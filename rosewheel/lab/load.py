"""Open-loop clients: each request is asked at its planned moment, whatever became of those before it.

A client's latency counts from that moment, over all its tries. Clients retry as the brief of the platform says: up
to so many times, after a wait that doubles, what is not safe only after a refusal or where no node could be reached.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from rosewheel.lab.node_process import check_health
from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import Arrival
from rosewheel.lab.random_streams import random_stream, weighted_choice
from rosewheel.lab.records import RecordWriter
from rosewheel.lab.request_codec import ClientRequest
from rosewheel.lab.retry import RESPONSE_SLACK_MS, AttemptOutcome, retry_delay_ms
from rosewheel.lab.tables import ClassTable
from rosewheel.lab.wire import Address, HttpClient, HttpResponse, PendingRequest, now_ms

HEALTH_POLL_S = 0.1  # how often the front looks after its nodes


class ClientDispatcher:
    """The layer that deals clients out among the nodes, and learns late which of them are dead."""

    def __init__(self, nodes: dict[str, Address], notice_ms: float) -> None:
        self.nodes, self.notice_ms = nodes, notice_ms
        self.clients = {name: HttpClient(address) for name, address in nodes.items()}
        self.up = dict.fromkeys(nodes, True)
        self.allowed_nodes: tuple[
            str, ...
        ] = ()  # if any: the nodes that all clients are dealt to, as a trouble wants it
        self._since: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        for peer in self.clients.values():
            peer.close()

    def candidates(self) -> list[str]:
        """Those it deals to; all, where it believes that none lives."""
        wanted = self.allowed_nodes or tuple(self.nodes)
        return [name for name in wanted if self.up[name]] or list(wanted)

    async def _watch(self) -> None:
        while True:
            for name, address in self.nodes.items():
                well = await check_health(address) != 0
                if well is self.up[name]:
                    self._since.pop(name, None)
                elif now_ms() - self._since.setdefault(name, now_ms()) >= (0.0 if well else self.notice_ms):
                    self.up[name] = well
                    self._since.pop(name)
            await asyncio.sleep(HEALTH_POLL_S)


class ClientOperation:
    """One client's wish and its tries."""

    def __init__(self, load: LoadGenerator, arrival: Arrival, table: ClassTable) -> None:
        self.load, self.arrival, self.table = load, arrival, table
        self.attempts: list[dict[str, Any]] = []
        self.pending: PendingRequest | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start_attempt(self) -> None:
        load, table = self.load, self.table
        node = load.pick_node()
        number = len(self.attempts)
        patience = table.deadline_ms * load.plan.attempt_timeout_share
        rid = f"{self.arrival.operation_id}.{number}"
        sent = now_ms()
        row: dict[str, Any] = {
            "rid": rid,
            "node": node,
            "sent": load.plan_time(sent),
            "patience": round(patience, 1),
        }
        self.attempts.append(row)
        data = ClientRequest(
            table.name,
            table.idempotency,
            rid,
            patience,
            node,
            self.arrival.operation_id,
            self.arrival.work_ms,
            self.arrival.operation_id,
            table.body_bytes,
        ).encode()
        fresh = load.plan.scenario.clients.new_connection_share > load.random.random()
        self.timer = load.loop.call_later((patience + RESPONSE_SLACK_MS) / 1000.0, self._give_up)
        self.pending = load.dispatcher.clients[node].send(data, self._answered, fresh)

    def _give_up(self) -> None:
        if self.pending is not None:
            self.pending.abandon()
        self._answered(HttpResponse(0, failure="no answer"))

    def _answered(self, answered: HttpResponse) -> None:
        load, row = self.load, self.attempts[-1]
        if self.timer is not None:
            self.timer.cancel()
        row["ended"], row["status"] = load.plan_time(now_ms()), answered.status
        if answered.failure:
            row["why"] = answered.failure
        if self.pending is not None and self.pending.resent:
            row["resent"] = True
        if answered.status == 200 and not answered.body.startswith(row["rid"].encode() + b"\n"):
            row["foreign"] = True  # it is no equipo's answer to this request
        if answered.status == 200 or not self._schedule_retry(answered):
            load.operation_finished(self)

    def _schedule_retry(self, answered: HttpResponse) -> bool:
        """Whether another try follows, and when."""
        load = self.load
        if load.stopping:
            return False
        verdict = AttemptOutcome(answered.status, answered.failure, answered.retry_after_s)
        spent = now_ms() - load.t0 - self.arrival.at_ms
        wait = retry_delay_ms(
            load.plan, self.table, verdict, len(self.attempts), spent, load.random, load.extra_retries
        )
        if wait is None:
            return False
        load.call_later(wait, self.start_attempt)
        return True


class LoadGenerator:
    """All clients of a plan against these nodes."""

    def __init__(self, plan: Plan, nodes: dict[str, Address], records: RecordWriter) -> None:
        self.plan, self.records = plan, records
        self.loop = asyncio.get_running_loop()
        self.dispatcher = ClientDispatcher(nodes, plan.node_notice_ms)
        self.random = random_stream(plan.seed, "run", "clients")
        self.tables = {row.name: row for row in plan.scenario.classes}
        self.t0 = now_ms()
        self.latency = {name: HdrHistogram(1, 60_000, 3) for name in self.tables}
        self.counts = {name: {"asked": 0, "served": 0, "in_time": 0} for name in self.tables}
        self.outcomes: list[
            tuple[float, float, float]
        ] = []  # of each wish: planned moment, asked, served in time
        self.open_operations: set[ClientOperation] = set()
        self.stopping = False
        self.extra_retries = 0  # tries more than usual, while a retry storm lasts
        self.lag_max_ms = 0.0
        self._at = 0
        self._done = asyncio.Event()
        self._timers: set[asyncio.TimerHandle] = set()

    async def run(self, t0: float) -> None:
        """Ask everything from the moment `t0` on; returns when the last answer is there or given up."""
        self.t0 = t0
        self.dispatcher.start()
        self._next()
        try:
            await self._done.wait()
        finally:
            self.close()

    def stop(self) -> None:
        """Ask nothing more; what is open still gets its answers."""
        self.stopping = True
        self._at = len(self.plan.arrivals)
        self._check()

    def close(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self.dispatcher.close()
        for name, histogram in self.latency.items():
            quantiles = {f"p{q:g}": histogram.get_value_at_percentile(q) for q in (50.0, 90.0, 99.0, 99.9)}
            self.records.write({"e": "latency", "class": name, **self.counts[name], **quantiles})
        surplus = sum(peer.surplus_answers for peer in self.dispatcher.clients.values())
        self.records.write({"e": "clients", "surplus": surplus, "lag_max_ms": round(self.lag_max_ms, 2)})
        self.records.flush()

    def service(self, begin_ms: float | None = None, end_ms: float = math.inf) -> float:
        """Worth answered in time over worth asked for, of what was planned between these moments; from the end of
        the warm-up on unless told otherwise."""
        begin = self.plan.scenario.warm_up_s * 1000.0 if begin_ms is None else begin_ms
        within = [item for item in self.outcomes if begin <= item[0] < end_ms]
        asked = sum(item[1] for item in within)
        return sum(item[2] for item in within) / asked if asked else 1.0

    def plan_time(self, at: float) -> float:
        return round(at - self.t0, 1)

    def pick_node(self) -> str:
        nodes = self.plan.scenario.nodes
        return weighted_choice(
            self.random, self.dispatcher.candidates(), nodes.client_share if nodes.client_shares else None
        )

    def call_later(self, wait_ms: float, what: Callable[[], None]) -> None:
        def run() -> None:
            self._timers.discard(handle)
            what()

        handle = self.loop.call_later(wait_ms / 1000.0, run)
        self._timers.add(handle)

    def _next(self) -> None:
        arrivals, elapsed = self.plan.arrivals, now_ms() - self.t0
        while self._at < len(arrivals) and arrivals[self._at].at_ms <= elapsed:
            arrival = arrivals[self._at]
            self.lag_max_ms = max(self.lag_max_ms, elapsed - arrival.at_ms)
            op = ClientOperation(self, arrival, self.tables[arrival.class_name])
            self.open_operations.add(op)
            op.start_attempt()
            self._at += 1
        if self._at < len(arrivals):
            self.call_later(max(0.0, arrivals[self._at].at_ms - elapsed), self._next)
        else:
            self._check()

    def operation_finished(self, op: ClientOperation) -> None:
        last, table, arrival = op.attempts[-1], op.table, op.arrival
        took = last["ended"] - arrival.at_ms
        served = last["status"] == 200
        counts = self.counts[table.name]
        counts["asked"] += 1
        counts["served"] += served
        in_time = served and took <= table.latency_objective_ms
        counts["in_time"] += in_time
        worth = table.priority_weight * arrival.work_ms
        self.outcomes.append((arrival.at_ms, worth, worth * in_time))
        if served:
            self.latency[table.name].record_value(max(1, round(took)))
        row = {
            "e": "op",
            "op": arrival.operation_id,
            "class": table.name,
            "at": arrival.at_ms,
            "work": arrival.work_ms,
        }
        self.records.write({**row, "in_time": in_time, "took": round(took, 1), "tries": op.attempts})
        self.open_operations.discard(op)
        self._check()

    def _check(self) -> None:
        if self._at >= len(self.plan.arrivals) and not self.open_operations:
            self._done.set()
