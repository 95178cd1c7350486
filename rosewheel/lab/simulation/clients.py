"""Open-loop clients of a simulated run, and the front that deals them out among the nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rosewheel.lab.plan import Arrival, Plan
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
        self.only: tuple[str, ...] = ()  # if any: those that all clients are dealt to, as a trouble wants it
        self._choices: list[str] = []
        self.changed()

    def changed(self) -> None:
        wanted = list(self.only or self.nodes)
        self._choices = [name for name in wanted if self.up[name]] or wanted

    def choices(self) -> list[str]:
        return self._choices

    def look(self, name: str) -> None:
        """A node has died or come back: the one is noticed late, the other at once."""
        well = not self.nodes[name].dead
        self.queue.after(0.0 if well else self.notice_ms, self._noticed, name, well)

    def _noticed(self, name: str, well: bool) -> None:
        if self.nodes[name].dead is not well:
            self.up[name] = well
            self.changed()


class SimulatedOperation:
    """One client's wish and its tries."""

    __slots__ = ("arrival", "call", "clients", "node", "table", "timer", "tries")

    def __init__(self, clients: SimulatedClients, arrival: Arrival, table: ClassTable) -> None:
        self.clients, self.arrival, self.table = clients, arrival, table
        self.tries: list[dict[str, Any]] = []
        self.call: NodeRequest | None = None
        self.node: SimulatedNode | None = None
        self.timer: ScheduledEvent | None = None

    def try_once(self) -> None:
        clients, table = self.clients, self.table
        name = clients.pick()
        rid = f"{self.arrival.op}.{len(self.tries)}"
        now, patience = clients.queue.now, table.give_up_ms * clients.plan.try_share
        self.tries.append({"rid": rid, "node": name, "sent": round(now, 1), "patience": round(patience, 1)})
        self.call = NodeRequest(
            rid, table.name, self.arrival.op, self.arrival.work_ms, self.arrival.op, patience, self._answered
        )
        self.timer = clients.queue.after(patience + RESPONSE_SLACK_MS, self._give_up)
        self.node = clients.front.nodes[name]
        self.node.ask(self.call)

    def _give_up(self) -> None:
        if self.call is not None and self.node is not None:
            self.node.abandon(self.call)
        self._answered(AttemptOutcome(why="no answer"))

    def _answered(self, verdict: AttemptOutcome) -> None:
        clients, row = self.clients, self.tries[-1]
        if "ended" in row:  # it had been given up when this came
            return
        if self.timer is not None:
            clients.queue.off(self.timer)
        self.call = None
        row["ended"], row["status"] = round(clients.queue.now, 1), verdict.status
        if verdict.why:
            row["why"] = verdict.why
        if verdict.status == 200 or not self._again(verdict):
            clients.ended(self)

    def _again(self, verdict: AttemptOutcome) -> bool:
        clients = self.clients
        spent = clients.queue.now - self.arrival.at_ms
        tries = len(self.tries)
        wait = retry_delay_ms(clients.plan, self.table, verdict, tries, spent, clients.random, clients.storm)
        if wait is None:
            return False
        clients.queue.after(wait, self.try_once)
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
        self.plan, self.queue, self.front, self.write = plan, queue, front, write
        self.wish = wish  # told of each wish that is over, and whether it was served in time
        self.random = random_stream(plan.seed, "run", "clients")
        self.tables = {row.name: row for row in plan.scenario.classes}
        self.open = 0
        self.storm = 0  # tries more than usual, while a retry storm lasts
        self._at = 0
        if plan.arrivals:
            queue.at(plan.arrivals[0].at_ms, self._next)

    @property
    def done(self) -> bool:
        return self._at >= len(self.plan.arrivals) and self.open == 0

    def pick(self) -> str:
        nodes = self.plan.scenario.nodes
        return weighted_choice(self.random, self.front.choices(), nodes.share if nodes.shares else None)

    def _next(self) -> None:
        arrival = self.plan.arrivals[self._at]
        self._at += 1
        self.open += 1
        if self._at < len(self.plan.arrivals):
            self.queue.at(self.plan.arrivals[self._at].at_ms, self._next)
        SimulatedOperation(self, arrival, self.tables[arrival.service]).try_once()

    def ended(self, op: SimulatedOperation) -> None:
        last, table, arrival = op.tries[-1], op.table, op.arrival
        took = last["ended"] - arrival.at_ms
        in_time = last["status"] == 200 and took <= table.aim_ms
        row = {"e": "op", "op": arrival.op, "class": table.name, "at": arrival.at_ms, "work": arrival.work_ms}
        self.write({**row, "in_time": in_time, "took": round(took, 1), "tries": op.tries})
        self.open -= 1
        self.wish(op, in_time)
