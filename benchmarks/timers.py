"""Measures the cost of a request's timers in a node, with its timer heap, a timer wheel, and no timers.

    python benchmarks/timers.py [--requests 20000] [--rounds 5] [--open 20]

The three timer queues handle the same requests in turns. `--open` requests are in flight at a time, and all end long
before their deadlines, as most requests do. The last line is JSON: the median over the rounds of the time per request
in microseconds.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections import deque
from collections.abc import Callable

from rosewheel.node.core import Node
from rosewheel.node.effects import StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.node.timers import Timer, TimerKind, TimerQueue
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server
from rosewheel.policy.settings import ServiceClass, Settings

SLOT_MS = 16.0  # of the timer wheel


class WheelQueue(TimerQueue):
    """A timer wheel. A timer that is no longer needed stays in its slot until the slot has passed."""

    __slots__ = ("_is_timer_needed", "slots")

    def __init__(self, is_needed: Callable[[Timer], bool]) -> None:
        super().__init__(is_needed)
        self._is_timer_needed = is_needed
        self.slots: dict[int, list[Timer]] = {}

    def start(
        self, due_ms: float, kind: TimerKind, subject: str, attempt: int = 0, request_number: int = 0
    ) -> None:
        slot = self.slots.setdefault(int(due_ms / SLOT_MS), [])
        slot.append(Timer(due_ms, 0, kind, subject, attempt, request_number))

    def advance(self, now: float) -> None:
        for slot in [slot for slot in self.slots if (slot + 1) * SLOT_MS <= now]:
            for timer in self.slots.pop(slot):
                if timer.kind is not TimerKind.POLICY:
                    self._is_timer_needed(timer)


class NullQueue(TimerQueue):
    """Starts no timers."""

    __slots__ = ()

    def start(
        self, due_ms: float, kind: TimerKind, subject: str, attempt: int = 0, request_number: int = 0
    ) -> None:
        pass


def make_node(queue: type[TimerQueue]) -> Node:
    service = ServiceClass("post", latency_objective_ms=2500, deadline_ms=6000)
    node = Node(Settings(classes=(service,)), Limits(), 1, 0.0)
    node.driver.timers = queue(node.driver.is_timer_needed)
    node.update_endpoints(0.0, EndpointListForm.SNAPSHOT, tuple(Server(f"s{at}") for at in range(10)))
    return node


def measure(queue: type[TimerQueue], requests: int, max_in_flight: int) -> float:
    """Return the time per request in microseconds."""
    node, now = make_node(queue), 0.0
    in_flight: deque[tuple[str, int]] = deque()
    started_s = time.perf_counter()
    for number in range(requests):
        now += 0.25  # ms: 4,000 requests per second
        effects = node.receive_request(now, RequestReceived(f"r{number}", "post", now + 6000.0))
        in_flight.extend(
            (effect.id, effect.attempt) for effect in effects if isinstance(effect, StartAttempt)
        )
        if len(in_flight) > max_in_flight:
            id, attempt = in_flight.popleft()
            node.attempt_finished(now, id, attempt, AttemptResult.OK)
        due_ms = node.next_timer_ms()
        if isinstance(node.timers, WheelQueue):
            if not number % 64:
                node.timers.advance(now)
        elif due_ms is not None and due_ms <= now:
            node.tick(now)
    return (time.perf_counter() - started_s) / requests * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--requests", type=int, default=20000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--open", type=int, default=20)
    options = parser.parse_args()
    costs: dict[str, list[float]] = {"heap": [], "wheel": [], "none": []}
    queues = {"heap": TimerQueue, "wheel": WheelQueue, "none": NullQueue}
    for _ in range(options.rounds):
        for name, queue in queues.items():
            costs[name].append(measure(queue, options.requests, options.open))
    print(json.dumps({name: round(statistics.median(row), 2) for name, row in costs.items()}))


if __name__ == "__main__":
    main()
