"""What a request's timers cost the node: its heap with dropped timers, a wheel of 16 ms, and none at all.

    python benchmarks/timers.py [--requests 20000] [--rounds 5] [--open 20]

The three take turns on the same requests, so many open at a time, each answered long before its deadline, which is
the ordinary case. The last line is JSON: median microseconds a request and its outcome, over rounds.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections import deque

from rosewheel.node.core import Node
from rosewheel.node.effects import StartAttempt
from rosewheel.node.limits import Limits
from rosewheel.policy.events import AttemptResult, EndpointListForm, RequestReceived, Server
from rosewheel.policy.settings import ServiceClass, Settings

SLOT_MS = 16.0


class Wheel(Node):
    """Timers in slots by their moment; whatever is dropped stays in its slot until that has passed."""

    slots: dict[int, list[tuple[float, str, str, int]]]

    def _timer(self, due: float, kind: str, name: str, attempt: int = 0) -> None:
        self.slots.setdefault(int(due / SLOT_MS), []).append((due, kind, name, attempt))

    def turn(self, now: float) -> None:
        for slot in [slot for slot in self.slots if (slot + 1) * SLOT_MS <= now]:
            for _, kind, name, attempt in self.slots.pop(slot):
                if kind != "alarm":
                    self._live(kind, name, attempt)


class Bare(Node):
    def _timer(self, due: float, kind: str, name: str, attempt: int = 0) -> None:
        pass


def made(kind: type[Node]) -> Node:
    service = ServiceClass("post", latency_objective_ms=2500, deadline_ms=6000)
    node = kind(Settings(classes=(service,)), Limits(), 1, 0.0)
    if isinstance(node, Wheel):
        node.slots = {}
    node.update_endpoints(0.0, EndpointListForm.SNAPSHOT, tuple(Server(f"s{at}") for at in range(10)))
    return node


def play(kind: type[Node], requests: int, most: int) -> float:
    node, now = made(kind), 0.0
    out: deque[tuple[str, int]] = deque()
    began = time.perf_counter()
    for number in range(requests):
        now += 0.25  # 4,000 requests a second
        effects = node.receive_request(now, RequestReceived(f"r{number}", "post", now + 6000.0))
        out.extend((one.id, one.attempt) for one in effects if isinstance(one, StartAttempt))
        if len(out) > most:
            id, attempt = out.popleft()
            node.attempt_finished(now, id, attempt, AttemptResult.OK)
        if isinstance(node, Wheel):
            if not number % 64:
                node.turn(now)
        elif node._timers and node._timers[0][0] <= now:
            node.tick(now)
    return (time.perf_counter() - began) / requests * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--requests", type=int, default=20000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--open", type=int, default=20)
    given = parser.parse_args()
    costs: dict[str, list[float]] = {"heap": [], "wheel": [], "none": []}
    kinds = {"heap": Node, "wheel": Wheel, "none": Bare}
    for _ in range(given.rounds):
        for name, kind in kinds.items():
            costs[name].append(play(kind, given.requests, given.open))
    print(json.dumps({name: round(statistics.median(row), 2) for name, row in costs.items()}))


if __name__ == "__main__":
    main()
