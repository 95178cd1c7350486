"""Open-loop clients of a simulated run, and the front that deals them out among the nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rosewheel.lab.plan import Plan
from rosewheel.lab.plan_arrivals import Arrival
from rosewheel.lab.random_streams import random_stream, weighted_choice
from rosewheel.lab.retry import RESPONSE_SLACK_MS, AttemptOutcome, retry_delay_ms
from rosewheel.lab.simulation.events import EventQueue, ScheduledEvent
from rosewheel.lab.simulation.node import NodeRequest, SimulatedNode
from rosewheel.lab.tables import ClassTable

Write = Callable[[dict[str, Any]], None]


class SimulatedDispatcher:
    """The layer that deals clients out, and learns late which nodes are dead."""

    def __init__(self, queue: EventQueue, nodes: dict[str, SimulatedNode], notice_ms: float) -> None:
        self.queue, self.nodes, self.notice_ms = queue, nodes, notice_ms
        self.up = dict.fromkeys(nodes, True)
        self.allowed_nodes: tuple[
            str, ...
        ] = ()  # if any: those that all clients are dealt to, as a trouble wants it
        self._choices: list[str] = []
        self.refresh()

    def refresh(self) -> None:
        wanted = list(self.allowed_nodes or self.nodes)
        self._choices = [name for name in wanted if self.up[name]] or wanted

    def candidates(self) -> list[str]:
        return self._choices

    def node_changed(self, name: str) -> None:
        """A node has died or come back: the one is noticed late, the other at once."""
        well = not self.nodes[name].dead
        self.queue.call_later(0.0 if well else self.notice_ms, self._noticed, name, well)

    def _noticed(self, name: str, well: bool) -> None:
        if self.nodes[name].dead is not well:
            self.up[name] = well
            self.refresh()


class SimulatedOperation:
    """One client's wish and its tries."""

    __slots__ = ("arrival", "attempts", "clients", "node", "request", "table", "timer")

    def __init__(self, clients: SimulatedClients, arrival: Arrival, table: ClassTable) -> None:
        self.clients, self.arrival, self.table = clients, arrival, table
        self.attempts: list[dict[str, Any]] = []
        self.request: NodeRequest | None = None
        self.node: SimulatedNode | None = None
        self.timer: ScheduledEvent | None = None

    def start_attempt(self) -> None:
        clients, table = self.clients, self.table
        name = clients.pick_node()
        rid = f"{self.arrival.operation_id}.{len(self.attempts)}"
        now, patience = clients.queue.now, table.deadline_ms * clients.plan.attempt_timeout_share
        self.attempts.append(
            {"rid": rid, "node": name, "sent": round(now, 1), "patience": round(patience, 1)}
        )
        self.request = NodeRequest(
            rid,
            table.name,
            self.arrival.operation_id,
            self.arrival.work_ms,
            self.arrival.operation_id,
            patience,
            self._answered,
        )
        self.timer = clients.queue.call_later(patience + RESPONSE_SLACK_MS, self._give_up)
        self.node = clients.dispatcher.nodes[name]
        self.node.submit(self.request)

    def _give_up(self) -> None:
        if self.request is not None and self.node is not None:
            self.node.abandon(self.request)
        self._answered(AttemptOutcome(failure="no answer"))

    def _answered(self, verdict: AttemptOutcome) -> None:
        clients, row = self.clients, self.attempts[-1]
        if "ended" in row:  # it had been given up when this came
            return
        if self.timer is not None:
            clients.queue.cancel(self.timer)
        self.request = None
        row["ended"], row["status"] = round(clients.queue.now, 1), verdict.status
        if verdict.failure:
            row["why"] = verdict.failure
        if verdict.status == 200 or not self._schedule_retry(verdict):
            clients.operation_finished(self)

    def _schedule_retry(self, verdict: AttemptOutcome) -> bool:
        clients = self.clients
        spent = clients.queue.now - self.arrival.at_ms
        tries = len(self.attempts)
        wait = retry_delay_ms(
            clients.plan, self.table, verdict, tries, spent, clients.random, clients.extra_retries
        )
        if wait is None:
            return False
        clients.queue.call_later(wait, self.start_attempt)
        return True


class SimulatedClients:
    def __init__(
        self,
        plan: Plan,
        queue: EventQueue,
        front: SimulatedDispatcher,
        write: Write,
        wish: Callable[[SimulatedOperation, bool], None],
    ) -> None:
        self.plan, self.queue, self.dispatcher, self.write = plan, queue, front, write
        self.on_finished = wish  # told of each wish that is over, and whether it was served in time
        self.random = random_stream(plan.seed, "run", "clients")
        self.classes = {row.name: row for row in plan.scenario.classes}
        self.open_operations = 0
        self.extra_retries = 0  # tries more than usual, while a retry storm lasts
        self._at = 0
        if plan.arrivals:
            queue.call_at(plan.arrivals[0].at_ms, self._next)

    @property
    def done(self) -> bool:
        return self._at >= len(self.plan.arrivals) and self.open_operations == 0

    def pick_node(self) -> str:
        nodes = self.plan.scenario.nodes
        return weighted_choice(
            self.random, self.dispatcher.candidates(), nodes.client_share if nodes.client_shares else None
        )

    def _next(self) -> None:
        arrival = self.plan.arrivals[self._at]
        self._at += 1
        self.open_operations += 1
        if self._at < len(self.plan.arrivals):
            self.queue.call_at(self.plan.arrivals[self._at].at_ms, self._next)
        SimulatedOperation(self, arrival, self.classes[arrival.class_name]).start_attempt()

    def operation_finished(self, op: SimulatedOperation) -> None:
        last, table, arrival = op.attempts[-1], op.table, op.arrival
        took = last["ended"] - arrival.at_ms
        in_time = last["status"] == 200 and took <= table.latency_objective_ms
        row = {
            "e": "op",
            "op": arrival.operation_id,
            "class": table.name,
            "at": arrival.at_ms,
            "work": arrival.work_ms,
        }
        self.write({**row, "in_time": in_time, "took": round(took, 1), "tries": op.attempts})
        self.open_operations -= 1
        self.on_finished(op, in_time)
